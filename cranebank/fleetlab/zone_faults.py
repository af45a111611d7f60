"""Faults of whole zones: power, the network around them, backends that come back cold, and evacuations."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Sequence
from random import Random

from cranebank.fleetlab.backend import Backend
from cranebank.fleetlab.evacuations import EvacuationOperator
from cranebank.fleetlab.fault_scene import CORE, FaultScene, NoVictimError
from cranebank.fleetlab.fleet import Process
from cranebank.fleetlab.network import Path, both_ways, one_way
from cranebank.fleetlab.network_faults import NetworkFaults
from cranebank.fleetlab.soak_plan import Fault, FaultKind

BACK_WITHIN_S = 1.5  # after a loss of power machines come back one by one
SHARE_FROZEN = 0.3  # of the lost zones stand still, where others are killed


class ZoneFaults:
    """Injects them."""

    def __init__(self, scene: FaultScene, network: NetworkFaults, evacuations: EvacuationOperator) -> None:
        self._scene, self._network, self._evacuations = scene, network, evacuations
        self._is_evacuating = False

    async def inject(self, fault: Fault) -> None:
        """Inject one fault, and return when it has healed. Raises NoVictimError."""
        random = Random(fault.choice)
        match fault.kind:
            case FaultKind.ZONE_LOSS:
                await self._lose_zone(fault, random)
            case FaultKind.COLD_RETURN:
                await self._return_cold(fault, random)
            case FaultKind.BACKEND_TURNS_COLD:
                await self._turn_cold(fault, random)
            case FaultKind.EVACUATE:
                await self._evacuate(fault, random, fault.seconds)
            case FaultKind.EVACUATE_FOR_GOOD:
                await self._evacuate(fault, random, None)
            case _:
                victims, paths = self._cut(fault.kind, random)
                await self._network.cut(fault, paths, [victims])

    # Victims.

    def _zone(self, random: Random) -> str:
        return random.choice(self._zones)

    @property
    def _zones(self) -> tuple[str, ...]:
        return self._scene.fleet.shape.zone_names

    def _backends(self, zone: str) -> list[Backend]:
        return [backend for backend in self._scene.ready_backends() if backend.zone == zone]

    def _machines(self, *zones: str) -> list[str]:
        """The IPs of all that stands in these zones."""
        scene = self._scene
        processes = [process.ip for process in scene.fleet.processes if process.zone in zones]
        backends = [backend.address.rpartition(":")[0] for backend in scene.backends if backend.zone in zones]
        return [*processes, *backends, *map(scene.fleet.application_ip, zones)]

    def _cut(self, kind: FaultKind, random: Random) -> tuple[str, tuple[Path, ...]]:
        """What is cut, in words, and which paths that means."""
        if len(self._zones) < 2:
            raise NoVictimError
        one, other, *rest = random.sample(self._zones, len(self._zones))
        near, far = self._machines(one), self._machines(other, *rest)
        match kind:
            case FaultKind.ZONE_CUT:
                return one, both_ways(near, far)
            case FaultKind.ONE_WAY_ZONE_CUT:
                is_deaf = random.random() < 0.5
                return (f">{one}", one_way(far, near)) if is_deaf else (f"{one}>", one_way(near, far))
            case FaultKind.BRIDGE_CUT if rest:
                return f"{one}|{other}", both_ways(near, self._machines(other))
            case FaultKind.BRIDGE_CUT:
                raise NoVictimError
            case _:
                raise AssertionError(f"{kind} is no cut of zones")

    # What happens to them.

    async def _lose_zone(self, fault: Fault, random: Random) -> None:
        """All processes of a zone are killed or stand still, its backends are dark; all come back, backends cold."""
        scene, zone = self._scene, self._zone(random)
        processes = scene.free([process for process in scene.fleet.processes if process.zone == zone])
        backends = self._backends(zone)
        if not processes and not backends:
            raise NoVictimError
        is_frozen = random.random() < SHARE_FROZEN
        machines = [process.name for process in processes if process.role != "control"]
        machines += [CORE, *(backend.instance for backend in backends)]
        victims = [zone, "frozen" if is_frozen else "killed"]
        with scene.injected(fault, victims, machines), scene.holding(fault, processes):
            for backend in backends:
                backend.lose_power()
            await self._end(processes, is_frozen)
            await asyncio.sleep(fault.seconds)
            returns = [self._come_back(process, is_frozen, random) for process in processes]
            await asyncio.gather(*returns, *(self._regain(backend, random) for backend in backends))

    async def _end(self, processes: Sequence[Process], is_frozen: bool) -> None:
        if is_frozen:
            for process in processes:
                process.send(signal.SIGSTOP)
        else:
            await asyncio.gather(*(self._scene.kill(process) for process in processes))

    async def _come_back(self, process: Process, is_frozen: bool, random: Random) -> None:
        await asyncio.sleep(random.uniform(0.0, BACK_WITHIN_S))
        if is_frozen:
            process.send(signal.SIGCONT)
        else:
            await self._scene.restart(process)

    async def _regain(self, backend: Backend, random: Random) -> None:
        await asyncio.sleep(random.uniform(0.0, BACK_WITHIN_S))
        backend.regain_power()

    async def _return_cold(self, fault: Fault, random: Random) -> None:
        """The backends of a zone lose their power, and come back cold."""
        zone = self._zone(random)
        backends = self._backends(zone)
        if not backends:
            raise NoVictimError
        names = [backend.instance for backend in backends]
        with self._scene.injected(fault, [zone, *names], names):
            for backend in backends:
                backend.lose_power()
            await asyncio.sleep(fault.seconds)
            await asyncio.gather(*(self._regain(backend, random) for backend in backends))

    async def _turn_cold(self, fault: Fault, random: Random) -> None:
        """One backend is slow again, under its id and with all its connections."""
        backends = self._scene.ready_backends()
        if not backends:
            raise NoVictimError
        victim = random.choice(backends)
        with self._scene.injected(fault, [victim.instance]):
            victim.turn_cold()
            await asyncio.sleep(fault.seconds)

    async def _evacuate(self, fault: Fault, random: Random, seconds: float | None) -> None:
        """One zone at a time."""
        if self._is_evacuating:
            raise NoVictimError
        zone = self._zone(random)
        self._is_evacuating = True
        with self._scene.injected(fault, [zone]):
            await self._evacuations.evacuate(zone, seconds, self._scene.backends)
        self._is_evacuating = seconds is None
