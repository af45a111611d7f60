"""A planted fault: what is changed in the package, and the tests that must fail then."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Point(StrEnum):
    """What a fault is about: the sections of docs/control.md, calls and their answers, and all the rest."""

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
    """A text that stands once in a file of the package, and what takes its place.

    ``tests`` are names below ``tests/``, separated by spaces: files, or single tests as ``file::test``.
    """

    point: Point
    what: str
    file: str
    old: str
    new: str
    tests: str
