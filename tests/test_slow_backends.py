"""Backends that read a long request late, and backends whose machine is gone: only the latter end a call early."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import Any, cast

import pytest
import uvloop
from test_call_faults import Address, Record, ScriptedBackend, answer, ask, body_of, event, request, run_scenario

from cranebank.dataplane.backend_pool import Pool
from cranebank.dataplane.evidence import SendEvidence
from cranebank.dataplane.proxy import Proxy
from cranebank.transport.messages import Backend
from cranebank.transport.send_watch import (
    LOOK_INTERVAL_S,
    NOTICE_S,
    PEER_SILENCE_S,
    RENEWAL_S,
    SendGuard,
    SendState,
    SendWatch,
)
from cranebank.transport.tcp_info import TcpInfo, read_tcp_info, unacknowledged_bytes

LONG_BODY_BYTES = 1_000_000  # more than a receive buffer of the kernel's usual size
READS_AFTER_S = 2.5  # more than twice TCP_USER_TIMEOUT
EVENT_INTERVAL_S = 0.1
SO_ATTACH_FILTER = 26  # of Linux
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)  # one instruction of a socket filter: BPF_RET | BPF_K, 0 bytes
SLACK_S = 1.0  # for a busy machine
SMALL_BUFFER_BYTES = 64 << 10  # of a socket
PAUSE_S = 0.1  # without data, after which a reader has got all that the sender's kernel held
ANSWER_TIMEOUT_S = 3 * READS_AFTER_S


class AnswerListener:
    """The listener of one call. ``has_answer`` becomes true once the answer is complete, false if it is lost."""

    def __init__(self) -> None:
        self.has_answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def leg_head(self, leg: int, status: int, headers: dict[str, str]) -> None:
        """The head has arrived."""

    def leg_data(self, leg: int, data: bytes) -> None:
        """Part of the body has arrived."""

    def leg_end(self, leg: int, by_close: bool) -> None:
        """The answer is complete."""
        self.has_answer.set_result(True)

    def leg_failed(self, leg: int, evidence: SendEvidence) -> None:
        """No complete answer will arrive."""
        self.has_answer.set_result(False)


def long_request(attempt: str) -> bytes:
    """A request with a long body on a route whose requests may run once."""
    body = b"x" * LONG_BODY_BYTES
    return request(attempt).replace(b"Content-Length: 2", b"Content-Length: %d" % len(body))[:-2] + body


def drop_all_packets(sock: Any) -> None:
    """Make the kernel drop what arrives for a socket, unacknowledged, as if its machine had lost power."""
    program = ctypes.create_string_buffer(DROP_ALL)
    own = socket.socket(fileno=socket.dup(sock.fileno()))
    try:
        own.setsockopt(
            socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HL", len(DROP_ALL) // 8, ctypes.addressof(program))
        )
    finally:
        own.close()


class LateReader:
    """Methods of a backend that stops reading at the first bytes of a request."""

    def __init__(self, streams_at_once: bool) -> None:
        self._streams_at_once = streams_at_once
        self._received = 0

    def data_received(self, backend: ScriptedBackend, data: bytes) -> None:
        """Part of a request."""
        loop = asyncio.get_running_loop()
        if not self._received:
            backend.transport.pause_reading()
            loop.call_later(READS_AFTER_S, backend.transport.resume_reading)
            if self._streams_at_once:
                backend.transport.write(answer("late").partition(b"\r\n\r\n")[0] + b"\r\n\r\n")
                self._stream(backend, 1)
        self._received += len(data)
        if self._received >= LONG_BODY_BYTES and not self._streams_at_once:
            backend.transport.write(answer("late"))

    def _stream(self, backend: ScriptedBackend, number: int) -> None:
        """Send an empty comment at a time, and the events once the body has been read."""
        is_read = self._received >= LONG_BODY_BYTES
        part = body_of("late") if is_read else b": still here\n"
        backend.transport.write(b"%x\r\n%b\r\n%b" % (len(part), part, b"0\r\n\r\n" if is_read else b""))
        if not is_read:
            asyncio.get_running_loop().call_later(EVENT_INTERVAL_S, self._stream, backend, number + 1)


@pytest.mark.parametrize("streams_at_once", [True, False], ids=["answers first", "reads first"])
def test_a_backend_that_reads_a_long_body_late_is_waited_for(
    monkeypatch: pytest.MonkeyPatch, streams_at_once: bool
) -> None:
    """Guards against calls that end because a backend, which is up, keeps its receive window closed for a second."""
    reader = LateReader(streams_at_once)

    def data_received(backend: ScriptedBackend, data: bytes) -> None:
        reader.data_received(backend, data)

    monkeypatch.setattr(ScriptedBackend, "data_received", data_received)

    async def scenario(proxy: Proxy, address: Address, record: Record) -> None:
        (found,) = await ask(address, long_request("late"))
        assert found.status == 200 and found.is_whole and found.body.endswith(event("late", 1) + event("late", 2))
        assert proxy.counters["sends_stalled"] == 1
        assert not any(name.startswith("calls_lost") for name in proxy.counters)

    run_scenario(monkeypatch, scenario, backends=1)


@pytest.mark.parametrize("stalls_first", [False, True], ids=["window open", "window closed"])
def test_a_backend_whose_machine_is_gone_is_noticed(monkeypatch: pytest.MonkeyPatch, stalls_first: bool) -> None:
    """Guards against waiting for a backend that is gone, as if it were slow to read."""
    backends: list[ScriptedBackend] = []

    def connection_made(backend: ScriptedBackend, transport: asyncio.BaseTransport) -> None:
        backend.transport = cast(asyncio.Transport, transport)
        backends.append(backend)
        if not stalls_first:
            drop_all_packets(transport.get_extra_info("socket"))

    monkeypatch.setattr(ScriptedBackend, "connection_made", connection_made)
    monkeypatch.setattr(ScriptedBackend, "data_received", lambda backend, data: backend.transport.pause_reading())

    async def scenario(proxy: Proxy, address: Address, record: Record) -> None:
        loop = asyncio.get_running_loop()
        asked = asyncio.create_task(ask(address, long_request("gone")))
        gone_at = loop.time()
        if stalls_first:
            while not proxy.counters.get("sends_stalled") or loop.time() - gone_at < 2 * PEER_SILENCE_S:
                await asyncio.sleep(LOOK_INTERVAL_S)
            assert not asked.done()
            gone_at = loop.time()
            drop_all_packets(backends[0].transport.get_extra_info("socket"))
        (found,) = await asked
        assert found.status == 502
        assert proxy.counters["calls_lost_timed_out"] == 1
        assert loop.time() - gone_at < NOTICE_S + SLACK_S

    run_scenario(monkeypatch, scenario, backends=1)


class HaltingReader(threading.Thread):
    """A backend that reads what has been sent to it so far, stops reading for a while, then reads on and answers."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self._listening = socket.create_server(("127.0.0.1", 0))
        self._listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.address = "{}:{}".format(*self._listening.getsockname())
        self.has_stopped = threading.Event()

    def run(self) -> None:
        """Serve one connection."""
        connection, _ = self._listening.accept()
        with self._listening, connection:
            connection.settimeout(PAUSE_S)
            left = LONG_BODY_BYTES
            with contextlib.suppress(TimeoutError):
                while True:
                    left -= len(connection.recv(SMALL_BUFFER_BYTES))
            self.has_stopped.set()
            time.sleep(READS_AFTER_S)
            while left > 0 and (data := connection.recv(SMALL_BUFFER_BYTES)):
                left -= len(data)
            if not left:
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Attempt-Id: a\r\n\r\nhi")


