"""The primary's queue of evacuation changes that wait to be chosen with the epoch record: pure state.

Guarantees to callers: a change is done only when the chosen record contains it, or a later change of the same zone that
was queued while it waited; a change that was never proposed ends as not applied, a proposed one as unknown.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from cranebank.control import events as ev

MAX_WAITING = 64


class WaitingEvacuation(msgspec.Struct):
    """A queued change; ``deadline`` is a time (seconds) of the monotonic clock."""

    request: int
    zone: str
    is_start: bool
    deadline: float
    is_proposed: bool = False


class EvacuationQueue:
    """The queued changes of one primary, in order of arrival."""

    def __init__(self) -> None:
        self._waiting: deque[WaitingEvacuation] = deque()

    def add(self, event: ev.Evacuate, deadline: float) -> bool:
        """Add a change; return whether there was room."""
        if len(self._waiting) >= MAX_WAITING:
            return False
        self._waiting.append(WaitingEvacuation(event.request, event.zone, event.is_start, deadline))
        return True

    def zones_after(self, evacuated: Iterable[str]) -> tuple[str, ...]:
        """Return the given evacuated zones with all queued changes applied, sorted."""
        zones = set(evacuated)
        for zone, is_start in self._newest().items():
            (zones.add if is_start else zones.discard)(zone)
        return tuple(sorted(zones))

    def mark_proposed(self) -> None:
        """Mark all queued changes as proposed: from now on they may be chosen."""
        for waiting in self._waiting:
            waiting.is_proposed = True

    def take_done(self, evacuated: Iterable[str]) -> list[int]:
        """Remove the changes that a chosen record with these zones contains; return their requests."""
        zones = set(evacuated)
        done = {zone for zone, is_start in self._newest().items() if (zone in zones) == is_start}
        requests = [waiting.request for waiting in self._waiting if waiting.zone in done]
        self._waiting = deque(waiting for waiting in self._waiting if waiting.zone not in done)
        return requests

    def take_overdue(self, now: float) -> list[tuple[int, ev.Result]]:
        """Remove the changes whose deadline has passed; return their requests and results."""
        late: list[tuple[int, ev.Result]] = []
        while self._waiting and now >= self._waiting[0].deadline:
            waiting = self._waiting.popleft()
            late.append((waiting.request, ev.Unknown() if waiting.is_proposed else ev.Busy()))
        return late

    def take_all(self) -> list[tuple[int, ev.Result]]:
        """Remove all changes at the end of leadership; return their requests and results."""
        ended: list[tuple[int, ev.Result]] = [
            (waiting.request, ev.Unknown() if waiting.is_proposed else ev.NotPrimary(None)) for waiting in self._waiting
        ]
        self._waiting.clear()
        return ended

    def _newest(self) -> dict[str, bool]:
        """Return for each zone whether its newest queued change starts an evacuation."""
        return {waiting.zone: waiting.is_start for waiting in self._waiting}
