"""The model of a host: cores, slots, a waiting room, cold starts, slow mode, pauses. No I/O and no clock.

Times are whole microseconds on whatever clock the caller keeps; work is microseconds on one core of speed 1.
Jobs in work share the cores evenly, none faster than one core. Between two events the rate is constant, so a
virtual clock of work done per job orders the ends (the well-known way to simulate processor sharing), and
``advance`` finds each end at its own time however late it is called: on sockets a late timer doesn't change
what the host would have done, only when it is seen.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from math import ceil, log2
from typing import Any

WARM_STEP = 50_000  # a cold host's capacity is taken as constant for so long
HISTORY = 8192  # changes of load remembered for the reports


class Verdict(Enum):
    """What became of a job that was offered."""

    STARTED = "started"
    WAITING = "waiting"
    FULL = "full"
    FELL = "fell"  # it pushed the cold host over


class Phase(Enum):
    """Where a job is."""

    WAITING = "waiting"
    FIRST = "first"  # in work, before its calls to the next tier
    CALLING = "calling"  # holds its slot while the next tier works
    LAST = "last"
    CHORE = "chore"  # a handshake or a probe: work without a slot
    DONE = "done"


@dataclass(slots=True, frozen=True)
class Slow:
    """Slow mode: entered after ``over`` with more than ``at`` waiting a core, then ``slower`` times slower,
    left after ``rest`` with fewer than ``below`` of the cores busy, or after ``most``."""

    at: float
    over: int
    slower: float
    rest: int
    below: float
    most: int


@dataclass(slots=True, frozen=True)
class HostSpec:
    """What a host is. ``period``, ``delay``: load reports are refreshed and told so late (microseconds)."""

    cores: int = 2
    speed: float = 1.0
    slots: int = 24
    queue: int = 40
    thrash: float = 0.0
    cold_share: float = 1.0
    warm: int = 0
    fall_multiple: float = float("inf")
    fall_window: int = 3_000_000
    slow: Slow | None = None
    period: int = 100_000
    delay: int = 50_000


@dataclass(slots=True, eq=False)
class Job:
    """A request in the host, or a chore; ``content`` is the caller's own."""

    work: float  # of this host's own part, in all
    calls: int = 0  # to the next tier, once half of the work is done
    content: Any = None
    phase: Phase = Phase.WAITING
    ended: int = 0  # when its phase ended


