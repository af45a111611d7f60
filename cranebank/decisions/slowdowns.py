"""Classes and tenants whose calls take longer than usual at every host: no evidence about any host. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from math import exp

MAX_WEIGHT = 0.5  # weight of one call at most
USUAL_ANSWERS = 16  # answers over which the usual time is averaged


class Slowdowns:
    """By group, classes first and then tenants: how many times longer than usual its calls take; decays over time.

    ``hold``: time constant of the decay, in milliseconds; the fewer calls a copy sees, the longer it keeps evidence.
    A request's ``groups`` are the numbers of its class and its tenant.
    """

    def __init__(self, classes: int, tenants: int, hold: float) -> None:
        self.unit = 0.0  # mean time per call found at the host and the call itself, as part of the aim
        self._classes, self._hold = classes, hold
        self._excess = [(0.0, 0.0)] * (classes + max(1, tenants))  # excess, and when it was updated

    def factor(self, now: float, groups: Sequence[int]) -> float:
        """Return how many times longer than usual the calls of these groups take at all hosts; 1 in a jam."""
        decayed = [excess * exp((at - now) / self._hold) for excess, at in self._excess]
        kinds = (decayed[: self._classes], decayed[self._classes :])  # what slows all groups is due to none of them
        over = max(decayed[group] - min(kind) for group, kind in zip(groups, kinds, strict=True))
        return 1.0 + over * (2 * self.unit < 1.0)

    def weigh(self, now: float, groups: Sequence[int], per_call: float, answered: bool) -> None:
        """Count a call that took ``per_call``, as part of its aim, for each call found at the host and for itself."""
        ratio = per_call / (self.unit or per_call or 1.0)
        if answered:
            self.unit += (per_call / self.factor(now, groups) - self.unit) / USUAL_ANSWERS if self.unit else per_call
        for group in groups:  # the longer ago the last call, the more this one weighs
            decay = exp((self._excess[group][1] - now) / self._hold)
            excess, weight = self._excess[group][0] * decay, min(MAX_WEIGHT, 1.0 - decay * decay)
            self._excess[group] = (max(0.0, excess + weight * (ratio - 1.0 - excess)), now)
