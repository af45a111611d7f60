"""Checks of a socket's state that read nothing from it, and an orderly end of accepting connections."""

from __future__ import annotations

import asyncio
import select
from typing import Any


def readable(sock: Any) -> bool:
    """Return whether bytes, a FIN or a new connection are pending on a socket."""
    return _poll(sock, select.POLLIN)


def peer_has_ended(sock: Any) -> bool:
    """Return whether the peer has closed its sending side or the connection, even if unread bytes precede that."""
    return _poll(sock, select.POLLRDHUP)


def is_reset_or_closed(sock: Any) -> bool:
    """Return whether a connection was reset or is closed in both directions."""
    return _poll(sock, 0)  # POLLERR and POLLHUP are always reported


def _poll(sock: Any, events: int) -> bool:
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return bool(poll.poll(0))


async def stop_accepting(server: asyncio.Server) -> None:
    """Stop accepting, and let connections that were accepted in this loop iteration get their protocols.

    Guards clients accepted last: asyncio drops a connection whose protocol is created after ``server.close()`` without
    closing it, and its client waits for an answer until garbage collection.
    """
    loop = asyncio.get_running_loop()
    for sock in server.sockets:
        loop.remove_reader(sock)
    await asyncio.sleep(0)
