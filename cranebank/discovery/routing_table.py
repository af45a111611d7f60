"""The routing table's actor: asks discovery for the list, watches its changes, tells the engine."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from cranebank.core.counters import Counters
from cranebank.core.log import Log
from cranebank.core.mailbox import Mailbox
from cranebank.core.rules import RoutingUpdate
from cranebank.decisions import interface as api
from cranebank.discovery.listing import Listing, ListReader, Stream

CALL_TIMEOUT_S = 4.0  # discovery gives a call up after 3 s of waiting in its queue
# An empty line comes every 2 s. What a silent watch misses binds 6 s on, told or not, and all whose watches fell silent
# together ask one discovery, which answers one after another: half a second for a late line, and the rest for them.
WATCH_TIMEOUT_S = 2.5


class SetWatch(msgspec.Struct, frozen=True):
    """Message: the module wants news of the hosts, or none."""

    enable: bool


class AddressChanged(msgspec.Struct, frozen=True):
    """Message: discovery is at another address from now on."""

    address: str


class RoutingTable:
    """Keeps one watch open while it is wanted; tells the engine when one could not be had or broke."""

    def __init__(
        self,
        address: str,
        reader: ListReader,
        notify_engine: Callable[[RoutingUpdate], None],
        counters: Counters,
        log: Log,
        asked: bool,
    ) -> None:
        self._address, self._reader, self._notify_engine = address, reader, notify_engine
        self._counters, self._log = counters, log
        self._module_asks = asked  # the module asks first; else this actor does, and the module only asks again
        self._version: int | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_enabled = False
        self._last_received_at: float | None = None
        self._mailbox: Mailbox[SetWatch | AddressChanged] = Mailbox(self._receive, log)
        self._session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(),
            trust_env=False,
            timeout=aiohttp.ClientTimeout(total=None),
            connector=aiohttp.TCPConnector(limit=4),
        )
        self.heard = asyncio.Event()  # discovery, or the list known at the start, has named the hosts

    def start(self, known: Listing | None) -> None:
        """Begin with the list as it was last had, which may be old, or with none."""
        if known is not None:
            self._update(known, api.ListKind.REMEMBERED)
        else:
            self._notify_engine(RoutingUpdate(api.ListKind.REMEMBERED))
        if not self._module_asks:
            self.watch(True)

    def watch(self, enable: bool) -> None:
        """Ask for the changes from now on, or no longer."""
        self._mailbox.post(SetWatch(enable))

    def age_ms(self) -> int:
        """Milliseconds since discovery last wrote anything; -1 before the first time."""
        return -1 if self._last_received_at is None else round(1000 * (time.monotonic() - self._last_received_at))

    def set_address(self, address: str) -> None:
        """Watch there from now on, and at once: the list stays, and the version from which news is asked."""
        self._mailbox.post(AddressChanged(address))

    async def close(self) -> None:
        """End the watch."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._session.close()

    def _receive(self, order: SetWatch | AddressChanged) -> None:
        watching = self._task is not None and not self._task.done()
        match order:
            case SetWatch(enable):
                self._is_enabled = enable
                if enable and watching:
                    return  # a move has come before the module's turn to ask again
            case AddressChanged(address):
                if address == self._address:
                    return
                self._address = address
                self._counters.add("discovery_moves")
        if self._task is not None:
            self._task.cancel()
        self._task = asyncio.get_running_loop().create_task(self._keep_watch()) if self._is_enabled else None

    async def _keep_watch(self) -> None:
        await self._watch()
        self._counters.add("watches_ended")
        # The module says when to ask again, ever later. Asking from here as well would be two storms in one.
        self._notify_engine(RoutingUpdate(api.ListKind.REFUSED))

    async def _watch(self) -> None:
        """Watch until the connection ends or falls silent."""
        params = {"watch": "1", "from": str(self._version or 0)}
        url = f"http://{self._address}/api/targets"
        self._counters.add("watches_opened")
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S) as limit:
                async with self._session.get(url, params=params, allow_redirects=False) as response:
                    if response.status != 200:
                        self._log.warning("watch_refused", status=response.status, at_address=self._address)
                        return
                    stream = Stream()
                    async for chunk in response.content.iter_any():
                        self._last_received_at = time.monotonic()
                        limit.reschedule(asyncio.get_running_loop().time() + WATCH_TIMEOUT_S)
                        for message in stream.feed(chunk):
                            self._read_message(message)
            self._log.warning("watch_ended", at_address=self._address)
        except TimeoutError:
            self._log.warning("watch_silent", at_address=self._address)
        except Exception as error:  # whatever discovery says, the engine must hear that the watch is over
            self._log.warning("watch_broke", error=f"{type(error).__name__}: {error}")

    def _read_message(self, message: Any) -> None:
        try:
            if isinstance(message, ValueError):
                raise message
            listing = self._reader.read(message)
        except ValueError as error:
            self._counters.add("list_lines_skipped")
            self._log.warning("list_line_skipped", error=str(error))
            return
        self._update(listing, api.ListKind.ALL if listing.full else api.ListKind.CHANGES)

    def _update(self, listing: Listing, kind: api.ListKind) -> None:
        if listing.skipped:
            self._counters.add("list_entries_skipped", listing.skipped)
            self._log.warning("list_entries_skipped", count=listing.skipped)
        self._version = listing.version
        self._notify_engine(RoutingUpdate(kind, listing.hosts))
        if listing.hosts or kind is not api.ListKind.REMEMBERED:
            self.heard.set()
