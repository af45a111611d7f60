"""Operators, backends and a reader, which call the controllers over simulated HTTP as the operators' pages describe."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING, Any

import httptools

from cranebank.control.configuration import InvalidConfiguration, amend

from .judge import CONTACT_S, Change
from .network import Transport

if TYPE_CHECKING:
    from .world import World

CONTROL_PORT = 8080
SILENCE_S = 1.0
REDIRECTS = 2
PAUSE_S = (0.05, 0.8)  # between tries: first and longest
CLEAR = {200, 400, 409, 412, 413, 422}


@dataclass
class Answer:
    """An answer to a call, and the controller that gave it."""

    controller: str
    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class _Exchange(asyncio.Protocol):
    """One call on a connection of its own."""

    def __init__(self, controller: str, request: bytes, done: asyncio.Future[Answer | None]) -> None:
        self._request, self._done = request, done
        self._answer = Answer(controller, 0)
        self._parser: Any = httptools.HttpResponseParser(self)
        self.transport: Transport | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._done.done():
            self._done.set_result(None)

    def on_header(self, name: bytes, value: bytes) -> None:
        """A field of the head."""
        self._answer.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        self._answer.body += body

    def on_message_complete(self) -> None:
        """The answer is whole."""
        self._answer.status = self._parser.get_status_code()
        if not self._done.done():
            self._done.set_result(self._answer)


async def call(
    loop: asyncio.AbstractEventLoop,
    ip: str,
    method: str,
    path: str,
    body: bytes = b"",
    base: int | None = None,
    silence_s: float = SILENCE_S,
) -> Answer | None:
    """One call to one controller; None when no answer came."""
    done: asyncio.Future[Answer | None] = loop.create_future()
    head = f"{method} {path} HTTP/1.1\r\nHost: {ip}\r\nContent-Length: {len(body)}\r\n"
    if base is not None:
        head += f"X-Base-Version: {base}\r\n"
    exchange = _Exchange(ip, head.encode() + b"\r\n" + body, done)
    try:
        async with asyncio.timeout(silence_s):
            await loop.create_connection(lambda: exchange, ip, CONTROL_PORT)
            return await done
    except OSError:  # TimeoutError is one
        return None
    finally:
        if exchange.transport is not None:
            exchange.transport.abort()


class Caller:
    """Whoever calls control: picks a controller from a list that lags, and follows redirections."""

    def __init__(
        self, world: World, name: str, random: Random, reaches: Callable[[str], bool] = lambda _: True
    ) -> None:
        self.world, self.name, self.random, self._reaches = world, name, random, reaches
        self.loop = world.process(name, world.next_caller_ip())
        self._failed = ""  # whom it asked last, where that came to nothing: it goes on to another one
        self.impatience = 0.0  # share of the calls whose answer is lost on its way

    def pick(self, without: str = "") -> str:
        """A controller of the list."""
        listed = [ip for ip in self.world.listed() if self._reaches(ip)] or self.world.listed()
        return self.random.choice([ip for ip in listed if ip != without] or listed)

    async def ask(
        self, method: str, path: str, body: bytes = b"", base: int | None = None, ip: str = ""
    ) -> Answer | None:
        """One try, to a controller and on to whom it names."""
        ip = ip or self.pick(without=self._failed)
        self._failed = ip
        silence_s = SILENCE_S
        if self.random.random() < self.impatience:
            silence_s = self.random.uniform(0.002, 0.05)
            self.world.judge.counts["answers lost on their way"] += 1
        for _ in range(REDIRECTS + 1):
            answer = await call(self.loop, ip, method, path, body, base, silence_s)
            if answer is None:
                return None
            if self.world.lost_contact_s(ip) > CONTACT_S:
                self.world.judge.counts[f"answers {answer.status} of a controller without a majority"] += 1
            if answer.status != 307:
                self._failed = ip if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR else ""
                return answer
            ip = answer.headers["location"].removeprefix("http://").partition(":")[0]
        return None


class Operator(Caller):
    """Makes changes, some at once, on what it believes to be current."""

    def __init__(self, world: World, name: str, random: Random) -> None:
        super().__init__(world, name, random)
        self.under_way = 0
        self.most = 1
        self.pause_s = (0.05, 1.0)
        self.size = 0  # bytes of padding in a document
        self.share_invalid = 0.05
        self.old: list[Change] = []  # acknowledged ones, to be sent again later
        self.share_old = 0.0
        self._number = 0

    def start(self) -> None:
        """Begin."""
        self.loop.call_soon(lambda: self.loop.create_task(self._run()))

    async def _run(self) -> None:
        while not self.world.is_over:
            await asyncio.sleep(self.random.uniform(*self.pause_s))
            if self.under_way < self.most:
                self.loop.create_task(self._one())

    async def _one(self) -> None:
        self.under_way += 1
        try:
            if self.old and self.random.random() < self.share_old:
                await self._again(self.random.choice(self.old))
            else:
                await self.send(self._make())
        finally:
            self.under_way -= 1

    def _make(self) -> Change:
        ledger = self.world.judge.ledger
        base = max(ledger.by_revision, default=0)
        if self.random.random() < 0.1:
            base = ledger.newest
        revision = base + self.random.choice([1, 1, 2, 3])
        self._number += 1
        mark = f"{self.name}-{self._number}"
        current = ledger.by_revision.get(base)
        is_valid = self.random.random() >= self.share_invalid
        if current is not None and is_valid and self.random.random() < 0.4:
            body = json.dumps({"revision": revision, "upsert": {"routes": [_route(mark, "s")]}, "remove": {}}).encode()
            try:
                document = amend(current.document, body).document
            except InvalidConfiguration:
                document = b""
            if document:
                return Change(self.name, "/api/Configuration.Amend", base, revision, body, document)
        service = "s" if is_valid else "unknown"
        body = json.dumps(
            {
                "revision": revision,
                "routes": [_route(mark, service)],
                "services": [self.world.service],
                "limits": {},
                "padding": "x" * self.size,
            }
        ).encode()
        return Change(self.name, "/api/Configuration.Replace", base, revision, body, body, is_valid)

    async def send(self, change: Change, ip: str = "") -> None:
        """Send a change, as it is, until a clear answer comes or the run ends."""
        judge, scheduler = self.world.judge, self.world.scheduler
        judge.sent(change)
        change.sent_at = scheduler.now
        self.world.expect_acknowledged(change)
        pause = PAUSE_S[0]
        if self.random.random() < self.world.share_doubled:
            judge.counts["changes sent to two controllers at once"] += 1
            self.loop.create_task(self._try(change))
        while not self.world.is_closed:
            if await self._try(change, ip):
                return
            ip = ""
            await asyncio.sleep(pause * self.random.uniform(0.5, 1.5))
            pause = min(2 * pause, PAUSE_S[1])

    async def _try(self, change: Change, ip: str = "") -> bool:
        change.tries += 1
        began = self.world.scheduler.now
        answer = await self.ask("POST", change.path, change.body, change.base, ip)
        if answer is None and self._failed in self.world.contactless:
            change.without_majority_s += self.world.scheduler.now - began
        if answer is None and change.takeovers_when_lost is None:
            change.takeovers_when_lost = self.world.takeovers
            self.world.answer_lost()
        if answer is None or answer.status not in CLEAR:
            return False
        self.world.judge.answered(
            change, answer.controller, answer.status, self.world.lost_contact_s(answer.controller)
        )
        if answer.status == 200:
            self.old.append(change)
            self.world.acknowledged(change)
        return True

    async def _again(self, change: Change) -> None:
        judge = self.world.judge
        judge.counts["old changes sent again"] += 1
        since = sum(revision > change.revision for revision in judge.ledger.by_revision)
        if since >= 100:
            judge.counts["resent after 100 changes"] += 1
        if since and self.world.takeovers > self.world.takeovers_at(change):
            judge.counts["resent after a takeover and other changes"] += 1
        await self._try(change)


class Reader(Caller):
    """Reads the configuration back, again and again."""

    def start(self) -> None:
        """Begin."""
        self.loop.call_soon(lambda: self.loop.create_task(self._run()))

    async def _run(self) -> None:
        while not self.world.is_closed:
            await asyncio.sleep(self.random.uniform(0.1, 0.6))
            await self.read()

    async def read(self) -> bool:
        """Read once; whether it was answered."""
        newest = self.world.judge.ledger.newest
        answer = await self.ask("GET", "/api/Configuration.Read")
        if answer is None or answer.status != 200:
            return False
        lost = self.world.lost_contact_s(answer.controller)
        self.world.judge.read(answer.controller, answer.body, newest, lost)
        return True


class Backend(Caller):
    """One incarnation: it beats, says that it drains, leaves and ends; or it crashes without a word."""

    def __init__(self, world: World, name: str, random: Random, lives_s: float, crashes: bool = False) -> None:
        super().__init__(world, name, random)
        self._lives_s, self._crashes, self._number = lives_s, crashes, 0
        self.zone = "a"
        self.preferred: str = ""  # a controller that it reports to for as long as that one answers

    def start(self) -> None:
        """Begin."""
        self.loop.call_soon(lambda: self.loop.create_task(self._run()))

    async def _run(self) -> None:
        end = self.loop.time() + self._lives_s
        while self.loop.time() < end and not self.world.is_over:
            await self._beat("ready")
            await asyncio.sleep(self.world.beat_s)
        if self._crashes:
            self.world.liveness.crashed(self.name)
            return
        await self._end()

    @property
    def stage(self) -> str:
        """What its heartbeats tell."""
        return "decode"

    async def _end(self) -> None:
        """Say that it drains, and leave."""
        for _ in range(4):
            answer = await self._beat("draining")
            if answer is not None:
                self._told(answer, "draining")
                await asyncio.sleep(2.0)
                break
            await asyncio.sleep(0.2)
        answer = await self.ask("POST", f"/api/Servers.Leave/{self.name}")
        if answer is not None and answer.status == 200:
            self._told(answer, "gone")

    async def _beat(self, phase: str) -> Answer | None:
        self._number += 1
        body = json.dumps(
            {
                "target": "s",
                "address": f"{self.loop.ip}:80",
                "zone": self.zone,
                "revision": "v1",
                "capacity": 4,
                "phase": phase,
                "cold_left_ms": 0,
                "stage": self.stage,
                "models": [],
                "call_seq": self._number,
            }
        ).encode()
        path = f"/api/Servers.Heartbeat/{self.name}"
        answer = await self.ask("POST", path, body, ip=self.preferred)
        if self.preferred and (answer is None or answer.status != 200):
            answer = await self.ask("POST", path, body, ip=self.pick(without=self.preferred))
        if answer is None or answer.status != 200:
            return None
        if phase == "ready":
            self.world.liveness.acknowledged(self.name, answer.controller)
        return answer

    def _told(self, answer: Answer, phase: str) -> None:
        world = self.world
        world.judge.ending(answer.controller, self.name, phase, world.lost_contact_s(answer.controller))
        world.expect_ended(self.name, answer.controller)


def _route(mark: str, service: str) -> dict[str, object]:
    return {"name": mark, "hostname": f"{mark}.example", "path_prefix": "/", "timeout_ms": 1000, "target": service}
