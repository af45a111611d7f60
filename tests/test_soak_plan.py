"""Plans of soak runs: determined by the seed, within their bounds, and covering all kinds of faults."""

from __future__ import annotations

import hashlib
from itertools import pairwise

import msgspec
import pytest

from cranebank.fleetlab.run_options import RunOptions
from cranebank.fleetlab.soak_plan import (
    MAX_CONCURRENT_FAULTS,
    MULTI_ZONE,
    MULTI_ZONE_KINDS,
    SINGLE_ZONE,
    SINGLE_ZONE_KINDS,
    TRAITS,
    Fault,
    FaultGroup,
    FaultKind,
    PlanOptions,
    SoakPlan,
    draw_plan,
    kinds_of,
    overlaps,
)

SEEDS = range(1, 101)
PLAN_17_DIGEST = "79ea788039d7c8b4"  # digest of the plan of seed 17


def active_count(faults: tuple[Fault, ...], at: float) -> int:
    return sum(fault.at <= at < fault.at + fault.seconds for fault in faults)


def test_a_seed_gives_the_same_plan_and_it_can_be_kept() -> None:
    plan = draw_plan(17)
    assert draw_plan(17) == plan
    assert draw_plan(18) != plan
    assert msgspec.json.decode(msgspec.json.encode(plan), type=SoakPlan) == plan


@pytest.mark.parametrize("seed", SEEDS)
def test_faults_overlap_and_no_more_than_three_at_a_time(seed: int) -> None:
    for faults in draw_plan(seed).episodes:
        assert len(faults) >= 2
        assert max(active_count(faults, fault.at) for fault in faults) in range(2, MAX_CONCURRENT_FAULTS + 1)
        for before, after in pairwise(faults):
            assert before.at <= after.at
        for fault in faults:
            assert fault.seconds >= TRAITS[fault.kind].shortest


@pytest.mark.parametrize("seed", SEEDS)
def test_no_more_disks_are_lost_in_an_episode_than_may_be(seed: int) -> None:
    plan = draw_plan(seed)
    for faults in plan.episodes:
        assert sum(TRAITS[fault.kind].loses_disk for fault in faults) <= plan.shape.tolerance


@pytest.mark.parametrize("seed", SEEDS)
def test_a_stage_that_leaves_for_good_leaves_in_the_last_episode(seed: int) -> None:
    *first, last = draw_plan(seed).episodes
    assert not any(TRAITS[fault.kind].is_final for faults in first for fault in faults)
    assert sum(TRAITS[fault.kind].is_final for fault in last) <= 1


@pytest.mark.parametrize(("options", "kinds"), [(SINGLE_ZONE, SINGLE_ZONE_KINDS), (MULTI_ZONE, MULTI_ZONE_KINDS)])
def test_as_many_seeds_as_there_are_kinds_have_all_of_them(options: PlanOptions, kinds: tuple[FaultKind, ...]) -> None:
    plans = [draw_plan(seed, options) for seed in range(1, len(kinds) + 1)]
    assert {fault.kind for plan in plans for faults in plan.episodes for fault in faults} == set(kinds)


def test_every_kind_is_drawn_by_one_of_the_two_forms() -> None:
    assert set(SINGLE_ZONE_KINDS) | set(MULTI_ZONE_KINDS) == set(FaultKind)


def test_a_plan_of_one_zone_is_the_one_that_it_was_before_there_were_zones() -> None:
    plan = draw_plan(17)
    digest = hashlib.sha256(msgspec.json.encode((plan.seed, plan.shape.controllers, plan.episodes))).hexdigest()
    assert digest[:16] == PLAN_17_DIGEST
    assert plan.options == RunOptions()


@pytest.mark.parametrize("seed", [1, 2])
def test_a_plan_of_several_zones_has_both_stages_of_each_service_in_each_zone(seed: int) -> None:
    plan = draw_plan(seed, MULTI_ZONE)
    assert (plan.shape.controllers, plan.shape.tolerance, plan.shape.zone_tolerance) == (5, 2, 1)
    assert plan.services is not None
    stages = [(service, stage) for service, stages in plan.services.items() for stage in stages]
    by_zone = {zone: set[tuple[str, str]]() for zone in plan.shape.zone_names}
    for number, stage in enumerate(stages, 1):
        by_zone[plan.shape.zone_of(number)].add(stage)
    assert len(by_zone) in {3, 5}
    assert all(found == set(stages) for found in by_zone.values())


def test_only_the_kinds_that_are_asked_for_are_drawn() -> None:
    kinds = (FaultKind.KILL_PROXY, FaultKind.CUT_HALVES, FaultKind.WIPE_CONTROLLER)
    for seed in SEEDS:
        drawn = {fault.kind for faults in draw_plan(seed, PlanOptions(kinds)).episodes for fault in faults}
        assert drawn <= set(kinds)


def test_every_kind_has_traits_and_one_who_injects_it() -> None:
    assert set(TRAITS) == set(FaultKind)
    assert sum(len(kinds_of(group)) for group in FaultGroup) == len(FaultKind)


def test_overlaps_are_counted_by_pairs_and_threes() -> None:
    intervals = [("a", 0.0, 4.0), ("b", 1.0, 3.0), ("c", 2.0, 5.0), ("b", 4.5, 6.0), ("d", 7.0, 8.0)]
    assert overlaps(intervals) == {"a + b": 1, "a + c": 1, "b + c": 2, "three at once": 1}
