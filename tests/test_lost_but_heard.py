"""Backends whose heartbeats reach only part of the controllers stay in service: docs/incidents/lost-but-heard.md."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import contextmanager

import pytest
from controlsim.scenarios import play
from controlsim.world import World
from loguru import logger
from test_registry import BEAT_S, beat

from cranebank.control.registry import Registry
from cranebank.dataplane.candidates import Candidates
from cranebank.programs.controller import Controller

BACKENDS = {f"i-{number}": f"10.0.0.{number}:80" for number in range(1, 5)}
CUT_S = 20.0
TICK_S = 0.5
SEEDS = range(12)


class PartitionedControllers:
    """Three registry cores, of which A can be cut off from B and C, and one proxy to which all three push."""

    def __init__(self) -> None:
        self.now = 0.0
        self.registries = {name: Registry(0.0, BEAT_S) for name in "ABC"}
        self.candidates = Candidates()
        self.is_cut = False
        self.sequence = 0

    def beat(self, controller: str) -> None:
        """Send a heartbeat of every backend to this controller."""
        self.sequence += 1
        for backend_id, address in BACKENDS.items():
            self.registries[controller].heartbeat(self.now, backend_id, beat(self.sequence, address=address))

    def tick(self) -> None:
        """Expire records, then send changes of all controllers to the proxy and to controllers on the same side."""
        self.now += TICK_S
        for name, registry in self.registries.items():
            registry.expire(self.now, has_contact=not self.is_cut or name != "A")
            heard = registry.pop_heartbeats(self.now)
            news = registry.changes()
            self.candidates.merge(news, self.now)
            for other_name, other in self.registries.items():
                if other_name != name and not (self.is_cut and "A" in (name, other_name)):
                    other.merge(self.now, news)
                    other.merge_remote_heartbeats(self.now, heard)


def test_a_partition_leaves_no_service_without_backends() -> None:
    """All heartbeats go to A, which is cut off from B and C: the proxy keeps ready backends whatever B and C report."""
    controllers = PartitionedControllers()
    while controllers.now < 10.0:
        controllers.beat("A")
        controllers.tick()
    controllers.is_cut = True
    ended_at = controllers.now + CUT_S
    while controllers.now < ended_at:
        controllers.beat("A")
        controllers.tick()
        ready = controllers.candidates.ready(controllers.now, "s", "decode")
        assert {seen.backend.id for seen in ready} == set(BACKENDS), f"at {controllers.now} s"


def test_proxies_keep_backends_that_any_linked_controller_hears() -> None:
    """Complete controllers and links in simulated time; a cut of 17 to 21 s, different with each seed."""
    broken = {seed: played.breaches for seed in SEEDS if (played := play("heard", seed)).breaches}
    assert broken == {}


A, B, C = IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
A_FROM_OTHERS = ((A, B), (B, A), (A, C), (C, A))
ALL_FROM_ALL = (*A_FROM_OTHERS, (B, C), (C, B))
PROXIES = ("10.0.1.1", "10.0.1.2")
A_FROM_ALL = (*A_FROM_OTHERS, *((A, ip) for ip in PROXIES), *((ip, A) for ip in PROXIES))
CUT_AT = 9.0
RELAY_DELAY_S = 2.5  # until a link is known to be cut and the next changes have been relayed
LOSS_DETECTION_S = 3.5 + 1 + 0.5  # with heartbeats every second and a check each half second


@contextmanager
def partitioned(pairs: Iterable[tuple[str, str]]) -> Iterator[World]:
    """Run three controllers for a while, then cut pairs of machines.

    All backends send their heartbeats to A: one from the beginning, one that starts after the cut, and one that crashes
    at 15 s.
    """
    logger.disable("cranebank")
    world = World(3, proxies=2, faults_s=60.0)
    try:
        world.add_backend(1, 1.0, 60.0)
        world.add_backend(2, CUT_AT + 0.5, 60.0)
        world.add_backend(3, 1.0, 14.0, crashes=True)
        for backend in world.backends:
            backend.preferred_controller = A
        world.scheduler.run_until(CUT_AT)
        for pair in pairs:
            world.network.cut(*pair)
        for machine in world.machines.values():
            machine.active_faults += 1
            world.changed(machine)
        yield world
    finally:
        world.close()
        logger.enable("cranebank")


def check_times(end: float) -> list[float]:
    """Return the times to check, each half second from the cut on."""
    return [CUT_AT + 0.5 * number for number in range(1, int(2 * (end - CUT_AT)) + 1)]


def controller(world: World, ip: str) -> Controller:
    """Return the running controller of a machine."""
    found = world.machines[ip].controller
    assert found is not None
    return found


def phase_at(world: World, ip: str, backend: str) -> str | None:
    """Return a backend's phase in a controller's registry."""
    record = controller(world, ip).registry.records.get(backend)
    return record.phase if record is not None else None


def phases_at_proxies(world: World, backend: str) -> list[str]:
    """Return a backend's phases at the proxies."""
    return [proxy.life.plane.records[backend].phase for proxy in world.proxies if proxy.life is not None]


