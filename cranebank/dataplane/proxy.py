"""The data plane of a proxy on asyncio: what it knows of routes and backends, and the clients' requests."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from random import Random

import msgspec
from loguru import logger

from cranebank.dataplane import prompt as prompts
from cranebank.dataplane.backend_pool import Pool
from cranebank.dataplane.budget import Budget
from cranebank.dataplane.cache_view import CACHE_SHARE, PREFILL_CACHE_SHARE, CacheView
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.choices import Choices
from cranebank.dataplane.client_request import ClientRequest
from cranebank.dataplane.errors import Malformed, NoRoute, NotRun
from cranebank.dataplane.exchange import Exchange
from cranebank.dataplane.exchange_events import Begin, ClientGone, ClientPace
from cranebank.dataplane.front import ClientConnection, Front, Handler
from cranebank.dataplane.open_request import OpenRequest
from cranebank.dataplane.policy import ALL_ON, Policy
from cranebank.dataplane.routes import ClientLimits, RouteTable
from cranebank.dataplane.shared import Shared
from cranebank.dataplane.stage_watch import StageWatch
from cranebank.transport.messages import Backend, PrefillBegun, StageLoad, WarmUpPermits
from cranebank.transport.revision import NO_REVISION, Revision

MAX_PROMPT_TOKENS = 1 << 24  # of one prompt; larger numbers are invalid
DEFAULT_DEADLINE_MS = 60_000.0  # if a client sends none


class RetryRule(msgspec.Struct, frozen=True):
    """The retry budget's settings. ``fresh``: this process is known not to be a restart."""

    ratio: float
    slack: float
    window_s: float
    fresh: bool


