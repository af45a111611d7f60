"""The interface between a request and the choice of backends for its kind of service.

A service whose configuration has an engine is staged: a pair of backends is chosen (``pair.py``). A service without an
engine is plain: one backend answers the whole request (``plain_choice.py``).
"""

from __future__ import annotations

from collections.abc import Set
from typing import Protocol

import msgspec

from cranebank.dataplane.backend_view import BackendView
from cranebank.dataplane.prompt import Prompt


class Plan(msgspec.Struct, frozen=True):
    """The backends for a request. Without a prefill backend, the decode backend does the prefill as well.
    ``prefill_tokens``: tokens expected to be read. ``blend``: the beta of the draw."""

    decode_backend: BackendView
    prefill_backend: BackendView | None
    prefill_tokens: int
    cost: float
    blend: float


class BackendChoice(Protocol):
    """The choice of backends for the requests of one service."""

    def choose(self, now: float, prompt: Prompt, goal_ms: float, without: Set[str]) -> Plan | None:
        """Return a plan for one request; None if no backend is available. ``without``: backends that failed this
        request."""

    def has_candidate(self, now: float, without: Set[str]) -> bool:
        """Return whether another attempt could be sent anywhere."""
