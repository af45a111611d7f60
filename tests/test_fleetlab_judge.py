"""The judge of a system day finds each rule broken by hand, and nothing in a day that keeps them."""

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


def sent(
    attempt: str, at: float, *, proxy: str = "edge-1", path: str = "/chat/1", life: int = 1, repeatable: bool = False
) -> Try:
    """A try served in order."""
    run = f"i-1.{attempt}"
    events = tuple(StreamEvent(number, attempt, run) for number in (1, 2))
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
        events,
        (at + 0.1, at + 0.2),
        at + 0.2,
    )


def arrived(of: Try, service: str = "g1", instance: str = "i-1", after_s: float = 0.05) -> Arrival:
    """Its one arrival, that ran."""
    return Arrival(
        of.sent + after_s,
        service,
        instance,
        of.attempt,
        of.method,
        of.path,
        of.digest,
        "make",
        0,
        200,
        False,
        f"i-1.{of.attempt}",
        of.sent + after_s + 0.03,
        0,
        0,
        2,
        True,
    )


def make_day() -> DayRecord:
    """A day that keeps every rule: three changes, a drain, a lost race, a kill of the primary."""
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
        made = sent(f"t{number}", at, path=path, proxy=f"edge-{number % 2}")
        day.tries.append(made)
        day.arrivals.append(arrived(made, service))
    return day


def test_a_day_that_keeps_the_rules_has_no_breach_and_every_rule_is_tried() -> None:
    verdict = judge(make_day())
    assert verdict.kept, verdict.breaches
    assert verdict.judged["MIXED"] == 100


Break = Callable[[DayRecord], object]


def add(day: DayRecord, made: Try, *arrivals: Arrival) -> object:
    day.tries.append(made)
    day.arrivals += arrivals
    return day


def put(record: object, **fields: object) -> object:
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def change(made: Try, **fields: object) -> Try:
    return msgspec.structs.replace(made, **fields)


def events(made: Try, *numbers: int) -> tuple[StreamEvent, ...]:
    return tuple(StreamEvent(number, made.attempt, f"i-1.{made.attempt}") for number in numbers)


def order(at: float, owner: str, fence_no: int, instance: str = "i-1") -> OrderSeen:
    return OrderSeen(at, instance, owner, fence_no, "decode", 202)


