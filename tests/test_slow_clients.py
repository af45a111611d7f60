"""Clients that read an answer slowly. Reading from its backend is paused then, which says nothing of the backend."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest
from test_call_faults import (
    Address,
    Answer,
    Record,
    ScriptedBackend,
    event,
    request,
    run_scenario,
)
from test_exchange import SEALED, ExchangeHarness, calls

from cranebank.dataplane.exchange import STREAM_SILENCE_TIMEOUT_S
from cranebank.dataplane.exchange_events import ClientPace, LegData, LegHead, Wake
from cranebank.dataplane.front import ClientConnection
from cranebank.dataplane.proxy import Proxy

EVENT_BYTES = 1 << 16
LONG_STREAM_EVENTS = 320  # some 20 MB, more than the kernel holds for one connection and this process for one client
MAX_BUFFERED_BYTES = 1 << 20  # for one client; a few reads of 256 KiB
SILENCE_S = 0.8  # longer than this process stalls on a busy machine while it builds and sends 20 MB
CLIENT_PAUSE_S = 4 * SILENCE_S


def long_event(attempt: str, number: int) -> bytes:
    """One event of a long stream."""
    return event(attempt, number)[:-2] + b"x" * EVENT_BYTES + b"\n\n"


def long_body(attempt: str) -> bytes:
    """The body of a long stream."""
    return b"".join(long_event(attempt, number) for number in range(1, LONG_STREAM_EVENTS + 1))


def chunked(body: bytes) -> bytes:
    """One chunk."""
    return b"%x\r\n%b\r\n" % (len(body), body)


def head_of(attempt: str) -> bytes:
    """The head of a stream in chunks."""
    return (
        f"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Attempt-Id: {attempt}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    )


def answer_at_length(backend: ScriptedBackend, attempt: str) -> None:
    """Answer with a long stream."""
    whole = chunked(long_body(attempt)) + b"0\r\n\r\n"
    backend.transport.write(head_of(attempt) + whole)


def test_a_client_that_reads_slowly_makes_no_backend_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a sound backend that is avoided, and a second run, as the proxy itself has paused reading."""
    monkeypatch.setattr(
        ScriptedBackend, "_fail", lambda backend, kind, offset, attempt, whole: answer_at_length(backend, attempt)
    )

    async def scenario(proxy: Proxy, address: Address, record: Record) -> None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(request("slow", "again", "long:0"))
        await asyncio.sleep(CLIENT_PAUSE_S)
        found = await Answer().read(reader)
        writer.close()
        assert found.is_whole and found.body == long_body("slow")
        assert record.arrivals["slow"] == 1
        assert not proxy.counters.get("silent")

    run_scenario(monkeypatch, scenario, silence_s=SILENCE_S)


class FullTransport:
    """A client's transport that takes any bytes and sends none, and says after the first ones that it is full."""

    def __init__(self) -> None:
        self.written = bytearray()
        self.protocol: ClientConnection | None = None

    def write(self, data: bytes) -> None:
        """Buffer bytes."""
        is_first = not self.written
        self.written += data
        if is_first and self.protocol is not None:
            self.protocol.pause_writing()

    def get_extra_info(self, _name: str) -> Any:
        """Return a socket that takes any option."""
        return self

    def setsockopt(self, *_option: Any) -> None:
        """Do nothing."""

    def set_write_buffer_limits(self, high: int) -> None:
        """Do nothing."""

    def get_write_buffer_size(self) -> int:
        """Return the number of buffered bytes."""
        return len(self.written)

    def is_closing(self) -> bool:
        """The connection stays open."""
        return False

    def pause_reading(self) -> None:
        """Do nothing."""

    def resume_reading(self) -> None:
        """Do nothing."""


def test_an_answer_behind_one_that_its_client_still_reads_is_not_read_ahead(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against whole answers in this process's memory, if a client's buffer was full before they began."""
    monkeypatch.setattr(
        ScriptedBackend, "_fail", lambda backend, kind, offset, attempt, whole: answer_at_length(backend, attempt)
    )

    async def scenario(proxy: Proxy, address: Address, record: Record) -> None:
        transport = FullTransport()
        transport.protocol = client = ClientConnection(proxy.front)
        client.connection_made(cast(asyncio.Transport, transport))
        client.data_received(request("first"))
        client.data_received(request("second", "again", "long:0"))
        await asyncio.sleep(CLIENT_PAUSE_S)
        assert record.arrivals == {"first": 1, "second": 1}
        assert client.is_write_paused and len(transport.written) < MAX_BUFFERED_BYTES
        assert not proxy.counters.get("silent")
        client.resume_writing()
        async with asyncio.timeout(10.0):
            while proxy.open:
                await asyncio.sleep(0.01)
        assert transport.written.endswith(long_event("second", LONG_STREAM_EVENTS) + b"\r\n0\r\n\r\n")
        client.connection_lost(None)

    run_scenario(monkeypatch, scenario, silence_s=SILENCE_S)


# The exchange by itself.


def test_a_stream_counts_as_silent_only_while_its_client_takes_bytes() -> None:
    """Guards against a silence timer that runs on while reading is paused, and one that doesn't begin again."""
    harness = ExchangeHarness()
    (call,) = calls(harness.begin())
    harness.do(LegHead(call.leg, 200, SEALED))
    harness.do(LegData(call.leg, event("a", 1)))
    harness.do(ClientPace(is_slow=True))
    harness.do(LegData(call.leg, event("a", 2)))  # what had been read before reading was paused
    assert not calls(harness.do(Wake(), 2 * STREAM_SILENCE_TIMEOUT_S))
    harness.do(ClientPace(is_slow=False))
    assert not calls(harness.do(Wake(), STREAM_SILENCE_TIMEOUT_S - 0.1))
    (copy,) = calls(harness.do(Wake(), 0.2))
    assert dict(copy.headers)["Last-Event-Id"] == "2"


def test_a_slow_client_changes_nothing_for_a_stream_that_may_not_be_resumed() -> None:
    """Guards against a copy of a request that may run once."""
    harness = ExchangeHarness(resumable=False)
    (call,) = calls(harness.begin())
    harness.do(LegHead(call.leg, 200, SEALED))
    harness.do(LegData(call.leg, event("a", 1)))
    harness.do(ClientPace(is_slow=True))
    harness.do(ClientPace(is_slow=False))
    assert not calls(harness.do(Wake(), 2 * STREAM_SILENCE_TIMEOUT_S))
