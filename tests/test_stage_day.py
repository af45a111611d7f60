"""Days of real processes on which a service loses all decode backends, or most of its prefill ones."""

from __future__ import annotations

from pathlib import Path

from cranebank.fleetlab.day import DayPlan, Step, play
from cranebank.fleetlab.judge import judge, served, share
from cranebank.fleetlab.records import DayRecord

RECOVERY_S = 4.0
"""Time from the drain announcement of the last decode backend until requests are served again: the time for which the
stage must be known to be empty, the order, the switch of 0.8 s and a heartbeat of 0.5 s, doubled."""

DRAIN_TIMES_S = (1.5, 2.5, 3.5)
PLAN = DayPlan(
    11.0,
    25.0,
    tuple(Step(at, "scale-in") for at in DRAIN_TIMES_S),
    fleet={"g1": ("prefill",) * 3 + ("decode",) * 3, "g2": ("prefill", "decode")},
)


def served_share_after(day: DayRecord, at: float) -> float:
    """Return the served share of the requests first sent after a time, over all their tries."""
    first_sent: dict[int, float] = {}
    for sent in day.tries:
        first_sent.setdefault(sent.request, sent.sent)
    return share(day, served, [sent for sent in day.tries if first_sent[sent.request] > at])


def test_requests_are_served_again_after_the_last_decode_backend_has_left(tmp_path: Path) -> None:
    day = play(PLAN, folder=tmp_path)
    verdict = judge(day)
    assert verdict.kept, verdict.breaches
    last = max(drain.announced for drain in day.drains)
    assert len(day.drains) == len(DRAIN_TIMES_S)
    assert served_share_after(day, last + RECOVERY_S) >= 0.98


OVERLOADED = DayPlan(
    26.0,
    20.0,
    (Step(10.0, "lose", stage="prefill"), Step(10.5, "lose", stage="prefill")),
    fleet={"g1": ("prefill",) * 3 + ("decode",) * 4, "g2": ("prefill", "decode")},
    own_tokens=(2000, 4000),
)
"""Two of three prefill backends crash and are not replaced. The load of the first service, about 49,000 uncached tokens
per second, is more than the third backend can prefill (40,000) and less than two could. Loads are averaged over 10 s;
by the time of the crashes, the averages are close to the load."""

REBALANCE_S = 10.0
"""Time from the last crash until prompts are prefilled in time: a silent backend counts as lost (2.75 s), a stage must
lack backends before a switch is ordered (2 s), running requests end, the switch (0.8 s), a heartbeat (0.5 s), and the
queue is worked off (3 s)."""
GOAL_S = 0.6  # goal_ms of the laboratory's routes


def in_time_share_after(day: DayRecord, at: float) -> float:
    """Return the share of the requests first sent after a time whose first event came within the goal."""
    first_sent: dict[int, float] = {}
    in_time: set[int] = set()
    for sent in day.tries:
        begun = first_sent.setdefault(sent.request, sent.sent)
        if served(sent) and sent.event_times and sent.event_times[0] - begun <= GOAL_S:
            in_time.add(sent.request)
    sent_after = [request for request, begun in first_sent.items() if begun > at]
    return sum(request in in_time for request in sent_after) / len(sent_after)


def test_prompts_are_read_in_time_after_most_prefill_backends_were_lost(tmp_path: Path) -> None:
    day = play(OVERLOADED, folder=tmp_path)
    verdict = judge(day)
    assert verdict.kept, verdict.breaches
    lost = day.begun + max(step.at for step in OVERLOADED.steps)
    assert in_time_share_after(day, lost + REBALANCE_S) >= 0.9
