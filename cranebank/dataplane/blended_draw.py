"""The (1+beta) process: two uniform draws, and with probability beta the one with the lower figure.

beta = sqrt(n log n / b) for n backends and b calls between two refreshes of their figures; it is 1 while b < n log n.
b = this proxy's calls a second x the told number of proxies x the age of the figures.
"""

from __future__ import annotations

from random import Random

from cranebank.dataplane.backend_view import BackendView
from cranebank.decayed_rate import DecayedRate
from cranebank.decisions.balance import beta

RATE_AVERAGING_S = 2.0  # seconds over which the rate of calls is averaged


class BlendedDraw:
    """The draws of one proxy, for all services and stages."""

    def __init__(self, random: Random, is_blended: bool = True) -> None:
        self._random, self._is_blended = random, is_blended
        self.proxies = 1  # the told count
        self.neighbour_loads_at = 0.0  # when neighbours told their figures last
        self._rates: dict[tuple[str, str], DecayedRate] = {}

    def count_call(self, now: float, service: str, stage: str) -> None:
        """Any call counts in the rate behind b, also one that is refused, fails or is a repeat."""
        self._rates.setdefault((service, stage), DecayedRate(RATE_AVERAGING_S)).add(now)

    def blend(
        self, now: float, service: str, stage: str, listed: list[BackendView], drawn: tuple[BackendView, BackendView]
    ) -> float:
        """Beta for two draws: falls as their figures age and as proxies become more."""
        if not self._is_blended:
            return 1.0
        age = now - max(self.neighbour_loads_at, min(drawn[0].load_changed_at, drawn[1].load_changed_at))
        rate = self._rates.get((service, stage))
        calls = (rate.at(now) if rate else 0.0) * self.proxies * min(age, RATE_AVERAGING_S)
        return min(1.0, beta(len(listed), calls))

    def draw(self, listed: list[BackendView]) -> tuple[BackendView, BackendView]:
        """Two uniform draws, different where the list allows."""
        if len(listed) == 1:
            return listed[0], listed[0]
        first, second = self._random.sample(listed, 2)
        return first, second

    def sample_one(self, listed: list[BackendView]) -> list[BackendView]:
        """One uniform draw from a list that may be empty."""
        return [self._random.choice(listed)] if listed else []

    def prefers_second(self, blend: float, first: float, second: float) -> bool:
        """Whether the second draw is taken, by the two figures: the lower one with probability ``blend``, ties at
        random; else the first."""
        is_tie_won = second == first and self._random.random() < 0.5
        return self._random.random() < blend and (second < first or is_tie_won)
