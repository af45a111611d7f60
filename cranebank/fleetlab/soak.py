"""A soak run: real processes under overlapping faults and constant configuration changes, and its verdict."""

from __future__ import annotations

import asyncio
import itertools
import re
import signal
from collections.abc import Callable, Iterable
from pathlib import Path
from random import Random
from typing import Protocol

import msgspec

from cranebank.fleetlab.backend import Backend
from cranebank.fleetlab.backend_faults import BackendFaults
from cranebank.fleetlab.caller import Caller
from cranebank.fleetlab.fault_scene import FaultScene, NoVictimError, is_healthy
from cranebank.fleetlab.fleet import METRICS_PORT, Process, Programs
from cranebank.fleetlab.lab_run import SERVICES, LabRun
from cranebank.fleetlab.launcher import VARIABLE as NETWORK_VARIABLE
from cranebank.fleetlab.network import LabNetwork
from cranebank.fleetlab.network_faults import NetworkFaults
from cranebank.fleetlab.process_faults import CATCH_UP_S, ProcessFaults
from cranebank.fleetlab.records import Health
from cranebank.fleetlab.soak_plan import TRAITS, Fault, FaultGroup, SoakPlan
from cranebank.fleetlab.soak_verdict import SoakVerdict, verdict_of
from cranebank.fleetlab.zone_faults import ZoneFaults
from cranebank.transport.http_client import ask_once

CHANGE_INTERVAL_RANGE_S = (0.2, 1.2)  # of the operator, between changes
RACE_SHARE, INVALID_SHARE = 0.15, 0.05  # of the changes
PROBED_CHANGE_INTERVAL = 4  # one in this many changes is followed by probes
READ_INTERVAL_S = 0.4
HEALTH_INTERVAL_S = 0.25
STAGE_SWITCH_GRACE_S = 12.0  # until a prefill backend must have become a decode one, if no decode backend is left
START_GRACE_S = 3.0  # a started proxy or backend counts as healthy after this time
READ_BACK_TIMEOUT_S = 12.0
METRICS_TIMEOUT_S = 1.0
OPERATOR_HOST = "5"  # last part of the operator's address
VIOLATION = re.compile(r'_invariant_violations_total\{invariant="(?P<name>[^"]*)"\} (?P<count>\d+)')


class Injector(Protocol):
    """Injects the faults of a group."""

    async def inject(self, fault: Fault) -> None:
        """Inject one fault, and return when it has healed. Raises NoVictimError."""


