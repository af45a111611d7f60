"""A proxy's links to all controllers: found from the seeds, held, and fed into the data plane."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

from loguru import logger

from cranebank.transport.links import Dialer, Link
from cranebank.transport.messages import (
    Backend,
    ConfigAck,
    ConfigPush,
    Evacuations,
    EvacuationsAck,
    Hello,
    HoldOff,
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

FORGET_S = 20.0  # a controller that nobody names and that does not answer is dialled no more


class Plane(Protocol):
    """What a proxy's data plane takes from the control plane."""

    @property
    def revision(self) -> int:
        """Of the configuration in force."""

    def configure(self, document: bytes) -> bool:
        """Take a configuration."""

    def learn(self, backends: Iterable[Backend]) -> None:
        """Take records of backends."""

    def known(self) -> tuple[Backend, ...]:
        """All records."""

    def set_proxy_count(self, count: int) -> None:
        """The told number of proxies."""

    def evacuate(self, number: int, zones: Iterable[str]) -> int:
        """Send nothing more to backends of these zones, unless newer evacuations are known; the number in force."""

    def hold_off(self, backend: str, seconds: float) -> None:
        """This backend is about to change its stage: nothing is sent there for so long."""

    def permit(self, permits: WarmUpPermits) -> None:
        """A controller leases permits to send to a cold backend."""

    def clock_ms(self) -> int:
        """Its steady clock, to which permits are bound; 0: it wants none."""

    def loads(self) -> tuple[StageLoad, ...]:
        """What this proxy asks of the stages of each service."""


class FleetLinks:
    """Links to controllers; one Dialer for each that is named by a seed or by another controller."""

    def __init__(self, plane: Plane, hello: Callable[[], Hello], ip: str, port: int) -> None:
        self._plane, self._hello, self._ip, self._port = plane, hello, ip, port
        self._dialers: dict[str, Dialer] = {}
        self._named: dict[str, float] = {}  # when a controller was named last
        self._lists: dict[Link, tuple[str, ...]] = {}  # whom the controllers that are linked name now
        self._proxies = 1  # the highest told count: a controller that has just come back knows of few
        self.heard_at = 0.0
        self.epoch = 0  # the highest that a controller showed
        self._confirmed_at = asyncio.get_running_loop().time()
        self._proxies_named: dict[Link, tuple[str, ...]] = {}  # by each controller that is linked, in its last Welcome
        self.neighbours: tuple[str, ...] = ()
        self.relayed = 0  # messages passed on from one controller to another

    def name(self, ips: Iterable[str]) -> None:
        """These are controllers, as far as somebody knows."""
        now = asyncio.get_running_loop().time()
        for ip in ips:
            self._named[ip] = now
            if ip not in self._dialers:
                self._dialers[ip] = Dialer(self, self._ip, ip, self._port)

    def prune(self) -> None:
        """Drop controllers that nobody names any more and that are down."""
        now = asyncio.get_running_loop().time()
        if not self.up:
            return  # who hears nothing forgets nothing
        for controllers in self._lists.values():  # told when they change only
            self.name(controllers)
        for ip, dialer in list(self._dialers.items()):
            if dialer.link is None and now - self._named[ip] > FORGET_S:
                dialer.stop()
                del self._dialers[ip], self._named[ip]

    @property
    def up(self) -> int:
        """Links that stand."""
        return sum(dialer.link is not None and dialer.link.up for dialer in self._dialers.values())

    @property
    def unconfirmed_s(self) -> float:
        """For how long no controller in contact with a majority has shown that the revision here is the newest: an
        upper bound of the age of what this proxy serves by."""
        return asyncio.get_running_loop().time() - self._confirmed_at

    def _hear_controller(self, revision: int, is_current: bool, epoch: int) -> None:
        """A controller that knows its revision to be the newest, and no older epoch than was seen, confirms ours."""
        if not is_current or epoch < self.epoch:
            return
        self.epoch = epoch
        if 0 < revision <= self._plane.revision:
            self._confirmed_at = asyncio.get_running_loop().time()

    def stop(self) -> None:
        """End all links."""
        for dialer in self._dialers.values():
            dialer.stop()

    # What links tell.

    def link_up(self, link: Link) -> None:
        """A controller answers: say who we are and all that we know."""
        link.make_heartbeat = lambda: LinkHeartbeat(
            self._plane.revision, loads=self._plane.loads(), clock_ms=self._plane.clock_ms()
        )
        link.send(self._hello())

    def link_message(self, link: Link, message: Message) -> None:
        """A controller said something."""
        self.heard_at = asyncio.get_running_loop().time()
        match message:
            case Push(number, backends):
                self._plane.learn(backends)
                link.send(PushAck(number))
            case ConfigPush(_, document):
                if self._plane.configure(document):
                    link.send(ConfigAck(self._plane.revision))
            case Welcome(_, controllers, proxies, neighbours):
                self._proxies_named[link] = neighbours
                self._name_neighbours()
                self._proxies = max(self._proxies, proxies)
                self._plane.set_proxy_count(self._proxies)
                self._lists[link] = controllers
                self.name(controllers)
            case LinkHeartbeat(revision, is_current, epoch):
                self._hear_controller(revision, is_current, epoch)
            case Evacuations(number, zones):
                link.send(EvacuationsAck(self._plane.evacuate(number, zones)))
            case HoldOff(backend, seconds):
                self._plane.hold_off(backend, seconds)
            case WarmUpPermits():
                self._plane.permit(message)
            case RelayTo(destination, sync):
                self._relay(link.peer, destination, sync)
            case _:
                logger.warning("from {}: {} is not for a proxy", link.peer, type(message).__name__)

    def _relay(self, source: str, destination: str, sync: RegistrySync) -> None:
        """Pass on what one controller has for another. Without a link there it is dropped: the sender tries others."""
        dialer = self._dialers.get(destination)
        if dialer is not None and dialer.link is not None and dialer.link.send(Relayed(source, sync)):
            self.relayed += 1

    def link_down(self, link: Link) -> None:
        """A link ended; its dialer goes on."""
        self._lists.pop(link, None)
        if self._proxies_named.pop(link, None) is not None:
            self._name_neighbours()

    def _name_neighbours(self) -> None:
        """Whom the controller names that knows most: one that has just come back knows few. Without a link all stay."""
        if self._proxies_named:
            self.neighbours = max(self._proxies_named.values(), key=len)
