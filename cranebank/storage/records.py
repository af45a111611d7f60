"""Records of the append-only file: framed, checksummed and numbered by batch. No I/O.

A batch is what one write appends. It is valid only if all of its records are intact, so a write is read back in full
or not at all. Each batch is synced before the next one is written. A broken batch that precedes a later one was
therefore damaged after its sync, which distinguishes damage from a write torn by a power loss.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import Any

import google_crc32c
import msgspec
from construct import Bytes, Const, ConstructError, Int8ul, Int16ul, Int32ul, Int64ul, Struct

MAGIC = b"CRB\x01"

_FRAME = Struct(
    "magic" / Const(MAGIC),
    "kind" / Int8ul,
    "batch" / Int64ul,
    "index" / Int16ul,
    "count" / Int16ul,
    "key_length" / Int16ul,
    "length" / Int32ul,
    "crc" / Bytes(4),
)
FRAME_LENGTH: int = _FRAME.sizeof()
_CRC_LENGTH = 4
_MAX_RECORDS = 0xFFFF


class StorageCode(enum.StrEnum):
    """Codes of storage errors, for callers and logs."""

    DAMAGED_FILE = "damaged_file"
    DISK_REFUSED = "disk_refused"
    TOO_MANY_RECORDS = "too_many_records"


class StorageError(Exception):
    """Base class of storage errors; `code` identifies the kind."""

    code: StorageCode

    def __init__(self, code: StorageCode, **details: object) -> None:
        super().__init__(code.value, details)
        self.code = code
        self.details = details


class DamagedFile(StorageError):
    """Synced records are corrupt: the file can't be trusted, and the node is treated as if its disk were empty."""

    def __init__(self, offset: int) -> None:
        super().__init__(StorageCode.DAMAGED_FILE, offset=offset)


class DiskRefused(StorageError):
    """The operating system refused a read, write, sync or rename; the values of the put are not stored."""

    def __init__(self, error: OSError) -> None:
        super().__init__(StorageCode.DISK_REFUSED, errno=error.errno, reason=str(error))


class TooManyRecords(StorageError):
    """A batch has more than 65,535 records."""

    def __init__(self, count: int) -> None:
        super().__init__(StorageCode.TOO_MANY_RECORDS, count=count)


class Kind(enum.IntEnum):
    """Record kinds."""

    VALUE = 1


class _Record(msgspec.Struct, frozen=True):
    batch: int
    index: int
    count: int
    key: str
    value: bytes
    end: int


class Contents(msgspec.Struct, frozen=True):
    """Contents of a file: newest value by key, length of the valid part (the rest is to be truncated), last batch."""

    values: dict[str, bytes]
    good_length: int
    batch: int


def encode_batch(batch: int, values: Mapping[str, bytes]) -> bytes:
    """Return the encoded batch (batch numbers start at 1). Raises TooManyRecords beyond 65,535 records."""
    if len(values) > _MAX_RECORDS:
        raise TooManyRecords(len(values))
    parts: list[bytes] = []
    for index, (key, value) in enumerate(values.items()):
        key_bytes = key.encode()
        frame: bytes = _FRAME.build(
            {
                "kind": Kind.VALUE,
                "batch": batch,
                "index": index,
                "count": len(values),
                "key_length": len(key_bytes),
                "length": len(value),
                "crc": bytes(_CRC_LENGTH),
            }
        )[:-_CRC_LENGTH]
        parts += [frame, _checksum(frame, key_bytes + value), key_bytes, value]
    return b"".join(parts)


def read_records(data: bytes) -> Contents:
    """Read a complete file. Raises DamagedFile if a broken batch is followed by a valid record of a later batch."""
    values: dict[str, bytes] = {}
    good_length = offset = batch = 0
    open_batch: dict[str, bytes] = {}
    while (record := _record_at(data, offset)) is not None and _is_next(record, batch, len(open_batch)):
        open_batch[record.key] = record.value
        offset = record.end
        if record.index == record.count - 1:
            values.update(open_batch)
            open_batch = {}
            batch, good_length = record.batch, offset
    # The remainder is a torn last write: it can only contain records of the batch that follows the last valid one.
    position = data.find(MAGIC, offset)
    while position >= 0:
        tail_record = _record_at(data, position)
        if tail_record is not None and tail_record.batch > batch + 1:
            raise DamagedFile(good_length)
        position = data.find(MAGIC, position + 1 if tail_record is None else tail_record.end)
    return Contents(values, good_length, batch)


def _is_next(record: _Record, batch: int, index: int) -> bool:
    # The first batch of a rewritten file continues the numbering of the previous file.
    return record.index == index and (record.batch == batch + 1 or (batch == 0 and record.batch > 0))


def _checksum(frame: bytes, payload: bytes) -> bytes:
    value: int = google_crc32c.extend(google_crc32c.value(frame), payload)
    return value.to_bytes(_CRC_LENGTH, "little")


def _record_at(data: bytes, offset: int) -> _Record | None:
    frame = data[offset : offset + FRAME_LENGTH]
    try:
        header: Any = _FRAME.parse(frame)
    except ConstructError:
        return None
    start = offset + FRAME_LENGTH
    end = start + header.key_length + header.length
    if end > len(data) or header.kind != Kind.VALUE:
        return None
    payload = data[start:end]
    if _checksum(frame[:-_CRC_LENGTH], payload) != header.crc:
        return None
    key = payload[: header.key_length].decode(errors="replace")
    return _Record(header.batch, header.index, header.count, key, payload[header.key_length :], end)
