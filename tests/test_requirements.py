"""The table of requirements names tests that exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

TESTS = Path(__file__).parent
TABLE = TESTS.parent / "docs" / "requirements.md"
NAMED = re.compile(r"`(test_\w+\.py)::(test_\w+)`")
MIN_ROWS = 25


def test_every_test_that_the_table_names_exists() -> None:
    named = NAMED.findall(TABLE.read_text(encoding="utf-8"))
    assert named
    missing = [f"{file}::{test}" for file, test in named if test not in functions_of(TESTS / file)]
    assert missing == []


def test_every_line_of_the_table_says_what_tests_it() -> None:
    rows = [line for line in TABLE.read_text(encoding="utf-8").splitlines() if line.startswith("| ")][2:]
    cells = [[cell.strip() for cell in row.strip("|").split("|")] for row in rows]
    assert len(cells) >= MIN_ROWS
    assert [row for row in cells if len(row) != 3 or not all(row)] == []
    untested = [
        row[0] for row in cells if not NAMED.search(row[2]) and "none" not in row[2] and "as GONE" not in row[2]
    ]
    assert untested == []


def functions_of(path: Path) -> set[str]:
    """Return the names of a file's functions; none if the file does not exist."""
    if not path.exists():
        return set()
    return {
        node.name for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))) if isinstance(node, ast.FunctionDef)
    }
