"""Restarts, new configurations and reused addresses, each with requests in progress."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path

import pytest
from peers import Discovery, ProxyHarness, Reader, UpstreamHost, Writer, entry, listening, play, request_headers, until

from cranebank.config.load import load

HEAD = "GET /look HTTP/1.1\r\nHost: x\r\n" + "".join(
    f"{name}: {value}\r\n" for name, value in request_headers().items() if name != "X-Request-Id"
)


async def connect(s: ProxyHarness) -> tuple[Reader, Writer]:
    """Open a client connection without an HTTP client."""
    return await asyncio.open_connection(*s.url.removeprefix("http://").split(":"))


async def status(reader: Reader) -> int:
    """Read the head of the next answer and return its status."""
    return int((await reader.readuntil(b"\r\n\r\n")).split()[1])


def test_requests_half_read_on_kept_connections_and_on_new_ones_are_answered_while_it_stops(tmp_path: Path) -> None:
    async def scenario(s: ProxyHarness) -> None:
        half, kept = await connect(s), await connect(s)
        kept[1].write(f"{HEAD}X-Request-Id: 1\r\n\r\n".encode())
        assert await status(kept[0]) == 200
        await kept[0].readexactly(2)
        half[1].write(f"{HEAD}X-Req".encode())
        await until(lambda: s.proxy.client_connection_count == 2)
        kept[1].write(f"{HEAD}X-Request-Id: 2\r\n\r\n".encode())  # sent, but not read yet
        stopping = asyncio.ensure_future(s.proxy.stop(linger=2.0))
        await asyncio.sleep(0)
        new = await connect(s)
        half[1].write(b"uest-Id: 3\r\n\r\n")
        new[1].write(f"{HEAD}X-Request-Id: 4\r\n\r\n".encode())
        assert [await status(reader) for reader, _ in (kept, half, new)] == [200, 200, 200]
        await stopping
        counters = s.proxy.counters
        assert counters["requests_taken"] == counters["answers_served"] == 4
        for _, writer in (kept, half, new):
            writer.close()

    play(tmp_path, scenario, UpstreamHost())


def test_whoever_is_let_in_as_the_listener_closes_is_heard(tmp_path: Path) -> None:
    """The connection is accepted in one turn of the loop; the listener ends before its protocol is created in the
    next."""

    async def scenario(s: ProxyHarness) -> None:
        host, _, port = s.url.removeprefix("http://").rpartition(":")
        client = socket.create_connection((host, int(port)))  # accepted by the kernel only
        client.sendall(b"GET /-/counters HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        await s.proxy.stop(linger=0.0, keep=True)
        client.setblocking(False)
        assert client.recv(64).startswith(b"HTTP/1.1 200")
        client.close()

    play(tmp_path, scenario, UpstreamHost())


def test_idle_connections_end_a_moment_before_the_listener(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A client whose request crosses the end of its connection retries once and must still find the listener. Bytes
    received before the end are processed."""
    monkeypatch.setattr("cranebank.daemon.RETRY_GRACE_S", 1.0)

    async def scenario(s: ProxyHarness) -> None:
        ends = [await connect(s) for _ in range(2)]
        for number, (reader, writer) in enumerate(ends):
            writer.write(f"{HEAD}X-Request-Id: {number}\r\n\r\n".encode())
            assert await status(reader) == 200
            await reader.readexactly(2)
        ends[1][1].write(f"{HEAD}X-Request-Id: 3\r\n\r\n".encode())  # sent, but not read yet
        s.proxy._connections.close_idle()
        assert await ends[0][0].read() == b""
        assert await status(ends[1][0]) == 200
        await ends[1][0].readexactly(2)
        stopping = asyncio.ensure_future(s.proxy.stop(linger=0.0))
        assert await ends[1][0].read() == b""
        ends.append(await connect(s))
        ends[2][1].write(f"{HEAD}X-Request-Id: 4\r\n\r\n".encode())
        assert await status(ends[2][0]) == 200
        await stopping
        for _, writer in ends:
            writer.close()

    play(tmp_path, scenario, UpstreamHost())


