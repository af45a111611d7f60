"""Races between the end of a client, host, leg, connection or process and work that is still open, on real sockets.

Each race is forced in the loop iteration where it matters: bytes are in the kernel's buffer before the loop goes on, a
dial is held until a given moment, or a write is blocked. docs/endings.md has a row for each path and names its test.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
import time
from pathlib import Path
from typing import Any

import pytest
from peers import ProxyHarness, UpstreamHost, answer, entry, play, request_headers, until

from cranebank.config.load import load
from cranebank.core.clock import Clock
from cranebank.core.rules import LegEnded
from cranebank.http.client_connections import ClientConnection
from cranebank.http.connection_pool import ConnectionPool, UpstreamConnection
from cranebank.http.socket_state import stop_accepting

WINDOW_MS = 250
KEYED = {"MaxAttempts": 2, "lane": {"RepeatWindow": float(WINDOW_MS)}}


class HeldDials:
    """Holds each connection from the ``after``-th dial on, once it is up, until ``released`` is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, after: int = 1) -> None:
        self.released, self.dials, self.held_connections = asyncio.Event(), 0, list[UpstreamConnection]()
        original_take = ConnectionPool.take

        async def take(pool: ConnectionPool, host: str, address: str) -> UpstreamConnection:
            connection = await original_take(pool, host, address)
            self.dials += 1
            if self.dials >= after:
                self.held_connections.append(connection)
                try:
                    await self.released.wait()
                except BaseException:
                    pool.give_back(connection)
                    raise
            return connection

        monkeypatch.setattr(ConnectionPool, "take", take)


async def drain_hosts(s: ProxyHarness, *hosts: UpstreamHost) -> None:
    """Close the idle connections to the hosts and wait until the hosts have read all data."""
    s.proxy._pool.drop()
    await until(lambda: all(host.ended == host.connections for host in hosts))


async def repeat_dialled(s: ProxyHarness, held: HeldDials) -> tuple[asyncio.Future[Any], int]:
    """Return a keyed request whose first leg failed and whose repeat is being dialled, and the number of requests sent.

    Sends requests until one gets there: on a stalled machine the window may pass before the repeat is decided."""
    request_count = 0
    while True:
        request_count, held.dials = request_count + 1, 0
        response = asyncio.ensure_future(s.ask("order", {"X-Request-Id": str(request_count)}))
        await until(lambda: held.dials == 2 or response.done())  # noqa: B023
        if not response.done():
            return response, request_count


async def wait_past(s: ProxyHarness, moment: int) -> None:
    """Wait until the proxy's clock has passed ``moment``, in microseconds."""
    while s.proxy._clock.now() <= moment:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("late", [True, False], ids=["its window over", "in time"])
def test_a_repeat_that_is_dialled_goes_out_in_its_window_only(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, late: bool
) -> None:
    hosts = [UpstreamHost(lambda _: answer(500)) for _ in range(2)]

    async def scenario(s: ProxyHarness) -> None:
        held = HeldDials(monkeypatch, after=2)
        response, request_count = await repeat_dialled(s, held)
        if late:
            await wait_past(s, s.proxy._clock.now() + WINDOW_MS * 1000)
        held.released.set()
        assert (await response)[0] == 503
        assert s.proxy.counters["legs_moot"] == late
        assert sum(len(host.requests) for host in hosts) == request_count + (not late)

    play(tmp_path, scenario, *hosts, **KEYED if late else {"MaxAttempts": 2})


