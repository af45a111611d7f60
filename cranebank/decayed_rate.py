"""A rate per second, averaged with exponential decay."""

from __future__ import annotations

from math import exp


class DecayedRate:
    """A rate per second; past amounts decay by a factor of e in ``over_s``. Times are seconds of a monotonic clock."""

    __slots__ = ("_at", "_over_s", "_value")

    def __init__(self, over_s: float) -> None:
        self._over_s = over_s
        self._value = self._at = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add an amount at ``now``."""
        self._value = self.at(now) + amount / self._over_s
        self._at = now

    def at(self, now: float) -> float:
        """Return the rate per second at ``now``."""
        return self._value * exp(-(now - self._at) / self._over_s)
