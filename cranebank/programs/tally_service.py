"""The asyncio end of the tallies: links to other controllers, the disk, and the calls that wait for an add.

A call is answered once its add is durable on enough replicas (`control.tallies.replica`); what isn't within WAIT_S ends
unclear, ahead of the caller's second. A disk in trouble is tried again, and meanwhile the copies of others count.
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
from cranebank.programs.local_state import LAST_S, Storage
from cranebank.programs.settings import NodeSettings
from cranebank.storage.records import StorageError

FILE = "tallies"
WAIT_S = 0.9
MOST_WAITING = 2000
DISK_RETRY_S = 0.2
CLOSE_LOOK_S = 0.01


class Counts(msgspec.Struct):
    """Calls since the start, by how they ended, and those that wait."""

    waiting: int = 0
    acknowledged: int = 0
    refused: int = 0
    unclear: int = 0


class TallyDisk(NamedTuple):
    """The file of the tallies: what was read from it, and where to write."""

    stored: Mapping[str, bytes]
    storage: Storage


class _Waiting(NamedTuple):
    number: int
    order: int  # of calls for the same add
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
        """Add once by this id; whether that is durable in time, or the bound because of which nothing was done."""
        if self.counts.waiting >= MOST_WAITING:
            self.counts.refused += 1
            return LimitReached("waiting", MOST_WAITING)
        placed = self._replica.add(self._now(), tally, call_id, amount)
        if isinstance(placed, LimitReached):
            self.counts.refused += 1
            return placed
        self._proceed()
        is_durable = await self._wait(placed.origin, placed.number)
        if is_durable and not self._replica.holds(placed):
            raise invariant_error("an acknowledged add is held", f"{placed}")
        self.counts.acknowledged += is_durable
        self.counts.unclear += not is_durable
        return is_durable

    def total(self, tally: str) -> int | None:
        """The sum of a tally; None where it can't be told yet."""
        return self._replica.total(self._now(), tally)

    def link_changed(self, ip: str) -> None:
        """A connection to this controller stands or is over; one may be left."""
        if self._links.to(ip) is None:
            self._replica.unlinked(ip)
        else:
            self._replica.linked(self._now(), ip)
        self._proceed()

    def receive(self, ip: str, message: Message) -> None:
        """Another controller told something."""
        self._replica.receive(self._now(), ip, message)
        self._proceed()

    def set_replicas(self, members: Collection[str], known: Collection[str]) -> None:
        """The IPs of the other controllers that vote, and of all others."""
        self._known = known
        self._replica.set_replicas(members, known)

    def tick(self) -> None:
        """Time passes."""
        links = [self._links.to(ip) for ip in self._known]
        self._replica.tick(self._now(), {link.peer: link.last_received_at for link in links if link is not None})
        self._proceed()

    @property
    def stats(self) -> TallyStats:
        """The state, for people and metrics."""
        return self._replica.stats

    async def close(self) -> None:
        """The last write; a disk that hangs holds up no end."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_S):
                while self._is_writing:
                    await asyncio.sleep(CLOSE_LOOK_S)
                self._is_closed = True
                await self._storage.close()
        self._is_closed = True
        self._tasks.cancel()

    def _proceed(self) -> None:
        """Send and write what is to be, and answer the calls whose adds are durable."""
        for ip, message in self._replica.pop_messages():
            link = self._links.to(ip)
            if link is not None:
                link.send(message)
        if not self._is_writing and not self._is_closed:
            values = self._replica.take_writes()
            if values:
                self._is_writing = True
                self._tasks.start(self._write(values))
        self._answer()

    async def _write(self, values: Mapping[str, bytes]) -> None:
        try:
            await self._storage.put(values)
        except StorageError as error:
            logger.warning("disk of the tallies: {}", error)
            await self._write_again_later()
        except Exception as error:  # the next write is another try, and what waits is told as unclear meanwhile
            report_unhandled("write of tallies", error)
            await self._write_again_later()
        else:
            self._replica.stored()
        self._is_writing = False
        self._proceed()

    async def _write_again_later(self) -> None:
        self._replica.refused()
        await asyncio.sleep(DISK_RETRY_S)

    async def _wait(self, origin: str, number: int) -> bool:
        """Wait until an add is durable; whether it is in time."""
        if self._replica.acknowledged_upto(self._now(), origin) >= number:
            return True
        waiting = _Waiting(number, next(self._order), asyncio.get_running_loop().create_future())
        heapq.heappush(self._waiting.setdefault(origin, []), waiting)
        self.counts.waiting += 1
        try:
            async with asyncio.timeout(WAIT_S):
                await waiting.done
        except TimeoutError:
            return False
        finally:
            self.counts.waiting -= 1
        return True

    def _answer(self) -> None:
        for origin, waiting in list(self._waiting.items()):
            upto = self._replica.acknowledged_upto(self._now(), origin)
            while waiting and (waiting[0].number <= upto or waiting[0].done.done()):
                done = heapq.heappop(waiting).done
                if not done.done():
                    done.set_result(None)
            if not waiting:
                del self._waiting[origin]


def replica_settings(settings: NodeSettings, random: Random) -> TallyReplicaSettings:
    """What a replica is to know of its deployment."""
    tolerance = settings.tolerance
    return TallyReplicaSettings(
        f"{random.getrandbits(64):016x}",
        settings.failure_domain(settings.zone),
        tolerance.machines + 1,
        (tolerance.regions or tolerance.zones) + 1,
        settings.is_first_start,
    )
