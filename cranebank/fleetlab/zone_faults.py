"""Faults of whole zones: power losses, network cuts, backends that return cold, and evacuations."""

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

MAX_RETURN_DELAY_S = 1.5  # machines come back one by one within this time after a power loss
FROZEN_SHARE = 0.3  # of the lost zones have their processes paused, the others have them killed


class ZoneFaults:
    """Injects zone faults."""

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
                victims, paths = self._cut_paths(fault.kind, random)
                await self._network.cut(fault, paths, [victims])

    # Victims.

    def _zone(self, random: Random) -> str:
        return random.choice(self._zones)

    @property
    def _zones(self) -> tuple[str, ...]:
        return self._scene.fleet.shape.zone_names

    def _backends(self, zone: str) -> list[Backend]:
        return [backend for backend in self._scene.ready_backends() if backend.zone == zone]

    def _machine_ips(self, *zones: str) -> list[str]:
        """Return the IPs of all processes, backends and applications in these zones."""
        scene = self._scene
        processes = [process.ip for process in scene.fleet.processes if process.zone in zones]
        backends = [backend.address.rpartition(":")[0] for backend in scene.backends if backend.zone in zones]
        return [*processes, *backends, *map(scene.fleet.application_ip, zones)]

    def _cut_paths(self, kind: FaultKind, random: Random) -> tuple[str, tuple[Path, ...]]:
        """Return a description of the cut and its paths."""
        if len(self._zones) < 2:
            raise NoVictimError
        one, other, *rest = random.sample(self._zones, len(self._zones))
        near, far = self._machine_ips(one), self._machine_ips(other, *rest)
        match kind:
            case FaultKind.ZONE_CUT:
                return one, both_ways(near, far)
            case FaultKind.ONE_WAY_ZONE_CUT:
                is_inbound = random.random() < 0.5
                return (f">{one}", one_way(far, near)) if is_inbound else (f"{one}>", one_way(near, far))
            case FaultKind.BRIDGE_CUT if rest:
                return f"{one}|{other}", both_ways(near, self._machine_ips(other))
            case FaultKind.BRIDGE_CUT:
                raise NoVictimError
            case _:
                raise AssertionError(f"{kind} is not a zone cut")

    # Injection.

    async def _lose_zone(self, fault: Fault, random: Random) -> None:
        """Kill or pause all processes of a zone and darken its backends, then restore all; backends return cold."""
        scene, zone = self._scene, self._zone(random)
        processes = scene.free([process for process in scene.fleet.processes if process.zone == zone])
        backends = self._backends(zone)
        if not processes and not backends:
            raise NoVictimError
        is_frozen = random.random() < FROZEN_SHARE
        machines = [process.name for process in processes if process.role != "control"]
        machines += [CORE, *(backend.instance for backend in backends)]
        victims = [zone, "frozen" if is_frozen else "killed"]
        with scene.recording_fault(fault, victims, machines), scene.holding(fault, processes):
            for backend in backends:
                backend.lose_power()
            await self._end_processes(processes, is_frozen)
            await asyncio.sleep(fault.seconds)
            returns = [self._restore_process(process, is_frozen, random) for process in processes]
            await asyncio.gather(*returns, *(self._restore_power(backend, random) for backend in backends))

    async def _end_processes(self, processes: Sequence[Process], is_frozen: bool) -> None:
        if is_frozen:
            for process in processes:
                process.send(signal.SIGSTOP)
        else:
            await asyncio.gather(*(self._scene.kill(process) for process in processes))

    async def _restore_process(self, process: Process, is_frozen: bool, random: Random) -> None:
        await asyncio.sleep(random.uniform(0.0, MAX_RETURN_DELAY_S))
        if is_frozen:
            process.send(signal.SIGCONT)
        else:
            await self._scene.restart(process)

    async def _restore_power(self, backend: Backend, random: Random) -> None:
        await asyncio.sleep(random.uniform(0.0, MAX_RETURN_DELAY_S))
        backend.regain_power()

    async def _return_cold(self, fault: Fault, random: Random) -> None:
        """Cut the power of a zone's backends, which return cold."""
        zone = self._zone(random)
        backends = self._backends(zone)
        if not backends:
            raise NoVictimError
        names = [backend.instance for backend in backends]
        with self._scene.recording_fault(fault, [zone, *names], names):
            for backend in backends:
                backend.lose_power()
            await asyncio.sleep(fault.seconds)
            await asyncio.gather(*(self._restore_power(backend, random) for backend in backends))

    async def _turn_cold(self, fault: Fault, random: Random) -> None:
        """Turn one backend cold; it keeps its id and its connections."""
        backends = self._scene.ready_backends()
        if not backends:
            raise NoVictimError
        victim = random.choice(backends)
        with self._scene.recording_fault(fault, [victim.instance]):
            victim.turn_cold()
            await asyncio.sleep(fault.seconds)

    async def _evacuate(self, fault: Fault, random: Random, seconds: float | None) -> None:
        """Evacuate a random zone. Only one evacuation is active at a time."""
        if self._is_evacuating:
            raise NoVictimError
        zone = self._zone(random)
        self._is_evacuating = True
        with self._scene.recording_fault(fault, [zone]):
            await self._evacuations.evacuate(zone, seconds, self._scene.backends)
        self._is_evacuating = seconds is None
