"""What the other replicas hold, as they told: who is reached, what is durable on enough of them, what all have."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cranebank.control.tallies.state import covers
from cranebank.transport.messages import TallyVector

RESEND_S = 0.5
"""What was sent and isn't confirmed after so long is sent again."""

REACHED_S = 0.8
"""A replica that was heard within this time is reached."""

RETIRE_S = 3600.0
"""A replica that is no member and was not heard for so long isn't waited for."""


class Copy(NamedTuple):
    """Up to which number of an origin a replica has the adds on its disk, and its failure domain."""

    number: int
    domain: str


def confirmed_upto(held: Iterable[Copy], copies: int, domains: int) -> int:
    """The highest number that so many replicas in so many failure domains have on their disks."""
    seen: set[str] = set()
    for count, copy in enumerate(sorted(held, reverse=True), 1):
        seen.add(copy.domain)
        if count >= copies and len(seen) >= domains:
            return copy.number
    return 0


class Sent(NamedTuple):
    """Up to which number the adds of an origin were sent, and since when nothing of it has been confirmed."""

    number: int
    since: float


class Peer:
    """Another replica, by the address of its controller. A ``replica`` is one life of it."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.replica = ""  # none told yet
        self.domain = ip
        self.applied: Mapping[str, int] = {}
        self.durable: Mapping[str, int] = {}
        self._whole: tuple[Mapping[str, int], Mapping[str, int]] = ({}, {})
        """What it held and what it had on disk when it told of all origins."""
        self.confirmed: Mapping[str, int] = {}
        """What it had on disk when it held nothing that isn't held here by now."""
        self.first: Mapping[str, int] | None = None
        """What it told first, until all of that is held here."""
        self.is_linked = False
        self.heard = float("-inf")
        self._sent: dict[str, Sent] = {}
        self.base_sent = float("-inf")

    def told(self, now: float, vector: TallyVector, own: Mapping[str, int]) -> None:
        """It told what it holds; ``own`` is what is held here."""
        if vector.replica != self.replica:
            if vector.is_partial:
                return
            self.forget_sent()
            self.replica, self.first = vector.replica, vector.applied
        if vector.asks_again:
            self.forget_sent()
        self._confirm_sent(now, vector.applied)
        self.domain = vector.domain
        if vector.is_partial:
            self.applied = {**self.applied, **vector.applied}
            self.durable = {**self.durable, **vector.durable}
            return
        self.applied, self.durable = vector.applied, vector.durable
        self._whole = vector.applied, vector.durable
        self.compare(own)

    def _confirm_sent(self, now: float, told: Mapping[str, int]) -> None:
        for origin, sent in list(self._sent.items()):
            number = told.get(origin, 0)
            if number >= sent.number:
                del self._sent[origin]
            elif number > self.applied.get(origin, 0):
                self._sent[origin] = Sent(sent.number, now)

    def compare(self, own: Mapping[str, int]) -> None:
        """Take note of what is held here by now."""
        if self.first is not None and covers(own, self.first):
            self.first = None
        applied, durable = self._whole
        if covers(own, applied):
            self.confirmed = durable

    def forget_sent(self) -> None:
        """What was sent may be lost."""
        self._sent.clear()
        self.base_sent = float("-inf")

    def expected(self, now: float) -> dict[str, int]:
        """What it holds or is about to be given."""
        found = dict(self.applied)
        for origin, sent in self._sent.items():
            if now - sent.since < RESEND_S:
                found[origin] = max(found.get(origin, 0), sent.number)
        return found

    def in_flight(self, now: float) -> int:
        """How many adds were sent lately that it hasn't told to hold."""
        held = self.applied.get
        return sum(sent.number - held(o, 0) for o, sent in self._sent.items() if now - sent.since < RESEND_S)

    def sending(self, now: float, origin: str, number: int) -> None:
        """Adds up to this number are sent."""
        sent = self._sent.get(origin)
        since = now if sent is None or now - sent.since >= RESEND_S else sent.since
        self._sent[origin] = Sent(number, since)

    def is_reached(self, now: float) -> bool:
        """Whether it was heard lately."""
        return now - self.heard < REACHED_S


class PeerTable:
    """The other replicas by address."""

    def __init__(self) -> None:
        self._peers: dict[str, Peer] = {}

    def at(self, ip: str) -> Peer:
        """The replica at an address."""
        return self._peers.setdefault(ip, Peer(ip))

    def linked(self) -> list[Peer]:
        """Those that messages can be sent to."""
        return [peer for peer in self._peers.values() if peer.is_linked]

    def reached(self, now: float) -> list[Peer]:
        """Those that were heard lately."""
        return [peer for peer in self._peers.values() if peer.is_reached(now)]

    def retire(self, now: float, members: Iterable[str]) -> None:
        """Forget those that are no members and were not heard for long."""
        kept = set(members)
        self._peers = {
            ip: peer for ip, peer in self._peers.items() if ip in kept or peer.is_linked or now - peer.heard < RETIRE_S
        }

    def on_all(self, members: Iterable[str], own: Mapping[str, int]) -> dict[str, int]:
        """What all members, and all others that are known, have on their disks."""
        found: dict[str, int] | None = None
        for peer in [self.at(ip) for ip in members] + list(self._peers.values()):
            peer.compare(own)
            confirmed = peer.confirmed
            found = dict(confirmed) if found is None else {o: min(n, confirmed.get(o, 0)) for o, n in found.items()}
        return dict(own) if found is None else found
