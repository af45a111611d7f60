"""What a proxy tells its neighbours, gathered into datagrams of bounded size and pace: no clock, no sockets."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from cranebank.membership.backends import newer
from cranebank.transport.messages import Backend, CachedPrefix, Gossip, Load

LOADS_S = 0.2  # between two tellings of loads while there are any
IDLE_S = 1.0  # between two tellings of nothing
ROOM = 1100  # bytes of all items in one datagram: with the header and the numbers it stays under 1,200
NOTE_BYTES = 40
NOTES = 2  # a datagram; ten datagrams a second
NEWS_BYTES = 300
NEWS = 3  # a datagram
HELD = 20  # notes that wait
HELD_NEWS = 64

_encoder = msgspec.msgpack.Encoder()


class GossipOutbox:
    """Notes and news that wait, and the loads told last. ``next`` is to be called each 0.1 s."""

    def __init__(self) -> None:
        self._notes: dict[tuple[str, str], CachedPrefix] = {}
        self._news: dict[str, Backend] = {}
        self._told: dict[str, tuple[int, int]] = {}  # loads, as told last
        self._loads_at = self._any_at = float("-inf")
        self._number = 0
        self._turn = 0
        self.left_out = 0  # too long, or too many to be told

    def note(self, note: CachedPrefix) -> None:
        """A backend has read a shared part."""
        if len(_encoder.encode(note)) > NOTE_BYTES:
            self.left_out += 1
            return
        self._notes[note.backend, note.part] = note
        if len(self._notes) > HELD:
            del self._notes[next(iter(self._notes))]
            self.left_out += 1

    def changes(self, records: Iterable[Backend], known: Mapping[str, Backend]) -> None:
        """Records that came, before they are merged: whatever changes a phase is told on, once. A loss is not: it is
        what a controller does not hear, and the neighbour's controllers may hear it."""
        for record in records:
            old = known.get(record.id)
            if old is None or record.phase in {old.phase, "lost"} or not newer(old, record):
                continue
            if len(_encoder.encode(record)) > NEWS_BYTES:
                self.left_out += 1
                continue
            self._news.pop(record.id, None)
            self._news[record.id] = record
            if len(self._news) > HELD_NEWS:
                del self._news[next(iter(self._news))]
                self.left_out += 1

    def next(self, now: float, revision: int, digest: int, out: Iterable[tuple[str, int, int]]) -> Gossip | None:
        """The datagram that is due, if any; ``out``: what this proxy has out at each backend: calls and tokens."""
        news = [self._news.pop(key) for key in list(self._news)[:NEWS]]
        notes = [self._notes.pop(key) for key in list(self._notes)[:NOTES]]
        room = ROOM - sum(len(_encoder.encode(item)) for item in (*news, *notes))
        loads: list[Load] = []
        if now - self._loads_at >= LOADS_S - 0.01:
            loads = self._loads(out, room)
            self._loads_at = now
        if not (news or notes or loads) and now - self._any_at < IDLE_S - 0.01:
            return None
        self._any_at = now
        self._number += 1
        return Gossip(self._number, revision, digest, tuple(loads), tuple(notes), tuple(news))

    def _loads(self, out: Iterable[tuple[str, int, int]], room: int) -> list[Load]:
        """What is not zero or no more what was told: changes first, the rest in turn where there is no room for all."""
        current = {backend: (calls, tokens) for backend, calls, tokens in out if calls or tokens}
        changed = [
            Load(backend, *current.get(backend, (0, 0)))
            for backend in {**self._told, **current}
            if current.get(backend) != self._told.get(backend)
        ]
        same = [Load(backend, *figures) for backend, figures in current.items() if self._told.get(backend) == figures]
        if same:
            turn = self._turn % len(same)
            same = same[turn:] + same[:turn]
        loads: list[Load] = []
        for load in (*changed, *same):
            room -= len(_encoder.encode(load))
            if room < 0:
                break
            loads.append(load)
            if load.calls or load.tokens:
                self._told[load.backend] = (load.calls, load.tokens)
            else:
                self._told.pop(load.backend, None)
        self._turn += max(0, len(loads) - len(changed))
        return loads