@pytest.mark.parametrize(
    "sent", ["", f"{HEAD}X-Re", f"{HEAD}X-Request-Id: 1\r\n"], ids=["nothing", "half", "all but the end"]
)
def test_a_request_whose_last_byte_comes_after_the_listener_has_closed_is_answered(tmp_path: Path, sent: str) -> None:
    """Its connection was accepted before, so everything sent on it is processed."""

    async def scenario(s: ProxyHarness) -> None:
        reader, writer = await connect(s)
        writer.write(sent.encode())
        await until(lambda: s.proxy.client_connection_count == 1)
        stopping = asyncio.ensure_future(s.proxy.stop(linger=0.0))
        await until(lambda: not s.proxy._listener.is_serving())
        writer.write(f"{HEAD}X-Request-Id: 1\r\n\r\n".encode().removeprefix(sent.encode()))
        assert await status(reader) == 200
        await stopping
        writer.close()

    play(tmp_path, scenario, UpstreamHost())


def test_a_drain_told_by_the_new_discovery_is_kept_though_the_old_watch_was_open(tmp_path: Path) -> None:
    drained, other, new = UpstreamHost(), UpstreamHost(), Discovery()

    async def scenario(s: ProxyHarness) -> None:
        await until(lambda: len(s.discovery.watches) == 1)
        async with listening(new.talk) as address:
            path = tmp_path / "config.json"
            document = json.loads(path.read_text(encoding="utf-8"))
            path.write_text(json.dumps(document | {"discovery": address}), encoding="utf-8")
            s.proxy.reload(load({"GW_CONFIG": str(path)}))
            await until(lambda: len(new.watches) == 1)
            change = {"version": 2, "full": False, "servers": [entry("s0", s.address, "DRAINING")]}
            new.lines.put_nowait(json.dumps(change).encode())
            await until(lambda: s.proxy.counters["lists_changes"] == 1)
            before = len(drained.requests)
            for number in range(8):
                assert (await s.ask(changes={"X-Request-Id": str(number)}))[0] == 200
            assert (len(drained.requests), len(other.requests)) == (before, 8)
            new.lines.put_nowait(b"")

    play(tmp_path, scenario, drained, other)


@pytest.mark.parametrize("full", [True, False], ids=["a whole list", "changes"])
def test_a_drain_a_return_and_a_new_id_under_an_old_address_told_at_once(tmp_path: Path, full: bool) -> None:
    """A delayed list reports at once that s0 drains, s1 has returned, and s2 has the address that s0 had."""
    hosts = UpstreamHost(), UpstreamHost()

    async def scenario(s: ProxyHarness) -> None:
        back = entry("s1", s.address, started_ms=1)  # no longer at its own address
        for number in range(6):
            assert (await s.ask(changes={"X-Request-Id": str(number)}))[0] == 200
        await asyncio.sleep(0.05)  # connections are idle for a moment before they are reused
        opened = hosts[0].connections
        named = [entry("s0", s.address, "DRAINING"), back, entry("s2", s.address)]
        s.discovery.lines.put_nowait(json.dumps({"version": 9, "full": full, "servers": named}).encode())
        news = "lists_all" if full else "lists_changes"
        await until(lambda: s.proxy.counters[news] == 1)
        assert hosts[1].connections  # now idle, at an address that belongs to another host
        before = len(hosts[0].requests), len(hosts[1].requests)
        for number in range(6):
            assert (await s.ask(changes={"X-Request-Id": f"b{number}"}))[0] == 200
        assert (len(hosts[0].requests), len(hosts[1].requests)) == (before[0] + 6, before[1])
        assert hosts[0].connections > opened  # connections opened to the draining host are not used

    play(tmp_path, scenario, *hosts)
