"""The rules on evacuations: nothing from machines in touch reaches a zone that was emptied, and that lasts."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from cranebank.fleetlab.records import Arrival, DayRecord

MISDIRECTED = 421  # such requests don't count


class Emptied(msgspec.Struct, frozen=True):
    """A time in which nothing may reach a zone."""

    zone: str
    acked: float
    begin: float  # evacuate_ms after the acknowledgement
    end: float  # when a Finish was first sent


class LateArrival(msgspec.Struct, frozen=True):
    """A request that reached an emptied zone."""

    zone: str
    arrival: Arrival
    is_forgotten: bool  # the evacuation held before the last trouble, and no longer after it


def emptied_times(day: DayRecord) -> Iterator[Emptied]:
    """For each acknowledged Start the time in which it binds."""
    for order in day.evacuations:
        if not order.is_start or order.acked is None:
            continue
        finishes = [
            other.sent
            for other in day.evacuations
            if not other.is_start and other.zone == order.zone and other.sent >= order.sent
        ]
        begin = order.acked + day.bounds.evacuate_ms / 1e3
        end = min(finishes, default=day.ended)
        if begin < end:
            yield Emptied(order.zone, order.acked, begin, end)


def late_arrivals(day: DayRecord) -> Iterator[LateArrival]:
    """What reached a zone while it had to be empty, whoever sent it."""
    last_trouble = max((trouble.end for trouble in day.troubles), default=day.begun)
    settled = last_trouble + day.bounds.contact_ms / 1e3
    for emptied in emptied_times(day):
        for arrival in day.arrivals:
            if (
                day.backend_zones.get(arrival.instance) == emptied.zone
                and emptied.begin < arrival.at < emptied.end
                and arrival.status != MISDIRECTED
            ):
                is_forgotten = emptied.acked <= last_trouble and arrival.at > settled
                yield LateArrival(emptied.zone, arrival, is_forgotten)
