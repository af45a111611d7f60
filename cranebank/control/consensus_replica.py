"""Consensus replica: the replicated configuration and its epoch record, as one I/O-free state machine.

A primary, under a lease granted by a majority, stores a change on its own disk and on all copies that the epoch record
names before it acknowledges the change; witnesses store only epoch records. A takeover changes the record's primary and
keeps its copies: each of them holds every acknowledged change, so none is dropped before another member holds it too.
(A record that named only the new primary could be chosen after that primary was cut off or lost.)

The layers, lowest first: ``replica`` (identity, disk, liveness of peers), ``voter``, ``election``, ``primary``, and in
this module the events, the queue of writes and the invariants. Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from cranebank.control import events as ev
from cranebank.control.consensus_types import (
    CONSENSUS_FILE,
    PUBLISHED_KEY,
    ConsensusSettings,
    Leadership,
    PendingChange,
    State,
    Value,
)
from cranebank.control.election import RETIRED_CANDIDACY_DELAY_S
from cranebank.control.epochs import OrderIntent, ip_of
from cranebank.control.primary import LEASE_REQUEST_INTERVAL_S, Primary
from cranebank.control.replica import DISK_RETRY_INTERVAL_S, LEAVING_TTL_S
from cranebank.invariants import InvariantBroken

__all__ = [
    "CONSENSUS_FILE",
    "PUBLISHED_KEY",
    "ConsensusReplica",
    "ConsensusSettings",
    "InvariantBroken",
    "State",
    "Value",
]

CANDIDACY_TIMEOUT_S = 1.0  # after which a candidate gives up
JOIN_INTERVAL_S = 0.3  # between Join messages, which ask for admission or for a newer record
WRITE_TIMEOUT_S = 3.5  # within which a write is answered
MAX_QUEUED_WRITES = 64
HEARD_RETENTION_S = 60.0  # how long replicas that are not members are remembered after their last message
MAX_UNADMITTED_ZONES = 64  # zones kept of controllers that have not asked for admission, the newest ones


class ConsensusReplica(Primary):
    """The replica of one controller. `handle` takes events and returns the actions to perform, in order."""

    def fence(self) -> int:
        """Return the fencing number against earlier primaries; valid only while ``holds_lease`` is true."""
        return self._acceptor.epoch

    def status(self, now: float) -> ev.Status:
        """Return the status of this replica."""
        record = self._acceptor.chosen
        primary = record.primary if record is not None else ""
        return ev.Status(
            id=self._id,
            state=self._state.value,
            epoch=self._acceptor.epoch,
            primary=primary,
            primary_ip=ip_of(primary),
            is_primary=self.holds_lease(now),
            copies=record.copies if record is not None else (),
            members=record.members if record is not None else (),
            revision=self._value.revision,
            term=record.term if record is not None else -1,
            intents=self._durable_intents(),
            evacuated=record.evacuated if record is not None else (),
            evacuation_number=record.evacuation_number if record is not None else 0,
        )

    def _durable_intents(self) -> tuple[OrderIntent, ...] | None:
        """Return the intents that every successor is certain to know.

        A proposed record may be chosen already, and a record without an intent that is no longer wanted follows as soon
        as another change of the record is complete: an order relying on such an intent would outlive the intent.
        """
        record, leadership = self._acceptor.chosen, self._leadership
        if record is None or record.intents is None or leadership is None:
            return record.intents if record is not None else None
        kept = record.intents
        if self._proposal is not None:
            proposed = (self._proposal.record or self._proposal.own).intents or ()
            kept = tuple(intent for intent in kept if intent in proposed)
        wanted = leadership.wanted_intents
        if wanted is not None:
            kept = tuple(intent for intent in kept if intent in wanted)
        return kept

    # Events.

    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
        """Process one event at a time of the monotonic clock; return the actions to perform, in order."""
        self._now = now = max(now, self._now)
        self._actions = []
        if isinstance(event, ev.Received):
            self._receive(event.message)
        elif isinstance(event, ev.Tick):
            self._tick()
        elif isinstance(event, ev.Persisted):
            self._persisted(event.token)
        elif isinstance(event, ev.PersistFailed):
            if event.token in self._writes_in_flight:
                self._writes_in_flight[event.token].retry_at = now + DISK_RETRY_INTERVAL_S
        elif isinstance(event, ev.LinkDown):
            self._disconnected |= {replica for replica in self._last_heard if ip_of(replica) == event.ip}
            if self._leadership is not None:
                for replica in [replica for replica in self._leadership.last_sent if ip_of(replica) == event.ip]:
                    del self._leadership.last_sent[replica]
        elif isinstance(event, ev.Write):
            self._write(event)
        elif isinstance(event, ev.Evacuate):
            self._evacuate(event)
        elif isinstance(event, ev.ZoneReported):
            self._record_zone(event)
        elif isinstance(event, ev.SetIntents):
            if self._leadership is not None:
                self._leadership.wanted_intents = event.intents
        else:
            self._is_retired = True
            if not self._must_stay_primary():
                self._step_down("retire", RETIRED_CANDIDACY_DELAY_S)
            self._announce_leaving()
        self._run_follow_ups()
        self._check_invariants()
        actions, self._actions = self._actions, []
        return actions

    def _run_follow_ups(self) -> None:
        """Process messages to itself, completed writes and the primary's duties until none of them causes another."""
        while True:
            while self._messages_to_self:
                self._receive(self._messages_to_self.popleft())
            self._advance()
            self._flush()
            if not self._messages_to_self and not self._on_durable:
                break
        acting = self.holds_lease(self._now)
        if acting != self._is_acting:
            self._is_acting = acting
            self._actions.append(ev.LeadershipGained(self._acceptor.epoch) if acting else ev.LeadershipLost())

    def _receive(self, message: ev.AnyMessage) -> None:
        self._last_heard[message.sender] = self._now
        self._disconnected.discard(message.sender)
        self._handlers[type(message)](self, message)

    def _tick(self) -> None:
        now = self._now
        for token in [token for token, write in self._writes_in_flight.items() if write.retry_at is not None]:
            write = self._writes_in_flight[token]
            if write.retry_at is not None and now >= write.retry_at:
                # The retry writes the present state, which is never older than the state of the refused write.
                del self._writes_in_flight[token]
                self._store(write.keys, write.callbacks, write.since)
        if self._state is State.WAITING and now >= self._voter_lease.quarantine_until:
            self._change(State.FOLLOWER, "the wait after a restart is over")
        self._answer_overdue()
        if self._state is State.PRIMARY:
            self._tick_primary()
        elif self._state is State.CANDIDATE and self._proposal is not None:
            if now >= self._proposal.started + CANDIDACY_TIMEOUT_S:
                self._election_at = now + self._election_timeout()
                self._change(State.FOLLOWER, "candidacy timed out")
        elif self._may_campaign():
            self._campaign()
        if self._proposal is not None:
            self._retry_proposal(self._proposal)
        is_lost = self._state is not State.PRIMARY and now - self._primary_heard_at > self._settings.lease_s
        if (self._state is State.OUTSIDER or is_lost) and now >= self._next_join_at and not self._is_retired:
            self._next_join_at = now + JOIN_INTERVAL_S
            for ip in sorted(self.known_ips() - {self._settings.ip}):
                self._actions.append(ev.Send(ip, ev.Join(self._id, self._acceptor.epoch)))
        if self._is_retired and now >= self._next_leaving_at:
            self._announce_leaving()
        self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        """Drop expired Leaving messages, Join requests and contacts."""
        self._leaving = {replica: at for replica, at in self._leaving.items() if now - at < LEAVING_TTL_S}
        self._join_requests = {
            replica: at for replica, at in self._join_requests.items() if now - at < HEARD_RETENTION_S
        }
        if len(self._last_heard) > len(self._members) + len(self._join_requests):
            self._last_heard = {replica: at for replica, at in self._last_heard.items() if now - at < HEARD_RETENTION_S}
            self._disconnected &= set(self._last_heard)

    def _advance(self) -> None:
        """Perform the primary's duties: renew the lease, commit, replicate, propose changes of the record."""
        leadership, record, now = self._leadership, self._acceptor.chosen, self._now
        if leadership is None or record is None:
            return
        if now >= leadership.next_lease_request_at:
            leadership.next_lease_request_at = now + LEASE_REQUEST_INTERVAL_S
            number = leadership.lease.new_request(now)
            for replica in record.members:
                self._send(replica, self._lease_request(leadership, record, number, replica))
        if self.holds_lease(now):
            if self._is_committable(leadership, record):
                self._commit(leadership)
            self._start_writes(leadership)
            self._answer_evacuations(leadership, record)
        self._send_stores(leadership, record)
        if self._proposal is None and self.holds_lease(now):
            changed = (
                self._changed_copies(leadership, record)
                or self._changed_members(record)
                or self._changed_evacuations(leadership, record)
                or self._changed_intents(leadership, record)
            )
            if changed is not None:
                self._propose(changed)

    def _record_zone(self, event: ev.ZoneReported) -> None:
        """Record a controller's zone, which it reports on connecting, before it can ask for admission."""
        self._zones.pop(event.ip, None)
        self._zones[event.ip] = event.zone
        known = self.known_ips() | {self._settings.ip}
        unadmitted = [ip for ip in self._zones if ip not in known]
        for ip in unadmitted[:-MAX_UNADMITTED_ZONES]:
            del self._zones[ip]

    # Writes.

    def _not_primary(self) -> ev.NotPrimary:
        record = self._acceptor.chosen
        primary = record.primary if record is not None else ""
        return ev.NotPrimary(ip_of(primary) if primary not in ("", self._id) else None)

    def _evacuate(self, event: ev.Evacuate) -> None:
        if self._leadership is None:
            self._actions.append(ev.Answer(event.request, self._not_primary()))
        elif not self._leadership.evacuations.add(event, self._now + WRITE_TIMEOUT_S):
            self._actions.append(ev.Answer(event.request, ev.Busy()))

    def _write(self, write: ev.Write) -> None:
        if self._leadership is None:
            self._actions.append(ev.Answer(write.request, self._not_primary()))
        elif len(self._queue) >= MAX_QUEUED_WRITES:
            self._actions.append(ev.Answer(write.request, ev.Busy()))
        else:
            self._queue.append((write, self._now + WRITE_TIMEOUT_S))

    def _answer_overdue(self) -> None:
        if self._leadership is not None:
            for request, result in self._leadership.evacuations.take_overdue(self._now):
                self._actions.append(ev.Answer(request, result))
        change = self._leadership.change if self._leadership is not None else None
        if change is not None and not change.is_answered and self._now >= change.deadline:
            change.is_answered = True
            self._actions.append(ev.Answer(change.request, ev.Unknown()))
        while self._queue and self._now >= self._queue[0][1]:
            self._actions.append(ev.Answer(self._queue.popleft()[0].request, ev.Busy()))

    def _start_writes(self, leadership: Leadership) -> None:
        while self._queue and leadership.change is None and leadership.committed is self._value:
            write, deadline = self._queue.popleft()
            result = self._result_without_change(write, self._value)
            if result is None:
                leadership.change = PendingChange(write.request, deadline)
                calls = self._value.calls.with_call(write.revision, write.digest)
                self._set_value(Value(leadership.term, write.revision, write.digest, write.document, calls))
            else:
                self._actions.append(ev.Answer(write.request, result))

    def _result_without_change(self, write: ev.Write, current: Value) -> ev.Result | None:
        """Return the answer to a write that changes nothing, None when the write is to be applied."""
        if current.calls.revision_of(write.digest) is not None:
            return ev.Accepted()
        if write.base == current.revision < write.revision:
            return None
        if current.calls.may_be_forgotten(write.revision):
            return ev.Unknown()
        return ev.Conflict(current.revision)

    # Invariants.

    def _check_invariants(self) -> None:
        """Raise InvariantBroken when the state is inconsistent."""
        record, acceptor, leadership = self._acceptor.chosen, self._acceptor, self._leadership
        if record is not None:
            self._require(record.primary in ("", *record.copies), "the primary is a copy")
            self._require(set(record.copies) <= set(record.members), "copies are members")
        self._require(self._is_member == (self._state is not State.OUTSIDER), "only members take part")
        accepted = acceptor.accepted
        if accepted is not None:
            self._require(accepted[0] <= acceptor.promised, "what was accepted was promised")
            self._require(accepted[1].epoch == acceptor.epoch + 1, "what was accepted changes the newest record")
        self._require((leadership is not None) == (self._state is State.PRIMARY), "a primary and only it reigns")
        self._require(self._value.term <= max(acceptor.epoch, -1), "the value's term is known")
        if leadership is not None and record is not None:
            self._require((record.primary, record.term) == (self._id, leadership.term), "a primary is the record's")
            if leadership.committed is not None:
                committed = leadership.committed.revision
                self._require(committed <= self._value.revision, "a value is no older than committed")
                self._require(committed >= self._committed_revision, "committed revisions rise")
                self._committed_revision = committed

    _handlers: Mapping[type[ev.AnyMessage], Callable[..., None]] = {
        ev.Prepare: lambda self, message: self._on_prepare(message),
        ev.Promise: lambda self, message: self._on_promise(message),
        ev.Accept: lambda self, message: self._on_accept(message),
        ev.AcceptOk: lambda self, message: self._on_accept_ok(message),
        ev.Refused: lambda self, message: self._on_refused(message),
        ev.Chosen: lambda self, message: self._on_chosen(message),
        ev.AskLease: lambda self, message: self._on_ask_lease(message),
        ev.GrantLease: lambda self, message: self._on_grant_lease(message),
        ev.Released: lambda self, message: self._on_released(message),
        ev.Store: lambda self, message: self._on_store(message),
        ev.Stored: lambda self, message: self._on_stored(message),
        ev.Join: lambda self, message: self._on_join(message),
        ev.Leaving: lambda self, message: self._on_leaving(message),
    }
