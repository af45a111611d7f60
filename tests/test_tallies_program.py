"""Tallies on real controllers: sockets, links between controllers, and disks."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from pathlib import Path
from random import Random

import msgspec
import pytest
from single_node_consensus import SingleNodeConsensus
from test_control_program import CALLER_S, ONE, TWO, Answer, caller, controller_settings, play

from cranebank.programs.control import make_controller
from cranebank.programs.controller import Controller
from cranebank.programs.local_state import NoDisk, Storage
from cranebank.programs.settings import NodeSettings
from cranebank.programs.tally_service import TallyDisk
from cranebank.storage.records import DiskRefused

THREE = "127.0.11.3"
ALL = (ONE, TWO, THREE)
SETTLED_S = 6.0

Ports = tuple[int, int]


def _same(settings: NodeSettings) -> NodeSettings:
    return settings


@asynccontextmanager
async def fleet(folder: Path, ports: Ports, ips: Sequence[str], is_first: bool) -> AsyncIterator[list[Controller]]:
    """Run controllers, each with its own disk."""
    async with AsyncExitStack() as ends:
        made = []
        for ip in ips:
            data = folder / ip
            data.mkdir(exist_ok=True)
            settings = msgspec.structs.replace(
                controller_settings(ip, ports, ALL), zone=f"zone-{ip}", data_dir=str(data), is_first_start=is_first
            )
            controller = await make_controller(settings, partial(_same, settings))
            await controller.start()
            ends.push_async_callback(controller.stop)
            made.append(controller)
        yield made


async def amend(ports: Ports, ip: str, tally: str, call: str, amount: int) -> Answer:
    """Add to a tally at a controller."""
    async with caller(ports, ip) as client:
        body = json.dumps({"id": call, "actor": amount}).encode()
        return await client.call("POST", f"/api/Tallies.Amend/{tally}", body)


async def total(ports: Ports, ip: str, tally: str) -> int | None:
    """Read a tally at a controller; None if it has no total yet."""
    async with caller(ports, ip) as client:
        status, _, body = await client.call("GET", f"/api/Tallies.Read/{tally}")
    return json.loads(body)["total"] if status == 200 else None


async def until_total(ports: Ports, ip: str, tally: str, wanted: int) -> None:
    """Wait for a total."""
    async with asyncio.timeout(SETTLED_S):
        while await total(ports, ip, tally) != wanted:
            await asyncio.sleep(0.05)


def test_acknowledged_adds_are_read_back_at_every_controller_also_after_a_restart(tmp_path: Path) -> None:
    async def scenario(ports: Ports) -> None:
        async with fleet(tmp_path, ports, ALL, is_first=True):
            for number in range(6):
                assert (await amend(ports, ALL[number % 3], "t", f"call-{number}", number))[0] == 200
            assert (await amend(ports, TWO, "t", "call-5", 5))[0] == 200
            for ip in ALL:
                await until_total(ports, ip, "t", 15)
            assert await total(ports, ONE, "new") == 0
        async with fleet(tmp_path, ports, ALL, is_first=False):
            for ip in ALL:
                await until_total(ports, ip, "t", 15)

    play(scenario, 40.0)


class HangingDisk:
    """A disk that refuses or blocks all writes."""

    def __init__(self, refuses: bool) -> None:
        self.refuses = refuses

    async def put(self, values: Mapping[str, bytes]) -> None:
        if self.refuses:
            raise DiskRefused(OSError("no"))
        await asyncio.Event().wait()

    async def close(self) -> None:
        """Do nothing."""


@asynccontextmanager
async def lone(ports: Ports, disk: Storage) -> AsyncIterator[Controller]:
    """Run a single controller with this disk for its tallies."""
    settings = controller_settings(ONE, ports)
    made = Controller(
        msgspec.structs.replace(settings, is_first_start=True),
        lambda now, random: SingleNodeConsensus(ONE, {}, None),
        NoDisk(),
        Random(1),
        lambda: settings,
        tally_disk=TallyDisk({}, disk),
    )
    await made.start()
    try:
        yield made
    finally:
        await made.stop()


@pytest.mark.parametrize("refuses", [True, False])
def test_an_add_that_is_on_no_disk_is_not_acknowledged_nor_refused(refuses: bool) -> None:
    async def scenario(ports: Ports) -> None:
        async with lone(ports, HangingDisk(refuses)):
            begun = asyncio.get_running_loop().time()
            assert (await amend(ports, ONE, "t", "1", 1))[0] == 504
            assert asyncio.get_running_loop().time() - begun < CALLER_S

    play(scenario)


@pytest.mark.parametrize(
    ("body", "key"),
    [
        (b'{"id":"1"}', "actor"),
        (b'{"actor":1}', "id"),
        (b'{"id":"","actor":1}', "id"),
        (b'{"id":"%s","actor":1}' % (b"x" * 65), "id"),
        (b'{"id":"1","actor":1.5}', "actor"),
        (b'{"id":"1","actor":true}', "actor"),
        (b'{"id":"1","actor":9007199254740992}', "actor"),
        (b'{"id":"1","actor":1e400}', "actor"),
        (b'{"id":7,"actor":1}', "id"),
        (b"[]", ""),
        (b"{", ""),
        (b'{"id":"\xff","actor":1}', ""),
    ],
)
def test_bad_input_is_named_and_adds_nothing(body: bytes, key: str) -> None:
    async def scenario(ports: Ports) -> None:
        async with lone(ports, NoDisk()), caller(ports) as client:
            status, _, answer = await client.call("POST", "/api/Tallies.Amend/t", body)
            assert (status, json.loads(answer)["key"]) == (400, key)
            assert await total(ports, ONE, "t") == 0
            assert (await amend(ports, ONE, "t", "1", -3))[0] == 200
            assert await total(ports, ONE, "t") == -3

    play(scenario)


def test_a_controller_without_any_other_takes_adds_and_they_are_whole_after_it_meets_the_others(tmp_path: Path) -> None:
    async def scenario(ports: Ports) -> None:
        async with fleet(tmp_path, ports, (ONE,), is_first=True):
            assert (await amend(ports, ONE, "t", "1", 1))[0] == 200
        async with fleet(tmp_path, ports, (TWO,), is_first=True):
            assert (await amend(ports, TWO, "t", "2", 2))[0] == 200
            assert (await amend(ports, TWO, "t", "1", 1))[0] == 200
        async with fleet(tmp_path, ports, ALL, is_first=False):
            for ip in ALL:
                await until_total(ports, ip, "t", 3)

    play(scenario, 40.0)


def test_adds_that_come_together_are_all_acknowledged(tmp_path: Path) -> None:
    async def scenario(ports: Ports) -> None:
        async with fleet(tmp_path, ports, ALL, is_first=True) as made:
            await amend(ports, ONE, "t", "first", 1)
            answers = await asyncio.gather(*(amend(ports, ALL[n % 3], f"t{n % 7}", str(n), n) for n in range(200)))
            assert {status for status, _, _ in answers} == {200}
            assert sum(controller.tallies.counts.acknowledged for controller in made) == 201

    play(scenario, 40.0)
