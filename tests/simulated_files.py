"""Simulated files of one folder: enumerates every state in which a power loss may leave the disk.

A file keeps what its last sync covered; each write or change of length since then may be present, missing or torn.
Each folder entry that was created, renamed or removed since the folder's last sync is kept or lost independently, even
if the file itself was synced. This is the weakest guarantee of a disk under which an atomic rename still works.
"""

from __future__ import annotations

import errno
import itertools
from collections.abc import Iterator

GARBAGE = 0xA5


class PowerLost(Exception):
    """Raised at the step at which the power is lost."""


class Inode:
    """A file's synced content, and the changes since."""

    def __init__(self, synced: bytes = b"") -> None:
        self.synced = synced
        self.changes: list[Change] = []

    @property
    def content(self) -> bytes:
        """The current content, as seen by processes."""
        data = self.synced
        for change in self.changes:
            data = change.applied(data)
        return data

    def sync(self) -> None:
        """Make the content durable."""
        self.synced, self.changes = self.content, []

    def contents_after_loss(self) -> set[bytes]:
        """Return every content that a power loss may leave."""
        found = {self.synced}
        for change in self.changes:
            found |= {after for data in found for after in change.after_loss(data)}
        return found


class Change:
    """A write at an offset, or a truncation to `offset` if `data` is None."""

    def __init__(self, offset: int, data: bytes | None) -> None:
        self.offset, self.data = offset, data

    def applied(self, content: bytes) -> bytes:
        """Return the content with this change applied."""
        if self.data is None:
            return content[: self.offset]
        return content.ljust(self.offset, b"\0")[: self.offset] + self.data + content[self.offset + len(self.data) :]

    def after_loss(self, content: bytes) -> Iterator[bytes]:
        """Yield the content with this change missing, present or torn."""
        yield content
        yield self.applied(content)
        if self.data:
            size = len(self.data)
            for cut in sorted({1, size // 4, size // 2, 3 * size // 4, size - 1}):
                for torn in (
                    self.data[:cut],
                    bytes(cut) + self.data[cut:],
                    self.data[:cut] + bytes(size - cut),
                    bytes(byte ^ GARBAGE for byte in self.data[:cut]),
                ):
                    yield Change(self.offset, torn).applied(content)
            yield Change(self.offset, bytes(size)).applied(content)


class SimulatedFiles:
    """`Files` in memory. Each method has a step before its effect and one after it, at which the power may be lost or
    the call refused; `create` and `truncate` have one more before their sync."""

    def __init__(self, inodes: dict[str, Inode] | None = None) -> None:
        self.entries: dict[str, Inode] = dict(inodes or {})
        # States of each entry since the folder's last sync, oldest first.
        self.history: dict[str, list[Inode | None]] = {name: [inode] for name, inode in self.entries.items()}
        self.steps = 0
        self.lose_power_at = -1
        self.refuse_at: set[int] = set()
        self.log: list[str] = []

    def read(self, name: str) -> bytes | None:
        """Return the content; None if there is no such file."""
        inode = self.entries.get(name)
        return None if inode is None else inode.content

    def create(self, name: str, data: bytes) -> None:
        """Create or truncate a file, write and sync it."""
        self._step(f"before create {name}")
        inode = self.entries.get(name)
        if inode is None:
            inode = Inode()
            self._set(name, inode)
        else:
            inode.changes.append(Change(0, None))
        inode.changes.append(Change(0, data))
        self._step(f"before sync of created {name}")
        inode.sync()
        self._step(f"after create {name}")

    def append(self, name: str, data: bytes) -> None:
        """Append without a sync."""
        self._step(f"before append {name}")
        inode = self.entries[name]
        inode.changes.append(Change(len(inode.content), data))
        self._step(f"after append {name}")

    def sync(self, name: str) -> None:
        """Make the content durable."""
        self._step(f"before sync {name}")
        self.entries[name].sync()
        self._step(f"after sync {name}")

    def truncate(self, name: str, length: int) -> None:
        """Truncate and sync the file."""
        self._step(f"before truncate {name}")
        inode = self.entries[name]
        inode.changes.append(Change(length, None))
        self._step(f"before sync of truncated {name}")
        inode.sync()
        self._step(f"after truncate {name}")

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        self._step(f"before rename {old}")
        if old not in self.entries:
            raise FileNotFoundError(errno.ENOENT, old)
        self._set(new, self.entries[old])
        self._set(old, None)
        self._step(f"after rename {old}")

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        self._step(f"before remove {name}")
        if name in self.entries:
            self._set(name, None)
        self._step(f"after remove {name}")

    def sync_folder(self) -> None:
        """Make the folder's entries durable."""
        self._step("before sync of the folder")
        self.history = {name: [inode] for name, inode in self.entries.items()}
        self._step("after sync of the folder")

    def close(self) -> None:
        """Do nothing: there are no descriptors."""

    @property
    def bytes_held(self) -> int:
        """Total size of all files, as seen by processes."""
        return sum(len(inode.content) for inode in self.entries.values())

    def after_kill(self) -> SimulatedFiles:
        """Return the folder as the next process on the same machine finds it, with unsynced changes still pending."""
        left = SimulatedFiles()
        copies = {inode: _copied(inode) for kept in self.history.values() for inode in kept if inode is not None}
        copies |= {inode: _copied(inode) for inode in self.entries.values() if inode not in copies}
        left.entries = {name: copies[inode] for name, inode in self.entries.items()}
        left.history = {
            name: [None if inode is None else copies[inode] for inode in kept] for name, kept in self.history.items()
        }
        return left

    def after_power_loss(self) -> Iterator[SimulatedFiles]:
        """Yield every distinct folder that a power loss may leave."""
        names = sorted(self.history)
        seen: set[tuple[tuple[str, int, bytes], ...]] = set()
        for chosen in itertools.product(*(dict.fromkeys(self.history[name]) for name in names)):
            inodes = list(dict.fromkeys(inode for inode in chosen if inode is not None))
            for contents in itertools.product(*(sorted(inode.contents_after_loss()) for inode in inodes)):
                kept = {
                    name: inodes.index(inode) for name, inode in zip(names, chosen, strict=True) if inode is not None
                }
                key = tuple((name, index, contents[index]) for name, index in kept.items())
                if key not in seen:
                    seen.add(key)
                    left = [Inode(content) for content in contents]
                    yield SimulatedFiles({name: left[index] for name, index in kept.items()})

    def _set(self, name: str, inode: Inode | None) -> None:
        self.history.setdefault(name, [None]).append(inode)
        if inode is None:
            self.entries.pop(name, None)
        else:
            self.entries[name] = inode

    def _step(self, what: str) -> None:
        self.steps += 1
        self.log.append(what)
        if self.steps == self.lose_power_at:
            raise PowerLost(what)
        if self.steps in self.refuse_at:
            raise OSError(errno.EIO, f"refused {what}")


def _copied(inode: Inode) -> Inode:
    copy = Inode(inode.synced)
    copy.changes = list(inode.changes)
    return copy
