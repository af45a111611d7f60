"""Changes of the evacuated zones that wait to be chosen with the epoch record: the primary's queue, pure state.

Guarantees to callers: a change is done only when the chosen record has it, or has a later change of the same zone that
came while it waited; one that was never proposed is told as not taken up, one that was proposed as unknown.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import msgspec

from cranebank.control import events as ev

MOST_WAITING = 64


class WaitingEvacuation(msgspec.Struct):
    """A change that waits; ``deadline`` is a time (seconds) of the steady clock."""

    request: int
    zone: str
    is_start: bool
    deadline: float
    is_proposed: bool = False


class EvacuationQueue:
    """The changes that wait at one primary, in the order in which they came."""

    def __init__(self) -> None:
        self._waiting: deque[WaitingEvacuation] = deque()

    def add(self, event: ev.Evacuate, deadline: float) -> bool:
        """Take a change; tell whether there was room."""
        if len(self._waiting) >= MOST_WAITING:
            return False
        self._waiting.append(WaitingEvacuation(event.request, event.zone, event.is_start, deadline))
        return True

    def zones_after(self, evacuated: Iterable[str]) -> tuple[str, ...]:
        """Return the evacuated zones, sorted, once all waiting changes are done upon these."""
        zones = set(evacuated)
        for zone, is_start in self._newest().items():
            (zones.add if is_start else zones.discard)(zone)
        return tuple(sorted(zones))

    def mark_proposed(self) -> None:
        """A record with all waiting changes is proposed: from now on they may come to be chosen."""
        for waiting in self._waiting:
            waiting.is_proposed = True

    def take_done(self, evacuated: Iterable[str]) -> list[int]:
        """Take out the changes that a chosen record with these zones has; return their requests."""
        zones = set(evacuated)
        done = {zone for zone, is_start in self._newest().items() if (zone in zones) == is_start}
        requests = [waiting.request for waiting in self._waiting if waiting.zone in done]
        self._waiting = deque(waiting for waiting in self._waiting if waiting.zone not in done)
        return requests

    def take_late(self, now: float) -> list[tuple[int, ev.Result]]:
        """Take out the changes whose deadline has passed; return their requests and results."""
        late: list[tuple[int, ev.Result]] = []
        while self._waiting and now >= self._waiting[0].deadline:
            waiting = self._waiting.popleft()
            late.append((waiting.request, ev.Unknown() if waiting.is_proposed else ev.Busy()))
        return late

    def take_all(self) -> list[tuple[int, ev.Result]]:
        """The primary ceases: take out all; return their requests and results."""
        ended: list[tuple[int, ev.Result]] = [
            (waiting.request, ev.Unknown() if waiting.is_proposed else ev.NotPrimary(None)) for waiting in self._waiting
        ]
        self._waiting.clear()
        return ended

    def _newest(self) -> dict[str, bool]:
        """By zone, whether its newest waiting change starts an evacuation."""
        return {waiting.zone: waiting.is_start for waiting in self._waiting}
