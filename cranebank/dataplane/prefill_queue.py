"""Estimates how long a prompt waits at a prefill backend, by what this proxy knows of all proxies' prefills.

A prefill backend reads prompts one after the other. Each known prefill (this proxy's own, and those that other proxies
report as they begin them) is queued behind the earlier ones for its estimated duration. The end of other proxies'
prefills is not reported, so it is estimated by time. The end of one of this proxy's own shows the error of the
estimate.
"""

from __future__ import annotations

from math import exp

import msgspec

MAX_QUEUE_S = 30.0  # longer than any client waits, so larger estimates make no difference
SLOWNESS_GAIN = 0.15  # weight of one observation
SLOWNESS_BOUNDS = 0.25, 16.0
SLOWNESS_FADE_S = 10.0  # a backend that is avoided as slow is tried again once this has faded


class Ticket(msgspec.Struct, frozen=True, gc=False):
    """One prefill in a queue: its estimated duration, and its expected end without the queue's total shift."""

    seconds: float
    expected_end_at: float


class PrefillQueue:
    """The queue of one backend. Times are in seconds on the steady clock."""

    __slots__ = ("_slipped", "_until")

    def __init__(self) -> None:
        self._until = 0.0  # when all known prefills will have ended
        self._slipped = 0.0  # total shift of the queue by the ends of this proxy's own prefills

    def wait(self, now: float) -> float:
        """Return the seconds until a prefill that arrived now would begin."""
        return max(0.0, self._until - now)

    def add(self, now: float, seconds: float) -> Ticket:
        """Append a prefill of this duration."""
        self._until = min(max(now, self._until) + seconds, now + MAX_QUEUE_S)
        return Ticket(seconds, self._until - self._slipped)

    def cancel(self, ticket: Ticket) -> None:
        """Remove a prefill that never reached the backend."""
        self._until -= ticket.seconds

    def finish(self, now: float, ticket: Ticket) -> None:
        """Record the end of one of this proxy's own prefills; all later ones shift by the same error."""
        slip = now - ticket.expected_end_at - self._slipped
        self._slipped += slip
        self._until = min(max(now, self._until + slip), now + MAX_QUEUE_S)


class Slowness:
    """How many times as long as others a backend takes to prefill. Observations fade."""

    __slots__ = ("_at", "_value")

    def __init__(self) -> None:
        self._value, self._at = 1.0, 0.0

    def observe(self, now: float, ratio: float) -> None:
        """Record the ratio of the duration of a prefill that did not wait to its estimate."""
        low, high = SLOWNESS_BOUNDS
        known = self.at(now)
        self._value = known + SLOWNESS_GAIN * (min(max(ratio, low), high) - known)
        self._at = now

    def at(self, now: float) -> float:
        """Return the current estimate."""
        return 1.0 + (self._value - 1.0) * exp(-max(0.0, now - self._at) / SLOWNESS_FADE_S)
