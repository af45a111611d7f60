"""Run-time checks of invariants: a violation is counted by name, and raised or logged.

Code checks an invariant by ``if not holds: raise invariant_error("name", "detail")``, or calls ``record_violation``
where it can continue. An invariant that holds costs no more than the check. The code that contains a raised error (by
ending one request or the process) logs it. The metrics export the counts, so that a long run shows whether any
invariant was ever violated. In tests an unexpected violation fails the test.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from loguru import logger

MAX_NAMES = 256  # names are literals of the code; further ones are counted together
OTHER_NAMES = "others"
MAX_LOGGED_PER_NAME = 3

_counts: Counter[str] = Counter()


class InvariantBroken(Exception):
    """Raised when the state is inconsistent. ``name``: the invariant, as it is counted."""

    def __init__(self, name: str, detail: str = "") -> None:
        super().__init__(f"{name}: {detail}" if detail else name)
        self.name = name


def invariant_error(name: str, detail: str = "") -> InvariantBroken:
    """Count a violation and return the error to raise. ``name``: what must hold, in a few words."""
    _count(name)
    return InvariantBroken(name, detail)


def record_violation(name: str, detail: str = "") -> None:
    """Count a violation after which the code can continue, and log the first ones of each name."""
    _count(name)
    if _counts[name] <= MAX_LOGGED_PER_NAME:
        logger.error("invariant violated: {}: {}", name, detail)


def _count(name: str) -> None:
    _counts[name if name in _counts or len(_counts) < MAX_NAMES else OTHER_NAMES] += 1


def violations() -> Mapping[str, int]:
    """Return the number of violations in this process since its start, by name."""
    return dict(_counts)
