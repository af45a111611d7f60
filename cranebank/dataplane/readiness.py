"""Answers the platform's readiness checks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

MAX_HELD_BYTES = 16_384  # of a request that is not complete


class Readiness(asyncio.Protocol):
    """Answers every request by whether this proxy is ready: 200 or 503."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._transport: asyncio.Transport | None = None
        self._held = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The platform has connected."""
        transport = cast(asyncio.Transport, transport)  # uvloop's class does not inherit from it
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """A request without a body."""
        self._held += data
        while b"\r\n\r\n" in self._held and self._transport is not None:
            _, _, self._held = self._held.partition(b"\r\n\r\n")
            line = b"200 OK" if self._is_ready() else b"503 Service Unavailable"
            self._transport.write(b"HTTP/1.1 " + line + b"\r\ncontent-length: 0\r\n\r\n")
        if len(self._held) > MAX_HELD_BYTES and self._transport is not None:
            self._transport.abort()
