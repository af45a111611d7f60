"""A periodic log line with a proxy's counters and state; off unless ``log.tally_s`` is set."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping

from cranebank.core.counters import Counters
from cranebank.core.log import Log

MIN_PERIOD_S = 0.1  # guards the processor against a line for each turn of the loop


class CounterLog:
    """One line per period: ``cpu_ms`` used in it, the state, and ``+name`` for each counter that rose."""

    def __init__(self, counters: Counters, beliefs: Callable[[], Mapping[str, float]], log: Log) -> None:
        self._counters, self._beliefs, self._log = counters, beliefs, log
        self._previous = counters.copy()
        self._last_cpu_s = time.process_time()
        self._timer: asyncio.TimerHandle | None = None

    def every(self, seconds: float) -> None:
        """Write a line every ``seconds`` from now on, or none if 0."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds > 0.0:
            self._timer = asyncio.get_running_loop().call_later(max(MIN_PERIOD_S, seconds), self._write, seconds)

    def _write(self, seconds: float) -> None:
        self.every(seconds)
        counts, cpu_s = self._counters.copy(), time.process_time()
        increases = {
            f"+{name}": count - self._previous[name] for name, count in counts.items() if count > self._previous[name]
        }
        self._log.info("tally", cpu_ms=round(1000 * (cpu_s - self._last_cpu_s)), **self._beliefs(), **increases)
        self._previous, self._last_cpu_s = counts, cpu_s
