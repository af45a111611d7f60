"""The stage balancer's core: when it sends orders, when it must not, and how it handles each answer."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from cranebank.control import stage_balancer
from cranebank.control.stage_balancer import (
    CONCURRENT_ORDERS_DIVISOR,
    CONFIRM_LOAD_S,
    CONFIRM_S,
    CONNECT_TIMEOUT_S,
    MAX_UNATTENDED_S,
    RECORD_TIMEOUT_S,
    REFUSED_BACKOFF_S,
    REPORT_DELAY_S,
    UNREACHABLE_BACKOFF_S,
    BalancerSettings,
    StageBalancer,
)
from cranebank.control.stage_events import (
    Action,
    Answered,
    AskReport,
    Authority,
    Connect,
    Connected,
    Event,
    NotConnected,
    Observation,
    Reported,
    Service,
    Transmit,
    Unanswered,
    Unreported,
)
from cranebank.control.stage_order import DRAIN_TIMEOUT_S, OrderState
from cranebank.control.stage_policy import ServiceStages
from cranebank.invariants import violations
from cranebank.programs.settings import Bounds, NodeSettings
from cranebank.programs.stage_balancer_driver import ORDER_ANSWER_TIMEOUT_S, read_services, takeover_wait_s
from cranebank.transport.messages import Backend, StageLoad

TAKEOVER_WAIT_S = 3.8
OBSERVATION_INTERVAL_S = 0.25
SWITCH_S = 0.8
PRIMARY = Authority(True, 4, 7)


def backend(name: str, stage: str, phase: str = "ready", call_seq: int = 1, zone: str = "a") -> Backend:
    return Backend(name, "s", f"10.0.0.{name[-1]}:80", zone, stage, 8, phase, call_seq)


class Bench:
    """A balancer and its inputs; ``pass_time`` passes an observation every quarter of a second."""

    def __init__(self, *backends: Backend, authority: Authority = PRIMARY) -> None:
        self.balancer = StageBalancer(BalancerSettings("node-1", TAKEOVER_WAIT_S, 1.0))
        self.now = 100.0
        self.authority = authority
        self.recorded: dict[str, str] | None = {}  # intents in the replicated record
        self.records_intents = True
        self.is_current = True
        self.records = {one.id: one for one in backends}
        self.silent: set[str] = set()
        self.heard_at: dict[str, float] = {}
        self.services = {"s": Service("s", SWITCH_S)}
        self.loads: dict[str, StageLoad] = {}

    def put(self, *backends: Backend) -> None:
        """Set the records that the backends' heartbeats report from now on."""
        self.records |= {one.id: one for one in backends}

    def observe(self) -> list[Action]:
        self.heard_at |= {name: self.now for name in self.records if name not in self.silent}
        authority = replace(self.authority, recorded=self.recorded)
        observation = Observation(authority, self.services, self.records, self.heard_at, self.is_current, self.loads)
        actions = self.balancer.handle(self.now, observation)
        if authority.holds_lease and self.records_intents:
            intents = self.balancer.intents(self.now)
            if intents is not None:
                self.recorded = {intent.backend: intent.stage for intent in intents}
        return actions

    def deliver(self, event: Event) -> list[Action]:
        """Pass an event; if it is Connected, with the presently recorded intents."""
        if isinstance(event, Connected):
            event = replace(event, authority=replace(event.authority, recorded=self.recorded))
        return self.balancer.handle(self.now, event)

    def pass_time(self, seconds: float) -> list[Action]:
        """Let time pass; return all actions requested meanwhile."""
        actions, end = self.observe(), self.now + seconds
        while self.now < end:
            self.now += OBSERVATION_INTERVAL_S
            actions += self.observe()
        return actions

    def connect(self) -> Connect:
        """Wait until an order is connected."""
        end = self.now + TAKEOVER_WAIT_S + CONFIRM_S + OBSERVATION_INTERVAL_S
        while not (found := self.observe()):
            assert self.now < end, "nothing is ordered"
            self.now += OBSERVATION_INTERVAL_S
        (connect,) = found
        assert isinstance(connect, Connect)
        return connect

    def transmit(self) -> Transmit:
        """Wait until an order is sent."""
        (found,) = self.deliver(Connected(self.connect().number, self.authority))
        assert isinstance(found, Transmit)
        return found

    def state(self) -> OrderState | None:
        orders = self.balancer.orders
        return orders[0].state if orders else None

    def check(self) -> None:
        assert not self.balancer.violations


