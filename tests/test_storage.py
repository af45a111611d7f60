"""The append-only file under crashes, damage and refused calls, and the asyncio front under load. No test sleeps."""

from __future__ import annotations

import asyncio
import errno
import os
import threading
from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest
from simulated_files import PowerLost, SimulatedFiles

from cranebank.storage.records import (
    FRAME_LENGTH,
    DamagedFile,
    DiskRefused,
    StorageCode,
    TooManyRecords,
    encode_batch,
    read_records,
)
from cranebank.storage.store import REWRITE_FROM_BYTES, AsyncStore, Folder, Store, open_store, set_aside

NAME = "state"


def test_values_are_read_back_newest_first_by_key(tmp_path: Path) -> None:
    store = Store(Folder(tmp_path), NAME)
    store.put({"a": b"1", "b": b"2"})
    store.put({"a": b"3", "": b""})
    store.put({})
    store.close()
    again = Store(Folder(tmp_path), NAME)
    assert again.values == {"a": b"3", "b": b"2", "": b""}
    again.put({"b": b"4"})
    again.close()
    assert Store(Folder(tmp_path), NAME).values == {"a": b"3", "b": b"4", "": b""}


def test_a_long_file_is_rewritten(tmp_path: Path) -> None:
    store = Store(Folder(tmp_path), NAME)
    for number in range(20):
        store.put({"big": bytes([number]) * 300_000, "n": b"%d" % number})
    store.close()
    assert (tmp_path / NAME).stat().st_size <= REWRITE_FROM_BYTES + 300_100
    assert [path.name for path in tmp_path.iterdir()] == [NAME]
    assert Store(Folder(tmp_path), NAME).values["n"] == b"19"


