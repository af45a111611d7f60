"""The run that faults are injected into, and the records of the injected faults."""

from __future__ import annotations

import asyncio
import math
import signal
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import contextmanager
from random import Random

import msgspec

from cranebank.fleetlab.backend import Backend
from cranebank.fleetlab.clients import Platform
from cranebank.fleetlab.fleet import Fleet, Process
from cranebank.fleetlab.network import LabNetwork
from cranebank.fleetlab.records import BrokenLinks, DayRecord, DiskLoss, InjectedFault, Trouble
from cranebank.fleetlab.soak_plan import Fault

CORE = "core"  # stands for all controllers in the records of troubles


class NoVictimError(Exception):
    """Raised when no suitable target for a fault is healthy."""


class FaultScene:
    """A run as seen by fault injectors. ``held`` maps each process under a fault to that fault."""

    def __init__(
        self,
        fleet: Fleet,
        network: LabNetwork,
        platform: Platform,
        backends: list[Backend],
        record: DayRecord,
        add_backend: Callable[[str, str, str], Awaitable[Backend]],
        primary: Callable[[], Awaitable[str]],
        log_progress: Callable[[str], None],
    ) -> None:
        self.fleet, self.network, self.platform = fleet, network, platform
        self.backends, self.record = backends, record
        self.add_backend, self.primary = add_backend, primary
        self._log_progress = log_progress
        self.held: dict[str, Fault] = {}
        self._to_restart: set[str] = set()  # stopped processes that their fault will start again

    def now(self) -> float:
        """Return the time on the clock of the records."""
        return asyncio.get_running_loop().time()

    @contextmanager
    def recording_fault(
        self, fault: Fault, victims: Iterable[str], troubled: Iterable[str] = (), is_planned: bool = False
    ) -> Iterator[None]:
        """Record a fault and the troubles it causes, from now until the block ends."""
        injected_fault = InjectedFault(fault.kind.value, self.now(), victims=", ".join(victims))
        self.record.faults.append(injected_fault)
        self._log_progress(f"{injected_fault.kind}: {injected_fault.victims}")
        try:
            with self.recording_troubles(troubled, injected_fault.kind, is_planned):
                yield
        finally:
            injected_fault.end = self.now()
            self._log_progress(f"{injected_fault.kind}: over after {injected_fault.end - injected_fault.begin:.1f} s")

    @contextmanager
    def recording_troubles(self, machines: Iterable[str], what: str, is_planned: bool = False) -> Iterator[None]:
        """Record trouble of these machines from now until the block ends."""
        troubles, begin = self.record.troubles, self.now()
        indexes = []
        for machine in machines:
            indexes.append(len(troubles))
            troubles.append(Trouble(machine, begin, math.inf, what, is_planned))
        try:
            yield
        finally:
            for index in indexes:
                troubles[index] = msgspec.structs.replace(troubles[index], end=self.now())

    @contextmanager
    def recording_broken_links(self, machines: Iterable[str]) -> Iterator[None]:
        """Record that links between these controllers and others are cut, from now until the block ends."""
        broken = BrokenLinks(tuple(sorted(machines)), self.now())
        if broken.machines:
            self.record.broken_links.append(broken)
        try:
            yield
        finally:
            broken.end = self.now()

    def record_disk_loss(self, process: Process) -> None:
        """Record that a machine has just lost its disk."""
        self.record.disk_losses.append(DiskLoss(process.name, self.now()))

    @contextmanager
    def holding(self, fault: Fault, processes: Iterable[Process]) -> Iterator[None]:
        """Reserve these processes for a fault, so that no other fault uses them."""
        names = [process.name for process in processes]
        self.held.update(dict.fromkeys(names, fault))
        try:
            yield
        finally:
            for name in names:
                if self.held.get(name) is fault:
                    del self.held[name]

    def free(self, processes: Iterable[Process]) -> list[Process]:
        """Return the running processes that no fault has reserved."""
        return [process for process in processes if process.is_running and process.name not in self.held]

    def free_controllers(self) -> list[Process]:
        """Return the controllers that no fault has reserved."""
        return self.free(self.fleet.controllers.values())

    def free_proxies(self) -> list[Process]:
        """Return the proxies that no fault has reserved."""
        return self.free(self.fleet.proxies.values())

    def ready_backends(self) -> list[Backend]:
        """Return the healthy backends."""
        return [backend for backend in self.backends if is_healthy(backend)]

    async def kill(self, process: Process) -> None:
        """Send SIGKILL to a process that will be restarted later."""
        self._to_restart.add(process.name)
        await process.kill()

    async def stop(self, process: Process) -> None:
        """Send SIGTERM to a process that will be restarted later, and record if it exceeds its grace period."""
        self._to_restart.add(process.name)
        if not await process.stop(self.record.bounds.grace_s):
            self.record.exits.append((f"{process.name} did not end in time", -signal.SIGKILL))

    def will_restart(self, process: Process) -> bool:
        """Return whether a fault has stopped the process and will restart it."""
        return process.name in self._to_restart

    async def restart(self, process: Process) -> None:
        """Restart a process that has ended."""
        ingress = self.platform.proxies.get(process.name)
        if ingress is not None:
            ingress.life += 1
        await self.fleet.start(process)
        self._to_restart.discard(process.name)


def is_healthy(backend: Backend) -> bool:
    """Return whether a backend is ready and has no fault."""
    return backend.phase == "ready" and not backend.faults and not backend.ended.is_set()


def pick(random: Random, processes: list[Process]) -> Process:
    """Return a random process. Raises NoVictimError if there is none."""
    if not processes:
        raise NoVictimError
    return random.choice(processes)
