"""Faults of backends, and what their operators do with them: scale in, release, a whole stage that leaves."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random

from cranebank.fleetlab.backend import Backend
from cranebank.fleetlab.fault_scene import FaultScene, NoVictimError, is_well
from cranebank.fleetlab.soak_plan import Fault, FaultKind

SWITCHED = {
    FaultKind.BACKEND_DARK: "dark",
    FaultKind.BACKEND_SILENT: "silent",
    FaultKind.BACKEND_CUTS_ANSWERS: "cut",
    FaultKind.BACKEND_LATE_ANSWERS: "late",
}
LEAVING_S = 12.0  # for a backend that drains to have ended
BORN_AHEAD_S = 1.0  # a release starts a backend's successor so much earlier than it ends the backend


class BackendFaults:
    """Injects them."""

    def __init__(self, scene: FaultScene) -> None:
        self._scene = scene

    async def inject(self, fault: Fault) -> None:
        """Inject one fault, and return when it is over. Raises NoVictimError."""
        random = Random(fault.choice)
        match fault.kind:
            case FaultKind.BACKEND_CRASH:
                await self._crash(fault, self._one_of_several(random))
            case FaultKind.BACKEND_LEAVES:
                await self._leave(fault, [self._one_of_several(random)])
            case FaultKind.RELEASE:
                await self._release(fault, random)
            case FaultKind.DECODE_STAGE_LEAVES:
                await self._leave(fault, self._stage(random, "decode"))
            case FaultKind.PREFILL_STAGE_LEAVES:
                await self._leave(fault, self._stage(random, "prefill"))
            case FaultKind.HEARTBEATS_TO_ONE:
                await self._gather_heartbeats(fault, random)
            case _:
                await self._switch(fault, self._one_of_several(random))

    # Victims.

    def _one_of_several(self, random: Random) -> Backend:
        """A backend that is well, of a service and stage that has another one."""
        well = self._scene.ready_backends()
        counts = Counter((backend.service, backend.model.stage) for backend in well)
        able = [backend for backend in well if counts[backend.service, backend.model.stage] > 1]
        if not able:
            raise NoVictimError
        return random.choice(able)

    def _stage(self, random: Random, stage: str) -> list[Backend]:
        """All backends of a stage, of a service whose other stage has somebody to take over."""
        well = self._scene.ready_backends()
        services = sorted({backend.service for backend in well if backend.model.stage != stage})
        able = [service for service in services if any(b.service == service and b.model.stage == stage for b in well)]
        if not able:
            raise NoVictimError
        service = random.choice(able)
        return [backend for backend in well if backend.service == service and backend.model.stage == stage]

    # What happens to them.

    async def _crash(self, fault: Fault, victim: Backend) -> None:
        """It ends without a word, and another comes at a new address."""
        with self._scene.injected(fault, [victim.instance], [victim.instance]):
            victim.fault("crash")
            await asyncio.sleep(fault.seconds)
            await self._scene.add_backend(victim.service, victim.model.stage, victim.zone)

    async def _switch(self, fault: Fault, victim: Backend) -> None:
        name = SWITCHED[fault.kind]
        with self._scene.injected(fault, [victim.instance], [victim.instance]):
            victim.fault(name)
            try:
                await asyncio.sleep(fault.seconds)
            finally:
                victim.fault(name, False)

    async def _leave(self, fault: Fault, victims: list[Backend]) -> None:
        """They leave for good, one after another within the time of the fault."""
        with self._scene.injected(fault, [victim.instance for victim in victims]):
            pause = fault.seconds / len(victims)
            for victim in victims:
                victim.drain()
                await asyncio.sleep(pause)
            await _until_ended(victims)

    async def _release(self, fault: Fault, random: Random) -> None:
        """All backends of a service are replaced one after another."""
        scene = self._scene
        well = scene.ready_backends()
        if not well:
            raise NoVictimError
        service = random.choice(sorted({backend.service for backend in well}))
        victims = [backend for backend in well if backend.service == service]
        with scene.injected(fault, [victim.instance for victim in victims]):
            pause = max(BORN_AHEAD_S, fault.seconds / len(victims))
            for victim in victims:
                await scene.add_backend(service, victim.model.stage, victim.zone)
                await asyncio.sleep(pause)
                victim.drain()
            await _until_ended(victims)

    async def _gather_heartbeats(self, fault: Fault, random: Random) -> None:
        """All backends turn to one controller; each stays there until a heartbeat fails."""
        addresses = self._scene.fleet.listed_controllers
        chosen = random.choice(addresses)
        with self._scene.injected(fault, [chosen]):
            for backend in self._scene.backends:
                if is_well(backend):
                    backend.beat_at(chosen)
            await asyncio.sleep(fault.seconds)


async def _until_ended(backends: list[Backend]) -> None:
    """Wait until all that drain have ended, no longer than is due."""
    try:
        async with asyncio.timeout(LEAVING_S):
            await asyncio.gather(*(backend.ended.wait() for backend in backends if backend.phase == "draining"))
    except TimeoutError:
        return
