"""Invariants that are checked while the code runs: a violation is counted by name and raised.

The code states what must hold as ``if not holds: raise broken("name", "detail")``. Nothing is paid for where it holds.
Whoever contains the error (the end of one request, the end of a process) logs it; the counts are told by the metrics,
so that a long run can be asked whether any invariant was ever violated.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

NAMES_MOST = 256  # names are literals of the code; more than these are counted together
OTHERS = "others"

_counts: Counter[str] = Counter()


class InvariantBroken(Exception):
    """The state contradicts itself. ``name`` is the invariant's, as it is counted."""

    def __init__(self, name: str, detail: str = "") -> None:
        super().__init__(f"{name}: {detail}" if detail else name)
        self.name = name


def broken(name: str, detail: str = "") -> InvariantBroken:
    """Count a violation; the error is to be raised. ``name``: what must hold, in a few words."""
    _counts[name if name in _counts or len(_counts) < NAMES_MOST else OTHERS] += 1
    return InvariantBroken(name, detail)


def violations() -> Mapping[str, int]:
    """Violations in this process since its start, by name."""
    return dict(_counts)
