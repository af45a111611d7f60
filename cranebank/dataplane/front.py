"""Connections from clients: HTTP/1.1, one request at a time on each.

``client_request.py`` parses requests and ``client_response.py`` frames answers. Everything is bounded by the configured
limits. Bytes that no usual client sends are answered with 400 and sent to no backend.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import cast

from cranebank.dataplane.client_request import ClientRequest, RequestParser
from cranebank.dataplane.client_response import ResponseFraming
from cranebank.dataplane.errors import RequestError, TooSlow
from cranebank.dataplane.routes import ClientLimits
from cranebank.http.socket_state import readable
from cranebank.invariants import invariant_error
from cranebank.transport.tcp_reset import set_reset_on_close

SWEEP_INTERVAL_S = 0.25
HIGH_WATER_BYTES = 128 << 10
MAX_PIPELINED_BYTES = 64 << 10  # of a next request that arrives early; more is left in the kernel
LINGER_S = 0.5


class Handler:
    """The receiver of requests."""

    def begin(self, client: ClientConnection, request: ClientRequest) -> None:
        """A complete request has arrived."""

    def gone(self, client: ClientConnection) -> None:
        """The client has disconnected during its request."""

    def write_paused_changed(self, client: ClientConnection) -> None:
        """The client's write buffer is full, or has room again (``client.is_write_paused``)."""


class ClientConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, front: Front) -> None:
        self._front = front
        self.transport: asyncio.Transport | None = None
        self._parser = RequestParser(front.limits, self._allow_body)
        self._pipelined = b""  # arrived while a request was open; parsed as soon as its answer is complete
        self.open = False  # whether a request is with the handler
        self.is_write_paused = False  # whether the write buffer is full, as the client reads slowly
        self._is_reading = False  # whether part of a request has arrived
        self._is_undrained = False  # whether the last answer may not have left this process yet
        self._is_ending = False
        self.since = 0.0  # when the connection became idle, or when the request that is being read began
        self._response = ResponseFraming(keeps_connection=True, is_http_1_0=False, to_head_request=False)

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected."""
        transport = cast(asyncio.Transport, transport)  # uvloop's class does not inherit from it
        self.transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.since = asyncio.get_running_loop().time()
        self._front.connected(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed."""
        self.transport = None
        self._front.lost(self)
        if self.open:
            self.open = False
            self._front.handler.gone(self)

    def pause_writing(self) -> None:
        """The client reads slowly."""
        self.is_write_paused = True
        self._front.handler.write_paused_changed(self)

    def resume_writing(self) -> None:
        """The write buffer has room again."""
        self.is_write_paused = False
        self._front.handler.write_paused_changed(self)

    def eof_received(self) -> bool:
        """The client has closed its side, which usual clients do only when they leave."""
        return False

    def data_received(self, data: bytes) -> None:
        """Bytes of a request, or of the next one."""
        if self._is_ending:
            return
        if self.open or self._pipelined:
            self._pipelined += data
            if len(self._pipelined) > MAX_PIPELINED_BYTES and self.transport is not None:
                self.transport.pause_reading()
            return
        self._feed(data)

    # Requests.

    def _feed(self, data: bytes) -> None:
        if not self._is_reading:
            self._is_reading = True
            self.since = asyncio.get_running_loop().time()
        try:
            request = self._parser.feed(data, self.since)
        except RequestError as error:
            self._refuse(error)
            return
        if request is not None:
            self._take(request)

    def _allow_body(self) -> None:
        if self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _refuse(self, error: RequestError) -> None:
        """Answer a request that is malformed, too large or too slow with an error, and close the connection."""
        self.open = True
        self._response = ResponseFraming(keeps_connection=False, is_http_1_0=False, to_head_request=False)
        self.reply(error, None)

    def _take(self, request: ClientRequest) -> None:
        """Hand a complete request to the handler."""
        self.open, self._is_reading = True, False
        self._response = ResponseFraming(
            keeps_connection=request.keeps_connection,
            is_http_1_0=request.is_http_1_0,
            to_head_request=request.method == "HEAD",
        )
        self._front.handler.begin(self, request)

    # Answers.

    def head(self, status: int, headers: dict[str, str]) -> bytes:
        """Return the bytes of an answer's head; its body follows with ``frame`` and ``tail``."""
        if not self.open:
            raise invariant_error("a head answers an open request")
        return self._response.head(status, headers, closing=self._front.closing)

    def frame(self, data: bytes) -> bytes:
        """Return part of the body as it is sent."""
        return self._response.frame(data)

    def tail(self) -> bytes:
        """Return the end of the body."""
        return self._response.tail()

    def write(self, data: bytes) -> None:
        """Send bytes of the answer."""
        if data and self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def finish(self) -> None:
        """End a complete answer; bytes that arrived early are parsed next."""
        if self._response.is_short:  # a truncated answer must not look complete
            self.break_off()
            return
        self.open, self._is_undrained = False, True
        self.since = asyncio.get_running_loop().time()
        if not self._response.keeps_connection or self._front.closing:
            self._end()
            return
        if self.transport is not None and self._pipelined:
            asyncio.get_running_loop().call_soon(self._feed_pipelined)

    def _feed_pipelined(self) -> None:
        """Parse bytes that arrived early. They stay in place until then, so that later bytes are appended to them."""
        if self.transport is None or self._is_ending or self.open:
            return
        data, self._pipelined = self._pipelined, b""
        with contextlib.suppress(RuntimeError):
            self.transport.resume_reading()
        self._feed(data)

    def reply(self, error: RequestError, retry_after_s: float | None) -> None:
        """Send an answer of the proxy's own."""
        if not self.open:
            raise invariant_error("a reply answers an open request")
        self.write(self._response.own_reply(error, retry_after_s, closing=self._front.closing))
        self.finish()

    def break_off(self) -> None:
        """Close the connection in such a way that the answer does not look complete."""
        self.open = False
        self._abort()

    def break_off_unfinished(self) -> None:
        """Break off an answer that the client has not been sent whole, as this process ends."""
        if self.open or (self.transport is not None and self.transport.get_write_buffer_size()):
            self._abort()

    def _abort(self) -> None:
        """Close the connection at once; with a reset where an orderly end would end the answer."""
        if self.transport is None:
            return
        if self._response.ends_with_connection:
            set_reset_on_close(self.transport.get_extra_info("socket"), is_enabled=True)
        self.transport.abort()

    def _end(self) -> None:
        """Close the write side after the last answer, and keep reading for a while, as closing over unread bytes causes
        a reset."""
        self._is_ending = True
        if self.transport is None or self.transport.is_closing():
            return
        with contextlib.suppress(OSError, RuntimeError):
            self.transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._drop)

    def _drop(self) -> None:
        if self.transport is not None:
            self.transport.close()

    # Time limits.

    def sweep(self, now: float, limits: ClientLimits) -> None:
        """Close the connection if it has been idle, or has taken over a request, for too long."""
        if self.open or self._is_ending or self._pipelined or self.transport is None:
            return
        if self._is_undrained:
            self._is_undrained = self.transport.get_write_buffer_size() > 0
            if self._is_undrained:
                self.since = now  # idle time counts only once the client has the answer
        allowed_ms = limits.header_read_ms if self._is_reading else limits.idle_ms
        if now - self.since <= allowed_ms / 1e3 or self._has_unread():
            return
        if self._is_reading:
            self._refuse(TooSlow())
        else:
            self.transport.close()

    def close_idle(self) -> None:
        """Close the connection if no request is open or arriving."""
        if self.open or self._is_reading or self._is_ending or self._pipelined or self.transport is None:
            return
        if not self._has_unread():
            # A request that crosses the close stays unread, so that its client may send it again
            self.transport.close()

    def _has_unread(self) -> bool:
        """Return whether bytes have arrived that this process, late or just resumed, has not read yet."""
        return self.transport is not None and readable(self.transport.get_extra_info("socket"))


