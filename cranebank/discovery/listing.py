"""Discovery's JSON as typed values; no sockets."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from math import inf
from typing import Any

import msgspec

from cranebank.core.rules import Host
from cranebank.decisions import interface as api

_STATES = {
    "SERVING": api.ServerState.IN,
    "DRAINING": api.ServerState.DRAINING,
    "DELETED": api.ServerState.OUT,
}


MAX_MESSAGE_BYTES = 4 << 20  # of one message, on a line or on many
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class Stream:
    """Cuts what comes on a watch into messages: one on a line, or indented over many."""

    def __init__(self) -> None:
        self._partial_line = b""  # of a line that has not ended
        self._lines: list[bytes] = []  # of a message that has not ended
        self._depth = self._size = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """The messages that ``data`` makes whole, each as JSON or the ValueError that it is none."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) + self._size > MAX_MESSAGE_BYTES:
            raise ValueError("a message without end")
        for line in lines:
            if not line.strip():
                continue  # nothing has changed
            # What begins at the margin begins anew: whatever was left open before it has no end any more.
            if self._lines and line[:1] not in b" \t}]":
                yield self._take_message()
            self._lines.append(line)
            self._size += len(line)
            without_strings = _STRING.sub(b"", line)
            self._depth += (
                without_strings.count(b"{")
                + without_strings.count(b"[")
                - without_strings.count(b"}")
                - without_strings.count(b"]")
            )
            if self._depth <= 0:
                yield self._take_message()

    def _take_message(self) -> Any:
        text = b"\n".join(self._lines)
        self._lines, self._depth, self._size = [], 0, 0
        try:
            return json.loads(text)
        except (ValueError, RecursionError) as error:
            return ValueError(f"{error}: {text[:80]!r}")


class Listing(msgspec.Struct, frozen=True):
    """One message of discovery's: the whole list or the entries changed, and how many could not be read."""

    version: int
    full: bool
    hosts: tuple[Host, ...]
    skipped: int = 0


class ListReader:
    """Reads discovery's JSON; needs the settings' names of zones and kinds."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...] = ()) -> None:
        self._kinds = {name: index for index, name in enumerate(kinds)}
        self._zones = {name: index for index, name in enumerate(zones)}

    def read(self, message: Any) -> Listing:
        """Read one message; an entry that is malformed is skipped, a message that is raises ValueError."""
        if not isinstance(message, dict) or not isinstance(message.get("servers"), list):
            raise ValueError("expected an object with a list 'servers'")
        version = message.get("version")
        if not isinstance(version, int):
            raise ValueError(f"expected a whole number as 'version', got {version!r}")
        hosts, skipped = [], 0
        for entry in message["servers"]:
            try:
                hosts.append(self._host(entry))
            except (ValueError, TypeError, KeyError, AttributeError):
                skipped += 1
        return Listing(version, bool(message.get("full", False)), tuple(hosts), skipped)

    def _host(self, entry: dict[str, Any]) -> Host:
        state, server, address = _STATES[entry["state"]], entry["id"], entry.get("addr", "")
        _, _, port = address.rpartition(":")
        size, started = float(entry.get("weight") or 1.0), float(entry.get("started_ms") or 0.0)
        if not isinstance(server, str) or not server or (state is api.ServerState.IN and not port.isdigit()):
            raise ValueError("no id or no address")
        if not (0.0 < size < inf and 0.0 <= started < inf):  # NaN would pass for a restart each time
            raise ValueError("weight or start time out of range")
        return Host(
            api.ServerEntry(
                server=server,
                zone=self._zones.get(entry.get("zone", ""), len(self._zones)),  # unknown: not the own zone
                cell=int(entry.get("cell") or 0),
                size=size,
                state=state,
                kind=self._kinds.get(entry.get("kind", ""), len(self._kinds)),  # unknown: one kind for all such
                started=started,  # Unix time, and so is the module's clock
            ),
            address,
        )
