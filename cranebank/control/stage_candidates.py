"""Which backend is rather ordered to another stage than others, by what earlier orders came to: free of I/O.

Times are a steady clock's seconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from cranebank.transport.messages import Backend

HEARD_BEATS, HEARD_MARGIN_S = 2.0, 1.0  # only a backend heard within so many heartbeats, and this, is ordered


class StageCandidates:
    """What is remembered of backends that could not be reached, refused an order or left one untaken."""

    def __init__(self, beat_s: float) -> None:
        """``beat_s``: the time between a backend's heartbeats."""
        self._heard_within_s = HEARD_BEATS * beat_s + HEARD_MARGIN_S
        self._not_taken: Counter[str] = Counter()  # orders that a backend did not take, as it reported
        self._unfit_until: dict[str, float] = {}

    def pass_over(self, backend: str, until: float) -> None:
        """This backend is not chosen before this time."""
        self._unfit_until[backend] = until

    def count_not_taken(self, backend: str) -> None:
        """This backend was ordered and did not take the order."""
        self._not_taken[backend] += 1

    def forget(self, now: float, records: Mapping[str, Backend]) -> None:
        """Nothing is kept of backends that the registry has forgotten."""
        self._not_taken = Counter({name: times for name, times in self._not_taken.items() if name in records})
        self._unfit_until = {name: until for name, until in self._unfit_until.items() if until > now}

    def choose(
        self, now: float, backends: Iterable[Backend], heard_at: Mapping[str, float], is_free: Callable[[str], bool]
    ) -> Backend | None:
        """Who is to change its stage: heard lately, not passed over, and free to be ordered; rather one that left no
        order untaken, is warm, and is of the zone that has the most of them."""
        heard_since = now - self._heard_within_s
        fit = [
            one
            for one in backends
            if heard_at.get(one.id, float("-inf")) >= heard_since
            and one.id not in self._unfit_until
            and is_free(one.id)
        ]
        zones = Counter(one.zone for one in fit)

        def cost(one: Backend) -> tuple[int, int, int, str]:
            return self._not_taken[one.id], one.cold_left_ms, -zones[one.zone], one.id

        return min(fit, key=cost, default=None)
