"""Scripted peers on loopback sockets for the network tests: upstream hosts, discovery, a proxy before them."""

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
    """One whole HTTP answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass
class UpstreamHost:
    """Answers each request as ``script`` says: bytes are written, and the connection broken behind them where
    they are none or say ``Connection: close``; None keeps silent. ``spare`` goes behind each answer, at once
    or later. ``reads`` is asked with each connection's number: from one that it denies nothing is read before
    ``go_on``. ``room`` bounds what the kernel takes in for it. ``resets``: it ends connections by RST, not FIN."""

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
                told = self.script(len(self.requests))
                writer.write((told or b"") + (b"" if self.spare_after else self.spare))
                if self.spare_after:
                    asyncio.get_running_loop().call_later(self.spare_after, writer.write, self.spare)
                if told == b"" or b"Connection: close" in (told or b""):
                    break
        if self.resets:
            await writer.drain()
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.close()
        self.ended += 1
        self.closed.set()


@dataclass
class Discovery:
    """Writes what is put into ``lines`` to whoever watches; ``watches`` are the targets asked for."""

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
    """A peer on a port of its own, which may have little ``room`` for what is not read; gives its address."""
    server = await asyncio.start_server(talk, "127.0.0.1", 0)
    if room:
        server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}"
    server.close()


def entry(name: str, address: str, state: str = "SERVING", **more: Any) -> dict[str, Any]:
    """One line of discovery's list."""
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
    """The JSON of a proxy before ``hosts``: three classes, one tenant, port 0; ``mode`` is discovery's,
    ``lane`` changes all classes, ``told`` holds what else differs."""
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
    """What a client sends with a request of a class."""
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
        told = {name: value for name, value in (request_headers(kind) | (changes or {})).items() if value}
        method = "GET" if kind == "look" and body is None else "POST"
        async with self.client.request(method, f"{self.url}/{kind}", data=body, headers=told) as response:
            return response.status, await response.read(), response.headers


@contextlib.asynccontextmanager
async def running(path: Path, *hosts: UpstreamHost, **limits: Any) -> AsyncIterator[ProxyHarness]:
    """A proxy in this loop, before scripted hosts s0, s1, ... that discovery has listed; ``own`` holds
    settings of our own as the command line takes them."""
    async with contextlib.AsyncExitStack() as stack:
        discovery = Discovery()
        asked = await stack.enter_async_context(listening(discovery.talk))
        at = [await stack.enter_async_context(listening(host.talk, host.room)) for host in hosts]
        flags = limits.pop("own", ())
        told = configuration(asked, [entry(f"s{i}", address) for i, address in enumerate(at)], **limits)
        (path / "config.json").write_text(json.dumps(told), encoding="utf-8")
        config = load({"GW_CONFIG": str(path / "config.json")}, flags=flags)
        proxy = Proxy(config, Log(config.name, config.layers.own.log))
        listen, port = await proxy.start()
        client = await stack.enter_async_context(aiohttp.ClientSession(auto_decompress=False))
        yield ProxyHarness(proxy, discovery, client, f"http://{listen}:{port}", at[0] if at else "", at)
        await proxy.stop(linger=0.0)


def play(tmp_path: Path, story: Callable[[ProxyHarness], Awaitable[None]], *hosts: UpstreamHost, **limits: Any) -> None:
    """Run a story around a proxy of its own."""

    async def whole() -> None:
        async with running(tmp_path, *hosts, **limits) as started:
            await story(started)

    asyncio.run(whole())


async def until(condition: Callable[[], bool]) -> None:
    """Wait for what must come; a story that never gets there is ended by the runner, not by a clock here."""
    while not condition():
        await asyncio.sleep(0.01)
