"""What the processes of a run have in common: a part to play, a ready line, the start, the end.

A process is given its part in a file, prints one JSON line once it listens, and reads two from standard input:
the start, with the addresses of the others, and then the end. The end of the input is the end as well, so that
nothing outlives the process that started it.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

import msgspec

from cranebank.lab.plan import Plan
from cranebank.lab.scenario import Scenario

T = TypeVar("T")
Address = tuple[str, int]


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """What one process plays."""

    scenario: Scenario
    plan: Plan
    records: str  # the file to write records to
    tier: int = 0  # hosts: of this tier
    share: int = 0  # hosts: each ``of``-th, from this one on
    of: int = 1
    addresses: dict[str, Address] = {}  # where to listen, by name; port 0: any
    beside: str = ""  # the folder of the scenario's file


class Go(msgspec.Struct, frozen=True, kw_only=True):
    """The start: when (microseconds, monotonic clock) and where everybody is."""

    at: int
    proxies: dict[str, Address]


class Lines:
    """Standard input by lines; None at its end."""

    def __init__(self) -> None:
        self._reader = asyncio.StreamReader(limit=1 << 24)

    async def open(self) -> None:
        """Begin to read."""
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(self._reader), sys.stdin)

    async def next(self) -> bytes | None:
        """The next line."""
        return await self._reader.readline() or None


def say(value: object) -> None:
    """One JSON line on standard output."""
    print(msgspec.json.encode(value).decode(), flush=True)


def play(run: Callable[[Part, Lines], Awaitable[None]], arguments: list[str]) -> int:
    """Play the part that the file named in the arguments holds."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C goes to the whole group: the runner ends the run
    part = msgspec.json.decode(Path(arguments[0]).read_bytes(), type=Part)

    async def whole() -> None:
        lines = Lines()
        await lines.open()
        await run(part, lines)

    gc.freeze()
    with contextlib.suppress(BrokenPipeError):
        asyncio.run(whole())
    sys.stdout.flush()
    os._exit(0)  # nothing is left to write; sockets need no farewell
