"""Revision numbers of any size: each one is served, or refused before anything is written, and none ends a process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import pytest
from test_configuration import body, document
from test_control_program import AMEND, ONE, READ, REPLACE, TWO, Answer, caller, controller_settings, play, proxy

from cranebank.control.call_table import MAX_CALLS, AppliedCall, CallTable
from cranebank.control.configuration import InvalidConfiguration, check, digest_of
from cranebank.dataplane.routes import RouteTable
from cranebank.programs.control import make_controller
from cranebank.programs.controller import Controller
from cranebank.programs.settings import Tolerance
from cranebank.transport.frames import Decoder, encode
from cranebank.transport.messages import ConfigAck, ConfigPush, Fetch, Gossip, Hello, LinkHeartbeat, Message, Shuffle
from cranebank.transport.revision import MAX_REVISION, Revision, msgpack_decoder, msgpack_encoder

ADDRESSES = (ONE, TWO, "127.0.11.3")
BOUNDARIES = (2**53, 10**18, 2**63, 2**64, 10**40)
REVISIONS = tuple(boundary + offset for boundary in BOUNDARIES for offset in (-1, 0, 1))
OVER_LIMITS = (MAX_REVISION + 1, 10**1000)
MAX_DATAGRAM_BYTES = 1200
MAX_TABLE_BYTES = 80_000
LIMIT_S = 60.0


class Cluster:
    """Three controllers on real sockets and disks, and an operator that repeats a call until its answer is clear."""

    def __init__(self, folder: Path, ports: tuple[int, int]) -> None:
        self._folder, self._ports = folder, ports
        self.controllers: dict[str, Controller] = {}

    async def start(self, is_first_start: bool) -> None:
        """Start the controllers that are not running."""
        for ip in ADDRESSES:
            if ip in self.controllers:
                continue
            (self._folder / ip).mkdir(exist_ok=True)
            settings = msgspec.structs.replace(
                controller_settings(ip, self._ports, ADDRESSES),
                data_dir=str(self._folder / ip),
                is_first_start=is_first_start,
                tolerance=Tolerance(machines=1),
            )
            made = await make_controller(settings, lambda settings=settings: settings)  # type: ignore[misc]
            self.controllers[ip] = made
            await made.start()

    async def stop(self, *ips: str) -> None:
        """Stop these controllers."""
        await asyncio.gather(*(self.controllers.pop(ip).stop() for ip in ips))

    def primary(self) -> str:
        """Return the address of the primary."""
        return next(ip for ip, controller in self.controllers.items() if controller.holds_lease())

    async def call(self, method: str, path: str, sent: bytes = b"", base: int | None = None) -> Answer:
        """Return the clear answer of the primary, and check that no controller has stopped."""
        while True:
            for ip in tuple(self.controllers):
                async with caller(self._ports, ip) as client:
                    answer = await client.call(method, path, sent, base)
                assert [ip for ip, running in self.controllers.items() if running._driver.broken.is_set()] == []
                assert answer[0] != 500
                if answer[0] not in (307, 503):
                    return answer
            await asyncio.sleep(0.05)

    async def newest(self) -> int:
        """Return the revision of the configuration that is read back."""
        status, _, read = await self.call("GET", READ)
        assert status == 200
        return int(msgspec.json.decode(read)["revision"])


class Change(NamedTuple):
    """An operator's call."""

    path: str
    sent: bytes


def replacement(revision: int) -> Change:
    """Return a whole configuration of this revision."""
    return Change(REPLACE, body(document(revision=revision)))


def amendment(revision: int) -> Change:
    """Return an amendment to this revision."""
    return Change(AMEND, body({"revision": revision, "upsert": {"services": [{"name": f"s-{revision}"[:40]}]}}))


@pytest.mark.parametrize("kinds", [(replacement, amendment), (amendment, replacement)])
def test_a_change_to_a_revision_of_any_size_is_put_in_force(
    tmp_path: Path, kinds: tuple[Callable[[int], Change], ...]
) -> None:
    """Guards against a revision of 2**64 or more that ends one controller after another, and against one of 10**18 or
    more on top of which every change is refused."""

    async def scenario(ports: tuple[int, int]) -> None:
        cluster = Cluster(tmp_path, ports)
        await cluster.start(is_first_start=True)
        answer = await cluster.call("POST", REPLACE, body(document(revision=2)), 0)
        assert answer[0] == 200
        base = 2
        for turn, revision in enumerate(REVISIONS):
            change = kinds[turn % 2](revision)
            for _ in range(2):  # the repetition of a call has the same answer
                answer = await cluster.call("POST", change.path, change.sent, base)
                assert answer[0] == 200, (revision, answer)
            assert await cluster.newest() == revision
            base = revision
        for revision in OVER_LIMITS:
            change = kinds[0](revision)
            status, _, refusal = await cluster.call("POST", change.path, change.sent, base)
            assert (status, msgspec.json.decode(refusal)["key"]) == (400, "revision")
        assert await cluster.newest() == base
        await _over_restarts(cluster, ports, base)

    play(scenario, LIMIT_S)


