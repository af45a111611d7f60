"""Log lines: plain print to standard error, rate-limited so that no peer can fill a disk."""

from __future__ import annotations

import logging
import sys
import time


class Log:
    """At most ``burst`` lines of a kind in ``period_us``; what was left out is counted in the next line."""

    def __init__(self, name: str, burst: int = 5, period_us: int = 10_000_000) -> None:
        self._name, self._burst, self._period = name, burst, period_us
        self._kinds: dict[str, tuple[int, int]] = {}  # kind: start of its period, lines in it

    def line(self, kind: str, text: str) -> None:
        """Print a line of ``kind``, unless too many of its kind were printed of late."""
        now = time.monotonic_ns() // 1000
        since, count = self._kinds.get(kind, (now, 0))
        left_out = 0
        if now - since > self._period:
            left_out, since, count = max(0, count - self._burst), now, 0
        self._kinds[kind] = (since, count + 1)
        if count < self._burst:
            more = f" ({left_out} like it left out)" if left_out else ""
            print(f"{self._name}: {kind}: {text[:500]}{more}", file=sys.stderr, flush=True)


class Handler(logging.Handler):
    """Sends what libraries log the same way: a peer's garbage must not flood the log through them either."""

    def __init__(self, log: Log) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Print a library's line, with what was raised but without its traceback."""
        raised = record.exc_info[1] if record.exc_info else None
        self._log.line(record.name, record.getMessage() + (f": {raised!r}" if raised else ""))
