"""What all plays of the laboratory share: the fleet, backends, clients and operator, started, watched and ended."""

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
from cranebank.fleetlab.fleet import FRONT, READY, Fleet, FleetShape, Programs, StartError, claim
from cranebank.fleetlab.model import EngineSpec
from cranebank.fleetlab.operator import Operator, first_configuration
from cranebank.fleetlab.records import Bounds, DayRecord, Trouble
from cranebank.fleetlab.run_options import RunOptions
from cranebank.fleetlab.tally_judge import acknowledged_share
from cranebank.fleetlab.warmth import Warmth
from cranebank.transport.http_client import ask_once

START_S = 10.0  # for the whole fleet to be ready
KEEP_S = 0.2  # between looks for processes that ended by themselves
SAMPLE_S = 0.5  # between questions for the primary
PROBES, PROBE_EVERY_S, PROBE_AFTER_S = 3, 1.2, 0.1  # of the routes of a change, at each proxy
SPEC = EngineSpec(link_mbps=2_000_000.0)
SERVICES: Mapping[str, tuple[str, ...]] = MappingProxyType(
    {"g1": ("prefill", "prefill", "decode", "decode", "decode"), "g2": ("prefill", "decode", "decode")}
)
"""Stages of each service's backends, where a plan names no others."""
BAD_LINE = re.compile(
    r" CRITICAL |unhandled: |Traceback \(most recent call last\)|InvariantBroken|invariant violated: "
)


