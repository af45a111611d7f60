"""Model of a host: cores, slots, a bounded queue, cold starts, slow mode and pauses. No I/O and no clock.

Times are whole microseconds on the caller's clock; work is microseconds on one core of speed 1. Running jobs share
the cores evenly, and no job runs faster than one core. Between two events the rate is constant, so a virtual clock of
work done per job orders the completions (the usual way to simulate processor sharing). ``advance`` gives each
completion its exact time however late it is called: on sockets, a late timer changes only when a completion is
observed, not when it happened.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import ceil, log2
from typing import Any

WARM_UP_STEP_US = 50_000  # the capacity of a cold host is updated once per step
MAX_LOAD_CHANGES = 8192  # load changes kept for delayed load reports


class Admission(Enum):
    """Result of offering a job to a host."""

    STARTED = "started"
    WAITING = "waiting"
    FULL = "full"
    FELL = "fell"  # the job's work made the cold host fail


class Phase(Enum):
    """Phase of a job."""

    WAITING = "waiting"
    FIRST = "first"  # running, before its calls to the next tier
    CALLING = "calling"  # holds its slot while the next tier works
    LAST = "last"  # running, after its calls
    CHORE = "chore"  # a handshake or a probe: work that needs no slot
    DONE = "done"


@dataclass(slots=True, frozen=True)
class SlowMode:
    """Slow mode: ``slowdown`` times slower, from overload until the host has been mostly idle.

    It starts after ``queued_for_us`` with more than ``queued_per_core`` jobs queued per core, and ends after
    ``idle_for_us`` with less than the share ``idle_below`` of the cores busy, or after ``max_us``.
    """

    queued_per_core: float
    queued_for_us: int
    slowdown: float
    idle_for_us: int
    idle_below: float
    max_us: int


@dataclass(slots=True, frozen=True)
class HostSpec:
    """Capacity and behaviour of a host. Load reports are refreshed each ``report_period_us`` and arrive delayed."""

    cores: int = 2
    speed: float = 1.0
    slots: int = 24
    queue: int = 40
    thrash: float = 0.0
    cold_share: float = 1.0
    warm_up_us: int = 0
    fall_multiple: float = float("inf")
    fall_window_us: int = 3_000_000
    slow: SlowMode | None = None
    report_period_us: int = 100_000
    report_delay_us: int = 50_000


@dataclass(slots=True, eq=False)
class Job:
    """A request or a chore in a host; ``content`` belongs to the caller."""

    work: float  # total work on this host
    calls: int = 0  # calls to the next tier, made when half of the work is done
    content: Any = None
    phase: Phase = Phase.WAITING
    ended: int = 0  # when its phase ended


@dataclass(slots=True)
class HostModel:
    """A host after one start of its process; ``started`` of 0 or less means that it is warm."""

    spec: HostSpec
    started: int = 0
    fallen: bool = False
    _now: int = 0
    _virtual_time: float = 0.0
    _sequence: int = 0
    _ends: list[tuple[float, int, Job]] = field(default_factory=list)
    _running: int = 0  # jobs that use the cores
    _slots_in_use: int = 0
    _waiting: deque[Job] = field(default_factory=deque)
    _paused_until: int = 0
    _slowdown: float = 1.0
    _overloaded_since: int | None = None
    _slow_since: int | None = None
    _idle_since: int | None = None
    _history: deque[tuple[int, int, int]] = field(default_factory=lambda: deque([(0, 0, 0)], maxlen=MAX_LOAD_CHANGES))
    _cold_work: deque[tuple[int, float]] = field(default_factory=deque)  # (time, work) of offers while cold
    _cold_work_sum: float = 0.0

    def __post_init__(self) -> None:
        self._now = max(0, self.started)

    # Requests and state.

    @property
    def inflight(self) -> int:
        """Requests running, in calls or queued."""
        return self._slots_in_use + len(self._waiting)

    @property
    def waiting(self) -> int:
        """Requests queued."""
        return len(self._waiting)

    @property
    def slow_mode(self) -> bool:
        """Whether the host is in slow mode."""
        return self._slow_since is not None

    def share(self, now: int) -> float:
        """Return the share of full capacity at ``now``: it rises linearly while the host is cold."""
        spec = self.spec
        if self.started <= 0 or not spec.warm_up_us or now >= self.started + spec.warm_up_us:
            return 1.0
        return spec.cold_share + (1.0 - spec.cold_share) * max(0, now - self.started) / spec.warm_up_us

    def offer(self, now: int, job: Job) -> Admission:
        """Offer a request; the caller must have called ``advance(now)`` before."""
        if self._count_cold_work(now, job.work):
            self.fallen = True
            return Admission.FELL
        if self._slots_in_use < self.spec.slots:
            self._start(job)
            self._record_load()
            return Admission.STARTED
        if len(self._waiting) >= self.spec.queue:
            return Admission.FULL
        job.phase = Phase.WAITING
        self._waiting.append(job)
        self._record_load()
        return Admission.WAITING

    def chore(self, job: Job) -> None:
        """Add work that needs no slot."""
        job.phase = Phase.CHORE
        self._compute(job, job.work)

    def resume(self, job: Job) -> None:
        """Continue a job whose calls the next tier has answered."""
        if job.phase is Phase.CALLING:
            job.phase = Phase.LAST
            self._compute(job, job.work / 2)

    def drop(self, job: Job) -> None:
        """Stop a job in any phase: it was cancelled, or a call to the next tier failed."""
        phase, job.phase = job.phase, Phase.DONE
        if phase is Phase.WAITING:
            self._waiting.remove(job)
        elif phase in (Phase.FIRST, Phase.LAST, Phase.CHORE):
            self._running -= 1  # its entry stays in the heap and is skipped later
            if len(self._ends) > 2 * self._running + 64:
                self._ends = [end for end in self._ends if end[2].phase is not Phase.DONE]
                heapq.heapify(self._ends)
        if phase in (Phase.FIRST, Phase.CALLING, Phase.LAST):
            self._free_slot()
        self._record_load()

    def pause(self, until: int) -> None:
        """Stop all work until ``until``."""
        self._paused_until = max(self._paused_until, until)

    def slow(self, factor: float) -> None:
        """Run ``factor`` times slower from now on; 1 restores the speed."""
        self._slowdown = factor

    def load_per_capacity(self, now: int) -> float:
        """Return the requests per core divided by the current speed; the oracle policy compares hosts by it."""
        spec = self.spec
        speed = spec.speed * self.share(now) / self._slowdown
        if self._slow_since is not None and spec.slow is not None:
            speed /= spec.slow.slowdown
        return (self.inflight + 1) / (spec.cores * speed)

    def report(self, now: int, late: int = 0) -> tuple[int, int]:
        """Return ``inflight`` and ``queue`` as reported at ``now``: sampled per period, delivered with delay."""
        period_us, history = max(1, self.spec.report_period_us), self._history
        sampled_at = (now - self.spec.report_delay_us - late) // period_us * period_us
        while len(history) > 1 and history[1][0] <= sampled_at - late - 10_000_000:
            history.popleft()
        found = history[0]
        for change in reversed(history):
            if change[0] <= sampled_at:
                found = change
                break
        return found[1], found[2]

    # Time.

    def next_due(self) -> int | None:
        """Return when to call ``advance`` next, unless a job is added before then."""
        self._skip_dropped()
        if not self._running:
            return None
        rate, rate_change = self._rate(), self._next_rate_change()
        if rate <= 0.0:
            return rate_change
        end = self._now + max(1, ceil((self._ends[0][0] - self._virtual_time) / rate))
        return end if rate_change is None else min(end, rate_change)

    def advance(self, now: int) -> list[Job]:
        """Move to ``now`` and return the jobs whose phase has ended, in order of their ``ended`` times.

        Jobs in the phase CALLING wait for ``resume``; the others are done.
        """
        done: list[Job] = []
        while self._now < now:
            rate_change = self._next_rate_change()
            until = now if rate_change is None else min(now, rate_change)
            rate = self._rate()
            self._skip_dropped()
            if self._running and rate > 0.0:
                finish = self._ends[0][0]
                end = self._now + max(0, ceil((finish - self._virtual_time) / rate))
                if end <= until:
                    job = heapq.heappop(self._ends)[2]
                    self._virtual_time, self._now = max(self._virtual_time, finish), end
                    self._end_phase(job)
                    done.append(job)
                    continue
            self._virtual_time += rate * (until - self._now)
            self._now = until
            self._update_slow_mode()
        return done

    # Internals.

    def _rate(self) -> float:
        """Return the work per microsecond that each running job gets."""
        if self._now < self._paused_until or not self._running:
            return 0.0
        spec = self.spec
        speed = spec.speed * self.share(self._now + (WARM_UP_STEP_US // 2)) / self._slowdown
        if self._slow_since is not None and spec.slow is not None:
            speed /= spec.slow.slowdown
        if spec.thrash and self._slots_in_use > spec.cores:
            speed /= 1.0 + spec.thrash * log2(self._slots_in_use / spec.cores)
        return speed * min(1.0, spec.cores / self._running)

    def _next_rate_change(self) -> int | None:
        """Return when the rate next changes without an event."""
        found = []
        if self._now < self._paused_until:
            found.append(self._paused_until)
        elif self.started > 0 and self._now < self.started + self.spec.warm_up_us:
            found.append(self._now + WARM_UP_STEP_US)
        if (slow := self.spec.slow) is not None:
            if self._slow_since is not None:
                found.append(self._slow_since + slow.max_us)
                if self._idle_since is not None:
                    found.append(self._idle_since + slow.idle_for_us)
            elif self._overloaded_since is not None:
                found.append(self._overloaded_since + slow.queued_for_us)
        return max(self._now + 1, min(found)) if found else None

    def _update_slow_mode(self) -> None:
        """Enter or leave slow mode."""
        slow, at = self.spec.slow, self._now
        if slow is None:
            return
        if self._slow_since is None:
            overloaded = len(self._waiting) > slow.queued_per_core * self.spec.cores
            self._overloaded_since = (
                (at if self._overloaded_since is None else self._overloaded_since) if overloaded else None
            )
            if self._overloaded_since is not None and at >= self._overloaded_since + slow.queued_for_us:
                self._slow_since, self._overloaded_since, self._idle_since = at, None, None
        else:
            idle = self._running < slow.idle_below * self.spec.cores
            self._idle_since = (at if self._idle_since is None else self._idle_since) if idle else None
            recovered = self._idle_since is not None and at >= self._idle_since + slow.idle_for_us
            if recovered or at >= self._slow_since + slow.max_us:
                self._slow_since = self._idle_since = None

    def _start(self, job: Job) -> None:
        self._slots_in_use += 1
        job.phase = Phase.FIRST
        self._compute(job, job.work / 2 if job.calls else job.work)

    def _compute(self, job: Job, work: float) -> None:
        self._sequence += 1
        self._running += 1
        heapq.heappush(self._ends, (self._virtual_time + work, self._sequence, job))

    def _end_phase(self, job: Job) -> None:
        self._running -= 1
        job.ended = self._now
        if job.phase is Phase.FIRST and job.calls:
            job.phase = Phase.CALLING
            return
        if job.phase is not Phase.CHORE:
            self._free_slot()
        job.phase = Phase.DONE
        self._record_load()

    def _free_slot(self) -> None:
        """Free a slot and start the first queued job in it."""
        self._slots_in_use -= 1
        if self._waiting and self._slots_in_use < self.spec.slots:
            self._start(self._waiting.popleft())

    def _skip_dropped(self) -> None:
        while self._ends and self._ends[0][2].phase is Phase.DONE:
            heapq.heappop(self._ends)

    def _record_load(self) -> None:
        self._update_slow_mode()
        entry = (self._now, self.inflight, len(self._waiting))
        if self._history[-1][0] == self._now:
            self._history[-1] = entry
        else:
            self._history.append(entry)

    def _count_cold_work(self, now: int, work: float) -> bool:
        """Count work offered to a cold host, also if it is rejected; return whether the host fails under it."""
        spec = self.spec
        if self.fallen:
            return True
        if self.share(now) >= 1.0:
            self._cold_work.clear()
            return False
        self._cold_work.append((now, work))
        self._cold_work_sum += work
        while self._cold_work[0][0] <= now - spec.fall_window_us:
            self._cold_work_sum -= self._cold_work.popleft()[1]
        limit = spec.fall_multiple * self.share(now) * spec.cores * spec.speed * spec.fall_window_us
        return self._cold_work_sum > limit


class SeenKeys:
    """Idempotency keys seen by the hosts of a tier: a repeat within the window has no effect.

    Keys are kept for the longest window, so memory is bounded by the request rate times ``max_window_us``.
    """

    def __init__(self, max_window_us: int) -> None:
        self._max_window_us = max_window_us
        self._seen: dict[tuple[int, str], int] = {}  # by class and key: when it was first seen, oldest first
        self.dropped = 0

    def first(self, now: int, kind: int, key: str, window_us: int) -> bool:
        """Return whether the effect takes place; otherwise the request is a repeat."""
        for old, at in list(self._seen.items())[:2]:  # removing up to two per insertion bounds the size
            if at <= now - self._max_window_us:
                del self._seen[old]
        at = self._seen.get((kind, key), -(1 << 62))
        if now - at < window_us:
            self.dropped += 1
            return False
        self._seen.pop((kind, key), None)
        self._seen[kind, key] = now
        return True
