"""The program: puts the actors together, serves until SIGTERM or SIGINT, finishes what it took."""

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

IDLE_MARGIN_MS = 1000.0  # idle connections are dropped this much before the host's machine would
RESERVED_DESCRIPTORS = (
    32  # the interpreter's own, the listener, discovery, and what is accepted before ``ClientConnections`` sees it
)
KILL_MARGIN_S, MAX_KILL_DEADLINE_S = (
    0.7,
    3.0,
)  # SIGKILL follows SIGTERM by the longest deadline, at most so long, and so much more
KEEP_SERVING_SHARE = (
    0.6  # of that time clients' connections are kept: what comes last still has two fifths of it for its answer
)
CLOSE_NOTICE_S = 0.5  # before they end, each answer tells its client so: few are left to be ended unasked
CROSSING_S = 0.05  # a request that crosses the end of its connection comes anew within so long
ACCEPTS_PER_TURN, BACKLOG = 16, 512  # taken in one turn of the loop; kept by the kernel until their turn


class Proxy:
    """One proxy in one event loop; for embedding as well as for the program."""

    def __init__(self, config: Config, log: Log, make: Callable[[api.Settings, int], Decisions] = Balancer) -> None:
        self._config, self.counters, self._log = config, Counters(), log
        self._linger = config.layers.own.stop.linger_s  # new connections still come for 0.2 to 0.4 s
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
            log.warning("subset_off", why="only draining binds here: a host can't be taken from the module")
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
            lambda: self._table.heard.is_set() and self._frontend.answer_by is None,
        )
        self._connections = self._frontend.connections
        self._listener: asyncio.Server
        self._socket: socket.socket
        self._counter_log = CounterLog(self.counters, self._beliefs, log)
        self._counter_log.every(config.layers.own.log.tally_s)

    @property
    def places_taken(self) -> int:
        """Clients' connections that are open."""
        return self._connections.count

    def _beliefs(self) -> dict[str, float]:
        return self._engine.beliefs() | {
            "list_age_ms": self._table.age_ms(),
            "clients": self._connections.count,
            "links": self._pool.open,
        }

    def _max_client_connections(self) -> int:
        # They leave a sixth of the descriptors to the hosts and room for those to grow, but have a third.
        sockets = self._config.sockets
        return max(sockets // 3, sockets - RESERVED_DESCRIPTORS - max(sockets // 6, self._pool.open + sockets // 16))

    def _max_upstream_connections(self) -> int:
        sockets = self._config.sockets
        return min(sockets * 7 // 16, sockets - RESERVED_DESCRIPTORS - self._connections.count)

    async def start(self) -> tuple[str, int]:
        """Listen; return the address, which matters where port 0 was asked for."""
        sock = socket.create_server(self._config.listen)
        # Guards the descriptors against a flood: asyncio accepts ``backlog`` before ``ClientConnections`` sees any.
        loop = asyncio.get_running_loop()
        self._socket = sock
        self._listener = await loop.create_server(self._connections, sock=sock, backlog=ACCEPTS_PER_TURN)
        sock.listen(BACKLOG)
        self._table.start(self._config.known)
        address: tuple[str, int] = self._listener.sockets[0].getsockname()
        return address

    async def _close_listener(self) -> None:
        for _ in range(BACKLOG // ACCEPTS_PER_TURN):  # whom the kernel has let in is let in here, too
            if not any(map(readable, self._listener.sockets)):
                break
            await asyncio.sleep(0)
        await stop_accepting(self._listener)
        with contextlib.suppress(OSError):  # those who came meanwhile; out of descriptors, they are reset
            while self._listener.sockets and readable(self._socket):
                client, _ = self._socket.accept()
                await asyncio.get_running_loop().connect_accepted_socket(self._connections, client)
        self._listener.close()  # nothing is awaited since the last look

    def reload(self, config: Config) -> None:
        """Take over what a running proxy can: the address of discovery (requests, legs and the list stay as
        they are), the log's settings and the time to linger."""
        self._table.set_address(config.discovery)
        self._log.set(config.layers.own.log)
        self._counter_log.every(config.layers.own.log.tally_s)
        self._linger = config.layers.own.stop.linger_s

    async def stop(self, linger: float | None = None, keep: bool = False) -> None:
        """Go on accepting for a moment; finish what was taken.

        ``keep``: clients go on using the connections that they have for as long as these stay open (PROTOCOL), and
        where the other proxies of their zone are just starting there is nobody else: they are served until the rest
        of the time before SIGKILL is needed for the last answers. Otherwise each answer is the last on its connection
        from now on, and idle ones end a moment before the listener: a request that crosses their end finds it there
        for its second try. Connections with a request on its way in stay till it is answered or its time to come in
        is up: aiohttp would drop what they still send (``pre_shutdown``).
        """
        self._log.info("stopping", clients=self._connections.count, owed=self._engine.unanswered_count)
        linger = self._linger if linger is None else linger
        max_deadline = max(kind.deadline for kind in self._config.settings.classes) / 1000.0
        kill_after = min(max_deadline, MAX_KILL_DEADLINE_S) + KILL_MARGIN_S
        self._frontend.answer_by = self._clock.now() + round((kill_after - CROSSING_S) * 1e6)
        self._frontend.closing = not keep
        await asyncio.sleep(linger)
        if keep:
            await self._close_listener()
            await asyncio.sleep(KEEP_SERVING_SHARE * kill_after - linger - CLOSE_NOTICE_S)
            self._frontend.closing = True
            await asyncio.sleep(CLOSE_NOTICE_S)
            self._connections.dismiss()
        else:
            self._connections.dismiss()
            await asyncio.sleep(CROSSING_S)
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
class Started:
    """How the program was started; a reload reads the same again."""

    environ: Mapping[str, str]
    file: str | None = None
    flags: Sequence[str] = ()
    make: Callable[[api.Settings, int], Decisions] = Balancer


def _reload(proxy: Proxy, current: Config, started: Started, log: Log) -> None:
    """Read everything again; apply what can be, name what needs a restart, or keep all as it was."""
    try:
        # GW_DISCOVERY is from the start: it must not mask the address that the file names now.
        environ = {name: value for name, value in started.environ.items() if name != "GW_DISCOVERY"}
        config = load(environ, started.file, started.flags)
    except ConfigError as error:
        log.error("reload_refused", error=str(error), said="kept the old settings")
        return
    proxy.reload(config)
    unapplied = current.needs_restart(config)
    log.info("reloaded", discovery=config.discovery, **({"needs_restart": ",".join(unapplied)} if unapplied else {}))


async def _run(config: Config, started: Started, early_reloads: list[int]) -> None:
    # Guards the descriptor limit: past it accepting pauses and dials fail, which are outcomes, not crashes.
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    max_descriptors = config.sockets if hard == resource.RLIM_INFINITY else min(config.sockets, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, hard))
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    log = Log(config.name, config.layers.own.log)
    logging.basicConfig(handlers=[Handler(log)], level=logging.WARNING)
    proxy = Proxy(config, log, started.make)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, proxy, config, started, log)
    if early_reloads:  # while it started: what was read then may be older
        loop.call_soon(_reload, proxy, config, started, log)
    loop.add_signal_handler(signal.SIGUSR1, lambda: print(proxy.counters.text(), file=sys.stderr, flush=True))
    host, port = await proxy.start()
    print(f"{config.name}: listening on {host}:{port}", file=sys.stderr, flush=True)
    await stop.wait()
    await proxy.stop(keep=True)
    print(proxy.counters.text(), file=sys.stderr, flush=True)


def serve(started: Started) -> int:
    """Run one proxy until SIGTERM or SIGINT; return the exit code: 0, or 2 where it can't start so."""
    early_reloads: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_reloads.append(number))  # until there is something to reload
    try:
        config = load(started.environ, started.file, started.flags)
        asyncio.run(_run(config, started, early_reloads))
    except (ConfigError, OSError) as error:
        print(f"cranebank: {error}", file=sys.stderr)
        return 2
    return 0
