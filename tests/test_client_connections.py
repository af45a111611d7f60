"""Clients that send invalid or incomplete requests, or none: the others are still served."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from peers import ProxyHarness, Reader, UpstreamHost, Writer, play, request_headers, until

HEAD = b"POST /order HTTP/1.1\r\nHost: x\r\n" + b"".join(
    b"%s: %s\r\n" % (name.encode(), value.encode()) for name, value in request_headers("order").items()
)
WHOLE_REQUEST = HEAD + b"Content-Length: 2\r\n\r\nok"


async def connected(s: ProxyHarness) -> tuple[Reader, Writer]:
    return await asyncio.open_connection(*s.url.removeprefix("http://").split(":"))


@pytest.mark.parametrize(
    "sent_bytes",
    [
        b"",
        HEAD,
        HEAD + b"Content-Length: 9\r\n\r\nhalf",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nha",
    ],
    ids=["silent", "head", "body", "chunks"],
)
def test_a_request_that_does_not_end_in_time_is_closed_on(tmp_path: Path, sent_bytes: bytes) -> None:
    own = ("door.kept_idle_s=0.1", "door.request_s=0.3", "door.most_idle_s=0.3")

    async def scenario(s: ProxyHarness) -> None:
        for before in (b"", WHOLE_REQUEST):  # on a new connection, and on one that has had an answer
            reader, writer = await connected(s)
            if before:
                writer.write(before)
                assert (await reader.readuntil(b"\r\n\r\nok")).startswith(b"HTTP/1.1 200")
            writer.write(sent_bytes)
            assert await reader.read() == b""
        assert s.proxy.counters["requests_unfinished"] == (2 if sent_bytes else 1)
        assert (await s.ask())[0] == 200

    play(tmp_path, scenario, UpstreamHost(), own=own)


@pytest.mark.parametrize(
    ("sent_bytes", "status"),
    [
        (HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"Content-Length: 60000000\r\n\r\n", 413),
        (HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", 400),
        (HEAD + b"X-Class: look\r\nContent-Length: 2\r\n\r\nok", 400),
        (WHOLE_REQUEST.replace(b"POST", b"GET"), 400),
        (WHOLE_REQUEST.replace(b"/order", b"/look"), 400),
        (WHOLE_REQUEST.replace(b"9b1f03aa", b"9b1f\xe903aa"), 400),
        (HEAD + b"X: 1\r\n" * 80 + b"\r\n", 400),
    ],
    ids=["both lengths", "60 MB", "two lengths", "two classes", "method", "path", "id", "fields"],
)
def test_what_no_usual_client_sends_is_answered_with_an_error_and_gets_no_leg(
    tmp_path: Path, sent_bytes: bytes, status: int
) -> None:
    host = UpstreamHost()

    async def scenario(s: ProxyHarness) -> None:
        reader, writer = await connected(s)
        writer.write(sent_bytes)
        assert int((await reader.readline()).split()[1]) == status
        await reader.read()  # until the connection is closed
        assert s.proxy.counters["legs_sent"] == 0
        assert (await s.ask())[0] == 200

    play(tmp_path, scenario, host)


def test_the_id_of_a_request_that_is_open_is_refused_and_may_come_again_later(tmp_path: Path) -> None:
    host = UpstreamHost(lambda n: None if n == 1 else b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def scenario(s: ProxyHarness) -> None:
        first = asyncio.ensure_future(s.ask())
        await until(lambda: len(host.requests) == 1)
        assert (await s.ask("order"))[0] == 400
        first.cancel()
        await until(lambda: s.proxy.counters["clients_left"] == 1)
        assert (await s.ask())[0] == 200

    play(tmp_path, scenario, host)
    assert len(host.requests) == 2


def test_a_flood_takes_no_more_than_the_clients_share_and_the_usual_clients_are_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("cranebank.http.client_connections.NEW_CONNECTION_GRACE_US", 0)

    async def scenario(s: ProxyHarness) -> None:
        flood = [await connected(s) for _ in range(60)]
        for _ in range(8):
            assert (await s.ask())[0] == 200
        assert s.proxy.counters["connections_closed"] >= 60 - (96 - 32 - 16)
        for _, writer in flood:
            writer.close()

    play(tmp_path, scenario, UpstreamHost(), sockets=96)


def test_clients_that_ask_once_and_stay_are_closed_on_when_room_is_short(tmp_path: Path) -> None:
    async def scenario(s: ProxyHarness) -> None:
        clients = []
        for _ in range(40):
            reader, writer = await connected(s)
            writer.write(WHOLE_REQUEST)
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            clients.append((reader, writer))
        await clients[0][0].read()  # the connection that was idle longest is closed
        assert s.proxy.counters["requests_unfinished"] == 0

    play(tmp_path, scenario, UpstreamHost(), sockets=96, own=("door.kept_idle_s=0.1",))


def test_when_places_run_short_an_answer_is_the_last_on_its_connection(tmp_path: Path) -> None:
    async def scenario(s: ProxyHarness) -> None:
        assert "Connection" not in (await s.ask())[2]
        flood = [await connected(s) for _ in range(40)]
        await until(lambda: s.proxy.client_connection_count >= 40)
        assert (await s.ask())[2]["Connection"] == "close"
        for _, writer in flood:
            writer.close()
        await until(lambda: s.proxy.client_connection_count <= 1)
        assert "Connection" not in (await s.ask())[2]

    play(tmp_path, scenario, UpstreamHost(), sockets=96)
