"""The choices of one proxy: the state that they share, and which choice applies to a service."""

from __future__ import annotations

from random import Random

from cranebank.dataplane.blended_draw import BlendedDraw
from cranebank.dataplane.cache_view import CacheView
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.choice import BackendChoice
from cranebank.dataplane.pair import PairChooser, StagedChoice
from cranebank.dataplane.plain_choice import PlainChoice
from cranebank.dataplane.policy import ALL_ON, Policy
from cranebank.dataplane.routes import Engine


class Choices:
    """The choices of one proxy, for all services."""

    def __init__(self, candidates: Candidates, cache: CacheView, random: Random, policy: Policy = ALL_ON) -> None:
        self._candidates = candidates
        self.policy = policy
        self.draws = BlendedDraw(random, policy.blended_draws)
        self.pairs = PairChooser(candidates, cache, self.draws, policy)

    def of(self, service: str, engine: Engine | None) -> BackendChoice:
        """Return the choice for a service. ``engine``: its engine settings, if it has any."""
        if engine is None:
            return PlainChoice(self._candidates, self.draws, service)
        return StagedChoice(self.pairs, service, engine)