class LabRun:
    """One play. ``_play`` is what happens in it; the record is what clients, backends and the operator saw."""

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
        """``folder``: where settings, logs and disks are left; without one they are removed. ``own_tokens``: fewest and
        most tokens of each prompt's own part."""
        self.record = DayRecord(Bounds())
        self._seed, self._beat_ms, self._shape, self._services = seed, beat_ms, shape, services
        self._folder, self._own_tokens, self._options = folder, own_tokens, options
        self._progress = progress
        self._random = Random(seed)
        self._backends: list[Backend] = []
        self._handles: dict[str, str] = {}
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._begin = 0.0

    async def play(self) -> DayRecord:
        """Play it; everything that was started has ended when this returns."""
        net, held = claim()
        with held, tempfile.TemporaryDirectory(prefix="cranebank-run-") as temporary:
            folder = self._folder or Path(temporary)
            self._fleet = Fleet(self._shape, net, folder, self._beat_ms, self.record.bounds, self._programs(folder))
            self._prepare()
            try:
                await self._start()
                await self._play()
            finally:
                await self._end()
            self.record.violations += self._bad_log_lines()
        self.record.ended = self.record.ended or asyncio.get_running_loop().time()
        return self.record

    def _programs(self, folder: Path) -> Programs:
        """How this run starts the programs."""
        return Programs()

    def _operator_caller(self) -> Caller | None:
        """Who makes the operator's calls; none: over a network that loses nothing."""
        return None

    def _backend_caller(self, address: str) -> Caller | None:
        """Who makes the calls of the backend at this address."""
        return None

    def _application_caller(self, ip: str) -> Caller | None:
        """Who makes the calls of the applications at this IP."""
        return None

    async def _play(self) -> None:
        """From the first ready proxy to the end."""
        raise NotImplementedError

    def _log_progress(self, text: str) -> None:
        at = asyncio.get_running_loop().time() - self._begin if self._begin else 0.0
        self._progress(f"{at:5.1f} s  {text}")

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        return task

    # Start and end.

    def _prepare(self) -> None:
        proxies = self._fleet.proxies.values()
        self._platform = Platform(
            Ingress(proxy.name, f"{proxy.ip}:{FRONT}", f"{proxy.ip}:{READY}") for proxy in proxies
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

        self._applications = self._made_applications()

    def _made_applications(self) -> Applications | None:
        load = self._options.tallies
        if load is None:
            return None
        callers = {zone: self._application_caller(self._fleet.application_ip(zone)) for zone in self._shape.zone_names}
        random = Random(f"{self._seed} applications")
        return Applications(load, self._fleet, self.record.tally_calls, random, callers)

    async def _call_on(self, enough: asyncio.Event) -> None:
        """What the applications call, where there are any."""
        if self._applications is not None:
            await self._applications.run_until(enough)

    async def _read_tallies(self) -> None:
        """The last readings of all tallies, merge_ms after everything else is over."""
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
            if loop.time() > begun + START_S:
                raise StartError(f"not ready after {START_S:g} s: {', '.join(missing)}")
            await asyncio.sleep(0.05)
        self.record.begun = self._begin = loop.time()
        self.record.troubles.append(Trouble("core", begun, begun, "start"))
        shape = self._shape
        self._log_progress(
            f"{shape.controllers} controllers, {shape.proxies} proxies and {len(self._backends)} backends "
            f"are up on {self._fleet.net}.0"
        )
        self._spawn(self._platform.watch())
        self._spawn(self._sample())
        self._spawn(self._keep())

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
        """Lines that no process should write, whatever happens to it."""
        found = []
        for process in [*self._fleet.processes, *self._fleet.former]:
            text = process.log.read_text(encoding="utf-8", errors="replace") if process.log.exists() else ""
            found += [f"{process.name}: {line}" for line in text.splitlines() if BAD_LINE.search(line)]
        return found

    async def _add_backend(self, service: str, stage: str, zone: str = "") -> Backend:
        """Start one more backend, in this zone or, where none is named, in the next one's turn."""
        number = next(self._numbers)
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
        await backend.start(is_cold=self._begin > 0)
        self._backends.append(backend)
        self.record.backend_zones[instance] = backend.zone
        return backend

    # While it runs.

    async def _amend(self) -> bool:
        """A change, and probes of what it changed; whether it was acknowledged."""
        before = self._routes()
        if not await self._operator.amend():
            return False
        await self._probe(before ^ self._routes())
        return True

    def _routes(self) -> set[str]:
        """The names of the routes in force, as the operator knows."""
        return {rule["path_prefix"].strip("/") for rule in self._operator.current["routes"]}

    async def _probe(self, names: set[str]) -> None:
        """Ask every proxy directly on the routes that came and went, and on one that never was."""
        await asyncio.sleep(PROBE_AFTER_S)
        for _ in range(PROBES):
            await asyncio.gather(
                *(
                    self._clients.probe(proxy, name)
                    for proxy in self._platform.proxies.values()
                    if proxy.misses == 0
                    for name in [*sorted(names), "never"]
                )
            )
            await asyncio.sleep(PROBE_EVERY_S)

    async def _keep(self) -> None:
        """Start again what ended by itself."""
        while True:
            await asyncio.sleep(KEEP_S)
            for process in self._fleet.processes:
                if process.wanted and process.process is not None and process.process.returncode is not None:
                    self._log_progress(f"{process.name} ended by itself with {process.process.returncode}")
                    self.record.exits.append((process.name, process.process.returncode))
                    await self._fleet.start(process)

    async def _primary(self) -> str:
        """Who says that it is primary."""
        addresses = self._fleet.control_addresses
        found = await asyncio.gather(*(ask_once(at, "GET", "/api/System.Status", seconds=0.4) for at in addresses))
        for answer in found:
            if answer.status == 200 and answer.whole:
                told = msgspec.json.decode(answer.body)
                if told["is_primary"]:
                    return str(told["node"])
        return ""

    async def _sample(self) -> None:
        loop = asyncio.get_running_loop()
        for turn in itertools.count():
            now = loop.time()
            self.record.primaries.append((now, await self._primary()))
            if turn % 4 == 0 and turn:
                clients = self._clients
                self._log_progress(f"{clients.asked} asked, {clients.served} served, {clients.failed} not")
            await asyncio.sleep(max(0.05, SAMPLE_S - (loop.time() - now)))
