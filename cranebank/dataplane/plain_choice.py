"""The choice of a backend in a service without engines: one backend answers the whole request.

The (1+beta) process on load in flight: of two uniform draws the one with the smaller part of its places taken, as far
as this proxy and its neighbours know.
"""

from __future__ import annotations

from collections.abc import Set

from cranebank.dataplane.backend_view import BackendView
from cranebank.dataplane.blended_draw import BlendedDraw
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.choice import Plan
from cranebank.dataplane.prompt import Prompt

UNSTAGED = ""  # the stage of a backend that names none
DECODE = "decode"  # takes whole requests as well


class PlainChoice:
    """Of one service. Its backends name no stage; those of a service that has just lost its engine may still do."""

    def __init__(self, candidates: Candidates, draws: BlendedDraw, service: str) -> None:
        self._candidates, self._draws, self._service = candidates, draws, service

    def choose(self, now: float, prompt: Prompt, goal_ms: float, without: Set[str]) -> Plan | None:
        """A backend for one request, or none where nobody is ready."""
        listed, stage = self._ready(now, without)
        if not listed:
            return None
        first, second = self._draws.draw(listed)
        blend = self._draws.blend(now, self._service, stage, listed, (first, second))
        chosen = second if self._draws.prefers_second(blend, _utilisation(first), _utilisation(second)) else first
        return Plan(chosen, None, 0, _utilisation(chosen), blend)

    def has_candidate(self, now: float, without: Set[str]) -> bool:
        """Whether another run could go anywhere."""
        return bool(self._ready(now, without)[0])

    def _ready(self, now: float, without: Set[str]) -> tuple[list[BackendView], str]:
        candidates, service = self._candidates, self._service
        if candidates.has_any(service, UNSTAGED) or not candidates.has_any(service, DECODE):
            return candidates.ready(now, service, UNSTAGED, without), UNSTAGED
        return candidates.ready(now, service, DECODE, without), DECODE


def _utilisation(view: BackendView) -> float:
    """The part of a backend's places that is taken."""
    return view.all_calls / max(1, view.backend.capacity)
