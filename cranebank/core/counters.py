"""Counts of what the proxy takes in, sends and answers."""

from __future__ import annotations

import json
from collections import Counter


class Counters:
    """Named counts, printed on request and at exit."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        """Count one more of ``name``."""
        self._counts[name] += by

    def copy(self) -> Counter[str]:
        """All counts as they are now."""
        return self._counts.copy()

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def text(self) -> str:
        """All counts as one line of JSON, in order of name."""
        return json.dumps(self._counts, sort_keys=True)
