"""What a proxy counted and believes, as a log line every few seconds; off unless ``log.tally_s`` says so."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

from cranebank.core.counters import Counters
from cranebank.core.log import Log

LEAST_S = 0.1  # guards the processor against a line for each turn of the loop


class CounterLog:
    """One line a period: ``cpu_ms`` used in it, the beliefs as they are, ``+name`` for each counter that rose."""

    def __init__(self, counters: Counters, beliefs: Callable[[], Mapping[str, float]], log: Log) -> None:
        self._counters, self._beliefs, self._log = counters, beliefs, log
        self._before = counters.copy()
        self._cpu = time.process_time()
        self._timer: asyncio.TimerHandle | None = None

    def every(self, seconds: float) -> None:
        """Write a line every so many seconds from now on, or none if 0."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds > 0.0:
            self._timer = asyncio.get_running_loop().call_later(max(LEAST_S, seconds), self._tell, seconds)

    def _tell(self, seconds: float) -> None:
        self.every(seconds)
        now, cpu = self._counters.copy(), time.process_time()
        risen = {f"+{name}": count - self._before[name] for name, count in now.items() if count > self._before[name]}
        self._log.info("tally", cpu_ms=round(1000 * (cpu - self._cpu)), **self._beliefs(), **risen)
        self._before, self._cpu = now, cpu