def shrink_host_send_buffer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shrink the send buffer below a request of 64 KB: part of it is written, the rest waits for the host to read."""
    original_connection_made = UpstreamConnection.connection_made

    def connection_made(connection: UpstreamConnection, transport: Any) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        original_connection_made(connection, transport)

    monkeypatch.setattr(UpstreamConnection, "connection_made", connection_made)


@pytest.mark.parametrize("kind", ["order", "pay"])
def test_a_leg_partly_written_when_its_time_is_up_sends_no_byte_more(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    """The repeat of a keyed request at the end of its window; an unsafe one at its client's deadline."""
    shrink_host_send_buffer(monkeypatch)
    reads_request = list[bool]()  # the first host to get the request answers, the next one does not read
    hosts = [
        UpstreamHost(lambda _: answer(500), reads=lambda _: bool(reads_request and reads_request.pop()), room=4096)
        for _ in range(2)
    ]

    async def scenario(s: ProxyHarness) -> None:
        left = {} if kind == "order" else {"X-Deadline-Ms": str(WINDOW_MS)}
        ends, request_count = "legs_moot" if kind == "order" else "legs_connect_failed", 0
        while not any(host.reads_nothing for host in hosts):  # repeated if the machine stalled until the deadline
            reads_request[:], request_count = [kind == "order"], request_count + 1
            status, _, _ = await s.ask(kind, left | {"X-Request-Id": str(request_count)}, body=b"x" * (64 << 10))
            assert status == 503  # the leg never ran, or the request is keyed
        assert s.proxy.counters[ends] >= 1
        for host in hosts:
            host.go_on.set()
        await drain_hosts(s, *hosts)
        assert sum(len(host.requests) for host in hosts) <= request_count * (kind == "order")

    play(tmp_path, scenario, *hosts, **KEYED)


def test_the_window_ends_in_the_turn_in_which_the_connection_comes_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    hosts = [UpstreamHost(lambda _: answer(500)) for _ in range(2)]

    async def scenario(s: ProxyHarness) -> None:
        held = HeldDials(monkeypatch, after=2)
        response, request_count = await repeat_dialled(s, held)
        end = time.monotonic() + WINDOW_MS / 1000
        while time.monotonic() < end:  # blocks the loop: the alarm is due, but queued behind the dial
            pass
        held.released.set()
        assert (await response)[0] == 503
        assert sum(len(host.requests) for host in hosts) == request_count

    play(tmp_path, scenario, *hosts, **KEYED)


@pytest.mark.parametrize("kind", ["look", "order", "pay"])
def test_a_leg_called_off_in_the_turn_in_which_its_connection_comes_up_is_not_written(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    """The leg is past its deadline and is reported at once as never run; so nothing may be written afterwards."""
    hosts = [UpstreamHost(), UpstreamHost()]

    async def scenario(s: ProxyHarness) -> None:
        held = HeldDials(monkeypatch)
        original_leg_ended = s.proxy._engine._rules._leg_ended

        def release_dial(message: LegEnded) -> None:
            held.released.set()  # the dial completes in the loop iteration in which its leg is cancelled
            original_leg_ended(message)

        monkeypatch.setattr(s.proxy._engine._rules, "_leg_ended", release_dial)
        assert (await s.ask(kind, {"X-Deadline-Ms": "100"}))[0] == 503
        await drain_hosts(s, *hosts)
        assert s.proxy.counters["legs_connect_failed"] == s.proxy.counters["legs_sent"] == 1

    play(tmp_path, scenario, *hosts)
    assert sum(len(host.requests) for host in hosts) == 0


@pytest.mark.parametrize("kind", ["order", "pay"])
def test_a_leg_called_off_in_the_turn_in_which_its_rest_could_go_out_stays_unsent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    shrink_host_send_buffer(monkeypatch)
    host = UpstreamHost(reads=lambda _: False, room=4096)

    async def scenario(s: ProxyHarness) -> None:
        held = HeldDials(monkeypatch)
        held.released.set()
        original_leg_ended = s.proxy._engine._rules._leg_ended

        def make_room(message: LegEnded) -> None:
            (connection,) = held.held_connections
            assert not connection.sent
            connection._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            original_leg_ended(message)

        monkeypatch.setattr(s.proxy._engine._rules, "_leg_ended", make_room)
        assert (await s.ask(kind, {"X-Deadline-Ms": "100"}, body=b"x" * (64 << 10)))[0] == 503
        host.go_on.set()
        await drain_hosts(s, host)

    play(tmp_path, scenario, host)
    assert not host.requests


class Client:
    """A client with a plain socket, whose actions take effect in the kernel at once, before the loop goes on."""

    def __init__(self, s: ProxyHarness, room: int = 0) -> None:
        host, _, port = s.url.removeprefix("http://").rpartition(":")
        self.socket = socket.socket()
        if room:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
        self.socket.connect((host, int(port)))

    def ask(self, kind: str, number: int, **changes: str) -> None:
        """Send one complete request."""
        fields = request_headers(kind) | {"X-Request-Id": str(number)} | changes
        method = "GET" if kind == "look" else "POST"
        self.socket.sendall(
            f"{method} /{kind} HTTP/1.1\r\nHost: x\r\n".encode()
            + b"".join(f"{name}: {value}\r\n".encode() for name, value in fields.items())
            + b"\r\n"
        )

    def disconnect(self, how: str) -> None:
        """Disconnect by FIN, by RST, by closing only the sending side, or by FIN behind input that is not read yet."""
        if how == "RST":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if how == "half":
            self.socket.shutdown(socket.SHUT_WR)
        else:
            self.socket.close()

    def read_to_end(self) -> bytes:
        """Return all data up to the end of the connection; call it when the proxy will close it."""
        self.socket.setblocking(True)
        self.socket.settimeout(20.0)
        return b"".join(iter(lambda: self.socket.recv(1 << 16), b""))


DISCONNECTS = ["FIN", "RST", "half", "behind"]


def connect_and_ask(s: ProxyHarness, how: str, count: int = 1) -> list[Client]:
    clients = [Client(s) for _ in range(count)]
    for number, client in enumerate(clients):
        client.ask("order", number)
        if how == "behind":
            for ahead in range(64):  # more requests than the proxy reads before the first answer
                client.ask("order", 100 * number + ahead + 1000)
    return clients


@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.parametrize("count", [1, 3])
def test_a_request_whose_client_leaves_during_its_dial_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, how: str, count: int
) -> None:
    """The end of the client's connection is in the kernel, unseen by the loop, when the dial completes."""
    host = UpstreamHost()

    async def scenario(s: ProxyHarness) -> None:
        held = HeldDials(monkeypatch)
        clients = connect_and_ask(s, how, count)
        await until(lambda: held.dials == count)
        for client in clients:
            client.disconnect(how)
        held.released.set()
        await until(lambda: s.proxy.client_connection_count == 0)
        await drain_hosts(s, host)

    play(tmp_path, scenario, host)
    assert not host.requests


