"""The newest value by key in an append-only file, and the asyncio end that keeps blocking I/O off the loop.

Bytes on disk. With L the largest sum of the newest values' sizes and H the frames and keys of one record for each key,
the file holds at most ``max(REWRITE_FROM_BYTES, REWRITE_FACTOR * L, L + H)`` bytes. While it is rewritten the new one
stands beside it: ``L + H`` more. Each of at most MOST_SET_ASIDE damaged files is no larger than the file itself.

Durability. An appended batch counts once the file is synced; a new or rewritten file once the folder is synced too.
Until then a loss of power may keep or lose each entry of the folder by itself, so at every moment both the old and the
new file are whole, and an open syncs the file and the folder before it shows anything.
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
MOST_SET_ASIDE = 3
_NEW = ".new"


class Files(Protocol):
    """The files of one folder; every method may raise OSError. `append` doesn't sync, `create` does."""

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
    """`Files` on the disk. The descriptor of a file that is appended to stays open."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._open: dict[str, int] = {}

    def read(self, name: str) -> bytes | None:
        try:
            return (self._path / name).read_bytes()
        except FileNotFoundError:
            return None

    def create(self, name: str, data: bytes) -> None:
        self._forget(name)
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
        self._forget(old)
        self._forget(new)
        os.rename(self._path / old, self._path / new)

    def remove(self, name: str) -> None:
        self._forget(name)
        (self._path / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        for name in list(self._open):
            self._forget(name)

    def _descriptor(self, name: str) -> int:
        if name not in self._open:
            self._open[name] = os.open(self._path / name, os.O_WRONLY | os.O_APPEND)
        return self._open[name]

    def _forget(self, name: str) -> None:
        descriptor = self._open.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(descriptor, rest) :]


class Store:
    """The newest value by key. Everything here blocks; call it from one thread at a time."""

    def __init__(self, files: Files, name: str) -> None:
        """Open or create the file; raise DamagedFile when synced records are broken, DiskRefused on an OSError."""
        self._files = files
        self._name = name
        try:
            contents = self._opened()
        except OSError as error:
            raise DiskRefused(error) from error
        self._values = contents.values
        self._length = contents.good_length
        self._batch = contents.batch
        self._doubtful = False

    def _opened(self) -> Contents:
        # A rewrite that was interrupted left its unfinished file; the one it was to replace is still whole.
        self._files.remove(self._name + _NEW)
        data = self._files.read(self._name)
        if data is None:
            self._files.create(self._name, b"")
            self._files.sync_folder()
            return Contents({}, 0, 0)
        contents = read_records(data)
        if contents.good_length < len(data):
            self._files.truncate(self._name, contents.good_length)
        else:
            # A process that was killed between its write and its sync left good records that a loss of power would
            # still take; what is told as stored from here on must last.
            self._files.sync(self._name)
        # The same holds for a rename whose folder was not synced.
        self._files.sync_folder()
        return contents

    @property
    def values(self) -> Mapping[str, bytes]:
        """The newest value of every key, as read at open and put since."""
        return self._values

    def put(self, values: Mapping[str, bytes]) -> None:
        """Store several values by one write and one sync; raise DiskRefused, upon which nothing counts as stored."""
        if not values:
            return
        try:
            if self._doubtful:
                # After a refused write or sync the file's end, and what the kernel still holds of it, is unknown.
                self._rewrite(self._values)
            data = encode_batch(self._batch + 1, values)
            if self._length + len(data) > max(REWRITE_FROM_BYTES, REWRITE_FACTOR * self._live_bytes()):
                self._rewrite({**self._values, **values})
            else:
                self._doubtful = True
                self._files.append(self._name, data)
                self._files.sync(self._name)
                self._doubtful = False
                self._length += len(data)
                self._batch += 1
                self._values = {**self._values, **values}
        except OSError as error:
            self._doubtful = True
            raise DiskRefused(error) from error

    def close(self) -> None:
        """Close the descriptors."""
        self._files.close()

    def _live_bytes(self) -> int:
        return sum(map(len, self._values.values()))

    def _rewrite(self, values: Mapping[str, bytes]) -> None:
        # Past the number that a refused write may have left behind; an empty file has no batch to count on from, and
        # its first one, torn, must not look like a later one behind a damaged one.
        batch = self._batch + 2 if values else 0
        data = encode_batch(batch, values)
        self._doubtful = True
        self._files.create(self._name + _NEW, data)
        self._files.rename(self._name + _NEW, self._name)
        self._files.sync_folder()
        self._doubtful = False
        self._length, self._batch, self._values = len(data), batch, dict(values)


def set_aside(files: Files, name: str) -> str:
    """Rename a damaged file so that it is kept and a new one can be opened; return its name. Raise DiskRefused.

    Beyond MOST_SET_ASIDE files the last one is replaced: the disk is bounded.
    """
    number = 1
    try:
        while files.read(aside := f"{name}.damaged-{number}") is not None and number < MOST_SET_ASIDE:
            number += 1
        files.rename(name, aside)
        files.sync_folder()
    except OSError as error:
        raise DiskRefused(error) from error
    return aside


def open_store(path: Path, name: str) -> tuple[Store, DamagedFile | None]:
    """Open the store in a folder; a damaged file is set aside, told and replaced by an empty one."""
    return open_or_set_aside(Folder(path), name)


def open_or_set_aside(files: Files, name: str) -> tuple[Store, DamagedFile | None]:
    """Open the store; a damaged file is set aside, told and replaced by an empty one."""
    try:
        return Store(files, name), None
    except DamagedFile as damage:
        set_aside(files, name)
        return Store(files, name), damage


class AsyncStore:
    """The asyncio end of a store: one worker thread does all blocking I/O, and puts that wait go in one write."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._worker = ThreadPoolExecutor(max_workers=1, thread_name_prefix="disk")
        self._waiting: list[tuple[Mapping[str, bytes], asyncio.Future[None]]] = []
        self._writer: asyncio.Task[None] | None = None

    async def put(self, values: Mapping[str, bytes]) -> None:
        """Return once the values are durable; raise DiskRefused when they aren't. Puts are stored in order."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((dict(values), done))
        if self._writer is None:
            self._writer = background.start(self._write())
        await done

    async def close(self) -> None:
        """Wait for the puts under way, end the worker thread and close the store."""
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
                continue  # the caller was cancelled
            if error is None:
                done.set_result(None)
            else:
                done.set_exception(error)
