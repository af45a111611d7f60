"""The stand-in hosts of one tier on sockets: PROTOCOL around ``host.StandIn``.

The runner starts this module as ``python -m cranebank.lab.hosts PART``.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from cranebank.http.socket_state import stop_accepting
from cranebank.lab import records
from cranebank.lab.child import Address, Go, Lines, Part, play, say
from cranebank.lab.exchange import Incoming, Pool, ReceivedRequest, now_us, request_bytes
from cranebank.lab.host import StandIn
from cranebank.lab.model import SeenKeys
from cranebank.lab.plan import HostPlan
from cranebank.lab.stage import Ask, InFlight, Reply

FLUSH_INTERVAL_S = 0.5
INVALID_ANSWER = b"\x16\x03\x01 this is no answer \xff\xfe\r\n\r\n" * 3
REASONS = {200: b"OK", 400: b"No", 404: b"No", 500: b"Failed", 503: b"Busy"}


class SocketStage:
    """Environment of the hosts of one process, on one event loop."""

    def __init__(self, part: Part) -> None:
        self.scenario, self.plan = part.scenario, part.plan
        self.t0 = 0
        self.pool = Pool()
        self.writer = records.Writer(Path(part.records))
        self.write = self.writer.write
        longest = max((kind.window_ms for kind in self.scenario.classes), default=0.0)
        self.repeats = SeenKeys(round(longest * 1000) + 1)
        self.kinds = {kind.name: index for index, kind in enumerate(self.scenario.classes)}
        self.proxies: dict[str, Address] = {}

    def now(self) -> int:
        """Return the microseconds since the start."""
        return now_us() - self.t0

    def at(self, when: int, do: Callable[..., Any], *arguments: Any) -> asyncio.TimerHandle:
        """Call ``do`` at a time after the start."""
        return asyncio.get_running_loop().call_later(max(0, when - self.now()) / 1e6, do, *arguments)

    def ask(
        self, proxy: str, zone: int, ask: Ask, done: Callable[[Reply], None], on_extra_answer: Callable[[], None]
    ) -> InFlight:
        """Send a request to a proxy; zones add no delay on sockets."""
        return self.pool.ask(
            self.proxies[proxy], request_bytes(ask, self.scenario), ask.id, self.t0, done, on_extra_answer
        )


class SocketLink:
    """A proxy's connection, as a host sees it."""

    def __init__(self, connection: Incoming) -> None:
        self.connection, self.request = connection, None

    def answer(self, status: int, body: bytes = b"", load: str = "", not_run: bool = False) -> None:
        """Send a whole answer."""
        head = b"HTTP/1.1 %d %s\r\n" % (status, REASONS[status])
        if not_run:
            head += b"X-Not-Run: 1\r\n"
        if load:
            head += f"X-Load: {load}\r\n".encode()
        self.connection.answer(head, body)

    def spoil(self, cut: bool) -> None:
        """Send half an answer and reset the connection (``cut``), or send bytes that are no HTTP."""
        if cut:
            half = b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + b"half" * 50
            self.connection.transport.write(half)
            self.connection.transport.abort()
        else:
            self.connection.transport.write(INVALID_ANSWER)

    def abort(self) -> None:
        """Reset the connection."""
        self.connection.transport.abort()


