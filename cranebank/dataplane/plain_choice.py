"""The choice of a backend in a service without engines, where one backend answers the whole request.

The (1+beta) process on calls in flight: of two uniform draws the one with the lower utilisation is preferred, by the
calls that this proxy and its neighbours know of.
"""

from __future__ import annotations

from collections.abc import Set

from cranebank.dataplane.backend_view import BackendView
from cranebank.dataplane.blended_draw import BlendedDraw
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.choice import Plan
from cranebank.dataplane.prompt import Prompt

UNSTAGED = ""  # stage of a backend that reports none
DECODE = "decode"  # backends of this stage answer whole requests as well


class PlainChoice:
    """The choice for one service. Its backends report no stage; those of a service that has just lost its engine may
    still report one."""

    def __init__(self, candidates: Candidates, draws: BlendedDraw, service: str) -> None:
        self._candidates, self._draws, self._service = candidates, draws, service

    def choose(self, now: float, prompt: Prompt, goal_ms: float, without: Set[str]) -> Plan | None:
        """Choose a backend for one request; None if none is available."""
        backends, stage = self._ready(now, without)
        if not backends:
            return None
        first, second = self._draws.draw(backends)
        blend = self._draws.blend(now, self._service, stage, backends, (first, second))
        chosen = second if self._draws.prefers_second(blend, _utilisation(first), _utilisation(second)) else first
        return Plan(chosen, None, 0, _utilisation(chosen), blend)

    def has_candidate(self, now: float, without: Set[str]) -> bool:
        """Return whether another attempt could be sent anywhere."""
        return bool(self._ready(now, without)[0])

    def _ready(self, now: float, without: Set[str]) -> tuple[list[BackendView], str]:
        candidates, service = self._candidates, self._service
        if candidates.has_any(service, UNSTAGED) or not candidates.has_any(service, DECODE):
            return candidates.ready(now, service, UNSTAGED, without), UNSTAGED
        return candidates.ready(now, service, DECODE, without), DECODE


def _utilisation(view: BackendView) -> float:
    """Return the share of a backend's capacity that is in use."""
    return view.all_calls / max(1, view.backend.capacity)
