"""The rule on cold backends: no second brings one more requests than it bears, whoever sends them."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator

import msgspec

from cranebank.fleetlab.records import ColdTime, DayRecord

WINDOW_S = 1.0
MISDIRECTED = 421  # such requests don't count


class Flood(msgspec.Struct, frozen=True):
    """A second that brought a cold backend more requests than it bears."""

    instance: str
    begin: float
    found: int
    allowed: float


def cold_arrivals(day: DayRecord) -> Iterator[tuple[ColdTime, list[float]]]:
    """For each cold time when requests arrived in it, in order. Times that overlap are taken as they are: a backend
    that turns cold again bears what it bore before."""
    by_instance: dict[str, list[float]] = defaultdict(list)
    for arrival in day.arrivals:
        if arrival.status != MISDIRECTED:
            by_instance[arrival.instance].append(arrival.at)
    for cold in _joined(day.cold_times):
        yield cold, sorted(at for at in by_instance[cold.instance] if cold.begin <= at <= cold.end)


def floods(day: DayRecord) -> Iterator[Flood]:
    """Seconds, each from an arrival on, with too many requests; no two of them overlap."""
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


def _joined(times: list[ColdTime]) -> list[ColdTime]:
    """The cold times, those of one backend that overlap made one."""
    joined: list[ColdTime] = []
    for cold in sorted(times, key=lambda one: (one.instance, one.begin)):
        last = joined[-1] if joined else None
        if last is not None and last.instance == cold.instance and cold.begin <= last.end:
            joined[-1] = msgspec.structs.replace(last, end=max(last.end, cold.end))
        else:
            joined.append(cold)
    return joined
