"""Calls that a host reads and never answers, while it answers later ones: no sign of a jam or of a slow host."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest
from conftest import Driver
from labs import scenario

from cranebank.decisions.interface import Outcome, SetTimer, TimerFired
from cranebank.lab.simulated.world import play

Drive = Callable[..., Driver]


def stuck(d: Driver, count: int, answered_after: bool) -> list[str]:
    """Send ``count`` unsafe calls that become overdue; with ``answered_after``, each host answers later ones."""
    names = [d.request(2)[0] for _ in range(count)]
    d.now += 5.0
    if answered_after:
        hosts = {d.sent[name][0] for name in names}
        while hosts:
            name = d.request(2)[0]
            hosts.discard(d.sent[name][0])
            d.now += 20.0
            d.result(name)
    d.now += 200.0
    for name in names:
        d.do(TimerFired(f"0.{name}"))
    return names


@pytest.mark.parametrize(("answered_after", "kept"), [(True, True), (False, False)], ids=["overtaken", "not overtaken"])
def test_only_a_call_that_none_overtook_is_a_sign_of_a_jam(drive: Drive, answered_after: bool, kept: bool) -> None:
    d = drive()
    d.listed(["s0", "s1"])
    d.serve(200)
    d.balancer.limit = 16.0
    names = stuck(d, 4, answered_after)
    held = sum(server.in_flight for server in d.balancer.listed)
    assert held == (0 if answered_after else 4)  # a swallowed call uses no slot at its host
    before, time = d.balancer.limit, [server.mean_duration for server in d.balancer.listed]
    for name in names:
        d.result(name, Outcome.TIMEOUT, took=1000.0, finished=True)
    assert (d.balancer.limit >= before) is kept
    assert ([server.mean_duration for server in d.balancer.listed] == time) is kept
    assert [server.in_flight for server in d.balancer.listed] == [0, 0]
    assert d.balancer.in_flight == d.balancer.overdue == 0


def test_a_call_that_may_not_be_sent_again_goes_to_the_surer_host(drive: Drive) -> None:
    d = drive()
    d.listed(["s0", "s1"])
    d.serve(100)
    firsts: dict[int, Counter[str]] = {0: Counter(), 2: Counter()}
    for turn in range(600):
        d.balancer.servers["s0"].swallowed_share = 0.5  # as of a host that swallows half of its calls
        name = d.request(2 * (turn % 2))[0]
        d.now += 10.0
        firsts[2 * (turn % 2)][d.sent[name][0]] += 1
        d.result(name)
    assert firsts[2]["s0"] < 0.2 * 300 < firsts[0]["s0"]


def test_one_stuck_call_sets_a_few_timers_however_quick_the_others_are(drive: Drive) -> None:
    d = drive(second_copies=True)
    d.listed(["s0"])
    d.serve(100, step=1.0)
    d.balancer.latencies = [0.1] * 3
    name, actions = d.request(0)
    fired, begun = 0, d.now
    while timers := [a for a in actions if isinstance(a, SetTimer) and a.name in (f"second.{name}", f"again.{name}")]:
        d.now = timers[0].at
        actions, fired = d.do(TimerFired(timers[0].name)), fired + 1
    assert d.now > begun + 400.0  # until its aim
    assert fired < 24


def day(seed: int, rate: float) -> Any:
    """Play two proxies and four hosts; for ten of thirty seconds three hosts never answer three calls in ten."""
    kinds = [
        {"name": name, "count": count, "speed": speed, "slots": 30, "queue": 400}
        for name, count, speed in (("fast", 1, 1.6), ("mid", 2, 1.0), ("slow", 1, 0.6))
    ]
    classes = [
        {
            "name": name,
            "share": share,
            "work_ms": work,
            "cv": 1.5,
            "aim_ms": aim,
            "deadline_ms": deadline,
            "effect": effect,
        }
        for name, share, work, aim, deadline, effect in (
            ("browse", 0.47, 75.0, 1500.0, 4000.0, "safe"),
            ("order", 0.41, 65.0, 1000.0, 2500.0, "unsafe"),
            ("same-day", 0.12, 40.0, 600.0, 1500.0, "unsafe"),
        )
    ]
    fault = {
        "what": "swallow",
        "at_s": 10.0,
        "for_s": 10.0,
        "size": 0.3,
        "hosts": ["front-fast-0", "front-mid-0", "front-mid-1"],
    }
    return play(
        scenario(
            **{
                "name": "swallow",
                "seconds": 30.0,
                "warmup_s": 2.0,
                "seed": seed,
                "load": {"rate": rate},
                "class": classes,
                "clients": {"retries": 0},
                "limits": {"max_attempts": 6},
                "reports": {"source": "probe"},
                "fault": [fault],
                "tier": [
                    {"name": "front", "proxies": 2, "kind": kinds, "choke": {"at": 7.0, "over_s": 2.0, "slower": 2.8}}
                ],
                "prices": {"probe": 0.05, "waste": 0.2},
            }
        )
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_swallowed_calls_cost_little_more_than_themselves(seed: int) -> None:
    result = day(seed, 70.0)
    assert result.verdict.is_clean, result.verdict
    assert result.in_time > 0.915  # 0.844 to 0.883 if they count as a jam, 0.934 to 0.950 if not
    look = next(kind for kind in result.classes if kind.name == "browse")
    assert look.in_time > 0.96 * look.asked  # a second copy is sent where that is harmless
