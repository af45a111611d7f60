"""Upstream hosts whose answers are malformed, or well-formed but followed by bytes that do not belong to them."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from peers import ProxyHarness, UpstreamHost, answer, entry, play, until

COPY = answer(200, b"old")


@pytest.mark.parametrize("late", [False, True], ids=["with it", "idle"])
@pytest.mark.parametrize(
    "spare",
    [
        COPY,
        COPY[:-2],
        COPY[:9],
        b"\x00\xffnoise",
        b"\r\n" * 3 + COPY,
        COPY * 400,
    ],
    ids=["copy", "half", "start", "noise", "blank lines", "many"],
)
def test_what_comes_behind_an_answer_never_answers_the_next_request(tmp_path: Path, spare: bytes, late: bool) -> None:
    host = UpstreamHost(lambda n: answer(200, b"%d" % n), spare=spare, spare_after=0.03 if late else 0.0)

    async def scenario(s: ProxyHarness) -> None:
        for n in range(1, 4):
            assert (await s.ask("pay"))[:2] == (200, b"%d" % n)
            await asyncio.sleep(0.08)  # the spare bytes arrive; no assertion depends on when
        assert s.proxy.counters["legs_ok"] == s.proxy.counters["legs_sent"] == 3

    play(tmp_path, scenario, host)
    assert host.connections == 3


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n" + answer(200, b"ok"),
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + answer(200, b"ok"),
        answer(200, b"ok", "X-Load: TEXT inflight=\xff"),
        answer(200, b"ok", "X-Load: " + "9" * 4000),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
        answer(200, b"ok" * 200_000),
    ],
    ids=["100", "103 and 102", "report", "long report", "chunked", "400 KB"],
)
def test_a_good_answer_is_passed_on_whatever_stands_around_it(tmp_path: Path, reply: bytes) -> None:
    host = UpstreamHost(lambda _: reply)

    async def scenario(s: ProxyHarness) -> None:
        for _ in range(2):
            status, body, _ = await s.ask("pay")
            assert (status, body) == (200, b"ok" * (len(body) // 2))
            assert len(body) in (2, 400_000)
            await asyncio.sleep(0.05)

    play(tmp_path, scenario, host)
    assert host.connections == 1


HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "reply",
    [
        b"\x00\xff" * 50,
        b"ICY 200 OK\r\n\r\n",
        HEAD + b"X: " + b"x" * 200_000,
        HEAD + b"X: 1\r\n" * 20_000,
        HEAD + b"Content-Length: -1\r\n\r\nok",
        HEAD + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 9_000,
        HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
        HEAD + b"Content-Length: 2x\r\n\r\nok",
        HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nok",
        HEAD + b"\r\n" + b"x" * ((1 << 20) + 1),
        HEAD + b"no colon\r\n\r\nok",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 9_000,
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 400_000,
    ],
    ids=[
        "noise",
        "protocol",
        "long field",
        "endless head",
        "negative",
        "3 GB",
        "two lengths",
        "length",
        "both",
        "chunk",
        "too much without length",
        "no colon",
        "endless 1xx",
        "upgrade",
        "endless chunks",
    ],
)
def test_a_spoilt_answer_is_a_leg_that_may_have_run_and_ends_its_connection_at_once(
    tmp_path: Path, reply: bytes
) -> None:
    host = UpstreamHost(lambda n: reply if n == 1 else answer(200, b"good"))

    async def scenario(s: ProxyHarness) -> None:
        assert (await s.ask("pay"))[0] == 502  # failed, not refused, as the request may have run
        assert s.proxy.counters["legs_reset"] == s.proxy.counters["legs_sent"] == 1
        await host.closed.wait()
        assert (await s.ask("pay"))[:2] == (200, b"good")

    play(tmp_path, scenario, host)


NO_LENGTH = HEAD + b"Connection: close\r\n\r\n"


@pytest.mark.parametrize("body", [b"", b"whole", b"x" * 200_000], ids=["empty", "short", "long"])
@pytest.mark.parametrize("resets", [False, True], ids=["FIN", "RST"])
def test_an_answer_without_a_length_is_whole_at_its_end_and_a_reset_is_none(
    tmp_path: Path, body: bytes, resets: bool
) -> None:
    host = UpstreamHost(lambda _: NO_LENGTH + body, resets=resets)

    async def scenario(s: ProxyHarness) -> None:
        for number in range(2):
            assert (await s.ask("pay"))[:2] == ((502, b"") if resets else (200, body))
            assert s.proxy.counters["legs_reset" if resets else "legs_ok"] == number + 1

    play(tmp_path, scenario, host)
    assert host.connections == 2


@pytest.mark.parametrize(
    "reply",
    [
        answer(200, b"whole", "Connection: close")[:-1],
        HEAD + b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n",
        HEAD + b"Connection: close\r\n",
        b"",
    ],
    ids=["short of its length", "no last chunk", "in the head", "nothing"],
)
def test_an_answer_that_tells_its_end_is_not_whole_before(tmp_path: Path, reply: bytes) -> None:
    host = UpstreamHost(lambda _: reply)

    async def scenario(s: ProxyHarness) -> None:
        assert (await s.ask("pay"))[0] == 502
        assert s.proxy.counters["legs_reset"] == 1

    play(tmp_path, scenario, host)


def test_an_answer_without_a_length_that_is_not_ended_is_not_whole_when_time_is_up(tmp_path: Path) -> None:
    host = UpstreamHost(lambda _: HEAD + b"\r\nok")

    async def scenario(s: ProxyHarness) -> None:
        while not host.requests:
            assert (await s.ask("pay", {"X-Deadline-Ms": "200"}))[0] in (502, 503)
        assert s.proxy.counters["legs_timeout"] == 1

    play(tmp_path, scenario, host)


def test_hosts_share_one_limit_of_connections_and_the_longest_idle_makes_room(tmp_path: Path) -> None:
    hosts = [UpstreamHost() for _ in range(20)]

    async def scenario(s: ProxyHarness) -> None:
        for n in range(80):
            assert (await s.ask("look", {"X-Request-Id": f"r{n}"}))[0] == 200
        await until(lambda: sum(host.connections > host.ended for host in hosts) <= 48 - 32)

    play(tmp_path, scenario, *hosts, sockets=48)


def test_a_new_host_at_an_address_that_was_anothers_gets_connections_of_its_own(tmp_path: Path) -> None:
    host = UpstreamHost()

    async def scenario(s: ProxyHarness) -> None:
        assert (await s.ask())[0] == 200
        for version, name, state in ((2, "s0", "DELETED"), (3, "s9", "SERVING")):
            s.discovery.lines.put_nowait(
                json.dumps({"version": version, "full": False, "servers": [entry(name, s.address, state)]}).encode()
            )
            await until(lambda: s.proxy.counters["lists_changes"] == version - 1)  # noqa: B023
            await until(lambda: host.ended == 1)
        assert (await s.ask())[0] == 200

    play(tmp_path, scenario, host)
    assert host.connections == 2
