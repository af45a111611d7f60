"""What simulated time costs and what size does: ``python benchmarks/scale.py COPIES HOSTS REQUESTS [SUBSET]``.

Prints requests and events a second of one core, the module's own share of the time, memory for each pair of a copy and
a host, connections and probes of the fleet, and latency.
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
    """One tier at half of its capacity; everybody decides alone."""
    rate = 0.5 * hosts * 2 / 0.020
    told: dict[str, Any] = {
        "name": f"scale-{copies}-{hosts}",
        "seconds": max(1.0, requests / rate),
        "load": {"rate": rate},
        "class": [{"name": "look", "share": 1.0, "work_ms": 20.0, "aim_ms": 100.0, "deadline_ms": 500.0}],
        "tier": [{"name": "front", "proxies": copies, "kind": [{"name": "std", "count": hosts}]}],
        "subset": {"size": subset},
    }
    return msgspec.convert(told, Scenario)


class Timed:
    """The module, with the time it takes."""

    spent = 0.0

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._module = Balancer(settings, seed)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Pass on, and count the time."""
        began = time.perf_counter()
        actions = self._module.handle(now, event)
        Timed.spent += time.perf_counter() - began
        return actions


def main() -> None:
    """One run, one line."""
    copies, hosts, requests, subset = (*map(int, sys.argv[1:]), 0)[:4]
    told = scenario(copies, hosts, requests, subset)
    world = World(told, make_decisions=Timed)
    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    began = time.perf_counter()
    for proxy in world.proxies.values():
        proxy.start(world.discovery.known(0))
    started = time.perf_counter() - began
    after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    for proxy in world.proxies.values():
        proxy.die()
    Timed.spent, began = 0.0, time.perf_counter()
    world.play()
    took = time.perf_counter() - began
    offered = world.clients.offered
    result = world.result()
    tier, latency = result.tiers[0], result.classes[0].latency_ms
    opened = sum(proxy.counters["connections_opened"] for proxy in world.proxies.values())
    share, pair = Timed.spent / took, (after - before) * 1024 / (copies * hosts)
    print(
        f"{copies} copies x {hosts} hosts, subset {subset or 'off'}: {offered} requests in {took:.1f} s "
        f"({offered / took:.0f}/s, {world.kernel.events / took:.0f} events/s); module {share:.0%} of the time; "
        f"{pair:.0f} bytes a pair, start {started:.1f} s; {opened} connections ({opened / offered:.2f} a request), "
        f"{tier.probes} probes; in time {result.in_time:.4f}, p50 {latency['p50']:.1f} p99 {latency['p99']:.1f} ms; "
        f"{len(result.verdict.breaches)} rules broken",
        flush=True,
    )


if __name__ == "__main__":
    main()
