"""Tally replicas: random histories, all interleavings of a small case, folds, limits and power losses."""

from __future__ import annotations

import pickle
from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from simulated_files import PowerLost, SimulatedFiles
from tally_world import TALLY, World

from cranebank.control.tallies import replica as replica_module
from cranebank.control.tallies.peers import RESEND_AFTER_S, DurableCopy, highest_confirmed
from cranebank.control.tallies.replica import (
    FOLD_INTERVAL_S,
    ID_RETENTION_S,
    JOIN_GRACE_S,
    MAX_ADDS_IN_FLIGHT,
    MAX_ADDS_PER_MESSAGE,
    AddPosition,
    LimitReached,
    TallyReplica,
    TallyReplicaSettings,
)
from cranebank.control.tallies.segments import SEGMENT_ADDS, Segments
from cranebank.control.tallies.state import TallyState
from cranebank.storage.store import Store
from cranebank.transport.messages import TallyAdd, TallyAdds, TallyVector

NAMES = "abc"
machine = st.sampled_from(NAMES)
amount = st.integers(1, 9)
calm_step = st.one_of(
    st.tuples(st.just("add"), machine, st.sampled_from("123456"), amount),
    st.tuples(st.just("deliver"), machine, machine),
    st.just(("deliver_all",)),
    st.tuples(st.just("store"), machine, st.booleans()),
    st.tuples(st.just("tick"), st.sampled_from((0.05, 0.6, 1.0))),
    st.tuples(st.just("restart"), machine),
)
cut_step = st.one_of(calm_step, st.tuples(st.just("cut"), machine, machine), st.just(("heal",)))
steps_of = st.lists(calm_step, max_size=60)


def play(world: World, step: tuple[object, ...]) -> None:
    name, *arguments = step
    if name != "deliver" or arguments[0] != arguments[1]:
        getattr(world, str(name))(*arguments)


@settings(max_examples=150, deadline=None)
@given(st.lists(cut_step, max_size=70), st.lists(st.tuples(st.integers(0, 69), machine), max_size=2))
def test_no_total_is_too_high_and_all_agree_after_a_split(
    steps: list[tuple[object, ...]], wipes: list[tuple[int, str]]
) -> None:
    world = World(NAMES, 2)
    for index, step in enumerate(steps):
        for at, name in wipes:
            if at == index:
                world.restart(name, is_wiped=True)
        play(world, step)
    world.heal()
    world.settle()
    (total,) = world.totals()
    assert total is not None
    assert total <= sum(world.sent.values())
    if not wipes:
        assert total >= sum(world.sent[call] for call in world.ever_acknowledged)


@settings(max_examples=150, deadline=None)
@given(steps_of, machine, st.booleans())
def test_no_acknowledged_add_is_lost_with_as_many_disks_as_may_be(
    steps: list[tuple[object, ...]], wiped: str, all_lose_power: bool
) -> None:
    world = World(NAMES, 2)
    world.settle()
    for step in steps:
        play(world, step)
    for name in NAMES if all_lose_power else wiped:
        world.restart(name, is_wiped=name == wiped)
    world.settle()
    (total,) = world.totals()
    assert total is not None and total >= sum(world.sent[call] for call in world.ever_acknowledged)


def _choices(world: World) -> Iterator[tuple[object, ...]]:
    for pair, queue in world.queues.items():
        if queue:
            yield "deliver", *pair
    for name, found in world.machines.items():
        if found.writing:
            yield "store", name


def test_all_orders_of_three_calls_at_two_replicas_end_alike() -> None:
    calls = (("1", "a"), ("1", "b"), ("2", "b"))
    seen: set[bytes] = set()
    begin = pickle.dumps((World("ab", 2), calls))
    open_states, ends = [begin], 0
    while open_states:
        state = open_states.pop()
        if state in seen:
            continue
        seen.add(state)
        world, left = pickle.loads(state)
        choices = [*(("add", name, call, 1) for call, name in left), *_choices(world)]
        if not choices:
            ends += 1
            assert {found.replica._state.total(TALLY) for found in world.machines.values()} == {2}
            world.settle()
            assert not any(found.waiting for found in world.machines.values())
        for choice in choices:
            world, left = pickle.loads(state)
            play(world, choice)
            if choice[0] == "add":
                left = tuple(call for call in left if call != (choice[2], choice[1]))
            open_states.append(pickle.dumps((world, left)))
    assert ends > 0


def _new_replica(copies: int = 1, known: tuple[str, ...] = (), is_first: bool = True) -> TallyReplica:
    made = TallyReplica(TallyReplicaSettings("me", "z", copies, 1, is_first), {}, 0.0)
    made.set_replicas(known, known)
    return made


def _run(made: TallyReplica, begin: float, end: float) -> None:
    """Tick at a process's rate from ``begin`` to ``end``."""
    for number in range(round((end - begin) / 0.05) + 1):
        made.tick(begin + 0.05 * number, {})


