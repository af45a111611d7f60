"""How long a prompt waits at a prefill backend before it is read, by what this proxy knows of all proxies' readings.

A backend reads prompts one after the other. Each reading that is known of (this proxy's own, and those that other
proxies tell of as they begin them) is put behind the ones before it, for as long as it takes by the pace that was
learnt. Nobody tells when a reading has ended: time does. The end of one of our own shows how far the estimate was off.
"""

from __future__ import annotations

from math import exp

import msgspec

MAX_QUEUE_S = 30.0  # longer than any client waits: a figure beyond it says nothing more
SLOWNESS_GAIN = 0.15  # of one observation
SLOWNESS_BOUNDS = 0.25, 16.0
SLOWNESS_FADE_S = 10.0  # a backend that is avoided since it was slow is tried again when this has faded


class Ticket(msgspec.Struct, frozen=True, gc=False):
    """One reading in a queue: how long it takes, and when it should be over, but for what the queue slips from now."""

    seconds: float
    expected_end_at: float


class PrefillQueue:
    """Of one backend. Times in seconds on the steady clock."""

    __slots__ = ("_slipped", "_until")

    def __init__(self) -> None:
        self._until = 0.0  # when all that is known of will have been read
        self._slipped = 0.0  # by how much the ends of our own readings have moved the queue so far

    def wait(self, now: float) -> float:
        """Seconds until a reading that came now would begin."""
        return max(0.0, self._until - now)

    def add(self, now: float, seconds: float) -> Ticket:
        """A reading that takes so long comes last."""
        self._until = min(max(now, self._until) + seconds, now + MAX_QUEUE_S)
        return Ticket(seconds, self._until - self._slipped)

    def cancel(self, ticket: Ticket) -> None:
        """A reading that was added has never reached the backend."""
        self._until -= ticket.seconds

    def finish(self, now: float, ticket: Ticket) -> None:
        """A reading of our own is over: all that follow it are as early or late as it was."""
        slip = now - ticket.expected_end_at - self._slipped
        self._slipped += slip
        self._until = min(max(now, self._until + slip), now + MAX_QUEUE_S)


class Slowness:
    """How many times as long as others a backend takes to read; observations fade."""

    __slots__ = ("_at", "_value")

    def __init__(self) -> None:
        self._value, self._at = 1.0, 0.0

    def observe(self, now: float, ratio: float) -> None:
        """A reading that waited for no other took so many times the estimate."""
        low, high = SLOWNESS_BOUNDS
        known = self.at(now)
        self._value = known + SLOWNESS_GAIN * (min(max(ratio, low), high) - known)
        self._at = now

    def at(self, now: float) -> float:
        """What is thought now."""
        return 1.0 + (self._value - 1.0) * exp(-max(0.0, now - self._at) / SLOWNESS_FADE_S)
