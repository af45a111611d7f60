"""The rules on evacuations: machines in contact send nothing to an evacuated zone, and the evacuation persists."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from cranebank.fleetlab.records import Arrival, DayRecord

MISDIRECTED = 421  # requests answered with it don't count


class BindingPeriod(msgspec.Struct, frozen=True):
    """A period in which no request may reach a zone."""

    zone: str
    acked: float
    begin: float  # evacuate_ms after the acknowledgement
    end: float  # when a Finish was first sent


class LateArrival(msgspec.Struct, frozen=True):
    """A request that reached an evacuated zone."""

    zone: str
    arrival: Arrival
    is_lost: bool  # the evacuation was acknowledged before the last trouble ended, and not in force after it


def binding_periods(day: DayRecord) -> Iterator[BindingPeriod]:
    """Yield the period in which each acknowledged Start is binding."""
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
            yield BindingPeriod(order.zone, order.acked, begin, end)


def late_arrivals(day: DayRecord) -> Iterator[LateArrival]:
    """Yield the requests from all senders that reached a zone while it was evacuated."""
    last_trouble = max((trouble.end for trouble in day.troubles), default=day.begun)
    settled = last_trouble + day.bounds.contact_ms / 1e3
    for period in binding_periods(day):
        for arrival in day.arrivals:
            if (
                day.backend_zones.get(arrival.instance) == period.zone
                and period.begin < arrival.at < period.end
                and arrival.status != MISDIRECTED
            ):
                is_lost = period.acked <= last_trouble and arrival.at > settled
                yield LateArrival(period.zone, arrival, is_lost)
