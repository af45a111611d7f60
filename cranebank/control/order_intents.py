"""Intents: the orders to backends that the replicated record must name. A core free of I/O.

An order is named in the record before it is sent, so a new primary knows every backend that a former primary may have
ordered. It does not order these until no former order can arrive within the rule's lease time of its own first one; all
other backends it may order at once. Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cranebank.control.epochs import OrderIntent
from cranebank.control.stage_order import BackendOrder

MAX_INTENTS = 64  # named at a time: the record is sent with each lease request

Intents = Mapping[str, str]
"""Stage to which a backend is or may have been ordered, by the backend's id."""


class OrderIntents:
    """One controller's view of the intents that the record names and of those that it must name."""

    def __init__(self, takeover_wait_s: float) -> None:
        """Create it; another holder's order must not follow within ``takeover_wait_s`` of a takeover or an order."""
        self._takeover_wait_s = takeover_wait_s
        self._former_orders: Intents | None = {}  # of former primaries; None: they may have ordered any backend
        self._unresolved: dict[str, str] = {}  # former orders whose outcome has not been followed up yet
        self._former_orders_until = float("-inf")  # from then on their backends may be ordered, too
        self._sent: dict[str, tuple[str, float]] = {}  # stage, and time until which the record must name it

    def begin_term(self, now: float, recorded: Intents | None) -> None:
        """Begin a term as primary with the intents that the record names."""
        self._former_orders, self._former_orders_until = recorded, now + self._takeover_wait_s
        self._unresolved = dict(recorded or {})
        self._sent = {}

    def may_order(self, now: float, backend: str) -> bool:
        """Return whether an order sent now keeps its distance from any order of a former primary to this backend."""
        return now >= self._former_orders_until or (
            self._former_orders is not None and backend not in self._former_orders
        )

    def pop_unresolved(self, backend: str) -> str | None:
        """Return, once, the stage to which a former primary may have ordered this backend."""
        return self._unresolved.pop(backend, None)

    @property
    def unresolved(self) -> tuple[str, ...]:
        """Backends for which ``pop_unresolved`` returns a stage."""
        return tuple(self._unresolved)

    def sent(self, now: float, order: BackendOrder) -> None:
        """Record that an order is sent now."""
        self._sent[order.backend.id] = order.stage, now + self._takeover_wait_s

    def has_room(self, now: float, orders: Iterable[BackendOrder]) -> bool:
        """Return whether the record can name one more order."""
        return len(self._named(now, orders)) < MAX_INTENTS

    def wanted(self, now: float, orders: Iterable[BackendOrder]) -> tuple[OrderIntent, ...] | None:
        """Return the intents that the record must name: orders that are not over, and those sent recently.

        None: the record must continue to state that any backend may have been ordered.
        """
        if self._former_orders is None and now < self._former_orders_until:
            return None
        named = self._named(now, orders)
        return tuple(OrderIntent(backend, named[backend]) for backend in sorted(named))

    def _named(self, now: float, orders: Iterable[BackendOrder]) -> dict[str, str]:
        self._sent = {backend: (stage, until) for backend, (stage, until) in self._sent.items() if now < until}
        named = dict(self._former_orders or {}) if now < self._former_orders_until else {}
        named |= {backend: stage for backend, (stage, _) in self._sent.items()}
        return named | {order.backend.id: order.stage.value for order in orders}
