"""The verdict on a soak run, from its plan, its record and the logs. No I/O."""

from __future__ import annotations

from collections import Counter

import msgspec

from cranebank.fleetlab.judge import judge, served, share
from cranebank.fleetlab.liveness import judge_liveness, longest_outage
from cranebank.fleetlab.records import DayRecord
from cranebank.fleetlab.soak_plan import SoakPlan, overlaps


class SoakVerdict(msgspec.Struct):
    """The verdict on a run. ``failures`` is empty if the run passed."""

    seed: int
    failures: list[str]
    faults: dict[str, int]  # injected faults by kind
    overlaps: dict[str, int]  # by pair of kinds
    skipped: dict[str, int]  # by kind, faults that found no victim
    requests: int
    served: float  # share of the requests
    windows: int  # judged for availability
    longest_outage_s: float
    acknowledged: int  # configuration changes
    remarks: list[str] = []


def verdict_of(plan: SoakPlan, record: DayRecord) -> SoakVerdict:
    """Judge a finished run and return the verdict."""
    rules = judge(record)
    findings, windows = judge_liveness(record, plan.settle_s, plan.shape.tolerance)
    failures = [f"{breach.rule} x{breach.count}: {'; '.join(breach.examples)}" for breach in rules.breaches]
    failures += [f"{finding.rule}: {finding.text}" for finding in findings]
    failures += [f"PROCESS: {name} ended unexpectedly with {code}" for name, code in record.exits]
    failures += [f"STRAY: {stray}" for stray in record.stray]
    intervals = [(fault.kind, fault.begin, fault.end) for fault in record.faults]
    return SoakVerdict(
        plan.seed,
        failures,
        dict(Counter(fault.kind for fault in record.faults)),
        overlaps(intervals),
        dict(Counter(record.skipped)),
        len({sent.request for sent in record.tries if not sent.is_probe}),
        share(record, served),
        windows,
        longest_outage(record),
        sum(change.acked is not None for change in record.changes),
        rules.remarks,
    )
