"""Balances backends between the stages of each service by ordering backends to change stage: a core free of I/O.

Only the primary sends orders, under its lease, with its epoch as the fencing number. A fence that a backend refused is
not used again. An order is sent only once the replicated record names it, so that a successor knows which backends it
must not order for a while, and follows up on their orders (``order_intents``). A backend has one order at a time. The
outcome of an order without a clear answer is determined from the backend's report and heartbeats.

The design is explained in docs/stage-orders.md. Times are seconds of a monotonic clock.
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
    ACCEPTED_STATUSES,
    AWAITING_STATES,
    NEXT_STATES,
    OUTDATED_FENCE_STATUS,
    REFUSED_STATUSES,
    BackendOrder,
    OrderState,
)
from cranebank.control.stage_policy import Need, ServiceStages, needed_stage
from cranebank.invariants import record_violation
from cranebank.transport.messages import Backend

CONFIRM_S = 0.5  # how long an urgent need must last: the first heartbeat of a replacement may be in flight
CONFIRM_LOAD_S = 2.0  # how long a need by load must last: a backend that leaves is replaced within a heartbeat
RECORD_TIMEOUT_S = 2.0  # within which the record must name an order, else the order is given up
CONNECT_TIMEOUT_S = 1.0  # within which an order must be connected, else the decision for it is outdated
REPORT_DELAY_S = 1.0  # wait before a report is requested, as a report may be some hundred milliseconds old
UNREACHABLE_BACKOFF_S = 5.0  # how long a backend is excluded after a failed connection
REFUSED_BACKOFF_S = 30.0  # how long a backend is excluded after it refused an order for good
MAX_OBSERVATION_GAP_S = 1.5  # after a longer gap between observations, earlier ones are discarded as outdated
CONCURRENT_ORDERS_DIVISOR = 8  # one in so many of a service's ready backends may be under an order, but at least one
MAX_UNATTENDED_S = 5.0  # longest time that a needed stage may be without an order


class BalancerSettings(msgspec.Struct, frozen=True):
    """Settings of the balancer.

    ``owner`` is this controller's name in its orders; ``takeover_wait_s`` is how long after a takeover it does not
    order backends that a former primary may have ordered; ``beat_s`` is the time between a backend's heartbeats.
    """

    owner: str
    takeover_wait_s: float
    beat_s: float


class StageBalancer:
    """The balancer of one controller. ``handle`` takes events and returns the actions to perform, in order."""

    def __init__(self, settings: BalancerSettings) -> None:
        self._settings = settings
        self._numbers = itertools.count(1)
        self._orders: dict[int, BackendOrder] = {}
        self._orders_taken: dict[str, int] = {}  # number of orders that a backend has accepted, by its last report
        self._candidates = StageCandidates(settings.beat_s)
        self._needed: dict[str, tuple[Need, float]] = {}  # need and its begin, by service
        self._unattended_since: dict[str, float] = {}
        self._term: int | None = None
        self._intents = OrderIntents(settings.takeover_wait_s)
        self._last_fence = -1
        self._refused_fence = -1  # a backend has seen a higher one
        self._observed_at = float("-inf")
        self._actions: list[Action] = []
        self.counts: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()

    @property
    def orders(self) -> tuple[BackendOrder, ...]:
        """Orders that are not over."""
        return tuple(self._orders.values())

    @property
    def needed(self) -> Mapping[str, tuple[Need, float]]:
        """Need of each service, and the time since when."""
        return self._needed

    def intents(self, now: float) -> tuple[OrderIntent, ...] | None:
        """Return the intents that the record must name while this controller is the primary; None: keep the present."""
        return self._intents.wanted(now, self.orders)

    def switching_backends(self, now: float) -> dict[str, float]:
        """Return the backends that are changing stage and run no new requests, with the remaining time at most."""
        ends = {order.backend.id: order.began_at + order.overdue_s for order in self.orders}
        return {name: until - now for name, until in ends.items() if until > now}

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event at a time of the monotonic clock; return the actions to perform, in order."""
        self._actions = []
        if isinstance(event, Observation):
            self._observe(now, event)
        else:
            order = self._orders.get(event.number)
            if order is not None:
                self._handle_order_event(now, order, event)
        return self._actions

    def _handle_order_event(self, now: float, order: BackendOrder, event: Event) -> None:
        match event:
            case Connected(_, authority):
                self._transmit(now, order, authority)
            case NotConnected():
                self._end_and_exclude(now, order, UNREACHABLE_BACKOFF_S, "unreachable")
            case Answered(_, status):
                self._handle_answer(now, order, status)
            case Unanswered():
                self._handle_missing(now, order, OrderState.SENT)
            case Reported():
                self._handle_report(now, order, event)
            case Unreported():
                self._handle_missing(now, order, OrderState.REPORTING)

    def _change(self, now: float, order: BackendOrder, state: OrderState) -> None:
        """Change an order's state. The only function that does so."""
        is_allowed = state in NEXT_STATES[order.state]
        self._require(is_allowed, "an order takes only the steps that it may")
        order.state, order.changed_at = state, now
        if state is OrderState.OVER:
            self._orders.pop(order.number, None)

    def _require(self, condition: bool, invariant: str) -> bool:
        """Count and log a violated invariant; return the condition."""
        if not condition:
            self.violations[invariant] += 1
            record_violation(invariant, "stage balancer")
        return condition

    # Observations.

    def _observe(self, now: float, observation: Observation) -> None:
        if now - self._observed_at > MAX_OBSERVATION_GAP_S:
            self._needed.clear()
            self._unattended_since.clear()
        self._observed_at = now
        self._update_term(now, observation.authority)
        self._adopt_former_orders(now, observation)
        for order in self.orders:
            self._track_order(now, order, observation)
        self._forget(now, observation.records)
        if not observation.authority.holds_lease or not observation.is_registry_current:
            self._needed.clear()
            self._unattended_since.clear()
            return
        by_service = self._by_service(now, observation)
        self._forget_services(by_service.keys())
        for name, stages in by_service.items():
            self._balance_service(now, observation.services[name], stages, observation)

    def _update_term(self, now: float, authority: Authority) -> None:
        """Begin a new term, in which orders of former primaries count; within a term there was no other primary."""
        if authority.holds_lease and authority.term != self._term:
            self._term = authority.term
            self._intents.begin_term(now, authority.recorded)

    def _may_order(self, authority: Authority) -> bool:
        if authority.fence <= self._refused_fence:
            return False
        return authority.holds_lease and authority.term == self._term

    def _may_send(self, now: float, order: BackendOrder, authority: Authority) -> bool:
        """Return whether a successor would know of this order, and no order of a former primary can be in flight."""
        is_recorded = (authority.recorded or {}).get(order.backend.id) == order.stage
        return is_recorded and self._may_order(authority) and self._intents.may_order(now, order.backend.id)

    def _adopt_former_orders(self, now: float, observation: Observation) -> None:
        """Track orders that a former primary may have sent: they may be in progress and their backends switching."""
        if not observation.authority.holds_lease or not observation.is_registry_current:
            return
        ordered = {order.backend.id for order in self.orders}
        for name in self._intents.unresolved:
            stage, record = self._intents.pop_unresolved(name), observation.records.get(name)
            if record is None or record.phase != "ready" or record.stage == stage or name in ordered:
                continue
            service = observation.services.get(record.target)
            if service is None or stage not in set(Stage):
                continue
            order = BackendOrder(next(self._numbers), now, record, Stage(stage), service.switch_s)
            self._orders[order.number] = order
            self._change(now, order, OrderState.UNKNOWN)

    def _track_order(self, now: float, order: BackendOrder, observation: Observation) -> None:
        """Advance an order by its backend's registry record and by its timeouts."""
        record = observation.records.get(order.backend.id)
        if record is None or record.phase != "ready":
            self._end(now, order, "backend left")
        elif record.stage == order.stage and record.call_seq > order.backend.call_seq:
            self._end(now, order, "settled")
        elif order.state is OrderState.INTENDED:
            self._track_intended_order(now, order, observation.authority)
        elif order.state is OrderState.CONNECTING and now - order.changed_at > CONNECT_TIMEOUT_S:
            self._end_and_exclude(now, order, UNREACHABLE_BACKOFF_S, "unreachable")
        elif order.state in AWAITING_STATES and now - order.changed_at >= order.overdue_s:
            self._change(now, order, OrderState.UNKNOWN)
        elif (
            order.state is OrderState.UNKNOWN
            and now - order.changed_at >= REPORT_DELAY_S
            and observation.authority.holds_lease
        ):
            self._change(now, order, OrderState.REPORTING)
            self._actions.append(AskReport(order.number, record))

    def _track_intended_order(self, now: float, order: BackendOrder, authority: Authority) -> None:
        if self._may_send(now, order, authority):
            self._change(now, order, OrderState.CONNECTING)
            self._actions.append(Connect(order.number, order.backend))
        elif now - order.changed_at > RECORD_TIMEOUT_S:
            self._end(now, order, "not recorded")

    def _end(self, now: float, order: BackendOrder, reason: str) -> None:
        self.counts[reason] += 1
        self._change(now, order, OrderState.OVER)

    def _forget(self, now: float, records: Mapping[str, Backend]) -> None:
        """Drop the state of backends that are no longer in the registry."""
        self._orders_taken = {name: taken for name, taken in self._orders_taken.items() if name in records}
        self._candidates.forget(now, records)

    def _forget_services(self, present: Set[str]) -> None:
        """Drop the needs of services without backends or routes: they are outdated when the service returns."""
        for name in self._needed.keys() - present:
            del self._needed[name]
            self._unattended_since.pop(name, None)

    # Decisions.

    def _balance_service(
        self,
        now: float,
        service: Service,
        stages: ServiceStages,
        observation: Observation,
    ) -> None:
        """Order a backend if a stage of the service has needed one for long enough."""
        load = observation.loads.get(service.name)
        need = needed_stage(stages, load)
        if need is None:
            self._unattended_since.pop(service.name, None)
            if not self._orders_in_progress(now, service.name):  # else the need returns if the order in progress fails
                self._needed.pop(service.name, None)
            return
        known = self._needed.get(service.name)
        if known is None or known[0] != need:
            known = self._needed[service.name] = need, now
        candidate = None
        if self._may_order(observation.authority) and self._may_order_another(now, service.name, stages, need):
            candidate = self._choose_candidate(now, stages.of(need.stage.other), observation.heard_at)
        self._check_attended(now, service.name, candidate is None or not need.is_urgent)
        if candidate is not None and now - known[1] >= (CONFIRM_S if need.is_urgent else CONFIRM_LOAD_S):
            logger.info("service {}: {} backends by stage, load {}", service.name, stages.counts(), load)
            self._begin(now, service, candidate, need.stage)
            self._check_share(now, service.name, stages, need)

    def _may_order_another(self, now: float, service: str, stages: ServiceStages, need: Need) -> bool:
        """Return whether another backend of the service may be ordered now.

        Only a share of a service's backends is under orders at a time. An urgent need does not wait for an order to the
        other stage.
        """
        in_progress = self._orders_in_progress(now, service)
        if need.is_urgent:
            return all(order.stage is not need.stage for order in in_progress)
        return len(in_progress) < _max_concurrent_orders(stages) and self._intents.has_room(now, self.orders)

    def _orders_in_progress(self, now: float, service: str) -> list[BackendOrder]:
        return [order for order in self.orders if order.backend.target == service and order.blocks(now)]

    def _check_share(self, now: float, service: str, stages: ServiceStages, need: Need) -> None:
        in_progress = self._orders_in_progress(now, service)
        if need.is_urgent:
            to_stage = sum(order.stage is need.stage for order in in_progress)
            self._require(to_stage == 1, "an empty stage gets one order at a time")
        else:
            is_within_share = len(in_progress) <= _max_concurrent_orders(stages)
            self._require(is_within_share, "no more than a share of a service is ordered at once")

    def _by_service(self, now: float, observation: Observation) -> dict[str, ServiceStages]:
        """Return the ready backends of each routed service; a backend under an order counts for its new stage."""
        expected = {order.backend.id: order.stage for order in self.orders if order.blocks(now)}
        found: dict[str, ServiceStages] = {}
        for record in observation.records.values():
            if record.phase == "ready" and record.target in observation.services:
                stages = found.get(record.target)
                if stages is None:
                    stages = found[record.target] = ServiceStages()
                stages.add(record, expected.get(record.id))
        return found

    def _check_attended(self, now: float, service: str, is_attended: bool) -> None:
        """Check that a needed stage gets an order in time, unless no backend can be ordered."""
        if is_attended:
            self._unattended_since.pop(service, None)
            return
        since = self._unattended_since.setdefault(service, now)
        self._require(now - since <= MAX_UNATTENDED_S, "a stage that is needed gets an order in time")

    def _choose_candidate(
        self, now: float, backends: Iterable[Backend], heard_at: Mapping[str, float]
    ) -> Backend | None:
        """Return the backend to order, if any: none under an order or recently ordered by another lease holder."""
        ordered = {order.backend.id for order in self.orders}

        def is_free(name: str) -> bool:
            return name not in ordered and self._intents.may_order(now, name)

        return self._candidates.choose(now, backends, heard_at, is_free)

    def _begin(self, now: float, service: Service, backend: Backend, stage: Stage) -> None:
        order = BackendOrder(next(self._numbers), now, backend, stage, service.switch_s)
        self._orders[order.number] = order
        logger.info("service {}: ordering backend {} to stage {}", service.name, backend.id, stage)

    # Sending.

    def _transmit(self, now: float, order: BackendOrder, authority: Authority) -> None:
        """Check the authority for an order again and write it."""
        if order.state is not OrderState.CONNECTING:
            return
        if not self._may_send(now, order, authority) or now - order.changed_at > CONNECT_TIMEOUT_S:
            self._end(now, order, "abandoned")
            return
        self._check_order(now, order, authority)
        expected = self._orders_taken.get(order.backend.id, msgspec.UNSET)
        body = Order(order.stage, self._settings.owner, authority.fence, expected=expected)
        self.counts["sent"] += 1
        order.fence = authority.fence
        self._intents.sent(now, order)
        self._change(now, order, OrderState.SENT)
        self._actions.append(Transmit(order.number, body))

    def _check_order(self, now: float, order: BackendOrder, authority: Authority) -> None:
        others = [other for other in self.orders if other is not order]
        self._require(authority.holds_lease, "orders are sent under the lease only")
        self._require(
            self._may_send(now, order, authority), "an order is recorded, and its backend free, when it is sent"
        )
        self._require(authority.fence >= self._last_fence, "the fence never falls")
        self._require(
            all(other.backend.id != order.backend.id for other in others), "a backend has one order at a time"
        )
        self._last_fence = max(self._last_fence, authority.fence)

    # Outcome of orders.

    def _handle_answer(self, now: float, order: BackendOrder, status: int) -> None:
        self.counts[f"answered {status}"] += 1
        if status == OUTDATED_FENCE_STATUS:
            self._refused_fence = max(self._refused_fence, order.fence)
        if order.state is not OrderState.SENT:
            return
        if status in ACCEPTED_STATUSES:
            self._change(now, order, OrderState.SWITCHING)
        elif status in REFUSED_STATUSES:
            self._end_and_exclude(now, order, REFUSED_BACKOFF_S, "refused")
        else:  # a conflict, or an answer that leaves the outcome open: the backend's report shows it
            self._change(now, order, OrderState.UNKNOWN)

    def _handle_missing(self, now: float, order: BackendOrder, expected_state: OrderState) -> None:
        """Handle a missing answer or report, unless the order has already timed out in this state after a stall."""
        if order.state is expected_state:
            self.counts[f"unclear when {expected_state.value}"] += 1
            self._change(now, order, OrderState.UNKNOWN)

    def _handle_report(self, now: float, order: BackendOrder, report: Reported) -> None:
        if order.state is not OrderState.REPORTING:
            return
        self._orders_taken[order.backend.id] = report.orders_taken
        if report.is_busy or report.stage == order.stage:
            self._change(now, order, OrderState.SWITCHING)
        else:
            self._candidates.count_not_taken(order.backend.id)
            self._end(now, order, "not taken")

    def _end_and_exclude(self, now: float, order: BackendOrder, seconds: float, reason: str) -> None:
        self._candidates.exclude(order.backend.id, now + seconds)
        self._end(now, order, reason)


def _max_concurrent_orders(stages: ServiceStages) -> int:
    """Return how many backends of a service may be under an order at once."""
    return max(1, sum(stages.counts().values()) // CONCURRENT_ORDERS_DIVISOR)
