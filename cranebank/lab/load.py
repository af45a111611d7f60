"""Open-loop load: each request goes out at its intended time, whatever became of those before it.

Latency counts from the intended time, so a proxy that stalls can't hide its stall by holding the generator up
(coordinated omission; Tene, wrk2). How late the generator itself was is written down; the runner gives no
result where that was too much. ``python -m cranebank.lab.load PART``, started by the runner.
"""

from __future__ import annotations

import asyncio
import resource
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec
import numpy as np

from cranebank.lab import records
from cranebank.lab.arrivals import Arrival, arrivals
from cranebank.lab.child import Address, Go, Lines, Part, play, say
from cranebank.lab.exchange import Asking, Pool, Reply, now_us
from cranebank.lab.hosts import METHODS, request_bytes
from cranebank.lab.scenario import Scenario
from cranebank.lab.streams import stream

BATCH = 32  # requests launched before the loop gets its turn


class Progress(msgspec.Struct, frozen=True):
    """Where a run is: seconds, first tries offered, requests served, requests ended otherwise."""

    at: float
    offered: int
    served: int
    unserved: int


class _Request:
    """A client's request over all of its tries."""

    __slots__ = ("arrival", "asked", "asking", "deadline", "first_sent", "number", "timer", "tries")

    def __init__(self, number: int, arrival: Arrival, deadline: int) -> None:
        self.number, self.arrival, self.deadline = number, arrival, deadline
        self.tries = 0
        self.first_sent = -1
        self.asking: Asking | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.asked: records.Asked


