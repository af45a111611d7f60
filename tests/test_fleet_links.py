"""A proxy's links to controllers over loopback sockets: acknowledgements, relaying, confirmation, redialling."""

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
from cranebank.transport.revision import Revision

PROXY, CONTROLLERS = "127.0.12.9", ("127.0.12.1", "127.0.12.2", "127.0.12.3")


class FakeDataPlane:
    """A data plane that accepts everything."""

    revision = Revision(0)

    def configure(self, document: bytes) -> bool:
        """Put it in force."""
        self.revision = Revision(int(document))
        return True

    def learn(self, backends: Iterable[Backend]) -> None:
        """Ignore the records."""

    def known(self) -> tuple[Backend, ...]:
        """Return no records."""
        return ()

    def set_proxy_count(self, count: int) -> None:
        """Ignore the count."""

    def evacuate(self, number: int, zones: Iterable[str]) -> int:
        """Accept the evacuations."""
        return number

    def clock_ms(self) -> int:
        """Request no permits."""
        return 0

    def permit(self, permits: WarmUpPermits) -> None:
        """Ignore the permits."""

    def hold_off(self, backend: str, seconds: float) -> None:
        """Ignore the hold-off."""

    def loads(self) -> tuple[StageLoad, ...]:
        """Report no load."""
        return ()


class Controllers:
    """Owner of the controllers' ends of all links."""

    def __init__(self) -> None:
        self.heard: list[tuple[Link, Message]] = []

    def link_up(self, link: Link) -> None:
        """Nothing to do."""

    def link_message(self, link: Link, message: Message) -> None:
        """Record the message."""
        self.heard.append((link, message))

    def link_down(self, link: Link) -> None:
        """Nothing to do either."""

    def of(self, kind: type[Message]) -> list[tuple[Link, Message]]:
        """Return the received messages of a kind, with their links."""
        return [(link, message) for link, message in self.heard if isinstance(message, kind)]


async def until(controllers: Controllers, kind: type[Message], count: int) -> None:
    """Wait until ``count`` messages of a kind have been received."""
    async with asyncio.timeout(5):
        while len(controllers.of(kind)) < count:
            await asyncio.sleep(0.01)


async def scene() -> None:
    """Three controllers: one pushes backends, another a configuration."""
    port, owner, plane = free_port(), Controllers(), FakeDataPlane()
    servers = [await listen(owner, ip, port) for ip in CONTROLLERS]
    links = FleetLinks(plane, lambda: Hello("p", "proxy", PROXY, "z", 1), PROXY, port)
    links.name(CONTROLLERS)
    try:
        await until(owner, Hello, 3)
        ends = [link for link, _ in owner.of(Hello)]
        ends[1].send(Push(1, ()))
        await until(owner, PushAck, 1)
        ends[0].send(ConfigPush(Revision(7), b"7"))
        await until(owner, ConfigAck, 1)
        await until(owner, LinkHeartbeat, 6)
        assert [link for link, _ in owner.of(PushAck)] == [ends[1]]
        assert owner.of(ConfigAck) == [(ends[0], ConfigAck(Revision(7)))]
        assert {link for link, message in owner.of(LinkHeartbeat) if message == LinkHeartbeat(Revision(7))} == set(ends)
    finally:
        links.stop()
        for server in servers:
            server.close()


def test_who_pushed_gets_the_acknowledgement_and_the_others_see_the_revision_in_pulses() -> None:
    """The heartbeats keep other controllers from sending the whole document again."""
    uvloop.run(scene())


async def relaying() -> None:
    """Two controllers are up and one is down; one of them sends a message to both others."""
    port, owner = free_port(), Controllers()
    servers = [await listen(owner, ip, port) for ip in CONTROLLERS[:2]]
    links = FleetLinks(FakeDataPlane(), lambda: Hello("p", "proxy", PROXY, "z", 1), PROXY, port)
    links.name(CONTROLLERS)
    sync = RegistrySync((Backend("i", "s", "10.0.0.9:80", "z", "", 1, "ready", 4),), (("i", 4, 100),))
    try:
        await until(owner, Hello, 2)
        await asyncio.sleep(2 * REDIAL_BACKOFF_S[0])  # both dialers have their links
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
    """Return the controller's address at its end of a link."""
    assert link._transport is not None
    return str(link._transport.get_extra_info("sockname")[0])


def test_a_proxy_passes_registry_news_on_from_one_controller_to_another_and_drops_what_it_cannot() -> None:
    uvloop.run(relaying())


