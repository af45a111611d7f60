"""Plays many soak runs, several in parallel, and sums up their results."""

from __future__ import annotations

import multiprocessing
import shutil
import traceback
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import msgspec

from cranebank.fleetlab.soak import play
from cranebank.fleetlab.soak_plan import FaultKind, SoakPlan
from cranebank.fleetlab.soak_verdict import SoakVerdict

FILES_KEPT_WHEN_PASSED = frozenset({"plan.json", "verdict.json"})
RUN_LOG_NAME = "run.log"
MAX_SLOWEST_REPORTED = 5  # runs with the longest outages that the report names


class CampaignReport(msgspec.Struct):
    """The results of all runs."""

    verdicts: list[SoakVerdict]
    crashed: dict[int, str]  # traceback by seed, for runs that could not be played
    missing: list[str]  # expected kinds of faults that were never injected

    @property
    def failed(self) -> list[SoakVerdict]:
        """The runs with failures."""
        return [verdict for verdict in self.verdicts if verdict.failures]

    @property
    def is_passed(self) -> bool:
        """Whether all runs passed and every expected kind of fault was injected."""
        return not self.failed and not self.crashed and not self.missing

    @property
    def faults(self) -> Counter[str]:
        """The number of injected faults by kind."""
        return _total_counts(verdict.faults for verdict in self.verdicts)

    @property
    def overlaps(self) -> Counter[str]:
        """The number of overlaps by pair of kinds."""
        return _total_counts(verdict.overlaps for verdict in self.verdicts)


def _total_counts(counts: Iterable[dict[str, int]]) -> Counter[str]:
    total: Counter[str] = Counter()
    for count in counts:
        total.update(count)
    return total


def run(
    plans: Sequence[SoakPlan],
    jobs: int,
    folder: Path,
    expected: Iterable[FaultKind],
    progress: Callable[[str], None] = lambda text: None,
) -> CampaignReport:
    """Play all plans, each in a subfolder for its seed. Failing runs keep all their files there."""
    verdicts: list[SoakVerdict] = []
    crashed: dict[int, str] = {}
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=context, max_tasks_per_child=1) as pool:
        futures = {pool.submit(play_one, plan, folder / f"seed-{plan.seed}"): plan for plan in plans}
        for future in as_completed(futures):
            seed = futures[future].seed
            try:
                verdict = future.result()
            except Exception:
                crashed[seed] = traceback.format_exc(limit=3)
                progress(f"seed {seed}: could not be played")
                continue
            verdicts.append(verdict)
            progress(_summary(verdict))
    verdicts.sort(key=lambda verdict: verdict.seed)
    fault_counts = _total_counts(verdict.faults for verdict in verdicts)
    missing = [kind.value for kind in expected if not fault_counts[kind.value]]
    return CampaignReport(verdicts, crashed, missing)


def play_one(plan: SoakPlan, folder: Path) -> SoakVerdict:
    """Play one plan in its folder. A run that passed keeps only its plan and verdict."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    with (folder / RUN_LOG_NAME).open("w", encoding="utf-8") as log:
        verdict = play(plan, folder, lambda text: print(text, file=log, flush=True))
    if not verdict.failures:
        for path in folder.iterdir():
            if path.is_dir():
                shutil.rmtree(path)
            elif path.name not in FILES_KEPT_WHEN_PASSED:
                path.unlink()
    return verdict


def _summary(verdict: SoakVerdict) -> str:
    found = "; ".join(verdict.failures) or "passed"
    return f"seed {verdict.seed}: {verdict.served:.4f} of {verdict.requests} served: {found[:400]}"


def describe(report: CampaignReport) -> Iterator[str]:
    """Yield the lines of the report."""
    yield f"{len(report.verdicts)} runs, {len(report.failed)} failed, {len(report.crashed)} could not be played"
    yield "faults: " + ", ".join(f"{kind} {count}" for kind, count in sorted(report.faults.items()))
    pairs = {pair: count for pair, count in report.overlaps.items() if " + " in pair}
    yield (
        f"overlaps: {sum(pairs.values())} of {len(pairs)} pairs of kinds, "
        f"three at once {report.overlaps['three at once']} times"
    )
    slowest = sorted(report.verdicts, key=lambda verdict: -verdict.longest_outage_s)[:MAX_SLOWEST_REPORTED]
    yield "longest times without service: " + ", ".join(
        f"{verdict.longest_outage_s:.1f} s (seed {verdict.seed})" for verdict in slowest
    )
    if report.missing:
        yield "NEVER HAPPENED: " + ", ".join(report.missing)
    for verdict in report.failed:
        for failure in verdict.failures:
            yield f"seed {verdict.seed}: {failure}"
    for seed, text in sorted(report.crashed.items()):
        yield f"seed {seed} could not be played: {text}"
