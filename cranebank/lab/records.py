"""Records that both sides of a proxy write during a run; the judge and the reports read nothing else.

Each line is a JSON array whose first item is the kind of record. Times are microseconds after the start on the
machine's monotonic clock, which all processes of a run share; -1 means never.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from pathlib import Path
from typing import IO

import msgspec

NEVER = -1


class CallRecord(msgspec.Struct, array_like=True, tag="asked"):
    """A request to a proxy as the caller sees it: a client's try, or a host's call to the next tier."""

    id: str
    root: str  # id of the client's request
    parent: str  # id of the leg that the calling host works on; "" for clients
    tries: int  # number of earlier tries
    caller: str
    proxy: str
    kind: int
    tenant: int
    key: str
    intended: int  # when it was due
    sent: int  # time of its last byte; -1: never sent, because no connection was established
    deadline: int  # when the caller gives up
    done: int  # time of the answer's last byte, or when the caller gave up
    status: int  # 0: no answer
    digest: str  # digest of the answer's body
    retry_after: int = 0
    client_left: bool = False  # the caller gave up before its deadline
    was_cut_off: bool = False  # the proxy closed the connection without a whole answer
    has_request_id: bool = True  # whether the body contains the request id


class ExtraAnswer(msgspec.Struct, array_like=True, tag="spare"):
    """A caller got a second answer to a request."""

    id: str


class LegRecord(msgspec.Struct, array_like=True, tag="seen"):
    """A leg as the host sees it."""

    id: str
    host: str
    first: int  # time of its first byte
    last: int  # time of its last byte; -1: it never arrived
    done: int
    ran: bool  # the host started work on it
    status: int  # status of the answer; 0: none
    digest: str
    key: str
    kind: int
    work: int
    effect: bool = False  # the effect took place here; False for a repeat of the key
    ended_by: str = ""  # why there was no normal answer: cancelled, fault, stopped
    busy_until: int = NEVER  # when the host stopped working on it


class DiscoveryNotice(msgspec.Struct, array_like=True, tag="told"):
    """Discovery sent the state of a host to a proxy; host "*" marks a full list, with the host names in ``state``."""

    at: int
    proxy: str
    host: str
    state: str
    started: int


class ProxyStateChange(msgspec.Struct, array_like=True, tag="life"):
    """A change of a proxy's state."""

    at: int
    proxy: str
    state: str  # started, ready, stopping, ended, killed, crashed


class Started(msgspec.Struct, array_like=True, tag="started"):
    """A host started or restarted."""

    at: int
    host: str
    fell: bool = False  # it failed under too much work while cold, and is down from now on


class Probe(msgspec.Struct, array_like=True, tag="probe"):
    """Number of probes that a host got in one second."""

    host: str
    second: int
    count: int


class Sample(msgspec.Struct, array_like=True, tag="sample"):
    """Resource use of a process: CPU as a share of one core since the last sample, memory in MB, descriptors."""

    at: int
    process: str
    cpu: float
    memory: float
    descriptors: int


class ConnectionCounts(msgspec.Struct, array_like=True, tag="links"):
    """Connections to a host: opened in total, the most at once, and refused."""

    host: str
    opened: int
    most: int
    refused: int


class Generator(msgspec.Struct, array_like=True, tag="generator"):
    """Lateness of the generator in microseconds, and the number of requests that it sent."""

    offered: int
    late_p50: int
    late_p99: int
    late_max: int
    cpu: float  # seconds
    seconds: float


Record = (
    CallRecord
    | ExtraAnswer
    | LegRecord
    | DiscoveryNotice
    | ProxyStateChange
    | Started
    | Probe
    | Sample
    | ConnectionCounts
    | Generator
)
_READ = msgspec.json.Decoder(Record)


class Writer:
    """Appends records to a file; all flushed records can be read after a crash."""

    def __init__(self, path: Path) -> None:
        self._file: IO[bytes] = open(path, "ab", buffering=1 << 18)  # noqa: SIM115  (open as long as the run)
        self._encode = msgspec.json.Encoder().encode

    def write(self, record: Record) -> None:
        """Write one record."""
        self._file.write(self._encode(record) + b"\n")

    def flush(self) -> None:
        """Write buffered records to the file."""
        self._file.flush()

    def close(self) -> None:
        """Write buffered records and close the file."""
        self._file.close()


def read(paths: Iterable[Path]) -> list[Record]:
    """Return all records of a run; a truncated last line is skipped."""
    found: list[Record] = []
    for path in paths:
        with open(path, "rb") as file:
            for line in file:
                with contextlib.suppress(msgspec.DecodeError):
                    if line.endswith(b"\n"):
                        found.append(_READ.decode(line))
    return found
