"""Scripted peers on loopback sockets for the network tests: upstream hosts, discovery, and a proxy in front of them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeAlias

import aiohttp

from cranebank.config.load import load
from cranebank.core.log import Log
from cranebank.daemon import Proxy

Reader: TypeAlias = asyncio.StreamReader
Writer: TypeAlias = asyncio.StreamWriter
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LANE = {"Aim": 1e4, "Deadline": 3e4, "Group": "all", "LateWorth": 0.0, "RepeatWindow": 2e4, "Worth": 1.0}


def answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return one complete HTTP answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass
class UpstreamHost:
    """A host that answers each request with what ``script`` returns for the request's number.

    Returned bytes are written; the connection is then closed if they are empty or contain ``Connection: close``. On
    None nothing is answered. ``spare`` bytes are written after each answer, at once or after ``spare_after`` seconds.
    ``reads`` is called with each connection's number; if it returns False, nothing is read from that connection before
    ``go_on`` is set. ``room`` limits the kernel's receive buffer. With ``resets`` connections are ended by RST instead
    of FIN.
    """

    script: Callable[[int], bytes | None] = lambda _: OK
    spare: bytes = b""
    spare_after: float = 0.0
    reads: Callable[[int], bool] = lambda _: True
    go_on: asyncio.Event = field(default_factory=asyncio.Event)
    reads_nothing: bool = False
    writers: list[Writer] = field(default_factory=list)
    room: int = 0
    resets: bool = False
    requests: list[bytes] = field(default_factory=list)
    connections: int = 0
    ended: int = 0
    closed: asyncio.Event = field(default_factory=asyncio.Event)

    async def talk(self, reader: Reader, writer: Writer) -> None:
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            if not self.reads(self.connections):
                self.reads_nothing = True
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                await self.go_on.wait()
                writer.transport.resume_reading()  # type: ignore[attr-defined]
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = next(
                    (
                        int(line.split(b":")[1])
                        for line in head.lower().split(b"\r\n")
                        if line.startswith(b"content-length:")
                    ),
                    0,
                )
                self.requests.append(head + await reader.readexactly(length))
                reply = self.script(len(self.requests))
                writer.write((reply or b"") + (b"" if self.spare_after else self.spare))
                if self.spare_after:
                    asyncio.get_running_loop().call_later(self.spare_after, writer.write, self.spare)
                if reply == b"" or b"Connection: close" in (reply or b""):
                    break
        if self.resets:
            await writer.drain()
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.close()
        self.ended += 1
        self.closed.set()


@dataclass
class Discovery:
    """Sends the items of ``lines`` to whichever client watches; ``watches`` has the request targets of the watches."""

    lines: asyncio.Queue[bytes] = field(default_factory=asyncio.Queue)
    watches: list[bytes] = field(default_factory=list)

    async def talk(self, reader: Reader, writer: Writer) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            self.watches.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while line := await self.lines.get():
                writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
        writer.close()


@contextlib.asynccontextmanager
async def listening(talk: Callable[[Reader, Writer], Awaitable[None]], room: int = 0) -> AsyncIterator[str]:
    """Listen on a free port and yield the address. ``room`` limits the receive buffer for unread bytes."""
    server = await asyncio.start_server(talk, "127.0.0.1", 0)
    if room:
        server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}"
    server.close()


def entry(name: str, address: str, state: str = "SERVING", **more: Any) -> dict[str, Any]:
    """Return one entry of discovery's list of servers."""
    return {
        "id": name,
        "addr": address,
        "zone": "a",
        "kind": "m",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    } | more


