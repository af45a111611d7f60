"""Cold backends of the laboratory: what they report, and the rule on the requests sent to them."""

from __future__ import annotations

import asyncio
import json

import pytest

from cranebank.fleetlab.backend import Backend
from cranebank.fleetlab.cold_judge import floods
from cranebank.fleetlab.model import EngineSpec
from cranebank.fleetlab.operator import service
from cranebank.fleetlab.records import Arrival, Bounds, ColdTime, DayRecord
from cranebank.fleetlab.run_options import WarmUp
from cranebank.fleetlab.warmth import Warmth
from cranebank.transport.http_client import Answer

ALLOWED = 8  # 2 per second x 1.5 + 5
COLD = ColdTime("i-1", 10.0, 13.0, 2.0)


def arrivals(count: int, begin: float, over_s: float, status: int = 200, kind: str = "make") -> list[Arrival]:
    return [
        Arrival(begin + over_s * number / count, "g1", "i-1", "t1", "POST", "/", "d", kind, 0, status)
        for number in range(count)
    ]


def flood_sizes(*seen: list[Arrival], cold: tuple[ColdTime, ...] = (COLD,)) -> list[int]:
    day = DayRecord(Bounds(cold_over=1.5, cold_slack=5), cold_times=list(cold))
    day.arrivals = [arrival for some in seen for arrival in some]
    return [flood.found for flood in floods(day)]


@pytest.mark.parametrize("kind", ["make", "read"])
def test_one_request_too_many_in_a_second(kind: str) -> None:
    assert flood_sizes(arrivals(ALLOWED + 1, 11.5, 0.9, kind=kind)) == [ALLOWED + 1]
    assert flood_sizes(arrivals(ALLOWED, 11.5, 0.9, kind=kind)) == []


def test_the_second_may_begin_anywhere() -> None:
    assert flood_sizes(arrivals(5, 11.6, 0.3), arrivals(4, 12.1, 0.3)) == [ALLOWED + 1]
    assert flood_sizes(arrivals(5, 11.6, 0.3), arrivals(4, 12.6, 0.3)) == []


def test_requests_that_got_421_or_came_while_it_was_warm_do_not_count() -> None:
    assert flood_sizes(arrivals(ALLOWED, 11.5, 0.5), arrivals(9, 11.5, 0.5, 421)) == []
    assert flood_sizes(arrivals(ALLOWED, 10.0, 0.5), arrivals(40, 9.0, 0.99)) == []
    assert flood_sizes(arrivals(ALLOWED, 12.4, 0.5), arrivals(40, 13.01, 0.5)) == []


def test_a_backend_that_turns_cold_again_is_cold_to_the_later_end() -> None:
    again = ColdTime("i-1", 12.0, 15.0, 2.0)
    other = ColdTime("i-2", 12.0, 15.0, 2.0)
    late = arrivals(ALLOWED + 1, 12.5, 0.9)
    assert flood_sizes(late, cold=(COLD, again)) == [ALLOWED + 1]
    assert flood_sizes(late, cold=(COLD, other)) == []


def test_cold_time_runs_down_and_begins_again() -> None:
    times: list[ColdTime] = []
    warmth = Warmth("i-1", WarmUp(3.0, 2.0), times)
    assert warmth.left_ms(1.0) == 0
    warmth.turn_cold(10.0)
    assert [warmth.left_ms(at) for at in (10.0, 12.5, 13.5)] == [3000, 500, 0]
    warmth.turn_cold(14.0)
    assert times == [COLD, ColdTime("i-1", 14.0, 17.0, 2.0)]


def test_services_name_their_warm_up_only_where_it_is_on() -> None:
    assert "cold_s" not in service("g1", EngineSpec())
    named = service("g1", EngineSpec(), WarmUp(3.0, 2.0))
    assert (named["cold_s"], named["warmup_per_s"]) == (3.0, 2.0)


def test_a_backend_tells_at_once_that_it_has_turned_cold(monkeypatch: pytest.MonkeyPatch) -> None:
    reported_ms: list[int] = []

    async def run() -> None:
        warmth = Warmth("i-1", WarmUp(3.0, 2.0), [])
        here = "127.0.0.1:0"
        backend = Backend(
            EngineSpec(), "i-1", "g1", "decode", here, "z", lambda: [here], 60.0, 1.0, [], [], {}, [], None, warmth
        )

        async def accept(at: str, method: str, path: str, body: bytes) -> Answer:
            reported_ms.append(json.loads(body)["cold_left_ms"])
            return Answer(200, whole=True)

        monkeypatch.setattr(backend, "_ask", accept)
        await backend.start()
        await asyncio.sleep(0.01)
        backend.turn_cold()
        await asyncio.sleep(0.01)
        backend.lose_power()
        backend.turn_cold()
        await asyncio.sleep(0.01)
        backend.regain_power()
        await asyncio.sleep(0.01)
        backend.stop()

    asyncio.run(run())
    assert [left > 0 for left in reported_ms] == [False, True, True]