@pytest.mark.parametrize("pairs", [A_FROM_OTHERS, ALL_FROM_ALL])
def test_what_one_side_of_a_partition_hears_is_known_on_the_other_side(pairs: tuple[tuple[str, str], ...]) -> None:
    """Proxies relay heartbeats, a backend that started after the cut, and the end of a backend's heartbeats."""
    with partitioned(pairs) as world:
        for now in check_times(35.0):
            world.scheduler.run_until(now)
            assert [phase_at(world, ip, "i-1") for ip in IPS] == ["ready"] * 3
            if now > CUT_AT + 0.5 + RELAY_DELAY_S:
                assert [phase_at(world, ip, "i-2") for ip in IPS] == ["ready"] * 3
            if now < 15.0 or now > 15.0 + LOSS_DETECTION_S + RELAY_DELAY_S:
                assert [phase_at(world, ip, "i-3") for ip in IPS] == [("ready" if now < 15.0 else "lost")] * 3
        assert world.judge.breaches == []


def test_a_controller_that_nobody_hears_sends_backends_on_to_others() -> None:
    """It is cut off from all proxies, too, so no other process would learn of a heartbeat that it acknowledged."""
    with partitioned(A_FROM_ALL) as world:
        for now in check_times(35.0):
            world.scheduler.run_until(now)
            assert [phase_at(world, ip, "i-1") for ip in (B, C)] == ["ready"] * 2
        assert world.judge.breaches == []


def test_a_drain_that_one_side_of_a_partition_takes_is_known_on_the_other_side_at_once() -> None:
    with partitioned(A_FROM_OTHERS) as world:
        world.scheduler.run_until(CUT_AT + RELAY_DELAY_S)
        here, loop = controller(world, A), world.machines[A].loop
        assert loop is not None
        drain = beat(1000, "draining", here.registry.records["i-1"].address)
        loop.call_soon(here.registry.heartbeat, here.now(), "i-1", drain)
        loop.call_soon(here.publish_registry)
        world.scheduler.run_until(CUT_AT + RELAY_DELAY_S + 0.1)
        assert [phase_at(world, ip, "i-1") for ip in IPS] == ["draining"] * 3


def test_a_loss_is_lifted_as_soon_as_there_is_a_way_round_the_partition() -> None:
    """While proxies reach only A, B must consider the backend lost; then A's reports of heartbeats contradict it."""
    proxies_from_others = [pair for ip in PROXIES for other in (B, C) for pair in ((ip, other), (other, ip))]
    with partitioned((*A_FROM_OTHERS, *proxies_from_others)) as world:
        world.scheduler.run_until(20.0)
        assert [phase_at(world, ip, "i-1") for ip in IPS] == ["ready", "lost", "lost"]
        for pair in proxies_from_others:
            world.network.heal(*pair)
        for tenth in range(int(10 * RELAY_DELAY_S)):
            world.scheduler.run_until(20.0 + tenth / 10)
            assert phases_at_proxies(world, "i-2") == ["ready"] * 2, "B and C learn of it, and don't call it lost"
        assert (
            [phase_at(world, ip, "i-1") for ip in IPS] == [*phases_at_proxies(world, "i-1"), "ready"] == ["ready"] * 3
        )
