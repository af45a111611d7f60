"""Simulates the choice of prefill backends: the proxies' real code over modelled backends and their queues.

usage: python benchmarks/reading_choice.py [--seeds N] [--only NAME,...]

Each proxy has its own chooser, cache view and loads. It reports the prefills that it begins to other proxies after a
delay; with these reports disabled, it shares its loads with twelve proxies every 0.2 s instead. A backend prefills one
prompt at a time at its own speed and caches shared parts of prompts, least recently used first out. Prints for each
deployment and each disabled mechanism the share of late prompts and the share of tokens that are prefilled: means over
the seeds and their standard deviation.

The deployments are invented: their counts, speeds, sizes and goals are those of no operator.
"""

from __future__ import annotations

import heapq
import itertools
import math
import sys
from collections import OrderedDict
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from random import Random
from statistics import mean, pstdev

from cranebank.dataplane.blended_draw import BlendedDraw
from cranebank.dataplane.cache_view import PREFILL_CACHE_SHARE, CacheView
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.open_legs import OpenLegs
from cranebank.dataplane.pair import PairChooser
from cranebank.dataplane.policy import Policy, without
from cranebank.dataplane.prompt import Prompt
from cranebank.transport.messages import Backend, PrefillBegun

SERVICE = "svc"
START_TIME_S, RUN_S = 1_000.0, 34.0
MAX_RECIPIENTS = 64  # proxies that receive the report of a prefill
NEIGHBOURS, GOSSIP_INTERVAL_S = 12, 0.2
NETWORK_DELAY_S = 0.002


@dataclass(frozen=True)
class Deployment:
    """``rate`` is in prompts per second. Prefill of n tokens takes n / ``tokens_per_ms`` + n^2 / 2 * ``pairs_ms``
    milliseconds; ``other_ms`` of the goal is spent elsewhere."""

    name: str
    proxies: int
    prefill_backends: int
    rate: float
    parts: int
    part_tokens: float
    own_tokens: float
    tokens_per_ms: float
    pairs_ms: float
    cache_tokens: int
    goal_ms: float
    other_ms: float
    speeds: tuple[float, ...] = (1.0,)


DEPLOYMENTS = (
    Deployment("many small", 40, 16, 60.0, 500, 6_000, 1_500, 40.0, 2e-7, 200_000, 400.0, 120.0, (1.0, 1.2)),
    Deployment("few large", 5, 3, 3.0, 40, 20_000, 8_000, 70.0, 3e-7, 600_000, 1_200.0, 250.0),
    Deployment("uneven", 20, 6, 14.0, 200, 10_000, 3_000, 60.0, 2e-7, 400_000, 600.0, 150.0, (1.0, 1.0, 2.0)),
    Deployment("overloaded", 40, 8, 48.0, 500, 9_000, 2_500, 60.0, 2e-7, 400_000, 600.0, 150.0, (1.0, 1.2)),
    Deployment("little shared", 60, 10, 30.0, 5_000, 3_000, 9_000, 60.0, 2e-7, 400_000, 700.0, 150.0),
)
VARIANTS = ("", "keepers", "homes", "congestion", "slowness", "told_readings", "blended_draws", "cached_parts")


@dataclass
class PrefillBackend:
    """A modelled prefill backend."""

    speed: float
    free_at: float = 0.0
    kept: OrderedDict[str, int] = field(default_factory=OrderedDict)
    kept_tokens: int = 0

    def read(self, now: float, prompt: Prompt, deployment: Deployment) -> tuple[float, int]:
        """Queue a prompt; return when its prefill ends, and the number of tokens to prefill."""
        part, size = prompt.parts[0]
        known = size if part in self.kept else 0
        tokens = prompt.tokens - known
        pairs = (prompt.tokens**2 - known**2) / 2
        took_ms = (tokens / deployment.tokens_per_ms + pairs * deployment.pairs_ms) * self.speed
        self.free_at = max(now, self.free_at) + took_ms / 1e3
        if not known:
            self.kept_tokens += size
        self.kept[part] = size
        self.kept.move_to_end(part)
        while self.kept_tokens > 0.8 * deployment.cache_tokens:
            self.kept_tokens -= self.kept.popitem(last=False)[1]
        return self.free_at, tokens


class ModelProxy:
    """A proxy's chooser with its view of backends and caches."""

    def __init__(self, deployment: Deployment, policy: Policy, random: Random) -> None:
        self.candidates, self.cache = Candidates(), CacheView()
        records = [
            Backend(f"p{i}", SERVICE, f"10.0.0.{i}:1", "z", "prefill", 16, "ready", 1)
            for i in range(deployment.prefill_backends)
        ]
        self.candidates.merge(records)
        self.pairs = PairChooser(self.candidates, self.cache, BlendedDraw(random, policy.blended_draws), policy)
        self.pairs.draws.proxies = deployment.proxies
        self.pairs.prefill_reporters = (
            min(MAX_RECIPIENTS, deployment.proxies - 1) if policy.told_readings else NEIGHBOURS
        )
        self.legs = OpenLegs()

    def begin(self, now: float, prompt: Prompt, deployment: Deployment) -> tuple[int, str, PrefillBegun]:
        """Begin a prefill; return the leg's number, the backend's id, and the report for other proxies."""
        choice = self.pairs.choose_prefill(now, SERVICE, prompt, frozenset())
        assert choice is not None
        seen, _, tokens = choice
        wait_ms = self.pairs.wait_ms(now, SERVICE, seen)
        leg = self.legs.open(now, seen, tokens, True, None)
        leg.found_idle = leg.found_idle and not wait_ms and tokens >= prompt.tokens
        leg.ticket = self.pairs.begin_prefill(now, SERVICE, seen, tokens)
        self.cache.touch(seen.backend.id, prompt.parts, deployment.cache_tokens, PREFILL_CACHE_SHARE)
        slowness, seen.unreported_slowness = seen.unreported_slowness, 0.0
        report = PrefillBegun(seen.backend.id, tokens, prompt.home_key, prompt.shared_tokens, slowness)
        return leg.number, seen.backend.id, report

    def receive(self, now: float, report: PrefillBegun, deployment: Deployment) -> None:
        """Apply another proxy's report of a prefill."""
        seen = self.candidates.views[report.backend]
        if report.slowness:
            seen.slowness.observe(now, report.slowness)
        self.pairs.begin_prefill(now, SERVICE, seen, report.tokens)
        if report.part:
            self.cache.record_prefix(
                report.backend, report.part, report.shared, deployment.cache_tokens, PREFILL_CACHE_SHARE
            )

    def end(self, now: float, number: int) -> None:
        """Handle the end of one of the proxy's own prefills."""
        leg = self.legs.get(number)
        assert leg is not None
        self.pairs.end_prefill(now, SERVICE, leg)
        self.legs.close(now, leg)


