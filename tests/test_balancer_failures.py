"""One test per kind of failure: each fails if the module's reaction to it is removed."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import pytest
from conftest import Driver

from cranebank.decisions.interface import (
    Cancel,
    Effect,
    Group,
    ListKind,
    Outcome,
    Probe,
    ProbeResult,
    Refuse,
    ReportSource,
    RequestClass,
    ServerEntry,
    ServerList,
    SetTimer,
    TimerFired,
    Watch,
)

Drive = Callable[..., Driver]
SERVERS = [f"s{i}" for i in range(6)]


def test_fast_failing_server_leaves_the_ready_list(drive: Drive) -> None:
    d = drive()
    d.listed(SERVERS)
    firsts = d.serve(120, lambda s: Outcome.ERROR if s == "s0" else Outcome.OK)
    assert firsts.get("s0", 0) <= 5  # an even share would be 20
    assert len(d.balancer.ejected) == 1


def test_it_returns_by_a_trial_call_when_it_answers_again(drive: Drive) -> None:
    d = drive()
    d.listed(SERVERS)
    d.serve(120, lambda s: Outcome.ERROR if s == "s0" else Outcome.OK)
    d.now += d.balancer.servers["s0"].ejection_ms + 1
    d.do(TimerFired("sweep"))
    assert d.balancer.servers["s0"].on_trial
    assert d.serve(300).get("s0", 0) > 20
    assert not d.balancer.servers["s0"].on_trial


def test_trouble_common_to_all_ejects_hardly_anybody(drive: Drive) -> None:
    ready = 0
    for seed in range(20):
        d = drive(seed)
        d.listed(SERVERS)
        outcomes = itertools.cycle((Outcome.OK, Outcome.ERROR))
        d.serve(200, lambda _: next(outcomes))  # noqa: B023
        ready += len(d.balancer.ready)
    assert ready / 20 > 3.6  # of six; three always stay, and two failures in a row happen to healthy servers too


def test_at_least_half_the_servers_stay_ready(drive: Drive) -> None:
    d = drive()
    d.listed(SERVERS)
    d.serve(300, lambda s: Outcome.ERROR if s in SERVERS[:5] else Outcome.OK, step=1.0)
    assert len(d.balancer.ready) >= 3


def test_hung_server_gets_nothing_more_while_its_calls_are_out(drive: Drive) -> None:
    d = drive()
    d.listed(SERVERS)
    d.serve(60)
    stuck = 0
    for _ in range(200):
        d.now += 10.0
        name, _ = d.request(2, left=1000.0)
        if d.sent[name] == ["s0"]:
            stuck += 1
            d.now += 500.0
            d.do(TimerFired(f"0.{name}"))
        else:
            d.result(name)
    assert 1 <= stuck <= 4  # an even share would be 33


def test_slow_server_is_bounded_by_its_fair_share_of_calls_out(drive: Drive) -> None:
    d = drive()
    d.listed(SERVERS)
    d.balancer.limit = 1000.0
    for _ in range(90):
        name, _ = d.request(2)
        if d.sent[name] != ["s0"]:
            d.result(name)
    assert d.balancer.servers["s0"].in_flight <= 3


def test_slow_server_is_drawn_less(drive: Drive) -> None:
    d = drive()
    d.listed(SERVERS)
    d.serve(60)
    d.balancer.servers["s0"].mean_duration = 20 * d.balancer.mean_latency
    d.balancer._record_evidence = lambda *_: None  # type: ignore[method-assign]
    firsts: dict[str, int] = {}
    for _ in range(300):
        d.now += 10
        name, _ = d.request()
        firsts[d.sent[name][0]] = firsts.get(d.sent[name][0], 0) + 1
        slow = d.sent[name][0] == "s0"
        d.result(name, took=400.0 if slow else 20.0)
    assert firsts.get("s0", 0) < 30


def test_shared_slowdown_beside_a_slow_server_ejects_nobody_and_withdraws_nothing(drive: Drive) -> None:
    d = drive()
    d.listed(SERVERS)
    d.serve(60)
    names = [d.request()[0] for _ in range(8)]
    d.now += 300.0
    actions = [a for name in names if name in d.sent for a in d.do(TimerFired(f"0.{name}"))]
    assert not [a for a in actions if isinstance(a, Cancel)]
    assert len(d.balancer.ready) >= 5


def test_burst_is_held_and_the_excess_refused_in_time(drive: Drive) -> None:
    d = drive()
    d.listed(SERVERS)
    d.serve(40)
    d.balancer.limit = 10.0
    names = [d.request()[0] for _ in range(40)]
    assert d.balancer.in_flight == 10
    assert len(d.sent) - 40 == 10
    d.now += 399.0
    actions = [a for name in names for a in d.do(TimerFired(f"hold.{name}"))]
    assert len([a for a in actions if isinstance(a, Refuse)]) == 30


def test_limit_falls_when_answers_take_too_long_and_recovers(drive: Drive) -> None:
    d = drive()
    d.listed(SERVERS)
    d.serve(300)
    for _ in range(150):
        d.balancer._adjust_limit(0.95)
    low = d.balancer.limit
    assert low == len(d.balancer.ready)
    d.balancer.in_flight = 20
    for _ in range(150):
        d.balancer._adjust_limit(0.05)
    assert d.balancer.limit > low + 10


@pytest.mark.parametrize(("copies", "each"), [(1, 4), (2, 2), (4, 1), (8, 1)])
def test_a_fresh_copy_starts_with_its_part_of_four_calls_a_server(drive: Drive, copies: int, each: int) -> None:
    d = drive(copies=copies)
    d.listed([])  # a list may arrive in parts
    d.listed(SERVERS)
    for _ in range(50):
        d.request()
    assert d.balancer.in_flight == each * len(SERVERS)


def test_most_worth_goes_first_when_there_is_room_again(drive: Drive) -> None:
    d = drive()
    d.listed(["a"])
    d.balancer.limit = 1.0
    first, _ = d.request()
    d.request(0)
    precious, _ = d.request(2)
    d.request(0)
    d.result(first)
    assert precious in d.sent


def test_what_exceeds_a_tenants_share_waits_longest(drive: Drive) -> None:
    d = drive(quotas=(10.0, 100.0), copies=1, over_share_worth=0.1)
    d.listed(["a"])
    d.balancer.limit = 1.0
    first, _ = d.request()
    over = [d.request(tenant=0)[0] for _ in range(8)]
    d.now += 1.0
    within, _ = d.request(tenant=1)
    d.now += 1.0
    more, _ = d.request(tenant=0)
    d.result(first)
    assert within in d.sent
    assert more not in d.sent
    assert over[-1] not in d.sent


def test_full_answer_rests_the_server_and_is_tried_elsewhere(drive: Drive) -> None:
    d = drive()
    d.listed(["a", "b"])
    d.serve(40)
    name, _ = d.request(2)
    d.result(name, Outcome.FULL)
    assert len(set(d.sent[name])) == 2


def test_further_attempts_are_a_share_of_traffic(drive: Drive) -> None:
    d = drive()
    d.listed(SERVERS)
    d.serve(200, lambda _: Outcome.CONNECT_FAILED)
    sends = sum(len(s) for s in d.sent.values())
    assert sends <= 200 * 1.2 + 6


def test_late_reports_weaken_the_comparison(drive: Drive) -> None:
    d = drive(copies=50)
    d.listed(SERVERS)
    d.serve(100)
    for server in d.balancer.servers.values():
        server.load, server.in_flight_at_report = (0.0 if server.entry.server == "s0" else 50.0), 0
    firsts: dict[str, int] = {}
    for _ in range(300):
        d.now += 30.0
        name, _ = d.request()
        firsts[d.sent[name][0]] = firsts.get(d.sent[name][0], 0) + 1
        d.result(name)
    assert firsts["s0"] < 100  # with fresh reports two choices give it about 92, and herding more


def test_own_zone_is_kept_while_it_has_room_and_left_when_crowded(drive: Drive) -> None:
    d = drive(cross_zone_price=0.02)
    entries = [ServerEntry(f"s{i}", zone=i % 2) for i in range(6)]
    d.listed(entries)
    near = {"s0", "s2", "s4"}
    firsts = d.serve(300)
    assert sum(firsts.get(s, 0) for s in near) > 270  # a few calls leave it to measure the others
    for name in SERVERS:
        d.balancer._record_load(d.balancer.servers[name], {"inflight": 60.0 if name in near else 1.0})
    assert set(d.serve(60)) - near


@pytest.mark.parametrize(("price", "least", "most"), [(0.05, 280, 300), (0.002, 150, 250)])
def test_the_own_zone_is_left_for_a_faster_one_only_where_that_is_worth_the_crossing(
    drive: Drive, price: float, least: int, most: int
) -> None:
    """60 ms in the own zone and 40 ms in the other: a difference of a twentieth of the aim of 400 ms."""
    d = drive(cross_zone_price=price)
    d.listed([ServerEntry(f"s{i}", zone=i % 2) for i in range(6)])
    near = 0
    for turn in range(600):
        d.now += 100.0
        name, _ = d.request()
        at_home = int(d.sent[name][0][1]) % 2 == 0
        near += at_home and turn >= 300
        d.result(name, took=60.0 if at_home else 40.0)
    assert least <= near <= most


def test_cut_zone_keyed_request_stays_with_those_who_drop_its_repeats(drive: Drive) -> None:
    d = drive(classes=(RequestClass(400.0, 1000.0, Effect.KEYED, Group.ZONE, repeat_window=700.0),))
    d.listed([ServerEntry(f"s{i}", zone=i % 2) for i in range(6)])
    for _ in range(40):
        d.now += 20.0
        name, _ = d.request()
        d.result(name, Outcome.TIMEOUT)
        if len(d.sent[name]) == 2:
            first, second = d.sent[name]
            assert int(first[1]) % 2 == int(second[1]) % 2
            d.result(name)


def test_cold_return_during_overload_gets_a_thin_share(drive: Drive) -> None:
    d = drive()
    d.listed(SERVERS[:5])
    d.serve(200)
    d.listed([ServerEntry("s5", started=d.now)], ListKind.CHANGES)
    assert d.serve(100, step=5.0).get("s5", 0) <= 8  # an even share would be 17


def test_hosts_that_stand_still_do_not_hold_back_the_one_that_serves(drive: Drive) -> None:
    """Calls to three of four hosts are overdue; the fourth gets all new calls, not only one at a time."""
    d = drive()
    d.listed(SERVERS[:4])
    d.serve(100)
    d.balancer.limit = 16.0
    for _ in range(12):
        d.now += 2.0
        d.request(2)
    here = "s0"
    for name in list(d.sent):
        if d.sent[name][0] == here and name in d.balancer.requests:
            d.result(name)
    stuck = {name: d.sent[name][0] for name in d.sent if name in d.balancer.requests}
    d.now += 200.0  # ten mean latencies of 20 ms, and well before the deadline
    for name in stuck:
        d.do(TimerFired(f"0.{name}"))
    assert d.balancer.in_flight == 0
    assert len(stuck) >= 8
    sent = [d.request(2)[0] for _ in range(4)]
    assert sum(d.sent.get(name, [""])[0] == here for name in sent) >= 2


def test_restart_voids_what_was_known(drive: Drive) -> None:
    d = drive()
    d.listed(SERVERS)
    d.serve(60, lambda s: Outcome.ERROR if s == "s0" else Outcome.OK)
    d.listed([ServerEntry("s0", started=d.now)], ListKind.CHANGES)
    assert d.balancer.servers["s0"].failure_share == 0.0
    assert d.balancer.servers["s0"] in d.balancer.ready


def test_refused_discovery_is_asked_again_ever_later(drive: Drive) -> None:
    d = drive(watch_by_asking=True)
    first = d.listed(SERVERS, ListKind.REMEMBERED)
    assert any(isinstance(a, SetTimer) and a.name == "watch" for a in first)
    assert d.do(TimerFired("watch")) == [Watch()]
    waits = []
    for _ in range(8):
        (timer,) = [a for a in d.do(ServerList(ListKind.REFUSED)) if isinstance(a, SetTimer)]
        waits.append(timer.at - d.now)
    assert waits[3] > waits[0]
    assert max(waits) < d.settings.ask_within


def test_an_agent_of_ones_own_that_was_silent_is_asked_again_soon_each_time(drive: Drive) -> None:
    d = drive(watch_by_asking=False)
    d.listed(SERVERS)
    waits = [a.at - d.now for _ in range(8) for a in d.do(ServerList(ListKind.REFUSED)) if isinstance(a, SetTimer)]
    assert len(waits) == 8
    assert max(waits) < d.settings.ask_within / 10  # updates that it has sent count as known, so they must be read soon


def test_probed_reports_are_asked_for_in_turn_and_cheaply(drive: Drive) -> None:
    d = drive(may_probe=True, report_source=ReportSource.PROBE, probe_price=0.01)
    d.listed(SERVERS)
    probes: list[str] = []
    for _ in range(300):
        d.now += 10.0
        name, actions = d.request()
        probes += [a.server for a in actions if isinstance(a, Probe)]
        d.result(name)
    assert 15 < len(probes) < 45  # one per ten calls
    assert set(probes) == set(SERVERS)
    assert all(one != two for one, two in itertools.pairwise(probes))
    d.do(ProbeResult("s3", Outcome.OK, 2.0, {"inflight": 4.0, "unheard_of": 1.0}))
    assert d.balancer.servers["s3"].load == 4.0


def test_heavy_requests_do_not_eject_a_server_that_answers_others(drive: Drive) -> None:
    d = drive()
    d.listed(SERVERS)
    d.serve(60)
    name, _ = d.request(2)
    heavy = d.sent[name][0]
    d.now += 300.0
    d.balancer.servers[heavy].answered_at = d.now - 1.0
    d.do(TimerFired(f"0.{name}"))
    assert d.balancer.servers[heavy].failure_share == 0.0


def test_a_long_jam_leaves_no_answered_requests_behind(drive: Drive) -> None:
    d = drive()
    d.listed(["s0"])
    d.balancer.limit, d.balancer.min_limit = 1.0, 1.0
    for _ in range(500):
        d.now += 5
        name, _actions = d.request(left=40.0)
        d.now += 60
        d.do(TimerFired("deadline." + name))
    assert len(d.balancer.queue) <= 2 * len(d.balancer.requests) + 64


def test_a_held_request_is_turned_away_in_the_first_half_of_its_time(drive: Drive) -> None:
    d = drive(sends_retry_after=True, max_retry_after=1000.0)
    d.listed(["s0"])
    d.balancer.limit = d.balancer.min_limit = 1.0
    d.request()
    name, actions = d.request(left=300.0)
    (timer,) = [a for a in actions if isinstance(a, SetTimer) and a.name == "hold." + name]
    assert d.now < timer.at < d.now + 150.0
    d.now = timer.at
    assert [type(a) for a in d.do(TimerFired(timer.name))] == [Refuse]


def test_copies_at_one_latency_come_to_share_it_evenly(drive: Drive) -> None:
    d = drive()
    d.listed(SERVERS)
    d.balancer.limit = 2 * len(SERVERS)
    for _ in range(100):
        d.balancer._adjust_limit(0.3)
    ends = []
    for limit in (6.0, 60.0):
        d.balancer.limit = limit
        d.balancer.in_flight = 1000  # the demand is high
        for _ in range(20):
            d.balancer._adjust_limit(0.3**d.balancer.idle_weight)
        ends.append(d.balancer.limit)
    assert ends[0] > 6.0
    assert ends[1] < 60.0


@pytest.mark.parametrize(
    ("index", "changes", "jammed", "goes"),
    [
        (0, {}, False, True),
        (1, {}, False, True),
        (2, {}, False, False),
        (0, {}, True, False),
        (0, {"second_copies": False}, False, False),
        (0, {"max_attempts": 1}, False, False),
    ],
    ids=["safe", "keyed", "unsafe", "jam", "not allowed", "no attempt left"],
)
def test_a_call_that_is_out_for_long_gets_a_second_copy_where_that_is_harmless(
    drive: Drive, index: int, changes: dict[str, object], jammed: bool, goes: bool
) -> None:
    d = drive(**{"second_copies": True, **changes})
    d.listed(SERVERS)
    d.serve(100)
    d.balancer.latencies = [20.0] * 3
    stuck, actions = d.request(index)
    timers = [a for a in actions if isinstance(a, SetTimer) and a.name == f"second.{stuck}"]
    d.now += 61.0
    d.balancer.fast_ratio *= 4 if jammed else 1
    before = d.balancer.servers[d.sent[stuck][0]].mean_duration
    for timer in timers * 2:  # a second copy, but no third
        d.do(TimerFired(timer.name))
    assert len(set(d.sent[stuck])) == len(d.sent[stuck]) == 1 + goes
    if goes:
        assert Cancel(stuck, 0) in d.result(stuck)
        d.result(stuck, Outcome.CANCELLED, attempt=0, took=81.0, finished=True)
        assert d.balancer.servers[d.sent[stuck][0]].mean_duration > before  # the cancelled call does not lower the mean
        assert d.balancer.in_flight == 0


def test_a_keyed_call_gets_no_second_copy_once_its_repeats_may_not_be_dropped(drive: Drive) -> None:
    d = drive(second_copies=True)
    d.listed(SERVERS)
    d.serve(100)
    stuck, _ = d.request(1)
    d.now += 700.0  # the repeat window of the class
    d.do(TimerFired(f"second.{stuck}"))
    assert len(d.sent[stuck]) == 1


@pytest.mark.parametrize(("later", "goes"), [(100.0, True), (400.0, False)])
def test_a_repeat_after_a_second_copy_keeps_the_window_of_the_leg_sent_first(
    drive: Drive, later: float, goes: bool
) -> None:
    """Whichever of the two ends first: hosts recognise the request from the time of the first one."""
    d = drive(second_copies=True)
    d.listed(SERVERS)
    d.serve(100)
    d.balancer.latencies = [20.0] * 3
    stuck, _ = d.request(1, left=2000.0)
    d.now += 350.0
    d.do(TimerFired(f"second.{stuck}"))
    d.result(stuck, Outcome.RESET, attempt=1)
    d.now += later  # the repeat window of the class is 700
    d.result(stuck, Outcome.RESET, attempt=0, took=350.0 + later)
    assert len(d.sent[stuck]) == 2 + goes