class Generator:
    """The clients and the front: plays arrivals against proxies, writes a record for each try."""

    def __init__(self, scenario: Scenario, rows: Sequence[Arrival], proxies: dict[str, Address],
                 write: Callable[[records.Record], None]) -> None:
        self._scenario, self._rows, self._write = scenario, rows, write
        self._proxies = dict(proxies)
        self._names = sorted(proxies)
        self._dead: dict[str, int] = {}  # until then the front leaves it out
        self._pool = Pool(scenario.load.connections)
        self._draws = stream(scenario.seed, "clients").random((max(1, len(rows)), 8))
        self._open = 0
        self._over = asyncio.Event()
        self._late: list[int] = []
        self.offered = self.served = self.unserved = 0
        self._t0 = 0
        slack = scenario.limits.answer_slack_ms + scenario.judge.slack_ms
        self._slack = round(slack * 1000)  # an answer may be so late: what comes then still counts as an answer

    def now(self) -> int:
        """Microseconds after the start."""
        return now_us() - self._t0

    async def play(self, t0: int) -> records.Generator:
        """Offer everything, from ``t0`` on; return how late the generator itself was."""
        self._t0, began = t0, resource.getrusage(resource.RUSAGE_SELF)
        for number, row in enumerate(self._rows):
            wait = row.at - self.now()
            if wait > 0:
                await asyncio.sleep(wait / 1e6)
            elif number % BATCH == 0:
                await asyncio.sleep(0)
            self._launch(number, row)
        while self._open:
            self._over.clear()
            await self._over.wait()
        self._pool.close()
        used = resource.getrusage(resource.RUSAGE_SELF)
        cpu = used.ru_utime + used.ru_stime - began.ru_utime - began.ru_stime
        late = np.array(self._late or [0])
        return records.Generator(len(self._rows), int(np.percentile(late, 50)), int(np.percentile(late, 99)),
                                 int(late.max()), cpu, self.now() / 1e6)

    def _launch(self, number: int, row: Arrival) -> None:
        self._late.append(self.now() - row.at)
        self.offered += 1
        self._open += 1
        kind = self._scenario.classes[row.kind]
        self._try(_Request(number, row, row.at + round(kind.deadline_ms * 1000)))

    def _try(self, request: _Request) -> None:
        scenario, row, now = self._scenario, request.arrival, self.now()
        kind, draws = scenario.classes[row.kind], self._draws[request.number]
        begins = row.at if not request.tries else now
        wait = min(round(scenario.clients.try_part * kind.deadline_ms * 1000), request.deadline - begins)
        proxy = self._pick(draws[request.tries % 4])
        name = f"c{request.number}-{request.tries}"
        key = row.key if kind.effect != "safe" else ""
        asked = request.asked = records.Asked(
            id=name, root=f"c{request.number}", parent="", tries=request.tries, caller="client", proxy=proxy,
            kind=row.kind, tenant=row.tenant, key=key, intended=begins, sent=-1, deadline=begins + wait, done=now,
            status=0, digest="")
        data = request_bytes(METHODS[kind.effect], kind.name, name, asked.deadline - now, key, scenario, row.tenant,
                             row.work, asked.root, request.tries > 0, row.hint)
        request.asking = self._pool.ask(self._proxies[proxy], data, lambda reply: self._done(request, reply),
                                        lambda: self._write(records.Spare(name)))
        until = asked.deadline + self._slack
        if draws[4 + request.tries % 4] < scenario.clients.impatient:
            until, asked.gone = begins + round(wait * (0.1 + 0.8 * draws[request.tries % 4])), True
        request.timer = asyncio.get_running_loop().call_later(max(0, until - now) / 1e6, self._give_up, request)

    def _pick(self, draw: float) -> str:
        """The front: any proxy that is not known as dead."""
        now = self.now()
        alive = [name for name in self._names if self._dead.get(name, -1) <= now] or self._names
        return alive[int(draw * len(alive))]

    def _give_up(self, request: _Request) -> None:
        assert request.asking is not None
        request.asking.leave()
        self._ended(request, request.asking.reply)

    def _done(self, request: _Request, reply: Reply) -> None:
        if request.timer is not None:
            request.timer.cancel()
        request.asked.gone = False
        if reply.trouble == "refused":
            self._dead[request.asked.proxy] = self.now() + round(self._scenario.clients.notice_s * 1e6)
        self._ended(request, reply)

    def _ended(self, request: _Request, reply: Reply) -> None:
        asked, now = request.asked, self.now()
        asked.done, asked.sent = now, -1 if reply.sent < 0 else reply.sent - self._t0
        asked.status, asked.digest, asked.retry_after = reply.status, reply.digest, reply.retry_after
        asked.broke = reply.trouble == "broke"
        asked.named = reply.status != 200 or asked.id.encode() in reply.begins
        if asked.sent >= 0 > request.first_sent:
            request.first_sent = asked.sent
        self._write(asked)
        if reply.status == 200:
            self.served += 1
            self._finish()
        elif (at := self._again_at(request, reply, now)) is not None:
            request.tries += 1
            asyncio.get_running_loop().call_later(max(0, at - now) / 1e6, self._try, request)
        else:
            self.unserved += 1
            self._finish()

    def _again_at(self, request: _Request, reply: Reply, now: int) -> int | None:
        """When the client tries again, if it does: as the class allows, later with each try."""
        clients, kind = self._scenario.clients, self._scenario.classes[request.arrival.kind]
        if request.tries >= clients.retries or request.asked.gone:
            return None
        harmless = reply.status in (429, 503) or reply.trouble in ("refused", "no connection left")
        if kind.effect == "unsafe" and not harmless:
            return None
        draws = self._draws[request.number]
        wait = clients.backoff_ms * 1000 * 2**request.tries * (0.5 + draws[request.tries % 4])
        if reply.retry_after and draws[7] < clients.honour:
            wait = max(wait, reply.retry_after)
        at = now + round(wait)
        window = request.first_sent + round(kind.window_ms * 1000)
        if kind.effect == "keyed" and request.first_sent >= 0 and at > window:
            return None
        return at if at < request.deadline else None

    def _finish(self) -> None:
        self._open -= 1
        self._over.set()


async def run(part: Part, lines: Lines) -> None:
    """Play the clients."""
    scenario = part.scenario
    rows = arrivals(scenario, Path(part.beside))
    writer = records.Writer(Path(part.records))
    say({"arrivals": len(rows)})
    told = await lines.next()
    if told is None:
        return
    go = msgspec.json.decode(told, type=Go)
    first = {name: address for name, address in go.proxies.items()
             if name.startswith(f"{scenario.tiers[0].name}-p")}
    generator = Generator(scenario, rows, first, writer.write)

    async def progress() -> None:
        while True:
            await asyncio.sleep(1.0)
            say(Progress(generator.now() / 1e6, generator.offered, generator.served, generator.unserved))
            writer.flush()

    task = asyncio.get_running_loop().create_task(progress())
    writer.write(await generator.play(go.at))
    task.cancel()
    writer.close()
    say({"done": True})
    await lines.next()


if __name__ == "__main__":
    sys.exit(play(run, sys.argv[1:]))
