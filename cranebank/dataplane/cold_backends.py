"""The cold backends that one proxy knows of, and its permits to send to them: the core, free of I/O.

Guarantee, to the services that name a limit: while a backend is told to be cold, a call goes there only under a permit
that is free, and is written within ``PERMIT_SEND_TIMEOUT_S`` of the permit's use or not at all. A permit is free again
``PERMIT_REUSE_INTERVAL_S`` after its use. Who was not reached may come back cold before anybody tells: for a while
others go first.
"""

from __future__ import annotations

from collections.abc import Iterable

from loguru import logger

from cranebank.dataplane.backend_view import BackendView
from cranebank.membership.backends import replace_cold_left
from cranebank.membership.warm_up import PERMIT_REUSE_INTERVAL_S, PERMIT_SEND_TIMEOUT_S, Limits
from cranebank.transport.messages import Backend

COLD_MARGIN_S = 0.15  # longer than told, for what tells it may have been under way
MS_PER_S = 1000.0
NEVER = float("-inf")


class _Permit:
    __slots__ = ("free_at", "valid_until")

    def __init__(self, valid_until: float) -> None:
        self.valid_until, self.free_at = valid_until, NEVER

    def is_free(self, now: float) -> bool:
        return self.free_at <= now < self.valid_until


class _State:
    """Of one backend."""

    __slots__ = ("calls", "cold_until", "doubted_until", "permits")

    def __init__(self) -> None:
        self.cold_until = self.doubted_until = NEVER
        self.permits: list[_Permit] = []
        self.calls = 0  # under permits

    def drop_expired(self, now: float) -> None:
        self.permits = [permit for permit in self.permits if permit.valid_until > now]

    def is_over(self, now: float) -> bool:
        self.drop_expired(now)
        return not self.permits and max(self.cold_until, self.doubted_until) <= now


class ColdBackends:
    """By id; false while none is cold or in doubt, or no service has a limit."""

    def __init__(self) -> None:
        self.limits: Limits = {}
        self._states: dict[str, _State] = {}

    def __bool__(self) -> bool:
        return bool(self._states) and bool(self.limits)

    def observe(self, now: float, record: Backend) -> None:
        """A record says whether its backend is cold, and for how long still."""
        if record.cold_left_ms > 0:
            self._extend(record.id, now + record.cold_left_ms / MS_PER_S)

    def assume_cold(self, now: float, records: Iterable[Backend]) -> None:
        """These backends may be sent to again, and may have turned cold meanwhile."""
        for record in records:
            limit = self.limits.get(record.target)
            if limit is not None:
                self._extend(record.id, now + limit.cold_s)

    def doubt(self, backend: Backend, until: float) -> None:
        """It was not reached, or fell silent: it may be cold when it is back."""
        if backend.target in self.limits:
            state = self._states.setdefault(backend.id, _State())
            state.doubted_until = max(state.doubted_until, until)

    def grant(self, now: float, backend: str, permits: int, valid_until: float) -> None:
        """A controller leases permits, until a time of this proxy's clock."""
        if valid_until > now:
            state = self._states.setdefault(backend, _State())
            state.drop_expired(now)
            state.permits += [_Permit(valid_until) for _ in range(permits)]

    def forget(self, backend: str) -> None:
        """It is over."""
        self._states.pop(backend, None)

    def forget_expired(self, now: float) -> None:
        """Forget what is over."""
        over = [name for name, state in self._states.items() if state.is_over(now)]
        for name in over:
            state = self._states.pop(name)
            if state.calls:
                logger.info("backend {}: {} calls while it was cold", name, state.calls)

    def is_known_cold(self, now: float, backend: Backend) -> bool:
        """Whether a backend of a service with a limit is told to be cold."""
        state = self._states.get(backend.id)
        return state is not None and state.cold_until > now and backend.target in self.limits

    def may_be_cold(self, now: float, view: BackendView) -> bool:
        """Whether others go first, since it may be cold."""
        state = self._states.get(view.backend.id)
        return state is not None and state.doubted_until > now >= state.cold_until

    def refuses(self, now: float, view: BackendView) -> bool:
        """Whether it is told to be cold and no permit is free."""
        if not self.is_known_cold(now, view.backend):
            return False
        return not any(permit.is_free(now) for permit in self._states[view.backend.id].permits)

    def use_permit(self, now: float, backend: Backend) -> float | None:
        """A call goes out to a backend that is told to be cold: until when it may be written, or none without a
        free permit."""
        for permit in self._states[backend.id].permits:
            if permit.is_free(now):
                permit.free_at = now + PERMIT_REUSE_INTERVAL_S
                self._states[backend.id].calls += 1
                return now + PERMIT_SEND_TIMEOUT_S
        return None

    def as_of(self, now: float, record: Backend) -> Backend:
        """The record as it is to be told to others: cold for what is left now, not for what was left once."""
        state = self._states.get(record.id)
        left_s = 0.0 if state is None else max(0.0, state.cold_until - COLD_MARGIN_S - now)
        return replace_cold_left(record, left_s)

    def _extend(self, backend: str, until: float) -> None:
        state = self._states.setdefault(backend, _State())
        state.cold_until = max(state.cold_until, until + COLD_MARGIN_S)
