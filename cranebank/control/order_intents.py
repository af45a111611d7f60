"""Which orders to backends the replicated record must name: a core free of I/O.

An order is named there before it is sent, so whoever becomes primary knows every backend that a former primary may have
ordered. Those it leaves alone until none of the former orders can arrive within the rule's lease time of its own first
one; all others it may order at once. Times are a steady clock's seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from cranebank.control.epochs import OrderIntent
from cranebank.control.stage_order import BackendOrder

MOST_INTENTS = 64  # that are named at a time: the record goes out with each ask for the lease

Intents = Mapping[str, str]
"""Stage by the id of the backend that is, or may have been, ordered to it."""


class OrderIntents:
    """One controller's view of the intents that the record names, and of those that it must name."""

    def __init__(self, takeover_wait_s: float) -> None:
        """``takeover_wait_s``: for so long after a takeover, or after an order, another holder's order must not
        follow."""
        self._turn_wait_s = takeover_wait_s
        self._former: Intents | None = {}  # of former primaries; None: they may have ordered any backend
        self._unfollowed: dict[str, str] = {}  # of these, whose fate nobody has looked after yet
        self._turn_at = float("-inf")  # when those may be ordered, too
        self._sent: dict[str, tuple[str, float]] = {}  # by backend: the stage, and until when it must be named

    def begin_term(self, now: float, recorded: Intents | None) -> None:
        """This controller has become primary, and the record names these."""
        self._former, self._turn_at = recorded, now + self._turn_wait_s
        self._unfollowed = dict(recorded or {})
        self._sent = {}

    def is_turn(self, now: float, backend: str) -> bool:
        """Whether no order of a former primary to this backend can be too close to one that is sent now."""
        return now >= self._turn_at or (self._former is not None and backend not in self._former)

    def pop_unfollowed(self, backend: str) -> str | None:
        """The stage to which a former primary may have ordered this backend, told once."""
        return self._unfollowed.pop(backend, None)

    @property
    def unfollowed(self) -> tuple[str, ...]:
        """The backends of which ``pop_unfollowed`` tells something."""
        return tuple(self._unfollowed)

    def sent(self, now: float, order: BackendOrder) -> None:
        """An order goes out now."""
        self._sent[order.backend.id] = order.stage, now + self._turn_wait_s

    def has_room(self, now: float, orders: Iterable[BackendOrder]) -> bool:
        """Whether one more order can be named."""
        return len(self._named(now, orders)) < MOST_INTENTS

    def wanted(self, now: float, orders: Iterable[BackendOrder]) -> tuple[OrderIntent, ...] | None:
        """What the record must name: orders that are not over, and those that were sent lately. None: it must go on
        telling that any backend may have been ordered."""
        if self._former is None and now < self._turn_at:
            return None
        named = self._named(now, orders)
        return tuple(OrderIntent(backend, named[backend]) for backend in sorted(named))

    def _named(self, now: float, orders: Iterable[BackendOrder]) -> dict[str, str]:
        self._sent = {backend: (stage, until) for backend, (stage, until) in self._sent.items() if now < until}
        named = dict(self._former or {}) if now < self._turn_at else {}
        named |= {backend: stage for backend, (stage, _) in self._sent.items()}
        return named | {order.backend.id: order.stage.value for order in orders}
