"""Failures of clients, hosts and discovery on real sockets with scripted peers; one test each."""

from __future__ import annotations

import asyncio
import contextlib
import gzip
import json
import socket
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from peers import OK, Discovery, ProxyHarness, UpstreamHost, answer, entry, play, until

from cranebank import Balancer
from cranebank.core.counters import Counters
from cranebank.core.log import Log
from cranebank.core.rules import RoutingUpdate
from cranebank.decisions.interface import Action, Event, ListKind, Request
from cranebank.discovery.listing import ListReader, MessageSplitter
from cranebank.discovery.routing_table import CALL_TIMEOUT_S, RoutingTable
from cranebank.http.upstream import read_load


def test_method_target_body_and_key_pass_unchanged_and_the_answer_too(tmp_path: Path) -> None:
    packed = gzip.compress(b"\x00\xff" * 9000)
    host = UpstreamHost(lambda _: answer(200, packed, "Content-Encoding: gzip"))

    async def scenario(s: ProxyHarness) -> None:
        status, body, headers = await s.ask("order", body=b"a\r\n\x00b")
        assert (status, body, headers["Content-Encoding"]) == (200, packed, "gzip")
        await asyncio.sleep(0.05)  # a connection is reused only after a pause
        reader, writer = await asyncio.open_connection(*s.url.removeprefix("http://").split(":"))
        writer.write(
            b"GET /look/%2F%41?q=%20a+b HTTP/1.1\r\nHost: x\r\nX-Request-Id: 7\r\nX-Class: look\r\n"
            b"X-Tenant: acme\r\n\r\n"
        )
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        writer.close()

    play(tmp_path, scenario, host)
    order, look = host.requests
    assert order.startswith(b"POST /order HTTP/1.1\r\n")
    assert order.endswith(b"\r\n\r\na\r\n\x00b")
    assert b"\r\nX-Request-Id: 9b1f03aa\r\n" in order
    assert b"\r\nIdempotency-Key: 5c0f\r\n" in order
    assert 0 < int(order.split(b"X-Deadline-Ms: ")[1].split(b"\r\n")[0]) < 20000
    assert look.startswith(b"GET /look/%2F%41?q=%20a+b HTTP/1.1\r\n")
    assert host.connections == 1


@pytest.mark.parametrize(
    ("kind", "changes"),
    [
        ("none", {}),
        ("look", {"X-Tenant": "nobody"}),
        ("look", {"X-Deadline-Ms": "12.5"}),
        ("look", {"X-Deadline-Ms": "-1"}),
        ("look", {"X-Cost-Hint": "much"}),
        ("look", {"X-Request-Id": ""}),
        ("order", {"Idempotency-Key": ""}),
    ],
)
def test_a_malformed_request_gets_400_and_no_leg(tmp_path: Path, kind: str, changes: dict[str, str]) -> None:
    host = UpstreamHost()

    async def scenario(s: ProxyHarness) -> None:
        assert (await s.ask(kind, changes))[0] == 400
        assert (await s.ask("order", body=b"x" * (64 << 10)))[0] == 200
        assert (await s.ask("order", body=b"x" * ((64 << 10) + 1)))[0] == 413

    play(tmp_path, scenario, host)
    assert len(host.requests) == 1


@pytest.mark.parametrize(
    "said",
    [
        b"GARBAGE\r\n\r\n",
        b"\x16\x03\x01\x00\x05hello\r\n\r\n",
        b"GET /look HTTP/1.1\r\nX: " + b"x" * 99999 + b"\r\n\r\n",
        b"POST /order HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
        b"GET http://elsewhere/look HTTP/1.1\r\nHost: x\r\nX-Request-Id: 7\r\nX-Class: look\r\nX-Tenant: acme\r\n\r\n",
    ],
    ids=["words", "tls", "long", "length", "absolute"],
)
def test_a_client_that_talks_rubbish_gets_400_and_the_others_are_served(tmp_path: Path, said: bytes) -> None:
    host = UpstreamHost()

    async def scenario(s: ProxyHarness) -> None:
        reader, writer = await asyncio.open_connection(*s.url.removeprefix("http://").split(":"))
        writer.write(said)
        assert (await reader.readline()).split()[1] == b"400"
        writer.close()
        assert (await s.ask())[0] == 200

    play(tmp_path, scenario, host)
    assert len(host.requests) == 1


