"""Open-loop load on sockets: each request is sent at its intended time, whatever happened to earlier requests.

Latency counts from the intended time, so a proxy can't hide a stall by delaying the generator (coordinated omission;
Tene, wrk2). The generator records its own lateness, and a run whose generator was too late gives no result.
The runner starts this module as ``python -m cranebank.lab.load PART``.
"""

from __future__ import annotations

import asyncio
import resource
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from cranebank.lab import records
from cranebank.lab.arrivals import Arrival, arrivals
from cranebank.lab.child import Address, Go, Lines, Part, play, say
from cranebank.lab.clients import Clients
from cranebank.lab.exchange import Pool, now_us, request_bytes
from cranebank.lab.model import SeenKeys
from cranebank.lab.plan import Plan, plan
from cranebank.lab.scenario import Scenario
from cranebank.lab.stage import Ask, InFlight, Reply

LAUNCHES_PER_YIELD = 32  # requests sent before yielding to the event loop


class Progress(msgspec.Struct, frozen=True):
    """Progress of a run: seconds, first tries sent, requests served, requests ended without service."""

    at: float
    offered: int
    served: int
    unserved: int


class Generator:
    """Environment of the clients on sockets."""

    def __init__(
        self,
        scenario: Scenario,
        rows: Sequence[Arrival],
        proxies: dict[str, Address],
        write: Callable[[records.Record], None],
        zones: dict[str, int] | None = None,
    ) -> None:
        self.scenario, self.write = scenario, write
        self.plan: Plan = plan(scenario)
        self.repeats = SeenKeys(1)
        self._rows, self._proxies = rows, proxies
        self._pool = Pool(scenario.load.connections)
        self._all_done = asyncio.Event()
        self._lateness: list[int] = []
        self._t0 = 0
        self.clients = Clients(self, scenario, rows, zones or dict.fromkeys(proxies, 0), self._all_done.set)

    def now(self) -> int:
        """Return the microseconds since the start."""
        return now_us() - self._t0

    def at(self, when: int, do: Callable[..., Any], *arguments: Any) -> asyncio.TimerHandle:
        """Call ``do`` at a time after the start."""
        return asyncio.get_running_loop().call_later(max(0, when - self.now()) / 1e6, do, *arguments)

    def ask(
        self, proxy: str, zone: int, ask: Ask, done: Callable[[Reply], None], on_extra_answer: Callable[[], None]
    ) -> InFlight:
        """Send a request to a proxy."""
        return self._pool.ask(
            self._proxies[proxy], request_bytes(ask, self.scenario), ask.id, self._t0, done, on_extra_answer
        )

    async def play(self, t0: int) -> records.Generator:
        """Send all requests, with times relative to ``t0``, and return the lateness of the generator."""
        self._t0, began = t0, resource.getrusage(resource.RUSAGE_SELF)
        for number, row in enumerate(self._rows):
            wait = row.at - self.now()
            if wait > 0:
                await asyncio.sleep(wait / 1e6)
            elif number % LAUNCHES_PER_YIELD == 0:
                await asyncio.sleep(0)
            self._lateness.append(self.now() - row.at)
            self.clients.launch(number)
        while self.clients.open:
            self._all_done.clear()
            await self._all_done.wait()
        self._pool.close()
        used = resource.getrusage(resource.RUSAGE_SELF)
        cpu = used.ru_utime + used.ru_stime - began.ru_utime - began.ru_stime
        lateness = np.array(self._lateness or [0])
        return records.Generator(
            len(self._rows),
            int(np.percentile(lateness, 50)),
            int(np.percentile(lateness, 99)),
            int(lateness.max()),
            cpu,
            self.now() / 1e6,
        )


async def run(part: Part, lines: Lines) -> None:
    """Run the clients."""
    scenario = part.scenario
    rows = arrivals(scenario, Path(part.beside))
    writer = records.Writer(Path(part.records))
    say({"arrivals": len(rows)})
    line = await lines.next()
    if line is None:
        return
    go = msgspec.json.decode(line, type=Go)
    zones = {proxy.name: proxy.zone for proxy in part.plan.proxies if proxy.tier == 0}
    generator = Generator(scenario, rows, {name: go.proxies[name] for name in zones}, writer.write, zones)
    clients = generator.clients

    async def progress() -> None:
        while True:
            await asyncio.sleep(1.0)
            say(Progress(generator.now() / 1e6, clients.offered, clients.served, clients.unserved))
            writer.flush()

    task = asyncio.get_running_loop().create_task(progress())
    writer.write(await generator.play(go.at))
    task.cancel()
    writer.close()
    say({"done": True})
    await lines.next()


if __name__ == "__main__":
    sys.exit(play(run, sys.argv[1:]))
