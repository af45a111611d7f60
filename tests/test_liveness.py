"""The availability rules, in calm periods and while only tolerated faults are active."""

from __future__ import annotations

from cranebank.fleetlab.liveness import Calm, calm_times, judge_liveness, longest_outage
from cranebank.fleetlab.records import Change, DayRecord, Health, InjectedFault, TallyCall, Try

SETTLE_S = 8.0
REQUEST_INTERVAL_S = 0.1


def make_try(number: int, sent: float, is_served: bool, route: str = "chat") -> Try:
    found = Try(number, f"t{number}", "edge-1", 1, "POST", "h", f"/{route}/{number}", "", sent, True, 1)
    found.status, found.whole, found.ended = (200 if is_served else 503), True, sent + 0.1
    return found


def make_record(
    seconds: float,
    outages: tuple[tuple[float, float], ...] = (),
    faults: tuple[tuple[float, float], ...] = (),
    routes: tuple[str, ...] = ("chat",),
    outage_route: str = "",
) -> DayRecord:
    """Return a run with a request every 0.1 s, none served during outages (of one route, if it is named)."""
    record = DayRecord(begun=100.0, ended=100.0 + seconds)
    for number in range(int(seconds / REQUEST_INTERVAL_S)):
        at, route = number * REQUEST_INTERVAL_S, routes[number % len(routes)]
        is_outage = any(begin <= at < end for begin, end in outages) and outage_route in {"", route}
        record.tries.append(make_try(number, 100.0 + at, not is_outage, route))
    record.changes += [
        Change(number, number - 1, (), "", 100.0 + number, True, 100.5 + number) for number in range(int(seconds))
    ]
    record.faults += [InjectedFault("kill-proxy", 100.0 + begin, 100.0 + end) for begin, end in faults]
    return record


def with_health(record: DayRecord, degraded: tuple[float, float] = (0.0, 0.0), **degraded_values: object) -> DayRecord:
    """Add health samples, with other values during one period."""
    at = record.begun
    while at < record.ended:
        begin, end = degraded
        values: dict[str, object] = {"proxies": 3, "ready": 3, "controllers_lost": 0, "backends": {"g1": 2, "g2": 2}}
        if begin <= at - record.begun < end:
            values |= degraded_values
        record.health.append(Health(at=at, all_proxies=3, **values))  # type: ignore[arg-type]
        at += 0.25
    return record


def broken_rules(record: DayRecord) -> set[str]:
    return {finding.rule for finding in judge_liveness(record, SETTLE_S, 1)[0]}


def test_calm_begins_when_the_system_had_its_time_after_all_faults() -> None:
    record = make_record(60.0, faults=((10.0, 14.0), (11.0, 18.0), (40.0, 42.0)))
    assert calm_times(record, SETTLE_S) == [Calm(126.0, 139.0), Calm(150.0, 159.0)]


def test_no_calm_where_the_next_fault_comes_too_soon() -> None:
    assert calm_times(make_record(30.0, faults=((2.0, 10.0), (20.0, 21.0))), SETTLE_S) == []


def test_service_that_does_not_come_back() -> None:
    record = make_record(40.0, outages=((10.0, 40.0),), faults=((10.0, 12.0),))
    findings, judged = judge_liveness(record, SETTLE_S, 1)
    assert [finding.rule for finding in findings] == ["RECOVER"]
    assert "0 of 30 requests served from 20.0 s on" in findings[0].text
    assert judged > 20


def test_service_that_comes_back_late() -> None:
    assert broken_rules(make_record(40.0, outages=((10.0, 24.0),), faults=((10.0, 12.0),))) == {"RECOVER"}
    assert broken_rules(make_record(40.0, outages=((10.0, 19.5),), faults=((10.0, 12.0),))) == set()


def test_one_route_that_does_not_come_back() -> None:
    many, few = ("chat", "chat", "search"), ("chat",) * 9 + ("search",)
    record = make_record(40.0, outages=((10.0, 40.0),), faults=((10.0, 12.0),), routes=many, outage_route="search")
    assert broken_rules(record) == {"RECOVER"}
    record = make_record(40.0, outages=((10.0, 40.0),), faults=((10.0, 12.0),), routes=few, outage_route="search")
    assert broken_rules(record) == set()  # too few to be judged as a route, and a small share of all requests


