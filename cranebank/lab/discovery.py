"""Stand-in for discovery on sockets: delayed, of bounded capacity, with list and watch calls, and possibly false.

Each proxy has a port of its own, so that the records show what was sent to which proxy and when.
The runner starts this module as ``python -m cranebank.lab.discovery PART``.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import msgspec

from cranebank.http.socket_state import stop_accepting
from cranebank.lab import records
from cranebank.lab.child import Address, Go, Lines, Part, play, say
from cranebank.lab.exchange import Incoming, ReceivedRequest, now_us
from cranebank.lab.plan import HostPlan, Notice, phantoms

KEEPALIVE_INTERVAL_S = 2.0  # interval of the empty lines that keep a watch alive
MAX_CHANGES = 100_000


class Registry:
    """Discovery's state of one tier: version, entries and recent changes. No I/O."""

    def __init__(self, hosts: list[HostPlan], zones: tuple[str, ...], kinds: list[str]) -> None:
        self._zones, self._kinds = zones, kinds
        self._plans = {host.name: host for host in hosts}
        self.version = 1
        self._entries = {host.name: ("SERVING", 0) for host in hosts if not host.start}
        self._changes: list[tuple[int, str]] = []

    def apply(self, notice: Notice) -> bool:
        """Apply a notice of a host; return whether anything changed."""
        entry = (notice.state, notice.started)
        if notice.state == "DELETED":
            if self._entries.pop(notice.host, None) is None:
                return False
        elif self._entries.get(notice.host) == entry:
            return False
        else:
            self._entries[notice.host] = entry
        self.version += 1
        self._changes.append((self.version, notice.host))
        del self._changes[:-MAX_CHANGES]
        return True

    def since(self, version: int) -> tuple[bool, list[str]]:
        """Return the hosts changed since a version, or (True, all hosts) if the changes don't reach back that far."""
        if version < 1 or version > self.version or (self._changes and version < self._changes[0][0] - 1):
            return True, list(self._entries)
        return False, list(dict.fromkeys(name for at, name in self._changes if at > version))

    def state(self, name: str) -> tuple[str, int]:
        """Return the state of a host and its start on the run's clock."""
        return self._entries.get(name, ("DELETED", 0))

    def entry(self, name: str, address: str, epoch_ms: float) -> dict[str, object]:
        """Return the entry of one host in discovery's format."""
        state, started = self.state(name)
        host = self._plans.get(name)
        return {
            "id": name,
            "addr": address,
            "state": state,
            "cell": 0,
            "weight": 1.0,
            "zone": self._zones[host.zone] if host else self._zones[0],
            "kind": self._kinds[host.kind] if host else "phantom",
            "started_ms": round(epoch_ms + started / 1000) if started else 0,
        }


class CallQueue:
    """Handles calls one after another; a call that would wait for too long gets 503."""

    def __init__(self, call_s: float, timeout_s: float) -> None:
        self._call_s, self._timeout_s = call_s, timeout_s
        self._free_at = 0.0

    def wait(self, now: float) -> float | None:
        """Return the seconds until a call is answered, or None if it would wait for too long."""
        starts_at = max(now, self._free_at)
        if starts_at - now > self._timeout_s:
            return None
        self._free_at = starts_at + self._call_s
        return self._free_at - now


