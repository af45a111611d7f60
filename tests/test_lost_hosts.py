"""Hosts that refuse connections, many at once, as after a zone loss: one refusal is proof and costs no budget."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from conftest import Driver, make_settings
from peers import OK, ProxyHarness, UpstreamHost, answer, play
from test_subset import Time, news

from cranebank.core import rules
from cranebank.core.counters import Counters
from cranebank.decisions.balance import Balancer
from cranebank.decisions.interface import ListKind, Outcome, Refuse, ServerEntry, ServerState, TimerFired
from cranebank.http.connection_pool import ConnectionPool

Drive = Callable[..., Driver]
SERVERS = [f"s{i}" for i in range(12)]
LOST, BAD = set(SERVERS[:6]), SERVERS[11]
COPIES = pytest.mark.parametrize("copies", [1, 8, 40])


def outcome_with_losses(server: str) -> Outcome:
    return Outcome.CONNECT_FAILED if server in LOST else Outcome.OK


@COPIES
def test_half_the_servers_lost_at_once_cost_one_call_each_and_no_request(drive: Drive, copies: int) -> None:
    d = drive(copies=copies, max_attempts=8)
    d.listed(SERVERS)
    d.serve(100, step=50.0)
    before, names = len(d.sent), len(list(d.sent))
    d.serve(60, outcome_with_losses, step=5.0)
    after = list(d.sent.values())[names:]
    assert len(after) == len(d.sent) - before == 60  # none was rejected
    assert all(outcome_with_losses(legs[-1]) is Outcome.OK for legs in after)
    assert sum(server in LOST for legs in after for server in legs) <= len(LOST)


def test_the_lost_leave_room_to_put_off_a_bad_one_as_well(drive: Drive) -> None:
    """At least half of the servers stay ready, not counting those that refuse connections."""
    d = drive(copies=8, max_attempts=8)
    d.listed(SERVERS)
    d.serve(100, step=50.0)
    d.serve(60, lambda s: Outcome.ERROR if s == BAD else outcome_with_losses(s), step=5.0)
    assert {s.entry.server for s in d.balancer.ejected} == {*LOST, BAD}


def test_another_try_after_a_refused_connection_needs_no_budget_one_after_an_error_does(drive: Drive) -> None:
    for outcome, legs in ((Outcome.ERROR, 1), (Outcome.FULL, 1), (Outcome.CONNECT_FAILED, 2)):
        d = drive(copies=500)
        d.listed(SERVERS)
        name, _ = d.request()
        d.result(name, outcome, took=1.0)
        assert len(d.sent[name]) == legs


def test_who_refuses_everywhere_ends_all_attempts_and_is_tried_again(drive: Drive) -> None:
    d = drive(copies=8, max_attempts=4)
    d.listed(SERVERS[:2])
    d.serve(20, lambda _: Outcome.CONNECT_FAILED, step=1.0)
    name, actions = d.request()
    assert name not in d.sent and not d.balancer.ready
    d.now += 400.0
    d.do(TimerFired("sweep"))
    assert len(d.sent[name]) == 1
    d.result(name, Outcome.OK)
    assert not any(isinstance(a, Refuse) for a in actions)


def test_who_answers_again_after_a_refusal_has_only_just_started(drive: Drive) -> None:
    """The list shows a restart late; until then it has the start time of the previous process."""

    def taken(refused: bool) -> int:
        d = drive(copies=8, overload_for=3000.0)
        d.listed(SERVERS)
        d.serve(200, step=20.0)
        d.serve(40, lambda s: Outcome.CONNECT_FAILED if refused and s == "s0" else Outcome.OK, step=20.0)
        d.now += 2000.0
        d.do(TimerFired("sweep"))
        return sum(d.serve(10, step=20.0).get("s0", 0) for _ in range(12))

    assert 0 < taken(True) < 0.7 * taken(False)


@COPIES
def test_the_limit_of_calls_out_follows_the_ready_list(drive: Drive, copies: int) -> None:
    """The limit for twelve servers is not applied to the remaining four, and returns with the others."""
    d = drive(copies=copies)
    d.listed(SERVERS)
    d.serve(50, step=20.0)
    d.balancer.limit = before = 60.0
    d.listed([ServerEntry(s, state=ServerState.OUT) for s in SERVERS[4:]], ListKind.CHANGES)
    assert d.balancer.limit == pytest.approx(before / 3)
    d.listed(SERVERS)
    assert d.balancer.limit == pytest.approx(before)


@pytest.mark.parametrize(("stretch", "rises"), [(1.0, True), (1.6, False)])
def test_past_what_is_never_too_many_the_limit_rises_only_near_the_idle_time(
    drive: Drive, stretch: float, rises: bool
) -> None:
    """Hosts that slow down under load do so late: with slightly slower answers they are already near their limit."""
    d = drive(copies=4)
    d.listed(SERVERS)
    d.serve(300, step=20.0)
    safe_calls = 8.0 * len(SERVERS) / 4
    d.balancer.limit = 1.2 * safe_calls
    for _ in range(20):
        d.now += 20.0
        names = [d.request()[0] for _ in range(int(safe_calls))]  # as many calls as allowed are in flight
        for name in names:
            d.result(name, took=20.0 * stretch)
    assert (d.balancer.limit > 1.3 * safe_calls) is rises


@pytest.mark.parametrize(("unproven", "lost"), [(False, True), (True, False)])
def test_a_connection_that_fails_without_proof_leaves_its_host_warm_and_ready(
    drive: Drive, unproven: bool, lost: bool
) -> None:
    d = drive(copies=40)
    d.listed(SERVERS)
    name, _ = d.request()
    (server,) = d.sent[name]
    d.result(name, Outcome.CONNECT_FAILED, took=1.0, unproven=unproven)
    assert d.balancer.servers[server].refused is lost
    assert (server in {s.entry.server for s in d.balancer.ejected}) is lost


@pytest.mark.parametrize("left", [1, 30, 49])
def test_a_request_with_little_time_left_does_not_make_a_host_lost(left: int) -> None:
    """Its leg ends unsent in less than half of the connect time-out, like one that is refused at once."""
    made: list[Balancer] = []

    def make(settings: Any, seed: int) -> Balancer:
        made.append(Balancer(settings, seed))
        return made[-1]

    layer = rules.Rules(make_settings(copies=40, connect_timeout=100.0), 1, Time(), Counters(), make)
    layer.handle(0, news(ListKind.ALL, *((name, ServerState.IN) for name in SERVERS)))
    (leg,) = [
        order.leg
        for order in layer.handle(0, rules.RequestArrived(rules.Call(0, 0, left * 1000, None), "t", 0))
        if isinstance(order, rules.SendLeg)
    ]
    layer.handle(left * 1000, rules.LegTimedOut(leg))
    assert leg.outcome is Outcome.CONNECT_FAILED
    assert not made[0].servers[leg.server].refused and not made[0].ejected


@pytest.mark.parametrize(
    ("first", "unproven"), [(OK, 1), (answer(200, b"ok", "Connection: close"), 0)], ids=["one stands", "none stands"]
)
def test_a_refused_connection_proves_a_death_only_where_no_other_stands(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, first: bytes, unproven: int
) -> None:
    """A host with full connection tables refuses new connections and keeps the old ones; a crash resets those too."""
    host = UpstreamHost(lambda _: first)

    async def scenario(s: ProxyHarness) -> None:
        assert (await s.ask())[0] == 200
        original_take = ConnectionPool.take

        async def refused(links: ConnectionPool, _: str, __: str) -> Any:
            return await original_take(links, "none is open to it", "127.0.0.1:1")  # no process listens there

        monkeypatch.setattr(ConnectionPool, "take", refused)
        assert (await s.ask(changes={"X-Request-Id": "2"}))[0] in (502, 503)
        assert s.proxy.counters["legs_connect_failed"] == 1
        assert s.proxy.counters["connects_unproven"] == unproven

    play(tmp_path, scenario, host)


def test_a_host_that_ends_a_connection_before_the_request_is_not_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """For example an idle time-out of the host, between the check of the connection and its use."""
    host = UpstreamHost()

    async def scenario(s: ProxyHarness) -> None:
        original_take = ConnectionPool.take

        async def ended(links: ConnectionPool, server: str, address: str) -> Any:
            link = await original_take(links, server, address)
            link._transport.close()
            return link

        monkeypatch.setattr(ConnectionPool, "take", ended)
        assert (await s.ask())[0] in (502, 503)
        assert s.proxy.counters["legs_connect_failed"] == s.proxy.counters["connects_unproven"] == 1

    play(tmp_path, scenario, host)
