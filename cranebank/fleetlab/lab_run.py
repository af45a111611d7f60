"""The base of all laboratory runs: starts, watches and ends the fleet, backends, clients and operator."""

from __future__ import annotations

import asyncio
import itertools
import re
import signal
import tempfile
from collections.abc import Callable, Coroutine, Mapping
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import Any

import msgspec

from cranebank.fleetlab.applications import Applications
from cranebank.fleetlab.backend import Backend
from cranebank.fleetlab.caller import Caller
from cranebank.fleetlab.clients import OWN_TOKENS, Clients, Ingress, Platform
from cranebank.fleetlab.evacuations import EvacuationOperator
from cranebank.fleetlab.fleet import FRONT_PORT, READY_PORT, Fleet, FleetShape, Programs, StartError, claim_network
from cranebank.fleetlab.model import EngineSpec
from cranebank.fleetlab.operator import Operator, first_configuration
from cranebank.fleetlab.records import Bounds, DayRecord, Trouble
from cranebank.fleetlab.run_options import RunOptions
from cranebank.fleetlab.tally_judge import acknowledged_share
from cranebank.fleetlab.warmth import Warmth
from cranebank.transport.http_client import ask_once

START_TIMEOUT_S = 10.0  # until the whole fleet must be ready
RESTART_INTERVAL_S = 0.2  # between checks for processes that ended unexpectedly
PRIMARY_SAMPLE_INTERVAL_S = 0.5
PROBE_ROUNDS, PROBE_INTERVAL_S, PROBE_DELAY_S = 3, 1.2, 0.1  # of the routes of a change, at each proxy
SPEC = EngineSpec(link_mbps=2_000_000.0)
SERVICES: Mapping[str, tuple[str, ...]] = MappingProxyType(
    {"g1": ("prefill", "prefill", "decode", "decode", "decode"), "g2": ("prefill", "decode", "decode")}
)
"""The default stages of each service's backends."""
FORBIDDEN_LOG_LINE = re.compile(
    r" CRITICAL |unhandled: |Traceback \(most recent call last\)|InvariantBroken|invariant violated: "
)


