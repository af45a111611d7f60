"""The (1+beta) process: beta at its limits, and draws in the proportions that it gives."""

from __future__ import annotations

import math
from collections.abc import Callable

import pytest
from conftest import Driver

from cranebank.decisions.balance import beta
from cranebank.decisions.interface import Outcome


@pytest.mark.parametrize("n", [2, 3, 10, 50])
def test_beta_is_one_up_to_n_log_n(n: int) -> None:
    edge = n * math.log(n)
    assert beta(n, 0.0) == 1.0
    assert beta(n, edge) == 1.0
    assert beta(n, edge * 1.0001) < 1.0


def test_beta_falls_as_the_root_of_b() -> None:
    edge = 10 * math.log(10)
    assert beta(10, 4 * edge) == pytest.approx(0.5)
    assert beta(10, 100 * edge) == pytest.approx(0.1)


@pytest.mark.parametrize("n", [0, 1])
def test_beta_with_no_choice_is_defined(n: int) -> None:
    assert 0.0 <= beta(n, 5.0) <= 1.0
    assert beta(n, 0.0) == 1.0


def _share_to_lower_load(drive: Callable[..., Driver], age: float, copies: int) -> float:
    """Return the share of calls to the server with the lower load, of two."""
    lower = 0
    d = drive(copies=copies)
    d.listed(["a", "b"])
    for _ in range(2000):
        d.now += 500.0
        for name, load in (("a", 9.0), ("b", 3.0)):
            d.balancer._record_load(d.balancer.servers[name], {"inflight": load})
        d.now += age
        name, _actions = d.request()
        lower += d.sent[name] == ["b"]
        d.result(name)
    return lower / 2000


def test_fresh_figures_make_the_process_two_choice(drive: Callable[..., Driver]) -> None:
    # Two draws with replacement: the server with the higher load is used only when drawn twice.
    assert _share_to_lower_load(drive, 0.0, 1) == pytest.approx(0.75, abs=0.03)


def test_old_figures_make_the_process_nearly_one_choice(drive: Callable[..., Driver]) -> None:
    share = _share_to_lower_load(drive, 400.0, 400)  # b is some 200, beta 0.08: 0.5 + beta / 4
    assert 0.49 < share < 0.56


def test_without_any_figure_the_draw_is_uniform(drive: Callable[..., Driver]) -> None:
    d = drive()
    d.listed([f"s{i}" for i in range(5)])
    firsts = d.serve(2500)
    assert min(firsts.values()) > 400
    assert max(firsts.values()) < 600


def test_failed_and_refused_calls_set_no_figure_but_count_in_the_rate(drive: Callable[..., Driver]) -> None:
    d = drive(max_attempts=1)
    d.listed(["a", "b"])
    for outcome in (Outcome.FULL, Outcome.ERROR, Outcome.TIMEOUT):
        d.now += 50.0
        name, _ = d.request()
        d.result(name, outcome, load={"inflight": 0.0})
    assert all(s.load is None for s in d.balancer.servers.values())
    assert d.balancer.sent_count == 3