@pytest.mark.parametrize("loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_a_request_of_which_the_kernel_holds_nothing_for_a_moment_is_still_looked_at(
    loop_factory: type[asyncio.AbstractEventLoop],
) -> None:
    """Guards against a late reader that is given up because, at one look, the rest of the request was in this process
    alone."""

    async def run() -> None:
        reader = HaltingReader()
        reader.start()
        pool = Pool({})
        connection = await pool.dial(Backend("d0", "svc", reader.address, "z", "decode", 4, "ready", 1))
        transport = cast(asyncio.Transport, connection.transport)
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        listener = AnswerListener()
        connection.call(listener, 1, "a", b"x" * LONG_BODY_BYTES)
        stalled = asyncio.Event()

        def stall() -> None:
            """Stop the event loop until the kernel has sent all that it holds and the next look is due."""
            asyncio.get_running_loop().remove_reader(readable)
            assert reader.has_stopped.wait(ANSWER_TIMEOUT_S)
            time.sleep(LOOK_INTERVAL_S)
            assert transport.get_write_buffer_size() and not unacknowledged_bytes(transport.get_extra_info("socket"))
            stalled.set()

        readable, writable = socket.socketpair()
        with readable, writable:
            asyncio.get_running_loop().add_reader(readable, stall)
            writable.send(b"x")
            async with asyncio.timeout(2 * ANSWER_TIMEOUT_S):
                await stalled.wait()
                assert await listener.has_answer
        connection.abort()

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(run())


