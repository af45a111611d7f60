"""After any replacement the group tolerates its losses again, checked for the choices of further lost machines."""

from __future__ import annotations

from collections.abc import Callable
from itertools import combinations

import pytest
from test_consensus_replica import SEEDS, Group

from cranebank.control import events as ev
from cranebank.control.consensus_replica import ConsensusReplica
from cranebank.control.epochs import EpochRecord, Proposal, ip_of
from cranebank.control.membership import STANDBY_REPLACEMENT_S, View, group_size, next_members
from cranebank.control.replica import LEAVING_TTL_S

NEW = "10.0.0.99"
GRACE_S = 4.0  # within which a retiring process has ended
CATCH_UP_S = 2.0  # after the newcomer's start: half of the shortest time that the operators' guide allows
RECOVERY_TIMEOUT_S = 3.0  # from the further losses to an acknowledged write
SIZES = {1: 3, 2: 5, 3: 7}  # members by tolerance


def whole(tolerance: int) -> Group:
    """Return a group at its full size that has acknowledged revision 1."""
    ips = SEEDS + tuple(f"10.0.0.{number}" for number in range(4, SIZES[tolerance] + 1))
    group = Group(ips, tolerance=tolerance)
    group.run(2.5)
    assert len(record_of(group).members) == SIZES[tolerance]
    group.write(1, 0, 1)
    group.run(0.1)
    assert group.answers[1] == ev.Accepted()
    return group


def record_of(group: Group) -> EpochRecord:
    record = group.nodes[group.primary].record
    assert record is not None
    return record


def victim_of(group: Group, part: str) -> str:
    """Return the address of the primary, of another copy, or of a witness."""
    record = record_of(group)
    if part == "primary":
        return group.primary
    if part == "copy":
        return ip_of(next(one for one in record.copies if ip_of(one) != group.primary))
    return ip_of(next(one for one in record.members if one not in record.copies))


def leave(group: Group, ip: str) -> float:
    """Retire a process, end it when its replica may shut down, and return the seconds that this took."""
    group.deliver(ip, ev.Retire())
    since = group.now
    while not group.nodes[ip].may_shut_down(group.now) and group.now < since + GRACE_S:
        group.run(0.02)
    group.stop(ip, wipe=True)
    return group.now - since


def planned(group: Group, victim: str) -> None:
    """Start a newcomer, and long afterwards retire and end the old machine."""
    group.start(NEW)
    group.run(CATCH_UP_S)
    assert leave(group, victim) < 1.0


def unplanned(group: Group, victim: str) -> None:
    """Lose a machine and its disk without notice; start a newcomer somewhat later at another address."""
    group.stop(victim, wipe=True)
    group.run(0.7)
    group.start(NEW)
    group.run(CATCH_UP_S)


def wiped(group: Group, victim: str) -> None:
    """Restart a machine at its address with an empty disk."""
    group.stop(victim, wipe=True)
    group.run(0.7)
    group.start(victim)
    group.run(CATCH_UP_S)


def restarted(group: Group, victim: str) -> None:
    """Retire a process, and restart it on its disk."""
    group.deliver(victim, ev.Retire())
    group.run(0.3)
    group.stop(victim)
    group.run(0.7)
    group.start(victim)
    group.run(CATCH_UP_S)


def tolerates(group: Group, lost: tuple[str, ...]) -> bool:
    """Lose these machines for good without notice; return whether the group acknowledges a write in time.

    Asserts that no acknowledged change is lost.
    """
    for ip in lost:
        group.stop(ip, wipe=True)
    end = group.now + RECOVERY_TIMEOUT_S
    request = 100
    while group.now < end:
        group.run(0.1)
        current = group.nodes[group.primary].current if group.primary else None
        if current is None:
            continue
        assert current[0] >= 1, "an acknowledged change is lost"
        request += 1
        group.write(request, current[0], current[0] + 1)
        group.run(0.1)
        if group.answers.get(request) == ev.Accepted():
            return True
    return False


REPLACEMENTS: tuple[Callable[[Group, str], None], ...] = (planned, unplanned, wiped, restarted)


