"""The control program over real loopback sockets, with a stand-in for the consensus core and a real disk."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
import uvloop
from single_node_consensus import SingleNodeConsensus
from syrupy.assertion import SnapshotAssertion
from test_configuration import body, document, route
from test_registry import beat

from cranebank.control import operator_api
from cranebank.control.consensus_replica import ConsensusReplica
from cranebank.control.membership import GroupSize, group_size
from cranebank.control.registry import Registry
from cranebank.programs import __main__ as program
from cranebank.programs.control import make_controller
from cranebank.programs.controller import (
    OPEN_CALLS_TIMEOUT_S,
    PRIMARY_CONTACT_TIMEOUT_S,
    SUCCESSOR_TIMEOUT_S,
    TICK_S,
    Controller,
)
from cranebank.programs.local_state import FINAL_WRITE_TIMEOUT_S
from cranebank.programs.log_ring import LogRing, install
from cranebank.programs.registry_service import PUSH_BATCH_S
from cranebank.programs.settings import NodeSettings, Tolerance
from cranebank.storage.store import AsyncStore, open_store
from cranebank.transport.frames import Decoder, encode, encode_items
from cranebank.transport.links import LINK_HEARTBEAT_INTERVAL_S, Link
from cranebank.transport.messages import (
    Backend,
    ConfigAck,
    ConfigPush,
    EncodedPush,
    Hello,
    LinkHeartbeat,
    Message,
    Push,
    PushAck,
    RegistryAck,
    RegistrySync,
    Welcome,
)
from cranebank.transport.revision import Revision

ONE, TWO, PROXY = "127.0.11.1", "127.0.11.2", "127.0.11.9"
REPLACE, AMEND, READ = "/api/Configuration.Replace", "/api/Configuration.Amend", "/api/Configuration.Read"
LIMIT_S = 10.0

EARLY_ANSWER_S = 0.3  # within which an answer comes that waits for no proxy
CALLER_S = 1.0  # a caller's timeout, after which it tries the next controller
ENDINGS = (
    ("/api/Servers.Heartbeat/i-1", beat(2, "draining")),
    ("/api/Servers.Leave/i-1", b""),
    ("/api/Servers.Leave/i-unknown", b""),
)

Answer = tuple[int, dict[str, str], bytes]


def free_port() -> int:
    """Return a port that is free on all addresses."""
    with socket.socket() as found:
        found.bind(("0.0.0.0", 0))
        return int(found.getsockname()[1])


def controller_settings(ip: str, ports: tuple[int, int], seeds: tuple[str, ...] = (ONE,)) -> NodeSettings:
    """Return the settings of a controller."""
    link, control = ports
    return NodeSettings(
        f"core-{ip}",
        ip,
        "z",
        (link, link + 9),
        tuple(f"{seed}:{control}" for seed in seeds),
        binds={"control_addr": f"{ip}:{control}"},
        beat_ms=1200,
    )


@asynccontextmanager
async def controller(
    folder: Path, ports: tuple[int, int], ip: str = ONE, leader: str | None = None
) -> AsyncIterator[Controller]:
    """Run a controller."""
    settings = controller_settings(ip, ports)
    store, damage = open_store(folder, "custody")
    assert damage is None
    made = Controller(
        settings,
        lambda now, random: SingleNodeConsensus(ip, store.values, leader),
        AsyncStore(store),
        Random(1),
        lambda: settings,
    )
    await made.start()
    try:
        yield made
    finally:
        await made.stop()


class Caller:
    """A client connection to the API."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def call(self, method: str, path: str, sent: bytes = b"", base: int | None = None) -> Answer:
        """Make one call on this connection."""
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(sent)}\r\n"
        if base is not None:
            head += f"X-Base-Version: {base}\r\n"
        self.writer.write(head.encode() + b"\r\n" + sent)
        return await self.answer()

    async def answer(self) -> Answer:
        """Read the next answer."""
        lines = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:] if line)}
        return int(lines[0].split()[1]), headers, await self.reader.readexactly(int(headers["content-length"]))


@asynccontextmanager
async def caller(ports: tuple[int, int], ip: str = ONE) -> AsyncIterator[Caller]:
    """Connect to a controller's API."""
    found = Caller(*await asyncio.open_connection(ip, ports[1]))
    try:
        yield found
    finally:
        found.writer.close()


