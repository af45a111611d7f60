"""The cold backends that one proxy knows of, and its permits to send to them. Free of I/O.

Guarantee, for services with a warm-up limit: while a backend is known to be cold, a call is sent to it only under a
free permit, and is written within ``PERMIT_SEND_TIMEOUT_S`` of the permit's use or not at all. A permit is free again
``PERMIT_REUSE_INTERVAL_S`` after its use. A backend that was not reached may have restarted and be cold before its
heartbeat reports it, so others are preferred for a while.
"""

from __future__ import annotations

from collections.abc import Iterable

from loguru import logger

from cranebank.dataplane.backend_view import BackendView
from cranebank.membership.backends import replace_cold_left
from cranebank.membership.warm_up import PERMIT_REUSE_INTERVAL_S, PERMIT_SEND_TIMEOUT_S, Limits
from cranebank.transport.messages import Backend

COLD_MARGIN_S = 0.15  # added to the reported time, as the report may have been delayed
MS_PER_S = 1000.0
NEVER = float("-inf")


class _Permit:
    __slots__ = ("free_at", "valid_until")

    def __init__(self, valid_until: float) -> None:
        self.valid_until, self.free_at = valid_until, NEVER

    def is_free(self, now: float) -> bool:
        return self.free_at <= now < self.valid_until


class _ColdState:
    """The permits of one backend, and until when it is or may be cold."""

    __slots__ = ("calls", "cold_until", "doubted_until", "permits")

    def __init__(self) -> None:
        self.cold_until = self.doubted_until = NEVER
        self.permits: list[_Permit] = []
        self.calls = 0  # under permits

    def drop_expired(self, now: float) -> None:
        self.permits = [permit for permit in self.permits if permit.valid_until > now]

    def is_expired(self, now: float) -> bool:
        self.drop_expired(now)
        return not self.permits and max(self.cold_until, self.doubted_until) <= now


class ColdBackends:
    """Cold backends by id. False while none is cold or may be, or no service has a limit."""

    def __init__(self) -> None:
        self.limits: Limits = {}
        self._states: dict[str, _ColdState] = {}

    def __bool__(self) -> bool:
        return bool(self._states) and bool(self.limits)

    def observe(self, now: float, record: Backend) -> None:
        """Record for how long a backend is still cold, as its record reports."""
        if record.cold_left_ms > 0:
            self._extend(record.id, now + record.cold_left_ms / MS_PER_S)

    def assume_cold(self, now: float, records: Iterable[Backend]) -> None:
        """Assume that these backends, used again after an evacuation, have become cold meanwhile."""
        for record in records:
            limit = self.limits.get(record.target)
            if limit is not None:
                self._extend(record.id, now + limit.cold_s)

    def doubt(self, backend: Backend, until: float) -> None:
        """Record that a backend was not reached or fell silent, so that it may be cold when it is back."""
        if backend.target in self.limits:
            state = self._states.setdefault(backend.id, _ColdState())
            state.doubted_until = max(state.doubted_until, until)

    def grant(self, now: float, backend: str, permits: int, valid_until: float) -> None:
        """Add permits that a controller has leased, until a time on this proxy's clock."""
        if valid_until > now:
            state = self._states.setdefault(backend, _ColdState())
            state.drop_expired(now)
            state.permits += [_Permit(valid_until) for _ in range(permits)]

    def forget(self, backend: str) -> None:
        """Forget a backend that has ended."""
        self._states.pop(backend, None)

    def forget_expired(self, now: float) -> None:
        """Forget the backends that are neither cold nor may be."""
        expired = [name for name, state in self._states.items() if state.is_expired(now)]
        for name in expired:
            state = self._states.pop(name)
            if state.calls:
                logger.info("backend {}: {} calls while it was cold", name, state.calls)

    def is_known_cold(self, now: float, backend: Backend) -> bool:
        """Return whether a backend of a service with a limit is known to be cold."""
        state = self._states.get(backend.id)
        return state is not None and state.cold_until > now and backend.target in self.limits

    def may_be_cold(self, now: float, view: BackendView) -> bool:
        """Return whether others are preferred to a backend, since it may be cold."""
        state = self._states.get(view.backend.id)
        return state is not None and state.doubted_until > now >= state.cold_until

    def refuses(self, now: float, view: BackendView) -> bool:
        """Return whether the backend is known to be cold and no permit is free."""
        if not self.is_known_cold(now, view.backend):
            return False
        return not any(permit.is_free(now) for permit in self._states[view.backend.id].permits)

    def use_permit(self, now: float, backend: Backend) -> float | None:
        """Use a permit for a call to a backend that is known to be cold. Return until when the call may be written, or
        None if no permit is free."""
        for permit in self._states[backend.id].permits:
            if permit.is_free(now):
                permit.free_at = now + PERMIT_REUSE_INTERVAL_S
                self._states[backend.id].calls += 1
                return now + PERMIT_SEND_TIMEOUT_S
        return None

    def as_of(self, now: float, record: Backend) -> Backend:
        """Return the record as it is sent to others, with the time for which the backend is still cold now."""
        state = self._states.get(record.id)
        left_s = 0.0 if state is None else max(0.0, state.cold_until - COLD_MARGIN_S - now)
        return replace_cold_left(record, left_s)

    def _extend(self, backend: str, until: float) -> None:
        state = self._states.setdefault(backend, _ColdState())
        state.cold_until = max(state.cold_until, until + COLD_MARGIN_S)
