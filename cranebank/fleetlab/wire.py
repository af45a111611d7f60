"""The day's own end of HTTP/1.1: one connection, one request at a time, and everything seen on it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from random import Random
from typing import Protocol, cast

import httptools
import msgspec

SILENT_LOSS = 0.5  # of lost answers: the caller hears nothing; of the others it sees the connection end


class Reachability(Protocol):
    """A network whose paths may be cut."""

    async def until_connectable(self, one: str, other: str) -> None:
        """Wait until a handshake between two IPs can come to its end."""


class Caller:
    """Who makes calls to control: from which IP, over which network, and how many answers to it are lost."""

    def __init__(self, ip: str, network: Reachability, random: Random) -> None:
        self.ip, self._network, self._random = ip, network, random
        self.share_lost = 0.0  # of the answers

    async def until_connectable(self, host: str) -> None:
        """Wait until a connection there can stand."""
        await self._network.until_connectable(self.ip, host)

    def loses_answer(self) -> bool:
        """Whether the next answer is lost on its way."""
        return self._random.random() < self.share_lost

    def loses_in_silence(self) -> bool:
        """Whether the caller waits in vain for an answer that is lost."""
        return self._random.random() < SILENT_LOSS


class Answer(msgspec.Struct):
    """What came back for one request."""

    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    whole: bool = False
    is_http: bool = True
    pieces: list[tuple[float, int]] = []  # when, and how long the body was then
    ended: float = 0.0


class HttpLink(asyncio.Protocol):
    """A client's connection. ``stray`` hears of bytes that come while nothing is asked."""

    def __init__(self, stray: Callable[[bytes], None] | None = None) -> None:
        self._stray = stray
        self._transport: asyncio.Transport | None = None
        self._answer: Answer | None = None
        self._done: asyncio.Future[None] | None = None
        self.keep = True

    @property
    def is_open(self) -> bool:
        """Whether another request may be sent."""
        return self._transport is not None and not self._transport.is_closing() and self.keep

    async def ask(self, request: bytes, seconds: float, answer: Answer | None = None) -> Answer:
        """Send a request and wait for all of its answer, no longer than this; the connection ends in doubt."""
        loop = asyncio.get_running_loop()
        self._answer = answer = answer or Answer()
        answer.pieces = []
        if self._transport is None:
            return answer
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._headers: dict[str, str] = {}
        self._size = 0
        self._done = loop.create_future()
        self._transport.write(request)
        try:
            async with asyncio.timeout(seconds):
                await self._done
        except TimeoutError:
            self.close()
        finally:
            answer.body, answer.ended = b"".join(self._body), loop.time()
            self._answer = self._done = None
        if not answer.whole:
            self.close()
        return answer

    def close(self) -> None:
        """End it now."""
        if self._transport is not None:
            self._transport.abort()
        self.keep = False

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """It is up."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Bytes of an answer, or of none."""
        answer = self._answer
        if answer is None or answer.whole:
            if self._stray is not None:
                self._stray(data)
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            answer.is_http = False
            self.close()
            self._end()

    def connection_lost(self, exc: Exception | None) -> None:
        """It is over."""
        self._transport, self.keep = None, False
        self._end()

    def _end(self) -> None:
        if self._done is not None and not self._done.done():
            self._done.set_result(None)

    # What the parser calls.

    def on_header(self, name: bytes, value: bytes) -> None:
        """One field of the head."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """The head is there."""
        if self._answer is not None and self._parser.get_status_code() >= 200:
            self._answer.status, self._answer.headers = self._parser.get_status_code(), self._headers

    def on_body(self, body: bytes) -> None:
        """Part of the body."""
        self._body.append(body)
        self._size += len(body)
        if self._answer is not None:
            self._answer.pieces.append((asyncio.get_running_loop().time(), self._size))

    def on_message_complete(self) -> None:
        """The answer is whole."""
        if self._answer is not None and self._answer.status:
            self._answer.whole = True
            self.keep = self.keep and bool(self._parser.should_keep_alive())
            self._end()


async def connect(
    address: str,
    seconds: float = 1.0,
    stray: Callable[[bytes], None] | None = None,
    caller: Caller | None = None,
) -> HttpLink | None:
    """A connection, or none if it isn't up in time."""
    host, _, port = address.rpartition(":")
    link = HttpLink(stray)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(seconds):
            if caller is None:
                await loop.create_connection(lambda: link, host, int(port))
            else:
                await caller.until_connectable(host)
                await loop.create_connection(lambda: link, host, int(port), local_addr=(caller.ip, 0))
    except (OSError, TimeoutError):
        return None
    return link


def request_bytes(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """A request as it goes on the wire."""
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body


async def ask_once(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    seconds: float = 1.0,
    headers: dict[str, str] | None = None,
    caller: Caller | None = None,
) -> Answer:
    """One request over a connection of its own. An answer that is lost on its way is empty."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    link = await connect(address, seconds, caller=caller)
    if link is None:
        return Answer()
    told = {"Host": address, **(headers or {})}
    if body:
        told["Content-Type"] = "application/json"
    try:
        answer = await link.ask(request_bytes(method, path, told, body), seconds)
    finally:
        with contextlib.suppress(RuntimeError):
            link.close()
    if caller is None or not caller.loses_answer():
        return answer
    if caller.loses_in_silence():
        await asyncio.sleep(max(0.0, begun + seconds - loop.time()))
    return Answer()
