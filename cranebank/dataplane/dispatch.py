"""Which backend one request goes to next, as a reading of its prompt or to make its tokens."""

from __future__ import annotations

from cranebank.dataplane.attempts import Attempts
from cranebank.dataplane.backend_view import BackendView
from cranebank.dataplane.budget import Budget
from cranebank.dataplane.cache_view import CACHE_SHARE, PREFILL_CACHE_SHARE
from cranebank.dataplane.choice import Plan
from cranebank.dataplane.client_answer import ClientAnswer
from cranebank.dataplane.exchange_events import Call
from cranebank.dataplane.open_legs import Handle, Leg, OpenLegs
from cranebank.dataplane.pair import MAX_LOCAL_PREFILL_TOKENS
from cranebank.dataplane.prompt import Prompt
from cranebank.dataplane.routes import Engine, Route
from cranebank.dataplane.shared import Shared
from cranebank.invariants import invariant_error
from cranebank.transport.messages import PrefillBegun

HANDLE_MARGIN_S = 0.5  # of a handle's life that is not relied on
PREFILL_TIMEOUT_FACTOR = (
    4.0  # a reading is given up after so many times its estimate with what is read before it, and a start
)
PREFILL_TIMEOUT_BASE_S = 0.4
SECOND_COPY_DELAY_S, SECOND_COPY_DELAY_GOALS = (
    0.9,
    3.0,
)  # a second copy goes out after so long, or so many goals, without a head


