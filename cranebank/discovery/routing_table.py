"""The routing table's actor: asks discovery for the list, watches its changes, tells the engine."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import Any

import aiohttp

from cranebank.core.counters import Counters
from cranebank.core.engine import Host, TableNews
from cranebank.core.log import Log
from cranebank.core.mailbox import Mailbox
from cranebank.decisions import interface as api

_STATES = {
    "SERVING": api.ServerState.IN,
    "DRAINING": api.ServerState.DRAINING,
    "DELETED": api.ServerState.OUT,
}
CALL_TIMEOUT_S = 4.0  # discovery gives a call up after 3 s of waiting in its queue
SILENCE_S = 3.5  # an empty line comes every 2 s; a change binds 6 s on, told or not, and asking takes time
LINE_BYTES = 4 << 20


@dataclass(slots=True, frozen=True)
class Listing:
    """One message of discovery's: the whole list or the entries changed, and how many could not be read."""

    version: int
    full: bool
    hosts: tuple[Host, ...]
    skipped: int = 0


class ListReader:
    """Reads discovery's JSON; needs the settings' zone names."""

    def __init__(self, zones: tuple[str, ...]) -> None:
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
            started=started,  # Unix time, and so is the module's clock
        ), address)


@dataclass(slots=True, frozen=True)
class Wanted:
    """Message: the module wants news of the hosts, or none."""

    enable: bool


@dataclass(slots=True, frozen=True)
class Moved:
    """Message: discovery is at another address from now on."""

    address: str


class RoutingTable:
    """Keeps one watch open while it is wanted; tells the engine when one could not be had or broke."""

    def __init__(self, address: str, reader: ListReader, tell: Callable[[TableNews], None],
                 counters: Counters, log: Log, asked: bool) -> None:
        self._address, self._reader, self._tell = address, reader, tell
        self._counters, self._log = counters, log
        self._asked = asked  # the module asks first; else this actor does, and the module only asks again
        self._version: int | None = None
        self._task: asyncio.Task[None] | None = None
        self._wanted = False
        self._mailbox: Mailbox[Wanted | Moved] = Mailbox(self._take, log)
        self._session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(), trust_env=False,
            timeout=aiohttp.ClientTimeout(total=None), connector=aiohttp.TCPConnector(limit=4))
        self.heard = asyncio.Event()  # discovery, or the list known at the start, has named the hosts

    def start(self, known: Listing | None) -> None:
        """Begin with the list as it was last had, which may be old, or with none."""
        if known is not None:
            self._news(known, api.ListKind.REMEMBERED)
        else:
            self._tell(TableNews(api.ListKind.REMEMBERED))
        if not self._asked:
            self.watch(True)

    def watch(self, enable: bool) -> None:
        """Ask for the changes from now on, or no longer."""
        self._mailbox.post(Wanted(enable))

    def move(self, address: str) -> None:
        """Watch there from now on, and at once: the list stays, and the version from which news is asked."""
        self._mailbox.post(Moved(address))

    async def close(self) -> None:
        """End the watch."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._session.close()

    def _take(self, order: Wanted | Moved) -> None:
        watching = self._task is not None and not self._task.done()
        match order:
            case Wanted(enable):
                self._wanted = enable
                if enable and watching:
                    return  # a move has come before the module's turn to ask again
            case Moved(address):
                if address == self._address:
                    return
                self._address = address
                self._counters.add("discovery_moves")
        if self._task is not None:
            self._task.cancel()
        self._task = asyncio.get_running_loop().create_task(self._keep_watch()) if self._wanted else None

    async def _keep_watch(self) -> None:
        await self._watch()
        self._counters.add("watches_ended")
        # The module says when to ask again, ever later. Asking from here as well would be two storms in one.
        self._tell(TableNews(api.ListKind.REFUSED))

    async def _watch(self) -> None:
        """Watch until the connection ends or falls silent."""
        params = {"watch": "1", "from": str(self._version or 0)}
        url = f"http://{self._address}/api/targets"
        self._counters.add("watches_opened")
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S) as limit:
                async with self._session.get(url, params=params, allow_redirects=False) as response:
                    if response.status != 200:
                        self._log.line("discovery", f"watch answered {response.status}")
                        return
                    buffer = b""
                    async for chunk in response.content.iter_any():
                        limit.reschedule(asyncio.get_running_loop().time() + SILENCE_S)
                        *whole, buffer = (buffer + chunk).split(b"\n")
                        if len(buffer) > LINE_BYTES:
                            raise ValueError("a line without end")
                        for line in whole:
                            self._line(line)
            self._log.line("discovery", "watch ended")
        except TimeoutError:
            self._log.line("discovery", "watch fell silent")
        except Exception as error:  # whatever discovery says, the engine must hear that the watch is over
            self._log.line("discovery", f"watch broke: {type(error).__name__}: {error}")

    def _line(self, line: bytes) -> None:
        if not line.strip():
            return  # nothing has changed
        try:
            listing = self._reader.read(json.loads(line))
        except (ValueError, RecursionError) as error:
            self._counters.add("list_lines_skipped")
            self._log.line("discovery", f"skipped a malformed line: {error}: {line[:80]!r}")
            return
        self._news(listing, api.ListKind.ALL if listing.full else api.ListKind.CHANGES)

    def _news(self, listing: Listing, kind: api.ListKind) -> None:
        if listing.skipped:
            self._counters.add("list_entries_skipped", listing.skipped)
            self._log.line("discovery", f"skipped {listing.skipped} malformed entries")
        self._version = listing.version
        self._tell(TableNews(kind, listing.hosts))
        if listing.hosts or kind is not api.ListKind.REMEMBERED:
            self.heard.set()