class Proxy:
    """A proxy's end of a link, driven by the test."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer, self._decoder = reader, writer, Decoder()
        self._messages: list[Message] = []

    def send(self, message: Message) -> None:
        """Send a message."""
        self._writer.write(encode(message))

    async def send_heartbeats(self) -> None:
        """Keep the link alive with heartbeats that carry no revision; a silent link is closed."""
        while True:
            self.send(LinkHeartbeat())
            await asyncio.sleep(LINK_HEARTBEAT_INTERVAL_S)

    async def next(self, kind: type[Message]) -> Any:
        """Return the next message of a kind, dropping others before it."""
        while not isinstance(message := await self.next_any(), kind):
            pass
        return message

    async def until_heartbeats(self, count: int) -> list[Message]:
        """Return all messages up to the given number of heartbeats."""
        seen: list[Message] = []
        while sum(isinstance(message, LinkHeartbeat) for message in seen) < count:
            seen.append(await self.next_any())
        return seen

    async def next_any(self) -> Message:
        """Return the next message."""
        while not self._messages:
            data = await self._reader.read(1 << 20)
            assert data, "the link is over"
            self._messages += self._decoder.feed(data)
        return self._messages.pop(0)


@asynccontextmanager
async def proxy(
    ports: tuple[int, int], ip: str = ONE, revision: int = 0, records: tuple[Backend, ...] = ()
) -> AsyncIterator[Proxy]:
    """Connect as a proxy: send Hello and wait for the Welcome."""
    reader, writer = await asyncio.open_connection(ip, ports[0], local_addr=(PROXY, 0))
    found = Proxy(reader, writer)
    found.send(Hello("edge-1", "proxy", PROXY, "z", 1, Revision(revision), records))
    await found.next(Welcome)
    heartbeats = asyncio.create_task(found.send_heartbeats())
    try:
        yield found
    finally:
        heartbeats.cancel()
        writer.close()


@asynccontextmanager
async def peer_controller(ports: tuple[int, int], ip: str) -> AsyncIterator[Proxy]:
    """The other end of a link that another controller has dialled, driven by the test."""
    reader, writer = await asyncio.open_connection(ONE, ports[0], local_addr=(ip, 0))
    found = Proxy(reader, writer)
    found.send(Hello("core-peer", "controller", ip, "z", 1))
    try:
        yield found
    finally:
        writer.close()


def play(scenario: Callable[[tuple[int, int]], Awaitable[None]], limit_s: float = LIMIT_S) -> None:
    """Run a scenario with two free ports."""

    async def limited() -> None:
        async with asyncio.timeout(limit_s):
            await scenario((free_port(), free_port()))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:  # as the programs do
        runner.run(limited())


def test_operators(tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    """A configuration is accepted, sent again, raced, refused, amended, read back, and still there after a restart."""
    first = body(document(revision=7))
    steps: tuple[tuple[str, str, bytes, int | None], ...] = (
        ("GET", READ, b"", None),
        ("POST", AMEND, body({"revision": 1}), 0),
        ("POST", REPLACE, first, 0),
        ("POST", REPLACE, first, 0),  # the same call again
        ("POST", REPLACE, body(document(revision=8)), 0),  # another one on the same base
        ("POST", REPLACE, body(document(revision=7)) + b" ", 7),
        ("POST", REPLACE, first[:-5], 7),
        ("POST", REPLACE, body(document(revision=9)), None),
        ("POST", REPLACE, body(document(revision=9, routes=[route(target="none")])), 7),
        ("POST", AMEND, body({"revision": 9, "remove": {"routes": ["r-2"]}}), 7),
        ("POST", AMEND, body({"revision": 9, "remove": {"routes": ["r-2"]}}), 7),
        ("POST", REPLACE, first, 0),  # accepted earlier, and no longer the newest
        ("GET", REPLACE, b"", None),
        ("POST", "/api/Servers.Heartbeat/", b"", None),
        ("POST", "/api/Servers.Heartbeat/i", b"{", None),
        ("POST", "/api/Servers.Leave/i-1", b"", None),
    )

    async def scenario(ports: tuple[int, int]) -> None:
        answers = []
        async with controller(tmp_path, ports):
            for method, path, sent, base in steps:
                async with caller(ports) as client:
                    status, headers, answer = await client.call(method, path, sent, base)
                answers.append((method, path, base, status, headers, answer.decode()))
            async with caller(ports) as client:
                status, _, answer = await client.call("GET", READ)
                assert (status, json.loads(answer)) == (200, document(revision=9, routes=[route()]))
        async with controller(tmp_path, ports), caller(ports) as client:
            assert await client.call("GET", READ) == (status, _, answer)
        assert answers == snapshot

    play(scenario)


def test_a_race_has_one_winner(tmp_path: Path) -> None:
    """Of two simultaneous changes on the same base one is accepted; the other is refused, possibly only on its
    retry."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports), caller(ports) as one, caller(ports) as two:
            sent = [body(document(revision=7, note=note)) for note in "ab"]
            answers = await asyncio.gather(one.call("POST", REPLACE, sent[0], 0), two.call("POST", REPLACE, sent[1], 0))
            statuses = [answer[0] for answer in answers]
            while 503 in statuses:
                index = statuses.index(503)
                statuses[index] = (await (one, two)[index].call("POST", REPLACE, sent[index], 0))[0]
            assert sorted(statuses) == [200, 412]
            _, _, answer = await one.call("GET", READ)
            assert answer == sent[statuses.index(200)]

    play(scenario)


