"""Evacuations of the laboratory: repeated orders, and the rules on constructed histories."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from cranebank.fleetlab.evacuations import EvacuationOperator
from cranebank.fleetlab.judge import judge
from cranebank.fleetlab.records import Arrival, Bounds, DayRecord, EvacuationOrder, Trouble, Try
from cranebank.transport.http_client import Answer

ACKED, BINDING_FROM, FINISHED = 10.2, 15.2, 40.0  # evacuate_ms is 5000
MAX_CALLS, GIVE_UP_S = 10, 0.2


def start(acked: float | None = ACKED) -> EvacuationOrder:
    return EvacuationOrder("z-1", True, 10.0, acked)


def finish(sent: float = FINISHED) -> EvacuationOrder:
    return EvacuationOrder("z-1", False, sent, sent + 0.1)


def broken_rules(
    orders: list[EvacuationOrder], at: float, status: int = 200, zone: str = "z-1", troubles: tuple[Trouble, ...] = ()
) -> set[str]:
    day = DayRecord(Bounds(evacuate_ms=5000, ack_ms=4000, contact_ms=3000), 0.0, 60.0, evacuations=orders)
    day.backend_zones, day.troubles = {"i-1": zone}, list(troubles)
    day.tries = [Try(1, "t1", "edge-1", 1, "POST", "h", "/", "d", at, True, 0)]
    day.arrivals = [Arrival(at, "g1", "i-1", "t1", "POST", "/", "d", "make", 0, status)]
    return set(judge(day).broken())


def test_a_request_that_reaches_an_emptied_zone_too_late() -> None:
    assert broken_rules([start(), finish()], BINDING_FROM + 0.01) == {"EVAC"}
    assert broken_rules([start(), finish()], BINDING_FROM - 0.01) == set()


def test_a_zone_may_be_reached_from_the_first_finish_on_and_other_zones_always() -> None:
    assert broken_rules([start(), finish()], FINISHED - 0.01) == {"EVAC"}
    assert broken_rules([start(), finish()], FINISHED + 0.01) == set()
    assert broken_rules([start(), finish()], 20.0, zone="z-2") == set()
    assert broken_rules([start(), finish()], 20.0, status=421) == set()


def test_a_machine_out_of_touch_may_reach_an_emptied_zone() -> None:
    for machine in ("edge-1", "core"):
        trouble = Trouble(machine, 19.0, 20.0, "cut")
        assert broken_rules([start(), finish()], 22.9, troubles=(trouble,)) == set()
    assert broken_rules([start(), finish()], 22.9, troubles=(Trouble("edge-2", 19.0, 20.0, "cut"),)) == {"EVAC"}


def test_an_evacuation_that_no_longer_holds_after_the_last_trouble() -> None:
    trouble = Trouble("core", 20.0, 22.0, "kill")
    assert broken_rules([start()], 26.0, troubles=(trouble,)) == {"LOST"}
    assert broken_rules([start()], 24.9, troubles=(trouble,)) == set()
    assert broken_rules([start(), finish(25.5)], 26.0, troubles=(trouble,)) == set()


def test_an_evacuation_that_is_never_acknowledged() -> None:
    assert broken_rules([start(None), finish()], 60.0) == {"ACKS"}
    assert broken_rules([start(14.1), finish()], 60.0) == {"ACKS"}
    assert broken_rules([start(13.9), finish()], 60.0) == set()
    trouble = Trouble("core", 12.0, 12.5, "kill")
    assert broken_rules([start(None), finish()], 60.0, troubles=(trouble,)) == set()
    refused = EvacuationOrder("z-1", True, 10.0, None, 404)
    assert broken_rules([refused], 60.0, troubles=(trouble,)) == {"ACKS"}


@pytest.mark.parametrize(
    ("statuses", "calls", "is_acked", "refused_with"),
    [
        ((503, 0, 200), 3, True, 0),
        ((204,), 1, True, 0),
        ((409,), 1, False, 409),
        ((404, 404, 404), 3, False, 404),
        ((404, 404, 200), 3, True, 0),
        ((503,) * 10, 10, False, 0),  # then the time is over
    ],
)
def test_an_order_is_sent_until_there_is_a_clear_answer(
    monkeypatch: pytest.MonkeyPatch, statuses: tuple[int, ...], calls: int, is_acked: bool, refused_with: int
) -> None:
    monkeypatch.setattr("cranebank.fleetlab.evacuations.RETRY_INTERVAL_S", 0.001)
    answers, orders = iter(statuses), list[EvacuationOrder]()
    paths: list[str] = []

    async def ask(at: str, method: str, path: str, body: bytes, seconds: float, headers: object) -> Answer:
        paths.append(path)
        status = next(answers)
        if len(paths) == MAX_CALLS:
            await asyncio.sleep(GIVE_UP_S)
        return Answer(status, whole=bool(status))

    operator = EvacuationOperator(lambda: ["127.0.0.1:1"], orders, Random(1), ask, GIVE_UP_S, lambda text: None)
    asyncio.run(operator._order("z-1", True))
    assert set(paths) == {"/api/Evacuation.Start/z-1"}
    assert len(paths) == calls
    assert (orders[0].acked is not None, orders[0].refused_with) == (is_acked, refused_with)
