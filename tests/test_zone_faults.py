"""Faults of whole zones on stand-ins: who is struck, what is cut, and that all of it heals."""

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
    """A process or a backend that does as it is told at once."""

    def __init__(self, name: str, role: str, ip: str, zone: str) -> None:
        self.name = self.instance = name
        self.role, self.ip, self.address, self.zone = role, ip, f"{ip}:8080", zone
        self.is_running, self.phase = True, "ready"
        self.faults, self.ended, self.told = set[str](), asyncio.Event(), list[str]()

    async def kill(self) -> None:
        self.is_running = False
        self.told.append("kill")

    def send(self, number: Any) -> None:
        self.told.append(number.name)

    def lose_power(self) -> None:
        self.faults.add("dark")
        self.told.append("lose")

    def regain_power(self) -> None:
        self.faults.discard("dark")
        self.told.append("regain")

    def turn_cold(self) -> None:
        self.told.append("cold")


class Stage:
    """A scene of five controllers, as many proxies and backends, in turn in the zones."""

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
            process.told.append("start")

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
        cut = self.network.cut

        def cut_and_note(paths: Any) -> None:
            self.cuts.extend(paths)
            cut(paths)

        self.network.cut = cut_and_note  # type: ignore[method-assign]

    async def evacuate(self, zone: str, seconds: float | None, backends: object) -> None:
        self.evacuated.append((zone, seconds))
        await asyncio.sleep(0.02)

    def zone_of(self, ip: str) -> str:
        places = {one.ip: one.zone for one in (*self.processes, *self.backends)}
        return places.get(ip) or self.scene.fleet.shape.zone_names[int(ip[-1])]


def play(folder: Path, story: Callable[[Stage], Awaitable[None]], zones: int = 3) -> Stage:
    async def run() -> Stage:
        stage = Stage(folder, zones)
        async with asyncio.timeout(10):
            await story(stage)
        return stage

    return asyncio.run(run())


def fault(kind: FaultKind, choice: int = 1) -> Fault:
    return Fault(0.0, kind, 0.01, choice)


@pytest.fixture(autouse=True)
def _quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(zone_faults, "MAX_RETURN_DELAY_S", 0.01)


@pytest.mark.parametrize("choice", CHOICES)
def test_a_lost_zone_is_lost_as_a_whole_and_comes_back_cold(tmp_path: Path, choice: int) -> None:
    stage = play(tmp_path, lambda stage: stage.faults.inject(fault(FaultKind.ZONE_LOSS, choice)))
    (zone,) = {one.zone for one in stage.processes if one.told}
    for process in stage.processes:
        assert process.told in ([["kill", "start"], ["SIGSTOP", "SIGCONT"]] if process.zone == zone else [[]])
    for backend in stage.backends:
        assert backend.told == (["lose", "regain"] if backend.zone == zone else [])
    struck = {one.name for one in (*stage.processes, *stage.backends) if one.zone == zone and one.role != "control"}
    assert {trouble.machine for trouble in stage.record.troubles} == {"core", *struck}
    assert not stage.scene.held


@pytest.mark.parametrize("kind", CUTS)
@pytest.mark.parametrize("choice", CHOICES)
@pytest.mark.parametrize("zones", [3, 5])
def test_a_cut_of_zones_keeps_each_zone_whole_and_heals(
    tmp_path: Path, kind: FaultKind, choice: int, zones: int
) -> None:
    stage = play(tmp_path, lambda stage: stage.faults.inject(fault(kind, choice)), zones)
    between = {(stage.zone_of(source), stage.zone_of(target)) for source, target in stage.cuts}
    assert all(source != target for source, target in between)
    many = {FaultKind.ZONE_CUT: 2 * (zones - 1), FaultKind.ONE_WAY_ZONE_CUT: zones - 1, FaultKind.BRIDGE_CUT: 2}
    assert len(between) == many[kind]
    assert not any(stage.network.is_cut(*path) for path in stage.cuts)
    (broken,) = stage.record.broken_links
    assert broken.machines
    assert broken.end < float("inf")


def test_two_zones_have_no_bridge_and_one_zone_is_not_cut(tmp_path: Path) -> None:
    for kind, zones in ((FaultKind.BRIDGE_CUT, 2), (FaultKind.ZONE_CUT, 1)):
        with pytest.raises(NoVictimError):
            play(tmp_path, lambda stage, kind=kind: stage.faults.inject(fault(kind)), zones)  # type: ignore[misc]


def test_backends_of_one_zone_come_back_cold_and_one_turns_cold(tmp_path: Path) -> None:
    stage = play(tmp_path, lambda stage: stage.faults.inject(fault(FaultKind.COLD_RETURN)))
    (zone,) = {one.zone for one in stage.backends if one.told}
    assert all(one.told == ["lose", "regain"] for one in stage.backends if one.zone == zone)
    stage = play(tmp_path, lambda stage: stage.faults.inject(fault(FaultKind.BACKEND_TURNS_COLD)))
    assert [one.told for one in stage.backends if one.told] == [["cold"]]


def test_one_zone_is_emptied_at_a_time_and_for_good_keeps_others_from_it(tmp_path: Path) -> None:
    async def story(stage: Stage) -> None:
        first = asyncio.ensure_future(stage.faults.inject(fault(FaultKind.EVACUATE)))
        await asyncio.sleep(0.005)
        with pytest.raises(NoVictimError):
            await stage.faults.inject(fault(FaultKind.EVACUATE))
        await first
        await stage.faults.inject(fault(FaultKind.EVACUATE_FOR_GOOD))
        with pytest.raises(NoVictimError):
            await stage.faults.inject(fault(FaultKind.EVACUATE))

    stage = play(tmp_path, story)
    assert [seconds for _, seconds in stage.evacuated] == [0.01, None]


def test_what_another_fault_holds_is_left_alone(tmp_path: Path) -> None:
    async def story(stage: Stage) -> None:
        with stage.scene.holding(fault(FaultKind.KILL_PROXY), cast(Any, stage.processes)):
            await stage.faults.inject(fault(FaultKind.ZONE_LOSS))

    stage = play(tmp_path, story)
    assert not any(one.told for one in stage.processes)


def test_a_zone_that_is_lost_is_not_lost_again(tmp_path: Path) -> None:
    async def story(stage: Stage) -> None:
        first = asyncio.ensure_future(stage.faults.inject(fault(FaultKind.ZONE_LOSS)))
        await asyncio.sleep(0.005)
        with pytest.raises(NoVictimError):
            await stage.faults.inject(fault(FaultKind.ZONE_LOSS))
        await first

    play(tmp_path, story)


def test_choices_strike_every_zone(tmp_path: Path) -> None:
    stage = Stage(tmp_path)
    assert {stage.faults._zone(Random(choice)) for choice in CHOICES} == set(stage.faults._zones)