class SocketHost(StandIn):
    """A host that listens on sockets; it keeps its address over restarts."""

    def __init__(self, stage: SocketStage, host: HostPlan, address: Address) -> None:
        super().__init__(stage, host)
        self.address, self._socket_stage = address, stage
        self._server: asyncio.Server | None = None
        self._blocking_sockets: list[socket.socket] = []
        self._gate_change: asyncio.Task[None] | None = None

    async def listen(self) -> None:
        """Accept connections."""
        for block in self._blocking_sockets:
            block.close()
        self._blocking_sockets.clear()
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Incoming(self), *self.address, reuse_address=True, backlog=1024
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    def gate(self, refuse: bool, silent: bool = False) -> None:
        """Refuse new connections, leave them unanswered, or accept them again."""
        self._gate_change = asyncio.get_running_loop().create_task(self._change_gate(self._gate_change, refuse, silent))

    async def _change_gate(self, before: asyncio.Task[None] | None, refuse: bool, silent: bool) -> None:
        """Apply a gate change after the one before, which must have released the address first."""
        if before is not None:
            await before
        if self._server is not None:
            await stop_accepting(self._server)
            self._server.close()
            self._server = None
        if not refuse:
            await self.listen()
        elif silent:
            self._block()

    def _block(self) -> None:
        """Leave new connections unanswered: the listen backlog is full and never accepted from."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(self.address)
        sock.listen(0)
        self._blocking_sockets.append(sock)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(OSError):
                filler.connect(self.address)
            self._blocking_sockets.append(filler)

    # Callbacks of connections.

    def connected(self, connection: Incoming) -> bool:
        """Accept or reject a connection."""
        connection.owner = SocketLink(connection)
        return self.opened(connection.owner)

    def is_paused(self) -> bool:
        """Return whether received data must stay unread."""
        return self.is_frozen

    def closed(self, connection: Incoming) -> None:
        """Forget a closed connection."""
        self.lost(connection.owner)

    def handle_request(self, connection: Incoming, request: ReceivedRequest) -> None:
        """Handle a probe or a leg."""
        link: SocketLink = connection.owner
        if link.request is not None:  # a connection carries one request at a time
            link.abort()
        elif request.target in ("/-/load", "/-/healthy"):
            self.probe(link, request.target == "/-/load")
        elif isinstance(ask := self._ask(request.headers), Ask):
            self.request(link, ask, request.first - self._socket_stage.t0)
        else:
            link.answer(ask)

    def _ask(self, headers: dict[str, str]) -> Ask | int:
        """Return the parsed request, or the status that rejects it."""
        name, kind = headers.get("x-request-id", ""), self._socket_stage.kinds.get(headers.get("x-class", ""))
        extras = dict(pair.partition("=")[::2] for pair in headers.get("x-extras", "").split(","))
        if not name:
            return 404
        if kind is None or not extras.get("work", "").isdigit() or not extras.get("tenant", "0").isdigit():
            return 400
        wait, own_ms = headers.get("x-deadline-ms", ""), self.stage.scenario.classes[kind].deadline_ms
        return Ask(
            id=name,
            root=extras.get("root", name),
            kind=kind,
            tenant=int(extras.get("tenant", "0")),
            key=headers.get("idempotency-key", ""),
            work=int(extras["work"]),
            left=round(1000 * (int(wait) if wait.isdigit() else own_ms)),
        )

    def _read_backlog(self) -> None:
        for link in list(self.links):
            assert isinstance(link, SocketLink)
            link.connection.resume_reading()


async def run(part: Part, lines: Lines) -> None:
    """Run the hosts of one tier, or a share of them."""
    stage = SocketStage(part)
    own_plans = [h for h in part.plan.hosts if h.tier == part.tier][part.share :: part.of]
    hosts = [SocketHost(stage, host, part.addresses[host.name]) for host in own_plans]
    for host in hosts:
        await host.listen()
        if host.host.start:  # the address is known from now on, but refuses connections until the host starts
            host.gate(True)
    say({host.host.name: host.address for host in hosts})
    line = await lines.next()
    if line is None:
        return
    go = msgspec.json.decode(line, type=Go)
    stage.t0, stage.proxies = go.at, go.proxies
    for host in hosts:
        host.up = not host.host.start
        host.schedule_plan()

    async def flush() -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            stage.writer.flush()

    task = asyncio.get_running_loop().create_task(flush())
    await lines.next()
    task.cancel()
    for host in hosts:
        host.write_final_records()
    stage.writer.close()
    say({"done": True})


if __name__ == "__main__":
    sys.exit(play(run, sys.argv[1:]))
