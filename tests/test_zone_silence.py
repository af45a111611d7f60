"""Zones that a proxy can't reach: which backends it still sends to, by what its own calls show."""

from __future__ import annotations

from random import Random

from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.zone_silence import EVIDENCE_S, MOST_ZONES, STAND_BACK_S, ZoneSilence
from cranebank.invariants import violations
from cranebank.transport.messages import Backend

ZONES = "abcde"
IN_ZONE = 14
DIAL_S = 0.3
REQUESTS_S = 6.0  # a second


def known(zones: str = ZONES) -> Candidates:
    candidates = Candidates()
    candidates.merge(
        Backend(f"{zone}{number}", "svc", f"10.{index}.0.{number}:1", zone, "decode", 32, "ready", 1)
        for index, zone in enumerate(zones)
        for number in range(IN_ZONE)
    )
    return candidates


def zones_of(candidates: Candidates, now: float) -> set[str]:
    assert not violations()
    return {seen.backend.zone for seen in candidates.ready(now, "svc", "decode")}


def test_a_zone_of_which_two_are_not_reached_stands_back_until_one_there_answers() -> None:
    candidates = known("ab")
    candidates.unreached(1.0, "b3")
    assert len(candidates.ready(1.0, "svc", "decode")) == 2 * IN_ZONE - 1
    candidates.unreached(1.1, "b5")
    assert zones_of(candidates, 1.1) == {"a"}
    back = [seen.backend.id for seen in candidates.ready(1.1 + STAND_BACK_S[0] + 0.01, "svc", "decode")]
    assert [name for name in back if name[0] == "b"] == ["b6"], "one is tried, behind the one that failed last"
    candidates.answered(2.0, "b6")
    assert len(candidates.ready(2.0, "svc", "decode")) == 2 * IN_ZONE


def test_dead_backends_of_a_zone_that_answers_keep_no_others_from_use() -> None:
    candidates = known("ab")
    for number in range(5):
        candidates.unreached(1.0 + number / 10, f"b{number}")
        candidates.answered(1.05 + number / 10, "b9")
    assert len(candidates.ready(1.45, "svc", "decode")) == 2 * IN_ZONE - 5
    candidates.unreached(2.0, "a1")
    candidates.unreached(2.0 + EVIDENCE_S + 0.1, "a2")
    assert len(candidates.ready(6.0, "svc", "decode")) > IN_ZONE, "what was long ago is no evidence"


def test_one_that_failed_otherwise_is_not_taken_back_by_an_answer_from_its_zone() -> None:
    candidates = known("ab")
    candidates.failed(0.9, "b9")
    candidates.unreached(1.0, "b1")
    candidates.unreached(1.0, "b2")
    candidates.answered(1.1, "b3")
    assert {seen.backend.id for seen in candidates.ready(1.1, "svc", "decode")} >= {"b1", "b2", "b3"}
    assert candidates.seen["b9"].stands_back(1.1)


def test_evidence_of_zones_is_bounded() -> None:
    silence = ZoneSilence()
    for number in range(10 * MOST_ZONES):
        silence.unreached(float(number), f"z{number}", "x")
    assert len(silence._zones) == MOST_ZONES


def test_a_proxy_whose_zone_is_cut_off_seldom_dials_what_it_cannot_reach() -> None:
    candidates, random = known(), Random(1)
    dials: list[tuple[float, str]] = []
    first_tries: list[bool] = []
    now, cut_s = 0.0, 20.0
    while now < cut_s:
        now += random.expovariate(REQUESTS_S)
        for at, backend in [dial for dial in dials if dial[0] <= now]:
            candidates.unreached(at, backend)
        dials = [dial for dial in dials if dial[0] > now]
        chosen = random.choice(candidates.ready(now, "svc", "decode")).backend
        if chosen.zone == "a":
            candidates.answered(now, chosen.id)
        else:
            dials.append((now + DIAL_S, chosen.id))
        if now > 2.0:
            first_tries.append(chosen.zone == "a")
    assert sum(first_tries) > 0.8 * len(first_tries)
    while now < cut_s + 3.0:
        now += random.expovariate(REQUESTS_S)
        candidates.answered(now, random.choice(candidates.ready(now, "svc", "decode")).backend.id)
    assert zones_of(candidates, now) == set(ZONES)
