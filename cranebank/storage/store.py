"""Key-value store in an append-only file, and an asyncio front that keeps blocking I/O off the event loop.

Disk usage. Let L be the largest total size of the newest values, and H the size of the frames and keys of one record
per key. The file has at most ``max(REWRITE_FROM_BYTES, REWRITE_FACTOR * L, L + H)`` bytes. During a rewrite the new
file needs ``L + H`` more. Each of at most MAX_SET_ASIDE_FILES damaged files is no larger than the file itself.

Durability. An appended batch is durable once the file is synced; a new or rewritten file once the folder is synced as
well. Until then a power loss may keep or lose each folder entry independently. The old and the new file are therefore
both valid at every moment, and opening a store syncs the file and the folder before it returns any value.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Protocol

from cranebank import background
from cranebank.storage.records import Contents, DamagedFile, DiskRefused, encode_batch, read_records

REWRITE_FROM_BYTES = 2 << 20
REWRITE_FACTOR = 4
MAX_SET_ASIDE_FILES = 3
_REWRITE_SUFFIX = ".new"


class Files(Protocol):
    """File operations in one folder. Every method may raise OSError. `append` doesn't sync, `create` does."""

    def read(self, name: str) -> bytes | None: ...
    def create(self, name: str, data: bytes) -> None: ...
    def append(self, name: str, data: bytes) -> None: ...
    def sync(self, name: str) -> None: ...
    def truncate(self, name: str, length: int) -> None: ...
    def rename(self, old: str, new: str) -> None: ...
    def remove(self, name: str) -> None: ...
    def sync_folder(self) -> None: ...
    def close(self) -> None: ...


