"""Invariants that are violated are counted by name and raised, and the metrics tell of them."""

from __future__ import annotations

import pytest

from cranebank import invariants
from cranebank.invariants import InvariantBroken, broken, violations
from cranebank.programs import metrics


def test_a_violation_is_counted_by_name() -> None:
    with pytest.raises(InvariantBroken, match="loads are not below zero: i-1"):
        raise broken("loads are not below zero", "i-1")
    broken("loads are not below zero")
    broken("one answer a request")
    assert violations() == {"loads are not below zero": 2, "one answer a request": 1}


def test_names_are_bounded() -> None:
    for number in range(invariants.NAMES_MOST + 50):
        broken(f"invariant {number}")
    assert len(violations()) <= invariants.NAMES_MOST + 1
    assert sum(violations().values()) == invariants.NAMES_MOST + 50


def test_the_metrics_tell_of_violations() -> None:
    broken("a primary's value, by its term")
    told = metrics.exposition([metrics._invariant_violations("cranebank_edge_")]).decode()
    assert told.splitlines()[-1] == (
        'cranebank_edge_invariant_violations_total{invariant="a_primary_s_value_by_its_term"} 1'
    )
