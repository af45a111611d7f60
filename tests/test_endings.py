"""Something ends while something is still owed: each crossing is forced, on real sockets, in the turn where it hurts.

Peers and the loop's turns are stepped by events: bytes lie in the kernel's buffer before the loop goes on, a dial is
held until it may come up, a gate stands before a write. docs/endings.md has a row for each path and names its test.
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
    """Holds each dial from the ``after``-th on, once it is up, until ``release`` is set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, after: int = 1) -> None:
        self.release, self.dials, self.links = asyncio.Event(), 0, list[UpstreamConnection]()
        whole = ConnectionPool.take

        async def take(links: ConnectionPool, host: str, address: str) -> UpstreamConnection:
            link = await whole(links, host, address)
            self.dials += 1
            if self.dials >= after:
                self.links.append(link)
                try:
                    await self.release.wait()
                except BaseException:
                    links.give_back(link)
                    raise
            return link

        monkeypatch.setattr(ConnectionPool, "take", take)


async def drain_hosts(s: ProxyHarness, *hosts: UpstreamHost) -> None:
    """End the idle connections to the hosts, and go on once these have read all that there was."""
    s.proxy._pool.drop()
    await until(lambda: all(host.ended == host.connections for host in hosts))


async def repeat_dialled(s: ProxyHarness, held: HeldDials) -> tuple[asyncio.Future[Any], int]:
    """A keyed request whose first leg was answered by an error and whose repeat is being dialled; the first of so many
    requests that came so far: a machine that stands still may let a window pass before its repeat is decided."""
    asks = 0
    while True:
        asks, held.dials = asks + 1, 0
        asked = asyncio.ensure_future(s.ask("order", {"X-Request-Id": str(asks)}))
        await until(lambda: held.dials == 2 or asked.done())  # noqa: B023
        if not asked.done():
            return asked, asks


async def wait_past(s: ProxyHarness, moment: int) -> None:
    """Go on once the proxy's clock has passed ``moment``, in microseconds."""
    while s.proxy._clock.now() <= moment:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("late", [True, False], ids=["its window over", "in time"])
def test_a_repeat_that_is_dialled_goes_out_in_its_window_only(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, late: bool
) -> None:
    hosts = [UpstreamHost(lambda _: answer(500)) for _ in range(2)]

    async def story(s: ProxyHarness) -> None:
        held = HeldDials(monkeypatch, after=2)
        asked, asks = await repeat_dialled(s, held)
        if late:
            await wait_past(s, s.proxy._clock.now() + WINDOW_MS * 1000)
        held.release.set()
        assert (await asked)[0] == 503
        assert s.proxy.counters["legs_moot"] == late
        assert sum(len(host.requests) for host in hosts) == asks + (not late)

    play(tmp_path, story, *hosts, **KEYED if late else {"MaxAttempts": 2})


def shrink_send_buffer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Leave a request of 64 KB no room in the kernel: part of it is written, the rest waits for the host to read."""
    made = UpstreamConnection.connection_made

    def connection_made(link: UpstreamConnection, transport: Any) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        made(link, transport)

    monkeypatch.setattr(UpstreamConnection, "connection_made", connection_made)


@pytest.mark.parametrize("kind", ["order", "pay"])
def test_a_leg_partly_written_when_its_time_is_up_sends_no_byte_more(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    """The repeat of a keyed request at the end of its window; an unsafe one at its client's deadline."""
    shrink_send_buffer(monkeypatch)
    firsts = list[bool]()  # the first host that is asked answers, the next one does not read
    hosts = [
        UpstreamHost(lambda _: answer(500), reads=lambda _: bool(firsts and firsts.pop()), room=4096) for _ in range(2)
    ]

    async def story(s: ProxyHarness) -> None:
        left = {} if kind == "order" else {"X-Deadline-Ms": str(WINDOW_MS)}
        ends, asks = "legs_moot" if kind == "order" else "legs_connect_failed", 0
        while not any(host.reads_nothing for host in hosts):  # or the machine stood still till its time was up
            firsts[:], asks = [kind == "order"], asks + 1
            status, _, _ = await s.ask(kind, left | {"X-Request-Id": str(asks)}, body=b"x" * (64 << 10))
            assert status == 503  # it never ran, or is keyed
        assert s.proxy.counters[ends] >= 1
        for host in hosts:
            host.go_on.set()
        await drain_hosts(s, *hosts)
        assert sum(len(host.requests) for host in hosts) <= asks * (kind == "order")

    play(tmp_path, story, *hosts, **KEYED)