class Dispatch:
    """Of one request, until ``until``. A call that is returned has been counted and is to be sent; None: there is none.

    ``without`` are the backends that failed the request, ``handle`` its prompt's memory where that was read and not yet
    taken.
    """

    __slots__ = (
        "_answer",
        "_attempts",
        "_choice",
        "_engine",
        "_legs",
        "_plan",
        "_prompt",
        "_route",
        "_service",
        "_shared",
        "_until",
        "handle",
        "without",
    )

    def __init__(
        self,
        shared: Shared,
        route: Route,
        service: str,
        engine: Engine | None,
        prompt: Prompt,
        until: float,
        legs: OpenLegs,
        attempts: Attempts,
        answer: ClientAnswer,
    ) -> None:
        self._shared, self._route, self._service, self._engine, self._prompt = shared, route, service, engine, prompt
        self._choice = shared.choices.of(service, engine)
        self._until, self._legs, self._attempts, self._answer = until, legs, attempts, answer
        self.without: set[str] = set()
        self.handle: Handle | None = None
        self._plan: Plan | None = None

    @property
    def budget(self) -> Budget:
        """The service's budget, asked for each time: an idle one may have been replaced since this request began."""
        return self._shared.budget(self._service)

    def next_call(self, now: float) -> Call | None:
        """Choose a pair and begin with it."""
        if self._attempts.are_used_up:
            return None
        plan = self._choose(now, self.without)
        if plan is None:
            self._shared.count("without_backend")
            return None
        if now >= self._until:
            return None
        self._plan = plan
        if self.handle is not None and now < self.handle.until:
            return self._send_decode(now, plan.decode_backend, 0)
        self.handle = None
        alone = self._answer.is_begun or bool(self._legs)  # no time for a reading
        if plan.prefill_backend is not None and self._attempts.may_prefill() and not alone:
            return self._send_prefill(now, plan.prefill_backend, plan.prefill_tokens)
        return self._send_decode(now, plan.decode_backend, plan.prefill_tokens)

    def call_after_prefill(self, now: float, prefill_backend: Leg, handle: str) -> Call | None:
        """The prompt was read: go on with the memory under this handle."""
        took_ms = (now - prefill_backend.sent_at) * 1e3
        self._shared.choices.pairs.end_prefill(now, self._service, prefill_backend)
        self._shared.count("readings")
        self._shared.count("reading_ms", round(took_ms))
        if self._engine is None:
            raise invariant_error("a service without engines reads no prompt apart")
        self.handle = Handle(prefill_backend.view.backend, handle, now + self._engine.handle_ttl_s - HANDLE_MARGIN_S)
        decode_backend = self._usable_decode_backend(now)
        return self._send_decode(now, decode_backend, 0) if decode_backend is not None else None

    def unsent(self, now: float, leg: Leg) -> None:
        """A call never left us: nobody was asked to read."""
        self._shared.load.add_prefill(now, self._service, -leg.prefill_load_s)
        if leg.ticket is not None:
            leg.view.prefill_queue.cancel(leg.ticket)
        if not leg.is_prefill:
            self.handle = leg.handle  # nobody took it

    def can_retry(self, now: float) -> bool:
        """Whether there is what another run needs besides a try: budget, and somebody to run it."""
        return self._has_budget(now) and self._choice.has_candidate(now, self.without)

    def _choose(self, now: float, without: set[str]) -> Plan | None:
        return self._choice.choose(now, self._prompt, self._route.goal_ms, without)

    def _has_budget(self, now: float) -> bool:
        return self.budget.may(now, self._shared.choices.draws.proxies)

    def _usable_decode_backend(self, now: float) -> BackendView | None:
        """The planned maker, or another where it may take nothing any more or has failed lately."""
        assert self._plan is not None
        decode_backend = self._plan.decode_backend
        may_begin = self._shared.candidates.may_begin(now, decode_backend)
        if may_begin and not decode_backend.is_avoided(now):
            return decode_backend
        plan = self._choose(now, self.without | {decode_backend.backend.id})
        if plan is not None:
            return plan.decode_backend
        return decode_backend if may_begin else None

    def _send_prefill(self, now: float, prefill_backend: BackendView, tokens: int) -> Call | None:
        """Send the request to a backend that reads its prompt only."""
        if self._attempts.prefills and not self._may_repeat(now):
            return None
        is_counted = self._attempts.count_prefill()
        pairs = self._shared.choices.pairs
        wait_s = (
            pairs.wait_ms(now, self._service, prefill_backend) / 1e3
        )  # one with much to read is late with it, and not silent
        estimate_s = wait_s + pairs.latency(self._service, "prefill").estimate(tokens) / 1e3
        headers = (("X-Stage", "prefill"), self._priority())
        leg, call = self._send(
            now, prefill_backend, tokens, True, headers, PREFILL_TIMEOUT_BASE_S + PREFILL_TIMEOUT_FACTOR * estimate_s
        )
        leg.is_counted = is_counted
        # What is thought to be kept may not be: only a whole prompt at an idle backend tells how fast it reads.
        leg.found_idle = leg.found_idle and not wait_s and tokens >= self._prompt.tokens
        leg.ticket = pairs.begin_prefill(now, self._service, prefill_backend, tokens)
        self._announce_prefill(prefill_backend, tokens)
        return call

    def _announce_prefill(self, prefill_backend: BackendView, tokens: int) -> None:
        """Other proxies count it in the queue of the backend, and as kept there."""
        tell, prompt = self._shared.on_prefill_begun, self._prompt
        if tell is not None:
            shared = prompt.shared_tokens if prompt.home_key else 0
            slowness, prefill_backend.unreported_slowness = prefill_backend.unreported_slowness, 0.0
            tell(PrefillBegun(prefill_backend.backend.id, tokens, prompt.home_key, shared, round(slowness, 2)))

    def _send_decode(self, now: float, decode_backend: BackendView, tokens: int) -> Call | None:
        """Send the request to the backend that makes the tokens."""
        if self._attempts.arrivals and not self._may_repeat(now):
            return None
        headers: list[tuple[str, str]] = [self._priority()]
        handle = self.handle
        if handle is not None:
            headers.append(("Kv-From", f"{handle.backend.address}/{handle.name}"))
            self.handle, tokens = None, 0
        if self._answer.last_event_id is not None:
            headers.append(("Last-Event-Id", self._answer.last_event_id))
        self._attempts.count_decode()
        silent_s = None
        if self._route.repeatable and self._attempts.are_left:
            silent_s = max(SECOND_COPY_DELAY_S, SECOND_COPY_DELAY_GOALS * self._route.goal_ms / 1e3)
        leg, call = self._send(now, decode_backend, tokens, False, tuple(headers), silent_s)
        leg.handle = handle
        return call

    def _priority(self) -> tuple[str, str]:
        """A lower rank of the route is more urgent; the ends of the scale are left to others."""
        if not self._shared.choices.policy.priorities:
            return "Priority", "5"
        return "Priority", str(min(9, 3 + self._route.rank))

    def _may_repeat(self, now: float) -> bool:
        if not self._has_budget(now):
            self._shared.count("budget_empty")
            return False
        self.budget.spend(now)
        self._shared.count("repeats")
        return True

    def _send(
        self,
        now: float,
        view: BackendView,
        tokens: int,
        is_prefill: bool,
        headers: tuple[tuple[str, str], ...],
        silent_s: float | None,
    ) -> tuple[Leg, Call]:
        permitted_until = self._shared.candidates.begin_call(now, view)
        if permitted_until:
            self._shared.count("cold_calls")
        leg = self._legs.open(now, view, tokens, is_prefill, silent_s)
        choices = self._shared.choices
        choices.draws.count_call(now, self._service, view.backend.stage)
        if (
            is_prefill or tokens > MAX_LOCAL_PREFILL_TOKENS
        ):  # also what is read where tokens are made since nobody is there to read it
            leg.prefill_load_s = choices.pairs.latency(self._service, "prefill").token_ms * tokens / 1e3
            self._shared.load.add_prefill(now, self._service, leg.prefill_load_s)
        if self._engine is not None:
            self._shared.count(f"tokens_asked_{view.backend.stage}", tokens)
            share = PREFILL_CACHE_SHARE if is_prefill else CACHE_SHARE
            self._shared.cache.touch(view.backend.id, self._prompt.parts, self._engine.cache_tokens, share)
        self._shared.count("reads" if is_prefill else "makes")
        return leg, Call(leg.number, view.backend, headers, permitted_until)
