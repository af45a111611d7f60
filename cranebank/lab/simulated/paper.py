"""Vectorised simulation of the paper's batched processes (PAPER, "Experiments"), to check the design's claims.

All balls of a batch see the loads at its start, so they are independent with one probability for each bin, and a batch
is one multinomial draw: exact, and O(n log n) for any batch size. The gap is the highest load less the mean; a run's
gap is the largest at the end of any of its batches. The paper doesn't define which gap it prints, or after how many
balls; its table fits this gap after 25 batches (docs/simulation.md).
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from math import log, sqrt

import msgspec
import numpy as np
from numpy.typing import NDArray

from cranebank.decisions import interface as api
from cranebank.decisions.balance import Balancer
from cranebank.lab.streams import stream

Loads = NDArray[np.int64]
Chances = NDArray[np.float64]
BATCHES = 25  # in a run

# PAPER, table "Empirical gap": by n and b/n. One-Choice is for m = b, the others in batches.
TABLE: dict[tuple[int, int], dict[str, float]] = {
    (10**4, 20): {"two-choice": 36.45, "quantile": 30.15, "one-plus-beta": 26.60, "one-choice": 19.00},
    (10**4, 50): {"two-choice": 70.10, "quantile": 45.75, "one-plus-beta": 39.00, "one-choice": 29.75},
    (10**4, 80): {"two-choice": 100.85, "quantile": 55.65, "one-plus-beta": 46.80, "one-choice": 35.80},
    (10**5, 20): {"two-choice": 39.90, "quantile": 34.10, "one-plus-beta": 29.95, "one-choice": 22.40},
    (10**5, 50): {"two-choice": 75.55, "quantile": 50.30, "one-plus-beta": 44.20, "one-choice": 34.30},
    (10**5, 80): {"two-choice": 111.10, "quantile": 64.90, "one-plus-beta": 55.20, "one-choice": 41.95},
}
PROCESSES = ("one-choice", "two-choice", "quantile", "one-plus-beta")


class Cell(msgspec.Struct, frozen=True):
    """A cell of the table: mean gap over ``runs``, its standard error, and the paper's value, if any."""

    n: int
    batch: int  # balls
    process: str
    gap: float
    runs: int
    error: float = 0.0
    paper: float | None = None
    mix: float = 1.0  # beta or eta


def one_choice(loads: Loads) -> Chances:
    """Return the probabilities of One-Choice: 1/n for each bin."""
    return np.full(len(loads), 1.0 / len(loads))


def d_choice(loads: Loads, d: int = 2) -> Chances:
    """Return the probabilities of d-Choice: the least loaded of d uniform draws, ties at random."""
    n = len(loads)
    ordered = np.sort(loads)
    below = np.searchsorted(ordered, loads, "left")  # bins with a lower load
    at_most = np.searchsorted(ordered, loads, "right")
    # P(all d draws have at least this load) - P(all have more), divided among the bins of this load.
    chances: Chances = (((n - below) / n) ** d - ((n - at_most) / n) ** d) / (at_most - below)
    return chances