class Folder:
    """`Files` in a directory on disk. The descriptors of files that are appended to stay open."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._open: dict[str, int] = {}

    def read(self, name: str) -> bytes | None:
        try:
            return (self._path / name).read_bytes()
        except FileNotFoundError:
            return None

    def create(self, name: str, data: bytes) -> None:
        self._close_descriptor(name)
        descriptor = os.open(self._path / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            _write_all(descriptor, data)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def append(self, name: str, data: bytes) -> None:
        _write_all(self._descriptor(name), data)

    def sync(self, name: str) -> None:
        os.fdatasync(self._descriptor(name))

    def truncate(self, name: str, length: int) -> None:
        descriptor = self._descriptor(name)
        os.ftruncate(descriptor, length)
        os.fsync(descriptor)

    def rename(self, old: str, new: str) -> None:
        self._close_descriptor(old)
        self._close_descriptor(new)
        os.rename(self._path / old, self._path / new)

    def remove(self, name: str) -> None:
        self._close_descriptor(name)
        (self._path / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        for name in list(self._open):
            self._close_descriptor(name)

    def _descriptor(self, name: str) -> int:
        if name not in self._open:
            self._open[name] = os.open(self._path / name, os.O_WRONLY | os.O_APPEND)
        return self._open[name]

    def _close_descriptor(self, name: str) -> None:
        descriptor = self._open.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]


class Store:
    """Newest value by key. All methods block; call them from one thread at a time."""

    def __init__(self, files: Files, name: str) -> None:
        """Open or create the file. Raises DamagedFile if synced records are corrupt, DiskRefused on an OSError."""
        self._files = files
        self._name = name
        try:
            contents = self._load()
        except OSError as error:
            raise DiskRefused(error) from error
        self._values = contents.values
        self._length = contents.good_length
        self._batch = contents.batch
        self._needs_rewrite = False

    def _load(self) -> Contents:
        # An interrupted rewrite may have left an unfinished file; the file it was to replace is still valid.
        self._files.remove(self._name + _REWRITE_SUFFIX)
        data = self._files.read(self._name)
        if data is None:
            self._files.create(self._name, b"")
            self._files.sync_folder()
            return Contents({}, 0, 0)
        contents = read_records(data)
        if contents.good_length < len(data):
            self._files.truncate(self._name, contents.good_length)
        else:
            # A process killed between its write and its sync leaves valid records that a power loss could still
            # take. Values returned from here on must be durable.
            self._files.sync(self._name)
        # The same holds for a rename whose folder was not synced.
        self._files.sync_folder()
        return contents

    @property
    def values(self) -> Mapping[str, bytes]:
        """The newest value of every key."""
        return self._values

    def put(self, values: Mapping[str, bytes]) -> None:
        """Store several values with one write and one sync. Raises DiskRefused, after which none counts as stored."""
        if not values:
            return
        try:
            if self._needs_rewrite:
                # After a refused write or sync, the end of the file and the kernel's buffers are in an unknown state.
                self._rewrite(self._values)
            data = encode_batch(self._batch + 1, values)
            if self._length + len(data) > max(REWRITE_FROM_BYTES, REWRITE_FACTOR * self._live_bytes()):
                self._rewrite({**self._values, **values})
            else:
                self._needs_rewrite = True
                self._files.append(self._name, data)
                self._files.sync(self._name)
                self._needs_rewrite = False
                self._length += len(data)
                self._batch += 1
                self._values = {**self._values, **values}
        except OSError as error:
            self._needs_rewrite = True
            raise DiskRefused(error) from error

    def close(self) -> None:
        """Close all file descriptors."""
        self._files.close()

    def _live_bytes(self) -> int:
        return sum(map(len, self._values.values()))

    def _rewrite(self, values: Mapping[str, bytes]) -> None:
        # Skip the number that a refused write may have used. An empty file has no batch to continue from, and a torn
        # first batch must not look like a later one that follows a damaged one.
        batch = self._batch + 2 if values else 0
        data = encode_batch(batch, values)
        self._needs_rewrite = True
        self._files.create(self._name + _REWRITE_SUFFIX, data)
        self._files.rename(self._name + _REWRITE_SUFFIX, self._name)
        self._files.sync_folder()
        self._needs_rewrite = False
        self._length, self._batch, self._values = len(data), batch, dict(values)


def set_aside(files: Files, name: str) -> str:
    """Rename a damaged file to keep it and make room for a new one; return its new name. Raises DiskRefused.

    Beyond MAX_SET_ASIDE_FILES the last one is replaced, to bound the disk usage.
    """
    number = 1
    try:
        while files.read(aside := f"{name}.damaged-{number}") is not None and number < MAX_SET_ASIDE_FILES:
            number += 1
        files.rename(name, aside)
        files.sync_folder()
    except OSError as error:
        raise DiskRefused(error) from error
    return aside


def open_store(path: Path, name: str) -> tuple[Store, DamagedFile | None]:
    """Open the store in a folder; a damaged file is set aside, returned as error and replaced by an empty one."""
    return open_or_set_aside(Folder(path), name)


def open_or_set_aside(files: Files, name: str) -> tuple[Store, DamagedFile | None]:
    """Open the store; a damaged file is set aside, returned as error and replaced by an empty one."""
    try:
        return Store(files, name), None
    except DamagedFile as damage:
        set_aside(files, name)
        return Store(files, name), damage


class AsyncStore:
    """Asyncio front of a store: a worker thread does all blocking I/O, and queued puts are combined into one write."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._worker = ThreadPoolExecutor(max_workers=1, thread_name_prefix="disk")
        self._waiting: list[tuple[Mapping[str, bytes], asyncio.Future[None]]] = []
        self._writer: asyncio.Task[None] | None = None

    async def put(self, values: Mapping[str, bytes]) -> None:
        """Return once the values are durable. Raises DiskRefused if they aren't. Puts are stored in order."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((dict(values), done))
        if self._writer is None:
            self._writer = background.start(self._write())
        await done

    async def close(self) -> None:
        """Wait for pending puts, stop the worker thread and close the store."""
        while self._writer is not None:
            await asyncio.wait([self._writer])
        await asyncio.get_running_loop().run_in_executor(self._worker, self._store.close)
        self._worker.shutdown(wait=False)

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while self._waiting:
                batch, self._waiting = self._waiting, []
                merged: dict[str, bytes] = {}
                for values, _ in batch:
                    merged.update(values)
                try:
                    await loop.run_in_executor(self._worker, self._store.put, merged)
                except Exception as error:
                    self._settle(batch, error)
                else:
                    self._settle(batch, None)
        finally:
            self._writer = None

    @staticmethod
    def _settle(batch: list[tuple[Mapping[str, bytes], asyncio.Future[None]]], error: Exception | None) -> None:
        for _, done in batch:
            if done.done():
                continue  # its caller was cancelled
            if error is None:
                done.set_result(None)
            else:
                done.set_exception(error)
