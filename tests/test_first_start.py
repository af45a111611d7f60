"""Starts of the whole group: all machines within 0.3 s in any order, and later starts after all seeds are gone."""

from __future__ import annotations

from itertools import permutations
from random import Random

import pytest
from test_consensus_replica import SEEDS, Group

from cranebank.control.consensus_replica import State

START_SPREAD_S = 0.3  # within which all machines start
ELECTION_LIMIT_S = 1.6  # after the last start
LATER = ("10.0.0.4", "10.0.0.5", "10.0.0.6")
REPLACEMENT_LIMIT_S = 4.0  # after one member is gone


def start_all(group: Group, delays: dict[str, float]) -> None:
    """Start each machine after its delay, with settings for the first start of the system."""
    for ip, delay in sorted(delays.items(), key=lambda item: item[1]):
        group.run(delay - group.now)
        group.start(ip, is_first_start=True)


def check_one_group(group: Group) -> None:
    """Check that a primary is chosen in time, the members are the seeds, all replicas have its record, and a write is
    acknowledged."""
    limit = group.now + ELECTION_LIMIT_S
    while not group.primary and group.now < limit:
        group.run(0.01)
    assert group.primary
    group.write(1, 0, 3)
    group.run(2.0)
    record = group.nodes[group.primary].record
    assert record is not None and set(record.members) == set(SEEDS)
    assert {node.record for node in group.nodes.values()} == {record}
    assert group.committed[0] == 3 and len(group.answers) == 1


@pytest.mark.parametrize("order", list(permutations(SEEDS)), ids=lambda order: "-".join(ip[-1] for ip in order))
@pytest.mark.parametrize("gap_s", [0.0, 0.05, 0.15])
def test_seeds_that_start_in_any_order_make_one_group(order: tuple[str, ...], gap_s: float) -> None:
    group = Group(())
    start_all(group, {ip: place * gap_s for place, ip in enumerate(order)})
    check_one_group(group)


@pytest.mark.parametrize("seed", range(20))
def test_machines_that_are_no_seeds_may_start_before_these(seed: int) -> None:
    random = Random(seed)
    group = Group((), seed)
    start_all(group, {ip: random.uniform(0, START_SPREAD_S) for ip in (*SEEDS, *LATER)})
    check_one_group(group)


def test_members_restarted_together_find_each_other_when_no_seed_is_left() -> None:
    """Their settings still name the first three machines; the present members are on their disks."""
    group = Group((*SEEDS, *LATER))
    group.run(ELECTION_LIMIT_S)
    group.write(1, 0, 3)
    group.run(1.0)
    for ip in SEEDS:
        group.stop(ip)
        group.run(REPLACEMENT_LIMIT_S)
    record = group.nodes[group.primary].record
    assert record is not None and set(record.members) == set(LATER)
    for ip in LATER:
        group.stop(ip)
    for ip in LATER:
        group.start(ip)
    group.run(REPLACEMENT_LIMIT_S)
    assert group.nodes[group.primary].current == (3, b"doc3", b"d3")
    group.write(2, 3, 5)
    group.run(1.0)
    assert group.nodes[group.primary].current == (5, b"doc5", b"d5")


def test_a_new_machine_whose_seeds_are_all_gone_counts_for_nothing() -> None:
    """It must not form its own group, as its settings state that the system has started before."""
    group = Group(())
    group.start("10.0.0.4")
    group.run(20.0)
    assert group.nodes["10.0.0.4"].state is not State.PRIMARY and not group.primary
