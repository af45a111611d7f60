"""The client side's connections, bounded in number and time: no client may take the others' place."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from cranebank.core.clock import Clock
from cranebank.core.counters import Counters
from cranebank.http.socket_state import peer_has_ended, readable

NEW_CONNECTION_GRACE_US = (
    100_000  # whoever connects and has said nothing for so long may go first when all places are taken
)
SWEEP_INTERVAL_S = 0.25
LINGER_S = 0.2  # the last answer is read, and no reset instead, by a client that sends on for so long
LINGER_BYTES = 4 << 20  # and so much


@dataclass(slots=True, frozen=True)
class ConnectionTimeouts:
    """Microseconds: for a whole request, from connecting or from its first byte; a connection without a
    request is never closed sooner than ``min_idle``, nor kept for longer than ``max_idle``. Its time begins anew
    while its client reads the last answer; a client that reads nothing is closed within twice that time."""

    request: int = 2_300_000
    min_idle: int = 2_000_000
    max_idle: int = 15_000_000


class LingeringClose(asyncio.Protocol):
    """The end of a connection that has had its last answer: what still comes is read and dropped for a while.

    Guards that answer: a close over unread bytes is a reset, and what the kernel had not yet sent goes with it.
    """

    def __init__(self, handler: ClientConnection, transport: asyncio.Transport) -> None:
        self._handler, self._transport = handler, transport
        self._remaining_bytes = LINGER_BYTES
        self._timer = asyncio.get_running_loop().call_later(LINGER_S, transport.close)

    def data_received(self, data: bytes) -> None:
        """What nobody asked for."""
        self._remaining_bytes -= len(data)
        if self._remaining_bytes < 0:
            self._transport.abort()

    def pause_writing(self) -> None:
        """Part of the answer waits."""
        self._handler.pause_writing()

    def resume_writing(self) -> None:
        """It waits no more."""
        self._handler.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is over."""
        self._timer.cancel()
        self._handler.connection_lost(exc)


class LingeringTransport:
    """A client's transport as aiohttp sees it: its ``close`` sends what is written, ends our side and reads on."""

    def __init__(self, handler: ClientConnection, transport: asyncio.Transport) -> None:
        self._handler, self._transport = handler, transport
        self._is_lingering = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def close_now(self) -> None:
        """End the connection at once, where no answer might be lost; a client that reads nothing is not waited for."""
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        self._transport.close()

    def close(self) -> None:
        """End the connection, the client's side last."""
        if self._is_lingering or self._transport.is_closing():
            return
        self._is_lingering = True
        try:
            self._transport.write_eof()
        except OSError:  # it is over already
            self._transport.close()
            return
        self._transport.set_protocol(LingeringClose(self._handler, self._transport))
        self._transport.resume_reading()


class ClientConnection(web.RequestHandler):
    """One client's connection; tells ``ClientConnections`` when bytes come."""

    def __init__(self, connections: ClientConnections, **options: Any) -> None:
        super().__init__(connections, loop=asyncio.get_running_loop(), **options)
        self._connections = connections

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected."""
        assert isinstance(transport, asyncio.Transport)
        super().connection_made(LingeringTransport(self, transport))  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        """Bytes of a request, or of the next one."""
        self._connections.bytes_received(self)
        super().data_received(data)


class ClientConnections(web.Server):
    """Each connection is waited on for a request, has one open, or is idle; the open have no limit here."""

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
        self._awaiting_request: dict[web.RequestHandler, int] = {}  # since when, the longest first
        self._idle: dict[web.RequestHandler, int] = {}
        self._unsent_bytes: dict[web.RequestHandler, int] = {}  # bytes of the last answer, as of the last look
        self._pipelining: set[web.RequestHandler] = set()  # bytes of the next request came with one still open
        self._timer: asyncio.TimerHandle | None = None
        self._empty = asyncio.Event()
        self._empty.set()

    @property
    def count(self) -> int:
        """Connections that are open."""
        return len(self._transports)

    @property
    def is_nearly_full(self) -> bool:
        """Places run short: whoever has an answer should not stay; those turned away come back at once."""
        return 4 * self.count > 3 * self._max_connections()

    def __call__(self) -> web.RequestHandler:
        """The protocol of a new connection."""
        return ClientConnection(self, **self._options)

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        """Let a client in; where all places are taken, one that asks for nothing makes room, or it goes."""
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
        """Forget a connection."""
        super().connection_lost(handler, exc)
        self._forget(handler)
        if not self._transports:
            self._empty.set()

    def bytes_received(self, handler: web.RequestHandler) -> None:
        """Bytes have come: an idle connection has a request on its way in and is not closed as idle."""
        if self._idle.pop(handler, None) is not None:
            self._awaiting_request[handler] = self._clock.now()
        elif handler in self._transports and handler not in self._awaiting_request:
            self._pipelining.add(handler)

    def request_received(self, handler: web.RequestHandler) -> None:
        """The whole request is in: from here the engine's limits hold."""
        self._awaiting_request.pop(handler, None)
        self._idle.pop(handler, None)
        self._pipelining.discard(handler)

    def request_answered(self, handler: web.RequestHandler) -> None:
        """The answer is given."""
        if handler not in self._transports:
            return  # the client has left
        self._awaiting_request.pop(handler, None)  # it may never have been taken
        (self._awaiting_request if handler in self._pipelining else self._idle)[handler] = self._clock.now()
        self._pipelining.discard(handler)
        self._unsent_bytes.pop(handler, None)

    def client_left(self, handler: web.RequestHandler) -> bool:
        """Whether the client has gone. Its connection is closed then, should its end lie behind bytes not read yet."""
        transport = self._transports.get(handler)
        if transport is None or transport.is_closing():
            return True
        if peer_has_ended(transport.get_extra_info("socket")):
            self._close(handler)
            return True
        return False

    def dismiss(self) -> None:
        """Close the connections that are idle, but for those on which a request has come that is not read yet; where an
        answer is still going out, once it is out."""
        for handler in list(self._idle):
            transport = self._transports[handler]
            if transport.get_write_buffer_size():
                handler.close()
            elif not readable(transport.get_extra_info("socket")):
                self._close(handler)

    async def wait_until_empty(self) -> None:
        """Wait until no connection is open: all answers are out then, to the last byte."""
        await self._empty.wait()

    def stop(self) -> None:
        """End the sweeping."""
        if self._timer is not None:
            self._timer.cancel()

    def _sweep(self) -> None:
        # One timer for all; input that is there already is read before it fires, so no request is overlooked.
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
        """Whether an idle connection whose time is over stays: its next request lies there, which this turn has not
        seen, or its client has read of the last answer since the last look."""
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
