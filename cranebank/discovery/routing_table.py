"""The actor of the routing table: watches the list of hosts in discovery and passes updates to the engine."""

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
from cranebank.discovery.listing import HostList, ListReader, MessageSplitter

CALL_TIMEOUT_S = 4.0  # discovery drops calls after 3 s in its queue
# Discovery sends an empty line every 2 s. Changes take effect 6 s after they are made, also those that a silent watch
# misses, and proxies whose watches fell silent together are served one after another by one discovery service. So 0.5 s
# is allowed for a late line, and the rest of the time is left for the new watches.
WATCH_TIMEOUT_S = 2.5


class SetWatch(msgspec.Struct, frozen=True):
    """Message: the module subscribes to changes of the list, or unsubscribes."""

    enable: bool


class AddressChanged(msgspec.Struct, frozen=True):
    """Message: discovery has a new address."""

    address: str


class RoutingTable:
    """Keeps one watch open while subscribed; notifies the engine when a watch is refused or ends."""

    def __init__(
        self,
        address: str,
        reader: ListReader,
        notify_engine: Callable[[RoutingUpdate], None],
        counters: Counters,
        log: Log,
        module_asks: bool,
    ) -> None:
        self._address, self._reader, self._notify_engine = address, reader, notify_engine
        self._counters, self._log = counters, log
        self._module_asks = module_asks  # if false, this actor starts the first watch, and the module only renews it
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
        self.list_received = asyncio.Event()  # set once discovery or the list known at the start has given the hosts

    def start(self, known: HostList | None) -> None:
        """Start with the last known list, which may be outdated, or with an empty one."""
        if known is not None:
            self._update(known, api.ListKind.REMEMBERED)
        else:
            self._notify_engine(RoutingUpdate(api.ListKind.REMEMBERED))
        if not self._module_asks:
            self.watch(True)

    def watch(self, enable: bool) -> None:
        """Subscribe to changes of the list, or unsubscribe."""
        self._mailbox.post(SetWatch(enable))

    def age_ms(self) -> int:
        """Return the milliseconds since discovery last sent anything; -1 before the first data."""
        return -1 if self._last_received_at is None else round(1000 * (time.monotonic() - self._last_received_at))

    def set_address(self, address: str) -> None:
        """Reconnect the watch to a new address; keeps the list and the version from which changes are requested."""
        self._mailbox.post(AddressChanged(address))

    async def close(self) -> None:
        """End the watch and close the HTTP session."""
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
                    return  # an address change has restarted the watch before the module renewed it
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
        # The module decides when to retry, with growing intervals. Retrying here as well would double the load.
        self._notify_engine(RoutingUpdate(api.ListKind.REFUSED))

    async def _watch(self) -> None:
        """Watch until the connection ends or nothing arrives within the time-out."""
        params = {"watch": "1", "from": str(self._version or 0)}
        url = f"http://{self._address}/api/targets"
        self._counters.add("watches_opened")
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S) as limit:
                async with self._session.get(url, params=params, allow_redirects=False) as response:
                    if response.status != 200:
                        self._log.warning("watch_refused", status=response.status, at_address=self._address)
                        return
                    splitter = MessageSplitter()
                    async for chunk in response.content.iter_any():
                        self._last_received_at = time.monotonic()
                        limit.reschedule(asyncio.get_running_loop().time() + WATCH_TIMEOUT_S)
                        for message in splitter.feed(chunk):
                            self._read_message(message)
            self._log.warning("watch_ended", at_address=self._address)
        except TimeoutError:
            self._log.warning("watch_silent", at_address=self._address)
        except Exception as error:  # whatever discovery sends, the engine must be notified of the end of the watch
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

    def _update(self, listing: HostList, kind: api.ListKind) -> None:
        if listing.skipped:
            self._counters.add("list_entries_skipped", listing.skipped)
            self._log.warning("list_entries_skipped", count=listing.skipped)
        self._version = listing.version
        self._notify_engine(RoutingUpdate(kind, listing.hosts))
        if listing.hosts or kind is not api.ListKind.REMEMBERED:
            self.list_received.set()
