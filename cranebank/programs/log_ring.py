"""Logging: a ring buffer of recent lines, written out only when something goes wrong.

A line has the node, its state (epoch, configuration), time, level, module and text; the text names the request if there
is one.

Writing costs CPU time, so nothing is written in normal operation. An error, an uncaught exception or SIGUSR1 writes the
buffered lines to standard error, each line once.
"""

from __future__ import annotations

import sys
from asyncio import AbstractEventLoop
from collections import deque
from collections.abc import Callable
from types import TracebackType
from typing import IO, Any

from loguru import logger

from cranebank.background import report_unhandled

MAX_LINES = 2000
FORMAT = "{time:HH:mm:ss.SSS} {level} {name}: {message}"
ERROR_LEVEL = 40


class LogRing:
    """A loguru sink that buffers lines."""

    def __init__(self, node: str, out: IO[str] | None = None, size: int = MAX_LINES) -> None:
        self._node, self._out = node, out
        self._lines: deque[str] = deque(maxlen=size)
        self.state: Callable[[], str] = str  # returns the process's state, which each buffered line carries

    def write(self, message: Any) -> None:
        """Buffer a line; a line of level ERROR or above writes out the buffer."""
        state = self.state()
        self._lines.append(f"{state} {message}" if state else str(message))
        if message.record["level"].no >= ERROR_LEVEL:
            self.dump()

    def dump(self) -> None:
        """Write out the buffered lines and empty the buffer."""
        out = self._out or sys.stderr
        lines, text = len(self._lines), "".join(f"{self._node} {line}" for line in self._lines)
        self._lines.clear()
        if lines:
            out.write(text)
            out.flush()

    def uncaught(self, kind: type[BaseException], error: BaseException, trace: TracebackType | None) -> None:
        """Log an exception that ends the program (``sys.excepthook``)."""
        logger.opt(exception=(kind, error, trace)).critical("unhandled: {!r}", error)

    def uncaught_in_loop(self, _loop: AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log an exception in a callback or an unawaited task (``loop.set_exception_handler``)."""
        report_unhandled(str(context.get("message")), context.get("exception"))


def install(node: str) -> LogRing:
    """Create the buffer and make it the only log sink of this process."""
    ring = LogRing(node)
    logger.remove()
    logger.add(ring.write, format=FORMAT, level="INFO", backtrace=False, diagnose=False)
    sys.excepthook = ring.uncaught
    return ring
