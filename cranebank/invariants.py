"""Invariants that are checked while the code runs: a violation is counted by name, and raised or logged.

The code states what must hold as ``if not holds: raise broken("name", "detail")``, or calls ``record_violation``
instead where it can go on. Nothing is paid for where it holds. Whoever contains a raised error (the end of one request,
the end of a process) logs it; the counts are told by the metrics, so that a long run can be asked whether any invariant
was ever violated. In tests a violation that is not expected fails the test.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from loguru import logger

MAX_NAMES = 256  # names are literals of the code; more than these are counted together
OTHERS = "others"
MAX_LOGGED_PER_NAME = 3

_counts: Counter[str] = Counter()


class InvariantBroken(Exception):
    """The state contradicts itself. ``name`` is the invariant's, as it is counted."""

    def __init__(self, name: str, detail: str = "") -> None:
        super().__init__(f"{name}: {detail}" if detail else name)
        self.name = name


def invariant_error(name: str, detail: str = "") -> InvariantBroken:
    """Count a violation; the error is to be raised. ``name``: what must hold, in a few words."""
    _count(name)
    return InvariantBroken(name, detail)


def record_violation(name: str, detail: str = "") -> None:
    """Count a violation that the code can go on from. The first ones of each name are logged."""
    _count(name)
    if _counts[name] <= MAX_LOGGED_PER_NAME:
        logger.error("invariant violated: {}: {}", name, detail)


def _count(name: str) -> None:
    _counts[name if name in _counts or len(_counts) < MAX_NAMES else OTHERS] += 1


def violations() -> Mapping[str, int]:
    """Violations in this process since its start, by name."""
    return dict(_counts)
