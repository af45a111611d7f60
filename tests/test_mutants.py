"""The table of planted faults matches the package and the tests that it names."""

from __future__ import annotations

import ast
import re
from collections import Counter
from pathlib import Path

import pytest
from mutant import Mutant, Point
from mutants import MUTANTS, occurrences

TESTS = Path(__file__).resolve().parent
MIN_MUTANTS_PER_POINT = 3


def names_of_tests(file: Path) -> set[str]:
    return {node.name for node in ast.parse(file.read_text(encoding="utf-8")).body if hasattr(node, "name")}


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.what)
def test_a_fault_can_be_planted_and_its_tests_exist(mutant: Mutant) -> None:
    assert occurrences(mutant) == 1
    assert mutant.tests
    for test in mutant.tests.split():
        file, _, name = test.partition("::")
        assert (TESTS / file).is_file()
        assert not name or name.partition("[")[0] in names_of_tests(TESTS / file)


def test_each_point_has_its_faults_and_none_stands_twice() -> None:
    counts = Counter(mutant.point for mutant in MUTANTS)
    assert all(counts[point] >= MIN_MUTANTS_PER_POINT for point in Point)
    assert len({(mutant.file, mutant.old, mutant.new) for mutant in MUTANTS}) == len(MUTANTS)
    assert len({mutant.what for mutant in MUTANTS}) == len(MUTANTS)


def test_the_page_tells_how_many_there_are() -> None:
    page = (TESTS.parent / "docs" / "control.md").read_text(encoding="utf-8")
    documented = {point: int(count) for point, count in re.findall(r"\| `([a-z-]+)` \| (\d+) \|", page)}
    assert documented == Counter(str(mutant.point) for mutant in MUTANTS)
