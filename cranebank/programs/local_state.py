"""What a controller keeps on disk besides its consensus state: the registry and the published configuration.

Only writes of backends' drains and leaves are awaited: these are confirmed once they are on the disks of a majority of
the controllers. The other writes only shorten the next start; nothing agreed on depends on them. A failed write is
logged, and the next write retries.
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
from cranebank.transport.revision import Revision, msgpack_encoder

REGISTRY_KEY = "known"  # key of the registry's records
ENDINGS_KEY = "ended"  # key of the records of backends that are draining or gone
# Intervals of registry writes: below FEW_RECORDS records, and from there on.
REGISTRY_WRITE_INTERVAL_S, FEW_RECORDS, LARGE_REGISTRY_WRITE_INTERVAL_S = 0.4, 500, 5.0
FINAL_WRITE_TIMEOUT_S = 0.5  # for the last write at shutdown

_encode = msgpack_encoder().encode


class Storage(Protocol):
    """Durable storage of a controller's values."""

    async def put(self, values: Mapping[str, bytes]) -> None:
        """Store values durably before returning. Raises DiskRefused."""

    async def close(self) -> None:
        """Close the storage; ``put`` is not called afterwards."""


class NoDisk:
    """Storage of a controller without a disk."""

    async def put(self, values: Mapping[str, bytes]) -> None:
        """Discard the values."""

    async def close(self) -> None:
        """Do nothing."""


class LocalState:
    """Writes of the published configuration and the registry's records, each as a background task."""

    def __init__(self, storage: Storage, now: float) -> None:
        self._storage = storage
        self._writes = BackgroundTasks()
        self._registry_written_at = now
        self.registry_changed = False

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a write in the background."""
        self._writes.start(work)

    def write_published(self, revision: Revision, document: bytes) -> None:
        """Store the last published configuration for the next start."""
        self.start_task(self._put_in_background(PUBLISHED_KEY, _encode((revision, document))))

    def write_registry(self, now: float, records: Callable[[], tuple[Backend, ...]], count: int) -> None:
        """Store the registry from time to time if it has changed.

        After a power loss of the whole fleet proxies then get the backends without waiting a heartbeat interval for
        each. Stale records are corrected by the next heartbeats.
        """
        pause = REGISTRY_WRITE_INTERVAL_S if count < FEW_RECORDS else LARGE_REGISTRY_WRITE_INTERVAL_S
        if not self.registry_changed or now - self._registry_written_at < pause:
            return
        self._registry_written_at, self.registry_changed = now, False
        self.start_task(self._put_in_background(REGISTRY_KEY, _encode(records())))

    async def write_endings(self, records: tuple[Backend, ...]) -> bool:
        """Store these drains and leaves for the next start; return whether they are durable."""
        return await self._put(ENDINGS_KEY, _encode(records))

    async def close(self, records: tuple[Backend, ...]) -> None:
        """Write the registry a last time; a disk that hangs does not delay shutdown beyond FINAL_WRITE_TIMEOUT_S."""
        if records:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FINAL_WRITE_TIMEOUT_S):
                    await self._put(REGISTRY_KEY, _encode(records))
        await self._storage.close()

    async def _put_in_background(self, key: str, value: bytes) -> None:
        await self._put(key, value)

    async def _put(self, key: str, value: bytes) -> bool:
        try:
            await self._storage.put({key: value})
        except StorageError as error:
            logger.warning("write of the registry or published configuration to disk failed: {}", error)
            return False
        return True


def decode_registry_records(stored: Mapping[str, bytes]) -> tuple[Backend, ...]:
    """Return the registry's records that an earlier process has stored; drains and leaves come last."""
    return tuple(
        record
        for key in (REGISTRY_KEY, ENDINGS_KEY)
        if key in stored
        for record in msgspec.msgpack.decode(stored[key], type=tuple[Backend, ...])
    )
