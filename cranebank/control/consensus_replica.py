"""The replicated configuration and the record of who keeps it, as one I/O-free state machine.

A primary, under a lease that a majority granted, stores a change on its own disk and on all copies that the epoch
record names before it answers; witnesses keep only epochs. A takeover changes the record's primary and leaves its
copies as they are: each of them holds all that was ever answered, so none is dropped before another holds it too. (A
record that named the new primary alone could come into force when that one is cut off or gone already.)

The layers, lowest first: ``replica`` (identity, disk, who was heard), ``voter``, ``election``, ``primary``, and here
the events, the queue of writes and the invariants. Times are seconds of a steady clock.
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
from cranebank.control.election import RETIRED_PAUSE_S
from cranebank.control.epochs import OrderIntent, ip_of
from cranebank.control.primary import ASK_S, Primary
from cranebank.control.replica import DISK_AGAIN_S, LEAVING_FRESH_S
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
JOIN_INTERVAL_S = 0.3  # between asks to be admitted, or to be told of a newer record
WRITE_TIMEOUT_S = 3.5  # in which a write is answered
QUEUE = 64  # writes that wait
REMEMBERED_S = 60.0  # addresses of replicas that were heard but aren't members
MOST_STRANGERS = 64  # controllers that haven't asked to be admitted whose zones are kept, the newest


class ConsensusReplica(Primary):
    """One controller's part. Tell it events with `handle`; do the actions that it returns in their order."""

    def fence(self) -> int:
        """Return the number that fences off earlier primaries; to be used only while `holds_lease`."""
        return self._acceptor.epoch

    def status(self, now: float) -> ev.Status:
        """Tell how things stand here."""
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
            intents=self._named_intents(),
            evacuated=record.evacuated if record is not None else (),
            evacuation_number=record.evacuation_number if record is not None else 0,
        )

    def _named_intents(self) -> tuple[OrderIntent, ...] | None:
        """Return the intents that every successor will know of.

        A record that is proposed may be chosen already, and one without an intent that is wanted no more follows as
        soon as another change of the record is over: an order that relied on such an intent would outlive it.
        """
        record, leadership = self._acceptor.chosen, self._leadership
        if record is None or record.intents is None or leadership is None:
            return record.intents if record is not None else None
        staying = record.intents
        if self._proposal is not None:
            coming = (self._proposal.record or self._proposal.own).intents or ()
            staying = tuple(intent for intent in staying if intent in coming)
        wanted = leadership.wanted_intents
        if wanted is not None:
            staying = tuple(intent for intent in staying if intent in wanted)
        return staying

    # Events.

    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
        """Take one event at a time of the steady clock; return what is to be done, in order."""
        self._now = now = max(now, self._now)
        self._actions = []
        if isinstance(event, ev.Received):
            self._receive(event.message)
        elif isinstance(event, ev.Tick):
            self._tick()
        elif isinstance(event, ev.Persisted):
            self._persisted(event.token)
        elif isinstance(event, ev.PersistFailed):
            if event.token in self._waiting:
                self._waiting[event.token].again_at = now + DISK_AGAIN_S
        elif isinstance(event, ev.LinkDown):
            self._down |= {replica for replica in self._heard if ip_of(replica) == event.ip}
            if self._leadership is not None:
                for replica in [replica for replica in self._leadership.last_sent if ip_of(replica) == event.ip]:
                    del self._leadership.last_sent[replica]
        elif isinstance(event, ev.Write):
            self._write(event)
        elif isinstance(event, ev.Evacuate):
            self._evacuate(event)
        elif isinstance(event, ev.ZoneReported):
            self._locate(event)
        elif isinstance(event, ev.SetIntents):
            if self._leadership is not None:
                self._leadership.wanted_intents = event.intents
        else:
            self._is_retired = True
            if not self._must_lead_on():
                self._step_down("retire", RETIRED_PAUSE_S)
            self._tell_leaving()
        self._follow_up()
        self._check()
        actions, self._actions = self._actions, []
        return actions

    def _follow_up(self) -> None:
        """Follow up until nothing more comes of it: messages to itself, what became durable, the primary's part."""
        while True:
            while self._local:
                self._receive(self._local.popleft())
            self._advance()
            self._flush()
            if not self._local and not self._after:
                break
        acting = self.holds_lease(self._now)
        if acting != self._is_acting:
            self._is_acting = acting
            self._actions.append(ev.LeadershipGained(self._acceptor.epoch) if acting else ev.LeadershipLost())

    def _receive(self, message: ev.AnyMessage) -> None:
        self._heard[message.sender] = self._now
        self._down.discard(message.sender)
        self._handlers[type(message)](self, message)

    def _tick(self) -> None:
        now = self._now
        for token in [token for token, one in self._waiting.items() if one.again_at is not None]:
            one = self._waiting[token]
            if one.again_at is not None and now >= one.again_at:
                # Written again as it is by now: what is in memory is never older than what was asked to be stored.
                del self._waiting[token]
                self._store(one.keys, one.then, one.since)
        if self._state is State.WAITING and now >= self._voter_lease.quarantine_until:
            self._change(State.FOLLOWER, "the restart's wait is over")
        self._answer_late()
        if self._state is State.PRIMARY:
            self._tick_primary()
        elif self._state is State.CANDIDATE and self._proposal is not None:
            if now >= self._proposal.started + CANDIDACY_TIMEOUT_S:
                self._election_at = now + self._election_timeout()
                self._change(State.FOLLOWER, "candidacy came to nothing")
        elif self._may_campaign():
            self._campaign()
        if self._proposal is not None:
            self._try_again(self._proposal)
        is_lost = self._state is not State.PRIMARY and now - self._primary_heard > self._settings.lease_s
        if (self._state is State.OUTSIDER or is_lost) and now >= self._join_at and not self._is_retired:
            self._join_at = now + JOIN_INTERVAL_S
            for ip in sorted(self.known_ips() - {self._settings.ip}):
                self._actions.append(ev.Send(ip, ev.Join(self._id, self._acceptor.epoch)))
        if self._is_retired and now >= self._leave_at:
            self._tell_leaving()
        self._forget_old(now)

    def _forget_old(self, now: float) -> None:
        """Drop what was told too long ago to count."""
        self._leaving = {who: at for who, at in self._leaving.items() if now - at < LEAVING_FRESH_S}
        self._join_requests = {who: at for who, at in self._join_requests.items() if now - at < REMEMBERED_S}
        if len(self._heard) > len(self._members) + len(self._join_requests):
            self._heard = {who: at for who, at in self._heard.items() if now - at < REMEMBERED_S}
            self._down &= set(self._heard)

    def _advance(self) -> None:
        """All that a primary does when something has happened."""
        leadership, record, now = self._leadership, self._acceptor.chosen, self._now
        if leadership is None or record is None:
            return
        if now >= leadership.ask_at:
            leadership.ask_at = now + ASK_S
            number = leadership.lease.ask(now)
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

    def _locate(self, event: ev.ZoneReported) -> None:
        """Note a controller's zone. It tells that when it connects, before it can have asked to be admitted."""
        self._zones.pop(event.ip, None)
        self._zones[event.ip] = event.zone
        known = self.known_ips() | {self._settings.ip}
        strangers = [ip for ip in self._zones if ip not in known]
        for ip in strangers[:-MOST_STRANGERS]:
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
        elif len(self._queue) >= QUEUE:
            self._actions.append(ev.Answer(write.request, ev.Busy()))
        else:
            self._queue.append((write, self._now + WRITE_TIMEOUT_S))

    def _answer_late(self) -> None:
        if self._leadership is not None:
            for request, result in self._leadership.evacuations.take_late(self._now):
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
        """Return the answer to a write, None when it is to be done."""
        if current.calls.revision_of(write.digest) is not None:
            return ev.Accepted()
        if write.base == current.revision < write.revision:
            return None
        if current.calls.may_be_forgotten(write.revision):
            return ev.Unknown()
        return ev.Conflict(current.revision)

    # Invariants.

    def _check(self) -> None:
        """Raise InvariantBroken when the state contradicts itself."""
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
