"""Parses discovery's JSON messages into typed values; does no I/O."""

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

MAX_MESSAGE_BYTES = 4 << 20  # for one message, on one line or many
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class MessageSplitter:
    """Splits the stream of a watch into JSON messages: one on a line, or indented over several lines."""

    def __init__(self) -> None:
        self._partial_line = b""
        self._lines: list[bytes] = []  # of the incomplete message
        self._depth = self._size = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield the messages that ``data`` completes, each as decoded JSON or as the ValueError of decoding it."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) + self._size > MAX_MESSAGE_BYTES:
            raise ValueError("a message without end")
        for line in lines:
            if not line.strip():
                continue  # a keep-alive line
            # An unindented line that closes nothing starts a new message: an open one before it was truncated.
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


class HostList(msgspec.Struct, frozen=True):
    """One message of discovery: the full list or the changed entries; ``skipped`` counts malformed entries."""

    version: int
    full: bool
    hosts: tuple[Host, ...]
    skipped: int = 0


class ListReader:
    """Converts discovery's messages; needs the names of zones and kinds from the settings."""

    def __init__(self, zones: tuple[str, ...], kinds: tuple[str, ...] = ()) -> None:
        self._kinds = {name: index for index, name in enumerate(kinds)}
        self._zones = {name: index for index, name in enumerate(zones)}

    def read(self, message: Any) -> HostList:
        """Convert one message; skips malformed entries, raises ValueError for a malformed message."""
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
        return HostList(version, bool(message.get("full", False)), tuple(hosts), skipped)

    def _host(self, entry: dict[str, Any]) -> Host:
        state, server, address = _STATES[entry["state"]], entry["id"], entry.get("addr", "")
        _, _, port = address.rpartition(":")
        size, started = float(entry.get("weight") or 1.0), float(entry.get("started_ms") or 0.0)
        if not isinstance(server, str) or not server or (state is api.ServerState.IN and not port.isdigit()):
            raise ValueError("missing id or address")
        if not (0.0 < size < inf and 0.0 <= started < inf):  # NaN would look like a restart with every message
            raise ValueError("weight or start time out of range")
        return Host(
            api.ServerEntry(
                server=server,
                zone=self._zones.get(entry.get("zone", ""), len(self._zones)),  # an unknown zone is not the own one
                cell=int(entry.get("cell") or 0),
                size=size,
                state=state,
                kind=self._kinds.get(entry.get("kind", ""), len(self._kinds)),  # all unknown kinds are one kind
                started=started,  # Unix time, as the module's clock
            ),
            address,
        )
