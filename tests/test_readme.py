"""The README's example runs as printed."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_the_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {})
    assert capsys.readouterr().out == "send r-1 to one of four: True\n"


def test_the_balancer_module_stays_short() -> None:
    module = Path(__file__).parent.parent / "cranebank/decisions/balance.py"
    lines = module.read_text(encoding="utf-8").splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 590
    assert max(map(len, lines)) <= 110
    assert "cranebank/decisions/interface.py" in lines[0]
