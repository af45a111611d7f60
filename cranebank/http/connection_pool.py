"""Connections to upstream hosts: HTTP/1.1 with one request at a time on each, never used again once in doubt.

aiohttp's client is not safe here: bytes that come behind an answer, or while a connection is idle, are its
answer to the next request. httptools reads with the same parser (llhttp) and leaves the connection to us.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools
import msgspec

from cranebank.core.clock import Clock
from cranebank.core.counters import Counters
from cranebank.http.socket_state import is_reset_or_closed, readable

MAX_BODY_BYTES = 1 << 20  # the protocol says 64 KiB, but good answers of 400 KB were seen
MAX_HEAD_BYTES = 32 << 10  # till the head is whole, with the 1xx answers ahead of it
MAX_RECEIVED_BYTES = 2 * MAX_BODY_BYTES  # all of it: a body may come in many small chunks
REUSE_DELAY_US = 5_000  # before a connection is used again: what belongs to no answer comes right behind it
SWEEP_INTERVAL_S = 1.0


class MalformedResponse(Exception):
    """An answer that can't be read; the request may have run."""


class ConnectionBroken(Exception):
    """The connection ended before the answer was whole."""


class ClosedBeforeSent(ConnectionError):
    """The connection was up and ended before the request's last byte: nothing ran, yet somebody listened."""


class ConnectionUnavailable(Exception):
    """All connections that there may be are in use."""


class UpstreamResponse(msgspec.Struct, frozen=True):
    """One whole answer; the names of the headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class ResponseMemory:
    """The memory for answers on their way in, over all connections."""

    def __init__(self, max_bytes: int) -> None:
        self.available = max_bytes


class UpstreamConnection(asyncio.Protocol):
    """One connection to an upstream host, at the address that it had then."""

    def __init__(self, host: str, address: str, memory: ResponseMemory) -> None:
        self.host, self.address, self._memory = host, address, memory
        self.sent = self.is_reusable = False  # the request's last byte is out; fit for another request
        self.idle_since = 0
        self._transport: asyncio.Transport
        self._response: asyncio.Future[UpstreamResponse] | None = None

    async def exchange(self, request: bytes, sent: Callable[[], None]) -> UpstreamResponse:
        """Send a request and wait for its answer; ``sent`` is called once its last byte is out."""
        self._response = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._status = self._received_bytes = 0
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._is_head_complete = self._is_complete = self._keep_alive = self._has_excess_data = (
            self._ends_with_connection
        ) = False
        self._on_sent, self.sent, self.is_reusable = sent, True, False
        try:
            if self._transport.is_closing():
                self.sent = False
                raise ConnectionBroken("ended by the host before anything was sent")
            self._transport.write(request)  # calls pause_writing at once if something is left over
            if self.sent:
                sent()
            return await self._response
        finally:
            self._response = None
            self._memory.available += self._body_bytes
            if not self.is_reusable:
                self.close()

    def close(self) -> None:
        """End it now, whatever is still to be written."""
        self.is_reusable = False
        self._transport.abort()

    def check_reusable(self) -> bool:
        """Nothing has come since the last answer: no bytes, no end, not even unread ones."""
        if self.is_reusable:
            self.is_reusable = not readable(self._transport.get_extra_info("socket"))
        return self.is_reusable

    def is_up(self) -> bool:
        """It is up, and no end of it is under way: a process that dies resets all of its connections."""
        return not (self._transport.is_closing() or is_reset_or_closed(self._transport.get_extra_info("socket")))

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # so that what is not written yet is known
        self.is_reusable = True

    def pause_writing(self) -> None:
        """Part of the request waits."""
        self.sent = False

    def resume_writing(self) -> None:
        """All of it is out."""
        self.sent = True
        if self._response is not None:
            self._on_sent()

    def eof_received(self) -> None:
        """The host has ended it in order: that is the end of an answer without a length. A reset is none."""
        if self._response is not None and not self._response.done() and self._ends_with_connection:
            self._set_response()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is over."""
        self.is_reusable = False
        self._fail(ConnectionBroken(str(exc or "ended by the host")))

    def data_received(self, data: bytes) -> None:
        """Part of an answer, or what belongs to none."""
        if self._response is None or self._response.done():
            self.close()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._has_excess_data = True
            self._fail(MalformedResponse(str(error.__context__ or error)))
        if self._is_complete and not self._response.done():
            self.is_reusable = self._keep_alive and self.sent and not self._has_excess_data
            self._set_response()
        elif self._received_bytes > (MAX_RECEIVED_BYTES if self._is_head_complete else MAX_HEAD_BYTES):
            self._fail(MalformedResponse("an answer without end"))

    def _set_response(self) -> None:
        assert self._response is not None
        self._response.set_result(UpstreamResponse(self._status, self._headers, b"".join(self._body)))

    def _fail(self, error: Exception) -> None:
        """The answer can't come any more; one that is whole stands, whatever comes behind it."""
        if self._response is not None and not self._response.done() and not self._is_complete:
            self._response.set_exception(error)

    # What the parser calls. An error raised here ends the parsing.

    def on_message_begin(self) -> None:
        """An answer begins, the first or one too many."""
        self._has_excess_data = self._is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """One field of the head."""
        if not self._is_complete:
            self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """The head is there."""
        if self._is_complete:
            return
        self._status = self._parser.get_status_code()
        if self._status < 200:
            if self._status == 101:
                raise MalformedResponse("a change of protocol that nobody asked for")
            return
        self._is_head_complete = True
        length = self._headers.get("content-length")
        self._ends_with_connection = (
            length is None and "transfer-encoding" not in self._headers and self._status not in (204, 304)
        )
        if length is not None and int(length) > MAX_BODY_BYTES:
            raise MalformedResponse(f"a body of {length} bytes")

    def on_body(self, body: bytes) -> None:
        """Part of the body."""
        if self._is_complete:
            return
        self._body.append(body)
        self._body_bytes += len(body)
        self._memory.available -= len(body)
        if self._body_bytes > MAX_BODY_BYTES or self._memory.available < 0:
            raise MalformedResponse("a body that is too large, or too many at once")

    def on_message_complete(self) -> None:
        """The answer is whole, or one ahead of it (1xx)."""
        if self._status < 200:
            self._headers = {}
        elif not self._is_complete:
            self._is_complete, self._keep_alive = True, self._parser.should_keep_alive()


