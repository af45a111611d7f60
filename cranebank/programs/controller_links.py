"""A controller's connections to the other controllers, and the sending of pending messages.

One connection to each other controller is used at a time: the one dialled by this controller if it is up, else the
accepted one. Messages on one connection keep their order. Messages in transit on a connection that breaks are lost, and
``remove`` reports the loss.
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
        """The controllers that have dialled this one."""
        return set(self._accepted)

    def add(self, link: Link) -> None:
        """Add a connection to a controller that has come up."""
        (self._dialled if link.dialled else self._accepted)[link.peer] = link

    def remove(self, link: Link) -> bool:
        """Remove a connection that is down; return whether it was registered here as a connection to a controller."""
        for links in (self._dialled, self._accepted):
            if links.get(link.peer) is link:
                del links[link.peer]
                return True
        return False

    def to(self, ip: str) -> Link | None:
        """Return the connection to use for this controller, or None if none is up."""
        for links in (self._dialled, self._accepted):
            link = links.get(ip)
            if link is not None and link.up:
                return link
        return None

    def unreached(self) -> list[str]:
        """Return the known controllers to which no connection is up."""
        return [ip for ip in self._dialers if self.to(ip) is None]

    def broadcast(self, message: Message) -> None:
        """Send to every linked controller."""
        for ip in {*self._dialled, *self._accepted}:
            link = self.to(ip)
            if link is not None:
                link.send(message)

    def dial(self, owner: Owner, known: set[str]) -> None:
        """Dial all known controllers except this one, and stop dialling all others."""
        for ip in known - self._dialers.keys() - {self._ip}:
            self._dialers[ip] = Dialer(owner, self._ip, ip, self._port)
        for ip in self._dialers.keys() - known:
            self._dialers.pop(ip).stop()

    def stop(self) -> None:
        """Close all connections and stop dialling."""
        for dialer in self._dialers.values():
            dialer.stop()
        for link in {*self._dialled.values(), *self._accepted.values()}:
            link.close()


def send_deliveries(delivery: Delivery) -> None:
    """Send the messages that the delivery core has queued; a message to many links is encoded once."""
    last_message, frame = None, b""
    records, encoded = None, msgspec.Raw()
    for link, message in delivery.pop_messages():
        assert isinstance(link, Link)
        if isinstance(message, Push):
            if message.backends is not records:
                records, encoded = message.backends, encode_items(message.backends)
            link.send_frame(encode(EncodedPush(message.number, encoded)))
            continue
        if message is not last_message:
            last_message, frame = message, encode(message)
        link.send_frame(frame)
