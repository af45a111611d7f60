"""Voter layer of the replica: Paxos acceptor, learner, grantor of leases and store of the value.

Guarantees: a ballot is refused while a lease is granted to another replica or the wait after a restart is not over, so
a returning member with a high ballot does not disturb the primary; a value is stored only from the primary of the
newest known record; a removed id never votes again; contact with a majority is counted from this replica's own stamp,
which the primary returned, never from the receipt of a message.
"""

from __future__ import annotations

from cranebank.control import events as ev
from cranebank.control.consensus_types import Leadership, State, Value
from cranebank.control.epochs import EpochRecord, ip_of
from cranebank.control.replica import SHORT_ELECTION_TIMEOUT_S, Replica

PHASE_RETRY_INTERVAL_S = 0.1  # between attempts of a Paxos phase, sent to the voters that have not replied
LEAVING_INTERVAL_S = 0.1  # between Leaving messages of a retiring replica


class Voter(Replica):
    """Acceptor of records and values and grantor of leases. Extended by ``election.Candidate``."""

    def in_contact(self, now: float) -> bool:
        """Return whether this replica had contact with a lease holder within a lease's length, by its own clock.

        True for the primary under its lease, and for a voter to which a primary holding its lease has returned a stamp
        that the voter sent within that time. A message that was delayed on its way does not count as recent contact.
        """
        # A primary that has just taken over may not know yet whether the newest value is committed.
        is_settled = self._leadership is not None and self._leadership.committed is not None
        return (is_settled and self.holds_lease(now)) or now < self._contact_at + self._settings.lease_s

    def is_current(self, now: float, revision: int) -> bool:
        """Return whether this revision was the newest committed one at some time within the last lease's length."""
        return self.in_contact(now) and revision >= self._newest_committed

    def may_shut_down(self, now: float) -> bool:
        """Return whether a retiring replica has handed over all duties that others can take over.

        False while it is a copy that another member could replace, or a member that a newcomer could replace. This may
        last when the others cannot act, so the caller bounds its wait.
        """
        record = self._acceptor.chosen
        if record is None or not self._is_member:
            return True
        possible_replacements = [member for member in record.members if member not in record.copies]
        if self._id in record.copies and not all(self._is_leaving(member) for member in possible_replacements):
            return False
        return not self._newcomers(now)

    # Records.

    def _learn(self, record: EpochRecord, is_own: bool = False) -> None:
        """Adopt a chosen record if it is newer; ``is_own`` when the current candidacy proposed it as its own record."""
        before = self._members
        if not self._acceptor.learn(record):
            return
        self._dirty.add("control")
        self._voter_lease.end_if_superseded(record)
        self._proposal = None
        if self._id not in record.members:
            self._change(State.OUTSIDER, "not a member")
            if self._id in before:
                # A removed id must never count again, not even in a message that is still in flight.
                self._id = self._new_id()
        elif self._leadership is not None and (record.primary, record.term) == (self._id, self._leadership.term):
            self._leadership.forget_others(record.members)
            self._leadership.establish_by = self._now + self._settings.lease_s
            self._leadership.next_lease_request_at = self._now
        elif self._state is State.CANDIDATE and is_own:
            # A record that was only found and completed may be from an earlier process of this replica, which may have
            # acted under it: this candidacy leads only under its own record.
            self._leadership = Leadership(record.term, self._new_lease(), self._now)
            self._change(State.PRIMARY, "chosen")
        else:
            self._election_at = self._now + (
                self._random_between(SHORT_ELECTION_TIMEOUT_S)
                if record.primary == self._id
                else self._election_timeout()
            )
            if self._state is not State.WAITING:
                if record.primary not in ("", self._id):
                    self._election_at += self._settings.lease_s / 2  # its first lease request is in flight
                self._change(State.FOLLOWER, "another record was chosen")

    def _is_base_current(self, sender: str, base: EpochRecord) -> bool:
        """Adopt ``base`` if it is newer; return False and send the newest record when the sender is behind."""
        self._learn(base)
        if base.epoch < self._acceptor.epoch:
            self._send_record(sender)
            return False
        return True

    def _send_record(self, replica: str) -> None:
        record = self._acceptor.chosen
        if record is not None:
            self._send(replica, ev.Chosen(self._id, record))

    def _on_prepare(self, message: ev.Prepare) -> None:
        base, sender = message.base, message.sender
        if not self._is_base_current(sender, base) or self._id not in base.members:
            return
        is_new = message.ballot != self._acceptor.promised
        if self._voter_lease.refuses(self._now, sender, base.primary) or not self._acceptor.promise(message.ballot):
            self._send(sender, ev.Refused(self._id, base.epoch, message.ballot, self._acceptor.promised))
            return
        if is_new:
            self._dirty.add("control")
            self._defer_candidacy(sender)
        self._reply_durably(sender, ev.Promise(self._id, base.epoch, message.ballot, self._acceptor.accepted))

    def _on_accept(self, message: ev.Accept) -> None:
        base, sender, record = message.base, message.sender, message.record
        if not self._is_base_current(sender, base) or self._id not in {*base.members, *record.members}:
            return
        is_new = self._acceptor.accepted != (message.ballot, record)
        if self._voter_lease.refuses(self._now, sender, base.primary) or not self._acceptor.accept(
            message.ballot, record
        ):
            self._send(sender, ev.Refused(self._id, base.epoch, message.ballot, self._acceptor.promised))
            return
        if is_new:
            self._dirty.add("control")
            self._defer_candidacy(sender)
        self._reply_durably(sender, ev.AcceptOk(self._id, base.epoch, message.ballot))

    def _on_chosen(self, message: ev.Chosen) -> None:
        self._learn(message.record)

    def _defer_candidacy(self, sender: str) -> None:
        """Postpone the own candidacy so that another candidate can finish.

        Only a new ballot does so, not its repetition: a candidate that receives nothing would otherwise prevent all
        other candidacies for as long as it repeats its messages.
        """
        if sender != self._id:
            self._election_at = max(
                self._election_at, self._now + 3 * PHASE_RETRY_INTERVAL_S + self._election_timeout()
            )

    # Granting the lease.

    def _on_ask_lease(self, message: ev.AskLease) -> None:
        record, sender = message.record, message.sender
        if not self._is_base_current(sender, record) or sender != record.primary or self._id not in record.members:
            return
        accepted = self._acceptor.accepted
        if accepted is not None and accepted[1].primary != sender:
            return  # the takeover by another replica may be chosen with this voter's acceptance
        if not self._voter_lease.grant(sender, record.term, self._now + self._settings.lease_s):
            return
        self._primary_heard_at = self._now
        self._election_at = self._voter_lease.until + self._election_timeout()
        if self._state is State.CANDIDATE:
            self._change(State.FOLLOWER, "granted a lease")
        self._record_contact(message)
        # The record must be durable first, or after a restart this voter would not know to whom it granted the lease.
        stamp = ev.Stamp(self._incarnation, self._now)
        self._reply_durably(sender, ev.GrantLease(self._id, record.term, message.number, stamp))

    def _record_contact(self, message: ev.AskLease) -> None:
        """Record contact: a primary that held its lease has sent this replica's own stamp back."""
        stamp = message.stamp
        if stamp is None or stamp.incarnation != self._incarnation:
            return
        self._contact_at = max(self._contact_at, stamp.at)
        self._newest_committed = max(self._newest_committed, message.committed)

    def _on_released(self, message: ev.Released) -> None:
        if self._voter_lease.release(message.term):
            self._election_at = self._now + self._random_between(SHORT_ELECTION_TIMEOUT_S)

    # Storing the value.

    def _on_store(self, message: ev.Store) -> None:
        self._learn(message.record)
        if not self._may_store(message):
            return
        value = Value(message.record.term, message.revision, message.digest, message.document, message.calls)
        if value.age < self._value.age:
            return
        if value.age > self._value.age:
            self._set_value(value)
        self._on_durable.append(
            ("value", self._deferred_send(message.sender, ev.Stored(self._id, value.term, value.revision)))
        )

    def _may_store(self, message: ev.Store) -> bool:
        record = self._acceptor.chosen
        if record is None or message.record.term < record.term:
            # The sender is a past primary: its value would overwrite one that was acknowledged since.
            self._send_record(message.sender)
            return False
        return message.sender == record.primary and self._is_member

    def _set_value(self, value: Value) -> None:
        self._value, self._value_durable = value, False
        self._dirty |= {"control", "value"}

        def durable(_now: float) -> None:
            if self._value is value:
                self._value_durable = True

        self._on_durable.append(("value", durable))

    # Joining and leaving.

    def _on_join(self, message: ev.Join) -> None:
        if message.epoch < self._acceptor.epoch:
            self._send_record(message.sender)
        if message.sender in self._members:
            return
        self._forget_earlier_requests(message.sender)
        if message.epoch >= self._acceptor.members_since or message.epoch < 0:
            # A replica with an older membership may be a removed member; it must first learn so and take a new id.
            self._join_requests[message.sender] = self._now

    def _forget_earlier_requests(self, newest: str) -> None:
        """Drop the Join requests of earlier replicas of this machine.

        These no longer exist: a group that admits one has a member that never responds.
        """
        machine = [replica for replica in self._join_requests if ip_of(replica) == ip_of(newest)]
        for replica in machine:
            if replica != newest:
                del self._join_requests[replica]

    def _announce_leaving(self) -> None:
        self._next_leaving_at = self._now + LEAVING_INTERVAL_S
        for replica in self._members:
            self._send(replica, ev.Leaving(self._id))

    def _on_leaving(self, message: ev.Leaving) -> None:
        self._leaving[message.sender] = self._now
