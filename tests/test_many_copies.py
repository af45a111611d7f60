"""Behaviour that depends on the number of copies: one copy with many calls, or 500 with few calls each."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from conftest import Driver, make_settings

from cranebank.decisions.interface import (
    ListKind,
    Outcome,
    ProbeResult,
    ReportSource,
    Send,
    ServerEntry,
    SetTimer,
    TimerFired,
)

Drive = Callable[..., Driver]
SERVERS = [f"s{i}" for i in range(12)]


def sent_while(drive: Drive, copies: int, outcome: Outcome) -> int:
    """End every call with ``outcome``; return how many of the last forty requests are sent."""
    d = drive(copies=copies, max_attempts=1)
    d.listed(SERVERS)
    d.serve(10, step=50.0)
    d.serve(40, lambda _: outcome, step=50.0)
    before = len(d.sent)
    d.serve(40, lambda _: outcome, step=50.0)
    return len(d.sent) - before


def test_many_copies_start_with_one_call_each() -> None:
    d = Driver(make_settings(copies=500))
    d.listed(SERVERS)
    for _ in range(30):
        d.request()
    assert len(d.sent) == 1


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.TIMEOUT])
def test_a_jam_that_answers_nobody_brings_the_limit_under_one_call(drive: Drive, outcome: Outcome) -> None:
    assert sent_while(drive, 500, Outcome.OK) == 40
    assert sent_while(drive, 500, outcome) < 25


def test_a_stuck_call_does_not_take_the_whole_limit_of_a_copy(drive: Drive) -> None:
    d = drive(copies=500)
    d.listed(SERVERS)
    stuck, _ = d.request(2, left=5000.0)
    assert not any(isinstance(a, Send) for a in d.request(2, left=5000.0)[1])
    d.now += 450.0
    assert any(isinstance(a, Send) for a in d.do(TimerFired(f"0.{stuck}")) + d.do(TimerFired("sweep")))


def test_further_attempts_saved_up_are_a_share_of_all_copies(drive: Drive) -> None:
    def retried(copies: int) -> bool:
        d = drive(copies=copies)
        d.listed(SERVERS)
        name, _ = d.request()
        d.result(name, Outcome.ERROR)
        return len(d.sent[name]) == 2

    assert retried(1)
    assert not any(retried(500) for _ in range(20))


def test_refused_requests_earn_no_further_attempts(drive: Drive) -> None:
    d = drive(copies=500)
    d.listed(SERVERS)
    stuck, _ = d.request(2)
    for _ in range(50):  # none of these is sent: the limit is one call
        d.request(0)
    d.result(stuck, Outcome.FULL)
    assert len(d.sent[stuck]) == 1


def test_first_calls_to_discovery_spread_over_the_number_of_copies() -> None:
    def latest(copies: int) -> float:
        waits = []
        for seed in range(60):
            d = Driver(make_settings(copies=copies, watch_by_asking=True), seed)
            first = d.listed(SERVERS, ListKind.REMEMBERED)
            waits += [a.at - d.now for a in first if isinstance(a, SetTimer) and a.name == "watch"]
        return max(waits)

    assert latest(1) < 10000.0 / 16
    assert 4 * latest(1) < latest(500) < 10000.0  # and before the old list becomes binding


@pytest.mark.parametrize(("copies", "over"), [(1, True), (500, False)])
def test_a_second_request_of_a_tenant_is_no_excess_where_a_share_is_under_one(
    drive: Drive, copies: int, over: bool
) -> None:
    d = drive(quotas=(2.0, 100.0), copies=copies, over_share_worth=0.1)
    d.listed(["a"])
    d.balancer.limit = 1.0
    first, _ = d.request(0, tenant=0)
    precious, _ = d.request(2, tenant=0)  # worth five times as much, or half as much where over the quota
    plain, _ = d.request(0, tenant=1)
    d.result(first)
    assert list(d.sent) == ([first, plain, precious] if over else [first, precious, plain])


def test_a_zone_slower_than_the_others_is_left(drive: Drive) -> None:
    d = drive(copies=500, cross_zone_price=0.02, report_source=ReportSource.PROBE)
    d.listed([ServerEntry(s, zone=i % 4) for i, s in enumerate(SERVERS)])
    near = {s for i, s in enumerate(SERVERS) if i % 4 == 0}

    answered = set[str]()

    def serve(slow: float) -> float:
        kept = sent = 0
        for _ in range(300):
            d.now += 300.0
            d.request()  # slow answers lower the limit: a request may be held until another is answered
            while waiting := [name for name in d.sent if name not in answered]:
                answered.add(waiting[0])
                at_home = d.sent[waiting[0]][0] in near
                kept, sent = kept + at_home, sent + 1
                d.result(waiting[0], took=slow if at_home else 20.0)
        assert sent > 250
        return kept / sent

    assert serve(20.0) > 0.9
    assert serve(100.0) < 0.5  # an even share would be 0.25


def test_a_slow_server_is_drawn_far_less_by_many_copies_whose_figures_are_old(drive: Drive) -> None:
    def share(copies: int) -> float:
        d = drive(copies=copies)
        d.listed(SERVERS)
        hits = 0
        for _ in range(600):
            d.now += 2000.0
            name, _ = d.request()
            hits += d.sent[name][0] == "s0"
            d.result(name, took=60.0 if d.sent[name][0] == "s0" else 20.0)
        return hits / 600

    assert share(1) > 0.025
    assert share(500) < 0.02  # an even share would be 0.083


def test_many_copies_together_keep_a_cold_server_under_its_budget() -> None:
    """200 copies learn of a start together: their first calls do not coincide, and their sum stays within the rule."""
    fleet = [
        Driver(make_settings(copies=200, overload_for=1500.0, report_source=ReportSource.PROBE), seed)
        for seed in range(200)
    ]
    for d in fleet:
        d.listed(SERVERS)
        d.serve(20, step=250.0)
    start = max(d.now for d in fleet)
    hits: list[float] = []
    for d in fleet:
        d.now = start
        d.listed([ServerEntry("cold", started=start - 500.0)], ListKind.CHANGES)
        while d.now < start + 4500.0:
            d.now += 250.0
            name, _ = d.request()
            if name in d.sent:
                if d.sent[name][0] == "cold":
                    hits.append(d.now - start)
                d.result(name)
    full = 200 * 4.0 / 13  # calls a second at an even share: no more than a server's capacity
    for window in range(0, 3001, 250):
        share = 0.25 + 0.75 * window / 8000.0
        sent = sum(window < at <= window + 1500.0 for at in hits)
        assert sent <= 3.0 * share * full * 1.5
    assert hits, "a cold server must get some calls"
    assert max(hits.count(at) for at in set(hits)) <= len(hits) / 3, "too many first calls at the same moment"


def estimated_copies(drive: Drive, configured: int, true: float, calls: int) -> float:
    """Keep ``calls`` in flight per host while reports show ``true`` times that; return the estimated copies."""
    d = drive(copies=configured, report_source=ReportSource.PROBE, may_probe=True, probe_price=0.05)
    d.listed(SERVERS)
    d.balancer.limit = 1000.0
    names = [d.request(2, left=60000.0)[0] for _ in range(calls * len(SERVERS))]
    for _ in range(5):
        for name in SERVERS:
            held = true * d.balancer.servers[name].in_flight
            d.do(ProbeResult(name, Outcome.OK, 1.0, {"inflight": held}))
    assert len(names) == sum(map(len, d.sent.values()))
    return d.balancer._copy_count()


@pytest.mark.parametrize("configured", [4, 8, 16])
@pytest.mark.parametrize("part", [0.5, 1.0, 2.0])
def test_a_told_count_of_copies_that_is_wrong_by_two_is_seen_from_reports(
    drive: Drive, configured: int, part: float
) -> None:
    """Half of the copies are lost with their zone, or their number doubles, while the configured number stays."""
    assert estimated_copies(drive, configured, configured * part, 3) == pytest.approx(configured * part, rel=0.1)


def test_a_copy_with_no_calls_out_believes_the_told_count(drive: Drive) -> None:
    d = drive(copies=500, report_source=ReportSource.PROBE, may_probe=True, probe_price=0.05)
    d.listed(SERVERS)
    for name in SERVERS * 5:
        d.do(ProbeResult(name, Outcome.OK, 1.0, {"inflight": 5.0}))
    assert 500 <= d.balancer._copy_count() <= 700


def test_who_is_left_of_the_copies_fills_the_hosts_that_the_others_held(drive: Drive) -> None:
    def limit(true: float) -> float:
        d = drive(copies=8, report_source=ReportSource.PROBE, may_probe=True, probe_price=0.05)
        d.listed(SERVERS)
        d.serve(300, step=20.0)
        for _ in range(30):
            for _ in range(int(d.balancer.limit)):
                d.request()
            d.now += 30.0
            for name in SERVERS:
                held = true * d.balancer.servers[name].in_flight
                d.do(ProbeResult(name, Outcome.OK, 1.0, {"inflight": held}))
            for name in [name for name in d.sent if name in d.balancer.requests]:
                d.result(name, took=30.0)  # one and a half times the idle latency
        return d.balancer.limit

    assert limit(8.0) < 1.3 * 8 * len(SERVERS) / 8
    assert limit(2.0) > 2 * limit(8.0)
