"""Network faults: cut paths between chosen machines, connection resets and lost answers."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable
from random import Random

from cranebank.fleetlab.caller import Caller
from cranebank.fleetlab.fault_scene import CORE, FaultScene, NoVictimError, pick
from cranebank.fleetlab.fleet import Process
from cranebank.fleetlab.network import Path, both_ways, one_way
from cranebank.fleetlab.soak_plan import Fault, FaultKind

RESET_INTERVAL_S = 0.3
MOST_HEARTBEATS_SHARE = 0.5  # of the cuts of one controller hit the one that most backends send heartbeats to
LOST_SHARE_RANGE = (0.3, 0.8)  # minimum and maximum share of lost answers


class NetworkFaults:
    """Injects network faults. ``operators`` and ``heartbeats`` are the callers whose answers can be lost."""

    def __init__(self, scene: FaultScene, operators: Iterable[Caller], heartbeats: Iterable[Caller]) -> None:
        self._scene = scene
        self._operators, self._heartbeats = operators, heartbeats

    async def inject(self, fault: Fault) -> None:
        """Inject one fault, and return when it has healed. Raises NoVictimError."""
        random = Random(fault.choice)
        match fault.kind:
            case FaultKind.RESET_CONNECTIONS:
                await self._reset_connections(fault, random)
            case FaultKind.LOSE_OPERATOR_ANSWERS:
                await self._lose_answers(fault, self._operators, random.uniform(*LOST_SHARE_RANGE))
            case FaultKind.LOSE_HEARTBEAT_ANSWERS:
                await self._lose_answers(fault, self._heartbeats, random.uniform(*LOST_SHARE_RANGE))
            case _:
                paths = self._paths(fault.kind, random)
                if not paths:
                    raise NoVictimError
                await self.cut(fault, paths, (f"{self._name_of(a)}>{self._name_of(b)}" for a, b in paths))

    async def cut(self, fault: Fault, paths: tuple[Path, ...], victims: Iterable[str]) -> None:
        """Cut paths for the duration of a fault. ``victims`` describes the cut in the record."""
        scene = self._scene
        troubled = self._trouble_machines(paths)
        with (
            scene.recording_fault(fault, victims, troubled),
            scene.recording_broken_links(self._controllers_cut(paths)),
        ):
            scene.network.cut(paths)
            try:
                await asyncio.sleep(fault.seconds)
            finally:
                scene.network.heal(paths)

    async def _reset_connections(self, fault: Fault, random: Random) -> None:
        """Repeatedly reset all connections between a random pair of machines."""
        scene, processes = self._scene, self._scene.fleet.processes
        end = scene.now() + fault.seconds
        troubled = [CORE, *scene.fleet.proxies]
        with scene.recording_fault(fault, ["pairs of all machines"], troubled):
            while scene.now() < end:
                others = [process.ip for process in processes] + [
                    _ip(backend.address) for backend in scene.ready_backends()
                ]
                scene.network.reset(random.choice(processes).ip, random.choice(others))
                await asyncio.sleep(RESET_INTERVAL_S)

    async def _lose_answers(self, fault: Fault, callers: Iterable[Caller], share: float) -> None:
        with self._scene.recording_fault(fault, [f"{share:.2f} of the answers"], ["answers"]):
            for caller in callers:
                caller.share_lost = share
            try:
                await asyncio.sleep(fault.seconds)
            finally:
                for caller in callers:
                    caller.share_lost = 0.0

    # Paths to cut.

    def _paths(self, kind: FaultKind, random: Random) -> tuple[Path, ...]:
        match kind:
            case FaultKind.CUT_CONTROLLER_FROM_CONTROLLERS:
                controller, others = self._controller(random)
                return both_ways([controller], others)
            case FaultKind.CUT_CONTROLLER_FROM_ALL:
                controller, others = self._controller(random)
                return both_ways(
                    [controller], [*others, *random.sample(self._proxy_ips, random.randint(1, len(self._proxy_ips)))]
                )
            case FaultKind.DEAF_CONTROLLER:
                controller, others = self._controller(random)
                return one_way(others, [controller])
            case FaultKind.MUTE_CONTROLLER:
                controller, others = self._controller(random)
                return one_way([controller], others)
            case FaultKind.CUT_PAIR_OF_CONTROLLERS:
                controller, others = self._controller(random)
                return both_ways([controller], [random.choice(others)])
            case FaultKind.CUT_HALVES:
                return self._halves(random)
            case FaultKind.CUT_CONTROLLER_FROM_PROXIES:
                controller, _ = self._controller(random)
                return self._in_random_direction(
                    random, [controller], random.sample(self._proxy_ips, random.randint(1, 2))
                )
            case FaultKind.CUT_PROXY_FROM_CONTROLLERS:
                return self._in_random_direction(random, [random.choice(self._proxy_ips)], self._controller_ips)
            case FaultKind.CUT_PROXY_FROM_BACKENDS:
                return self._in_random_direction(random, [random.choice(self._proxy_ips)], self._some_backends(random))
            case FaultKind.CUT_BACKEND_FROM_CONTROL:
                return self._in_random_direction(random, self._some_backends(random)[:1], self._controller_ips)
            case FaultKind.CUT_BACKENDS_FROM_SOME_CONTROLLERS:
                some = random.sample(self._controller_ips, len(self._controller_ips) // 2)
                return self._in_random_direction(random, self._some_backends(random), some)
            case _:
                raise AssertionError(f"{kind} is not a network fault")

    def _halves(self, random: Random) -> tuple[Path, ...]:
        """Split the controllers in two parts. Some proxies reach only one part, all others reach both."""
        controllers = random.sample(self._controller_ips, len(self._controller_ips))
        left, right = controllers[::2], controllers[1::2]
        side_proxies = random.sample(self._proxy_ips, random.randint(0, len(self._proxy_ips) - 1))
        return both_ways(left, right) + both_ways(side_proxies, random.choice([left, right]))

    def _in_random_direction(self, random: Random, near: list[str], far: list[str]) -> tuple[Path, ...]:
        """Return the paths in both directions, or in one of them."""
        return random.choice([both_ways(near, far), one_way(near, far), one_way(far, near)])

    @property
    def _controller_ips(self) -> list[str]:
        return [process.ip for process in self._scene.fleet.controllers.values()]

    @property
    def _proxy_ips(self) -> list[str]:
        return [process.ip for process in self._scene.fleet.proxies.values()]

    def _controller(self, random: Random) -> tuple[str, list[str]]:
        """Return one controller, often the one that most backends send heartbeats to, and the others."""
        free = self._scene.free_controllers()
        heartbeat_counts = Counter(_ip(backend.heartbeat_address) for backend in self._scene.ready_backends())
        controller = pick(random, free).ip
        if random.random() < MOST_HEARTBEATS_SHARE:
            controller = max((process.ip for process in free), key=lambda ip: heartbeat_counts[ip])
        return controller, [ip for ip in self._controller_ips if ip != controller]

    def _some_backends(self, random: Random) -> list[str]:
        """Return the IPs of some healthy backends, but not of all."""
        healthy = [_ip(backend.address) for backend in self._scene.ready_backends()]
        if len(healthy) < 2:
            raise NoVictimError
        return random.sample(healthy, random.randint(1, max(1, len(healthy) // 2)))

    # Affected machines.

    def _processes_by_ip(self) -> dict[str, Process]:
        return {process.ip: process for process in self._scene.fleet.processes}

    def _name_of(self, ip: str) -> str:
        found = self._processes_by_ip().get(ip)
        return found.name if found is not None else self._instance_at(ip)

    def _instance_at(self, ip: str) -> str:
        return next((backend.instance for backend in self._scene.backends if _ip(backend.address) == ip), ip)

    def _controllers_cut(self, paths: tuple[Path, ...]) -> set[str]:
        """Return the names of the controllers on paths between two controllers."""
        names = {process.ip: process.name for process in self._scene.fleet.controllers.values()}
        return {names[ip] for ends in paths if set(ends) <= names.keys() for ip in ends}

    def _trouble_machines(self, paths: tuple[Path, ...]) -> set[str]:
        """Return the machine names for troubles: the ends of the paths, and the core for paths between controllers."""
        machines, found = self._processes_by_ip(), set()
        for ends in paths:
            roles = [machines[ip].role if ip in machines else "backend" for ip in ends]
            found |= {CORE} if roles == ["control", "control"] else set()
            found |= {self._name_of(ip) for ip, role in zip(ends, roles, strict=True) if role != "control"}
        return found


def _ip(address: str) -> str:
    return address.rpartition(":")[0]
