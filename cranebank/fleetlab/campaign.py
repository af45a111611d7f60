"""Many soak runs, some at a time, and what came of all of them together."""

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

KEPT_OF_PASSED = frozenset({"plan.json", "verdict.json"})
LOG = "run.log"
SLOWEST = 5  # runs that the report names


class CampaignReport(msgspec.Struct):
    """Sums over runs."""

    verdicts: list[SoakVerdict]
    crashed: dict[int, str]  # seeds whose run could not be played, and why
    missing: list[str]  # kinds of faults that were wanted and never happened

    @property
    def failed(self) -> list[SoakVerdict]:
        """Runs in which something was found."""
        return [verdict for verdict in self.verdicts if verdict.failures]

    @property
    def is_passed(self) -> bool:
        """Whether nothing was found, and everything was tried."""
        return not self.failed and not self.crashed and not self.missing

    @property
    def faults(self) -> Counter[str]:
        """How often each kind happened."""
        return _sum(verdict.faults for verdict in self.verdicts)

    @property
    def overlaps(self) -> Counter[str]:
        """How often each pair of kinds overlapped."""
        return _sum(verdict.overlaps for verdict in self.verdicts)


def _sum(counts: Iterable[dict[str, int]]) -> Counter[str]:
    total: Counter[str] = Counter()
    for count in counts:
        total.update(count)
    return total


def run(
    plans: Sequence[SoakPlan],
    jobs: int,
    folder: Path,
    wanted: Iterable[FaultKind],
    progress: Callable[[str], None] = lambda text: None,
) -> CampaignReport:
    """Play all plans. What failing runs left stays in the folder, a folder for each seed."""
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
            progress(_line(verdict))
    verdicts.sort(key=lambda verdict: verdict.seed)
    happened = _sum(verdict.faults for verdict in verdicts)
    missing = [kind.value for kind in wanted if not happened[kind.value]]
    return CampaignReport(verdicts, crashed, missing)


def play_one(plan: SoakPlan, folder: Path) -> SoakVerdict:
    """Play one plan in its folder; of a run that passed only the plan and the verdict stay."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    with (folder / LOG).open("w", encoding="utf-8") as log:
        verdict = play(plan, folder, lambda text: print(text, file=log, flush=True))
    if not verdict.failures:
        for path in folder.iterdir():
            if path.is_dir():
                shutil.rmtree(path)
            elif path.name not in KEPT_OF_PASSED:
                path.unlink()
    return verdict


def _line(verdict: SoakVerdict) -> str:
    found = "; ".join(verdict.failures) or "passed"
    return f"seed {verdict.seed}: {verdict.served:.4f} of {verdict.requests} served: {found[:400]}"


def describe(report: CampaignReport) -> Iterator[str]:
    """The report as lines."""
    yield f"{len(report.verdicts)} runs, {len(report.failed)} failed, {len(report.crashed)} could not be played"
    yield "faults: " + ", ".join(f"{kind} {count}" for kind, count in sorted(report.faults.items()))
    pairs = {pair: count for pair, count in report.overlaps.items() if " + " in pair}
    yield (
        f"overlaps: {sum(pairs.values())} of {len(pairs)} pairs of kinds, "
        f"three at once {report.overlaps['three at once']} times"
    )
    slowest = sorted(report.verdicts, key=lambda verdict: -verdict.longest_outage_s)[:SLOWEST]
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