def test_a_prefill_backend_is_ordered_once_the_last_decode_one_drains() -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-2", "prefill"), backend("i-3", "decode"))
    assert bench.pass_time(TAKEOVER_WAIT_S + 2.0) == []
    bench.put(backend("i-3", "decode", "draining", 2))
    (connect,) = bench.pass_time(CONFIRM_S + OBSERVATION_INTERVAL_S)
    assert isinstance(connect, Connect)
    assert connect.backend.id == "i-1"
    (transmit,) = bench.deliver(Connected(connect.number, PRIMARY))
    assert isinstance(transmit, Transmit)
    order = transmit.order
    assert (order.order_kind, order.stage, order.owner, order.fence_no) == ("stage", "decode", "node-1", 7)
    assert bench.deliver(Answered(transmit.number, 202)) == []
    assert bench.pass_time(3.0) == []
    bench.put(backend("i-1", "decode", call_seq=9))
    assert bench.pass_time(3.0) == []
    assert bench.state() is None
    bench.check()


@pytest.mark.parametrize(
    "stages",
    [("decode",), ("decode", "decode"), ("prefill", "decode"), (), ("", "")],
    ids=["one decode", "two decode", "both", "none", "of no stage"],
)
def test_nothing_is_ordered_where_requests_can_be_served_or_nobody_is_there(stages: tuple[str, ...]) -> None:
    bench = Bench(*(backend(f"i-{number}", stage) for number, stage in enumerate(stages)))
    assert bench.pass_time(3 * TAKEOVER_WAIT_S) == []
    bench.check()


@pytest.mark.parametrize("phase", ["draining", "gone", "lost"])
def test_a_backend_that_leaves_staffs_no_stage_and_is_not_ordered(phase: str) -> None:
    bench = Bench(backend("i-1", "decode", phase), backend("i-2", "prefill", phase), backend("i-3", "prefill"))
    assert bench.connect().backend.id == "i-3"


def test_a_replacement_whose_first_heartbeat_comes_in_time_makes_an_order_needless() -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-3", "decode"))
    bench.pass_time(TAKEOVER_WAIT_S + 1.0)
    bench.put(backend("i-3", "decode", "draining", 2))
    assert bench.pass_time(CONFIRM_S - OBSERVATION_INTERVAL_S) == []
    bench.put(backend("i-4", "decode"))
    assert bench.pass_time(5.0) == []


def test_a_service_that_no_route_leads_to_is_left_alone() -> None:
    bench = Bench(backend("i-1", "prefill"))
    bench.services = {}
    assert bench.pass_time(3 * TAKEOVER_WAIT_S) == []


# Authority.


def test_nothing_is_ordered_without_the_lease() -> None:
    bench = Bench(backend("i-1", "prefill"), authority=Authority(False, 4, 7))
    assert bench.pass_time(3 * TAKEOVER_WAIT_S) == []


def test_a_new_primary_orders_at_once_whom_no_former_one_may_have_ordered() -> None:
    bench = Bench(backend("i-1", "prefill"))
    assert bench.pass_time(CONFIRM_S - OBSERVATION_INTERVAL_S) == []
    (connect,) = bench.pass_time(2 * OBSERVATION_INTERVAL_S)
    assert isinstance(connect, Connect)
    bench.check()


def test_whom_a_former_primary_may_have_ordered_is_left_alone_until_its_orders_are_old() -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-2", "prefill"))
    bench.recorded = {"i-1": "decode", "i-2": "decode"}
    reports = [
        action for action in bench.pass_time(REPORT_DELAY_S + OBSERVATION_INTERVAL_S) if isinstance(action, AskReport)
    ]
    for report in reports:
        bench.deliver(Reported(report.number, "prefill", False, 0))
    assert {report.backend.id for report in reports} == {"i-1", "i-2"}, "the outcome of the orders is requested at once"
    asked_s = REPORT_DELAY_S + OBSERVATION_INTERVAL_S
    assert bench.pass_time(TAKEOVER_WAIT_S - asked_s - OBSERVATION_INTERVAL_S) == []
    assert bench.connect()
    bench.check()