def test_the_window_ends_in_the_turn_in_which_the_connection_comes_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    hosts = [UpstreamHost(lambda _: answer(500)) for _ in range(2)]

    async def story(s: ProxyHarness) -> None:
        held = HeldDials(monkeypatch, after=2)
        asked, asks = await repeat_dialled(s, held)
        end = time.monotonic() + WINDOW_MS / 1000
        while time.monotonic() < end:  # the loop stands still: the alarm is due, and behind the dial
            pass
        held.release.set()
        assert (await asked)[0] == 503
        assert sum(len(host.requests) for host in hosts) == asks

    play(tmp_path, story, *hosts, **KEYED)


@pytest.mark.parametrize("kind", ["look", "order", "pay"])
def test_a_leg_called_off_in_the_turn_in_which_its_connection_comes_up_is_not_written(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    """Its time is up; that it never ran is told at once, and must be so."""
    hosts = [UpstreamHost(), UpstreamHost()]

    async def story(s: ProxyHarness) -> None:
        held = HeldDials(monkeypatch)
        ended = s.proxy._engine._rules._leg_ended

        def release(message: LegEnded) -> None:
            held.release.set()  # the dial is up in the turn in which its leg is called off
            ended(message)

        monkeypatch.setattr(s.proxy._engine._rules, "_leg_ended", release)
        assert (await s.ask(kind, {"X-Deadline-Ms": "100"}))[0] == 503
        await drain_hosts(s, *hosts)
        assert s.proxy.counters["legs_connect_failed"] == s.proxy.counters["legs_sent"] == 1

    play(tmp_path, story, *hosts)
    assert sum(len(host.requests) for host in hosts) == 0


@pytest.mark.parametrize("kind", ["order", "pay"])
def test_a_leg_called_off_in_the_turn_in_which_its_rest_could_go_out_stays_unsent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kind: str
) -> None:
    shrink_send_buffer(monkeypatch)
    host = UpstreamHost(reads=lambda _: False, room=4096)

    async def story(s: ProxyHarness) -> None:
        links = HeldDials(monkeypatch)
        links.release.set()
        ended = s.proxy._engine._rules._leg_ended

        def make_room(message: LegEnded) -> None:
            (link,) = links.links
            assert not link.sent
            link._transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            ended(message)

        monkeypatch.setattr(s.proxy._engine._rules, "_leg_ended", make_room)
        assert (await s.ask(kind, {"X-Deadline-Ms": "100"}, body=b"x" * (64 << 10)))[0] == 503
        host.go_on.set()
        await drain_hosts(s, host)

    play(tmp_path, story, host)
    assert not host.requests


class Client:
    """A client's bare socket: what it does is in the kernel at once, before the loop goes on."""

    def __init__(self, s: ProxyHarness, room: int = 0) -> None:
        host, _, port = s.url.removeprefix("http://").rpartition(":")
        self.socket = socket.socket()
        if room:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
        self.socket.connect((host, int(port)))

    def ask(self, kind: str, number: int, **changes: str) -> None:
        """Write one whole request."""
        fields = request_headers(kind) | {"X-Request-Id": str(number)} | changes
        method = "GET" if kind == "look" else "POST"
        self.socket.sendall(
            f"{method} /{kind} HTTP/1.1\r\nHost: x\r\n".encode()
            + b"".join(f"{name}: {value}\r\n".encode() for name, value in fields.items())
            + b"\r\n"
        )

    def leave(self, how: str) -> None:
        """Go: by FIN, by RST, with the sending side only, or by FIN behind more than is read of it."""
        if how == "RST":
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if how == "half":
            self.socket.shutdown(socket.SHUT_WR)
        else:
            self.socket.close()

    def rest(self) -> bytes:
        """All that comes up to the end; for after the proxy is done with it."""
        self.socket.setblocking(True)
        self.socket.settimeout(20.0)
        return b"".join(iter(lambda: self.socket.recv(1 << 16), b""))


