"""Faults of soak runs on stand-ins for processes and backends: their victims, the cut paths, and that all heal."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from cranebank.fleetlab import backend_faults, process_faults
from cranebank.fleetlab.backend_faults import BackendFaults
from cranebank.fleetlab.fault_scene import FaultScene, NoVictimError
from cranebank.fleetlab.network import LabNetwork
from cranebank.fleetlab.network_faults import NetworkFaults
from cranebank.fleetlab.process_faults import ProcessFaults
from cranebank.fleetlab.records import DayRecord
from cranebank.fleetlab.soak_plan import Fault, FaultGroup, FaultKind, kinds_of

ANSWERS = (FaultKind.LOSE_OPERATOR_ANSWERS, FaultKind.LOSE_HEARTBEAT_ANSWERS)
OF_PROCESSES, OF_BACKENDS = kinds_of(FaultGroup.PROCESSES), kinds_of(FaultGroup.BACKENDS)
CUTS = [kind for kind in kinds_of(FaultGroup.NETWORK) if kind not in {*ANSWERS, FaultKind.RESET_CONNECTIONS}]
CHOICES = range(12)
PRIMARY = "control-2"


class StandIn:
    """A process that carries out and records each call at once."""

    def __init__(self, name: str, role: str, ip: str, zone: str = "z-1") -> None:
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.is_running = True
        self.calls: list[str] = []
        self.process = None

    async def kill(self) -> None:
        self.is_running = False
        self.calls.append("kill")

    async def stop(self, seconds: float) -> bool:
        self.is_running = False
        self.calls.append("stop")
        await asyncio.sleep(0)
        return True

    def send(self, number: signal.Signals) -> None:
        self.calls.append(number.name)

    def clear_disk(self) -> None:
        assert not self.is_running
        self.calls.append("clear")


class StandInFleet:
    def __init__(self) -> None:
        self.controllers = {f"control-{n}": StandIn(f"control-{n}", "control", f"10.0.0.{n}") for n in (1, 2, 3)}
        self.proxies = {f"edge-{n}": StandIn(f"edge-{n}", "edge", f"10.0.1.{n}") for n in (1, 2, 3)}
        self.listed_controllers = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"]

    @property
    def processes(self) -> list[StandIn]:
        return [*self.controllers.values(), *self.proxies.values()]

    async def start(self, process: StandIn) -> None:
        assert not process.is_running, "started twice"
        process.is_running = True
        process.calls.append("start")

    def add_controller(self, zone: str) -> StandIn:
        made = self.controllers["control-4"] = StandIn("control-4", "control", "10.0.0.4", zone)
        made.is_running = False
        return made

    def remove_controller(self, name: str) -> None:
        del self.controllers[name]

    def list_controllers(self) -> None:
        self.listed_controllers = [f"{one.ip}:1" for one in self.controllers.values()]


class StandInBackend:
    def __init__(self, number: int, service: str, stage: str) -> None:
        self.instance, self.service, self.address = f"i-{number}", service, f"10.0.2.{number}:8080"
        self.model = SimpleNamespace(stage=stage)
        self.phase, self.faults, self.ended = "ready", set[str](), asyncio.Event()
        self.zone = "z-1"
        self.heartbeat_address = "10.0.0.1:1"

    def fault(self, name: str, on: bool = True) -> None:
        if name == "crash":
            self.ended.set()
        (self.faults.add if on else self.faults.discard)(name)

    def drain(self) -> None:
        self.phase = "draining"
        self.ended.set()

    def send_heartbeats_to(self, address: str) -> None:
        self.heartbeat_address = address


class Harness:
    """A fault scene with stand-ins."""

    def __init__(self, folder: Path) -> None:
        self.fleet = StandInFleet()
        self.record = DayRecord()
        self.network = LabNetwork(folder / "network.json")
        stages = [("g1", "prefill"), ("g1", "prefill"), ("g1", "decode"), ("g1", "decode"), ("g2", "prefill")]
        stages += [("g2", "decode"), ("g2", "decode")]
        self.backends = [StandInBackend(number, *place) for number, place in enumerate(stages, 1)]
        platform = SimpleNamespace(proxies={name: SimpleNamespace(life=1) for name in self.fleet.proxies})
        self.platform = platform
        self.scene = FaultScene(
            cast(Any, self.fleet),
            self.network,
            cast(Any, platform),
            cast(Any, self.backends),
            self.record,
            cast(Any, self.add_backend),
            self.primary,
            lambda text: None,
        )
        self.callers = [SimpleNamespace(share_lost=0.0) for _ in range(2)]
        self.process_faults = ProcessFaults(self.scene)
        self.network_faults = NetworkFaults(self.scene, cast(Any, self.callers[:1]), cast(Any, self.callers[1:]))
        self.backend_faults = BackendFaults(self.scene)

    async def primary(self) -> str:
        return PRIMARY

    async def add_backend(self, service: str, stage: str, zone: str) -> StandInBackend:
        assert zone == "z-1", "the replaced backend is in another zone"
        self.backends.append(StandInBackend(len(self.backends) + 1, service, stage))
        return self.backends[-1]

    def calls(self) -> dict[str, list[str]]:
        return {process.name: process.calls for process in self.fleet.processes if process.calls}


def play(folder: Path, scenario: Callable[[Harness], Awaitable[None]]) -> Harness:
    async def run() -> Harness:
        harness = Harness(folder)
        async with asyncio.timeout(10):
            await scenario(harness)
        return harness

    return asyncio.run(run())


@pytest.fixture(autouse=True)
def _no_waiting(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("RESTART_DELAY_S", "ROLL_INTERVAL_S", "LIST_LAG_S", "CATCH_UP_S"):
        monkeypatch.setattr(process_faults, name, 0.0)
    monkeypatch.setattr(backend_faults, "SUCCESSOR_LEAD_S", 0.0)


def fault(kind: FaultKind, choice: int = 1, seconds: float = 0.0) -> Fault:
    return Fault(0.0, kind, seconds, choice)


@pytest.mark.parametrize("kind", OF_PROCESSES)
def test_a_fault_of_processes_is_noted_and_all_run_again(tmp_path: Path, kind: FaultKind) -> None:
    harness = play(tmp_path, lambda harness: harness.process_faults.inject(fault(kind)))
    assert all(process.is_running for process in harness.fleet.processes)
    assert len(harness.fleet.controllers) == len(harness.fleet.proxies) == 3
    assert not harness.scene.held
    (injected,) = harness.record.faults
    assert injected.kind == kind.value
    assert injected.begin <= injected.end < float("inf")
    assert harness.record.troubles
    assert all(trouble.end < float("inf") for trouble in harness.record.troubles)
    for name, proxy in harness.fleet.proxies.items():
        assert harness.platform.proxies[name].life == 1 + proxy.calls.count("start")


@pytest.mark.parametrize(
    ("kind", "required", "allowed"),
    [
        (FaultKind.KILL_PRIMARY, {PRIMARY}, {PRIMARY}),
        (FaultKind.KILL_CONTROLLER, set(), {"control-1", "control-3"}),
        (FaultKind.KILL_PROXIES, {"edge-1", "edge-2", "edge-3"}, {"edge-1", "edge-2", "edge-3"}),
    ],
)
@pytest.mark.parametrize("choice", range(5))
def test_who_is_struck(tmp_path: Path, kind: FaultKind, required: set[str], allowed: set[str], choice: int) -> None:
    struck = set(play(tmp_path, lambda harness: harness.process_faults.inject(fault(kind, choice))).calls())
    assert struck
    assert required <= struck <= allowed


def test_a_wiped_disk_is_cleared_while_the_process_is_down(tmp_path: Path) -> None:
    harness = play(tmp_path, lambda harness: harness.process_faults.inject(fault(FaultKind.WIPE_CONTROLLER)))
    assert list(harness.calls().values()) == [["kill", "clear", "start"]]


def test_a_replaced_controller_is_listed_at_its_new_address(tmp_path: Path) -> None:
    harness = play(tmp_path, lambda harness: harness.process_faults.inject(fault(FaultKind.REPLACE_CONTROLLER)))
    assert "control-4" in harness.fleet.controllers
    assert "10.0.0.4:1" in harness.fleet.listed_controllers
    assert len(harness.fleet.listed_controllers) == 3


def test_two_faults_do_not_strike_one_process(tmp_path: Path) -> None:
    async def scenario(harness: Harness) -> None:
        first = asyncio.ensure_future(harness.process_faults.inject(fault(FaultKind.KILL_PRIMARY, seconds=0.1)))
        await asyncio.sleep(0.01)
        with pytest.raises(NoVictimError):
            await harness.process_faults.inject(fault(FaultKind.PAUSE_PRIMARY))
        await first

    assert play(tmp_path, scenario).calls() == {PRIMARY: ["kill", "start"]}


@pytest.mark.parametrize("kind", [FaultKind.KILL_CONTROLLER, FaultKind.STOP_CONTROLLER, FaultKind.ROLL_CONTROLLERS])
def test_what_is_down_by_another_fault_is_left_to_it_when_everything_is_killed(tmp_path: Path, kind: FaultKind) -> None:
    """Each process is started once after each end. The stand-in fails if a running process is started."""

    async def scenario(harness: Harness) -> None:
        first = asyncio.ensure_future(harness.process_faults.inject(fault(kind, seconds=0.1)))
        await asyncio.sleep(0.01)
        await harness.process_faults.inject(fault(FaultKind.KILL_EVERYTHING, seconds=0.02))
        await first

    harness = play(tmp_path, scenario)
    assert all(process.is_running for process in harness.fleet.processes)


def test_a_roll_passes_over_what_another_fault_has_ended(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """All processes are killed while the rolling restart waits between two processes."""
    monkeypatch.setattr(process_faults, "ROLL_INTERVAL_S", 0.05)

    async def scenario(harness: Harness) -> None:
        roll = asyncio.ensure_future(harness.process_faults.inject(fault(FaultKind.ROLL_CONTROLLERS)))
        await asyncio.sleep(0.02)
        await harness.process_faults.inject(fault(FaultKind.KILL_EVERYTHING, seconds=0.1))
        await roll

    harness = play(tmp_path, scenario)
    assert all(process.is_running for process in harness.fleet.processes)
    assert {tuple(calls) for name, calls in harness.calls().items() if name.startswith("control")} == {
        ("stop", "start", "kill", "start"),
        ("kill", "start"),
    }


def test_a_paused_process_that_is_killed_is_started_again(tmp_path: Path) -> None:
    async def scenario(harness: Harness) -> None:
        first = asyncio.ensure_future(harness.process_faults.inject(fault(FaultKind.PAUSE_PRIMARY, seconds=0.1)))
        await asyncio.sleep(0.01)
        await harness.process_faults.inject(fault(FaultKind.KILL_EVERYTHING, seconds=0.02))
        await first

    assert play(tmp_path, scenario).calls()[PRIMARY] == ["SIGSTOP", "kill", "start", "SIGCONT"]


@pytest.mark.parametrize("kind", CUTS)
@pytest.mark.parametrize("choice", CHOICES)
def test_a_cut_heals_and_leaves_some_backends_alone(tmp_path: Path, kind: FaultKind, choice: int) -> None:
    cuts: list[tuple[str, str]] = []

    async def scenario(harness: Harness) -> None:
        original_cut = harness.network.cut

        def record_and_cut(paths: Any) -> None:
            cuts.extend(paths)
            original_cut(paths)

        harness.network.cut = record_and_cut  # type: ignore[method-assign]
        await harness.network_faults.inject(fault(kind, choice))

    harness = play(tmp_path, scenario)
    assert cuts
    assert all(source != target for source, target in cuts)
    assert not any(harness.network.is_cut(*path) for path in cuts)
    backends = {one.address.rpartition(":")[0] for one in harness.backends}
    assert not backends <= {ip for path in cuts for ip in path}
    assert all(trouble.end < float("inf") for trouble in harness.record.troubles)
    between = [path for path in cuts if all(ip.startswith("10.0.0.") for ip in path)]
    assert bool(between) == any(trouble.machine == "core" for trouble in harness.record.troubles)
    assert {name for broken in harness.record.broken_links for name in broken.machines} == {
        process.name
        for process in harness.fleet.controllers.values()
        if process.ip in {ip for path in between for ip in path}
    }


def test_one_direction_is_cut_for_a_deaf_and_a_mute_controller(tmp_path: Path) -> None:
    async def scenario(harness: Harness) -> None:
        for kind in (FaultKind.DEAF_CONTROLLER, FaultKind.MUTE_CONTROLLER):
            paths = harness.network_faults._paths(kind, Random(3))
            ends = {path.target if kind is FaultKind.DEAF_CONTROLLER else path.source for path in paths}
            assert len(ends) == 1
            assert len(paths) == 2

    play(tmp_path, scenario)


@pytest.mark.parametrize("kind", ANSWERS)
def test_answers_are_lost_for_the_time_of_the_fault_only(tmp_path: Path, kind: FaultKind) -> None:
    async def scenario(harness: Harness) -> None:
        losing = asyncio.ensure_future(harness.network_faults.inject(fault(kind, seconds=0.05)))
        await asyncio.sleep(0.01)
        assert [caller.share_lost > 0 for caller in harness.callers].count(True) == 1
        await losing
        assert not any(caller.share_lost for caller in harness.callers)

    play(tmp_path, scenario)


@pytest.mark.parametrize("kind", OF_BACKENDS)
@pytest.mark.parametrize("choice", range(5))
def test_after_a_fault_of_backends_each_service_can_still_be_served(
    tmp_path: Path, kind: FaultKind, choice: int
) -> None:
    harness = play(tmp_path, lambda harness: harness.backend_faults.inject(fault(kind, choice)))
    assert [injected.kind for injected in harness.record.faults] == [kind.value]
    left = {(one.service, one.model.stage) for one in harness.backends if not one.ended.is_set()}
    assert {service for service, _ in left} == {"g1", "g2"}
    gone = {("g1", "prefill"), ("g1", "decode"), ("g2", "prefill"), ("g2", "decode")} - left
    assert len(gone) == (kind in {FaultKind.DECODE_STAGE_LEAVES, FaultKind.PREFILL_STAGE_LEAVES})
    assert not any(one.faults - {"crash"} for one in harness.backends)


def test_all_heartbeats_go_to_one_controller(tmp_path: Path) -> None:
    harness = play(tmp_path, lambda harness: harness.backend_faults.inject(fault(FaultKind.HEARTBEATS_TO_ONE, 5)))
    assert len({one.heartbeat_address for one in harness.backends}) == 1
