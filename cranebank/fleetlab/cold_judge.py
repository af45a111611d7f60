"""The rule on cold backends: no second brings a backend more requests than its warm-up allows, from all senders."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator

import msgspec

from cranebank.fleetlab.records import ColdTime, DayRecord

WINDOW_S = 1.0
MISDIRECTED = 421  # requests answered with it don't count


class Flood(msgspec.Struct, frozen=True):
    """A second that brought a cold backend more requests than its warm-up allows."""

    instance: str
    begin: float
    found: int
    allowed: float


def cold_arrivals(day: DayRecord) -> Iterator[tuple[ColdTime, list[float]]]:
    """Yield each cold period with the sorted times of the requests that arrived in it. Overlapping periods of a backend
    are merged: a backend that turns cold again has the same limit as before."""
    by_instance: dict[str, list[float]] = defaultdict(list)
    for arrival in day.arrivals:
        if arrival.status != MISDIRECTED:
            by_instance[arrival.instance].append(arrival.at)
    for cold in _merge_overlapping(day.cold_times):
        yield cold, sorted(at for at in by_instance[cold.instance] if cold.begin <= at <= cold.end)


def floods(day: DayRecord) -> Iterator[Flood]:
    """Yield the seconds with too many requests. Each begins at an arrival, and none overlap."""
    for cold, times in cold_arrivals(day):
        allowed = cold.warmup_per_s * day.bounds.cold_over + day.bounds.cold_slack
        index = 0
        while index < len(times):
            end = bisect_left(times, times[index] + WINDOW_S)
            if end - index > allowed:
                yield Flood(cold.instance, times[index], end - index, allowed)
                index = end
            else:
                index += 1


def _merge_overlapping(times: list[ColdTime]) -> list[ColdTime]:
    """Return the cold periods, with overlapping ones of the same backend merged."""
    merged: list[ColdTime] = []
    for cold in sorted(times, key=lambda period: (period.instance, period.begin)):
        last = merged[-1] if merged else None
        if last is not None and last.instance == cold.instance and cold.begin <= last.end:
            merged[-1] = msgspec.structs.replace(last, end=max(last.end, cold.end))
        else:
            merged.append(cold)
    return merged
