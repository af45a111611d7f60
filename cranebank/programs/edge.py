"""The proxy on an edge machine: data plane and links to controllers, put together."""

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

if TYPE_CHECKING:
    from cranebank.programs.metrics import Exporter

HOUSEKEEPING_S = 1.0
LEAVE_S = 2.4  # after SIGTERM clients are still sent for so long: the platform asks every second and forgives once
MARGIN_S = 0.5  # of the grace
CONTACT_LOST_S = 2.5  # without a controller that knows the newest configuration; longer than a takeover
UNTOLD = 1000  # proxies there may be, while no controller has told: its part of what all hold in common is next to none


class _Plane:
    """The data plane as the links and the neighbours see it."""

    def __init__(self, proxy: Proxy) -> None:
        self._proxy = proxy
        self.neighbours: Neighbours | None = None
        self.document = b""  # kept for neighbours only

    @property
    def revision(self) -> int:
        """Of the configuration in force."""
        return self._proxy.revision

    def configure(self, document: bytes) -> bool:
        """Take a configuration."""
        before = self._proxy.revision
        taken = self._proxy.configure(document)
        if self.neighbours is not None and self._proxy.revision > before:
            self.document = document
        return taken

    def learn(self, backends: Iterable[Backend]) -> None:
        """Take records of backends."""
        if self.neighbours is not None:
            backends = tuple(backends)
            self.neighbours.changes(backends)
        self._proxy.learn(backends)

    def records(self) -> Mapping[str, Backend]:
        """All records by id."""
        return self._proxy.shared.candidates.records

    def out(self) -> Iterable[tuple[str, int, int]]:
        """Calls and tokens that this proxy has out at each backend."""
        return (
            (seen.backend.id, seen.calls, seen.tokens)
            for seen in self._proxy.shared.candidates.views.values()
            if seen.calls or seen.tokens
        )  # looked for only when loads are due

    def set_neighbour_loads(self, sums: LoadSums) -> None:
        """Calls and tokens that neighbours have out at these backends."""
        if not self._proxy.shared.choices.policy.told_loads:
            return
        if sums:
            self._proxy.shared.choices.draws.neighbour_loads_at = asyncio.get_running_loop().time()
        for backend, (calls, tokens) in sums.items():
            seen = self._proxy.shared.candidates.views.get(backend)
            if seen is not None:
                seen.others_calls, seen.others_tokens = calls, tokens

    def record_cached_prefix(self, note: CachedPrefix) -> None:
        """A neighbour had a backend read a shared part."""
        self._proxy.record_cached_prefix(note.backend, note.part, note.tokens)

    def reading_begun(self, told: PrefillBegun) -> None:
        """Another proxy has asked a backend to read a prompt."""
        self._proxy.reading_begun(told)

    def prefill_reporters(self, proxies: int) -> None:
        """So many other proxies tell of the readings that they begin."""
        self._proxy.shared.choices.pairs.prefill_reporters = proxies

    def known(self) -> tuple[Backend, ...]:
        """All records."""
        return self._proxy.known()

    def permit(self, permits: WarmUpPermits) -> None:
        """A controller leases permits to send to a cold backend."""
        self._proxy.permit(permits)

    def clock_ms(self) -> int:
        """Its steady clock, to which permits are bound; 0: it wants none."""
        return self._proxy.clock_ms()

    def evacuations(self) -> tuple[int, tuple[str, ...]]:
        """The number of the evacuations in force, 0 where none were ever, and their zones."""
        return self._proxy.evacuation_number, tuple(sorted(self._proxy.evacuated))

    def evacuate(self, number: int, zones: Iterable[str]) -> int:
        """Send nothing more to backends of these zones, unless newer evacuations are known; the number in force."""
        return self._proxy.evacuate(number, zones)

    def hold_off(self, backend: str, seconds: float) -> None:
        """This backend is about to change its stage: nothing is sent there for so long."""
        self._proxy.hold_off(backend, seconds)

    def loads(self) -> tuple[StageLoad, ...]:
        """What this proxy asks of the stages of each service."""
        return self._proxy.loads()

    def set_proxy_count(self, count: int) -> None:
        """The told number of proxies."""
        self._proxy.shared.choices.draws.proxies = max(1, count)


class Edge:
    """One proxy process."""

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
        self.proxy.shared.choices.draws.proxies = UNTOLD
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
                self.proxy.shared.on_prefill_begun = neighbours.reading_begun
        self.stopping = False

    def _has_lost_contact(self) -> bool:
        return self.links.unconfirmed_s > CONTACT_LOST_S

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
        """Serve until SIGTERM; 0."""
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
        exporter = await self._export() if settings.tells_metrics else None
        logger.info("{} serves at {}", settings.node_name, settings.binds["front"])
        housekeeping = background.start(self._keep_house())
        await stopped.wait()
        self.stopping = True
        until = loop.time() + settings.bounds.grace_s - MARGIN_S
        self.proxy.front.closing = True
        await asyncio.sleep(min(LEAVE_S, settings.bounds.grace_s / 3))
        front.close()
        self.proxy.front.dismiss()
        while self.proxy.front.count and loop.time() < until:
            await asyncio.sleep(0.05)
            self.proxy.front.dismiss()
        housekeeping.cancel()
        ready.close()
        if exporter is not None:
            exporter.stop()
        self.links.stop()
        if self._plane.neighbours is not None:
            self._plane.neighbours.stop()
        return 0

    async def _export(self) -> Exporter:
        from cranebank.programs import metrics  # noqa: PLC0415 - nothing of it where it is off

        exporter = metrics.Exporter(lambda: metrics.of_edge(self))
        await exporter.start(self._settings)
        return exporter

    def reload(self) -> None:
        """Read the settings file again: the seeds may be others."""
        try:
            found = load()
        except SettingsError as error:
            logger.warning("{}", error)
            return
        self.links.name(found.seed_ips)

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            try:
                self._look_after_links()
            except Exception as error:  # the next look comes all the same
                background.report_unhandled("housekeeping", error)

    def _look_after_links(self) -> None:
        self.links.prune()
        if not self.links.up:
            self.reload()  # the file may change without a signal


async def _serve(protocol: Callable[[], asyncio.Protocol], address: str) -> asyncio.Server:
    host, _, port = address.rpartition(":")
    return await asyncio.get_running_loop().create_server(protocol, host, int(port), backlog=1024, reuse_address=True)


async def run(settings: NodeSettings, ring: LogRing | None = None) -> int:
    """Run one proxy until SIGTERM; the exit code."""
    if ring is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, ring.dump)
        loop.set_exception_handler(ring.uncaught_in_loop)
    edge = Edge(settings)
    if ring is not None:
        ring.state = lambda: f"configuration={edge.proxy.revision}"
    return await edge.run()
