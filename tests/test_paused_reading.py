"""Connections to backends whose reading is paused, as a client reads slowly, at the end of their answer."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest
import uvloop

from cranebank.dataplane import backend_pool
from cranebank.dataplane.backend_connections import Connection
from cranebank.dataplane.backend_pool import Pool
from cranebank.dataplane.evidence import SendEvidence
from cranebank.transport.messages import Backend

ANSWER_TIMEOUT_S = 5.0
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Attempt-Id: a\r\n\r\nhi"


class PausingListener:
    """Pauses reading at the first bytes of a body, as an open request does once its client's buffer is full."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self.ended = asyncio.Event()

    def leg_head(self, leg: int, status: int, headers: dict[str, str]) -> None:
        """The head has arrived."""

    def leg_data(self, leg: int, data: bytes) -> None:
        """The client's buffer is full."""
        self._connection.pause(True)

    def leg_end(self, leg: int, by_close: bool) -> None:
        """The answer is complete. The client has still to read it, so nothing resumes reading."""
        self.ended.set()

    def leg_failed(self, leg: int, evidence: SendEvidence) -> None:
        """No complete answer will arrive."""
        raise AssertionError("the backend is sound")


class AnsweringBackend(asyncio.Protocol):
    """Answers each request at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The proxy has connected."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """One request, which fits into one read."""
        self._transport.write(ANSWER)


@pytest.mark.parametrize("loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_a_kept_connection_reads_the_answer_to_its_next_request(
    monkeypatch: pytest.MonkeyPatch, loop_factory: type[asyncio.AbstractEventLoop]
) -> None:
    """Guards against a kept connection that is never read, so that a request which has run gets no answer."""
    monkeypatch.setattr(backend_pool, "REUSE_DELAY_S", 0.0)

    async def run() -> None:
        server = await asyncio.get_running_loop().create_server(AnsweringBackend, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        backend = Backend("d0", "svc", address, "z", "decode", 4, "ready", 1)
        pool = Pool({})
        first = connection = await pool.dial(backend)
        for _ in range(3):
            listener = PausingListener(connection)
            connection.call(listener, 1, "a", REQUEST)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await listener.ended.wait()
            await asyncio.sleep(0)
            taken = pool.take(backend)
            assert taken is first, "the connection is kept"
            connection = taken
        connection.abort()
        server.close()

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(run())
