"""The proxy program: connects the actors, serves until SIGTERM or SIGINT, then finishes the open requests."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import resource
import signal
import socket
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from cranebank.config.checks import ConfigError
from cranebank.config.load import Config, load
from cranebank.core.clock import Clock
from cranebank.core.counter_log import CounterLog
from cranebank.core.counters import Counters
from cranebank.core.engine import Engine
from cranebank.core.log import Handler, Log
from cranebank.core.rules import Decisions, Host, ms_to_us
from cranebank.decisions import interface as api
from cranebank.decisions.balance import Balancer
from cranebank.discovery.routing_table import RoutingTable
from cranebank.http.client_connections import ConnectionTimeouts
from cranebank.http.connection_pool import ConnectionPool
from cranebank.http.frontend import Frontend
from cranebank.http.socket_state import readable, stop_accepting
from cranebank.http.upstream import Upstream, UpstreamDirectory
from cranebank.routing.subset import Subset, SubsetSpec, slot_from_name

IDLE_MARGIN_MS = 1000.0  # idle connections are closed this long before the host's machine would drop them
# For the interpreter, the listener, discovery, and connections accepted before ``ClientConnections`` counts them.
RESERVED_DESCRIPTORS = 32
# SIGKILL follows SIGTERM after the longest deadline, of which at most MAX_KILL_DEADLINE_S counts, plus KILL_MARGIN_S.
KILL_MARGIN_S, MAX_KILL_DEADLINE_S = 0.7, 3.0
KEEP_SERVING_SHARE = 0.6  # share of that time for which connections are kept; two fifths remain for the last answers
CLOSE_NOTICE_S = 0.5  # before idle connections close, answers announce it for this long, so that few are left to close
RETRY_GRACE_S = 0.05  # a client retries a request that crossed the close of its connection within this time
ACCEPTS_PER_TURN, BACKLOG = 16, 512  # accepted in one loop iteration; queued by the kernel


class Proxy:
    """One proxy in one event loop; used by the program and for embedding."""

    def __init__(self, config: Config, log: Log, make: Callable[[api.Settings, int], Decisions] = Balancer) -> None:
        self._config, self.counters, self._log = config, Counters(), log
        self._linger = config.layers.own.stop.linger_s  # clients still open connections for 0.2 to 0.4 s after the stop
        clock, settings = Clock(asyncio.get_running_loop()), config.settings
        self._clock = clock
        door = config.layers.own.door
        timeouts = ConnectionTimeouts(
            round(door.request_s * 1e6), round(door.kept_idle_s * 1e6), round(door.most_idle_s * 1e6)
        )
        idle = ms_to_us(max(100.0, settings.idle_after - IDLE_MARGIN_MS))
        self._pool = ConnectionPool(
            self._max_upstream_connections,
            config.memory // 8,
            idle,
            settings.connect_timeout / 1000.0,
            clock,
            self.counters,
        )
        own = config.layers.own.subset
        subset = (
            Subset(
                SubsetSpec(own.size, own.from_hosts, own.cover),
                settings.slot if settings.slot >= 0 else slot_from_name(config.name),
                settings.copies,
                settings.zone,
                settings.cross_zone_price > 0,
            )
            if own.size
            else None
        )
        if subset is not None and settings.removals_are_advisory:
            log.warning(
                "subset_off", why="removals from the list are advisory: a host can't be withdrawn from the module"
            )
        self._engine = Engine(settings, config.seed, clock, self.counters, log, make, subset)

        def upstream(host: Host) -> Upstream:
            return Upstream(host, settings, self._pool, self._engine.post, clock, self.counters, log)

        self._upstreams = UpstreamDirectory(upstream, self._engine.post)
        self._table = RoutingTable(
            config.discovery, config.reader, self._engine.post, self.counters, log, settings.watch_by_asking
        )
        self._engine.connect(self._upstreams, self._table)
        self._frontend = Frontend(
            self._engine,
            settings,
            config.classes,
            config.tenants,
            self._max_client_connections,
            timeouts,
            clock,
            self.counters,
            log,
            lambda: self._table.list_received.is_set() and self._frontend.answer_by is None,
        )
        self._connections = self._frontend.connections
        self._listener: asyncio.Server
        self._socket: socket.socket
        self._counter_log = CounterLog(self.counters, self._beliefs, log)
        self._counter_log.every(config.layers.own.log.tally_s)

    @property
    def client_connection_count(self) -> int:
        """The number of open client connections."""
        return self._connections.count

    def _beliefs(self) -> dict[str, float]:
        return self._engine.beliefs() | {
            "list_age_ms": self._table.age_ms(),
            "clients": self._connections.count,
            "links": self._pool.open,
        }

    def _max_client_connections(self) -> int:
        # Leaves a sixth of the descriptors or more to the hosts, with room to grow, but keeps a third for clients.
        sockets = self._config.sockets
        return max(sockets // 3, sockets - RESERVED_DESCRIPTORS - max(sockets // 6, self._pool.open + sockets // 16))

    def _max_upstream_connections(self) -> int:
        sockets = self._config.sockets
        return min(sockets * 7 // 16, sockets - RESERVED_DESCRIPTORS - self._connections.count)

    async def start(self) -> tuple[str, int]:
        """Start to listen; return the actual address, for example if the configured port is 0."""
        sock = socket.create_server(self._config.listen)
        # Guards the descriptors against floods: asyncio accepts up to ``backlog`` connections in one loop iteration,
        # before ``ClientConnections`` counts any.
        loop = asyncio.get_running_loop()
        self._socket = sock
        self._listener = await loop.create_server(self._connections, sock=sock, backlog=ACCEPTS_PER_TURN)
        sock.listen(BACKLOG)
        self._table.start(self._config.known)
        address: tuple[str, int] = self._listener.sockets[0].getsockname()
        return address

    async def _close_listener(self) -> None:
        for _ in range(BACKLOG // ACCEPTS_PER_TURN):  # serve the connections that the kernel has accepted
            if not any(map(readable, self._listener.sockets)):
                break
            await asyncio.sleep(0)
        await stop_accepting(self._listener)
        with contextlib.suppress(OSError):  # late connections; they are reset if descriptors run out
            while self._listener.sockets and readable(self._socket):
                client, _ = self._socket.accept()
                await asyncio.get_running_loop().connect_accepted_socket(self._connections, client)
        self._listener.close()  # nothing is awaited since the last check

    def reload(self, config: Config) -> None:
        """Apply the settings that a running proxy can change: the address of discovery (requests, legs and the list are
        kept), the log settings and the linger time."""
        self._table.set_address(config.discovery)
        self._log.set(config.layers.own.log)
        self._counter_log.every(config.layers.own.log.tally_s)
        self._linger = config.layers.own.stop.linger_s

    async def stop(self, linger: float | None = None, keep: bool = False) -> None:
        """Accept connections for the linger time, then finish the open requests.

        ``keep``: clients use their connections as long as these stay open (PROTOCOL), and have no other proxy while
        those of their zone are just starting: they are served until the rest of the time before SIGKILL is needed for
        the last answers. Otherwise each connection closes after its next answer, and idle ones close shortly before
        the listener: a request that crosses the close still finds it for its retry. Connections with an incoming
        request stay until it is answered or its time limit: aiohttp would drop what they still send (``pre_shutdown``).
        """
        self._log.info("stopping", clients=self._connections.count, owed=self._engine.unanswered_count)
        linger = self._linger if linger is None else linger
        max_deadline = max(kind.deadline for kind in self._config.settings.classes) / 1000.0
        kill_after = min(max_deadline, MAX_KILL_DEADLINE_S) + KILL_MARGIN_S
        self._frontend.answer_by = self._clock.now() + round((kill_after - RETRY_GRACE_S) * 1e6)
        self._frontend.closing = not keep
        await asyncio.sleep(linger)
        if keep:
            await self._close_listener()
            await asyncio.sleep(KEEP_SERVING_SHARE * kill_after - linger - CLOSE_NOTICE_S)
            self._frontend.closing = True
            await asyncio.sleep(CLOSE_NOTICE_S)
            self._connections.close_idle()
        else:
            self._connections.close_idle()
            await asyncio.sleep(RETRY_GRACE_S)
            await self._close_listener()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._connections.wait_until_empty(), max_deadline)
        await self._connections.shutdown(1.0)
        self._connections.stop()
        self._counter_log.every(0.0)
        await self._table.close()
        await self._upstreams.close()
        self._pool.drop()


@dataclass(slots=True, frozen=True)
class StartOptions:
    """How the program was started; a reload reads the same sources again."""

    environ: Mapping[str, str]
    file: str | None = None
    flags: Sequence[str] = ()
    make: Callable[[api.Settings, int], Decisions] = Balancer


def _reload(proxy: Proxy, current: Config, options: StartOptions, log: Log) -> None:
    """Reload the configuration: apply what a running proxy can change and log what needs a restart; if it is invalid,
    keep the current one."""
    try:
        # GW_DISCOVERY dates from the start of the process: it must not override the address in the file.
        environ = {name: value for name, value in options.environ.items() if name != "GW_DISCOVERY"}
        config = load(environ, options.file, options.flags)
    except ConfigError as error:
        log.error("reload_refused", error=str(error), said="kept the old settings")
        return
    proxy.reload(config)
    unapplied = current.needs_restart(config)
    log.info("reloaded", discovery=config.discovery, **({"needs_restart": ",".join(unapplied)} if unapplied else {}))


async def _run(config: Config, options: StartOptions, early_reloads: list[int]) -> None:
    # Enforces the descriptor limit: beyond it, accepting pauses and dials fail, both of which are handled.
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    max_descriptors = config.sockets if hard == resource.RLIM_INFINITY else min(config.sockets, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, hard))
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    log = Log(config.name, config.layers.own.log)
    logging.basicConfig(handlers=[Handler(log)], level=logging.WARNING)
    proxy = Proxy(config, log, options.make)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, proxy, config, options, log)
    if early_reloads:  # SIGHUP came during the start: the configuration may be outdated
        loop.call_soon(_reload, proxy, config, options, log)
    loop.add_signal_handler(signal.SIGUSR1, lambda: print(proxy.counters.text(), file=sys.stderr, flush=True))
    host, port = await proxy.start()
    print(f"{config.name}: listening on {host}:{port}", file=sys.stderr, flush=True)
    await stop.wait()
    await proxy.stop(keep=True)
    print(proxy.counters.text(), file=sys.stderr, flush=True)


def serve(options: StartOptions) -> int:
    """Run one proxy until SIGTERM or SIGINT; return the exit code: 0, or 2 if it can't start."""
    early_reloads: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))  # until the proxy can reload
    try:
        config = load(options.environ, options.file, options.flags)
        asyncio.run(_run(config, options, early_reloads))
    except (ConfigError, OSError) as error:
        print(f"cranebank: {error}", file=sys.stderr)
        return 2
    return 0
