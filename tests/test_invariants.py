"""Violated invariants are counted by name and raised, and the metrics export the counts."""

from __future__ import annotations

import pytest
from loguru import logger

from cranebank import invariants
from cranebank.invariants import InvariantBroken, invariant_error, record_violation, violations
from cranebank.programs import metrics

pytestmark = pytest.mark.violates_invariants


def test_a_violation_is_counted_by_name() -> None:
    with pytest.raises(InvariantBroken, match="loads are not below zero: i-1"):
        raise invariant_error("loads are not below zero", "i-1")
    invariant_error("loads are not below zero")
    invariant_error("one answer a request")
    assert violations() == {"loads are not below zero": 2, "one answer a request": 1}


def test_names_are_bounded() -> None:
    for number in range(invariants.MAX_NAMES + 50):
        invariant_error(f"invariant {number}")
    assert len(violations()) <= invariants.MAX_NAMES + 1
    assert sum(violations().values()) == invariants.MAX_NAMES + 50


def test_the_metrics_tell_of_violations() -> None:
    invariant_error("a primary's value, by its term")
    text = metrics.exposition([metrics._invariant_violations("cranebank_edge_")]).decode()
    assert text.splitlines()[-1] == (
        'cranebank_edge_invariant_violations_total{invariant="a_primary_s_value_by_its_term"} 1'
    )


def test_one_that_the_code_goes_on_from_is_logged_a_few_times() -> None:
    lines: list[str] = []
    number = logger.add(lines.append, format="{message}")
    for _ in range(10):
        record_violation("the fence never falls", "5 after 6")
    logger.remove(number)
    assert violations() == {"the fence never falls": 10}
    assert lines == ["invariant violated: the fence never falls: 5 after 6\n"] * invariants.MAX_LOGGED_PER_NAME
