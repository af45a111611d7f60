"""The load of stages: a proxy's reports, a controller's sums, and notices to proxies about stage changes."""

from __future__ import annotations

import asyncio
from random import Random
from typing import cast

import pytest

from cranebank.control.consensus import ConsensusCore
from cranebank.control.delivery import Delivery
from cranebank.control.load_table import LOAD_TTL_S, LoadTable
from cranebank.control.registry import Registry
from cranebank.control.stage_events import Stage
from cranebank.control.stage_order import BackendOrder
from cranebank.dataplane.backend_view import BackendView
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.offered_load import LOAD_AVERAGING_S, MAX_REPORTED_SERVICES, OfferedLoad
from cranebank.programs.settings import NodeSettings
from cranebank.programs.stage_balancer_driver import StageBalancerDriver
from cranebank.transport.frames import Decoder, encode
from cranebank.transport.messages import Backend, HoldOff, LinkHeartbeat, Push, StageLoad, Welcome
from cranebank.transport.revision import Revision


def backend(name: str = "i-1", stage: str = "decode", call_seq: int = 1, phase: str = "ready") -> Backend:
    return Backend(name, "s", f"10.0.0.{name[-1]}:80", "a", stage, 8, phase, call_seq)


def steady(load: OfferedLoad, seen: list[BackendView], seconds: float, reads_each_s: float) -> tuple[StageLoad, ...]:
    """Return the report after a time with a constant number of prefill seconds in each second."""
    told: tuple[StageLoad, ...] = ()
    for tick in range(int(seconds * 10)):
        load.add_prefill(tick / 10, "s", reads_each_s / 10)
        told = load.report(tick / 10, seen)
    return told


def test_a_proxy_tells_its_load_in_backends_kept_busy() -> None:
    seen = BackendView(backend())
    seen.calls = 4  # of its eight slots
    (told,) = steady(OfferedLoad(), [seen], 10 * LOAD_AVERAGING_S, 1.5)
    assert told.service == "s"
    assert told.prefill == pytest.approx(1.5, rel=0.05)
    assert told.decode == pytest.approx(0.5, rel=0.05)


def test_a_proxy_that_has_just_started_tells_neither_stage_more_load_than_the_other() -> None:
    """After a restart all clients return at once: the requests open at that time are not an average."""
    load, seen = OfferedLoad(), BackendView(backend())
    seen.calls = 8
    load.report(1000.0, [seen])
    load.add_prefill(1000.0, "s", 0.1)
    (told,) = load.report(1000.1, [seen])
    assert told.decode == pytest.approx(0.1 / LOAD_AVERAGING_S, rel=0.05)
    assert told.prefill == pytest.approx(0.1 / LOAD_AVERAGING_S, rel=0.05)


def test_prefill_backends_hold_no_streams() -> None:
    seen = BackendView(backend(stage="prefill"))
    seen.calls = 4
    (told,) = steady(OfferedLoad(), [seen], LOAD_AVERAGING_S, 1.0)
    assert told.decode == 0.0


def test_load_that_has_ended_is_forgotten() -> None:
    load = OfferedLoad()
    steady(load, [], LOAD_AVERAGING_S, 1.0)
    assert load.report(20 * LOAD_AVERAGING_S, []) == ()
    assert not load._prefill_load
    assert not load._decode_load


def test_no_more_services_are_told_of_than_the_bound_and_the_busiest_are() -> None:
    load = OfferedLoad()
    for number in range(2 * MAX_REPORTED_SERVICES):
        load.add_prefill(0.0, f"s{number}", 1.0 + number)
    told = load.report(0.0, [])
    assert len(told) == MAX_REPORTED_SERVICES
    assert min(one.prefill for one in told) > (1.0 + MAX_REPORTED_SERVICES - 2) / LOAD_AVERAGING_S


def test_a_controller_sums_up_what_proxies_told_last() -> None:
    table = LoadTable()
    table.report(0.0, "a", (StageLoad("s", 0.5, 0.25), StageLoad("t", 1.0, 0.0)))
    table.report(0.1, "b", (StageLoad("s", 0.25, 0.25),))
    assert table.total(0.2) == {"s": StageLoad("s", 0.75, 0.5), "t": StageLoad("t", 1.0, 0.0)}
    table.report(0.3, "a", (StageLoad("s", 0.5, 0.25),))
    table.forget("b")
    assert table.total(0.4) == {"s": StageLoad("s", 0.5, 0.25)}


