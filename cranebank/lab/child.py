"""Protocol between the runner and the processes of a run: part, ready line, start and end.

A process reads its part from a file, prints one JSON line once it listens, and reads two lines from standard input:
the start, with the addresses of the proxies, and then the end. It also ends when its input is closed, so that it
doesn't outlive the runner.
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
    """The part of a run that one process carries out."""

    scenario: Scenario
    plan: Plan
    records: str  # path of the file to write records to
    tier: int = 0  # hosts: the tier
    share: int = 0  # hosts: every ``of``-th host, starting with this one
    of: int = 1
    addresses: dict[str, Address] = {}  # listen addresses by name; port 0: any free port
    beside: str = ""  # folder of the scenario file


class Go(msgspec.Struct, frozen=True, kw_only=True):
    """The start of a run: its time (microseconds, monotonic clock) and the addresses of the proxies."""

    at: int
    proxies: dict[str, Address]


class Lines:
    """Reads standard input by lines."""

    def __init__(self) -> None:
        self._reader = asyncio.StreamReader(limit=1 << 24)

    async def open(self) -> None:
        """Start reading."""
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(self._reader), sys.stdin)

    async def next(self) -> bytes | None:
        """Return the next line, or None at the end of the input."""
        return await self._reader.readline() or None


def say(value: object) -> None:
    """Print one JSON line on standard output."""
    print(msgspec.json.encode(value).decode(), flush=True)


def play(run: Callable[[Part, Lines], Awaitable[None]], arguments: list[str]) -> int:
    """Run the part in the file that the arguments name."""
    signal.signal(
        signal.SIGINT, signal.SIG_IGN
    )  # Ctrl-C reaches the whole process group, but only the runner handles it
    part = msgspec.json.decode(Path(arguments[0]).read_bytes(), type=Part)

    async def whole() -> None:
        lines = Lines()
        await lines.open()
        await run(part, lines)

    gc.freeze()
    with contextlib.suppress(BrokenPipeError):
        asyncio.run(whole())
    sys.stdout.flush()
    os._exit(0)  # all records are written, and open sockets need no orderly shutdown
