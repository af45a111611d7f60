"""Compute figures from records: by class, latency, legs per request, connections, service over time. No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from cranebank.lab import records
from cranebank.lab.judge import DECLINES, Verdict
from cranebank.lab.plan import us
from cranebank.lab.scenario import Scenario

QUANTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p99.9": 99.9}


class ClassResult(msgspec.Struct, frozen=True):
    """Figures of a class: requests by outcome; latency (ms) of served requests, from the intended time."""

    name: str
    asked: int
    in_time: int
    late: int
    declined: int
    failed: int
    unanswered: int
    tries: int
    latency_ms: dict[str, float]


class TierResult(msgspec.Struct, frozen=True):
    """Figures of a tier: requests to its proxies, legs at its hosts, probes and connections."""

    name: str
    requests: int
    legs: int
    legs_per_request: float
    ran: int
    probes: int
    connections: int
    most_connections: int  # the most at once at one host


class Second(msgspec.Struct, frozen=True):
    """Figures of one second of a run, by the intended times of requests."""

    at: int
    asked: int
    service: float
    p50_ms: float
    p99_ms: float


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run."""

    scenario: str
    policy: str
    seed: int
    service: float  # worth served over worth asked; late answers count in part
    in_time: float  # share of requests served in time
    classes: tuple[ClassResult, ...]
    tiers: tuple[TierResult, ...]
    seconds: tuple[Second, ...]
    legs_per_request: float  # over all tiers, per first try
    verdict: Verdict
    usable: bool  # whether the generator was on time
    why_not: str
    generator: records.Generator | None
    proxies_memory_mb: float
    proxies_descriptors: int
    busiest: str  # the process that used the most CPU, and its share of a core
    samples: tuple[records.Sample, ...] = ()
    digest: str = ""  # in simulated time: digest of all events
    events: int = 0


def outcome(tries: Sequence[records.CallRecord], scenario: Scenario) -> tuple[str, int]:
    """Return the outcome of a request over its tries, and its latency in microseconds."""
    first, last = tries[0], tries[-1]
    kind = scenario.classes[first.kind]
    took = last.done - first.intended
    if last.status == 200:
        if took <= us(kind.aim_ms / 1000):
            return "in_time", took
        return ("late" if took <= us(kind.deadline_ms / 1000) else "failed"), took
    if last.status in DECLINES:
        return "declined", took
    return ("unanswered" if last.status == 0 and last.sent >= 0 and not last.was_cut_off else "failed"), took


def histogram() -> HdrHistogram:
    """Return a histogram of microseconds up to an hour with three significant figures."""
    return HdrHistogram(1, 3_600_000_000, 3)


def quantiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return the reported quantiles in milliseconds."""
    if not histogram.get_total_count():
        return dict.fromkeys(QUANTILES, 0.0)
    return {name: histogram.get_value_at_percentile(q) / 1000.0 for name, q in QUANTILES.items()}


def summarise(scenario: Scenario, found: Sequence[records.Record], verdict: Verdict) -> Result:
    """Compute the result of one run."""
    tries: dict[str, list[records.CallRecord]] = defaultdict(list)
    calls, samples = list[records.CallRecord](), list[records.Sample]()
    legs, ran, probes, opened, most = Counter[str](), Counter[str](), Counter[str](), Counter[str](), Counter[str]()
    generator: records.Generator | None = None
    for record in found:
        match record:
            case records.CallRecord():
                (tries[record.root] if record.caller == "client" else calls).append(record)
            case records.LegRecord():
                legs[_tier(record.host)] += 1
                ran[_tier(record.host)] += record.ran
            case records.Probe(host, _, count):
                probes[_tier(host)] += count
            case records.ConnectionCounts():
                opened[_tier(record.host)] += record.opened
                most[_tier(record.host)] = max(most[_tier(record.host)], record.most)
            case records.Sample():
                samples.append(record)
            case records.Generator():
                generator = record
    for of in tries.values():
        of.sort(key=lambda a: a.tries)
    asked = Counter(_tier(a.proxy) for of in (*tries.values(), calls) for a in of)
    counted = {root: of for root, of in tries.items() if of[0].intended >= us(scenario.warmup_s)}
    classes, worth, served, seconds = _classes(scenario, counted)
    why_not = _why_unusable(scenario, generator)
    proxy_samples = [s for s in samples if "-p" in s.process]
    busy: dict[str, list[float]] = defaultdict(list)
    for sample in samples:
        busy[sample.process].append(sample.cpu)
    share, name = max(((sum(of) / len(of), name) for name, of in busy.items()), default=(0.0, ""))
    return Result(
        scenario=scenario.name,
        policy=scenario.policy,
        seed=scenario.seed,
        service=served / worth if worth else 0.0,
        in_time=sum(c.in_time for c in classes) / max(1, sum(c.asked for c in classes)),
        classes=classes,
        tiers=tuple(
            TierResult(
                t.name,
                asked[t.name],
                legs[t.name],
                legs[t.name] / max(1, asked[t.name]),
                ran[t.name],
                probes[t.name],
                opened[t.name],
                most[t.name],
            )
            for t in scenario.tiers
        ),
        seconds=seconds,
        legs_per_request=sum(legs.values()) / max(1, len(tries)),
        verdict=verdict,
        usable=not why_not,
        why_not=why_not,
        generator=generator,
        proxies_memory_mb=max((s.memory for s in proxy_samples), default=0.0),
        proxies_descriptors=max((s.descriptors for s in proxy_samples), default=0),
        busiest=f"{name} {share:.2f}" if name else "",
        samples=tuple(samples),
    )


def _tier(name: str) -> str:
    """Return the tier of a host (TIER-KIND-NUMBER) or a proxy (TIER-pNUMBER) from its name."""
    return name.rsplit("-", 1)[0] if "-p" in name and name.rsplit("-p", 1)[1].isdigit() else name.rsplit("-", 2)[0]


def _classes(
    scenario: Scenario, counted: dict[str, list[records.CallRecord]]
) -> tuple[tuple[ClassResult, ...], float, float, tuple[Second, ...]]:
    ends: list[Counter[str]] = [Counter() for _ in scenario.classes]
    sent = [0] * len(scenario.classes)
    times = [histogram() for _ in scenario.classes]
    by_second: dict[int, list[tuple[float, float, int]]] = defaultdict(list)
    worth = served = 0.0
    for of in counted.values():
        end, took = outcome(of, scenario)
        kind = scenario.classes[of[0].kind]
        ends[of[0].kind][end] += 1
        sent[of[0].kind] += len(of)
        got = kind.worth * {"in_time": 1.0, "late": kind.late_worth}.get(end, 0.0)
        worth, served = worth + kind.worth, served + got
        by_second[of[0].intended // 1_000_000].append((kind.worth, got, took if end in ("in_time", "late") else -1))
        if end in ("in_time", "late"):
            times[of[0].kind].record_value(max(1, took))
    classes = tuple(
        ClassResult(
            kind.name,
            sum(ends[i].values()),
            ends[i]["in_time"],
            ends[i]["late"],
            ends[i]["declined"],
            ends[i]["failed"],
            ends[i]["unanswered"],
            sent[i],
            quantiles(times[i]),
        )
        for i, kind in enumerate(scenario.classes)
    )
    seconds = []
    for at, of_second in sorted(by_second.items()):
        took_s = sorted(took for _, _, took in of_second if took >= 0)
        asked, got = (sum(row[i] for row in of_second) for i in (0, 1))
        seconds.append(
            Second(at, len(of_second), got / (asked or 1.0), _quantile_ms(took_s, 0.5), _quantile_ms(took_s, 0.99))
        )
    return classes, worth, served, tuple(seconds)


def _quantile_ms(ordered: list[int], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] / 1000.0 if ordered else 0.0


def _why_unusable(scenario: Scenario, generator: records.Generator | None) -> str:
    """Return why a run gives no result (the load was not as intended), or an empty string."""
    if generator is None:
        return "the generator did not finish"
    if generator.late_p99 > scenario.judge.late_ms * 1000:
        return (
            f"the generator was late: p99 {generator.late_p99 / 1000:.1f} ms, "
            f"allowed {scenario.judge.late_ms:g} ms (judge.late_ms)"
        )
    return ""
