"""What each linked proxy was told and has acknowledged: the core, free of I/O.

Backends go out in numbered pushes, the first of a link with everything that is known. Configurations go to whoever
shows an older revision: at once from the primary, from other controllers only to those that still show an older one a
little later, and only while it is known to have been the newest within a lease's length (docs/control.md, "A controller
that is cut off"). Nothing older than what was published before is published again.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from random import Random

from bitarray import bitarray

from cranebank.transport.messages import Backend, ConfigPush, Evacuations, Message, Push, Welcome

BACKUP_PUSH_DELAY_S = 0.3  # how long others than the primary wait for its push to show
CONTROLLER_PUSH_DELAY_S = 0.5  # how long a controller has to learn of a configuration through the custody
WELCOME_S = 0.5  # how long changes are gathered for one round of Welcome
NEIGHBOURS = 64  # proxies that a Welcome names
MOST_PENDING = 1024  # changes of one kind that are awaited; whoever waits for an older one waits out its time


class PendingAcks:
    """A change that is awaited: the slots of those that have not acknowledged it yet."""

    def __init__(self, needs: dict[int, int], slots: int) -> None:
        self._needs = needs
        self._missing = bitarray(slots)
        self._missing.setall(False)
        for slot in needs:
            self._missing[slot] = True
        self.on_done: Callable[[], None] | None = None

    @property
    def done(self) -> bool:
        """Whether nobody is missing."""
        return not self._missing.any()

    @property
    def missing(self) -> int:
        """How many are missing."""
        return self._missing.count()

    def acknowledge(self, slot: int, number: int) -> None:
        """This slot has acknowledged everything up to ``number``."""
        if slot < len(self._missing) and self._missing[slot] and number >= self._needs[slot]:
            self._drop(slot)

    def disconnect(self, slot: int) -> None:
        """This slot's link is over: it isn't waited for."""
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
        self.due = due  # when others than the primary may send it a configuration
        self.number = self.acknowledged = 0
        self.sent = 0  # revision sent on this link
        self.evacuation_number = 0  # of the evacuated zones that it has acknowledged


class Delivery:
    """All links' state. Messages to send are collected; ``pop_messages`` returns them."""

    def __init__(self, name: str, random: Random, is_current: Callable[[float, int], bool]) -> None:
        """``is_current`` tells whether a revision is known at a time to be the newest, by contact with a majority."""
        self._name, self._random = name, random
        self._is_current = is_current
        self.peers: dict[Hashable, Peer] = {}
        self._slots = 0
        self._free: list[int] = []
        self._backend_acks: list[PendingAcks] = []
        self._revision_acks: list[PendingAcks] = []
        self._evacuation_acks: list[PendingAcks] = []
        self.evacuations = Evacuations(0, ())  # the newest that are known here; 0: none were ever
        self._out: list[tuple[Hashable, Message]] = []
        self._controllers: tuple[str, ...] = ()
        self._stale_welcome = False
        self._stale_since: float | None = None
        self.revision, self.document = 0, b""
        self._config_push: ConfigPush | None = None
        self.is_primary = False

    def pop_messages(self) -> list[tuple[Hashable, Message]]:
        """The messages to send, in order."""
        out, self._out = self._out, []
        return out

    @property
    def proxies(self) -> set[str]:
        """IPs of the proxies that are linked."""
        return {peer.ip for peer in self.peers.values() if peer.slot >= 0}

    def join(
        self, now: float, link: Hashable, name: str, ip: str, is_proxy: bool, revision: int, records: Iterable[Backend]
    ) -> Hashable | None:
        """A process said Hello on this link. Returns an older link of the same process, which is over for us."""
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
        wait = (
            0.0 if is_proxy and not revision else BACKUP_PUSH_DELAY_S if is_proxy else CONTROLLER_PUSH_DELAY_S
        )  # who has none waits for it
        peer = self.peers[link] = Peer(name, ip, slot, revision, now + wait)
        if is_proxy:
            self._stale_welcome = True
            self._welcome(link, peer, sorted(self.proxies))
            if self.evacuations.number:  # ahead of the backends: it sends to nobody there in between
                self._out.append((link, self.evacuations))
            self._push(link, peer, tuple(records))
        self._configure(now, link, peer)
        return older

    def leave(self, link: Hashable) -> None:
        """The link is over."""
        peer = self.peers.pop(link, None)
        if peer is None or peer.slot < 0:
            return
        for acks in (*self._backend_acks, *self._revision_acks, *self._evacuation_acks):
            acks.disconnect(peer.slot)
        self._sweep()
        self._free.append(peer.slot)
        self._stale_welcome = True

    def push_backends(self, records: tuple[Backend, ...]) -> PendingAcks:
        """Push changed backends to every proxy; their acknowledgements."""
        needs: dict[int, int] = {}
        for link, peer in self.peers.items():
            if peer.slot >= 0:
                needs[peer.slot] = self._push(link, peer, records)
        return self._await(self._backend_acks, needs)

    def send_to_proxies(self, message: Message) -> None:
        """Send to every proxy that is linked; nothing is acknowledged."""
        self._out += [(link, message) for link, peer in self.peers.items() if peer.slot >= 0]

    def tell(self, link: Hashable, message: Message) -> None:
        """Send to one proxy, behind what was pushed to it before; nothing is acknowledged."""
        peer = self.peers.get(link)
        if peer is not None and peer.slot >= 0:
            self._out.append((link, message))

    def acknowledged(self, link: Hashable, number: int) -> None:
        """All pushes on this link up to ``number`` bind there."""
        peer = self.peers.get(link)
        if peer is None or number <= peer.acknowledged:
            return
        peer.acknowledged = min(number, peer.number)
        for acks in self._backend_acks:
            acks.acknowledge(peer.slot, number)
        self._sweep()

    def committed(self, now: float, revision: int, document: bytes) -> bool:
        """A configuration was committed; whether it is newer than the one published so far."""
        if revision <= self.revision:
            return False
        before, self.revision, self.document = self.revision, revision, document
        for link, peer in self.peers.items():
            if max(peer.revision, peer.sent) >= before:  # else its wait has begun: changes in a row don't lengthen it
                peer.due = max(peer.due, now + (BACKUP_PUSH_DELAY_S if peer.slot >= 0 else CONTROLLER_PUSH_DELAY_S))
            self._configure(now, link, peer)
        return True

    def observe_revision(self, link: Hashable, revision: int) -> None:
        """A peer's Pulse or ConfigAck shows this revision in force."""
        peer = self.peers.get(link)
        if peer is None or revision <= peer.revision:
            return
        peer.revision = revision
        if peer.slot >= 0:
            for acks in self._revision_acks:
                acks.acknowledge(peer.slot, revision)
            self._sweep()

    def await_revision(self, revision: int) -> PendingAcks:
        """Acknowledgements of all linked proxies' having this revision in force."""
        return self._await(
            self._revision_acks,
            {peer.slot: revision for peer in self.peers.values() if peer.slot >= 0 and peer.revision < revision},
        )

    def update_evacuations(self, number: int, zones: tuple[str, ...]) -> None:
        """The newest evacuations known to be chosen; every linked proxy is told when they are news."""
        if number > self.evacuations.number:
            self.evacuations = Evacuations(number, zones)
            self.send_to_proxies(self.evacuations)

    def acknowledged_evacuations(self, link: Hashable, number: int) -> None:
        """The evacuations of this number, or of a later one, bind at the end of this link."""
        peer = self.peers.get(link)
        if peer is None or number <= peer.evacuation_number:
            return
        peer.evacuation_number = number
        for acks in self._evacuation_acks:
            acks.acknowledge(peer.slot, number)
        self._sweep()

    def await_evacuations(self) -> PendingAcks:
        """All linked proxies' acknowledgements of the newest evacuations known here."""
        number = self.evacuations.number
        return self._await(
            self._evacuation_acks,
            {peer.slot: number for peer in self.peers.values() if peer.slot >= 0 and peer.evacuation_number < number},
        )

    def update_controllers(self, ips: Iterable[str]) -> None:
        """The controllers' IPs, all that are known."""
        controllers = tuple(sorted(ips))
        if controllers != self._controllers:
            self._controllers, self._stale_welcome = controllers, True

    def set_primary(self, now: float, is_primary: bool) -> None:
        """Whether this controller is the primary."""
        self.is_primary = is_primary
        self.tick(now)

    def tick(self, now: float) -> None:
        """Time passes."""
        for link, peer in self.peers.items():
            self._configure(now, link, peer)
        if self._stale_welcome and self._stale_since is None:
            self._stale_since = now
        if self._stale_since is not None and now - self._stale_since >= WELCOME_S:
            self._stale_welcome, self._stale_since = False, None
            proxies = sorted(self.proxies)
            for link, peer in self.peers.items():
                if peer.slot >= 0:
                    self._welcome(link, peer, proxies)

    def _await(self, pending: list[PendingAcks], needs: dict[int, int]) -> PendingAcks:
        acks = PendingAcks(needs, self._slots)
        if not acks.done:
            pending.append(acks)
            del pending[:-MOST_PENDING]
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
        drawn = self._random.sample(proxies, min(NEIGHBOURS + 1, len(proxies)))  # one to spare: it may be itself
        others = [ip for ip in drawn if ip != peer.ip][:NEIGHBOURS]
        self._out.append((link, Welcome(self._name, self._controllers, len(proxies), tuple(others))))

    def _configure(self, now: float, link: Hashable, peer: Peer) -> None:
        """The one place where configurations are published."""
        if max(peer.revision, peer.sent) >= self.revision:
            return
        if not self._is_current(now, self.revision):
            return
        if now >= peer.due or (self.is_primary and peer.slot >= 0):
            peer.sent = self.revision
            if self._config_push is None or self._config_push.revision != self.revision:
                self._config_push = ConfigPush(self.revision, self.document)
            self._out.append((link, self._config_push))  # one object for all links, so that it is encoded once
