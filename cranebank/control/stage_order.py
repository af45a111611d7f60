"""States and time limits of an order to a backend to change its stage. No clock, no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from cranebank.control.stage_events import Stage
from cranebank.transport.messages import Backend

DRAIN_TIMEOUT_S = 10.0  # for running requests of a backend to finish before it switches


class OrderState(Enum):
    """State of an order to a backend; a backend without an order is idle."""

    INTENDED = "intended"  # not in the replicated record yet, so a successor would not know it: must not be sent
    CONNECTING = "connecting"  # named by the replicated record, not sent
    SENT = "sent"  # not answered yet
    UNKNOWN = "unknown"  # the backend may have accepted it
    REPORTING = "reporting"  # the backend's report was requested to learn the outcome
    SWITCHING = "switching"  # accepted; the heartbeats still show the old stage
    OVER = "over"


NEXT_STATES: Mapping[OrderState, frozenset[OrderState]] = {
    OrderState.INTENDED: frozenset({OrderState.CONNECTING, OrderState.UNKNOWN, OrderState.OVER}),
    OrderState.CONNECTING: frozenset({OrderState.SENT, OrderState.OVER}),
    OrderState.SENT: frozenset({OrderState.SWITCHING, OrderState.UNKNOWN, OrderState.OVER}),
    OrderState.UNKNOWN: frozenset({OrderState.REPORTING, OrderState.OVER}),
    OrderState.REPORTING: frozenset({OrderState.SWITCHING, OrderState.UNKNOWN, OrderState.OVER}),
    OrderState.SWITCHING: frozenset({OrderState.UNKNOWN, OrderState.OVER}),
    OrderState.OVER: frozenset(),
}

AWAITING_STATES = frozenset({OrderState.SENT, OrderState.REPORTING, OrderState.SWITCHING})
ACCEPTED_STATUSES = frozenset({200, 202})  # the backend has this stage already, or switches to it
OUTDATED_FENCE_STATUS = 412  # the backend has seen a higher fence: another controller has become primary since
REFUSED_STATUSES = frozenset({400, 404, 405, OUTDATED_FENCE_STATUS, 421})  # refused, and a repetition would be, too


class BackendOrder:
    """The order to one backend, from the decision until the backend shows its new stage."""

    __slots__ = ("backend", "began_at", "changed_at", "fence", "number", "stage", "state", "switch_s")

    def __init__(self, number: int, now: float, backend: Backend, stage: Stage, switch_s: float) -> None:
        self.number, self.backend, self.stage, self.switch_s = number, backend, stage, switch_s
        self.state = OrderState.INTENDED
        self.fence = -1  # with which the order was sent
        self.began_at = self.changed_at = now

    @property
    def overdue_s(self) -> float:
        """Seconds within which a switch should be complete."""
        return self.switch_s + DRAIN_TIMEOUT_S

    def blocks(self, now: float) -> bool:
        """Return whether this order still counts against the concurrent orders of its service."""
        return now - self.began_at < self.overdue_s
