"""A connection of a process under test that applies the laboratory's cuts, with silence instead of resets.

``GuardedConnection`` sits between the real transport and the program's protocol. While a direction is cut, bytes are
held, and delivered after it has healed, as TCP would retransmit them. The end of a connection doesn't pass a cut
either. Unacknowledged bytes end a connection after the ``TCP_USER_TIMEOUT`` that the program has set, as on a real
link.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections import deque
from collections.abc import Iterable
from enum import Enum
from typing import Any, cast

from cranebank.fleetlab.network import NetworkView
from cranebank.transport.tcp_reset import set_reset_on_close


class _State(Enum):
    PENDING = "pending"  # accepted by the kernel during a cut, when a real handshake would not have completed
    OPEN = "open"
    CLOSED = "closed"  # the program has closed it, or was notified of its end


class _EndOfStream:
    """Marks that the peer has closed its sending direction."""


class _Lost:
    """Marks that the real connection has ended."""

    def __init__(self, error: Exception | None) -> None:
        self.error = error


class GuardedConnection(asyncio.Protocol):
    """The protocol of the real transport; ``transport`` is the transport that the program uses."""

    def __init__(self, protocol: asyncio.Protocol, view: NetworkView, dialled: bool) -> None:
        self.protocol = protocol
        self.transport = GuardedTransport(self)
        self.remote = ""
        self._view, self._dialled = view, dialled
        self._real: asyncio.Transport | None = None
        self._state = _State.PENDING
        self._incoming: deque[bytes | _EndOfStream | _Lost] = deque()
        self._outgoing = bytearray()
        self._unacknowledged_since: float | None = None
        self._is_paused = False
        self._closes_after_healing = False

    # Callbacks of the real transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The real connection is established."""
        self._real = cast(asyncio.Transport, transport)
        address = transport.get_extra_info("peername")
        self.remote = str(address[0]) if address else ""
        self._view.add(self)
        if self._dialled or self._view.is_connectable(self.remote):
            self._open()

    def data_received(self, data: bytes) -> None:
        """Bytes were received."""
        if self._state is not _State.CLOSED:
            self._incoming.append(data)
            self._deliver()

    def eof_received(self) -> bool:
        """The peer sends no more. The transport stays open until this is delivered to the program."""
        if self._state is _State.CLOSED:
            return False
        self._incoming.append(_EndOfStream())
        self._deliver()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """The real connection has ended."""
        self._real = None
        if self._state is not _State.OPEN:
            self._view.discard(self)
            return
        if exc is not None:
            self._incoming.clear()  # a reset by the sender discards the held bytes
        self._incoming.append(_Lost(exc))
        self._deliver()

    def abandon(self) -> None:
        """Handle that the dial was cancelled. If the connection was established in the same loop iteration, the loop
        has closed it without a callback: its socket must not be used any more, and the program is not notified."""
        self._real = None
        self._state = _State.CLOSED
        self._incoming.clear()
        self._outgoing.clear()
        self._view.discard(self)

    def pause_writing(self) -> None:
        """The real transport's buffer is full."""
        if self._state is _State.OPEN:
            self.protocol.pause_writing()

    def resume_writing(self) -> None:
        """The real transport's buffer has room again."""
        if self._state is _State.OPEN:
            self.protocol.resume_writing()

    # Callbacks of the network view.

    def network_changed(self) -> None:
        """Handle that paths were cut or healed, or that time has passed."""
        if self._view.is_connectable(self.remote):
            self._unacknowledged_since = None
            if self._state is _State.PENDING:
                self._open()
        if not self._view.is_cut_to(self.remote):
            self._flush()
        if self._state is _State.OPEN:
            self._deliver()
            self._time_out()

    def reset(self) -> None:
        """Reset the connection at once, so that both sides notice."""
        if self._real is None:
            return
        sock = self._real.get_extra_info("socket")
        if sock is not None:
            set_reset_on_close(sock, is_enabled=True)
        self._real.abort()

    # Calls of the program.

    def write(self, data: bytes) -> None:
        """Send bytes, or hold them while the path is cut."""
        if self._state is _State.CLOSED:
            return
        if not self._view.is_connectable(self.remote) and self._unacknowledged_since is None:
            self._unacknowledged_since = asyncio.get_running_loop().time()
        if self._outgoing or self._view.is_cut_to(self.remote):
            self._outgoing += data
        elif self._real is not None:
            self._real.write(data)

    def close(self, is_abort: bool) -> None:
        """Close or abort the connection. The peer notices once the path to it is open."""
        if self._state is _State.CLOSED:
            return
        if is_abort:
            self._outgoing.clear()
        self._finish(None)
        if self._view.is_cut_to(self.remote):
            self._closes_after_healing = True
        elif self._real is not None:
            (self._real.abort if is_abort else self._real.close)()

    def pause(self, paused: bool) -> None:
        """Pause or resume reading for the program."""
        self._is_paused = paused
        if self._real is not None:
            (self._real.pause_reading if paused else self._real.resume_reading)()
        if not paused:
            asyncio.get_running_loop().call_soon(self._deliver)

    @property
    def real(self) -> asyncio.Transport | None:
        """The real transport, or None after its connection has ended."""
        return self._real

    @property
    def is_closed(self) -> bool:
        """Whether the program has closed the connection or was notified of its end."""
        return self._state is _State.CLOSED

    @property
    def held(self) -> int:
        """Number of bytes held by a cut."""
        return len(self._outgoing)

    # Internals.

    def _open(self) -> None:
        self._state = _State.OPEN
        self.protocol.connection_made(self.transport)

    def _deliver(self) -> None:
        """Deliver received events to the program, unless the path is cut or reading is paused."""
        while self._incoming and self._state is _State.OPEN:
            if self._view.is_cut_from(self.remote) or self._is_paused:
                return
            event = self._incoming.popleft()
            if isinstance(event, _Lost):
                self._finish(event.error, at_once=True)
            elif isinstance(event, _EndOfStream):
                if not self.protocol.eof_received():
                    self.close(is_abort=False)
            else:
                self.protocol.data_received(event)

    def _flush(self) -> None:
        if self._real is None:
            return
        if self._outgoing:
            held, self._outgoing = bytes(self._outgoing), bytearray()
            self._real.write(held)
        if self._closes_after_healing:
            self._closes_after_healing = False
            self._real.close()

    def _time_out(self) -> None:
        """End the connection if bytes were unacknowledged for longer than the program's TCP_USER_TIMEOUT."""
        if self._unacknowledged_since is None or self._real is None:
            return
        sock = self._real.get_extra_info("socket")
        timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) if sock is not None else 0
        waited_s = asyncio.get_running_loop().time() - self._unacknowledged_since
        if timeout_ms and waited_s * 1e3 > timeout_ms:
            self._outgoing.clear()
            self._closes_after_healing = True
            self._finish(TimeoutError(errno.ETIMEDOUT, "bytes were not acknowledged"))

    def _finish(self, error: Exception | None, at_once: bool = False) -> None:
        """End the program's side of the connection."""
        was_open = self._state is not _State.PENDING
        self._state = _State.CLOSED
        self._incoming.clear()
        if self._real is None:
            self._view.discard(self)
        if at_once:
            self.protocol.connection_lost(error)
        elif was_open:
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, error)


