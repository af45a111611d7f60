"""A look at a socket without taking anything from it; both sides' connections and the listener need one."""

from __future__ import annotations

import select
from typing import Any


def readable(sock: Any) -> bool:
    """Whether bytes, an end or a new connection wait at a socket."""
    return _found(sock, select.POLLIN)


def broken(sock: Any) -> bool:
    """Whether a connection was reset or is over both ways."""
    return _found(sock, 0)  # POLLERR and POLLHUP are told unasked


def _found(sock: Any, asked: int) -> bool:
    poll = select.poll()
    poll.register(sock.fileno(), asked)
    return bool(poll.poll(0))