def test_who_has_just_taken_over_refuses_no_valid_change(tmp_path: Path) -> None:
    """Guards against comparing the base with a missing configuration: an operator gave up a valid change on 412."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports) as made, caller(ports) as client:
            assert (await client.call("POST", REPLACE, body(document(revision=7)), 0))[0] == 200
            consensus = made._consensus
            assert isinstance(consensus, SingleNodeConsensus)
            settled, consensus.current = consensus.current, None
            for call in (REPLACE, AMEND):
                status, headers, _ = await client.call("POST", call, body(document(revision=9)), 7)
                assert status == 503 and "retry-after" in headers
            consensus.current = settled
            assert (await client.call("POST", REPLACE, body(document(revision=9)), 7))[0] == 200

    play(scenario)


def test_large_configurations(tmp_path: Path) -> None:
    """Megabytes and chunked bodies are accepted; a body above the limit is refused."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports), caller(ports) as client, caller(ports) as other:
            large = body(document(revision=7, note="x" * (4 << 20)))
            client.writer.write(
                f"POST {REPLACE} HTTP/1.1\r\nX-Base-Version: 0\r\nTransfer-Encoding: chunked\r\n\r\n"
                f"{len(large):x}\r\n".encode()
                + large
                + b"\r\n0\r\n\r\n"
            )
            assert (await client.answer())[0] == 200
            routes = [route(f"r-{number}") for number in range(500)]
            assert (await client.call("POST", AMEND, body({"revision": 8, "upsert": {"routes": routes}}), 7))[0] == 200
            assert len(json.loads((await client.call("GET", READ))[2])["routes"]) == 500
            other.writer.write(f"POST {REPLACE} HTTP/1.1\r\nContent-Length: {10 << 20}\r\n\r\n".encode())
            assert (await other.answer())[0] == 413
            assert await other.reader.read() == b""

    play(scenario)


def test_hostile_heads(tmp_path: Path) -> None:
    """Heads that are too long or not HTTP are refused, and the connection is closed."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports):
            for sent, status in (
                (b"GET /" + b"a" * 20000, 431),
                (b"GET / HTTP/1.1\r\nA: " + b"b" * 20000, 431),
                (b"\x16\x03\x01", 400),
                (
                    b"POST /api/Servers.Leave/i HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n"
                    + b"c" * 0x20000,
                    413,
                ),
            ):
                async with caller(ports) as client:
                    client.writer.write(sent)
                    assert (await client.answer())[0] == status
                    assert await client.reader.read() == b""

    play(scenario)


def test_kept_connections(tmp_path: Path) -> None:
    """Calls on one connection are answered in order, however the bytes are split; the last call may ask to close."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports), caller(ports) as client:
            for number in range(3):
                assert (await client.call("POST", "/api/Servers.Heartbeat/i-1", beat(number)))[::2] == (200, b"{}")
            last = beat(9, "draining")
            whole = (
                f"POST /api/Servers.Heartbeat/i-1 HTTP/1.1\r\nConnection: close\r\nExpect: 100-continue\r\n"
                f"Content-Length: {len(last)}\r\n\r\n"
            ).encode() + last
            for piece in range(0, len(whole), 7):
                client.writer.write(whole[piece : piece + 7])
                await client.writer.drain()
            assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            assert (await client.answer())[0] == 200
            assert await client.reader.read() == b""

    play(scenario)


