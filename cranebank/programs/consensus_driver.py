"""Runs the consensus core: feeds it events, executes the actions that it returns in order, and awaits its results.

A write's result is returned once; a write without a result in time counts as unknown. If the core violates an invariant
or raises another error, or an action fails, the core is fed no more events, holds no lease and counts as out of
contact: a missing replica is better than one that is wrong or waits forever.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec
from loguru import logger

from cranebank.control import events
from cranebank.control.consensus import ConsensusCore
from cranebank.control.operator_api import WRITE_TIMEOUT_S
from cranebank.invariants import InvariantBroken
from cranebank.programs.controller_links import ControllerLinks
from cranebank.programs.local_state import LocalState, Storage
from cranebank.storage.records import StorageError
from cranebank.transport.links import Link
from cranebank.transport.messages import ConsensusEnvelope
from cranebank.transport.revision import Revision, msgpack_decoder, msgpack_encoder

_encode = msgpack_encoder().encode
_decode: Callable[[bytes], events.AnyMessage] = msgpack_decoder(events.AnyMessage).decode


class Listener(Protocol):
    """Receives the core's decisions."""

    def committed(self, revision: Revision, document: bytes) -> None:
        """Handle a configuration that is in force."""

    def leadership_changed(self, is_primary: bool) -> None:
        """Handle that this controller has become primary, or is no longer primary."""


class ConsensusDriver:
    """The core with its disk, its connections and the writes that wait for it."""

    def __init__(
        self,
        core: ConsensusCore,
        storage: Storage,
        local_state: LocalState,
        links: ControllerLinks,
        listener: Listener,
        now: Callable[[], float],
    ) -> None:
        self._core, self._storage, self._local_state = core, storage, local_state
        self._links, self._listener, self._now = links, listener, now
        self._writes: dict[int, asyncio.Future[events.Result]] = {}
        self._requests = 0
        self.results: dict[str, int] = {}  # number of writes by kind of result
        self.broken = asyncio.Event()

    def holds_lease(self) -> bool:
        """Whether this controller is the primary and its lease is still valid."""
        return not self.broken.is_set() and self._core.holds_lease(self._now())

    def in_contact(self, now: float) -> bool:
        """Whether this controller is in contact with a majority."""
        return not self.broken.is_set() and self._core.in_contact(now)

    def is_current(self, now: float, revision: int) -> bool:
        """Whether this revision is known to have been the newest committed one within the last lease period."""
        return not self.broken.is_set() and self._core.is_current(now, revision)

    def feed(self, event: events.Event) -> None:
        """Pass an event to the core and execute the actions that it returns."""
        if self.broken.is_set():
            return
        try:
            actions = self._core.handle(self._now(), event)
        except InvariantBroken as error:  # the process ends and starts again from its disk
            logger.opt(exception=True).critical("consensus core violated an invariant: {}", error)
            self.broken.set()
            return
        except Exception as error:  # the event may be half processed, so the state cannot be relied on
            logger.opt(exception=True).critical("consensus core failed on {}: {!r}", type(event).__name__, error)
            self.broken.set()
            return
        try:
            for action in actions:
                self._execute(action)
        except Exception as error:  # the actions after it are skipped: the core would wait for their results forever
            self._stop_after_failure(error)

    def _stop_after_failure(self, error: Exception) -> None:
        """Stop after a failed action: the process ends and starts again from its disk."""
        logger.opt(exception=error).critical("an action of the consensus core failed: {!r}", error)
        self.broken.set()

    def receive(self, link: Link, body: bytes) -> None:
        """Handle a message from another controller's core."""
        try:
            message = _decode(body)
        except msgspec.MsgspecError as error:
            logger.warning("invalid consensus message from {}, closing the link: {}", link.peer, error)
            link.close()
            return
        self.feed(events.Received(link.peer, message))

    async def write(self, base: int, revision: Revision, document: bytes, digest: bytes) -> events.Result:
        """Pass a write to the core and return its result."""
        result = await self._submit(lambda request: events.Write(request, base, revision, document, digest))
        kind = type(result).__name__
        self.results[kind] = self.results.get(kind, 0) + 1
        return result

    async def evacuate(self, zone: str, is_start: bool) -> events.Result:
        """Pass a change of the evacuated zones to the core and return its result."""
        return await self._submit(lambda request: events.Evacuate(request, zone, is_start))

    async def _submit(self, event: Callable[[int], events.Event]) -> events.Result:
        """Feed the event of a new request and return its result, or Unknown if there is none in time."""
        self._requests += 1
        request = self._requests
        future: asyncio.Future[events.Result] = asyncio.get_running_loop().create_future()
        self._writes[request] = future
        result: events.Result = events.Unknown()
        try:
            self.feed(event(request))
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                result = await future
        except TimeoutError:
            pass
        finally:
            self._writes.pop(request, None)
        return result

    def _execute(self, action: events.Action) -> None:
        match action:
            case events.Send(ip, message):
                link = self._links.to(ip)
                if link is not None:
                    link.send(ConsensusEnvelope(_encode(message)))
            case events.Persist(token, values):
                self._local_state.start_task(self._persist(token, values))
            case events.Answer(request, result):
                future = self._writes.get(request)
                if future is not None and not future.done():
                    future.set_result(result)
            case events.Committed(revision, document):
                self._listener.committed(revision, document)
            case events.LeadershipGained(epoch):
                logger.info("became primary in epoch {}", epoch)
                self._listener.leadership_changed(True)
            case events.LeadershipLost():
                logger.info("no longer primary")
                self._listener.leadership_changed(False)

    async def _persist(self, token: int, values: Mapping[str, bytes]) -> None:
        try:
            await self._storage.put(values)
        except StorageError as error:
            logger.warning("write of consensus state to disk failed: {}", error)
            self.feed(events.PersistFailed(token))
            return
        except Exception as error:  # the core would wait for the write's result forever
            self._stop_after_failure(error)
            return
        self.feed(events.Persisted(token))