def test_an_order_of_a_former_primary_that_is_under_way_is_not_sent_again() -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-2", "prefill"))
    bench.recorded = {"i-1": "decode"}
    (report,) = bench.pass_time(REPORT_DELAY_S + OBSERVATION_INTERVAL_S)
    assert isinstance(report, AskReport)
    assert bench.deliver(Reported(report.number, "prefill", True, 1)) == []
    assert set(bench.balancer.switching_backends(bench.now)) == {"i-1"}
    assert bench.pass_time(2 * TAKEOVER_WAIT_S) == []
    bench.put(backend("i-1", "decode", call_seq=9))
    assert bench.pass_time(1.0) == []
    assert bench.state() is None
    bench.check()


def test_where_a_former_primary_ordered_in_vain_another_backend_is_ordered_without_the_wait() -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-2", "prefill"))
    bench.recorded = {"i-1": "decode"}
    (report,) = bench.pass_time(REPORT_DELAY_S + OBSERVATION_INTERVAL_S)
    bench.deliver(Reported(report.number, "prefill", False, 0))
    (connect,) = bench.pass_time(CONFIRM_S + 2 * OBSERVATION_INTERVAL_S)
    assert isinstance(connect, Connect) and connect.backend.id == "i-2"
    assert bench.now < 100.0 + TAKEOVER_WAIT_S
    bench.check()


def test_where_no_orders_were_recorded_all_backends_are_left_alone_for_a_while() -> None:
    """The record was written by a version without intents."""
    bench = Bench(backend("i-1", "prefill"))
    bench.recorded = None
    assert bench.pass_time(TAKEOVER_WAIT_S - OBSERVATION_INTERVAL_S) == []
    bench.records_intents = True
    assert bench.connect()


def test_an_order_is_not_sent_before_the_record_names_it() -> None:
    bench = Bench(backend("i-1", "prefill"))
    bench.records_intents = False
    assert bench.pass_time(CONFIRM_S + RECORD_TIMEOUT_S - OBSERVATION_INTERVAL_S) == []
    assert bench.state() is OrderState.INTENDED
    bench.pass_time(2 * OBSERVATION_INTERVAL_S)
    assert bench.balancer.counts["not recorded"] == 1
    bench.records_intents = True
    connect = bench.connect()
    bench.recorded = {"i-1": "prefill"}
    assert bench.deliver(Connected(connect.number, bench.authority)) == []
    assert bench.balancer.counts["abandoned"] == 1
    bench.check()


def test_an_order_is_named_until_a_successor_s_could_not_follow_it_too_soon() -> None:
    bench = Bench(backend("i-1", "prefill"))
    transmit = bench.transmit()
    bench.deliver(Answered(transmit.number, 202))
    bench.put(backend("i-1", "decode", call_seq=9))
    bench.pass_time(TAKEOVER_WAIT_S - OBSERVATION_INTERVAL_S)
    assert bench.state() is None
    assert bench.recorded == {"i-1": "decode"}
    bench.pass_time(2 * OBSERVATION_INTERVAL_S)
    assert bench.recorded == {}


def test_a_lease_won_again_in_the_same_term_makes_nobody_wait_and_a_later_term_does() -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-3", "decode"))
    bench.pass_time(1.0)
    bench.authority = Authority(False, 4, 7)
    bench.pass_time(1.0)
    bench.put(backend("i-3", "decode", "gone", 2))
    bench.authority = Authority(True, 4, 8)
    (connect,) = bench.pass_time(CONFIRM_S + 2 * OBSERVATION_INTERVAL_S)
    (transmit,) = bench.deliver(Connected(connect.number, bench.authority))
    bench.deliver(Answered(transmit.number, 400))
    bench.authority = Authority(True, 9, 9)
    asked = bench.pass_time(TAKEOVER_WAIT_S - OBSERVATION_INTERVAL_S)
    assert not [action for action in asked if isinstance(action, Connect)]


