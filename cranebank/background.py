"""Tasks that nobody awaits, and exceptions that nobody handles: both are counted as violations of one invariant.

An exception that ends a callback or a background task takes work away without a word: a periodic look that is not begun
again, a write whose result never comes. The count is told by the metrics, and a soak or a test that sees it fails.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from cranebank import invariants

UNHANDLED = "no exception ends a callback or a task"


def start(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Start a task of the running loop that nobody awaits. Its caller keeps a reference to it until it ends."""
    task = asyncio.get_running_loop().create_task(work)
    task.add_done_callback(_report)
    return task


class BackgroundTasks:
    """Background tasks of one owner: each is kept until it ends, and all can be cancelled."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task."""
        task = start(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel those that have not ended."""
        for task in self._tasks:
            task.cancel()


def report_unhandled(what: str, error: BaseException | None) -> None:
    """Count and log an exception that nobody handled. ``what`` says where it came up."""
    invariants.record_violation(UNHANDLED, f"{what}: {error!r}")
    logger.opt(exception=error).error("unhandled: {}", what)


def _report(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        report_unhandled(f"{task!r}", error)
