"""The registry of a controller on its links: in which order other controllers hear what."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import cast

from test_registry import beat

from cranebank.control.consensus import ConsensusCore
from cranebank.control.delivery import Delivery
from cranebank.control.events import Status
from cranebank.programs.controller_links import ControllerLinks
from cranebank.programs.local_state import LocalState, NoDisk
from cranebank.programs.registry_service import BATCH_S, SYNC_S, RegistryService
from cranebank.programs.settings import NodeSettings
from cranebank.transport.messages import RegistrySync

HERE, THERE = IPS = ("10.0.0.1", "10.0.0.2")


class Consensus:
    """A core that knows who the members are."""

    def status(self, now: float) -> Status:
        return Status("1", "follower", 1, "", "", False, (), IPS, 0)


class Links:
    """One connection, which keeps the order of what is sent."""

    def __init__(self) -> None:
        self.sent: list[RegistrySync] = []

    def broadcast(self, message: RegistrySync) -> None:
        self.sent.append(message)

    def to(self, ip: str) -> Links:
        return self

    def unreached(self) -> list[str]:
        return []


def service_of(ip: str, now: Callable[[], float], links: Links) -> RegistryService:
    settings = NodeSettings(ip, ip, "z", (7000, 7009), ())
    return RegistryService(
        settings,
        now,
        cast(ConsensusCore, Consensus()),
        cast(ControllerLinks, links),
        Delivery(ip, Random(1), lambda _now, _revision: True),
        LocalState(NoDisk(), 0.0),
        (),
        Random(2),
    )


def test_what_a_heartbeat_changes_is_told_before_that_the_heartbeat_was_heard() -> None:
    """Where the change comes behind, it bears the number of a heartbeat that is known already, and is dropped."""
    clock = 0.0
    links = Links()
    here, there = (service_of(ip, lambda: clock, links) for ip in IPS)
    here.registry.heartbeat(clock, "i", beat(1, stage="prefill"))
    here.publish()
    clock = SYNC_S
    here.registry.heartbeat(clock, "other", beat(1, address="10.0.0.8:80"))
    here.publish()
    clock += BATCH_S / 2
    here.registry.heartbeat(clock, "i", beat(2, stage="decode"))
    here.publish(at_once=False)  # waits for the next tick, and the time to tell who was heard comes first
    here.tick(clock)
    here.publish()
    for sync in links.sent:
        there.registry.merge(clock, sync.backends)
        there.registry.heard(clock, sync.heard)
    assert there.registry.records["i"] == here.registry.records["i"]
