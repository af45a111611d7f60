"""Backends whose heartbeats ceased (suspects), as this proxy's own calls show them.

Ceased heartbeats are an observation of the controllers. They mean that the backend is dead, or that it is cut off from
the controllers that this proxy hears. What the proxy sees itself is the better evidence: a suspect that has just
answered a call is alive, and one whose call has failed since is not relied on. Where few others are left, a mass of
lost heartbeats is likelier a fault of the control side than of the backends: suspects that failed no call are then
used like ready ones (fail open, as a panic threshold does).
"""

from __future__ import annotations

from cranebank.dataplane.backend_view import BackendView

ANSWER_VOUCHES_S = 3.0  # an answer vouches for so long: less than the time after which a dead backend is lost
MAX_SUSPECT_AGE_S = (
    60.0  # a backend that was lost, and gave no answer, for longer is dead; controllers forget it then too
)
FAIL_OPEN_SHARE = 0.5  # of the backends thought to be alive are ready: with fewer, suspects are used like them

StageKey = tuple[str, str]
"""A service and a stage."""


class Suspects:
    """The suspects of each service and stage, in the order in which they were lost."""

    def __init__(self) -> None:
        self._by_place: dict[StageKey, dict[str, BackendView]] = {}
        self._merged: dict[StageKey, list[BackendView]] = {}  # the list that was made last

    def __bool__(self) -> bool:
        return bool(self._by_place)

    def has_any(self, key: StageKey) -> bool:
        """Whether there is a suspect of this service and stage."""
        return key in self._by_place

    def add(self, key: StageKey, view: BackendView) -> None:
        """Its heartbeats ceased."""
        self._by_place.setdefault(key, {})[view.backend.id] = view

    def remove(self, key: StageKey, backend: str) -> None:
        """It beats again, or is over."""
        suspects = self._by_place.get(key, {})
        suspects.pop(backend, None)
        if not suspects:
            self._by_place.pop(key, None)
            self._merged.pop(key, None)

    def merged(self, now: float, key: StageKey, ready: list[BackendView]) -> list[BackendView]:
        """The ready ones, and the suspects that are used like them; the same list for as long as it holds."""
        if key not in self._by_place:
            return ready
        self._forget(now, key)
        chosen = self._usable_suspects(now, key, ready)
        if not chosen:
            return ready
        merged = ready + chosen
        if self._merged.get(key) != merged:
            self._merged[key] = merged
        return self._merged[key]

    def last_resort(self, now: float, key: StageKey) -> list[BackendView]:
        """Suspects that may be tried for want of any other: also those that failed a call, one call at a time."""
        return [view for view in self._by_place.get(key, {}).values() if is_last_resort(now, view)]

    def _usable_suspects(self, now: float, key: StageKey, ready: list[BackendView]) -> list[BackendView]:
        unfailed = [view for view in self._by_place.get(key, {}).values() if not view.has_failed]
        if not _has_enough_ready(now, ready, len(unfailed)):
            return unfailed
        return [view for view in unfailed if now - view.answered_at <= ANSWER_VOUCHES_S]

    def _forget(self, now: float, key: StageKey) -> None:
        for backend, view in list(self._by_place[key].items()):
            if now - view.lost_at <= MAX_SUSPECT_AGE_S:
                return
            self.remove(key, backend)
            if now - view.answered_at <= MAX_SUSPECT_AGE_S:  # alive since: its minute begins anew
                view.lost_at = view.answered_at
                self.add(key, view)


def _has_enough_ready(now: float, ready: list[BackendView], suspects: int) -> bool:
    """Whether so many are ready and not backed off that so many suspects are left out. It looks at no more of the ready
    ones than it must: there may be thousands."""
    healthy = 0
    for view in ready:
        if healthy >= FAIL_OPEN_SHARE * (healthy + suspects):
            return True
        healthy += view.backoff_until <= now
    return healthy >= FAIL_OPEN_SHARE * (healthy + suspects)


def is_last_resort(now: float, view: BackendView) -> bool:
    """Whether a suspect may be tried where there is no other."""
    return not view.is_replaced and now - view.lost_at <= MAX_SUSPECT_AGE_S and view.backoff_until <= now
