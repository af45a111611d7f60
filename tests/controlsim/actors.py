"""Operators, backends and a reader, which call the controllers over simulated HTTP as the operators' docs describe."""

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

from .judge import CONTACT_TIMEOUT_S, Change
from .network import Transport

if TYPE_CHECKING:
    from .world import World

CONTROL_PORT = 8080
ANSWER_TIMEOUT_S = 1.0
MAX_REDIRECTS = 2
RETRY_PAUSE_S = (0.05, 0.8)  # between tries: the first and the longest pause
FINAL_STATUSES = {200, 400, 409, 412, 413, 422}  # other answers are followed by another try


@dataclass
class Answer:
    """The answer to a call, and the controller that sent it."""

    controller: str
    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class _Exchange(asyncio.Protocol):
    """The client's side of one call, on a connection of its own."""

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
        """Keep a header field."""
        self._answer.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """Append part of the body."""
        self._answer.body += body

    def on_message_complete(self) -> None:
        """Complete the call: the answer has ended."""
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
    timeout_s: float = ANSWER_TIMEOUT_S,
) -> Answer | None:
    """Call one controller; return None if no answer came within ``timeout_s``."""
    done: asyncio.Future[Answer | None] = loop.create_future()
    head = f"{method} {path} HTTP/1.1\r\nHost: {ip}\r\nContent-Length: {len(body)}\r\n"
    if base is not None:
        head += f"X-Base-Version: {base}\r\n"
    exchange = _Exchange(ip, head.encode() + b"\r\n" + body, done)
    try:
        async with asyncio.timeout(timeout_s):
            await loop.create_connection(lambda: exchange, ip, CONTROL_PORT)
            return await done
    except OSError:  # TimeoutError is one
        return None
    finally:
        if exchange.transport is not None:
            exchange.transport.abort()


class Caller:
    """A caller of controllers: picks one from the list, which lags, and follows redirections."""

    def __init__(
        self, world: World, name: str, random: Random, reaches: Callable[[str], bool] = lambda _: True
    ) -> None:
        self.world, self.name, self.random, self._reaches = world, name, random, reaches
        self.loop = world.process(name, world.next_caller_ip())
        self._last_failed_ip = ""  # the controller whose last answer was missing or 5xx: not picked next
        self.early_timeout_share = 0.0  # share of the calls that time out before their answer arrives

    def pick(self, without: str = "") -> str:
        """Pick a random controller of the list, other than ``without`` where possible."""
        listed = [ip for ip in self.world.listed_ips() if self._reaches(ip)] or self.world.listed_ips()
        return self.random.choice([ip for ip in listed if ip != without] or listed)

    async def ask(
        self, method: str, path: str, body: bytes = b"", base: int | None = None, ip: str = ""
    ) -> Answer | None:
        """Make one try: call a controller, and those to which it redirects."""
        ip = ip or self.pick(without=self._last_failed_ip)
        self._last_failed_ip = ip
        timeout_s = ANSWER_TIMEOUT_S
        if self.random.random() < self.early_timeout_share:
            timeout_s = self.random.uniform(0.002, 0.05)
            self.world.judge.counts["answers lost on their way"] += 1
        for _ in range(MAX_REDIRECTS + 1):
            answer = await call(self.loop, ip, method, path, body, base, timeout_s)
            if answer is None:
                return None
            if self.world.lost_contact_s(ip) > CONTACT_TIMEOUT_S:
                self.world.judge.counts[f"answers {answer.status} of a controller without a majority"] += 1
            if answer.status != 307:
                self._last_failed_ip = ip if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR else ""
                return answer
            ip = answer.headers["location"].removeprefix("http://").partition(":")[0]
        return None


