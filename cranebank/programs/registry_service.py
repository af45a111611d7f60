"""The registry of a controller on its links: publishing changes, and confirming that a backend drains or is gone.

An end of a backend is confirmed to its caller only when a majority of the controllers has acknowledged it, this one
counted: so no majority that forms later lacks it. The linked proxies are waited for as well, but not for longer than
the caller's patience. Each connection to a controller begins with the whole registry.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from loguru import logger

from cranebank.control.consensus import ConsensusCore
from cranebank.control.delivery import Delivery, PendingAcks
from cranebank.control.epochs import ip_of
from cranebank.control.registry import ENDING, Registry
from cranebank.control.replication import RegistryReplication
from cranebank.programs.controller_links import ControllerLinks, send_deliveries
from cranebank.programs.local_state import LocalState
from cranebank.programs.settings import NodeSettings
from cranebank.transport.links import Link
from cranebank.transport.messages import Backend, RegistryAck, RegistrySync

BATCH_S = 0.05  # changes that come within this time of the last push go out together
SYNC_S = 1.0  # between tellings to other controllers of who was heard
MAJORITY_S = 0.45  # for a majority's acknowledgements: a caller without them has time left to go on to another
STOOD_S = 1.5  # without a look at the registry for so long, this process stood still: it hears first


class RegistryService:
    """The registry core, its replication to other controllers, and its pushes to proxies."""

    def __init__(
        self,
        settings: NodeSettings,
        now: Callable[[], float],
        consensus: ConsensusCore,
        links: ControllerLinks,
        delivery: Delivery,
        local_state: LocalState,
        recalled: Iterable[Backend],
    ) -> None:
        self._ip = settings.ip
        self._now, self._consensus, self._links = now, consensus, links
        self._delivery, self._local_state = delivery, local_state
        began = now()
        self.registry = Registry(began, settings.beat_ms / 1000)
        self.registry.restore(began, recalled)
        self._replication = RegistryReplication(settings.ip)
        self._endings: dict[str, PendingAcks] = {}
        self._published_at = began - BATCH_S
        self._synced_at = 0.0
        self._looked_at = began

    def publish(self, at_once: bool = True) -> None:
        """Tell proxies and controllers what is news in the registry. What need not go at once waits for the next tick
        where something went just before: many that come together make one push."""
        now = self._now()
        if not at_once and now - self._published_at < BATCH_S:
            return
        news = self.registry.changes()
        if not news:
            return
        for record in news:
            logger.info(
                "backend {} ({} of {}, {}): {}", record.id, record.stage, record.target, record.zone, record.phase
            )
        self._published_at, self._local_state.registry_changed = now, True
        acks = self._delivery.push_backends(news)
        endings = [record.id for record in news if record.phase in ENDING]
        if not acks.done:
            self._endings.update(dict.fromkeys(endings, acks))
        send_deliveries(self._delivery)
        self._links.broadcast(RegistrySync(news, (), self._replication.advance() if endings else 0))

    def merge(self, link: Link, sync: RegistrySync) -> None:
        """Take another controller's records, push what is news, and then acknowledge them."""
        now = self._now()
        self.registry.merge(now, sync.backends)
        self.registry.heard(now, sync.heard)
        self.publish()
        if sync.number and self.registry.has_ended(sync.backends):
            link.send(RegistryAck(sync.number))

    def greet(self, records: Iterable[Backend]) -> tuple[Backend, ...]:
        """What a proxy that has just come knows; returns what it is to be told: all records, and which of its own
        nobody vouches for."""
        stray = self.registry.greet(self._now(), records)
        self.publish()
        return (*self.registry.everything(), *stray)

    def whole(self) -> RegistrySync:
        """All records: what a connection to a controller begins with."""
        return RegistrySync(self.registry.everything(), (), self._replication.number)

    def link_lost(self, ip: str) -> Link | None:
        """A connection to this controller is over. The one that is left, if any, is sent what may have been lost."""
        other = self._links.to(ip)
        if other is None:
            self._replication.forget(ip)
        else:
            other.send(self.whole())
        return other

    def acknowledged(self, ip: str, number: int) -> None:
        """Another controller has taken all changes up to this number."""
        self._replication.acknowledge(ip, number, self._member_ips())

    async def confirm_ending(self, backend_id: str, seconds: float) -> bool:
        """Tell all that this backend drains or is gone. Whether a majority of the controllers has confirmed it in
        time; the linked proxies are waited for no longer than this."""
        deadline = self._now() + seconds
        self.publish()
        acks = self._endings.get(backend_id)
        if not await self._confirmed_by_majority(self._replication.number, min(seconds, MAJORITY_S)):
            return False
        if acks is not None:
            await wait_for_acks(acks, max(0.0, deadline - self._now()))
        return True

    async def _confirmed_by_majority(self, number: int, seconds: float) -> bool:
        if not self._replication.is_confirmed(number, self._member_ips()):
            confirmed = asyncio.Event()
            self._replication.when_confirmed(number, confirmed.set)
            try:
                async with asyncio.timeout(seconds):
                    await confirmed.wait()
            except TimeoutError:
                logger.info("a drain or leave is not confirmed by a majority in {} s", seconds)
            finally:
                self._replication.cancel(confirmed.set)
        return self._replication.is_confirmed(number, self._member_ips())

    def tick(self, now: float) -> None:
        """Expire the silent, and tell other controllers who was heard here."""
        self.registry.expire(now, in_touch=self._sees_most() and now - self._looked_at < STOOD_S)
        self._looked_at = now
        if now - self._synced_at >= SYNC_S:
            self._synced_at = now
            heard = self.registry.pop_heard(now)
            if heard:
                self._links.broadcast(RegistrySync((), heard))
        self._endings = {key: acks for key, acks in self._endings.items() if not acks.done}

    def _member_ips(self) -> set[str]:
        return {ip_of(member) for member in self._consensus.status(self._now()).members}

    def _sees_most(self) -> bool:
        """Whether more than half of the members are linked here."""
        members = self._member_ips()
        seen = sum(ip == self._ip or self._links.to(ip) is not None for ip in members)
        return not members or 2 * seen > len(members)


async def wait_for_acks(acks: PendingAcks, seconds: float) -> None:
    """Wait for these acknowledgements, no longer than this."""
    if acks.done:
        return
    future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    before = acks.on_done

    def done() -> None:
        if before is not None:
            before()
        if not future.done():
            future.set_result(None)

    acks.on_done = done
    try:
        async with asyncio.timeout(seconds):
            await future
    except TimeoutError:
        logger.info("{} proxies have not acknowledged in {} s", acks.missing, seconds)