def test_after_a_crash_at_any_operation_each_put_is_there_in_full_or_not_at_all(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("cranebank.storage.store.REWRITE_FROM_BYTES", 500)
    big = 450
    puts = [{"k": b"%d" % n, "l": b"%d" % n, "big": bytes([n]) * (big if n in (3, 5) else 9)} for n in range(9)]
    operations = 0
    while True:
        operations += 1
        files = SimulatedFiles()
        files.lose_power_at = operations
        done: dict[str, bytes] = {}
        tried: dict[str, bytes] = {}
        try:
            store = Store(files, NAME)
            for put in puts:
                tried = put
                store.put(put)
                done = put
        except PowerLost:
            pass
        else:
            break
        for left in files.after_power_loss():
            reopened = Store(left, NAME)
            assert reopened.values in (done, tried)
            reopened.put({"k": b"after"})
            # The value survives any outcome of a second power loss.
            for second in left.after_power_loss():
                assert Store(second, NAME).values["k"] == b"after"
    assert operations > 2 * len(puts) + 8  # files were rewritten on the way


@pytest.mark.parametrize("seed", range(4))
def test_what_a_refusing_disk_did_not_take_is_not_done_and_the_next_put_is(seed: int) -> None:
    random = Random(seed)
    for refused in range(8, 60):  # opening takes seven steps
        files = SimulatedFiles()
        store = Store(files, NAME)
        files.refuse_at = {refused, refused + random.randrange(3)}
        done: dict[str, bytes] = {}
        maybe: list[dict[str, bytes]] = [done]
        for number in range(12):
            put = {"k": b"%d" % number, "l": b"%d" % number}
            try:
                store.put(put)
            except DiskRefused as error:
                assert error.code is StorageCode.DISK_REFUSED
                assert store.values == done
                maybe.append(put)
            else:
                done, maybe = put, [put]
            for left in files.after_power_loss():
                assert Store(left, NAME).values in [done, *maybe]
        files.refuse_at = set()
        store.put({"k": b"last"})
        for left in files.after_power_loss():
            assert Store(left, NAME).values["k"] == b"last"


def test_a_damaged_batch_below_a_later_one_is_told_wherever_it_is_hit() -> None:
    batches = [encode_batch(number, {"a": b"x" * number, "b": b"y"}) for number in range(1, 5)]
    data = b"".join(batches)
    last = len(data) - len(batches[-1])
    for position in range(len(data)):
        harmed = data[:position] + bytes([data[position] ^ 0x41]) + data[position + 1 :]
        if position < last:
            with pytest.raises(DamagedFile) as raised:
                read_records(harmed)
            assert raised.value.code is StorageCode.DAMAGED_FILE
        else:
            # A damaged last write can't be distinguished from a torn one: it is truncated as a whole.
            contents = read_records(harmed)
            assert (contents.good_length, contents.batch) == (last, 3)
            assert contents.values == {"a": b"xxx", "b": b"y"}


def test_any_tail_of_the_last_write_is_cut() -> None:
    whole = encode_batch(1, {"a": b"1"})
    last = encode_batch(2, {"a": b"2", "b": b"22", "c": b"222"})
    for cut in range(len(last)):
        for tail in (last[:cut], bytes(cut) + last[cut:], last[:cut] + bytes(len(last) - cut), last[cut:]):
            contents = read_records(whole + tail)
            assert contents.values in ({"a": b"1"}, {"a": b"2", "b": b"22", "c": b"222"})
            assert (contents.values == {"a": b"1"}) == (tail != last)


def test_a_missing_part_of_a_rewritten_file_is_damage() -> None:
    data = encode_batch(7, {"a": b"1", "b": b"2"}) + encode_batch(8, {"a": b"3"})
    with pytest.raises(DamagedFile):
        read_records(data[FRAME_LENGTH:])
    assert read_records(data).values == {"a": b"3", "b": b"2"}


def test_a_damaged_file_is_set_aside_and_replaced_by_an_empty_one(tmp_path: Path) -> None:
    (tmp_path / NAME).write_bytes(b"stray" + encode_batch(7, {"a": b"1"}))
    store, damage = open_store(tmp_path, NAME)
    assert damage is not None and dict(store.values) == {}
    store.put({"a": b"2"})
    store.close()
    assert open_store(tmp_path, NAME)[1] is None
    assert sorted(path.name for path in tmp_path.iterdir()) == [NAME, f"{NAME}.damaged-1"]
    (tmp_path / NAME).write_bytes(b"other")
    assert set_aside(Folder(tmp_path), NAME) == f"{NAME}.damaged-2"


def test_too_many_records_are_refused_by_type() -> None:
    with pytest.raises(TooManyRecords) as raised:
        encode_batch(1, {str(number): b"" for number in range(0x10000)})
    assert raised.value.code is StorageCode.TOO_MANY_RECORDS


def test_a_folder_that_is_missing_is_told_by_type(tmp_path: Path) -> None:
    with pytest.raises(DiskRefused):
        Store(Folder(tmp_path / "missing"), NAME)
    with pytest.raises(DiskRefused):
        set_aside(Folder(tmp_path), NAME)


class SlowStore:
    """Blocks each put until released, and records the values of each."""

    def __init__(self) -> None:
        self.puts: list[dict[str, bytes]] = []
        self.threads: set[int] = set()
        self.go = threading.Semaphore(0)
        self.refuse = False
        self.closed = False

    def put(self, values: dict[str, bytes]) -> None:
        self.threads.add(threading.get_ident())
        self.go.acquire()
        self.puts.append(values)
        if self.refuse:
            raise DiskRefused(OSError(errno.EIO, "refused"))

    def close(self) -> None:
        self.closed = True


async def _waiting_puts_go_together() -> None:
    store = SlowStore()
    disk = AsyncStore(store)  # type: ignore[arg-type]
    first = asyncio.create_task(disk.put({"a": b"1"}))
    await asyncio.sleep(0)
    others = [asyncio.create_task(disk.put({"a": b"%d" % n, f"k{n}": b""})) for n in range(2, 5)]
    await asyncio.sleep(0)
    others[1].cancel()  # the caller has gone, but its values are stored
    store.go.release(2)
    await asyncio.gather(first, others[0], others[2])
    assert store.puts == [{"a": b"1"}, {"a": b"4", "k2": b"", "k3": b"", "k4": b""}]
    assert len(store.threads) == 1 and threading.get_ident() not in store.threads
    store.refuse = True
    store.go.release(1)
    with pytest.raises(DiskRefused):
        await disk.put({"a": b"5"})
    store.refuse = False
    store.go.release(1)
    await disk.put({"a": b"6"})
    last = asyncio.create_task(disk.put({"a": b"7"}))
    await asyncio.sleep(0)
    store.go.release(1)
    await disk.close()
    await last
    assert store.closed and store.puts[-1] == {"a": b"7"}


def test_puts_that_wait_go_in_one_write_and_never_block_the_loop() -> None:
    asyncio.run(_waiting_puts_go_together())


def test_real_files_and_their_folder_are_synced(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The crash tests use simulated files, so they can't detect a missing sync of real ones."""
    synced: list[str] = []

    def recording(real: Callable[[int], None]) -> Callable[[int], None]:
        def sync(descriptor: int) -> None:
            synced.append(Path(f"/proc/self/fd/{descriptor}").readlink().name)
            real(descriptor)

        return sync

    for name in ("fsync", "fdatasync"):
        monkeypatch.setattr(os, name, recording(getattr(os, name)))
    store, _ = open_store(tmp_path, "values")
    store.put({"a": b"1"})
    assert tmp_path.name in synced and "values" in synced
    synced.clear()
    store.put({"a": b"2"})
    assert synced == ["values"]
    store.close()


def test_a_rewritten_file_is_synced_before_its_rename_and_the_folder_after_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("cranebank.storage.store.REWRITE_FROM_BYTES", 1)
    store, _ = open_store(tmp_path, "values")
    done: list[str] = []
    sync, rename = os.fsync, os.rename

    def record_sync(descriptor: int) -> None:
        done.append("sync " + Path(f"/proc/self/fd/{descriptor}").readlink().name)
        sync(descriptor)

    def record_rename(old: Path, new: Path) -> None:
        done.append("rename " + old.name)
        rename(old, new)

    monkeypatch.setattr(os, "fsync", record_sync)
    monkeypatch.setattr(os, "rename", record_rename)
    store.put({"a": b"1"})
    assert done == ["sync values.new", "rename values.new", f"sync {tmp_path.name}"]
    store.close()


async def _through_the_disk(path: Path) -> None:
    store, _ = open_store(path, NAME)
    disk = AsyncStore(store)
    await asyncio.gather(*(disk.put({f"k{n}": b"%d" % n}) for n in range(50)))
    await disk.close()


def test_the_asyncio_end_stores_on_a_real_disk(tmp_path: Path) -> None:
    asyncio.run(_through_the_disk(tmp_path))
    assert len(open_store(tmp_path, NAME)[0].values) == 50
