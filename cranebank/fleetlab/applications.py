"""Applications inside the zones, which add to tallies and read them at the nearest controller that answers.

After no definite answer or a transient refusal, the call is repeated at the next controller; an add keeps its id. Every
call to every machine is recorded for the judge.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Iterator
from random import Random

import msgspec

from cranebank.fleetlab.caller import Caller
from cranebank.fleetlab.fleet import CONTROL_PORT, Fleet, Process
from cranebank.fleetlab.operator import Ask
from cranebank.fleetlab.records import TallyCall
from cranebank.fleetlab.run_options import TallyLoad
from cranebank.transport.http_client import Answer, ask_once

CALL_TIMEOUT_S = 1.0  # without an answer by then, the next controller is called
OPERATION_TIMEOUT_S = 4.0  # an application gives up an add or reading after this time
RETRY_INTERVAL_S = 0.05  # between the calls of one add or reading
MAX_AMOUNT = 9  # amounts are positive, which the judge's sums rely on
ID_BITS = 64
OK, TOO_MANY, SERVER_ERROR = 200, 429, 500


class Total(msgspec.Struct, frozen=True):
    """The answer to a reading."""

    total: int


class Applications:
    """The applications of all zones."""

    def __init__(
        self, load: TallyLoad, fleet: Fleet, calls: list[TallyCall], random: Random, callers: dict[str, Caller | None]
    ) -> None:
        """``callers``: the caller of each zone, or None for a network that loses nothing."""
        self._load, self._fleet, self._calls, self._random, self._callers = load, fleet, calls, random, callers

    async def run_until(self, stop: asyncio.Event) -> None:
        """Make calls from each zone until ``stop`` is set, and wait for the last one to end."""
        async with asyncio.TaskGroup() as group:
            for zone in self._callers:
                group.create_task(self._run_zone(zone, stop))

    async def read_final_totals(self, seconds: float) -> None:
        """Read each tally at each controller at the end, until it is answered or the time is over."""
        async with asyncio.TaskGroup() as group:
            for tally in self._names():
                for process in self._fleet.controllers.values():
                    group.create_task(self._read_final(tally, process, seconds))

    def _names(self) -> Iterator[str]:
        return (f"t{number}" for number in range(self._load.tallies))

    async def _run_zone(self, zone: str, stop: asyncio.Event) -> None:
        """Make calls with Poisson arrivals, each as a task that does not depend on earlier ones."""
        loop = asyncio.get_running_loop()
        at = loop.time()
        async with asyncio.TaskGroup() as group:
            while not stop.is_set():
                at += self._random.expovariate(self._load.rate)
                await asyncio.sleep(max(0.0, at - loop.time()))
                group.create_task(self._call(zone))

    async def _call(self, zone: str) -> None:
        """Make one add or reading, at one controller after another."""
        loop, random = asyncio.get_running_loop(), self._random
        tally = random.choice(list(self._names()))
        is_read = random.random() < self._load.share_read
        add_id = "" if is_read else f"{random.getrandbits(ID_BITS):016x}"
        amount = 0 if is_read else random.randint(1, MAX_AMOUNT)
        deadline = loop.time() + OPERATION_TIMEOUT_S
        while loop.time() < deadline:
            for process in self._fleet.listed_nearest(zone, random):
                status = await self._call_at(process, TallyCall(tally, add_id, amount, "", 0, 0.0), self._ask(zone))
                if status and status < SERVER_ERROR and status != TOO_MANY:
                    return
                if loop.time() >= deadline:
                    return
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _read_final(self, tally: str, process: Process, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while loop.time() < deadline:
            call = TallyCall(tally, "", 0, "", 0, 0.0, is_last=True)
            if await self._call_at(process, call, ask_once) == OK:
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _ask(self, zone: str) -> Ask:
        caller = self._callers[zone]
        return ask_once if caller is None else caller.ask

    async def _call_at(self, process: Process, call: TallyCall, ask: Ask) -> int:
        """Make and record a call to one machine, and return its status, or 0 without a whole answer."""
        loop = asyncio.get_running_loop()
        call.machine, call.life, call.sent = process.name, process.life, loop.time()
        self._calls.append(call)
        answer = await _send(ask, f"{process.ip}:{CONTROL_PORT}", call)
        if answer.whole:
            call.status = answer.status
            call.total = _decode_total(answer) if not call.id else None
        call.ended = loop.time()
        return call.status


def _send(ask: Ask, address: str, call: TallyCall) -> Awaitable[Answer]:
    if not call.id:
        return ask(address, "GET", f"/api/Tallies.Read/{call.tally}", b"", CALL_TIMEOUT_S, None)
    body = msgspec.json.encode({"id": call.id, "actor": call.amount})
    headers = {"Content-Type": "application/json"}
    return ask(address, "POST", f"/api/Tallies.Amend/{call.tally}", body, CALL_TIMEOUT_S, headers)


def _decode_total(answer: Answer) -> int | None:
    """Return the total of a reading, or None if the answer has none."""
    if answer.status != OK:
        return None
    try:
        return msgspec.json.decode(answer.body, type=Total).total
    except msgspec.MsgspecError:
        return None
