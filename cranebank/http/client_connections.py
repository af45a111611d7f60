"""Client connections with limits on their number and duration, so that no client can exhaust them for the others."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from cranebank.core.clock import Clock
from cranebank.core.counters import Counters
from cranebank.http.socket_state import peer_has_ended, readable

# At the connection limit, a connection that has waited this long without a complete request may be closed first.
NEW_CONNECTION_GRACE_US = 100_000
SWEEP_INTERVAL_S = 0.25
# After the last answer, input is still read up to these limits: a client that keeps sending gets the answer, no reset.
LINGER_S = 0.2
LINGER_BYTES = 4 << 20


@dataclass(slots=True, frozen=True)
class ConnectionTimeouts:
    """Time limits in microseconds. ``request``: to receive a whole request, from the connect or its first byte.

    A connection without a request is closed no sooner than ``min_idle`` and no later than ``max_idle``. The idle time
    restarts while the client reads the last answer; a client that reads nothing is closed within twice that time.
    """

    request: int = 2_300_000
    min_idle: int = 2_000_000
    max_idle: int = 15_000_000


class LingeringClose(asyncio.Protocol):
    """Protocol of a connection after its last answer: reads and drops further input for a limited time.

    Guards that answer: closing a socket with unread input resets it, and the kernel drops what it has not sent yet.
    """

    def __init__(self, handler: ClientConnection, transport: asyncio.Transport) -> None:
        self._handler, self._transport = handler, transport
        self._remaining_bytes = LINGER_BYTES
        self._timer = asyncio.get_running_loop().call_later(LINGER_S, transport.close)

    def data_received(self, data: bytes) -> None:
        """Drop the input; abort at the byte limit."""
        self._remaining_bytes -= len(data)
        if self._remaining_bytes < 0:
            self._transport.abort()

    def pause_writing(self) -> None:
        """Pass on that the send buffer is full."""
        self._handler.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the send buffer has drained."""
        self._handler.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer and pass on the end of the connection."""
        self._timer.cancel()
        self._handler.connection_lost(exc)


class LingeringTransport:
    """The client's transport as aiohttp sees it; ``close`` flushes, shuts down the sending side and keeps reading."""

    def __init__(self, handler: ClientConnection, transport: asyncio.Transport) -> None:
        self._handler, self._transport = handler, transport
        self._is_lingering = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def close_now(self) -> None:
        """Close the connection without lingering, where no answer can be lost; abort if the client does not read."""
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        self._transport.close()

    def close(self) -> None:
        """Shut down the sending side and linger until the client closes or the limits are reached."""
        if self._is_lingering or self._transport.is_closing():
            return
        self._is_lingering = True
        try:
            self._transport.write_eof()
        except OSError:  # the connection has already ended
            self._transport.close()
            return
        self._transport.set_protocol(LingeringClose(self._handler, self._transport))
        self._transport.resume_reading()