class LabRun:
    """One run. Subclasses implement ``_play``. The record holds what clients, backends and the operator saw."""

    def __init__(
        self,
        seed: int,
        beat_ms: float,
        shape: FleetShape,
        progress: Callable[[str], None],
        folder: Path | None,
        services: Mapping[str, tuple[str, ...]] = SERVICES,
        own_tokens: tuple[int, int] = OWN_TOKENS,
        options: RunOptions = RunOptions(),  # noqa: B008
    ) -> None:
        """``folder`` keeps settings, logs and disks; without one they are removed. ``own_tokens`` are the minimum and
        maximum number of tokens of each prompt's unique part."""
        self.record = DayRecord(Bounds())
        self._seed, self._beat_ms, self._shape, self._services = seed, beat_ms, shape, services
        self._folder, self._own_tokens, self._options = folder, own_tokens, options
        self._progress = progress
        self._random = Random(seed)
        self._backends: list[Backend] = []
        self._handles: dict[str, str] = {}
        self._backend_numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._begun_at = 0.0

    async def play(self) -> DayRecord:
        """Play the run. All processes and tasks have ended when this returns."""
        net, claim_socket = claim_network()
        with claim_socket, tempfile.TemporaryDirectory(prefix="cranebank-run-") as temporary:
            folder = self._folder or Path(temporary)
            self._fleet = Fleet(self._shape, net, folder, self._beat_ms, self.record.bounds, self._programs(folder))
            self._create_actors()
            try:
                await self._start()
                await self._play()
            finally:
                await self._end()
            self.record.violations += self._bad_log_lines()
        self.record.ended = self.record.ended or asyncio.get_running_loop().time()
        return self.record

    def _programs(self, folder: Path) -> Programs:
        """Return how this run starts the programs."""
        return Programs()

    def _operator_caller(self) -> Caller | None:
        """Return the operator's caller, or None for a network that loses nothing."""
        return None

    def _backend_caller(self, address: str) -> Caller | None:
        """Return the caller of the backend at this address, or None as above."""
        return None

    def _application_caller(self, ip: str) -> Caller | None:
        """Return the caller of the applications at this IP, or None as above."""
        return None

    async def _play(self) -> None:
        """Play the run once all proxies are ready."""
        raise NotImplementedError

    def _log_progress(self, text: str) -> None:
        at = asyncio.get_running_loop().time() - self._begun_at if self._begun_at else 0.0
        self._progress(f"{at:5.1f} s  {text}")

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        return task

    # Start and end.

    def _create_actors(self) -> None:
        proxies = self._fleet.proxies.values()
        self._platform = Platform(
            Ingress(proxy.name, f"{proxy.ip}:{FRONT_PORT}", f"{proxy.ip}:{READY_PORT}") for proxy in proxies
        )
        self._clients = Clients(self._platform, self.record, SPEC.stride, self._random, self._own_tokens)
        caller = self._operator_caller()
        self._operator = Operator(
            lambda: self._fleet.listed_controllers,
            self.record.changes,
            Random(self._seed + 1),
            self._log_progress,
            self.record.readings,
            caller,
        )
        self._evacuations = EvacuationOperator(
            lambda: self._fleet.listed_controllers,
            self.record.evacuations,
            Random(f"{self._seed} evacuations"),
            ask_once if caller is None else caller.ask,
            self.record.bounds.ack_ms / 1e3,
            self._log_progress,
        )

        self._applications = self._create_applications()

    def _create_applications(self) -> Applications | None:
        load = self._options.tallies
        if load is None:
            return None
        callers = {zone: self._application_caller(self._fleet.application_ip(zone)) for zone in self._shape.zone_names}
        random = Random(f"{self._seed} applications")
        return Applications(load, self._fleet, self.record.tally_calls, random, callers)

    async def _run_applications(self, stop: asyncio.Event) -> None:
        """Run the applications, if there are any, until ``stop`` is set."""
        if self._applications is not None:
            await self._applications.run_until(stop)

    async def _read_tallies(self) -> None:
        """Read all tallies for the last time, merge_ms after everything else has ended."""
        if self._applications is None:
            return
        await asyncio.sleep(self.record.bounds.merge_ms / 1e3)
        await self._applications.read_final_totals(self.record.bounds.contact_ms / 1e3)
        self._log_progress(f"{acknowledged_share(self.record):.4f} of the adds to tallies acknowledged")

    async def _start(self) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await self._fleet.start_all()
        for service, stages in self._services.items():
            for stage in stages:
                await self._add_backend(service, stage)
        await self._operator.begin(first_configuration(dict.fromkeys(self._services, SPEC), self._options.warm_up))
        proxies = list(self._platform.proxies.values())
        while not all(await asyncio.gather(*(self._platform.check_ready(proxy) for proxy in proxies))):
            missing = [proxy.name for proxy in proxies if proxy.misses]
            if loop.time() > begun + START_TIMEOUT_S:
                raise StartError(f"not ready after {START_TIMEOUT_S:g} s: {', '.join(missing)}")
            await asyncio.sleep(0.05)
        self.record.begun = self._begun_at = loop.time()
        self.record.troubles.append(Trouble("core", begun, begun, "start"))
        shape = self._shape
        self._log_progress(
            f"{shape.controllers} controllers, {shape.proxies} proxies and {len(self._backends)} backends "
            f"are up on {self._fleet.net}.0"
        )
        self._spawn(self._platform.watch())
        self._spawn(self._sample_primary())
        self._spawn(self._restart_ended())

    async def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        for backend in self._backends:
            backend.stop()
        for process in await self._fleet.stop_all(self.record.bounds.grace_s):
            self.record.exits.append((f"{process.name} did not end in time", -signal.SIGKILL))
        errors = [result for result in results if isinstance(result, Exception)]
        if errors:
            raise ExceptionGroup("tasks of the laboratory failed", errors)

    def _bad_log_lines(self) -> list[str]:
        """Return the log lines that no process may write under any fault."""
        found = []
        for process in [*self._fleet.processes, *self._fleet.removed]:
            text = process.log.read_text(encoding="utf-8", errors="replace") if process.log.exists() else ""
            found += [f"{process.name}: {line}" for line in text.splitlines() if FORBIDDEN_LOG_LINE.search(line)]
        return found

    async def _add_backend(self, service: str, stage: str, zone: str = "") -> Backend:
        """Start one more backend, in this zone or the next in turn."""
        number = next(self._backend_numbers)
        turn = number % self._shape.controllers

        def controllers() -> list[str]:
            addresses = self._fleet.listed_controllers
            return addresses[turn:] + addresses[:turn]

        instance, warm_up = f"i-{number:02x}", self._options.warm_up
        warmth = None if warm_up is None else Warmth(instance, warm_up, self.record.cold_times)
        backend = Backend(
            SPEC,
            instance,
            service,
            stage,
            self._fleet.backend_address(number),
            zone or self._shape.zone_of(number),
            controllers,
            self._beat_ms / 1e3,
            self.record.bounds.drain_ms / 1e3,
            self.record.arrivals,
            self.record.drains,
            self._handles,
            self.record.orders,
            self._backend_caller(self._fleet.backend_address(number)),
            warmth,
        )
        await backend.start(is_cold=self._begun_at > 0)
        self._backends.append(backend)
        self.record.backend_zones[instance] = backend.zone
        return backend

    # While it runs.

    async def _amend(self) -> bool:
        """Send a change and probe the routes it changed. Return whether the change was acknowledged."""
        before = self._routes()
        if not await self._operator.amend():
            return False
        await self._probe(before ^ self._routes())
        return True

    def _routes(self) -> set[str]:
        """Return the names of the routes in the operator's current configuration."""
        return {rule["path_prefix"].strip("/") for rule in self._operator.current["routes"]}

    async def _probe(self, names: set[str]) -> None:
        """Send requests directly to each ready proxy, on the changed routes and on one that never existed."""
        await asyncio.sleep(PROBE_DELAY_S)
        for _ in range(PROBE_ROUNDS):
            await asyncio.gather(
                *(
                    self._clients.probe(proxy, name)
                    for proxy in self._platform.proxies.values()
                    if proxy.misses == 0
                    for name in [*sorted(names), "never"]
                )
            )
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _restart_ended(self) -> None:
        """Restart processes that ended unexpectedly."""
        while True:
            await asyncio.sleep(RESTART_INTERVAL_S)
            for process in self._fleet.processes:
                if process.should_run and process.process is not None and process.process.returncode is not None:
                    self._log_progress(f"{process.name} ended unexpectedly with {process.process.returncode}")
                    self.record.exits.append((process.name, process.process.returncode))
                    await self._fleet.start(process)

    async def _primary(self) -> str:
        """Return the name of the controller that reports to be primary, or an empty string."""
        addresses = self._fleet.control_addresses
        found = await asyncio.gather(*(ask_once(at, "GET", "/api/System.Status", seconds=0.4) for at in addresses))
        for answer in found:
            if answer.status == 200 and answer.whole:
                status = msgspec.json.decode(answer.body)
                if status["is_primary"]:
                    return str(status["node"])
        return ""

    async def _sample_primary(self) -> None:
        loop = asyncio.get_running_loop()
        for turn in itertools.count():
            now = loop.time()
            self.record.primaries.append((now, await self._primary()))
            if turn % 4 == 0 and turn:
                clients = self._clients
                self._log_progress(f"{clients.asked} requests sent, {clients.served} served, {clients.failed} failed")
            await asyncio.sleep(max(0.05, PRIMARY_SAMPLE_INTERVAL_S - (loop.time() - now)))
