"""The program: puts the actors together, serves until SIGTERM or SIGINT, finishes what it took."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import resource
import signal
import socket
import sys
from collections.abc import Mapping

from cranebank.config.platform import Config, ConfigError, load
from cranebank.core.clock import Clock, span_us
from cranebank.core.counters import Counters
from cranebank.core.engine import Engine, Host
from cranebank.core.log import Handler, Log
from cranebank.discovery.routing_table import RoutingTable
from cranebank.http.acquirer import Acquirer
from cranebank.http.issuer import Directory, Issuer
from cranebank.http.link import Links

LINGER_S = 0.5  # new connections still come for 0.2 to 0.4 s after SIGTERM
IDLE_MARGIN_MS = 1000.0  # idle connections are dropped this much before the host's machine would
SPARE = 32  # the interpreter's own, the listener, discovery, and what is accepted before the door sees it
ACCEPTS, BACKLOG = 16, 512  # taken in one turn of the loop; kept by the kernel until their turn


class Proxy:
    """One proxy in one event loop; for embedding as well as for the program."""

    def __init__(self, config: Config, log: Log) -> None:
        self._config, self.counters = config, Counters()
        clock, settings = Clock(asyncio.get_running_loop()), config.settings
        idle = span_us(max(100.0, settings.idle_after - IDLE_MARGIN_MS))
        self._links = Links(self._links_at_most, config.memory // 8, idle, settings.connect_timeout / 1000.0,
                            clock, self.counters)
        self._engine = Engine(settings, config.seed, clock, self.counters, log)

        def make(host: Host) -> Issuer:
            return Issuer(host, settings, self._links, self._engine.post, clock, self.counters, log)

        self._issuers = Directory(make, self._engine.post)
        self._table = RoutingTable(config.discovery, config.reader, self._engine.post, self.counters, log,
                                   settings.watch_by_asking)
        self._engine.connect(self._issuers, self._table)
        self._acquirer = Acquirer(self._engine, settings, config.classes, config.tenants,
                                  self._clients_at_most, clock, self.counters, log,
                                  lambda: self._table.heard.is_set() and not self._acquirer.closing)
        self._door = self._acquirer.door
        self._listener: asyncio.Server

    @property
    def places_taken(self) -> int:
        """Clients' connections that are open."""
        return self._door.count

    def _clients_at_most(self) -> int:
        # They leave a sixth of the descriptors to the hosts and room for those to grow, but have a third.
        sockets = self._config.sockets
        return max(sockets // 3, sockets - SPARE - max(sockets // 6, self._links.open + sockets // 16))

    def _links_at_most(self) -> int:
        sockets = self._config.sockets
        return min(sockets * 7 // 16, sockets - SPARE - self._door.count)

    async def start(self) -> tuple[str, int]:
        """Listen; return the address, which matters where port 0 was asked for."""
        sock = socket.create_server(self._config.listen)
        # Guards the descriptors against a flood: asyncio accepts ``backlog`` before the door sees any.
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self._door, sock=sock, backlog=ACCEPTS)
        sock.listen(BACKLOG)
        self._table.start(self._config.known)
        address: tuple[str, int] = self._listener.sockets[0].getsockname()
        return address

    def move(self, discovery: str) -> None:
        """Watch discovery at another address; requests, legs and the list stay as they are."""
        self._table.move(discovery)

    async def stop(self, linger: float = LINGER_S) -> None:
        """Go on accepting for a moment, each answer the last on its connection; finish what was taken."""
        self._acquirer.closing = True
        await asyncio.sleep(linger)
        self._listener.close()
        self._door.pre_shutdown()
        longest = max(kind.deadline for kind in self._config.settings.classes) / 1000.0
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._engine.idle(), longest)
        await self._door.shutdown(1.0)
        self._door.stop()
        await self._table.close()
        await self._issuers.close()
        self._links.drop()


def _reload(proxy: Proxy, environ: Mapping[str, str], log: Log) -> None:
    """Read the configuration again; of what it says, the address of discovery takes effect."""
    try:
        # GW_DISCOVERY is from the start: it must not mask the address that the file names now.
        told = load({name: value for name, value in environ.items() if name != "GW_DISCOVERY"})
    except ConfigError as error:
        log.line("reload", f"kept the old settings: {error}")
        return
    proxy.move(told.discovery)
    log.line("reload", f"discovery is at {told.discovery}")


async def _run(config: Config, environ: Mapping[str, str]) -> None:
    # Guards the descriptor limit: past it accepting pauses and dials fail, which are outcomes, not crashes.
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = config.sockets if hard == resource.RLIM_INFINITY else min(config.sockets, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    log = Log(config.name)
    logging.basicConfig(handlers=[Handler(log)], level=logging.WARNING)
    proxy = Proxy(config, log)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, proxy, environ, log)
    loop.add_signal_handler(signal.SIGUSR1, lambda: print(proxy.counters.text(), file=sys.stderr, flush=True))
    host, port = await proxy.start()
    print(f"{config.name}: listening on {host}:{port}", file=sys.stderr, flush=True)
    await stop.wait()
    await proxy.stop()
    print(proxy.counters.text(), file=sys.stderr, flush=True)


def main(environ: Mapping[str, str]) -> int:
    """Run one proxy as the environment tells; return the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    try:
        config = load(environ)
        asyncio.run(_run(config, environ))
    except (ConfigError, OSError) as error:
        print(f"cranebank: {error}", file=sys.stderr)
        return 2
    return 0