def test_a_drain_is_acknowledged_when_proxies_know(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The answers to the first draining heartbeat and to a leave wait for the linked proxies."""
    monkeypatch.setattr(operator_api, "ENDING_TIMEOUT_S", LIMIT_S)

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports), proxy(ports) as edge, caller(ports) as client:
            assert (await edge.next(Push)).backends == ()
            assert (await client.call("POST", "/api/Servers.Heartbeat/i-1", beat(1)))[0] == 200
            push = await edge.next(Push)
            assert [(record.id, record.phase) for record in push.backends] == [("i-1", "ready")]
            for path, sent, phase in (("Heartbeat", beat(2, "draining"), "draining"), ("Leave", b"", "gone")):
                answering = asyncio.create_task(client.call("POST", f"/api/Servers.{path}/i-1", sent))
                push = await edge.next(Push)
                assert [record.phase for record in push.backends] == [phase]
                async with caller(ports) as other:  # other calls aren't delayed
                    assert (await other.call("GET", "/api/System.Status"))[0] == 200
                done, _ = await asyncio.wait({answering}, timeout=EARLY_ANSWER_S)
                assert not done, "only the proxy's acknowledgement is missing"
                edge.send(PushAck(push.number))
                assert (await answering)[0] == 200

    play(scenario)


def test_backends_that_come_together_make_one_push_and_a_drain_goes_at_once(tmp_path: Path) -> None:
    """A single new backend is pushed at once; those right after it wait for the tick, or for a drain."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports) as made, proxy(ports) as edge:
            clock = made.now()
            made._registry_service._now = lambda: clock

            def hear(name: str, call_seq: int = 1, phase: str = "ready") -> None:
                made.registry.heartbeat(made.now(), name, beat(call_seq, phase, f"10.0.0.{name[1:]}:80"))
                made.publish_registry(at_once=phase != "ready")

            async def pushed() -> list[tuple[str, str]]:
                return [(record.id, record.phase) for record in (await edge.next(Push)).backends]

            assert await pushed() == []
            for name in ("i1", "i2", "i3"):
                hear(name)
            assert await pushed() == [("i1", "ready")]
            clock += 2 * PUSH_BATCH_S  # once would depend on how the sum is rounded
            assert await pushed() == [("i2", "ready"), ("i3", "ready")]
            clock += 2 * PUSH_BATCH_S  # once would depend on how the sum is rounded
            for name in ("i4", "i5"):
                hear(name)
            hear("i1", 2, "draining")
            assert made.registry.changes() == ()
            assert await pushed() == [("i4", "ready")]
            assert await pushed() == [("i5", "ready"), ("i1", "draining")]

    play(scenario)


def test_a_push_encoded_once_for_many_links_is_the_same_on_the_wire() -> None:
    """With no record, with one and with many."""
    for count in (0, 1, 70):
        records = tuple(
            Backend(f"i-{number}", "s", "10.0.0.9:80", "z", "", 1, "ready", number) for number in range(count)
        )
        assert encode(EncodedPush(300, encode_items(records))) == encode(Push(300, records))


def test_an_ending_without_a_majority_is_not_confirmed(tmp_path: Path) -> None:
    """A drain, a leave and a leave of an unknown backend get 503 within the caller's timeout, although the proxies
    know."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports) as made, caller(ports) as client:
            consensus = made._consensus
            assert isinstance(consensus, SingleNodeConsensus)
            assert (await client.call("POST", "/api/Servers.Heartbeat/i-1", beat(1)))[0] == 200
            for members in ((ONE, TWO), (ONE, TWO, PROXY), (TWO,), ()):
                consensus.members = members
                for path, sent in ENDINGS:
                    began = made.now()
                    status, headers, _ = await client.call("POST", path, sent)
                    assert (status, headers["retry-after"]) == (503, "0.2")
                    assert made.now() - began < CALLER_S
            assert (await client.call("POST", "/api/Servers.Heartbeat/i-2", beat(1, address="10.0.0.2:80")))[0] == 200
            consensus.members = (ONE,)
            for path, sent in ENDINGS:  # repeated: nothing changes any more, but now it is confirmed
                assert (await client.call("POST", path, sent))[0] == 200

    play(scenario)


def test_an_ending_waits_for_the_acknowledgement_of_a_majority(tmp_path: Path) -> None:
    """Not counted: an acknowledgement of an earlier number, of a controller that is no member, or from before the link
    broke."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports) as made, caller(ports) as client:
            consensus = made._consensus
            assert isinstance(consensus, SingleNodeConsensus)
            consensus.members = (ONE, TWO, PROXY)
            async with peer_controller(ports, TWO) as peer, peer_controller(ports, "127.0.11.8") as stranger:
                first = (await peer.next(RegistrySync)).number
                await stranger.next(RegistrySync)
                answering = asyncio.create_task(client.call("POST", *ENDINGS[0]))
                sync = await peer.next(RegistrySync)
                assert [record.phase for record in sync.backends] == ["draining"] and sync.number > first > 0
                peer.send(RegistryAck(first))
                stranger.send(RegistryAck(sync.number))
                async with caller(ports) as other:
                    assert (await other.call("GET", "/api/System.Status"))[0] == 200
                assert not answering.done()
                peer.send(RegistryAck(sync.number))
                assert (await answering)[0] == 200
                assert (await client.call("POST", *ENDINGS[0]))[0] == 200  # repeated, with no further message
            while made._links.to(TWO) is not None:
                await asyncio.sleep(0.01)
            assert (await client.call("POST", *ENDINGS[0]))[0] == 503

    play(scenario)


def test_a_controller_acknowledges_what_it_has_taken_and_pushed(tmp_path: Path) -> None:
    """Only a message with a number is acknowledged, after the push to the proxies."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports) as made, proxy(ports) as edge, peer_controller(ports, TWO) as peer:
            draining = Backend("i-1", "s", "10.0.0.9:80", "z", "", 1, "draining", 3)
            peer.send(RegistrySync((msgspec.structs.replace(draining, id="i-0"),)))
            peer.send(RegistrySync((draining,), (), 9))
            assert (await peer.next(RegistryAck)).number == 9
            assert made.registry.records["i-1"] == draining
            pushed: list[str] = []
            while "i-1" not in pushed:
                pushed += [record.id for record in (await edge.next(Push)).backends]

    play(scenario)


def test_a_controller_that_is_behind_publishes_nothing(tmp_path: Path) -> None:
    """It is in contact, but has an older revision than it knows to exist; its heartbeats show that."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports) as made, caller(ports) as client:
            assert (await client.call("POST", REPLACE, body(document(revision=7)), 0))[0] == 200
            consensus = made._consensus
            assert isinstance(consensus, SingleNodeConsensus) and consensus.is_in_contact
            consensus.current = Revision(8), b"", b""
            async with proxy(ports) as edge:
                seen = await edge.until_heartbeats(2)
                assert not any(isinstance(message, ConfigPush) for message in seen)
                assert seen[-1] == LinkHeartbeat(Revision(7), is_current=False, epoch=1)
                consensus.current = Revision(7), b"", b""
                assert (await edge.next(ConfigPush)).revision == 7
                assert await edge.next(LinkHeartbeat) == LinkHeartbeat(Revision(7), is_current=True, epoch=1)

    play(scenario)


def test_callers_are_sent_on_only_to_a_primary_that_was_heard_lately(tmp_path: Path) -> None:
    """A primary's link stays up for a while after its death: neither a silent primary nor one without contact is
    named."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports, leader=TWO) as made, caller(ports) as client:
            consensus = made._consensus
            assert isinstance(consensus, SingleNodeConsensus)
            assert (await client.call("GET", READ))[0] == 503
            async with peer_controller(ports, TWO):
                while made._links.to(TWO) is None:
                    await asyncio.sleep(0.01)
                assert (await client.call("GET", READ))[0] == 307
                consensus.is_in_contact = False
                assert (await client.call("GET", READ))[0] == 503
                consensus.is_in_contact = True
                link = made._links.to(TWO)
                assert link is not None
                link.last_received_at -= 2 * PRIMARY_CONTACT_TIMEOUT_S
                assert link.up
                for method, path in (("GET", READ), ("POST", REPLACE), ("POST", AMEND)):
                    status, headers, _ = await client.call(
                        method, path, body(document(revision=7)) if method == "POST" else b"", 0
                    )
                    assert (status, headers["retry-after"]) == (503, "0.2")

    play(scenario)


def test_what_may_be_a_call_sent_again_is_not_refused(tmp_path: Path) -> None:
    """For a call older than the table of calls the answer is unclear, not 412; a call in the table is confirmed."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports) as made, caller(ports) as client:
            consensus = made._consensus
            assert isinstance(consensus, SingleNodeConsensus)
            sent = {revision: body(document(revision=revision)) for revision in (2, 3, 4, 5)}
            for revision in (2, 3, 4, 5):
                base = revision - 1 if revision > 2 else 0
                assert (await client.call("POST", REPLACE, sent[revision], base))[0] == 200
            assert (await client.call("POST", REPLACE, sent[2], 0))[0] == 200
            assert (await client.call("POST", REPLACE, sent[2], 1))[0] == 412  # another call: its base differs
            consensus.calls.clear()
            consensus.forgotten_below = 4
            status, headers, _ = await client.call("POST", REPLACE, sent[3], 2)
            assert (status, headers["retry-after"]) == (503, "0.2")
            assert (await client.call("POST", REPLACE, sent[4], 3))[0] == 412

    play(scenario)


@pytest.mark.parametrize("sent", [body(document(revision=9, routes=[route(target="none")])), body({"revision": 1})])
def test_nothing_is_refused_once_the_lease_has_run_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, sent: bytes
) -> None:
    """An invalid call, or one with another base, gets 503 if the lease ends while it is checked."""

    async def scenario(ports: tuple[int, int]) -> None:
        monkeypatch.setattr(operator_api, "SLOW_BYTES", 0)
        async with controller(tmp_path, ports) as made, caller(ports) as client:
            consensus = made._consensus
            assert isinstance(consensus, SingleNodeConsensus)
            for base in (0, 5):
                assert (await client.call("POST", REPLACE, sent, base))[0] in {400, 412}

            identify = operator_api._identify

            def ends_the_lease(call: str, base: int, content: bytes) -> operator_api.Change:
                consensus.leader_ip = TWO
                return identify(call, base, content)

            monkeypatch.setattr(operator_api, "_identify", ends_the_lease)
            for base in (0, 5):
                consensus.leader_ip = ONE
                assert (await client.call("POST", REPLACE, sent, base))[0] == 503

    play(scenario)


