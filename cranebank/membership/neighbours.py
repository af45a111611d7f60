"""Gossip between a proxy and its neighbours: the asyncio side of the views, the loads and the outbox.

Datagrams to the link port carry Shuffle, Gossip and PrefillBegun; connections to it are accepted for Fetch only. A
proxy may take a configuration from a neighbour, as proxies only hold committed ones and never take a lower revision.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Protocol
from zlib import crc32

from loguru import logger

from cranebank import background
from cranebank.decayed_rate import DecayedRate
from cranebank.invariants import invariant_error
from cranebank.membership.neighbour_loads import LoadSums, NeighbourLoads
from cranebank.membership.outbox import GossipOutbox
from cranebank.membership.partial_view import (
    Event,
    FetchEnded,
    FetchFrom,
    PartialView,
    ProxiesNamed,
    RevisionShown,
    SendShuffle,
    ShuffleReceived,
    Tick,
)
from cranebank.transport.frames import BadFrame, decode_datagram, encode
from cranebank.transport.links import Link, dial, listen
from cranebank.transport.messages import (
    Backend,
    CachedPrefix,
    ConfigPush,
    Evacuations,
    Fetch,
    Gossip,
    LinkHeartbeat,
    Message,
    PrefillBegun,
    Push,
    Shuffle,
)
from cranebank.transport.revision import Revision

TICK_S = 0.1
FETCH_TIMEOUT_S = 3.0
MAX_FETCH_LINKS = 8  # neighbours that may fetch from this proxy at once
MAX_DATAGRAM_BYTES = 1200
MAX_PREFILL_REPORTS_PER_S = 50.0  # reports of started prefills to other proxies
MAX_DATAGRAMS_PER_TURN = 32  # read in one turn of the event loop


class DataPlane(Protocol):
    """The data plane, as read and updated by the gossip."""

    @property
    def revision(self) -> Revision:
        """Revision of the configuration in force."""

    @property
    def document(self) -> bytes:
        """The configuration in force."""

    def configure(self, document: bytes) -> bool:
        """Apply a configuration."""

    def learn(self, backends: Iterable[Backend]) -> None:
        """Merge backend records."""

    def evacuations(self) -> tuple[int, tuple[str, ...]]:
        """Return the number of the evacuations in force (0 if there never were any) and their zones."""

    def evacuate(self, number: int, zones: Iterable[str]) -> int:
        """Stop sending to backends of these zones unless newer evacuations are known; return the number in force."""

    def known(self) -> tuple[Backend, ...]:
        """Return all backend records."""

    def records(self) -> Mapping[str, Backend]:
        """Return all backend records by id."""

    def out(self) -> Iterable[tuple[str, int, int]]:
        """Return the calls and tokens that this proxy has outstanding at each backend."""

    def set_neighbour_loads(self, sums: LoadSums) -> None:
        """Set the calls and tokens that neighbours have outstanding at these backends."""

    def record_cached_prefix(self, prefix: CachedPrefix) -> None:
        """Record that a backend has read, and caches, a shared part of a neighbour's prompt."""

    def prefill_begun(self, prefill: PrefillBegun) -> None:
        """Record that another proxy has asked a backend to read a prompt."""

    def prefill_reporters(self, proxies: int) -> None:
        """Set the number of other proxies that report the prefills that they start."""


