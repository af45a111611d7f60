"""Which backends a request goes to: the interface between a request and the choice for its kind of service.

A service whose configuration has an engine is staged: a pair of backends is chosen (``pair.py``). One without is plain:
one backend answers the whole request (``plain_choice.py``).
"""

from __future__ import annotations

from collections.abc import Set
from typing import Protocol

import msgspec

from cranebank.dataplane.backend_view import BackendView
from cranebank.dataplane.prompt import Prompt


class Plan(msgspec.Struct, frozen=True):
    """Who is to serve a request. Without a reader the maker does all of it. Tokens are those thought to be read."""

    decode_backend: BackendView
    prefill_backend: BackendView | None
    prefill_tokens: int
    cost: float
    blend: float


class BackendChoice(Protocol):
    """The choice for the requests of one service."""

    def choose(self, now: float, prompt: Prompt, goal_ms: float, without: Set[str]) -> Plan | None:
        """A plan for one request, or none where nobody is ready. ``without``: backends that failed this request."""

    def has_candidate(self, now: float, without: Set[str]) -> bool:
        """Whether another run could go anywhere."""
