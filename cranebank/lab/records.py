"""What both sides of a proxy write down during a run; the judge and the reports read nothing else.

One JSON array a line, its first item the record's kind. Times are microseconds after the start on the
machine's monotonic clock, which all processes of a run share; -1 stands for never.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from pathlib import Path
from typing import IO

import msgspec

NEVER = -1


class Asked(msgspec.Struct, array_like=True, tag="asked"):
    """A caller's side of one request to a proxy: a client's try, or a host's call to the next tier."""

    id: str
    root: str  # the first try that it belongs to
    parent: str  # the request that the calling host works on; "" for clients
    tries: int  # 0 for the first
    caller: str
    proxy: str
    kind: int
    tenant: int
    key: str
    intended: int  # when it should have been sent
    sent: int  # its last byte; -1: never, as no connection came up
    deadline: int  # when the caller gives up
    done: int  # the answer's last byte, or when the caller gave up
    status: int  # 0: no answer
    digest: str  # of the body
    retry_after: int = 0
    gone: bool = False  # the caller left before its deadline
    broke: bool = False  # the proxy ended the connection without a whole answer
    named: bool = True  # whether the body names this request


class Spare(msgspec.Struct, array_like=True, tag="spare"):
    """An answer beyond the first came to a caller."""

    id: str


class Seen(msgspec.Struct, array_like=True, tag="seen"):
    """A host's side of one leg."""

    id: str
    host: str
    first: int  # the leg's first byte
    last: int  # its last byte; -1: it never came
    done: int
    ran: bool  # work was begun
    status: int  # as answered; 0: none
    digest: str
    key: str
    kind: int
    work: int
    effect: bool = False  # it took place here, and not on a repeat of its key
    ended_by: str = ""  # why there was no usual answer: cancelled, fault, stopped
    busy_until: int = NEVER  # when work on it ended


class Told(msgspec.Struct, array_like=True, tag="told"):
    """Discovery has written news of a host to a proxy."""

    at: int
    proxy: str
    host: str
    state: str
    started: int


class Life(msgspec.Struct, array_like=True, tag="life"):
    """A proxy is up, ready, told to stop, or ended."""

    at: int
    proxy: str
    state: str  # started, ready, stopping, ended, killed, crashed


class Started(msgspec.Struct, array_like=True, tag="started"):
    """A host has started, or started anew."""

    at: int
    host: str
    fell: bool = False  # pushed over while cold, and down from here on


class Probe(msgspec.Struct, array_like=True, tag="probe"):
    """Probes that a host has had, by second."""

    host: str
    second: int
    count: int


class Sample(msgspec.Struct, array_like=True, tag="sample"):
    """What a process uses: CPU as a share of one core since the last sample, memory in MB, descriptors."""

    at: int
    process: str
    cpu: float
    memory: float
    descriptors: int


class Links(msgspec.Struct, array_like=True, tag="links"):
    """Connections that a host had opened to it, in all, and most at once."""

    host: str
    opened: int
    most: int
    refused: int


class Generator(msgspec.Struct, array_like=True, tag="generator"):
    """How late the generator was, microseconds, and how many it offered."""

    offered: int
    late_p50: int
    late_p99: int
    late_max: int
    cpu: float  # seconds
    seconds: float


Record = Asked | Spare | Seen | Told | Life | Started | Probe | Sample | Links | Generator
_READ = msgspec.json.Decoder(Record)


class Writer:
    """Appends records to a file; what was written before an end of any kind can be read."""

    def __init__(self, path: Path) -> None:
        self._file: IO[bytes] = open(path, "ab", buffering=1 << 18)  # noqa: SIM115  (open as long as the run)
        self._encode = msgspec.json.Encoder().encode

    def write(self, record: Record) -> None:
        """Write one record."""
        self._file.write(self._encode(record) + b"\n")

    def flush(self) -> None:
        """Hand what is written to the system."""
        self._file.flush()

    def close(self) -> None:
        """The end."""
        self._file.close()


def read(paths: Iterable[Path]) -> list[Record]:
    """All records of a run; a torn last line is passed over."""
    found: list[Record] = []
    for path in paths:
        with open(path, "rb") as file:
            for line in file:
                with contextlib.suppress(msgspec.DecodeError):
                    if line.endswith(b"\n"):
                        found.append(_READ.decode(line))
    return found
