"""A confirmed drain or leave is on the disks of a majority, and survives a power loss of the whole fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from functools import partial
from random import Random
from typing import cast

import msgspec
import pytest
from controlsim.world import World

from cranebank.control.consensus import ConsensusCore
from cranebank.control.delivery import Delivery
from cranebank.control.events import Status
from cranebank.programs.controller_links import ControllerLinks
from cranebank.programs.local_state import ENDINGS_KEY, REGISTRY_KEY, LocalState, decode_registry_records
from cranebank.programs.registry_service import RegistryService
from cranebank.programs.settings import NodeSettings
from cranebank.storage.records import DiskRefused
from cranebank.transport.links import Link
from cranebank.transport.messages import Backend, RegistryAck, RegistrySync
from cranebank.transport.revision import Revision

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
DRAINING = Backend("i", "s", "10.0.0.9:80", "z", "decode", 4, "draining", 2)


class SlowDisk:
    """A disk whose writes wait until they are released, or are refused."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.is_free = asyncio.Event()
        self.refuses = False

    async def put(self, values: Mapping[str, bytes]) -> None:
        await self.is_free.wait()
        if self.refuses:
            raise DiskRefused(OSError("refused"))
        self.values |= values

    async def close(self) -> None:
        """Do nothing."""


class Core:
    """A consensus core that knows three members."""

    def status(self, now: float) -> Status:
        return Status("1", "follower", 1, "", "", False, (), IPS, Revision(0))


class RecordingLink:
    """The connection to another controller."""

    peer = IPS[1]

    def __init__(self) -> None:
        self.sent: list[object] = []

    def send(self, message: object) -> bool:
        self.sent.append(message)
        return True


class OneLink:
    """Links with one connection up."""

    def __init__(self, link: RecordingLink) -> None:
        self.link = link

    def broadcast(self, message: object) -> None:
        self.link.send(message)

    def to(self, ip: str) -> RecordingLink:
        return self.link

    def unreached(self) -> list[str]:
        return []


def service_on(disk: SlowDisk, link: RecordingLink) -> RegistryService:
    return RegistryService(
        NodeSettings(IPS[0], IPS[0], "z", (7000, 7009), ()),
        asyncio.get_running_loop().time,
        cast(ConsensusCore, Core()),
        cast(ControllerLinks, OneLink(link)),
        Delivery(IPS[0], Random(1), lambda _now, _revision: True),
        LocalState(disk, 0.0),
        (),
        Random(2),
    )


async def turns() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


def acknowledged(link: RecordingLink) -> list[int]:
    return [message.number for message in link.sent if isinstance(message, RegistryAck)]


def test_the_end_that_another_controller_tells_is_acknowledged_once_it_is_on_this_disk() -> None:
    async def scenario() -> None:
        disk, link = SlowDisk(), RecordingLink()
        service = service_on(disk, link)
        service.merge(cast(Link, link), RegistrySync((DRAINING,), (), 7))
        await turns()
        assert acknowledged(link) == []
        disk.is_free.set()
        await turns()
        assert acknowledged(link) == [7]
        assert decode_registry_records(disk.values) == (DRAINING,)

    asyncio.run(scenario())


def test_the_end_that_the_disk_refuses_is_not_acknowledged() -> None:
    async def scenario() -> None:
        disk, link = SlowDisk(), RecordingLink()
        disk.refuses = True
        disk.is_free.set()
        service_on(disk, link).merge(cast(Link, link), RegistrySync((DRAINING,), (), 7))
        await turns()
        assert acknowledged(link) == []

    asyncio.run(scenario())


@pytest.mark.parametrize("is_durable", [True, False])
def test_this_controller_counts_for_the_majority_once_the_end_is_on_its_own_disk(is_durable: bool) -> None:
    async def scenario() -> None:
        disk, link = SlowDisk(), RecordingLink()
        service = service_on(disk, link)
        service.registry.merge(service._now(), (DRAINING,))
        service.publish()
        number = service._replication.number
        service.acknowledged(IPS[1], number)
        if is_durable:
            disk.is_free.set()
        assert await service.confirm_ending("i", 0.1) == is_durable
        assert not is_durable or ENDINGS_KEY in disk.values

    asyncio.run(scenario())


def test_an_end_outlasts_what_was_known_before_it() -> None:
    ready = msgspec.structs.replace(DRAINING, phase="ready", call_seq=1)
    stored = {
        ENDINGS_KEY: msgspec.msgpack.encode((DRAINING,)),
        REGISTRY_KEY: msgspec.msgpack.encode((ready,)),
    }
    assert decode_registry_records(stored)[-1] == DRAINING
    assert decode_registry_records({}) == ()


@pytest.mark.parametrize("seed", range(3))
def test_a_confirmed_leave_is_known_after_a_loss_of_all_power_right_behind_it(seed: int) -> None:
    """Controllers and proxies lose power at the moment of the acknowledgement; no backend sends heartbeats any more."""
    world = World(seed, faults_s=12.0)
    world.add_backend(1, 0.6, 7.0 + 0.1 * seed)
    world.beat_s = 1.0
    acknowledge = world.judge.ending
    struck: list[float] = []

    def ending(controller: str, backend: str, phase: str, lost_contact_s: float) -> None:
        acknowledge(controller, backend, phase, lost_contact_s)
        if phase == "gone" and not struck:
            struck.append(world.scheduler.now)
            world.scheduler.after(0.0, strike)

    def strike() -> None:
        for proxy in world.proxies:
            proxy.kill()
            world.scheduler.after(0.5, proxy.start)
        for machine in world.machines.values():
            world.stop(machine, has_power=False)
            world.scheduler.after(0.2, partial(world.start, machine))

    world.judge.ending = ending  # type: ignore[method-assign]
    world.scheduler.run_until(13.0)
    assert struck
    assert not world.judge.breaches
    phases = [
        {record.phase for record in machine.controller.registry.all_records()}
        for machine in world.machines.values()
        if machine.controller is not None
    ]
    assert phases == [{"gone"}] * len(world.machines)
    world.close()
