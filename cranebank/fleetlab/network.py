"""The cut network paths of a laboratory run, passed to all its processes by a file.

A path is directed, from one IP to another. The laboratory writes the file through ``LabNetwork``; each process under
test reads it through ``NetworkView`` and applies the cuts to its connections and datagrams (``launcher``).
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import Counter
from collections.abc import Iterable
from pathlib import Path as FilePath
from typing import NamedTuple, Protocol

import msgspec

POLL_INTERVAL_S = 0.01  # after which a process has noticed a change
MAX_RESETS = 64


class Path(NamedTuple):
    """The path of bytes from one IP to another."""

    source: str
    target: str


class Reset(msgspec.Struct, frozen=True, array_like=True):
    """One reset of all connections between two IPs; ``number`` increases with each reset."""

    number: int
    one: str
    other: str


class NetworkState(msgspec.Struct, frozen=True):
    """The contents of the file."""

    cuts: tuple[Path, ...] = ()
    resets: tuple[Reset, ...] = ()


def both_ways(near: Iterable[str], far: Iterable[str]) -> tuple[Path, ...]:
    """Return the paths between two sets of IPs in both directions."""
    return (*one_way(near, far := tuple(far)), *one_way(far, near))


def one_way(sources: Iterable[str], targets: Iterable[str]) -> tuple[Path, ...]:
    """Return the paths from each source to each target."""
    return tuple(Path(*pair) for pair in itertools.product(sources, targets))


class LabNetwork:
    """The writer of the file. Cuts may overlap; a path is open again when the last of its cuts has healed."""

    def __init__(self, file: FilePath) -> None:
        self.file = file
        self._cuts: Counter[Path] = Counter()
        self._resets: list[Reset] = []
        self._numbers = itertools.count(1)
        self._changed = asyncio.Event()
        self._write()

    def cut(self, paths: Iterable[Path]) -> None:
        """Cut these paths."""
        self._cuts.update(paths)
        self._write()

    def heal(self, paths: Iterable[Path]) -> None:
        """Undo one ``cut`` of the same paths."""
        self._cuts.subtract(paths)
        self._cuts = +self._cuts
        self._write()

    def reset(self, one: str, other: str) -> None:
        """Reset all connections between two IPs."""
        self._resets.append(Reset(next(self._numbers), one, other))
        del self._resets[:-MAX_RESETS]
        self._write()

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether the path from one IP to the other is cut."""
        return Path(source, target) in self._cuts

    async def until_connectable(self, one: str, other: str) -> None:
        """Wait until a handshake can complete, which needs both directions."""
        while self.is_cut(one, other) or self.is_cut(other, one):
            await self._changed.wait()

    def _write(self) -> None:
        state = NetworkState(tuple(sorted(self._cuts)), tuple(self._resets))
        new_file = self.file.with_suffix(".new")
        new_file.write_bytes(msgspec.json.encode(state))
        new_file.replace(self.file)  # atomic: readers see either the old or the new file
        self._changed.set()
        self._changed = asyncio.Event()


class GuardedEnd(Protocol):
    """A connection of a process that applies the cuts."""

    @property
    def remote(self) -> str:
        """The peer's IP."""

    def network_changed(self) -> None:
        """Handle that paths were cut or healed, or that time has passed while some are cut."""

    def reset(self) -> None:
        """Reset the connection at once."""


class NetworkView:
    """The reader of the file in one process."""

    def __init__(self, file: FilePath, own_ip: str) -> None:
        self.own_ip = own_ip
        self._file = file
        self._read_version = (0, 0)
        self._cuts: frozenset[Path] = frozenset()
        self._connections: set[GuardedEnd] = set()
        self._changed = asyncio.Event()
        state = self._read()
        self._cuts = frozenset(state.cuts)
        self._last_reset = max((reset.number for reset in state.resets), default=0)

    def is_cut_to(self, remote: str) -> bool:
        """Return whether the path to a remote IP is cut."""
        return bool(self._cuts) and Path(self.own_ip, remote) in self._cuts

    def is_cut_from(self, remote: str) -> bool:
        """Return whether the path from a remote IP is cut."""
        return bool(self._cuts) and Path(remote, self.own_ip) in self._cuts

    def is_connectable(self, remote: str) -> bool:
        """Return whether a handshake can complete."""
        return not self.is_cut_to(remote) and not self.is_cut_from(remote)

    async def until_connectable(self, remote: str) -> None:
        """Wait until a handshake can complete."""
        while not self.is_connectable(remote):
            await self._changed.wait()

    def add(self, end: GuardedEnd) -> None:
        """Notify this connection of changes from now on."""
        self._connections.add(end)

    def discard(self, end: GuardedEnd) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(end)

    def poll_on(self, loop: asyncio.AbstractEventLoop) -> None:
        """Poll the file for as long as the loop runs."""
        loop.call_later(POLL_INTERVAL_S, self.poll_on, loop)
        self.poll()

    def poll(self) -> None:
        """Check the file once. While paths are cut, connections are notified in any case, to check their time-outs."""
        had_cuts = bool(self._cuts)
        state = self._read_if_changed()
        if state is not None:
            self._cuts = frozenset(state.cuts)
            self._changed.set()
            self._changed = asyncio.Event()
        if had_cuts or self._cuts:
            for end in tuple(self._connections):
                end.network_changed()
        if state is not None:
            self._reset_connections(state.resets)

    def _reset_connections(self, resets: Iterable[Reset]) -> None:
        for reset in resets:
            if reset.number <= self._last_reset:
                continue
            self._last_reset = reset.number
            if self.own_ip not in {reset.one, reset.other}:
                continue
            remote = reset.other if reset.one == self.own_ip else reset.one
            for end in [end for end in self._connections if end.remote == remote]:
                end.reset()

    def _read_if_changed(self) -> NetworkState | None:
        file_status = self._file.stat()
        if (file_status.st_ino, file_status.st_mtime_ns) == self._read_version:
            return None
        return self._read()

    def _read(self) -> NetworkState:
        with self._file.open("rb") as opened:
            file_status = FilePath(self._file).stat()
            self._read_version = (file_status.st_ino, file_status.st_mtime_ns)
            with contextlib.suppress(msgspec.DecodeError):
                return msgspec.json.decode(opened.read(), type=NetworkState)
        return NetworkState()