LEAVE = ["FIN", "RST", "half", "behind"]


def ask_and_more(s: ProxyHarness, how: str, count: int = 1) -> list[Client]:
    clients = [Client(s) for _ in range(count)]
    for number, client in enumerate(clients):
        client.ask("order", number)
        if how == "behind":
            for ahead in range(64):  # more requests than are read ahead of the first one's answer
                client.ask("order", 100 * number + ahead + 1000)
    return clients


@pytest.mark.parametrize("how", LEAVE)
@pytest.mark.parametrize("count", [1, 3])
def test_a_request_whose_client_leaves_during_its_dial_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, how: str, count: int
) -> None:
    """Its end lies in the kernel when the connection comes up, and the loop has not seen it."""
    host = UpstreamHost()

    async def story(s: ProxyHarness) -> None:
        held = HeldDials(monkeypatch)
        clients = ask_and_more(s, how, count)
        await until(lambda: held.dials == count)
        for client in clients:
            client.leave(how)
        held.release.set()
        await until(lambda: s.proxy.places_taken == 0)
        await drain_hosts(s, host)

    play(tmp_path, story, host)
    assert not host.requests


@pytest.mark.parametrize("how", LEAVE)
@pytest.mark.parametrize("count", [1, 3])
def test_a_request_whose_client_leaves_while_it_is_held_is_not_sent_once_a_host_is_there(
    tmp_path: Path, how: str, count: int
) -> None:
    host = UpstreamHost()

    async def story(s: ProxyHarness) -> None:
        async def tell(version: int, state: str) -> None:
            change = {"version": version, "full": False, "servers": [entry("s0", s.address, state)]}
            s.discovery.lines.put_nowait(json.dumps(change).encode())
            await until(lambda: s.proxy.counters["lists_changes"] == version - 1)

        await tell(2, "DELETED")
        clients = ask_and_more(s, how, count)
        await until(lambda: s.proxy.counters["requests_taken"] == count)
        for client in clients:
            client.leave(how)
        await tell(3, "SERVING")
        await until(lambda: s.proxy.places_taken == 0)
        await drain_hosts(s, host)

    play(tmp_path, story, host)
    assert not host.requests


@pytest.mark.parametrize("status", [200, 400])
def test_a_last_answer_arrives_though_more_has_come_than_was_read(tmp_path: Path, status: int) -> None:
    """The client reads late and little at a time: what the kernel still holds for it would go with a reset."""
    body = b"x" * 300_000
    host = UpstreamHost(lambda _: answer(200, body), reads=lambda _: False)

    async def story(s: ProxyHarness) -> None:
        s.proxy._frontend.closing = True  # as while it stops
        client = Client(s, room=4096)
        if status == 400:
            client.socket.sendall(b"GARBAGE\r\n\r\n")
        else:
            client.ask("look", 1)
            await until(lambda: s.proxy.counters["legs_sent"] == 1)
        client.socket.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            for _ in range(64):  # as much as the kernel takes
                client.socket.send(b"GET " + b"x" * 65_536)
        host.go_on.set()
        await until(lambda: s.proxy._connections.count == 1)
        await until(lambda: s.proxy._connections.count == 0)
        head, _, told = client.rest().partition(b"\r\n\r\n")
        assert head.split()[1] == b"%d" % status
        assert told == body if status == 200 else told

    play(tmp_path, story, host)


