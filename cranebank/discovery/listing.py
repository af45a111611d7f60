"""Discovery's JSON as typed values; no sockets."""

from __future__ import annotations

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

    def read(self, told: Any) -> Listing:
        """Read one message; an entry that is malformed is skipped, a message that is raises ValueError."""
        if not isinstance(told, dict) or not isinstance(told.get("servers"), list):
            raise ValueError("expected an object with a list 'servers'")
        version = told.get("version")
        if not isinstance(version, int):
            raise ValueError(f"expected a whole number as 'version', got {version!r}")
        hosts, skipped = [], 0
        for entry in told["servers"]:
            try:
                hosts.append(self._host(entry))
            except (ValueError, TypeError, KeyError, AttributeError):
                skipped += 1
        return Listing(version, bool(told.get("full", False)), tuple(hosts), skipped)

    def _host(self, entry: dict[str, Any]) -> Host:
        state, server, address = _STATES[entry["state"]], entry["id"], entry.get("addr", "")
        _, _, port = address.rpartition(":")
        size, started = float(entry.get("weight") or 1.0), float(entry.get("started_ms") or 0.0)
        if not isinstance(server, str) or not server or (state is api.ServerState.IN and not port.isdigit()):
            raise ValueError("no id or no address")
        if not (0.0 < size < inf and 0.0 <= started < inf):  # NaN would pass for a restart each time
            raise ValueError("weight or start time out of range")
        return Host(api.ServerEntry(
            server=server,
            zone=self._zones.get(entry.get("zone", ""), len(self._zones)),  # unknown: not the own zone
            cell=int(entry.get("cell") or 0),
            size=size,
            state=state,
            kind=self._kinds.get(entry.get("kind", ""), len(self._kinds)),  # unknown: one kind for all such
            started=started,  # Unix time, and so is the module's clock
        ), address)
