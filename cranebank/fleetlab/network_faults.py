"""Faults of the network: paths between chosen machines that lose everything, resets, and answers lost on their way."""

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

RESET_EVERY_S = 0.3
SHARE_MOST_HEARD = 0.5  # of the cuts of one controller strike the one that hears most backends
LOST = (0.3, 0.8)  # share of the answers that are lost, at least and at most


class NetworkFaults:
    """Injects them. ``operators`` and ``heartbeats`` are the callers whose answers can be lost."""

    def __init__(self, scene: FaultScene, operators: Iterable[Caller], heartbeats: Iterable[Caller]) -> None:
        self._scene = scene
        self._operators, self._heartbeats = operators, heartbeats

    async def inject(self, fault: Fault) -> None:
        """Inject one fault, and return when it has healed. Raises NoVictimError."""
        random = Random(fault.choice)
        match fault.kind:
            case FaultKind.RESET_CONNECTIONS:
                await self._reset(fault, random)
            case FaultKind.LOSE_OPERATOR_ANSWERS:
                await self._lose_answers(fault, self._operators, random.uniform(*LOST))
            case FaultKind.LOSE_HEARTBEAT_ANSWERS:
                await self._lose_answers(fault, self._heartbeats, random.uniform(*LOST))
            case _:
                paths = self._paths(fault.kind, random)
                if not paths:
                    raise NoVictimError
                await self.cut(fault, paths, (f"{self._name(a)}>{self._name(b)}" for a, b in paths))

    async def cut(self, fault: Fault, paths: tuple[Path, ...], victims: Iterable[str]) -> None:
        """Cut paths for the time of a fault. ``victims``: what is cut, in words."""
        scene = self._scene
        troubled = self._troubled(paths)
        with scene.injected(fault, victims, troubled), scene.broken_links(self._controllers_cut(paths)):
            scene.network.cut(paths)
            try:
                await asyncio.sleep(fault.seconds)
            finally:
                scene.network.heal(paths)

    async def _reset(self, fault: Fault, random: Random) -> None:
        """All connections of a random pair at a time, again and again."""
        scene, processes = self._scene, self._scene.fleet.processes
        end = scene.now() + fault.seconds
        troubled = [CORE, *scene.fleet.proxies]
        with scene.injected(fault, ["pairs of all machines"], troubled):
            while scene.now() < end:
                others = [one.ip for one in processes] + [_ip(one.address) for one in scene.ready_backends()]
                scene.network.reset(random.choice(processes).ip, random.choice(others))
                await asyncio.sleep(RESET_EVERY_S)

    async def _lose_answers(self, fault: Fault, callers: Iterable[Caller], share: float) -> None:
        with self._scene.injected(fault, [f"{share:.2f} of the answers"], ["answers"]):
            for caller in callers:
                caller.share_lost = share
            try:
                await asyncio.sleep(fault.seconds)
            finally:
                for caller in callers:
                    caller.share_lost = 0.0

    # Which paths.

    def _paths(self, kind: FaultKind, random: Random) -> tuple[Path, ...]:
        match kind:
            case FaultKind.CUT_CONTROLLER_FROM_CONTROLLERS:
                one, others = self._controller(random)
                return both_ways([one], others)
            case FaultKind.CUT_CONTROLLER_FROM_ALL:
                one, others = self._controller(random)
                return both_ways([one], [*others, *random.sample(self._proxies, random.randint(1, len(self._proxies)))])
            case FaultKind.DEAF_CONTROLLER:
                one, others = self._controller(random)
                return one_way(others, [one])
            case FaultKind.MUTE_CONTROLLER:
                one, others = self._controller(random)
                return one_way([one], others)
            case FaultKind.CUT_PAIR_OF_CONTROLLERS:
                one, others = self._controller(random)
                return both_ways([one], [random.choice(others)])
            case FaultKind.CUT_HALVES:
                return self._halves(random)
            case FaultKind.CUT_CONTROLLER_FROM_PROXIES:
                one, _ = self._controller(random)
                return self._some_way(random, [one], random.sample(self._proxies, random.randint(1, 2)))
            case FaultKind.CUT_PROXY_FROM_CONTROLLERS:
                return self._some_way(random, [random.choice(self._proxies)], self._controllers)
            case FaultKind.CUT_PROXY_FROM_BACKENDS:
                return self._some_way(random, [random.choice(self._proxies)], self._some_backends(random))
            case FaultKind.CUT_BACKEND_FROM_CONTROL:
                return self._some_way(random, self._some_backends(random)[:1], self._controllers)
            case FaultKind.CUT_BACKENDS_FROM_SOME_CONTROLLERS:
                some = random.sample(self._controllers, len(self._controllers) // 2)
                return self._some_way(random, self._some_backends(random), some)
            case _:
                raise AssertionError(f"{kind} is no fault of the network")

    def _halves(self, random: Random) -> tuple[Path, ...]:
        """Controllers in two parts; each proxy and backend reaches both, but for some proxies that are on a side."""
        controllers = random.sample(self._controllers, len(self._controllers))
        left, right = controllers[::2], controllers[1::2]
        beside = random.sample(self._proxies, random.randint(0, len(self._proxies) - 1))
        return both_ways(left, right) + both_ways(beside, random.choice([left, right]))

    def _some_way(self, random: Random, near: list[str], far: list[str]) -> tuple[Path, ...]:
        """Both ways, there only or back only."""
        return random.choice([both_ways(near, far), one_way(near, far), one_way(far, near)])

    @property
    def _controllers(self) -> list[str]:
        return [process.ip for process in self._scene.fleet.controllers.values()]

    @property
    def _proxies(self) -> list[str]:
        return [process.ip for process in self._scene.fleet.proxies.values()]

    def _controller(self, random: Random) -> tuple[str, list[str]]:
        """One controller, often the one that most backends send their heartbeats to, and the others."""
        free = self._scene.free_controllers()
        heard = Counter(_ip(backend.beat_address) for backend in self._scene.ready_backends())
        one = pick(random, free).ip
        if random.random() < SHARE_MOST_HEARD:
            one = max((process.ip for process in free), key=lambda ip: heard[ip])
        return one, [ip for ip in self._controllers if ip != one]

    def _some_backends(self, random: Random) -> list[str]:
        """Some that are well, but not all of them."""
        well = [_ip(backend.address) for backend in self._scene.ready_backends()]
        if len(well) < 2:
            raise NoVictimError
        return random.sample(well, random.randint(1, max(1, len(well) // 2)))

    # What it means.

    def _machines(self) -> dict[str, Process]:
        return {process.ip: process for process in self._scene.fleet.processes}

    def _name(self, ip: str) -> str:
        found = self._machines().get(ip)
        return found.name if found is not None else self._instance(ip)

    def _instance(self, ip: str) -> str:
        return next((one.instance for one in self._scene.backends if _ip(one.address) == ip), ip)

    def _controllers_cut(self, paths: tuple[Path, ...]) -> set[str]:
        """The controllers at both ends of paths that lie between two of them."""
        names = {process.ip: process.name for process in self._scene.fleet.controllers.values()}
        return {names[ip] for ends in paths if set(ends) <= names.keys() for ip in ends}

    def _troubled(self, paths: tuple[Path, ...]) -> set[str]:
        """As troubles name the machines: those that a path ends at, and the core if one is between controllers."""
        machines, found = self._machines(), set()
        for ends in paths:
            roles = [machines[ip].role if ip in machines else "backend" for ip in ends]
            found |= {CORE} if roles == ["control", "control"] else set()
            found |= {self._name(ip) for ip, role in zip(ends, roles, strict=True) if role != "control"}
        return found


def _ip(address: str) -> str:
    return address.rpartition(":")[0]
