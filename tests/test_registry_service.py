"""The registry of a controller on its links: the order in which other controllers receive changes."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import cast

from test_registry import beat

from cranebank.control.consensus import ConsensusCore
from cranebank.control.delivery import Delivery
from cranebank.control.events import Status
from cranebank.control.warm_up import CLOCK_MAX_AGE_S
from cranebank.membership.warm_up import MAX_PERMIT_LEASE_S, PERMIT_RELEASE_DELAY_S
from cranebank.programs.controller_links import ControllerLinks
from cranebank.programs.local_state import LocalState, NoDisk
from cranebank.programs.registry_service import PUSH_BATCH_S, SYNC_INTERVAL_S, RegistryService
from cranebank.programs.settings import NodeSettings
from cranebank.transport.frames import Decoder
from cranebank.transport.links import Link, Owner
from cranebank.transport.messages import Message, Push, RegistrySync, WarmUpPermits
from cranebank.transport.revision import Revision

HERE, THERE = IPS = ("10.0.0.1", "10.0.0.2")


class Consensus:
    """A consensus core that knows the members."""

    def known_ips(self) -> set[str]:
        return set(IPS)

    def status(self, now: float) -> Status:
        return Status("1", "follower", 1, "", "", False, (), IPS, Revision(0))


class Recorder(Link):
    """A connection to a proxy that records what is sent."""

    def __init__(self) -> None:
        super().__init__(cast(Owner, None), False)
        self.sent: list[Message] = []

    def send_frame(self, frame: bytes) -> bool:
        self.sent += Decoder().feed(frame)
        return True


class Links:
    """One connection that records what is sent in order."""

    accepted_ips: frozenset[str] = frozenset()

    def __init__(self) -> None:
        self.sent: list[RegistrySync] = []

    def broadcast(self, message: RegistrySync) -> None:
        self.sent.append(message)

    def to(self, ip: str) -> Links:
        return self

    def unreached(self) -> list[str]:
        return []


def service_of(ip: str, now: Callable[[], float], links: Links, delivery: Delivery | None = None) -> RegistryService:
    settings = NodeSettings(ip, ip, "z", (7000, 7009), ())
    return RegistryService(
        settings,
        now,
        cast(ConsensusCore, Consensus()),
        cast(ControllerLinks, links),
        delivery or Delivery(ip, Random(1), lambda _now, _revision: True),
        LocalState(NoDisk(), 0.0),
        (),
        Random(2),
    )


def test_what_a_heartbeat_changes_is_told_before_that_the_heartbeat_was_heard() -> None:
    """If the change is sent after, it carries the number of a heartbeat that is already known, and is dropped."""
    clock = 0.0
    links = Links()
    here, there = (service_of(ip, lambda: clock, links) for ip in IPS)
    here.registry.heartbeat(clock, "i", beat(1, stage="prefill"))
    here.publish()
    clock = SYNC_INTERVAL_S
    here.registry.heartbeat(clock, "other", beat(1, address="10.0.0.8:80"))
    here.publish()
    clock += PUSH_BATCH_S / 2
    here.registry.heartbeat(clock, "i", beat(2, stage="decode"))
    here.publish(at_once=False)  # waits for the next tick, but the heartbeats are due to be sent first
    here.tick(clock)
    here.publish()
    for sync in links.sent:
        there.registry.merge(clock, sync.backends)
        there.registry.merge_remote_heartbeats(clock, sync.heard)
    assert there.registry.records["i"] == here.registry.records["i"]


def test_the_permits_for_a_cold_backend_go_out_behind_the_push_that_tells_of_it() -> None:
    """To a proxy that has reported its clock."""
    clock = 0.0
    delivery, proxy = Delivery(HERE, Random(1), lambda _now, _revision: True), Recorder()
    delivery.committed(0.0, Revision(1), b'{"services":[{"name":"s","warmup_per_s":23,"cold_s":3}]}')
    service = service_of(HERE, lambda: clock, Links(), delivery)
    delivery.join(0.0, proxy, "p", "10.0.1.1", True, 1, ())
    clock = MAX_PERMIT_LEASE_S + PERMIT_RELEASE_DELAY_S
    service.report_clock(proxy, 7.0)
    service.registry.heartbeat(clock, "i", beat(1))
    service.publish()
    service.mark_zone_cold("z")
    push, permits = proxy.sent[-2:]
    assert isinstance(push, Push) and push.backends[0].cold_left_ms == 3000
    assert permits == WarmUpPermits("i", 10, 7.0 + 3.0 + CLOCK_MAX_AGE_S)
