"""Callers of the controllers, over a network on which the laboratory cuts paths and loses answers."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Protocol

from cranebank.transport.http_client import Answer, ask_once

SILENT_LOSS_SHARE = 0.5  # of the lost answers time out; for the others the connection ends


class Reachability(Protocol):
    """A network on which paths may be cut."""

    async def until_connectable(self, one: str, other: str) -> None:
        """Wait until a handshake between two IPs can complete."""


class Caller:
    """An operator, backend or application that makes calls from an IP over a network. ``share_lost`` is the share of
    answers that are lost."""

    def __init__(self, ip: str, network: Reachability, random: Random) -> None:
        self.ip, self._network, self._random = ip, network, random
        self.share_lost = 0.0

    async def ask(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        seconds: float = 1.0,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one request over its own connection. A lost answer is returned empty."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        try:
            async with asyncio.timeout(seconds):
                await self._network.until_connectable(self.ip, address.rpartition(":")[0])
        except TimeoutError:
            return Answer()
        answer = await ask_once(address, method, path, body, seconds, headers, self.ip)
        if self._random.random() >= self.share_lost:
            return answer
        if self._random.random() < SILENT_LOSS_SHARE:
            await asyncio.sleep(max(0.0, begun + seconds - loop.time()))
        return Answer()
