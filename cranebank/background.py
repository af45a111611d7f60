"""Background tasks, and unhandled exceptions, which are counted as violations of an invariant.

An exception that ends a callback or a background task silently stops its work: a periodic check is not scheduled again,
or the result of a write never arrives. The metrics report the count, and a soak or test with a violation fails.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from cranebank import invariants

UNHANDLED = "no exception ends a callback or a task"


def start(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Start a task in the running loop that is not awaited. The caller must keep a reference to it until it ends."""
    task = asyncio.get_running_loop().create_task(work)
    task.add_done_callback(_report)
    return task


class BackgroundTasks:
    """The background tasks of one owner: keeps a reference to each until it ends, and can cancel all."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a background task."""
        task = start(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all tasks that have not ended."""
        for task in self._tasks:
            task.cancel()


def report_unhandled(what: str, error: BaseException | None) -> None:
    """Count and log an unhandled exception. ``what`` names the task or callback in which it was raised."""
    invariants.record_violation(UNHANDLED, f"{what}: {error!r}")
    logger.opt(exception=error).error("unhandled: {}", what)


def _report(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        report_unhandled(f"{task!r}", error)
