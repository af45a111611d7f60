"""Two availability rules over windows of time, judged by what clients saw.

RECOVER: once all faults have healed and the recovery time is over, nearly all requests are served, each proxy is ready
and serves, and changes of the configuration and adds to tallies are acknowledged.
OUTAGE: while losses stay within the tolerance and backends are healthy, no window of some seconds is without service.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from itertools import pairwise

import msgspec

from cranebank.fleetlab.judge import served as is_served
from cranebank.fleetlab.records import DayRecord, Health, Try

WINDOW_S = 3.0
WINDOW_STEP_S = 0.5
MIN_REQUESTS = 8  # a window with fewer requests is not judged
MIN_RECOVERED_SHARE = 0.9  # of the requests of each window in a calm period
MIN_PROXY_SHARE = 0.5  # of the tries at each proxy in a calm period; requests can't show it, as clients switch proxies
MIN_SERVED_SHARE = 0.25  # of the requests of each window while only tolerated faults are active
LOSS_LOOKBACK_S = 4.0  # a loss this long before a window still excuses the window
END_MARGIN_S = 1.0  # cut off the end of a calm period: a request may still be open when the next fault begins


class Calm(msgspec.Struct, frozen=True):
    """A period without faults, beginning when the system must have recovered."""

    begin: float
    end: float


class Finding(msgspec.Struct, frozen=True):
    """A broken availability rule."""

    rule: str
    text: str


class Request(msgspec.Struct, frozen=True):
    """One request of a client, over all its tries."""

    sent: float
    route: str
    is_served: bool


def requests_of(record: DayRecord) -> list[Request]:
    """Return all requests except probes, ordered by the time of their first try."""
    by_number: dict[int, list[Try]] = defaultdict(list)
    for client_try in record.tries:
        if not client_try.is_probe:
            by_number[client_try.request].append(client_try)
    requests = [
        Request(
            min(client_try.sent for client_try in tries),
            tries[0].path.split("/")[1],
            any(map(is_served, tries)),
        )
        for tries in by_number.values()
    ]
    return sorted(requests, key=lambda request: request.sent)


def calm_times(record: DayRecord, settle_s: float) -> list[Calm]:
    """Return the fault-free periods, each beginning ``settle_s`` after all earlier faults have healed."""
    intervals = sorted((fault.begin, fault.end) for fault in record.faults)
    periods, healed = [], record.begun
    for begin, end in [*intervals, (record.ended, record.ended)]:
        if begin - END_MARGIN_S - WINDOW_S >= healed + settle_s:
            periods.append(Calm(healed + settle_s, begin - END_MARGIN_S))
        healed = max(healed, end)
    return periods


def judge_liveness(record: DayRecord, settle_s: float, tolerance: int) -> tuple[list[Finding], int]:
    """Return the findings and the number of windows that were judged."""
    requests = requests_of(record)
    findings: list[Finding] = []
    judged = 0
    for calm in calm_times(record, settle_s):
        for begin in _window_begins(calm.begin, calm.end - WINDOW_S):
            judged += 1
            findings += _poorly_served(record, requests, begin, MIN_RECOVERED_SHARE, "RECOVER")
        findings += _not_recovered(record, calm)
        findings += _tallies_poorly_served(record, calm.begin, calm.end, MIN_RECOVERED_SHARE, "RECOVER")
    for begin in _window_begins(record.begun + LOSS_LOOKBACK_S, record.ended - WINDOW_S - END_MARGIN_S):
        if _is_tolerated(record.health, begin, tolerance):
            judged += 1
            findings += _poorly_served(record, requests, begin, MIN_SERVED_SHARE, "OUTAGE")
            findings += _tallies_poorly_served(record, begin, begin + WINDOW_S, MIN_SERVED_SHARE, "OUTAGE")
    return _merge_by_rule(findings), judged


def _not_recovered(record: DayRecord, calm: Calm) -> Iterator[Finding]:
    """Yield proxies that do not serve or are not ready in a calm period, and controllers that acknowledge no change."""
    at = calm.begin - record.begun
    for proxy in sorted({client_try.proxy for client_try in record.tries}):
        tries = [
            client_try
            for client_try in record.tries
            if client_try.proxy == proxy and calm.begin <= client_try.sent < calm.end
        ]
        client_tries = [client_try for client_try in tries if not client_try.is_probe]
        count = sum(map(is_served, client_tries))
        if len(client_tries) >= MIN_REQUESTS and count < MIN_PROXY_SHARE * len(client_tries):
            yield Finding("RECOVER", f"{proxy} served {count} of {len(client_tries)} tries from {at:.1f} s on")
    unready = [
        health for health in record.health if calm.begin <= health.at < calm.end and health.ready < health.all_proxies
    ]
    if unready:
        yield Finding(
            "RECOVER",
            f"{unready[0].ready} of {unready[0].all_proxies} proxies ready at {unready[0].at - record.begun:.1f} s",
        )
    if not any(change.acked is not None and calm.begin <= change.acked < calm.end for change in record.changes):
        yield Finding("RECOVER", f"no change acknowledged from {at:.1f} s to {calm.end - record.begun:.1f} s")


def _window_begins(begin: float, end: float) -> Iterator[float]:
    at = begin
    while at <= end:
        yield at
        at += WINDOW_STEP_S


def _poorly_served(
    record: DayRecord, requests: list[Request], begin: float, min_share: float, rule: str
) -> Iterator[Finding]:
    """Yield a finding if too few requests of a window, or nearly none of one route, were served."""
    window = [request for request in requests if begin <= request.sent < begin + WINDOW_S]
    served = sum(request.is_served for request in window)
    at = begin - record.begun
    if len(window) >= MIN_REQUESTS and served < min_share * len(window):
        yield Finding(rule, f"{served} of {len(window)} requests served from {at:.1f} s on")
        return
    for route in sorted({request.route for request in window}):
        on_route = [request for request in window if request.route == route]
        served = sum(request.is_served for request in on_route)
        if len(on_route) >= MIN_REQUESTS and served < min(min_share, MIN_SERVED_SHARE) * len(on_route):
            yield Finding(rule, f"{served} of {len(on_route)} requests of {route} served from {at:.1f} s on")


def _tallies_poorly_served(
    record: DayRecord, begin: float, end: float, min_share: float, rule: str
) -> Iterator[Finding]:
    """Yield a finding if too few adds to tallies were acknowledged. An add counts once over all its calls."""
    first_sent: dict[str, float] = {}
    for call in record.tally_calls:
        if call.id:
            first_sent.setdefault(call.id, call.sent)
    acknowledged = {call.id for call in record.tally_calls if call.is_acknowledged}
    window = {add for add, sent in first_sent.items() if begin <= sent < end}
    if len(window) >= MIN_REQUESTS and len(window & acknowledged) < min_share * len(window):
        at = begin - record.begun
        yield Finding(rule, f"{len(window & acknowledged)} of {len(window)} adds acknowledged from {at:.1f} s on")


def _is_tolerated(health: Iterable[Health], begin: float, tolerance: int) -> bool:
    """Return whether losses stayed within the tolerance during a window and for LOSS_LOOKBACK_S before it."""
    samples = [sample for sample in health if begin - LOSS_LOOKBACK_S <= sample.at <= begin + WINDOW_S]
    return bool(samples) and all(
        sample.controllers_lost <= tolerance
        and 2 * sample.proxies >= sample.all_proxies
        and sample.proxies
        and all(sample.backends.values())
        for sample in samples
    )


def _merge_by_rule(findings: list[Finding]) -> list[Finding]:
    """Merge the findings of each rule into one with their number and the first of them, as windows overlap."""
    by_rule: dict[str, list[Finding]] = defaultdict(list)
    for finding in findings:
        by_rule[finding.rule].append(finding)
    return [Finding(rule, f"{len(group)} times, first: {group[0].text}") for rule, group in by_rule.items()]


def longest_outage(record: DayRecord) -> float:
    """Return the longest time between two served requests, by the times at which they were sent."""
    served = [request.sent for request in requests_of(record) if request.is_served]
    times = [record.begun, *served, record.ended]
    return max(after - before for before, after in pairwise(times))