def test_the_same_id_with_two_amounts_counts_alike_everywhere() -> None:
    world = World("ab", 2)
    world.cut("a", "b")
    for name, by in (("a", 5), ("b", 7)):
        world.machines[name].replica.add(0.0, TALLY, "1", by)
    world.sent["1"] = 12
    world.heal()
    world.settle()
    assert world.totals() == {5}  # the add of a: the smallest origin counts


@pytest.mark.parametrize(
    ("held", "copies", "domains", "upto"),
    [
        ([(5, "x"), (3, "x"), (2, "y")], 1, 1, 5),
        ([(5, "x"), (3, "x"), (2, "y")], 2, 1, 3),
        ([(5, "x"), (3, "x"), (2, "y")], 2, 2, 2),
        ([(5, "x")], 2, 1, 0),
    ],
)
def test_copies_count_by_replica_and_by_failure_domain(
    held: list[tuple[int, str]], copies: int, domains: int, upto: int
) -> None:
    assert highest_confirmed((DurableCopy(*copy) for copy in held), copies, domains) == upto


def test_an_add_that_comes_out_of_order_is_asked_for_again() -> None:
    made = _new_replica()
    made.linked(0.0, "p")
    made.pop_messages()
    made.receive(0.0, "p", TallyAdds("p1", (TallyAdd("p1", 2, TALLY, "x", 1),)))
    ((_, vector),) = made.pop_messages()
    assert isinstance(vector, TallyVector) and vector.needs_resend
    assert made.total(0.0, TALLY) == 0


