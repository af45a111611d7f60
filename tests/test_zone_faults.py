"""Faults of whole zones on stand-ins: their victims, the cut paths, and that all heal."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from cranebank.fleetlab import zone_faults
from cranebank.fleetlab.fault_scene import FaultScene, NoVictimError
from cranebank.fleetlab.fleet import FleetShape
from cranebank.fleetlab.network import LabNetwork
from cranebank.fleetlab.network import Path as Way
from cranebank.fleetlab.network_faults import NetworkFaults
from cranebank.fleetlab.records import DayRecord
from cranebank.fleetlab.soak_plan import Fault, FaultKind
from cranebank.fleetlab.zone_faults import ZoneFaults

CHOICES = range(12)
CUTS = (FaultKind.ZONE_CUT, FaultKind.ONE_WAY_ZONE_CUT, FaultKind.BRIDGE_CUT)


class StandIn:
    """A process or backend that carries out and records each call at once."""

    def __init__(self, name: str, role: str, ip: str, zone: str) -> None:
        self.name = self.instance = name
        self.role, self.ip, self.address, self.zone = role, ip, f"{ip}:8080", zone
        self.is_running, self.phase = True, "ready"
        self.faults, self.ended, self.calls = set[str](), asyncio.Event(), list[str]()

    async def kill(self) -> None:
        self.is_running = False
        self.calls.append("kill")

    def send(self, number: Any) -> None:
        self.calls.append(number.name)

    def lose_power(self) -> None:
        self.faults.add("dark")
        self.calls.append("lose")

    def regain_power(self) -> None:
        self.faults.discard("dark")
        self.calls.append("regain")

    def turn_cold(self) -> None:
        self.calls.append("cold")


class Harness:
    """A scene of five controllers, proxies and backends each, assigned to the zones in turn."""

    def __init__(self, folder: Path, zones: int = 3) -> None:
        shape = FleetShape(5, 5, 2, zones)
        made = {
            role: [StandIn(f"{role}-{n}", role, f"10.0.{place}.{n}", shape.zone_of(n)) for n in range(1, 6)]
            for place, role in enumerate(("control", "edge", "backend"))
        }
        self.processes, self.backends = made["control"] + made["edge"], made["backend"]

        async def start(process: StandIn) -> None:
            assert not process.is_running
            process.is_running = True
            process.calls.append("start")

        fleet = SimpleNamespace(
            shape=shape,
            processes=self.processes,
            controllers={one.name: one for one in made["control"]},
            proxies={one.name: one for one in made["edge"]},
            start=start,
            application_ip=lambda zone: f"10.0.9.{shape.zone_names.index(zone)}",
        )
        self.record, self.network = DayRecord(), LabNetwork(folder / "network.json")
        platform = SimpleNamespace(proxies={})
        self.scene = FaultScene(
            cast(Any, fleet), self.network, cast(Any, platform), cast(Any, self.backends), self.record,
            cast(Any, None), cast(Any, None), lambda text: None,
        )  # fmt: skip
        self.evacuated: list[tuple[str, float | None]] = []
        network_faults = NetworkFaults(self.scene, [], [])
        self.faults = ZoneFaults(self.scene, network_faults, cast(Any, SimpleNamespace(evacuate=self.evacuate)))
        self.cuts: list[Way] = []
        original_cut = self.network.cut

        def record_and_cut(paths: Any) -> None:
            self.cuts.extend(paths)
            original_cut(paths)

        self.network.cut = record_and_cut  # type: ignore[method-assign]

    async def evacuate(self, zone: str, seconds: float | None, backends: object) -> None:
        self.evacuated.append((zone, seconds))
        await asyncio.sleep(0.02)

    def zone_of(self, ip: str) -> str:
        places = {one.ip: one.zone for one in (*self.processes, *self.backends)}
        return places.get(ip) or self.scene.fleet.shape.zone_names[int(ip[-1])]


def play(folder: Path, scenario: Callable[[Harness], Awaitable[None]], zones: int = 3) -> Harness:
    async def run() -> Harness:
        harness = Harness(folder, zones)
        async with asyncio.timeout(10):
            await scenario(harness)
        return harness

    return asyncio.run(run())


def fault(kind: FaultKind, choice: int = 1) -> Fault:
    return Fault(0.0, kind, 0.01, choice)


@pytest.fixture(autouse=True)
def _short_return_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(zone_faults, "MAX_RETURN_DELAY_S", 0.01)


@pytest.mark.parametrize("choice", CHOICES)
def test_a_lost_zone_is_lost_as_a_whole_and_comes_back_cold(tmp_path: Path, choice: int) -> None:
    harness = play(tmp_path, lambda harness: harness.faults.inject(fault(FaultKind.ZONE_LOSS, choice)))
    (zone,) = {one.zone for one in harness.processes if one.calls}
    for process in harness.processes:
        assert process.calls in ([["kill", "start"], ["SIGSTOP", "SIGCONT"]] if process.zone == zone else [[]])
    for backend in harness.backends:
        assert backend.calls == (["lose", "regain"] if backend.zone == zone else [])
    struck = {one.name for one in (*harness.processes, *harness.backends) if one.zone == zone and one.role != "control"}
    assert {trouble.machine for trouble in harness.record.troubles} == {"core", *struck}
    assert not harness.scene.held


@pytest.mark.parametrize("kind", CUTS)
@pytest.mark.parametrize("choice", CHOICES)
@pytest.mark.parametrize("zones", [3, 5])
def test_a_cut_of_zones_keeps_each_zone_whole_and_heals(
    tmp_path: Path, kind: FaultKind, choice: int, zones: int
) -> None:
    harness = play(tmp_path, lambda harness: harness.faults.inject(fault(kind, choice)), zones)
    between = {(harness.zone_of(source), harness.zone_of(target)) for source, target in harness.cuts}
    assert all(source != target for source, target in between)
    expected = {FaultKind.ZONE_CUT: 2 * (zones - 1), FaultKind.ONE_WAY_ZONE_CUT: zones - 1, FaultKind.BRIDGE_CUT: 2}
    assert len(between) == expected[kind]
    assert not any(harness.network.is_cut(*path) for path in harness.cuts)
    (broken,) = harness.record.broken_links
    assert broken.machines
    assert broken.end < float("inf")


def test_two_zones_have_no_bridge_and_one_zone_is_not_cut(tmp_path: Path) -> None:
    for kind, zones in ((FaultKind.BRIDGE_CUT, 2), (FaultKind.ZONE_CUT, 1)):
        with pytest.raises(NoVictimError):
            play(tmp_path, lambda harness, kind=kind: harness.faults.inject(fault(kind)), zones)  # type: ignore[misc]


def test_backends_of_one_zone_come_back_cold_and_one_turns_cold(tmp_path: Path) -> None:
    harness = play(tmp_path, lambda harness: harness.faults.inject(fault(FaultKind.COLD_RETURN)))
    (zone,) = {one.zone for one in harness.backends if one.calls}
    assert all(one.calls == ["lose", "regain"] for one in harness.backends if one.zone == zone)
    harness = play(tmp_path, lambda harness: harness.faults.inject(fault(FaultKind.BACKEND_TURNS_COLD)))
    assert [one.calls for one in harness.backends if one.calls] == [["cold"]]


def test_one_zone_is_emptied_at_a_time_and_for_good_keeps_others_from_it(tmp_path: Path) -> None:
    async def scenario(harness: Harness) -> None:
        first = asyncio.ensure_future(harness.faults.inject(fault(FaultKind.EVACUATE)))
        await asyncio.sleep(0.005)
        with pytest.raises(NoVictimError):
            await harness.faults.inject(fault(FaultKind.EVACUATE))
        await first
        await harness.faults.inject(fault(FaultKind.EVACUATE_FOR_GOOD))
        with pytest.raises(NoVictimError):
            await harness.faults.inject(fault(FaultKind.EVACUATE))

    harness = play(tmp_path, scenario)
    assert [seconds for _, seconds in harness.evacuated] == [0.01, None]


def test_what_another_fault_holds_is_left_alone(tmp_path: Path) -> None:
    async def scenario(harness: Harness) -> None:
        with harness.scene.holding(fault(FaultKind.KILL_PROXY), cast(Any, harness.processes)):
            await harness.faults.inject(fault(FaultKind.ZONE_LOSS))

    harness = play(tmp_path, scenario)
    assert not any(one.calls for one in harness.processes)


def test_a_zone_that_is_lost_is_not_lost_again(tmp_path: Path) -> None:
    async def scenario(harness: Harness) -> None:
        first = asyncio.ensure_future(harness.faults.inject(fault(FaultKind.ZONE_LOSS)))
        await asyncio.sleep(0.005)
        with pytest.raises(NoVictimError):
            await harness.faults.inject(fault(FaultKind.ZONE_LOSS))
        await first

    play(tmp_path, scenario)


def test_choices_strike_every_zone(tmp_path: Path) -> None:
    harness = Harness(tmp_path)
    assert {harness.faults._zone(Random(choice)) for choice in CHOICES} == set(harness.faults._zones)
