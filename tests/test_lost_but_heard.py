"""Backends whose heartbeats reach only part of the controllers stay in service: docs/incidents/lost-but-heard.md."""

from __future__ import annotations

from controlsim.scenarios import play
from test_registry import BEAT_S, beat

from cranebank.control.registry import Registry
from cranebank.dataplane.candidates import Candidates

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
