"""The table of applied calls: its bound, and a primary's answers to calls that were evicted from it."""

from __future__ import annotations

import pytest
from test_consensus_replica import Group, ready

from cranebank.control import call_table
from cranebank.control import events as ev
from cranebank.control.call_table import EMPTY_TABLE, AppliedCall, CallTable
from cranebank.transport.revision import Revision

SMALL_TABLE_CALLS = 3
DISK_AND_LINK_S = 0.05  # within which a write is on its copy's disk and answered


@pytest.fixture(autouse=True)
def _small_table(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(call_table, "MAX_CALLS", SMALL_TABLE_CALLS)


def digest_of(revision: int) -> bytes:
    return b"d%d" % revision


def table_of(*revisions: int) -> CallTable:
    table = EMPTY_TABLE
    for revision in revisions:
        table = table.with_call(Revision(revision), digest_of(revision))
    return table


def changed(*revisions: int) -> Group:
    """Return a group that has acknowledged these changes, one after the other."""
    group = ready()
    base = 0
    for revision in revisions:
        group.write(revision, base, revision)
        group.run(DISK_AND_LINK_S)
        assert group.answers[revision] == ev.Accepted()
        base = revision
    return group


def test_the_table_holds_the_newest_calls_and_tells_which_may_have_fallen_out() -> None:
    table = table_of(2, 3, 5)
    assert (table.calls[0], table.forgotten) == (AppliedCall(Revision(2), digest_of(2)), 0)
    assert not table.may_be_forgotten(1)
    table = table_of(2, 3, 5, 8, 9)
    assert [call.revision for call in table.calls] == [5, 8, 9]
    assert table.revision_of(digest_of(5)) == 5 and table.revision_of(digest_of(3)) is None
    assert table.may_be_forgotten(3) and not table.may_be_forgotten(4)


def test_a_call_that_may_have_been_taken_is_never_refused_whoever_is_primary() -> None:
    group = changed(2, 3, 5, 8, 9)
    old = group.primary
    for is_taken_over in (False, True):
        if is_taken_over:
            group.stop(old)
            group.run(3.0)
            assert group.primary not in ("", old)
        group.write(20, 2, 3)  # evicted
        group.write(21, 3, 5)  # the oldest in the table
        group.write(22, 3, 4, b"never taken")
        assert [group.answers.pop(request) for request in (20, 21, 22)] == [
            ev.Unknown(),
            ev.Accepted(),
            ev.Conflict(9),
        ]
        assert group.nodes[group.primary].may_be_forgotten(3)
        assert not group.nodes[group.primary].may_be_forgotten(4)


def test_a_call_is_known_to_a_primary_only_when_its_value_is_committed() -> None:
    group = ready()
    primary = group.nodes[group.primary]
    group.write(1, 0, 2)
    assert 1 not in group.answers
    assert primary.known_call(digest_of(2)) is None
    group.run(DISK_AND_LINK_S)
    assert group.answers == {1: ev.Accepted()} and primary.known_call(digest_of(2)) == 2