class World:
    """A simulated run of one deployment."""

    def __init__(self, deployment: Deployment, policy: Policy, seed: int) -> None:
        self.deployment, self.policy, self.random = deployment, policy, Random(seed)
        self.prefill_backends = [
            PrefillBackend(deployment.speeds[i % len(deployment.speeds)]) for i in range(deployment.prefill_backends)
        ]
        self.proxies = [ModelProxy(deployment, policy, Random(f"{seed} {i}")) for i in range(deployment.proxies)]
        self.sizes = [max(1_100, int(self._size(deployment.part_tokens, 0.6))) for _ in range(deployment.parts)]
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.numbers = itertools.count()
        self.late_count = self.count = self.read = self.tokens = 0

    def _size(self, average: float, spread: float) -> float:
        return average * math.exp(self.random.gauss(0, spread) - spread**2 / 2)

    def at(self, when: float, callback: Callable[[float], None]) -> None:
        """Schedule a call."""
        heapq.heappush(self.events, (when, next(self.numbers), callback))

    def arrive(self, now: float) -> None:
        """Send a prompt to a random proxy, and schedule the next arrival."""
        deployment = self.deployment
        self.at(now + self.random.expovariate(deployment.rate), self.arrive)
        part = self.random.randrange(deployment.parts)
        own = max(16, int(self._size(deployment.own_tokens, 0.9)))
        size = self.sizes[part]
        prompt = Prompt(size + own, 10, ((f"s{part}", size), (f"o{next(self.numbers)}", own)))
        proxy = self.random.choice(self.proxies)
        number, backend, report = proxy.begin(now, prompt, deployment)
        ends_at, tokens = self.prefill_backends[int(backend[1:])].read(now, prompt, deployment)
        self.at(ends_at + 0.02, lambda later: proxy.end(later, number))
        self.late_count += (ends_at - now) * 1e3 + deployment.other_ms > deployment.goal_ms
        self.count += 1
        self.read += tokens
        self.tokens += prompt.tokens
        if self.policy.told_readings:
            others = [other for other in self.proxies if other is not proxy]
            for other in self.random.sample(others, min(MAX_RECIPIENTS, len(others))):
                self.at(now + NETWORK_DELAY_S, lambda later, other=other: other.receive(later, report, deployment))  # type: ignore[misc]

    def gossip(self, now: float) -> None:
        """Give each proxy the outstanding tokens of some others, and schedule the next round."""
        self.at(now + GOSSIP_INTERVAL_S, self.gossip)
        for proxy in self.proxies:
            others = self.random.sample(self.proxies, min(NEIGHBOURS, len(self.proxies)))
            for name, seen in proxy.candidates.views.items():
                seen.others_tokens = sum(o.candidates.views[name].tokens for o in others if o is not proxy)

    def play(self) -> tuple[float, float]:
        """Run the deployment; return the shares of late prompts and of prefilled tokens."""
        self.at(START_TIME_S, self.arrive)
        self.at(START_TIME_S, self.gossip)
        while self.events[0][0] < START_TIME_S + RUN_S:
            now, _, callback = heapq.heappop(self.events)
            callback(now)
        return self.late_count / self.count, self.read / self.tokens


def play_job(job: tuple[Deployment, str, int]) -> tuple[float, float]:
    """Run one deployment with one mechanism disabled."""
    deployment, off, seed = job
    return World(deployment, without([off] if off else []), seed).play()


def main(arguments: list[str]) -> int:
    """Run all jobs and print the table."""
    seeds = int(arguments[arguments.index("--seeds") + 1]) if "--seeds" in arguments else 6
    only = arguments[arguments.index("--only") + 1].split(",") if "--only" in arguments else None
    variants = [name for name in VARIANTS if only is None or name in only or not name]
    jobs = [(deployment, off, seed) for deployment in DEPLOYMENTS for off in variants for seed in range(seeds)]
    with ProcessPoolExecutor(4) as pool:
        results = dict(zip(jobs, pool.map(play_job, jobs), strict=True))
    print("deployment     off             late   spread  read   spread")
    for deployment in DEPLOYMENTS:
        for off in variants:
            late, read = zip(*(results[deployment, off, seed] for seed in range(seeds)), strict=True)
            figures = f"{mean(late):.3f}  {pstdev(late):.3f}   {mean(read):.3f}  {pstdev(read):.3f}"
            print(f"{deployment.name:14} {off or '-':14}  {figures}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
