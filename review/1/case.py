"""A proxy is told to end while backends are busy: a resumable stream rests, as its backend has preempted it."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from random import Random

import harness
from cranebank.fleetlab.backend import Backend
from cranebank.fleetlab.model import EngineSpec
from cranebank.fleetlab.records import Arrival
from cranebank.transport.http_client import Answer, ask_once, connect, request_bytes

STAGES = ("prefill", "prefill", "decode", "decode", "decode")
# Small engines, as the stand-in models them: each token of a batch of eight takes 8 ms, an event comes each 56 ms, and
# the memory doesn't hold eight whole answers, so that the newest streams are preempted and read anew.
SPEC = EngineSpec(
    capacity=8, queue=2, cache_tokens=3700, link_mbps=1_400_000.0, stride=7, switch_s=1.1, token_s=0.004
)  # fmt: skip
WAVES, WAVE_INTERVAL_S, WAVE_REQUESTS = 6, 6.5, 34
OWN_TOKENS, OUT_TOKENS = 200, 420
TERM_AFTER_S = 1.0  # after the second wave for the one proxy, after the fourth for the other
DEADLINE_S, GRACE_S = 6.0, 8.0


class Request:
    def __init__(self, attempt: str, proxy: str, sent: float) -> None:
        self.attempt, self.proxy, self.sent = attempt, proxy, sent
        self.status, self.whole, self.ended, self.pieces = 0, False, 0.0, 0
        self.last_piece = 0.0


class Load:
    def __init__(self, fleet: harness.Fleet, record: harness.Record) -> None:
        self.fleet, self.record, self.random = fleet, record, Random(1)
        self.requests: list[Request] = []
        self.misses = {proxy.name: 2 for proxy in fleet.proxies}

    async def watch(self) -> None:
        """Ask each proxy every second whether it is ready, as the platform does."""
        while True:
            for proxy in self.fleet.proxies:
                answer = await ask_once(f"{proxy.ip}:{harness.READY_PORT}", "GET", "/api/readiness", seconds=0.4)
                self.misses[proxy.name] = 0 if answer.status == 200 else self.misses[proxy.name] + 1
            await asyncio.sleep(1.0 if 0 in self.misses.values() else 0.1)

    async def run(self) -> None:
        """Send the waves: all clients of a wave ask within a tenth of a second."""
        loop = asyncio.get_running_loop()
        begun, number = loop.time(), 0
        async with asyncio.TaskGroup() as group:
            for wave in range(WAVES):
                for turn in range(WAVE_REQUESTS):
                    at = begun + wave * WAVE_INTERVAL_S + 0.1 * turn / WAVE_REQUESTS
                    await asyncio.sleep(max(0.0, at - loop.time()))
                    number += 1
                    group.create_task(self.ask(number))

    async def ask(self, number: int) -> None:
        ready = [proxy for proxy in self.fleet.proxies if self.misses[proxy.name] < 2] or self.fleet.proxies
        proxy = self.random.choice(ready)
        request = Request(f"{number:016x}", proxy.name, self.record.now())
        self.requests.append(request)
        link = await connect(f"{proxy.ip}:{harness.FRONT_PORT}", 1.0)
        if link is None:
            request.ended = self.record.now()
            return
        headers = {
            "Host": "shop.example", "X-Attempt-Id": request.attempt, "X-Model": "m",
            "X-Token-Counts": f"{92 + OWN_TOKENS},{OUT_TOKENS}", "X-Prompt-Prefix": f"5c1e:92,{number:08x}:{OWN_TOKENS}",
            "X-Deadline-Left": str(int(DEADLINE_S * 1e3)),
        }  # fmt: skip
        answer = Answer()
        loop = asyncio.get_running_loop()
        offset = self.record.now() - loop.time()
        await link.ask(request_bytes("POST", f"/query/{number}", headers, b"prompt"), DEADLINE_S, answer)
        link.close()
        request.status, request.whole, request.ended = answer.status, answer.whole, answer.ended + offset
        request.pieces = len(answer.pieces)
        request.last_piece = answer.pieces[-1][0] + offset if answer.pieces else 0.0


async def case(fleet: harness.Fleet, record: harness.Record, trouble: bool) -> bool:
    for program in fleet.programs:
        program.start(is_first_start=True)
    arrivals: list[Arrival] = []
    backends = [
        Backend(
            SPEC, f"i-{number:08x}", "dawa-lm", stage, f"{fleet.net}.{102 + number}:{harness.BACKEND_PORT}",
            harness.ZONES[number % 3], fleet.control_addresses, 1.2, 2.0, arrivals, [], {}, [],
        )
        for number, stage in enumerate(STAGES)
    ]  # fmt: skip
    for backend in backends:
        # The model bars a preempted request that has not begun from a queue that is full; a backend need not.
        backend.model._check_invariants = lambda: None  # type: ignore[method-assign]
        await backend.start()
    load = Load(fleet, record)
    watch = asyncio.create_task(load.watch())
    terms: dict[str, float] = {}
    document = harness.configuration()
    document["services"][0]["engine"] |= {"capacity": SPEC.capacity, "cache_tokens": SPEC.cache_tokens}
    try:
        if await harness.replace(fleet, Random(1), document, 0, 20.0) is None:
            raise RuntimeError("the first version was not acknowledged")
        await asyncio.sleep(5.0)  # contact_ms
        play = asyncio.create_task(load.run())
        await asyncio.sleep(WAVE_INTERVAL_S + TERM_AFTER_S)
        if trouble:
            for proxy in fleet.proxies:
                begun = terms[proxy.name] = record.now()
                proxy.send(signal.SIGTERM)
                assert proxy.process is not None
                await asyncio.to_thread(proxy.process.wait)
                record.line(f"{proxy.name} has ended")
                proxy.start(is_first_start=False)
                await asyncio.sleep(begun + 2 * WAVE_INTERVAL_S - record.now())
        await play
    finally:
        watch.cancel()
        for backend in backends:
            backend.stop()
    loop = asyncio.get_running_loop()
    offset = record.now() - loop.time()
    by_attempt: dict[str, list[Arrival]] = {}
    for arrival in arrivals:
        by_attempt.setdefault(arrival.attempt, []).append(arrival)
    lost = cut = 0
    outcome: dict[str, int] = {}
    for request in load.requests:
        key = f"{request.status} {'whole' if request.whole else 'cut'}"
        outcome[key] = outcome.get(key, 0) + 1
        passed = [a for a in by_attempt.get(request.attempt, []) if a.kind == "make"]
        is_cut = request.status == 200 and not request.whole and request.ended < request.sent + DEADLINE_S - 0.3
        is_lost = (
            is_cut
            and request.proxy in terms
            and terms[request.proxy] <= request.ended < terms[request.proxy] + GRACE_S / 2
            and not any(a.broke_off for a in passed)
        )
        cut, lost = cut + is_cut, lost + is_lost
        runs = ", ".join(
            f"{a.instance} at {a.at + offset:.2f}: {a.status}{' not run' if a.not_run else ''}, {a.events_made} events"
            f"{' broke off' if a.broke_off else ''}"
            for a in passed
        )
        record.line(
            f"{'LOST' if is_lost else 'cut ' if is_cut else '    '} {request.attempt} at {request.proxy}: "
            f"sent {request.sent:.2f}, answer {key}, {request.pieces} pieces, last {request.last_piece:.2f}, "
            f"ended {request.ended:.2f}; backends: {runs or 'none'}"
        )
    record.line(f"requests {len(load.requests)}: {outcome}; cut {cut}; lost around the SIGTERM {lost}")
    return lost == 0


if __name__ == "__main__":
    harness.main(case, Path(__file__).parent)
