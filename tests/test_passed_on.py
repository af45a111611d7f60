"""The header fields that a backend gets: the client's own, unchanged, and the proxy's, which no client can set."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from random import Random

import pytest
import uvloop
from test_proxy import ANSWER, DOCUMENT, ask

from cranebank.dataplane.proxy import Proxy, RetryRule
from cranebank.transport.messages import Backend

END = b"\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Attempt-Id: t1\r\nContent-Length: 0\r\n\r\n"
FORGED = b"X-Stage: prefill\r\nKv-From: 10.0.0.1:1/abc\r\nPriority: 0\r\nX-Target-Instance: other\r\n"
DEADLINE_MS = 3000

Address = tuple[str, int]
Scenario = Callable[[Proxy, Address], Awaitable[None]]


def request(more: bytes = b"") -> bytes:
    """A short request of a streaming route, with further fields."""
    return (
        b"POST /x/y?z=1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: t1\r\nX-Model: m\r\nX-Token-Counts: 383,6\r\n"
        b"X-Prompt-Prefix: a:55,b:328\r\nX-Deadline-Left: %d\r\nX-Own: kept\r\n%bContent-Length: 2\r\n\r\nhi"
    ) % (DEADLINE_MS, more)


class RecordingBackends:
    """Backends that record the heads of their requests; the first ``rejections`` answers state, late, that nothing
    ran."""

    def __init__(self, rejections: int = 0, late_s: float = 0.0) -> None:
        self.heads: list[list[str]] = []
        self._rejections, self._late_s = rejections, late_s

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while head := await reader.readuntil(END):
                await reader.readexactly(2)
                self.heads.append(head.decode().split("\r\n"))
                if len(self.heads) <= self._rejections:
                    await asyncio.sleep(self._late_s)
                    writer.write(NOT_RUN)
                else:
                    writer.write(ANSWER)

    def values(self, request_number: int, name: str) -> list[str]:
        """All values of a field."""
        lines = self.heads[request_number][1:]
        return [line.split(": ", 1)[1] for line in lines if line.lower().startswith(f"{name.lower()}: ")]


def run_scenario(scenario: Scenario, backends: RecordingBackends, document: bytes | None = DOCUMENT) -> None:
    """Run a proxy in front of two backends."""

    async def run() -> None:
        proxy = Proxy(RetryRule(0.2, 50.0, 10.0, True), Random(1), asyncio.get_running_loop().time())
        if document is not None:
            assert proxy.configure(document)
        hosts = [await asyncio.start_server(backends.talk, "127.0.0.1", 0) for _ in range(2)]
        for number, host in enumerate(hosts):
            address = "{}:{}".format(*host.sockets[0].getsockname())
            proxy.learn([Backend(f"d{number}", "svc", address, "z", "decode", 4, "ready", 1)])
        front = await asyncio.get_running_loop().create_server(proxy.front, "127.0.0.1", 0)
        try:
            async with asyncio.timeout(10.0):
                await scenario(proxy, front.sockets[0].getsockname())
        finally:
            front.close()
            for host in hosts:
                host.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


def test_a_clients_fields_are_passed_on_unchanged() -> None:
    backends = RecordingBackends()

    async def scenario(proxy: Proxy, address: Address) -> None:
        assert (await ask(address, request())).startswith(b"HTTP/1.1 200 ")

    run_scenario(scenario, backends)
    assert backends.heads[0][0] == "POST /x/y?z=1 HTTP/1.1"
    for name, value in (
        ("Host", "h.example"),
        ("X-Attempt-Id", "t1"),
        ("X-Model", "m"),
        ("X-Token-Counts", "383,6"),
        ("X-Prompt-Prefix", "a:55,b:328"),
        ("X-Own", "kept"),
    ):
        assert backends.values(0, name) == [value]


def test_the_systems_own_fields_are_set_whatever_a_client_sent() -> None:
    backends = RecordingBackends()

    async def scenario(proxy: Proxy, address: Address) -> None:
        assert (await ask(address, request(FORGED))).startswith(b"HTTP/1.1 200 ")

    run_scenario(scenario, backends)
    assert backends.values(0, "X-Stage") == []
    assert backends.values(0, "Kv-From") == []
    assert backends.values(0, "Priority") == ["3"]
    (target,) = backends.values(0, "X-Target-Instance")
    assert target in {"d0", "d1"}


@pytest.mark.parametrize("late_s", [0.0, 0.6])
def test_the_remaining_time_is_passed_on_also_with_a_repeated_call(late_s: float) -> None:
    backends = RecordingBackends(rejections=1, late_s=late_s)

    async def scenario(proxy: Proxy, address: Address) -> None:
        assert (await ask(address, request())).startswith(b"HTTP/1.1 200 ")

    run_scenario(scenario, backends)
    (first,), (second,) = (backends.values(number, "X-Deadline-Left") for number in range(2))
    assert 0 < int(first) <= DEADLINE_MS
    assert 0 < int(second) <= int(first) - late_s * 1000 + 1


def test_without_any_configuration_the_answer_is_a_refusal_with_a_time_to_come_back() -> None:
    backends = RecordingBackends()

    async def scenario(proxy: Proxy, address: Address) -> None:
        assert not proxy.ready
        reader, writer = await asyncio.open_connection(*address)
        writer.write(request())
        head = await reader.readuntil(END)
        writer.close()
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"retry-after: " in head.lower()

    run_scenario(scenario, backends, None)
    assert backends.heads == []
