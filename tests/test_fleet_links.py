"""A proxy's links to controllers: what it answers, and to whom; over real loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import pytest
import uvloop
from test_control_program import free_port

from cranebank.membership import fleet
from cranebank.membership.fleet import FleetLinks
from cranebank.programs import edge
from cranebank.programs.settings import Bounds, NodeSettings
from cranebank.transport.links import REDIAL_BACKOFF_S, Link, listen
from cranebank.transport.messages import (
    Backend,
    ConfigAck,
    ConfigPush,
    Hello,
    LinkHeartbeat,
    Message,
    Push,
    PushAck,
    RegistrySync,
    Relayed,
    RelayTo,
    StageLoad,
    WarmUpPermits,
    Welcome,
)

PROXY, CONTROLLERS = "127.0.12.9", ("127.0.12.1", "127.0.12.2", "127.0.12.3")


class Plane:
    """A data plane that takes everything."""

    revision = 0

    def configure(self, document: bytes) -> bool:
        """Take it."""
        self.revision = int(document)
        return True

    def learn(self, backends: Iterable[Backend]) -> None:
        """Nothing is kept."""

    def known(self) -> tuple[Backend, ...]:
        """Nothing."""
        return ()

    def set_proxy_count(self, count: int) -> None:
        """Not wanted."""

    def evacuate(self, number: int, zones: Iterable[str]) -> int:
        """Not wanted."""
        return number

    def clock_ms(self) -> int:
        """Its steady clock, or 0."""
        return 0

    def permit(self, permits: WarmUpPermits) -> None:
        """Not wanted."""

    def hold_off(self, backend: str, seconds: float) -> None:
        """Not wanted."""

    def loads(self) -> tuple[StageLoad, ...]:
        """Nothing is asked of backends."""
        return ()


class Controllers:
    """The other end of all links."""

    def __init__(self) -> None:
        self.heard: list[tuple[Link, Message]] = []

    def link_up(self, link: Link) -> None:
        """A connection stands."""

    def link_message(self, link: Link, message: Message) -> None:
        """A message came."""
        self.heard.append((link, message))

    def link_down(self, link: Link) -> None:
        """It is over."""

    def of(self, kind: type[Message]) -> list[tuple[Link, Message]]:
        """Who heard such a message, and it."""
        return [(link, message) for link, message in self.heard if isinstance(message, kind)]


async def until(controllers: Controllers, kind: type[Message], count: int) -> None:
    """So many came."""
    async with asyncio.timeout(5):
        while len(controllers.of(kind)) < count:
            await asyncio.sleep(0.01)


async def scene() -> None:
    """Three controllers; one pushes backends, another a configuration."""
    port, owner, plane = free_port(), Controllers(), Plane()
    servers = [await listen(owner, ip, port) for ip in CONTROLLERS]
    links = FleetLinks(plane, lambda: Hello("p", "proxy", PROXY, "z", 1), PROXY, port)
    links.name(CONTROLLERS)
    try:
        await until(owner, Hello, 3)
        ends = [link for link, _ in owner.of(Hello)]
        ends[1].send(Push(1, ()))
        await until(owner, PushAck, 1)
        ends[0].send(ConfigPush(7, b"7"))
        await until(owner, ConfigAck, 1)
        await until(owner, LinkHeartbeat, 6)
        assert [link for link, _ in owner.of(PushAck)] == [ends[1]]
        assert owner.of(ConfigAck) == [(ends[0], ConfigAck(7))]
        assert {link for link, message in owner.of(LinkHeartbeat) if message == LinkHeartbeat(7)} == set(ends)
    finally:
        links.stop()
        for server in servers:
            server.close()


def test_who_pushed_gets_the_acknowledgement_and_the_others_see_the_revision_in_pulses() -> None:
    """So nobody sends the whole document again."""
    uvloop.run(scene())


async def relaying() -> None:
    """Two controllers and one that is down; one has news for both others."""
    port, owner = free_port(), Controllers()
    servers = [await listen(owner, ip, port) for ip in CONTROLLERS[:2]]
    links = FleetLinks(Plane(), lambda: Hello("p", "proxy", PROXY, "z", 1), PROXY, port)
    links.name(CONTROLLERS)
    sync = RegistrySync((Backend("i", "s", "10.0.0.9:80", "z", "", 1, "ready", 4),), (("i", 4, 100),))
    try:
        await until(owner, Hello, 2)
        await asyncio.sleep(2 * REDIAL_BACKOFF_S[0])  # both dialers hold their links
        first, second = (end for end, _ in owner.of(Hello))
        for destination in (CONTROLLERS[2], "127.0.12.77", local_ip(second)):
            first.send(RelayTo(destination, sync))
        await until(owner, Relayed, 1)
        await until(owner, LinkHeartbeat, 4)
        assert owner.of(Relayed) == [(second, Relayed(local_ip(first), sync))]
        assert links.relayed == 1
    finally:
        links.stop()
        for server in servers:
            server.close()


def local_ip(link: Link) -> str:
    """The controller's address at its end of a link."""
    assert link._transport is not None
    return str(link._transport.get_extra_info("sockname")[0])


def test_a_proxy_passes_registry_news_on_from_one_controller_to_another_and_drops_what_it_cannot() -> None:
    uvloop.run(relaying())