def test_a_proxy_that_does_not_come_back() -> None:
    """Clients switch to another proxy, so all requests are served."""
    record = make_record(40.0, faults=((10.0, 12.0),))
    for sent in list(record.tries):
        if sent.sent >= 110.0 and sent.request % 3 == 0:
            stuck = make_try(sent.request, sent.sent, False)
            stuck.proxy = "edge-2"
            record.tries.append(stuck)
    findings, _ = judge_liveness(record, SETTLE_S, 1)
    assert [finding.rule for finding in findings] == ["RECOVER"]
    assert "edge-2 served 0 of" in findings[0].text


def test_a_proxy_that_is_not_ready_again() -> None:
    assert broken_rules(with_health(make_record(40.0, faults=((10.0, 12.0),)), (10.0, 22.0), ready=2)) == {"RECOVER"}
    assert broken_rules(with_health(make_record(40.0, faults=((10.0, 12.0),)), (10.0, 19.0), ready=2)) == set()


def test_a_control_side_that_acknowledges_nothing() -> None:
    record = make_record(40.0, faults=((10.0, 12.0),))
    record.changes = [change for change in record.changes if change.sent < 110.0]
    assert broken_rules(record) == {"RECOVER"}


def test_no_service_while_only_tolerated_faults_are_on() -> None:
    record = make_record(30.0, outages=((10.0, 14.0),), faults=((5.0, 28.0),))
    assert broken_rules(with_health(record, (5.0, 28.0), controllers_lost=1, proxies=2)) == {"OUTAGE"}


def test_no_service_beyond_what_must_be_borne_is_no_outage() -> None:
    for degraded_values in (
        {"controllers_lost": 2},
        {"proxies": 1},
        {"proxies": 0},
        {"backends": {"g1": 2, "g2": 0}},
    ):
        record = make_record(30.0, outages=((10.0, 14.0),), faults=((5.0, 28.0),))
        assert broken_rules(with_health(record, (9.0, 12.0), **degraded_values)) == set()


def test_what_was_lost_shortly_before_counts() -> None:
    record = make_record(30.0, outages=((10.0, 14.0),), faults=((5.0, 28.0),))
    assert broken_rules(with_health(record, (4.0, 5.0), controllers_lost=2)) == {"OUTAGE"}
    record = make_record(30.0, outages=((10.0, 13.1),), faults=((5.0, 28.0),))
    assert broken_rules(with_health(record, (8.0, 9.0), controllers_lost=2)) == set()


def test_a_request_counts_once_by_all_its_tries() -> None:
    record = make_record(40.0, outages=((10.0, 40.0),), faults=((10.0, 12.0),))
    for sent in list(record.tries):
        again = make_try(sent.request, sent.sent + 0.2, True)
        again.attempt += "b"
        record.tries.append(again)
    assert broken_rules(record) == set()


def test_the_longest_time_without_service() -> None:
    assert 3.9 < longest_outage(make_record(30.0, outages=((10.0, 14.0),))) < 4.3


def with_tally_adds(record: DayRecord, refused: tuple[float, float], share_refused: int = 1) -> DayRecord:
    """Record a tally add every 0.25 s, repeated at a second machine. For one period both machines refuse some adds."""
    for number in range(int(4 * (record.ended - record.begun))):
        at = number / 4
        is_refused = refused[0] <= at < refused[1] and number % share_refused == 0
        for machine, status in (("c-1", 503), ("c-2", 503 if is_refused else 200)):
            sent = record.begun + at
            record.tally_calls.append(TallyCall("t", f"a{number}", 1, machine, 1, sent, sent + 0.1, status))
    return record


def test_adds_to_tallies_are_taken_in_calm_times() -> None:
    for share_refused, found in ((11, set[str]()), (9, {"RECOVER"})):
        record = make_record(40.0, faults=((5.0, 10.0),))
        assert broken_rules(with_tally_adds(record, (15.0, 40.0), share_refused)) == found


def test_adds_to_tallies_are_taken_while_no_more_is_lost_than_must_be_borne() -> None:
    for controllers_lost, found in ((1, {"OUTAGE"}), (2, set[str]())):
        record = with_health(make_record(40.0, faults=((5.0, 39.0),)), (0.0, 40.0), controllers_lost=controllers_lost)
        assert broken_rules(with_tally_adds(record, (18.0, 24.0))) == found
