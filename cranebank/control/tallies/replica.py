"""One replica of the tallies: adds and what other replicas say go in, messages and writes come out.

An add is owed to its caller once ``acknowledged_upto`` reaches its number: then it is on the disks of as many replicas,
in as many failure domains, as may be lost and one more, or of all that are reached where those are fewer. Without a cut
it so outlives what the deployment has to bear; replicas that meet again send each other what the other lacks.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping

import msgspec

from cranebank.control.tallies.peers import Copy, Peer, PeerTable, confirmed_upto
from cranebank.control.tallies.segments import Segments
from cranebank.control.tallies.state import covers
from cranebank.invariants import invariant_error
from cranebank.transport.messages import TallyAdd, TallyAdds, TallyBase, TallyVector

CHUNK = 500
"""Adds in a message, at most."""

WINDOW = 4 * CHUNK
"""Adds that are sent ahead of their confirmation, at most."""

VECTOR_S = 0.5
"""Between two vectors to each linked replica, while anything changes."""

IDLE_VECTOR_S = 2.0
"""The same, while nothing changes."""

MOST_ADDS = 150_000
MOST_BYTES = 10 << 20
"""Of held adds, as `state.ADD_OVERHEAD_BYTES` counts them: the file is at most five times as large."""

MOST_TALLIES = 10_000
START_WAIT_S = 1.5
"""After a start no total is told until all others have told theirs, or so long."""

EMPTY_START_WAIT_S = 5.0
"""The same, where the disk was lost."""

JOIN_S = 1.0
"""After a start, or after this process stood still, how long the known replicas count as reached."""

STOOD_STILL_S = 0.3
"""From one tick to the next: after more, others only seem silent."""

RETAIN_S = 600.0
"""How long an id is held at least after it has come: the same call counts again only later than this."""

FOLD_S = 30.0

Message = TallyAdds | TallyVector | TallyBase


class TallyReplicaSettings(msgspec.Struct, frozen=True):
    """Where a replica stands, and what has to be borne at once."""

    replica: str  # drawn at each start: adds that a loss of power took are never mistaken for later ones
    domain: str
    copies: int = 1
    domains: int = 1
    is_first_start: bool = True


class Placed(msgspec.Struct, frozen=True):
    """The add that counts for a call."""

    origin: str
    number: int


class LimitReached(msgspec.Struct, frozen=True):
    """A bound is reached; nothing was done."""

    bound: str
    most: int


class TallyStats(msgspec.Struct, frozen=True):
    """The state, for people and metrics."""

    held: int
    folded: int
    tallies: int
    origins: int
    lag: Mapping[str, int]  # adds held here that a linked replica doesn't have on its disk


class TallyReplica:
    """One replica. ``pop_messages`` and ``take_writes`` tell what is to be done after each call."""

    def __init__(self, settings: TallyReplicaSettings, stored: Mapping[str, bytes], now: float) -> None:
        self._settings = settings
        self._segments = Segments()
        self._state = self._segments.restore(stored)
        self._durable = self._state.applied
        self._writing: tuple[dict[str, bytes], dict[str, int], set[str]] | None = None
        self._peers = PeerTable()
        self._members: Collection[str] = ()
        self._known: Collection[str] | None = None  # not told yet
        self._messages: list[tuple[str, Message]] = []
        self._ack_owed: set[str] = set()
        self._looked_at = self._vectors_at = now
        self._vector_told: tuple[dict[str, int], dict[str, int]] | None = None
        self._started_at = self._ticked_at = now
        self._joining_until = now + JOIN_S
        self._wait_s = 0.0
        if not settings.is_first_start:
            self._wait_s = EMPTY_START_WAIT_S if self._state.is_empty else START_WAIT_S
        self._marks: deque[tuple[float, dict[str, int]]] = deque([(now, self._durable)])

    # Calls.

    def add(self, now: float, tally: str, call_id: str, amount: int) -> Placed | LimitReached:
        """Add to a tally; a call that is known already adds nothing."""
        state = self._state
        known = state.find(call_id)
        if known is not None:
            return Placed(known.origin, known.number)
        if len(state) >= MOST_ADDS:
            return LimitReached("adds", MOST_ADDS)
        if state.bytes_held >= MOST_BYTES:
            return LimitReached("bytes", MOST_BYTES)
        if state.tallies >= MOST_TALLIES and not state.knows(tally):
            return LimitReached("tallies", MOST_TALLIES)
        origin = self._settings.replica
        add = TallyAdd(origin, state.applied_of(origin) + 1, tally, call_id, amount)
        self._append(add)
        for peer in self._peers.linked():
            self._send_missing(now, peer)
        return Placed(origin, add.number)

    def total(self, now: float, tally: str) -> int | None:
        """The total; None shortly after a start, when it may lack what this replica has acknowledged before."""
        return self._state.total(tally) if self._is_ready(now) else None

    def holds(self, placed: Placed) -> bool:
        """Whether an add is part of what this replica tells."""
        return self._state.applied_of(placed.origin) >= placed.number

    def acknowledged_upto(self, now: float, origin: str) -> int:
        """Up to which number the adds of an origin are durable on enough replicas."""
        settings = self._settings
        reached = self._peers.reached(now)
        held = [Copy(peer.durable.get(origin, 0), peer.domain) for peer in reached]
        held.append(Copy(self._durable.get(origin, 0), settings.domain))
        count = len(held)
        if now < self._joining_until or now - self._ticked_at > STOOD_STILL_S:
            count = max(count, len(self._known or ()) + 1)
        domains = len({copy.domain for copy in held})
        return confirmed_upto(held, min(settings.copies, count), min(settings.domains, domains))

    def _is_ready(self, now: float) -> bool:
        if now - self._started_at >= self._wait_s:
            return True
        peers = [self._peers.at(ip) for ip in self._known or ()]
        if self._known is not None and all(peer.replica and peer.first is None for peer in peers):
            self._wait_s = 0.0
            return True
        return False

    # The other replicas.

    def linked(self, now: float, ip: str) -> None:
        """Messages can be sent there; what was sent before may be lost."""
        peer = self._peers.at(ip)
        peer.forget_sent()
        peer.is_linked, peer.heard = True, now
        self._send(ip, self._vector())

    def unlinked(self, ip: str) -> None:
        """No more messages can be sent there."""
        peer = self._peers.at(ip)
        peer.is_linked = False
        peer.forget_sent()
        self._ack_owed.discard(ip)

    def receive(self, now: float, ip: str, message: Message) -> None:
        """Another replica told something."""
        peer = self._peers.at(ip)
        peer.heard = max(peer.heard, now)
        match message:
            case TallyVector():
                peer.told(now, message, self._state.applied)
                self._send_missing(now, peer)
            case TallyAdds(adds=adds):
                self._take(ip, adds)
            case TallyBase(folded=folded, totals=totals):
                touched = self._state.take_base(folded, {tally: int(total) for tally, total in totals.items()})
                if touched is not None:
                    self._segments.folded(touched, self._state)
                    self._ack_owed.add(ip)

    def set_replicas(self, members: Collection[str], known: Collection[str]) -> None:
        """``members``: the others that have to have an add before its id is forgotten; ``known``: all others that may
        be there."""
        self._members, self._known = members, known

    def tick(self, now: float, heard: Mapping[str, float]) -> None:
        """Time passes. ``heard``: when each linked replica was heard."""
        if now - self._ticked_at > STOOD_STILL_S:
            self._joining_until = now + JOIN_S
        self._ticked_at = now
        for ip, at in heard.items():
            peer = self._peers.at(ip)
            peer.heard = max(peer.heard, at)
        if now - self._looked_at >= VECTOR_S and not self._state.is_empty:
            self._looked_at = now
            self._tell_all(now)
        if now - self._marks[-1][0] >= FOLD_S:
            self._marks.append((now, self._state.applied))
            self._peers.retire(now, self._members)
            self._fold(now)

    def _tell_all(self, now: float) -> None:
        """Send what others lack, and the vector if it has changed."""
        told = self._state.applied, self._durable
        is_due = told != self._vector_told or now - self._vectors_at >= IDLE_VECTOR_S
        if is_due:
            self._vectors_at, self._vector_told = now, told
        for peer in self._peers.linked():
            self._send_missing(now, peer)
            if is_due:
                self._send(peer.ip, self._vector())

    def pop_messages(self) -> list[tuple[str, Message]]:
        """What is to be sent, and where to."""
        messages, self._messages = self._messages, []
        return messages

    # The disk.

    def take_writes(self) -> dict[str, bytes]:
        """What is to be written now; then ``stored`` or ``refused`` is to be called before this is called again."""
        if self._writing is not None or not self._segments.has_changes:
            return {}
        values = self._segments.take_changes(self._state)
        self._writing = values, self._state.applied, self._ack_owed
        self._ack_owed = set()
        return values

    def stored(self) -> None:
        """What was taken to be written will last; who sent it is told."""
        assert self._writing is not None
        _, durable, owed = self._writing
        before, self._durable, self._writing = self._durable, durable, None
        applied = self._state.applied
        if not covers(applied, durable):
            raise invariant_error("what is on disk is held", f"{durable} of {applied}")
        news = {origin: number for origin, number in durable.items() if before.get(origin) != number}
        held = {origin: applied[origin] for origin in news}
        settings = self._settings
        for ip in owed:
            self._send(ip, TallyVector(settings.replica, settings.domain, held, news, {}, is_partial=True))

    def refused(self) -> None:
        """What was taken to be written is to be written again."""
        assert self._writing is not None
        values, _, owed = self._writing
        self._writing = None
        self._segments.refused(values)
        self._ack_owed |= owed

    @property
    def stats(self) -> TallyStats:
        """The state, for people and metrics."""
        state = self._state
        applied = state.applied
        lag = {
            peer.ip: sum(max(0, number - peer.durable.get(origin, 0)) for origin, number in applied.items())
            for peer in self._peers.linked()
        }
        return TallyStats(len(state), sum(state.folded.values()), state.tallies, len(applied), lag)

    def check(self) -> None:
        """Count everything anew; for tests, it takes long."""
        self._state.check()

    def _append(self, add: TallyAdd) -> None:
        self._state.append(add, self._segments.append(add))

    def _take(self, ip: str, adds: tuple[TallyAdd, ...]) -> None:
        state = self._state
        is_news = has_gap = False
        for add in adds:
            expected = state.applied_of(add.origin) + 1
            if add.number == expected:
                self._append(add)
                is_news = True
            has_gap = has_gap or add.number > expected
        if is_news:
            self._ack_owed.add(ip)
        if has_gap or not is_news:
            self._send(ip, self._vector(asks_again=has_gap))

    def _send_missing(self, now: float, peer: Peer) -> None:
        """Send what this replica lacks, and has not been sent lately."""
        if not peer.is_linked or not peer.replica:
            return
        state, expected = self._state, peer.expected(now)
        if state.lacks_folded(expected):
            if now - peer.base_sent >= VECTOR_S:
                peer.base_sent = now
                totals = {tally: str(total) for tally, total in state.folded_totals.items()}
                self._send(peer.ip, TallyBase(self._settings.replica, state.folded, totals))
            return
        adds = state.lacking(expected, max(0, WINDOW - peer.in_flight(now)))
        for add in adds:
            peer.sending(now, add.origin, add.number)
        for begin in range(0, len(adds), CHUNK):
            self._send(peer.ip, TallyAdds(self._settings.replica, tuple(adds[begin : begin + CHUNK])))

    def _send(self, ip: str, message: Message) -> None:
        if self._peers.at(ip).is_linked:
            self._messages.append((ip, message))

    def _vector(self, asks_again: bool = False) -> TallyVector:
        state, settings = self._state, self._settings
        return TallyVector(settings.replica, settings.domain, state.applied, self._durable, state.folded, asks_again)

    def _fold(self, now: float) -> None:
        """Fold what was held for long and is on the disks of all."""
        while len(self._marks) > 1 and now - self._marks[1][0] >= RETAIN_S:
            self._marks.popleft()
        since, old = self._marks[0]
        if now - since < RETAIN_S:
            return
        on_all = self._peers.on_all(self._members, self._state.applied)
        limits = {o: min(n, on_all.get(o, 0), self._durable.get(o, 0)) for o, n in old.items()}
        touched = self._state.fold(limits)
        if touched:
            self._segments.folded(touched, self._state)