@pytest.mark.parametrize("tolerance", SIZES)
@pytest.mark.parametrize("part", ["primary", "copy", "witness"])
@pytest.mark.parametrize("replace", REPLACEMENTS, ids=lambda kind: kind.__name__)
def test_after_a_replacement_every_allowed_loss_is_borne(
    replace: Callable[[Group, str], None], part: str, tolerance: int
) -> None:
    first = whole(tolerance)
    replace(first, victim_of(first, part))
    present = sorted(first.nodes)
    assert len(present) == SIZES[tolerance]
    choices = list(combinations(present, tolerance))
    for lost in choices if tolerance == 1 else choices[:: max(1, len(choices) // 6)]:
        group = whole(tolerance)
        replace(group, victim_of(group, part))
        assert len(record_of(group).members) == SIZES[tolerance]
        assert tolerates(group, lost), f"{lost} of {present}"


def test_a_member_that_leaves_hands_its_copy_over_before_it_goes() -> None:
    group = whole(1)
    leaving = victim_of(group, "copy")
    took = leave(group, leaving)
    assert took < 0.5
    record = record_of(group)
    assert leaving not in record.copies and leaving in record.members
    assert tolerates(group, ())


def test_a_copy_stays_while_a_member_could_relieve_it_and_not_where_all_leave() -> None:
    group = whole(1)
    copy, witness = victim_of(group, "copy"), victim_of(group, "witness")
    group.cut.add(witness)
    group.deliver(copy, ev.Retire())
    group.run(2.0)
    assert not group.nodes[copy].may_shut_down(group.now)
    group.cut.clear()
    group.run(0.5)
    assert group.nodes[copy].may_shut_down(group.now)
    group = whole(1)
    for ip in SEEDS:
        group.deliver(ip, ev.Retire())
    group.run(0.2)
    assert all(node.may_shut_down(group.now) for node in group.nodes.values())


def test_a_leaving_replica_is_heeded_for_as_long_as_it_stays() -> None:
    """It is replaced even by a newcomer that starts long after the retirement."""
    group = whole(1)
    leaving = victim_of(group, "witness")
    group.deliver(leaving, ev.Retire())
    group.run(2 * LEAVING_TTL_S)
    assert ip_of(group.nodes[leaving].id) in map(ip_of, record_of(group).members)
    group.start(NEW)
    group.run(0.7)  # shorter than the silence after which a member is replaced
    members = [ip_of(member) for member in record_of(group).members]
    assert NEW in members and leaving not in members
    assert group.nodes[leaving].may_shut_down(group.now)


def test_a_leaving_newcomer_is_not_admitted() -> None:
    """A retiring standby sends Leaving and no more Join requests; its earlier request no longer counts."""
    group = whole(1)
    group.start(NEW)
    group.run(0.2)
    standby = group.nodes[NEW].id
    node = group.nodes[group.primary]
    assert standby in node._newcomers(group.now)
    group.deliver(group.primary, ev.Received(NEW, ev.Leaving(standby)))
    assert standby not in node._newcomers(group.now)


@pytest.mark.parametrize("place", [0, 1])
def test_the_zone_that_a_controller_tells_decides_who_becomes_a_copy(place: int) -> None:
    """Of two members that could replace a lost copy, the one in a zone of its own does."""
    group = whole(2)
    record = record_of(group)
    witnesses = [ip_of(member) for member in record.members if member not in record.copies]
    assert len(witnesses) == 2
    chosen = witnesses[place]
    for ip in sorted(group.nodes):
        group.deliver(group.primary, ev.ZoneReported(ip, "far" if ip == chosen else "near"))
    group.stop(victim_of(group, "copy"))
    group.run(2.0)
    copies = [ip_of(member) for member in record_of(group).copies]
    assert chosen in copies and len(copies) == 3


def test_no_record_on_the_way_of_a_replacement_has_an_even_number_of_members() -> None:
    group = whole(1)
    group.sent.clear()
    unplanned(group, victim_of(group, "witness"))
    chosen = [message.record for _, _, _, message in group.sent if isinstance(message, ev.Chosen)]
    assert NEW in {ip_of(member) for record in chosen for member in record.members}, "the case was not reached"
    assert {len(record.members) for record in chosen} == {SIZES[1]}


def test_a_member_is_not_taken_out_before_it_is_relieved_as_a_copy() -> None:
    members = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
    silence = {"10.0.0.1": 0.0, "10.0.0.2": 2 * STANDBY_REPLACEMENT_S, "10.0.0.3": 0.0}

    def after(copies: tuple[str, ...], leaving: tuple[str, ...]) -> set[str] | None:
        return next_members(View(members, copies, silence, leaving, (NEW,), {}), group_size(1))

    assert after(members[:2], ()) is None
    assert after(members[:2], ("10.0.0.2",)) is None
    assert after((members[0], members[2]), ()) == {members[0], members[2], NEW}


def test_members_are_changed_by_majorities_of_the_old_and_of_the_new() -> None:
    base = EpochRecord(4, 4, "a", ("a", "b"), ("a", "b", "c"))
    for voters, is_chosen in (("ad", False), ("bd", False), ("ac", False), ("abd", True), ("ab", True), ("acd", True)):
        proposal = Proposal(base, EpochRecord(5, 4, "a", ("a", "b"), ("a", "b", "d")), (1, "a"), 0.0)
        assert proposal.promised("a", None) is False and proposal.promised("b", None) is True
        assert [proposal.accepted(voter) for voter in voters][-1] is is_chosen, voters


def test_a_write_waits_for_the_copies_of_a_record_that_may_be_chosen_already() -> None:
    group = whole(1)
    leaving, next_copy = victim_of(group, "copy"), victim_of(group, "witness")
    primary = group.nodes[group.primary]
    group.deliver(leaving, ev.Retire())
    while primary._proposal is None:
        group.run(0.001)
        assert group.now < 10.0, "no other copy was proposed"
    assert next_copy in map(ip_of, primary._proposal.own.copies)
    group.stuck.add(next_copy)
    group.write(2, 1, 2)
    group.run(0.2)
    assert 2 not in group.answers, "acknowledged without the next copy"
    group.stuck.clear()
    for token in list(group.nodes[next_copy]._writes_in_flight):
        group.deliver(next_copy, ev.PersistFailed(token))
    group.run(0.5)
    assert group.answers[2] == ev.Accepted()
    assert b"doc2" in group.disks[next_copy]["value"]


def test_several_replacements_in_a_row_keep_the_size() -> None:
    group = whole(2)
    for number in range(20, 26):
        victim = sorted(group.nodes)[number % 5]
        group.start(f"10.0.0.{number}")
        group.run(CATCH_UP_S)
        leave(group, victim)
        assert len(record_of(group).members) == 5 and victim not in map(ip_of, record_of(group).members)
    assert tolerates(group, tuple(sorted(group.nodes)[:2]))


class AddsNewcomers(ConsensusReplica):
    """Planted fault: a newcomer is added while no member is missing, which makes the group even."""

    def _changed_members(self, record: EpochRecord) -> EpochRecord | None:
        newcomers = set(self._newcomers(self._now)) - set(record.members)
        if len(record.members) == 3 and newcomers:
            return self._with_members(record, {*record.members, min(newcomers)})
        return super()._changed_members(record)


class LeavesWithItsCopy(ConsensusReplica):
    """Planted fault: a retiring replica ends at once."""

    def may_shut_down(self, now: float) -> bool:
        return True


class TakesOutNobodyWhoLeaves(ConsensusReplica):
    """Planted fault: a leaving member is replaced only after its silence is detected."""

    def _is_leaving(self, replica: str) -> bool:
        return False


@pytest.mark.parametrize("plant", [AddsNewcomers, LeavesWithItsCopy, TakesOutNobodyWhoLeaves])
def test_a_planted_fault_of_the_membership_is_found(
    plant: type[ConsensusReplica], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("test_consensus_replica.ConsensusReplica", plant)
    outcomes = []
    for part in ("primary", "copy", "witness"):
        for place in range(3):
            group = whole(1)
            group.start(NEW)
            group.run(CATCH_UP_S)
            victim = victim_of(group, part)
            took = leave(group, victim)
            lost = sorted(group.nodes)[place]
            outcomes.append(took < 1.0 and tolerates(group, (lost,)))
    assert not all(outcomes)


@pytest.mark.parametrize("dead_s", [0.0, 0.3, 0.6, 1.0, 2.0])
def test_a_primary_told_to_end_beside_a_dead_copy_leaves_a_primary_behind(dead_s: float) -> None:
    group = whole(1)
    old, copy = group.primary, victim_of(group, "copy")
    group.stop(copy)
    group.run(dead_s)
    group.deliver(old, ev.Retire())
    group.run(GRACE_S)
    assert group.primary not in ("", old)
    current = group.nodes[group.primary].current
    assert current is not None and current[0] == 1


def test_a_member_that_was_removed_while_cut_off_is_never_named_again_by_its_id() -> None:
    group = whole(1)
    removed = victim_of(group, "witness")
    group.cut.add(removed)
    group.run(1.5)
    group.start(NEW)
    group.run(1.0)
    assert removed not in record_of(group).members
    group.stop(victim_of(group, "witness"), wipe=True)
    group.run(1.5)
    group.cut.clear()
    for _ in range(40):
        group.run(0.05)
        assert not group.primary or removed not in record_of(group).members
    assert len(record_of(group).members) == 3 and group.nodes[removed].id in record_of(group).members


def test_a_member_that_left_and_is_back_relieves_a_copy_that_leaves() -> None:
    group = whole(1)
    witness, copy = victim_of(group, "witness"), victim_of(group, "copy")
    group.deliver(witness, ev.Retire())
    group.run(0.1)
    group.stop(witness)
    group.start(witness)
    group.run(0.5)
    group.deliver(copy, ev.Retire())
    assert not group.nodes[copy].may_shut_down(group.now)
    group.run(2.0)
    assert group.nodes[copy].may_shut_down(group.now) and copy not in record_of(group).copies


class StoresLostGroup(Group):
    """A group in which no Store message reaches the addresses in ``without_stores``."""

    without_stores: frozenset[str] = frozenset()

    def _do(self, ip: str, actions: list[ev.Action]) -> None:
        passed = [
            action
            for action in actions
            if not (
                isinstance(action, ev.Send)
                and isinstance(action.message, ev.Store)
                and action.ip in self.without_stores
            )
        ]
        super()._do(ip, passed)


def test_a_member_becomes_a_copy_only_when_it_holds_the_value() -> None:
    group = StoresLostGroup()
    group.run(1.0)
    group.write(1, 0, 1)
    group.run(0.1)
    witness, copy = victim_of(group, "witness"), victim_of(group, "copy")
    group.without_stores = frozenset({witness})
    group.stop(copy)
    for _ in range(20):
        group.run(0.1)
        assert witness not in record_of(group).copies
    group.without_stores = frozenset()
    group.run(2.0)
    assert witness in record_of(group).copies