class Operator(Caller):
    """Makes changes, some concurrently, based on the revision that it considers current."""

    def __init__(self, world: World, name: str, random: Random) -> None:
        super().__init__(world, name, random)
        self.in_progress = 0
        self.max_in_progress = 1
        self.pause_s = (0.05, 1.0)
        self.padding_bytes = 0  # added to each document
        self.invalid_share = 0.05
        self.acknowledged_changes: list[Change] = []  # may be sent again later
        self.resend_share = 0.0
        self._number = 0

    def start(self) -> None:
        """Start its task."""
        self.loop.call_soon(lambda: self.loop.create_task(self._run()))

    async def _run(self) -> None:
        while not self.world.is_winding_down:
            await asyncio.sleep(self.random.uniform(*self.pause_s))
            if self.in_progress < self.max_in_progress:
                self.loop.create_task(self._send_one())

    async def _send_one(self) -> None:
        self.in_progress += 1
        try:
            if self.acknowledged_changes and self.random.random() < self.resend_share:
                await self._resend(self.random.choice(self.acknowledged_changes))
            else:
                await self.send(self._make_change())
        finally:
            self.in_progress -= 1

    def _make_change(self) -> Change:
        ledger = self.world.judge.ledger
        base = max(ledger.by_revision, default=0)
        if self.random.random() < 0.1:
            base = ledger.newest
        revision = base + self.random.choice([1, 1, 2, 3])
        self._number += 1
        route_name = f"{self.name}-{self._number}"
        current = ledger.by_revision.get(base)
        is_valid = self.random.random() >= self.invalid_share
        if current is not None and is_valid and self.random.random() < 0.4:
            body = json.dumps(
                {"revision": revision, "upsert": {"routes": [_route(route_name, "s")]}, "remove": {}}
            ).encode()
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
                "routes": [_route(route_name, service)],
                "services": [self.world.service],
                "limits": {},
                "padding": "x" * self.padding_bytes,
            }
        ).encode()
        return Change(self.name, "/api/Configuration.Replace", base, revision, body, body, is_valid)

    async def send(self, change: Change, ip: str = "") -> None:
        """Send a change, unaltered at each try, until a final answer comes or the run ends."""
        judge, scheduler = self.world.judge, self.world.scheduler
        judge.sent(change)
        change.sent_at = scheduler.now
        self.world.expect_acknowledged(change)
        pause = RETRY_PAUSE_S[0]
        if self.random.random() < self.world.duplicate_share:
            judge.counts["changes sent to two controllers at once"] += 1
            self.loop.create_task(self._try(change))
        while not self.world.is_finished:
            if await self._try(change, ip):
                return
            ip = ""
            await asyncio.sleep(pause * self.random.uniform(0.5, 1.5))
            pause = min(2 * pause, RETRY_PAUSE_S[1])

    async def _try(self, change: Change, ip: str = "") -> bool:
        change.tries += 1
        began = self.world.scheduler.now
        answer = await self.ask("POST", change.path, change.body, change.base, ip)
        if answer is None and self._last_failed_ip in self.world.ips_without_majority:
            change.without_majority_s += self.world.scheduler.now - began
        if answer is None and change.takeovers_when_lost is None:
            change.takeovers_when_lost = self.world.takeovers
            self.world.answer_lost()
        if answer is None or answer.status not in FINAL_STATUSES:
            return False
        self.world.judge.answered(
            change, answer.controller, answer.status, self.world.lost_contact_s(answer.controller)
        )
        if answer.status == 200:
            self.acknowledged_changes.append(change)
            self.world.acknowledged(change)
        return True

    async def _resend(self, change: Change) -> None:
        judge = self.world.judge
        judge.counts["old changes sent again"] += 1
        since = sum(revision > change.revision for revision in judge.ledger.by_revision)
        if since >= 100:
            judge.counts["resent after 100 changes"] += 1
        if since and self.world.takeovers > self.world.takeovers_at(change):
            judge.counts["resent after a takeover and other changes"] += 1
        await self._try(change)


class Reader(Caller):
    """Reads the configuration back periodically."""

    def start(self) -> None:
        """Start its task."""
        self.loop.call_soon(lambda: self.loop.create_task(self._run()))

    async def _run(self) -> None:
        while not self.world.is_finished:
            await asyncio.sleep(self.random.uniform(0.1, 0.6))
            await self.read()

    async def read(self) -> bool:
        """Read once; return whether it was answered."""
        newest = self.world.judge.ledger.newest
        answer = await self.ask("GET", "/api/Configuration.Read")
        if answer is None or answer.status != 200:
            return False
        lost = self.world.lost_contact_s(answer.controller)
        self.world.judge.read(answer.controller, answer.body, newest, lost)
        return True


class Backend(Caller):
    """One incarnation: it sends heartbeats, announces its drain and leaves; or it crashes without notice."""

    def __init__(self, world: World, name: str, random: Random, lifetime_s: float, crashes: bool = False) -> None:
        super().__init__(world, name, random)
        self._lifetime_s, self._crashes, self._number = lifetime_s, crashes, 0
        self.zone = "a"
        self.preferred_controller: str = ""  # the controller that gets its heartbeats as long as it answers

    def start(self) -> None:
        """Start its task."""
        self.loop.call_soon(lambda: self.loop.create_task(self._run()))

    async def _run(self) -> None:
        end = self.loop.time() + self._lifetime_s
        while self.loop.time() < end and not self.world.is_winding_down:
            await self._send_heartbeat("ready")
            await asyncio.sleep(self.world.beat_s)
        if self._crashes:
            self.world.liveness.crashed(self.name)
            return
        await self._end()

    @property
    def stage(self) -> str:
        """The stage in its heartbeats."""
        return "decode"

    async def _end(self) -> None:
        """Announce the drain, and leave."""
        for _ in range(4):
            answer = await self._send_heartbeat("draining")
            if answer is not None:
                self._report_ending(answer, "draining")
                await asyncio.sleep(2.0)
                break
            await asyncio.sleep(0.2)
        answer = await self.ask("POST", f"/api/Servers.Leave/{self.name}")
        if answer is not None and answer.status == 200:
            self._report_ending(answer, "gone")

    async def _send_heartbeat(self, phase: str) -> Answer | None:
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
        answer = await self.ask("POST", path, body, ip=self.preferred_controller)
        if self.preferred_controller and (answer is None or answer.status != 200):
            answer = await self.ask("POST", path, body, ip=self.pick(without=self.preferred_controller))
        if answer is None or answer.status != 200:
            return None
        if phase == "ready":
            self.world.liveness.acknowledged(self.name, answer.controller)
        return answer

    def _report_ending(self, answer: Answer, phase: str) -> None:
        world = self.world
        world.judge.ending(answer.controller, self.name, phase, world.lost_contact_s(answer.controller))
        world.expect_ended(self.name, answer.controller)


def _route(route_name: str, service: str) -> dict[str, object]:
    return {
        "name": route_name,
        "hostname": f"{route_name}.example",
        "path_prefix": "/",
        "timeout_ms": 1000,
        "target": service,
    }
