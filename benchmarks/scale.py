"""Measures the simulation at a size of the fleet: ``python benchmarks/scale.py COPIES HOSTS REQUESTS [SUBSET]``.

Prints requests and events per second on one core, the module's share of the time, memory per pair of a copy and a host,
connections and probes of the fleet, and latency.
"""

from __future__ import annotations

import resource
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

sys.path.insert(0, str(Path(__file__).parents[1]))

from cranebank.decisions import interface as api
from cranebank.decisions.balance import Balancer
from cranebank.lab.scenario import Scenario
from cranebank.lab.simulated.world import World


def scenario(copies: int, hosts: int, requests: int, subset: int) -> Scenario:
    """Return a scenario of one tier at half of its capacity."""
    rate = 0.5 * hosts * 2 / 0.020
    settings: dict[str, Any] = {
        "name": f"scale-{copies}-{hosts}",
        "seconds": max(1.0, requests / rate),
        "load": {"rate": rate},
        "class": [{"name": "look", "share": 1.0, "work_ms": 20.0, "aim_ms": 100.0, "deadline_ms": 500.0}],
        "tier": [{"name": "front", "proxies": copies, "kind": [{"name": "std", "count": hosts}]}],
        "subset": {"size": subset},
    }
    return msgspec.convert(settings, Scenario)


class Timed:
    """The module with a measurement of its processing time."""

    spent = 0.0

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._module = Balancer(settings, seed)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handle an event and add the time that it took."""
        began = time.perf_counter()
        actions = self._module.handle(now, event)
        Timed.spent += time.perf_counter() - began
        return actions


def main() -> None:
    """Run the scenario and print a line of figures."""
    copies, hosts, requests, subset = (*map(int, sys.argv[1:]), 0)[:4]
    run_scenario = scenario(copies, hosts, requests, subset)
    world = World(run_scenario, make_decisions=Timed)
    rss_before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    began = time.perf_counter()
    for proxy in world.proxies.values():
        proxy.start(world.discovery.known(0))
    start_s = time.perf_counter() - began
    rss_after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    for proxy in world.proxies.values():
        proxy.die()
    Timed.spent, began = 0.0, time.perf_counter()
    world.play()
    run_s = time.perf_counter() - began
    offered = world.clients.offered
    result = world.result()
    tier, latency = result.tiers[0], result.classes[0].latency_ms
    opened = sum(proxy.counters["connections_opened"] for proxy in world.proxies.values())
    share, memory = Timed.spent / run_s, (rss_after - rss_before) * 1024 / (copies * hosts)
    print(
        f"{copies} copies x {hosts} hosts, subset {subset or 'off'}: {offered} requests in {run_s:.1f} s "
        f"({offered / run_s:.0f}/s, {world.kernel.events / run_s:.0f} events/s); module {share:.0%} of the time; "
        f"{memory:.0f} bytes a pair, start {start_s:.1f} s; {opened} connections ({opened / offered:.2f} a request), "
        f"{tier.probes} probes; in time {result.in_time:.4f}, p50 {latency['p50']:.1f} p99 {latency['p99']:.1f} ms; "
        f"{len(result.verdict.breaches)} rules broken",
        flush=True,
    )


if __name__ == "__main__":
    main()
