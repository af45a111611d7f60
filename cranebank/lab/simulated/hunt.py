"""Searches random scenarios for those where the module loses most against an oracle policy.

The loss is the service of the oracle (which picks the least strained host by true state) less that of the module, on
the same arrivals. The worst scenarios are shrunk: faults, tiers, proxies, speed differences and seconds are removed as
long as most of the loss remains.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import tomli_w

from cranebank.config.checks import ConfigError, convert_checked
from cranebank.lab.scenario import Scenario
from cranebank.lab.simulated.world import play
from cranebank.lab.streams import stream

MAX_KEPT_SCENARIOS = 5
MIN_LOSS_SHARE = 0.8  # a shrunk scenario must keep at least this share of the loss
FAULTS: tuple[dict[str, Any], ...] = (
    {"what": "kill"},
    {"what": "stop"},
    {"what": "half-open"},
    {"what": "pause", "size": 250.0, "every_s": 1.5},
    {"what": "slow", "size": 4.0},
    {"what": "cold"},
    {"what": "refuse"},
    {"what": "reset", "size": 0.3},
    {"what": "spoil", "size": 0.3},
    {"what": "report-delay", "size": 3.0},
    {"what": "shared-slow", "size": 1.8},
    {"what": "deploy", "batch": 0.2, "drain_s": 3.0},
    {"what": "discovery-down"},
    {"what": "proxy-kill"},
)


class HuntResult(msgspec.Struct, frozen=True):
    """A scenario and the module's loss on it."""

    loss: float
    module: float
    oracle: float
    breaches: tuple[str, ...]  # rules that the module's run violated
    told: dict[str, Any]  # the scenario, as in a scenario file


def draw(seed: int) -> dict[str, Any]:
    """Draw a scenario: 1 to 3 tiers of 3 to 8 hosts and 1 to 8 proxies, 30% to 90% load, 0 to 2 faults.

    Hosts have one core, so that playing a scenario takes seconds.
    """
    random = stream(seed, "hunt")
    count, seconds = int(random.integers(1, 4)), float(random.integers(8, 15))
    work_ms = float(random.uniform(60, 200))
    tiers, names = list[dict[str, Any]](), ("one", "two", "three")[:count]
    work_share = 1.0 / count
    for name in names:
        hosts = int(random.integers(3, 9))
        tiers.append(
            {
                "name": name,
                "work": work_share,
                "calls": 1.0,
                "proxies": int(random.integers(1, 9)),
                "kind": [
                    {
                        "name": "std",
                        "count": hosts,
                        "cores": 1,
                        "speed_cv": float(random.uniform(0, 0.3)),
                        "slots": int(random.integers(4, 20)),
                        "queue": int(random.integers(5, 30)),
                    }
                ],
            }
        )
    capacity = min(t["kind"][0]["count"] for t in tiers) / (work_ms / 1000 * work_share)
    faults = [_fault(random, names, seconds) for _ in range(int(random.integers(0, 3)))]
    return {
        "name": f"hunted-{seed}",
        "seconds": seconds,
        "warmup_s": 1.0,
        "seed": seed,
        "load": {"rate": round(float(random.uniform(0.3, 0.9)) * capacity, 1)},
        "class": [
            {
                "name": "look",
                "share": 0.6,
                "work_ms": work_ms,
                "aim_ms": 5 * work_ms,
                "deadline_ms": 12 * work_ms,
                "worth": 3.0,
                "late_worth": 0.5,
            },
            {
                "name": "order",
                "share": 0.4,
                "work_ms": work_ms,
                "aim_ms": 6 * work_ms,
                "deadline_ms": 15 * work_ms,
                "worth": 2.0,
                "effect": "keyed",
                "window_ms": 3000.0,
            },
        ],
        "tier": tiers,
        "fault": faults,
        "prices": {"probe": float(random.choice([0.0, 0.01]))},
    }


def _fault(random: np.random.Generator, names: tuple[str, ...], seconds: float) -> dict[str, Any]:
    fault = dict(FAULTS[int(random.integers(len(FAULTS)))])
    at = float(random.uniform(1.5, seconds / 2))
    fault |= {
        "at_s": round(at, 2),
        "for_s": round(float(random.uniform(1.5, seconds - at)), 2),
        "tier": str(random.choice(names)),
    }
    if fault["what"] not in ("shared-slow", "discovery-down"):
        fault["part"] = round(float(random.uniform(0.1, 0.6 if fault["what"] != "deploy" else 1.0)), 2)
    return fault


