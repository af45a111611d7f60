"""Tests of the simulation: kernel, digests, the judge on simulated runs, partitions, and the paper's processes."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from labs import scenario

from cranebank.core import rules
from cranebank.decisions import interface as api
from cranebank.decisions.balance import Balancer
from cranebank.lab import records
from cranebank.lab.judge import judge
from cranebank.lab.plan import Notice
from cranebank.lab.simulated import paper
from cranebank.lab.simulated.kernel import Kernel
from cranebank.lab.simulated.world import World, play

ROOT = Path(__file__).parent.parent
THREE_TIERS: dict[str, Any] = {
    "zones": ["a", "b"],
    "tier": [
        {"name": name, "proxies": 2, "work": 0.34, "kind": [{"name": "std", "count": 4}]}
        for name in ("one", "two", "three")
    ],
}


def test_events_come_in_order_of_time_and_then_of_asking() -> None:
    kernel, seen = Kernel(), list[object]()
    for at, name in ((5, "b"), (3, "a"), (5, "c")):
        kernel.at(at, seen.append, name)
    kernel.at(4, lambda: kernel.at(1, seen.append, "late"))
    kernel.run()
    assert (seen, kernel.now, kernel.pending_count) == (["a", "late", "b", "c"], 5, 0)


def test_cancelled_events_do_not_happen_and_their_place_is_given_back() -> None:
    kernel, seen = Kernel(), list[object]()
    kept = kernel.at(10**9, seen.append, "kept")
    for turn in range(100):
        for event in [kernel.at(10**8 + turn, seen.append, turn) for _ in range(100)]:
            event.cancel()
            event.cancel()
        assert kernel.pending_count <= 2 * 64 + 2
    kernel.run()
    assert seen == ["kept"]
    kept.cancel()  # without effect: it has run


def test_the_same_seed_gives_the_same_digest_in_every_process_and_another_seed_another() -> None:
    code = (
        "import sys; sys.path[:0] = ['tests', '.']\nfrom labs import scenario\n"
        "from cranebank.lab.simulated.world import play\n"
        "print(play(scenario(seed=int(sys.argv[1]))).digest)"
    )

    def digest(seed: int, hashes: str) -> str:
        return subprocess.run(
            [sys.executable, "-c", code, str(seed)],
            cwd=ROOT,
            text=True,
            capture_output=True,
            check=True,
            env=os.environ | {"PYTHONHASHSEED": hashes},
        ).stdout.strip()

    digests = [digest(3, "1"), digest(3, "2"), digest(4, "1")]
    assert digests[0] == digests[1] != digests[2]
    assert play(scenario(seed=3)).digest == digests[0]


FAULTS: list[dict[str, Any]] = [
    {"what": what, "part": 0.5} | more
    for what, more in (
        ("kill", {}),
        ("stop", {}),
        ("half-open", {}),
        ("pause", {"size": 200.0, "every_s": 0.5}),
        ("slow", {"size": 3.0}),
        ("cold", {}),
        ("refuse", {}),
        ("reset", {}),
        ("spoil", {}),
        ("report-delay", {"size": 1.0}),
        ("proxy-kill", {}),
        ("proxy-restart", {}),
    )
] + [
    {"what": "shared-slow", "size": 2.0},
    {"what": "deploy", "part": 0.9, "batch": 0.5, "drain_s": 2.0},
    {"what": "discovery-late", "size": 1.0},
    {"what": "discovery-lie"},
    {"what": "discovery-down"},
    {"what": "partition"},
    {"what": "lose-zone", "zone": "b"},
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault["what"])
def test_no_rule_breaks_under_any_fault_and_all_is_answered(fault: dict[str, Any]) -> None:
    config = scenario(seconds=5.0, load={"rate": 60.0}, fault=[{"at_s": 1.0, "for_s": 2.0} | fault], **THREE_TIERS)
    world = World(config)
    world.play()
    verdict = judge(config, world.plan, world.records)
    assert verdict.is_clean, verdict
    assert not world.errors
    clients = [r for r in world.records if isinstance(r, records.CallRecord) and r.caller == "client"]
    assert len({r.root for r in clients}) == world.clients.offered > 200
    assert sum(r.status == 200 for r in clients) > 0.5 * world.clients.offered
    for proxy in world.proxies.values():  # no state of requests is left
        assert not proxy.open_requests
        assert proxy.rules is None or proxy.rules.unanswered_count == 0


def test_a_partition_holds_back_news_of_a_drain_and_no_leg_crosses_it() -> None:
    deploy = {"what": "deploy", "at_s": 1.0, "for_s": 0.1, "tier": "one", "part": 0.5, "batch": 1.0, "drain_s": 6.0}
    config = scenario(
        seconds=9.0,
        load={"rate": 60.0},
        **THREE_TIERS,
        fault=[deploy, {"what": "partition", "at_s": 1.1, "for_s": 4.0}],
    )
    world = World(config)
    world.play()
    assert judge(config, world.plan, world.records).is_clean
    zones = {h.name: h.zone for h in world.plan.hosts}
    asked = {r.id: world.proxies[r.proxy].plan.zone for r in world.records if isinstance(r, records.CallRecord)}
    crossed = [
        r
        for r in world.records
        if isinstance(r, records.LegRecord)
        and 1_200_000 < r.first < 5_000_000
        and zones[r.host] != asked.get(r.id, zones[r.host])
    ]
    assert not crossed
    late = [
        r
        for r in world.records
        if isinstance(r, records.DiscoveryNotice) and r.state == "DRAINING" and world.proxies[r.proxy].plan.zone == 1
    ]
    assert late and min(r.at for r in late) > 5_000_000


@pytest.mark.parametrize(("partition_s", "answered_s"), [(0.5, 2.0), (1.5, 4.0), (3.5, None)])
def test_a_call_into_a_partition_reaches_discovery_with_tcps_next_try_or_is_given_up(
    partition_s: float, answered_s: float | None
) -> None:
    """SYNs are sent at 1, 2 and 4 s, as on sockets (tests/test_network_failures.py); the call fails at 5 s."""
    world = World(scenario(**THREE_TIERS, fault=[{"what": "partition", "at_s": 1.0, "for_s": partition_s}]))
    proxy = next(p for p in world.proxies.values() if p.plan.zone == 1)
    proxy.start(())
    updates, drive = list[tuple[int, api.ListKind]](), proxy.drive

    def record_and_drive(message: rules.Message) -> None:
        if isinstance(message, rules.RoutingUpdate):
            updates.append((world.kernel.now, message.kind))
        drive(message)

    proxy.drive = record_and_drive  # type: ignore[method-assign]
    world.kernel.at(1_000_000, world.discovery.watch, proxy, 0)  # version 0: the answer is the whole list
    world.kernel.at(5_100_000, world.kernel.stop)
    world.kernel.run()
    whole = [at for at, kind in updates if kind is api.ListKind.ALL]
    refused = [at for at, kind in updates if kind is api.ListKind.REFUSED]
    if answered_s is None:
        assert (whole, refused) == ([], [5_000_000])
    else:
        assert len(whole) == 1
        assert answered_s * 1e6 < whole[0] < (answered_s + 0.9) * 1e6
        assert not refused


class FaultyDecisions:
    """The module with a planted violation of a rule."""

    def __init__(self, breach: str, settings: api.Settings, seed: int) -> None:
        self._module, self._breach = Balancer(settings, seed), breach
        self._hosts: list[str] = []

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        actions = self._module.handle(now, event)
        if isinstance(event, api.ServerList):
            self._hosts = [e.server for e in event.entries] or self._hosts
        if isinstance(event, api.Request) and self._breach == "attempts":
            return [api.Send(event.request, host) for host in self._hosts[:4]]
        if isinstance(event, api.AttemptResult) and self._breach == "repeat" and event.outcome is api.Outcome.ERROR:
            return [api.Send(event.request, event.server)]
        return actions


@pytest.mark.parametrize(
    ("breach", "rule", "changes"),
    [
        ("attempts", "attempts", {"limits": {"max_attempts": 2}}),
        ("repeat", "repeat", {}),
        ("none", None, {}),
    ],
)
def test_the_judge_names_a_breach_planted_in_the_decisions(
    monkeypatch: pytest.MonkeyPatch, breach: str, rule: str | None, changes: dict[str, Any]
) -> None:
    kinds = [{"name": "std", "count": 6, "error_rate": 0.3}]
    config = scenario(tier=[{"name": "front", "proxies": 1, "kind": kinds}], **changes)
    world = World(config, make_decisions=lambda settings, seed: FaultyDecisions(breach, settings, seed))
    if breach == "attempts":  # disable the rules layer's own limit, so that only the judge can report it
        monkeypatch.setattr(rules.Rules, "_send", _without_attempt_limit(rules.Rules._send))
    world.play()
    broken_rules = {b.rule for b in judge(config, world.plan, world.records).breaches}
    broken_rules -= {"repeat"} if rule != "repeat" else set()
    assert broken_rules == ({rule} if rule else set())


def _without_attempt_limit(send: Callable[..., None]) -> Callable[..., None]:
    def send_unlimited(self: rules.Rules, name: str, server: str, timeout: int) -> None:
        kept, self.settings = self.settings, type(self.settings)(classes=self.settings.classes, max_attempts=99)
        send(self, name, server, timeout)
        self.settings = kept

    return send_unlimited


@pytest.mark.parametrize(
    "subset",
    [{}, {"size": 8, "from_hosts": 20, "cover": 2}, {"size": 8, "from_hosts": 20, "cover": 2, "told_copies": 2.0}],
)
def test_subsets_bound_connections_and_serve_as_well(subset: dict[str, Any]) -> None:
    kinds = [{"name": "std", "count": 60}]
    config = scenario(
        seconds=4.0,
        load={"rate": 400.0},
        subset=subset,
        reports={"source": "none"},
        prices={"handshake": 0.0},
        tier=[{"name": "front", "proxies": 12, "kind": kinds}],
    )
    result = play(config)
    assert result.verdict.is_clean
    assert result.in_time > 0.99
    connections = result.tiers[0].connections
    assert connections < 260 if subset else connections > 330


def test_the_papers_processes_have_their_known_gaps() -> None:
    loads = np.array([3, 1, 1, 0])
    assert np.allclose(paper.d_choice(loads), [1 / 16, 4 / 16, 4 / 16, 7 / 16])
    assert np.isclose(paper.quantile(loads, np.random.default_rng(1)).sum(), 1.0)
    assert paper.mixing(10, 1000) < 1.0 == paper.mixing(1000, 10)
    gaps = {
        process: np.mean([paper.gap(process, 2000, 40_000, seed) for seed in range(6)]) for process in paper.PROCESSES
    }
    assert gaps["one-choice"] < gaps["one-plus-beta"] < gaps["quantile"] < gaps["two-choice"]


def test_the_modules_own_gap_lies_between_one_choice_and_two_choice_in_large_batches() -> None:
    module_gap = paper.module_gap(100, 20, 4, 1)
    two_choice_gap = np.mean([paper.gap("two-choice", 100, 2000, seed, 4) for seed in range(8)])
    assert 3.0 < module_gap < two_choice_gap


def test_a_hunt_finds_shrinks_and_writes_what_can_be_played_again(tmp_path: Path) -> None:
    from cranebank.lab.plan import read_scenario  # noqa: PLC0415
    from cranebank.lab.simulated import hunt  # noqa: PLC0415

    assert hunt.draw(3) == hunt.draw(3) != hunt.draw(4)
    drawn = hunt.draw(7) | {
        "seconds": 8.0,
        "fault": [{"what": "shared-slow", "size": 3.0, "at_s": 2.0, "for_s": 3.0, "tier": "one"}],
    }
    variants = list(hunt.reductions(drawn))
    assert {"fault": []}.items() <= variants[0].items()
    said: list[str] = []
    hunt.hunt(0.2, 11, tmp_path, said.append, processes=2)
    files = sorted(tmp_path.glob("[0-9]-*.toml"))
    assert files
    assert all(read_scenario(path).seconds >= 8.0 for path in files)
    assert "scenarios, worst losses" in said[0]


def test_news_of_one_host_arrives_in_the_order_in_which_it_was_told() -> None:
    config = scenario(net={"jitter": 1.0, "same_ms": 400.0})
    world = World(config)
    (proxy,) = world.proxies.values()
    proxy.start(world.discovery.known(0))
    world.discovery.watch(proxy, 1)
    world.kernel.run(10_000_000)
    for turn in range(40):  # both changes are sent within one network delay
        for state in ("DRAINING", "SERVING" if turn % 2 else "DELETED"):
            world.discovery._learn(Notice(at=0, host="front-std-0", state=state))
        world.kernel.run(world.kernel.now + 5_000_000)
        assert ("front-std-0" in proxy.hosts) == bool(turn % 2)
