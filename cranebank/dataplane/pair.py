"""Chooses the prefill backend and the decode backend of a request to a service with engines.

At both stages the choice is the (1+beta) process: two uniform draws from the stage's candidates; the one with the lower
cost is taken with probability beta = sqrt(n log n / b), ties at random, otherwise the first draw. One more prefill
backend is drawn from the proxy's own zone and taken if its cost is no higher. So is a backend that is known to cache
the prompt's long shared prefix. Where no backend is known to cache it, the prefix's home is considered: the backend
that rendezvous hashing yields, the same at all proxies. The less of the other proxies' prefills this proxy knows of,
the likelier it takes the home to cache the prefix. The cost is an estimate, in milliseconds, of the uncached tokens to
be read, the queue ahead of them by all proxies' known calls, the transfer of the prompt's KV cache, and the delay of
streams that run on the same backend.
"""

from __future__ import annotations

from collections.abc import Set
from hashlib import blake2b
from heapq import nlargest

from cranebank.dataplane.backend_view import BackendView
from cranebank.dataplane.blended_draw import BlendedDraw
from cranebank.dataplane.by_zone import ByZone
from cranebank.dataplane.cache_view import CacheView
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.choice import Plan
from cranebank.dataplane.latency_model import LatencyModel, prior
from cranebank.dataplane.open_legs import Leg
from cranebank.dataplane.policy import ALL_ON, Policy
from cranebank.dataplane.prefill_queue import Ticket
from cranebank.dataplane.prompt import Prompt
from cranebank.dataplane.routes import Engine

MAX_REMEMBERED_HOMES = 4096  # shared prefixes of a service whose homes are remembered
HOMES_PER_PREFIX = 1  # homes of a prefix; with two, an uncached prefix would be read twice
# Least weight of tokens that are cached at another backend: reading them again delays the queue and evicts other
# prefixes
MIN_REREAD_WEIGHT = 3.0
# Least assumed probability that a prefix which no backend is known to cache is still cached at its home
MIN_HOME_HIT_PROBABILITY = 0.5
CONGESTION_DECAY = 0.9  # factor per choice in the averages behind the congestion
CACHE_LEARNING_S = 10.0  # a proxy that started less than this ago knows little of the backends' caches
STREAM_DELAY_SHARE = 0.1  # delay of each running stream, as a share of the time of a prefill on its backend
# Tokens that a decode backend may prefill itself, in one chunk; more would delay its streams
MAX_LOCAL_PREFILL_TOKENS = 1024
LATE_COST_FACTOR = 4.0  # extra cost of each millisecond past the safe share of the goal
SAFE_GOAL_SHARE = 0.6  # share of the goal within which an estimate may be relied on


def _hash(key: str, backend: str) -> bytes:
    return blake2b(f"{key}/{backend}".encode(), digest_size=8).digest()


