"""Runs of a fleet of 40 proxies and 60 hosts in simulated time with fixed seeds; figures are over all proxies."""

from __future__ import annotations

from typing import Any

import pytest
from labs import scenario

from cranebank.lab.results import Result
from cranebank.lab.simulated.world import play

KINDS = [
    {
        "name": "check",
        "share": 0.6,
        "work_ms": 140.0,
        "aim_ms": 600.0,
        "deadline_ms": 1500.0,
        "worth": 3.0,
        "late_worth": 0.5,
    },
    {
        "name": "place",
        "share": 0.4,
        "work_ms": 150.0,
        "aim_ms": 800.0,
        "deadline_ms": 2000.0,
        "worth": 2.0,
        "late_worth": 0.2,
        "effect": "keyed",
        "window_ms": 3000.0,
    },
]
ZONE_LOSS = {"what": "lose-zone", "zone": "b", "at_s": 4.0, "for_s": 6.0}
SILENT_HOSTS = {"what": "half-open", "tier": "one", "part": 0.4, "at_s": 4.0, "for_s": 4.0}
HALF_OF_HOSTS = [f"one-std-{number}" for number in range(0, 20, 2)]
SILENT_THEN_COLD = [
    {"what": "half-open", "hosts": HALF_OF_HOSTS, "at_s": 4.0, "for_s": 4.0},
    {"what": "cold", "hosts": HALF_OF_HOSTS, "at_s": 8.0},
]
DEPLOY = {"what": "deploy", "tier": "two", "at_s": 3.0, "for_s": 7.0, "part": 0.6, "batch": 0.15, "drain_s": 1.0}


def fleet(faults: list[dict[str, Any]], **changes: Any) -> Result:
    """Run two tiers: 20 proxies call 20 hosts, each of which calls 40 hosts through a proxy of its own."""
    tiers = [
        {"name": "one", "proxies": 20, "work": 0.4, "kind": [{"name": "std", "count": 20}]},
        {"name": "two", "proxies": 0, "work": 0.6, "kind": [{"name": "std", "count": 40}]},
    ]
    for tier in tiers:
        tier["choke"] = {"at": 4.0, "over_s": 1.5, "slower": 3.0}
    fields: dict[str, Any] = {
        "seconds": 14.0,
        "warmup_s": 1.0,
        "zones": ["a", "b"],
        "load": {"rate": 330.0},
        "class": KINDS,
        "clients": {"retries": 2},
        "tier": tiers,
        "fault": faults,
        "seed": 5,
        "discovery": {"notice_s": 3.0, "add_s": 1.5, "call_ms": 20.0},
    }
    return play(scenario(**fields | changes))


@pytest.mark.parametrize(
    ("faults", "changes", "min_in_time"),
    [
        ([], {}, 0.999),
        ([ZONE_LOSS], {}, 0.87),
        ([DEPLOY, {"what": "reset", "tier": "two", "part": 0.1, "at_s": 2.0, "for_s": 10.0}], {}, 0.995),
        ([DEPLOY, {"what": "discovery-down", "at_s": 4.0, "for_s": 3.0}], {}, 0.996),
        ([DEPLOY, {"what": "discovery-late", "at_s": 4.0, "for_s": 5.0, "size": 2.0}], {}, 0.996),
        ([SILENT_HOSTS], {}, 0.9),
        (SILENT_THEN_COLD, {}, 0.93),
        ([ZONE_LOSS], {"connections": {"cap": 12}}, 0.8),
        ([ZONE_LOSS], {"subset": {"told_copies": 2.0}}, 0.83),
        ([ZONE_LOSS], {"subset": {"told_copies": 0.5}}, 0.9),
    ],
    ids=[
        "calm",
        "zone loss",
        "deploy",
        "deploy without discovery",
        "deploy with late discovery",
        "silent",
        "silent, then cold",
        "few connections",
        "twice the count of proxies",
        "half the count of proxies",
    ],
)
def test_a_fleet_keeps_the_rules_and_serves(
    faults: list[dict[str, Any]], changes: dict[str, Any], min_in_time: float
) -> None:
    """The judge checks drains, the cold budget and repeats; the share in time is over all proxies."""
    result = fleet(faults, **changes)
    assert result.verdict.is_clean, result.verdict
    assert result.in_time > min_in_time, result.in_time
