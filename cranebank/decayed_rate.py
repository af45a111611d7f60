"""A rate of something by the second, averaged with exponential decay."""

from __future__ import annotations

from math import exp


class DecayedRate:
    """What came by the second; in ``over_s`` what is known fades to a third. Times are a steady clock's seconds."""

    __slots__ = ("_at", "_over_s", "_value")

    def __init__(self, over_s: float) -> None:
        self._over_s = over_s
        self._value = self._at = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """So much came."""
        self._value = self.at(now) + amount / self._over_s
        self._at = now

    def at(self, now: float) -> float:
        """How much comes in a second."""
        return self._value * exp(-(now - self._at) / self._over_s)
