"""An actor's mailbox: messages are taken one at a time, in order, on the loop's next turn."""

from __future__ import annotations

import asyncio
import traceback
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from cranebank.core.log import Log

M = TypeVar("M")


class Mailbox(Generic[M]):
    """Queues messages for ``take``; one that raises is logged and does not stop the next."""

    def __init__(self, take: Callable[[M], None], log: Log) -> None:
        self._take, self._log = take, log
        self._messages: deque[M] = deque()
        self._loop = asyncio.get_running_loop()

    def post(self, message: M) -> None:
        """Leave a message; never blocks and never runs the actor itself."""
        if not self._messages:
            self._loop.call_soon(self._drain)
        self._messages.append(message)

    def _drain(self) -> None:
        for _ in range(len(self._messages)):
            message = self._messages[0]
            try:
                self._take(message)
            except Exception:  # an actor outlives a message that it could not handle
                self._log.error("mailbox_fault", trace=traceback.format_exc()[-400:])
            self._messages.popleft()
        if self._messages:
            self._loop.call_soon(self._drain)
