"""Keeps the stages of each service staffed by ordering backends to change theirs: a core free of I/O.

Only the primary orders, under its lease, with its epoch as the fence. A fence that a backend refused is not used again.
An order is sent once the replicated record names it: a successor knows whom it must leave alone for a while, and looks
after what became of it (``order_intents``). A backend has one order at a time. What became of an order that got no
clear answer is learnt from the backend's report and heartbeats.

docs/stage-orders.md says why it is done so. Times are a steady clock's seconds.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping, Set

import msgspec
from loguru import logger

from cranebank.control.epochs import OrderIntent
from cranebank.control.order_intents import OrderIntents
from cranebank.control.stage_candidates import StageCandidates
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
    Order,
    Reported,
    Service,
    Stage,
    Transmit,
    Unanswered,
    Unreported,
)
from cranebank.control.stage_order import (
    ACCEPTED,
    AWAITED,
    NEXT_STATES,
    OUTDATED_FENCE,
    REFUSED,
    BackendOrder,
    OrderState,
)
from cranebank.control.stage_policy import Need, ServiceStages, needed_stage
from cranebank.invariants import record_violation
from cranebank.transport.messages import Backend

CONFIRM_S = 0.5  # for so long a need must have held: a replacement's first heartbeat may be on its way
CONFIRM_LOAD_S = 2.0  # the same where a stage is only too busy: one that is released is replaced within a heartbeat
RECORD_LIMIT_S = 2.0  # an order that the record does not name by then is given up
CONNECT_LIMIT_S = 1.0  # an order whose connection took longer is abandoned: it was decided on by what was known then
REPORT_AFTER_S = 1.0  # a report may be some hundred milliseconds old: it is asked for so long after the order
UNFIT_S = 5.0  # a backend that could not be reached is passed over for so long
REFUSED_S = 30.0  # a backend that refused an order for good is passed over for so long
STALL_S = 1.5  # after so long without a look, what was known before is old
ORDERED_SHARE = 8  # one in so many of a service's ready backends may be under an order at once, and always one
UNATTENDED_S = 5.0  # a stage that is needed is without an order no longer than this


class BalancerSettings(msgspec.Struct, frozen=True):
    """``owner`` is this controller's name in its orders; ``takeover_wait_s`` how long after a takeover it leaves alone
    whom a former primary may have ordered; ``beat_s`` the time between a backend's heartbeats."""

    owner: str
    takeover_wait_s: float
    beat_s: float