CUT = answer(200, b"whole", "Connection: close")[:-1]
BIG = answer(200, b"x" * ((1 << 20) + 1))


@pytest.mark.parametrize("kind", ["look", "order", "pay"])
@pytest.mark.parametrize(
    ("reply", "outcome", "may_refuse"),
    [
        (answer(500), "error", False),
        (answer(503), "error", False),
        (answer(302, b"", "Location: /look"), "error", False),
        (answer(503, b"", "X-Not-Run: 1"), "full", True),
        (answer(504, b"", "X-Not-Run: 1"), "full", True),
        (b"", "reset", False),
        (b"garbage\r\n\r\n", "reset", False),
        (CUT, "reset", False),
        (BIG, "reset", False),
        (None, "timeout", False),
        (answer(200, b"ok", "X-Load: rubbish"), "ok", True),
    ],
    ids=lambda value: value.decode()[:24].strip() if isinstance(value, bytes) else None,
)
def test_each_way_a_leg_ends_has_its_outcome_and_refusals_only_where_harmless(
    tmp_path: Path, kind: str, reply: bytes | None, outcome: str, may_refuse: bool
) -> None:
    host = UpstreamHost(lambda _: reply)

    async def scenario(s: ProxyHarness) -> None:
        left, counters = {"X-Deadline-Ms": "300"} if reply is None else {}, s.proxy.counters
        status = (await s.ask(kind, left))[0]
        while reply is None and not host.requests:  # the machine stalled: time was up before the request was written
            status = (await s.ask(kind, left))[0]
        refused = 503 if kind != "pay" or may_refuse else 502
        assert status == (200 if outcome == "ok" else refused)
        unwritten = counters["legs_connect_failed"] if reply is None else 0
        assert counters[f"legs_{outcome}"] == counters["legs_sent"] - unwritten == 1
        assert counters["answers_overdue"] == 0

    play(tmp_path, scenario, host)
    assert len(host.requests) == 1


def test_a_host_that_is_not_there_is_a_connect_failure_and_the_next_one_serves(tmp_path: Path) -> None:
    async def scenario(s: ProxyHarness) -> None:
        with socket.socket() as nobody:
            nobody.bind(("127.0.0.1", 0))
            down = f"127.0.0.1:{nobody.getsockname()[1]}"
            s.discovery.lines.put_nowait(
                json.dumps({"version": 2, "full": False, "servers": [entry("s1", down)]}).encode()
            )
            await until(lambda: s.proxy.counters["lists_changes"] == 1)
            while not s.proxy.counters["legs_connect_failed"]:
                assert (await s.ask("pay"))[0] == 200
        assert s.proxy.counters["legs_ok"] >= 1

    play(tmp_path, scenario, UpstreamHost(), MaxAttempts=2)


def test_a_request_on_a_dead_kept_connection_is_not_sent_once_more(tmp_path: Path) -> None:
    host = UpstreamHost(lambda n: OK if n == 1 else b"")

    async def scenario(s: ProxyHarness) -> None:
        assert (await s.ask())[0] == 200
        await asyncio.sleep(0.05)
        status, _, headers = await s.ask()
        assert (status, float(headers["Retry-After"]) <= 1.0) == (503, True)
        assert s.proxy.counters["legs_reset"] == 1

    play(tmp_path, scenario, host)
    assert (len(host.requests), host.connections) == (2, 1)


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_client_that_leaves_takes_its_leg_along(tmp_path: Path, may_cancel: bool) -> None:
    host = UpstreamHost(lambda _: None)

    async def scenario(s: ProxyHarness) -> None:
        asked = asyncio.ensure_future(s.ask())
        await until(lambda: len(host.requests) == 1)
        asked.cancel()
        await host.closed.wait()
        await until(lambda: s.proxy.counters["legs_cancelled"] == 1)
        assert s.proxy.counters["clients_left"] == 1

    play(tmp_path, scenario, host, Cancel=may_cancel)


