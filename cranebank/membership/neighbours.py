"""A proxy's exchange with its neighbours: thin asyncio end of the views, the loads and the outbox.

Datagrams on the port for links carry Shuffle and Gossip; a connection there is taken for Fetch alone. Only committed
configurations are ever held by proxies and a proxy never takes a lower revision, so it may take one from a neighbour.
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
    Heard,
    PartialView,
    SendShuffle,
    Shown,
    Tick,
    Welcomed,
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

TICK_S = 0.1
FETCH_S = 3.0  # a fetch that takes longer is given up
LINKS = 8  # neighbours that fetch from us at once
LARGEST = 1200  # bytes of a datagram
READINGS_MOST = 50.0  # of the readings that this proxy begins in a second are told of
AT_ONCE = 32  # datagrams that are read in one turn


class Surroundings(Protocol):
    """What the exchange takes from the data plane and brings to it."""

    @property
    def revision(self) -> int:
        """Of the configuration in force."""

    @property
    def document(self) -> bytes:
        """The configuration in force."""

    def configure(self, document: bytes) -> bool:
        """Take a configuration."""

    def learn(self, backends: Iterable[Backend]) -> None:
        """Take records of backends."""

    def evacuations(self) -> tuple[int, tuple[str, ...]]:
        """The number of the evacuations in force, 0 where none were ever, and their zones."""

    def evacuate(self, number: int, zones: Iterable[str]) -> int:
        """Send nothing more to backends of these zones, unless newer evacuations are known; the number in force."""

    def known(self) -> tuple[Backend, ...]:
        """All records."""

    def records(self) -> Mapping[str, Backend]:
        """All records by id."""

    def out(self) -> Iterable[tuple[str, int, int]]:
        """Calls and tokens that this proxy has out at each backend."""

    def set_neighbour_loads(self, sums: LoadSums) -> None:
        """Calls and tokens that neighbours have out at these backends."""

    def record_cached_prefix(self, note: CachedPrefix) -> None:
        """A neighbour had a backend read a shared part."""

    def reading_begun(self, told: PrefillBegun) -> None:
        """Another proxy has asked a backend to read a prompt."""

    def prefill_reporters(self, proxies: int) -> None:
        """So many other proxies tell of the readings that they begin."""


class Neighbours:
    """One proxy's neighbours; ``named`` gives those that a controller named last."""

    def __init__(
        self, plane: Surroundings, named: Callable[[], tuple[str, ...]], ip: str, port: int, random: Random
    ) -> None:
        self._plane, self._named, self._ip, self._port = plane, named, ip, port
        self.views, self.loads, self.outbox = PartialView(ip, random), NeighbourLoads(), GossipOutbox()
        self.counters: dict[str, int] = {}
        self._welcomed: tuple[str, ...] = ()
        self._digest = (b"", 0)
        self._readings = DecayedRate(1.0)  # told in a second
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._fetch: asyncio.Task[None] | None = None
        self._links: set[Link] = set()
        self._fetched = asyncio.Event()

    async def start(self) -> None:
        """Take the port and begin. Without the port this proxy goes on alone."""
        found = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        found.setblocking(False)
        try:
            found.bind((self._ip, self._port))
        except OSError as error:
            found.close()
            logger.warning("no neighbours: port {}: {}", self._port, error)
            return
        self._socket = found
        asyncio.get_running_loop().add_reader(found, self._readable)
        try:
            self._server = await listen(self, self._ip, self._port)
        except OSError as error:  # another process of this machine has it: nobody can fetch from us
            logger.warning("no fetches: port {}: {}", self._port, error)
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._beat)

    def stop(self) -> None:
        """End it."""
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
        """A backend has read a prompt up to and with this shared part for us."""
        self.outbox.note(CachedPrefix(backend, part, tokens))

    def changes(self, records: Iterable[Backend]) -> None:
        """Records came that are not merged yet."""
        self.outbox.changes(records, self._plane.records())

    def reading_begun(self, told: PrefillBegun) -> None:
        """Tell every proxy that a controller named, and the neighbours: at once, since a queue is soon another."""
        now = asyncio.get_running_loop().time()
        if self._readings.at(now) >= READINGS_MOST:
            self._count("readings_untold")
            return
        self._readings.add(now)
        frame = encode(told)
        for ip in {*self._welcomed, *self.views.neighbours} - {self._ip}:
            self._send(ip, frame)

    # Out.

    def _beat(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(TICK_S, self._beat)
        self.tick(loop.time())

    def tick(self, now: float) -> None:
        """Do what is due."""
        named = self._named()
        if named != self._welcomed:
            self._welcomed = named
            self._do(now, Welcomed(named))
            self._plane.prefill_reporters(len({*named} - {self._ip}))
        self._do(now, Tick(self._plane.revision))
        self._plane.set_neighbour_loads(self.loads.expire(now))
        gossip = self.outbox.next(now, self._plane.revision, self.digest, self._plane.out())
        if gossip is not None:
            frame = encode(gossip)
            for ip in self.views.neighbours:
                self._send(ip, frame)

    @property
    def digest(self) -> int:
        """Of the configuration in force."""
        document = self._plane.document
        if document is not self._digest[0]:
            self._digest = (document, crc32(document))
        return self._digest[1]

    def _do(self, now: float, event: Event) -> None:
        for action in self.views.handle(now, event):
            match action:
                case SendShuffle(ip, view, is_reply, exchange):
                    self._send(ip, encode(Shuffle(view, self._plane.revision, self.digest, is_reply, exchange)))
                case FetchFrom(ip):
                    self._fetch = background.start(self._fetch_from(ip))

    def _send(self, ip: str, frame: bytes) -> None:
        if len(frame) > LARGEST:
            raise invariant_error("a datagram fits into one packet", f"{len(frame)} bytes")
        if self._socket is None:
            return
        try:
            self._socket.sendto(frame, (ip, self._port))
        except OSError:  # a full buffer, or no way there: the next one mends it
            self._count("unsent")
        else:
            self._count("sent")

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1

    # In.

    def _readable(self) -> None:
        for _ in range(AT_ONCE):
            if self._socket is None:
                return
            try:
                data, (ip, port) = self._socket.recvfrom(2048)
            except OSError:  # nothing more, BlockingIOError, is one
                return
            if port == self._port:
                self.datagram(asyncio.get_running_loop().time(), ip, data)
            else:
                self._count("damaged")

    def datagram(self, now: float, ip: str, data: bytes) -> None:
        """A datagram came; a damaged one is dropped and counted."""
        try:
            message = decode_datagram(data)
        except BadFrame:
            self._count("damaged")
            return
        match message:
            case Shuffle(view, revision, digest, is_reply, exchange):
                self._shown(now, ip, revision, digest)
                self._do(now, Heard(ip, view, is_reply, exchange))
            case Gossip(number, revision, digest, loads, notes, news):
                self._shown(now, ip, revision, digest)
                self._plane.set_neighbour_loads(self.loads.merge(now, ip, number, loads))
                for note in notes:
                    self._plane.record_cached_prefix(note)
                if news:
                    self._learn(news)
            case PrefillBegun():
                self._plane.reading_begun(message)
            case _:
                self._count("damaged")
                return
        self._count("heard")

    def _learn(self, records: Iterable[Backend]) -> None:
        """Take a neighbour's records. What it holds for lost may be heard by controllers of ours."""
        known = self._plane.records()
        self._plane.learn([record for record in records if record.phase != "lost" or record.id not in known])

    def _shown(self, now: float, ip: str, revision: int, digest: int) -> None:
        if revision and revision == self._plane.revision and digest != self.digest:
            self._count("digests_differ")
            if self.counters["digests_differ"] == 1:
                logger.error("{} has another configuration of revision {}", ip, revision)
        self._do(now, Shown(ip, revision))

    # Fetching.

    async def _fetch_from(self, ip: str) -> None:
        loop = asyncio.get_running_loop()
        self._fetched.clear()
        link: Link | None = None
        try:
            link = await dial(self, self._ip, ip, self._port)
            link.send(Fetch(self._plane.revision))
            async with asyncio.timeout(FETCH_S):
                await self._fetched.wait()
            self._count("fetched")
        except OSError as error:  # TimeoutError is one
            self._count("not_fetched")
            logger.info("configuration of {}: {!r}", ip, error)
        finally:
            if link is not None:
                link.close()
        self._do(loop.time(), FetchEnded())

    def link_up(self, link: Link) -> None:
        """A neighbour fetches, or we do."""
        self._links.add(link)
        link.make_heartbeat = lambda: LinkHeartbeat(self._plane.revision)
        if not link.dialled and len(self._links) > LINKS:
            link.close()

    def link_message(self, link: Link, message: Message) -> None:
        """Fetch, or its answer: evacuated zones, the configuration if ours is newer, then the backends."""
        match message:
            case Fetch(revision) if not link.dialled:
                number, zones = self._plane.evacuations()
                if number:  # ahead of all that lets the asker send
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
                logger.warning("from {}: {} is not for a neighbour", link.peer, type(message).__name__)
                link.close()

    def link_down(self, link: Link) -> None:
        """It is over."""
        self._links.discard(link)
