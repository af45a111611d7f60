"""The proxy's program: the data plane, the links to controllers and the links to neighbours."""

from __future__ import annotations

import asyncio
import gc
import secrets
import signal
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import TYPE_CHECKING

from loguru import logger

from cranebank import background
from cranebank.dataplane.proxy import Proxy, RetryRule
from cranebank.dataplane.readiness import Readiness
from cranebank.membership.fleet import FleetLinks
from cranebank.membership.neighbour_loads import LoadSums
from cranebank.membership.neighbours import Neighbours
from cranebank.programs.log_ring import LogRing
from cranebank.programs.settings import NodeSettings, SettingsError, load
from cranebank.transport.messages import Backend, CachedPrefix, Hello, PrefillBegun, StageLoad, WarmUpPermits
from cranebank.transport.revision import Revision

if TYPE_CHECKING:
    from cranebank.programs.metrics import Exporter

HOUSEKEEPING_INTERVAL_S = 1.0
# After SIGTERM the platform still routes clients here for a while: it probes every second and tolerates one failure.
UNREADY_SERVING_S = 2.4
SHUTDOWN_MARGIN_S = 0.5  # part of the grace period that shutdown leaves unused
CONTACT_TIMEOUT_S = 2.5  # without a controller that has the newest configuration; longer than a takeover takes
# The number of proxies until a controller reports it; so many that this proxy's share of common limits is tiny.
ASSUMED_PROXIES = 1000


class _Plane:
    """The data plane, as the links and the neighbours see it."""

    def __init__(self, proxy: Proxy) -> None:
        self._proxy = proxy
        self.neighbours: Neighbours | None = None
        self.document = b""  # the configuration in force; kept only to serve it to neighbours

    @property
    def revision(self) -> Revision:
        """The revision of the configuration in force."""
        return self._proxy.revision

    def configure(self, document: bytes) -> bool:
        """Apply a configuration; return whether it was accepted."""
        previous = self._proxy.revision
        taken = self._proxy.configure(document)
        if self.neighbours is not None and self._proxy.revision > previous:
            self.document = document
        return taken

    def learn(self, backends: Iterable[Backend]) -> None:
        """Apply records of backends."""
        if self.neighbours is not None:
            backends = tuple(backends)
            self.neighbours.changes(backends)
        self._proxy.learn(backends)

    def records(self) -> Mapping[str, Backend]:
        """Return all backend records by id."""
        return self._proxy.shared.candidates.records

    def out(self) -> Iterable[tuple[str, int, int]]:
        """Return the calls and tokens that this proxy has outstanding at each backend."""
        return (
            (seen.backend.id, seen.calls, seen.tokens)
            for seen in self._proxy.shared.candidates.views.values()
            if seen.calls or seen.tokens
        )  # computed only when loads are due

    def set_neighbour_loads(self, sums: LoadSums) -> None:
        """Record the calls and tokens that neighbours have outstanding at these backends."""
        if not self._proxy.shared.choices.policy.told_loads:
            return
        if sums:
            self._proxy.shared.choices.draws.neighbour_loads_at = asyncio.get_running_loop().time()
        for backend, (calls, tokens) in sums.items():
            seen = self._proxy.shared.candidates.views.get(backend)
            if seen is not None:
                seen.others_calls, seen.others_tokens = calls, tokens

    def record_cached_prefix(self, note: CachedPrefix) -> None:
        """Record that a neighbour had a backend process a shared prompt prefix."""
        self._proxy.record_cached_prefix(note.backend, note.part, note.tokens)

    def prefill_begun(self, begun: PrefillBegun) -> None:
        """Record that another proxy has asked a backend to process a prompt."""
        self._proxy.prefill_begun(begun)

    def prefill_reporters(self, proxies: int) -> None:
        """Set the number of other proxies that announce the prompts that they send to prefill."""
        self._proxy.shared.choices.pairs.prefill_reporters = proxies

    def known(self) -> tuple[Backend, ...]:
        """Return all backend records."""
        return self._proxy.known()

    def permit(self, permits: WarmUpPermits) -> None:
        """Accept a controller's permits to send requests to a cold backend."""
        self._proxy.permit(permits)

    def clock_ms(self) -> int:
        """Return the monotonic clock to which permits are bound, or 0 if the proxy wants no permits."""
        return self._proxy.clock_ms()

    def evacuations(self) -> tuple[int, tuple[str, ...]]:
        """Return the sequence number of the evacuations in force (0 before the first) and their zones."""
        return self._proxy.evacuation_number, tuple(sorted(self._proxy.evacuated))

    def evacuate(self, number: int, zones: Iterable[str]) -> int:
        """Stop sending to backends of these zones unless newer evacuations are known; return the number in force."""
        return self._proxy.evacuate(number, zones)

    def hold_off(self, backend: str, seconds: float) -> None:
        """Send nothing to this backend for ``seconds``: it is about to change its stage."""
        self._proxy.hold_off(backend, seconds)

    def loads(self) -> tuple[StageLoad, ...]:
        """Return the load that this proxy offers to the stages of each service."""
        return self._proxy.loads()

    def set_proxy_count(self, count: int) -> None:
        """Set the number of proxies that a controller reports."""
        self._proxy.shared.choices.draws.proxies = max(1, count)


