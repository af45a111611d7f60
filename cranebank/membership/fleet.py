"""A proxy's links to all controllers: discovered from the seeds, kept open, and feeding the data plane."""

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
from cranebank.transport.revision import Revision

UNNAMED_CONTROLLER_TTL_S = 20.0  # an unreachable controller that no other names is no longer dialled after this


class DataPlane(Protocol):
    """The data plane, as driven by the control plane."""

    @property
    def revision(self) -> Revision:
        """Revision of the configuration in force."""

    def configure(self, document: bytes) -> bool:
        """Apply a configuration."""

    def learn(self, backends: Iterable[Backend]) -> None:
        """Merge backend records."""

    def known(self) -> tuple[Backend, ...]:
        """Return all backend records."""

    def set_proxy_count(self, count: int) -> None:
        """Set the number of proxies in the fleet."""

    def evacuate(self, number: int, zones: Iterable[str]) -> int:
        """Stop sending to backends of these zones unless newer evacuations are known; return the number in force."""

    def hold_off(self, backend: str, seconds: float) -> None:
        """Send nothing to this backend for so long: it is about to change its stage."""

    def permit(self, permits: WarmUpPermits) -> None:
        """Accept leased permits to send to a cold backend."""

    def clock_ms(self) -> int:
        """Return the steady clock that permits refer to; 0: no permits are needed."""

    def loads(self) -> tuple[StageLoad, ...]:
        """Return the load that this proxy offers to the stages of each service."""


class FleetLinks:
    """Links to controllers: one Dialer for each controller that is a seed or is named by another controller."""

    def __init__(self, plane: DataPlane, hello: Callable[[], Hello], ip: str, port: int) -> None:
        self._plane, self._hello, self._ip, self._port = plane, hello, ip, port
        self._dialers: dict[str, Dialer] = {}
        self._last_named_at: dict[str, float] = {}  # by IP of the controller
        self._controllers_by_link: dict[Link, tuple[str, ...]] = {}  # from the last Welcome
        self._proxy_count = 1  # the highest count received: a restarted controller knows of few proxies
        self.heard_at = 0.0
        self.epoch = 0  # the highest received from a controller
        self._confirmed_at = asyncio.get_running_loop().time()
        self._proxies_by_link: dict[Link, tuple[str, ...]] = {}  # from the last Welcome
        self.neighbours: tuple[str, ...] = ()
        self.relayed = 0  # messages relayed between controllers

    def name(self, ips: Iterable[str]) -> None:
        """Keep links to these controllers, and note that they were named now."""
        now = asyncio.get_running_loop().time()
        for ip in ips:
            self._last_named_at[ip] = now
            if ip not in self._dialers:
                self._dialers[ip] = Dialer(self, self._ip, ip, self._port)

    def prune(self) -> None:
        """Stop dialling controllers that are down and have not been named for a while."""
        now = asyncio.get_running_loop().time()
        if not self.up:
            return  # without any link, keep all controllers
        for controllers in self._controllers_by_link.values():  # sent only when they change, so refresh them here
            self.name(controllers)
        for ip, dialer in list(self._dialers.items()):
            if dialer.link is None and now - self._last_named_at[ip] > UNNAMED_CONTROLLER_TTL_S:
                dialer.stop()
                del self._dialers[ip], self._last_named_at[ip]

    @property
    def up(self) -> int:
        """Number of links that are up."""
        return sum(dialer.link is not None and dialer.link.up for dialer in self._dialers.values())

    @property
    def unconfirmed_s(self) -> float:
        """Seconds since a controller in contact with a majority confirmed that the revision in force here is the
        newest: an upper bound on how outdated this proxy's configuration is."""
        return asyncio.get_running_loop().time() - self._confirmed_at

    def _on_controller_heartbeat(self, revision: int, is_current: bool, epoch: int) -> None:
        """Count our revision as confirmed if the controller knows its own to be the newest, and its epoch isn't old."""
        if not is_current or epoch < self.epoch:
            return
        self.epoch = epoch
        if 0 < revision <= self._plane.revision:
            self._confirmed_at = asyncio.get_running_loop().time()

    def stop(self) -> None:
        """Close all links and stop dialling."""
        for dialer in self._dialers.values():
            dialer.stop()

    # Callbacks of links.

    def link_up(self, link: Link) -> None:
        """Send Hello, which carries all that this proxy knows."""
        link.make_heartbeat = lambda: LinkHeartbeat(
            self._plane.revision, loads=self._plane.loads(), clock_ms=self._plane.clock_ms()
        )
        link.send(self._hello())

    def link_message(self, link: Link, message: Message) -> None:
        """Apply a controller's message to the data plane, and acknowledge it."""
        self.heard_at = asyncio.get_running_loop().time()
        match message:
            case Push(number, backends):
                self._plane.learn(backends)
                link.send(PushAck(number))
            case ConfigPush(_, document):
                if self._plane.configure(document):
                    link.send(ConfigAck(self._plane.revision))
            case Welcome(_, controllers, proxies, neighbours):
                self._proxies_by_link[link] = neighbours
                self._update_neighbours()
                self._proxy_count = max(self._proxy_count, proxies)
                self._plane.set_proxy_count(self._proxy_count)
                self._controllers_by_link[link] = controllers
                self.name(controllers)
            case LinkHeartbeat(revision, is_current, epoch):
                self._on_controller_heartbeat(revision, is_current, epoch)
            case Evacuations(number, zones):
                link.send(EvacuationsAck(self._plane.evacuate(number, zones)))
            case HoldOff(backend, seconds):
                self._plane.hold_off(backend, seconds)
            case WarmUpPermits():
                self._plane.permit(message)
            case RelayTo(destination, sync):
                self._relay(link.peer, destination, sync)
            case _:
                logger.warning("link to {}: unexpected message for a proxy: {}", link.peer, type(message).__name__)

    def _relay(self, source: str, destination: str, sync: RegistrySync) -> None:
        """Relay a message between controllers. Without a link to its destination it is dropped: senders try others."""
        dialer = self._dialers.get(destination)
        if dialer is not None and dialer.link is not None and dialer.link.send(Relayed(source, sync)):
            self.relayed += 1

    def link_down(self, link: Link) -> None:
        """Forget what the controller named; its dialer redials."""
        self._controllers_by_link.pop(link, None)
        if self._proxies_by_link.pop(link, None) is not None:
            self._update_neighbours()

    def _update_neighbours(self) -> None:
        """Use the longest list of proxies named by a controller: a restarted one knows few. Without links, keep it."""
        if self._proxies_by_link:
            self.neighbours = max(self._proxies_by_link.values(), key=len)
