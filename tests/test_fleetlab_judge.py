"""The judge finds each rule that is broken deliberately, and no breach in a day that keeps all rules."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest

from cranebank.fleetlab.judge import RULES, judge
from cranebank.fleetlab.records import (
    Arrival,
    Bounds,
    Change,
    ColdTime,
    DayRecord,
    Drain,
    EvacuationOrder,
    OrderSeen,
    ReadBack,
    Reading,
    RouteRule,
    StreamEvent,
    TallyCall,
    Trouble,
    Try,
)

CHAT, OLD, NEW = (
    RouteRule("h.example", f"/{name}/", (service,)) for name, service in (("chat", "g1"), ("old", "g1"), ("new", "g2"))
)


def make_try(
    attempt: str, at: float, *, proxy: str = "edge-1", path: str = "/chat/1", life: int = 1, repeatable: bool = False
) -> Try:
    """Return a try that was served in full."""
    run = f"i-1.{attempt}"
    stream_events = tuple(StreamEvent(number, attempt, run) for number in (1, 2))
    return Try(
        int(attempt[1:]),
        attempt,
        proxy,
        life,
        "POST",
        "h.example",
        path,
        "d",
        at,
        repeatable,
        2,
        False,
        at + 5,
        True,
        200,
        True,
        True,
        attempt,
        f"{run}.{attempt}",
        stream_events,
        (at + 0.1, at + 0.2),
        at + 0.2,
    )


def make_arrival(client_try: Try, service: str = "g1", instance: str = "i-1", after_s: float = 0.05) -> Arrival:
    """Return the single arrival of a try, which ran."""
    return Arrival(
        client_try.sent + after_s,
        service,
        instance,
        client_try.attempt,
        client_try.method,
        client_try.path,
        client_try.digest,
        "make",
        0,
        200,
        False,
        f"i-1.{client_try.attempt}",
        client_try.sent + after_s + 0.03,
        0,
        0,
        2,
        True,
    )


def make_day() -> DayRecord:
    """Return a day that keeps every rule, with three changes, a drain, a lost race and a kill of the primary."""
    day = DayRecord(
        Bounds(retry_slack=2),
        0.0,
        60.0,
        [],
        [],
        [
            Change(1, 0, (CHAT, OLD), "c1", 0.0, True, 0.2),
            Change(3, 1, (CHAT, OLD, NEW), "c3", 10.0, True, 10.4),
            Change(4, 1, (CHAT,), "c4", 10.0, True, None, True, 10.4),
            Change(6, 3, (CHAT, NEW), "c6", 30.0, True, 30.2),
            Change(7, 6, (), "c7", 40.0, False, None, True, 40.1),
        ],
        [Drain("i-9", 20.0, 20.1, 23.0)],
        [Trouble("core", 50.0, 51.0, "kill")],
        ReadBack(60.0, 6, "c6"),
    )
    for number in range(100):
        at = 1.0 + number * 0.5
        path, service = ("/chat/1", "g1") if number % 3 else ("/new/1", "g2") if at > 12 else ("/old/1", "g1")
        client_try = make_try(f"t{number}", at, path=path, proxy=f"edge-{number % 2}")
        day.tries.append(client_try)
        day.arrivals.append(make_arrival(client_try, service))
    return day


def test_a_day_that_keeps_the_rules_has_no_breach_and_every_rule_is_tried() -> None:
    verdict = judge(make_day())
    assert verdict.kept, verdict.breaches
    assert verdict.judged["MIXED"] == 100


BreakRule = Callable[[DayRecord], object]


def add_try(day: DayRecord, client_try: Try, *arrivals: Arrival) -> object:
    day.tries.append(client_try)
    day.arrivals += arrivals
    return day


def set_fields(record: object, **fields: object) -> object:
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def with_fields(client_try: Try, **fields: object) -> Try:
    return msgspec.structs.replace(client_try, **fields)


def stream_events(client_try: Try, *numbers: int) -> tuple[StreamEvent, ...]:
    return tuple(StreamEvent(number, client_try.attempt, f"i-1.{client_try.attempt}") for number in numbers)


def make_order(at: float, owner: str, fence_no: int, instance: str = "i-1") -> OrderSeen:
    return OrderSeen(at, instance, owner, fence_no, "decode", 202)


ONCE_ONLY = make_try("t900", 15.0)
REPEATABLE = make_try("t901", 15.0, repeatable=True)
RULE_BREAKS: dict[str, tuple[str, BreakRule]] = {
    "no seal": ("MIXED", lambda day: add_try(day, with_fields(ONCE_ONLY, seal=""), make_arrival(ONCE_ONLY))),
    "a seal of another": (
        "MIXED",
        lambda day: add_try(day, with_fields(ONCE_ONLY, seal="i-1.t5.t5"), make_arrival(ONCE_ONLY)),
    ),
    "the answer of another": (
        "MIXED",
        lambda day: add_try(day, with_fields(ONCE_ONLY, answer_attempt="t5"), make_arrival(ONCE_ONLY)),
    ),
    "events of another": (
        "MIXED",
        lambda day: add_try(
            day,
            with_fields(ONCE_ONLY, events=(ONCE_ONLY.events[0], StreamEvent(2, "t5", ONCE_ONLY.events[0].run))),
            make_arrival(ONCE_ONLY),
        ),
    ),
    "no HTTP": (
        "MIXED",
        lambda day: add_try(day, with_fields(ONCE_ONLY, is_http=False, whole=False), make_arrival(ONCE_ONLY)),
    ),
    "a success where the backend failed": (
        "MIXED",
        lambda day: add_try(day, ONCE_ONLY, msgspec.structs.replace(make_arrival(ONCE_ONLY), status=500)),
    ),
    "the handle of another": (
        "MIXED",
        lambda day: add_try(day, ONCE_ONLY, msgspec.structs.replace(make_arrival(ONCE_ONLY), handle_of="t5")),
    ),
    "never sent": ("UNASKED", lambda day: set_fields(day, arrivals=[*day.arrivals, make_arrival(ONCE_ONLY)])),
    "another body": (
        "UNASKED",
        lambda day: add_try(day, ONCE_ONLY, msgspec.structs.replace(make_arrival(ONCE_ONLY), digest="e")),
    ),
    "ran twice": (
        "TWICE",
        lambda day: add_try(
            day,
            ONCE_ONLY,
            make_arrival(ONCE_ONLY),
            msgspec.structs.replace(make_arrival(ONCE_ONLY), run="i-2.x", instance="i-2"),
        ),
    ),
    "refused and ran": (
        "REFUSED",
        lambda day: add_try(day, with_fields(ONCE_ONLY, status=503, seal="", events=()), make_arrival(ONCE_ONLY)),
    ),
    "a service that no route names": ("ROUTE", lambda day: add_try(day, ONCE_ONLY, make_arrival(ONCE_ONLY, "g7"))),
    "after the drain": (
        "DRAIN",
        lambda day: add_try(
            day, with_fields(ONCE_ONLY, sent=22.5), make_arrival(with_fields(ONCE_ONLY, sent=22.5), instance="i-9")
        ),
    ),
    "lost at SIGTERM": (
        "LOST",
        lambda day: (
            set_fields(day, troubles=[*day.troubles, Trouble("edge-7", 14.9, 20.0, "SIGTERM", True)]),
            add_try(day, with_fields(ONCE_ONLY, proxy="edge-7", whole=False), make_arrival(ONCE_ONLY)),
        ),
    ),
    "dropped route served": (
        "CONFIG",
        lambda day: add_try(
            day,
            with_fields(ONCE_ONLY, sent=35.0, path="/old/1"),
            make_arrival(with_fields(ONCE_ONLY, sent=35.0, path="/old/1")),
        ),
    ),
    "new route refused": (
        "CONFIG",
        lambda day: add_try(day, with_fields(ONCE_ONLY, path="/new/1", status=404, seal="", events=())),
    ),
    "back to an older revision": (
        "CONFIG",
        lambda day: (
            add_try(
                day,
                with_fields(ONCE_ONLY, sent=10.5, path="/new/1"),
                make_arrival(with_fields(ONCE_ONLY, sent=10.5, path="/new/1"), "g2"),
            ),
            add_try(day, with_fields(make_try("t902", 11.0), path="/new/1", status=404, seal="", events=())),
        ),
    ),
    "a lost race in force": (
        "CONFIG",
        lambda day: add_try(day, with_fields(ONCE_ONLY, path="/old/1", sent=10.2, status=404, seal="", events=())),
    ),
    "both of a race": (
        "CONFIG",
        lambda day: (set_fields(day.changes[2], acked=10.6), set_fields(day.changes[2], refused=False)),
    ),
    "an invalid one": ("CONFIG", lambda day: set_fields(day.changes[4], acked=40.2)),
    "read back older": ("CONFIG", lambda day: set_fields(day, read_back=ReadBack(60.0, 3, "c3"))),
    "read back differs": ("CONFIG", lambda day: set_fields(day, read_back=ReadBack(60.0, 6, "c3"))),
    "not read back": ("CONFIG", lambda day: set_fields(day, read_back=ReadBack(60.0, 0, ""))),
    "a piece lost": (
        "ORDER",
        lambda day: add_try(
            day, with_fields(ONCE_ONLY, events=stream_events(ONCE_ONLY, 1, 3), events_due=3), make_arrival(ONCE_ONLY)
        ),
    ),
    "a piece twice": (
        "ORDER",
        lambda day: add_try(
            day, with_fields(ONCE_ONLY, events=stream_events(ONCE_ONLY, 1, 1)), make_arrival(ONCE_ONLY)
        ),
    ),
    "complete too early": (
        "ORDER",
        lambda day: add_try(day, with_fields(ONCE_ONLY, events=stream_events(ONCE_ONLY, 1)), make_arrival(ONCE_ONLY)),
    ),
    "two runs joined": (
        "ORDER",
        lambda day: add_try(
            day,
            with_fields(REPEATABLE, events=(REPEATABLE.events[0], StreamEvent(2, REPEATABLE.attempt, "i-2.x"))),
            make_arrival(REPEATABLE),
            msgspec.structs.replace(make_arrival(REPEATABLE), run="i-2.x"),
        ),
    ),
    "too many further arrivals": (
        "BUDGET",
        lambda day: add_try(
            day,
            REPEATABLE,
            *(
                msgspec.structs.replace(
                    make_arrival(REPEATABLE, after_s=0.1 * number), run="", status=503, not_run=True
                )
                for number in range(9)
            ),
            make_arrival(REPEATABLE),
        ),
    ),
    "a change without an answer": (
        "ACKS",
        lambda day: set_fields(day, changes=[*day.changes, Change(9, 6, (CHAT, NEW), "c9", 45.0)]),
    ),
    "a lower fence": (
        "ONE",
        lambda day: set_fields(day, orders=[make_order(20.0, "c-1", 5), make_order(30.0, "c-1", 4)]),
    ),
    "two holders of one fence": (
        "ONE",
        lambda day: set_fields(day, orders=[make_order(20.0, "c-1", 5), make_order(30.0, "c-2", 5)]),
    ),
    "holders that take turns": (
        "ONE",
        lambda day: set_fields(day, orders=[make_order(20.0, "c-1", 5), make_order(22.9, "c-2", 6)]),
    ),
    "an older reading": ("CONFIG", lambda day: set_fields(day, readings=[Reading(32.3, 32.4, 3, "c3")])),
    "a reading of what was refused": ("CONFIG", lambda day: set_fields(day, readings=[Reading(11.0, 11.1, 4, "c4")])),
    "a reading of other contents": ("CONFIG", lambda day: set_fields(day, readings=[Reading(31.0, 31.1, 6, "c7")])),
    "a tally without what its machine acknowledged": (
        "STALE",
        lambda day: set_fields(
            day,
            tally_calls=[
                TallyCall("t", "a", 4, "c-1", 1, 5.0, 5.1, 200),
                TallyCall("t", "", 0, "c-1", 1, 5.2, 5.3, 200, 0),
            ],
        ),
    ),
    "an emptied zone reached": (
        "EVAC",
        lambda day: set_fields(
            day, backend_zones={"i-1": "z-1"}, evacuations=[EvacuationOrder("z-1", True, 5.0, 5.2)], ended=14.0
        ),
    ),
    "a cold backend flooded": (
        "FAILBACK",
        lambda day: (
            set_fields(day, cold_times=[ColdTime("i-1", 15.0, 18.0, 2.0)]),
            [
                add_try(day, client_try, make_arrival(client_try))
                for client_try in (make_try(f"t{920 + n}", 15.0 + 0.05 * n) for n in range(9))
            ],
        ),
    ),
    "a drain without an answer": ("ACKS", lambda day: set_fields(day, drains=[*day.drains, Drain("i-8", 33.0)])),
}


@pytest.mark.parametrize("name", RULE_BREAKS)
def test_a_broken_rule_is_found_and_no_other(name: str) -> None:
    rule, break_rule = RULE_BREAKS[name]
    day = make_day()
    break_rule(day)
    assert set(judge(day).broken()) == {rule}


def test_a_valid_change_that_is_refused_with_no_rival_is_noted() -> None:
    day = make_day()
    assert not judge(day).remarks
    day.changes.append(Change(9, 6, (CHAT, NEW), "c9", 45.0, True, None, True, 45.1))
    verdict = judge(day)
    assert verdict.kept
    assert "revision 9 on top of 6" in "".join(verdict.remarks)


def test_readings_that_are_right() -> None:
    day = make_day()
    day.readings += [
        Reading(31.9, 32.4, 3, "c3"),  # sent before the newest revision had to be in force
        Reading(10.2, 10.3, 3, "c3"),  # not acknowledged yet
        Reading(59.0, 59.1, 6, "c6"),
    ]
    assert judge(day).kept


def test_an_acknowledgement_may_be_late_where_answers_are_lost_or_the_backend_is_in_trouble() -> None:
    for machine in ("answers", "i-8"):
        day = make_day()
        day.drains.append(Drain("i-8", 33.0))
        day.troubles.append(Trouble(machine, 33.5, 36.0, "lost answers"))
        assert judge(day).kept


def test_every_rule_is_broken_here() -> None:
    assert {rule for rule, _ in RULE_BREAKS.values()} == set(RULES)


def test_a_stream_that_may_be_resumed_may_join_runs_and_run_twice() -> None:
    day = make_day()
    add_try(
        day,
        with_fields(REPEATABLE, events=(REPEATABLE.events[0], StreamEvent(2, REPEATABLE.attempt, "i-2.x"))),
        make_arrival(REPEATABLE),
        msgspec.structs.replace(make_arrival(REPEATABLE, after_s=0.2), run="i-2.x", after=1),
    )
    assert judge(day).kept


def test_the_first_reading_of_a_prompt_is_no_further_arrival() -> None:
    day = make_day()
    for number in range(9):
        client_try = make_try(f"t{910 + number}", 15.0 + 0.1 * number)
        reading = msgspec.structs.replace(make_arrival(client_try, after_s=0.01), kind="read", run="")
        add_try(day, client_try, reading, make_arrival(client_try))
    assert judge(day).kept


def test_rules_bounded_in_time_hold_for_machines_in_touch_only() -> None:
    day = make_day()
    client_try = with_fields(ONCE_ONLY, sent=35.0, path="/old/1")
    add_try(day, client_try, make_arrival(client_try))
    day.troubles.append(Trouble(client_try.proxy, 32.5, 32.6, "kill"))
    assert judge(day).kept


def test_orders_of_one_holder_after_another_to_one_backend_and_to_several_keep_the_rule() -> None:
    day = make_day()
    day.orders += [
        make_order(20.0, "c-1", 5),
        make_order(20.5, "c-1", 5),
        make_order(20.6, "c-2", 6, "i-2"),
        make_order(23.6, "c-2", 6),
    ]
    verdict = judge(day)
    assert verdict.kept, verdict.breaches
    assert verdict.judged["ONE"] == 4
