"""One replica of the tallies: takes adds and messages of other replicas, returns messages and disk writes.

An add may be acknowledged to its caller once ``acknowledged_upto`` reaches its number. It is then on the disks of one
more replica, in one more failure domain, than the deployment has to tolerate losing at once; or of all reachable
replicas if these are fewer. Without a partition it therefore survives every tolerated loss. Replicas that reconnect
send each other the adds that the other lacks.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping

import msgspec

from cranebank.control.tallies.peers import DurableCopy, Peer, PeerTable, highest_confirmed
from cranebank.control.tallies.segments import Segments
from cranebank.control.tallies.state import covers
from cranebank.invariants import invariant_error
from cranebank.transport.messages import TallyAdd, TallyAdds, TallyBase, TallyVector

MAX_ADDS_PER_MESSAGE = 500
"""Bounds the size of a TallyAdds message."""

MAX_ADDS_IN_FLIGHT = 4 * MAX_ADDS_PER_MESSAGE
"""Adds sent to one replica that it hasn't confirmed yet."""

VECTOR_INTERVAL_S = 0.5
"""Between two vectors to each linked replica while the vector changes."""

IDLE_VECTOR_INTERVAL_S = 2.0
"""Between two vectors to each linked replica while nothing changes."""

MAX_HELD_ADDS = 150_000
MAX_HELD_BYTES = 10 << 20
"""Size of the held adds, counted with `state.ADD_OVERHEAD_BYTES` each. The file is at most five times as large."""

MAX_TALLIES = 10_000
START_TIMEOUT_S = 1.5
"""After a start, totals are withheld until the first vectors of all known replicas are covered, at most for so long."""

EMPTY_START_TIMEOUT_S = 5.0
"""The same after a start with an empty disk."""

JOIN_GRACE_S = 1.0
"""After a start or a stall of this process, all known replicas count as reachable for so long."""

MAX_TICK_GAP_S = 0.3
"""Between two ticks. A longer gap means that this process was stalled, and other replicas only seem silent."""

ID_RETENTION_S = 600.0
"""Minimum time for which an id is remembered: a call that is repeated within it isn't counted again."""

FOLD_INTERVAL_S = 30.0

Message = TallyAdds | TallyVector | TallyBase


class TallyReplicaSettings(msgspec.Struct, frozen=True):
    """Identity of a replica, and the number of copies and failure domains that an acknowledged add needs."""

    replica: str  # drawn at each start: later adds never reuse the numbers of adds lost in a power loss
    domain: str
    copies: int = 1
    domains: int = 1
    is_first_start: bool = True


class AddPosition(msgspec.Struct, frozen=True):
    """Origin and number of the add that counts for a call."""

    origin: str
    number: int


class LimitReached(msgspec.Struct, frozen=True):
    """A limit is reached; nothing was added."""

    bound: str
    limit: int


class TallyStats(msgspec.Struct, frozen=True):
    """State counts for the status report and metrics."""

    held: int
    folded: int
    tallies: int
    origins: int
    lag: Mapping[str, int]  # by linked replica: adds held here that it doesn't have on its disk