def test_a_silent_proxy_counts_no_longer() -> None:
    table = LoadTable()
    table.report(0.0, "a", (StageLoad("s", 0.5, 0.25),))
    assert table.total(LOAD_TTL_S) != {}
    assert table.total(LOAD_TTL_S + 0.1) == {}
    table.report(9.0, "a", (StageLoad("s", 0.5, 0.25),))
    table.report(9.1, "a", ())
    assert table.total(9.1) == {}


def test_a_heartbeat_carries_loads_and_one_without_them_is_read_too() -> None:
    pulse = LinkHeartbeat(Revision(7), loads=(StageLoad("s", 0.5, 0.25),))
    assert Decoder().feed(encode(pulse)) == [pulse]
    assert Decoder().feed(encode(LinkHeartbeat(Revision(7)))) == [LinkHeartbeat(Revision(7))]
    hold = HoldOff("i-1", 2.5)
    assert Decoder().feed(encode(hold)) == [hold]


def ready_names(candidates: Candidates, now: float, stage: str = "decode") -> set[str]:
    return {seen.backend.id for seen in candidates.ready(now, "s", stage)}


def test_nothing_is_sent_to_a_backend_that_is_about_to_change_its_stage() -> None:
    candidates = Candidates()
    candidates.merge([backend("i-1"), backend("i-2")])
    candidates.hold_off(0.0, "i-1", 5.0)
    candidates.answered(0.1, "i-1")  # requests that it still runs are answered
    candidates.failed(0.2, "i-2")
    candidates.answered(0.3, "i-2")
    assert ready_names(candidates, 0.4) == {"i-2"}
    assert ready_names(candidates, 5.1) == {"i-1", "i-2"}


def test_a_backend_is_sent_to_again_when_its_new_stage_is_known_or_the_order_came_to_nothing() -> None:
    candidates = Candidates()
    candidates.merge([backend("i-1"), backend("i-2")])
    for name in ("i-1", "i-2"):
        candidates.hold_off(0.0, name, 5.0)
    assert ready_names(candidates, 0.1) == {"i-1", "i-2"}  # better than no backend
    candidates.merge([backend("i-1", "prefill", 2)])
    assert ready_names(candidates, 0.2, "prefill") == {"i-1"}
    candidates.merge([backend("i-3")])
    assert ready_names(candidates, 0.3) == {"i-3"}
    candidates.hold_off(0.4, "i-2", 0.0)
    assert ready_names(candidates, 0.5) == {"i-2", "i-3"}
    candidates.hold_off(0.6, "i-9", 5.0)  # unknown backend
    assert ready_names(candidates, 0.7) == {"i-2", "i-3"}


def test_proxies_are_told_of_an_order_when_it_begins_and_when_it_is_over() -> None:
    async def run() -> list[HoldOff]:
        told: list[HoldOff] = []
        duty = StageBalancerDriver(
            NodeSettings("n", "10.0.0.1", "z", (7000, 7009), ()),
            lambda: 1.0,
            cast(ConsensusCore, None),
            lambda: True,
            Registry(0.0, 1.0),
            hold_off=told.append,
        )
        order = BackendOrder(1, 1.0, backend(), Stage.PREFILL, 0.5)
        duty.balancer._orders[1] = order
        duty._update_hold_offs()
        duty._update_hold_offs()
        assert told == [HoldOff("i-1", order.overdue_s)]
        del duty.balancer._orders[1]
        duty._update_hold_offs()
        return told[1:]

    assert asyncio.run(run()) == [HoldOff("i-1", 0.0)]


def test_a_message_for_all_proxies_goes_to_no_controller() -> None:
    delivery = Delivery("c", Random(1), lambda now, revision: True)
    delivery.join(0.0, "p1", "p1", "10.0.0.1", True, 0, ())
    delivery.join(0.0, "c2", "c2", "10.0.0.2", False, 0, ())
    delivery.join(0.0, "p2", "p2", "10.0.0.3", True, 0, ())
    assert {type(message) for _, message in delivery.pop_messages()} == {Welcome, Push}
    delivery.send_to_proxies(HoldOff("i-1", 1.0))
    assert delivery.pop_messages() == [("p1", HoldOff("i-1", 1.0)), ("p2", HoldOff("i-1", 1.0))]
