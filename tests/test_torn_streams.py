"""Answers that end early, by each framing: at no byte does one look complete in the middle of an event.

An answer without a length ends with its connection, and a backend that crashes may close its connections in order.
"""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from test_call_faults import (
    EVENTS,
    NO_SILENCE_S,
    SILENT_MS,
    Address,
    Record,
    ScriptedBackend,
    answer,
    ask,
    body_of,
    event,
    request,
    reset,
    run_all,
    run_scenario,
)
from test_exchange import SEALED, ExchangeHarness, calls, passed

from cranebank.dataplane.events_stream import EventBoundary
from cranebank.dataplane.evidence import SendEvidence
from cranebank.dataplane.exchange_events import Break, Call, Finish, LegData, LegEnd, LegFailed, LegHead, Reply
from cranebank.dataplane.proxy import Proxy

WHOLE = b"id: 1\ndata: a\n\n"
TORN = WHOLE + b"id: 2\ndata: fir"


def framed(framing: str, attempt: str, body: bytes) -> bytes:
    """A complete answer with its end shown by a length, by the last chunk or by the end of the connection."""
    line = {"length": f"Content-Length: {len(body)}", "chunks": "Transfer-Encoding: chunked", "close": "X-No-Length: 1"}
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Seal: s\r\n"
        f"X-Attempt-Id: {attempt}\r\n{line[framing]}\r\n\r\n"
    ).encode()
    if framing == "chunks":
        return head + (b"%x\r\n%b\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
    return head + body


@pytest.mark.parametrize("route", ["once", "again"])
@pytest.mark.parametrize("end", ["end", "reset"])
@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
def test_a_stream_that_ends_at_any_byte_never_looks_complete(
    monkeypatch: pytest.MonkeyPatch, framing: str, end: str, route: str
) -> None:
    """Guards against the proper end of an answer behind a torn event, and against a torn stream that isn't resumed."""
    size = len(framed(framing, "000", body_of("000")))
    ends: Counter[str] = Counter()

    def answer_and_end(backend: ScriptedBackend, fields: dict[str, str]) -> None:
        attempt = fields["x-attempt-id"]
        backend._record.arrivals[attempt] += 1
        whole = framed(framing, attempt, body_of(attempt, int(fields.get("last-event-id", "0"))))
        is_first = backend._record.arrivals[attempt] == 1
        backend.transport.write(whole[: int(attempt)] if is_first else whole)
        if is_first and end == "reset":
            asyncio.get_running_loop().call_soon(reset, backend.transport)
        else:
            backend.transport.close()

    monkeypatch.setattr(ScriptedBackend, "_request", answer_and_end)

    async def scenario(proxy: Proxy, address: Address, record: Record) -> None:
        async def trial(cut: int) -> None:
            attempt = f"{cut:03}"
            (found,) = await ask(address, request(attempt, route))
            expected = body_of(attempt)
            sent = framed(framing, attempt, expected)[:cut].partition(b"\r\n\r\n")[2]
            looks_ended = framing == "close" and end == "end" and sent.endswith(b"\n\n")
            if found.status == 502:
                assert route == "once"
                ends["502"] += 1
                return
            assert expected.startswith(found.body)
            assert not found.is_whole or found.body == expected or looks_ended
            if route == "again" and not looks_ended:
                assert found.is_whole and found.body == expected, "another backend can answer"
            ends["whole" if found.body == expected else "cut"] += 1

        await run_all(trial(cut) for cut in range(size))

    record = run_scenario(monkeypatch, scenario, silence_s=NO_SILENCE_S)
    assert max(record.arrivals.values()) == (1 if route == "once" else 2)
    assert ends["whole"] if route == "again" else ends["cut"] and ends["502"]


@pytest.mark.parametrize("spare", [-5, 0, 40])
def test_a_stream_with_a_length_is_resumed_by_a_run_of_another_length(
    monkeypatch: pytest.MonkeyPatch, spare: int
) -> None:
    """Guards against an answer held to the length of a run that broke off, which the next run doesn't have."""

    def answer_and_end(backend: ScriptedBackend, fields: dict[str, str]) -> None:
        attempt, after = fields["x-attempt-id"], int(fields.get("last-event-id", "0"))
        if not after:
            whole = framed("length", attempt, body_of(attempt))
            backend.transport.write(whole[: -len(event(attempt, EVENTS)) // 2])
            backend.transport.close()
        else:
            rest = event(attempt, EVENTS)[: -2 + min(0, spare)] + b"x" * spare + b"\n\n"
            backend.transport.write(framed("length", attempt, rest))

    monkeypatch.setattr(ScriptedBackend, "_request", answer_and_end)

    async def scenario(proxy: Proxy, address: Address, record: Record) -> None:
        (found,) = await ask(address, request("long attempt", "again"))
        assert found.is_whole and found.body.startswith(event("long attempt", 1) + b"id: 2\n")
        assert len(found.body) == len(body_of("long attempt")) + spare

    run_scenario(monkeypatch, scenario, silence_s=NO_SILENCE_S)


@pytest.mark.parametrize("end", ["end", "reset", "silence"])
def test_a_client_of_http_1_0_gets_no_orderly_end_behind_a_torn_answer(
    monkeypatch: pytest.MonkeyPatch, end: str
) -> None:
    """Guards against a torn answer that looks complete to a client whose answers end with their connection."""
    framing = len(b"0\r\n\r\n")

    async def scenario(proxy: Proxy, address: Address, record: Record) -> None:
        for cut in (len(answer("torn")) - framing, len(answer("torn")) - framing - 4):
            reader, writer = await asyncio.open_connection(*address)
            sent = request("torn", "once", f"{end}:{cut}", deadline_ms=SILENT_MS)
            writer.write(sent.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
            with pytest.raises(ConnectionResetError):
                await reader.read(-1)
            writer.close()
            record.arrivals.clear()

    run_scenario(monkeypatch, scenario)


def test_a_whole_answer_to_a_client_of_http_1_0_ends_in_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a reset behind an answer that is complete."""

    async def scenario(proxy: Proxy, address: Address, record: Record) -> None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(request("whole").replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        assert (await reader.read(-1)).partition(b"\r\n\r\n")[2] == body_of("whole")
        writer.close()

    run_scenario(monkeypatch, scenario)


def test_an_answer_is_broken_off_if_the_process_ends_before_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the orderly end of a connection, by the end of this process, behind part of an answer."""

    async def scenario(proxy: Proxy, address: Address, record: Record) -> None:
        reader, writer = await asyncio.open_connection(*address)
        sent = request("open", "once", f"silence:{len(answer('open')) - len(event('open', EVENTS))}")
        writer.write(sent.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
        proxy.front.break_off_unfinished()
        with pytest.raises(ConnectionResetError):
            await reader.read(-1)
        writer.close()

    run_scenario(monkeypatch, scenario, silence_s=NO_SILENCE_S)


def answering(
    harness: ExchangeHarness, body: bytes, headers: dict[str, str] | None = None, last: str | None = None
) -> Call:
    """A call whose backend has sent a success with part of a body."""
    (call,) = calls(harness.begin(last=last))
    harness.do(LegHead(call.leg, 200, SEALED if headers is None else headers))
    if body:
        harness.do(LegData(call.leg, body))
    return call


def test_a_stream_that_ends_within_an_event_is_resumed_behind_the_last_whole_one() -> None:
    """Guards against a crash in the middle of an event that is taken for the end of an answer without a length."""
    harness = ExchangeHarness()
    call = answering(harness, TORN)
    (again,) = calls(harness.do(LegEnd(call.leg, by_close=True)))
    assert again.backend.id != call.backend.id and dict(again.headers)["Last-Event-Id"] == "1"
    harness.do(LegHead(again.leg, 200, SEALED))
    harness.do(LegData(again.leg, b"id: 2\ndata: first half\n\n"))
    assert any(isinstance(action, Finish) for action in harness.do(LegEnd(again.leg, by_close=True)))
    assert passed(harness.log) == WHOLE + b"id: 2\ndata: first half\n\n"
    assert harness.shared.counters["calls_lost_closed_within_event"] == 1 and not harness.out()


@pytest.mark.parametrize(
    "route", [{"tries": 1}, {"slack": 0.0}, {"decode_backends": 1}, {"tries": 1, "resumable": False}]
)
def test_a_stream_that_ends_within_an_event_breaks_off_if_it_cannot_be_resumed(route: dict[str, int]) -> None:
    """Guards against a complete end behind a torn event where no try, budget or backend is left."""
    harness = ExchangeHarness(**route)
    call = answering(harness, TORN)
    end = harness.do(LegEnd(call.leg, by_close=True))
    assert any(isinstance(action, Break) for action in end) and not calls(end)
    assert not any(isinstance(action, Finish) for action in harness.log) and not harness.out()


@pytest.mark.parametrize("resumable", [True, False])
def test_a_stream_that_ends_before_its_first_event_is_not_complete(resumable: bool) -> None:
    """Guards against an empty success from a backend that crashed behind the head of its answer."""
    harness = ExchangeHarness(resumable=resumable)
    call = answering(harness, b"")
    end = harness.do(LegEnd(call.leg, by_close=True))
    assert bool(calls(end)) is resumable
    assert [action.error.status for action in end if isinstance(action, Reply)] == ([] if resumable else [502])


def test_a_resumed_stream_of_which_nothing_was_left_is_complete() -> None:
    """Guards against breaking off a stream that was lost behind its last event."""
    harness = ExchangeHarness()
    call = answering(harness, WHOLE)
    (again,) = calls(harness.do(LegFailed(call.leg, SendEvidence.WRITTEN)))
    harness.do(LegHead(again.leg, 200, SEALED))
    assert any(isinstance(action, Finish) for action in harness.do(LegEnd(again.leg, by_close=True)))
    harness = ExchangeHarness()
    call = answering(harness, b"", last="1")
    assert any(isinstance(action, Finish) for action in harness.do(LegEnd(call.leg, by_close=True)))


@pytest.mark.parametrize(
    ("body", "headers", "by_close"),
    [
        (WHOLE, SEALED, True),
        (WHOLE.replace(b"\n", b"\r\n"), SEALED, True),
        (WHOLE.replace(b"\n", b"\r"), SEALED, True),
        (WHOLE + b"\n", SEALED, True),
        (WHOLE, {"x-server-seal": "s"}, True),
        (TORN, SEALED, False),
        (b'{"answer": 1}', {"x-server-seal": "s", "content-type": "application/json"}, True),
    ],
)
@pytest.mark.parametrize("resumable", [True, False])
def test_an_answer_that_may_be_whole_is_passed_on_whole(
    resumable: bool, body: bytes, headers: dict[str, str], by_close: bool
) -> None:
    """Guards against breaking off answers that end between events, by their framing, or that are no events."""
    harness = ExchangeHarness(resumable=resumable)
    call = answering(harness, body, headers)
    assert any(isinstance(action, Finish) for action in harness.do(LegEnd(call.leg, by_close)))
    assert passed(harness.log) == body


def test_the_end_of_an_event_is_found_at_any_split() -> None:
    """Guards against a blank line that is missed since it arrives in parts."""
    stream = b"".join(event("one", number) for number in range(1, EVENTS + 1))
    for cut in range(len(stream)):
        boundary = EventBoundary()
        assert boundary.is_empty
        boundary.feed(stream[:cut])
        assert boundary.is_reached is stream[:cut].endswith(b"\n\n")
        for byte in stream[cut:]:
            boundary.feed(bytes([byte]))
        assert boundary.is_reached
