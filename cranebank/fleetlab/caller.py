"""Those who call the controllers over a network that the laboratory cuts, and that loses answers."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Protocol

from cranebank.transport.http_client import Answer, ask_once

SILENT_LOSS = 0.5  # of lost answers: the caller hears nothing; of the others it sees the connection end


class Reachability(Protocol):
    """A network whose paths may be cut."""

    async def until_connectable(self, one: str, other: str) -> None:
        """Wait until a handshake between two IPs can come to its end."""


class Caller:
    """An operator or a backend that makes calls: from which IP, over which network. ``share_lost`` is the share of
    the answers that are lost on their way."""

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
        """One request over a connection of its own. An answer that is lost is empty."""
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
        if self._random.random() < SILENT_LOSS:
            await asyncio.sleep(max(0.0, begun + seconds - loop.time()))
        return Answer()
