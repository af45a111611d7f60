"""Evacuated zones in the replicated record: acknowledged changes survive every fault that the group tolerates."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_consensus_replica import SEEDS, Group, ready
from test_replacement import NEW, whole

from cranebank.control import events as ev
from cranebank.control.epochs import DurableState, EpochRecord, OrderIntent
from cranebank.control.evacuation_queue import MAX_WAITING, EvacuationQueue

FIRST_REQUEST = 1000  # request number of the evacuation that a test starts with
ANSWER_LIMIT_S = 4.0  # within which every waiting call is answered


def evacuate(group: Group, request: int, zone: str, is_start: bool = True, ip: str = "") -> None:
    group.deliver(ip or group.primary, ev.Evacuate(request, zone, is_start))


def evacuated(group: Group, ip: str = "") -> tuple[str, ...]:
    return group.nodes[ip or group.primary].status(group.now).evacuated


def number(group: Group, ip: str = "") -> int:
    return group.nodes[ip or group.primary].status(group.now).evacuation_number


def started(group: Group, zone: str = "a") -> Group:
    """Return a group that has just acknowledged an evacuation, before its controllers exchange further messages."""
    evacuate(group, FIRST_REQUEST, zone)
    assert FIRST_REQUEST not in group.answers, "not before it is durable at a majority"
    while FIRST_REQUEST not in group.answers:
        group.run(0.001)
    assert group.answers[FIRST_REQUEST] == ev.Accepted() and evacuated(group) == (zone,)
    return group


def lose_power(group: Group, wiped: tuple[str, ...] = ()) -> None:
    for ip in list(group.nodes):
        group.stop(ip, wipe=ip in wiped)
    for ip in list(group.disks):
        group.start(ip)
    group.run(ANSWER_LIMIT_S)


def test_an_acknowledged_evacuation_survives_the_loss_of_the_primary() -> None:
    group = started(ready())
    first = group.primary
    group.stop(first)
    group.run(3.0)
    assert group.primary not in {"", first} and evacuated(group) == ("a",)


def test_an_acknowledged_evacuation_survives_the_loss_of_all_power() -> None:
    group = started(ready())
    lose_power(group)
    assert evacuated(group) == ("a",) and number(group) == 1


@pytest.mark.parametrize("lost", [(first, second) for first in range(5) for second in range(first)])
def test_an_acknowledged_evacuation_survives_two_lost_disks_of_five_while_the_others_lose_power(
    lost: tuple[int, int],
) -> None:
    group = started(whole(2))
    lose_power(group, tuple(list(group.disks)[one] for one in lost))
    assert evacuated(group) == ("a",)
    evacuate(group, 2, "a", False)
    group.run(0.2)
    assert group.answers[2] == ev.Accepted() and evacuated(group) == () and number(group) == 2


def test_changes_in_a_row_are_all_answered_and_the_last_one_holds() -> None:
    group = ready()
    for request, (zone, is_start) in enumerate([("b", True), ("a", True), ("b", False), ("c", True), ("a", True)]):
        evacuate(group, request, zone, is_start)
        group.run(0.002)
    group.run(0.3)
    assert group.answers == dict.fromkeys(range(5), ev.Accepted())
    assert {evacuated(group, ip) for ip in group.nodes} == {("a", "c")}


def test_a_finish_that_comes_while_the_start_is_proposed_takes_it_back() -> None:
    group = ready()
    evacuate(group, 1, "a")
    group.run(0.004)
    evacuate(group, 2, "a", False)
    group.run(0.3)
    assert group.answers == {1: ev.Accepted(), 2: ev.Accepted()} and evacuated(group) == ()


def test_a_change_that_holds_already_is_confirmed_again_also_by_a_successor() -> None:
    group = started(ready())
    evacuate(group, 2, "a")
    evacuate(group, 3, "b", False)
    assert group.answers[2] == group.answers[3] == ev.Accepted() and number(group) == 1
    group.stop(group.primary)
    group.run(3.0)
    evacuate(group, 4, "a")
    assert group.answers[4] == ev.Accepted() and number(group) == 1


def test_an_evacuation_outlasts_a_change_of_members_and_one_that_comes_during_it_is_done() -> None:
    group = started(whole(1))
    group.stop(next(ip for ip in group.nodes if ip != group.primary), wipe=True)
    group.run(0.7)
    group.start(NEW)
    evacuate(group, 2, "b")
    group.run(2.0)
    record = group.nodes[group.primary].record
    assert record is not None and any(NEW in member for member in record.members)
    assert group.answers[2] == ev.Accepted() and evacuated(group, NEW) == evacuated(group) == ("a", "b")


def test_a_change_behind_another_proposal_waits_for_it() -> None:
    group = ready()
    node = group.nodes[group.primary]
    assert node.record is not None
    node._propose(node._next_record(node.record, evacuated=("a",), evacuation_number=1))
    evacuate(group, 1, "a", False)
    assert group.answers == {}, "the proposed record may be chosen already"
    group.run(0.2)
    assert group.answers[1] == ev.Accepted() and evacuated(group) == () and number(group) == 2


def test_a_primary_that_is_cut_off_confirms_nothing() -> None:
    group = ready()
    primary = group.primary
    group.cut.add(primary)
    evacuate(group, 1, "a")
    group.run(ANSWER_LIMIT_S)
    assert group.answers[1] == ev.Unknown(), "others may have accepted it"
    assert group.primary not in {"", primary}
    evacuate(group, 2, "a")
    group.run(0.2)
    assert group.answers[2] == ev.Accepted()
    group.cut.clear()
    group.run(ANSWER_LIMIT_S)
    assert {evacuated(group, ip) for ip in group.nodes} == {("a",)}


def test_an_evacuation_proposed_before_a_takeover_does_not_undo_what_came_after_it() -> None:
    group = ready()
    primary = group.primary
    group.cut.add(primary)
    evacuate(group, 1, "a")
    group.run(3.0)
    evacuate(group, 2, "b")
    evacuate(group, 3, "a", False)
    group.run(0.2)
    assert group.answers[2] == group.answers[3] == ev.Accepted()
    group.cut.clear()
    group.run(ANSWER_LIMIT_S)
    assert {evacuated(group, ip) for ip in group.nodes} == {("b",)}


def test_only_the_primary_takes_changes_and_those_that_wait_are_bounded() -> None:
    group = ready()
    evacuate(group, 0, "a", ip=next(ip for ip in SEEDS if ip != group.primary))
    assert group.answers[0] == ev.NotPrimary(group.primary)
    for request in range(1, MAX_WAITING + 3):
        evacuate(group, request, f"z{request}")
    assert [request for request, result in group.answers.items() if result == ev.Busy()] == [65, 66]
    group.run(0.5)
    assert sum(result == ev.Accepted() for result in group.answers.values()) == MAX_WAITING


def test_intents_and_evacuations_keep_each_other() -> None:
    group = started(ready())
    ordered = (OrderIntent("i-1", "decode"),)
    group.deliver(group.primary, ev.SetIntents(ordered))
    evacuate(group, 2, "b")
    group.run(0.2)
    status = group.nodes[group.primary].status(group.now)
    assert status.intents == ordered and status.evacuated == ("a", "b")


def test_a_record_of_an_earlier_version_names_no_evacuated_zone() -> None:
    fields = msgspec.to_builtins(DurableState(EpochRecord(4, 4, "a", ("a", "b"), ("a", "b", "c")), (0, ""), None))
    del fields["chosen"]["evacuated"], fields["chosen"]["evacuation_number"]
    stored = msgspec.msgpack.decode(msgspec.msgpack.encode(fields), type=DurableState)
    assert stored.chosen is not None
    assert (stored.chosen.evacuated, stored.chosen.evacuation_number) == ((), 0)


@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=20), st.frozensets(st.sampled_from("abc")))
def test_the_queue_ends_where_its_changes_one_by_one_would(
    steps: list[tuple[str, bool]], zones: frozenset[str]
) -> None:
    queue, wanted = EvacuationQueue(), set(zones)
    for request, (zone, is_start) in enumerate(steps):
        assert queue.add(ev.Evacuate(request, zone, is_start), 1.0)
        (wanted.add if is_start else wanted.discard)(zone)
    after = queue.zones_after(zones)
    assert after == tuple(sorted(wanted))
    early = queue.take_done(zones)
    assert queue.zones_after(zones) == after, "the removed changes were done, or reverted by a later one"
    assert sorted(early + queue.take_done(after)) == list(range(len(steps)))


def test_a_late_change_that_was_proposed_is_unknown_and_one_that_was_not_is_not_taken_up() -> None:
    queue = EvacuationQueue()
    queue.add(ev.Evacuate(1, "a", True), 1.0)
    queue.mark_proposed()
    queue.add(ev.Evacuate(2, "b", True), 1.5)
    assert queue.take_overdue(0.9) == []
    assert queue.take_overdue(2.0) == [(1, ev.Unknown()), (2, ev.Busy())]
    assert queue.zones_after(()) == ()


def test_a_newcomer_is_admitted_however_often_the_record_changes() -> None:
    group = Group(SEEDS, tolerance=2)
    group.run(1.0)
    for ip in ("10.0.0.4", "10.0.0.5"):
        group.start(ip, is_first_start=True)
    for request in range(100):
        evacuate(group, request, "a", is_start=request % 2 == 0)
        group.run(0.02)
    assert len(group.nodes[group.primary].status(group.now).members) == 5


def test_a_primary_whose_lease_has_run_out_does_not_confirm_what_holds_here() -> None:
    group = started(ready())
    primary = group.primary
    group.cut.add(primary)
    while group.nodes[primary].holds_lease(group.now):
        group.run(0.001)
    assert group.nodes[primary].status(group.now).state == "primary", "until its next tick"
    evacuate(group, 2, "a", ip=primary)
    assert 2 not in group.answers
    group.run(ANSWER_LIMIT_S)
    assert group.answers[2] == ev.NotPrimary(None)
