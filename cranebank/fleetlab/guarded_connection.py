"""A connection of a process under test that keeps to the laboratory's cuts: silence instead of resets.

``GuardedConnection`` stands between the real transport and the program's protocol. While a direction is cut, bytes are
held and delivered after it has healed, as TCP sends them again; the end of a connection isn't noticed by the other side
either. Bytes that nobody acknowledges end a connection by the ``TCP_USER_TIMEOUT`` that the program has set, as they
would on a real link.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections import deque
from collections.abc import Iterable
from enum import Enum
from typing import Any, cast

from cranebank.fleetlab.network import NetworkView

NO_LINGER = struct.pack("ii", 1, 0)  # of SO_LINGER: a close resets


class _State(Enum):
    PENDING = "pending"  # accepted by the kernel while cut off: the handshake would not have come to its end
    OPEN = "open"
    CLOSED = "closed"  # the program has ended it, or was told of its end


class _EndOfStream:
    """The peer has closed its sending direction."""


class _Lost:
    """The real connection is over."""

    def __init__(self, error: Exception | None) -> None:
        self.error = error


class GuardedConnection(asyncio.Protocol):
    """What the real transport talks to; ``transport`` is what the program talks to."""

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

    # What the real transport tells.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The kernel has a connection."""
        self._real = cast(asyncio.Transport, transport)
        address = transport.get_extra_info("peername")
        self.remote = str(address[0]) if address else ""
        self._view.add(self)
        if self._dialled or self._view.is_connectable(self.remote):
            self._open()

    def data_received(self, data: bytes) -> None:
        """Bytes came."""
        if self._state is not _State.CLOSED:
            self._incoming.append(data)
            self._deliver()

    def eof_received(self) -> bool:
        """The peer sends no more; the transport is kept until that is delivered."""
        if self._state is _State.CLOSED:
            return False
        self._incoming.append(_EndOfStream())
        self._deliver()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """The real connection is over."""
        self._real = None
        if self._state is not _State.OPEN:
            self._view.discard(self)
            return
        if exc is not None:
            self._incoming.clear()  # bytes that were held up are lost where their sender resets
        self._incoming.append(_Lost(exc))
        self._deliver()

    def abandon(self) -> None:
        """The dial was given up. Where the connection came up in the same turn, the loop has closed it and told nobody:
        its socket is not touched any more, and the program hears nothing either."""
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
        """There is room again."""
        if self._state is _State.OPEN:
            self.protocol.resume_writing()

    # What the network tells.

    def network_changed(self) -> None:
        """Paths were cut or healed, or time has passed."""
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
        """End now with a reset that both sides notice."""
        if self._real is None:
            return
        sock = self._real.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self._real.abort()

    # What the program does.

    def write(self, data: bytes) -> None:
        """Send, or hold what can't get out."""
        if self._state is _State.CLOSED:
            return
        if not self._view.is_connectable(self.remote) and self._unacknowledged_since is None:
            self._unacknowledged_since = asyncio.get_running_loop().time()
        if self._outgoing or self._view.is_cut_to(self.remote):
            self._outgoing += data
        elif self._real is not None:
            self._real.write(data)

    def close(self, is_abort: bool) -> None:
        """End the connection; the peer notices when the path there is open."""
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
        """The program reads no more for now, or reads on."""
        self._is_paused = paused
        if self._real is not None:
            (self._real.pause_reading if paused else self._real.resume_reading)()
        if not paused:
            asyncio.get_running_loop().call_soon(self._deliver)

    @property
    def real(self) -> asyncio.Transport | None:
        """The real transport, while it is there."""
        return self._real

    @property
    def is_closed(self) -> bool:
        """Whether the program has ended it, or was told of its end."""
        return self._state is _State.CLOSED

    @property
    def held(self) -> int:
        """Bytes that wait to get out."""
        return len(self._outgoing)

    # Inside.

    def _open(self) -> None:
        self._state = _State.OPEN
        self.protocol.connection_made(self.transport)

    def _deliver(self) -> None:
        """Hand on what came, for as long as it may come."""
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
        """End it where bytes were not acknowledged for longer than the program waits."""
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
        """The program's side is over."""
        told = self._state is not _State.PENDING
        self._state = _State.CLOSED
        self._incoming.clear()
        if self._real is None:
            self._view.discard(self)
        if at_once:
            self.protocol.connection_lost(error)
        elif told:
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, error)


class GuardedTransport(asyncio.Transport):
    """The transport that the program sees."""

    def __init__(self, connection: GuardedConnection) -> None:
        super().__init__()
        self._connection = connection

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send."""
        self._connection.write(bytes(data))

    def writelines(self, list_of_data: Iterable[bytes | bytearray | memoryview]) -> None:
        """Send all."""
        self.write(b"".join(list_of_data))

    def close(self) -> None:
        """End it once everything is sent."""
        self._connection.close(is_abort=False)

    def abort(self) -> None:
        """End it now."""
        self._connection.close(is_abort=True)

    def is_closing(self) -> bool:
        """Whether it is over or about to be."""
        real = self._connection.real
        return self._connection.is_closed or (real is not None and real.is_closing())

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Of the real transport."""
        real = self._connection.real
        return default if real is None else real.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        """Bytes that the program has written and the kernel has not taken."""
        real = self._connection.real
        return self._connection.held + (0 if real is None else real.get_write_buffer_size())

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Of the real transport; what a cut holds up is not limited."""
        if self._connection.real is not None:
            self._connection.real.set_write_buffer_limits(high, low)

    def can_write_eof(self) -> bool:
        """As TCP can."""
        return True

    def write_eof(self) -> None:
        """Send no more; while the path is cut the peer does not learn of it before the connection ends."""
        real = self._connection.real
        if real is not None and not self._connection.held:
            real.write_eof()

    def pause_reading(self) -> None:
        """Read no more for now."""
        self._connection.pause(True)

    def resume_reading(self) -> None:
        """Read on."""
        self._connection.pause(False)

    def is_reading(self) -> bool:
        """Whether the real transport reads."""
        real = self._connection.real
        return real is not None and real.is_reading()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Hand the connection on to another protocol."""
        self._connection.protocol = cast(asyncio.Protocol, protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """The program's protocol."""
        return self._connection.protocol
