"""Whether closing a socket resets its connection (``SO_LINGER``)."""

from __future__ import annotations

import contextlib
import socket
import struct
from typing import Any

_LINGER = struct.Struct("ii")  # of C: whether closing waits, and for how many seconds
_RESET_ON_CLOSE = _LINGER.pack(1, 0)  # close sends a reset and drops undelivered bytes
_CLOSE_IN_ORDER = _LINGER.pack(0, 0)


def set_reset_on_close(sock: Any, *, is_enabled: bool) -> None:
    """Set whether closing resets the connection and drops undelivered bytes, which may otherwise still arrive."""
    with contextlib.suppress(OSError):  # the connection has just ended
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE if is_enabled else _CLOSE_IN_ORDER)