def quantile(loads: Loads, random: np.random.Generator) -> Chances:
    """Return the probabilities of Quantile(1/2): accept a first draw from the lighter half, else take a second draw."""
    n = len(loads)
    order = np.lexsort((random.random(n), loads))  # ties at random
    chances = np.full(n, 0.5 / n)
    chances[order[: n - n // 2]] = 1.5 / n
    return np.asarray(chances / chances.sum(), dtype=np.float64)


def mixing(n: int, batch: int) -> float:
    """Return sqrt(n log n / b), at most 1 (the paper's beta without its constant)."""
    return min(1.0, sqrt(n * log(n) / batch))


def chances_of(process: str, loads: Loads, batch: int, random: np.random.Generator, mix: float | None) -> Chances:
    """Return the probability of each bin for the balls of a batch."""
    n = len(loads)
    if process == "one-choice":
        return one_choice(loads)
    if process == "two-choice":
        return d_choice(loads)
    if process == "three-choice":
        return d_choice(loads, 3)
    if process == "quantile":
        weight = mixing(n, batch) if mix is None else mix
        return weight * quantile(loads, random) + (1.0 - weight) / n
    weight = 0.7 * mixing(n, batch) if mix is None else mix  # the constant of the paper's table
    return weight * d_choice(loads) + (1.0 - weight) / n


def gap(process: str, n: int, batch: int, seed: int, batches: int = BATCHES, mix: float | None = None) -> float:
    """Return the largest gap in a run of ``batches``; One-Choice runs a single batch (PAPER: m = b)."""
    random = stream(seed, "paper", process, n, batch)
    loads: Loads = np.zeros(n, dtype=np.int64)
    largest = 0.0
    for _ in range(1 if process == "one-choice" else batches):
        loads += random.multinomial(batch, chances_of(process, loads, batch, random, mix))
        largest = max(largest, float(loads.max() - loads.mean()))
    return largest


def _run_gap(job: tuple[str, int, int, float | None], seed: int) -> float:
    process, n, batch, mix = job
    return gap(process, n, batch, seed, mix=mix)


def table(
    sizes: tuple[int, ...] = (10**4, 10**5),
    multiples: tuple[int, ...] = (20, 50, 80),
    runs: int = 20,
    processes: int | None = None,
) -> list[Cell]:
    """Return the paper's table, each cell the mean of ``runs``, computed by ``processes`` worker processes."""
    cells = []
    with ProcessPoolExecutor(processes) as pool:
        for n in sizes:
            for multiple in multiples:
                for process in PROCESSES:
                    job = partial(_run_gap, (process, n, multiple * n, None))
                    found = np.array(list(pool.map(job, range(runs))))
                    cells.append(
                        Cell(
                            n,
                            multiple * n,
                            process,
                            float(found.mean()),
                            runs,
                            float(found.std(ddof=1) / sqrt(runs)) if runs > 1 else 0.0,
                            TABLE.get((n, multiple), {}).get(process),
                        )
                    )
    return cells


def curves(n: int = 1000, runs: int = 25, processes: int | None = None) -> tuple[list[Cell], list[Cell]]:
    """Return the paper's two figures: gap by beta for several batches, and gap by batch for several processes."""
    betas = [round(0.05 * i, 2) for i in range(1, 21)]
    beta_jobs = [("one-plus-beta", n, multiple * n, beta) for multiple in (5, 10, 20, 50) for beta in betas]
    batch_jobs = [
        (process, n, multiple * n, mix(n, multiple * n))
        for multiple in range(5, 55, 5)
        for process, mix in _MIX_BY_PROCESS.items()
    ]
    with ProcessPoolExecutor(processes) as pool:
        found = []
        for job in beta_jobs + batch_jobs:
            gaps = list(pool.map(partial(_run_gap, (job[0].split(":")[0], *job[1:])), range(runs)))
            mix = 1.0 if job[3] is None else job[3]
            found.append(Cell(job[1], job[2], job[0], float(np.mean(gaps)), runs, mix=mix))
    return found[: len(beta_jobs)], found[len(beta_jobs) :]


_MIX_BY_PROCESS: dict[str, Callable[[int, int], float | None]] = {
    "two-choice": lambda n, b: None,
    "three-choice": lambda n, b: None,
    "one-plus-beta:0.5": lambda n, b: 0.5,
    "one-plus-beta:0.7 sqrt": lambda n, b: 0.7 * mixing(n, b),
    "one-plus-beta:sqrt": mixing,
}


def module_gap(n: int, multiple: int, batches: int, seed: int) -> float:
    """Return the module's largest gap, measured through its interface with n equal hosts.

    Calls end at once, so hosts differ only in their reported loads, which are renewed every ``multiple`` x n calls. The
    reported load is the number of calls that a host has had, as in the paper. One copy; all hosts are probed at once.
    """
    kind = api.RequestClass(aim=1e9, deadline=1e10, effect=api.Effect.SAFE)
    settings = api.Settings(classes=(kind,), may_probe=True, report_source=api.ReportSource.PROBE, probe_price=1.0)
    module = Balancer(settings, seed)
    names = [f"h{i}" for i in range(n)]
    loads, now, largest = dict.fromkeys(names, 0), 1000.0, 0.0
    module.handle(now, api.ServerList(api.ListKind.ALL, tuple(api.ServerEntry(name) for name in names)))
    for batch in range(batches):
        for name in names:
            module.handle(now, api.ProbeResult(name, api.Outcome.OK, 1.0, {"inflight": float(loads[name])}))
        for call in range(multiple * n):
            now += 1.0
            request = f"{batch}-{call}"
            for action in module.handle(now, api.Request(request, 0, 1e10)):
                if isinstance(action, api.Send):
                    loads[action.server] += 1
                    module.handle(now, api.AttemptResult(request, 0, action.server, api.Outcome.OK, 10.0, True))
        largest = max(largest, max(loads.values()) - sum(loads.values()) / n)
    return largest


def _module_gaps(multiple: int, n: int, batches: int) -> tuple[int, tuple[float, ...]]:
    gaps = [
        float(np.mean([gap(process, n, multiple * n, seed, batches) for seed in range(5)]))
        for process in ("one-choice", "two-choice", "one-plus-beta")
    ]
    return multiple, (*gaps, module_gap(n, multiple, batches, 1))


def module_table(
    n: int = 1000, multiples: tuple[int, ...] = (1, 2, 5, 10, 20, 50), batches: int = 8
) -> list[tuple[int, tuple[float, ...]]]:
    """Return, by b/n, the gaps of One-Choice, Two-Choice, (1+beta) with the paper's constant, and of the module."""
    with ProcessPoolExecutor() as pool:
        return list(pool.map(partial(_module_gaps, n=n, batches=batches), multiples))
