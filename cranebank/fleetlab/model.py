"""A model backend with batches, chunked prefill, cached prompt parts and prompt handles. No I/O and no clock.

Time advances in steps. In one step every decoding request generates the tokens of one event, and one chunk of the most
urgent prompt is prefilled; the step lasts as long as both together. ``handle`` processes one event and returns the
actions to take; timers that expired before the event are processed at their own times, however late the call is.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from enum import Enum
from math import ceil

import msgspec

MAX_MOVE_WAIT_S = 2.0  # a KV cache move that would wait for the link longer than this is rejected
SNAPSHOT_INTERVAL_S = 0.05
DECODE_PREFILL_PACE_SHARE, DECODE_PREFILL_CHUNK_SHARE = 0.5, 0.25  # of a prefill backend's, for prefill at a decode one


class EngineSpec(msgspec.Struct, frozen=True):
    """The capacities and speeds of a backend."""

    capacity: int = 8
    queue: int = 8
    cache_tokens: int = 60_000
    token_bytes: int = 163_840
    link_mbps: float = 400_000.0
    stride: int = 8  # tokens per event
    handle_ttl_s: float = 5.0
    switch_s: float = 0.8
    prefill_tokens_per_s: float = 40_000.0
    prefill_chunk: int = 2048  # tokens
    token_s: float = 0.002  # decode time of a token, alone in the batch
    full_batch_slowdown: float = 1.0  # added to the relative time of a token in a full batch
    checks_fence: bool = True
    report_lag_s: float = 0.3  # age of the reported state


class GenerationRequest(msgspec.Struct, frozen=True):
    """A request as received; ``deadline`` is on the clock of the calls of ``handle``."""

    attempt: str
    parts: tuple[tuple[str, int], ...]
    out: int
    deadline: float
    is_prefill: bool = False
    kv_from: str = ""
    priority: int = 5
    target: str = ""  # X-Target-Instance
    after: int = 0  # Last-Event-Id

    @property
    def tokens(self) -> int:
        """Number of tokens of the prompt."""
        return sum(size for _, size in self.parts)


class Order(msgspec.Struct, frozen=True):
    """The body of ``POST /api/order``, and its target header."""

    order_kind: str = ""
    stage: str = ""
    owner: str | None = None
    fence_no: int | None = None
    expected: int | None = None
    target: str = ""


# Events.


class RequestReceived(msgspec.Struct, frozen=True):
    """A request was received."""

    call: int
    request: GenerationRequest


class CallerLeft(msgspec.Struct, frozen=True):
    """The caller closed the connection of a call."""

    call: int


class HandleTaken(msgspec.Struct, frozen=True):
    """The outcome of a ``TakeHandle``."""

    call: int
    done: bool


class DeleteHandle(msgspec.Struct, frozen=True):
    """A caller takes or frees a prompt handle."""

    call: int
    handle: str


class ReportRequested(msgspec.Struct, frozen=True):
    """``GET /api/report``."""

    call: int


class OrderReceived(msgspec.Struct, frozen=True):
    """``POST /api/order``."""

    call: int
    order: Order


class Wake(msgspec.Struct, frozen=True):
    """The time of the last ``WakeAt`` has come."""


Event = RequestReceived | CallerLeft | HandleTaken | DeleteHandle | ReportRequested | OrderReceived | Wake

# Actions.


class Respond(msgspec.Struct, frozen=True):
    """Send a whole answer."""

    call: int
    status: int
    body: bytes = b"{}"
    not_run: bool = False


class Began(msgspec.Struct, frozen=True):
    """A request generates its first token. Counts the prompt tokens that were cached, prefilled and moved."""

    call: int
    kept: int
    read: int
    moved: int = 0


class Prefilled(msgspec.Struct, frozen=True):
    """A prompt was prefilled for its handle. Counts the tokens that were cached and prefilled."""

    call: int
    kept: int
    read: int


class Emit(msgspec.Struct, frozen=True):
    """Send one event of a stream. Number 0 sends only the end, if the stream resumes after its last event."""

    call: int
    number: int
    last: bool


class Cut(msgspec.Struct, frozen=True):
    """Break off a stream whose deadline has passed."""

    call: int


class TakeHandle(msgspec.Struct, frozen=True):
    """Take a prompt handle (IP:PORT/HANDLE) from another backend."""

    call: int
    source: str


class WakeAt(msgspec.Struct, frozen=True):
    """Pass a ``Wake`` at this time, which replaces an earlier one."""

    at: float


Action = Respond | Began | Prefilled | Emit | Cut | TakeHandle | WakeAt


class Phase(Enum):
    """The phase of a request."""

    QUEUED = "queued"
    TAKING_HANDLE = "taking"
    MOVING = "moving"  # its KV cache is being transferred
    PREFILLING = "reading"
    DECODING = "making"


class Work:
    """One request in the backend. It uses ``private_tokens`` of memory in addition to its pinned parts."""

    __slots__ = (
        "call",
        "emitted",
        "events",
        "generated",
        "has_begun_prefill",
        "is_preempted",
        "kept",
        "moved",
        "moved_at",
        "number",
        "phase",
        "pinned",
        "prefilled",
        "private_tokens",
        "remaining",
        "request",
        "run",
    )

    def __init__(self, call: int, number: int, request: GenerationRequest, stride: int) -> None:
        self.call, self.number, self.request = call, number, request
        self.phase = Phase.QUEUED
        self.events = max(1, ceil(request.out / stride))
        self.emitted = min(request.after, self.events)
        self.pinned: list[str] = []
        self.private_tokens = self.remaining = self.kept = self.prefilled = self.moved = self.generated = 0
        self.run = self.has_begun_prefill = self.is_preempted = False
        self.moved_at = 0.0

    @property
    def takes_queue_place(self) -> bool:
        """Whether it counts against the limit of the queue: it is new. What has been preempted was admitted before."""
        return not self.run and not self.is_preempted

    @property
    def urgency(self) -> tuple[int, int]:
        """The sort key for scheduling; the lowest goes first."""
        return self.request.priority, self.number


class Step:
    """The work of the batch until ``ends``."""

    __slots__ = ("chunk", "decode_works", "ends", "prefill_work")

    def __init__(self, ends: float, decode_works: list[Work], prefill_work: Work | None, chunk: int) -> None:
        self.ends, self.decode_works, self.prefill_work, self.chunk = ends, decode_works, prefill_work, chunk


class ModelBackend:
    """One incarnation of a backend. Times are seconds on the caller's monotonic clock."""

    def __init__(self, spec: EngineSpec, instance: str, stage: str, link_factor: float = 1.0) -> None:
        assert stage in {"prefill", "decode"}
        self.spec, self.instance, self.stage = spec, instance, stage
        self._link_factor = link_factor
        self._queue: list[Work] = []
        self._batch: list[Work] = []
        self._parts: OrderedDict[str, int] = OrderedDict()  # least recently used first
        self._pin_counts: Counter[str] = Counter()
        self._handles: dict[str, tuple[float, list[str]]] = {}  # expiry time and pinned parts
        self._step: Step | None = None
        self._link_free_at = 0.0
        self._last_number = 0
        self._switch_to: str | None = None  # the target stage of the order being carried out
        self._switch_at: float | None = None
        self._order_count = 0
        self._newest_fence = -1
        self._snapshots: deque[tuple[float, bytes]] = deque()
        self._actions: list[Action] = []

    # Interface.

    @property
    def active(self) -> int:
        """Number of requests in the batch."""
        return len(self._batch)

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    @property
    def used(self) -> int:
        """Tokens of memory in use, including cached parts."""
        return sum(self._parts.values()) + sum(work.private_tokens for work in self._batch)

    @property
    def held(self) -> int:
        """Tokens of memory that can't be evicted."""
        return sum(size for name, size in self._parts.items() if self._pin_counts[name]) + sum(
            work.private_tokens for work in self._batch
        )

    @property
    def handles(self) -> int:
        """Number of prompt handles that have not been taken."""
        return len(self._handles)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event, and return the actions to take in order."""
        self._actions = []
        self._advance(now)
        match event:
            case RequestReceived(call, request):
                self._receive(now, call, request)
            case CallerLeft(call):
                work = self._work_of(call)
                if work is not None:
                    self._drop(work)
            case HandleTaken(call, done):
                self._handle_taken(now, call, done)
            case DeleteHandle(call, handle):
                self._actions.append(Respond(call, 200 if self._free_handle(handle) else 404))
            case ReportRequested(call):
                self._actions.append(Respond(call, 200, self._report(now)))
            case OrderReceived(call, order):
                self._order(now, call, order)
            case Wake():
                pass
        self._resume(now)
        self._snapshot(now)
        self._check_invariants()
        due = self._next_due()
        if due is not None:
            self._actions.append(WakeAt(due))
        return self._actions

    # Arrivals.

    def _receive(self, now: float, call: int, request: GenerationRequest) -> None:
        if not request.attempt:
            self._reject(call, 400)
        elif (request.target and request.target != self.instance) or request.is_prefill != (self.stage == "prefill"):
            self._reject(call, 421)
        elif (
            self._switch_to is not None
            or request.tokens + request.out > self.spec.cache_tokens
            or request.deadline <= now
        ):
            self._reject(call, 503)
        else:
            self._last_number += 1
            self._queue.append(Work(call, self._last_number, request, self.spec.stride))
            self._admit(now)
            waiting = [work for work in self._queue if work.takes_queue_place]
            if len(waiting) > self.spec.queue:
                least_urgent = max(waiting, key=lambda work: work.urgency)
                self._drop(least_urgent)
                self._reject(least_urgent.call, 503)

    def _reject(self, call: int, status: int) -> None:
        self._actions.append(Respond(call, status, b"{}", True))

    def _order(self, now: float, call: int, order: Order) -> None:
        if order.target and order.target != self.instance:
            status = 421
        elif (
            order.order_kind != "stage"
            or order.stage not in {"prefill", "decode"}
            or order.owner is None
            or order.fence_no is None
        ):
            status = 400
        elif self.spec.checks_fence and order.fence_no < self._newest_fence:
            status = 412
        elif self._switch_to is not None or order.expected not in {None, self._order_count}:
            status = 409
        elif order.stage == self.stage:
            status = 200
        else:
            status = 202
        if status in {200, 202} and order.fence_no is not None:
            self._newest_fence = max(self._newest_fence, order.fence_no)
        if status == 202:
            self._order_count += 1
            self._switch_to = order.stage
            for work in [work for work in self._queue if not work.run]:
                self._drop(work)
                self._reject(work.call, 503)
        self._actions.append(Respond(call, status))

    def _handle_taken(self, now: float, call: int, done: bool) -> None:
        work = self._work_of(call)
        if work is None or work.phase is not Phase.TAKING_HANDLE:
            return
        if not done:
            self._drop(work)
            self._reject(call, 503)
            return
        bits = work.remaining * self.spec.token_bytes * 8 * self._link_factor
        self._link_free_at = max(now, self._link_free_at) + bits / (self.spec.link_mbps * 1e6)
        work.phase, work.moved_at = Phase.MOVING, self._link_free_at

    # Time.

    def _next_due(self) -> float | None:
        due = [work.request.deadline for work in (*self._queue, *self._batch)]
        due += [work.moved_at for work in self._batch if work.phase is Phase.MOVING]
        due += [until for until, _ in self._handles.values()]
        if self._step is not None:
            due.append(self._step.ends)
        if self._switch_at is not None:
            due.append(self._switch_at)
        return min(due, default=None)

    def _advance(self, now: float) -> None:
        while (due := self._next_due()) is not None and due <= now:
            for name in [name for name, (until, _) in self._handles.items() if until <= due]:
                self._free_handle(name)
            for work in [work for work in self._batch if work.phase is Phase.MOVING and work.moved_at <= due]:
                work.moved = work.remaining
                self._finish_prompt(work)
            if self._step is not None and self._step.ends <= due:
                step, self._step = self._step, None
                self._end_step(due, step)
            for work in [work for work in (*self._queue, *self._batch) if work.request.deadline <= due]:
                self._drop(work)
                if work.run:
                    self._actions.append(Cut(work.call))
                else:
                    self._reject(work.call, 503)
            if self._switch_at is not None and self._switch_at <= due:
                assert self._switch_to is not None
                self.stage, self._switch_to, self._switch_at = self._switch_to, None, None
            self._resume(due)

    def _resume(self, now: float) -> None:
        """Admit requests, begin a step, and continue a stage switch that waited for the batch to finish."""
        self._admit(now)
        if self._switch_to is not None and self._switch_at is None and not self._batch and not self._queue:
            self._switch_at = now + self.spec.switch_s
        if self._step is None:
            self._begin_step(now)

    def _admit(self, now: float) -> None:
        while self._queue and len(self._batch) < self.spec.capacity:
            work = min(self._queue, key=lambda work: (work.request.priority, not work.run, work.number))
            moves = bool(work.request.kv_from) and not work.run and not work.moved
            if moves and self._link_free_at - now > MAX_MOVE_WAIT_S:
                self._drop(work)
                self._reject(work.call, 503)
                continue
            if not self._place(work):
                return
            if moves:
                work.phase = Phase.TAKING_HANDLE
                self._actions.append(TakeHandle(work.call, work.request.kv_from))
            elif work.remaining:
                work.phase = Phase.PREFILLING
            else:
                self._finish_prompt(work)

    def _place(self, work: Work) -> bool:
        """Put a request into the batch with memory for its whole prompt, and return whether there was room."""
        kept = self._cached_parts(work)
        self._pin(work, kept)
        regenerated = work.generated if work.run else 0  # tokens generated before a preemption are prefilled again
        need = work.request.tokens - sum(size for _, size in kept) + regenerated
        if not self._make_room(need):
            self._unpin(work.pinned)
            work.pinned = []
            return False
        work.kept = work.request.tokens + regenerated - need
        work.private_tokens = work.remaining = need
        work.has_begun_prefill = False
        self._queue.remove(work)
        self._batch.append(work)
        return True

    def _cached_parts(self, work: Work) -> list[tuple[str, int]]:
        found = []
        for name, size in work.request.parts:
            if name not in self._parts:
                break
            found.append((name, size))
        return found

    def _begin_step(self, now: float) -> None:
        spec = self.spec
        decode_works = [work for work in self._batch if work.phase is Phase.DECODING]
        prefill_works = [work for work in self._batch if work.phase is Phase.PREFILLING]
        prefill_work, chunk, duration_s = None, 0, 0.0
        if prefill_works:
            prefill_work = min(prefill_works, key=lambda work: work.urgency)
            if not prefill_work.has_begun_prefill:
                self._begin_prefill(prefill_work)
            is_decode = self.stage == "decode"
            chunk = min(
                prefill_work.remaining, int(spec.prefill_chunk * (DECODE_PREFILL_CHUNK_SHARE if is_decode else 1))
            )
            duration_s += chunk / (spec.prefill_tokens_per_s * (DECODE_PREFILL_PACE_SHARE if is_decode else 1))
        if decode_works:
            duration_s += (
                spec.stride * spec.token_s * (1 + spec.full_batch_slowdown * len(decode_works) / spec.capacity)
            )
        if decode_works or prefill_work is not None:
            self._step = Step(now + max(duration_s, 1e-6), decode_works, prefill_work, chunk)

    def _begin_prefill(self, work: Work) -> None:
        """Skip the parts that other requests have prefilled since this one joined the batch."""
        work.has_begun_prefill = True
        newly_cached = self._cached_parts(work)[len(work.pinned) :]
        self._pin(work, newly_cached)
        newly_cached_tokens = sum(size for _, size in newly_cached)
        work.kept += newly_cached_tokens
        work.private_tokens -= newly_cached_tokens
        work.remaining -= newly_cached_tokens

    def _end_step(self, now: float, step: Step) -> None:
        prefill_work = step.prefill_work
        if prefill_work is not None and prefill_work in self._batch and prefill_work.phase is Phase.PREFILLING:
            prefill_work.remaining -= step.chunk
            prefill_work.prefilled += step.chunk
            if prefill_work.remaining <= 0:
                self._finish_prompt(prefill_work)
                if prefill_work.request.is_prefill:
                    self._keep_handle(now, prefill_work)
        for work in sorted(step.decode_works, key=lambda work: work.urgency):
            if work in self._batch and work.phase is Phase.DECODING:
                self._generate(work)

    def _finish_prompt(self, work: Work) -> None:
        """Turn a request's private prompt tokens into cached parts once its whole prompt is in memory."""
        work.remaining = 0
        for name, size in work.request.parts[len(work.pinned) :]:
            work.private_tokens -= size
            if name not in self._parts:
                self._parts[name] = size
            self._pin(work, [(name, size)])
        work.phase = Phase.PREFILLING if work.request.is_prefill else Phase.DECODING

    def _keep_handle(self, now: float, work: Work) -> None:
        name = f"{self.instance}-{work.number:x}"
        self._handles[name] = (now + self.spec.handle_ttl_s, work.pinned)
        self._batch.remove(work)
        body = {"prompt_handle": name, "tokens": work.request.tokens, "revision": 1}
        self._actions += [
            Prefilled(work.call, work.kept, work.prefilled),
            Respond(work.call, 200, msgspec.json.encode(body)),
        ]

    def _generate(self, work: Work) -> None:
        tokens = min(self.spec.stride, max(1, work.request.out - work.generated))
        while not self._make_room(tokens):
            least_urgent = max(
                (other for other in self._batch if other.phase in {Phase.PREFILLING, Phase.DECODING}),
                key=lambda other: other.urgency,
            )
            self._preempt(least_urgent)
            if least_urgent is work:
                return
        if not work.run:
            work.run = True
            self._actions.append(Began(work.call, work.kept, work.prefilled, work.moved))
        number = work.emitted + 1 if work.emitted < work.events else 0
        work.private_tokens += tokens
        work.generated += tokens
        work.emitted += 1
        last = work.emitted >= work.events
        self._actions.append(Emit(work.call, number, last))
        if last:
            self._drop(work)

    # Memory.

    def _make_room(self, tokens: int) -> bool:
        """Make room for more tokens by evicting unpinned parts, least recently used first. Return whether they fit."""
        if self.held + tokens > self.spec.cache_tokens:
            return False
        excess = self.used + tokens - self.spec.cache_tokens
        for name in [name for name in self._parts if not self._pin_counts[name]] if excess > 0 else ():
            if excess <= 0:
                break
            excess -= self._parts.pop(name)
        return True

    def _pin(self, work: Work, parts: list[tuple[str, int]]) -> None:
        for name, _ in parts:
            self._pin_counts[name] += 1
            work.pinned.append(name)

    def _unpin(self, names: list[str]) -> None:
        for name in reversed(
            names
        ):  # the first part becomes the most recently used, and is evicted after the later ones
            self._pin_counts[name] -= 1
            if not self._pin_counts[name]:
                del self._pin_counts[name]
            self._parts.move_to_end(name)

    def _free_handle(self, name: str) -> bool:
        found = self._handles.pop(name, None)
        if found is None:
            return False
        self._unpin(found[1])
        return True

    def _preempt(self, work: Work) -> None:
        self._batch.remove(work)
        self._unpin(work.pinned)
        work.pinned, work.private_tokens, work.remaining, work.phase = [], 0, 0, Phase.QUEUED
        work.is_preempted = True
        self._queue.append(work)

    def _drop(self, work: Work) -> None:
        """Remove a request, however it ended."""
        if work in self._queue:
            self._queue.remove(work)
        else:
            self._batch.remove(work)
            self._unpin(work.pinned)
            work.pinned, work.private_tokens = [], 0

    def _work_of(self, call: int) -> Work | None:
        return next((work for work in (*self._batch, *self._queue) if work.call == call), None)

    # The report.

    def _snapshot(self, now: float) -> None:
        if self._snapshots and now - self._snapshots[-1][0] < SNAPSHOT_INTERVAL_S:
            return
        body = {
            "stage": self.stage,
            "models": [{"name": "m", "revision": 1, "loras": []}],
            "busy": self._switch_to is not None,
            "call_seq": self._order_count,
            "queued": self.queued,
            "active": self.active,
            "cache_used": self.held,
            "cache_total": self.spec.cache_tokens,
            "prompt_handles": self.handles,
        }
        self._snapshots.append((now, msgspec.json.encode(body)))
        while len(self._snapshots) > 2 and self._snapshots[1][0] <= now - self.spec.report_lag_s:
            self._snapshots.popleft()

    def _report(self, now: float) -> bytes:
        if not self._snapshots:
            self._snapshot(now)
        old = [body for at, body in self._snapshots if at <= now - self.spec.report_lag_s]
        return old[-1] if old else self._snapshots[0][1]

    def _check_invariants(self) -> None:
        works = (*self._queue, *self._batch)
        assert len({work.call for work in works}) == len(works), "a request is held twice"
        assert self.used <= self.spec.cache_tokens, "more memory used than available"
        assert len(self._batch) <= self.spec.capacity, "more requests than slots"
        waiting = sum(work.takes_queue_place for work in self._queue)
        assert waiting <= self.spec.queue, "the queue exceeds its limit"
        pins = Counter(name for work in self._batch for name in work.pinned)
        for _, names in self._handles.values():
            pins.update(names)
        assert pins == self._pin_counts, "the pin counts differ from the pinned parts"
        assert all(name in self._parts for name in pins), "a pinned part was evicted"
        for work in works:
            assert work.private_tokens >= 0 and work.remaining >= 0, "negative memory"
            assert (work.phase is Phase.QUEUED) == (work in self._queue), (
                "the phase differs from the queue that holds the request"
            )
            assert work.phase is not Phase.DECODING or self.stage == "decode", "a prefill backend generates tokens"
            assert self._switch_to is None or work.run or work in self._batch, (
                "a request waits for the stage that is being left"
            )
        assert self._step is not None or not any(
            work.phase in {Phase.PREFILLING, Phase.DECODING} for work in self._batch
        ), "requests are due but no step is running"