async def _over_restarts(cluster: Cluster, ports: tuple[int, int], base: int) -> None:
    """Check that a long revision outlives a takeover and a restart of all controllers from their disks."""
    await cluster.stop(cluster.primary())
    assert await cluster.newest() == base
    change = amendment(base + 5)
    assert (await cluster.call("POST", change.path, change.sent, base))[0] == 200
    await cluster.start(is_first_start=False)
    await cluster.stop(*cluster.controllers)
    await cluster.start(is_first_start=False)
    assert await cluster.newest() == base + 5
    assert (await cluster.call("POST", change.path, change.sent, base))[0] == 200  # known after the restart, too
    async with proxy(ports, cluster.primary()) as edge:
        assert (await edge.next(ConfigPush)).revision == base + 5
    change = replacement(base + 6)
    assert (await cluster.call("POST", change.path, change.sent, base + 5))[0] == 200
    async with caller(ports, cluster.primary()) as client:
        status = msgspec.json.decode((await client.call("GET", "/api/System.Status"))[2])
    assert status["revision"] == base + 6
    await cluster.stop(*cluster.controllers)


MESSAGES: tuple[Callable[[Revision], Any], ...] = (
    lambda revision: Hello("edge-1", "proxy", ONE, "z", 1, revision),
    lambda revision: ConfigPush(revision, b"{}"),
    ConfigAck,
    lambda revision: LinkHeartbeat(revision, True, 7),
    lambda revision: Shuffle((), revision, 1),
    Fetch,
    lambda revision: Gossip(1, revision, 1),
)


@pytest.mark.parametrize("revision", [0, 1, *REVISIONS, MAX_REVISION])
@pytest.mark.parametrize("message", MESSAGES)
def test_every_message_carries_a_revision_of_any_size(message: Callable[[Revision], Message], revision: int) -> None:
    """Guards against a link that is closed, or a process that ends, as a revision does not fit a message."""
    sent = message(Revision(revision))
    assert Decoder().feed(encode(sent)) == [sent]
    assert len(encode(sent)) < MAX_DATAGRAM_BYTES


@pytest.mark.parametrize("revision", [0, 7, 2**63, 2**64 - 1])
def test_a_revision_of_64_bits_is_encoded_as_an_integer(revision: int) -> None:
    """Guards against messages that processes of an earlier version cannot read during an upgrade."""
    assert msgpack_encoder().encode(Revision(revision)) == msgspec.msgpack.encode(revision)


@pytest.mark.parametrize("sent", [-1, True, "7", 7.5, None, b"\xff" * 54])
def test_a_message_with_another_value_in_place_of_a_revision_is_refused(sent: object) -> None:
    """Guards against a damaged message that is taken for a revision."""
    with pytest.raises(msgspec.ValidationError):
        msgpack_decoder(Revision).decode(msgspec.msgpack.encode(sent))


def test_a_full_table_of_calls_with_the_longest_revisions_is_bounded() -> None:
    """Guards against a table that grows beyond its written bound."""
    calls = tuple(AppliedCall(Revision(MAX_REVISION - left), bytes(16)) for left in range(MAX_CALLS, 0, -1))
    table = CallTable(calls).with_call(Revision(MAX_REVISION), bytes(16))
    encoded = msgpack_encoder().encode(table)
    assert len(encoded) < MAX_TABLE_BYTES
    assert msgpack_decoder(CallTable).decode(encoded) == table


@pytest.mark.parametrize("revision", [2**64, 10**40, MAX_REVISION])
def test_a_proxy_reads_a_configuration_of_any_revision(revision: int) -> None:
    """Guards against a proxy whose configuration has a revision that it cannot report."""
    table = RouteTable.read(body(document(revision=revision)))
    assert table.revision == revision
    assert Decoder().feed(encode(ConfigAck(table.revision))) == [ConfigAck(Revision(revision))]


@pytest.mark.parametrize("revision", [-1, *OVER_LIMITS])
def test_a_revision_outside_the_valid_range_is_named(revision: int) -> None:
    """Guards against a refusal that does not say which key is wrong and what is expected."""
    with pytest.raises(InvalidConfiguration) as refused:
        check(body(document(revision=revision)), -2)
    assert (refused.value.key, "128 digits" in refused.value.expected) == ("revision", True)


def test_calls_on_long_bases_have_digests_of_their_own() -> None:
    """Guards against a call on another base that counts as the repetition of one with the same first digits."""
    sent, bases = body(document()), (20261204110139123456, 20261204110139123457, 2026120411013912345, 202612041101)
    assert len({digest_of(call, base, sent) for call in ("Replace", "Amend") for base in bases}) == 2 * len(bases)