class GuardedTransport(asyncio.Transport):
    """The transport that the program uses."""

    def __init__(self, connection: GuardedConnection) -> None:
        super().__init__()
        self._connection = connection

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes."""
        self._connection.write(bytes(data))

    def writelines(self, list_of_data: Iterable[bytes | bytearray | memoryview]) -> None:
        """Send all chunks."""
        self.write(b"".join(list_of_data))

    def close(self) -> None:
        """Close the connection once everything is sent."""
        self._connection.close(is_abort=False)

    def abort(self) -> None:
        """Abort the connection."""
        self._connection.close(is_abort=True)

    def is_closing(self) -> bool:
        """Return whether the connection is closed or closing."""
        real = self._connection.real
        return self._connection.is_closed or (real is not None and real.is_closing())

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return extra information of the real transport."""
        real = self._connection.real
        return default if real is None else real.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes written by the program and not yet accepted by the kernel."""
        real = self._connection.real
        return self._connection.held + (0 if real is None else real.get_write_buffer_size())

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the limits of the real transport. Bytes held by a cut are not limited."""
        if self._connection.real is not None:
            self._connection.real.set_write_buffer_limits(high, low)

    def can_write_eof(self) -> bool:
        """Return True, as for TCP."""
        return True

    def write_eof(self) -> None:
        """Close the sending direction. While a cut holds bytes, the peer notices only the end of the connection."""
        real = self._connection.real
        if real is not None and not self._connection.held:
            real.write_eof()

    def pause_reading(self) -> None:
        """Pause reading."""
        self._connection.pause(True)

    def resume_reading(self) -> None:
        """Resume reading."""
        self._connection.pause(False)

    def is_reading(self) -> bool:
        """Return whether the real transport reads."""
        real = self._connection.real
        return real is not None and real.is_reading()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Pass the connection to another protocol."""
        self._connection.protocol = cast(asyncio.Protocol, protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the program's protocol."""
        return self._connection.protocol
