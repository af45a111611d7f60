"""Long network partitions between zones, in the simulated control plane: losses found once, and planted faults."""

from __future__ import annotations

import pytest
from controlsim.apart import MAX_TAKEOVERS
from controlsim.scenarios import play

from cranebank.control import membership
from cranebank.control.election import Candidate
from cranebank.control.epochs import VoterLease

ZONE_WIPED_OVER_A_BRIDGE = (67, 137)
BRIDGES = (2, 3)
BRIDGES_OF_60_S = (146, 287)


@pytest.mark.parametrize("seed", ZONE_WIPED_OVER_A_BRIDGE)
def test_a_zone_that_loses_its_disks_while_it_misses_another_takes_no_majority_along(seed: int) -> None:
    played = play("apart", seed)
    assert played.breaches == []
    assert played.counts["while apart: zone wiped"] == 1 and played.counts["three zones, bridge"] == 1


def test_a_group_left_to_one_zone_over_a_bridge_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(membership, "_is_allowed", lambda *_: True)
    broken = [breach for seed in ZONE_WIPED_OVER_A_BRIDGE for breach in play("apart", seed).breaches]
    assert any(breach.startswith("recovery") for breach in broken)


@pytest.mark.parametrize("seed", BRIDGES_OF_60_S)
def test_two_zones_that_reach_only_the_others_for_a_minute_fight_no_duel(seed: int) -> None:
    played = play("apart", seed)
    assert played.breaches == []
    assert played.counts["bridges of 60 s without a strike"] == 1
    assert played.counts["takeovers in a bridge"] <= MAX_TAKEOVERS


@pytest.mark.violates_invariants
def test_a_duel_over_a_bridge_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(VoterLease, "refuses", lambda *_: False)
    monkeypatch.setattr(Candidate, "_holds_data", lambda *_: True)
    broken = [breach for seed in BRIDGES for breach in play("apart", seed, frozenset({"lease"})).breaches]
    assert any(breach.partition(":")[0] in {"bridge", "recovery"} for breach in broken)
