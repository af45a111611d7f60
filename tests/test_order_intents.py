"""Orders to backends in the replicated record: every successor knows them, and orders other backends at once."""

from __future__ import annotations

import msgspec
import pytest
from controlsim.scenarios import play
from controlsim.stages import StageRules
from controlsim.world import World
from hypothesis import given
from hypothesis import strategies as st
from test_consensus_replica import Group, ready

from cranebank.control import events as ev
from cranebank.control.epochs import DurableState, EpochRecord, OrderIntent, initial_record
from cranebank.control.order_intents import MAX_INTENTS, OrderIntents
from cranebank.control.stage_events import Stage
from cranebank.control.stage_order import BackendOrder
from cranebank.fleetlab import model as m
from cranebank.transport.messages import Backend

ORDERED = (OrderIntent("i-1", "decode"),)
TAKEOVER_WAIT_S = 3.8


def intents(group: Group, ip: str) -> tuple[OrderIntent, ...] | None:
    """Return the intents in the newest record that this controller knows."""
    return group.nodes[ip].status(group.now).intents


def test_an_intent_is_known_to_every_successor() -> None:
    group = ready()
    first = group.primary
    group.deliver(first, ev.SetIntents(ORDERED))
    assert intents(group, first) == (), "not before it is durable at a majority"
    group.run(0.1)
    assert intents(group, first) == ORDERED
    group.stop(first)
    group.run(3.0)
    assert group.primary not in {"", first}
    assert intents(group, group.primary) == ORDERED
    group.deliver(group.primary, ev.SetIntents(()))
    group.run(0.1)
    assert intents(group, group.primary) == ()


def test_an_intent_that_is_about_to_be_dropped_is_named_no_more() -> None:
    """The record without it may be chosen already, so a successor might not know of an order sent now."""
    group = ready()
    primary = group.primary
    group.deliver(primary, ev.SetIntents(ORDERED))
    group.run(0.1)
    group.deliver(primary, ev.SetIntents(()))
    assert intents(group, primary) == ()


def test_an_intent_whose_removal_waits_behind_another_change_is_named_no_more() -> None:
    """The removal follows right after that change, so a successor might not know of an order sent now."""
    group = ready()
    primary = group.primary
    group.deliver(primary, ev.SetIntents(ORDERED))
    group.run(0.1)
    node = group.nodes[primary]
    assert node.record is not None
    node._propose(node._next_record(node.record))  # a change of members or copies is under way
    group.deliver(primary, ev.SetIntents(()))
    assert intents(group, primary) == ()


def test_an_intent_that_is_wanted_again_while_its_removal_is_under_way_is_named_no_more() -> None:
    """Guards against an order that no successor knows: the record without its intent may be chosen already."""
    group = ready()
    primary = group.primary
    group.deliver(primary, ev.SetIntents(ORDERED))
    group.run(0.1)
    group.deliver(primary, ev.SetIntents(()))
    group.deliver(primary, ev.SetIntents(ORDERED))
    assert intents(group, primary) == ()
    group.run(0.1)
    assert intents(group, primary) == ORDERED


def test_who_is_no_primary_records_nothing() -> None:
    group = ready()
    other = next(ip for ip in group.nodes if ip != group.primary)
    group.deliver(other, ev.SetIntents(ORDERED))
    group.run(0.5)
    assert {intents(group, ip) for ip in group.nodes} == {()}


def test_intents_outlast_changes_of_copies_and_members() -> None:
    group = ready()
    primary = group.primary
    group.deliver(primary, ev.SetIntents(ORDERED))
    group.run(0.1)
    epoch = group.nodes[primary].status(group.now).epoch
    copy = next(one for one in group.nodes[primary].status(group.now).copies if one != primary)
    group.stop(copy)
    group.run(2.0)
    status = group.nodes[group.primary].status(group.now)
    assert status.epoch > epoch and copy not in status.copies
    assert status.intents == ORDERED


def test_a_record_of_an_earlier_version_says_that_nothing_is_known() -> None:
    """It was stored without the field, which then reads as None."""
    fields = msgspec.to_builtins(DurableState(EpochRecord(4, 4, "a", ("a", "b"), ("a", "b", "c")), (0, ""), None))
    del fields["chosen"]["intents"]
    stored = msgspec.msgpack.decode(msgspec.msgpack.encode(fields), type=DurableState)
    assert stored.chosen is not None and stored.chosen.intents is None
    assert initial_record(("a",)).intents == ()


def order(number: int, now: float) -> BackendOrder:
    record = Backend(f"i-{number}", "s", "10.0.0.1:80", "z", "prefill", 4, "ready", 1)
    return BackendOrder(number, now, record, Stage.DECODE, 1.0)


