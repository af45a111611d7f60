"""A controller that has lost its majority, as real processes over loopback; the others are stopped or killed."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import yaml
from test_configuration import body, document
from test_control_program import (
    AMEND,
    CALLER_S,
    ENDINGS,
    READ,
    REPLACE,
    Answer,
    caller,
    play,
    proxy,
)
from test_registry import beat

from cranebank.programs.settings import SETTINGS_FILE_VARIABLE
from cranebank.transport.messages import ConfigPush, LinkHeartbeat, Message
from cranebank.transport.revision import Revision

IPS = ("127.0.13.1", "127.0.13.2", "127.0.13.3")
LAST_REVISION = 250
NOTICED_S = 1.5  # time in which a controller notices that it is cut off: a lease period and a margin


class Controllers:
    """Three controller processes."""

    def __init__(self, folder: Path, ports: tuple[int, int]) -> None:
        self.ports = ports
        self._folder = folder
        self._processes: dict[str, asyncio.subprocess.Process] = {}

    async def start(self, ip: str, is_first_start: bool = True) -> None:
        """Start a controller on its folder and wait until it listens."""
        link, control = self.ports
        path = self._folder / f"{ip}.yaml"
        (self._folder / ip).mkdir(exist_ok=True)
        settings = {
            "node_name": f"core-{ip}",
            "ip": ip,
            "zone": "z",
            "port_range": [link, link + 9],
            "seed_addrs": [f"{seed}:{control}" for seed in IPS],
            "binds": {"control_addr": f"{ip}:{control}"},
            "is_first_start": is_first_start,
            "tolerance": {"machines": 1},
            "data_dir": str(self._folder / ip),
        }
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        self._processes[ip] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cranebank.programs", "control", env={**os.environ, SETTINGS_FILE_VARIABLE: str(path)}
        )
        while not await self._listens(ip):
            await asyncio.sleep(0.02)

    async def _listens(self, ip: str) -> bool:
        try:
            await self.call(ip, "GET", "/api/System.Status")
        except OSError:
            return False
        return True

    def signal(self, number: signal.Signals, ips: tuple[str, ...]) -> None:
        """Send a signal to these controllers."""
        for ip in ips:
            self._processes[ip].send_signal(number)

    async def kill(self, ip: str) -> None:
        """Kill a controller and wait for its end."""
        process = self._processes.pop(ip)
        process.kill()
        await process.wait()

    async def call(self, ip: str, method: str, path: str, sent: bytes = b"", base: int | None = None) -> Answer:
        """Make one call on a new connection."""
        async with caller(self.ports, ip) as client:
            return await client.call(method, path, sent, base)

    async def follow(
        self, method: str, path: str, sent: bytes = b"", base: int | None = None, ips: tuple[str, ...] = IPS
    ) -> tuple[Answer, str]:
        """Make a call as an operator does, with redirects and retries until the answer is clear; also return who
        answered."""
        ip, turn = ips[0], 0
        while True:
            answer = await self.call(ip, method, path, sent, base)
            if answer[0] == 307:
                ip = answer[1]["location"].removeprefix("http://").partition(":")[0]
            elif answer[0] == 503:
                turn += 1
                ip = ips[turn % len(ips)]
                await asyncio.sleep(0.05)
            else:
                return answer, ip

    async def stop(self) -> None:
        """Kill all."""
        for ip in tuple(self._processes):
            await self.kill(ip)


@asynccontextmanager
async def three(folder: Path, ports: tuple[int, int]) -> AsyncIterator[Controllers]:
    """Run three controllers."""
    controllers = Controllers(folder, ports)
    try:
        await asyncio.gather(*(controllers.start(ip) for ip in IPS))
        yield controllers
    finally:
        await controllers.stop()


async def refused_within(controllers: Controllers, ip: str, seconds: float) -> None:
    """Reads and changes of the configuration get 503 from this controller within ``seconds``."""
    calls = (("GET", READ, b""), ("POST", REPLACE, body(document(revision=8))), ("POST", AMEND, body({"revision": 8})))
    async with asyncio.timeout(seconds):
        while (await controllers.call(ip, "GET", READ))[0] != 503:
            await asyncio.sleep(0.02)
    for method, path, sent in calls:
        async with asyncio.timeout(CALLER_S):
            status, headers, _ = await controllers.call(ip, method, path, sent, 7 if sent else None)
        assert (status, headers["retry-after"]) == (503, "0.2")


def cut_off(folder: Path, survivor_leads: bool) -> Callable[[tuple[int, int]], Awaitable[None]]:
    """Return a scenario that suspends two of three controllers; ``survivor_leads``: the third is the primary."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with three(folder, ports) as controllers:
            answer, primary = await controllers.follow("POST", REPLACE, body(document(revision=7)), 0)
            assert answer[0] == 200
            survivor = primary if survivor_leads else next(ip for ip in IPS if ip != primary)
            others = tuple(ip for ip in IPS if ip != survivor)
            assert (await controllers.call(survivor, "POST", "/api/Servers.Heartbeat/i-1", beat(1)))[0] == 200
            async with proxy(ports, survivor) as kept:
                assert (await kept.next(ConfigPush)).revision == 7
                kept.send(LinkHeartbeat(Revision(7)))
                controllers.signal(signal.SIGSTOP, others)
                await endings_are_unconfirmed(controllers, survivor)
                await refused_within(controllers, survivor, NOTICED_S)
                await endings_are_unconfirmed(controllers, survivor)
                ready = await controllers.call(survivor, "POST", "/api/Servers.Heartbeat/i-2", beat(1))
                assert ready[0] == 200
                assert not published(await kept.until_heartbeats(3))
                async with proxy(ports, survivor) as restarted:  # its link replaces that of the first proxy
                    assert not published(await restarted.until_heartbeats(3))
                    controllers.signal(signal.SIGCONT, others)
                    assert (await restarted.next(ConfigPush)).revision == 7
            for path, sent in ENDINGS:
                while (await controllers.call(survivor, "POST", path, sent))[0] != 200:
                    await asyncio.sleep(0.05)
            assert (await controllers.follow("GET", READ))[0][::2] == (200, body(document(revision=7)))

    return scenario


