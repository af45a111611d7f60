"""The order to one backend to change its stage: its states, and how long it may last. No clock, no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from cranebank.control.stage_events import Stage
from cranebank.transport.messages import Backend

FINISH_S = 10.0  # for what runs at a backend to reach its end before the switch begins


class OrderState(Enum):
    """Of the order to one backend; a backend without one is idle."""

    INTENDED = "intended"  # a successor does not know of it yet: nothing may be sent
    CONNECTING = "connecting"  # the replicated record names it; nothing was sent
    SENT = "sent"  # no answer yet
    UNKNOWN = "unknown"  # it may have been taken
    REPORTING = "reporting"  # the backend is asked what became of it
    SWITCHING = "switching"  # it was taken; the heartbeats show the old stage still
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

AWAITED = frozenset({OrderState.SENT, OrderState.REPORTING, OrderState.SWITCHING})
ACCEPTED = frozenset({200, 202})  # it holds already, or is being done
OUTDATED_FENCE = 412  # the backend has seen a higher one: another controller has become primary since
REFUSED = frozenset({400, 404, 405, OUTDATED_FENCE, 421})  # it was not taken, and would not be if it were sent again


class BackendOrder:
    """The order to one backend, from the decision until the backend shows its new stage."""

    __slots__ = ("backend", "began_at", "changed_at", "fence", "number", "stage", "state", "switch_s")

    def __init__(self, number: int, now: float, backend: Backend, stage: Stage, switch_s: float) -> None:
        self.number, self.backend, self.stage, self.switch_s = number, backend, stage, switch_s
        self.state = OrderState.INTENDED
        self.fence = -1  # that it was sent with
        self.began_at = self.changed_at = now

    @property
    def overdue_s(self) -> float:
        """After so long a switch should be over."""
        return self.switch_s + FINISH_S

    def blocks(self, now: float) -> bool:
        """Whether no other backend of the service is ordered meanwhile."""
        return now - self.began_at < self.overdue_s
