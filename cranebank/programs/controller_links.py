"""A controller's connections to the other controllers, and the sending of what is to go out.

Of each other controller one connection is used at a time: the one dialled here where it is up, else the accepted one.
Messages on one connection keep their order; what was under way on a connection that broke is lost, and its loss is
reported by ``remove``.
"""

from __future__ import annotations

import msgspec

from cranebank.control.delivery import Delivery
from cranebank.programs.settings import NodeSettings
from cranebank.transport.frames import encode, encode_items
from cranebank.transport.links import Dialer, Link, Owner
from cranebank.transport.messages import EncodedPush, Message, Push


class ControllerLinks:
    """Connections to controllers by IP, dialled and accepted, and one Dialer for each known controller."""

    def __init__(self, settings: NodeSettings) -> None:
        self._ip, self._port = settings.ip, settings.link_port
        self._dialers: dict[str, Dialer] = {}
        self._dialled: dict[str, Link] = {}
        self._accepted: dict[str, Link] = {}

    @property
    def accepted_ips(self) -> set[str]:
        """Controllers that have dialled this one."""
        return set(self._accepted)

    def add(self, link: Link) -> None:
        """A connection to a controller stands."""
        (self._dialled if link.dialled else self._accepted)[link.peer] = link

    def remove(self, link: Link) -> bool:
        """A connection is over; whether it was one to a controller that was in use."""
        for links in (self._dialled, self._accepted):
            if links.get(link.peer) is link:
                del links[link.peer]
                return True
        return False

    def to(self, ip: str) -> Link | None:
        """The connection to use to this controller, if one is up."""
        for links in (self._dialled, self._accepted):
            link = links.get(ip)
            if link is not None and link.up:
                return link
        return None

    def unreached(self) -> list[str]:
        """The known controllers to which no connection is up."""
        return [ip for ip in self._dialers if self.to(ip) is None]

    def broadcast(self, message: Message) -> None:
        """Send to every controller that is linked."""
        for ip in {*self._dialled, *self._accepted}:
            link = self.to(ip)
            if link is not None:
                link.send(message)

    def dial(self, owner: Owner, known: set[str]) -> None:
        """Dial all known controllers but this one, and no others."""
        for ip in known - self._dialers.keys() - {self._ip}:
            self._dialers[ip] = Dialer(owner, self._ip, ip, self._port)
        for ip in self._dialers.keys() - known:
            self._dialers.pop(ip).stop()

    def stop(self) -> None:
        """End all connections, and dial no more."""
        for dialer in self._dialers.values():
            dialer.stop()
        for link in {*self._dialled.values(), *self._accepted.values()}:
            link.close()


def send_deliveries(delivery: Delivery) -> None:
    """Send what the delivery core has collected; what goes to many links is encoded once."""
    same, frame = None, b""
    records, encoded = None, msgspec.Raw()
    for link, message in delivery.pop_messages():
        assert isinstance(link, Link)
        if isinstance(message, Push):
            if message.backends is not records:
                records, encoded = message.backends, encode_items(message.backends)
            link.send_frame(encode(EncodedPush(message.number, encoded)))
            continue
        if message is not same:
            same, frame = message, encode(message)
        link.send_frame(frame)