async def endings_are_unconfirmed(controllers: Controllers, ip: str) -> None:
    """A drain, a leave, and a leave of an unknown backend get 503 within the caller's timeout."""
    for path, sent in ENDINGS:
        async with asyncio.timeout(CALLER_S):
            status, headers, _ = await controllers.call(ip, "POST", path, sent)
        assert (status, headers["retry-after"]) == (503, "0.2")


def published(messages: list[Message]) -> list[Message]:
    """Return the configurations among the messages."""
    return [message for message in messages if isinstance(message, ConfigPush)]


def test_a_follower_that_is_cut_off(tmp_path: Path) -> None:
    """It confirms no drain or leave, sends no configuration to a restarted proxy, and redirects no caller."""
    play(cut_off(tmp_path, survivor_leads=False), 30.0)


def test_a_primary_that_is_cut_off(tmp_path: Path) -> None:
    """It does the same once its lease has expired."""
    play(cut_off(tmp_path, survivor_leads=True), 30.0)


def test_calls_taken_long_ago_are_acknowledged_after_the_primary_was_killed(tmp_path: Path) -> None:
    """Guards against a new primary that knows only the newest call: 412 ended an operator's repeated call. Hundreds of
    changes lie in between; then all controllers are killed and restarted from their disks."""

    async def scenario(ports: tuple[int, int]) -> None:
        async with three(tmp_path, ports) as controllers:
            sent = {revision: body(document(revision=revision)) for revision in range(2, LAST_REVISION + 1)}
            primary = IPS[0]
            for revision, configuration in sent.items():
                base = revision - 1 if revision > 2 else 0
                order = (primary, *(ip for ip in IPS if ip != primary))
                answer, primary = await controllers.follow("POST", REPLACE, configuration, base, order)
                assert answer[0] == 200
            await controllers.kill(primary)
            others = tuple(ip for ip in IPS if ip != primary)
            await are_known(controllers, sent, others)
            for ip in others:
                await controllers.kill(ip)
            await asyncio.gather(*(controllers.start(ip, is_first_start=False) for ip in IPS))
            await are_known(controllers, sent, IPS)

    play(scenario, 60.0)


async def are_known(controllers: Controllers, sent: dict[int, bytes], ips: tuple[str, ...]) -> None:
    """The first calls and the last are acknowledged again; a call that differs by its base is not."""
    for revision, base in ((2, 0), (3, 2), (4, 3), (2, 0), (LAST_REVISION, LAST_REVISION - 1)):
        answer, _ = await controllers.follow("POST", REPLACE, sent[revision], base, ips)
        assert answer[0] == 200, answer
    answer, _ = await controllers.follow("POST", REPLACE, sent[2], 1, ips)
    assert answer[0] == 412
