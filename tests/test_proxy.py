"""The asyncio side of the data plane, on real loopback sockets and the event loop used in service."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from random import Random

import msgspec
import pytest
import uvloop

from cranebank.dataplane.backend_connections import Connection
from cranebank.dataplane.backend_pool import Pool
from cranebank.dataplane.exchange import Exchange
from cranebank.dataplane.exchange_events import (
    WakeAt,
)
from cranebank.dataplane.front import ClientConnection
from cranebank.dataplane.open_request import OpenRequest
from cranebank.dataplane.proxy import Proxy, RetryRule
from cranebank.transport.messages import Backend

DOCUMENT = msgspec.json.encode(
    {
        "revision": 3,
        "services": [{"name": "svc", "engine": {"capacity": 4, "cache_tokens": 9000}}],
        "routes": [
            {
                "name": "r",
                "hostname": "h.example",
                "path_prefix": "/",
                "variant": "streaming",
                "timeout_ms": 3000,
                "goal_ms": 300,
                "target": "svc",
                "tries": 2,
                "resumable": True,
            }
        ],
    }
)
EVENT = b"id: 1\ndata: a\n\n"
ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Attempt-Id: t1\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(EVENT), EVENT)
)
REQUEST = (
    b"POST /x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: t1\r\nX-Token-Counts: 383,6\r\n"
    b"X-Prompt-Prefix: a:55,b:328\r\nX-Deadline-Left: 3000\r\nContent-Length: 2\r\n\r\nhi"
)

Scenario = Callable[[Proxy, tuple[str, int]], Awaitable[None]]


def run_scenario(scenario: Scenario, answer: bytes = ANSWER) -> None:
    """Run a proxy in front of one backend that answers every request the same way."""

    async def backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\nhi"):
                writer.write(answer)

    async def run() -> None:
        loop = asyncio.get_running_loop()
        host = await asyncio.start_server(backend, "127.0.0.1", 0)
        proxy = Proxy(RetryRule(0.2, 50.0, 10.0, True), Random(1), loop.time())
        assert proxy.configure(DOCUMENT)
        address = "{}:{}".format(*host.sockets[0].getsockname())
        proxy.learn([Backend("d0", "svc", address, "z", "decode", 4, "ready", 1)])
        front = await loop.create_server(proxy.front, "127.0.0.1", 0)
        try:
            async with asyncio.timeout(10.0):
                await scenario(proxy, front.sockets[0].getsockname())
        finally:
            front.close()
            host.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


async def ask(address: tuple[str, int], request: bytes = REQUEST) -> bytes:
    """What a client receives for a request, up to the end of a chunked answer or of the connection."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(request)
    found = b""
    while not found.endswith(b"0\r\n\r\n"):
        part = await reader.read(65536)
        if not part:
            break
        found += part
    writer.close()
    return found


def test_a_stream_passes_through_unaltered() -> None:
    async def scenario(proxy: Proxy, address: tuple[str, int]) -> None:
        found = await ask(address)
        assert found.startswith(b"HTTP/1.1 200 OK\r\n") and b"x-server-seal: s\r\n" in found and EVENT in found
        assert proxy.counters["served"] == 1 and not proxy.open

    run_scenario(scenario)


def test_a_time_to_wake_that_has_passed_does_no_harm(monkeypatch: pytest.MonkeyPatch) -> None:
    """uvloop's call_at returns a handle without a time for a past time. The exception came between an answer's head and
    its body, and the next attempt's body was sent without a head (rule MIXED)."""
    handle = Exchange.handle

    def late(self: Exchange, now: float, event: object) -> list[object]:
        found: list[object] = list(handle(self, now, event))  # type: ignore[arg-type]
        return [WakeAt(now - 1.0), WakeAt(now - 2.0), *found] if not self.is_over else found

    monkeypatch.setattr(Exchange, "handle", late)

    async def scenario(proxy: Proxy, address: tuple[str, int]) -> None:
        found = await ask(address)
        assert found.startswith(b"HTTP/1.1 200 OK\r\n") and EVENT in found

    run_scenario(scenario)


