"""A small HTTP/1.1 client: one connection, one request at a time, and everything seen on it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from typing import cast

import httptools
import msgspec

UNBOUNDED = 1 << 62
NO_LINGER = struct.pack("ii", 0, 0)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger for no time: what was not delivered yet is dropped


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
    """A client's connection. ``stray`` hears of bytes that come while nothing is asked; an answer of more than
    ``max_bytes`` is not whole."""

    def __init__(self, stray: Callable[[bytes], None] | None = None, max_bytes: int = UNBOUNDED) -> None:
        self._stray, self._most_bytes = stray, max_bytes
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
        finally:  # also where the caller was cancelled
            answer.body, answer.ended = b"".join(self._body), loop.time()
            self._answer = self._done = None
            if not answer.whole:
                self.close()
        return answer

    def reset_on_close(self, is_wanted: bool) -> None:
        """Whether its end drops bytes that were not delivered yet: without, they may reach the other side later."""
        connection = self._transport.get_extra_info("socket") if self._transport is not None else None
        if connection is not None:
            linger = RESET_ON_CLOSE if is_wanted else NO_LINGER
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

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
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
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
        self._size += len(body)
        if self._size > self._most_bytes:
            raise ValueError("an answer that is too large")
        self._body.append(body)
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
    max_bytes: int = UNBOUNDED,
    local_ip: str = "",
) -> HttpLink | None:
    """A connection, or none if it isn't up in time or the address can't be read. ``local_ip``: what it comes from; else
    the system chooses."""
    host, _, port = address.rpartition(":")
    link = HttpLink(stray, max_bytes)
    local = (local_ip, 0) if local_ip else None
    try:
        async with asyncio.timeout(seconds):
            await asyncio.get_running_loop().create_connection(lambda: link, host, int(port), local_addr=local)
    except (OSError, ValueError):  # TimeoutError is an OSError; an address that can't be read is a ValueError
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
    local_ip: str = "",
) -> Answer:
    """One request over a connection of its own."""
    link = await connect(address, seconds, local_ip=local_ip)
    if link is None:
        return Answer()
    try:
        told = {"Host": address, **(headers or {})}
        if body:
            told["Content-Type"] = "application/json"
        return await link.ask(request_bytes(method, path, told, body), seconds)
    finally:
        with contextlib.suppress(RuntimeError):
            link.close()
