"""Held connections: thin asyncio ends that carry messages and notice silence.

What belongs to one connection is known by its ``Link``: an owner keys its state by that object, and hears nothing of a
link that is over, so nothing of an older connection can pass for the newer one's. A peer's next life says another
``Hello.life``.

A link is given up when nothing came for ``LINK_TIMEOUT_S``, when its frames are damaged, or when its peer does not read
and more than ``BACKLOG`` bytes wait for it: whoever dialled it dials again and gets a fresh state instead.
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

BACKLOG = 12 << 20  # bytes that wait for a peer: one configuration of the largest size, and room
LINK_HEARTBEAT_INTERVAL_S = 0.4
LINK_TIMEOUT_S = 1.3  # three pulses: a link is noticed dead well within the time that a drain has to bind
DIAL_TIMEOUT_S = 0.35  # a machine without power says nothing: one that comes back is not waited on for long
REDIAL_BACKOFF_S = (0.05, 0.2)  # first pause and longest


class Owner(Protocol):
    """Who hears of links."""

    def link_up(self, link: Link) -> None:
        """A connection stands."""

    def link_message(self, link: Link, message: Message) -> None:
        """A message came."""

    def link_down(self, link: Link) -> None:
        """It is over; no more messages come."""


class Link(asyncio.Protocol):
    """One connection, dialled or accepted. ``peer`` is the other side's IP."""

    def __init__(self, owner: Owner, dialled: bool) -> None:
        self._owner, self.dialled = owner, dialled
        self._decoder = Decoder()
        self._transport: asyncio.Transport | None = None
        self.peer, self.up = "", False
        self.last_received_at = 0.0  # steady clock, seconds
        self._timer: asyncio.TimerHandle | None = None
        self.ended = asyncio.Event()  # set once the connection is over, also one that was over before it was up
        self.make_heartbeat: Callable[[], LinkHeartbeat] = LinkHeartbeat  # makes the heartbeats

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection stands."""
        transport = cast(asyncio.Transport, transport)  # uvloop's is none by inheritance
        address = transport.get_extra_info("peername")
        if address is None:  # it was reset before we came to look at it: nobody hears of it
            transport.abort()
            return
        self._transport = transport
        self.peer, self.up = str(address[0]), True
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(LINK_TIMEOUT_S * 1000))
        loop = asyncio.get_running_loop()
        self.last_received_at = loop.time()
        self._timer = loop.call_later(LINK_HEARTBEAT_INTERVAL_S, self._beat)
        self._owner.link_up(self)

    def data_received(self, data: bytes) -> None:
        """Bytes of frames."""
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
        """The connection is over."""
        if self._timer is not None:
            self._timer.cancel()
        if self.up or self._transport is not None:
            self.up = False
            self._transport = None
            self._owner.link_down(self)
        self.ended.set()

    def send(self, message: Message) -> bool:
        """Whether it was taken; a link that is over takes nothing."""
        return self.send_frame(encode(message))

    def send_frame(self, frame: bytes) -> bool:
        """Send an encoded frame, the same for many links."""
        if not self.up or self._transport is None:
            return False
        if self._transport.get_write_buffer_size() > BACKLOG:
            logger.warning("link to {}: it does not read", self.peer)
            self.close()
            return False
        self._transport.write(frame)
        return True

    def abandon(self) -> None:
        """The dial was given up. Where the connection came up in the same turn of the loop, the loop closes it and
        tells nobody: whoever heard that it is up must hear that it is over."""
        self.close()
        self.connection_lost(None)

    def close(self) -> None:
        """End it now. Whoever waits for its end hears of it in the next turn, also where the event loop has closed the
        connection already and told nobody."""
        self.up = False
        if self._transport is not None:
            self._transport.abort()
            asyncio.get_running_loop().call_soon(self.connection_lost, None)

    def _beat(self) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() - self.last_received_at > LINK_TIMEOUT_S:
            self.close()
            return
        self.send(self.make_heartbeat())
        self._timer = loop.call_later(LINK_HEARTBEAT_INTERVAL_S, self._beat)


class Dialer:
    """Keeps one held connection to an address, dialling again for as long as it is wanted.

    It sleeps while its link stands: the end of the link wakes it, and one timer brings the next attempt. After a link
    that was lost this is the first pause of ``REDIAL_BACKOFF_S``; a link that did not even last that long is paid for
    with the rest of it, so that a peer that accepts and closes at once is not dialled without end. After attempts that
    came to nothing the pauses double, up to the longest.
    """

    def __init__(self, owner: Owner, local_ip: str, ip: str, port: int) -> None:
        self._owner, self._local, self.ip, self._port = owner, local_ip, ip, port
        self.link: Link | None = None
        self._loop = asyncio.get_running_loop()
        self._task = background.start(self._run())

    def stop(self) -> None:
        """End the connection, and dial no more."""
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
            lasted = await self._hold(link)
            await asyncio.sleep(pause + max(0.0, shortest - lasted))

    async def _dial(self) -> Link | None:
        """One attempt; None when it was refused or nothing answered in time."""
        try:
            return await dial(self._owner, self._local, self.ip, self._port)
        except OSError:  # TimeoutError is one
            return None
        except Exception as error:  # whatever it is, this peer is dialled on
            background.report_unhandled(f"dial of {self.ip}", error)
            return None

    async def _hold(self, link: Link) -> float:
        """Wait until the link is over; for how long it stood."""
        begun = self._loop.time()
        self.link = link
        await link.ended.wait()
        self.link = None
        return self._loop.time() - begun


async def dial(owner: Owner, local_ip: str, ip: str, port: int) -> Link:
    """A link that stands. Raises OSError where it doesn't in time."""
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
    """Accept links."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: Link(owner, False), ip, port, reuse_address=True, backlog=512)
