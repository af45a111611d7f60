"""State of the other replicas, as they reported it: reachability, and which adds are durable on enough or on all."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cranebank.control.tallies.state import covers
from cranebank.transport.messages import TallyVector

RESEND_AFTER_S = 0.5
"""Adds that aren't confirmed within this time are sent again."""

REACHABLE_FOR_S = 0.8
"""A replica is reachable if something was received from it within this time."""

FORGET_AFTER_S = 3600.0
"""A replica that is not a member and was silent for so long is forgotten, and folds no longer wait for it."""


class DurableCopy(NamedTuple):
    """The number up to which a replica has an origin's adds on its disk, and the replica's failure domain."""

    number: int
    domain: str


def highest_confirmed(held: Iterable[DurableCopy], copies: int, domains: int) -> int:
    """Return the highest number that ``copies`` replicas in ``domains`` failure domains have on their disks."""
    seen: set[str] = set()
    for count, copy in enumerate(sorted(held, reverse=True), 1):
        seen.add(copy.domain)
        if count >= copies and len(seen) >= domains:
            return copy.number
    return 0


class SentAdds(NamedTuple):
    """The number up to which an origin's adds were sent, and since when none of them has been confirmed."""

    number: int
    since: float


class Peer:
    """Another replica, by the address of its controller. ``replica`` identifies its current life."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.replica = ""  # empty until its first vector
        self.domain = ip
        self.applied: Mapping[str, int] = {}
        self.durable: Mapping[str, int] = {}
        self._last_full_vector: tuple[Mapping[str, int], Mapping[str, int]] = ({}, {})
        """``applied`` and ``durable`` of its last vector that wasn't partial."""
        self.confirmed: Mapping[str, int] = {}
        """``durable`` of its newest full vector of which this replica holds all adds."""
        self.initial_applied: Mapping[str, int] | None = None
        """``applied`` of its first vector, until this replica holds all of these adds."""
        self.is_linked = False
        self.last_heard_at = float("-inf")
        self._sent: dict[str, SentAdds] = {}
        self.base_sent = float("-inf")

    def receive_vector(self, now: float, vector: TallyVector, own: Mapping[str, int]) -> None:
        """Process a vector of this peer; ``own`` is what this replica holds."""
        if vector.replica != self.replica:
            if vector.is_partial:
                return
            self.forget_sent()
            self.replica, self.initial_applied = vector.replica, vector.applied
        if vector.needs_resend:
            self.forget_sent()
        self._confirm_sent(now, vector.applied)
        self.domain = vector.domain
        if vector.is_partial:
            self.applied = {**self.applied, **vector.applied}
            self.durable = {**self.durable, **vector.durable}
            return
        self.applied, self.durable = vector.applied, vector.durable
        self._last_full_vector = vector.applied, vector.durable
        self.compare(own)

    def _confirm_sent(self, now: float, applied: Mapping[str, int]) -> None:
        for origin, sent in list(self._sent.items()):
            number = applied.get(origin, 0)
            if number >= sent.number:
                del self._sent[origin]
            elif number > self.applied.get(origin, 0):
                self._sent[origin] = SentAdds(sent.number, now)

    def compare(self, own: Mapping[str, int]) -> None:
        """Update ``initial_applied`` and ``confirmed`` for what this replica holds now."""
        if self.initial_applied is not None and covers(own, self.initial_applied):
            self.initial_applied = None
        applied, durable = self._last_full_vector
        if covers(own, applied):
            self.confirmed = durable

    def forget_sent(self) -> None:
        """Treat everything that was sent as lost."""
        self._sent.clear()
        self.base_sent = float("-inf")

    def expected(self, now: float) -> dict[str, int]:
        """Return what it holds or will hold once the adds sent recently arrive."""
        found = dict(self.applied)
        for origin, sent in self._sent.items():
            if now - sent.since < RESEND_AFTER_S:
                found[origin] = max(found.get(origin, 0), sent.number)
        return found

    def in_flight(self, now: float) -> int:
        """Return the number of recently sent adds that it has not confirmed."""
        held = self.applied.get
        return sum(sent.number - held(o, 0) for o, sent in self._sent.items() if now - sent.since < RESEND_AFTER_S)

    def record_sent(self, now: float, origin: str, number: int) -> None:
        """Record that adds up to this number are sent."""
        sent = self._sent.get(origin)
        since = now if sent is None or now - sent.since >= RESEND_AFTER_S else sent.since
        self._sent[origin] = SentAdds(number, since)

    def is_reachable(self, now: float) -> bool:
        """Whether something was received from it recently."""
        return now - self.last_heard_at < REACHABLE_FOR_S


class PeerTable:
    """The other replicas, by address."""

    def __init__(self) -> None:
        self._peers: dict[str, Peer] = {}

    def get_or_create(self, ip: str) -> Peer:
        """Return the replica at an address; create it if it is unknown."""
        return self._peers.setdefault(ip, Peer(ip))

    def linked(self) -> list[Peer]:
        """Return the replicas that messages can be sent to."""
        return [peer for peer in self._peers.values() if peer.is_linked]

    def reachable(self, now: float) -> list[Peer]:
        """Return the reachable replicas."""
        return [peer for peer in self._peers.values() if peer.is_reachable(now)]

    def forget_stale(self, now: float, members: Iterable[str]) -> None:
        """Forget replicas that are neither members nor linked and have been silent for long."""
        kept = set(members)
        self._peers = {
            ip: peer
            for ip, peer in self._peers.items()
            if ip in kept or peer.is_linked or now - peer.last_heard_at < FORGET_AFTER_S
        }

    def durable_on_all(self, members: Iterable[str], own: Mapping[str, int]) -> dict[str, int]:
        """Return what all members and all other known replicas have on their disks."""
        found: dict[str, int] | None = None
        for peer in [self.get_or_create(ip) for ip in members] + list(self._peers.values()):
            peer.compare(own)
            confirmed = peer.confirmed
            found = dict(confirmed) if found is None else {o: min(n, confirmed.get(o, 0)) for o, n in found.items()}
        return dict(own) if found is None else found