def test_beyond_a_bound_nothing_is_done(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, most in (("MAX_HELD_ADDS", 1), ("MAX_TALLIES", 1), ("MAX_HELD_BYTES", 30)):
        with monkeypatch.context() as patch:
            patch.setattr(replica_module, name, most)
            made = _new_replica()
            assert made.add(0.0, TALLY, "1", 1) == AddPosition("me", 1)
            assert isinstance(made.add(0.0, "other", "2", 1), LimitReached)
            assert made.add(0.0, TALLY, "1", 1) == AddPosition("me", 1)
            assert made.stats.held == 1


def test_a_restarted_replica_tells_no_total_before_the_others_told_theirs() -> None:
    world = World(NAMES, 2)
    world.add("a", "1", 4)
    world.settle()
    world.restart("c", is_wiped=True)
    world.tick(1.6)
    assert world.machines["c"].replica.total(world.now, TALLY) is None
    world.settle()
    assert world.totals() == {4}


def _pass_retention(world: World) -> None:
    """Let all adds reach the age at which they are folded."""
    for _ in range(int(ID_RETENTION_S / FOLD_INTERVAL_S) + 3):
        world.tick(FOLD_INTERVAL_S)
        world.settle()


def test_old_adds_are_folded_once_all_have_them_and_an_empty_replica_gets_the_sums() -> None:
    world = World(NAMES, 2)
    for number in range(3 * SEGMENT_ADDS):
        world.add("ab"[number % 2], str(number), 1)
    world.cut("a", "c")
    world.cut("b", "c")
    _pass_retention(world)
    assert world.machines["a"].replica.stats.held == 3 * SEGMENT_ADDS  # c lacks them
    world.heal()
    _pass_retention(world)
    assert [found.replica.stats.held for found in world.machines.values()] == [0, 0, 0]
    world.restart("c", is_wiped=True)
    world.add("c", "new", 1)
    world.settle()
    assert world.totals() == {3 * SEGMENT_ADDS + 1}
    for name in NAMES:
        world.restart(name)
    world.settle()
    assert world.totals() == {3 * SEGMENT_ADDS + 1}
    assert sum(map(len, world.machines["a"].disk.values())) < 1000


def test_an_id_that_is_held_twice_is_folded_as_one() -> None:
    world = World("ab", 2)
    world.cut("a", "b")
    world.add("a", "1", 3)
    world.add("b", "1", 3)
    world.heal()
    _pass_retention(world)
    assert world.totals() == {3}
    assert [found.replica.stats.held for found in world.machines.values()] == [0, 0]


def _restored(files: SimulatedFiles) -> int:
    state = Segments().restore(Store(files, "tallies").values)
    state.check()
    return state.total(TALLY)


def test_no_loss_of_power_takes_a_stored_add_or_counts_one_twice() -> None:
    """At each step of writes and folds the total is that of the last completed write, or of the one in progress."""

    def write(made: TallyReplica, store: Store, stored: list[int]) -> None:
        values = made.take_writes()
        if values:
            store.put(values)
            made.stored()
        stored.append(made._state.total(TALLY))

    def script(files: SimulatedFiles, stored: list[int]) -> None:
        made, store = _new_replica(), Store(files, "tallies")
        for number in range(1, 4):
            made.add(0.0, TALLY, str(number), number)
            write(made, store, stored)
        for turn in range(1, int(ID_RETENTION_S / FOLD_INTERVAL_S) + 3):
            made.tick(turn * FOLD_INTERVAL_S, {})
        made.add(700.0, TALLY, "4", 4)
        write(made, store, stored)

    whole = SimulatedFiles()
    script(whole, [])
    for step in range(1, whole.steps + 1):
        files, stored = SimulatedFiles(), [0]
        files.lose_power_at = step
        with pytest.raises(PowerLost):
            script(files, stored)
        allowed = {stored[-1], stored[-1] + len(stored)}
        for left in files.after_power_loss():
            assert _restored(left) in allowed


def test_adds_of_one_id_are_folded_together_or_not_at_all() -> None:
    state = TallyState()
    for add in (TallyAdd("a", 1, TALLY, "0", 1), TallyAdd("a", 2, TALLY, "1", 3), TallyAdd("b", 1, TALLY, "1", 3)):
        state.append(add, 1)
    state.fold({"a": 2})
    assert state.folded == {"a": 1}
    state.fold({"a": 2, "b": 1})
    state.check()
    assert (state.folded, state.total(TALLY), len(state)) == ({"a": 2, "b": 1}, 4, 0)


def test_right_after_a_start_known_replicas_are_waited_for() -> None:
    made = _new_replica(2, ("p",))
    made.add(0.0, TALLY, "1", 1)
    assert made.take_writes()
    made.stored()
    _run(made, 0.0, JOIN_GRACE_S / 2)
    assert made.acknowledged_upto(JOIN_GRACE_S / 2, "me") == 0
    _run(made, JOIN_GRACE_S / 2, JOIN_GRACE_S)
    assert made.acknowledged_upto(JOIN_GRACE_S, "me") == 1


@pytest.mark.parametrize("is_ticked", [False, True], ids=["before its first tick", "behind it"])
def test_a_process_that_stood_still_waits_for_replicas_that_only_seem_silent(is_ticked: bool) -> None:
    made = _new_replica(2, ("p",))
    made.linked(0.0, "p")
    made.receive(0.0, "p", TallyVector("p1", "y", {}, {}, {}))
    _run(made, 0.0, 2 * JOIN_GRACE_S)
    made.add(2 * JOIN_GRACE_S, TALLY, "1", 1)
    assert made.take_writes()
    made.stored()
    woken = 2 * JOIN_GRACE_S + 3.0
    if is_ticked:
        made.tick(woken, {})
    assert made.acknowledged_upto(woken, "me") == 0
    _run(made, woken, woken + JOIN_GRACE_S)
    assert made.acknowledged_upto(woken + JOIN_GRACE_S, "me") == 1


def test_an_add_that_a_peer_has_not_on_its_disk_is_not_acknowledged_on_its_copy() -> None:
    made = _new_replica(2, ("p",))
    made.linked(0.0, "p")
    made.add(0.0, TALLY, "1", 1)
    assert made.take_writes()
    made.stored()
    _run(made, 0.0, JOIN_GRACE_S)
    made.receive(JOIN_GRACE_S, "p", TallyVector("p1", "y", {"me": 1}, {}, {}))
    assert made.acknowledged_upto(JOIN_GRACE_S, "me") == 0
    made.receive(JOIN_GRACE_S, "p", TallyVector("p1", "y", {"me": 1}, {"me": 1}, {}, is_partial=True))
    assert made.acknowledged_upto(JOIN_GRACE_S, "me") == 1


def test_a_peer_that_confirms_nothing_is_sent_a_window_of_adds_and_the_same_again_later() -> None:
    made = _new_replica()
    for number in range(2 * MAX_ADDS_IN_FLIGHT):
        made.add(0.0, TALLY, str(number), 1)
    made.linked(0.0, "p")
    made.pop_messages()

    def sent(now: float) -> list[int]:
        made.tick(now, {"p": now})
        return [len(message.adds) for _, message in made.pop_messages() if isinstance(message, TallyAdds)]

    made.receive(0.0, "p", TallyVector("p1", "y", {}, {}, {}))
    made.add(0.0, TALLY, "last", 1)
    assert sent(RESEND_AFTER_S / 2) == [MAX_ADDS_PER_MESSAGE] * (MAX_ADDS_IN_FLIGHT // MAX_ADDS_PER_MESSAGE)
    assert sent(RESEND_AFTER_S) == [MAX_ADDS_PER_MESSAGE] * (MAX_ADDS_IN_FLIGHT // MAX_ADDS_PER_MESSAGE)
    made.receive(RESEND_AFTER_S, "p", TallyVector("p1", "y", {"me": MAX_ADDS_PER_MESSAGE}, {}, {}, is_partial=True))
    assert sent(RESEND_AFTER_S) == [MAX_ADDS_PER_MESSAGE]
