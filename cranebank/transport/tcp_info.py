"""The kernel's view of a TCP connection, read with ``TCP_INFO`` (Linux, ``struct tcp_info`` in ``linux/tcp.h``)."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import Any, NamedTuple

# Fields of struct tcp_info: tcpi_unacked, tcpi_segs_in, tcpi_notsent_bytes and tcpi_snd_wnd.
_FIELDS = struct.Struct("=24xI112xII80xI")
_QUEUE_BYTES = struct.Struct("i")


class TcpInfo(NamedTuple):
    """What the kernel knows of one connection."""

    segments_in_flight: int  # sent and not yet acknowledged
    segments_received: int  # since the connection was established, acknowledgements included
    unsent_bytes: int  # queued in the kernel and not yet sent
    window_bytes: int  # the receive window that the peer announced last

    @property
    def is_all_acknowledged(self) -> bool:
        """Whether the peer has acknowledged all that the kernel was given to send."""
        return not self.segments_in_flight and not self.unsent_bytes

    @property
    def is_window_closed(self) -> bool:
        """Whether bytes wait only for the peer's receive window."""
        return not self.window_bytes or (bool(self.unsent_bytes) and not self.segments_in_flight)


def read_tcp_info(sock: Any) -> TcpInfo | None:
    """Return the state of a connected socket; None if the kernel doesn't report it or doesn't count segments."""
    try:
        found = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _FIELDS.size)
    except OSError:
        return None
    if len(found) < _FIELDS.size:
        return None
    in_flight, received, unsent, window = _FIELDS.unpack(found)
    return TcpInfo(in_flight, received, unsent, window) if received else None


def unacknowledged_bytes(sock: Any) -> int:
    """Return how many bytes the kernel holds that the peer has not acknowledged; 0 if it doesn't report that."""
    try:
        found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_QUEUE_BYTES.size))
    except OSError:
        return 0
    return int(_QUEUE_BYTES.unpack(found)[0])
