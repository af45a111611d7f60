"""A look at a socket without taking anything from it, and a listener's last turn."""

from __future__ import annotations

import asyncio
import select
from typing import Any


def readable(sock: Any) -> bool:
    """Whether bytes, an end or a new connection wait at a socket."""
    return _poll(sock, select.POLLIN)


def peer_has_ended(sock: Any) -> bool:
    """Whether the peer has ended its side or all of it, be it behind bytes that nobody has read."""
    return _poll(sock, select.POLLRDHUP)


def is_reset_or_closed(sock: Any) -> bool:
    """Whether a connection was reset or is over both ways."""
    return _poll(sock, 0)  # POLLERR and POLLHUP are told unasked


def _poll(sock: Any, events: int) -> bool:
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return bool(poll.poll(0))


async def stop_accepting(server: asyncio.Server) -> None:
    """Accept no more, and let what was accepted in this turn of the loop get its protocol.

    Guards whoever has just been let in: a connection whose protocol is made after ``server.close()`` is dropped by
    asyncio without being ended, and its client waits for an answer until the garbage is collected.
    """
    loop = asyncio.get_running_loop()
    for sock in server.sockets:
        loop.remove_reader(sock)
    await asyncio.sleep(0)
