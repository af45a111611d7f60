"""Faults of backends and operations on them: scale-in, a release, and a whole stage that leaves."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

from cranebank.fleetlab.backend import Backend
from cranebank.fleetlab.fault_scene import FaultScene, NoVictimError, is_healthy
from cranebank.fleetlab.soak_plan import Fault, FaultKind

SWITCHED_FAULTS = {
    FaultKind.BACKEND_DARK: "dark",
    FaultKind.BACKEND_SILENT: "silent",
    FaultKind.BACKEND_CUTS_ANSWERS: "cut",
    FaultKind.BACKEND_LATE_ANSWERS: "late",
}
DRAIN_TIMEOUT_S = 12.0  # longest wait for draining backends to end
SUCCESSOR_LEAD_S = 1.0  # a release starts a backend's successor this long before it drains the backend


class BackendFaults:
    """Injects backend faults."""

    def __init__(self, scene: FaultScene) -> None:
        self._scene = scene

    async def inject(self, fault: Fault) -> None:
        """Inject one fault, and return when it is over. Raises NoVictimError."""
        random = Random(fault.choice)
        match fault.kind:
            case FaultKind.BACKEND_CRASH:
                await self._crash(fault, self._random_replaceable(random))
            case FaultKind.BACKEND_LEAVES:
                await self._leave(fault, [self._random_replaceable(random)])
            case FaultKind.RELEASE:
                await self._release(fault, random)
            case FaultKind.DECODE_STAGE_LEAVES:
                await self._leave(fault, self._stage_backends(random, "decode"))
            case FaultKind.PREFILL_STAGE_LEAVES:
                await self._leave(fault, self._stage_backends(random, "prefill"))
            case FaultKind.HEARTBEATS_TO_ONE:
                await self._redirect_heartbeats(fault, random)
            case _:
                await self._switch_fault(fault, self._random_replaceable(random))

    # Victims.

    def _random_replaceable(self, random: Random) -> Backend:
        """Return a random healthy backend whose service and stage have another one."""
        healthy = self._scene.ready_backends()
        counts = Counter((backend.service, backend.model.stage) for backend in healthy)
        candidates = [backend for backend in healthy if counts[backend.service, backend.model.stage] > 1]
        if not candidates:
            raise NoVictimError
        return random.choice(candidates)

    def _stage_backends(self, random: Random, stage: str) -> list[Backend]:
        """Return all backends of a stage, of a service whose other stage has backends that can take over."""
        healthy = self._scene.ready_backends()
        services = sorted({backend.service for backend in healthy if backend.model.stage != stage})
        candidates = [
            service for service in services if any(b.service == service and b.model.stage == stage for b in healthy)
        ]
        if not candidates:
            raise NoVictimError
        service = random.choice(candidates)
        return [backend for backend in healthy if backend.service == service and backend.model.stage == stage]

    # Injection.

    async def _crash(self, fault: Fault, victim: Backend) -> None:
        """Stop a backend without notice, and start another at a new address."""
        with self._scene.recording_fault(fault, [victim.instance], [victim.instance]):
            victim.fault("crash")
            await asyncio.sleep(fault.seconds)
            await self._scene.add_backend(victim.service, victim.model.stage, victim.zone)

    async def _switch_fault(self, fault: Fault, victim: Backend) -> None:
        name = SWITCHED_FAULTS[fault.kind]
        with self._scene.recording_fault(fault, [victim.instance], [victim.instance]):
            victim.fault(name)
            try:
                await asyncio.sleep(fault.seconds)
            finally:
                victim.fault(name, False)

    async def _leave(self, fault: Fault, victims: list[Backend]) -> None:
        """Drain backends for good, one after another within the duration of the fault."""
        with self._scene.recording_fault(fault, [victim.instance for victim in victims]):
            pause = fault.seconds / len(victims)
            for victim in victims:
                victim.drain()
                await asyncio.sleep(pause)
            await _until_ended(victims)

    async def _release(self, fault: Fault, random: Random) -> None:
        """Replace all backends of a service one after another."""
        scene = self._scene
        healthy = scene.ready_backends()
        if not healthy:
            raise NoVictimError
        service = random.choice(sorted({backend.service for backend in healthy}))
        victims = [backend for backend in healthy if backend.service == service]
        with scene.recording_fault(fault, [victim.instance for victim in victims]):
            pause = max(SUCCESSOR_LEAD_S, fault.seconds / len(victims))
            for victim in victims:
                await scene.add_backend(service, victim.model.stage, victim.zone)
                await asyncio.sleep(pause)
                victim.drain()
            await _until_ended(victims)

    async def _redirect_heartbeats(self, fault: Fault, random: Random) -> None:
        """Make all backends send heartbeats to one controller; each stays there until a heartbeat fails."""
        addresses = self._scene.fleet.listed_controllers
        chosen = random.choice(addresses)
        with self._scene.recording_fault(fault, [chosen]):
            for backend in self._scene.backends:
                if is_healthy(backend):
                    backend.send_heartbeats_to(chosen)
            await asyncio.sleep(fault.seconds)


async def _until_ended(backends: list[Backend]) -> None:
    """Wait until all draining backends have ended, at most for DRAIN_TIMEOUT_S."""
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            await asyncio.gather(*(backend.ended.wait() for backend in backends if backend.phase == "draining"))
    except TimeoutError:
        return
