"""Counters of the requests, legs, answers and faults of a proxy."""

from __future__ import annotations

import json
from collections import Counter


class Counters:
    """Counters by name, printed on request and at exit."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Increase the counter ``name``."""
        self._counts[name] += by

    def copy(self) -> Counter[str]:
        """Return a copy of all counters."""
        return self._counts.copy()

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def text(self) -> str:
        """Return all counters as one line of JSON, sorted by name."""
        return json.dumps(self._counts, sort_keys=True)
