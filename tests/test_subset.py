"""Subsets of hosts: bounded, stable, even, never empty; and the lists that the rules layer passes to the module."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from conftest import make_settings
from hypothesis import given, settings
from hypothesis import strategies as st

from cranebank.core import rules
from cranebank.core.counters import Counters
from cranebank.decisions import interface as api
from cranebank.routing.subset import Subset, SubsetSpec, slot_ring_position

HOSTS = st.sets(st.text(min_size=1, max_size=8), min_size=1, max_size=60)


def chosen_hosts(
    hosts: list[str], slot: int, copies: int = 50, zones: int = 1, near: bool = False, **wanted: int
) -> set[str]:
    subset = Subset(SubsetSpec(**({"size": 8, "from_hosts": 1, "cover": 1} | wanted)), slot, copies, slot % zones, near)
    subset.update((host, i % zones) for i, host in enumerate(hosts))
    return subset.chosen()


@settings(max_examples=150, deadline=None, derandomize=True)
@given(HOSTS, st.integers(0, 2000), st.randoms(use_true_random=False))
def test_it_is_bounded_never_none_and_the_same_in_whatever_order_hosts_come(
    hosts: set[str], slot: int, draw: random.Random
) -> None:
    ordered = sorted(hosts)
    found = chosen_hosts(ordered, slot)
    assert len(found) == min(8, len(hosts))
    shuffled = list(ordered)
    draw.shuffle(shuffled)
    subset = Subset(SubsetSpec(8, 1, 1), slot, 50)
    subset.update((host, 0) for host in [*shuffled, "one more"])
    subset.update((), ["one more"])
    assert subset.chosen() == found


@settings(max_examples=150, deadline=None, derandomize=True)
@given(HOSTS, st.integers(0, 200), st.data())
def test_a_host_that_goes_moves_nobody_who_did_not_hold_it_and_one_host_for_who_did(
    hosts: set[str], slot: int, data: st.DataObject
) -> None:
    ordered = sorted(hosts)
    gone = data.draw(st.sampled_from(ordered))
    before, after = chosen_hosts(ordered, slot), chosen_hosts([h for h in ordered if h != gone], slot)
    assert before - after <= {gone}
    assert len(after - before) <= (gone in before)  # the minimum


@pytest.mark.parametrize(
    ("copies", "count", "factor"),
    [
        (200, 200, 1.0),
        (200, 200, 2.0),
        (200, 200, 0.5),
        (1000, 100, 1.0),
        (50, 500, 1.0),
        (50, 500, 2.0),
        (20, 1000, 2.0),
    ],
)
def test_every_host_is_held_about_evenly_though_the_told_count_is_stale_by_a_factor_of_two(
    copies: int, count: int, factor: float
) -> None:
    hosts = [f"s-{i * 7919:x}" for i in range(count)]
    of = [chosen_hosts(hosts, slot, round(copies * factor), size=20, cover=8) for slot in range(copies)]
    cover = Counter(host for found in of for host in found)
    mean = sum(cover.values()) / count
    assert min(cover[host] for host in hosts) >= max(1.0, 0.25 * mean)
    assert max(cover.values()) <= 2.2 * mean + 1
    assert mean >= 8 / max(1.0, factor) - 1


def test_places_of_copies_are_evenly_spread_for_any_count() -> None:
    for count in (2, 3, 7, 50, 200):
        places = sorted(slot_ring_position(slot) for slot in range(count))
        gaps = [b - a for a, b in zip(places, [*places[1:], places[0] + 1.0], strict=True)]
        assert max(gaps) <= 2.0 / count + 1e-9


def test_zones_are_kept_and_the_own_comes_first_where_crossing_has_a_price() -> None:
    hosts = [f"h{i}" for i in range(300)]
    far = Counter(int(host[1:]) % 3 for host in chosen_hosts(hosts, 4, zones=3, size=24))
    assert set(far) == {0, 1, 2} and max(far.values()) <= 9
    near = Counter(int(host[1:]) % 3 for host in chosen_hosts(hosts, 4, zones=3, near=True, size=24))
    assert (near[1], near[0], near[2]) == (24, 6, 6)


@pytest.mark.parametrize(("count", "size", "expected"), [(2, 8, 2), (99, 8, 99), (100, 8, 8), (300, 0, 300)])
def test_below_a_size_or_switched_off_all_are_held(count: int, size: int, expected: int) -> None:
    assert len(chosen_hosts([f"h{i}" for i in range(count)], 3, size=size, from_hosts=100)) == expected


class Module:
    """A decision module that only keeps the list."""

    def __init__(self) -> None:
        self.listed: dict[str, api.ServerEntry] = {}

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.ServerList):
            if event.kind is not api.ListKind.CHANGES:
                self.listed.clear()
            for entry in event.entries:
                self.listed[entry.server] = entry
                if entry.state is not api.ServerState.IN:
                    del self.listed[entry.server]
        return []


class Time:
    def module_ms(self, at: int) -> float:
        return at / 1000.0

    def from_module_ms(self, at: float) -> int:
        return round(at * 1000.0)


def news(kind: api.ListKind, *hosts: tuple[str, api.ServerState]) -> rules.RoutingUpdate:
    return rules.RoutingUpdate(kind, tuple(rules.Host(api.ServerEntry(name, state=state), "") for name, state in hosts))


def test_half_of_a_subset_that_drains_is_made_up_for_at_once_and_a_deploy_leaves_no_copy_short() -> None:
    module, counters = Module(), Counters()
    layer = rules.Rules(
        make_settings(copies=40), 1, Time(), counters, lambda *_: module, Subset(SubsetSpec(10, 50, 1), 7, 40)
    )
    names = [f"s{i}" for i in range(200)]
    serving, draining, out = api.ServerState.IN, api.ServerState.DRAINING, api.ServerState.OUT
    orders = layer.handle(0, news(api.ListKind.ALL, *((name, serving) for name in names)))
    first = set(module.listed)
    assert len(first) == 10
    (listed,) = [order.update.hosts for order in orders if isinstance(order, rules.UpdateUpstreams)]
    assert {host.entry.server for host in listed} == first  # the upstream side gets the subset only
    half = sorted(first)[:5]
    layer.handle(1, news(api.ListKind.CHANGES, *((name, draining) for name in half)))
    assert len(module.listed) == 10 and not set(half) & set(module.listed)
    assert counters["subset_joined"] == 15
    for number, name in enumerate(names[:194]):  # 97% of them, one after another, each with a replacement
        layer.handle(2, news(api.ListKind.CHANGES, (f"new{number}", serving), (name, draining)))
        layer.handle(3, news(api.ListKind.CHANGES, (name, out)))
        assert len(module.listed) == 10
    assert counters["subset_joined"] <= 15 + 2.5 * 10  # about one replacement per host of the subset
    layer.handle(4, news(api.ListKind.ALL, *((name, serving) for name in ("a", "b"))))
    assert set(module.listed) == {"a", "b"}


def test_where_only_draining_binds_the_module_knows_all() -> None:
    module = Module()
    layer = rules.Rules(
        make_settings(removals_are_advisory=True),
        1,
        Time(),
        Counters(),
        lambda *_: module,
        Subset(SubsetSpec(4, 1, 1), 0, 1),
    )
    layer.handle(0, news(api.ListKind.ALL, *((f"s{i}", api.ServerState.IN) for i in range(30))))
    assert len(module.listed) == 30