class TallyReplica:
    """One replica. After each call, ``pop_messages`` and ``take_writes`` return what is to be sent and written."""

    def __init__(self, settings: TallyReplicaSettings, stored: Mapping[str, bytes], now: float) -> None:
        self._settings = settings
        self._segments = Segments()
        self._state = self._segments.restore(stored)
        self._durable = self._state.applied
        self._writing: tuple[dict[str, bytes], dict[str, int], set[str]] | None = None
        self._peers = PeerTable()
        self._members: Collection[str] = ()
        self._known_replicas: Collection[str] | None = None  # None until set
        self._messages: list[tuple[str, Message]] = []
        self._acks_due: set[str] = set()
        self._exchanged_at = self._vectors_sent_at = now
        self._last_sent_vector: tuple[dict[str, int], dict[str, int]] | None = None
        self._started_at = self._ticked_at = now
        self._joining_until = now + JOIN_GRACE_S
        self._start_timeout_s = 0.0
        if not settings.is_first_start:
            self._start_timeout_s = EMPTY_START_TIMEOUT_S if self._state.is_empty else START_TIMEOUT_S
        self._vector_history: deque[tuple[float, dict[str, int]]] = deque([(now, self._durable)])

    # Calls of clients.

    def add(self, now: float, tally: str, call_id: str, amount: int) -> AddPosition | LimitReached:
        """Add to a tally; a call whose id is already known adds nothing."""
        state = self._state
        known = state.find(call_id)
        if known is not None:
            return AddPosition(known.origin, known.number)
        if len(state) >= MAX_HELD_ADDS:
            return LimitReached("adds", MAX_HELD_ADDS)
        if state.bytes_held >= MAX_HELD_BYTES:
            return LimitReached("bytes", MAX_HELD_BYTES)
        if state.tallies >= MAX_TALLIES and not state.knows(tally):
            return LimitReached("tallies", MAX_TALLIES)
        origin = self._settings.replica
        add = TallyAdd(origin, state.applied_of(origin) + 1, tally, call_id, amount)
        self._append(add)
        for peer in self._peers.linked():
            self._send_missing(now, peer)
        return AddPosition(origin, add.number)

    def total(self, now: float, tally: str) -> int | None:
        """Return the total; None shortly after a start, as it may lack adds acknowledged before the restart."""
        return self._state.total(tally) if self._is_ready(now) else None

    def holds(self, position: AddPosition) -> bool:
        """Whether an add is included in this replica's totals."""
        return self._state.applied_of(position.origin) >= position.number

    def acknowledged_upto(self, now: float, origin: str) -> int:
        """Return the number up to which an origin's adds are durable on enough replicas."""
        settings = self._settings
        reached = self._peers.reachable(now)
        held = [DurableCopy(peer.durable.get(origin, 0), peer.domain) for peer in reached]
        held.append(DurableCopy(self._durable.get(origin, 0), settings.domain))
        count = len(held)
        if now < self._joining_until or now - self._ticked_at > MAX_TICK_GAP_S:
            count = max(count, len(self._known_replicas or ()) + 1)
        domains = len({copy.domain for copy in held})
        return highest_confirmed(held, min(settings.copies, count), min(settings.domains, domains))

    def _is_ready(self, now: float) -> bool:
        if now - self._started_at >= self._start_timeout_s:
            return True
        peers = [self._peers.get_or_create(ip) for ip in self._known_replicas or ()]
        if self._known_replicas is not None and all(peer.replica and peer.initial_applied is None for peer in peers):
            self._start_timeout_s = 0.0
            return True
        return False

    # Other replicas.

    def linked(self, now: float, ip: str) -> None:
        """A connection to this replica is up; messages sent before may be lost."""
        peer = self._peers.get_or_create(ip)
        peer.forget_sent()
        peer.is_linked, peer.last_heard_at = True, now
        self._send(ip, self._vector())

    def unlinked(self, ip: str) -> None:
        """The connection to this replica is down."""
        peer = self._peers.get_or_create(ip)
        peer.is_linked = False
        peer.forget_sent()
        self._acks_due.discard(ip)

    def receive(self, now: float, ip: str, message: Message) -> None:
        """Process a message of another replica."""
        peer = self._peers.get_or_create(ip)
        peer.last_heard_at = max(peer.last_heard_at, now)
        match message:
            case TallyVector():
                peer.receive_vector(now, message, self._state.applied)
                self._send_missing(now, peer)
            case TallyAdds(adds=adds):
                self._apply_adds(ip, adds)
            case TallyBase(folded=folded, totals=totals):
                touched = self._state.take_base(folded, {tally: int(total) for tally, total in totals.items()})
                if touched is not None:
                    self._segments.drop_folded(touched, self._state)
                    self._acks_due.add(ip)

    def set_replicas(self, members: Collection[str], known: Collection[str]) -> None:
        """Set the other replicas: ``members`` must have an add on disk before its id is forgotten; ``known`` are all
        that may exist."""
        self._members, self._known_replicas = members, known

    def tick(self, now: float, last_heard_at: Mapping[str, float]) -> None:
        """Do what is due. ``last_heard_at``: when something was last received from each linked replica."""
        if now - self._ticked_at > MAX_TICK_GAP_S:
            self._joining_until = now + JOIN_GRACE_S
        self._ticked_at = now
        for ip, at in last_heard_at.items():
            peer = self._peers.get_or_create(ip)
            peer.last_heard_at = max(peer.last_heard_at, at)
        if now - self._exchanged_at >= VECTOR_INTERVAL_S and not self._state.is_empty:
            self._exchanged_at = now
            self._exchange(now)
        if now - self._vector_history[-1][0] >= FOLD_INTERVAL_S:
            self._vector_history.append((now, self._state.applied))
            self._peers.forget_stale(now, self._members)
            self._fold(now)

    def _exchange(self, now: float) -> None:
        """Send to all linked replicas the adds that they lack, and the vector if it has changed or is due."""
        vector = self._state.applied, self._durable
        is_due = vector != self._last_sent_vector or now - self._vectors_sent_at >= IDLE_VECTOR_INTERVAL_S
        if is_due:
            self._vectors_sent_at, self._last_sent_vector = now, vector
        for peer in self._peers.linked():
            self._send_missing(now, peer)
            if is_due:
                self._send(peer.ip, self._vector())

    def pop_messages(self) -> list[tuple[str, Message]]:
        """Return the messages to be sent, with their destinations."""
        messages, self._messages = self._messages, []
        return messages

    # Disk writes.

    def take_writes(self) -> dict[str, bytes]:
        """Return the values to be written now. ``stored`` or ``refused`` must be called before the next call."""
        if self._writing is not None or not self._segments.has_changes:
            return {}
        values = self._segments.take_changes(self._state)
        self._writing = values, self._state.applied, self._acks_due
        self._acks_due = set()
        return values

    def stored(self) -> None:
        """The values from ``take_writes`` are durable; confirm their adds to the replicas that sent them."""
        assert self._writing is not None
        _, durable, acks_due = self._writing
        before, self._durable, self._writing = self._durable, durable, None
        applied = self._state.applied
        if not covers(applied, durable):
            raise invariant_error("what is on disk is held", f"{durable} of {applied}")
        newly_durable = {origin: number for origin, number in durable.items() if before.get(origin) != number}
        held = {origin: applied[origin] for origin in newly_durable}
        settings = self._settings
        for ip in acks_due:
            self._send(ip, TallyVector(settings.replica, settings.domain, held, newly_durable, {}, is_partial=True))

    def refused(self) -> None:
        """The values from ``take_writes`` were not written; write them again."""
        assert self._writing is not None
        values, _, acks_due = self._writing
        self._writing = None
        self._segments.refused(values)
        self._acks_due |= acks_due

    @property
    def stats(self) -> TallyStats:
        """State counts for the status report and metrics."""
        state = self._state
        applied = state.applied
        lag = {
            peer.ip: sum(max(0, number - peer.durable.get(origin, 0)) for origin, number in applied.items())
            for peer in self._peers.linked()
        }
        return TallyStats(len(state), sum(state.folded.values()), state.tallies, len(applied), lag)

    def check(self) -> None:
        """Verify the state by recounting everything; slow, for tests."""
        self._state.check()

    def _append(self, add: TallyAdd) -> None:
        self._state.append(add, self._segments.append(add))

    def _apply_adds(self, ip: str, adds: tuple[TallyAdd, ...]) -> None:
        state = self._state
        has_new = has_gap = False
        for add in adds:
            expected = state.applied_of(add.origin) + 1
            if add.number == expected:
                self._append(add)
                has_new = True
            has_gap = has_gap or add.number > expected
        if has_new:
            self._acks_due.add(ip)
        if has_gap or not has_new:
            self._send(ip, self._vector(needs_resend=has_gap))

    def _send_missing(self, now: float, peer: Peer) -> None:
        """Send the adds that a peer lacks and was not sent recently, or the folded sums if it lacks folded adds."""
        if not peer.is_linked or not peer.replica:
            return
        state, expected = self._state, peer.expected(now)
        if state.lacks_folded(expected):
            if now - peer.base_sent >= VECTOR_INTERVAL_S:
                peer.base_sent = now
                totals = {tally: str(total) for tally, total in state.folded_totals.items()}
                self._send(peer.ip, TallyBase(self._settings.replica, state.folded, totals))
            return
        adds = state.missing_from(expected, max(0, MAX_ADDS_IN_FLIGHT - peer.in_flight(now)))
        for add in adds:
            peer.record_sent(now, add.origin, add.number)
        for begin in range(0, len(adds), MAX_ADDS_PER_MESSAGE):
            self._send(peer.ip, TallyAdds(self._settings.replica, tuple(adds[begin : begin + MAX_ADDS_PER_MESSAGE])))

    def _send(self, ip: str, message: Message) -> None:
        if self._peers.get_or_create(ip).is_linked:
            self._messages.append((ip, message))

    def _vector(self, needs_resend: bool = False) -> TallyVector:
        state, settings = self._state, self._settings
        return TallyVector(settings.replica, settings.domain, state.applied, self._durable, state.folded, needs_resend)

    def _fold(self, now: float) -> None:
        """Fold adds that were held for the retention time and are on the disks of all replicas."""
        while len(self._vector_history) > 1 and now - self._vector_history[1][0] >= ID_RETENTION_S:
            self._vector_history.popleft()
        since, old = self._vector_history[0]
        if now - since < ID_RETENTION_S:
            return
        durable_on_all = self._peers.durable_on_all(self._members, self._state.applied)
        limits = {o: min(n, durable_on_all.get(o, 0), self._durable.get(o, 0)) for o, n in old.items()}
        touched = self._state.fold(limits)
        if touched:
            self._segments.drop_folded(touched, self._state)