def test_a_member_that_ends_stays_until_it_has_handed_over(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """It stays no longer than its grace period allows; the consensus core says when it may end."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports) as made, caller(ports) as client:
            may_shut_down = [False]
            monkeypatch.setattr(made._consensus, "may_shut_down", lambda _now: may_shut_down[0])
            began = made.now()
            stopping = asyncio.create_task(made.stop())
            while made.now() - began < 2 * SUCCESSOR_TIMEOUT_S:
                assert (await client.call("POST", "/api/Servers.Heartbeat/i-1", beat(1)))[0] == 200
                await asyncio.sleep(TICK_S)
            assert not stopping.done()
            may_shut_down[0] = True
            await stopping
            assert made.now() - began < made._handover_s()
        assert (
            made._handover_s() + OPEN_CALLS_TIMEOUT_S + FINAL_WRITE_TIMEOUT_S
            < controller_settings(ONE, ports).bounds.grace_s
        )

    play(scenario)


def test_configurations_reach_proxies(tmp_path: Path) -> None:
    """A 200 waits for the linked proxies; a proxy that connects later or is behind is sent the newest configuration."""

    async def scenario(ports: tuple[int, int]) -> None:
        sent = body(document(revision=7))
        async with controller(tmp_path, ports), proxy(ports) as edge, caller(ports) as client:
            answering = asyncio.create_task(client.call("POST", REPLACE, sent, 0))
            assert await edge.next(ConfigPush) == ConfigPush(Revision(7), sent)
            async with caller(ports) as other:  # another call's round trip leaves time for a premature answer
                assert (await other.call("GET", "/api/System.Status"))[0] == 200
            assert not answering.done()
            edge.send(ConfigAck(Revision(7)))
            assert (await answering)[0] == 200
            status = json.loads((await client.call("GET", "/api/System.Status"))[2])
            assert [(peer["name"], peer["revision"]) for peer in status["proxies"]] == [("edge-1", 7)]
        async with controller(tmp_path, ports), proxy(ports, revision=5) as edge:
            assert await edge.next(ConfigPush) == ConfigPush(Revision(7), sent)

    play(scenario)


def test_what_the_disk_kept_is_not_handed_out_before_there_is_contact_with_a_majority(tmp_path: Path) -> None:
    """A restarted controller that is cut off cannot know how old its stored configuration is.

    It used to publish that configuration at once, so that the fleet could start without a primary.
    """

    async def scenario(ports: tuple[int, int]) -> None:
        sent = body(document(revision=7))
        async with controller(tmp_path, ports), caller(ports) as client:
            assert (await client.call("POST", REPLACE, sent, 0))[0] == 200
        settings = msgspec.structs.replace(
            controller_settings(ONE, ports),
            data_dir=str(tmp_path),
            tolerance=Tolerance(machines=1),
            seed_addrs=(f"{ONE}:1", f"{TWO}:1"),
        )
        made = await make_controller(settings, lambda: settings)
        await made.start()
        try:
            async with proxy(ports) as edge:
                seen = await edge.until_heartbeats(3)
                assert not any(isinstance(message, ConfigPush) for message in seen)
                assert seen[-1] == LinkHeartbeat(Revision(7), is_current=False, epoch=-1)  # no epoch is known
                assert not made.holds_lease()
        finally:
            await made.stop()

    play(scenario)


def test_backends_are_known_again_before_they_beat(tmp_path: Path) -> None:
    """After a power loss proxies get the backends without waiting for their heartbeats."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports), caller(ports) as client:
            assert (await client.call("POST", "/api/Servers.Heartbeat/i-1", beat()))[0] == 200
        store, _ = open_store(tmp_path, "custody")
        stored_backends = msgspec.msgpack.decode(store.values["known"], type=tuple[Backend, ...])
        settings = controller_settings(ONE, ports)
        again = Controller(
            settings,
            lambda now, random: SingleNodeConsensus(ONE, store.values),
            AsyncStore(store),
            Random(1),
            lambda: settings,
            stored_backends=stored_backends,
        )
        await again.start()
        try:
            async with proxy(ports) as edge:
                assert [found.id for found in (await edge.next(Push)).backends] == ["i-1"]
        finally:
            await again.stop()

    play(scenario)


def test_what_a_controller_lost_is_rebuilt(tmp_path: Path) -> None:
    """A proxy's Hello tells a newly started controller which backends exist."""

    async def scenario(ports: tuple[int, int]) -> None:
        known = (Backend("i-1", "s", "10.0.0.9:80", "z", "", 1, "ready", 3),)
        async with controller(tmp_path, ports), proxy(ports, records=known) as edge:
            assert (await edge.next(Push)).backends == known

    play(scenario)


def test_two_controllers(tmp_path: Path) -> None:
    """A controller that isn't primary redirects operators and accepts heartbeats for all; so does one that retires."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with (
            controller(tmp_path / "1", ports),
            controller(tmp_path / "2", ports, TWO, ONE),
            proxy(ports) as edge,
            caller(ports, TWO) as client,
        ):
            while (answer := await client.call("GET", READ))[0] == 503:  # not linked yet
                assert answer[1]["retry-after"] == "0.2"
            for method, path in (("POST", REPLACE), ("POST", AMEND), ("GET", READ)):
                status, headers, _ = await client.call(method, path, b"", None)
                assert (status, headers["location"]) == (307, f"http://{ONE}:{ports[1]}{path}")
            assert (await client.call("POST", "/api/Servers.Heartbeat/i-1", beat(1)))[0] == 200
            found: list[str] = []
            while not found:
                found = [record.id for record in (await edge.next(Push)).backends]
            assert found == ["i-1"]

    for name in "12":
        (tmp_path / name).mkdir()
    play(scenario)


def test_three_controllers_with_the_consensus_replica(tmp_path: Path) -> None:
    """They elect a primary, callers are redirected to it, and when it retires its successor has the configuration."""
    ips = (ONE, TWO, "127.0.11.3")
    sent = body(document(revision=7))

    async def follow(ports: tuple[int, int], ip: str, method: str, path: str, content: bytes) -> tuple[Answer, str]:
        while True:
            async with caller(ports, ip) as client:
                answer = await client.call(method, path, content, 0)
            if answer[0] == 307:
                ip = answer[1]["location"].removeprefix("http://").partition(":")[0]
            elif answer[0] != 503:
                return answer, ip

    async def scenario(ports: tuple[int, int]) -> None:
        planes: dict[str, Controller] = {}
        for ip in ips:
            settings = msgspec.structs.replace(
                controller_settings(ip, ports, ips),
                data_dir=str(tmp_path / ip),
                is_first_start=True,
                tolerance=Tolerance(machines=1),
            )
            (tmp_path / ip).mkdir()
            planes[ip] = await make_controller(settings, lambda settings=settings: settings)  # type: ignore[misc]
            await planes[ip].start()
        async with proxy(ports, TWO) as edge:
            edge.send(LinkHeartbeat(Revision(0)))
            answering = asyncio.create_task(follow(ports, ONE, "POST", REPLACE, sent))
            assert await edge.next(ConfigPush) == ConfigPush(Revision(7), sent)
            edge.send(ConfigAck(Revision(7)))
            answer, primary = await answering
            assert answer[0] == 200
        await planes.pop(primary).stop()
        answer, successor = await follow(ports, next(iter(planes)), "GET", READ, b"")
        assert answer[::2] == (200, sent)
        assert successor != primary
        # Two of three can't take over each other's copies, so both stay for their whole grace period.
        await asyncio.gather(*(plane.stop() for plane in planes.values()))

    play(scenario, 20.0)


@pytest.mark.parametrize(
    ("tolerance", "size"),
    [
        (Tolerance(machines=2), GroupSize(5, 5)),
        (Tolerance(machines=1, zones=1), group_size(0, is_counted_in_machines=False)),
        (Tolerance(regions=1), group_size(0, is_counted_in_machines=False)),
    ],
)
def test_the_group_is_as_large_as_the_tolerance_asks(tolerance: Tolerance, size: GroupSize) -> None:
    """If zones or regions may be lost, the group's size does not depend on a number of machines."""

    async def scenario(ports: tuple[int, int]) -> None:
        settings = msgspec.structs.replace(controller_settings(ONE, ports), tolerance=tolerance)
        made = await make_controller(settings, lambda: settings)
        assert isinstance(made._consensus, ConsensusReplica)
        assert made._consensus._group_size == size

    play(scenario)


def test_a_committed_configuration_reaches_other_controllers(tmp_path: Path) -> None:
    """A controller that isn't primary receives it on its link and sends it to proxies that are behind."""

    async def scenario(ports: tuple[int, int]) -> None:
        sent = body(document(revision=7))
        async with (
            controller(tmp_path / "1", ports),
            controller(tmp_path / "2", ports, TWO, ONE),
            proxy(ports, TWO) as edge,
            caller(ports) as client,
        ):
            assert (await client.call("POST", REPLACE, sent, 0))[0] == 200
            assert await edge.next(ConfigPush) == ConfigPush(Revision(7), sent)

    for name in "12":
        (tmp_path / name).mkdir()
    play(scenario)


def test_a_retiring_controller_finishes_its_calls(tmp_path: Path) -> None:
    """A call in progress is answered before the API closes."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports) as plane, proxy(ports) as edge, caller(ports) as client:
            answering = asyncio.create_task(client.call("POST", "/api/Servers.Heartbeat/i-1", beat(1, "draining")))
            assert (await edge.next(Push)).backends == ()
            push = await edge.next(Push)
            stopping = asyncio.create_task(plane.stop())
            edge.send(PushAck(push.number))
            status, _, _ = await answering
            assert status == 200
            await stopping

    play(scenario)


def test_the_command_line(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]) -> None:
    """An unusable settings file ends the program with 2 and one line that names file, key and expectation."""
    path = tmp_path / "boot.yaml"
    monkeypatch.setenv("CRANEBANK_NODE_FILE", str(path))
    assert program.main(["control"]) == 2
    assert capsys.readouterr().err.startswith(f"{path}: expected a readable file")
    path.write_text("node_name: c\nip: 127.0.0.1\nzone: z\nport_range: [7300, 7315]\nseed_addrs: ['nowhere']\n")
    assert program.main(["control"]) == 2
    assert capsys.readouterr().err == f"{path}: seed_addrs: expected IP:PORT, got 'nowhere'\n"
    with pytest.raises(SystemExit) as caught:
        program.main(["sideways"])
    assert caught.value.code == 2


def test_the_ring(monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]) -> None:
    """Nothing is written until an error occurs; then each line is written once, up to the buffer's size."""
    from loguru import logger  # noqa: PLC0415

    monkeypatch.setattr("sys.excepthook", None)
    ring = install("core-1")
    try:
        logger.debug("dropped")
        logger.info("one")
        assert capsys.readouterr().err == ""
        logger.error("two")
        lines = capsys.readouterr().err.splitlines()
        assert [line.rpartition(": ")[2] for line in lines] == ["one", "two"]
        assert all(line.startswith("core-1 ") for line in lines)
        logger.info("three")
        ring.uncaught(ValueError, ValueError("four"), None)
        assert "three" in (lines_written := capsys.readouterr().err)
        assert "four" in lines_written
        ring.dump()
        assert capsys.readouterr().err == ""
        assert isinstance(ring, LogRing)
    finally:
        logger.remove()


async def registry_ticks(made: Controller, count: int) -> None:
    """Wait until the registry has looked for silent backends so many times."""
    service = made._registry_service
    for _ in range(count):
        before = service._last_tick_at
        while service._last_tick_at == before:
            await asyncio.sleep(TICK_S)


def test_a_controller_that_stood_still_takes_nobody_for_lost_before_it_has_listened(tmp_path: Path) -> None:
    """Guards against false losses: after a suspension all heartbeats looked old, and all backends were reported as
    lost."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with controller(tmp_path, ports) as made:
            made._registry_service.registry = Registry(made.now() - 5.0, 0.05)
            made.registry.heartbeat(made.now(), "i-1", beat(1))
            await registry_ticks(made, 2)
            made.registry.heartbeat(made.now(), "i-1", beat(2))
            time.sleep(2.0)
            await registry_ticks(made, 2)
            assert made.registry.records["i-1"].phase == "ready"

    play(scenario)


def test_what_falls_due_on_a_tick_goes_out_with_it(tmp_path: Path) -> None:
    async def scenario() -> None:
        store, _ = open_store(tmp_path, "custody")
        settings = controller_settings(ONE, (free_port(), free_port()))
        consensus = SingleNodeConsensus(ONE, store.values)
        controller = Controller(settings, lambda now, random: consensus, AsyncStore(store), Random(1), lambda: settings)
        link = Link(controller._protocol, dialled=False)
        controller._tick()  # the controller becomes primary
        controller._timers[0].cancel()
        controller._delivery.join(controller.now(), link, "p", PROXY, True, 0, ())
        controller._tick()
        controller._timers[0].cancel()
        assert controller._delivery.pop_messages() == []

    asyncio.run(scenario())