class ConnectionPool:
    """All connections to upstream hosts, with one limit: hosts come and go, descriptors do not grow."""

    def __init__(
        self,
        max_connections: Callable[[], int],
        memory: int,
        max_idle: int,
        dial_timeout_s: float,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._memory = ResponseMemory(memory)
        self._max_connections, self._max_idle, self._dial_timeout_s = max_connections, max_idle, dial_timeout_s
        self._clock, self._counters = clock, counters
        self.open = 0  # with those that are being dialled
        self._idle: dict[UpstreamConnection, None] = {}  # the longest idle first
        self._established: set[UpstreamConnection] = (
            set()
        )  # all of them, in use or idle; bounded by ``max_connections``
        self._timer: asyncio.TimerHandle | None = None

    async def take(self, host: str, address: str) -> UpstreamConnection:
        """An open connection to ``host`` that has rested, or a new one; else OSError or ConnectionUnavailable."""
        now = self._clock.now()
        for connection in [connection for connection in reversed(self._idle) if connection.host == host]:
            if connection.idle_since + REUSE_DELAY_US > now:
                continue
            del self._idle[connection]
            if (
                connection.address == address and connection.check_reusable()
            ):  # another host may stand at an old address
                self._counters.add("connections_reused")
                return connection
            self._close(connection)
        if self.open >= self._max_connections():
            if not self._idle:
                raise ConnectionUnavailable("all connections are in use")
            self._close(self._oldest())
        self.open += 1
        try:
            name, _, port = address.rpartition(":")
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(self._dial_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(host, address, self._memory), name, int(port)
                )
        except BaseException as error:
            self.open -= 1
            if isinstance(error, TimeoutError):
                raise ConnectionError("not up in time") from None
            raise
        self._counters.add("connections_opened")
        self._established.add(connection)
        return connection

    def has_live_connection(self, host: str) -> bool:
        """Whether another connection to ``host`` stands: one refused then tells of a full table, not of a death."""
        return any(connection.host == host and connection.is_up() for connection in self._established)

    def give_back(self, connection: UpstreamConnection) -> None:
        """Keep a connection for its next request, or forget one that is not fit for any."""
        if not connection.is_reusable:
            self._close(connection)
            return
        connection.idle_since = self._clock.now()
        self._idle[connection] = None
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def drop(self, host: str | None = None) -> None:
        """Close the idle connections to a host, or to all."""
        for connection in [connection for connection in self._idle if host in (None, connection.host)]:
            del self._idle[connection]
            self._close(connection)
        if host is None and self._timer is not None:
            self._timer.cancel()

    def _sweep(self) -> None:
        """Close what has been idle for long, or was ended by its host."""
        limit = self._clock.now() - self._max_idle
        for connection in [
            connection for connection in self._idle if connection.idle_since < limit or not connection.is_reusable
        ]:
            del self._idle[connection]
            self._close(connection)
        self._timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep) if self._idle else None

    def _oldest(self) -> UpstreamConnection:
        connection = next(iter(self._idle))
        del self._idle[connection]
        return connection

    def _close(self, connection: UpstreamConnection) -> None:
        self.open -= 1
        self._established.discard(connection)
        connection.close()
