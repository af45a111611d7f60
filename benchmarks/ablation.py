"""Measures what each mechanism of the data plane's policy contributes, by playing deployments without it.

usage: ablation.py BENCH FOLDER SITE... [--without NAME,...] [--plays N] [-- OPTION...]

BENCH is the program that plays a deployment (its ``score`` command), FOLDER a new folder beside this checkout for
copies of it. A copy differs only in the run line of the proxies' role in its deploy file. Options after ``--`` go to
BENCH. Prints a line for each deployment and mechanism: the mean score of all days, its difference to the score with all
mechanisms, and each day's score.
"""

from __future__ import annotations

import json
import re
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

from cranebank.dataplane.policy import MECHANISMS, without

ROOT = Path(__file__).resolve().parent.parent
ALL_ON = ""


def copy_without(folder: Path, mechanism: str) -> Path:
    """Clone this checkout's last commit with proxies that run without a mechanism; return the folder."""
    copy = folder / (mechanism or "all-on")
    if copy.exists():
        return copy
    subprocess.run(["git", "clone", "-q", str(ROOT), str(copy)], check=True)
    deploy = copy / "deploy" / "system.toml"
    if mechanism:
        text, count = re.subn(
            r'(?m)^(run = "python3 -m cranebank\.programs edge[^"]*)"',
            rf'\1 --without {mechanism}"',
            deploy.read_text(),
        )
        if count != 1:
            raise ValueError(f"{deploy}: expected one run line of the role edge, found {count}")
        deploy.write_text(text)
    return copy


def play(bench: str, copy: Path, site: str, options: Sequence[str]) -> dict[str, float]:
    """Play a deployment once and return the scores by day."""
    before = set((copy / "journal").glob("*.json"))
    why = f"ablation: {copy.name}"
    subprocess.run([bench, "score", site, "--why", why, *options], cwd=copy, check=False, stdout=subprocess.DEVNULL)
    (entry,) = set((copy / "journal").glob("*.json")) - before
    return {day["name"]: day["score"] for day in json.loads(entry.read_text())["days"]}


def mean(scores: Sequence[float]) -> float:
    """Return the mean of one or more scores."""
    return sum(scores) / len(scores)


def main(arguments: list[str]) -> int:
    """Play all variants and print the table."""
    options: list[str] = []
    if "--" in arguments:
        separator = arguments.index("--")
        arguments, options = arguments[:separator], arguments[separator + 1 :]
    plays, names = 1, tuple(MECHANISMS)
    words: list[str] = []
    while arguments:
        word = arguments.pop(0)
        if word == "--plays" and arguments:
            plays = int(arguments.pop(0))
        elif word == "--without" and arguments:
            names = tuple(arguments.pop(0).split(","))
        else:
            words.append(word)
    if len(words) < 3:
        print(__doc__, file=sys.stderr)
        return 2
    without(names)
    bench, folder, sites = words[0], Path(words[1]), words[2:]
    for site in sites:
        reference: list[float] = []
        for mechanism in (ALL_ON, *names):
            copy = copy_without(folder, mechanism)
            results = [play(bench, copy, site, options) for _ in range(plays)]
            means = [mean(list(days.values())) for days in results]
            reference = reference or means
            days = " ".join(
                f"{name} {mean([scores[name] for scores in results]):.2f}"
                for name in results[0]
                if not name.startswith("fresh")
            )
            name, worth = mechanism or "all on", mean(means) - mean(reference)
            print(f"{Path(site).stem}  {name:24} {mean(means):.3f} {worth:+.3f}  {days}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
