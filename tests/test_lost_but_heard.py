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
    """Three registry cores, of which A is cut off from B and C, and one proxy that all three push to."""

    def __init__(self) -> None:
        self.now = 0.0
        self.registries = {name: Registry(0.0, BEAT_S) for name in "ABC"}
        self.candidates = Candidates()
        self.is_cut = False
        self.sequence = 0

    def beat(self, controller: str) -> None:
        """Every backend sends a heartbeat to this controller."""
        self.sequence += 1
        for backend_id, address in BACKENDS.items():
            self.registries[controller].heartbeat(self.now, backend_id, beat(self.sequence, address=address))

    def tick(self) -> None:
        """Expiry, and then news: to the proxy from all, to controllers of the same side."""
        self.now += TICK_S
        for name, registry in self.registries.items():
            registry.expire(self.now, in_touch=not self.is_cut or name != "A")
            heard = registry.pop_heard(self.now)
            news = registry.changes()
            self.candidates.merge(news, self.now)
            for other_name, other in self.registries.items():
                if other_name != name and not (self.is_cut and "A" in (name, other_name)):
                    other.merge(self.now, news)
                    other.heard(self.now, heard)


def test_a_partition_leaves_no_service_without_backends() -> None:
    """All backends beat at A, which B and C don't hear: whatever these say, the proxy has whom to send to."""
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
    """Whole controllers and links in simulated time; a cut of 17 to 21 s, each seed another form of it."""
    broken = {seed: played.breaches for seed in SEEDS if (played := play("heard", seed)).breaches}
    assert broken == {}


A, B, C = IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
A_FROM_OTHERS = ((A, B), (B, A), (A, C), (C, A))
ALL_FROM_ALL = (*A_FROM_OTHERS, (B, C), (C, B))
PROXIES = ("10.0.1.1", "10.0.1.2")
A_FROM_ALL = (*A_FROM_OTHERS, *((A, ip) for ip in PROXIES), *((ip, A) for ip in PROXIES))
CUT_AT = 9.0
RELAYED_S = 2.5  # until a link is known to be cut, and the next news has gone round
LOST_S = 3.5 + 1 + 0.5  # beats of 1 s, and a look each half second


@contextmanager
def partitioned(pairs: Iterable[tuple[str, str]]) -> Iterator[World]:
    """Three controllers that have run for a while, and cuts. All backends beat at A: one from the beginning, one that
    begins after the cut, and one that crashes at 15 s."""
    logger.disable("cranebank")
    world = World(3, proxies=2, faults_s=60.0)
    try:
        world.add_backend(1, 1.0, 60.0)
        world.add_backend(2, CUT_AT + 0.5, 60.0)
        world.add_backend(3, 1.0, 14.0, crashes=True)
        for backend in world.backends:
            backend.preferred = A
        world.scheduler.run_until(CUT_AT)
        for pair in pairs:
            world.network.cut(*pair)
        for machine in world.machines.values():
            machine.troubles += 1
            world.changed(machine)
        yield world
    finally:
        world.close()
        logger.enable("cranebank")


def looks(end: float) -> list[float]:
    """Times to look at, each half second from the cut on."""
    return [CUT_AT + 0.5 * number for number in range(1, int(2 * (end - CUT_AT)) + 1)]


def controller(world: World, ip: str) -> Controller:
    """A controller that runs."""
    found = world.machines[ip].controller
    assert found is not None
    return found


def phase_at(world: World, ip: str, backend: str) -> str | None:
    """What a controller's registry holds of a backend."""
    record = controller(world, ip).registry.records.get(backend)
    return record.phase if record is not None else None


def phases_at_proxies(world: World, backend: str) -> list[str]:
    """What the proxies hold of a backend."""
    return [proxy.life.plane.records[backend].phase for proxy in world.proxies if proxy.life is not None]


@pytest.mark.parametrize("pairs", [A_FROM_OTHERS, ALL_FROM_ALL])
def test_what_one_side_of_a_partition_hears_is_known_on_the_other_side(pairs: tuple[tuple[str, str], ...]) -> None:
    """By way of proxies: heartbeats, a backend that began after the cut, and that one has ceased to beat."""
    with partitioned(pairs) as world:
        for now in looks(35.0):
            world.scheduler.run_until(now)
            assert [phase_at(world, ip, "i-1") for ip in IPS] == ["ready"] * 3
            if now > CUT_AT + 0.5 + RELAYED_S:
                assert [phase_at(world, ip, "i-2") for ip in IPS] == ["ready"] * 3
            if now < 15.0 or now > 15.0 + LOST_S + RELAYED_S:
                assert [phase_at(world, ip, "i-3") for ip in IPS] == [("ready" if now < 15.0 else "lost")] * 3
        assert world.judge.breaches == []


def test_a_controller_that_nobody_hears_sends_backends_on_to_others() -> None:
    """It is cut off from all proxies too: a heartbeat that it acknowledged would be heard by nobody."""
    with partitioned(A_FROM_ALL) as world:
        for now in looks(35.0):
            world.scheduler.run_until(now)
            assert [phase_at(world, ip, "i-1") for ip in (B, C)] == ["ready"] * 2
        assert world.judge.breaches == []


def test_a_drain_that_one_side_of_a_partition_takes_is_known_on_the_other_side_at_once() -> None:
    with partitioned(A_FROM_OTHERS) as world:
        world.scheduler.run_until(CUT_AT + RELAYED_S)
        here, loop = controller(world, A), world.machines[A].loop
        assert loop is not None
        drain = beat(1000, "draining", here.registry.records["i-1"].address)
        loop.call_soon(here.registry.heartbeat, here.now(), "i-1", drain)
        loop.call_soon(here.publish_registry)
        world.scheduler.run_until(CUT_AT + RELAYED_S + 0.1)
        assert [phase_at(world, ip, "i-1") for ip in IPS] == ["draining"] * 3


def test_a_loss_is_lifted_as_soon_as_there_is_a_way_round_the_partition() -> None:
    """While proxies reach A alone, B must think the backend lost; then A's news of heartbeats contradicts it."""
    proxies_from_others = [pair for ip in PROXIES for other in (B, C) for pair in ((ip, other), (other, ip))]
    with partitioned((*A_FROM_OTHERS, *proxies_from_others)) as world:
        world.scheduler.run_until(20.0)
        assert [phase_at(world, ip, "i-1") for ip in IPS] == ["ready", "lost", "lost"]
        for pair in proxies_from_others:
            world.network.heal(*pair)
        for tenth in range(int(10 * RELAYED_S)):
            world.scheduler.run_until(20.0 + tenth / 10)
            assert phases_at_proxies(world, "i-2") == ["ready"] * 2, "B and C learn of it, and don't call it lost"
        assert (
            [phase_at(world, ip, "i-1") for ip in IPS] == [*phases_at_proxies(world, "i-1"), "ready"] == ["ready"] * 3
        )
