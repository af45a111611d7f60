"""A small HTTP/1.1 client: one request at a time per connection, with timings of what was received."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import cast

import httptools
import msgspec

from cranebank.transport.tcp_reset import set_reset_on_close

UNBOUNDED = 1 << 62


class Answer(msgspec.Struct):
    """The response to one request. ``whole``: it is complete; ``is_http``: it parsed as HTTP."""

    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    whole: bool = False
    is_http: bool = True
    pieces: list[tuple[float, int]] = []  # time of each body chunk, and the body's length then
    ended: float = 0.0


class HttpLink(asyncio.Protocol):
    """A client connection. ``on_unsolicited`` is called with bytes that arrive while no request is pending. A response
    body larger than ``max_bytes`` ends the connection, and the response stays incomplete."""

    def __init__(self, on_unsolicited: Callable[[bytes], None] | None = None, max_bytes: int = UNBOUNDED) -> None:
        self._on_unsolicited, self._max_bytes = on_unsolicited, max_bytes
        self._transport: asyncio.Transport | None = None
        self._answer: Answer | None = None
        self._done: asyncio.Future[None] | None = None
        self.keep_alive = True

    @property
    def is_open(self) -> bool:
        """Whether another request may be sent on this connection."""
        return self._transport is not None and not self._transport.is_closing() and self.keep_alive

    async def ask(self, request: bytes, seconds: float, answer: Answer | None = None) -> Answer:
        """Send a request and wait up to ``seconds`` for its response; an incomplete response closes the connection."""
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
        finally:  # also when the caller was cancelled
            answer.body, answer.ended = b"".join(self._body), loop.time()
            self._answer = self._done = None
            if not answer.whole:
                self.close()
        return answer

    def reset_on_close(self, is_enabled: bool) -> None:
        """Set whether closing resets the connection and drops undelivered bytes, which may otherwise still arrive."""
        connection = self._transport.get_extra_info("socket") if self._transport is not None else None
        if connection is not None:
            set_reset_on_close(connection, is_enabled=is_enabled)

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()
        self.keep_alive = False

    # asyncio.Protocol callbacks.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Feed the pending response; unsolicited bytes close the connection."""
        answer = self._answer
        if answer is None or answer.whole:
            if self._on_unsolicited is not None:
                self._on_unsolicited(data)
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            answer.is_http = False
            self.close()
            self._end()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the pending request."""
        self._transport, self.keep_alive = None, False
        self._end()

    def _end(self) -> None:
        if self._done is not None and not self._done.done():
            self._done.set_result(None)

    # httptools callbacks.

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Store status and headers of a final response; 1xx responses are skipped."""
        if self._answer is not None and self._parser.get_status_code() >= 200:
            self._answer.status, self._answer.headers = self._parser.get_status_code(), self._headers

    def on_body(self, body: bytes) -> None:
        """Collect a body chunk; raises ValueError beyond the size limit, which the parser turns into an error."""
        self._size += len(body)
        if self._size > self._max_bytes:
            raise ValueError("response body exceeds the size limit")
        self._body.append(body)
        if self._answer is not None:
            self._answer.pieces.append((asyncio.get_running_loop().time(), self._size))

    def on_message_complete(self) -> None:
        """Mark a final response as complete."""
        if self._answer is not None and self._answer.status:
            self._answer.whole = True
            self.keep_alive = self.keep_alive and bool(self._parser.should_keep_alive())
            self._end()


async def connect(
    address: str,
    seconds: float = 1.0,
    on_unsolicited: Callable[[bytes], None] | None = None,
    max_bytes: int = UNBOUNDED,
    local_ip: str = "",
) -> HttpLink | None:
    """Return a connection, or None if it isn't established in time or the address is invalid. ``local_ip`` is the
    source address; by default the system chooses."""
    host, _, port = address.rpartition(":")
    link = HttpLink(on_unsolicited, max_bytes)
    local = (local_ip, 0) if local_ip else None
    try:
        async with asyncio.timeout(seconds):
            await asyncio.get_running_loop().create_connection(lambda: link, host, int(port), local_addr=local)
    except (OSError, ValueError):  # TimeoutError is an OSError; an invalid port is a ValueError
        return None
    return link


def request_bytes(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the encoded request."""
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
    """Send one request over its own connection; an empty ``Answer`` if the connection failed."""
    link = await connect(address, seconds, local_ip=local_ip)
    if link is None:
        return Answer()
    try:
        all_headers = {"Host": address, **(headers or {})}
        if body:
            all_headers["Content-Type"] = "application/json"
        return await link.ask(request_bytes(method, path, all_headers, body), seconds)
    finally:
        with contextlib.suppress(RuntimeError):
            link.close()