@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.parametrize("count", [1, 3])
def test_a_request_whose_client_leaves_while_it_is_held_is_not_sent_once_a_host_is_there(
    tmp_path: Path, how: str, count: int
) -> None:
    host = UpstreamHost()

    async def scenario(s: ProxyHarness) -> None:
        async def send_list_changes(version: int, state: str) -> None:
            change = {"version": version, "full": False, "servers": [entry("s0", s.address, state)]}
            s.discovery.lines.put_nowait(json.dumps(change).encode())
            await until(lambda: s.proxy.counters["lists_changes"] == version - 1)

        await send_list_changes(2, "DELETED")
        clients = connect_and_ask(s, how, count)
        await until(lambda: s.proxy.counters["requests_taken"] == count)
        for client in clients:
            client.disconnect(how)
        await send_list_changes(3, "SERVING")
        await until(lambda: s.proxy.client_connection_count == 0)
        await drain_hosts(s, host)

    play(tmp_path, scenario, host)
    assert not host.requests


@pytest.mark.parametrize("status", [200, 400])
def test_a_last_answer_arrives_though_more_has_come_than_was_read(tmp_path: Path, status: int) -> None:
    """The client reads late and in small parts: a reset would discard what the kernel still buffers for it."""
    body = b"x" * 300_000
    host = UpstreamHost(lambda _: answer(200, body), reads=lambda _: False)

    async def scenario(s: ProxyHarness) -> None:
        s.proxy._frontend.closing = True  # as while the proxy stops
        client = Client(s, room=4096)
        if status == 400:
            client.socket.sendall(b"GARBAGE\r\n\r\n")
        else:
            client.ask("look", 1)
            await until(lambda: s.proxy.counters["legs_sent"] == 1)
        client.socket.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            for _ in range(64):  # as much as the kernel accepts
                client.socket.send(b"GET " + b"x" * 65_536)
        host.go_on.set()
        await until(lambda: s.proxy._connections.count == 1)
        await until(lambda: s.proxy._connections.count == 0)
        head, _, received = client.read_to_end().partition(b"\r\n\r\n")
        assert head.split()[1] == b"%d" % status
        assert received == body if status == 200 else received

    play(tmp_path, scenario, host)


