"""The tallies of a controller on its event loop: links to other controllers, the disk, and calls waiting for an add.

A call is answered once its add is durable on enough replicas (`control.tallies.replica`). An add that is not durable
within ACK_TIMEOUT_S is answered as unclear, before the caller's own timeout of a second. A failed write to the disk is
retried, and until it succeeds the copies on other controllers count.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import itertools
from collections.abc import Callable, Collection, Mapping
from random import Random
from typing import NamedTuple

import msgspec
from loguru import logger

from cranebank.background import BackgroundTasks, report_unhandled
from cranebank.control.tallies.replica import LimitReached, Message, TallyReplica, TallyReplicaSettings, TallyStats
from cranebank.invariants import invariant_error
from cranebank.programs.controller_links import ControllerLinks
from cranebank.programs.local_state import FINAL_WRITE_TIMEOUT_S, Storage
from cranebank.programs.settings import NodeSettings
from cranebank.storage.records import StorageError

FILE = "tallies"
ACK_TIMEOUT_S = 0.9
MAX_WAITING_CALLS = 2000
DISK_RETRY_S = 0.2
CLOSE_POLL_INTERVAL_S = 0.01


class Counts(msgspec.Struct):
    """Calls since the start, by outcome, and the calls that are waiting."""

    waiting: int = 0
    acknowledged: int = 0
    refused: int = 0
    unclear: int = 0


class TallyDisk(NamedTuple):
    """The tallies' file: the values read from it, and where to write them."""

    stored: Mapping[str, bytes]
    storage: Storage


class _Waiting(NamedTuple):
    number: int
    order: int  # breaks ties between calls for the same add
    done: asyncio.Future[None]


class TallyService:
    """The tallies of one controller."""

    def __init__(
        self, settings: NodeSettings, disk: TallyDisk, now: Callable[[], float], links: ControllerLinks, random: Random
    ) -> None:
        self._now, self._links, self._storage = now, links, disk.storage
        self._replica = TallyReplica(replica_settings(settings, random), disk.stored, now())
        self._waiting: dict[str, list[_Waiting]] = {}
        self._order = itertools.count()
        self._tasks = BackgroundTasks()
        self._known: Collection[str] = ()
        self._is_writing = self._is_closed = False
        self.counts = Counts()

    async def amend(self, tally: str, call_id: str, amount: int) -> bool | LimitReached:
        """Add ``amount`` once for this call id.

        Returns whether the add is durable in time, or the limit because of which nothing was added.
        """
        if self.counts.waiting >= MAX_WAITING_CALLS:
            self.counts.refused += 1
            return LimitReached("waiting", MAX_WAITING_CALLS)
        added = self._replica.add(self._now(), tally, call_id, amount)
        if isinstance(added, LimitReached):
            self.counts.refused += 1
            return added
        self._proceed()
        is_durable = await self._wait(added.origin, added.number)
        if is_durable and not self._replica.holds(added):
            raise invariant_error("an acknowledged add is held", f"{added}")
        self.counts.acknowledged += is_durable
        self.counts.unclear += not is_durable
        return is_durable

    def total(self, tally: str) -> int | None:
        """Return the sum of a tally, or None while it cannot be known yet."""
        return self._replica.total(self._now(), tally)

    def link_changed(self, ip: str) -> None:
        """Handle a link to this controller that has come up or gone down; another link may still be up."""
        if self._links.to(ip) is None:
            self._replica.unlinked(ip)
        else:
            self._replica.linked(self._now(), ip)
        self._proceed()

    def receive(self, ip: str, message: Message) -> None:
        """Handle a message from another controller."""
        self._replica.receive(self._now(), ip, message)
        self._proceed()

    def set_replicas(self, members: Collection[str], known: Collection[str]) -> None:
        """Set the IPs of the other controllers: those that vote, and all that are known."""
        self._known = known
        self._replica.set_replicas(members, known)

    def tick(self) -> None:
        """Handle the passing of time."""
        links = [self._links.to(ip) for ip in self._known]
        self._replica.tick(self._now(), {link.peer: link.last_received_at for link in links if link is not None})
        self._proceed()

    @property
    def stats(self) -> TallyStats:
        """Counts of the replica's state, for the status and the metrics."""
        return self._replica.stats

    async def close(self) -> None:
        """Finish the last write; a disk that hangs does not delay shutdown beyond FINAL_WRITE_TIMEOUT_S."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINAL_WRITE_TIMEOUT_S):
                while self._is_writing:
                    await asyncio.sleep(CLOSE_POLL_INTERVAL_S)
                self._is_closed = True
                await self._storage.close()
        self._is_closed = True
        self._tasks.cancel()

    def _proceed(self) -> None:
        """Send the replica's messages, start its writes, and answer calls whose adds are durable."""
        for ip, message in self._replica.pop_messages():
            link = self._links.to(ip)
            if link is not None:
                link.send(message)
        if not self._is_writing and not self._is_closed:
            values = self._replica.take_writes()
            if values:
                self._is_writing = True
                self._tasks.start(self._write(values))
        self._answer_durable()

    async def _write(self, values: Mapping[str, bytes]) -> None:
        try:
            await self._storage.put(values)
        except StorageError as error:
            logger.warning("write of tallies to disk failed: {}", error)
            await self._prepare_retry()
        except Exception as error:  # the next write retries; waiting calls end as unclear meanwhile
            report_unhandled("write of tallies", error)
            await self._prepare_retry()
        else:
            self._replica.stored()
        self._is_writing = False
        self._proceed()

    async def _prepare_retry(self) -> None:
        self._replica.refused()
        await asyncio.sleep(DISK_RETRY_S)

    async def _wait(self, origin: str, number: int) -> bool:
        """Wait until an add is durable; return whether that is in time."""
        if self._replica.acknowledged_upto(self._now(), origin) >= number:
            return True
        waiting = _Waiting(number, next(self._order), asyncio.get_running_loop().create_future())
        heapq.heappush(self._waiting.setdefault(origin, []), waiting)
        self.counts.waiting += 1
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                await waiting.done
        except TimeoutError:
            return False
        finally:
            self.counts.waiting -= 1
        return True

    def _answer_durable(self) -> None:
        for origin, waiting in list(self._waiting.items()):
            upto = self._replica.acknowledged_upto(self._now(), origin)
            while waiting and (waiting[0].number <= upto or waiting[0].done.done()):
                done = heapq.heappop(waiting).done
                if not done.done():
                    done.set_result(None)
            if not waiting:
                del self._waiting[origin]


def replica_settings(settings: NodeSettings, random: Random) -> TallyReplicaSettings:
    """Return the deployment's settings as the replica needs them."""
    tolerance = settings.tolerance
    return TallyReplicaSettings(
        f"{random.getrandbits(64):016x}",
        settings.failure_domain(settings.zone),
        tolerance.machines + 1,
        (tolerance.regions or tolerance.zones) + 1,
        settings.is_first_start,
    )
