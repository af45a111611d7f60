"""A replica as a voter: what it promises, accepts and learns, whom it grants a lease, which value it stores.

Guarantees: a ballot is refused while a lease is granted to another or a restart's wait is not over, so a returning
member with a high ballot disturbs no primary; a value is stored only from the primary of the newest record known; a
removed id never votes again; contact with a majority is counted from this replica's own stamp, which the primary
returned, never from the receipt of a message.
"""

from __future__ import annotations

from cranebank.control import events as ev
from cranebank.control.consensus_types import Leadership, State, Value
from cranebank.control.epochs import EpochRecord, ip_of
from cranebank.control.replica import SHORT_ELECTION_TIMEOUT_S, Replica

PHASE_AGAIN_S = 0.1  # between tries of a Paxos phase towards those who haven't replied
LEAVE_AGAIN_S = 0.1  # between tellings that this replica is about to end


class Voter(Replica):
    """Acceptor of records and values, and grantor of leases. Extended by ``election.Candidate``."""

    def in_contact(self, now: float) -> bool:
        """Tell whether this replica knows of a majority's lease no older than a lease's length, by its own clock.

        True for the primary under its lease, and for a voter that was told within that time, in reply to what it sent
        within that time, by a primary that held its lease. What was held up on the way does not count as fresh.
        """
        # A primary that has just taken over may not know the newest value to be committed yet.
        is_settled = self._leadership is not None and self._leadership.committed is not None
        return (is_settled and self.holds_lease(now)) or now < self._contact_at + self._settings.lease_s

    def is_current(self, now: float, revision: int) -> bool:
        """Tell whether this revision was the newest committed one at some time within the last lease's length."""
        return self.in_contact(now) and revision >= self._newest_committed

    def may_shut_down(self, now: float) -> bool:
        """Tell a replica that was told to retire whether it has handed over all that others can take from it.

        False while it is a copy that another member could relieve, or a member in whose place a newcomer could come.
        That may stay so when others can't do their part: the caller bounds how long it waits.
        """
        record = self._acceptor.chosen
        if record is None or not self._is_member:
            return True
        relievers = [member for member in record.members if member not in record.copies]
        if self._id in record.copies and not all(self._is_leaving(member) for member in relievers):
            return False
        return not self._newcomers(now)

    # Records.

    def _learn(self, record: EpochRecord, is_own: bool = False) -> None:
        """Take a chosen record if it is news; `is_own` when this very candidacy made it up and got it chosen."""
        before = self._members
        if not self._acceptor.learn(record):
            return
        self._dirty.add("control")
        self._voter_lease.superseded(record)
        self._proposal = None
        if self._id not in record.members:
            self._change(State.OUTSIDER, "not a member")
            if self._id in before:
                # A removed id never counts again, not even by a message that is still on its way.
                self._id = self._fresh_id()
        elif self._leadership is not None and (record.primary, record.term) == (self._id, self._leadership.term):
            self._leadership.forget_others(record.members)
            self._leadership.establish_by = self._now + self._settings.lease_s
            self._leadership.ask_at = self._now
        elif self._state is State.CANDIDATE and is_own:
            # One that was found and completed may be of an earlier life, which has acted and proposed more by it.
            self._leadership = Leadership(record.term, self._new_lease(), self._now)
            self._change(State.PRIMARY, "chosen")
        else:
            self._election_at = self._now + (
                self._between(SHORT_ELECTION_TIMEOUT_S) if record.primary == self._id else self._election_timeout()
            )
            if self._state is not State.WAITING:
                if record.primary not in ("", self._id):
                    self._election_at += self._settings.lease_s / 2  # its first ask is on the way
                self._change(State.FOLLOWER, "another record was chosen")

    def _is_current(self, sender: str, base: EpochRecord) -> bool:
        """Take a newer record that a message shows; tell its sender when it is the one that is behind."""
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
        if not self._is_current(sender, base) or self._id not in base.members:
            return
        is_news = message.ballot != self._acceptor.promised
        if self._voter_lease.refuses(self._now, sender, base.primary) or not self._acceptor.promise(message.ballot):
            self._send(sender, ev.Refused(self._id, base.epoch, message.ballot, self._acceptor.promised))
            return
        if is_news:
            self._dirty.add("control")
            self._let_pass(sender)
        self._reply_durably(sender, ev.Promise(self._id, base.epoch, message.ballot, self._acceptor.accepted))

    def _on_accept(self, message: ev.Accept) -> None:
        base, sender, record = message.base, message.sender, message.record
        if not self._is_current(sender, base) or self._id not in {*base.members, *record.members}:
            return
        is_news = self._acceptor.accepted != (message.ballot, record)
        if self._voter_lease.refuses(self._now, sender, base.primary) or not self._acceptor.accept(
            message.ballot, record
        ):
            self._send(sender, ev.Refused(self._id, base.epoch, message.ballot, self._acceptor.promised))
            return
        if is_news:
            self._dirty.add("control")
            self._let_pass(sender)
        self._reply_durably(sender, ev.AcceptOk(self._id, base.epoch, message.ballot))

    def _on_chosen(self, message: ev.Chosen) -> None:
        self._learn(message.record)

    def _let_pass(self, sender: str) -> None:
        """Another is standing; leave it the time to come through. Its repeats leave it no more: it may be one that
        hears nobody, and would keep all others from standing for as long as that lasts."""
        if sender != self._id:
            self._election_at = max(self._election_at, self._now + 3 * PHASE_AGAIN_S + self._election_timeout())

    # The lease, as granted.

    def _on_ask_lease(self, message: ev.AskLease) -> None:
        record, sender = message.record, message.sender
        if not self._is_current(sender, record) or sender != record.primary or self._id not in record.members:
            return
        accepted = self._acceptor.accepted
        if accepted is not None and accepted[1].primary != sender:
            return  # another's takeover may be chosen by this very voter
        if not self._voter_lease.grant(sender, record.term, self._now + self._settings.lease_s):
            return
        self._primary_heard = self._now
        self._election_at = self._voter_lease.until + self._election_timeout()
        if self._state is State.CANDIDATE:
            self._change(State.FOLLOWER, "granted a lease")
        self._note_contact(message)
        # The record that the lease is of must be durable, or a restart would not know whom it had granted.
        stamp = ev.Stamp(self._life, self._now)
        self._reply_durably(sender, ev.GrantLease(self._id, record.term, message.number, stamp))

    def _note_contact(self, message: ev.AskLease) -> None:
        """The ask returns this replica's own stamp: it was sent after that, by a primary that held its lease."""
        stamp = message.stamp
        if stamp is None or stamp.life != self._life:
            return
        self._contact_at = max(self._contact_at, stamp.at)
        self._newest_committed = max(self._newest_committed, message.committed)

    def _on_released(self, message: ev.Released) -> None:
        if self._voter_lease.release(message.term):
            self._election_at = self._now + self._between(SHORT_ELECTION_TIMEOUT_S)

    # The value, as stored.

    def _on_store(self, message: ev.Store) -> None:
        self._learn(message.record)
        if not self._may_store(message):
            return
        value = Value(message.record.term, message.revision, message.digest, message.document, message.calls)
        if value.age < self._value.age:
            return
        if value.age > self._value.age:
            self._set_value(value)
        self._after.append(("value", self._sender_of(message.sender, ev.Stored(self._id, value.term, value.revision))))

    def _may_store(self, message: ev.Store) -> bool:
        record = self._acceptor.chosen
        if record is None or message.record.term < record.term:
            # A primary of the past: its value would overwrite one that was answered since.
            self._send_record(message.sender)
            return False
        return message.sender == record.primary and self._is_member

    def _set_value(self, value: Value) -> None:
        self._value, self._value_durable = value, False
        self._dirty |= {"control", "value"}

        def durable(_now: float) -> None:
            if self._value is value:
                self._value_durable = True

        self._after.append(("value", durable))

    # Coming and going.

    def _on_join(self, message: ev.Join) -> None:
        if message.epoch < self._acceptor.epoch:
            self._send_record(message.sender)
        if message.sender in self._members:
            return
        self._forget_earlier_requests(message.sender)
        if message.epoch >= self._acceptor.members_since or message.epoch < 0:
            # Who knows older members may be one of them, and learns first that it was removed: its id counts no more.
            self._join_requests[message.sender] = self._now

    def _forget_earlier_requests(self, newest: str) -> None:
        """Drop the asks of earlier replicas of this machine: they are gone, and a group that takes one in has a member
        that never speaks."""
        machine = [replica for replica in self._join_requests if ip_of(replica) == ip_of(newest)]
        for replica in machine:
            if replica != newest:
                del self._join_requests[replica]

    def _tell_leaving(self) -> None:
        self._leave_at = self._now + LEAVE_AGAIN_S
        for replica in self._members:
            self._send(replica, ev.Leaving(self._id))

    def _on_leaving(self, message: ev.Leaving) -> None:
        self._leaving[message.sender] = self._now
