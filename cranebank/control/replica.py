"""State of a replica: its id, its durable state and the peers it has heard from. The lowest layer of the core.

Guarantees to the layers above: the state changes in one function only; a message that depends on a promise, an accepted
record or a stored value is sent only after the disk holds it, in order; a replica with an empty disk gets a new id,
unless the whole system starts for the first time. Times are seconds of a monotonic clock; nothing here reads a clock, a
disk or a socket.
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
    PendingPersist,
    State,
    Value,
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
from cranebank.transport.revision import NO_REVISION, msgpack_decoder, msgpack_encoder

LEASE_MARGIN_S = 0.1  # the primary stops acting this long before its lease expires
ELECTION_TIMEOUT_S = (0.05, 0.25)  # bounds of the random wait before a candidacy, so that candidacies rarely coincide
SHORT_ELECTION_TIMEOUT_S = (0.01, 0.08)  # the same when the last primary is known to be gone
MEMBER_SILENCE_S = 0.8  # a member silent for longer counts as unreachable
DISK_RETRY_INTERVAL_S = 0.2  # between attempts of a write that the disk refused
JOIN_REQUEST_TTL_S = 1.0  # age up to which a Join request counts
LEAVING_TTL_S = 0.4  # age up to which a Leaving message counts; shorter than the restart of a process

_encode_value = msgpack_encoder().encode
_decode_value = msgpack_decoder(Value).decode


class Replica:
    """Identity, durable state, outgoing messages and last contact with peers. Extended by ``voter.Voter``."""

    def __init__(self, settings: ConsensusSettings, stored: Mapping[str, bytes], random: Random, now: float) -> None:
        """Load the state from ``stored`` (keys `id`, `control`, `value`; empty at a first start or after a wipe)."""
        self._settings = settings
        self._random = random
        self._now = now
        self._actions: list[ev.Action] = []
        self._messages_to_self: deque[ev.AnyMessage] = deque()
        self._dirty: set[str] = set()
        self._on_durable: list[tuple[str, Callable[[float], None]]] = []
        self._writes_in_flight: dict[int, PendingPersist] = {}
        self._token = 0
        self._last_heard: dict[str, float] = {}
        self._disconnected: set[str] = set()
        self._join_requests: dict[str, float] = {}
        self._leaving: dict[str, float] = {}  # time of the last Leaving message, by replica
        self._next_leaving_at = float("-inf")
        self._zones = dict(settings.zones)  # zone by IP, for each controller that has reported it
        self._group_size = group_size(settings.tolerance, settings.is_counted_in_machines)
        self._queue: deque[tuple[ev.Write, float]] = deque()
        self._leadership: Leadership | None = None
        self._proposal: Proposal | None = None
        self._highest_round = 0
        self._is_acting = False
        self._is_retired = False
        self._no_campaign_before = now
        self._next_join_at = now
        self._primary_heard_at = now
        self._committed_revision = NO_REVISION
        self._incarnation = random.getrandbits(48)  # distinguishes stamps of this process from those of an earlier one
        self._contact_at = float("-inf")
        self._newest_committed = NO_REVISION
        self.state_reason = "start"
        self._value = NO_VALUE
        self._value_durable = True
        if "id" in stored:
            if "value" in stored:
                self._value = _decode_value(stored["value"])
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
        # The last primary may stand at once: older leases expired before it was chosen, and its own ended with its
        # process.
        self._election_at = (
            now + self._random_between(SHORT_ELECTION_TIMEOUT_S)
            if self._was_primary
            else quarantine_until + self._election_timeout()
        )

    def _first_state(self) -> tuple[str, DurableState]:
        if self._settings.is_first_start:
            return self._settings.ip, DurableState(initial_record(self._settings.seeds), NO_BALLOT, None)
        # The promises made under the old id are lost with the disk, so that id must never vote again.
        return self._new_id(), DurableState(None, NO_BALLOT, None)

    def _new_id(self) -> str:
        return f"{self._settings.ip}/{self._random.getrandbits(64):016x}"

    # Queries.

    @property
    def id(self) -> str:
        """Replica id."""
        return self._id

    @property
    def state(self) -> State:
        """Current state of this replica."""
        return self._state

    @property
    def record(self) -> EpochRecord | None:
        """Newest record known to be chosen."""
        return self._acceptor.chosen

    def holds_lease(self, now: float) -> bool:
        """Return whether this controller may act as primary at this time; callers check it right before each answer."""
        record = self._acceptor.chosen
        if self._leadership is None or record is None:
            return False
        return now < self._leadership.lease.until(record.members)

    def lease_until(self) -> float:
        """Return when the current lease expires (seconds), -inf when none is held."""
        record = self._acceptor.chosen
        if self._leadership is None or record is None:
            return float("-inf")
        return self._leadership.lease.until(record.members)

    def known_ips(self) -> set[str]:
        """Return the addresses of all known controllers: members, seeds and replicas that asked to join."""
        replicas = set(self._members) | set(self._join_requests)
        return {ip_of(replica) for replica in replicas} | set(self._settings.seeds)

    # States.

    def _change(self, state: State, reason: str) -> None:
        """Change the state and end the leadership or proposal of the old one. The only place that sets the state."""
        if state is self._state:
            return
        if self._state is State.PRIMARY:
            self._end_leadership()
        if state is not State.PRIMARY:
            self._proposal = None
        self._state, self.state_reason = state, reason

    def _end_leadership(self) -> None:
        leadership, self._leadership = self._leadership, None
        if leadership is not None and leadership.change is not None and not leadership.change.is_answered:
            # The change is on this disk already and a later primary may adopt it.
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
            self._messages_to_self.append(message)
        elif ip_of(replica) != self._settings.ip:  # an earlier replica of this machine no longer exists
            self._actions.append(ev.Send(ip_of(replica), message))

    def _deferred_send(self, replica: str, message: ev.AnyMessage) -> Callable[[float], None]:
        def send(_now: float) -> None:
            self._send(replica, message)

        return send

    def _reply_durably(self, replica: str, message: ev.AnyMessage) -> None:
        """Send the message once all state that was promised, accepted or learned so far is on disk."""
        self._on_durable.append(("control", self._deferred_send(replica, message)))

    def _flush(self) -> None:
        """Persist the changed keys; attach each waiting callback to the write that makes its key durable."""
        on_durable, self._on_durable = self._on_durable, []
        keys, self._dirty = frozenset(self._dirty), set()
        with_this_write: list[Callable[[float], None]] = []
        for key, callback in on_durable:
            pending = [write for write in self._writes_in_flight.values() if key in write.keys]
            if pending and key not in keys:
                # The disk may refuse the pending write, which is then retried after the present one.
                pending[-1].callbacks.append(callback)
            elif keys:
                with_this_write.append(callback)
            else:
                callback(self._now)
        if keys:
            self._store(keys, with_this_write, self._now)

    def _store(self, keys: frozenset[str], callbacks: list[Callable[[float], None]], since: float) -> None:
        values: dict[str, bytes] = {}
        if "control" in keys:
            # A vote is always stored with the id that cast it: a restart would forget a vote whose id was not stored.
            values["id"] = self._id.encode()
            values["control"] = msgspec.msgpack.encode(self._acceptor.state)
        if "value" in keys:
            values["value"] = _encode_value(self._value)
        self._token += 1
        self._writes_in_flight[self._token] = PendingPersist(keys, since, callbacks)
        self._actions.append(ev.Persist(self._token, values))

    def _persisted(self, token: int) -> None:
        write = self._writes_in_flight.pop(token, None)
        if write is not None:
            for callback in write.callbacks:
                callback(self._now)

    def _disk_pending_s(self) -> float:
        return self._now - min((write.since for write in self._writes_in_flight.values()), default=self._now)

    # Liveness of peers.

    def _silence_s(self, replica: str) -> float:
        if replica == self._id:
            return 0.0
        since = self._leadership.since if self._leadership is not None else self._now
        return self._now - self._last_heard.get(replica, since)

    def _is_unreachable(self, replica: str) -> bool:
        return replica != self._id and (replica in self._disconnected or self._silence_s(replica) > MEMBER_SILENCE_S)

    def _is_leaving(self, replica: str) -> bool:
        return self._now - self._leaving.get(replica, float("-inf")) < LEAVING_TTL_S

    def _newcomers(self, now: float) -> list[str]:
        """Return the replicas with a recent Join request that are not leaving."""
        return [
            replica
            for replica, at in self._join_requests.items()
            if now - at < JOIN_REQUEST_TTL_S and not self._is_leaving(replica)
        ]

    # Helpers.

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

    def _copy_target(self, record: EpochRecord) -> int:
        """Return the required number of copies: one more than may be lost, at most a majority of the members.

        A group that loses its majority cannot continue anyway, and with more copies a smaller loss would block writes.
        """
        members = len(record.members)
        return min(members, max(min(self._settings.tolerance + 1, members // 2 + 1), 2))

    def _random_between(self, bounds: tuple[float, float]) -> float:
        return self._random.uniform(*bounds)

    def _election_timeout(self) -> float:
        return self._random_between(ELECTION_TIMEOUT_S)

    def _new_lease(self) -> HeldLease:
        return HeldLease(self._settings.lease_s, LEASE_MARGIN_S)

    @staticmethod
    def _require(condition: bool, invariant: str) -> None:
        if not condition:
            raise invariant_error(invariant)