async def send_list_changes(s: ProxyHarness, version: int, *servers: dict[str, Any]) -> None:
    """Send changes of the list from discovery and wait until the proxy has received them."""
    before = s.proxy.counters["lists_changes"]
    s.discovery.lines.put_nowait(json.dumps({"version": version, "full": False, "servers": servers}).encode())
    await until(lambda: s.proxy.counters["lists_changes"] == before + 1)


@pytest.mark.parametrize("moves", [False, True], ids=["same address", "another address"])
def test_a_host_that_is_back_with_the_next_word_of_discovery_is_asked(tmp_path: Path, moves: bool) -> None:
    hosts = UpstreamHost(), UpstreamHost()

    async def scenario(s: ProxyHarness) -> None:
        await send_list_changes(s, 2, entry("s0", s.addresses[0], "DELETED"), entry("s1", s.addresses[1], "DELETED"))
        await asyncio.sleep(0.05)  # until the actors have processed the changes
        await send_list_changes(s, 3, entry("s0", s.addresses[moves], started_ms=1))
        assert (await s.ask("pay"))[0] == 200
        assert s.proxy.counters["legs_moot"] == 0

    play(tmp_path, scenario, *hosts)
    assert [len(host.requests) for host in hosts] == [not moves, moves]


@pytest.mark.parametrize("when", ["dialled", "answered"])
def test_nothing_goes_to_the_old_address_of_a_host_that_has_moved(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, when: str
) -> None:
    """Another host may have the old address: neither a dial in progress nor a connection in use may be used for it."""
    old, new = UpstreamHost(), UpstreamHost()

    async def scenario(s: ProxyHarness) -> None:
        await send_list_changes(s, 2, entry("s1", s.addresses[1], "DELETED"))
        held = HeldDials(monkeypatch)
        response = asyncio.ensure_future(s.ask("pay"))
        await until(lambda: held.dials == 1)
        if when == "answered":
            old.reads = lambda _: False
            held.released.set()
            await until(lambda: old.connections == 1)
        await send_list_changes(s, 3, entry("s0", s.addresses[1], started_ms=1))
        await asyncio.sleep(0.05)  # until its actor has processed the change
        held.released.set()
        old.go_on.set()
        assert (await response)[0] == (503 if when == "dialled" else 200)
        await asyncio.sleep(0.05)  # the delay before a connection is reused
        assert (await s.ask("pay", {"X-Request-Id": "2"}))[0] == 200

    play(tmp_path, scenario, old, new)
    assert [len(host.requests) for host in (old, new)] == [int(when == "answered"), 1]


