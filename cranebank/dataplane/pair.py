"""The choice of a pair: who reads the prompt and who makes the tokens.

At both stages the choice is the (1+beta) process: two uniform draws from the stage's ready list, the lower figure with
probability beta = sqrt(n log n / b), ties at random, else the first draw. Who keeps a long shared prompt is ready to
read it, and nobody else, unless the keepers have so much to read that reading it anew elsewhere is sooner done; one
that nobody is known to keep goes to its home, the same for all proxies (rendezvous hashing). The figure is an
estimate in milliseconds of what a call costs there: what is to be read, behind what this proxy and its neighbours have
out there, the move, and how much a reading holds up the streams that run there.
"""

from __future__ import annotations

from collections.abc import Set
from hashlib import blake2b
from heapq import nlargest

from cranebank.dataplane.blended_draw import BlendedDraw
from cranebank.dataplane.cache_view import CacheView
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.choice import Plan
from cranebank.dataplane.pace import Pace, prior
from cranebank.dataplane.prompt import Prompt
from cranebank.dataplane.routes import Engine
from cranebank.dataplane.seen import Seen

KEPT_HOMES = 4096  # shared parts of a service whose homes are remembered
HOMES = 1  # where a long shared prompt that nobody keeps is read; at two it would be read twice
FAR_BEHIND = 3  # so many readings of its shared part let a prompt go elsewhere: each costs work that others wait for
HOLD_UP = 0.1  # of its time, what a reading costs each stream that runs where it is read
ALONE = 1024  # tokens that a decode backend may read itself: one piece; more would hold up those that stream there
LATE_COST = 4.0  # a millisecond past the safe part of the goal counts as so many more
SAFE = 0.6  # part of the goal for which an estimate may be relied on


def _hash(key: str, backend: str) -> bytes:
    return blake2b(f"{key}/{backend}".encode(), digest_size=8).digest()


class PairChooser:
    """Pairs for the requests of one proxy."""

    def __init__(self, candidates: Candidates, cache: CacheView, draws: BlendedDraw) -> None:
        self._candidates, self._cache, self.draws = candidates, cache, draws
        self._paces: dict[tuple[str, str], Pace] = {}
        self._homes: dict[str, tuple[list[Seen], int, dict[str, list[Seen]]]] = {}  # by service: list, version, homes

    def pace(self, service: str, stage: str) -> Pace:
        """What reading takes there."""
        found = self._paces.get((service, stage))
        if found is None:
            found = self._paces[service, stage] = prior(stage)
        return found

    def keepers(self, listed: list[Seen], prompt: Prompt) -> list[Seen]:
        """Who is ready to read a prompt with a long shared part."""
        if len(listed) <= 1:
            return listed
        shared = prompt.shared_tokens
        found = [seen for seen in listed if self._cache.kept(seen.backend.id, prompt.shared) >= shared]
        if not found:
            return self._home(listed, prompt.home_key)
        behind = min(seen.tokens + seen.others_tokens for seen in found)
        if behind > FAR_BEHIND * shared + min(seen.tokens + seen.others_tokens for seen in listed):
            return listed
        return found

    def _home(self, listed: list[Seen], key: str) -> list[Seen]:
        """The homes of a shared part; remembered while the list stays as it is."""
        service, version = listed[0].backend.target, self._candidates.version
        known = self._homes.get(service)
        if known is None or known[0] is not listed or known[1] != version or len(known[2]) >= KEPT_HOMES:
            known = self._homes[service] = (listed, version, {})
        found = known[2].get(key)
        if found is None:
            found = known[2][key] = nlargest(HOMES, listed, key=lambda seen: _hash(key, seen.backend.id))
        return found

    def reader(self, now: float, service: str, prompt: Prompt, without: Set[str]) -> tuple[Seen, float, int] | None:
        """Who reads, its estimate in ms, and the tokens thought to be read there."""
        listed = self._candidates.ready(now, service, "prefill", without)
        if not listed:
            return None
        pace = self.pace(service, "prefill")
        if prompt.home_key:
            listed = self.keepers(listed, prompt)
        first, second = self.draws.draw(listed)
        blend = self.draws.blend(now, service, "prefill", listed, (first, second))

        def figure(seen: Seen) -> tuple[float, int]:
            tokens = max(1, prompt.tokens - self._cache.kept(seen.backend.id, prompt.parts))
            return pace.estimate(tokens) + pace.token * (seen.tokens + seen.others_tokens), tokens

        (a, a_tokens), (b, b_tokens) = figure(first), figure(second)
        if self.draws.takes_second(blend, a, b):
            return second, b, b_tokens
        return first, a, a_tokens

    def choose(
        self, now: float, service: str, engine: Engine, prompt: Prompt, goal_ms: float, without: Set[str]
    ) -> Plan | None:
        """A pair for a request, or none where nobody is ready."""
        listed = self._candidates.ready(now, service, "decode", without)
        if not listed:
            return None
        first, second = self.draws.draw(listed)
        blend = self.draws.blend(now, service, "decode", listed, (first, second))
        reading = self.reader(now, service, prompt, without) if prompt.tokens else None
        plan = self._plan(first, reading, service, engine, prompt, goal_ms, blend)
        if second is not first:
            other = self._plan(second, reading, service, engine, prompt, goal_ms, blend)
            if self.draws.takes_second(blend, plan.figure, other.figure):
                plan = other
        return plan

    def _plan(
        self,
        maker: Seen,
        reading: tuple[Seen, float, int] | None,
        service: str,
        engine: Engine,
        prompt: Prompt,
        goal_ms: float,
        blend: float,
    ) -> Plan:
        pace = self.pace(service, "decode")
        streams = maker.calls + maker.others_calls
        ahead = pace.token * (maker.tokens + maker.others_tokens) + streams
        tokens = max(1, prompt.tokens - self._cache.kept(maker.backend.id, prompt.parts))
        alone = self._cost(pace.estimate(tokens) + ahead, goal_ms) + HOLD_UP * streams * pace.token * tokens
        if reading is None:
            return Plan(maker, None, tokens, alone, blend)
        reader, read_ms, read_tokens = reading
        far = 1.0 if reader.backend.zone == maker.backend.zone else 2.0
        move = far * prompt.tokens * engine.token_bytes * 8 / max(1.0, engine.link_mbps) / 1e3
        split = self._cost(read_ms + pace.start + move + ahead, goal_ms)
        if tokens <= ALONE and alone <= split:
            return Plan(maker, None, tokens, alone, blend)
        return Plan(maker, reader, read_tokens, split, blend)

    def has_maker(self, now: float, service: str, without: Set[str]) -> bool:
        """Whether anybody is ready to make tokens."""
        return bool(self._candidates.ready(now, service, "decode", without))

    @staticmethod
    def _cost(time: float, goal_ms: float) -> float:
        return time + LATE_COST * max(0.0, time - SAFE * goal_ms)


class StagedChoice:
    """Of one service with engines."""

    def __init__(self, pairs: PairChooser, service: str, engine: Engine) -> None:
        self._pairs, self._service, self._engine = pairs, service, engine

    def choose(self, now: float, prompt: Prompt, goal_ms: float, without: Set[str]) -> Plan | None:
        """A pair for one request, or none where nobody is ready."""
        return self._pairs.choose(now, self._service, self._engine, prompt, goal_ms, without)

    def has_backend(self, now: float, without: Set[str]) -> bool:
        """Whether another run could go anywhere."""
        return self._pairs.has_maker(now, self._service, without)
