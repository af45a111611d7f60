"""Small scenarios for the tests of the laboratory."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import msgspec

from cranebank.lab.results import Result
from cranebank.lab.run import Run
from cranebank.lab.scenario import Scenario

HOSTS = Path(__file__).parent


def scenario(**changes: Any) -> Scenario:
    """Return a scenario with one tier, two hosts, one proxy and all three effects, and slack for a busy machine."""
    kinds = [
        {"name": name, "share": share, "work_ms": 10.0, "aim_ms": 1000.0, "deadline_ms": 2000.0, "attempt_noise": 0.0}
        | more
        for name, share, more in (
            ("look", 0.4, {}),
            ("order", 0.3, {"effect": "keyed", "window_ms": 600.0}),
            ("pay", 0.3, {"effect": "unsafe"}),
        )
    ]
    fields: dict[str, Any] = {
        "name": "small",
        "seconds": 2.0,
        "load": {"rate": 60.0},
        "class": kinds,
        "clients": {"retries": 0},
        "tier": [{"name": "front", "proxies": 1, "kind": [{"name": "std", "count": 2, "speed_cv": 0.0}]}],
        "judge": {"slack_ms": 150.0, "late_ms": 2000.0},
        "discovery": {"notice_s": 0.2, "add_s": 0.2},
    }
    return msgspec.convert(fields | changes, Scenario)


def play(scenario: Scenario, folder: Path, *proxy: str) -> Result:
    """Run a scenario on sockets, with ``proxy`` as the proxy's command if it is given."""
    return asyncio.run(Run(scenario, folder, proxy=proxy).play())


def counters(folder: Path) -> dict[str, dict[str, int]]:
    """Return the counters of the proxies of a run, by proxy."""
    by_proxy: dict[str, dict[str, int]] = json.loads((folder / "counters.json").read_bytes())
    return by_proxy