def configuration(discovery: str, hosts: list[dict[str, Any]], **limits: Any) -> dict[str, Any]:
    """Return the JSON of a proxy in front of ``hosts``, with three classes, one tenant and port 0.

    ``mode`` is the mode of discovery, ``lane`` changes all classes, and ``told`` overrides other settings.
    """
    further, lane = limits.pop("told", {}), LANE | limits.pop("lane", {})
    lanes = [
        lane | {"Name": name, "Effect": effect}
        for name, effect in (("look", "retryable"), ("order", "dedup"), ("pay", "fragile"))
    ]
    return {
        "name": "p0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": limits.pop("sockets", 1024)},
        "known": {"version": 1, "full": True, "servers": hosts},
        "settings": {
            "Balancers": 1,
            "Discovery": limits.pop("mode", "push"),
            "Lanes": lanes,
            "Layer": 0,
            "Limits": {
                "Cancel": True,
                "ConnIdle": 15000.0,
                "DialTimeout": 5000.0,
                "MaxAttempts": 1,
                "MayProbe": False,
                "MaxRetryAfter": 1000.0,
                "RetryAfter": True,
                "SecondCopies": False,
                "StreamsPerConn": 1,
                **limits,
            },
            "Quantum": 5.0,
            "Realms": [{"Name": "acme", "QuotaPerS": 100.0}],
            "Report": {"Source": "off", "Fields": []},
            "Rules": {
                "AnswerSlack": 20.0,
                "ColdFrom": 0.3,
                "FallMultiple": 4.0,
                "OverloadFor": 3000.0,
                "WarmAfter": 9000.0,
            },
            "Tiers": ["front"],
            "Zone": 0,
            "Zones": ["a", "b"],
            "Unheard": {"Of": [1, {"x": None}]},
        }
        | further,
    }


def request_headers(kind: str = "look") -> dict[str, str]:
    """Return the headers of a client's request of a class."""
    return {
        "X-Request-Id": "9b1f03aa",
        "X-Class": kind,
        "X-Tenant": "acme",
        "X-Deadline-Ms": "20000",
        "Idempotency-Key": "5c0f",
    }


@dataclass
class ProxyHarness:
    """A running proxy with the peers around it."""

    proxy: Proxy
    discovery: Discovery
    client: aiohttp.ClientSession
    url: str
    address: str  # of the first host
    addresses: list[str]  # of all

    async def ask(
        self, kind: str = "look", changes: dict[str, str] | None = None, body: bytes | None = None
    ) -> tuple[int, bytes, Any]:
        """Send one request; return status, body and headers of the answer."""
        headers = {name: value for name, value in (request_headers(kind) | (changes or {})).items() if value}
        method = "GET" if kind == "look" and body is None else "POST"
        async with self.client.request(method, f"{self.url}/{kind}", data=body, headers=headers) as response:
            return response.status, await response.read(), response.headers


@contextlib.asynccontextmanager
async def running(path: Path, *hosts: UpstreamHost, **limits: Any) -> AsyncIterator[ProxyHarness]:
    """Run a proxy in this event loop in front of scripted hosts s0, s1, ... that discovery lists.

    ``own`` has our own settings as given on the command line.
    """
    async with contextlib.AsyncExitStack() as stack:
        discovery = Discovery()
        asked = await stack.enter_async_context(listening(discovery.talk))
        at = [await stack.enter_async_context(listening(host.talk, host.room)) for host in hosts]
        flags = limits.pop("own", ())
        document = configuration(asked, [entry(f"s{i}", address) for i, address in enumerate(at)], **limits)
        (path / "config.json").write_text(json.dumps(document), encoding="utf-8")
        config = load({"GW_CONFIG": str(path / "config.json")}, flags=flags)
        proxy = Proxy(config, Log(config.name, config.layers.own.log))
        listen, port = await proxy.start()
        client = await stack.enter_async_context(aiohttp.ClientSession(auto_decompress=False))
        yield ProxyHarness(proxy, discovery, client, f"http://{listen}:{port}", at[0] if at else "", at)
        await proxy.stop(linger=0.0)


def play(
    tmp_path: Path, scenario: Callable[[ProxyHarness], Awaitable[None]], *hosts: UpstreamHost, **limits: Any
) -> None:
    """Run a scenario with a proxy of its own."""

    async def whole() -> None:
        async with running(tmp_path, *hosts, **limits) as started:
            await scenario(started)

    asyncio.run(whole())


async def until(condition: Callable[[], bool]) -> None:
    """Wait for a condition without a timeout of its own: the test runner ends a test that never gets there."""
    while not condition():
        await asyncio.sleep(0.01)