def test_a_stopping_proxy_still_serves_but_each_answer_closes_its_connection(tmp_path: Path) -> None:
    host = UpstreamHost()

    async def scenario(s: ProxyHarness) -> None:
        assert "Connection" not in (await s.ask())[2]
        stopping = asyncio.ensure_future(s.proxy.stop(linger=3.0))
        await asyncio.sleep(0)
        for _ in range(3):
            status, _, headers = await s.ask()
            assert (status, headers["Connection"]) == (200, "close")
        async with s.client.get(s.url + "/-/ready") as ready:
            assert ready.status == 503
        await stopping
        with pytest.raises(aiohttp.ClientConnectorError):
            await s.ask()

    play(tmp_path, scenario, host)
    assert len(host.requests) == 4


@pytest.mark.parametrize(
    ("forgets", "status", "count"), [(False, 503, "module_faults"), (True, 502, "answers_overdue")]
)
def test_a_module_that_raises_or_forgets_costs_no_request_its_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, forgets: bool, status: int, count: str
) -> None:
    def faulty(balancer: Balancer, now: float, event: Event) -> list[Action]:
        if isinstance(event, Request):
            if forgets:
                return []
            raise IndexError("out of range")
        return handle(balancer, now, event)

    handle = Balancer.handle
    host = UpstreamHost()

    async def scenario(s: ProxyHarness) -> None:
        with monkeypatch.context() as patch:
            patch.setattr(Balancer, "handle", faulty)
            assert (await s.ask("pay", {"X-Deadline-Ms": "100"}))[0] == status
            assert s.proxy.counters[count] == 1
        await until(lambda: forgets or s.proxy.counters["lists_remembered"] == 2)
        assert (await s.ask("pay"))[0] == 200

    play(tmp_path, scenario, host)


@pytest.mark.parametrize("indent", [None, 1, 4, "\t"])
def test_the_watch_survives_rubbish_and_a_drained_host_gets_nothing_new(
    tmp_path: Path, indent: int | str | None
) -> None:
    old, new = UpstreamHost(), UpstreamHost()

    async def scenario(s: ProxyHarness) -> None:
        change = {
            "version": 7,
            "full": False,
            "extra": 1,
            "servers": [{"id": "broken}{"}, entry("s0", s.address, "DRAINING")],
        }
        for line in (b" ", b"{rubbish", b"[" * 99999, json.dumps(change, indent=indent).encode()):
            s.discovery.lines.put_nowait(line)
        await until(lambda: s.proxy.counters["lists_changes"] == 1)
        before = len(old.requests)
        for _ in range(8):
            assert (await s.ask())[0] == 200
        assert len(old.requests) == before
        assert s.proxy.counters["list_lines_skipped"] == 2
        assert s.proxy.counters["list_entries_skipped"] == 1
        s.discovery.lines.put_nowait(b"")  # the watch ends; the old list stays in use
        await until(lambda: len(s.discovery.watches) == 2)
        assert s.discovery.watches[1].endswith(b"from=7")
        assert (await s.ask())[0] == 200

    play(tmp_path, scenario, old, new)
    assert len(new.requests) >= 9


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_silent_watch_is_left_and_asked_for_anew(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, mode: str) -> None:
    monkeypatch.setattr("cranebank.discovery.routing_table.CALL_TIMEOUT_S", 0.2)

    async def scenario(s: ProxyHarness) -> None:
        await until(lambda: len(s.discovery.watches) >= 2)
        assert s.discovery.watches[0] == b"/api/targets?watch=1&from=1"

    play(tmp_path, scenario, UpstreamHost(), mode=mode)


