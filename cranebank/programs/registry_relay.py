"""Registry news between controllers that have no connection to each other, by way of proxies.

Each proxy holds a connection to every controller that it reaches, so proxies can pass on what a partition keeps apart.
A message goes by a few of them: by the one that brought something from the destination last, which is connected to
both, and by others drawn by lot. Nothing is acknowledged; the next message makes up for a loss.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

import msgspec

from cranebank.control.delivery import Delivery
from cranebank.transport.frames import encode
from cranebank.transport.links import Link
from cranebank.transport.messages import RegistrySync, RelayTo

RELAY_FANOUT = 3  # proxies that each message goes by
RELAYED_CONTACT_TIMEOUT_S = 2.5  # a controller counts as heard for so long: two messages may be lost
ROUTE_RETENTION_S = 20.0  # by which proxy a controller was heard last


class _Arrival(NamedTuple):
    at: float
    link: Link


class RegistryRelay:
    """What has come from which controller by way of which proxy, and the sending of messages the same way."""

    def __init__(self, delivery: Delivery, random: Random) -> None:
        self._delivery, self._random = delivery, random
        self._arrivals: dict[str, _Arrival] = {}  # the last one from each controller

    def received(self, now: float, source: str, link: Link) -> None:
        """Something came from a controller by way of the proxy on this link."""
        self._arrivals[source] = _Arrival(now, link)
        self._arrivals = {ip: one for ip, one in self._arrivals.items() if now - one.at <= ROUTE_RETENTION_S}

    @property
    def remembered(self) -> int:
        """Controllers of which it is known by which proxy they were heard."""
        return len(self._arrivals)

    def is_heard(self, now: float, ip: str) -> bool:
        """Whether something came from this controller lately."""
        arrival = self._arrivals.get(ip)
        return arrival is not None and now - arrival.at <= RELAYED_CONTACT_TIMEOUT_S

    def send(self, destination: str, sync: RegistrySync) -> None:
        """Send this to a controller, without its number, which is for a connection."""
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