class Front:
    """All clients' connections."""

    def __init__(self, handler: Handler, limits: Callable[[], ClientLimits]) -> None:
        self.handler, self.limits = handler, limits
        self.closing = False  # whether answers announce the end of their connection
        self._clients: set[ClientConnection] = set()
        self._timer: asyncio.TimerHandle | None = None

    def __call__(self) -> ClientConnection:
        """Return the protocol of a new connection."""
        return ClientConnection(self)

    @property
    def count(self) -> int:
        """Return the number of connections."""
        return len(self._clients)

    @property
    def open(self) -> int:
        """Return the number of open requests."""
        return sum(client.open for client in self._clients)

    def connected(self, client: ClientConnection) -> None:
        """Add a connection."""
        self._clients.add(client)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def lost(self, client: ClientConnection) -> None:
        """Remove a closed connection."""
        self._clients.discard(client)

    def close_idle(self) -> None:
        """Close the idle connections."""
        for client in list(self._clients):
            client.close_idle()

    def break_off_unfinished(self) -> None:
        """Break off all answers that are not sent whole, as this process ends."""
        for client in list(self._clients):
            client.break_off_unfinished()

    def _sweep(self) -> None:
        now, limits = asyncio.get_running_loop().time(), self.limits()
        for client in list(self._clients):
            client.sweep(now, limits)
        self._timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep) if self._clients else None
