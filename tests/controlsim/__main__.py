"""Runs many schedules: ``python -m tests.controlsim --point cut --schedules 1000 --first 0 --jobs 6``."""

from __future__ import annotations

import argparse
import os
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from .scenarios import SCENARIOS, ScheduleResult, play, shrink

MAX_SHOWN_TRACES = 3  # traces of schedules with breaches
HASH_SEED = "PYTHONHASHSEED"


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--point", choices=sorted(SCENARIOS), default="cut")
    parser.add_argument("--schedules", type=int, default=100)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--go-on", default="", help="rules, separated by commas, whose breaches don't end a schedule")
    parser.add_argument("--story", type=int, help="run only this seed, and print its trace")
    parser.add_argument("--shrink", type=int, help="skip the faults of this seed that its breach does not need")
    return parser.parse_args()


def _print_trace(played: ScheduleResult) -> None:
    print(f"--- seed {played.seed}")
    print("\n".join(played.trace))


def main() -> int:
    """Run the schedules; return 0 if no rule was broken and every case was reached, else 1."""
    if os.environ.get(HASH_SEED) != "0":  # a schedule depends on the order of sets
        os.execve(sys.executable, [sys.executable, *sys.orig_argv[1:]], {**os.environ, HASH_SEED: "0"})
    arguments = _arguments()
    tolerated_rules = frozenset(filter(None, arguments.go_on.split(",")))
    if arguments.story is not None:
        played = play(arguments.point, arguments.story, tolerated_rules)
        _print_trace(played)
        return int(bool(played.breaches))
    if arguments.shrink is not None:
        played, skipped_faults = shrink(arguments.point, arguments.shrink, tolerated_rules)
        _print_trace(played)
        print(f"needed: {sorted(set(range(played.fault_count)) - skipped_faults)}; skipped: {sorted(skipped_faults)}")
        return int(bool(played.breaches))
    begin = time.monotonic()
    seeds = range(arguments.first, arguments.first + arguments.schedules)
    counts: Counter[str] = Counter()
    rules: Counter[str] = Counter()
    longest: dict[str, float] = {}
    shortest: dict[str, float] = {}
    broken: list[ScheduleResult] = []
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for played in pool.map(partial(play, arguments.point, tolerated_rules=tolerated_rules), seeds, chunksize=4):
            counts.update(played.counts)
            for what, seconds in played.longest.items():
                longest[what] = max(seconds, longest.get(what, 0.0))
            for what, seconds in played.shortest.items():
                shortest[what] = min(seconds, shortest.get(what, seconds))
            if played.breaches:
                broken.append(played)
                rules.update({breach.partition(":")[0] for breach in played.breaches})
    for played in broken[:MAX_SHOWN_TRACES]:
        _print_trace(played)
    unreached = [case for case in SCENARIOS[arguments.point].cases if not counts[case]]
    for case, count in sorted(counts.items()):
        print(f"{count:8d} {case}")
    for what, seconds in longest.items():
        print(f"{seconds:8.2f} s at most: {what}")
    for what, seconds in shortest.items():
        print(f"{seconds:8.2f} s at least: {what}")
    print(f"broken: {len(broken)} of {len(seeds)} {dict(rules)}; seeds {[played.seed for played in broken[:20]]}")
    print(f"never reached: {unreached}; {time.monotonic() - begin:.0f} s")
    return int(bool(broken or unreached))


if __name__ == "__main__":
    sys.exit(main())
