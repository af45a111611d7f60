"""What faults are injected into, and the notes that are kept of them."""

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

CORE = "core"  # names all controllers in troubles


class NoVictimError(Exception):
    """Whatever this fault could strike is in trouble already."""


class FaultScene:
    """A run as the faults see it. ``held`` names processes that a fault has in hand."""

    def __init__(
        self,
        fleet: Fleet,
        network: LabNetwork,
        platform: Platform,
        backends: list[Backend],
        record: DayRecord,
        add_backend: Callable[[str, str, str], Awaitable[Backend]],
        primary: Callable[[], Awaitable[str]],
        say: Callable[[str], None],
    ) -> None:
        self.fleet, self.network, self.platform = fleet, network, platform
        self.backends, self.record = backends, record
        self.add_backend, self.primary = add_backend, primary
        self._say = say
        self.held: dict[str, Fault] = {}
        self._down: set[str] = set()  # processes whose fault will start them again

    def now(self) -> float:
        """The clock of the records."""
        return asyncio.get_running_loop().time()

    @contextmanager
    def injected(
        self, fault: Fault, victims: Iterable[str], troubled: Iterable[str] = (), is_planned: bool = False
    ) -> Iterator[None]:
        """Note a fault and the troubles that it means, from now until the block ends."""
        found = InjectedFault(fault.kind.value, self.now(), victims=", ".join(victims))
        self.record.faults.append(found)
        self._say(f"{found.kind}: {found.victims}")
        try:
            with self.troubled(troubled, found.kind, is_planned):
                yield
        finally:
            found.end = self.now()
            self._say(f"{found.kind}: over after {found.end - found.begin:.1f} s")

    @contextmanager
    def troubled(self, machines: Iterable[str], what: str, is_planned: bool = False) -> Iterator[None]:
        """Note trouble of these machines, from now until the block ends."""
        troubles, begin = self.record.troubles, self.now()
        places = []
        for machine in machines:
            places.append(len(troubles))
            troubles.append(Trouble(machine, begin, math.inf, what, is_planned))
        try:
            yield
        finally:
            for place in places:
                troubles[place] = msgspec.structs.replace(troubles[place], end=self.now())

    @contextmanager
    def broken_links(self, machines: Iterable[str]) -> Iterator[None]:
        """Note that links between these controllers and others are cut, from now until the block ends."""
        broken = BrokenLinks(tuple(sorted(machines)), self.now())
        if broken.machines:
            self.record.broken_links.append(broken)
        try:
            yield
        finally:
            broken.end = self.now()

    def note_disk_loss(self, process: Process) -> None:
        """Note that a machine has lost its disk now."""
        self.record.disk_losses.append(DiskLoss(process.name, self.now()))

    @contextmanager
    def holding(self, fault: Fault, processes: Iterable[Process]) -> Iterator[None]:
        """Keep other faults off these processes."""
        names = [process.name for process in processes]
        self.held.update(dict.fromkeys(names, fault))
        try:
            yield
        finally:
            for name in names:
                if self.held.get(name) is fault:
                    del self.held[name]

    def free(self, processes: Iterable[Process]) -> list[Process]:
        """Those that no fault has in hand."""
        return [process for process in processes if process.is_running and process.name not in self.held]

    def free_controllers(self) -> list[Process]:
        """Controllers that no fault has in hand."""
        return self.free(self.fleet.controllers.values())

    def free_proxies(self) -> list[Process]:
        """Proxies that no fault has in hand."""
        return self.free(self.fleet.proxies.values())

    def ready_backends(self) -> list[Backend]:
        """Backends that are well."""
        return [backend for backend in self.backends if is_well(backend)]

    async def kill(self, process: Process) -> None:
        """SIGKILL a process that is started again later."""
        self._down.add(process.name)
        await process.kill()

    async def stop(self, process: Process) -> None:
        """SIGTERM a process that is started again later; one that has not ended within its grace is noted."""
        self._down.add(process.name)
        if not await process.stop(self.record.bounds.grace_s):
            self.record.exits.append((f"{process.name} did not end in time", -signal.SIGKILL))

    def will_restart(self, process: Process) -> bool:
        """Whether a fault has ended it and will start it again."""
        return process.name in self._down

    async def restart(self, process: Process) -> None:
        """Start a process again that has ended."""
        ingress = self.platform.proxies.get(process.name)
        if ingress is not None:
            ingress.life += 1
        await self.fleet.start(process)
        self._down.discard(process.name)


def is_well(backend: Backend) -> bool:
    """Whether a backend is in service and in no trouble of its own."""
    return backend.phase == "ready" and not backend.faults and not backend.ended.is_set()


def pick(random: Random, processes: list[Process]) -> Process:
    """One of these. Raises NoVictimError where there is none."""
    if not processes:
        raise NoVictimError
    return random.choice(processes)