def test_an_internal_error_closes_the_connection_without_a_partial_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(self: OpenRequest, at: float) -> None:
        if self.client.transport is not None and self.legs:
            raise RuntimeError("planted")

    monkeypatch.setattr(OpenRequest, "_wake_at", broken)

    async def scenario(proxy: Proxy, address: tuple[str, int]) -> None:
        with pytest.raises(ConnectionResetError):
            assert not await ask(address)
            raise ConnectionResetError
        assert not proxy.open

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (REQUEST.replace(b"h.example", b"other"), b"404"),
        (REQUEST.replace(b"Content-Length: 2", b"Content-Length: 2\r\nContent-Length: 2"), b"400"),
        (REQUEST.replace(b"Content-Length: 2", b"Content-Length: 2\r\nTransfer-Encoding: chunked"), b"400"),
        (REQUEST.replace(b"X-Attempt-Id: t1", b"X-Attempt-Id: t1\r\nX-Attempt-Id: t2"), b"400"),
        (REQUEST.replace(b"X-Deadline-Left: 3000", b"X-Deadline-Left: soon"), b"400"),
        (REQUEST.replace(b"X-Deadline-Left: 3000", b"X-Deadline-Left: \xb2"), b"400"),
        (REQUEST.replace(b"Content-Length: 2", b"Content-Length: 99999999"), b"413"),
        (REQUEST.replace(b"X-Attempt-Id: t1", b"X-Long: " + b"x" * 20_000), b"431"),
        (b"nonsense\r\n\r\n", b"400"),
    ],
)
def test_bad_requests_get_the_status_that_says_why(request_: bytes, status: bytes) -> None:
    async def scenario(proxy: Proxy, address: tuple[str, int]) -> None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(request_)
        line = await reader.readline()
        assert line.split()[1] == status
        writer.close()

    run_scenario(scenario)


def test_a_proxy_never_returns_to_a_lower_revision() -> None:
    """No other test finds the planted fault of an older configuration that is put in force."""
    proxy = Proxy(RetryRule(0.2, 50.0, 10.0, True), Random(1), 0.0)
    older = DOCUMENT.replace(b'"revision":3', b'"revision":2').replace(b"h.example", b"old.example")
    assert proxy.configure(DOCUMENT) and proxy.configure(older)
    assert proxy.table is not None
    assert proxy.revision == 3 and proxy.table.match("h.example", "/") and not proxy.table.match("old.example", "/")


def test_an_answer_for_another_request_is_read_and_dropped() -> None:
    other = ANSWER.replace(b"X-Attempt-Id: t1", b"X-Attempt-Id: t0").replace(b"data: a", b"data: b")

    async def scenario(proxy: Proxy, address: tuple[str, int]) -> None:
        found = await ask(address)
        assert EVENT in found and b"data: b" not in found

    run_scenario(scenario, other + ANSWER)


def test_a_connection_that_is_reset_at_once_took_no_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """A backend that resets connections beyond its limit made requests count as sent that had not been sent."""
    dial, resets = Pool.dial, [True]

    async def reset(self: Pool, to: Backend) -> Connection:
        connection = await dial(self, to)
        if resets:
            resets.pop()
            connection.abort()
        return connection

    monkeypatch.setattr(Pool, "dial", reset)

    async def scenario(proxy: Proxy, address: tuple[str, int]) -> None:
        (known,) = proxy.shared.candidates.known()
        proxy.learn([msgspec.structs.replace(known, id="d1")])
        assert EVENT in await ask(address)
        assert proxy.counters["legs_unsent"] == 1 and "legs_broken" not in proxy.counters

    run_scenario(scenario)


def test_a_request_that_crosses_the_end_of_an_idle_connection_is_left_unread(monkeypatch: pytest.MonkeyPatch) -> None:
    """It was read and dropped, and what may run only once could not be sent again (rule LOST)."""
    read: list[bytes] = []
    received = ClientConnection.data_received

    def data_received(self: ClientConnection, data: bytes) -> None:
        read.append(data)
        received(self, data)

    monkeypatch.setattr(ClientConnection, "data_received", data_received)

    async def scenario(proxy: Proxy, address: tuple[str, int]) -> None:
        reader, writer = await asyncio.open_connection(*address)
        while not proxy.front.count:
            await asyncio.sleep(0.01)
        proxy.front.close_idle()
        writer.write(REQUEST)
        with contextlib.suppress(ConnectionError):
            assert not await reader.read()
        while proxy.front.count:
            await asyncio.sleep(0.01)
        assert not read
        writer.close()

    run_scenario(scenario)


def test_an_answer_that_has_no_body_but_names_a_length_is_whole() -> None:
    answer = b"HTTP/1.1 304 Not Modified\r\nX-Attempt-Id: t1\r\nContent-Length: 9\r\n\r\n"

    async def scenario(proxy: Proxy, address: tuple[str, int]) -> None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(REQUEST)
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 304 ")
        writer.write(REQUEST)
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 304 ")
        writer.close()

    run_scenario(scenario, answer)


def test_a_service_that_is_dropped_and_comes_back_has_spent_what_it_has() -> None:
    """Its budget was created anew, with all of the slack (rule BUDGET)."""

    async def scenario(proxy: Proxy, address: tuple[str, int]) -> None:
        budget, now = proxy.shared.budget("svc"), asyncio.get_running_loop().time()
        assert budget.allows(now, 1)
        while budget.allows(now, 1):
            budget.spend(now)
        known = msgspec.json.decode(DOCUMENT)
        assert proxy.configure(msgspec.json.encode({**known, "revision": 4, "routes": [], "services": []}))
        assert proxy.configure(msgspec.json.encode({**known, "revision": 5}))
        assert not proxy.shared.budget("svc").allows(now, 1)

    run_scenario(scenario)