@pytest.mark.parametrize(
    "authority", [Authority(False, 4, 7), Authority(True, 9, 9)], ids=["lease lost", "a later term"]
)
def test_an_order_is_abandoned_when_its_authority_is_gone_by_the_time_it_is_connected(authority: Authority) -> None:
    bench = Bench(backend("i-1", "prefill"))
    connect = bench.connect()
    assert bench.deliver(Connected(connect.number, authority)) == []
    assert bench.state() is None
    assert bench.balancer.counts["abandoned"] == 1


def test_an_order_that_took_long_to_connect_is_abandoned() -> None:
    bench = Bench(backend("i-1", "prefill"))
    connect = bench.connect()
    bench.now += CONNECT_TIMEOUT_S + OBSERVATION_INTERVAL_S
    assert bench.deliver(Connected(connect.number, PRIMARY)) == []


def test_the_fence_of_an_order_is_the_newest_when_it_is_written() -> None:
    bench = Bench(backend("i-1", "prefill"))
    connect = bench.connect()
    (transmit,) = bench.deliver(Connected(connect.number, Authority(True, 4, 9)))
    assert isinstance(transmit, Transmit)
    assert transmit.order.fence_no == 9


# Incomplete registries.


def test_nothing_is_ordered_while_the_registry_may_lack_backends() -> None:
    bench = Bench(backend("i-1", "prefill"))
    bench.is_current = False
    assert bench.pass_time(3 * TAKEOVER_WAIT_S) == []
    bench.is_current = True
    assert bench.pass_time(CONFIRM_S - OBSERVATION_INTERVAL_S) == []
    assert bench.connect()


def test_only_a_backend_that_was_heard_lately_is_ordered() -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-2", "prefill"), backend("i-3", "decode"))
    bench.observe()
    bench.silent = {"i-1"}
    bench.pass_time(TAKEOVER_WAIT_S)
    bench.put(backend("i-3", "decode", "gone", 2))
    assert bench.connect().backend.id == "i-2"
    bench = Bench(backend("i-1", "prefill"))
    bench.silent = {"i-1"}
    assert bench.pass_time(3 * TAKEOVER_WAIT_S) == []
    bench.check()


def test_a_process_that_stood_still_confirms_anew_what_is_needed() -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-3", "decode"))
    bench.pass_time(TAKEOVER_WAIT_S + 1.0)
    bench.put(backend("i-3", "decode", "gone", 2))
    bench.observe()
    bench.now += 30.0
    assert bench.observe() == []
    assert bench.connect()


def test_the_zone_with_the_most_backends_of_the_other_stage_gives_one() -> None:
    bench = Bench(*(backend(f"i-{number}", "prefill", zone=zone) for number, zone in enumerate("abbc")))
    assert bench.connect().backend.zone == "b"


# Answers.


@pytest.mark.parametrize("status", [200, 202])
def test_an_order_that_was_taken_is_followed_until_a_later_heartbeat_shows_the_stage(status: int) -> None:
    bench = Bench(backend("i-1", "prefill", call_seq=5), backend("i-2", "prefill"))
    bench.deliver(Answered(bench.transmit().number, status))
    assert bench.state() is OrderState.SWITCHING
    bench.put(backend("i-1", "decode", call_seq=6))
    bench.observe()
    assert bench.state() is None
    assert bench.balancer.counts["settled"] == 1


@pytest.mark.parametrize("status", [400, 404, 405, 421])
def test_a_backend_that_refuses_is_passed_over(status: int) -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-2", "prefill"))
    first = bench.transmit()
    bench.deliver(Answered(first.number, status))
    (second,) = bench.pass_time(2 * OBSERVATION_INTERVAL_S)
    assert isinstance(second, Connect)
    assert second.backend.id == "i-2"
    bench.deliver(NotConnected(second.number))
    assert bench.pass_time(UNREACHABLE_BACKOFF_S - 2 * OBSERVATION_INTERVAL_S) == []
    (third,) = bench.pass_time(3 * OBSERVATION_INTERVAL_S)
    assert isinstance(third, Connect)
    assert third.backend.id == "i-2"
    bench.check()


