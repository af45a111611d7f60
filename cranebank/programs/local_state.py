"""What a controller keeps on its own disk besides the consensus core's state: its registry and what it published.

Only the ends of backends are waited for: they are confirmed once a majority of the controllers has them on its disks.
Nothing agreed depends on the other writes, which shorten the next start. A disk in trouble is reported in the log; the
next write is another try.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Protocol

import msgspec
from loguru import logger

from cranebank.background import BackgroundTasks
from cranebank.control.consensus_replica import PUBLISHED_KEY
from cranebank.storage.records import StorageError
from cranebank.transport.messages import Backend

KNOWN = "known"  # key of the registry's records
ENDED = "ended"  # key of the records of backends that drain or are gone
KEEP_S, KEEP_FEW, KEEP_MANY_S = 0.4, 500, 5.0  # between writes of the registry: with few records, and with more
LAST_S = 0.5  # for the last write of a process that ends

_encode = msgspec.msgpack.Encoder().encode


class Storage(Protocol):
    """Where the consensus core's state is kept."""

    async def put(self, values: Mapping[str, bytes]) -> None:
        """Keep values; they last when this returns. Raises DiskRefused."""

    async def close(self) -> None:
        """No more is put."""


class NoDisk:
    """Where there is no disk."""

    async def put(self, values: Mapping[str, bytes]) -> None:
        """Nothing lasts."""

    async def close(self) -> None:
        """Nothing to do."""


class LocalState:
    """Writes of the published configuration and of the registry's records, as tasks of their own."""

    def __init__(self, storage: Storage, now: float) -> None:
        self._storage = storage
        self._writes = BackgroundTasks()
        self._registry_kept_at = now
        self.registry_changed = False

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a write that nobody waits for."""
        self._writes.start(work)

    def keep_published(self, revision: int, document: bytes) -> None:
        """Keep the configuration that was published last, for the next start."""
        self.start_task(self._try_to_keep(PUBLISHED_KEY, _encode((revision, document))))

    def keep_registry(self, now: float, records: Callable[[], tuple[Backend, ...]], count: int) -> None:
        """Keep the registry for the next start, now and then: after a loss of all power proxies need not wait a beat
        for each backend. What is older there than in life is corrected by the next heartbeat."""
        pause = KEEP_S if count < KEEP_FEW else KEEP_MANY_S
        if not self.registry_changed or now - self._registry_kept_at < pause:
            return
        self._registry_kept_at, self.registry_changed = now, False
        self.start_task(self._try_to_keep(KNOWN, _encode(records())))

    async def keep_endings(self, records: tuple[Backend, ...]) -> bool:
        """Keep these ends for the next start; whether they last."""
        return await self._keep(ENDED, _encode(records))

    async def close(self, records: tuple[Backend, ...]) -> None:
        """The last write; a disk that hangs holds up no end."""
        if records:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LAST_S):
                    await self._keep(KNOWN, _encode(records))
        await self._storage.close()

    async def _try_to_keep(self, key: str, value: bytes) -> None:
        await self._keep(key, value)

    async def _keep(self, key: str, value: bytes) -> bool:
        try:
            await self._storage.put({key: value})
        except StorageError as error:
            logger.warning("disk: {}", error)
            return False
        return True


def decode_registry_records(stored: Mapping[str, bytes]) -> tuple[Backend, ...]:
    """The registry's records of an earlier life, from what was read from the disk; the ends come last."""
    return tuple(
        record
        for key in (KNOWN, ENDED)
        if key in stored
        for record in msgspec.msgpack.decode(stored[key], type=tuple[Backend, ...])
    )
