"""A soak run: real processes under faults that overlap, changes of the configuration all the while, and the verdict."""

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
from cranebank.fleetlab.fault_scene import FaultScene, NoVictimError, is_well
from cranebank.fleetlab.fleet import METRICS, Process, Programs
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

PAUSE_S = (0.2, 1.2)  # of the operator, between changes
RACE_SHARE, INVALID_SHARE = 0.15, 0.05  # of the changes
PROBED_EVERY = 4  # changes are followed by probes
READ_EVERY_S = 0.4
HEALTH_EVERY_S = 0.25
STAFFED_S = 12.0  # for a prefill backend to be made a decode one, where no decode one is left
SETTLED_S = 3.0  # a proxy or backend that has just come counts after so long
READ_BACK_S = 12.0
METRICS_S = 1.0
OPERATOR = "5"  # last part of the operator's address
VIOLATION = re.compile(r'_invariant_violations_total\{invariant="(?P<name>[^"]*)"\} (?P<count>\d+)')


class Injector(Protocol):
    """Who brings the faults of a group about."""

    async def inject(self, fault: Fault) -> None:
        """Inject one fault, and return when it has healed. Raises NoVictimError."""


class Soak(LabRun):
    """One run."""

    def __init__(self, plan: SoakPlan, progress: Callable[[str], None], folder: Path | None) -> None:
        super().__init__(
            plan.seed, plan.beat_ms, plan.shape, progress, folder, plan.services or SERVICES, options=plan.options
        )
        self.plan = plan
        self._probes: list[asyncio.Task[None]] = []
        self._unstaffed_since: dict[str, float] = {}
        self._operators: list[Caller] = []
        self._heartbeats: list[Caller] = []  # the backends, as callers of control

    def _programs(self, folder: Path) -> Programs:
        self._network = LabNetwork(folder / "network.json")
        variables = {NETWORK_VARIABLE: str(self._network.file), "CRANEBANK_METRICS": "1"}
        return Programs("cranebank.fleetlab.launcher", variables)

    def _operator_caller(self) -> Caller:
        self._operators.append(self._caller(f"{self._fleet.net}.{OPERATOR}"))
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
        enough = asyncio.Event()
        load = self._spawn(self._clients.load_until(self.plan.rate, enough))
        calls = self._spawn(self._call_on(enough))
        watches = [self._spawn(work) for work in (self._change_on(), self._read_on(), self._watch_health())]
        for episode in self.plan.episodes:
            await self._episode(episode)
            await asyncio.sleep(self.plan.calm_s)
        self.record.ended = asyncio.get_running_loop().time()
        enough.set()
        await load
        await calls
        for watch in (*watches, *self._probes):
            watch.cancel()
        await self._read_tallies()
        self.record.read_back = await self._operator.read_back(READ_BACK_S)
        self._log_progress(f"read back revision {self.record.read_back.revision}")
        await self._collect_violations()

    async def _episode(self, faults: Iterable[Fault]) -> None:
        """All faults of an episode, each at its time; returns when all have healed."""
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
            self._log_progress(f"{fault.kind.value}: nobody to strike")

    # What goes on all the while.

    async def _change_on(self) -> None:
        """Changes one after another, some of them two at once on the same version, some invalid."""
        random, operator = Random(self._seed + 2), self._operator
        for number in itertools.count():
            await asyncio.sleep(random.uniform(*PAUSE_S))
            drawn, before = random.random(), self._routes()
            if drawn < RACE_SHARE:
                is_acknowledged = await operator.race() == 1
            elif drawn < RACE_SHARE + INVALID_SHARE:
                is_acknowledged = not await operator.invalid()
            else:
                is_acknowledged = await operator.amend()
            if not is_acknowledged:
                await operator.catch_up()
            elif number % PROBED_EVERY == 0:
                self._probes.append(self._spawn(self._probe(before ^ self._routes())))

    async def _read_on(self) -> None:
        """Ask for the newest configuration, at any controller."""
        while True:
            await self._operator.read()
            await asyncio.sleep(READ_EVERY_S)

    async def _watch_health(self) -> None:
        while True:
            self.record.health.append(self._health())
            await asyncio.sleep(HEALTH_EVERY_S)

    def _health(self) -> Health:
        """What could serve now, by what was done to it."""
        now = asyncio.get_running_loop().time()
        proxies = [one for one in self._scene.free_proxies() if self._is_settled(one, SETTLED_S)]
        controllers = [one for one in self._scene.free_controllers() if self._is_settled(one, CATCH_UP_S)]
        sound = [one for one in controllers if self._reaches_most(one, controllers)]
        able = [one for one in self._backends if self._can_serve(now, one, controllers)]
        return Health(
            now,
            len(proxies),
            len(self._fleet.proxies),
            sum(proxy.is_in for proxy in self._platform.proxies.values()),
            self._shape.controllers - len(sound),
            {service: self._staffed_for(now, service, able, proxies) for service in self._services},
        )

    def _can_serve(self, now: float, backend: Backend, controllers: list[Process]) -> bool:
        """Whether it is well, not cut off from all controllers and not in a zone that is emptied."""
        return (
            is_well(backend)
            and backend.serves_since < now - SETTLED_S
            and any(self._connects(_ip(backend), controller.ip) for controller in controllers)
            and not self._is_emptied(backend.zone)
        )

    def _is_emptied(self, zone: str) -> bool:
        """Whether an operator's order may keep requests off a zone now."""
        orders = [order for order in self.record.evacuations if order.zone == zone and not order.is_refused]
        return bool(orders) and (orders[-1].is_start or orders[-1].acked is None)

    def _staffed_for(self, now: float, service: str, able: list[Backend], proxies: list[Process]) -> int:
        """The decode backends that each proxy reaches. Where zones may be apart each side has its own: the fewest that
        one proxy reaches."""
        if self._shape.zones == 1:
            reached = [one for one in able if all(self._connects(proxy.ip, _ip(one)) for proxy in proxies)]
            return self._staffed(now, service, reached)
        counts = (
            sum(
                one.service == service and one.model.stage == "decode" and self._connects(proxy.ip, _ip(one))
                for one in able
            )
            for proxy in proxies
        )
        return min(counts, default=0)

    def _staffed(self, now: float, service: str, able: list[Backend]) -> int:
        """Its decode backends; where there were none for a while, but one that could be made one, it counts."""
        stages = [backend.model.stage for backend in able if backend.service == service]
        if "decode" in stages or not stages:
            self._unstaffed_since.pop(service, None)
            return stages.count("decode")
        return int(now - self._unstaffed_since.setdefault(service, now) > STAFFED_S)

    def _is_settled(self, process: Process, seconds: float) -> bool:
        return process.started_at < asyncio.get_running_loop().time() - seconds

    def _reaches_most(self, one: Process, controllers: list[Process]) -> bool:
        reached = sum(other is one or self._connects(one.ip, other.ip) for other in controllers)
        return 2 * reached > self._shape.controllers

    def _connects(self, one: str, other: str) -> bool:
        return not self._network.is_cut(one, other) and not self._network.is_cut(other, one)

    # What the processes say of themselves.

    async def _collect_violations(self) -> None:
        """Counters of all processes, and what their logs hold once they were asked to write all of it."""
        for process in self._fleet.processes:
            answer = await ask_once(f"{process.ip}:{METRICS}", "GET", "/metrics", seconds=METRICS_S)
            if answer.status != 200 or not answer.whole:
                self.record.violations.append(f"{process.name}: no metrics")
            for found in VIOLATION.finditer(answer.body.decode()):
                self.record.violations.append(f"{process.name}: {found['name']}, {found['count']} times")
            process.send(signal.SIGUSR1)


def _ip(backend: Backend) -> str:
    return backend.address.rpartition(":")[0]


def play(plan: SoakPlan, folder: Path, progress: Callable[[str], None] = lambda text: None) -> SoakVerdict:
    """Play a plan. The folder holds its plan, record and verdict afterwards, and what the processes left."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "plan.json").write_bytes(msgspec.json.format(msgspec.json.encode(plan)))
    soak = Soak(plan, progress, folder)
    asyncio.run(soak.play())
    verdict = verdict_of(plan, soak.record)
    (folder / "record.json").write_bytes(msgspec.json.encode(soak.record))
    (folder / "verdict.json").write_bytes(msgspec.json.format(msgspec.json.encode(verdict)))
    return verdict