class PairChooser:
    """Chooses pairs of backends for the requests of one proxy."""

    def __init__(self, candidates: Candidates, cache: CacheView, draws: BlendedDraw, policy: Policy = ALL_ON) -> None:
        self._candidates, self._cache, self.draws = candidates, cache, draws
        self._policy = policy
        self._by_zone = ByZone(candidates)
        self.zone = ""  # zone of this proxy
        self.prefill_reporters = 0  # number of other proxies that report to this one the prefills they begin
        self._began_at: float | None = None
        self._wait_sum_ms = self._work_sum_ms = 0.0  # decayed at each choice
        self._latencies: dict[tuple[str, str], LatencyModel] = {}
        # By service: candidates, their version, homes by prefix
        self._homes: dict[str, tuple[list[BackendView], int, dict[str, list[BackendView]]]] = {}

    def latency(self, service: str, stage: str) -> LatencyModel:
        """Return the latency model of a service's stage."""
        found = self._latencies.get((service, stage))
        if found is None:
            found = self._latencies[service, stage] = prior(stage)
        return found

    def cache_holders(self, backends: list[BackendView], prompt: Prompt) -> list[BackendView]:
        """Return the backends known to cache the prompt's long shared prefix; if there are none, its home."""
        shared = prompt.shared_tokens
        found = [view for view in backends if self._cache.cached_tokens(view.backend.id, prompt.shared) >= shared]
        if not self._policy.cached_parts:
            found = []
        if found or not self._policy.homes:
            return found
        return self._home(backends, prompt.home_key)

    def _is_home(self, service: str, prompt: Prompt, view: BackendView) -> bool:
        known = self._homes.get(service)
        return known is not None and bool(prompt.home_key) and view in known[2].get(prompt.home_key, ())

    def _home(self, backends: list[BackendView], key: str) -> list[BackendView]:
        """Return the home of a shared prefix, remembered for as long as the candidates stay the same."""
        service, version = backends[0].backend.target, self._candidates.version
        known = self._homes.get(service)
        if known is None or known[0] is not backends or known[1] != version or len(known[2]) >= MAX_REMEMBERED_HOMES:
            known = self._homes[service] = (backends, version, {})
        found = known[2].get(key)
        if found is None:
            found = known[2][key] = nlargest(HOMES_PER_PREFIX, backends, key=lambda view: _hash(key, view.backend.id))
        return found

    def visibility(self, now: float) -> float:
        """Return the share of all proxies' recent prefills that this proxy knows of."""
        if self._began_at is None:
            self._began_at = now
        reported = (1 + self.prefill_reporters) / max(1, self.draws.proxies)
        return min(1.0, reported) * min(1.0, (now - self._began_at) / CACHE_LEARNING_S)

    def wait_ms(self, now: float, service: str, view: BackendView) -> float:
        """Return the time before a prefill that is sent now would begin."""
        wait = view.prefill_queue.wait(now) * 1e3
        if wait:
            return wait
        # The queue is overdue, or its prefills were not reported
        return self.latency(service, "prefill").token_ms * (view.tokens + view.others_tokens)

    def begin_prefill(self, now: float, service: str, view: BackendView, tokens: int) -> Ticket:
        """Add a prefill, sent by this proxy or another one, to the backend's queue."""
        token_ms = self.latency(service, "prefill").token_ms * self._slowness(now, view)
        return view.prefill_queue.add(now, token_ms * tokens / 1e3)

    def end_prefill(self, now: float, service: str, leg: Leg) -> None:
        """Record that a prefill of this proxy has been answered."""
        latency, view = self.latency(service, "prefill"), leg.view
        if leg.ticket is not None:
            view.prefill_queue.finish(now - latency.base_ms / 1e3, leg.ticket)
        if not leg.found_idle:  # its time includes waiting, with which the model would grow as the queue does
            return
        took_ms = (now - leg.sent_at) * 1e3
        view.unreported_slowness = took_ms / latency.estimate(leg.tokens)
        view.slowness.observe(now, view.unreported_slowness)
        latency.learn(leg.tokens, took_ms)

    def choose_prefill(
        self, now: float, service: str, prompt: Prompt, without: Set[str]
    ) -> tuple[BackendView, float, int] | None:
        """Choose the prefill backend; return it, its estimated time in ms and the tokens expected to be read."""
        backends = self._candidates.ready(now, service, "prefill", without)
        if not backends:
            return None
        first, second = self.draws.draw(backends)
        blend = self.draws.blend(now, service, "prefill", backends, (first, second))
        congestion = self._congestion(now, service, prompt, (first, second))
        holders = self.cache_holders(backends, prompt) if prompt.home_key and self._policy.keepers else []
        is_cached = any(self._uncached_tokens(prompt, view) < prompt.tokens for view in holders)

        def cost(view: BackendView) -> float:
            return self._prefill_cost(now, service, prompt, view, congestion, is_cached)

        chosen = second if self.draws.prefers_second(blend, cost(first), cost(second)) else first
        chosen = min((*self._draw_in_zone(backends, self.zone), *holders, chosen), key=cost)
        tokens = self._uncached_tokens(prompt, chosen)
        read_ms = self.latency(service, "prefill").estimate(tokens)  # slowness only ranks prefill backends
        return chosen, self.wait_ms(now, service, chosen) + read_ms, tokens

    def _draw_in_zone(self, backends: list[BackendView], zone: str) -> list[BackendView]:
        """Draw one candidate from a zone; empty if it has none."""
        return self.draws.sample_one(self._by_zone.of(backends, zone)) if self._policy.near_zone else []

    def _uncached_tokens(self, prompt: Prompt, view: BackendView) -> int:
        """Return the tokens of the prompt that the backend is expected to have to read."""
        if not self._policy.cached_parts:
            return max(1, prompt.tokens)
        return max(1, prompt.tokens - self._cache.cached_tokens(view.backend.id, prompt.parts))

    def _slowness(self, now: float, view: BackendView) -> float:
        return view.slowness.at(now) if self._policy.slowness else 1.0

    def _prefill_cost(
        self, now: float, service: str, prompt: Prompt, view: BackendView, congestion: float, is_cached: bool
    ) -> float:
        """Return the estimated wait and work of a prefill at a backend. Requests that arrive after it wait for the work
        too. ``is_cached``: some backend is known to cache the shared prefix."""
        tokens = float(self._uncached_tokens(prompt, view))
        reread = 0.0
        if tokens == prompt.tokens:  # nothing of it is known to be cached there
            if is_cached:
                reread = max(0.0, MIN_REREAD_WEIGHT - congestion) * prompt.shared_tokens
            elif self._is_home(service, prompt, view):
                # Another proxy may have had it read
                home_hit = max(MIN_HOME_HIT_PROBABILITY, 1.0 - self.visibility(now))
                tokens -= home_hit * prompt.shared_tokens
        work = congestion * self._slowness(now, view) * tokens + reread
        return self.wait_ms(now, service, view) + self.latency(service, "prefill").token_ms * work

    def _congestion(self, now: float, service: str, prompt: Prompt, drawn: tuple[BackendView, BackendView]) -> float:
        """Return the weight of added work: 1 plus the mean number of prefills that wait at a backend, over this proxy's
        draws, as added work delays that many requests. Without it, an overloaded stage would repeat prefills of cached
        prefixes ever more often, and its throughput would fall."""
        if not self._policy.congestion:
            return 1.0
        wait = sum(self.wait_ms(now, service, view) for view in drawn) / 2
        self._wait_sum_ms = CONGESTION_DECAY * self._wait_sum_ms + wait
        self._work_sum_ms = (
            CONGESTION_DECAY * self._work_sum_ms + self.latency(service, "prefill").token_ms * prompt.tokens
        )
        return 1.0 + self._wait_sum_ms / max(1.0, self._work_sum_ms)

    def choose(
        self, now: float, service: str, engine: Engine, prompt: Prompt, goal_ms: float, without: Set[str]
    ) -> Plan | None:
        """Choose a pair for a request; None if no decode backend is available."""
        backends = self._candidates.ready(now, service, "decode", without)
        if not backends:
            return None
        first, second = self.draws.draw(backends)
        blend = self.draws.blend(now, service, "decode", backends, (first, second))
        prefill = self.choose_prefill(now, service, prompt, without) if prompt.tokens else None
        plan = self._plan(first, prefill, service, engine, prompt, goal_ms, blend)
        if second is not first:
            other = self._plan(second, prefill, service, engine, prompt, goal_ms, blend)
            if self.draws.prefers_second(blend, plan.cost, other.cost):
                plan = other
        return plan

    def _plan(
        self,
        decode_backend: BackendView,
        prefill: tuple[BackendView, float, int] | None,
        service: str,
        engine: Engine,
        prompt: Prompt,
        goal_ms: float,
        blend: float,
    ) -> Plan:
        latency = self.latency(service, "decode")
        streams = decode_backend.all_calls
        queued_ms = latency.token_ms * (decode_backend.tokens + decode_backend.others_tokens) + streams
        tokens = self._uncached_tokens(prompt, decode_backend)
        local_cost = (
            self._cost(latency.estimate(tokens) + queued_ms, goal_ms)
            + STREAM_DELAY_SHARE * streams * latency.token_ms * tokens
        )
        if prefill is None:
            return Plan(decode_backend, None, tokens, local_cost, blend)
        prefill_backend, read_ms, prefill_tokens = prefill
        link_factor = 1.0 if prefill_backend.backend.zone == decode_backend.backend.zone else 2.0
        transfer_ms = link_factor * prompt.tokens * engine.token_bytes * 8 / max(1.0, engine.link_mbps) / 1e3
        split_cost = self._cost(read_ms + latency.base_ms + transfer_ms + queued_ms, goal_ms)
        if tokens <= MAX_LOCAL_PREFILL_TOKENS and local_cost <= split_cost and self._policy.short_prompts_at_makers:
            return Plan(decode_backend, None, tokens, local_cost, blend)
        return Plan(decode_backend, prefill_backend, prefill_tokens, split_cost, blend)

    def has_decode_backend(self, now: float, service: str, without: Set[str]) -> bool:
        """Return whether a decode backend is available."""
        return bool(self._candidates.ready(now, service, "decode", without))

    @staticmethod
    def _cost(time: float, goal_ms: float) -> float:
        return time + LATE_COST_FACTOR * max(0.0, time - SAFE_GOAL_SHARE * goal_ms)


class StagedChoice:
    """The choice for one service with engines."""

    def __init__(self, pairs: PairChooser, service: str, engine: Engine) -> None:
        self._pairs, self._service, self._engine = pairs, service, engine

    def choose(self, now: float, prompt: Prompt, goal_ms: float, without: Set[str]) -> Plan | None:
        """Choose a pair for one request; None if no decode backend is available."""
        return self._pairs.choose(now, self._service, self._engine, prompt, goal_ms, without)

    def has_candidate(self, now: float, without: Set[str]) -> bool:
        """Return whether another attempt could be sent anywhere."""
        return self._pairs.has_decode_backend(now, self._service, without)