async def tell(s: ProxyHarness, version: int, *servers: dict[str, Any]) -> None:
    """Discovery tells changes; go on once they are heard."""
    before = s.proxy.counters["lists_changes"]
    s.discovery.lines.put_nowait(json.dumps({"version": version, "full": False, "servers": servers}).encode())
    await until(lambda: s.proxy.counters["lists_changes"] == before + 1)


@pytest.mark.parametrize("moves", [False, True], ids=["same address", "another address"])
def test_a_host_that_is_back_with_the_next_word_of_discovery_is_asked(tmp_path: Path, moves: bool) -> None:
    hosts = UpstreamHost(), UpstreamHost()

    async def story(s: ProxyHarness) -> None:
        await tell(s, 2, entry("s0", s.addresses[0], "DELETED"), entry("s1", s.addresses[1], "DELETED"))
        await asyncio.sleep(0.05)  # the actors have heard
        await tell(s, 3, entry("s0", s.addresses[moves], started_ms=1))
        assert (await s.ask("pay"))[0] == 200
        assert s.proxy.counters["legs_moot"] == 0

    play(tmp_path, story, *hosts)
    assert [len(host.requests) for host in hosts] == [not moves, moves]


@pytest.mark.parametrize("when", ["dialled", "answered"])
def test_nothing_goes_to_the_old_address_of_a_host_that_has_moved(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, when: str
) -> None:
    """Another host may stand there: not from a dial that was under way, nor on a connection that was in use."""
    old, new = UpstreamHost(), UpstreamHost()

    async def story(s: ProxyHarness) -> None:
        await tell(s, 2, entry("s1", s.addresses[1], "DELETED"))
        held = HeldDials(monkeypatch)
        asked = asyncio.ensure_future(s.ask("pay"))
        await until(lambda: held.dials == 1)
        if when == "answered":
            old.reads = lambda _: False
            held.release.set()
            await until(lambda: old.connections == 1)
        await tell(s, 3, entry("s0", s.addresses[1], started_ms=1))
        await asyncio.sleep(0.05)  # its actor has heard
        held.release.set()
        old.go_on.set()
        assert (await asked)[0] == (503 if when == "dialled" else 200)
        await asyncio.sleep(0.05)  # a connection rests before it is used again
        assert (await s.ask("pay", {"X-Request-Id": "2"}))[0] == 200

    play(tmp_path, story, old, new)
    assert [len(host.requests) for host in (old, new)] == [int(when == "answered"), 1]


def keep_little_in_the_kernel(monkeypatch: pytest.MonkeyPatch) -> None:
    """The kernel takes in few unsent bytes of a client's connection, so that the rest waits in the proxy."""
    made = ClientConnection.connection_made

    def connection_made(handler: ClientConnection, transport: Any) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        made(handler, transport)

    monkeypatch.setattr(ClientConnection, "connection_made", connection_made)


def unsent_bytes(s: ProxyHarness) -> list[int]:
    """What waits in the proxy for each client's connection."""
    return [one.get_write_buffer_size() for one in s.proxy._connections._transports.values()]


def test_an_answer_that_a_slow_reader_has_not_had_yet_is_not_cut_off_when_the_idle_are_dismissed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    body = b"x" * 1_000_000
    keep_little_in_the_kernel(monkeypatch)

    async def story(s: ProxyHarness) -> None:
        slow, quick = Client(s, room=4096), Client(s)
        slow.ask("look", 1)
        quick.ask("look", 2)
        await until(lambda: s.proxy.counters["answers_served"] == 2)
        told = asyncio.ensure_future(asyncio.to_thread(quick.rest))
        await until(lambda: sum(size > 0 for size in unsent_bytes(s)) == 1)
        s.proxy._connections.dismiss()
        assert (await told).endswith(body)  # and it is idle, and ended
        assert (await asyncio.to_thread(slow.rest)).endswith(body)

    play(tmp_path, story, UpstreamHost(lambda _: answer(200, body)))