@dataclass(slots=True)
class HostModel:
    """One host from one start on; ``started`` 0 or less: long ago, and warm."""

    spec: HostSpec
    started: int = 0
    fallen: bool = False
    _at: int = 0
    _v: float = 0.0
    _order: int = 0
    _ends: list[tuple[float, int, Job]] = field(default_factory=list)
    _running: int = 0  # jobs that compute
    _taken: int = 0  # slots in use
    _waiting: deque[Job] = field(default_factory=deque)
    _paused: int = 0  # until then
    _factor: float = 1.0
    _crowded_from: int | None = None
    _slow_from: int | None = None
    _resting_from: int | None = None
    _history: deque[tuple[int, int, int]] = field(default_factory=lambda: deque([(0, 0, 0)], maxlen=HISTORY))
    _pushed: deque[tuple[int, float]] = field(default_factory=deque)  # work sent while cold
    _pushed_sum: float = 0.0

    def __post_init__(self) -> None:
        self._at = max(0, self.started)

    # What is asked of it.

    @property
    def inflight(self) -> int:
        """Requests it holds."""
        return self._taken + len(self._waiting)

    @property
    def waiting(self) -> int:
        """Requests in its waiting room."""
        return len(self._waiting)

    @property
    def slow_mode(self) -> bool:
        """Whether it is in slow mode."""
        return self._slow_from is not None

    def share(self, now: int) -> float:
        """The part of its capacity that a host has at ``now``: it rises evenly while cold."""
        spec = self.spec
        if self.started <= 0 or not spec.warm or now >= self.started + spec.warm:
            return 1.0
        return spec.cold_share + (1.0 - spec.cold_share) * max(0, now - self.started) / spec.warm

    def offer(self, now: int, job: Job) -> Verdict:
        """Bring a request; the caller has called ``advance(now)`` before."""
        if self._push(now, job.work):
            self.fallen = True
            return Verdict.FELL
        if self._taken < self.spec.slots:
            self._begin(job)
            self._changed()
            return Verdict.STARTED
        if len(self._waiting) >= self.spec.queue:
            return Verdict.FULL
        job.phase = Phase.WAITING
        self._waiting.append(job)
        self._changed()
        return Verdict.WAITING

    def chore(self, job: Job) -> None:
        """Bring work that needs no slot."""
        job.phase = Phase.CHORE
        self._compute(job, job.work)

    def resume(self, job: Job) -> None:
        """The next tier has answered the job's calls."""
        if job.phase is Phase.CALLING:
            job.phase = Phase.LAST
            self._compute(job, job.work / 2)

    def drop(self, job: Job) -> None:
        """Stop work on a job wherever it is: cancelled, or failed by the next tier."""
        phase, job.phase = job.phase, Phase.DONE
        if phase is Phase.WAITING:
            self._waiting.remove(job)
        elif phase in (Phase.FIRST, Phase.LAST, Phase.CHORE):
            self._running -= 1  # its end stays in the heap and is passed over
            if len(self._ends) > 2 * self._running + 64:
                self._ends = [end for end in self._ends if end[2].phase is not Phase.DONE]
                heapq.heapify(self._ends)
        if phase in (Phase.FIRST, Phase.CALLING, Phase.LAST):
            self._free()
        self._changed()

    def pause(self, until: int) -> None:
        """Stand still until then."""
        self._paused = max(self._paused, until)

    def slow(self, factor: float) -> None:
        """Be so many times slower from now on; 1 ends it."""
        self._factor = factor

    def strain(self, now: int) -> float:
        """Requests a core, over the speed that it has now: what a policy that sees the truth goes by."""
        spec = self.spec
        speed = spec.speed * self.share(now) / self._factor
        if self._slow_from is not None and spec.slow is not None:
            speed /= spec.slow.slower
        return (self.inflight + 1) / (spec.cores * speed)

    def report(self, now: int, late: int = 0) -> tuple[int, int]:
        """``inflight`` and ``queue`` as told at ``now``: refreshed each period, told after the delay."""
        period, history = max(1, self.spec.period), self._history
        seen = (now - self.spec.delay - late) // period * period
        while len(history) > 1 and history[1][0] <= seen - late - 10_000_000:
            history.popleft()
        found = history[0]
        for change in reversed(history):
            if change[0] <= seen:
                found = change
                break
        return found[1], found[2]

    # Time.

    def next_due(self) -> int | None:
        """When ``advance`` should be called next, if nothing is brought before."""
        self._prune()
        if not self._running:
            return None
        rate, boundary = self._rate(), self._boundary()
        if rate <= 0.0:
            return boundary
        end = self._at + max(1, ceil((self._ends[0][0] - self._v) / rate))
        return end if boundary is None else min(end, boundary)

    def advance(self, now: int) -> list[Job]:
        """Move to ``now``; return the jobs whose phase has ended, in order, ``ended`` saying when.

        Those left in CALLING wait for ``resume``; the others are done.
        """
        done: list[Job] = []
        while self._at < now:
            boundary = self._boundary()
            until = now if boundary is None else min(now, boundary)
            rate = self._rate()
            self._prune()
            if self._running and rate > 0.0:
                finish = self._ends[0][0]
                end = self._at + max(0, ceil((finish - self._v) / rate))
                if end <= until:
                    job = heapq.heappop(self._ends)[2]
                    self._v, self._at = max(self._v, finish), end
                    self._ended(job)
                    done.append(job)
                    continue
            self._v += rate * (until - self._at)
            self._at = until
            self._modes()
        return done

    # The inside.

    def _rate(self) -> float:
        """Work a microsecond that each computing job gets."""
        if self._at < self._paused or not self._running:
            return 0.0
        spec = self.spec
        speed = spec.speed * self.share(self._at + (WARM_STEP // 2)) / self._factor
        if self._slow_from is not None and spec.slow is not None:
            speed /= spec.slow.slower
        if spec.thrash and self._taken > spec.cores:
            speed /= 1.0 + spec.thrash * log2(self._taken / spec.cores)
        return speed * min(1.0, spec.cores / self._running)

    def _boundary(self) -> int | None:
        """When the rate changes next by itself."""
        found = []
        if self._at < self._paused:
            found.append(self._paused)
        elif self.started > 0 and self._at < self.started + self.spec.warm:
            found.append(self._at + WARM_STEP)
        if (slow := self.spec.slow) is not None:
            if self._slow_from is not None:
                found.append(self._slow_from + slow.most)
                if self._resting_from is not None:
                    found.append(self._resting_from + slow.rest)
            elif self._crowded_from is not None:
                found.append(self._crowded_from + slow.over)
        return max(self._at + 1, min(found)) if found else None

    def _modes(self) -> None:
        """Enter or leave slow mode."""
        slow, at = self.spec.slow, self._at
        if slow is None:
            return
        if self._slow_from is None:
            crowded = len(self._waiting) > slow.at * self.spec.cores
            self._crowded_from = (at if self._crowded_from is None else self._crowded_from) if crowded else None
            if self._crowded_from is not None and at >= self._crowded_from + slow.over:
                self._slow_from, self._crowded_from, self._resting_from = at, None, None
        else:
            resting = self._running < slow.below * self.spec.cores
            self._resting_from = (at if self._resting_from is None else self._resting_from) if resting else None
            rested = self._resting_from is not None and at >= self._resting_from + slow.rest
            if rested or at >= self._slow_from + slow.most:
                self._slow_from = self._resting_from = None

    def _begin(self, job: Job) -> None:
        self._taken += 1
        job.phase = Phase.FIRST
        self._compute(job, job.work / 2 if job.calls else job.work)

    def _compute(self, job: Job, work: float) -> None:
        self._order += 1
        self._running += 1
        heapq.heappush(self._ends, (self._v + work, self._order, job))

    def _ended(self, job: Job) -> None:
        self._running -= 1
        job.ended = self._at
        if job.phase is Phase.FIRST and job.calls:
            job.phase = Phase.CALLING
            return
        if job.phase is not Phase.CHORE:
            self._free()
        job.phase = Phase.DONE
        self._changed()

    def _free(self) -> None:
        """A slot is free: the first in the waiting room gets it."""
        self._taken -= 1
        if self._waiting and self._taken < self.spec.slots:
            self._begin(self._waiting.popleft())

    def _prune(self) -> None:
        while self._ends and self._ends[0][2].phase is Phase.DONE:
            heapq.heappop(self._ends)

    def _changed(self) -> None:
        self._modes()
        entry = (self._at, self.inflight, len(self._waiting))
        if self._history[-1][0] == self._at:
            self._history[-1] = entry
        else:
            self._history.append(entry)

    def _push(self, now: int, work: float) -> bool:
        """Count work sent to a cold host, turned away or not; whether it is pushed over."""
        spec = self.spec
        if self.fallen:
            return True
        if self.share(now) >= 1.0:
            self._pushed.clear()
            return False
        self._pushed.append((now, work))
        self._pushed_sum += work
        while self._pushed[0][0] <= now - spec.fall_window:
            self._pushed_sum -= self._pushed.popleft()[1]
        room = spec.fall_multiple * self.share(now) * spec.cores * spec.speed * spec.fall_window
        return self._pushed_sum > room


class Repeats:
    """The keys that the hosts of a tier have seen: a repeat within the window has no effect of its own.

    Keys are kept for ``longest``, the longest window: memory is bounded by the rate times that.
    """

    def __init__(self, longest: int) -> None:
        self._longest = longest
        self._seen: dict[tuple[int, str], int] = {}  # class and key: when first; the oldest first
        self.dropped = 0

    def first(self, now: int, kind: int, key: str, window: int) -> bool:
        """Whether the effect takes place; else it is a repeat."""
        for old, at in list(self._seen.items())[:2]:  # two out for each one in: bounded by rate and window
            if at <= now - self._longest:
                del self._seen[old]
        at = self._seen.get((kind, key), -(1 << 62))
        if now - at < window:
            self.dropped += 1
            return False
        self._seen.pop((kind, key), None)
        self._seen[kind, key] = now
        return True
