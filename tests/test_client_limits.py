"""Connections of clients under an injected clock: the limits in force, idle connections, and bytes that arrive
early."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, cast

import pytest

from cranebank.dataplane.client_request import ClientRequest
from cranebank.dataplane.front import LINGER_S, SWEEP_INTERVAL_S, ClientConnection, Front, Handler
from cranebank.dataplane.routes import ClientLimits

LIMITS = ClientLimits(header_bytes=400, body_bytes=100, header_read_ms=3_000, idle_ms=15_000)
REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: t1\r\nContent-Length: 2\r\n\r\nhi"


class ManualLoop(asyncio.SelectorEventLoop):
    """A loop whose clock moves only when a test advances it."""

    def __init__(self) -> None:
        self.now = 1000.0
        super().__init__()

    def time(self) -> float:
        """The injected time."""
        return self.now

    async def advance(self, seconds: float) -> None:
        """Advance the clock, running every sweep at its time."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + SWEEP_INTERVAL_S)
            await asyncio.sleep(0)
            await asyncio.sleep(0)


class FakeTransport:
    """Records what is written. Its socket is one end of a pair, so that unread bytes can be placed there."""

    def __init__(self) -> None:
        self.socket, self.peer = socket.socketpair()
        self.written = b""
        self.buffered = 0
        self.closed = self.paused = False

    def get_extra_info(self, _: str) -> Any:
        """The socket, without the option that only TCP has."""
        return self

    def setsockopt(self, *_: object) -> None:
        """Do nothing."""

    def fileno(self) -> int:
        """The descriptor of the socket."""
        return self.socket.fileno()

    def set_write_buffer_limits(self, high: int) -> None:
        """Do nothing."""

    def get_write_buffer_size(self) -> int:
        """Bytes that have not been sent."""
        return self.buffered

    def write(self, data: bytes) -> None:
        """Record the data."""
        self.written += data

    def write_eof(self) -> None:
        """Do nothing."""

    def is_closing(self) -> bool:
        """Whether the transport was closed."""
        return self.closed

    def close(self) -> None:
        """Close the transport."""
        self.closed = True

    abort = close

    def pause_reading(self) -> None:
        """Pause reading."""
        self.paused = True

    def resume_reading(self) -> None:
        """Resume reading."""
        self.paused = False


@dataclass
class Recorder(Handler):
    """A handler that records requests and answers none."""

    requests: list[ClientRequest] = field(default_factory=list)

    def begin(self, client: ClientConnection, request: ClientRequest) -> None:
        """Record the request."""
        self.requests.append(request)


class Scene:
    """A front with one client on a fake transport."""

    def __init__(self, loop: ManualLoop) -> None:
        self.loop, self.limits, self.handler = loop, LIMITS, Recorder()
        self.front = Front(self.handler, lambda: self.limits)
        self.client = self.front()
        self.transport = FakeTransport()
        self.client.connection_made(cast(asyncio.BaseTransport, self.transport))

    def answer(self, headers: dict[str, str] | None = None, body: bytes = b"ok") -> None:
        """Answer the open request completely."""
        head = self.client.head(200, {"content-length": "2", **(headers or {})})
        self.client.write(head + self.client.frame(body) + self.client.tail())
        self.client.finish()

    def ask(self) -> None:
        """Send a complete request and answer it at once."""
        self.client.data_received(REQUEST)
        self.answer()

    @property
    def status(self) -> bytes:
        """The status of the last answer."""
        return self.transport.written.rpartition(b"HTTP/1.1 ")[2][:3]


@pytest.fixture
def loop() -> Iterator[ManualLoop]:
    manual_loop = ManualLoop()
    yield manual_loop
    manual_loop.close()


def run_scenario(loop: ManualLoop, scenario: Callable[[Scene], Awaitable[None]]) -> None:
    """Run a test on the injected clock."""

    async def run() -> None:
        scene = Scene(loop)
        try:
            await scenario(scene)
        finally:
            scene.transport.socket.close()
            scene.transport.peer.close()

    loop.run_until_complete(run())


