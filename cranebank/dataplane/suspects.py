"""Suspects (backends whose heartbeats ceased) and how far this proxy's own calls show them to be alive.

Ceased heartbeats are an observation of the controllers. They mean that the backend is dead, or that it is cut off from
the controllers that this proxy hears. This proxy's own calls are better evidence: a suspect that has just answered a
call is alive, and one that has failed a call since is not relied on. Where few other backends are left, a mass of lost
heartbeats is more likely a fault of the control plane than of the backends. Suspects that failed no call are then used
like ready backends (fail open, like a panic threshold).
"""

from __future__ import annotations

from cranebank.dataplane.backend_view import BackendView

# A suspect counts as alive for so long after an answer; less than the time after which a dead backend counts as lost
ALIVE_AFTER_ANSWER_S = 3.0
# A backend that was lost, and gave no answer, for longer is dead; controllers forget it then too
MAX_SUSPECT_AGE_S = 60.0
FAIL_OPEN_SHARE = 0.5  # suspects are used like ready backends if a smaller share of those thought to be alive is ready

StageKey = tuple[str, str]
"""A service and a stage."""


class Suspects:
    """The suspects of each service and stage, in the order in which they were lost."""

    def __init__(self) -> None:
        self._by_stage: dict[StageKey, dict[str, BackendView]] = {}
        self._merged: dict[StageKey, list[BackendView]] = {}  # the list that was returned last

    def __bool__(self) -> bool:
        return bool(self._by_stage)

    def has_any(self, key: StageKey) -> bool:
        """Return whether the service and stage have a suspect."""
        return key in self._by_stage

    def add(self, key: StageKey, view: BackendView) -> None:
        """Add a backend whose heartbeats ceased."""
        self._by_stage.setdefault(key, {})[view.backend.id] = view

    def remove(self, key: StageKey, backend: str) -> None:
        """Remove a backend that sends heartbeats again or has ended."""
        suspects = self._by_stage.get(key, {})
        suspects.pop(backend, None)
        if not suspects:
            self._by_stage.pop(key, None)
            self._merged.pop(key, None)

    def merged(self, now: float, key: StageKey, ready: list[BackendView]) -> list[BackendView]:
        """Return the ready backends and the suspects that are used like them; the same list object while its content is
        the same."""
        if key not in self._by_stage:
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
        """Return the suspects that may be tried if there is no other backend. One that failed a call is tried again
        after its backoff."""
        return [view for view in self._by_stage.get(key, {}).values() if is_last_resort(now, view)]

    def _usable_suspects(self, now: float, key: StageKey, ready: list[BackendView]) -> list[BackendView]:
        unfailed = [view for view in self._by_stage.get(key, {}).values() if not view.has_failed]
        if not _has_enough_ready(now, ready, len(unfailed)):
            return unfailed
        return [view for view in unfailed if now - view.answered_at <= ALIVE_AFTER_ANSWER_S]

    def _forget(self, now: float, key: StageKey) -> None:
        for backend, view in list(self._by_stage[key].items()):
            if now - view.lost_at <= MAX_SUSPECT_AGE_S:
                return
            self.remove(key, backend)
            if now - view.answered_at <= MAX_SUSPECT_AGE_S:  # it was alive since, so its age counts from the answer
                view.lost_at = view.answered_at
                self.add(key, view)


def _has_enough_ready(now: float, ready: list[BackendView], suspects: int) -> bool:
    """Return whether enough ready backends that are not backed off exist to leave out so many suspects. It stops as
    soon as the result is known, as there may be thousands of ready ones."""
    healthy = 0
    for view in ready:
        if healthy >= FAIL_OPEN_SHARE * (healthy + suspects):
            return True
        healthy += view.backoff_until <= now
    return healthy >= FAIL_OPEN_SHARE * (healthy + suspects)


def is_last_resort(now: float, view: BackendView) -> bool:
    """Return whether a suspect may be tried if there is no other backend."""
    return not view.is_replaced and now - view.lost_at <= MAX_SUSPECT_AGE_S and view.backoff_until <= now
