"""The (1+beta) process: of two uniform draws, the one with the lower cost is taken with probability beta.

beta = sqrt(n log n / b) for n backends and b calls between two refreshes of their costs; it is 1 while b < n log n. b
is estimated as this proxy's calls per second x the number of proxies x the age of the costs.
"""

from __future__ import annotations

from random import Random

from cranebank.dataplane.backend_view import BackendView
from cranebank.decayed_rate import DecayedRate
from cranebank.decisions.balance import beta

RATE_AVERAGING_S = 2.0  # averaging time of the rate of calls


class BlendedDraw:
    """The draws of one proxy, for all services and stages."""

    def __init__(self, random: Random, is_blended: bool = True) -> None:
        self._random, self._is_blended = random, is_blended
        self.proxies = 1  # number of proxies, as the controllers report it
        self.neighbour_loads_at = 0.0  # when neighbours last reported their loads
        self._rates: dict[tuple[str, str], DecayedRate] = {}

    def count_call(self, now: float, service: str, stage: str) -> None:
        """Count a call in the rate behind b, whether or not it is refused, fails or is a repeat."""
        self._rates.setdefault((service, stage), DecayedRate(RATE_AVERAGING_S)).add(now)

    def blend(
        self, now: float, service: str, stage: str, backends: list[BackendView], drawn: tuple[BackendView, BackendView]
    ) -> float:
        """Return beta for two draws. It falls as their costs age and as the number of proxies grows."""
        if not self._is_blended:
            return 1.0
        age = now - max(self.neighbour_loads_at, min(drawn[0].load_changed_at, drawn[1].load_changed_at))
        rate = self._rates.get((service, stage))
        calls = (rate.at(now) if rate else 0.0) * self.proxies * min(age, RATE_AVERAGING_S)
        return min(1.0, beta(len(backends), calls))

    def draw(self, backends: list[BackendView]) -> tuple[BackendView, BackendView]:
        """Draw two backends uniformly, distinct ones if there is more than one."""
        if len(backends) == 1:
            return backends[0], backends[0]
        first, second = self._random.sample(backends, 2)
        return first, second

    def sample_one(self, backends: list[BackendView]) -> list[BackendView]:
        """Draw one backend uniformly from a list that may be empty."""
        return [self._random.choice(backends)] if backends else []

    def prefers_second(self, blend: float, first: float, second: float) -> bool:
        """Return whether to take the second draw: with probability ``blend`` if its cost is lower; ties are broken at
        random."""
        is_tie_won = second == first and self._random.random() < 0.5
        return self._random.random() < blend and (second < first or is_tie_won)
