"""Planted faults in both planes, each run against the tests that must find it.

`python tests/mutants.py [--point NAME,...] [--only N,...] [--jobs 2] [--list]` from the root. For each fault the tree
is copied to a temporary folder and changed there. First the same tests run on an unchanged copy, as a test that fails
there would "find" every fault. A fault counts as found when a named test fails; an error while tests are collected, or
a run that takes longer than ``TIMEOUT_S``, does not count. The exit status is 1 if a fault was not found.
"""

from __future__ import annotations

import argparse
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

from mutant import Mutant, Point
from mutants_cold import COLD_MUTANTS
from mutants_connections import CONNECTION_MUTANTS
from mutants_control import CONTROL_MUTANTS
from mutants_data_plane import DATA_PLANE_MUTANTS
from mutants_evacuation import EVACUATION_MUTANTS
from mutants_liveness import LIVENESS_MUTANTS
from mutants_replication import REPLICATION_MUTANTS
from mutants_stages import STAGE_MUTANTS
from mutants_storage import STORAGE_MUTANTS
from mutants_tallies import TALLY_MUTANTS

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "cranebank"
COPIED_FOLDERS = (PACKAGE, "tests", "deploy", "benchmarks")
COPIED_FILES = ("pyproject.toml", "README.md", "KNOWN-RED.txt")
TIMEOUT_S = 300.0
"""Longest run of the tests of one fault."""

UNCHANGED_TIMEOUT_S = 900.0
"""Longest run of the tests of all faults, without a fault."""

MUTANTS: tuple[Mutant, ...] = (
    *CONTROL_MUTANTS,
    *REPLICATION_MUTANTS,
    *STORAGE_MUTANTS,
    *DATA_PLANE_MUTANTS,
    *CONNECTION_MUTANTS,
    *STAGE_MUTANTS,
    *LIVENESS_MUTANTS,
    *TALLY_MUTANTS,
    *EVACUATION_MUTANTS,
    *COLD_MUTANTS,
)


class Outcome(StrEnum):
    """How a run of tests ended."""

    PASSED = "not found"
    FAILED = "found"
    BROKEN = "no result"


class Verdict(NamedTuple):
    """The outcome of a run, and the line of output that shows it."""

    outcome: Outcome
    detail: str


def occurrences(mutant: Mutant) -> int:
    """Return how often the text to be replaced occurs in its file; it must be once."""
    return (ROOT / PACKAGE / mutant.file).read_text(encoding="utf-8").count(mutant.old)


def try_mutant(mutant: Mutant) -> Verdict:
    """Plant one fault in a copy of the tree and run its tests."""
    count = occurrences(mutant)
    if count != 1:
        return Verdict(Outcome.BROKEN, f"the text to be replaced occurs {count} times, expected once")
    with _copied_tree() as tree:
        path = tree / PACKAGE / mutant.file
        text = path.read_text(encoding="utf-8")
        path.write_text(text.replace(mutant.old, mutant.new), encoding="utf-8")
        return _run_tests(tree, mutant.tests.split(), TIMEOUT_S)


def try_unchanged(mutants: Sequence[Mutant], jobs: int) -> Verdict:
    """Run the tests of all these faults on an unchanged copy."""
    with _copied_tree() as tree:
        tests = sorted({test for mutant in mutants for test in mutant.tests.split()})
        return _run_tests(tree, tests, UNCHANGED_TIMEOUT_S, jobs)


@contextmanager
def _copied_tree() -> Iterator[Path]:
    with tempfile.TemporaryDirectory(prefix="mutant-") as folder:
        tree = Path(folder)
        for part in COPIED_FOLDERS:
            shutil.copytree(ROOT / part, tree / part, ignore=shutil.ignore_patterns("__pycache__", "sites"))
        for part in COPIED_FILES:
            shutil.copy(ROOT / part, tree / part)
        yield tree


def _run_tests(tree: Path, tests: Sequence[str], timeout_s: float, workers: int = 0) -> Verdict:
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", "-n", str(workers)]
    try:
        run = subprocess.run(
            [*command, *(f"tests/{test}" for test in tests)],
            cwd=tree,
            capture_output=True,
            text=True,
            timeout=timeout_s,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return Verdict(Outcome.BROKEN, f"no result within {timeout_s:.0f} s")
    if run.returncode == 0:
        return Verdict(Outcome.PASSED, "")
    lines = run.stdout.splitlines()
    failure = next((line for line in lines if line.startswith("FAILED tests/")), "")
    if failure:
        return Verdict(Outcome.FAILED, failure)
    error = next((line for line in lines if line.startswith("ERROR tests/")), f"pytest ended with {run.returncode}")
    return Verdict(Outcome.BROKEN, error)


def _selected(only: str, points: str) -> list[int]:
    wanted = {Point(part) for part in points.split(",") if part} or set(Point)
    numbers = {int(part) for part in only.split(",") if part} or set(range(len(MUTANTS)))
    return [number for number in sorted(numbers) if MUTANTS[number].point in wanted]


def _print_summary(numbers: Sequence[int], found: set[int]) -> None:
    for point in Point:
        of_point = [number for number in numbers if MUTANTS[number].point is point]
        if of_point:
            print(f"{point}: {len(found.intersection(of_point))} of {len(of_point)} found")
    print(f"all: {len(found)} of {len(numbers)} found")


def _try_all(numbers: Sequence[int], jobs: int) -> bool:
    """Try these faults and print the verdicts; return whether all were found."""
    unchanged = try_unchanged([MUTANTS[number] for number in numbers], jobs)
    if unchanged.outcome is not Outcome.PASSED:
        print(f"the tests fail without a fault: {unchanged.detail}")
        return False
    found: set[int] = set()
    with ThreadPoolExecutor(jobs) as pool:
        verdicts = pool.map(lambda number: try_mutant(MUTANTS[number]), numbers)
        for number, verdict in zip(numbers, verdicts, strict=True):
            mutant = MUTANTS[number]
            print(f"{number:2} {mutant.point}: {mutant.what}: {verdict.outcome} {verdict.detail}", flush=True)
            if verdict.outcome is Outcome.FAILED:
                found.add(number)
    _print_summary(numbers, found)
    return len(found) == len(numbers)


def main() -> int:
    """Try the selected faults; return 1 if one was not found, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="numbers, separated by commas")
    parser.add_argument("--point", default="", help=f"of {', '.join(Point)}, separated by commas")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--list", action="store_true", help="print the faults and run nothing")
    options = parser.parse_args()
    numbers = _selected(options.only, options.point)
    if options.list:
        for number in numbers:
            print(f"{number:2} {MUTANTS[number].point}: {MUTANTS[number].what}")
        return 0
    return int(not _try_all(numbers, options.jobs))


if __name__ == "__main__":
    sys.exit(main())