def test_a_backend_that_refused_is_asked_again_in_the_end() -> None:
    bench = Bench(backend("i-1", "prefill"))
    bench.deliver(Answered(bench.transmit().number, 421))
    assert bench.pass_time(REFUSED_BACKOFF_S - 2 * OBSERVATION_INTERVAL_S) == []
    assert bench.pass_time(3 * OBSERVATION_INTERVAL_S)


def test_a_fence_that_a_backend_refused_is_not_used_again() -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-2", "prefill"))
    first = bench.transmit()
    bench.deliver(Answered(first.number, 412))
    assert bench.pass_time(REFUSED_BACKOFF_S + 10.0) == [], "neither at this backend nor at any other"
    bench.authority = Authority(True, PRIMARY.term, PRIMARY.fence + 1)
    connect = bench.connect()
    (order,) = bench.deliver(Connected(connect.number, bench.authority))
    assert isinstance(order, Transmit) and order.order.fence_no == PRIMARY.fence + 1
    bench.check()


def test_an_order_whose_fence_is_refused_elsewhere_while_it_connects_is_abandoned() -> None:
    bench = Bench(*(backend(f"i-{n}", "prefill" if n < 9 else "decode") for n in range(1, 20)))
    bench.loads["s"] = StageLoad("s", 0.1, 40.0)
    orders: list[Action] = []
    while len(orders) < 2:  # a share of a large service is ordered at once
        bench.now += OBSERVATION_INTERVAL_S
        orders += bench.observe()
    assert isinstance(orders[0], Connect) and isinstance(orders[1], Connect)
    (sent,) = bench.deliver(Connected(orders[0].number, bench.authority))
    assert isinstance(sent, Transmit)
    bench.deliver(Answered(orders[0].number, 412))
    assert bench.deliver(Connected(orders[1].number, bench.authority)) == []
    assert bench.balancer.counts["abandoned"] == 1


@pytest.mark.parametrize("status", [0, 409, 500, 503])
def test_after_an_unclear_answer_the_backend_is_asked_for_its_report(status: int) -> None:
    """No order is sent again before the report: the first one may have been accepted."""
    bench = Bench(backend("i-1", "prefill"), backend("i-2", "prefill"))
    number = bench.transmit().number
    bench.deliver(Answered(number, status) if status else Unanswered(number))
    assert bench.state() is OrderState.UNKNOWN
    assert bench.pass_time(REPORT_DELAY_S - OBSERVATION_INTERVAL_S) == []
    (ask,) = bench.pass_time(OBSERVATION_INTERVAL_S)
    assert ask == AskReport(number, bench.records["i-1"])
    bench.deliver(Reported(number, "prefill", True, 1))
    assert bench.state() is OrderState.SWITCHING
    bench.check()


def test_an_order_that_was_not_taken_is_sent_again_with_the_count_that_was_reported() -> None:
    bench = Bench(backend("i-1", "prefill"))
    number = bench.transmit().number
    bench.deliver(Unanswered(number))
    bench.pass_time(REPORT_DELAY_S)
    bench.deliver(Reported(number, "prefill", False, 3))
    again = bench.transmit()
    assert again.number != number
    assert again.order.expected == 3


def test_a_report_that_does_not_come_is_asked_for_again() -> None:
    bench = Bench(backend("i-1", "prefill"))
    number = bench.transmit().number
    bench.deliver(Unanswered(number))
    assert len(bench.pass_time(REPORT_DELAY_S)) == 1
    bench.deliver(Unreported(number))
    assert len(bench.pass_time(REPORT_DELAY_S)) == 1


def test_a_backend_that_says_nothing_for_long_lets_another_be_ordered() -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-2", "prefill"))
    bench.deliver(Answered(bench.transmit().number, 202))
    actions = bench.pass_time(SWITCH_S + DRAIN_TIMEOUT_S + REPORT_DELAY_S + 2 * OBSERVATION_INTERVAL_S)
    assert [type(action) for action in actions] == [Connect, AskReport]
    assert isinstance(actions[0], Connect) and actions[0].backend.id == "i-2"
    bench.check()


