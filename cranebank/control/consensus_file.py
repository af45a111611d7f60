"""Backup and restore of a controller's consensus file, next to the running system. All functions here block.

A backup contains the replica's id, its votes and its stored value at that time. None of these may be restored: a
replica under its old id with older votes would vote twice, and its stored value may never have been committed. So only
the configuration last known to be committed is restored. The process that starts on it is a new replica, as on an empty
disk; it sends that configuration to proxies that have none or an older one.
"""

from __future__ import annotations

import enum
from pathlib import Path

import msgspec

from cranebank.control.configuration import InvalidConfiguration, check
from cranebank.control.consensus_replica import CONSENSUS_FILE, PUBLISHED_KEY, Value
from cranebank.control.epochs import DurableState
from cranebank.storage.records import Contents, DamagedFile, encode_batch, read_records
from cranebank.storage.store import Folder
from cranebank.transport.revision import NO_REVISION, Revision, msgpack_decoder

_NEW = f"{CONSENSUS_FILE}.new"
_decode_value = msgpack_decoder(Value).decode
decode_published = msgpack_decoder(tuple[Revision, bytes]).decode
"""Decode the value of PUBLISHED_KEY: revision and document."""


class ConsensusFileCode(enum.StrEnum):
    """Codes of ConsensusFileError."""

    UNREADABLE = "unreadable"
    DAMAGED = "damaged"
    NOT_CONSENSUS_FILE = "not_custody"
    EXISTS = "exists"
    NOT_EMPTY = "not_empty"
    NOTHING_COMMITTED = "nothing_committed"


class ConsensusFileError(Exception):
    """Raised when a backup or restore fails: ``code``, the path, and what was expected of it."""

    def __init__(self, code: ConsensusFileCode, path: Path, expected: str) -> None:
        super().__init__(f"{path}: {code.value}: expected {expected}")
        self.code, self.path, self.expected = code, path, expected


class ConsensusFileContents(msgspec.Struct, frozen=True):
    """Contents of a consensus file. A revision is 0 where there is none."""

    replica: str
    epoch: int
    stored: int  # revision that the replica has stored, committed or not
    committed: int  # revision last known to be committed
    document: bytes  # document of revision ``committed``


def back_up(folder: Path, file: Path) -> ConsensusFileContents:
    """Copy the consensus file of a folder to a new file, without a torn write at its end. Raises ConsensusFileError.

    The controller may be running: it only appends to its file, or replaces it atomically.
    """
    source = folder / CONSENSUS_FILE
    data, contents = _read(source)
    _contents_of(source, contents)
    if file.exists():
        raise ConsensusFileError(ConsensusFileCode.EXISTS, file, "a path where there is no file yet")
    target = Folder(file.parent)
    try:
        target.create(f"{file.name}.new", data[: contents.good_length])
        target.rename(f"{file.name}.new", file.name)
        target.sync_folder()
    except OSError as error:
        raise ConsensusFileError(ConsensusFileCode.UNREADABLE, file, f"a path that can be written: {error}") from None
    return _read_whole(file)[1]


def restore(file: Path, folder: Path, replace: bool = False) -> ConsensusFileContents:
    """Write the committed configuration of a backup into a folder, for a new replica. Raises ConsensusFileError.

    An existing consensus file in the folder is kept under another name.
    """
    contents, found = _read_whole(file)
    if not found.committed:
        raise ConsensusFileError(ConsensusFileCode.NOTHING_COMMITTED, file, "a configuration known to be committed")
    try:
        folder.mkdir(parents=True, exist_ok=True)
        if not replace and any(folder.iterdir()):
            raise ConsensusFileError(ConsensusFileCode.NOT_EMPTY, folder, "an empty folder, or --replace")
        target = Folder(folder)
        target.create(_NEW, encode_batch(1, {PUBLISHED_KEY: contents.values[PUBLISHED_KEY]}))
        if (folder / CONSENSUS_FILE).exists():
            target.rename(CONSENSUS_FILE, _free_name(folder))
        target.rename(_NEW, CONSENSUS_FILE)
        target.sync_folder()
    except OSError as error:
        raise ConsensusFileError(
            ConsensusFileCode.UNREADABLE, folder, f"a folder that can be written: {error}"
        ) from None
    return _read_whole(folder / CONSENSUS_FILE)[1]


def _free_name(folder: Path) -> str:
    number = 1
    while (folder / f"{CONSENSUS_FILE}.replaced-{number}").exists():
        number += 1
    return f"{CONSENSUS_FILE}.replaced-{number}"


def _read(path: Path) -> tuple[bytes, Contents]:
    try:
        data = path.read_bytes()
        contents = read_records(data)
    except OSError as error:
        raise ConsensusFileError(ConsensusFileCode.UNREADABLE, path, f"a readable file: {error.strerror}") from None
    except DamagedFile as damage:
        raise ConsensusFileError(
            ConsensusFileCode.DAMAGED, path, f"complete records after byte {damage.details['offset']}"
        ) from None
    if not contents.values:
        raise ConsensusFileError(ConsensusFileCode.NOT_CONSENSUS_FILE, path, "records of a controller's consensus file")
    return data, contents


def _read_whole(path: Path) -> tuple[Contents, ConsensusFileContents]:
    data, contents = _read(path)
    if contents.good_length != len(data):
        raise ConsensusFileError(ConsensusFileCode.DAMAGED, path, f"complete records after byte {contents.good_length}")
    return contents, _contents_of(path, contents)


def _contents_of(path: Path, contents: Contents) -> ConsensusFileContents:
    values = contents.values
    try:
        chosen = msgspec.msgpack.decode(values["control"], type=DurableState).chosen if "control" in values else None
        stored = _decode_value(values["value"]).revision if "value" in values else NO_REVISION
        committed, document = NO_REVISION, b""
        if PUBLISHED_KEY in values:
            committed, document = decode_published(values[PUBLISHED_KEY])
            if check(document, -1).revision != committed:
                raise ConsensusFileError(ConsensusFileCode.DAMAGED, path, f"a configuration of revision {committed}")
    except (msgspec.MsgspecError, InvalidConfiguration) as error:
        raise ConsensusFileError(
            ConsensusFileCode.NOT_CONSENSUS_FILE, path, f"records of a controller's consensus file: {error}"
        ) from None
    return ConsensusFileContents(
        values.get("id", b"").decode(), chosen.epoch if chosen is not None else -1, stored, committed, document
    )