class StageBalancer:
    """One controller's part. Tell it events with `handle`; do the actions that it returns in their order."""

    def __init__(self, settings: BalancerSettings) -> None:
        self._settings = settings
        self._numbers = itertools.count(1)
        self._orders: dict[int, BackendOrder] = {}
        self._expected: dict[str, int] = {}  # orders taken by a backend, as it reported
        self._candidates = StageCandidates(settings.beat_s)
        self._needed: dict[str, tuple[Need, float]] = {}  # by service: what it needs, and since when
        self._unattended_since: dict[str, float] = {}
        self._term: int | None = None
        self._intents = OrderIntents(settings.takeover_wait_s)
        self._last_fence = -1
        self._refused_fence = -1  # a backend has seen a higher one
        self._looked_at = float("-inf")
        self._actions: list[Action] = []
        self.counts: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()

    @property
    def orders(self) -> tuple[BackendOrder, ...]:
        """The orders that are not over."""
        return tuple(self._orders.values())

    @property
    def needed(self) -> Mapping[str, tuple[Need, float]]:
        """By service: what it needs, and since when."""
        return self._needed

    def intents(self, now: float) -> tuple[OrderIntent, ...] | None:
        """What the replicated record must name, while this controller is the primary; None: it stays as it is."""
        return self._intents.wanted(now, self.orders)

    def held(self, now: float) -> dict[str, float]:
        """The backends that are about to change their stage and run nothing new, and for how much longer at most."""
        ends = {order.backend.id: order.began_at + order.overdue_s for order in self.orders}
        return {name: until - now for name, until in ends.items() if until > now}

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event at a time of the steady clock; return what is to be done, in order."""
        self._actions = []
        if isinstance(event, Observation):
            self._look(now, event)
        else:
            order = self._orders.get(event.number)
            if order is not None:
                self._handle_for(now, order, event)
        return self._actions

    def _handle_for(self, now: float, order: BackendOrder, event: Event) -> None:
        match event:
            case Connected(_, authority):
                self._transmit(now, order, authority)
            case NotConnected():
                self._pass_over(now, order, UNFIT_S, "unreachable")
            case Answered(_, status):
                self._answered(now, order, status)
            case Unanswered():
                self._unclear(now, order, OrderState.SENT)
            case Reported():
                self._reported(now, order, event)
            case Unreported():
                self._unclear(now, order, OrderState.REPORTING)

    def _change(self, now: float, order: BackendOrder, state: OrderState) -> None:
        """The one function that changes an order's state."""
        is_allowed = state in NEXT_STATES[order.state]
        self._require(is_allowed, "an order takes only the steps that it may")
        order.state, order.changed_at = state, now
        if state is OrderState.OVER:
            self._orders.pop(order.number, None)

    def _require(self, holds: bool, what: str) -> bool:
        """Count and log a broken invariant."""
        if not holds:
            self.violations[what] += 1
            record_violation(what, "stage balancer")
        return holds

    # Looking.

    def _look(self, now: float, look: Observation) -> None:
        if now - self._looked_at > STALL_S:
            self._needed.clear()
            self._unattended_since.clear()
        self._looked_at = now
        self._follow_authority(now, look.authority)
        self._follow_former(now, look)
        for order in self.orders:
            self._follow(now, order, look)
        self._forget(now, look.records)
        if not look.authority.holds_lease or not look.is_registry_current:
            self._needed.clear()
            self._unattended_since.clear()
            return
        by_service = self._by_service(now, look)
        self._forget_services(by_service.keys())
        for name, stages in by_service.items():
            self._staff(now, look.services[name], stages, look)

    def _follow_authority(self, now: float, authority: Authority) -> None:
        """In a new term the orders of former primaries count. In one and the same term nobody else has been primary."""
        if authority.holds_lease and authority.term != self._term:
            self._term = authority.term
            self._intents.begin_term(now, authority.recorded)

    def _may_order(self, authority: Authority) -> bool:
        if authority.fence <= self._refused_fence:
            return False
        return authority.holds_lease and authority.term == self._term

    def _may_send(self, now: float, order: BackendOrder, authority: Authority) -> bool:
        """Whether a successor would know of this order, and no order of a predecessor can be near."""
        is_recorded = (authority.recorded or {}).get(order.backend.id) == order.stage
        return is_recorded and self._may_order(authority) and self._intents.is_turn(now, order.backend.id)

    def _follow_former(self, now: float, look: Observation) -> None:
        """Look after orders that a former primary may have sent: they may be under way, and their backends switch."""
        if not look.authority.holds_lease or not look.is_registry_current:
            return
        ordered = {order.backend.id for order in self.orders}
        for name in self._intents.unfollowed:
            stage, record = self._intents.pop_unfollowed(name), look.records.get(name)
            if record is None or record.phase != "ready" or record.stage == stage or name in ordered:
                continue
            service = look.services.get(record.target)
            if service is None or stage not in set(Stage):
                continue
            order = BackendOrder(next(self._numbers), now, record, Stage(stage), service.switch_s)
            self._orders[order.number] = order
            self._change(now, order, OrderState.UNKNOWN)

    def _follow(self, now: float, order: BackendOrder, look: Observation) -> None:
        """What the registry tells of an order's backend, and what time does."""
        record = look.records.get(order.backend.id)
        if record is None or record.phase != "ready":
            self._end(now, order, "backend left")
        elif record.stage == order.stage and record.call_seq > order.backend.call_seq:
            self._end(now, order, "settled")
        elif order.state is OrderState.INTENDED:
            self._follow_intended(now, order, look.authority)
        elif order.state is OrderState.CONNECTING and now - order.changed_at > CONNECT_LIMIT_S:
            self._pass_over(now, order, UNFIT_S, "unreachable")
        elif order.state in AWAITED and now - order.changed_at >= order.overdue_s:
            self._change(now, order, OrderState.UNKNOWN)
        elif (
            order.state is OrderState.UNKNOWN
            and now - order.changed_at >= REPORT_AFTER_S
            and look.authority.holds_lease
        ):
            self._change(now, order, OrderState.REPORTING)
            self._actions.append(AskReport(order.number, record))

    def _follow_intended(self, now: float, order: BackendOrder, authority: Authority) -> None:
        if self._may_send(now, order, authority):
            self._change(now, order, OrderState.CONNECTING)
            self._actions.append(Connect(order.number, order.backend))
        elif now - order.changed_at > RECORD_LIMIT_S:
            self._end(now, order, "not recorded")

    def _end(self, now: float, order: BackendOrder, why: str) -> None:
        self.counts[why] += 1
        self._change(now, order, OrderState.OVER)

    def _forget(self, now: float, records: Mapping[str, Backend]) -> None:
        """Nothing is kept of backends that the registry has forgotten."""
        self._expected = {name: taken for name, taken in self._expected.items() if name in records}
        self._candidates.forget(now, records)

    def _forget_services(self, present: Set[str]) -> None:
        """What a service without backends or routes needed before is old when it is there again."""
        for name in self._needed.keys() - present:
            del self._needed[name]
            self._unattended_since.pop(name, None)

    # Deciding.

    def _staff(
        self,
        now: float,
        service: Service,
        stages: ServiceStages,
        look: Observation,
    ) -> None:
        """Order a backend where a stage needs one and has needed it for long enough."""
        load = look.loads.get(service.name)
        need = needed_stage(stages, load)
        if need is None:
            self._unattended_since.pop(service.name, None)
            if not self._under_way(now, service.name):  # else it is needed still where that order comes to nothing
                self._needed.pop(service.name, None)
            return
        known = self._needed.get(service.name)
        if known is None or known[0] != need:
            known = self._needed[service.name] = need, now
        candidate = None
        if self._may_order(look.authority) and self._may_have_another(now, service.name, stages, need):
            candidate = self._candidate(now, stages.of(need.stage.other), look.heard_at)
        self._check_attended(now, service.name, candidate is None or not need.is_urgent)
        if candidate is not None and now - known[1] >= (CONFIRM_S if need.is_urgent else CONFIRM_LOAD_S):
            logger.info("service {}: {} backends by stage, load {}", service.name, stages.counts(), load)
            self._begin(now, service, candidate, need.stage)
            self._check_share(now, service.name, stages, need)

    def _may_have_another(self, now: float, service: str, stages: ServiceStages, need: Need) -> bool:
        """No more than its share of a service changes at a time. What nothing is served without waits for no order to
        the other stage."""
        under_way = self._under_way(now, service)
        if need.is_urgent:
            return all(order.stage is not need.stage for order in under_way)
        return len(under_way) < _most_ordered(stages) and self._intents.has_room(now, self.orders)

    def _under_way(self, now: float, service: str) -> list[BackendOrder]:
        return [order for order in self.orders if order.backend.target == service and order.blocks(now)]

    def _check_share(self, now: float, service: str, stages: ServiceStages, need: Need) -> None:
        under_way = self._under_way(now, service)
        if need.is_urgent:
            to_stage = sum(order.stage is need.stage for order in under_way)
            self._require(to_stage == 1, "an empty stage gets one order at a time")
        else:
            holds = len(under_way) <= _most_ordered(stages)
            self._require(holds, "no more than a share of a service is ordered at once")

    def _by_service(self, now: float, look: Observation) -> dict[str, ServiceStages]:
        """The ready backends of each service that is routed to; who is under an order counts for its new stage."""
        expected = {order.backend.id: order.stage for order in self.orders if order.blocks(now)}
        found: dict[str, ServiceStages] = {}
        for record in look.records.values():
            if record.phase == "ready" and record.target in look.services:
                stages = found.get(record.target)
                if stages is None:
                    stages = found[record.target] = ServiceStages()
                stages.add(record, expected.get(record.id))
        return found

    def _check_attended(self, now: float, service: str, is_attended: bool) -> None:
        """A stage that is needed has an order, or there is nobody who could be ordered."""
        if is_attended:
            self._unattended_since.pop(service, None)
            return
        since = self._unattended_since.setdefault(service, now)
        self._require(now - since <= UNATTENDED_S, "a stage that is needed gets an order in time")

    def _candidate(self, now: float, backends: Iterable[Backend], heard_at: Mapping[str, float]) -> Backend | None:
        """Who is to change its stage: nobody who is under an order, or was just ordered by another holder."""
        ordered = {order.backend.id for order in self.orders}

        def is_free(name: str) -> bool:
            return name not in ordered and self._intents.is_turn(now, name)

        return self._candidates.choose(now, backends, heard_at, is_free)

    def _begin(self, now: float, service: Service, backend: Backend, stage: Stage) -> None:
        order = BackendOrder(next(self._numbers), now, backend, stage, service.switch_s)
        self._orders[order.number] = order
        logger.info("service {}: {} is to be {}", service.name, backend.id, stage)

    # Sending.

    def _transmit(self, now: float, order: BackendOrder, authority: Authority) -> None:
        """The last look before an order is written."""
        if order.state is not OrderState.CONNECTING:
            return
        if not self._may_send(now, order, authority) or now - order.changed_at > CONNECT_LIMIT_S:
            self._end(now, order, "abandoned")
            return
        self._check_order(now, order, authority)
        expected = self._expected.get(order.backend.id, msgspec.UNSET)
        body = Order(order.stage, self._settings.owner, authority.fence, expected=expected)
        self.counts["sent"] += 1
        order.fence = authority.fence
        self._intents.sent(now, order)
        self._change(now, order, OrderState.SENT)
        self._actions.append(Transmit(order.number, body))

    def _check_order(self, now: float, order: BackendOrder, authority: Authority) -> None:
        others = [one for one in self.orders if one is not order]
        self._require(authority.holds_lease, "orders are sent under the lease only")
        self._require(
            self._may_send(now, order, authority), "an order is recorded, and its backend free, when it is sent"
        )
        self._require(authority.fence >= self._last_fence, "the fence never falls")
        self._require(all(one.backend.id != order.backend.id for one in others), "a backend has one order at a time")
        self._last_fence = max(self._last_fence, authority.fence)

    # What became of an order.

    def _answered(self, now: float, order: BackendOrder, status: int) -> None:
        self.counts[f"answered {status}"] += 1
        if status == OUTDATED_FENCE:
            self._refused_fence = max(self._refused_fence, order.fence)
        if order.state is not OrderState.SENT:
            return
        if status in ACCEPTED:
            self._change(now, order, OrderState.SWITCHING)
        elif status in REFUSED:
            self._pass_over(now, order, REFUSED_S, "refused")
        else:  # a conflict, or an answer that says nothing of the order: the backend's report tells
            self._change(now, order, OrderState.UNKNOWN)

    def _unclear(self, now: float, order: BackendOrder, awaited_in: OrderState) -> None:
        """Nothing came of what an order waited for. After a stall its time may be over already: no news then."""
        if order.state is awaited_in:
            self.counts[f"unclear when {awaited_in.value}"] += 1
            self._change(now, order, OrderState.UNKNOWN)

    def _reported(self, now: float, order: BackendOrder, report: Reported) -> None:
        if order.state is not OrderState.REPORTING:
            return
        self._expected[order.backend.id] = report.orders_taken
        if report.is_busy or report.stage == order.stage:
            self._change(now, order, OrderState.SWITCHING)
        else:
            self._candidates.count_not_taken(order.backend.id)
            self._end(now, order, "not taken")

    def _pass_over(self, now: float, order: BackendOrder, seconds: float, why: str) -> None:
        self._candidates.pass_over(order.backend.id, now + seconds)
        self._end(now, order, why)


def _most_ordered(stages: ServiceStages) -> int:
    """How many backends of a service may be under an order at once."""
    return max(1, sum(stages.counts().values()) // ORDERED_SHARE)
