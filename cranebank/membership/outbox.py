"""Batches what a proxy gossips to its neighbours into datagrams of bounded size and rate. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from cranebank.membership.backends import newer
from cranebank.transport.messages import Backend, CachedPrefix, Gossip, Load
from cranebank.transport.revision import Revision

LOADS_INTERVAL_S = 0.2  # between datagrams with loads, while there are any
IDLE_INTERVAL_S = 1.0  # between datagrams without any items
MAX_ITEMS_BYTES = 1100  # of one datagram: with the header and the numbers it stays under 1,200 bytes
MAX_PREFIX_BYTES = 40
PREFIXES_PER_DATAGRAM = 2  # at ten datagrams a second
MAX_RECORD_BYTES = 300
RECORDS_PER_DATAGRAM = 3
MAX_QUEUED_PREFIXES = 20
MAX_QUEUED_RECORDS = 64

_encoder = msgspec.msgpack.Encoder()


class GossipOutbox:
    """Queued prefixes and changed backends, and the loads sent last. ``next`` is to be called every 0.1 s."""

    def __init__(self) -> None:
        self._cached_prefixes: dict[tuple[str, str], CachedPrefix] = {}
        self._changed_backends: dict[str, Backend] = {}
        self._last_sent: dict[str, tuple[int, int]] = {}  # loads: calls and tokens by backend
        self._loads_sent_at = self._sent_at = float("-inf")
        self._number = 0
        self._rotation = 0
        self.left_out = 0  # items dropped because they were too large or too many

    def add_prefix(self, prefix: CachedPrefix) -> None:
        """Queue a shared part that a backend has read."""
        if len(_encoder.encode(prefix)) > MAX_PREFIX_BYTES:
            self.left_out += 1
            return
        self._cached_prefixes[prefix.backend, prefix.part] = prefix
        if len(self._cached_prefixes) > MAX_QUEUED_PREFIXES:
            del self._cached_prefixes[next(iter(self._cached_prefixes))]
            self.left_out += 1

    def changes(self, records: Iterable[Backend], known: Mapping[str, Backend]) -> None:
        """Queue the received records that will change a phase when merged; each is forwarded once. A loss isn't: it
        only means that a controller gets no heartbeats, and the neighbour's controllers may get them."""
        for record in records:
            old = known.get(record.id)
            if old is None or record.phase in {old.phase, "lost"} or not newer(old, record):
                continue
            if len(_encoder.encode(record)) > MAX_RECORD_BYTES:
                self.left_out += 1
                continue
            self._changed_backends.pop(record.id, None)
            self._changed_backends[record.id] = record
            if len(self._changed_backends) > MAX_QUEUED_RECORDS:
                del self._changed_backends[next(iter(self._changed_backends))]
                self.left_out += 1

    def next(self, now: float, revision: Revision, digest: int, out: Iterable[tuple[str, int, int]]) -> Gossip | None:
        """Return the datagram that is due, if any. ``out``: calls and tokens outstanding at each backend."""
        changed_backends = [
            self._changed_backends.pop(key) for key in list(self._changed_backends)[:RECORDS_PER_DATAGRAM]
        ]
        cached_prefixes = [
            self._cached_prefixes.pop(key) for key in list(self._cached_prefixes)[:PREFIXES_PER_DATAGRAM]
        ]
        bytes_left = MAX_ITEMS_BYTES - sum(len(_encoder.encode(item)) for item in (*changed_backends, *cached_prefixes))
        loads: list[Load] = []
        if now - self._loads_sent_at >= LOADS_INTERVAL_S - 0.01:
            loads = self._loads(out, bytes_left)
            self._loads_sent_at = now
        if not (changed_backends or cached_prefixes or loads) and now - self._sent_at < IDLE_INTERVAL_S - 0.01:
            return None
        self._sent_at = now
        self._number += 1
        return Gossip(self._number, revision, digest, tuple(loads), tuple(cached_prefixes), tuple(changed_backends))

    def _loads(self, out: Iterable[tuple[str, int, int]], bytes_left: int) -> list[Load]:
        """Return non-zero loads, and those that became zero: changed ones first, then the others in rotation."""
        current = {backend: (calls, tokens) for backend, calls, tokens in out if calls or tokens}
        changed = [
            Load(backend, *current.get(backend, (0, 0)))
            for backend in {**self._last_sent, **current}
            if current.get(backend) != self._last_sent.get(backend)
        ]
        unchanged = [
            Load(backend, *counts) for backend, counts in current.items() if self._last_sent.get(backend) == counts
        ]
        if unchanged:
            start = self._rotation % len(unchanged)
            unchanged = unchanged[start:] + unchanged[:start]
        loads: list[Load] = []
        for load in (*changed, *unchanged):
            bytes_left -= len(_encoder.encode(load))
            if bytes_left < 0:
                break
            loads.append(load)
            if load.calls or load.tokens:
                self._last_sent[load.backend] = (load.calls, load.tokens)
            else:
                self._last_sent.pop(load.backend, None)
        self._rotation += max(0, len(loads) - len(changed))
        return loads