def evaluate(scenario: dict[str, Any]) -> HuntResult | None:
    """Play a scenario with the module and with the oracle; return None if it is invalid."""
    try:
        module = play(convert_checked(scenario, Scenario, "drawn"))
        oracle = play(convert_checked(scenario | {"policy": "oracle"}, Scenario, "drawn"))
    except (ConfigError, ValueError):
        return None
    breaches = tuple(b.rule for b in module.verdict.breaches)
    return HuntResult(oracle.service - module.service, module.service, oracle.service, breaches, scenario)


def reductions(scenario: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield scenarios with one element removed or reduced."""
    for number in range(len(scenario["fault"])):
        yield scenario | {"fault": scenario["fault"][:number] + scenario["fault"][number + 1 :]}
    for number, tier in enumerate(scenario["tier"]):
        if len(scenario["tier"]) > 1 and all(f["tier"] != tier["name"] for f in scenario["fault"]):
            yield scenario | {"tier": scenario["tier"][:number] + scenario["tier"][number + 1 :]}
    for number, tier in enumerate(scenario["tier"]):
        for smaller_tier in (
            tier | {"proxies": tier["proxies"] // 2} if tier["proxies"] > 1 else None,
            tier | {"kind": [tier["kind"][0] | {"speed_cv": 0.0}]} if tier["kind"][0]["speed_cv"] else None,
        ):
            if smaller_tier is not None:
                yield scenario | {"tier": [*scenario["tier"][:number], smaller_tier, *scenario["tier"][number + 1 :]]}
    if scenario["seconds"] > 8.0:
        yield scenario | {"seconds": scenario["seconds"] - 2.0}


def shrink(found: HuntResult, until: float) -> HuntResult:
    """Reduce a scenario step by step while most of the loss remains, until ``until`` (monotonic seconds)."""
    changed = True
    while changed and time.monotonic() < until:
        changed = False
        for smaller in reductions(found.told):
            evaluated = evaluate(smaller)
            if evaluated is not None and evaluated.loss >= MIN_LOSS_SHARE * found.loss and evaluated.loss > 0.0:
                found, changed = msgspec.structs.replace(evaluated, loss=max(evaluated.loss, 0.0)), True
                break
            if time.monotonic() >= until:
                break
    return found


def hunt(
    seconds: float, first: int, folder: Path, report: Callable[[str], None], processes: int | None = None
) -> list[HuntResult]:
    """Search for ``seconds``, a quarter of it for shrinking, and write the worst scenarios as files."""
    folder.mkdir(parents=True, exist_ok=True)
    began, best, plays, breached = time.monotonic(), list[HuntResult](), 0, list[HuntResult]()
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        workers = getattr(pool, "_max_workers", 4)
        running: set[Future[HuntResult | None]] = {pool.submit(evaluate, draw(first + n)) for n in range(workers)}
        seed = first + workers
        while running:
            done, running = wait(running, return_when=FIRST_COMPLETED)
            for future in done:
                found = future.result()
                plays += 1
                if found is not None:
                    breached += [found] if found.breaches else []
                    best = sorted([*best, found], key=lambda f: -f.loss)[:MAX_KEPT_SCENARIOS]
                if time.monotonic() - began < 0.75 * seconds:
                    running.add(pool.submit(evaluate, draw(seed)))
                    seed += 1
        report(
            f"{plays} scenarios, worst losses: {', '.join(f'{f.loss:.3f}' for f in best)}; {len(breached)} broke a rule"
        )
        shrunk = list(pool.map(shrink, best, [began + seconds] * len(best)))
    for number, found in enumerate(shrunk):
        path = folder / f"{number}-{found.told['name']}.toml"
        path.write_bytes(tomli_w.dumps(found.told).encode())
        report(
            f"{path}: loss {found.loss:.3f} (module {found.module:.3f}, oracle {found.oracle:.3f}), "
            f"faults {', '.join(f['what'] for f in found.told['fault']) or 'none'}"
        )
    for found in breached:
        report(f"{found.told['name']}: the module broke {', '.join(found.breaches)}")
        (folder / f"broke-{found.told['name']}.toml").write_bytes(tomli_w.dumps(found.told).encode())
    return shrunk