class Edge:
    """A proxy process."""

    def __init__(self, settings: NodeSettings, with_neighbours: bool = True) -> None:
        self._settings = settings
        bounds = settings.bounds
        loop = asyncio.get_running_loop()
        self.proxy = Proxy(
            RetryRule(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s, settings.is_first_start),
            Random(),
            loop.time(),
            settings.cranebank_policy,
        )
        self.proxy.shared.choices.draws.proxies = ASSUMED_PROXIES
        self.proxy.shared.choices.pairs.zone = settings.zone
        self._plane = _Plane(self.proxy)
        self._life = secrets.randbits(63)
        self.links = FleetLinks(self._plane, self._hello, settings.ip, settings.link_port)
        self.proxy.shared.candidates.has_lost_contact = self._has_lost_contact
        if with_neighbours:
            neighbours = Neighbours(
                self._plane, lambda: self.links.neighbours, settings.ip, settings.link_port, Random()
            )
            self._plane.neighbours, self.proxy.shared.on_prefix_cached = neighbours, neighbours.read
            if settings.cranebank_policy.told_readings:
                self.proxy.shared.on_prefill_begun = neighbours.prefill_begun
        self.stopping = False

    def _has_lost_contact(self) -> bool:
        return self.links.unconfirmed_s > CONTACT_TIMEOUT_S

    def _hello(self) -> Hello:
        settings = self._settings
        return Hello(
            settings.node_name,
            "proxy",
            settings.ip,
            settings.zone,
            self._life,
            self.proxy.revision,
            tuple(record for record in self._plane.known() if record.phase != "lost"),
        )

    async def run(self) -> int:
        """Serve until SIGTERM; return the exit code 0."""
        settings, loop = self._settings, asyncio.get_running_loop()
        stopped = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.links.name(settings.seed_ips)
        if self._plane.neighbours is not None:
            await self._plane.neighbours.start()
        front = await _serve(self.proxy.front, settings.binds["front"])
        ready = await _serve(
            lambda: Readiness(lambda: self.proxy.ready and not self.stopping), settings.binds["ready_addr"]
        )
        gc.collect()
        gc.freeze()
        exporter = await self._start_exporter() if settings.exposes_metrics else None
        logger.info("proxy {} is listening on {}", settings.node_name, settings.binds["front"])
        housekeeping = background.start(self._run_housekeeping())
        await stopped.wait()
        self.stopping = True
        until = loop.time() + settings.bounds.grace_s - SHUTDOWN_MARGIN_S
        self.proxy.front.closing = True
        await asyncio.sleep(min(UNREADY_SERVING_S, settings.bounds.grace_s / 3))
        front.close()
        self.proxy.front.close_idle()
        while self.proxy.front.count and loop.time() < until:
            await asyncio.sleep(0.05)
            self.proxy.front.close_idle()
        self.proxy.front.break_off_unfinished()
        housekeeping.cancel()
        ready.close()
        if exporter is not None:
            exporter.stop()
        self.links.stop()
        if self._plane.neighbours is not None:
            self._plane.neighbours.stop()
        return 0

    async def _start_exporter(self) -> Exporter:
        from cranebank.programs import metrics  # noqa: PLC0415 - not loaded while metrics are off

        exporter = metrics.Exporter(lambda: metrics.edge_metrics(self))
        await exporter.start(self._settings)
        return exporter

    def reload(self) -> None:
        """Read the settings file again: its seeds may have changed."""
        try:
            found = load()
        except SettingsError as error:
            logger.warning("{}", error)
            return
        self.links.name(found.seed_ips)

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            try:
                self._maintain_links()
            except Exception as error:  # a failure must not end the loop
                background.report_unhandled("housekeeping", error)

    def _maintain_links(self) -> None:
        self.links.prune()
        if not self.links.up:
            self.reload()  # the file may have changed without a signal


async def _serve(protocol: Callable[[], asyncio.Protocol], address: str) -> asyncio.Server:
    host, _, port = address.rpartition(":")
    return await asyncio.get_running_loop().create_server(protocol, host, int(port), backlog=1024, reuse_address=True)


async def run(settings: NodeSettings, ring: LogRing | None = None) -> int:
    """Run a proxy until SIGTERM and return its exit code."""
    if ring is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, ring.dump)
        loop.set_exception_handler(ring.uncaught_in_loop)
    edge = Edge(settings)
    if ring is not None:
        ring.state = lambda: f"configuration={edge.proxy.revision}"
    return await edge.run()
