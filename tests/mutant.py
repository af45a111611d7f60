"""A planted fault: a change of the package, and the tests that must fail because of it."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Point(StrEnum):
    """The subject of a fault: a section of docs/control.md, calls and their answers, or another subject."""

    CUT_OFF = "cut-off"
    TWO_OPERATORS = "two-operators"
    LOSSES_AFTER_REPAIR = "losses-after-repair"
    HUNDREDS_OF_CHANGES = "hundreds-of-changes"
    RIGHT_CALLER = "right-caller"
    LIVENESS = "liveness"
    TALLIES = "tallies"
    EVACUATION = "evacuation"
    OTHER = "other"


class Mutant(NamedTuple):
    """A text that occurs exactly once in a file of the package, and its replacement.

    ``tests`` are names below ``tests/``, separated by spaces: files, or single tests as ``file::test``.
    """

    point: Point
    what: str
    file: str
    old: str
    new: str
    tests: str
