"""Open-loop clients of a day, and the platform that directs them to ready proxies."""

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

MAX_TRIES = 3
OUT_AFTER_MISSES = 2  # a proxy is taken out after this many consecutive misses
REQUEST_DEADLINE_S = 6.0
REUSE_SHARE = 0.6  # of the requests use an idle connection, if there is one
FINAL_STATUSES = frozenset({200, 400, 401, 404, 413, 431})
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
SUBJECT_COUNT = 12
OWN_TOKENS = (60, 300)  # minimum and maximum size of a prompt's last part, unique to its request
EFFECTFUL_ROUTES = frozenset({"write", "moved"})  # all other routes may be resumed
ROUTE_WEIGHTS = {"chat": 5, "write": 2, "search": 2, "moved": 2}


class Ingress(msgspec.Struct):
    """The state of one proxy as known to the platform."""

    name: str
    front: str
    ready_addr: str
    life: int = 1
    misses: int = OUT_AFTER_MISSES

    @property
    def is_in(self) -> bool:
        """Whether the proxy receives new connections."""
        return self.misses < OUT_AFTER_MISSES


class Platform:
    """Checks each proxy every second; OUT_AFTER_MISSES consecutive misses take it out."""

    def __init__(self, proxies: Iterable[Ingress]) -> None:
        self.proxies = {proxy.name: proxy for proxy in proxies}

    async def watch(self) -> None:
        """Check all proxies every second, forever."""
        while True:
            await asyncio.gather(*(self.check_ready(proxy) for proxy in self.proxies.values()), asyncio.sleep(1.0))

    async def check_ready(self, proxy: Ingress) -> bool:
        """Check one proxy, and return whether it is ready."""
        answer = await ask_once(proxy.ready_addr, "GET", "/api/readiness", seconds=0.8)
        proxy.misses = 0 if answer.status == 200 else proxy.misses + 1
        return proxy.misses == 0

    def pick(self, random: Random) -> Ingress:
        """Return a proxy for a new connection, one of all proxies if less than half are in."""
        ready = [proxy for proxy in self.proxies.values() if proxy.is_in]
        return random.choice(ready if 2 * len(ready) >= len(self.proxies) else list(self.proxies.values()))