def test_idle_time_counts_from_the_last_byte_of_the_answer(loop: ManualLoop) -> None:
    async def scenario(scene: Scene) -> None:
        await scene.loop.advance(10)
        scene.client.data_received(REQUEST)
        await scene.loop.advance(40)  # a connection with an open request is not idle
        scene.answer()
        for _ in range(3):
            await scene.loop.advance(0.8 * 15)
            assert not scene.transport.closed
            scene.ask()
        assert len(scene.handler.requests) == 4
        await scene.loop.advance(14.75)
        assert not scene.transport.closed
        await scene.loop.advance(0.75)
        assert scene.transport.closed

    run_scenario(loop, scenario)


@pytest.mark.parametrize(
    ("line", "version", "is_kept"),
    [
        ("Connection: close", "1.1", False),
        ("Connection: keep-alive", "1.1", True),
        ("X: y", "1.1", True),
        ("Connection: keep-alive", "1.0", False),
        ("X: y", "1.0", False),
    ],
)
def test_a_client_that_asks_for_a_close_gets_one(loop: ManualLoop, line: str, version: str, is_kept: bool) -> None:
    """Guards against a client that waits for the end of its connection until that has been idle for too long."""

    async def scenario(scene: Scene) -> None:
        sent = REQUEST.replace(b"HTTP/1.1", f"HTTP/{version}".encode())
        scene.client.data_received(sent.replace(b"Host: h", f"Host: h\r\n{line}".encode()))
        scene.answer()
        assert (b"connection: close" not in scene.transport.written) is is_kept
        await scene.loop.advance(LINGER_S + SWEEP_INTERVAL_S)
        assert scene.transport.closed is not is_kept

    run_scenario(loop, scenario)


def test_idle_time_does_not_count_while_the_answer_is_being_sent(loop: ManualLoop) -> None:
    """A client that read slowly lost its connection just after it had received its answer."""

    async def scenario(scene: Scene) -> None:
        scene.ask()
        scene.transport.buffered = 1
        await scene.loop.advance(30)
        assert not scene.transport.closed
        scene.transport.buffered = 0
        await scene.loop.advance(14.5)
        assert not scene.transport.closed
        await scene.loop.advance(1)
        assert scene.transport.closed

    run_scenario(loop, scenario)


@pytest.mark.parametrize(("idle_ms", "closed_after"), [(5_000, 5.25), (60_000, 60.25)])
def test_a_configurations_limits_apply_to_open_connections(
    loop: ManualLoop, idle_ms: float, closed_after: float
) -> None:
    async def scenario(scene: Scene) -> None:
        scene.ask()
        scene.limits = ClientLimits(idle_ms=idle_ms)
        await scene.loop.advance(closed_after - 0.5)
        assert not scene.transport.closed
        await scene.loop.advance(0.75)
        assert scene.transport.closed

    run_scenario(loop, scenario)


def test_lower_bounds_on_bytes_apply_to_open_connections(loop: ManualLoop) -> None:
    async def scenario(scene: Scene) -> None:
        scene.ask()
        scene.limits = ClientLimits(header_bytes=400, body_bytes=1)
        scene.client.data_received(REQUEST)
        assert scene.status == b"413" and len(scene.handler.requests) == 1

    run_scenario(loop, scenario)


def test_a_backends_keep_alive_field_is_not_passed_on(loop: ManualLoop) -> None:
    async def scenario(scene: Scene) -> None:
        scene.client.data_received(REQUEST)
        scene.answer({"keep-alive": "timeout=1", "connection": "keep-alive"})
        assert b"keep-alive" not in scene.transport.written.lower()

    run_scenario(loop, scenario)


@pytest.mark.parametrize("dismissed", [False, True])
def test_an_idle_connection_with_unread_bytes_is_not_closed(loop: ManualLoop, dismissed: bool) -> None:
    """A resumed process closed connections on which requests had arrived meanwhile."""

    async def scenario(scene: Scene) -> None:
        scene.ask()
        scene.transport.peer.send(REQUEST[:1])
        if dismissed:
            scene.front.close_idle()
        else:
            await scene.loop.advance(60)
        assert not scene.transport.closed
        scene.client.data_received(scene.transport.socket.recv(1))
        scene.front.close_idle()
        await scene.loop.advance(2)
        assert not scene.transport.closed
        scene.client.data_received(REQUEST[1:])
        assert len(scene.handler.requests) == 2

    run_scenario(loop, scenario)


