"""The backends of a candidate list by zone, remembered while the list stays the same."""

from __future__ import annotations

from cranebank.dataplane.backend_view import BackendView
from cranebank.dataplane.candidates import Candidates

EMPTY: list[BackendView] = []


class ByZone:
    """The candidate lists of one proxy; one list is remembered for each service and stage."""

    def __init__(self, candidates: Candidates) -> None:
        self._candidates = candidates
        self._known: dict[tuple[str, str], tuple[list[BackendView], int, dict[str, list[BackendView]]]] = {}

    def of(self, backends: list[BackendView], zone: str) -> list[BackendView]:
        """Return the backends of a candidate list that are in a zone; the result must not be changed."""
        if not zone or not backends:
            return EMPTY
        backend, version = backends[0].backend, self._candidates.version
        key = (backend.target, backend.stage)
        known = self._known.get(key)
        if known is None or known[0] is not backends or known[1] != version:
            zones: dict[str, list[BackendView]] = {}
            for view in backends:
                zones.setdefault(view.backend.zone, []).append(view)
            known = self._known[key] = (backends, version, zones)
        return known[2].get(zone, EMPTY)