class Clients:
    """All clients. Each request is a task that starts at its time, regardless of earlier requests."""

    def __init__(
        self,
        platform: Platform,
        day: DayRecord,
        stride: int,
        random: Random,
        own_tokens: tuple[int, int] = OWN_TOKENS,
    ) -> None:
        """``own_tokens``: minimum and maximum size of the part of a prompt that no other request has."""
        self._platform, self._day, self._stride, self._random = platform, day, stride, random
        self._own_tokens = own_tokens
        self._idle_links: list[tuple[HttpLink, Ingress, int]] = []
        self._request_count = self._attempt_count = 0
        self.asked = self.served = self.failed = 0

    async def load(self, rate: float, seconds: float) -> None:
        """Send Poisson arrivals for some seconds, and wait for the last request to end."""
        stop = asyncio.Event()
        asyncio.get_running_loop().call_later(seconds, stop.set)
        await self.load_until(rate, stop)

    async def load_until(self, rate: float, stop: asyncio.Event) -> None:
        """Send Poisson arrivals until ``stop`` is set, and wait for the last request to end."""
        loop = asyncio.get_running_loop()
        next_arrival = loop.time()
        async with asyncio.TaskGroup() as group:
            while not stop.is_set():
                next_arrival += self._random.expovariate(rate)
                await asyncio.sleep(max(0.0, next_arrival - loop.time()))
                group.create_task(self._request())
        for link, _, _ in self._idle_links:
            link.close()

    async def probe(self, proxy: Ingress, name: str) -> None:
        """Send one request directly to a proxy, on a route that was just added or removed, or never existed."""
        self._request_count += 1
        await self._try(self._request_count, name, asyncio.get_running_loop().time() + 2.0, proxy)

    async def _request(self) -> None:
        loop = asyncio.get_running_loop()
        self.asked += 1
        self._request_count += 1
        number = self._request_count
        name = self._random.choices(list(ROUTE_WEIGHTS), list(ROUTE_WEIGHTS.values()))[0]
        deadline = loop.time() + REQUEST_DEADLINE_S
        for _ in range(MAX_TRIES):
            client_try, answer = await self._try(number, name, deadline)
            if answer.status == 200 and answer.whole:
                self.served += 1
                return
            is_not_run = answer.whole and answer.status in NOT_RUN_STATUSES
            if (
                (answer.whole and answer.status in FINAL_STATUSES)
                or loop.time() > deadline - 0.2
                or not (is_not_run or client_try.repeatable or not client_try.connected)
            ):
                break
            wait = float(answer.headers.get("retry-after", 0)) if is_not_run else 0.05
            await asyncio.sleep(min(wait, (deadline - loop.time()) / 3))
        self.failed += 1

    def _prompt(self) -> tuple[str, int, int]:
        """Return the parts of a new prompt, its number of tokens and the number of tokens to generate."""
        subject = min(int(self._random.expovariate(0.4)), SUBJECT_COUNT - 1)
        sizes = {
            "sys": 600,
            f"b{subject:02x}": 700 + 100 * subject,
            f"c{self._request_count:06x}": self._random.randint(*self._own_tokens),
        }
        parts = ",".join(f"{name}:{size}" for name, size in sizes.items())
        return parts, sum(sizes.values()), self._random.randint(16, 90)

    async def _link(self, proxy: Ingress | None) -> tuple[HttpLink | None, Ingress, int]:
        while proxy is None and self._idle_links and self._random.random() < REUSE_SHARE:
            link, ingress, life = self._idle_links.pop(self._random.randrange(len(self._idle_links)))
            if link.is_open:
                return link, ingress, life
        ingress = proxy or self._platform.pick(self._random)
        life = ingress.life
        return (
            await connect(ingress.front, 1.0, lambda data: self._day.stray.append(f"{ingress.name}: {data[:60]!r}")),
            ingress,
            life,
        )

    async def _try(self, request: int, name: str, deadline: float, proxy: Ingress | None = None) -> tuple[Try, Answer]:
        loop = asyncio.get_running_loop()
        self._attempt_count += 1
        attempt = f"t{self._attempt_count:06x}"
        parts, tokens, out = self._prompt()
        body = f"prompt of {attempt}".encode()
        link, ingress, life = await self._link(proxy)
        now = loop.time()
        path = f"/{name}/{request}"
        client_try = Try(
            request,
            attempt,
            ingress.name,
            life,
            "POST",
            HOST,
            path,
            digest(body),
            now,
            name not in EFFECTFUL_ROUTES,
            ceil(out / self._stride),
            proxy is not None,
            deadline,
        )
        self._day.tries.append(client_try)
        if link is None:
            client_try.ended = loop.time()
            return client_try, Answer()
        client_try.connected = True
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
                    "X-Deadline-Left": str(max(1, int((deadline - now) * 1e3))),
                },
                body,
            ),
            deadline - now,
        )
        record_answer(client_try, answer)
        if link.is_open:
            if proxy is None:
                self._idle_links.append((link, ingress, life))
            else:
                link.close()
        return client_try, answer


def record_answer(client_try: Try, answer: Answer) -> None:
    """Record an answer in its try."""
    client_try.status, client_try.whole, client_try.is_http, client_try.ended = (
        answer.status,
        answer.whole,
        answer.is_http,
        answer.ended,
    )
    client_try.answer_attempt = answer.headers.get("x-attempt-id", "")
    client_try.seal = answer.headers.get("x-server-seal", "")
    if "text/event-stream" not in answer.headers.get("content-type", ""):
        return
    events, times, offset, pieces = [], [], 0, iter(answer.pieces)
    received_at, received = 0.0, 0
    while (end := answer.body.find(b"\n\n", offset)) >= 0:
        fields = dict(
            line.split(": ", 1) for line in answer.body[offset:end].decode("latin-1").split("\n") if ": " in line
        )
        attempt, run, *_ = [*fields.get("data", "").split(" "), "", ""]
        events.append(StreamEvent(int(fields.get("id", 0)), attempt, run))
        offset = end + 2
        while received < offset:
            received_at, received = next(pieces)
        times.append(received_at)
    client_try.events, client_try.event_times = tuple(events), tuple(times)
