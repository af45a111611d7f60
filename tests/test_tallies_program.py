"""Tallies over real controllers: sockets, links between them and disks."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from pathlib import Path

import msgspec
from test_control_program import ONE, TWO, Answer, caller, play, settings_of

from cranebank.programs.control import make_controller
from cranebank.programs.controller import Controller
from cranebank.programs.settings import NodeSettings

THREE = "127.0.11.3"
ALL = (ONE, TWO, THREE)
SETTLED_S = 6.0

Ports = tuple[int, int]


def _same(settings: NodeSettings) -> NodeSettings:
    return settings


@asynccontextmanager
async def fleet(folder: Path, ports: Ports, ips: Sequence[str], is_first: bool) -> AsyncIterator[list[Controller]]:
    """Controllers that run, each with a disk of its own."""
    async with AsyncExitStack() as ends:
        made = []
        for ip in ips:
            data = folder / ip
            data.mkdir(exist_ok=True)
            settings = msgspec.structs.replace(
                settings_of(ip, ports, ALL), zone=f"zone-{ip}", data_dir=str(data), is_first_start=is_first
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
    """Read a tally at a controller; None where it isn't told."""
    async with caller(ports, ip) as client:
        status, _, body = await client.call("GET", f"/api/Tallies.Read/{tally}")
    return json.loads(body)["total"] if status == 200 else None


async def until_total(ports: Ports, ip: str, tally: str, wanted: int) -> None:
    """Wait for a total."""
    async with asyncio.timeout(SETTLED_S):
        while await total(ports, ip, tally) != wanted:
            await asyncio.sleep(0.05)


def test_acknowledged_adds_are_read_back_at_every_controller_also_after_a_restart(tmp_path: Path) -> None:
    async def story(ports: Ports) -> None:
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

    play(story, 40.0)