def shrink_client_send_buffer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shrink the send buffers of client connections, so that unsent bytes wait in the proxy."""
    original_connection_made = ClientConnection.connection_made

    def connection_made(handler: ClientConnection, transport: Any) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        original_connection_made(handler, transport)

    monkeypatch.setattr(ClientConnection, "connection_made", connection_made)


def unsent_bytes(s: ProxyHarness) -> list[int]:
    """Return the number of bytes that wait in the proxy for each client connection."""
    return [transport.get_write_buffer_size() for transport in s.proxy._connections._transports.values()]


def test_an_answer_that_a_slow_reader_has_not_had_yet_is_not_cut_off_when_the_idle_are_dismissed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    body = b"x" * 1_000_000
    shrink_client_send_buffer(monkeypatch)

    async def scenario(s: ProxyHarness) -> None:
        slow, quick = Client(s, room=4096), Client(s)
        slow.ask("look", 1)
        quick.ask("look", 2)
        await until(lambda: s.proxy.counters["answers_served"] == 2)
        received = asyncio.ensure_future(asyncio.to_thread(quick.read_to_end))
        await until(lambda: sum(size > 0 for size in unsent_bytes(s)) == 1)
        s.proxy._connections.close_idle()
        assert (await received).endswith(body)  # the connection was idle and is closed
        assert (await asyncio.to_thread(slow.read_to_end)).endswith(body)

    play(tmp_path, scenario, UpstreamHost(lambda _: answer(200, body)))


MOST_IDLE_S = 0.3
IDLE_SETTINGS = ("door.kept_idle_s=0.1", f"door.most_idle_s={MOST_IDLE_S}")


def test_an_answer_on_its_way_to_a_slow_reader_is_not_cut_off_by_the_bound_of_idle_connections(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client keeps reading for longer than the idle limit: it gets its answer whole before the limit applies."""
    body = b"x" * 400_000
    shrink_client_send_buffer(monkeypatch)

    async def scenario(s: ProxyHarness) -> None:
        slow = Client(s, room=4096)
        slow.ask("look", 1)
        await until(lambda: s.proxy.counters["answers_served"] == 1 and sum(unsent_bytes(s)) > 0)
        received = bytearray()
        slow.socket.setblocking(False)
        loop = asyncio.get_running_loop()
        end = loop.time() + 4 * MOST_IDLE_S
        while loop.time() < end:
            with contextlib.suppress(BlockingIOError):
                received += slow.socket.recv(2048)
            await asyncio.sleep(0.02)
        assert sum(unsent_bytes(s)) > 0
        received += await asyncio.to_thread(slow.read_to_end)
        assert bytes(received).endswith(body)

    play(tmp_path, scenario, UpstreamHost(lambda _: answer(200, body)), own=IDLE_SETTINGS)