@pytest.mark.parametrize("phase", ["draining", "gone", "lost"])
def test_a_backend_that_leaves_ends_its_order_and_another_is_ordered(phase: str) -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-2", "prefill"))
    bench.deliver(Answered(bench.transmit().number, 202))
    bench.put(backend("i-1", "prefill", phase, 2))
    (connect,) = bench.pass_time(OBSERVATION_INTERVAL_S)
    assert isinstance(connect, Connect) and connect.backend.id == "i-2"
    bench.check()


def test_late_answers_of_orders_that_are_over_change_nothing() -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-3", "decode", "draining"))
    number = bench.transmit().number
    bench.put(backend("i-1", "decode", call_seq=9))
    bench.observe()
    for event in (
        Answered(number, 202),
        Unanswered(number),
        Reported(number, "prefill", True, 1),
        NotConnected(number),
    ):
        assert bench.deliver(event) == []
    assert bench.state() is None
    bench.check()


def test_an_order_whose_connection_is_never_told_of_is_given_up() -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-2", "prefill"))
    bench.connect()
    (connect,) = bench.pass_time(CONNECT_TIMEOUT_S + 2 * OBSERVATION_INTERVAL_S)
    assert isinstance(connect, Connect) and connect.backend.id == "i-2"


def test_a_service_that_was_without_backends_for_a_while_confirms_anew_what_it_needs() -> None:
    """All backends are replaced: after the first newcomer's heartbeat, others may follow."""
    bench = Bench(backend("i-1", "prefill"))
    bench.silent = {"i-1"}
    bench.pass_time(TAKEOVER_WAIT_S + 1.0)
    bench.put(backend("i-1", "prefill", "gone", 2))
    bench.pass_time(MAX_UNATTENDED_S + 1.0)
    bench.put(backend("i-2", "prefill"))
    assert bench.pass_time(CONFIRM_S - OBSERVATION_INTERVAL_S) == []
    assert bench.connect()
    bench.check()


def test_nothing_is_kept_of_services_that_are_dropped_or_renamed() -> None:
    bench = Bench()
    for number in range(50):
        name = f"s{number}"
        bench.services = {name: Service(name, SWITCH_S)}
        bench.records = {"i-1": Backend("i-1", name, "10.0.0.1:80", "a", "prefill", 8, "ready", number)}
        bench.silent = {"i-1"}
        bench.pass_time(1.0)
    assert len(bench.balancer.needed) <= 1


def test_another_backend_is_ordered_where_one_never_takes_its_order() -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-2", "prefill"))
    first = bench.connect()
    (transmit,) = bench.deliver(Connected(first.number, PRIMARY))
    assert isinstance(transmit, Transmit)
    bench.deliver(Answered(transmit.number, 503))
    bench.pass_time(REPORT_DELAY_S)
    bench.deliver(Reported(transmit.number, "prefill", False, 0))
    assert bench.state() is None
    assert bench.connect().backend.id != first.backend.id
    bench.check()


@pytest.mark.parametrize("late", [Unanswered, Unreported])
def test_what_comes_late_after_a_stand_still_breaks_no_invariant(late: type[Unanswered] | type[Unreported]) -> None:
    """The process stalled while it waited for an answer: the observation is processed before the end of the wait."""
    bench = Bench(backend("i-1", "prefill"))
    number = bench.transmit().number
    if late is Unreported:
        bench.deliver(Unanswered(number))
        bench.pass_time(REPORT_DELAY_S)
    bench.now += SWITCH_S + DRAIN_TIMEOUT_S + 1.0
    bench.observe()
    assert bench.state() is OrderState.UNKNOWN
    bench.deliver(late(number))
    assert bench.state() is OrderState.UNKNOWN
    bench.check()


