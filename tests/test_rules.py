"""The four rules as invariants over arbitrary legal sequences of events."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from conftest import Driver, make_settings
from hypothesis import given, settings
from hypothesis import strategies as st
from test_subset import Time, news

from cranebank.core import rules
from cranebank.core.counters import Counters
from cranebank.decisions.interface import (
    Action,
    AttemptResult,
    Cancel,
    Effect,
    Event,
    Fail,
    Group,
    ListKind,
    Outcome,
    Probe,
    ProbeResult,
    Refuse,
    ReportSource,
    Request,
    RequestClass,
    RequestGone,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    TimerFired,
)

NEVER_RAN = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT}
CLASSES = (
    RequestClass(400.0, 1000.0, Effect.SAFE),
    RequestClass(400.0, 1000.0, Effect.UNSAFE),
    RequestClass(400.0, 1000.0, Effect.KEYED, Group.ALL, repeat_window=300.0),
    RequestClass(400.0, 1000.0, Effect.KEYED, Group.ZONE, repeat_window=300.0),
    RequestClass(400.0, 1000.0, Effect.KEYED, Group.CELL, repeat_window=300.0),
)


class World:
    """A caller of the module that keeps the interface and checks every action against the rules."""

    def __init__(self, seed: int, **changes: Any) -> None:
        self.d = Driver(make_settings(classes=CLASSES, **changes), seed)
        self.entries = {f"s{i}": ServerEntry(f"s{i}", zone=i % 2, cell=i % 3) for i in range(6)}
        self.gone: set[str] = set()
        self.timers: list[tuple[float, str]] = []
        self.probes: list[str] = []
        self.requests: dict[str, dict[str, Any]] = {}
        self.take(self.d.do(ServerList(ListKind.REMEMBERED, tuple(self.entries.values()))))

    @property
    def now(self) -> float:
        return self.d.now

    def take(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                assert action.at >= self.now
                self.timers.append((action.at, action.name))
            elif isinstance(action, Send):
                self.check_send(action)
            elif isinstance(action, Probe):
                self.probes.append(action.server)
            elif isinstance(action, Refuse | Fail):
                self.check_answer(action)
            elif isinstance(action, Cancel):
                assert action.attempt < len(self.requests[action.request]["attempts"])

    def check_send(self, send: Send) -> None:
        request = self.requests[send.request]
        assert not request["closed"], "a send for a closed request"
        assert send.server not in self.gone, "a send to a draining or removed server"
        kind: RequestClass = request["kind"]
        attempts = request["attempts"]
        assert len(attempts) < self.d.settings.max_attempts
        assert all(a["outcome"] for a in attempts), "two attempts out at once"
        ran = next((a for a in attempts if a["outcome"] not in NEVER_RAN), None)
        if ran is not None and kind.effect is not Effect.SAFE:
            assert kind.effect is Effect.KEYED, "an unsafe request that may have run was sent again"
            assert self.now <= ran["sent"] + kind.repeat_window
            old, new = self.entries[ran["server"]], self.entries[send.server]
            if kind.group is not Group.ALL:
                assert old.zone == new.zone
            if kind.group is Group.CELL:
                assert old.cell == new.cell
        attempts.append({"server": send.server, "sent": self.now, "outcome": None})

    def check_answer(self, answer: Refuse | Fail) -> None:
        request = self.requests[answer.request]
        assert not request["closed"], "two final answers"
        request["closed"] = True
        kind: RequestClass = request["kind"]
        ran = any(a["outcome"] not in NEVER_RAN for a in request["attempts"])
        if isinstance(answer, Refuse) and ran:
            assert kind.effect is Effect.SAFE or (kind.effect is Effect.KEYED and kind.group is Group.ALL)

    def arrive(self, index: int, left: float) -> None:
        name = f"r{len(self.requests)}"
        self.requests[name] = {"kind": CLASSES[index], "closed": False, "attempts": [], "by": self.now + left}
        self.take(self.d.do(Request(name, index, left)))

    def outcome(self, pick: int, outcome: Outcome) -> None:
        out = [
            (name, seq)
            for name, request in self.requests.items()
            for seq, attempt in enumerate(request["attempts"])
            if not attempt["outcome"]
        ]
        if not out:
            return
        name, seq = out[pick % len(out)]
        self.result(name, seq, outcome)

    def result(self, name: str, seq: int, outcome: Outcome) -> None:
        request = self.requests[name]
        attempt = request["attempts"][seq]
        attempt["outcome"] = outcome
        request["closed"] |= outcome is Outcome.OK
        self.take(
            self.d.do(
                AttemptResult(
                    name,
                    seq,
                    attempt["server"],
                    outcome,
                    self.now - attempt["sent"],
                    request["closed"],
                    {"inflight": 2.0},
                )
            )
        )

    def leave(self, pick: int) -> None:
        live = [n for n, r in self.requests.items() if not r["closed"]]
        if live:
            self.requests[live[pick % len(live)]]["closed"] = True
            self.take(self.d.do(RequestGone(live[pick % len(live)])))

    def state(self, pick: int, state: ServerState) -> None:
        name = f"s{pick % 6}"
        if state is ServerState.DRAINING or not self.d.settings.removals_are_advisory:
            (self.gone.discard if state is ServerState.IN else self.gone.add)(name)
        entry = self.entries[name]
        self.entries[name] = ServerEntry(name, entry.zone, entry.cell, state=state)
        self.take(self.d.do(ServerList(ListKind.CHANGES, (self.entries[name],))))

    def relist(self, mask: int) -> None:
        """Send a full list with only some servers, all in service: it may be stale, incomplete or correct."""
        named = tuple(
            ServerEntry(e.server, e.zone, e.cell) for i, e in enumerate(self.entries.values()) if mask >> i & 1
        )
        if not self.d.settings.removals_are_advisory:  # where removals bind, servers that the list omits are gone
            self.gone = set(self.entries) - {e.server for e in named}
        self.take(self.d.do(ServerList(ListKind.ALL, named)))

    def wait(self, ms: float) -> None:
        end = self.now + ms
        while self.now < end:
            self.d.now = min(end, self.now + 5.0)
            due = sorted(t for t in self.timers if t[0] <= self.now)
            self.timers = [t for t in self.timers if t[0] > self.now]
            for _, name in due:
                self.take(self.d.do(TimerFired(name)))
            asked, self.probes = self.probes, []
            for server in asked:  # probes fail while the number of requests is a multiple of three
                code = Outcome.TIMEOUT if len(self.requests) % 3 == 0 else Outcome.OK
                self.take(self.d.do(ProbeResult(server, code, 5.0, {"inflight": float(len(server) % 2)})))
            for name, request in list(self.requests.items()):
                if not request["closed"] and self.now >= request["by"]:
                    for seq, attempt in enumerate(request["attempts"]):
                        if not attempt["outcome"]:
                            self.result(name, seq, Outcome.TIMEOUT)
                assert request["closed"] or self.now <= request["by"] + self.d.settings.answer_slack


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("arrive"), st.integers(0, 4), st.floats(0.0, 900.0)),
        st.tuples(st.just("outcome"), st.integers(0, 50), st.sampled_from(list(Outcome))),
        st.tuples(st.just("leave"), st.integers(0, 50)),
        st.tuples(st.just("state"), st.integers(0, 5), st.sampled_from(list(ServerState))),
        st.tuples(st.just("relist"), st.integers(0, 63)),
        st.tuples(st.just("wait"), st.floats(1.0, 400.0)),
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(STEPS, st.integers(0, 1000), st.booleans(), st.booleans(), st.sampled_from((1, 60)))
def test_rules_hold_in_any_order_of_events(
    steps: list[tuple[Any, ...]], seed: int, binds: bool, asks: bool, copies: int
) -> None:
    source = {"may_probe": True, "report_source": ReportSource.PROBE, "probe_price": 0.002} if asks else {}
    world = World(seed, removals_are_advisory=binds, copies=copies, handshake_price=0.03, **source)
    for name, *values in steps:
        getattr(world, name)(*values)
    world.wait(1200.0)
    assert all(r["closed"] for r in world.requests.values()), "a request without a final answer"


@pytest.mark.parametrize("entries", [[], [ServerEntry("s0", state=ServerState.DRAINING)]])
def test_without_a_server_requests_are_held_then_refused(entries: list[ServerEntry]) -> None:
    world = World(1)
    world.gone = set(world.entries)
    world.take(world.d.do(ServerList(ListKind.ALL, tuple(entries))))
    world.arrive(1, 900.0)
    assert not world.requests["r0"]["closed"]
    world.wait(1000.0)
    assert world.requests["r0"]["closed"]


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.integers(0, 10**6), st.floats(0.0, 3000.0))
def test_a_cold_server_gets_no_more_than_its_part(seed: int, age: float) -> None:
    """Over the window of the fourth rule, one copy stays within its part of the multiple of the capacity."""
    d = Driver(make_settings(overload_for=1500.0), seed)
    d.listed([ServerEntry(f"s{i}") for i in range(5)])
    d.serve(300)
    d.listed([ServerEntry("cold", started=d.now - age)], ListKind.CHANGES)
    share = 0.25 + 0.75 * (age + 1500.0) / 8000.0
    got = d.serve(150).get("cold", 0)
    assert got <= 3.0 * share * 150 / 6 + 2


def test_the_same_events_give_the_same_actions() -> None:
    def play() -> dict[str, list[str]]:
        d = Driver(make_settings(), 5)
        d.listed([f"s{i}" for i in range(7)])
        d.serve(200)
        return d.sent

    assert play() == play()


OTHER_ENDS = [
    rules.LegTimedOut,
    lambda leg: rules.LegEnded(leg, Outcome.RESET),
    lambda leg: rules.ClientLeft("ticket"),
    lambda leg: rules.DeadlinePassed(leg.request),
    lambda leg: rules.LegEnded(leg, Outcome.OK, None, "again"),
    rules.SendWindowClosed,
]
OTHER_END_NAMES = ["time-out", "reset", "client left", "overdue", "second answer", "unsent"]


@pytest.mark.parametrize("first", [True, False], ids=["before", "after"])
@pytest.mark.parametrize("other", OTHER_ENDS, ids=OTHER_END_NAMES)
@pytest.mark.parametrize("index", range(len(CLASSES)))
def test_an_answer_and_another_end_in_the_same_turn_make_one_reply_and_one_outcome(
    index: int, other: Callable[[rules.Leg], rules.Message], first: bool
) -> None:
    """Both are in the mailbox: whichever is processed first ends the request, and the other changes nothing."""
    counters = Counters()
    layer = rules.Rules(make_settings(classes=CLASSES), 1, Time(), counters)
    layer.handle(0, news(ListKind.ALL, ("s0", ServerState.IN), ("s1", ServerState.IN)))
    taken = layer.handle(0, rules.RequestArrived(rules.Call(index, 0, 900_000, None), "ticket", 0))
    (leg,) = [order.leg for order in taken if isinstance(order, rules.SendLeg)]
    leg.written = True
    answered = rules.LegEnded(leg, Outcome.OK, None, "the answer")
    orders, legs, at = list[rules.Order](), [leg], 900_000
    for message in (other(leg), answered) if first else (answered, other(leg)):
        orders += layer.handle(at, message)
    while layer.open:  # attempts that were sent again end too
        legs = [order.leg for order in orders if isinstance(order, rules.SendLeg) and order.leg.outcome is None]
        for late in legs:
            orders += layer.handle(at + 1, rules.LegEnded(late, Outcome.RESET))
    replies = [order.answer for order in orders if isinstance(order, rules.Reply)]
    left = other(leg) == rules.ClientLeft("ticket") and first
    assert len(replies) == sum(counters[f"answers_{how}"] for how in ("served", "declined", "failed")) == (not left)
    # A leg that is written may run: the end of its window changes nothing.
    assert replies == [rules.Served("the answer")] or (first and other is not rules.SendWindowClosed)
    assert sum(counters[f"legs_{outcome.name.lower()}"] for outcome in Outcome) == counters["legs_sent"]
    assert layer.unanswered_count == 0


class SendsTwice:
    """A decision module that sends each request to both hosts and does nothing else."""

    def handle(self, _: float, event: Event) -> list[Action]:
        return [Send(event.request, host) for host in ("s0", "s1")] if isinstance(event, Request) else []


@pytest.mark.parametrize("first", [True, False], ids=["before", "after"])
@pytest.mark.parametrize("other", OTHER_ENDS, ids=OTHER_END_NAMES)
@pytest.mark.parametrize("late", [Outcome.OK, Outcome.RESET])
def test_with_another_leg_out_too_there_is_one_reply_and_what_comes_late_changes_nothing(
    other: Callable[[rules.Leg], rules.Message], first: bool, late: Outcome
) -> None:
    counters = Counters()
    layer = rules.Rules(make_settings(classes=CLASSES), 1, Time(), counters, lambda *_: SendsTwice())
    layer.handle(0, news(ListKind.ALL, ("s0", ServerState.IN), ("s1", ServerState.IN)))
    taken = layer.handle(0, rules.RequestArrived(rules.Call(0, 0, 900_000, None), "ticket", 0))
    one, two = (order.leg for order in taken if isinstance(order, rules.SendLeg))
    one.written = two.written = True
    answered, orders = rules.LegEnded(one, Outcome.OK, None, "the answer"), list[rules.Order]()
    for message in (other(one), answered) if first else (answered, other(one)):
        orders += layer.handle(900_000, message)
    for message in (rules.LegEnded(two, late, None, "late"), other(two), rules.DeadlinePassed(one.request)):
        orders += layer.handle(950_000, message)
    replies = [order for order in orders if isinstance(order, rules.Reply)]
    assert len(replies) == (not (first and isinstance(other(one), rules.ClientLeft)))
    assert counters["answers_overdue"] == sum(reply.answer == rules.Failed() for reply in replies)
    called_off = [order.leg for order in orders if isinstance(order, rules.CancelLeg)]
    assert len(called_off) == len(set(map(id, called_off)))
    assert not (not first and one in called_off)  # it had ended already
    assert (counters["legs_sent"], layer.open, layer.unanswered_count) == (2, 0, 0)
    assert sum(counters[f"legs_{outcome.name.lower()}"] for outcome in Outcome) == 2