MOST_IDLE_S = 0.3
IDLE = ("door.kept_idle_s=0.1", f"door.most_idle_s={MOST_IDLE_S}")


def test_an_answer_on_its_way_to_a_slow_reader_is_not_cut_off_by_the_bound_of_idle_connections(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client reads on, for longer than a connection may be idle: its answer is whole, and then it is idle."""
    body = b"x" * 400_000
    keep_little_in_the_kernel(monkeypatch)

    async def story(s: ProxyHarness) -> None:
        slow = Client(s, room=4096)
        slow.ask("look", 1)
        await until(lambda: s.proxy.counters["answers_served"] == 1 and sum(unsent_bytes(s)) > 0)
        had = bytearray()
        slow.socket.setblocking(False)
        loop = asyncio.get_running_loop()
        end = loop.time() + 4 * MOST_IDLE_S
        while loop.time() < end:
            with contextlib.suppress(BlockingIOError):
                had += slow.socket.recv(2048)
            await asyncio.sleep(0.02)
        assert sum(unsent_bytes(s)) > 0
        had += await asyncio.to_thread(slow.rest)
        assert bytes(had).endswith(body)

    play(tmp_path, story, UpstreamHost(lambda _: answer(200, body)), own=IDLE)


def test_a_client_that_reads_nothing_of_its_answer_loses_its_place(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    keep_little_in_the_kernel(monkeypatch)

    async def story(s: ProxyHarness) -> None:
        stuck = Client(s, room=4096)
        stuck.ask("look", 1)
        await until(lambda: sum(unsent_bytes(s)) > 0)
        await until(lambda: s.proxy._connections.count == 0)
        stuck.socket.close()

    play(tmp_path, story, UpstreamHost(lambda _: answer(200, b"x" * 400_000)), own=IDLE)


def test_whoever_the_kernel_lets_in_during_the_listeners_last_turn_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story(s: ProxyHarness) -> None:
        last = list[Client]()

        async def late(server: asyncio.Server) -> None:
            await stop_accepting(server)
            if last:
                return  # the end of the story stops it once more
            last.extend(Client(s) for _ in range(3))  # nobody accepts any more
            for number, client in enumerate(last):
                client.ask("look", number)

        monkeypatch.setattr("cranebank.daemon.stop_accepting", late)
        await s.proxy.stop(linger=0.0)
        for client in last:
            assert (await asyncio.to_thread(client.rest)).startswith(b"HTTP/1.1 200")

    play(tmp_path, story, UpstreamHost())


@pytest.mark.parametrize("crowded", [False, True])
def test_a_request_that_has_come_when_its_connection_is_idle_for_too_long_is_answered(
    tmp_path: Path, crowded: bool
) -> None:
    """It lies in the kernel, and the loop has not seen it."""

    async def story(s: ProxyHarness) -> None:
        limited, clients = s.proxy._connections, [Client(s) for _ in range(2 + 28 * crowded)]
        clients[0].ask("look", 1)
        clients[1].ask("look", 2)
        await until(lambda: s.proxy.counters["answers_served"] == 2 and len(limited._idle) == 2)
        for client in clients[:2]:
            client.socket.recv(1000)
        limited._timer.cancel()  # type: ignore[union-attr]
        await asyncio.sleep(0.15)
        clients[0].ask("look", 3)
        limited._sweep()
        assert await asyncio.to_thread(clients[1].rest) == b""
        await until(lambda: s.proxy.counters["answers_served"] == 3)
        assert (await asyncio.to_thread(clients[0].rest)).startswith(b"HTTP/1.1 200")

    play(tmp_path, story, UpstreamHost(), sockets=96, own=("door.kept_idle_s=0.1", "door.most_idle_s=0.1"))


@pytest.mark.parametrize("kind", ["look", "order", "pay"])
def test_the_deadline_falls_in_the_turn_in_which_the_answers_last_byte_is_there(tmp_path: Path, kind: str) -> None:
    """Whichever is taken first: one final answer, and nothing behind it."""
    hosts = [UpstreamHost(reads=lambda _: False) for _ in range(2)]

    async def story(s: ProxyHarness) -> None:
        client = Client(s)
        client.ask(kind, 1, **{"X-Deadline-Ms": "400"})
        await until(lambda: any(host.connections for host in hosts) or s.proxy.counters["answers_declined"] > 0)
        end = time.monotonic() + 0.4
        for host in hosts:
            host.go_on.set()
        for _ in range(5):  # the request is read and answered; the answer lies in the kernel
            await asyncio.sleep(0)
        while time.monotonic() < end:
            pass
        answers = ("answers_served", "answers_declined", "answers_failed")
        await until(lambda: sum(s.proxy.counters[name] for name in answers) == 1)
        await until(lambda: all(host.ended == host.connections for host in hosts) or s.proxy._pool.open > 0)
        s.proxy._connections.dismiss()
        told = await asyncio.to_thread(client.rest)
        assert told.count(b"HTTP/1.1 ") == 1
        assert sum(s.proxy.counters[name] for name in answers) == 1
        assert s.proxy.counters["answers_overdue"] == 0

    play(tmp_path, story, *hosts, MaxAttempts=2)


def test_what_was_taken_before_new_classes_were_told_is_answered_under_the_old_ones(tmp_path: Path) -> None:
    """They need a restart, which is said; until then the old ones hold for all, whatever vanished from the file."""
    host = UpstreamHost(reads=lambda _: False)

    async def story(s: ProxyHarness) -> None:
        asked = asyncio.ensure_future(s.ask("pay"))
        await until(lambda: host.connections == 1)
        path = tmp_path / "config.json"
        told = json.loads(path.read_text(encoding="utf-8"))
        told["settings"]["Lanes"] = told["settings"]["Lanes"][:1]
        told["settings"]["Realms"] = []
        path.write_text(json.dumps(told), encoding="utf-8")
        config = load({"GW_CONFIG": str(path)})
        assert "settings" in " ".join(s.proxy._config.needs_restart(config))
        s.proxy.reload(config)
        host.go_on.set()
        assert (await asked)[0] == 200
        assert (await s.ask("order", {"X-Request-Id": "2"}))[0] == 200

    play(tmp_path, story, host)


@pytest.mark.parametrize("what", ["bytes", "half a line", "FIN"])
def test_an_idle_connection_is_not_taken_up_in_the_turn_in_which_its_host_ends_or_writes_to_it(
    tmp_path: Path, what: str
) -> None:
    """It lies in the kernel: the loop has seen nothing yet. The next request gets a connection of its own."""
    host = UpstreamHost(lambda n: answer(200, b"%d" % n))

    async def story(s: ProxyHarness) -> None:
        assert (await s.ask("pay"))[:2] == (200, b"1")
        await asyncio.sleep(0.05)  # a connection rests before it is used again
        sock = host.writers[0].get_extra_info("socket")
        if what == "FIN":
            sock.shutdown(socket.SHUT_WR)
        else:
            host.writers[0].write(answer(200, b"old") if what == "bytes" else b"HTTP/1.1 2")
        link = await s.proxy._pool.take("s0", s.address)
        assert s.proxy.counters["connections_reused"] == 0
        s.proxy._pool.give_back(link)
        await asyncio.sleep(0.05)
        assert (await s.ask("pay", {"X-Request-Id": "2"}))[:2] == (200, b"2")

    play(tmp_path, story, host)


def test_two_timers_keep_the_order_of_their_times_whatever_passes_while_they_are_set() -> None:
    """The machine stands still in the midst of setting the first one: its time is not the second one's after that."""

    async def story() -> None:
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

    asyncio.run(story())
