"""The judge reports each breach that a faulty proxy on sockets commits, and none for a correct proxy."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from labs import HOSTS, play, scenario

from cranebank.lab.judge import RULES

DEPLOY = {"what": "deploy", "at_s": 0.3, "for_s": 0.1, "part": 0.5, "batch": 1.0, "drain_s": 1.9}
COLD = {"share": 0.2, "warm_s": 5.0, "fall_multiple": 1.2, "fall_s": 0.5}


@pytest.mark.parametrize(
    ("breach", "rule", "changes"),
    [
        ("none", None, {}),
        ("unanswered", "unanswered", {}),
        ("answered-twice", "answered-twice", {}),
        ("drain", "drain", {"fault": [DEPLOY], "limits": {"drain_grace_ms": 200.0}}),
        ("repeat", "repeat", {}),
        ("window", "repeat", {}),
        ("second-copy", "second-copy", {"limits": {"second_copies": False}}),
        ("attempts", "attempts", {"limits": {"max_attempts": 2}}),
        ("decline", "decline", {}),
        ("bytes", "bytes", {}),
        ("cold", "cold", {"fault": [DEPLOY | {"for_s": 0.5}], "cold": COLD, "load": {"rate": 150.0}}),
        ("crash", "crash", {}),
    ],
)
def test_a_planted_breach_is_reported_and_nothing_else(
    tmp_path: Path, breach: str, rule: str | None, changes: dict[str, Any]
) -> None:
    result = play(scenario(**changes), tmp_path, str(HOSTS / "faulty_proxy.py"), breach)
    found = {b.rule: b.count for b in result.verdict.breaches}
    allowed = {"second-copy": {"repeat"}, "attempts": {"repeat"}, "window": {"repeat"}}.get(breach, set())
    assert set(found) - allowed == ({rule} - allowed if rule else set()), result.verdict
    assert rule is None or (found[rule] > 0 and rule in RULES)
    assert result.verdict.requests > 50
