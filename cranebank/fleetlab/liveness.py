"""Whether the system served when it could: two rules over windows of time, judged by what clients saw.

RECOVER: once all faults have healed and the system had its time to come back, nearly everything is served, each proxy
is ready and serves, and changes of the configuration and adds to tallies are acknowledged.
OUTAGE: while no more is lost than must be borne, and backends are well, no window of some seconds is without service.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from itertools import pairwise

import msgspec

from cranebank.fleetlab.judge import served as is_served
from cranebank.fleetlab.records import DayRecord, Health, Try

WINDOW_S = 3.0
STEP_S = 0.5
FEWEST = 8  # requests by which a window can be judged
RECOVERED_SHARE = 0.9  # of the requests of each window in a calm time
PROXY_SHARE = 0.5  # of the tries at each proxy in a calm time: clients go on to others, so requests don't tell
SERVED_SHARE = 0.25  # of the requests of each window while only tolerated faults are on
AFTERMATH_S = 4.0  # what was lost this long before a window still counts
MARGIN_S = 1.0  # at the end of a calm time: a request may still be open when the next fault comes


class Calm(msgspec.Struct, frozen=True):
    """A time without any fault, from when the system must have come back."""

    begin: float
    end: float


class Finding(msgspec.Struct, frozen=True):
    """A window in which too little was served."""

    rule: str
    text: str


class Request(msgspec.Struct, frozen=True):
    """One request of a client over all its tries."""

    sent: float
    route: str
    is_served: bool


def requests_of(record: DayRecord) -> list[Request]:
    """All requests but probes, by the time of their first try."""
    by_number: dict[int, list[Try]] = defaultdict(list)
    for sent in record.tries:
        if not sent.is_probe:
            by_number[sent.request].append(sent)
    found = [
        Request(
            min(sent.sent for sent in tries),
            tries[0].path.split("/")[1],
            any(map(is_served, tries)),
        )
        for tries in by_number.values()
    ]
    return sorted(found, key=lambda request: request.sent)


def calm_times(record: DayRecord, settle_s: float) -> list[Calm]:
    """Between the faults, and after the last one, each from ``settle_s`` after all that were before have healed."""
    edges = sorted((fault.begin, fault.end) for fault in record.faults)
    found, healed = [], record.begun
    for begin, end in [*edges, (record.ended, record.ended)]:
        if begin - MARGIN_S - WINDOW_S >= healed + settle_s:
            found.append(Calm(healed + settle_s, begin - MARGIN_S))
        healed = max(healed, end)
    return found


def judge_liveness(record: DayRecord, settle_s: float, tolerance: int) -> tuple[list[Finding], int]:
    """What was found, and how many windows were judged."""
    requests = requests_of(record)
    findings: list[Finding] = []
    judged = 0
    for calm in calm_times(record, settle_s):
        for begin in _steps(calm.begin, calm.end - WINDOW_S):
            judged += 1
            findings += _poor(record, requests, begin, RECOVERED_SHARE, "RECOVER")
        findings += _not_back(record, calm)
        findings += _tallies_poor(record, calm.begin, calm.end, RECOVERED_SHARE, "RECOVER")
    for begin in _steps(record.begun + AFTERMATH_S, record.ended - WINDOW_S - MARGIN_S):
        if _is_tolerated(record.health, begin, tolerance):
            judged += 1
            findings += _poor(record, requests, begin, SERVED_SHARE, "OUTAGE")
            findings += _tallies_poor(record, begin, begin + WINDOW_S, SERVED_SHARE, "OUTAGE")
    return _merged(findings), judged


def _not_back(record: DayRecord, calm: Calm) -> Iterator[Finding]:
    """Proxies that do not serve or are not ready, and a control side that acknowledges nothing, in a calm time."""
    at = calm.begin - record.begun
    for proxy in sorted({sent.proxy for sent in record.tries}):
        tries = [sent for sent in record.tries if sent.proxy == proxy and calm.begin <= sent.sent < calm.end]
        own = [sent for sent in tries if not sent.is_probe]
        count = sum(map(is_served, own))
        if len(own) >= FEWEST and count < PROXY_SHARE * len(own):
            yield Finding("RECOVER", f"{proxy} served {count} of {len(own)} tries from {at:.1f} s on")
    unready = [one for one in record.health if calm.begin <= one.at < calm.end and one.ready < one.all_proxies]
    if unready:
        yield Finding(
            "RECOVER",
            f"{unready[0].ready} of {unready[0].all_proxies} proxies ready at {unready[0].at - record.begun:.1f} s",
        )
    if not any(change.acked is not None and calm.begin <= change.acked < calm.end for change in record.changes):
        yield Finding("RECOVER", f"no change acknowledged from {at:.1f} s to {calm.end - record.begun:.1f} s")


def _steps(begin: float, end: float) -> Iterator[float]:
    at = begin
    while at <= end:
        yield at
        at += STEP_S


def _poor(record: DayRecord, requests: list[Request], begin: float, least: float, rule: str) -> Iterator[Finding]:
    """A window in which too little of all, or nearly nothing of one route, was served."""
    window = [request for request in requests if begin <= request.sent < begin + WINDOW_S]
    served = sum(request.is_served for request in window)
    at = begin - record.begun
    if len(window) >= FEWEST and served < least * len(window):
        yield Finding(rule, f"{served} of {len(window)} requests served from {at:.1f} s on")
        return
    for route in sorted({request.route for request in window}):
        own = [request for request in window if request.route == route]
        served = sum(request.is_served for request in own)
        if len(own) >= FEWEST and served < min(least, SERVED_SHARE) * len(own):
            yield Finding(rule, f"{served} of {len(own)} requests of {route} served from {at:.1f} s on")


def _tallies_poor(record: DayRecord, begin: float, end: float, least: float, rule: str) -> Iterator[Finding]:
    """A time in which too few of the adds to tallies were taken, each counted once over all its calls."""
    first: dict[str, float] = {}
    for call in record.tally_calls:
        if call.id:
            first.setdefault(call.id, call.sent)
    taken = {call.id for call in record.tally_calls if call.is_acknowledged}
    window = {add for add, sent in first.items() if begin <= sent < end}
    if len(window) >= FEWEST and len(window & taken) < least * len(window):
        at = begin - record.begun
        yield Finding(rule, f"{len(window & taken)} of {len(window)} adds acknowledged from {at:.1f} s on")


def _is_tolerated(health: Iterable[Health], begin: float, tolerance: int) -> bool:
    """Whether all through a window, and for some time before, no more was lost than must be borne."""
    times = [one for one in health if begin - AFTERMATH_S <= one.at <= begin + WINDOW_S]
    return bool(times) and all(
        one.controllers_lost <= tolerance
        and 2 * one.proxies >= one.all_proxies
        and one.proxies
        and all(one.backends.values())
        for one in times
    )


def _merged(findings: list[Finding]) -> list[Finding]:
    """Each rule's first window and how many there were: windows overlap."""
    by_rule: dict[str, list[Finding]] = defaultdict(list)
    for finding in findings:
        by_rule[finding.rule].append(finding)
    return [Finding(rule, f"{len(found)} times, first: {found[0].text}") for rule, found in by_rule.items()]


def longest_outage(record: DayRecord) -> float:
    """The longest time between two requests that were served, by when they were sent."""
    served = [request.sent for request in requests_of(record) if request.is_served]
    edges = [record.begun, *served, record.ended]
    return max(after - before for before, after in pairwise(edges))
