"""Logs: a ring in memory, written out when something goes wrong, and little else.

A line: node, what holds there (epoch, configuration), time, level, where, text; a request is named in the text.

Writing costs processor time, so the ordinary path writes nothing. An error, an exception that nobody caught or SIGUSR1
writes what is in the ring to standard error, each line once.
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

SIZE = 2000
FORMAT = "{time:HH:mm:ss.SSS} {level} {name}: {message}"
_ERROR = 40


class LogRing:
    """A sink for loguru."""

    def __init__(self, node: str, out: IO[str] | None = None, size: int = SIZE) -> None:
        self._node, self._out = node, out
        self._lines: deque[str] = deque(maxlen=size)
        self.state: Callable[[], str] = str  # what the process holds, asked for each line that is kept

    def write(self, message: Any) -> None:
        """Keep a line; one of level ERROR or above writes them all out."""
        state = self.state()
        self._lines.append(f"{state} {message}" if state else str(message))
        if message.record["level"].no >= _ERROR:
            self.dump()

    def dump(self) -> None:
        """Write out what is held."""
        out = self._out or sys.stderr
        lines, text = len(self._lines), "".join(f"{self._node} {line}" for line in self._lines)
        self._lines.clear()
        if lines:
            out.write(text)
            out.flush()

    def uncaught(self, kind: type[BaseException], error: BaseException, trace: TracebackType | None) -> None:
        """An exception that ends the program (``sys.excepthook``)."""
        logger.opt(exception=(kind, error, trace)).critical("unhandled: {!r}", error)

    def uncaught_in_loop(self, _loop: AbstractEventLoop, context: dict[str, Any]) -> None:
        """An exception in a callback or a forgotten task (``loop.set_exception_handler``)."""
        report_unhandled(str(context.get("message")), context.get("exception"))


def install(node: str) -> LogRing:
    """Make a ring the only sink of this process."""
    ring = LogRing(node)
    logger.remove()
    logger.add(ring.write, format=FORMAT, level="INFO", backtrace=False, diagnose=False)
    sys.excepthook = ring.uncaught
    return ring
