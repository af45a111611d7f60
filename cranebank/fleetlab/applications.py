"""Applications inside the zones: they add to tallies and read them, at the nearest controller that answers.

A call that got no clear answer, or a refusal that may pass, goes on to the next controller; an add keeps its id. Every
call at every machine is written down for the judge.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Iterator
from random import Random

import msgspec

from cranebank.fleetlab.caller import Caller
from cranebank.fleetlab.fleet import CONTROL, Fleet, Process
from cranebank.fleetlab.operator import Ask
from cranebank.fleetlab.records import TallyCall
from cranebank.fleetlab.run_options import TallyLoad
from cranebank.transport.http_client import Answer, ask_once

PATIENCE_S = 1.0  # silence after which the next controller is called
WHOLE_CALL_S = 4.0  # an application gives a call up after so long
PAUSE_S = 0.05  # between the calls of one add or reading
MOST_AMOUNT = 9  # amounts are above 0: the judge's sums rely on it
ID_BITS = 64
OK, TOO_MANY, SERVER_ERROR = 200, 429, 500


class Total(msgspec.Struct, frozen=True):
    """What a reading answers."""

    total: int


class Applications:
    """The applications of all zones."""

    def __init__(
        self, load: TallyLoad, fleet: Fleet, calls: list[TallyCall], random: Random, callers: dict[str, Caller | None]
    ) -> None:
        """``callers``: by zone, who makes the calls there; none: over a network that loses nothing."""
        self._load, self._fleet, self._calls, self._random, self._callers = load, fleet, calls, random, callers

    async def run_until(self, enough: asyncio.Event) -> None:
        """Calls from each zone until it is enough, and then until the last one has ended."""
        async with asyncio.TaskGroup() as group:
            for zone in self._callers:
                group.create_task(self._run_zone(zone, enough))

    async def read_all(self, seconds: float) -> None:
        """The readings at the end: each tally at each controller, until it is answered or this time is over."""
        async with asyncio.TaskGroup() as group:
            for tally in self._names():
                for process in self._fleet.controllers.values():
                    group.create_task(self._read_at_last(tally, process, seconds))

    def _names(self) -> Iterator[str]:
        return (f"t{number}" for number in range(self._load.tallies))

    async def _run_zone(self, zone: str, enough: asyncio.Event) -> None:
        """Poisson arrivals, each a task of its own whatever became of those before."""
        loop = asyncio.get_running_loop()
        at = loop.time()
        async with asyncio.TaskGroup() as group:
            while not enough.is_set():
                at += self._random.expovariate(self._load.rate)
                await asyncio.sleep(max(0.0, at - loop.time()))
                group.create_task(self._call(zone))

    async def _call(self, zone: str) -> None:
        """One add or reading, at one controller after another."""
        loop, random = asyncio.get_running_loop(), self._random
        tally = random.choice(list(self._names()))
        is_read = random.random() < self._load.share_read
        add_id = "" if is_read else f"{random.getrandbits(ID_BITS):016x}"
        amount = 0 if is_read else random.randint(1, MOST_AMOUNT)
        until = loop.time() + WHOLE_CALL_S
        while loop.time() < until:
            for process in self._fleet.listed_nearest(zone, random):
                status = await self._call_at(process, TallyCall(tally, add_id, amount, "", 0, 0.0), self._ask(zone))
                if status and status < SERVER_ERROR and status != TOO_MANY:
                    return
                if loop.time() >= until:
                    return
                await asyncio.sleep(PAUSE_S)

    async def _read_at_last(self, tally: str, process: Process, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            call = TallyCall(tally, "", 0, "", 0, 0.0, is_last=True)
            if await self._call_at(process, call, ask_once) == OK:
                return
            await asyncio.sleep(PAUSE_S)

    def _ask(self, zone: str) -> Ask:
        caller = self._callers[zone]
        return ask_once if caller is None else caller.ask

    async def _call_at(self, process: Process, call: TallyCall, ask: Ask) -> int:
        """Make a call at one machine and write it down; its status, 0 without a whole answer."""
        loop = asyncio.get_running_loop()
        call.machine, call.life, call.sent = process.name, process.life, loop.time()
        self._calls.append(call)
        answer = await _asked(ask, f"{process.ip}:{CONTROL}", call)
        if answer.whole:
            call.status = answer.status
            call.total = _total(answer) if not call.id else None
        call.ended = loop.time()
        return call.status


def _asked(ask: Ask, address: str, call: TallyCall) -> Awaitable[Answer]:
    if not call.id:
        return ask(address, "GET", f"/api/Tallies.Read/{call.tally}", b"", PATIENCE_S, None)
    body = msgspec.json.encode({"id": call.id, "actor": call.amount})
    headers = {"Content-Type": "application/json"}
    return ask(address, "POST", f"/api/Tallies.Amend/{call.tally}", body, PATIENCE_S, headers)


def _total(answer: Answer) -> int | None:
    """What a reading answered; nothing where it is no total."""
    if answer.status != OK:
        return None
    try:
        return msgspec.json.decode(answer.body, type=Total).total
    except msgspec.MsgspecError:
        return None