def test_a_slow_request_gets_408_at_any_byte(loop: ManualLoop) -> None:
    async def scenario(scene: Scene) -> None:
        for cut in range(1, len(REQUEST)):
            scene = Scene(scene.loop)
            scene.client.data_received(REQUEST[:cut])
            await scene.loop.advance(2.75)
            assert not scene.transport.written, cut
            await scene.loop.advance(1)
            assert scene.status == b"408" and b"connection: close" in scene.transport.written, cut
            scene.client.data_received(REQUEST[cut:])
            assert not scene.handler.requests, "a refused request never runs"

    run_scenario(loop, scenario)


@pytest.mark.parametrize(
    ("parts", "status"),
    [
        ([b"POST /", *[b"x" * 50] * 9], b"431"),
        ([b"POST /x HTTP/1.1\r\nX-Long: ", *[b"x" * 50] * 9], b"431"),  # neither the field nor the head ever ends
        ([b"POST /x HTTP/1.1\r\n", *[b"X-Many: %d\r\n" % n for n in range(50)]], b"431"),
        ([b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n"], b"413"),
        (
            [
                b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
                *[b"32\r\n%b\r\n" % (b"x" * 50)] * 3,
            ],
            b"413",
        ),
    ],
)
def test_byte_limits_apply_before_a_request_is_complete(loop: ManualLoop, parts: list[bytes], status: bytes) -> None:
    """A field without end was buffered without limit, as the parser reports only complete fields."""

    async def scenario(scene: Scene) -> None:
        for part in parts:
            scene.client.data_received(part)
        assert scene.status == status and not scene.handler.requests
        assert b"connection: close" in scene.transport.written

    run_scenario(loop, scenario)


def test_a_request_of_exactly_the_allowed_size_is_accepted(loop: ManualLoop) -> None:
    async def scenario(scene: Scene) -> None:
        head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\nX-Fill: "
        head += b"x" * (LIMITS.header_bytes - len(head) - 4) + b"\r\n\r\n"
        for request in (head + b"b" * 100, *[bytes([byte]) for byte in head + b"b" * 100]):
            scene.client.data_received(request)
            if scene.client.open:
                scene.answer()
        assert len(scene.handler.requests) == 2

    run_scenario(loop, scenario)


def test_bytes_of_the_next_request_stay_in_order_behind_an_answer(loop: ManualLoop) -> None:
    """Bytes that arrived between an answer and the loop's next iteration were parsed before earlier ones, and the
    connection could be closed in between."""

    async def scenario(scene: Scene) -> None:
        for cut in range(1, len(REQUEST)):
            scene.client.data_received(REQUEST)
            scene.client.data_received(REQUEST[:cut])
            scene.answer()
            scene.front.close_idle()
            scene.client.data_received(REQUEST[cut:])
            await asyncio.sleep(0)
            assert scene.client.open and not scene.transport.closed, cut
            scene.answer()
        assert len(scene.handler.requests) == 2 * (len(REQUEST) - 1)
        assert all(request.body == b"hi" for request in scene.handler.requests)

    run_scenario(loop, scenario)


def test_trailer_fields_are_not_fields_of_the_request(loop: ManualLoop) -> None:
    """A trailer field could change the deadline or the id of its request."""

    async def scenario(scene: Scene) -> None:
        scene.client.data_received(
            b"POST /x HTTP/1.1\r\nHost: h\r\nX-Deadline-Left: 900\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nhi\r\n0\r\nX-Deadline-Left: 1\r\nX-Attempt-Id: other\r\n\r\n"
        )
        (request,) = scene.handler.requests
        assert request.body == b"hi" and request.fields["x-deadline-left"] == "900"
        assert "x-attempt-id" not in request.fields and len(request.headers) == 2

    run_scenario(loop, scenario)


def test_the_answer_to_a_head_has_no_body(loop: ManualLoop) -> None:
    async def scenario(scene: Scene) -> None:
        scene.client.data_received(b"HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n")
        scene.answer({"content-length": "900"}, b"")
        assert scene.transport.written.endswith(b"\r\n\r\n") and not scene.transport.closed
        scene.client.data_received(REQUEST)
        scene.answer()
        assert scene.transport.written.endswith(b"\r\n\r\nok")

    run_scenario(loop, scenario)
