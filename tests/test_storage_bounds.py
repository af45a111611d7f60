"""Bounds on disk usage and on the time of puts over 1,000 changes of 1 kB to 1 MB, on a simulated disk."""

from __future__ import annotations

import math
from random import Random

import msgspec
import pytest

from cranebank.storage.records import FRAME_LENGTH, encode_batch
from cranebank.storage.store import REWRITE_FACTOR, REWRITE_FROM_BYTES, Store

CHANGES = 1000
SMALLEST_BYTES, LARGEST_BYTES = 1_000, 1_000_000
SYNC_S = 0.005
DISK_BYTES_PER_S = 100e6
VOTE = bytes(200)


class CountingFiles:
    """`Files` that keep only sizes, and the time that a disk would have taken."""

    def __init__(self) -> None:
        self.sizes: dict[str, int] = {}
        self.peak_bytes = 0
        self.seconds = 0.0
        self.renames = 0

    def read(self, name: str) -> bytes | None:
        """Return None: the folder is empty at first, and no store is reopened."""
        return None

    def create(self, name: str, data: bytes) -> None:
        """Create, write and sync."""
        self.sizes[name] = 0
        self.append(name, data)
        self.sync(name)

    def append(self, name: str, data: bytes) -> None:
        """Count the bytes and the time of the write."""
        self.sizes[name] += len(data)
        self.seconds += len(data) / DISK_BYTES_PER_S
        self.peak_bytes = max(self.peak_bytes, sum(self.sizes.values()))

    def sync(self, name: str) -> None:
        """Count the time of a sync."""
        self.seconds += SYNC_S

    def truncate(self, name: str, length: int) -> None:
        """Not expected."""
        raise AssertionError

    def rename(self, old: str, new: str) -> None:
        """Replace another file."""
        self.sizes[new] = self.sizes.pop(old)
        self.renames += 1

    def remove(self, name: str) -> None:
        """Remove a file."""
        self.sizes.pop(name, None)

    def sync_folder(self) -> None:
        """Count the time of a sync."""
        self.seconds += SYNC_S

    def close(self) -> None:
        """Do nothing: there are no descriptors."""


class Measurements(msgspec.Struct):
    """Maxima and counts of a run."""

    file_bytes: int = 0
    disk_bytes: int = 0
    live_bytes: int = 0
    frames_bytes: int = 0
    longest_put_s: float = 0.0
    longest_vote_s: float = 0.0
    rewrites: int = 0


def run(seed: int, largest: int) -> Measurements:
    """Put 1,000 changes as a controller does: the value, a vote, and the copy that is distributed."""
    random, files, measured = Random(seed), CountingFiles(), Measurements()
    store = Store(files, "custody")
    for _ in range(CHANGES):
        size = int(math.exp(random.uniform(math.log(SMALLEST_BYTES), math.log(largest))))
        document = bytes(size)
        before = files.seconds
        store.put({"value": document})
        after_value = files.seconds
        store.put({"control": VOTE})
        vote_done = files.seconds
        store.put({"handed": document})
        measured.longest_put_s = max(measured.longest_put_s, after_value - before, files.seconds - vote_done)
        # A vote requested just as the large put begins waits for that put and then for its own.
        measured.longest_vote_s = max(measured.longest_vote_s, vote_done - before)
        measured.file_bytes = max(measured.file_bytes, files.sizes["custody"])
        measured.live_bytes = max(measured.live_bytes, sum(map(len, store.values.values())))
    measured.disk_bytes, measured.rewrites = files.peak_bytes, files.renames
    measured.frames_bytes = sum(FRAME_LENGTH + len(key) for key in store.values)
    return measured


@pytest.mark.parametrize(("seed", "largest"), [(1, LARGEST_BYTES), (2, LARGEST_BYTES), (3, 9 * LARGEST_BYTES)])
def test_bytes_and_times_are_bounded(seed: int, largest: int) -> None:
    """`9 * LARGEST_BYTES` is the largest configuration that the operator API accepts."""
    measured = run(seed, largest)
    print(measured)
    whole = measured.live_bytes + measured.frames_bytes
    bound = max(REWRITE_FROM_BYTES, REWRITE_FACTOR * measured.live_bytes, whole)
    assert measured.file_bytes <= bound
    assert measured.disk_bytes <= bound + whole
    assert measured.rewrites > 10
    # A rewrite costs at most one write of the live values and two syncs.
    assert measured.longest_put_s <= whole / DISK_BYTES_PER_S + 2 * SYNC_S
    assert measured.longest_vote_s <= 2 * (whole / DISK_BYTES_PER_S + 2 * SYNC_S)


def test_frames_are_counted_in_full() -> None:
    values = {"value": b"12", "handed": b"3"}
    assert len(encode_batch(1, values)) == sum(FRAME_LENGTH + len(key) + len(value) for key, value in values.items())
