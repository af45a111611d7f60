"""The choice of a pair: who reads the prompt and who makes the tokens.

At both stages the choice is the (1+beta) process: two uniform draws from the stage's ready list, the lower figure with
probability beta = sqrt(n log n / b), ties at random, else the first draw. One more reader, of the proxy's own
zone, is taken if its figure is no higher. Where another backend keeps the prompt's long
shared part, it is taken if its figure is no higher than that of the draws; so is, where nobody is known to keep it,
its home, the same for all proxies (rendezvous hashing), as far as other proxies' readings are not told here. The figure
is an estimate in milliseconds of what a call costs there: what is to be read, behind what all proxies are known to have
out there, the move, and how much a reading holds up the streams that run there.
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

MAX_REMEMBERED_HOMES = 4096  # shared parts of a service whose homes are remembered
HOMES_PER_PREFIX = 1  # where a long shared prompt that nobody keeps is read; at two it would be read twice
MIN_REREAD_WEIGHT = (
    3.0  # what is read although it is kept elsewhere counts so many times at least: others wait for it, and it costs
)
MIN_HOME_HIT_PROBABILITY = 0.5  # how likely a part that nobody is known to keep is at its home still, at least
CONGESTION_DECAY = 0.9  # of the waits and readings that congestion is averaged over, at each further one
CACHE_LEARNING_S = 10.0  # a proxy that began later than this knows little of what backends keep
STREAM_DELAY_SHARE = 0.1  # of its time, what a reading costs each stream that runs where it is read
MAX_LOCAL_PREFILL_TOKENS = (
    1024  # tokens that a decode backend may read itself: one piece; more would hold up those that stream there
)
LATE_COST_FACTOR = 4.0  # a millisecond past the safe part of the goal counts as so many more
SAFE_GOAL_SHARE = 0.6  # part of the goal for which an estimate may be relied on


def _hash(key: str, backend: str) -> bytes:
    return blake2b(f"{key}/{backend}".encode(), digest_size=8).digest()


class PairChooser:
    """Pairs for the requests of one proxy."""

    def __init__(self, candidates: Candidates, cache: CacheView, draws: BlendedDraw, policy: Policy = ALL_ON) -> None:
        self._candidates, self._cache, self.draws = candidates, cache, draws
        self._policy = policy
        self._by_zone = ByZone(candidates)
        self.zone = ""  # this proxy's own
        self.prefill_reporters = 0  # other proxies that tell this one of the readings they begin
        self._began_at: float | None = None
        self._wait_sum_ms = self._work_sum_ms = 0.0  # milliseconds, decayed at each reading
        self._latencies: dict[tuple[str, str], LatencyModel] = {}
        self._homes: dict[
            str, tuple[list[BackendView], int, dict[str, list[BackendView]]]
        ] = {}  # by service: list, version, homes

    def latency(self, service: str, stage: str) -> LatencyModel:
        """What reading takes there."""
        found = self._latencies.get((service, stage))
        if found is None:
            found = self._latencies[service, stage] = prior(stage)
        return found

    def cache_holders(self, listed: list[BackendView], prompt: Prompt) -> list[BackendView]:
        """Who keeps a prompt's long shared part, as far as is known; none known: its home."""
        shared = prompt.shared_tokens
        found = [view for view in listed if self._cache.cached_tokens(view.backend.id, prompt.shared) >= shared]
        if not self._policy.cached_parts:
            found = []
        if found or not self._policy.homes:
            return found
        return self._home(listed, prompt.home_key)

    def _is_home(self, service: str, prompt: Prompt, view: BackendView) -> bool:
        known = self._homes.get(service)
        return known is not None and bool(prompt.home_key) and view in known[2].get(prompt.home_key, ())

    def _home(self, listed: list[BackendView], key: str) -> list[BackendView]:
        """The homes of a shared part; remembered while the list stays as it is."""
        service, version = listed[0].backend.target, self._candidates.version
        known = self._homes.get(service)
        if known is None or known[0] is not listed or known[1] != version or len(known[2]) >= MAX_REMEMBERED_HOMES:
            known = self._homes[service] = (listed, version, {})
        found = known[2].get(key)
        if found is None:
            found = known[2][key] = nlargest(HOMES_PER_PREFIX, listed, key=lambda view: _hash(key, view.backend.id))
        return found

    def visibility(self, now: float) -> float:
        """The share of all proxies' latest readings that this proxy knows of."""
        if self._began_at is None:
            self._began_at = now
        told = (1 + self.prefill_reporters) / max(1, self.draws.proxies)
        return min(1.0, told) * min(1.0, (now - self._began_at) / CACHE_LEARNING_S)

    def wait_ms(self, now: float, service: str, view: BackendView) -> float:
        """Milliseconds before a reading that is asked for now begins there."""
        wait = view.prefill_queue.wait(now) * 1e3
        if wait:
            return wait
        return self.latency(service, "prefill").token_ms * (view.tokens + view.others_tokens)  # late, or not told of

    def begin_prefill(self, now: float, service: str, view: BackendView, tokens: int) -> Ticket:
        """A reading of so many tokens is asked for there, by whichever proxy."""
        token_ms = self.latency(service, "prefill").token_ms * self._slowness(now, view)
        return view.prefill_queue.add(now, token_ms * tokens / 1e3)

    def end_prefill(self, now: float, service: str, leg: Leg) -> None:
        """A reading of our own was answered."""
        latency, view = self.latency(service, "prefill"), leg.view
        if leg.ticket is not None:
            view.prefill_queue.finish(now - latency.base_ms / 1e3, leg.ticket)
        if not leg.found_idle:  # it waited for others as well, and the pace would grow with the queue
            return
        took_ms = (now - leg.sent_at) * 1e3
        view.unreported_slowness = took_ms / latency.estimate(leg.tokens)
        view.slowness.observe(now, view.unreported_slowness)
        latency.learn(leg.tokens, took_ms)

    def choose_prefill(
        self, now: float, service: str, prompt: Prompt, without: Set[str]
    ) -> tuple[BackendView, float, int] | None:
        """Who reads, its estimate in ms, and the tokens thought to be read there."""
        listed = self._candidates.ready(now, service, "prefill", without)
        if not listed:
            return None
        first, second = self.draws.draw(listed)
        blend = self.draws.blend(now, service, "prefill", listed, (first, second))
        congestion = self._congestion(now, service, prompt, (first, second))
        holders = self.cache_holders(listed, prompt) if prompt.home_key and self._policy.keepers else []
        is_cached = any(self._uncached_tokens(prompt, view) < prompt.tokens for view in holders)

        def cost(view: BackendView) -> float:
            return self._prefill_cost(now, service, prompt, view, congestion, is_cached)

        chosen = second if self.draws.prefers_second(blend, cost(first), cost(second)) else first
        chosen = min((*self._draw_in_zone(listed, self.zone), *holders, chosen), key=cost)
        tokens = self._uncached_tokens(prompt, chosen)
        read_ms = self.latency(service, "prefill").estimate(tokens)  # slowness is for the choice among readers only
        return chosen, self.wait_ms(now, service, chosen) + read_ms, tokens

    def _draw_in_zone(self, listed: list[BackendView], zone: str) -> list[BackendView]:
        """One draw from those in a zone, if there are any."""
        return self.draws.sample_one(self._by_zone.of(listed, zone)) if self._policy.near_zone else []

    def _uncached_tokens(self, prompt: Prompt, view: BackendView) -> int:
        """Tokens that a backend is thought to have to read."""
        if not self._policy.cached_parts:
            return max(1, prompt.tokens)
        return max(1, prompt.tokens - self._cache.cached_tokens(view.backend.id, prompt.parts))

    def _slowness(self, now: float, view: BackendView) -> float:
        return view.slowness.at(now) if self._policy.slowness else 1.0

    def _prefill_cost(
        self, now: float, service: str, prompt: Prompt, view: BackendView, congestion: float, is_cached: bool
    ) -> float:
        """The wait there, and the work, which whoever comes behind it waits for as well. ``is_cached``: some backend
        keeps the shared part."""
        tokens = float(self._uncached_tokens(prompt, view))
        reread = 0.0
        if tokens == prompt.tokens:  # nothing is known to be kept there
            if is_cached:
                reread = max(0.0, MIN_REREAD_WEIGHT - congestion) * prompt.shared_tokens
            elif self._is_home(service, prompt, view):
                home_hit = max(
                    MIN_HOME_HIT_PROBABILITY, 1.0 - self.visibility(now)
                )  # another proxy may have had it read
                tokens -= home_hit * prompt.shared_tokens
        work = congestion * self._slowness(now, view) * tokens + reread
        return self.wait_ms(now, service, view) + self.latency(service, "prefill").token_ms * work

    def _congestion(self, now: float, service: str, prompt: Prompt, drawn: tuple[BackendView, BackendView]) -> float:
        """How many times work counts: one, and how many readings wait at a backend on average, by the draws that this
        proxy has made, since so many requests are held up by what one adds. Without it a stage that is asked for more
        than it can do reads ever more anew, and can do ever less."""
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
        """A pair for a request, or none where nobody is ready."""
        listed = self._candidates.ready(now, service, "decode", without)
        if not listed:
            return None
        first, second = self.draws.draw(listed)
        blend = self.draws.blend(now, service, "decode", listed, (first, second))
        reading = self.choose_prefill(now, service, prompt, without) if prompt.tokens else None
        plan = self._plan(first, reading, service, engine, prompt, goal_ms, blend)
        if second is not first:
            other = self._plan(second, reading, service, engine, prompt, goal_ms, blend)
            if self.draws.prefers_second(blend, plan.cost, other.cost):
                plan = other
        return plan

    def _plan(
        self,
        decode_backend: BackendView,
        reading: tuple[BackendView, float, int] | None,
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
        if reading is None:
            return Plan(decode_backend, None, tokens, local_cost, blend)
        prefill_backend, read_ms, prefill_tokens = reading
        link_factor = 1.0 if prefill_backend.backend.zone == decode_backend.backend.zone else 2.0
        transfer_ms = link_factor * prompt.tokens * engine.token_bytes * 8 / max(1.0, engine.link_mbps) / 1e3
        split_cost = self._cost(read_ms + latency.base_ms + transfer_ms + queued_ms, goal_ms)
        if tokens <= MAX_LOCAL_PREFILL_TOKENS and local_cost <= split_cost and self._policy.short_prompts_at_makers:
            return Plan(decode_backend, None, tokens, local_cost, blend)
        return Plan(decode_backend, prefill_backend, prefill_tokens, split_cost, blend)

    def has_decode_backend(self, now: float, service: str, without: Set[str]) -> bool:
        """Whether anybody is ready to make tokens."""
        return bool(self._candidates.ready(now, service, "decode", without))

    @staticmethod
    def _cost(time: float, goal_ms: float) -> float:
        return time + LATE_COST_FACTOR * max(0.0, time - SAFE_GOAL_SHARE * goal_ms)


class StagedChoice:
    """Of one service with engines."""

    def __init__(self, pairs: PairChooser, service: str, engine: Engine) -> None:
        self._pairs, self._service, self._engine = pairs, service, engine

    def choose(self, now: float, prompt: Prompt, goal_ms: float, without: Set[str]) -> Plan | None:
        """A pair for one request, or none where nobody is ready."""
        return self._pairs.choose(now, self._service, self._engine, prompt, goal_ms, without)

    def has_candidate(self, now: float, without: Set[str]) -> bool:
        """Whether another run could go anywhere."""
        return self._pairs.has_decode_backend(now, self._service, without)