def test_a_call_whose_syn_is_lost_reaches_discovery_with_the_next_one() -> None:
    """Within the time-out of the call and without a second call, as in the simulator."""
    news, counters = list[RoutingUpdate](), Counters()

    async def tell(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if await reader.read(1):
            writer.write(answer(200, b'{"version": 2, "full": true, "servers": []}\n'))
        writer.close()

    async def scenario(listener: socket.socket) -> None:
        host, port = listener.getsockname()
        table = RoutingTable(f"{host}:{port}", ListReader(()), news.append, counters, Log("test"), module_asks=True)
        table.watch(True)
        await asyncio.sleep(0.5)
        assert counters["watches_opened"] == 1
        assert not news
        async with await asyncio.start_server(tell, sock=listener):
            async with asyncio.timeout(CALL_TIMEOUT_S - 0.5):
                await table.list_received.wait()
            assert news[0].kind is ListKind.ALL
            assert counters["watches_opened"] == 1
            await table.close()

    with socket.socket() as listener, contextlib.ExitStack() as crowd:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        listener.setblocking(False)
        for _ in range(3):  # the backlog is full: the kernel drops further SYNs
            one = crowd.enter_context(socket.socket())
            one.setblocking(False)
            one.connect_ex(listener.getsockname())
        asyncio.run(scenario(listener))


@pytest.mark.parametrize("reply", [answer(503), b"", None, b"rubbish\r\n\r\n", answer(200, b"x" * 99)])
def test_while_discovery_is_down_the_old_list_serves_and_there_is_no_storm(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, reply: bytes | None
) -> None:
    monkeypatch.setattr("cranebank.discovery.routing_table.CALL_TIMEOUT_S", 0.2)
    monkeypatch.setattr(Discovery, "talk", UpstreamHost(lambda _: reply).talk)

    async def scenario(s: ProxyHarness) -> None:
        await until(lambda: s.proxy.counters["lists_refused"] == 2)
        # A new watch is opened only after the previous one has ended, and by one party only.
        assert s.proxy.counters["watches_opened"] <= s.proxy.counters["watches_ended"] + 1 <= 4
        assert (await s.ask())[0] == 200

    play(tmp_path, scenario, UpstreamHost())


@pytest.mark.parametrize("indent", [None, 1, 2, "\t"])
@pytest.mark.parametrize("step", [1, 7, 10_000])
def test_messages_are_cut_at_their_ends_however_they_are_laid_out_and_arrive(
    indent: int | str | None, step: int
) -> None:
    """Truncated and empty objects, and strings that look like the end of an object, do not end other messages."""
    messages = [{"version": n, "servers": [entry('}"]{', "x:1"), {}], "empty": []} for n in range(3)]
    lines = [json.dumps(message, indent=indent) for message in messages]
    half = json.dumps(messages[0], indent=indent)[:-9]
    text = f"\n{lines[0]}\r\n\n{half}\n{lines[1]}\n}}\n{lines[2]}\n".encode()
    splitter, found = MessageSplitter(), list[Any]()
    for at in range(0, len(text), step):
        found += splitter.feed(text[at : at + step])
    assert [message for message in found if not isinstance(message, ValueError)] == messages
    assert len(found) == 5  # with two errors: half an object, and an end without a beginning


def test_a_message_without_an_end_is_given_up() -> None:
    for line in (b"x" * 99_999, b'{\n "a": [' + b"\n 1," * 9_999):
        splitter = MessageSplitter()
        with pytest.raises(ValueError, match="without end"):
            for _ in range(200):
                list(splitter.feed(line))


@pytest.mark.parametrize(
    "change",
    [
        {"state": "LOST"},
        {"state": []},
        {"addr": 7},
        {"addr": "nowhere"},
        {"id": ""},
        {"id": 3},
        {"cell": "x"},
        {"weight": -1},
        {"started_ms": float("nan")},
        {"zone": []},
    ],
)
def test_an_entry_that_can_not_be_read_is_skipped_and_the_others_stand(change: dict[str, Any]) -> None:
    good = entry("s0", "127.0.0.1:80", zone="b", unheard=1)
    document = {"version": 4, "full": True, "servers": [good | change, None, good]}
    listing = ListReader(("a", "b")).read(document)
    assert (len(listing.hosts), listing.skipped, listing.hosts[0].entry.zone) == (1, 2, 1)


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("TEXT inflight=7, queue=2, util=0.61", {"inflight": 7.0, "queue": 2.0, "util": 0.61}),
        ("busy_reqs=3,pending=0,else=x", {"inflight": 3.0, "queue": 0.0}),
        ("TEXT inflight=many", None),
        ("TEXT inflight=nan", None),
        ("inflight=-1", None),
        ("", None),
        ("7", None),
    ],
)
def test_load_reports_are_read_or_passed_over(text: str, load: dict[str, float] | None) -> None:
    assert read_load(text) == load
