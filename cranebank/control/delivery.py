"""Delivery of backends, configurations and evacuations to linked proxies, with their acknowledgements: free of I/O.

Backends are sent in numbered pushes; the first push of a link contains all known backends. A configuration is sent to
every peer that shows an older revision: by the primary at once, by other controllers only if the peer still shows an
older one after a delay, and only while the revision is known to have been the newest within a lease's length
(docs/control.md, "A controller that is cut off"). No revision older than the last published one is ever published.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from random import Random

from bitarray import bitarray

from cranebank.transport.messages import Backend, ConfigPush, Evacuations, Message, Push, Welcome
from cranebank.transport.revision import NO_REVISION, Revision

BACKUP_PUSH_DELAY_S = 0.3  # how long controllers other than the primary wait for the effect of its push
CONTROLLER_PUSH_DELAY_S = 0.5  # how long a controller may take to learn of a configuration by consensus
WELCOME_INTERVAL_S = 0.5  # how long changes are collected for one round of Welcome messages
MAX_NEIGHBOURS = 64  # proxies named in a Welcome
MAX_PENDING = 1024  # awaited changes of one kind; waits for older ones end by their timeout


class PendingAcks:
    """An awaited change: the slots of the proxies that have not acknowledged it yet."""

    def __init__(self, needs: dict[int, int], slots: int) -> None:
        self._needs = needs
        self._missing = bitarray(slots)
        self._missing.setall(False)
        for slot in needs:
            self._missing[slot] = True
        self.on_done: Callable[[], None] | None = None

    @property
    def done(self) -> bool:
        """Whether no acknowledgement is missing."""
        return not self._missing.any()

    @property
    def missing(self) -> int:
        """Number of missing acknowledgements."""
        return self._missing.count()

    def acknowledge(self, slot: int, number: int) -> None:
        """Record that this slot has acknowledged everything up to ``number``."""
        if slot < len(self._missing) and self._missing[slot] and number >= self._needs[slot]:
            self._drop(slot)

    def disconnect(self, slot: int) -> None:
        """Stop waiting for this slot, as its link has closed."""
        if slot < len(self._missing) and self._missing[slot]:
            self._drop(slot)

    def _drop(self, slot: int) -> None:
        self._missing[slot] = False
        if self.done and self.on_done is not None:
            self.on_done()


class Peer:
    """A linked process: a proxy, or another controller (``slot`` -1), which gets configurations only."""

    def __init__(self, name: str, ip: str, slot: int, revision: int, due: float) -> None:
        self.name, self.ip, self.slot, self.revision = name, ip, slot, revision
        self.due = due  # time from which controllers other than the primary may send it a configuration
        self.number = self.acknowledged = 0
        self.sent = 0  # revision sent on this link
        self.evacuation_number = 0  # number of the evacuations that it has acknowledged


class Delivery:
    """State of all links. Messages to send are collected and returned by ``pop_messages``."""

    def __init__(self, name: str, random: Random, is_current: Callable[[float, int], bool]) -> None:
        """Create the state; ``is_current(now, revision)`` returns whether a revision is known to be the newest."""
        self._name, self._random = name, random
        self._is_current = is_current
        self.peers: dict[Hashable, Peer] = {}
        self._slots = 0
        self._free: list[int] = []
        self._backend_acks: list[PendingAcks] = []
        self._revision_acks: list[PendingAcks] = []
        self._evacuation_acks: list[PendingAcks] = []
        self.evacuations = Evacuations(0, ())  # the newest known; number 0 before the first evacuation
        self._out: list[tuple[Hashable, Message]] = []
        self._controllers: tuple[str, ...] = ()
        self._stale_welcome = False
        self._stale_since: float | None = None
        self.revision, self.document = NO_REVISION, b""
        self._config_push: ConfigPush | None = None
        self.is_primary = False

    def pop_messages(self) -> list[tuple[Hashable, Message]]:
        """Return the messages to send, in order."""
        out, self._out = self._out, []
        return out

    @property
    def proxies(self) -> set[str]:
        """IPs of the linked proxies."""
        return {peer.ip for peer in self.peers.values() if peer.slot >= 0}

    def join(
        self, now: float, link: Hashable, name: str, ip: str, is_proxy: bool, revision: int, records: Iterable[Backend]
    ) -> Hashable | None:
        """Add the link of a process that sent Hello; return an older link of that process, which it replaces."""
        older = next(
            (key for key, peer in self.peers.items() if peer.ip == ip and (peer.slot >= 0) == is_proxy and key != link),
            None,
        )
        if older is not None:
            self.leave(older)
        self.leave(link)
        slot = -1
        if is_proxy:
            slot = self._free.pop() if self._free else self._slots
            self._slots = max(self._slots, slot + 1)
        # A proxy without any configuration gets one at once.
        wait = 0.0 if is_proxy and not revision else BACKUP_PUSH_DELAY_S if is_proxy else CONTROLLER_PUSH_DELAY_S
        peer = self.peers[link] = Peer(name, ip, slot, revision, now + wait)
        if is_proxy:
            self._stale_welcome = True
            self._welcome(link, peer, sorted(self.proxies))
            if self.evacuations.number:  # ahead of the backends, so that it never sends to an evacuated zone
                self._out.append((link, self.evacuations))
            self._push(link, peer, tuple(records))
        self._configure(now, link, peer)
        return older

    def leave(self, link: Hashable) -> None:
        """Remove a closed link."""
        peer = self.peers.pop(link, None)
        if peer is None or peer.slot < 0:
            return
        for acks in (*self._backend_acks, *self._revision_acks, *self._evacuation_acks):
            acks.disconnect(peer.slot)
        self._sweep()
        self._free.append(peer.slot)
        self._stale_welcome = True

    def push_backends(self, records: tuple[Backend, ...]) -> PendingAcks:
        """Push changed backends to every proxy; return the pending acknowledgements."""
        needs: dict[int, int] = {}
        for link, peer in self.peers.items():
            if peer.slot >= 0:
                needs[peer.slot] = self._push(link, peer, records)
        return self._await(self._backend_acks, needs)

    def send_to_proxies(self, message: Message) -> None:
        """Send a message to every linked proxy, without acknowledgement."""
        self._out += [(link, message) for link, peer in self.peers.items() if peer.slot >= 0]

    def send_to_proxy(self, link: Hashable, message: Message) -> None:
        """Send a message to one proxy, after earlier pushes and without acknowledgement."""
        peer = self.peers.get(link)
        if peer is not None and peer.slot >= 0:
            self._out.append((link, message))

    def acknowledged(self, link: Hashable, number: int) -> None:
        """Record that all pushes on this link up to ``number`` are in force at the proxy."""
        peer = self.peers.get(link)
        if peer is None or number <= peer.acknowledged:
            return
        peer.acknowledged = min(number, peer.number)
        for acks in self._backend_acks:
            acks.acknowledge(peer.slot, number)
        self._sweep()

    def committed(self, now: float, revision: Revision, document: bytes) -> bool:
        """Publish a committed configuration; return whether it is newer than the last published one."""
        if revision <= self.revision:
            return False
        before, self.revision, self.document = self.revision, revision, document
        for link, peer in self.peers.items():
            if max(peer.revision, peer.sent) >= before:  # else its delay runs already and isn't extended
                peer.due = max(peer.due, now + (BACKUP_PUSH_DELAY_S if peer.slot >= 0 else CONTROLLER_PUSH_DELAY_S))
            self._configure(now, link, peer)
        return True

    def observe_revision(self, link: Hashable, revision: int) -> None:
        """Record that a peer's LinkHeartbeat or ConfigAck shows this revision in force."""
        peer = self.peers.get(link)
        if peer is None or revision <= peer.revision:
            return
        peer.revision = revision
        if peer.slot >= 0:
            for acks in self._revision_acks:
                acks.acknowledge(peer.slot, revision)
            self._sweep()

    def await_revision(self, revision: int) -> PendingAcks:
        """Return the pending acknowledgements of this revision by all linked proxies."""
        return self._await(
            self._revision_acks,
            {peer.slot: revision for peer in self.peers.values() if peer.slot >= 0 and peer.revision < revision},
        )

    def update_evacuations(self, number: int, zones: tuple[str, ...]) -> None:
        """Set the newest chosen evacuations; send them to every linked proxy if they are newer than the last ones."""
        if number > self.evacuations.number:
            self.evacuations = Evacuations(number, zones)
            self.send_to_proxies(self.evacuations)

    def acknowledged_evacuations(self, link: Hashable, number: int) -> None:
        """Record that the evacuations up to this number are in force at the peer on this link."""
        peer = self.peers.get(link)
        if peer is None or number <= peer.evacuation_number:
            return
        peer.evacuation_number = number
        for acks in self._evacuation_acks:
            acks.acknowledge(peer.slot, number)
        self._sweep()

    def await_evacuations(self) -> PendingAcks:
        """Return the pending acknowledgements of the newest evacuations by all linked proxies."""
        number = self.evacuations.number
        return self._await(
            self._evacuation_acks,
            {peer.slot: number for peer in self.peers.values() if peer.slot >= 0 and peer.evacuation_number < number},
        )

    def update_controllers(self, ips: Iterable[str]) -> None:
        """Set the IPs of all known controllers."""
        controllers = tuple(sorted(ips))
        if controllers != self._controllers:
            self._controllers, self._stale_welcome = controllers, True

    def set_primary(self, now: float, is_primary: bool) -> None:
        """Set whether this controller is the primary."""
        self.is_primary = is_primary
        self.tick(now)

    def tick(self, now: float) -> None:
        """Send configurations that are due, and a round of Welcome messages if something changed."""
        for link, peer in self.peers.items():
            self._configure(now, link, peer)
        if self._stale_welcome and self._stale_since is None:
            self._stale_since = now
        if self._stale_since is not None and now - self._stale_since >= WELCOME_INTERVAL_S:
            self._stale_welcome, self._stale_since = False, None
            proxies = sorted(self.proxies)
            for link, peer in self.peers.items():
                if peer.slot >= 0:
                    self._welcome(link, peer, proxies)

    def _await(self, pending: list[PendingAcks], needs: dict[int, int]) -> PendingAcks:
        acks = PendingAcks(needs, self._slots)
        if not acks.done:
            pending.append(acks)
            del pending[:-MAX_PENDING]
        return acks

    def _sweep(self) -> None:
        self._backend_acks = [acks for acks in self._backend_acks if not acks.done]
        self._revision_acks = [acks for acks in self._revision_acks if not acks.done]
        self._evacuation_acks = [acks for acks in self._evacuation_acks if not acks.done]

    def _push(self, link: Hashable, peer: Peer, records: tuple[Backend, ...]) -> int:
        peer.number += 1
        self._out.append((link, Push(peer.number, records)))
        return peer.number

    def _welcome(self, link: Hashable, peer: Peer, proxies: list[str]) -> None:
        drawn = self._random.sample(proxies, min(MAX_NEIGHBOURS + 1, len(proxies)))  # one more: it may be the peer
        others = [ip for ip in drawn if ip != peer.ip][:MAX_NEIGHBOURS]
        self._out.append((link, Welcome(self._name, self._controllers, len(proxies), tuple(others))))

    def _configure(self, now: float, link: Hashable, peer: Peer) -> None:
        """Send the newest configuration to a peer if it is due. The only place where configurations are sent."""
        if max(peer.revision, peer.sent) >= self.revision:
            return
        if not self._is_current(now, self.revision):
            return
        if now >= peer.due or (self.is_primary and peer.slot >= 0):
            peer.sent = self.revision
            if self._config_push is None or self._config_push.revision != self.revision:
                self._config_push = ConfigPush(self.revision, self.document)
            self._out.append((link, self._config_push))  # the same object for all links, so that it is encoded once