class Proxy(Handler):
    """A proxy's data plane. ``configure`` and ``learn`` pass in what the control plane knows."""

    def __init__(self, rule: RetryRule, random: Random, now: float, policy: Policy = ALL_ON) -> None:
        self.table: RouteTable | None = None
        self._rule, self._random = rule, random
        self._budgets: dict[str, Budget] = {}
        self._fresh_until = now if rule.fresh else now + rule.window_s
        self.counters: dict[str, int] = {}
        candidates, cache = Candidates(), CacheView()
        choices = Choices(candidates, cache, random, policy)
        self.shared = Shared(candidates, choices, cache, self._budget, self.counters)
        self.pool = Pool(self.counters)
        self.pool.max_connections = self._max_connections
        self.front = Front(self, self.limits)
        self._open: dict[ClientConnection, OpenRequest] = {}
        self._stages = StageWatch()
        self.evacuation_number = 0  # of the newest known evacuations; 0: none
        self.evacuated: frozenset[str] = frozenset()

    def limits(self) -> ClientLimits:
        """Return the clients' limits in force."""
        return self.table.limits if self.table is not None else ClientLimits()

    def _max_connections(self, backend: Backend) -> int:
        """Return the limit of connections to one backend: this proxy's part of what the service allows, at least
        four."""
        service = self.table.services.get(backend.target) if self.table is not None else None
        return max(4, (service.max_conns if service else 64) // (self.shared.choices.draws.proxies + 1))

    def _budget(self, service: str) -> Budget:
        found = self._budgets.get(service)
        if found is None:
            rule, now = self._rule, asyncio.get_running_loop().time()
            self._budgets = {name: budget for name, budget in self._budgets.items() if not budget.is_idle(now)}
            found = self._budgets[service] = Budget(rule.ratio, rule.slack, rule.window_s, self._fresh_until)
        return found

    @property
    def revision(self) -> Revision:
        """Return the revision of the configuration in force; 0: none."""
        return self.table.revision if self.table is not None else NO_REVISION

    def configure(self, document: bytes) -> bool:
        """Put a committed configuration in force, unless one at least as new is. Return whether it could be read."""
        try:
            table = RouteTable.read(document)
        except msgspec.MsgspecError as error:
            logger.error("configuration cannot be parsed, the one in force stays: {}", error)
            return False
        if table.revision > self.revision:
            self.shared.candidates.cold.limits = table.warm_up_limits
            self.table = table  # budgets stay: a service that is removed and added again keeps what it has spent
        return True

    def learn(self, backends: Iterable[Backend]) -> None:
        """Merge records of backends."""
        candidates, now = self.shared.candidates, asyncio.get_running_loop().time()
        for over in candidates.merge(backends, now):
            self.pool.drop(over)
            self.shared.cache.forget(over)
        self._stages.observe(now, candidates.stages_with_ready(), candidates.records.values())

    def evacuate(self, number: int, zones: Iterable[str]) -> int:
        """Stop sending to backends of these zones, unless newer evacuations are known; return the number in force."""
        if number > self.evacuation_number:
            self.evacuation_number, self.evacuated = number, frozenset(zones)
            self.shared.candidates.evacuate(asyncio.get_running_loop().time(), self.evacuated)
        return self.evacuation_number

    def free(self, backend: Backend, handle: str) -> None:
        """Free the KV cache of a prefill that no decode backend will fetch. In an evacuated zone it expires instead."""
        if not self.shared.candidates.is_evacuated(backend):
            self.pool.free(backend, handle)

    def permit(self, permits: WarmUpPermits) -> None:
        """Add permits, leased by a controller, to send to a cold backend."""
        now = asyncio.get_running_loop().time()
        if permits.backend in self.shared.candidates.views:
            self.shared.candidates.cold.grant(now, permits.backend, permits.permits, permits.valid_until)

    def clock_ms(self) -> int:
        """Return the steady clock if some service limits calls to cold backends, otherwise 0."""
        return int(asyncio.get_running_loop().time() * 1e3) if self.shared.candidates.cold.limits else 0

    def known(self) -> tuple[Backend, ...]:
        """Return all records, as they are to be sent now."""
        return self.shared.candidates.known(asyncio.get_running_loop().time())

    def hold_off(self, backend: str, seconds: float) -> None:
        """Avoid a backend that is about to change its stage, for so many seconds."""
        self.shared.candidates.hold_off(asyncio.get_running_loop().time(), backend, seconds)

    def loads(self) -> tuple[StageLoad, ...]:
        """Return this proxy's offered load on the stages of each service."""
        if not self.shared.choices.policy.stage_loads:
            return ()
        now = asyncio.get_running_loop().time()
        return self.shared.load.report(now, self.shared.candidates.views.values())

    def record_cached_prefix(self, backend: str, part: str, tokens: int) -> None:
        """Record that a neighbour had this backend read a prompt up to and including this shared part."""
        record = self.shared.candidates.records.get(backend)
        service = self.table.services.get(record.target) if record is not None and self.table is not None else None
        if record is not None and service is not None and service.engine is not None and tokens > 0:
            share = PREFILL_CACHE_SHARE if record.stage == "prefill" else CACHE_SHARE
            self.shared.cache.record_prefix(backend, part, tokens, service.engine.cache_tokens, share)

    def prefill_begun(self, prefill: PrefillBegun) -> None:
        """Record that another proxy has sent a prefill to a backend."""
        view = self.shared.candidates.views.get(prefill.backend)
        if view is None or view.backend.stage != "prefill" or not 0 < prefill.tokens <= MAX_PROMPT_TOKENS:
            return
        now = asyncio.get_running_loop().time()
        if prefill.slowness > 0.0:
            view.slowness.observe(now, prefill.slowness)
        self.shared.choices.pairs.begin_prefill(now, view.backend.target, view, prefill.tokens)
        if prefill.part:
            self.record_cached_prefix(prefill.backend, prefill.part, prefill.shared)

    @property
    def ready(self) -> bool:
        """Return whether a configuration is in force and some backend is available."""
        return self.table is not None and self.shared.candidates.any_ready()

    # Callbacks of clients' connections.

    def begin(self, client: ClientConnection, request: ClientRequest) -> None:
        """A complete request has arrived."""
        now = asyncio.get_running_loop().time()
        if self.table is None:
            client.reply(NotRun("no configuration yet"), 0.2)
            return
        route = self.table.match(request.fields.get("host", ""), request.target)
        if route is None:
            self.shared.count("no_route")
            client.reply(NoRoute(), None)
            return
        left = request.fields.get("x-deadline-left", "")
        if left and not (left.isascii() and left.replace(".", "", 1).isdigit()):
            client.reply(Malformed("x-deadline-left"), None)
            return
        until = now + (float(left) if left else DEFAULT_DEADLINE_MS) / 1e3
        service = route.service(self._random)
        known = self.table.services.get(service)
        exchange = Exchange(
            self.shared,
            route,
            service,
            known.engine if known is not None else None,
            prompts.read(request.fields),
            now,
            until,
            request.fields.get("last-event-id"),
        )
        self.shared.count("requests")
        opened = OpenRequest(self, client, request, exchange, min(until, now + route.timeout_ms / 1e3))
        self._open[client] = opened
        if client.is_write_paused:  # by the answer to an earlier request
            opened.handle_event(ClientPace(is_slow=True))
        opened.handle_event(Begin())

    def gone(self, client: ClientConnection) -> None:
        """The client has disconnected."""
        opened = self._open.get(client)
        if opened is not None:
            opened.handle_event(ClientGone())

    def write_paused_changed(self, client: ClientConnection) -> None:
        """The client's write buffer is full, or has room again."""
        opened = self._open.get(client)
        if opened is not None:
            opened.handle_event(ClientPace(client.is_write_paused))

    def closed(self, opened: OpenRequest) -> None:
        """Remove a request that has ended."""
        if self._open.get(opened.client) is opened:
            del self._open[opened.client]

    @property
    def open(self) -> int:
        """Return the number of open requests."""
        return len(self._open)
