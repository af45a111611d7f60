"""Copies of a controller's custody file, taken and put back beside the running system. Everything here blocks.

A copy holds what the replica was then: its id, its votes and the value that it stored. None of that may come back: a
replica under its old id with older votes would vote twice, and a value that it stored may never have been committed.
So only the configuration last known to be committed is restored, and the process that starts on it is a new replica,
just as on an empty disk; it hands that configuration to proxies that have none or an older one.
"""

from __future__ import annotations

import enum
from pathlib import Path

import msgspec

from cranebank.control.configuration import InvalidConfiguration, check
from cranebank.control.custody import FILE, PUBLISHED, Value
from cranebank.control.epochs import DurableState
from cranebank.storage.records import Contents, DamagedFile, encode_batch, read_records
from cranebank.storage.store import Folder

_NEW = f"{FILE}.new"


class CustodyFileCode(enum.StrEnum):
    """Codes of the errors below."""

    UNREADABLE = "unreadable"
    DAMAGED = "damaged"
    NOT_CUSTODY = "not_custody"
    EXISTS = "exists"
    NOT_EMPTY = "not_empty"
    NOTHING_COMMITTED = "nothing_committed"


class CustodyFileError(Exception):
    """A copy that can't be taken or put back: ``code``, the path, and what was expected of it."""

    def __init__(self, code: CustodyFileCode, path: Path, expected: str) -> None:
        super().__init__(f"{path}: {code.value}: expected {expected}")
        self.code, self.path, self.expected = code, path, expected


class Custodial(msgspec.Struct, frozen=True):
    """What a file holds. Revisions are 0 where there is none."""

    replica: str
    epoch: int
    stored: int  # revision that the replica has stored, committed or not
    committed: int  # revision last known to be committed
    document: bytes  # of ``committed``


def back_up(folder: Path, file: Path) -> Custodial:
    """Copy the custody file of a folder to a new file, the torn end of a write left out. Raises CustodyFileError.

    The process may run meanwhile: its file is only appended to, or replaced whole.
    """
    source = folder / FILE
    data, contents = _read(source)
    _told(source, contents)
    if file.exists():
        raise CustodyFileError(CustodyFileCode.EXISTS, file, "a path where there is no file yet")
    target = Folder(file.parent)
    try:
        target.create(f"{file.name}.new", data[: contents.good_length])
        target.rename(f"{file.name}.new", file.name)
        target.sync_folder()
    except OSError as error:
        raise CustodyFileError(CustodyFileCode.UNREADABLE, file, f"a path that can be written: {error}") from None
    return _whole(file)[1]


def restore(file: Path, folder: Path, replace: bool = False) -> Custodial:
    """Put the committed configuration of a copy into a folder, for a new replica. Raises CustodyFileError.

    What stood there is kept beside it under another name.
    """
    contents, found = _whole(file)
    if not found.committed:
        raise CustodyFileError(CustodyFileCode.NOTHING_COMMITTED, file, "a configuration known to be committed")
    try:
        folder.mkdir(parents=True, exist_ok=True)
        if not replace and any(folder.iterdir()):
            raise CustodyFileError(CustodyFileCode.NOT_EMPTY, folder, "an empty folder, or --replace")
        target = Folder(folder)
        target.create(_NEW, encode_batch(1, {PUBLISHED: contents.values[PUBLISHED]}))
        if (folder / FILE).exists():
            target.rename(FILE, _free_name(folder))
        target.rename(_NEW, FILE)
        target.sync_folder()
    except OSError as error:
        raise CustodyFileError(CustodyFileCode.UNREADABLE, folder, f"a folder that can be written: {error}") from None
    return _whole(folder / FILE)[1]


def _free_name(folder: Path) -> str:
    number = 1
    while (folder / f"{FILE}.replaced-{number}").exists():
        number += 1
    return f"{FILE}.replaced-{number}"


def _read(path: Path) -> tuple[bytes, Contents]:
    try:
        data = path.read_bytes()
        contents = read_records(data)
    except OSError as error:
        raise CustodyFileError(CustodyFileCode.UNREADABLE, path, f"a readable file: {error.strerror}") from None
    except DamagedFile as damage:
        raise CustodyFileError(
            CustodyFileCode.DAMAGED, path, f"whole records behind byte {damage.details['offset']}"
        ) from None
    if not contents.values:
        raise CustodyFileError(CustodyFileCode.NOT_CUSTODY, path, "records of a controller's custody")
    return data, contents


def _whole(path: Path) -> tuple[Contents, Custodial]:
    data, contents = _read(path)
    if contents.good_length != len(data):
        raise CustodyFileError(CustodyFileCode.DAMAGED, path, f"whole records behind byte {contents.good_length}")
    return contents, _told(path, contents)


def _told(path: Path, contents: Contents) -> Custodial:
    values = contents.values
    try:
        chosen = msgspec.msgpack.decode(values["control"], type=DurableState).chosen if "control" in values else None
        stored = msgspec.msgpack.decode(values["value"], type=Value).revision if "value" in values else 0
        committed, document = 0, b""
        if PUBLISHED in values:
            committed, document = msgspec.msgpack.decode(values[PUBLISHED], type=tuple[int, bytes])
            if check(document, -1).revision != committed:
                raise CustodyFileError(CustodyFileCode.DAMAGED, path, f"a configuration of revision {committed}")
    except (msgspec.MsgspecError, InvalidConfiguration) as error:
        raise CustodyFileError(CustodyFileCode.NOT_CUSTODY, path, f"a controller's custody: {error}") from None
    return Custodial(
        values.get("id", b"").decode(), chosen.epoch if chosen is not None else -1, stored, committed, document
    )
