"""Each example runs on its own and prints the expected output."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
EXPECTED_OUTPUT = {
    "choose_pair.py": "prefill on the same backend",
    "keep_values.py": "{'colour': b'green', 'size': b'4'}",
    "merge_backends.py": "{'draining'}",
    "frames.py": "damaged: checksum",
    "three_controllers.py": "answered: ['Accepted']",
}


def test_every_example_is_here() -> None:
    assert {path.name for path in (ROOT / "examples").glob("*.py")} == EXPECTED_OUTPUT.keys()


@pytest.mark.parametrize("name", sorted(EXPECTED_OUTPUT))
def test_an_example_runs_alone(name: str) -> None:
    run = subprocess.run(
        [sys.executable, ROOT / "examples" / name],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={"PYTHONPATH": str(ROOT)},
        timeout=60,
        check=False,
    )
    assert run.returncode == 0, run.stderr
    assert EXPECTED_OUTPUT[name] in run.stdout
