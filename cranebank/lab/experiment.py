"""Experiments: run scenarios x settings x seeds, save the results, resume after an interruption, and compare.

A folder holds a copy of ``experiment.toml``, ``results.jsonl`` with one finished run per line, and a folder of records
for each run. Finished runs are readable at any time; ``resume`` runs the missing ones.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import itertools
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from math import sqrt
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
from scipy import stats

from cranebank.config.checks import ConfigError, convert_checked
from cranebank.config.own import read_toml
from cranebank.lab.child import Part
from cranebank.lab.plan import plan
from cranebank.lab.results import Result
from cranebank.lab.run import Run
from cranebank.lab.scenario import Experiment, Scenario

MAX_TRIES = 3  # total tries of a run whose generator was late
FIGURES: dict[str, Callable[[Result], float]] = {
    "service": lambda r: r.service,
    "in_time": lambda r: r.in_time,
    "p50_ms": lambda r: _mean_quantile(r, "p50"),
    "p99_ms": lambda r: _mean_quantile(r, "p99"),
    "legs_per_request": lambda r: r.legs_per_request,
    "breaches": lambda r: float(sum(b.count for b in r.verdict.breaches)),
}
HIGHER_IS_BETTER = ("service", "in_time")


def _mean_quantile(result: Result, name: str) -> float:
    """Return the mean of a quantile over the classes, weighted by their requests."""
    asked = sum(c.asked for c in result.classes) or 1
    return sum(c.latency_ms[name] * c.asked for c in result.classes) / asked


class Case(msgspec.Struct, frozen=True):
    """One run of an experiment."""

    id: str
    scenario: Scenario
    cell: dict[str, bool | int | float | str]
    seed: int
    turn: int  # index of the repeat with this seed
    beside: str


class Row(msgspec.Struct, frozen=True):
    """One line of the results file."""

    id: str
    scenario: str
    cell: dict[str, bool | int | float | str]
    seed: int
    result: Result
    turn: int = 0


class Figure(msgspec.Struct, frozen=True):
    """A mean over runs with its 95% confidence interval (Student's t)."""

    mean: float
    low: float
    high: float
    runs: int


def set_path(fields: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    """Return a decoded scenario with one value set by its path, such as ``tier.0.proxies``."""
    changed = copy.deepcopy(fields)
    node: Any = changed
    *parents, last = path.split(".")
    try:
        for step in parents:
            node = node[int(step)] if isinstance(node, list) else node.setdefault(step, {})
        node[int(last) if isinstance(node, list) else last] = value
    except (KeyError, IndexError, ValueError, TypeError, AttributeError):
        raise ConfigError(f"{path}: no such key in the scenario") from None
    return changed


def read(path: Path) -> Experiment:
    """Read and check an experiment, including its scenarios with each setting of the grid."""
    experiment = convert_checked(read_toml(path), Experiment, str(path))
    cases(experiment, path)
    return experiment


def cases(experiment: Experiment, path: Path) -> list[Case]:
    """Return all runs of an experiment, in order."""
    found = []
    grids = [[(cell.path, value) for value in cell.values] for cell in experiment.grid]
    for name in experiment.scenarios:
        file = path.parent / name
        fields = read_toml(file)
        for cell in itertools.product(*grids):
            changed = fields
            for key, value in cell:
                try:
                    changed = set_path(changed, key, value)
                except ConfigError as error:
                    raise ConfigError(f"{path}: grid: {error}") from None
            settings = " ".join(f"{key}={value}" for key, value in cell)
            where = f"{path}: {name}{f' with {settings}' if settings else ''}"
            for seed in experiment.seeds:
                scenario = convert_checked(changed | {"seed": seed}, Scenario, where)
                try:
                    plan(scenario)
                except ValueError as error:
                    raise ConfigError(f"{where}: {error}") from None
                words = [scenario.name, *(f"{key}={value}" for key, value in cell), f"seed={seed}"]
                for turn in range(experiment.repeats):
                    id_ = "_".join([*words, f"turn={turn}"] if experiment.repeats > 1 else words)
                    found.append(Case(id_, scenario, dict(cell), seed, turn, str(file.parent)))
    if len({case.id for case in found}) < len(found):
        raise ConfigError(f"{path}: scenarios: expected scenarios whose names differ")
    return found


def rows(folder: Path) -> list[Row]:
    """Return the finished runs of a folder; a truncated last line is skipped."""
    found = []
    with contextlib.suppress(FileNotFoundError), open(folder / "results.jsonl", "rb") as file:
        for line in file:
            with contextlib.suppress(msgspec.DecodeError):
                found.append(msgspec.json.decode(line, type=Row))
    return found


def run(path: Path, folder: Path, resume: bool, say: Callable[[str], None], on: str = "sockets") -> int:
    """Run an experiment or its missing runs ``on`` sockets or simulated; return the number of unusable runs."""
    experiment = read(path)
    folder.mkdir(parents=True, exist_ok=True)
    copied = folder / "experiment.toml"
    text = path.read_bytes()
    done = rows(folder)
    if done and not resume:
        raise ConfigError(f"{folder}: contains results; expected --resume, or another folder")
    if done and copied.exists() and copied.read_bytes() != text:
        raise ConfigError(f"{folder}: its results belong to another experiment than {path}")
    copied.write_bytes(text)
    _drop_truncated_line(folder / "results.jsonl")
    finished = {row.id for row in done}
    wanted = [case for case in cases(experiment, path) if case.id not in finished]
    say(f"{len(finished)} of {len(finished) + len(wanted)} runs are finished")
    if on == "simulated":
        return _run_simulated(wanted, folder, say)
    return asyncio.run(_run_on_sockets(wanted, folder, experiment.at_once, say))


def _save(case: Case, result: Result, folder: Path, say: Callable[[str], None]) -> None:
    row = Row(case.id, case.scenario.name, case.cell, case.seed, result, case.turn)
    with open(folder / "results.jsonl", "ab") as file:
        file.write(msgspec.json.encode(row) + b"\n")
    why_not = "" if result.usable else f"  not usable: {result.why_not}"
    broken = "".join(f"  {b.rule} x{b.count}" for b in result.verdict.breaches)
    say(
        f"{case.id}: service {result.service:.4f}  in time {result.in_time:.4f}  "
        f"legs {result.legs_per_request:.3f}{broken}{why_not}"
    )


def _run_simulated(wanted: Sequence[Case], folder: Path, say: Callable[[str], None]) -> int:
    """Run cases in simulated time, in parallel processes; such runs don't affect each other."""
    from cranebank.lab.simulated.world import play  # noqa: PLC0415  (not needed on sockets)

    with ProcessPoolExecutor(mp_context=get_context("spawn")) as pool:
        runs = {pool.submit(play, case.scenario, Path(case.beside)): case for case in wanted}
        for done in as_completed(runs):
            _save(runs[done], done.result(), folder, say)
    return 0


def _drop_truncated_line(path: Path) -> None:
    """Remove a truncated last line, which an interrupted run can leave, before appending."""
    if path.exists():
        text = path.read_bytes()
        if text and not text.endswith(b"\n"):
            path.write_bytes(text[: text.rfind(b"\n") + 1])


async def _run_on_sockets(wanted: Sequence[Case], folder: Path, at_once: int, say: Callable[[str], None]) -> int:
    slots, unusable = asyncio.Semaphore(at_once), 0

    async def one(case: Case) -> None:
        nonlocal unusable
        async with slots:
            for turn in range(MAX_TRIES):
                result = await Run(case.scenario, folder / "runs" / case.id, Path(case.beside)).play()
                if result.usable or turn == MAX_TRIES - 1:
                    break
                say(f"{case.id}: {result.why_not}; trying again")
            unusable += not result.usable
            _save(case, result, folder, say)

    async with asyncio.TaskGroup() as group:
        for case in wanted:
            group.create_task(one(case))
    return unusable


def figure(values: Iterable[float]) -> Figure:
    """Return the mean with its 95% interval; with a single value the interval is empty."""
    sample = np.array(list(values), dtype=float)
    if len(sample) < 2:
        mean = float(sample.mean()) if len(sample) else 0.0
        return Figure(mean, mean, mean, len(sample))
    half = float(stats.t.ppf(0.975, len(sample) - 1)) * float(sample.std(ddof=1)) / sqrt(len(sample))
    return Figure(float(sample.mean()), float(sample.mean()) - half, float(sample.mean()) + half, len(sample))


def groups(found: Iterable[Row]) -> dict[tuple[str, str], list[Row]]:
    """Group usable rows by scenario and settings."""
    by: dict[tuple[str, str], list[Row]] = {}
    for row in found:
        if row.result.usable:
            settings = " ".join(f"{key}={value}" for key, value in row.cell.items())
            by.setdefault((row.scenario, settings), []).append(row)
    return by


class Match(msgspec.Struct, frozen=True):
    """Means over seeds of one scenario on sockets and simulated, and whether they agree."""

    scenario: str
    seeds: int
    in_time_sockets: float
    in_time_simulated: float
    legs_sockets: float
    legs_simulated: float
    near: bool  # in_time within 3 percentage points, legs within 10%


def match(sockets: Sequence[Row], simulated: Sequence[Row]) -> list[Match]:
    """Compare results on sockets with simulated ones, by scenario, over the seeds in both."""
    found = []
    for scenario in dict.fromkeys(row.scenario for row in sockets):
        left = {row.seed: row.result for row in sockets if row.scenario == scenario and row.result.usable}
        right = {row.seed: row.result for row in simulated if row.scenario == scenario}
        seeds = [seed for seed in left if seed in right]
        if seeds:
            times = [sum(of[s].in_time for s in seeds) / len(seeds) for of in (left, right)]
            legs = [sum(of[s].legs_per_request for s in seeds) / len(seeds) for of in (left, right)]
            near = abs(times[0] - times[1]) <= 0.03 and abs(legs[1] / legs[0] - 1) <= 0.10
            found.append(Match(scenario, len(seeds), times[0], times[1], legs[0], legs[1], near))
    return found


class Difference(msgspec.Struct, frozen=True):
    """Difference B - A, paired by scenario, settings and seed; ``worse`` if B is worse at 95% confidence."""

    scenario: str
    settings: str
    figure: str
    a: float
    b: float
    difference: Figure
    worse: bool


def compare(a: Sequence[Row], b: Sequence[Row], drop: str = "") -> list[Difference]:
    """Compute differences paired by scenario, settings, seed and turn.

    ``drop`` is the grid path that distinguishes A from B if both belong to one experiment.
    """

    def key(row: Row) -> tuple[str, str, int, int]:
        cell = {path: value for path, value in row.cell.items() if path != drop}
        return row.scenario, " ".join(f"{path}={value}" for path, value in cell.items()), row.seed, row.turn

    left = {key(row): row.result for row in a if row.result.usable}
    right = {key(row): row.result for row in b if row.result.usable}
    found = []
    for scenario, settings in dict.fromkeys((s, c) for s, c, *_ in left):
        seeds = [k for k in left if k[:2] == (scenario, settings) and k in right]
        if not seeds:
            continue
        for name, of in FIGURES.items():
            a_values, b_values = [of(left[k]) for k in seeds], [of(right[k]) for k in seeds]
            gap = figure(y - x for x, y in zip(a_values, b_values, strict=True))
            worse = gap.runs > 1 and (gap.high < 0 if name in HIGHER_IS_BETTER else gap.low > 0)
            found.append(Difference(scenario, settings, name, figure(a_values).mean, figure(b_values).mean, gap, worse))
    return found


def scenarios_of(folder: Path) -> dict[str, Scenario]:
    """Return the scenarios of a folder's runs by name, read from their part files; reports mark their faults."""
    found: dict[str, Scenario] = {}
    for path in sorted(folder.glob("runs/*/part-load.json")):
        scenario = msgspec.json.decode(path.read_bytes(), type=Part).scenario
        found.setdefault(scenario.name, scenario)
    return found


def select(source: str) -> tuple[list[Row], str]:
    """Return the rows of ``FOLDER``, or those of ``FOLDER:path=value`` with that setting, and the setting's path."""
    folder, _, setting = source.partition(":")
    found = rows(Path(folder))
    if not found:
        raise ConfigError(f"{folder}: expected a folder with results.jsonl that holds finished runs")
    if not setting:
        return found, ""
    path, _, value = setting.partition("=")
    kept = [row for row in found if str(row.cell.get(path)) == value]
    if not kept:
        raise ConfigError(f"{source}: no finished run has this setting")
    return kept, path
