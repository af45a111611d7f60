"""Process faults: kills, stops and pauses, and controllers that lose their disk or their machine."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Sequence
from random import Random

from cranebank.fleetlab.fault_scene import CORE, FaultScene, NoVictimError, pick
from cranebank.fleetlab.fleet import Process
from cranebank.fleetlab.soak_plan import Fault, FaultKind

RESTART_DELAY_S = 0.4  # after a planned stop
ROLL_INTERVAL_S = 1.0  # between the processes of a rolling restart
LIST_LAG_S = 3.0  # until callers' lists name a replacement controller instead of the removed one
CATCH_UP_S = 4.0  # a machine still counts as lost for this long after it is back with an empty disk
SIGTERM_SHARE = 0.5  # of the replaced machines are stopped by SIGTERM, the others are killed


class ProcessFaults:
    """Injects process faults."""

    def __init__(self, scene: FaultScene) -> None:
        self._scene = scene

    async def inject(self, fault: Fault) -> None:
        """Inject one fault, and return when it has healed. Raises NoVictimError."""
        scene, random = self._scene, Random(fault.choice)
        match fault.kind:
            case FaultKind.KILL_PRIMARY:
                await self._kill(fault, [await self._primary()])
            case FaultKind.KILL_CONTROLLER:
                await self._kill(fault, [await self._follower(random)])
            case FaultKind.KILL_MOST_CONTROLLERS:
                await self._kill(fault, self._majority(random))
            case FaultKind.KILL_PROXY:
                await self._kill(fault, [pick(random, scene.free_proxies())])
            case FaultKind.KILL_PROXIES:
                await self._kill(fault, scene.free_proxies())
            case FaultKind.KILL_EVERYTHING:
                await self._kill_everything(fault)
            case FaultKind.STOP_CONTROLLER:
                await self._stop_controller(fault, pick(random, scene.free_controllers()))
            case FaultKind.ROLL_CONTROLLERS:
                await self._roll(fault, scene.free_controllers())
            case FaultKind.ROLL_PROXIES:
                await self._roll(fault, scene.free_proxies())
            case FaultKind.PAUSE_PRIMARY:
                await self._pause(fault, await self._primary())
            case FaultKind.PAUSE_CONTROLLER:
                await self._pause(fault, await self._follower(random))
            case FaultKind.PAUSE_PROXY:
                await self._pause(fault, pick(random, scene.free_proxies()))
            case FaultKind.WIPE_CONTROLLER:
                await self._wipe(fault, pick(random, scene.free_controllers()))
            case FaultKind.REPLACE_CONTROLLER:
                await self._replace(fault, pick(random, scene.free_controllers()), random.random() < SIGTERM_SHARE)
            case _:
                raise AssertionError(f"{fault.kind} is not a process fault")

    # Victims.

    async def _primary(self) -> Process:
        name = await self._scene.primary()
        return (
            next((process for process in self._scene.free_controllers() if process.name == name), None)
            or self._raise_no_victim()
        )

    async def _follower(self, random: Random) -> Process:
        name = await self._scene.primary()
        return pick(random, [process for process in self._scene.free_controllers() if process.name != name])

    def _majority(self, random: Random) -> list[Process]:
        """Return a random majority of the controllers."""
        majority = len(self._scene.fleet.controllers) // 2 + 1
        free = self._scene.free_controllers()
        if len(free) < majority:
            raise NoVictimError
        return random.sample(free, majority)

    def _raise_no_victim(self) -> Process:
        raise NoVictimError

    # Injection.

    async def _kill(self, fault: Fault, victims: Sequence[Process]) -> None:
        if not victims:
            raise NoVictimError
        scene = self._scene
        with scene.recording_fault(fault, _names(victims), _trouble_machines(victims)), scene.holding(fault, victims):
            await asyncio.gather(*(scene.kill(victim) for victim in victims))
            await asyncio.sleep(fault.seconds)
            await asyncio.gather(*(scene.restart(victim) for victim in victims))

    async def _kill_everything(self, fault: Fault) -> None:
        """Kill all processes at once."""
        scene = self._scene
        victims = [process for process in scene.fleet.processes if process.is_running]
        own = [
            victim for victim in victims if not scene.will_restart(victim)
        ]  # the fault that stopped the others restarts them
        with scene.recording_fault(fault, _names(victims), _trouble_machines(victims)), scene.holding(fault, own):
            await asyncio.gather(*(scene.kill(victim) for victim in victims))
            await asyncio.sleep(fault.seconds)
            await asyncio.gather(*(scene.restart(victim) for victim in own))

    async def _pause(self, fault: Fault, victim: Process) -> None:
        scene = self._scene
        with scene.recording_fault(fault, [victim.name], _trouble_machines([victim])), scene.holding(fault, [victim]):
            victim.send(signal.SIGSTOP)
            try:
                await asyncio.sleep(fault.seconds)
            finally:
                victim.send(signal.SIGCONT)

    async def _stop_controller(self, fault: Fault, victim: Process) -> None:
        scene = self._scene
        with scene.recording_fault(fault, [victim.name], [CORE], is_planned=True), scene.holding(fault, [victim]):
            await scene.stop(victim)
            await asyncio.sleep(fault.seconds)
            await scene.restart(victim)

    async def _roll(self, fault: Fault, victims: Sequence[Process]) -> None:
        """Restart processes by SIGTERM one after another. Processes that are down are skipped."""
        if not victims:
            raise NoVictimError
        scene = self._scene
        with scene.recording_fault(fault, _names(victims)), scene.holding(fault, victims):
            for victim in victims:
                if not victim.is_running:
                    continue
                with scene.recording_troubles(_trouble_machines([victim]), "SIGTERM", is_planned=True):
                    await scene.stop(victim)
                    await asyncio.sleep(RESTART_DELAY_S)
                    await scene.restart(victim)
                await asyncio.sleep(ROLL_INTERVAL_S)

    async def _wipe(self, fault: Fault, victim: Process) -> None:
        scene = self._scene
        with scene.recording_fault(fault, [victim.name], [CORE]), scene.holding(fault, [victim]):
            await scene.kill(victim)
            victim.clear_disk()
            scene.record_disk_loss(victim)
            await asyncio.sleep(fault.seconds)
            await scene.restart(victim)
            await asyncio.sleep(CATCH_UP_S)

    async def _replace(self, fault: Fault, victim: Process, is_graceful: bool) -> None:
        """Remove a controller for good, and start one with an empty disk at a new address."""
        scene, fleet = self._scene, self._scene.fleet
        with (
            scene.recording_fault(fault, [victim.name], [CORE], is_planned=is_graceful),
            scene.holding(fault, [victim]),
        ):
            if is_graceful:
                await scene.stop(victim)
            else:
                await scene.kill(victim)
            fleet.remove_controller(victim.name)
            scene.record_disk_loss(victim)
            await asyncio.sleep(fault.seconds)
            successor = fleet.add_controller(victim.zone)
            with scene.holding(fault, [successor]):
                await fleet.start(successor)
                await asyncio.sleep(LIST_LAG_S)
                fleet.list_controllers()
                await asyncio.sleep(CATCH_UP_S - LIST_LAG_S)


def _names(processes: Sequence[Process]) -> list[str]:
    return [process.name for process in processes]


def _trouble_machines(processes: Sequence[Process]) -> set[str]:
    """Return the machine names that troubles use."""
    return {CORE if process.role == "control" else process.name for process in processes}