class Soak(LabRun):
    """One soak run."""

    def __init__(self, plan: SoakPlan, progress: Callable[[str], None], folder: Path | None) -> None:
        super().__init__(
            plan.seed, plan.beat_ms, plan.shape, progress, folder, plan.services or SERVICES, options=plan.options
        )
        self.plan = plan
        self._probes: list[asyncio.Task[None]] = []
        self._no_decode_since: dict[str, float] = {}
        self._operators: list[Caller] = []
        self._heartbeats: list[Caller] = []  # the backends, as callers of control

    def _programs(self, folder: Path) -> Programs:
        self._network = LabNetwork(folder / "network.json")
        variables = {NETWORK_VARIABLE: str(self._network.file), "CRANEBANK_METRICS": "1"}
        return Programs("cranebank.fleetlab.launcher", variables)

    def _operator_caller(self) -> Caller:
        self._operators.append(self._caller(f"{self._fleet.net}.{OPERATOR_HOST}"))
        return self._operators[-1]

    def _backend_caller(self, address: str) -> Caller:
        self._heartbeats.append(self._caller(address.rpartition(":")[0]))
        return self._heartbeats[-1]

    def _application_caller(self, ip: str) -> Caller:
        return self._caller(ip)

    def _caller(self, ip: str) -> Caller:
        return Caller(ip, self._network, Random(f"{self._seed} {ip}"))

    async def _play(self) -> None:
        self._scene = FaultScene(
            self._fleet,
            self._network,
            self._platform,
            self._backends,
            self.record,
            self._add_backend,
            self._primary,
            self._log_progress,
        )
        network_faults = NetworkFaults(self._scene, self._operators, self._heartbeats)
        self._injectors: dict[FaultGroup, Injector] = {
            FaultGroup.PROCESSES: ProcessFaults(self._scene),
            FaultGroup.NETWORK: network_faults,
            FaultGroup.BACKENDS: BackendFaults(self._scene),
            FaultGroup.ZONES: ZoneFaults(self._scene, network_faults, self._evacuations),
        }
        stop = asyncio.Event()
        load = self._spawn(self._clients.load_until(self.plan.rate, stop))
        calls = self._spawn(self._run_applications(stop))
        watches = [
            self._spawn(work) for work in (self._send_changes(), self._read_configurations(), self._sample_health())
        ]
        for episode in self.plan.episodes:
            await self._play_episode(episode)
            await asyncio.sleep(self.plan.calm_s)
        self.record.ended = asyncio.get_running_loop().time()
        stop.set()
        await load
        await calls
        for watch in (*watches, *self._probes):
            watch.cancel()
        await self._read_tallies()
        self.record.read_back = await self._operator.read_back(READ_BACK_TIMEOUT_S)
        self._log_progress(f"read back revision {self.record.read_back.revision}")
        await self._collect_violations()

    async def _play_episode(self, faults: Iterable[Fault]) -> None:
        """Inject all faults of an episode at their times, and return when all have healed."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                await asyncio.sleep(max(0.0, begin + fault.at - loop.time()))
                group.create_task(self._inject(fault))

    async def _inject(self, fault: Fault) -> None:
        try:
            await self._injectors[TRAITS[fault.kind].group].inject(fault)
        except NoVictimError:
            self.record.skipped.append(fault.kind.value)
            self._log_progress(f"{fault.kind.value}: no victim")

    # Background tasks.

    async def _send_changes(self) -> None:
        """Send changes one after another; some are invalid, some are two concurrent ones to the same version."""
        random, operator = Random(self._seed + 2), self._operator
        for number in itertools.count():
            await asyncio.sleep(random.uniform(*CHANGE_INTERVAL_RANGE_S))
            draw, routes_before = random.random(), self._routes()
            if draw < RACE_SHARE:
                is_acknowledged = await operator.race() == 1
            elif draw < RACE_SHARE + INVALID_SHARE:
                is_acknowledged = not await operator.invalid()
            else:
                is_acknowledged = await operator.amend()
            if not is_acknowledged:
                await operator.catch_up()
            elif number % PROBED_CHANGE_INTERVAL == 0:
                self._probes.append(self._spawn(self._probe(routes_before ^ self._routes())))

    async def _read_configurations(self) -> None:
        """Repeatedly read the newest configuration from a random controller."""
        while True:
            await self._operator.read()
            await asyncio.sleep(READ_INTERVAL_S)

    async def _sample_health(self) -> None:
        while True:
            self.record.health.append(self._health())
            await asyncio.sleep(HEALTH_INTERVAL_S)

    def _health(self) -> Health:
        """Return the capacity that can serve now, by the faults injected so far."""
        now = asyncio.get_running_loop().time()
        proxies = [process for process in self._scene.free_proxies() if self._is_settled(process, START_GRACE_S)]
        controllers = [process for process in self._scene.free_controllers() if self._is_settled(process, CATCH_UP_S)]
        healthy_controllers = [process for process in controllers if self._reaches_majority(process, controllers)]
        usable = [backend for backend in self._backends if self._can_serve(now, backend, controllers)]
        return Health(
            now,
            len(proxies),
            len(self._fleet.proxies),
            sum(proxy.is_in for proxy in self._platform.proxies.values()),
            self._shape.controllers - len(healthy_controllers),
            {service: self._reachable_decode_backends(now, service, usable, proxies) for service in self._services},
        )

    def _can_serve(self, now: float, backend: Backend, controllers: list[Process]) -> bool:
        """Return whether a backend is healthy, connected to a controller and not in an evacuated zone."""
        return (
            is_healthy(backend)
            and backend.serves_since < now - START_GRACE_S
            and any(self._are_connectable(_ip(backend), controller.ip) for controller in controllers)
            and not self._may_be_evacuated(backend.zone)
        )

    def _may_be_evacuated(self, zone: str) -> bool:
        """Return whether an operator's order may currently keep requests away from a zone."""
        orders = [order for order in self.record.evacuations if order.zone == zone and not order.is_refused]
        return bool(orders) and (orders[-1].is_start or orders[-1].acked is None)

    def _reachable_decode_backends(
        self, now: float, service: str, usable: list[Backend], proxies: list[Process]
    ) -> int:
        """Return the number of decode backends that all proxies reach. With several zones, which may be separated, it
        is the smallest number that a proxy reaches."""
        if self._shape.zones == 1:
            reached = [
                backend for backend in usable if all(self._are_connectable(proxy.ip, _ip(backend)) for proxy in proxies)
            ]
            return self._decode_backends(now, service, reached)
        counts = (
            sum(
                backend.service == service
                and backend.model.stage == "decode"
                and self._are_connectable(proxy.ip, _ip(backend))
                for backend in usable
            )
            for proxy in proxies
        )
        return min(counts, default=0)

    def _decode_backends(self, now: float, service: str, usable: list[Backend]) -> int:
        """Return the number of decode backends of a service, or 1 if only prefill ones were left for a while."""
        stages = [backend.model.stage for backend in usable if backend.service == service]
        if "decode" in stages or not stages:
            self._no_decode_since.pop(service, None)
            return stages.count("decode")
        return int(now - self._no_decode_since.setdefault(service, now) > STAGE_SWITCH_GRACE_S)

    def _is_settled(self, process: Process, seconds: float) -> bool:
        return process.started_at < asyncio.get_running_loop().time() - seconds

    def _reaches_majority(self, process: Process, controllers: list[Process]) -> bool:
        reached = sum(other is process or self._are_connectable(process.ip, other.ip) for other in controllers)
        return 2 * reached > self._shape.controllers

    def _are_connectable(self, one: str, other: str) -> bool:
        return not self._network.is_cut(one, other) and not self._network.is_cut(other, one)

    # State reported by the processes.

    async def _collect_violations(self) -> None:
        """Record the invariant violations that all processes count, and make them write out their logs."""
        for process in self._fleet.processes:
            answer = await ask_once(f"{process.ip}:{METRICS_PORT}", "GET", "/metrics", seconds=METRICS_TIMEOUT_S)
            if answer.status != 200 or not answer.whole:
                self.record.violations.append(f"{process.name}: no metrics")
            for match in VIOLATION.finditer(answer.body.decode()):
                self.record.violations.append(f"{process.name}: {match['name']}, {match['count']} times")
            process.send(signal.SIGUSR1)


def _ip(backend: Backend) -> str:
    return backend.address.rpartition(":")[0]


def play(plan: SoakPlan, folder: Path, progress: Callable[[str], None] = lambda text: None) -> SoakVerdict:
    """Play a plan and return the verdict. The folder keeps the plan, record, verdict and files of the processes."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "plan.json").write_bytes(msgspec.json.format(msgspec.json.encode(plan)))
    soak = Soak(plan, progress, folder)
    asyncio.run(soak.play())
    verdict = verdict_of(plan, soak.record)
    (folder / "record.json").write_bytes(msgspec.json.encode(soak.record))
    (folder / "verdict.json").write_bytes(msgspec.json.format(msgspec.json.encode(verdict)))
    return verdict
