"""Controllers cut off in one direction only: they receive nothing, or nothing from them arrives. Others continue."""

from __future__ import annotations

import pytest
from test_consensus_replica import SEEDS, Group

from cranebank.control import events as ev
from cranebank.control.epochs import EpochRecord

FIVE = (*SEEDS, "10.0.0.4", "10.0.0.5")
TAKEOVER_S = 4.0  # within which the others have a primary that accepts writes
CUT_S = 20.0


class OneWayGroup(Group):
    """A group in which messages to ``deaf`` and from ``mute`` machines are lost."""

    def __init__(self, ips: tuple[str, ...] = SEEDS, seed: int = 1, tolerance: int = 1) -> None:
        self.deaf: set[str] = set()
        self.mute: set[str] = set()
        super().__init__(ips, seed, tolerance)

    def _do(self, ip: str, actions: list[ev.Action]) -> None:
        passed = [
            action
            for action in actions
            if not (isinstance(action, ev.Send) and (ip in self.mute or action.ip in self.deaf))
        ]
        super()._do(ip, passed)


def accepts_writes(group: Group, seconds: float) -> bool:
    """Return whether a write is acknowledged within this time."""
    end, request = group.now + seconds, 1000
    while group.now < end:
        group.run(0.1)
        primary = group.primary
        current = group.nodes[primary].current if primary else None
        if current is None:
            continue
        request += 1
        group.write(request, current[0], current[0] + 1, ip=primary)
        group.run(0.1)
        if group.answers.get(request) == ev.Accepted():
            return True
    return False


@pytest.mark.parametrize("seed", range(6))
def test_a_primary_that_hears_nobody_is_followed_by_another(seed: int) -> None:
    group = OneWayGroup(seed=seed)
    group.run(1.0)
    deaf = group.primary
    group.deaf.add(deaf)
    group.run(1.5)
    assert accepts_writes(group, TAKEOVER_S)
    assert group.primary != deaf


@pytest.mark.parametrize("seed", range(6))
def test_a_copy_that_hears_nobody_keeps_no_other_from_taking_over(seed: int) -> None:
    group = OneWayGroup(FIVE, seed=seed, tolerance=2)
    group.run(2.5)
    record = group.nodes[group.primary].record
    assert record is not None and len(record.copies) == 3
    deaf = next(ip for ip in record.copies if ip != group.primary)
    group.deaf.add(deaf)
    group.stop(group.primary)
    assert accepts_writes(group, TAKEOVER_S)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("way", ["deaf", "mute"])
def test_a_primary_cut_off_for_long_confirms_nothing_meanwhile(seed: int, way: str) -> None:
    group = OneWayGroup(seed=seed)
    group.run(1.0)
    old = group.primary
    getattr(group, way).add(old)
    end, request = group.now + CUT_S, 5000
    while group.now < end:
        group.run(0.5)
        request += 1
        group.write(request, 0, 50 + request, b"lost%d" % request, ip=old)
        if group.primary and group.primary != old:
            current = group.nodes[group.primary].current
            if current is not None:
                group.write(request + 10_000, current[0], current[0] + 1)
    assert group.primary not in ("", old)
    assert not any(isinstance(group.answers.get(number), ev.Accepted | ev.Conflict) for number in range(5003, 6000))
    getattr(group, way).clear()
    assert accepts_writes(group, TAKEOVER_S)


def test_a_vote_that_is_asked_for_again_is_stored_once() -> None:
    group = Group()
    group.run(1.0)
    record = group.nodes[group.primary].record
    assert record is not None
    node = group.nodes[next(ip for ip in SEEDS if ip not in record.copies)]
    ballot = (99, record.primary)
    changed = EpochRecord(record.epoch + 1, record.term, record.primary, record.copies, record.members)
    for message in (ev.Prepare(record.primary, record, ballot), ev.Accept(record.primary, record, ballot, changed)):
        received = ev.Received(group.primary, message)
        writes = [sum(isinstance(one, ev.Persist) for one in node.handle(group.now, received)) for _ in range(3)]
        assert writes == [1, 0, 0]
