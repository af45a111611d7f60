"""Open-loop clients of a day, and the platform that brings them to proxies that are ready."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from math import ceil
from random import Random

import msgspec

from cranebank.fleetlab.backend import digest
from cranebank.fleetlab.operator import HOST
from cranebank.fleetlab.records import DayRecord, StreamEvent, Try
from cranebank.transport.http_client import Answer, HttpLink, ask_once, connect, request_bytes

TRIES = 3
OUT_AFTER = 2  # misses in a row that take a proxy out
DEADLINE_S = 6.0
KEPT = 0.6  # of the connections serve a further request
NOT_AGAIN = frozenset({200, 400, 401, 404, 413, 431})
PROMISES = frozenset({408, 421, 429, 503})
SUBJECTS = 12
OWN_TOKENS = (60, 300)  # of a prompt's last part, which belongs to its request alone: fewest and most
EFFECTFUL = frozenset({"write", "moved"})  # all other routes may be resumed
WEIGHTS = {"chat": 5, "write": 2, "search": 2, "moved": 2}


class Ingress(msgspec.Struct):
    """What the platform knows of one proxy."""

    name: str
    front: str
    ready_addr: str
    life: int = 1
    misses: int = OUT_AFTER

    @property
    def is_in(self) -> bool:
        """Whether it receives new connections."""
        return self.misses < OUT_AFTER


class Platform:
    """Asks each proxy every second; two misses in a row take it out."""

    def __init__(self, proxies: Iterable[Ingress]) -> None:
        self.proxies = {proxy.name: proxy for proxy in proxies}

    async def watch(self) -> None:
        """Ask for ever."""
        while True:
            await asyncio.gather(*(self.look(proxy) for proxy in self.proxies.values()), asyncio.sleep(1.0))

    async def look(self, proxy: Ingress) -> bool:
        """Ask one proxy."""
        answer = await ask_once(proxy.ready_addr, "GET", "/api/readiness", seconds=0.8)
        proxy.misses = 0 if answer.status == 200 else proxy.misses + 1
        return proxy.misses == 0

    def pick(self, random: Random) -> Ingress:
        """A proxy for a new connection; all of them where under half are in."""
        ready = [proxy for proxy in self.proxies.values() if proxy.is_in]
        return random.choice(ready if 2 * len(ready) >= len(self.proxies) else list(self.proxies.values()))


class Clients:
    """All clients; each request is a task of its own, begun at its time whatever became of those before."""

    def __init__(
        self,
        platform: Platform,
        day: DayRecord,
        strides: int,
        random: Random,
        own_tokens: tuple[int, int] = OWN_TOKENS,
    ) -> None:
        """``own_tokens``: fewest and most of the part of a prompt that no other request has."""
        self._platform, self._day, self._stride, self._random = platform, day, strides, random
        self._own_tokens = own_tokens
        self._kept: list[tuple[HttpLink, Ingress, int]] = []
        self._requests = self._attempts = 0
        self.asked = self.served = self.failed = 0

    async def load(self, rate: float, seconds: float) -> None:
        """Poisson arrivals for so long, and then until the last request has ended."""
        enough = asyncio.Event()
        asyncio.get_running_loop().call_later(seconds, enough.set)
        await self.load_until(rate, enough)

    async def load_until(self, rate: float, enough: asyncio.Event) -> None:
        """Poisson arrivals until it is enough, and then until the last request has ended."""
        loop = asyncio.get_running_loop()
        at = loop.time()
        async with asyncio.TaskGroup() as group:
            while not enough.is_set():
                at += self._random.expovariate(rate)
                await asyncio.sleep(max(0.0, at - loop.time()))
                group.create_task(self._request())
        for link, _, _ in self._kept:
            link.close()

    async def probe(self, proxy: Ingress, name: str) -> None:
        """One request sent directly to a proxy, on a route that was just added or removed, or never existed."""
        self._requests += 1
        await self._try(self._requests, name, asyncio.get_running_loop().time() + 2.0, proxy)

    async def _request(self) -> None:
        loop = asyncio.get_running_loop()
        self.asked += 1
        self._requests += 1
        number = self._requests
        name = self._random.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        until = loop.time() + DEADLINE_S
        for _ in range(TRIES):
            sent, answer = await self._try(number, name, until)
            if answer.status == 200 and answer.whole:
                self.served += 1
                return
            promised = answer.whole and answer.status in PROMISES
            if (
                (answer.whole and answer.status in NOT_AGAIN)
                or loop.time() > until - 0.2
                or not (promised or sent.repeatable or not sent.connected)
            ):
                break
            wait = float(answer.headers.get("retry-after", 0)) if promised else 0.05
            await asyncio.sleep(min(wait, (until - loop.time()) / 3))
        self.failed += 1

    def _prompt(self) -> tuple[str, int, int]:
        """Parts, tokens in, tokens out."""
        subject = min(int(self._random.expovariate(0.4)), SUBJECTS - 1)
        sizes = {
            "sys": 600,
            f"b{subject:02x}": 700 + 100 * subject,
            f"c{self._requests:06x}": self._random.randint(*self._own_tokens),
        }
        parts = ",".join(f"{name}:{size}" for name, size in sizes.items())
        return parts, sum(sizes.values()), self._random.randint(16, 90)

    async def _link(self, proxy: Ingress | None) -> tuple[HttpLink | None, Ingress, int]:
        while proxy is None and self._kept and self._random.random() < KEPT:
            link, of, life = self._kept.pop(self._random.randrange(len(self._kept)))
            if link.is_open:
                return link, of, life
        of = proxy or self._platform.pick(self._random)
        life = of.life
        return await connect(of.front, 1.0, lambda data: self._day.stray.append(f"{of.name}: {data[:60]!r}")), of, life

    async def _try(self, request: int, name: str, until: float, proxy: Ingress | None = None) -> tuple[Try, Answer]:
        loop = asyncio.get_running_loop()
        self._attempts += 1
        attempt = f"t{self._attempts:06x}"
        parts, tokens, out = self._prompt()
        body = f"prompt of {attempt}".encode()
        link, of, life = await self._link(proxy)
        now = loop.time()
        path = f"/{name}/{request}"
        sent = Try(
            request,
            attempt,
            of.name,
            life,
            "POST",
            HOST,
            path,
            digest(body),
            now,
            name not in EFFECTFUL,
            ceil(out / self._stride),
            proxy is not None,
            until,
        )
        self._day.tries.append(sent)
        if link is None:
            sent.ended = loop.time()
            return sent, Answer()
        sent.connected = True
        answer = await link.ask(
            request_bytes(
                "POST",
                path,
                {
                    "Host": HOST,
                    "X-Attempt-Id": attempt,
                    "X-Model": "m",
                    "X-Token-Counts": f"{tokens},{out}",
                    "X-Prompt-Prefix": parts,
                    "X-Deadline-Left": str(max(1, int((until - now) * 1e3))),
                },
                body,
            ),
            until - now,
        )
        note(sent, answer)
        if link.is_open:
            if proxy is None:
                self._kept.append((link, of, life))
            else:
                link.close()
        return sent, answer


def note(sent: Try, answer: Answer) -> None:
    """Write down what came back."""
    sent.status, sent.whole, sent.is_http, sent.ended = answer.status, answer.whole, answer.is_http, answer.ended
    sent.answer_attempt = answer.headers.get("x-attempt-id", "")
    sent.seal = answer.headers.get("x-server-seal", "")
    if "text/event-stream" not in answer.headers.get("content-type", ""):
        return
    events, times, offset, pieces = [], [], 0, iter(answer.pieces)
    at, have = 0.0, 0
    while (end := answer.body.find(b"\n\n", offset)) >= 0:
        fields = dict(
            line.split(": ", 1) for line in answer.body[offset:end].decode("latin-1").split("\n") if ": " in line
        )
        attempt, run, *_ = [*fields.get("data", "").split(" "), "", ""]
        events.append(StreamEvent(int(fields.get("id", 0)), attempt, run))
        offset = end + 2
        while have < offset:
            at, have = next(pieces)
        times.append(at)
    sent.events, sent.event_times = tuple(events), tuple(times)
