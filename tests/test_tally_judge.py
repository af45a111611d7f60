"""The tally judge on constructed histories: for each rule one that breaks it, and one that barely keeps it."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from cranebank.fleetlab import applications
from cranebank.fleetlab.applications import Applications
from cranebank.fleetlab.records import Bounds, BrokenLinks, DayRecord, DiskLoss, TallyCall, Trouble
from cranebank.fleetlab.run_options import TallyLoad
from cranebank.fleetlab.tally_judge import TallyJudge, acknowledged_share
from cranebank.transport.http_client import Answer

EXPECTED_CALLS = 5


def add(name: str, at: float, status: int = 200, amount: int = 4, machine: str = "c-1", life: int = 1) -> TallyCall:
    return TallyCall("t", name, amount, machine, life, at, at + 0.1 if status else at + 1.0, status)


def read(total: int | None, at: float, machine: str = "c-1", life: int = 1, is_last: bool = False) -> TallyCall:
    return TallyCall("t", "", 0, machine, life, at, at + 0.1, 503 if total is None else 200, total, is_last)


def broken_rules(
    *calls: TallyCall, troubles: tuple[Trouble, ...] = (), cuts: object = (), losses: object = ()
) -> list[str]:
    day = DayRecord(Bounds(merge_ms=3000, contact_ms=3000), tally_calls=list(calls), troubles=list(troubles))
    day.broken_links, day.disk_losses = list(cast(Any, cuts)), list(cast(Any, losses))
    return [finding.rule for finding in TallyJudge(day).findings()]


def test_a_total_above_all_adds_that_could_have_counted() -> None:
    unclear = (add("a", 1.0, 0), add("a", 2.0, machine="c-2"), add("b", 2.0, 504))
    assert broken_rules(*unclear, read(9, 2.5)) == ["TWICE"]
    assert broken_rules(*unclear, read(8, 2.5)) == []


@pytest.mark.parametrize("status", [400, 404, 429, 503])
def test_an_add_that_was_refused_everywhere_and_counted(status: int) -> None:
    refused = (add("a", 1.0, status), add("a", 1.5, status, machine="c-2"))
    assert broken_rules(*refused, read(4, 2.0)) == ["TWICE"]
    assert broken_rules(*refused, add("a", 1.8, 0, machine="c-3"), read(4, 2.0)) == []


def test_an_add_that_was_sent_after_the_reading_had_ended_does_not_explain_its_total() -> None:
    assert broken_rules(read(4, 1.0), add("a", 1.2)) == ["TWICE"]
    assert broken_rules(read(4, 1.0), add("a", 1.05)) == []


def test_a_reading_without_what_its_machine_acknowledged_in_the_same_life() -> None:
    assert broken_rules(add("a", 1.0), read(0, 1.2)) == ["STALE"]
    assert broken_rules(add("a", 1.0), read(0, 1.05)) == []
    assert broken_rules(add("a", 1.0), read(0, 1.2, life=2)) == []
    assert broken_rules(add("a", 1.0), read(0, 1.2, machine="c-2")) == []
    assert broken_rules(add("a", 1.0, 504), read(0, 1.2)) == []


def test_a_reading_merge_ms_after_all_trouble_without_what_another_machine_acknowledged() -> None:
    assert broken_rules(add("a", 1.0), read(0, 4.2, "c-2")) == ["STALE"]
    assert broken_rules(add("a", 1.0), read(0, 4.0, "c-2")) == []
    cut = Trouble("core", 2.0, 5.0, "cut")
    assert broken_rules(add("a", 1.0), read(0, 7.9, "c-2"), troubles=(cut,)) == []
    assert broken_rules(add("a", 1.0), read(0, 8.1, "c-2"), troubles=(cut,)) == ["STALE"]


def test_an_add_that_is_missing_at_the_end() -> None:
    assert broken_rules(add("a", 1.0), read(0, 9.0, "c-2", is_last=True)) == ["LOST"]
    assert broken_rules(add("a", 1.0), read(4, 9.0, "c-2", is_last=True)) == []
    assert broken_rules(add("a", 6.5), read(0, 9.0, "c-2", is_last=True)) == []


def test_a_tally_that_nobody_can_read_at_the_end() -> None:
    assert broken_rules(read(None, 9.0, is_last=True), read(None, 11.0, is_last=True)) == ["LOST"]
    assert broken_rules(read(None, 9.0, is_last=True), read(0, 12.0, "c-2", is_last=True)) == ["LOST"]
    assert broken_rules(read(None, 9.0, is_last=True), read(0, 11.8, "c-2", is_last=True)) == []


@pytest.mark.parametrize(
    ("acked", "lost_at", "machine", "rules"),
    [
        (5.0, 10.9, "c-1", []),
        (5.0, 11.1, "c-1", ["LOST"]),  # the links had been healthy for merge_ms
        (2.0, 6.0, "c-1", ["LOST"]),  # acknowledged before the cut
        (5.0, 6.0, "c-2", ["LOST"]),  # the disk of another machine
        (5.0, 4.5, "c-1", ["LOST"]),  # the disk was lost before the acknowledgement
    ],
)
def test_an_add_of_a_cut_off_machine_that_lost_its_disk(
    acked: float, lost_at: float, machine: str, rules: list[str]
) -> None:
    cut = BrokenLinks(("c-1", "c-2"), 4.0, 8.0)
    calls = (add("a", acked), read(0, 30.0, "c-3", is_last=True))
    assert broken_rules(*calls, cuts=(cut,), losses=(DiskLoss(machine, lost_at),)) == rules


def test_applications_go_on_with_the_same_id_after_silence_a_failure_and_refusals_that_may_pass(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(applications, "RETRY_INTERVAL_S", 0.0)
    statuses = iter([0, 500, 429, 503, 200])

    async def answer(*call: object) -> Answer:
        return Answer(status := next(statuses), whole=bool(status))

    machines = [SimpleNamespace(name=f"c-{n}", ip=f"10.0.0.{n}", life=n) for n in (1, 2, 3)]
    fleet = SimpleNamespace(listed_nearest=lambda zone, random: machines)
    calls: list[TallyCall] = []

    async def run() -> None:
        callers = cast(Any, {"here": SimpleNamespace(ask=answer)})
        load = TallyLoad(share_read=0.0)
        await Applications(load, cast(Any, fleet), calls, Random(1), callers)._call("here")

    asyncio.run(run())
    assert len(calls) == EXPECTED_CALLS
    assert len({(call.id, call.amount, call.tally) for call in calls}) == 1
    assert [(call.machine, call.life) for call in calls] == [("c-1", 1), ("c-2", 2), ("c-3", 3), ("c-1", 1), ("c-2", 2)]
    assert acknowledged_share(DayRecord(tally_calls=calls)) == 1.0