# The decision by itself.

OPEN_WINDOW = TcpInfo(segments_in_flight=2, segments_received=5, unsent_bytes=0, window_bytes=60_000)
CLOSED_WINDOW = TcpInfo(segments_in_flight=0, segments_received=5, unsent_bytes=9_000, window_bytes=0)
ACKNOWLEDGED = TcpInfo(segments_in_flight=0, segments_received=9, unsent_bytes=0, window_bytes=60_000)


def heard(info: TcpInfo, segments: int) -> TcpInfo:
    """The same state after more segments of the peer."""
    return info._replace(segments_received=info.segments_received + segments)


def looks(watch: SendWatch, info: Callable[[int], TcpInfo], seconds: float) -> list[SendState]:
    """What a watch finds at each look over some seconds; ``info`` gives the kernel's state at the look's number."""
    return [watch.look(number * LOOK_INTERVAL_S, info(number)) for number in range(int(seconds / LOOK_INTERVAL_S))]


def test_a_silent_peer_with_an_open_window_gets_no_more_time() -> None:
    """Guards against a longer wait for peers that are gone before they have acknowledged a request."""
    assert set(looks(SendWatch(), lambda _: OPEN_WINDOW, 10.0)) == {SendState.UNDER_WAY}


def test_a_peer_that_answers_window_probes_is_waited_for() -> None:
    """Guards against a limit on how long a peer may be slow to read; it answers one probe a second."""
    watch = SendWatch()
    found = looks(watch, lambda number: heard(CLOSED_WINDOW, number // 4), 60.0)
    assert set(found) == {SendState.STALLED}
    assert watch.timeout_s(60.0) == 60.0 + RENEWAL_S
    assert watch.look(60.0, ACKNOWLEDGED) is SendState.ACKNOWLEDGED


@pytest.mark.parametrize("then", [CLOSED_WINDOW, OPEN_WINDOW], ids=["window stays closed", "window opens"])
def test_a_peer_that_falls_silent_after_a_stall_is_gone(then: TcpInfo) -> None:
    """Guards against a connection to a lost machine that lasts as long as an earlier stall did."""
    watch, stall_s = SendWatch(), 8.0
    stalled = int(stall_s / LOOK_INTERVAL_S)

    def info(number: int) -> TcpInfo:
        return heard(CLOSED_WINDOW, number) if number < stalled else heard(then, stalled)

    found = looks(watch, info, stall_s + NOTICE_S + LOOK_INTERVAL_S)
    assert SendState.GONE not in found[:stalled] and found[-1] is SendState.GONE
    last_renewal = len(found) - found[::-1].index(SendState.STALLED) - 1
    assert (last_renewal - stalled) * LOOK_INTERVAL_S + RENEWAL_S <= NOTICE_S


def test_a_kernel_that_counts_no_segments_leaves_the_timeout_as_it_is() -> None:
    """Guards against taking fields that a kernel doesn't fill in for a peer's closed window."""

    class Unfilled:
        def __init__(self) -> None:
            self.timeouts: list[int] = []

        def getsockopt(self, _level: int, _option: int, size: int) -> bytes:
            return bytes(size)

        def setsockopt(self, _level: int, _option: int, value: int) -> None:
            self.timeouts.append(value)

    sock = Unfilled()
    guard = SendGuard(sock, 1000)
    assert read_tcp_info(sock) is None
    assert guard.look(1.0) is SendState.ACKNOWLEDGED and not guard.has_stalled
    assert sock.timeouts == [1000]


def test_the_kernel_reports_what_a_peer_leaves_unread() -> None:
    """Guards against wrong offsets in the kernel's structure."""
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()) as sender:
        receiver, _ = server.accept()
        with receiver:
            assert cast(TcpInfo, read_tcp_info(sender)).is_all_acknowledged
            sender.setblocking(False)
            sent = sender.send(b"x" * LONG_BODY_BYTES)
            info = cast(TcpInfo, read_tcp_info(sender))
            assert 0 < info.unsent_bytes <= unacknowledged_bytes(sender) <= sent
            assert not info.is_all_acknowledged and info.segments_received
