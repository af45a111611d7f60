"""Long-lived connections between processes: asyncio protocols that carry messages and detect dead peers.

Owners key the state of a connection by its ``Link`` object and get no callback for a link after its end, so a message
of an older connection can't be taken for one of a newer connection. A restarted peer sends another ``Hello.life``.

A link is closed when nothing was received for ``LINK_TIMEOUT_S``, when a frame is damaged, or when its peer does not
read and more than ``MAX_SEND_BUFFER_BYTES`` are queued for it. The side that dialled then reconnects with fresh state.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol, cast

from loguru import logger

from cranebank import background
from cranebank.transport.frames import BadFrame, Decoder, encode
from cranebank.transport.messages import LinkHeartbeat, Message

MAX_SEND_BUFFER_BYTES = 12 << 20  # one configuration of the largest size, and headroom
LINK_HEARTBEAT_INTERVAL_S = 0.4
LINK_TIMEOUT_S = 1.3  # three heartbeats: a dead link is detected well within the time that a drain has to take effect
DIAL_TIMEOUT_S = 0.35  # a machine without power never answers; a short time-out reconnects soon after it returns
REDIAL_BACKOFF_S = (0.05, 0.2)  # initial and longest pause


class Owner(Protocol):
    """Receives the callbacks of links."""

    def link_up(self, link: Link) -> None:
        """Called when a connection is established."""

    def link_message(self, link: Link, message: Message) -> None:
        """Called for each message received."""

    def link_down(self, link: Link) -> None:
        """Called when a connection has ended; no more messages follow."""


class Link(asyncio.Protocol):
    """One connection, dialled or accepted. ``peer`` is the other side's IP."""

    def __init__(self, owner: Owner, dialled: bool) -> None:
        self._owner, self.dialled = owner, dialled
        self._decoder = Decoder()
        self._transport: asyncio.Transport | None = None
        self.peer, self.up = "", False
        self.last_received_at = 0.0  # steady clock, seconds
        self._timer: asyncio.TimerHandle | None = None
        self.ended = asyncio.Event()  # set when the connection has ended, even if it was never up
        self.make_heartbeat: Callable[[], LinkHeartbeat] = LinkHeartbeat  # makes the heartbeats

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the heartbeats and notify the owner."""
        transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        address = transport.get_extra_info("peername")
        if address is None:  # reset before this callback ran: the owner is not notified
            transport.abort()
            return
        self._transport = transport
        self.peer, self.up = str(address[0]), True
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(LINK_TIMEOUT_S * 1000))
        loop = asyncio.get_running_loop()
        self.last_received_at = loop.time()
        self._timer = loop.call_later(LINK_HEARTBEAT_INTERVAL_S, self._send_heartbeat)
        self._owner.link_up(self)

    def data_received(self, data: bytes) -> None:
        """Decode frames and pass their messages to the owner."""
        if not self.up:
            return
        self.last_received_at = asyncio.get_running_loop().time()
        try:
            messages = self._decoder.feed(data)
        except BadFrame as error:
            logger.warning("link to {}: {}", self.peer, error)
            self.close()
            return
        for message in messages:
            if not self.up:
                return
            self._owner.link_message(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the owner if it knows of the link, and set ``ended``."""
        if self._timer is not None:
            self._timer.cancel()
        if self.up or self._transport is not None:
            self.up = False
            self._transport = None
            self._owner.link_down(self)
        self.ended.set()

    def send(self, message: Message) -> bool:
        """Queue a message; return False if the link is down."""
        return self.send_frame(encode(message))

    def send_frame(self, frame: bytes) -> bool:
        """Queue an encoded frame, which may be shared by many links; return False if the link is down."""
        if not self.up or self._transport is None:
            return False
        if self._transport.get_write_buffer_size() > MAX_SEND_BUFFER_BYTES:
            logger.warning("link to {}: send buffer full, closing: the peer does not read", self.peer)
            self.close()
            return False
        self._transport.write(frame)
        return True

    def abandon(self) -> None:
        """End a link whose dial has failed. If the connection came up in the same turn of the event loop, the loop
        closes it without calling ``connection_lost``; an owner that was told of the link must be told of its end."""
        self.close()
        self.connection_lost(None)

    def close(self) -> None:
        """Abort the connection. ``connection_lost`` runs in the next turn of the event loop, even if the loop has
        closed the connection already without calling it."""
        self.up = False
        if self._transport is not None:
            self._transport.abort()
            asyncio.get_running_loop().call_soon(self.connection_lost, None)

    def _send_heartbeat(self) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() - self.last_received_at > LINK_TIMEOUT_S:
            self.close()
            return
        self.send(self.make_heartbeat())
        self._timer = loop.call_later(LINK_HEARTBEAT_INTERVAL_S, self._send_heartbeat)


class Dialer:
    """Keeps one connection to an address open and redials it until stopped.

    It sleeps while its link is up; the end of the link wakes it, and a single timer starts the next attempt. After a
    lost link the pause is the initial one of ``REDIAL_BACKOFF_S``, plus the rest of that time if the link lasted less,
    so that a peer that accepts and closes at once is not redialled in a tight loop. After failed attempts the pause
    doubles up to the longest.
    """

    def __init__(self, owner: Owner, local_ip: str, ip: str, port: int) -> None:
        self._owner, self._local, self.ip, self._port = owner, local_ip, ip, port
        self.link: Link | None = None
        self._loop = asyncio.get_running_loop()
        self._task = background.start(self._run())

    def stop(self) -> None:
        """Close the connection and stop dialling."""
        self._task.cancel()
        if self.link is not None:
            self.link.close()

    async def _run(self) -> None:
        shortest, longest = REDIAL_BACKOFF_S
        pause = shortest
        while True:
            link = await self._dial()
            if link is None:
                await asyncio.sleep(pause)
                pause = min(2 * pause, longest)
                continue
            pause = shortest
            lasted = await self._wait_until_down(link)
            await asyncio.sleep(pause + max(0.0, shortest - lasted))

    async def _dial(self) -> Link | None:
        """Make one attempt; return None if it was refused or timed out."""
        try:
            return await dial(self._owner, self._local, self.ip, self._port)
        except OSError:  # TimeoutError is one
            return None
        except Exception as error:  # an unexpected error must not end the redialling
            background.report_unhandled(f"dial of {self.ip}", error)
            return None

    async def _wait_until_down(self, link: Link) -> float:
        """Wait until the link is down; return how long it was up, in seconds."""
        started_at = self._loop.time()
        self.link = link
        await link.ended.wait()
        self.link = None
        return self._loop.time() - started_at


async def dial(owner: Owner, local_ip: str, ip: str, port: int) -> Link:
    """Return an established link. Raises OSError if the dial fails or times out."""
    link = Link(owner, True)
    is_connected = False
    try:
        async with asyncio.timeout(DIAL_TIMEOUT_S):
            await asyncio.get_running_loop().create_connection(lambda: link, ip, port, local_addr=(local_ip, 0))
        is_connected = True
    finally:
        if not is_connected:
            link.abandon()
    return link


async def listen(owner: Owner, ip: str, port: int) -> asyncio.Server:
    """Return a server that accepts links."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: Link(owner, False), ip, port, reuse_address=True, backlog=512)
