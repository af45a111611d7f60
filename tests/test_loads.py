"""Loads gossiped between neighbours: the sums of received loads, and the contents and rate of sent datagrams."""

from __future__ import annotations

from random import Random

import pytest

from cranebank.membership.neighbour_loads import (
    MAX_AGE_S,
    MAX_BACKENDS_PER_PROXY,
    MAX_PROXIES,
    LoadSums,
    NeighbourLoads,
)
from cranebank.membership.outbox import MAX_PREFIX_BYTES, MAX_QUEUED_PREFIXES, GossipOutbox
from cranebank.transport.frames import encode
from cranebank.transport.messages import Backend, CachedPrefix, Gossip, Load
from cranebank.transport.revision import Revision


def test_the_newest_figures_of_each_neighbour_are_summed() -> None:
    loads = NeighbourLoads()
    assert loads.merge(0.0, "a", 1, [Load("x", 2, 100), Load("y", 1, 0)]) == {"x": (2, 100), "y": (1, 0)}
    assert loads.merge(0.1, "b", 7, [Load("x", 1, 50)]) == {"x": (3, 150)}
    assert loads.merge(0.2, "a", 2, [Load("x", 0, 0)]) == {"x": (1, 50)}
    assert loads.merge(0.3, "a", 1, [Load("x", 9, 9)]) == {}, "reordered datagram"
    assert loads.merge(0.3, "b", 8, [Load("x", 1, 50)]) == {}, "unchanged"
    assert loads.expire(0.0 + MAX_AGE_S + 0.01) == {"y": (0, 0)}
    assert loads.sums() == {"x": (1, 50)}
    assert loads.expire(5.0) == {"x": (0, 0)} and loads.sums() == {}
    assert loads.merge(6.0, "b", 1, [Load("x", 4, 4)]) == {"x": (4, 4)}, "the proxy has restarted"


def test_figures_are_bounded_and_senseless_ones_are_left_out() -> None:
    loads = NeighbourLoads()
    assert loads.merge(0.0, "a", 1, [Load("x", -1, 5), Load("y", 1, 1 << 60)]) == {}
    for number in range(MAX_PROXIES + 10):
        loads.merge(0.0, f"p{number}", 1, [Load("x", 1, 0)])
    assert loads.sums()["x"][0] < MAX_PROXIES + 1
    loads.merge(0.1, "a", 2, [Load(f"z{number}", 1, 0) for number in range(2 * MAX_BACKENDS_PER_PROXY)])
    assert len(loads.sums()) <= MAX_BACKENDS_PER_PROXY + 1


@pytest.mark.parametrize("seed", range(10))
def test_changes_lead_to_the_sums_and_these_are_what_a_plain_count_gives(seed: int) -> None:
    """Random loads: the returned changes, applied in order, always equal the sums."""
    random, loads, now = Random(seed), NeighbourLoads(), 0.0
    followed: LoadSums = {}
    plain: dict[tuple[str, str], tuple[int, int, float]] = {}
    for number in range(600):
        now += random.uniform(0.0, 0.2)
        proxy = random.choice("abcd")
        sent = [
            Load(backend, random.randrange(3), random.choice([0, 10, 1000]))
            for backend in random.sample("uvwxyz", random.randrange(4))
        ]
        followed |= loads.expire(now)
        plain = {key: value for key, value in plain.items() if now - value[2] <= MAX_AGE_S}
        followed |= loads.merge(now, proxy, number, sent)
        plain |= {(proxy, load.backend): (load.calls, load.tokens, now) for load in sent}
        counted: LoadSums = {}
        for (_, backend), (calls, tokens, _at) in plain.items():
            old = counted.get(backend, (0, 0))
            counted[backend] = (old[0] + calls, old[1] + tokens)
        counted = {key: value for key, value in counted.items() if value != (0, 0)}
        assert loads.sums() == counted == {key: value for key, value in followed.items() if value != (0, 0)}


def play(outbox: GossipOutbox, steps: int, out: list[tuple[str, int, int]], start: float = 0.0) -> list[Gossip]:
    """Return the datagrams of ``steps`` tenths of a second."""
    made = [outbox.next(start + step * 0.1, Revision(3), 9, out) for step in range(steps)]
    return [gossip for gossip in made if gossip is not None]


def test_with_nothing_out_one_datagram_a_second_is_told_and_with_something_five() -> None:
    outbox = GossipOutbox()
    assert len(play(outbox, 100, [])) == 10
    busy = play(outbox, 100, [("x", 1, 20)], 10.0)
    assert len(busy) == 50 and all(gossip.loads == (Load("x", 1, 20),) for gossip in busy)
    idle = play(outbox, 100, [], 20.0)
    assert idle[0].loads == (Load("x", 0, 0),) and not any(gossip.loads for gossip in idle[1:])
    assert len(idle) == 10
    numbers = [gossip.number for gossip in busy + idle]
    assert numbers == sorted(set(numbers))


def test_a_datagram_is_bounded_and_every_backend_has_its_turn() -> None:
    outbox = GossipOutbox()
    out = [(f"i-{number:08x}", 200, 100_000 + number) for number in range(200)]
    for number in range(20):
        outbox.add_prefix(CachedPrefix("i-7f3a91c2", f"{number:08x}", 13_300))
    known = {f"b{number}": _backend(f"b{number}", "ready", 1) for number in range(9)}
    outbox.changes([_backend(key, "draining", 2) for key in known], known)
    sent = play(outbox, 12, out)
    assert max(len(encode(gossip)) for gossip in sent) <= 1200
    assert {load.backend for gossip in sent for load in gossip.loads} == {backend for backend, _, _ in out}
    assert {prefix.part for gossip in sent for prefix in gossip.cached_prefixes} == {
        f"{number:08x}" for number in range(20)
    }
    assert all(len(gossip.cached_prefixes) <= 2 for gossip in sent)
    assert sum(len(gossip.changed_backends) for gossip in sent) == 9


def test_notes_are_bounded_in_number_and_bytes() -> None:
    outbox = GossipOutbox()
    for number in range(MAX_QUEUED_PREFIXES + 5):
        outbox.add_prefix(CachedPrefix("i-7f3a91c2", f"{number:08x}", 13_300))
    outbox.add_prefix(CachedPrefix("i-7f3a91c2", "0" * MAX_PREFIX_BYTES, 13_300))
    assert outbox.left_out == 6
    assert sum(len(gossip.cached_prefixes) for gossip in play(outbox, 30, [])) == MAX_QUEUED_PREFIXES


def test_a_change_of_phase_is_told_once_and_what_is_no_change_never() -> None:
    outbox, old = GossipOutbox(), _backend("b", "ready", 5)
    outbox.changes([_backend("b", "ready", 6), _backend("new", "ready", 1)], {"b": old})
    outbox.changes([_backend("b", "lost", 4)], {"b": old})
    outbox.changes([_backend("b", "lost", 9)], {"b": old})  # losses are not forwarded
    assert not any(gossip.changed_backends for gossip in play(outbox, 20, []))
    draining = _backend("b", "draining", 6)
    outbox.changes([draining], {"b": old})
    outbox.changes([draining], {"b": draining})
    assert [gossip.changed_backends for gossip in play(outbox, 20, [], 5.0) if gossip.changed_backends] == [(draining,)]


def _backend(key: str, phase: str, call_seq: int) -> Backend:
    return Backend(key, "service", "10.1.0.1:80", "z", "decode", 8, phase, call_seq)
