"""A simulated disk: values persist once their write is done; it can be slow, stall and refuse writes."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Mapping
from random import Random

from cranebank.storage.records import DiskRefused

from .loop import ProcessLoop, Scheduler

WRITE_S = (0.001, 0.006)
SLOW_FACTOR = 60


class MachineDisk:
    """The values that a machine keeps over restarts, and the active faults of its disk."""

    def __init__(self, scheduler: Scheduler, random: Random) -> None:
        self.scheduler, self.random = scheduler, random
        self.values: dict[str, bytes] = {}
        self.stuck_until = self.slow_until = self.refuses_until = 0.0

    def wipe(self) -> None:
        """Lose all values."""
        self.values = {}


class ProcessDisk:
    """The disk as one process has it open; implements the ``Storage`` of a controller."""

    def __init__(self, disk: MachineDisk, loop: ProcessLoop) -> None:
        self._disk, self._loop = disk, loop
        self._free_at = 0.0
        self._unsynced: deque[tuple[Mapping[str, bytes], asyncio.Future[None]]] = deque()

    async def put(self, values: Mapping[str, bytes]) -> None:
        """Write values; return once they persist, or raise DiskRefused."""
        disk, scheduler = self._disk, self._disk.scheduler
        future: asyncio.Future[None] = self._loop.create_future()
        self._unsynced.append((dict(values), future))
        slow = SLOW_FACTOR if scheduler.now < disk.slow_until else 1
        begin = max(scheduler.now, self._free_at, disk.stuck_until)
        self._free_at = begin + disk.random.uniform(*WRITE_S) * slow
        scheduler.at(self._free_at, self._written)
        await future

    async def close(self) -> None:
        """Do nothing: there is nothing to close."""

    def lose_unsynced(self) -> None:
        """End with the process: of the unconfirmed writes a random number, the earliest first, reaches the disk."""
        for _ in range(self._disk.random.randrange(len(self._unsynced) + 1)):
            self._disk.values.update(self._unsynced.popleft()[0])
        self._unsynced.clear()

    def _written(self) -> None:
        if self._loop.is_dead or not self._unsynced:
            return
        values, future = self._unsynced.popleft()
        if self._disk.scheduler.now < self._disk.refuses_until:
            self._loop.call_soon(_settle, future, DiskRefused(OSError("refused")))
            return
        self._disk.values.update(values)
        self._loop.call_soon(_settle, future, None)


def _settle(future: asyncio.Future[None], error: Exception | None) -> None:
    if future.done():
        return
    if error is None:
        future.set_result(None)
    else:
        future.set_exception(error)
