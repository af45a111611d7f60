"""Relays registry changes by way of proxies between controllers that have no connection to each other.

Each proxy is connected to every controller that it reaches, so proxies can bridge a partition between controllers. A
message goes through a few proxies: the one that last delivered a message from the destination, which is connected to
both, and others chosen at random. Messages are not acknowledged; the next message makes up for a lost one.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

import msgspec

from cranebank.control.delivery import Delivery
from cranebank.transport.frames import encode
from cranebank.transport.links import Link
from cranebank.transport.messages import RegistrySync, RelayTo

RELAY_FANOUT = 3  # proxies that each message is sent through
RELAYED_CONTACT_TIMEOUT_S = 2.5  # a relayed message counts as contact for so long: two messages may be lost
ROUTE_RETENTION_S = 20.0  # for how long the proxy that relayed a controller's last message is remembered


class _Arrival(NamedTuple):
    at: float
    link: Link


class RegistryRelay:
    """Records which proxy relayed each controller's last message, and sends messages the same way."""

    def __init__(self, delivery: Delivery, random: Random) -> None:
        self._delivery, self._random = delivery, random
        self._arrivals: dict[str, _Arrival] = {}  # the last relayed message of each controller

    def received(self, now: float, source: str, link: Link) -> None:
        """Record a message from ``source`` that the proxy on this link has relayed."""
        self._arrivals[source] = _Arrival(now, link)
        self._arrivals = {ip: one for ip, one in self._arrivals.items() if now - one.at <= ROUTE_RETENTION_S}

    @property
    def remembered(self) -> int:
        """The number of controllers for which the last relaying proxy is known."""
        return len(self._arrivals)

    def is_heard(self, now: float, ip: str) -> bool:
        """Whether a relayed message from this controller has arrived recently."""
        arrival = self._arrivals.get(ip)
        return arrival is not None and now - arrival.at <= RELAYED_CONTACT_TIMEOUT_S

    def send(self, destination: str, sync: RegistrySync) -> None:
        """Send this to a controller, without its sequence number, which belongs to a connection."""
        frame = encode(RelayTo(destination, msgspec.structs.replace(sync, number=0)))
        for link in self._proxies_towards(destination):
            link.send_frame(frame)

    def _proxies_towards(self, destination: str) -> list[Link]:
        links = [link for link, peer in self._delivery.peers.items() if peer.slot >= 0 and isinstance(link, Link)]
        drawn = self._random.sample(links, min(RELAY_FANOUT, len(links)))
        arrival = self._arrivals.get(destination)
        if arrival is None or not arrival.link.up or arrival.link in drawn:
            return drawn
        return [arrival.link, *drawn[1:]]