def test_a_look_makes_one_grouping_for_each_service_however_many_backends_there_are(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A primary makes four observations a second, of thousands of backends in a large fleet."""
    made = 0

    def make() -> ServiceStages:
        nonlocal made
        made += 1
        return ServiceStages()

    monkeypatch.setattr(stage_balancer, "ServiceStages", make)
    bench = Bench(*(backend(f"i-{number}", "decode") for number in range(100)))
    bench.observe()
    assert made == 1


# Invariants, on a balancer without its guards.


@pytest.mark.violates_invariants
def test_a_stage_that_gets_no_order_in_time_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(StageBalancer, "_begin", lambda *_: None)
    bench = Bench(backend("i-1", "prefill"))
    bench.pass_time(TAKEOVER_WAIT_S + MAX_UNATTENDED_S + 1.0)
    assert bench.balancer.violations["a stage that is needed gets an order in time"]


@pytest.mark.violates_invariants
def test_an_order_without_a_lease_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(StageBalancer, "_may_order", lambda *_: True)
    bench = Bench(backend("i-1", "prefill"))
    connect = bench.connect()
    bench.deliver(Connected(connect.number, Authority(False, 4, 5)))
    assert bench.balancer.violations["orders are sent under the lease only"] == 1


@pytest.mark.violates_invariants
def test_a_fence_that_falls_is_counted() -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-2", "prefill"))
    first = bench.transmit()
    bench.deliver(Answered(first.number, 421))
    bench.authority = Authority(True, 4, 6)
    bench.transmit()
    assert bench.balancer.violations["the fence never falls"] == 1


@pytest.mark.violates_invariants
def test_what_is_violated_is_told_by_the_metrics(monkeypatch: pytest.MonkeyPatch) -> None:
    """Soak runs check only these counts."""
    monkeypatch.setattr(StageBalancer, "_begin", lambda *_: None)
    bench, name = Bench(backend("i-1", "prefill")), "a stage that is needed gets an order in time"
    before = violations().get(name, 0)
    bench.pass_time(TAKEOVER_WAIT_S + MAX_UNATTENDED_S + 1.0)
    assert violations()[name] - before == bench.balancer.violations[name] > 0


# Settings and configuration.


def test_the_wait_after_a_takeover_covers_the_lease_time_and_an_order_on_its_way() -> None:
    settings = NodeSettings("n", "10.0.0.1", "z", (7000, 7009), ("10.0.0.1:80",), bounds=Bounds(lease_ms=5000))
    assert takeover_wait_s(settings) > 5.0 + ORDER_ANSWER_TIMEOUT_S


def test_services_are_those_with_engines_that_a_route_leads_to() -> None:
    document = b"""{"revision": 3, "routes": [{"name": "r", "target": "a"}, {"name": "q", "branches": [{"target": "b",
    "share": 1}, {"target": "plain", "share": 1}]}], "services": [{"name": "a", "engine": {"switch_s": 0.5}},
    {"name": "b", "engine": {}}, {"name": "plain"}, {"name": "idle", "engine": {"switch_s": 2}}]}"""
    assert read_services(document) == {"a": Service("a", 0.5), "b": Service("b", 1.0)}
    assert read_services(b"") == read_services(b"{") == {}


def test_a_busy_stage_gets_a_backend_only_after_its_load_has_lasted() -> None:
    bench = Bench(backend("i-1", "prefill"), *(backend(f"i-{number}", "decode") for number in (2, 3, 4)))
    bench.pass_time(TAKEOVER_WAIT_S + 1.0)
    bench.loads = {"s": StageLoad("s", 1.5, 0.6)}
    assert bench.pass_time(CONFIRM_LOAD_S - OBSERVATION_INTERVAL_S) == []
    bench.loads = {}
    assert bench.pass_time(CONFIRM_LOAD_S) == []
    bench.loads = {"s": StageLoad("s", 1.5, 0.6)}
    (connect,) = bench.pass_time(CONFIRM_LOAD_S + OBSERVATION_INTERVAL_S)
    assert isinstance(connect, Connect)
    assert connect.backend.id == "i-2"
    assert bench.balancer.switching_backends(bench.now) == {
        "i-2": pytest.approx(SWITCH_S + DRAIN_TIMEOUT_S, abs=2 * OBSERVATION_INTERVAL_S)
    }
    (transmit,) = bench.deliver(Connected(connect.number, PRIMARY))
    assert isinstance(transmit, Transmit)
    assert transmit.order.stage == "prefill"
    bench.deliver(Answered(transmit.number, 202))
    bench.put(backend("i-2", "prefill", call_seq=9))
    assert bench.pass_time(3 * CONFIRM_LOAD_S) == []
    assert bench.balancer.switching_backends(bench.now) == {}
    bench.check()


def test_a_load_that_nobody_can_be_ordered_for_is_no_violation() -> None:
    bench = Bench(backend("i-1", "prefill"), *(backend(f"i-{number}", "decode") for number in (2, 3, 4)))
    bench.silent = {"i-2", "i-3", "i-4"}
    bench.loads = {"s": StageLoad("s", 1.5, 0.6)}
    assert bench.pass_time(TAKEOVER_WAIT_S + 2 * MAX_UNATTENDED_S) == []
    bench.check()


def test_a_stage_that_becomes_empty_while_it_was_too_busy_is_urgent_at_once() -> None:
    bench = Bench(backend("i-1", "prefill"), backend("i-2", "prefill"), backend("i-3", "decode"))
    bench.pass_time(TAKEOVER_WAIT_S + 1.0)
    bench.loads = {"s": StageLoad("s", 0.1, 3.0)}
    assert bench.pass_time(CONFIRM_LOAD_S / 2) == []
    bench.put(backend("i-3", "decode", "draining", 2))
    (connect,) = bench.pass_time(CONFIRM_S + OBSERVATION_INTERVAL_S)
    assert isinstance(connect, Connect)
    assert connect.backend.id == "i-1"


def test_a_share_of_a_large_service_is_ordered_at_once_and_no_more_than_the_load_asks_for() -> None:
    names = [backend(f"i-{number:02}", "prefill" if number < 8 else "decode") for number in range(34)]
    bench = Bench(*names)
    bench.loads = {"s": StageLoad("s", 20.0, 7.0)}
    bench.pass_time(CONFIRM_LOAD_S - OBSERVATION_INTERVAL_S)
    begun = [
        action for action in bench.pass_time(CONNECT_TIMEOUT_S + OBSERVATION_INTERVAL_S) if isinstance(action, Connect)
    ]
    assert len({connect.backend.id for connect in begun}) == len(begun) == 34 // CONCURRENT_ORDERS_DIVISOR
    for connect in begun:
        take(bench, connect)
    bench.loads = {"s": StageLoad("s", 8.8, 5.0)}  # too much for 12 prefill backends, but not for 13
    connect = bench.connect()
    assert bench.pass_time(2 * OBSERVATION_INTERVAL_S) == []  # a backend under an order counts for its new stage
    take(bench, connect)
    assert bench.pass_time(3 * CONFIRM_LOAD_S) == []
    bench.check()


def take(bench: Bench, connect: Connect) -> None:
    """Let the backend accept its order and report the new stage in its next heartbeat."""
    (transmit,) = bench.deliver(Connected(connect.number, PRIMARY))
    assert isinstance(transmit, Transmit)
    bench.deliver(Answered(transmit.number, 202))
    bench.put(backend(connect.backend.id, transmit.order.stage, call_seq=9))


def test_an_order_for_load_does_not_hold_up_one_without_which_nothing_is_served() -> None:
    """Both other decode backends crash while a third one switches to prefill."""
    bench = Bench(backend("i-1", "prefill"), *(backend(f"i-{number}", "decode") for number in (2, 3, 4)))
    bench.pass_time(TAKEOVER_WAIT_S + 1.0)
    bench.loads = {"s": StageLoad("s", 1.5, 0.6)}
    first = bench.connect()
    (transmit,) = bench.deliver(Connected(first.number, PRIMARY))
    bench.deliver(Answered(transmit.number, 202))
    assert bench.state() is OrderState.SWITCHING
    bench.put(*(backend(one, "decode", "lost", 2) for one in ("i-3", "i-4")))
    (connect,) = bench.pass_time(CONFIRM_S + OBSERVATION_INTERVAL_S)
    assert isinstance(connect, Connect)
    assert connect.backend.id == "i-1"
    (transmit,) = bench.deliver(Connected(connect.number, PRIMARY))
    assert isinstance(transmit, Transmit)
    assert transmit.order.stage == "decode"
    assert bench.pass_time(1.0) == []  # one such order is enough
    bench.check()
