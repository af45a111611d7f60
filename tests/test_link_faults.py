"""Faults of links between processes: resets, ends, damage and silence at every byte, and leftovers of old links."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

import pytest
import uvloop

from cranebank.control.delivery import Delivery
from cranebank.transport import links
from cranebank.transport.frames import BadFrame, Decoder, encode
from cranebank.transport.links import Dialer, Link, listen
from cranebank.transport.messages import ConfigAck, Hello, LinkHeartbeat, Message, Push, PushAck
from cranebank.transport.revision import Revision

HERE = "127.0.0.1"
SENT: tuple[Message, ...] = (Hello("p", "proxy", HERE, "z", 7), PushAck(3), ConfigAck(Revision(2)))
STREAM = b"".join(encode(message) for message in SENT)
ENDS = [sum(len(encode(message)) for message in SENT[: count + 1]) for count in range(len(SENT))]


def whole_within(count: int) -> tuple[Message, ...]:
    """Return the messages that are complete within the first ``count`` bytes."""
    return SENT[: sum(end <= count for end in ENDS)]


class Owner:
    """Records all callbacks, by link."""

    def __init__(self) -> None:
        self.up: list[Link] = []
        self.down: list[Link] = []
        self.heard: dict[Link, list[Message]] = {}
        self.closes_at: type[Message] | None = None

    def link_up(self, link: Link) -> None:
        """Record the link."""
        self.up.append(link)
        self.heard[link] = []

    def link_message(self, link: Link, message: Message) -> None:
        """Record the message; close the link if configured."""
        assert link not in self.down, "a message after the end of its link"
        if not isinstance(message, LinkHeartbeat):
            self.heard[link].append(message)
        if self.closes_at is not None and isinstance(message, self.closes_at):
            link.close()

    def link_down(self, link: Link) -> None:
        """Record the end."""
        self.down.append(link)


Scenario = Callable[[Owner, tuple[str, int]], Awaitable[None]]


def play(scenario: Scenario) -> Owner:
    """Run a scenario against a listener for links."""
    owner = Owner()

    async def run() -> None:
        server = await listen(owner, HERE, 0)
        try:
            async with asyncio.timeout(20):
                await scenario(owner, server.sockets[0].getsockname())
        finally:
            server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
    return owner


async def send(address: tuple[str, int], data: bytes, is_reset: bool) -> None:
    """Dial, send bytes, and end the connection."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, address)
        await loop.sock_sendall(sock, data)
        if is_reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds."""
    while not condition():
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("is_reset", [False, True], ids=["end", "reset"])
def test_a_stream_of_frames_that_ends_at_any_byte(is_reset: bool) -> None:
    """Only complete messages are delivered, in order; the next connection starts fresh and is a new link."""
    reached: Counter[int] = Counter()

    async def scenario(owner: Owner, address: tuple[str, int]) -> None:
        for count in range(len(STREAM) + 1):
            begun = len(owner.down)
            await send(address, STREAM[:count], is_reset)
            await send(address, STREAM, False)
            await until(lambda begun=begun: len(owner.down) >= begun + 1 and not set(owner.up) - set(owner.down))  # type: ignore[misc]
            *_, last = owner.up
            assert tuple(owner.heard[last]) == SENT
            for link in owner.up[:-1]:
                assert tuple(owner.heard[link]) == SENT[: len(owner.heard[link])]
                assert len(owner.heard[link]) <= len(whole_within(count))
                reached[len(owner.heard[link])] += 1
            owner.up.clear()
            owner.down.clear()

    play(scenario)
    assert all(reached[count] for count in range(len(SENT)))


def test_damage_at_any_byte_is_never_heard_as_another_message() -> None:
    found: Counter[str] = Counter()
    for place in range(len(STREAM)):
        for bit in range(8):
            damaged = bytearray(STREAM)
            damaged[place] ^= 1 << bit
            decoder, heard = Decoder(), list[Message]()
            try:
                for byte in damaged:
                    heard += decoder.feed(bytes([byte]))
            except BadFrame as error:
                found[error.code] += 1
            else:
                found["unfinished"] += 1
            assert tuple(heard) == SENT[: len(heard)] and len(heard) <= len(whole_within(place))
    assert all(found[code] for code in ("magic", "length", "checksum", "unfinished"))


def test_frames_behind_the_end_of_a_link_are_not_heard() -> None:
    """Three messages in one segment; the owner closes the link at the second."""

    async def scenario(owner: Owner, address: tuple[str, int]) -> None:
        owner.closes_at = PushAck
        await send(address, STREAM, False)
        await until(lambda: bool(owner.down))
        (heard,) = owner.heard.values()
        assert tuple(heard) == SENT[:2]

    play(scenario)


def test_a_silent_peer_is_given_up_at_any_byte_and_what_it_says_later_is_not_heard(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(links, "LINK_HEARTBEAT_INTERVAL_S", 0.01)
    monkeypatch.setattr(links, "LINK_TIMEOUT_S", 0.02)
    heard: Counter[int] = Counter()

    async def scenario(owner: Owner, address: tuple[str, int]) -> None:
        async def trial(count: int) -> None:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(STREAM[:count])
            with contextlib.suppress(ConnectionError):
                while await reader.read(65536):
                    pass
            with contextlib.suppress(ConnectionError):
                writer.write(STREAM[count:])
            writer.close()

        await asyncio.gather(*(trial(count) for count in range(len(STREAM))))
        await until(lambda: len(owner.down) == len(STREAM) == len(owner.up))
        for link in owner.up:
            assert tuple(owner.heard[link]) == SENT[: len(owner.heard[link])]
            heard[len(owner.heard[link])] += 1

    play(scenario)
    assert heard == Counter(len(whole_within(count)) for count in range(len(STREAM)))


def test_whoever_dialled_dials_again_after_a_reset_at_any_byte() -> None:
    """A controller resets its link in the middle of a push: the proxy's next link is a new one that starts fresh."""
    pushes = b"".join(encode(Push(number, ())) for number in (1, 2))

    async def run() -> None:
        owner, loop = Owner(), asyncio.get_running_loop()
        cuts = iter(range(1, len(pushes), 3))
        served: list[int] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            cut = next(cuts, 0)
            served.append(cut)
            writer.write(pushes[:cut] if cut else pushes)
            if cut:
                sock = writer.get_extra_info("socket")
                loop.call_later(0.002, sock.setsockopt, socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                loop.call_later(0.003, writer.transport.abort)

        server = await asyncio.start_server(serve, HERE, 0)
        dialer = Dialer(owner, HERE, HERE, server.sockets[0].getsockname()[1])
        async with asyncio.timeout(20):
            await until(lambda: bool(owner.up) and len(owner.heard[owner.up[-1]]) == 2 and 0 in served)
        assert len(owner.up) == len(served) and owner.down == owner.up[:-1]
        for link, cut in zip(owner.up, served, strict=True):
            numbers = [message.number for message in owner.heard[link] if isinstance(message, Push)]
            assert numbers == [1, 2][: len(numbers)] and (not cut or len(numbers) < 2)
        dialer.stop()
        server.close()

    with pytest.MonkeyPatch.context() as patch, asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        patch.setattr(links, "REDIAL_BACKOFF_S", (0.001, 0.001))
        runner.run(run())


def test_an_acknowledgement_of_an_older_connection_does_not_count_for_the_newer() -> None:
    """A proxy redials; pushes are numbered from one on each connection, so their numbers collide."""
    delivery = Delivery("c", Random(1), lambda now, revision: True)
    older, newer = object(), object()
    assert delivery.join(0.0, older, "p", HERE, True, 0, ()) is None
    delivery.push_backends(())
    assert delivery.join(0.0, newer, "p", HERE, True, 0, ()) is older
    pending = delivery.push_backends(())
    delivery.acknowledged(older, 2)
    assert not pending.done
    delivery.observe_revision(older, 99)
    delivery.acknowledged(newer, 1)
    assert not pending.done
    delivery.acknowledged(newer, 2)
    assert pending.done


class SlowOwner(Owner):
    """Blocks at its first dialled link for longer than a dial may last, so that the dial times out in the same turn."""

    def link_up(self, link: Link) -> None:
        super().link_up(link)
        if link.dialled and sum(one.dialled for one in self.up) == 1:
            begun = time.monotonic()
            while time.monotonic() < begun + 2 * SHORT_DIAL_S:
                pass


SHORT_DIAL_S = 0.05


@pytest.mark.parametrize("stops", [False, True], ids=["goes on", "is stopped"])
def test_a_dial_that_is_given_up_as_the_connection_comes_up(stops: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """The event loop closes such a connection without a callback. Its owner then took the link for one that is up, and
    sending to all links failed at it with an error."""
    monkeypatch.setattr(links, "DIAL_TIMEOUT_S", SHORT_DIAL_S)
    owner = SlowOwner()

    async def run() -> None:
        server = await listen(owner, HERE, 0)
        dialer = Dialer(owner, HERE, *server.sockets[0].getsockname())
        async with asyncio.timeout(20):
            await until(lambda: any(link.dialled for link in owner.up))
            first = next(link for link in owner.up if link.dialled)
            if stops:
                dialer.stop()
            await until(lambda: first in owner.down)
            assert not first.up
            assert not first.send(PushAck(1))
            if not stops:
                await until(lambda: dialer.link is not None and dialer.link.up)
                assert dialer.link is not first
        dialer.stop()
        server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
    assert len(owner.down) == len(set(owner.down))


def test_a_link_that_the_loop_has_closed_in_silence_ends_when_it_is_closed() -> None:
    """Neither the owner nor the dialer may wait for an end that the event loop never reports."""

    class SilentTransport(asyncio.Transport):
        def abort(self) -> None:
            """Do nothing: it is closed already, and no callback follows."""

    async def scenario() -> None:
        owner = Owner()
        link = Link(owner, True)
        link._transport, link.up = SilentTransport(), True
        link.close()
        await asyncio.wait_for(link.ended.wait(), 1)
        assert owner.down == [link]

    asyncio.run(scenario())
