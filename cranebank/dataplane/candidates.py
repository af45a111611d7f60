"""The backends that requests may be sent to, by service and stage: ready ones, and suspects where that is better."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Set

from cranebank.dataplane.backend_view import BackendView
from cranebank.dataplane.cold_backends import ColdBackends
from cranebank.dataplane.suspects import StageKey, Suspects, is_last_resort
from cranebank.invariants import invariant_error, record_violation
from cranebank.membership.backends import newer
from cranebank.transport.messages import Backend

MAX_REMEMBERED_GONE = 4096  # ended backends that are remembered, so that stale records do not bring them back
MAX_REMEMBERED_LOST = 8192  # lost backends that are remembered: a large fleet may lose all of them at once
EMPTY_CHECK_INTERVAL_S = 0.1  # between two checks of an empty list against all backends
BACKOFF_S = (0.5, 8.0)  # first and longest time for which a backend is avoided after a failed call
# After the backoff, a backend that was not reached may be cold for so long; by then its next heartbeat reports it
COLD_DOUBT_S = 1.5


def _stage_key(backend: Backend) -> StageKey:
    return backend.target, backend.stage


class Candidates:
    """All known backends; the ready ones by service and stage."""

    def __init__(self) -> None:
        self.records: dict[str, Backend] = {}
        self.views: dict[str, BackendView] = {}
        self._ready: dict[StageKey, list[BackendView]] = {}
        self._suspects = Suspects()
        self._last_served_by: dict[str, str] = {}  # address: id of the backend last known to serve there
        self.version = 0  # rises with every change of the ready backends or suspects of a stage
        self._next_check_at = float("-inf")
        self.cold = ColdBackends()
        self._avoided: set[str] = set()  # backends that failed lately or are held off
        self._gone: dict[str, None] = {}
        self._lost: dict[str, None] = {}
        self._evacuated_zones: frozenset[str] = frozenset()
        self._evacuated: dict[str, BackendView] = {}  # backends there that would be ready or suspects
        # Whether no controller that knows the state in force is reachable
        self.has_lost_contact: Callable[[], bool] = lambda: False

    def merge(self, records: Iterable[Backend], now: float = 0.0) -> list[str]:
        """Merge records from any source; return the ids of backends that have ended."""
        ended_ids: list[str] = []
        for record in records:
            self._record_cold(now, record)
            if record.id in self._gone or not newer(self.records.get(record.id), record):
                continue
            if record.phase == "gone":
                ended_ids.append(record.id)
                self._forget(record.id)
                self._gone[record.id] = None
                while len(self._gone) > MAX_REMEMBERED_GONE:
                    del self._gone[next(iter(self._gone))]
            else:
                self._replace(record, now)
        while len(self._lost) > MAX_REMEMBERED_LOST:
            oldest = next(iter(self._lost))
            ended_ids.append(oldest)
            self._forget(oldest)
        return ended_ids

    def _record_cold(self, now: float, record: Backend) -> None:
        """Record how long the backend stays cold. A record that is not new may still be the first one to report it."""
        known = self.records.get(record.id)
        is_current = known is None or record.call_seq >= known.call_seq
        if record.cold_left_ms > 0 and is_current and record.phase != "gone" and record.id not in self._gone:
            self.cold.observe(now, record)

    def _replace(self, record: Backend, now: float) -> None:
        self.records[record.id] = record
        known = self.views.get(record.id)
        if known is None:
            known = self.views[record.id] = BackendView(record)
            self._add(known, now)
        elif (known.backend.phase, *_stage_key(known.backend)) == (record.phase, *_stage_key(record)):
            known.backend = record
        else:
            self._remove(known)
            known.backend, known.held_until = record, 0.0
            self._add(known, now)
        self._lost.pop(record.id, None)
        if record.phase == "lost":
            self._lost[record.id] = None

    def _forget(self, backend: str) -> None:
        self.records.pop(backend, None)
        self._lost.pop(backend, None)
        self._avoided.discard(backend)
        self.cold.forget(backend)
        ended = self.views.pop(backend, None)
        if ended is None:
            return
        self._remove(ended)
        if self._last_served_by.get(ended.backend.address) == backend:
            del self._last_served_by[ended.backend.address]

    def _add(self, view: BackendView, now: float) -> None:
        backend = view.backend
        if backend.phase == "ready":
            self._take_address(view)
        elif backend.phase == "lost":
            view.lost_at = now
            view.is_replaced = self._last_served_by.get(backend.address, backend.id) != backend.id
        self._insert(view)

    def _insert(self, view: BackendView) -> None:
        backend, key = view.backend, _stage_key(view.backend)
        is_suspect = backend.phase == "lost" and not view.is_replaced
        if backend.zone in self._evacuated_zones:
            if backend.phase == "ready" or is_suspect:
                self._evacuated[backend.id] = view
        elif backend.phase == "ready":
            self._ready.setdefault(key, []).append(view)
        elif is_suspect:
            self._suspects.add(key, view)
        self.version += 1

    def _take_address(self, view: BackendView) -> None:
        """Record that the backend serves at its address. A suspect that served there before is dead."""
        backend = view.backend
        before = self.views.get(self._last_served_by.get(backend.address, ""))
        self._last_served_by[backend.address] = backend.id
        view.is_replaced = False
        if before is not None and before is not view and before.backend.phase == "lost":
            before.is_replaced = True
            self._evacuated.pop(before.backend.id, None)
            self._suspects.remove(_stage_key(before.backend), before.backend.id)

    def _remove(self, view: BackendView) -> None:
        key = _stage_key(view.backend)
        if self._evacuated.pop(view.backend.id, None) is not None:
            pass
        elif view.backend.phase == "ready":
            self._ready[key].remove(view)
            if not self._ready[key]:
                del self._ready[key]
        elif view.backend.phase == "lost":
            self._suspects.remove(key, view.backend.id)
        self.version += 1

    def evacuate(self, now: float, zones: frozenset[str]) -> None:
        """Stop sending to the backends of these zones, and resume sending to those of all others."""
        returned = self._evacuated_zones - zones
        moved = [view for view in self.views.values() if view.backend.zone in self._evacuated_zones ^ zones]
        for view in moved:
            self._remove(view)
        self._evacuated_zones = zones
        for view in moved:
            self._insert(view)
        if returned:
            self.restore_zones(now, returned)

    def is_evacuated(self, backend: Backend) -> bool:
        """Return whether the backend's zone is evacuated, so that nothing may be sent there."""
        return backend.zone in self._evacuated_zones

    def known(self, now: float = 0.0) -> tuple[Backend, ...]:
        """Return all records, to restore a controller that has lost its state."""
        return tuple(self.cold.as_of(now, record) for record in self.records.values())

    def may_take(self, backend: str) -> bool:
        """Return whether a request may be sent to this backend now: it is neither draining nor ended, nor in a zone
        that is known to be still evacuated."""
        record = self.records.get(backend)
        if record is None or record.phase not in {"ready", "lost"}:
            return False
        return not self.is_evacuated(record) or self.has_lost_contact()

    def may_begin(self, now: float, view: BackendView) -> bool:
        """Return whether a call to this backend may begin now. A cold backend needs a free permit."""
        return self.may_take(view.backend.id) and not (self.cold and self.cold.refuses(now, view))

    def begin_call(self, now: float, view: BackendView) -> float:
        """Record that a call to this backend is sent. Return the time until which it may be written if the backend is
        cold, by the permit that the call uses; otherwise 0."""
        if not self.cold or not self.cold.is_known_cold(now, view.backend):
            return 0.0
        permitted_until = self.cold.use_permit(now, view.backend)
        if permitted_until is None:
            raise invariant_error("a cold backend is sent to under a permit", view.backend.id)
        return permitted_until

    def may_write(self, now: float, backend: Backend, permitted_until: float) -> bool:
        """Return whether a call that was begun earlier may be written now: the backend has not become cold since, or
        the call's permit is still valid."""
        if not self.may_take(backend.id):
            return False
        return not self.cold or now <= permitted_until or not self.cold.is_known_cold(now, backend)

    def restore_zones(self, now: float, zones: Set[str]) -> None:
        """Use these zones again after an evacuation."""
        self.cold.assume_cold(now, [record for record in self.records.values() if record.zone in zones])
        self.version += 1

    def ready(self, now: float, service: str, stage: str, without: Set[str] = frozenset()) -> list[BackendView]:
        """Return the backends to choose from; the list must not be changed. Backends that failed recently are left out,
        unless all did.

        Invariant: the list is empty only if no backend of the service and stage is ready, or lost and not backed off.
        Backends in ``without``, in evacuated zones, or cold without a free permit do not count.
        """
        key = (service, stage)
        backends = self._ready.get(key, [])
        if self._suspects:
            backends = self._suspects.merged(now, key, backends)
        if self._avoided:
            self._avoided = {name for name in self._avoided if self.views[name].is_avoided(now)}
        if self.cold:
            self.cold.forget_expired(now)
        if without or self._avoided or self.cold:
            backends = self._usable(now, backends, without)
            backends = [view for view in backends if not view.is_avoided(now)] or backends
        if self.cold:
            backends = [view for view in backends if not self.cold.may_be_cold(now, view)] or backends
        if not backends:
            backends = self._usable(now, self._suspects.last_resort(now, key), without)
        if self._evacuated and self._may_be_cut_off(key):
            backends = self._usable(now, self._ready_in_evacuated_zones(key), without) or backends
        if not backends:
            self._check_empty(now, key, without)
        return backends

    def _may_be_cut_off(self, key: StageKey) -> bool:
        """Return whether no controller that knows the state in force is reachable and half of the other zones' backends
        have failed a call since their last answer. The evacuated zone may then be all that this proxy can reach."""
        if not self.has_lost_contact():
            return False
        others = self._ready.get(key, [])
        return 2 * sum(view.has_failed for view in others) >= len(others)

    def _ready_in_evacuated_zones(self, key: StageKey) -> list[BackendView]:
        return [
            view
            for view in self._evacuated.values()
            if _stage_key(view.backend) == key and view.backend.phase == "ready"
        ]

    def _usable(self, now: float, backends: list[BackendView], without: Set[str]) -> list[BackendView]:
        backends = [view for view in backends if view.backend.id not in without]
        return [view for view in backends if not self.cold.refuses(now, view)] if self.cold else backends

    def _check_empty(self, now: float, key: StageKey, without: Set[str]) -> None:
        """Check the invariant of ``ready`` against all backends. There may be thousands, so the rate is limited."""
        if now < self._next_check_at:
            return
        self._next_check_at = now + EMPTY_CHECK_INTERVAL_S
        if any(
            _stage_key(view.backend) == key and self._may_be_tried(now, view)
            for view in self._usable(now, list(self.views.values()), without)
        ):
            record_violation("nobody is passed over where a backend may be tried", f"{key}")

    def _may_be_tried(self, now: float, view: BackendView) -> bool:
        phase = view.backend.phase
        if self.is_evacuated(view.backend):
            return False
        return phase == "ready" or (phase == "lost" and is_last_resort(now, view))

    def has_any(self, service: str, stage: str) -> bool:
        """Return whether the service and stage have a ready backend or a suspect, backed off or not."""
        return (service, stage) in self._ready or self._suspects.has_any((service, stage))

    def count(self, service: str, stage: str) -> int:
        """Return the number of ready backends, backed off or not."""
        return len(self._ready.get((service, stage), ()))

    def stages_with_ready(self) -> frozenset[tuple[str, str]]:
        """Return the services and stages that have a ready backend, backed off or not."""
        return frozenset(self._ready)

    def any_ready(self) -> bool:
        """Return whether there is any backend to send to, including suspects and those of evacuated zones."""
        return any(self._ready.values()) or bool(self._suspects) or bool(self._evacuated)

    def failed(self, now: float, backend: str, may_be_down: bool = False) -> None:
        """Record that a call got no answer or that the backend could not be reached. ``may_be_down``: it may be
        restarting, and then come back cold."""
        view = self.views.get(backend)
        if view is None:
            return
        if view.backoff_until <= now:
            view.backoff_s = min(max(2 * view.backoff_s, BACKOFF_S[0]), BACKOFF_S[1])
            view.backoff_until = now + view.backoff_s
            self._avoided.add(backend)
        if may_be_down:
            self.cold.doubt(view.backend, view.backoff_until + COLD_DOUBT_S)

    def answered(self, now: float, backend: str) -> None:
        """Record that the backend has answered."""
        view = self.views.get(backend)
        if view is not None:
            view.answered_at = now
            view.backoff_until = view.backoff_s = 0.0
            if view.held_until <= now:
                self._avoided.discard(backend)

    def hold_off(self, now: float, backend: str, seconds: float) -> None:
        """Avoid a backend that is about to change its stage, for so many seconds or until its new stage is known."""
        view = self.views.get(backend)
        if view is not None:
            view.held_until = now + seconds
            self._avoided.add(backend)
