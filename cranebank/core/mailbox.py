"""An actor's mailbox: messages are processed one at a time, in order, in the next turn of the loop."""

from __future__ import annotations

import asyncio
import traceback
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from cranebank.core.log import Log

M = TypeVar("M")


class Mailbox(Generic[M]):
    """Queues messages for ``handle``; an exception is logged and does not stop the next message."""

    def __init__(self, handle: Callable[[M], None], log: Log) -> None:
        self._handle, self._log = handle, log
        self._messages: deque[M] = deque()
        self._loop = asyncio.get_running_loop()

    def post(self, message: M) -> None:
        """Queue a message; never blocks and never calls the actor directly."""
        if not self._messages:
            self._loop.call_soon(self._drain)
        self._messages.append(message)

    def _drain(self) -> None:
        for _ in range(len(self._messages)):
            message = self._messages[0]
            try:
                self._handle(message)
            except Exception:  # an actor survives a message that it fails to process
                self._log.error("mailbox_fault", trace=traceback.format_exc()[-400:])
            self._messages.popleft()
        if self._messages:
            self._loop.call_soon(self._drain)
