"""A replica's state: who it is, what it has on disk, whom it has heard. The lowest layer of the core.

Guarantees to the layers above: the state changes in one function only; whatever depends on a promise, an accepted
record or a stored value is sent only after the disk holds it, in order; an empty disk makes a new replica id, unless
the whole system starts for the first time. Times are seconds of a steady clock; nothing here reads a clock, a disk or a
socket.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from random import Random

import msgspec

from cranebank.control import events as ev
from cranebank.control.consensus_types import (
    NO_VALUE,
    ConsensusSettings,
    Leadership,
    State,
    Value,
    WaitingWrite,
)
from cranebank.control.epochs import (
    NO_BALLOT,
    Acceptor,
    DurableState,
    EpochRecord,
    HeldLease,
    Proposal,
    VoterLease,
    initial_record,
    ip_of,
)
from cranebank.control.membership import group_size
from cranebank.invariants import invariant_error

MARGIN_S = 0.1  # by which the primary stops before its lease ends
ELECTION_TIMEOUT_S = (0.05, 0.25)  # random wait before a candidacy, so that two seldom coincide
SHORT_ELECTION_TIMEOUT_S = (0.01, 0.08)  # the same where the last primary is known to be gone
SILENT_S = 0.8  # from here on a member counts as out of reach
DISK_AGAIN_S = 0.2  # between tries of a write that the disk refused
JOIN_FRESH_S = 1.0  # for which an ask to be admitted counts
LEAVING_FRESH_S = 0.4  # after which the telling of an end is forgotten, shorter than a process takes to start anew


class Replica:
    """Identity, durable state, messages to send and what was heard. Extended by ``voter.Voter``."""

    def __init__(self, settings: ConsensusSettings, stored: Mapping[str, bytes], random: Random, now: float) -> None:
        """Begin from what the disk holds (keys `id`, `control`, `value`; empty at the first start or after a wipe)."""
        self._settings = settings
        self._random = random
        self._now = now
        self._actions: list[ev.Action] = []
        self._local: deque[ev.AnyMessage] = deque()
        self._dirty: set[str] = set()
        self._after: list[tuple[str, Callable[[float], None]]] = []
        self._waiting: dict[int, WaitingWrite] = {}
        self._token = 0
        self._heard: dict[str, float] = {}
        self._down: set[str] = set()
        self._join_requests: dict[str, float] = {}
        self._leaving: dict[str, float] = {}  # replicas that have told that they are about to end, when last
        self._leave_at = float("-inf")
        self._zones = dict(settings.zones)  # by IP, of every controller that has told it
        self._group_size = group_size(settings.tolerance, settings.is_counted_in_machines)
        self._queue: deque[tuple[ev.Write, float]] = deque()
        self._leadership: Leadership | None = None
        self._proposal: Proposal | None = None
        self._highest_round = 0
        self._is_acting = False
        self._is_retired = False
        self._no_campaign_before = now
        self._join_at = now
        self._primary_heard = now
        self._committed_revision = 0
        self._life = random.getrandbits(48)  # tells the stamps of this process from those of an earlier one
        self._contact_at = float("-inf")
        self._newest_committed = 0
        self.why = "start"
        self._value = NO_VALUE
        self._value_durable = True
        if "id" in stored:
            if "value" in stored:
                self._value = msgspec.msgpack.decode(stored["value"], type=Value)
            self._id = stored["id"].decode()
            state = msgspec.msgpack.decode(stored["control"], type=DurableState)
            quarantine_until = now + settings.lease_s
        else:
            self._id, state = self._first_state()
            quarantine_until = now
            self._dirty.add("control")
        self._acceptor = Acceptor(state)
        self._voter_lease = VoterLease(quarantine_until)
        self._state = State.OUTSIDER
        if self._is_member:
            self._state = State.WAITING if quarantine_until > now else State.FOLLOWER
        # The last primary may be let in at once: older leases ended before it was chosen, and its own ended with it.
        self._election_at = (
            now + self._between(SHORT_ELECTION_TIMEOUT_S)
            if self._was_primary
            else quarantine_until + self._election_timeout()
        )

    def _first_state(self) -> tuple[str, DurableState]:
        if self._settings.is_first_start:
            return self._settings.ip, DurableState(initial_record(self._settings.seeds), NO_BALLOT, None)
        # An empty disk has forgotten what it promised under its old id, so it may never vote under that again.
        return self._fresh_id(), DurableState(None, NO_BALLOT, None)

    def _fresh_id(self) -> str:
        return f"{self._settings.ip}/{self._random.getrandbits(64):016x}"

    # What others may ask.

    @property
    def id(self) -> str:
        """The replica id."""
        return self._id

    @property
    def state(self) -> State:
        """What this replica is now."""
        return self._state

    @property
    def record(self) -> EpochRecord | None:
        """The newest record known to be chosen."""
        return self._acceptor.chosen

    def holds_lease(self, now: float) -> bool:
        """Tell whether this controller may act as primary at this time; to be asked right before each answer."""
        record = self._acceptor.chosen
        if self._leadership is None or record is None:
            return False
        return now < self._leadership.lease.until(record.members)

    def lease_until(self) -> float:
        """Return when the lease held now ends (seconds), -inf when none is held."""
        record = self._acceptor.chosen
        if self._leadership is None or record is None:
            return float("-inf")
        return self._leadership.lease.until(record.members)

    def known_ips(self) -> set[str]:
        """Return the addresses of all controllers known: members, seeds and whoever asked to join."""
        replicas = set(self._members) | set(self._join_requests)
        return {ip_of(replica) for replica in replicas} | set(self._settings.seeds)

    # States.

    def _change(self, state: State, why: str) -> None:
        """The one place where the state changes; what belongs to the old one ends here."""
        if state is self._state:
            return
        if self._state is State.PRIMARY:
            self._end_leadership()
        if state is not State.PRIMARY:
            self._proposal = None
        self._state, self.why = state, why

    def _end_leadership(self) -> None:
        leadership, self._leadership = self._leadership, None
        if leadership is not None and leadership.change is not None and not leadership.change.is_answered:
            # It is on this disk already and a later primary may adopt it.
            self._actions.append(ev.Answer(leadership.change.request, ev.Unknown()))
        if leadership is not None:
            for request, result in leadership.evacuations.take_all():
                self._actions.append(ev.Answer(request, result))
        for write, _ in self._queue:
            self._actions.append(ev.Answer(write.request, ev.NotPrimary(None)))
        self._queue.clear()

    # Sending and storing.

    def _send(self, replica: str, message: ev.AnyMessage) -> None:
        if replica == self._id:
            self._local.append(message)
        elif ip_of(replica) != self._settings.ip:  # an earlier replica of this machine is gone
            self._actions.append(ev.Send(ip_of(replica), message))

    def _sender_of(self, replica: str, message: ev.AnyMessage) -> Callable[[float], None]:
        def send(_now: float) -> None:
            self._send(replica, message)

        return send

    def _reply_durably(self, replica: str, message: ev.AnyMessage) -> None:
        """Send when all that was promised, accepted or learned so far is on the disk."""
        self._after.append(("control", self._sender_of(replica, message)))

    def _flush(self) -> None:
        """Store what has changed; let go what waits for that, or for what is being stored already."""
        after, self._after = self._after, []
        keys, self._dirty = frozenset(self._dirty), set()
        with_this_write: list[Callable[[float], None]] = []
        for key, then in after:
            pending = [one for one in self._waiting.values() if key in one.keys]
            if pending and key not in keys:
                # That write may be refused, and tried again after the present one has come through.
                pending[-1].then.append(then)
            elif keys:
                with_this_write.append(then)
            else:
                then(self._now)
        if keys:
            self._store(keys, with_this_write, self._now)

    def _store(self, keys: frozenset[str], then: list[Callable[[float], None]], since: float) -> None:
        values: dict[str, bytes] = {}
        if "control" in keys:
            # A vote without the id that gave it is forgotten by a restart: the disk may refuse the id alone.
            values["id"] = self._id.encode()
            values["control"] = msgspec.msgpack.encode(self._acceptor.state)
        if "value" in keys:
            values["value"] = msgspec.msgpack.encode(self._value)
        self._token += 1
        self._waiting[self._token] = WaitingWrite(keys, since, then)
        self._actions.append(ev.Persist(self._token, values))

    def _persisted(self, token: int) -> None:
        one = self._waiting.pop(token, None)
        if one is not None:
            for then in one.then:
                then(self._now)

    def _disk_pending_s(self) -> float:
        return self._now - min((one.since for one in self._waiting.values()), default=self._now)

    # Who was heard.

    def _silence_s(self, replica: str) -> float:
        if replica == self._id:
            return 0.0
        since = self._leadership.since if self._leadership is not None else self._now
        return self._now - self._heard.get(replica, since)

    def _is_away(self, replica: str) -> bool:
        return replica != self._id and (replica in self._down or self._silence_s(replica) > SILENT_S)

    def _is_leaving(self, replica: str) -> bool:
        return self._now - self._leaving.get(replica, float("-inf")) < LEAVING_FRESH_S

    def _newcomers(self, now: float) -> list[str]:
        """Return the replicas that have lately asked to be admitted and aren't about to end."""
        return [
            replica
            for replica, at in self._join_requests.items()
            if now - at < JOIN_FRESH_S and not self._is_leaving(replica)
        ]

    # Small things.

    @property
    def _members(self) -> tuple[str, ...]:
        record = self._acceptor.chosen
        return record.members if record is not None else ()

    @property
    def _is_member(self) -> bool:
        return self._id in self._members

    @property
    def _was_primary(self) -> bool:
        record = self._acceptor.chosen
        return record is not None and record.primary == self._id

    def _target(self, record: EpochRecord) -> int:
        """How many copies there must be: one more than may be lost, but no more than the majority that must be left to
        vote at all: whoever loses more can't go on anyhow, and with more copies a lesser loss would hold up writes."""
        members = len(record.members)
        return min(members, max(min(self._settings.tolerance + 1, members // 2 + 1), 2))

    def _between(self, bounds: tuple[float, float]) -> float:
        return self._random.uniform(*bounds)

    def _election_timeout(self) -> float:
        return self._between(ELECTION_TIMEOUT_S)

    def _new_lease(self) -> HeldLease:
        return HeldLease(self._settings.lease_s, MARGIN_S)

    @staticmethod
    def _require(holds_lease: bool, what: str) -> None:
        if not holds_lease:
            raise invariant_error(what)
