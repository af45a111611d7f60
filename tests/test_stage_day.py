"""A day of real processes on which every decode backend of a service leaves and only prefill ones are left."""

from __future__ import annotations

from pathlib import Path

from cranebank.fleetlab.day import DayPlan, Step, play
from cranebank.fleetlab.judge import judge, served, share
from cranebank.fleetlab.records import DayRecord

SERVED_AGAIN_S = 4.0
"""From the announcement of the last decode backend's end until requests are served again: the time for which the stage
must be known to be empty, the order, the switch of 0.8 s and a heartbeat of 0.5 s, and as much again."""

LEAVES = (1.5, 2.5, 3.5)
PLAN = DayPlan(
    11.0,
    25.0,
    tuple(Step(at, "scale-in") for at in LEAVES),
    fleet={"g1": ("prefill",) * 3 + ("decode",) * 3, "g2": ("prefill", "decode")},
)


def share_served_after(day: DayRecord, at: float) -> float:
    """Of the requests that were sent later than a time, with all their tries."""
    first_sent: dict[int, float] = {}
    for sent in day.tries:
        first_sent.setdefault(sent.request, sent.sent)
    return share(day, served, [sent for sent in day.tries if first_sent[sent.request] > at])


def test_requests_are_served_again_after_the_last_decode_backend_has_left(tmp_path: Path) -> None:
    day = play(PLAN, folder=tmp_path)
    verdict = judge(day)
    assert verdict.kept, verdict.breaches
    last = max(drain.announced for drain in day.drains)
    assert len(day.drains) == len(LEAVES)
    assert share_served_after(day, last + SERVED_AGAIN_S) >= 0.98