async def confirming() -> None:
    """A controller's heartbeats, one after another; which of them confirm the revision that is in force."""
    plane = Plane()
    plane.revision = 7
    links = FleetLinks(plane, lambda: Hello("p", "proxy", PROXY, "z", 1), PROXY, free_port())
    link = Link(Controllers(), True)
    for pulse, confirms in (
        (LinkHeartbeat(7, is_current=False, epoch=4), False),
        (LinkHeartbeat(8, is_current=True, epoch=4), False),  # we are behind
        (LinkHeartbeat(0, is_current=True, epoch=4), False),  # it knows of none yet
        (LinkHeartbeat(7, is_current=True, epoch=3), False),  # of an older epoch than was seen
        (LinkHeartbeat(7, is_current=True, epoch=4), True),
        (LinkHeartbeat(6, is_current=True, epoch=5), True),
        (LinkHeartbeat(7, is_current=True, epoch=4), False),
    ):
        links._confirmed_at -= 100
        links.link_message(link, pulse)
        assert (links.unconfirmed_s < 50) == confirms, pulse


def test_a_proxy_knows_since_when_nobody_in_contact_has_confirmed_its_revision() -> None:
    uvloop.run(confirming())


class Counted(Plane):
    """A data plane that keeps the told counts."""

    def __init__(self) -> None:
        self.told: list[int] = []

    def set_proxy_count(self, count: int) -> None:
        """Keep it."""
        self.told.append(count)


async def restarted() -> None:
    """One controller knows of 40 proxies, goes, and comes back knowing of one."""
    port, owner, plane = free_port(), Controllers(), Counted()
    server = await listen(owner, CONTROLLERS[0], port)
    links = FleetLinks(plane, lambda: Hello("p", "proxy", PROXY, "z", 1), PROXY, port)
    links.name(CONTROLLERS[:1])
    try:
        await until(owner, Hello, 1)
        owner.of(Hello)[0][0].send(Welcome("c", (), 40))
        async with asyncio.timeout(5):
            while not plane.told:
                await asyncio.sleep(0.01)
        owner.of(Hello)[0][0].close()
        await until(owner, Hello, 2)
        owner.of(Hello)[1][0].send(Welcome("c", (), 1))
        async with asyncio.timeout(5):
            while len(plane.told) < 2:
                await asyncio.sleep(0.01)
        assert plane.told == [40, 40]
    finally:
        links.stop()
        server.close()


def test_controllers_that_come_back_and_know_of_few_proxies_make_no_part_of_the_budget_larger() -> None:
    """Found by a review (BUDGET): after all controllers restarted each proxy was told that it was alone."""
    uvloop.run(restarted())


class Reset(asyncio.Transport):
    """A connection whose peer reset it before the loop came to it: it has no peer name any more."""

    aborted = False

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Nothing is known."""
        return default

    def abort(self) -> None:
        """Note it."""
        self.aborted = True


def test_a_link_that_was_reset_at_once_is_down_and_so_dialled_again() -> None:
    """Found by a review: it stood for good, unread and without a beat, and its dialer waited for its end."""
    transport, link = Reset(), Link(Controllers(), True)
    link.connection_made(transport)
    assert transport.aborted and not link.up and not link.send(LinkHeartbeat(1))
    link.connection_lost(None)


async def returned(names_it: bool) -> bool:
    """Whether a controller that was down for long is dialled when it is back; one that is linked names it or not."""
    port, owner, plane = free_port(), Controllers(), Counted()
    servers = [await listen(owner, CONTROLLERS[0], port)]
    links = FleetLinks(plane, lambda: Hello("p", "proxy", PROXY, "z", 1), PROXY, port)
    links.name(CONTROLLERS[:2])
    try:
        await until(owner, Hello, 1)
        owner.of(Hello)[0][0].send(Welcome("c", CONTROLLERS[:2] if names_it else CONTROLLERS[:1], 1))
        async with asyncio.timeout(5):
            while not plane.told:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        links.prune()
        servers.append(await listen(owner, CONTROLLERS[1], port))
        try:
            await until(owner, Hello, 2)
        except TimeoutError:
            return False
        return True
    finally:
        links.stop()
        for server in servers:
            server.close()


def test_a_controller_that_is_still_named_is_dialled_however_long_it_was_down(monkeypatch: pytest.MonkeyPatch) -> None:
    """Found by a review: names come when they change only, and one that was down for long was forgotten for good."""
    monkeypatch.setattr(fleet, "FORGET_S", 0.02)
    assert uvloop.run(returned(True))


def test_a_controller_that_nobody_names_is_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet, "FORGET_S", 0.02)
    assert not uvloop.run(returned(False))


async def untold() -> None:
    """A proxy that started again has its configuration from a neighbour, and no controller has told it anything."""
    settings = NodeSettings(
        "p", PROXY, "z", (free_port(), 65000), (f"{CONTROLLERS[0]}:8000",), bounds=Bounds(retry_slack=58)
    )
    made = edge.Edge(settings, with_neighbours=False)
    later = asyncio.get_running_loop().time() + 2 * settings.bounds.retry_window_s
    try:
        draws = made.proxy.shared.choices.draws
        assert not made.proxy.shared.budget("svc").may(later, draws.proxies)
        made.links.link_message(Link(Controllers(), True), Welcome("c", (), 4))
        assert draws.proxies == 4 and made.proxy.shared.budget("svc").may(later, draws.proxies)
    finally:
        made.links.stop()


def test_a_proxy_that_nobody_has_told_how_many_there_are_has_no_slack_to_spend() -> None:
    """Found by a review (BUDGET): it took itself to be alone."""
    uvloop.run(untold())
