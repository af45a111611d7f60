"""Candidate layer of the replica: Paxos rounds for the next record, and giving up leadership.

Guarantees: only a replica that holds a copy of the data becomes a candidate; other voters are asked for promises only
after the own promise is durable; a record that may have been chosen already is completed before any other; a primary
that finds another replica's record in its round steps down.
"""

from __future__ import annotations

import msgspec

from cranebank.control import events as ev
from cranebank.control.consensus_types import State
from cranebank.control.epochs import Ballot, EpochRecord, Proposal, choose_by_zone
from cranebank.control.replica import ELECTION_TIMEOUT_S, SHORT_ELECTION_TIMEOUT_S
from cranebank.control.voter import PHASE_RETRY_INTERVAL_S, Voter

CANDIDACY_MAX_DISK_S = 0.3  # no candidacy while a write to disk has been pending for longer
RETIRED_CANDIDACY_DELAY_S = 2.4
"""A retiring copy becomes a candidate after so long without a primary: apparently no other copy can."""


class Candidate(Voter):
    """Candidate and proposer of records. Extended by ``primary.Primary``."""

    def _may_campaign(self) -> bool:
        now, record = self._now, self._acceptor.chosen
        if record is None or not self._is_member:
            return False
        if self._is_retired and now < self._primary_heard_at + RETIRED_CANDIDACY_DELAY_S:
            return False
        if self._state is not State.FOLLOWER and not (self._state is State.WAITING and self._was_primary):
            return False
        if now < max(self._election_at, self._no_campaign_before, self._voter_lease.until):
            return False
        return self._disk_pending_s() < CANDIDACY_MAX_DISK_S and self._holds_data(record)

    def _holds_data(self, record: EpochRecord) -> bool:
        return self._id in record.copies or not record.copies

    def _campaign(self) -> None:
        record = self._acceptor.chosen
        assert record is not None
        epoch = record.epoch + 1
        self._change(State.CANDIDATE, "no primary")
        copies = record.copies or self._first_copies(record)
        self._propose(msgspec.structs.replace(record, epoch=epoch, term=epoch, primary=self._id, copies=copies))

    def _first_copies(self, record: EpochRecord) -> tuple[str, ...]:
        """Return the copies of the first record.

        No change was made before the first primary, so every member holds all data. The primary takes others along as
        copies, since it might not come back.
        """
        others = choose_by_zone(set(record.members) - {self._id}, [self._id], self._zones)
        return (self._id, *others)[: self._copy_target(record)]

    def _step_down(self, reason: str, pause_s: float) -> None:
        self._no_campaign_before = self._now + pause_s
        if self._leadership is None:
            if self._state is State.CANDIDATE:
                self._change(State.FOLLOWER, reason)
            return
        term = self._leadership.term
        self._change(State.FOLLOWER, reason)
        for replica in self._members:
            self._send(replica, ev.Released(self._id, term))

    # Paxos rounds.

    def _propose(self, own: EpochRecord) -> None:
        record = self._acceptor.chosen
        assert record is not None
        self._proposal = Proposal(record, own, self._next_ballot(), self._now)
        # The own promise must be durable before others are asked: after a restart this ballot must not be reused.
        self._send(self._id, ev.Prepare(self._id, record, self._proposal.ballot))

    def _next_ballot(self) -> Ballot:
        self._highest_round = max(self._highest_round, self._acceptor.promised[0]) + 1
        return self._highest_round, self._id

    def _retry_proposal(self, proposal: Proposal) -> None:
        now = self._now
        if proposal.retry_at is not None and now >= proposal.retry_at:
            proposal.restart(self._next_ballot(), now)
            self._send(self._id, ev.Prepare(self._id, proposal.base, proposal.ballot))
        elif now >= proposal.sent + PHASE_RETRY_INTERVAL_S:
            proposal.sent = now
            if proposal.record is None:
                self._ask_promises(proposal)
            else:
                self._ask_accepts(proposal, proposal.record)

    def _ask_promises(self, proposal: Proposal) -> None:
        voters = proposal.base.members if proposal.prepared else (self._id,)
        for replica in voters:
            if replica not in proposal.promises:
                self._send(replica, ev.Prepare(self._id, proposal.base, proposal.ballot))

    def _ask_accepts(self, proposal: Proposal, record: EpochRecord) -> None:
        for replica in sorted(proposal.voters - proposal.accepts):
            self._send(replica, ev.Accept(self._id, proposal.base, proposal.ballot, record))

    def _on_promise(self, message: ev.Promise) -> None:
        proposal = self._proposal
        if proposal is None or (message.epoch, message.ballot) != (proposal.base.epoch, proposal.ballot):
            return
        has_majority = proposal.promised(message.sender, message.accepted)
        if message.sender == self._id and not proposal.prepared:
            proposal.prepared = True
            if proposal.record is None:
                self._ask_promises(proposal)
        record = proposal.record
        if has_majority and record is not None:
            if self._leadership is not None and (record.primary, record.term) != (self._id, self._leadership.term):
                # Another replica's takeover may have been chosen; the next candidate completes it.
                self._step_down("another replica's record must be completed", 0.0)
                return
            proposal.sent = self._now
            self._ask_accepts(proposal, record)

    def _on_accept_ok(self, message: ev.AcceptOk) -> None:
        proposal = self._proposal
        if proposal is None or (message.epoch, message.ballot) != (proposal.base.epoch, proposal.ballot):
            return
        record = proposal.record
        if proposal.accepted(message.sender) and record is not None:
            others = proposal.voters - {self._id}
            self._learn(record, is_own=record is proposal.own)
            for replica in sorted(others):
                self._send_record(replica)

    def _on_refused(self, message: ev.Refused) -> None:
        proposal = self._proposal
        if proposal is None or (message.epoch, message.ballot) != (proposal.base.epoch, proposal.ballot):
            return
        self._highest_round = max(self._highest_round, message.promised[0])
        if message.promised > message.ballot and proposal.retry_at is None:
            proposal.retry_at = self._now + self._random_between(
                ELECTION_TIMEOUT_S if self._leadership is None else SHORT_ELECTION_TIMEOUT_S
            )
