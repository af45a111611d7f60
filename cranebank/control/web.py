"""Small HTTP/1.1 server for the calls of backends and operators, on asyncio and httptools.

Calls are declared in one table (``operator_api.py``). A connection serves one request at a time; the sizes of heads and
bodies and the time to receive them are bounded.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, cast

import httptools
from loguru import logger

from cranebank import background
from cranebank.control.api_calls import ApiTable, Call, Request, Response, refusal

MAX_HEAD_BYTES = 16 << 10
IDLE_TIMEOUT_S = 60.0
READ_TIMEOUT_S = 20.0  # for a complete request
MAX_CONNECTIONS = 1500
LINGER_S = 1.0  # how long bytes after a refused request are read and dropped


class Connection(asyncio.Protocol):
    """Connection of one client. States: reading a request, answering it, closing."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser: Any = None
        self._url, self._method, self._path, self._argument = b"", "", "", ""
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._head_bytes, self._head_done = 0, False
        self._call: Call | None = None
        self._keep_alive, self._close_after_answer = True, False
        self._task: asyncio.Task[None] | None = None
        self._next_request_bytes = bytearray()  # received while the present request is answered
        self._closing = False
        self.since = 0.0  # when the present request began, or the connection became idle
        self.in_request = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection of a new client."""
        transport = cast(asyncio.Transport, transport)  # uvloop's transport does not inherit from asyncio.Transport
        self._transport = transport
        self._begin()
        self._server.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection; a call in progress runs to its end."""
        self._transport = None
        self._server.closed(self)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of requests."""
        if self._closing:
            return
        if self._task is not None:
            self._next_request_bytes += data
            if len(self._next_request_bytes) > MAX_HEAD_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        if not self.in_request:
            self.in_request, self.since = True, self._server.now()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(refusal(400, "upgrade", "Upgrade", "plain HTTP/1.1"))
            return
        except httptools.HttpParserCallbackError:
            logger.opt(exception=True).error("HTTP parser callback failed; aborting the connection")
            self.abort()
            return
        except httptools.HttpParserError as error:
            self._refuse(refusal(400, "unreadable", "", f"HTTP/1.1: {error}"))
            return
        if not self._head_done and self._task is None:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._refuse(refusal(431, "head", "", f"{MAX_HEAD_BYTES} bytes at most"))

    def eof_received(self) -> bool:
        """Close after the answer in progress, if any, as the client sends no more."""
        self._close_after_answer = True
        return self._task is not None

    def abort(self) -> None:
        """Abort the connection at once."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    def end_when_idle(self) -> None:
        """Close the connection if it is idle; otherwise the answer in progress is its last one."""
        if self._task is None and not self.in_request and not self._closing:
            self._close()

    @property
    def is_answering(self) -> bool:
        """Whether a call is in progress."""
        return self._task is not None

    # Callbacks of httptools.

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request's target."""
        self._url += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self._head_bytes += len(name) + len(value) + 4
        self._headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Look up the call, and refuse a request before its body arrives if its head shows that it is invalid."""
        self._head_done = True
        if self._head_bytes > MAX_HEAD_BYTES:
            self._refuse(refusal(431, "head", "", f"{MAX_HEAD_BYTES} bytes at most"))
            return
        self._method = self._parser.get_method().decode("latin-1")
        self._path = self._url.partition(b"?")[0].decode("latin-1")
        found = self._server.table.find(self._method, self._path)
        if isinstance(found, Response):
            self._refuse(found)
            return
        self._call, self._argument = found
        length = self._headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._call.body_bytes:
            self._refuse(refusal(413, "body", "", f"{self._call.body_bytes} bytes at most"))
        elif self._headers.get(b"expect", b"").lower() == b"100-continue" and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self._closing or self._call is None:
            return
        self._body += body
        if len(self._body) > self._call.body_bytes:
            self._refuse(refusal(413, "body", "", f"{self._call.body_bytes} bytes at most"))

    def on_message_complete(self) -> None:
        """Start the handler of a complete request."""
        if self._closing or self._call is None:
            return
        if self._task is not None:  # a second request in the same bytes: only one is served at a time
            self._close_after_answer = True
            return
        request = Request(self._method, self._path, self._argument, self._headers, bytes(self._body))
        self._keep_alive = bool(self._parser.should_keep_alive())
        self._body, self._headers = bytearray(), {}
        self._task = background.start(self._answer(self._call, request))

    def _begin(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._url, self._method, self._path, self._argument = b"", "", "", ""
        self._headers = {}
        self._body = bytearray()
        self._head_bytes, self._head_done = 0, False
        self._call = None
        self._keep_alive, self._close_after_answer = True, False
        self.in_request, self.since = False, self._server.now()

    async def _answer(self, call: Call, request: Request) -> None:
        try:
            response = await call.handler(request)
        except Exception:
            logger.opt(exception=True).error("{} {}", request.method, request.path)
            response = refusal(500, "internal")
        keep_alive = self._keep_alive and not self._close_after_answer and not self._server.is_stopping
        # Nothing is awaited between the handler's last check of the lease and this write.
        self._write(response, keep_alive)
        self._task = None
        if not keep_alive:
            self._close()
            return
        self._begin()
        if self._transport is not None:
            self._transport.resume_reading()
        if self._next_request_bytes:
            data, self._next_request_bytes = bytes(self._next_request_bytes), bytearray()
            self.data_received(data)

    def _write(self, response: Response, keep_alive: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        lines = [
            f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}",
            f"Content-Type: {response.content_type}",
            f"Content-Length: {len(response.body)}",
            *(f"{name}: {value}" for name, value in response.headers),
        ]
        if not keep_alive:
            lines.append("Connection: close")
        self._transport.write("\r\n".join((*lines, "", "")).encode("latin-1") + response.body)

    def _refuse(self, response: Response) -> None:
        """Answer now and close; further bytes are read and dropped for a while, so that the answer is not lost."""
        if self._closing:
            return
        self._closing = True
        self._body = bytearray()
        self._write(response, False)
        if self._transport is not None:
            if self._transport.can_write_eof():
                self._transport.write_eof()
            asyncio.get_running_loop().call_later(LINGER_S, self._close)

    def _close(self) -> None:
        self._closing = True
        if self._transport is not None:
            self._transport.close()


class Server:
    """Listening socket and its connections."""

    def __init__(self, calls: Iterable[Call], now: Callable[[], float]) -> None:
        self.table, self.now = ApiTable(calls), now
        self.is_stopping = False
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> None:
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self), ip, port, reuse_address=True, backlog=512)

    @property
    def port(self) -> int:
        """Port of the listening socket."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def opened(self, connection: Connection) -> None:
        """Register a connection; above the limit the connection that has been idle for longest is aborted."""
        if len(self._connections) >= MAX_CONNECTIONS:
            idle = [known for known in self._connections if not known.is_answering]
            (min(idle, key=lambda known: known.since) if idle else connection).abort()
        self._connections.add(connection)

    def closed(self, connection: Connection) -> None:
        """Unregister a connection."""
        self._connections.discard(connection)

    def sweep(self) -> None:
        """Abort connections that have been idle, or reading one request, for too long."""
        now = self.now()
        for connection in list(self._connections):
            if not connection.is_answering and now - connection.since > (
                READ_TIMEOUT_S if connection.in_request else IDLE_TIMEOUT_S
            ):
                connection.abort()

    def stop(self) -> None:
        """Accept no new connections; answer calls in progress and close their connections."""
        self.is_stopping = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.end_when_idle()

    @property
    def is_idle(self) -> bool:
        """Whether no call is in progress."""
        return not any(connection.is_answering or connection.in_request for connection in self._connections)

    def abort(self) -> None:
        """Abort all connections."""
        for connection in list(self._connections):
            connection.abort()