async def confirming() -> None:
    """Check which of a controller's heartbeats confirm the revision in force."""
    plane = FakeDataPlane()
    plane.revision = Revision(7)
    links = FleetLinks(plane, lambda: Hello("p", "proxy", PROXY, "z", 1), PROXY, free_port())
    link = Link(Controllers(), True)
    for pulse, confirms in (
        (LinkHeartbeat(Revision(7), is_current=False, epoch=4), False),
        (LinkHeartbeat(Revision(8), is_current=True, epoch=4), False),  # the proxy's revision is older
        (LinkHeartbeat(Revision(0), is_current=True, epoch=4), False),  # the controller has no configuration yet
        (LinkHeartbeat(Revision(7), is_current=True, epoch=3), False),  # an older epoch than the newest received
        (LinkHeartbeat(Revision(7), is_current=True, epoch=4), True),
        (LinkHeartbeat(Revision(6), is_current=True, epoch=5), True),
        (LinkHeartbeat(Revision(7), is_current=True, epoch=4), False),
    ):
        links._confirmed_at -= 100
        links.link_message(link, pulse)
        assert (links.unconfirmed_s < 50) == confirms, pulse


def test_a_proxy_knows_since_when_nobody_in_contact_has_confirmed_its_revision() -> None:
    uvloop.run(confirming())


class CountingDataPlane(FakeDataPlane):
    """A data plane that records the numbers of proxies."""

    def __init__(self) -> None:
        self.proxy_counts: list[int] = []

    def set_proxy_count(self, count: int) -> None:
        """Record the count."""
        self.proxy_counts.append(count)


async def restarted() -> None:
    """A controller knows of 40 proxies, restarts, and then knows of one."""
    port, owner, plane = free_port(), Controllers(), CountingDataPlane()
    server = await listen(owner, CONTROLLERS[0], port)
    links = FleetLinks(plane, lambda: Hello("p", "proxy", PROXY, "z", 1), PROXY, port)
    links.name(CONTROLLERS[:1])
    try:
        await until(owner, Hello, 1)
        owner.of(Hello)[0][0].send(Welcome("c", (), 40))
        async with asyncio.timeout(5):
            while not plane.proxy_counts:
                await asyncio.sleep(0.01)
        owner.of(Hello)[0][0].close()
        await until(owner, Hello, 2)
        owner.of(Hello)[1][0].send(Welcome("c", (), 1))
        async with asyncio.timeout(5):
            while len(plane.proxy_counts) < 2:
                await asyncio.sleep(0.01)
        assert plane.proxy_counts == [40, 40]
    finally:
        links.stop()
        server.close()


def test_controllers_that_come_back_and_know_of_few_proxies_make_no_part_of_the_budget_larger() -> None:
    """Restarted controllers report too few proxies, and each proxy would spend the whole retry budget (BUDGET)."""
    uvloop.run(restarted())


class Reset(asyncio.Transport):
    """A connection that its peer reset before the event loop handled it: it has no peer name."""

    aborted = False

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return the default."""
        return default

    def abort(self) -> None:
        """Record the abort."""
        self.aborted = True


def test_a_link_that_was_reset_at_once_is_down_and_so_dialled_again() -> None:
    """Otherwise the link stays up forever without reads or heartbeats, and its dialer waits for its end."""
    transport, link = Reset(), Link(Controllers(), True)
    link.connection_made(transport)
    assert transport.aborted and not link.up and not link.send(LinkHeartbeat(Revision(1)))
    link.connection_lost(None)


async def returned(names_it: bool) -> bool:
    """Return whether a controller that was down for long is redialled; ``names_it``: a linked one still names it."""
    port, owner, plane = free_port(), Controllers(), CountingDataPlane()
    servers = [await listen(owner, CONTROLLERS[0], port)]
    links = FleetLinks(plane, lambda: Hello("p", "proxy", PROXY, "z", 1), PROXY, port)
    links.name(CONTROLLERS[:2])
    try:
        await until(owner, Hello, 1)
        owner.of(Hello)[0][0].send(Welcome("c", CONTROLLERS[:2] if names_it else CONTROLLERS[:1], 1))
        async with asyncio.timeout(5):
            while not plane.proxy_counts:
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
    """Names are sent only when they change, so a controller that was down for long could be forgotten for good."""
    monkeypatch.setattr(fleet, "UNNAMED_CONTROLLER_TTL_S", 0.02)
    assert uvloop.run(returned(True))


def test_a_controller_that_nobody_names_is_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet, "UNNAMED_CONTROLLER_TTL_S", 0.02)
    assert not uvloop.run(returned(False))


async def untold() -> None:
    """A restarted proxy has its configuration from a neighbour, but nothing from a controller yet."""
    settings = NodeSettings(
        "p", PROXY, "z", (free_port(), 65000), (f"{CONTROLLERS[0]}:8000",), bounds=Bounds(retry_slack=58)
    )
    made = edge.Edge(settings, with_neighbours=False)
    later = asyncio.get_running_loop().time() + 2 * settings.bounds.retry_window_s
    try:
        draws = made.proxy.shared.choices.draws
        assert not made.proxy.shared.budget("svc").allows(later, draws.proxies)
        made.links.link_message(Link(Controllers(), True), Welcome("c", (), 4))
        assert draws.proxies == 4 and made.proxy.shared.budget("svc").allows(later, draws.proxies)
    finally:
        made.links.stop()


def test_a_proxy_that_nobody_has_told_how_many_there_are_has_no_slack_to_spend() -> None:
    """Otherwise it assumes to be the only proxy, and spends the whole retry budget (BUDGET)."""
    uvloop.run(untold())