class Port:
    """The port at which one proxy calls discovery."""

    def __init__(self, service: Service, proxy: str, tier: int, address: Address) -> None:
        self._service, self.proxy, self.tier, self.address = service, proxy, tier, address
        self.connections: set[Incoming] = set()
        self.watches: dict[Incoming, int] = {}  # the version last sent
        self._server: asyncio.Server | None = None
        self._closing: asyncio.Task[None] | None = None

    async def listen(self) -> None:
        """Accept connections."""
        if self._closing is not None:
            await self._closing
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Incoming(self), *self.address, reuse_address=True
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    def down(self) -> None:
        """Refuse new connections and close open ones."""
        if self._server is not None:
            self._closing = asyncio.get_running_loop().create_task(self._close(self._server))
            self._server = None
        for connection in list(self.connections):
            connection.transport.abort()

    @staticmethod
    async def _close(server: asyncio.Server) -> None:
        await stop_accepting(server)
        server.close()

    def connected(self, connection: Incoming) -> bool:
        """Register a connection; reject one that was accepted while discovery went down."""
        self.connections.add(connection)
        return self._server is not None

    def is_paused(self) -> bool:
        """Return False: discovery always reads."""
        return False

    def closed(self, connection: Incoming) -> None:
        """Forget a connection and its watch."""
        self.connections.discard(connection)
        self.watches.pop(connection, None)

    def handle_request(self, connection: Incoming, request: ReceivedRequest) -> None:
        """Handle a call for the list or for a watch."""
        wait = self._service.desk.wait(time.monotonic())
        if wait is None or urlsplit(request.target).path != "/api/targets":
            connection.answer(b"HTTP/1.1 503 Busy\r\n" if wait is None else b"HTTP/1.1 404 No\r\n")
            return
        asyncio.get_running_loop().call_later(wait, self._answer, connection, request.target)

    def _answer(self, connection: Incoming, target: str) -> None:
        if connection.transport.is_closing():
            return
        asked = parse_qs(urlsplit(target).query)
        if asked.get("watch") != ["1"]:
            connection.answer(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", self._update_line(0)[:-1])
            return
        since = asked.get("from", ["0"])[0]
        connection.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches[connection] = self._service.registries[self.tier].version
        self._write(connection, self._update_line(int(since) if since.isdigit() else 0))

    def _update_line(self, since: int) -> bytes:
        service, registry = self._service, self._service.registries[self.tier]
        full, names = registry.since(since)
        entries = [registry.entry(name, service.address(name), service.epoch_ms) for name in names]
        now = service.now()
        for entry in entries:
            service.writer.write(
                records.DiscoveryNotice(
                    now, self.proxy, str(entry["id"]), str(entry["state"]), entry_start(entry, service.epoch_ms)
                )
            )
        if full:  # hosts that a full list leaves out were removed
            service.writer.write(records.DiscoveryNotice(now, self.proxy, "*", ",".join(names), 0))
        return msgspec.json.encode({"version": registry.version, "full": full, "servers": entries}) + b"\n"

    def _write(self, connection: Incoming, line: bytes) -> None:
        if not connection.transport.is_closing():
            connection.transport.write(b"%x\r\n%s\r\n" % (len(line), line))

    def push(self) -> None:
        """Send the changes to all watches that don't have them yet."""
        version = self._service.registries[self.tier].version
        for connection, sent_version in list(self.watches.items()):
            if sent_version < version:
                self._write(connection, self._update_line(sent_version))
                self.watches[connection] = version

    def send_keepalive(self) -> None:
        """Send an empty line to each watch."""
        for connection in list(self.watches):
            self._write(connection, b"\n")


def entry_start(entry: dict[str, object], epoch_ms: float) -> int:
    """Return the start of an entry's host on the run's clock, 0 if it was before the run."""
    started = entry["started_ms"]
    assert isinstance(started, int)
    return round((started - epoch_ms) * 1000) if started else 0


class Service:
    """Discovery for all tiers."""

    def __init__(self, part: Part) -> None:
        scenario, plan = part.scenario, part.plan
        self.plan = plan
        self.writer = records.Writer(Path(part.records))
        self.desk = CallQueue(scenario.discovery.call_ms / 1000, scenario.discovery.timeout_ms / 1000)
        self.registries = [
            Registry([h for h in plan.hosts if h.tier == index], scenario.zones, [kind.name for kind in tier.kind])
            for index, tier in enumerate(scenario.tiers)
        ]
        self._tiers = {host.name: host.tier for host in plan.hosts} | phantoms(scenario)
        self.ports = [Port(self, proxy.name, proxy.tier, part.addresses[proxy.name]) for proxy in plan.proxies]
        self.t0, self.epoch_ms = 0, 0.0
        self._addresses = part.addresses

    def now(self) -> int:
        """Return the microseconds since the start, or -1 before it."""
        return now_us() - self.t0 if self.t0 else records.NEVER

    def address(self, name: str) -> str:
        """Return the address of a host; a host that never existed gets a port where nothing listens."""
        ip, port = self._addresses.get(name, ("127.0.0.1", 9))
        return f"{ip}:{port}"

    def schedule_plan(self, go: Go) -> None:
        """Schedule the notices and outages of the plan."""
        self.t0 = go.at
        self.epoch_ms = time.time() * 1000 + (go.at - now_us()) / 1000
        loop = asyncio.get_running_loop()

        def later(at: int, do: object, *args: object) -> None:
            loop.call_later(max(0, at - self.now()) / 1e6, do, *args)  # type: ignore[arg-type]

        for notice in self.plan.notices:
            later(notice.at, self._learn, notice)
        for outage in self.plan.outages:
            later(outage.at, self._down)
            later(outage.until, self._up)
        self._send_keepalives()

    def _learn(self, notice: Notice) -> None:
        tier = self._tiers[notice.host]
        if self.registries[tier].apply(notice):
            for port in self.ports:
                if port.tier == tier:
                    port.push()

    def _down(self) -> None:
        for port in self.ports:
            port.down()

    def _up(self) -> None:
        for port in self.ports:
            task = asyncio.get_running_loop().create_task(port.listen())
            task.add_done_callback(lambda t: t.exception())

    def _send_keepalives(self) -> None:
        for port in self.ports:
            port.send_keepalive()
        asyncio.get_running_loop().call_later(KEEPALIVE_INTERVAL_S, self._send_keepalives)


async def run(part: Part, lines: Lines) -> None:
    """Run discovery."""
    service = Service(part)
    for port in service.ports:
        await port.listen()
    say({port.proxy: port.address for port in service.ports})
    line = await lines.next()
    if line is None:
        return
    service.schedule_plan(msgspec.json.decode(line, type=Go))
    with contextlib.suppress(asyncio.CancelledError):
        await lines.next()
    service.writer.close()
    say({"done": True})


if __name__ == "__main__":
    sys.exit(play(run, sys.argv[1:]))