class ClientConnection(web.RequestHandler):
    """The connection of one client; notifies ``ClientConnections`` of received bytes."""

    def __init__(self, connections: ClientConnections, **options: Any) -> None:
        super().__init__(connections, loop=asyncio.get_running_loop(), **options)
        self._connections = connections

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wrap the transport, so that aiohttp closes it with lingering."""
        assert isinstance(transport, asyncio.Transport)
        super().connection_made(LingeringTransport(self, transport))  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        """Process bytes of the current or the next request."""
        self._connections.bytes_received(self)
        super().data_received(data)


class ClientConnections(web.Server):
    """All client connections: each awaits a request, has an open one or is idle; open requests have no limit here."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        max_connections: Callable[[], int],
        timeouts: ConnectionTimeouts,
        clock: Clock,
        counters: Counters,
        request_factory: Any,
        **options: Any,
    ) -> None:
        super().__init__(handler, request_factory=request_factory, handler_cancellation=True)
        self._max_connections, self._timeouts, self._clock = max_connections, timeouts, clock
        self._counters, self._options = counters, options
        self._transports: dict[web.RequestHandler, LingeringTransport] = {}
        self._awaiting_request: dict[web.RequestHandler, int] = {}  # start times, oldest first
        self._idle: dict[web.RequestHandler, int] = {}  # start times, oldest first
        self._unsent_bytes: dict[web.RequestHandler, int] = {}  # of the last answer, at the previous check
        self._pipelining: set[web.RequestHandler] = set()  # received bytes of the next request while one is open
        self._timer: asyncio.TimerHandle | None = None
        self._empty = asyncio.Event()
        self._empty.set()

    @property
    def count(self) -> int:
        """The number of open connections."""
        return len(self._transports)

    @property
    def is_nearly_full(self) -> bool:
        """Whether connections run short and each should close after its answer; rejected clients reconnect at once."""
        return 4 * self.count > 3 * self._max_connections()

    def __call__(self) -> web.RequestHandler:
        """Return the protocol for a new connection."""
        return ClientConnection(self, **self._options)

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        """Accept a client; at the limit, close a connection without a request, or the new one if there is none."""
        super().connection_made(handler, transport)
        assert isinstance(transport, LingeringTransport)
        now = self._clock.now()
        self._transports[handler] = transport
        self._empty.clear()
        self._awaiting_request[handler] = now
        if self.count > self._max_connections():
            has_made_room = self._close_oldest(self._idle, now - self._timeouts.min_idle)
            has_made_room = has_made_room or self._close_oldest(self._awaiting_request, now - NEW_CONNECTION_GRACE_US)
            if not has_made_room:
                self._close(handler)
        if self._timer is None:
            self._sweep()

    def connection_lost(self, handler: web.RequestHandler, exc: BaseException | None = None) -> None:
        """Remove a connection that has ended."""
        super().connection_lost(handler, exc)
        self._forget(handler)
        if not self._transports:
            self._empty.set()

    def bytes_received(self, handler: web.RequestHandler) -> None:
        """Record that bytes came: an idle connection now awaits its request and is not closed as idle."""
        if self._idle.pop(handler, None) is not None:
            self._awaiting_request[handler] = self._clock.now()
        elif handler in self._transports and handler not in self._awaiting_request:
            self._pipelining.add(handler)

    def request_received(self, handler: web.RequestHandler) -> None:
        """Record that a request was received whole; from here on the engine's limits apply."""
        self._awaiting_request.pop(handler, None)
        self._idle.pop(handler, None)
        self._pipelining.discard(handler)

    def request_answered(self, handler: web.RequestHandler) -> None:
        """Record that a request was answered."""
        if handler not in self._transports:
            return  # the client has disconnected
        self._awaiting_request.pop(handler, None)  # errors and own paths are answered without ``request_received``
        (self._awaiting_request if handler in self._pipelining else self._idle)[handler] = self._clock.now()
        self._pipelining.discard(handler)
        self._unsent_bytes.pop(handler, None)

    def client_left(self, handler: web.RequestHandler) -> bool:
        """Return whether the client has disconnected, even behind unread bytes; if so, close its connection."""
        transport = self._transports.get(handler)
        if transport is None or transport.is_closing():
            return True
        if peer_has_ended(transport.get_extra_info("socket")):
            self._close(handler)
            return True
        return False

    def close_idle(self) -> None:
        """Close idle connections, except where an unread request has arrived; those with an unsent answer close after
        it is sent."""
        for handler in list(self._idle):
            transport = self._transports[handler]
            if transport.get_write_buffer_size():
                handler.close()
            elif not readable(transport.get_extra_info("socket")):
                self._close(handler)

    async def wait_until_empty(self) -> None:
        """Wait until no connection is open; by then all answers are sent to the last byte."""
        await self._empty.wait()

    def stop(self) -> None:
        """Stop the sweep timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _sweep(self) -> None:
        # One timer for all connections. The loop reads pending input before it fires, so no request is overlooked.
        now, is_half_full = self._clock.now(), 2 * self.count > self._max_connections()
        while self._close_oldest(self._awaiting_request, now - self._timeouts.request):
            self._counters.add("requests_unfinished")
        idle = self._timeouts.min_idle if is_half_full else self._timeouts.max_idle
        while self._close_oldest(self._idle, now - idle):
            pass
        self._timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def _close_oldest(self, handlers: dict[web.RequestHandler, int], limit: int) -> bool:
        while handlers:
            handler, since = next(iter(handlers.items()))
            if since > limit:
                break
            if handlers is self._idle and self._is_in_use(handler):
                continue
            self._close(handler)
            return True
        return False

    def _is_in_use(self, handler: web.RequestHandler) -> bool:
        """Return whether an idle connection past its limit stays open: its next request has arrived but was not read
        yet, or the client has read part of the last answer since the previous check."""
        transport = self._transports[handler]
        if readable(transport.get_extra_info("socket")):
            self.bytes_received(handler)
            return True
        unsent, previous = transport.get_write_buffer_size(), self._unsent_bytes.pop(handler, 0)
        if unsent == previous:
            return False
        if unsent:
            self._unsent_bytes[handler] = unsent
        del self._idle[handler]
        self._idle[handler] = self._clock.now()
        return True

    def _close(self, handler: web.RequestHandler) -> None:
        self._counters.add("connections_closed")
        transport = self._transports[handler]
        self._forget(handler)
        transport.close_now()
        handler.force_close()

    def _forget(self, handler: web.RequestHandler) -> None:
        for handlers in (self._transports, self._awaiting_request, self._idle, self._unsent_bytes):
            handlers.pop(handler, None)
        self._pipelining.discard(handler)