@given(
    st.lists(st.tuples(st.sampled_from(["term", "send", "pass"]), st.integers(0, 3), st.floats(0.0, 3.0)), max_size=30)
)
def test_no_two_holders_orders_to_one_backend_are_closer_than_the_wait(steps: list[tuple[str, int, float]]) -> None:
    """Two lease holders alternate; each sends whenever it may, and knows of the other only what the record names."""
    holders = [OrderIntents(TAKEOVER_WAIT_S), OrderIntents(TAKEOVER_WAIT_S)]
    holder, now, recorded = 0, 0.0, dict[str, str]()
    last: dict[str, tuple[int, float]] = {}
    holders[0].begin_term(now, recorded)
    for kind, number, seconds in steps:
        now += seconds
        recorded = {one.backend: one.stage for one in holders[holder].wanted(now, ()) or ()}
        if kind == "term":
            holder = 1 - holder
            holders[holder].begin_term(now, recorded)
        elif kind == "send" and holders[holder].may_order(now, f"i-{number}"):
            holders[holder].sent(now, order(number, now))
            former, at = last.get(f"i-{number}", (holder, float("-inf")))
            assert former == holder or now - at >= TAKEOVER_WAIT_S - 1e-9
            last[f"i-{number}"] = holder, now


def test_a_record_that_tells_nothing_is_not_replaced_before_old_orders_are_too_old() -> None:
    """A holder in between may lose the lease at once; the next one must not assume that no backend was ordered."""
    known = OrderIntents(TAKEOVER_WAIT_S)
    known.begin_term(10.0, None)
    assert known.wanted(10.0 + TAKEOVER_WAIT_S - 0.1, ()) is None
    assert not known.may_order(10.0 + TAKEOVER_WAIT_S - 0.1, "i-1")
    assert known.wanted(10.0 + TAKEOVER_WAIT_S, ()) == ()


def test_the_intents_are_bounded() -> None:
    known = OrderIntents(TAKEOVER_WAIT_S)
    known.begin_term(0.0, {})
    orders = [order(number, 0.0) for number in range(MAX_INTENTS)]
    assert known.has_room(0.0, orders[1:])
    assert not known.has_room(0.0, orders)
    for one in orders:
        known.sent(0.0, one)
    assert len(known.wanted(TAKEOVER_WAIT_S - 0.1, ()) or ()) == MAX_INTENTS
    assert known.wanted(TAKEOVER_WAIT_S + 0.1, ()) == ()


# A need that arises during a takeover, in the simulated control plane.

ORDERED_AFTER_S = 1.1  # 0.5 s for the need to last, observations every 0.25 s, the record and the connection


class OrderTimes(StageRules):
    """Records the times of orders."""

    def __init__(self, rules: StageRules) -> None:
        self.__dict__ = rules.__dict__
        self.orders: list[tuple[float, str]] = []

    def ordered(self, backend: str, order: m.Order, status: int) -> None:
        """Record an order that reached a backend."""
        super().ordered(backend, order, status)
        self.orders.append((self._judge.now(), order.owner or ""))


@pytest.mark.parametrize("seed", range(4))
def test_a_need_that_falls_into_a_takeover_is_met_within_about_a_second_of_the_new_lease(seed: int) -> None:
    """The last decode backend leaves while the primary is down; no order was sent before."""
    world = World(seed, faults_s=20.0)
    times = world.stage_rules = OrderTimes(world.stage_rules)
    world.add_staged_backend("prefill", 0.5, 100.0, "drain")
    world.add_staged_backend("prefill", 0.5, 100.0, "drain")
    world.add_staged_backend("decode", 0.5, 9.5, "drain")
    world.add_operators(1)
    began: list[float] = []

    def strike() -> None:
        victim = world.primary()
        assert victim is not None
        world.stop(victim, has_power=False)
        world.scheduler.after(0.05, lambda: look(victim.ip))
        world.scheduler.after(12.0, lambda: world.start(victim))

    def look(former: str) -> None:
        primary = world.primary()
        if primary is not None and primary.ip != former:
            began.append(world.scheduler.now)
        else:
            world.scheduler.after(0.05, lambda: look(former))

    world.scheduler.at(10.1, strike)
    world.scheduler.run_until(20.0)
    world.close()
    assert not world.judge.breaches
    assert times.orders and began
    assert times.orders[0][0] - began[0] <= ORDERED_AFTER_S
    assert len({owner for _, owner in times.orders}) == 1


def test_the_schedules_of_stages_keep_the_rules_with_a_successor_that_orders_at_once() -> None:
    played = [play("stages", seed) for seed in range(300, 304)]
    assert [one.breaches for one in played] == [[]] * len(played)