S = sent("t900", 15.0)
R = sent("t901", 15.0, repeatable=True)
BREAKS: dict[str, tuple[str, Break]] = {
    "no seal": ("MIXED", lambda day: add(day, change(S, seal=""), arrived(S))),
    "a seal of another": ("MIXED", lambda day: add(day, change(S, seal="i-1.t5.t5"), arrived(S))),
    "the answer of another": ("MIXED", lambda day: add(day, change(S, answer_attempt="t5"), arrived(S))),
    "events of another": (
        "MIXED",
        lambda day: add(day, change(S, events=(S.events[0], StreamEvent(2, "t5", S.events[0].run))), arrived(S)),
    ),
    "no HTTP": ("MIXED", lambda day: add(day, change(S, is_http=False, whole=False), arrived(S))),
    "a success where the backend failed": (
        "MIXED",
        lambda day: add(day, S, msgspec.structs.replace(arrived(S), status=500)),
    ),
    "the handle of another": ("MIXED", lambda day: add(day, S, msgspec.structs.replace(arrived(S), handle_of="t5"))),
    "never sent": ("UNASKED", lambda day: put(day, arrivals=[*day.arrivals, arrived(S)])),
    "another body": ("UNASKED", lambda day: add(day, S, msgspec.structs.replace(arrived(S), digest="e"))),
    "ran twice": (
        "TWICE",
        lambda day: add(day, S, arrived(S), msgspec.structs.replace(arrived(S), run="i-2.x", instance="i-2")),
    ),
    "refused and ran": ("REFUSED", lambda day: add(day, change(S, status=503, seal="", events=()), arrived(S))),
    "a service that no route names": ("ROUTE", lambda day: add(day, S, arrived(S, "g7"))),
    "after the drain": (
        "DRAIN",
        lambda day: add(day, change(S, sent=22.5), arrived(change(S, sent=22.5), instance="i-9")),
    ),
    "lost at SIGTERM": (
        "LOST",
        lambda day: (
            put(day, troubles=[*day.troubles, Trouble("edge-7", 14.9, 20.0, "SIGTERM", True)]),
            add(day, change(S, proxy="edge-7", whole=False), arrived(S)),
        ),
    ),
    "dropped route served": (
        "CONFIG",
        lambda day: add(day, change(S, sent=35.0, path="/old/1"), arrived(change(S, sent=35.0, path="/old/1"))),
    ),
    "new route refused": ("CONFIG", lambda day: add(day, change(S, path="/new/1", status=404, seal="", events=()))),
    "back to an older revision": (
        "CONFIG",
        lambda day: (
            add(day, change(S, sent=10.5, path="/new/1"), arrived(change(S, sent=10.5, path="/new/1"), "g2")),
            add(day, change(sent("t902", 11.0), path="/new/1", status=404, seal="", events=())),
        ),
    ),
    "a lost race in force": (
        "CONFIG",
        lambda day: add(day, change(S, path="/old/1", sent=10.2, status=404, seal="", events=())),
    ),
    "both of a race": ("CONFIG", lambda day: (put(day.changes[2], acked=10.6), put(day.changes[2], refused=False))),
    "an invalid one": ("CONFIG", lambda day: put(day.changes[4], acked=40.2)),
    "read back older": ("CONFIG", lambda day: put(day, read_back=ReadBack(60.0, 3, "c3"))),
    "read back differs": ("CONFIG", lambda day: put(day, read_back=ReadBack(60.0, 6, "c3"))),
    "not read back": ("CONFIG", lambda day: put(day, read_back=ReadBack(60.0, 0, ""))),
    "a piece lost": ("ORDER", lambda day: add(day, change(S, events=events(S, 1, 3), events_due=3), arrived(S))),
    "a piece twice": ("ORDER", lambda day: add(day, change(S, events=events(S, 1, 1)), arrived(S))),
    "complete too early": ("ORDER", lambda day: add(day, change(S, events=events(S, 1)), arrived(S))),
    "two runs joined": (
        "ORDER",
        lambda day: add(
            day,
            change(R, events=(R.events[0], StreamEvent(2, R.attempt, "i-2.x"))),
            arrived(R),
            msgspec.structs.replace(arrived(R), run="i-2.x"),
        ),
    ),
    "too many further arrivals": (
        "BUDGET",
        lambda day: add(
            day,
            R,
            *(
                msgspec.structs.replace(arrived(R, after_s=0.1 * number), run="", status=503, not_run=True)
                for number in range(9)
            ),
            arrived(R),
        ),
    ),
    "a change without an answer": (
        "ACKS",
        lambda day: put(day, changes=[*day.changes, Change(9, 6, (CHAT, NEW), "c9", 45.0)]),
    ),
    "a lower fence": ("ONE", lambda day: put(day, orders=[order(20.0, "c-1", 5), order(30.0, "c-1", 4)])),
    "two holders of one fence": ("ONE", lambda day: put(day, orders=[order(20.0, "c-1", 5), order(30.0, "c-2", 5)])),
    "holders that take turns": ("ONE", lambda day: put(day, orders=[order(20.0, "c-1", 5), order(22.9, "c-2", 6)])),
    "an older reading": ("CONFIG", lambda day: put(day, readings=[Reading(32.3, 32.4, 3, "c3")])),
    "a reading of what was refused": ("CONFIG", lambda day: put(day, readings=[Reading(11.0, 11.1, 4, "c4")])),
    "a reading of other contents": ("CONFIG", lambda day: put(day, readings=[Reading(31.0, 31.1, 6, "c7")])),
    "a tally without what its machine acknowledged": (
        "STALE",
        lambda day: put(
            day,
            tally_calls=[
                TallyCall("t", "a", 4, "c-1", 1, 5.0, 5.1, 200),
                TallyCall("t", "", 0, "c-1", 1, 5.2, 5.3, 200, 0),
            ],
        ),
    ),
    "an emptied zone reached": (
        "EVAC",
        lambda day: put(
            day, backend_zones={"i-1": "z-1"}, evacuations=[EvacuationOrder("z-1", True, 5.0, 5.2)], ended=14.0
        ),
    ),
    "a cold backend flooded": (
        "FAILBACK",
        lambda day: (
            put(day, cold_times=[ColdTime("i-1", 15.0, 18.0, 2.0)]),
            [add(day, made, arrived(made)) for made in (sent(f"t{920 + n}", 15.0 + 0.05 * n) for n in range(9))],
        ),
    ),
    "a drain without an answer": ("ACKS", lambda day: put(day, drains=[*day.drains, Drain("i-8", 33.0)])),
}


@pytest.mark.parametrize("name", BREAKS)
def test_a_broken_rule_is_found_and_no_other(name: str) -> None:
    rule, broken = BREAKS[name]
    day = make_day()
    broken(day)
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
        Reading(31.9, 32.4, 3, "c3"),  # sent before the newest had to be in force
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
    assert {rule for rule, _ in BREAKS.values()} == set(RULES)


def test_a_stream_that_may_be_resumed_may_join_runs_and_run_twice() -> None:
    day = make_day()
    add(
        day,
        change(R, events=(R.events[0], StreamEvent(2, R.attempt, "i-2.x"))),
        arrived(R),
        msgspec.structs.replace(arrived(R, after_s=0.2), run="i-2.x", after=1),
    )
    assert judge(day).kept


def test_the_first_reading_of_a_prompt_is_no_further_arrival() -> None:
    day = make_day()
    for number in range(9):
        made = sent(f"t{910 + number}", 15.0 + 0.1 * number)
        reading = msgspec.structs.replace(arrived(made, after_s=0.01), kind="read", run="")
        add(day, made, reading, arrived(made))
    assert judge(day).kept


def test_rules_bounded_in_time_hold_for_machines_in_touch_only() -> None:
    day = make_day()
    made = change(S, sent=35.0, path="/old/1")
    add(day, made, arrived(made))
    day.troubles.append(Trouble(made.proxy, 32.5, 32.6, "kill"))
    assert judge(day).kept


def test_orders_of_one_holder_after_another_to_one_backend_and_to_several_keep_the_rule() -> None:
    day = make_day()
    day.orders += [order(20.0, "c-1", 5), order(20.5, "c-1", 5), order(20.6, "c-2", 6, "i-2"), order(23.6, "c-2", 6)]
    verdict = judge(day)
    assert verdict.kept, verdict.breaches
    assert verdict.judged["ONE"] == 4