def test_a_client_that_reads_nothing_of_its_answer_loses_its_place(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    shrink_client_send_buffer(monkeypatch)

    async def scenario(s: ProxyHarness) -> None:
        stuck = Client(s, room=4096)
        stuck.ask("look", 1)
        await until(lambda: sum(unsent_bytes(s)) > 0)
        await until(lambda: s.proxy._connections.count == 0)
        stuck.socket.close()

    play(tmp_path, scenario, UpstreamHost(lambda _: answer(200, b"x" * 400_000)), own=IDLE_SETTINGS)


def test_whoever_the_kernel_lets_in_during_the_listeners_last_turn_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(s: ProxyHarness) -> None:
        last = list[Client]()

        async def late(server: asyncio.Server) -> None:
            await stop_accepting(server)
            if last:
                return  # the harness stops the proxy once more
            last.extend(Client(s) for _ in range(3))  # the proxy no longer accepts
            for number, client in enumerate(last):
                client.ask("look", number)

        monkeypatch.setattr("cranebank.daemon.stop_accepting", late)
        await s.proxy.stop(linger=0.0)
        for client in last:
            assert (await asyncio.to_thread(client.read_to_end)).startswith(b"HTTP/1.1 200")

    play(tmp_path, scenario, UpstreamHost())


@pytest.mark.parametrize("crowded", [False, True])
def test_a_request_that_has_come_when_its_connection_is_idle_for_too_long_is_answered(
    tmp_path: Path, crowded: bool
) -> None:
    """The request is in the kernel, unseen by the loop."""

    async def scenario(s: ProxyHarness) -> None:
        connections, clients = s.proxy._connections, [Client(s) for _ in range(2 + 28 * crowded)]
        clients[0].ask("look", 1)
        clients[1].ask("look", 2)
        await until(lambda: s.proxy.counters["answers_served"] == 2 and len(connections._idle) == 2)
        for client in clients[:2]:
            client.socket.recv(1000)
        connections._timer.cancel()  # type: ignore[union-attr]
        await asyncio.sleep(0.15)
        clients[0].ask("look", 3)
        connections._sweep()
        assert await asyncio.to_thread(clients[1].read_to_end) == b""
        await until(lambda: s.proxy.counters["answers_served"] == 3)
        assert (await asyncio.to_thread(clients[0].read_to_end)).startswith(b"HTTP/1.1 200")

    play(tmp_path, scenario, UpstreamHost(), sockets=96, own=("door.kept_idle_s=0.1", "door.most_idle_s=0.1"))


@pytest.mark.parametrize("kind", ["look", "order", "pay"])
def test_the_deadline_falls_in_the_turn_in_which_the_answers_last_byte_is_there(tmp_path: Path, kind: str) -> None:
    """Whichever is processed first, the client gets one final answer and nothing after it."""
    hosts = [UpstreamHost(reads=lambda _: False) for _ in range(2)]

    async def scenario(s: ProxyHarness) -> None:
        client = Client(s)
        client.ask(kind, 1, **{"X-Deadline-Ms": "400"})
        await until(lambda: any(host.connections for host in hosts) or s.proxy.counters["answers_declined"] > 0)
        end = time.monotonic() + 0.4
        for host in hosts:
            host.go_on.set()
        for _ in range(5):  # the host reads and answers the request; the answer is in the kernel
            await asyncio.sleep(0)
        while time.monotonic() < end:
            pass
        answers = ("answers_served", "answers_declined", "answers_failed")
        await until(lambda: sum(s.proxy.counters[name] for name in answers) == 1)
        await until(lambda: all(host.ended == host.connections for host in hosts) or s.proxy._pool.open > 0)
        s.proxy._connections.close_idle()
        received = await asyncio.to_thread(client.read_to_end)
        assert received.count(b"HTTP/1.1 ") == 1
        assert sum(s.proxy.counters[name] for name in answers) == 1
        assert s.proxy.counters["answers_overdue"] == 0

    play(tmp_path, scenario, *hosts, MaxAttempts=2)


def test_what_was_taken_before_new_classes_were_told_is_answered_under_the_old_ones(tmp_path: Path) -> None:
    """New classes need a restart, which is reported; until then the old ones apply, whatever the file no longer has."""
    host = UpstreamHost(reads=lambda _: False)

    async def scenario(s: ProxyHarness) -> None:
        response = asyncio.ensure_future(s.ask("pay"))
        await until(lambda: host.connections == 1)
        path = tmp_path / "config.json"
        data = json.loads(path.read_text(encoding="utf-8"))
        data["settings"]["Lanes"] = data["settings"]["Lanes"][:1]
        data["settings"]["Realms"] = []
        path.write_text(json.dumps(data), encoding="utf-8")
        config = load({"GW_CONFIG": str(path)})
        assert "settings" in " ".join(s.proxy._config.needs_restart(config))
        s.proxy.reload(config)
        host.go_on.set()
        assert (await response)[0] == 200
        assert (await s.ask("order", {"X-Request-Id": "2"}))[0] == 200

    play(tmp_path, scenario, host)


@pytest.mark.parametrize("what", ["bytes", "half a line", "FIN"])
def test_an_idle_connection_is_not_taken_up_in_the_turn_in_which_its_host_ends_or_writes_to_it(
    tmp_path: Path, what: str
) -> None:
    """The bytes or the FIN are in the kernel, unseen by the loop; the next request gets a new connection."""
    host = UpstreamHost(lambda n: answer(200, b"%d" % n))

    async def scenario(s: ProxyHarness) -> None:
        assert (await s.ask("pay"))[:2] == (200, b"1")
        await asyncio.sleep(0.05)  # the delay before a connection is reused
        sock = host.writers[0].get_extra_info("socket")
        if what == "FIN":
            sock.shutdown(socket.SHUT_WR)
        else:
            host.writers[0].write(answer(200, b"old") if what == "bytes" else b"HTTP/1.1 2")
        connection = await s.proxy._pool.take("s0", s.address)
        assert s.proxy.counters["connections_reused"] == 0
        s.proxy._pool.give_back(connection)
        await asyncio.sleep(0.05)
        assert (await s.ask("pay", {"X-Request-Id": "2"}))[:2] == (200, b"2")

    play(tmp_path, scenario, host)


def test_two_timers_keep_the_order_of_their_times_whatever_passes_while_they_are_set() -> None:
    """A stall while the first timer is set must not place it after the second one."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        clock, read = Clock(loop), loop.time
        at = clock.now() + 60_000_000
        loop.time = lambda: read() + 5.0  # type: ignore[method-assign]
        first = clock.call_at(at, print)
        loop.time = read  # type: ignore[method-assign]
        second = clock.call_at(at + 1_000, print)
        assert first.when() < second.when()
        first.cancel()
        second.cancel()

    asyncio.run(scenario())
