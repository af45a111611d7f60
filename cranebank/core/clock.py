"""The clock of a process: monotonic, in whole microseconds, read once per turn of the event loop.

The decision module uses float milliseconds on the same clock, offset to Unix time at the start. So a host's
``started_ms`` (Unix time on one clock for all machines) needs no conversion, and the same start time always
gives the same number. Only this file converts between the two.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from math import ceil


class Clock:
    """The time of one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._unix_offset = time.time_ns() // 1000 - time.monotonic_ns() // 1000
        self._now: int | None = None

    def now(self) -> int:
        """Return microseconds; constant during one turn of the loop."""
        if self._now is None:
            self._now = time.monotonic_ns() // 1000
            self._loop.call_soon(self._forget)
        return self._now

    def _forget(self) -> None:
        self._now = None

    def module_ms(self, at: int) -> float:
        """Convert a time of this clock to the module's clock."""
        return (at + self._unix_offset) / 1000.0

    def from_module_ms(self, at: float) -> int:
        """Convert a time of the module's clock to this one, rounded up, so that no timer fires early."""
        return ceil(at * 1000.0) + 1 - self._unix_offset

    def call_at(self, at: int, do: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        """Call ``do`` at a time of this clock, never before.

        The loop uses the same clock, which is not read here: two reads with a pause in between could reverse the order
        of two timers, such as a leg's time-out and the module's deadline right after it.
        """
        return self._loop.call_at((at + 1) / 1e6, do, *args)
