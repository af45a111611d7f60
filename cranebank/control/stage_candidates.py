"""Choice of the backend to order to another stage, by the outcome of earlier orders: free of I/O.

Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from cranebank.transport.messages import Backend

# Only a backend heard within so many heartbeat intervals plus the margin is ordered.
HEARD_BEATS, HEARD_MARGIN_S = 2.0, 1.0


class StageCandidates:
    """History of backends that could not be reached, refused an order or did not accept one."""

    def __init__(self, beat_s: float) -> None:
        """Create an empty history; ``beat_s`` is the time between a backend's heartbeats."""
        self._heard_within_s = HEARD_BEATS * beat_s + HEARD_MARGIN_S
        self._not_taken: Counter[str] = Counter()  # orders that a backend did not accept, as it reported
        self._excluded_until: dict[str, float] = {}

    def exclude(self, backend: str, until: float) -> None:
        """Exclude a backend from the choice until this time."""
        self._excluded_until[backend] = until

    def count_not_taken(self, backend: str) -> None:
        """Count an order that this backend did not accept."""
        self._not_taken[backend] += 1

    def forget(self, now: float, records: Mapping[str, Backend]) -> None:
        """Drop the history of backends that are no longer in the registry."""
        self._not_taken = Counter({name: times for name, times in self._not_taken.items() if name in records})
        self._excluded_until = {name: until for name, until in self._excluded_until.items() if until > now}

    def choose(
        self, now: float, backends: Iterable[Backend], heard_at: Mapping[str, float], is_free: Callable[[str], bool]
    ) -> Backend | None:
        """Return the backend to order: recently heard, not excluded and free.

        Preferred are backends that accepted all orders, then warm ones, then ones of the zone with the most candidates.
        """
        heard_since = now - self._heard_within_s
        fit = [
            candidate
            for candidate in backends
            if heard_at.get(candidate.id, float("-inf")) >= heard_since
            and candidate.id not in self._excluded_until
            and is_free(candidate.id)
        ]
        zones = Counter(candidate.zone for candidate in fit)

        def cost(candidate: Backend) -> tuple[int, int, int, str]:
            return self._not_taken[candidate.id], candidate.cold_left_ms, -zones[candidate.zone], candidate.id

        return min(fit, key=cost, default=None)