class Neighbours:
    """One proxy's gossip with its neighbours; ``named`` returns the proxies that a controller named last."""

    def __init__(
        self, plane: DataPlane, named: Callable[[], tuple[str, ...]], ip: str, port: int, random: Random
    ) -> None:
        self._plane, self._named_proxies, self._ip, self._port = plane, named, ip, port
        self.views, self.loads, self.outbox = PartialView(ip, random), NeighbourLoads(), GossipOutbox()
        self.counters: dict[str, int] = {}
        self._last_named: tuple[str, ...] = ()
        self._digest = (b"", 0)
        self._prefill_report_rate = DecayedRate(1.0)  # per second
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._fetch: asyncio.Task[None] | None = None
        self._links: set[Link] = set()
        self._fetched = asyncio.Event()

    async def start(self) -> None:
        """Bind the port and start. If the port is taken, the proxy runs without neighbours."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind((self._ip, self._port))
        except OSError as error:
            sock.close()
            logger.warning("running without neighbours: can't bind UDP port {}: {}", self._port, error)
            return
        self._socket = sock
        asyncio.get_running_loop().add_reader(sock, self._readable)
        try:
            self._server = await listen(self, self._ip, self._port)
        except OSError as error:  # another process of this machine has the port: neighbours can't fetch from this proxy
            logger.warning("not serving fetches: can't listen on TCP port {}: {}", self._port, error)
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._on_timer)

    def stop(self) -> None:
        """Stop gossiping and close all sockets."""
        if self._timer is not None:
            self._timer.cancel()
        if self._fetch is not None:
            self._fetch.cancel()
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.close()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    def read(self, backend: str, part: str, tokens: int) -> None:
        """Queue the report that a backend has read a prompt of this proxy up to and including this shared part."""
        self.outbox.add_prefix(CachedPrefix(backend, part, tokens))

    def changes(self, records: Iterable[Backend]) -> None:
        """Queue changed phases of records that were received and are not merged yet."""
        self.outbox.changes(records, self._plane.records())

    def prefill_begun(self, prefill: PrefillBegun) -> None:
        """Report a started prefill to the named proxies and the neighbours at once: backends' queues change quickly."""
        now = asyncio.get_running_loop().time()
        if self._prefill_report_rate.at(now) >= MAX_PREFILL_REPORTS_PER_S:
            self._count("readings_untold")
            return
        self._prefill_report_rate.add(now)
        frame = encode(prefill)
        for ip in {*self._last_named, *self.views.neighbours} - {self._ip}:
            self._send(ip, frame)

    # Sending.

    def _on_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(TICK_S, self._on_timer)
        self.tick(loop.time())

    def tick(self, now: float) -> None:
        """Send the shuffles and the gossip that are due, and expire old loads."""
        named = self._named_proxies()
        if named != self._last_named:
            self._last_named = named
            self._handle(now, ProxiesNamed(named))
            self._plane.prefill_reporters(len({*named} - {self._ip}))
        self._handle(now, Tick(self._plane.revision))
        self._plane.set_neighbour_loads(self.loads.expire(now))
        gossip = self.outbox.next(now, self._plane.revision, self.digest, self._plane.out())
        if gossip is not None:
            frame = encode(gossip)
            for ip in self.views.neighbours:
                self._send(ip, frame)

    @property
    def digest(self) -> int:
        """CRC-32 of the configuration in force."""
        document = self._plane.document
        if document is not self._digest[0]:
            self._digest = (document, crc32(document))
        return self._digest[1]

    def _handle(self, now: float, event: Event) -> None:
        for action in self.views.handle(now, event):
            match action:
                case SendShuffle(ip, view, is_reply, exchange):
                    self._send(ip, encode(Shuffle(view, self._plane.revision, self.digest, is_reply, exchange)))
                case FetchFrom(ip):
                    self._fetch = background.start(self._fetch_from(ip))

    def _send(self, ip: str, frame: bytes) -> None:
        if len(frame) > MAX_DATAGRAM_BYTES:
            raise invariant_error("a datagram fits into one packet", f"{len(frame)} bytes")
        if self._socket is None:
            return
        try:
            self._socket.sendto(frame, (ip, self._port))
        except OSError:  # buffer full or no route: the next datagram makes up for it
            self._count("unsent")
        else:
            self._count("sent")

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1

    # Receiving.

    def _readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            if self._socket is None:
                return
            try:
                data, (ip, port) = self._socket.recvfrom(2048)
            except OSError:  # includes BlockingIOError: nothing more to read
                return
            if port == self._port:
                self.datagram(asyncio.get_running_loop().time(), ip, data)
            else:
                self._count("damaged")

    def datagram(self, now: float, ip: str, data: bytes) -> None:
        """Process a received datagram; a damaged one is dropped and counted."""
        try:
            message = decode_datagram(data)
        except BadFrame:
            self._count("damaged")
            return
        match message:
            case Shuffle(view, revision, digest, is_reply, exchange):
                self._on_revision(now, ip, revision, digest)
                self._handle(now, ShuffleReceived(ip, view, is_reply, exchange))
            case Gossip(number, revision, digest, loads, cached_prefixes, changed_backends):
                self._on_revision(now, ip, revision, digest)
                self._plane.set_neighbour_loads(self.loads.merge(now, ip, number, loads))
                for prefix in cached_prefixes:
                    self._plane.record_cached_prefix(prefix)
                if changed_backends:
                    self._learn(changed_backends)
            case PrefillBegun():
                self._plane.prefill_begun(message)
            case _:
                self._count("damaged")
                return
        self._count("heard")

    def _learn(self, records: Iterable[Backend]) -> None:
        """Merge a neighbour's records, except known backends it holds for lost: our controllers may receive them."""
        known = self._plane.records()
        self._plane.learn([record for record in records if record.phase != "lost" or record.id not in known])

    def _on_revision(self, now: float, ip: str, revision: int, digest: int) -> None:
        if revision and revision == self._plane.revision and digest != self.digest:
            self._count("digests_differ")
            if self.counters["digests_differ"] == 1:
                logger.error("neighbour {} has a different configuration of the same revision {}", ip, revision)
        self._handle(now, RevisionShown(ip, revision))

    # Fetching.

    async def _fetch_from(self, ip: str) -> None:
        loop = asyncio.get_running_loop()
        self._fetched.clear()
        link: Link | None = None
        try:
            link = await dial(self, self._ip, ip, self._port)
            link.send(Fetch(self._plane.revision))
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                await self._fetched.wait()
            self._count("fetched")
        except OSError as error:  # TimeoutError is one
            self._count("not_fetched")
            logger.info("fetching the configuration from neighbour {} failed: {!r}", ip, error)
        finally:
            if link is not None:
                link.close()
        self._handle(loop.time(), FetchEnded())

    def link_up(self, link: Link) -> None:
        """Register a link of an incoming or outgoing fetch; too many incoming ones are refused."""
        self._links.add(link)
        link.make_heartbeat = lambda: LinkHeartbeat(self._plane.revision)
        if not link.dialled and len(self._links) > MAX_FETCH_LINKS:
            link.close()

    def link_message(self, link: Link, message: Message) -> None:
        """Answer a Fetch with the evacuated zones, the configuration if newer, and the backends; or take an answer."""
        match message:
            case Fetch(revision) if not link.dialled:
                number, zones = self._plane.evacuations()
                if number:  # ahead of all that lets the fetching proxy send calls
                    link.send(Evacuations(number, zones))
                if self._plane.revision > revision:
                    link.send(ConfigPush(self._plane.revision, self._plane.document))
                link.send(Push(0, self._plane.known()))
            case Evacuations(number, zones) if link.dialled:
                self._plane.evacuate(number, zones)
            case ConfigPush(_, document) if link.dialled:
                self._plane.configure(document)
            case Push(_, backends) if link.dialled:
                self._learn(backends)
                self._fetched.set()
            case LinkHeartbeat():
                pass
            case _:
                logger.warning("link to {}: unexpected message for a neighbour: {}", link.peer, type(message).__name__)
                link.close()

    def link_down(self, link: Link) -> None:
        """Forget the link."""
        self._links.discard(link)
