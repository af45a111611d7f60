"""The one clock: whole microseconds, monotonic, read once a turn of the event loop.

The module counts float milliseconds. Its clock is this one, set at the start to Unix time: so a host's
``started_ms`` (Unix time on one clock for all machines) is on the module's clock as it stands, and the
same start always gives the same number. This file is the only place where the two meet.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from math import ceil


class Clock:
    """Time for everything in one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._unix_offset = time.time_ns() // 1000 - time.monotonic_ns() // 1000
        self._now: int | None = None

    def now(self) -> int:
        """Microseconds; the same all through one turn of the loop."""
        if self._now is None:
            self._now = time.monotonic_ns() // 1000
            self._loop.call_soon(self._forget)
        return self._now

    def _forget(self) -> None:
        self._now = None

    def module_ms(self, at: int) -> float:
        """A time of this clock on the module's."""
        return (at + self._unix_offset) / 1000.0

    def from_module_ms(self, at: float) -> int:
        """A time of the module's clock on this one, rounded up: a timer must not find itself early."""
        return ceil(at * 1000.0) + 1 - self._unix_offset

    def call_at(self, at: int, do: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        """Call at a time of this clock: never before it, so that a timer never fires early.

        The loop's clock is the same one, and is not read here: two reads with a pause between them would turn the order
        of two timers, such as a leg's time-out and the module's deadline right behind it.
        """
        return self._loop.call_at((at + 1) / 1e6, do, *args)
