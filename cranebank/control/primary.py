"""Primary layer of the replica: its lease, the replication of the value, and changes of copies and members.

Guarantees: a value is committed, and only then acknowledged, when every copy of the chosen record, and of a proposed
one, holds it durably while the lease is valid; a failed copy is replaced by a member that holds the value, through a
change of the record, before anything is acknowledged without it; members change one record at a time
(``membership.next_members``), and only while majorities of the old and of the new members are reachable.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from cranebank.control import events as ev
from cranebank.control.consensus_types import Leadership
from cranebank.control.election import RETIRED_CANDIDACY_DELAY_S, Candidate
from cranebank.control.epochs import EpochRecord, choose_by_zone, is_majority
from cranebank.control.membership import View, next_members
from cranebank.control.replica import MEMBER_SILENCE_S
from cranebank.transport.revision import NO_REVISION, Revision

LEASE_REQUEST_INTERVAL_S = 0.25  # between requests for the lease
STORE_ACK_TIMEOUT_S = 0.4  # within which a copy must have stored a value
STORE_RETRY_INTERVAL_S = 1.0  # between transmissions of a value to one replica
MAX_DISK_STALL_S = 0.8  # the primary steps down when a write to its disk takes longer
STEP_DOWN_PAUSE_S = 2.0  # wait before it stands again; others need far less to take over


class Primary(Candidate):
    """Holder of the lease and source of the value. Extended by ``consensus_replica.ConsensusReplica``."""

    @property
    def current(self) -> tuple[Revision, bytes, bytes] | None:
        """Committed revision, document and digest (revision 0 before the first); None unless primary and known."""
        if self._leadership is None or self._leadership.committed is None:
            return None
        value = self._leadership.committed
        return value.revision, value.document, value.digest

    def known_call(self, digest: bytes) -> Revision | None:
        """Return the revision that a call put in force; None when unknown or when this is not the primary."""
        if self._leadership is None or self._leadership.committed is None:
            return None
        return self._leadership.committed.calls.revision_of(digest)

    def may_be_forgotten(self, revision: int) -> bool:
        """Return whether a call with this revision may have been applied and evicted from the call table.

        Meaningful only on a primary whose committed value is known.
        """
        if self._leadership is None or self._leadership.committed is None:
            return True
        return self._leadership.committed.calls.may_be_forgotten(revision)

    # Holding the lease.

    def _tick_primary(self) -> None:
        leadership, now = self._leadership, self._now
        record = self._acceptor.chosen
        assert leadership is not None and record is not None
        if self._disk_pending_s() > MAX_DISK_STALL_S:
            self._step_down("own disk is stuck", STEP_DOWN_PAUSE_S)
        elif self._is_retired and not self._must_stay_primary():
            self._step_down("retire", RETIRED_CANDIDACY_DELAY_S)
        elif not self.holds_lease(now) and now >= leadership.establish_by:
            # Voters that still hear this primary must be free to choose another one.
            self._step_down("lease expired", self._settings.lease_s / 2)
            self._election_at = max(self._election_at, now + self._election_timeout())

    def _must_stay_primary(self) -> bool:
        """Return whether a retiring primary must first make another member a copy, as no other can take over."""
        leadership, record = self._leadership, self._acceptor.chosen
        if leadership is None or record is None:
            return False
        others = set(self._healthy_copies(record)) - {self._id}
        if others & self._holders(leadership):
            return False
        return any(
            not (self._is_unreachable(member) or self._is_leaving(member))
            for member in record.members
            if member != self._id
        )

    def _lease_request(self, leadership: Leadership, record: EpochRecord, number: int, replica: str) -> ev.AskLease:
        committed = leadership.committed
        if committed is None or not self.holds_lease(self._now):
            return ev.AskLease(self._id, record, number)
        return ev.AskLease(self._id, record, number, leadership.stamps.get(replica), committed.revision)

    def _on_grant_lease(self, message: ev.GrantLease) -> None:
        if self._leadership is not None and message.term == self._leadership.term:
            self._leadership.lease.granted(message.sender, message.number, self._now)
            self._leadership.stamps[message.sender] = message.stamp

    # Replication of the value.

    def _all_copies(self, record: EpochRecord) -> set[str]:
        """Return all replicas that may take over: the copies of the chosen record and of a proposed one, which may be
        chosen already."""
        proposal = self._proposal
        return set(record.copies) | (set(proposal.own.copies) if proposal is not None else set())

    def _holders(self, leadership: Leadership) -> set[str]:
        holders = {
            replica for replica, revision in leadership.held_revisions.items() if revision == self._value.revision
        }
        return holders | ({self._id} if self._value_durable else set())

    def _is_committable(self, leadership: Leadership, record: EpochRecord) -> bool:
        return self._all_copies(record) <= self._holders(leadership) and len(record.copies) >= self._copy_target(record)

    def _commit(self, leadership: Leadership) -> None:
        value = self._value
        if leadership.committed is value:
            return
        leadership.committed = value
        self._newest_committed = max(self._newest_committed, value.revision)
        if value.revision > 0:
            self._actions.append(ev.Committed(value.revision, value.document, value.digest))
        change, leadership.change = leadership.change, None
        if change is not None and not change.is_answered:
            self._actions.append(ev.Answer(change.request, ev.Accepted()))

    def _on_stored(self, message: ev.Stored) -> None:
        if self._leadership is not None and message.term == self._leadership.term:
            held_revisions = self._leadership.held_revisions
            held_revisions[message.sender] = max(message.revision, held_revisions.get(message.sender, NO_REVISION))

    def _is_store_overdue(self, replica: str) -> bool:
        """Return whether a replica has not acknowledged the value within the timeout."""
        leadership = self._leadership
        sent = leadership.first_sent.get(replica) if leadership is not None else None
        return (
            leadership is not None
            and sent is not None
            and sent[0] == self._value.revision
            and leadership.held_revisions.get(replica, -1) != sent[0]
            and self._now - sent[1] > STORE_ACK_TIMEOUT_S
        )

    def _replacement_copies(self, leadership: Leadership, record: EpochRecord, healthy: list[str]) -> list[str]:
        """Return the members that should become copies in place of the missing ones, best first."""
        missing = self._copy_target(record) - len(healthy)
        if missing <= 0:
            return []
        fit = [
            replica
            for replica in record.members
            if replica not in record.copies and not (self._is_unreachable(replica) or self._is_leaving(replica))
        ]
        holders = self._holders(leadership)
        ordered = choose_by_zone(fit, healthy, self._zones)
        # An overdue member is tried last, but is tried again: only a message may have been lost.
        ordered.sort(key=lambda replica: (replica not in holders, self._is_store_overdue(replica)))
        return ordered[:missing]

    def _healthy_copies(self, record: EpochRecord) -> list[str]:
        return [
            replica
            for replica in record.copies
            if replica == self._id
            or not (self._is_unreachable(replica) or self._is_store_overdue(replica) or self._is_leaving(replica))
        ]

    def _send_stores(self, leadership: Leadership, record: EpochRecord) -> None:
        value, now = self._value, self._now
        holders = self._holders(leadership)
        wanted = self._all_copies(record) | set(
            self._replacement_copies(leadership, record, self._healthy_copies(record))
        )
        for replica in sorted(wanted - holders - {self._id}):
            if self._is_unreachable(replica):
                continue
            last = leadership.last_sent.get(replica)
            if last is not None and last[0] == value.revision and now < last[1] + STORE_RETRY_INTERVAL_S:
                continue
            leadership.last_sent[replica] = (value.revision, now)
            if leadership.first_sent.get(replica, (-1, 0.0))[0] != value.revision:
                leadership.first_sent[replica] = (value.revision, now)
            # The copy stores the value under this term, whichever term it came from.
            message = ev.Store(self._id, record, value.revision, value.digest, value.document, value.calls)
            self._send(replica, message)

    # Changes of the record.

    def _changed_copies(self, leadership: Leadership, record: EpochRecord) -> EpochRecord | None:
        """Return the record with failed copies replaced by members that hold the value, never with fewer copies."""
        healthy = self._healthy_copies(record)
        target = self._copy_target(record)
        if len(healthy) == len(record.copies) and len(healthy) >= target:
            return None
        holders = self._holders(leadership)
        copies = healthy + [
            replica for replica in self._replacement_copies(leadership, record, healthy) if replica in holders
        ]
        is_grown = len(copies) > len(record.copies) and set(record.copies) <= set(copies)
        if set(copies) == set(record.copies) or not (len(copies) >= target or is_grown):
            return None
        return self._next_record(record, copies=tuple(copies))

    def _changed_members(self, record: EpochRecord) -> EpochRecord | None:
        """Return the record with members replaced, added or removed, None when no change is needed."""
        view = View(
            record.members,
            record.copies,
            {member: self._silence_s(member) for member in record.members},
            {member for member in record.members if self._is_leaving(member)},
            self._newcomers(self._now),
            self._zones,
        )
        members = next_members(view, self._group_size)
        return self._with_members(record, members) if members is not None else None

    def _with_members(self, record: EpochRecord, members: Iterable[str | None]) -> EpochRecord | None:
        new = tuple(sorted(member for member in members if member is not None))
        present = {replica for replica in {*record.members, *new} if self._silence_s(replica) <= MEMBER_SILENCE_S}
        if not is_majority(present, new) or not is_majority(present, record.members):
            return None  # the change could not be completed, and would block all other changes of the record
        return self._next_record(record, members=new)

    def _answer_evacuations(self, leadership: Leadership, record: EpochRecord) -> None:
        """Answer the evacuation changes that the chosen record contains.

        To be called only under the lease: the chosen record is then the newest one, except for a record that is
        proposed here and may be chosen already.
        """
        if self._proposal is None:
            for request in leadership.evacuations.take_done(record.evacuated):
                self._actions.append(ev.Answer(request, ev.Accepted()))

    def _changed_evacuations(self, leadership: Leadership, record: EpochRecord) -> EpochRecord | None:
        """Return the record with all queued changes of the evacuated zones, None when it contains them already."""
        zones = leadership.evacuations.zones_after(record.evacuated)
        if zones == record.evacuated:
            return None
        leadership.evacuations.mark_proposed()
        return self._next_record(record, evacuated=zones, evacuation_number=record.evacuation_number + 1)

    def _changed_intents(self, leadership: Leadership, record: EpochRecord) -> EpochRecord | None:
        """Return the record with the wanted intents, None when it contains them already."""
        wanted = leadership.wanted_intents
        if wanted is None or wanted == record.intents:
            return None
        return self._next_record(record, intents=wanted)

    @staticmethod
    def _next_record(record: EpochRecord, **changes: object) -> EpochRecord:
        return msgspec.structs.replace(record, epoch=record.epoch + 1, **changes)
