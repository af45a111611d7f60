"""The registry of a controller on its links: publishing changes, and confirming that a backend drains or is gone.

An end of a backend is confirmed to its caller only when it is on the disks of a majority of the controllers, this one
counted: so no majority that forms later lacks it, whatever was killed or lost power. The linked proxies are waited for
as well, but not for longer than the caller's patience. Each connection to a controller begins with the whole registry.

Who was heard, and what changed, also goes to controllers that there is no connection to, by way of proxies: a backend
whose heartbeats reach the other side of a partition only is alive all the same.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable, Iterable
from random import Random

import msgspec
from loguru import logger

from cranebank.control.consensus import ConsensusCore
from cranebank.control.delivery import Delivery, PendingAcks
from cranebank.control.epochs import ip_of
from cranebank.control.registry import ENDING_PHASES, Registry
from cranebank.control.replication import RegistryReplication
from cranebank.control.warm_up import PermitIssuer, RateBound
from cranebank.membership.warm_up import read_limits
from cranebank.programs.controller_links import ControllerLinks, send_deliveries
from cranebank.programs.local_state import LocalState
from cranebank.programs.registry_relay import RegistryRelay
from cranebank.programs.settings import NodeSettings
from cranebank.transport.links import Link
from cranebank.transport.messages import Backend, RegistryAck, RegistrySync

BATCH_S = 0.05  # changes that come within this time of the last push go out together
SYNC_S = 1.0  # between tellings to other controllers of who was heard
MAJORITY_S = 0.45  # for a majority's acknowledgements: a caller without them has time left to go on to another
ISOLATED_S = 1.0  # without any other controller or proxy for so long, nobody hears what this one takes
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
        random: Random,
    ) -> None:
        self._ip = settings.ip
        self._now, self._consensus, self._links = now, consensus, links
        self._delivery, self._local_state = delivery, local_state
        began = now()
        self.registry = Registry(began, settings.beat_ms / 1000)
        self.registry.restore(began, recalled)
        self._replication = RegistryReplication(settings.ip)
        self._relay = RegistryRelay(delivery, random)
        self._seed_ips = settings.seed_ips
        bounds = settings.bounds
        self._permits = PermitIssuer(
            began, random, settings.ip, settings.tolerance.machines, RateBound(bounds.cold_over, bounds.cold_slack)
        )
        self._limits_revision = 0  # of the configuration whose limits are known
        self._endings: dict[str, PendingAcks] = {}
        self._published_at = began - BATCH_S
        self._synced_at = 0.0
        self._looked_at = self._heard_by_others_at = began

    def publish(self, at_once: bool = True) -> None:
        """Tell proxies and controllers what is news in the registry. What need not go at once waits for the next tick
        where something went just before: many that come together make one push."""
        now = self._now()
        if not at_once and now - self._published_at < BATCH_S:
            return
        self._read_limits()
        news = self.registry.as_of(now, self.registry.changes())
        if not news:
            return
        for record in news:
            logger.info(
                "backend {} ({} of {}, {}): {}{}",
                record.id,
                record.stage,
                record.target,
                record.zone,
                record.phase,
                f", cold for {record.cold_left_ms} ms" if record.cold_left_ms else "",
            )
        self._published_at, self._local_state.registry_changed = now, True
        acks = self._delivery.push_backends(news)
        endings = [record.id for record in news if record.phase in ENDING_PHASES]
        if not acks.done:
            self._endings.update(dict.fromkeys(endings, acks))
        self._hand_out_permits(now)
        send_deliveries(self._delivery)
        number = self._replication.advance() if endings else 0
        self._tell_all(RegistrySync(news, (), number))
        if number:
            self._local_state.start_task(self._keep_own(number))

    def _tell_all(self, sync: RegistrySync) -> None:
        self._links.broadcast(sync)
        self._relay_to_unreached(sync)

    def _relay_to_unreached(self, sync: RegistrySync) -> None:
        for ip in self._links.unreached():
            self._relay.send(ip, sync)

    def merge(self, link: Link, sync: RegistrySync) -> None:
        """Take another controller's records, push what is news, and acknowledge ends once they are on this disk."""
        self._take(link.peer, sync)
        if sync.number and self.registry.has_ended(sync.backends):
            self._local_state.start_task(self._keep_and_acknowledge(link, sync.number))

    async def _keep_and_acknowledge(self, link: Link, number: int) -> None:
        if await self._local_state.keep_endings(self.registry.endings()):
            link.send(RegistryAck(number))

    async def _keep_own(self, number: int) -> None:
        if await self._local_state.keep_endings(self.registry.endings()):
            self._replication.acknowledge(self._ip, number, self._member_ips())

    def merge_relayed(self, link: Link, source: str, sync: RegistrySync) -> None:
        """Take what a controller without a connection to this one has sent by way of the proxy on this link."""
        self._relay.received(self._now(), source, link)
        self._take(source, sync)

    def _take(self, source: str, sync: RegistrySync) -> None:
        now = self._now()
        self.registry.merge(now, sync.backends)
        requested_ids = self.registry.heard(now, sync.heard)
        self.publish()
        answers = self.registry.as_of(now, self.registry.records_of(sync.requested_ids))
        if requested_ids or answers:
            self._tell(source, RegistrySync(answers, requested_ids=requested_ids))

    def _tell(self, ip: str, sync: RegistrySync) -> None:
        link = self._links.to(ip)
        if link is not None:
            link.send(sync)
        else:
            self._relay.send(ip, sync)

    def merge_proxy_records(self, records: Iterable[Backend]) -> tuple[Backend, ...]:
        """What a proxy that has just come knows; returns what it is to be told: all records, and which of its own
        nobody vouches for."""
        now = self._now()
        stray = self.registry.merge_proxy_records(now, records, all(self._hears(now, ip) for ip in self._member_ips()))
        self.publish()
        return (*self.registry.as_of(now, self.registry.all_records()), *stray)

    def whole(self) -> RegistrySync:
        """All records: what a connection to a controller begins with."""
        records = self.registry.as_of(self._now(), self.registry.all_records())
        return RegistrySync(records, (), self._replication.number)

    def zone_returned(self, zone: str) -> None:
        """A zone is taken back from an evacuation: its backends count as cold, and permits for them go out."""
        self._read_limits()
        self.registry.zone_returned(self._now(), zone)
        self.publish()

    def report_clock(self, link: Hashable, clock: float) -> None:
        """The proxy on this link told its clock; 0: it did not."""
        if clock > 0:
            self._permits.report_clock(self._now(), link, clock)

    def forget_clock(self, link: Hashable) -> None:
        """The link is over."""
        self._permits.forget(link)

    def _read_limits(self) -> None:
        """Of the configuration that goes out to proxies."""
        if self._delivery.revision == self._limits_revision:
            return
        self._limits_revision = self._delivery.revision
        try:
            self.registry.limits = read_limits(self._delivery.document)
        except msgspec.MsgspecError as error:
            logger.warning("limits of cold backends: {}", error)

    def _hand_out_permits(self, now: float) -> None:
        if not self.registry.limits:
            return
        cold = self.registry.cold(now)
        if cold:
            controllers = {self._ip, *self._seed_ips} | self._consensus.known_ips() | self._links.accepted_ips
            leased = self._permits.hand_out(now, cold, controllers)
            for link, permits in leased:
                self._delivery.tell(link, permits)
            if leased:
                backends = sorted({permits.backend for _, permits in leased})
                total = sum(permits.permits for _, permits in leased)
                logger.info("{} permits for cold backends leased: {}", total, ", ".join(backends))

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
        if self._is_heard_by_others(now):
            self._heard_by_others_at = now
        self.registry.expire(now, in_touch=self._hears_most(now) and now - self._looked_at < STOOD_S)
        self._looked_at = now
        self._read_limits()
        self._hand_out_permits(now)
        send_deliveries(self._delivery)
        if now - self._synced_at >= SYNC_S:
            self._synced_at = now
            self.publish()  # what a heartbeat changed goes out ahead of its number: behind it, it would be old news
            sync = RegistrySync((), self.registry.pop_heard(now))
            if sync.heard:
                self._links.broadcast(sync)
            self._relay_to_unreached(sync)  # also where nobody was heard: it shows that this controller runs
        self._endings = {key: acks for key, acks in self._endings.items() if not acks.done}

    @property
    def is_isolated(self) -> bool:
        """Whether nobody hears of heartbeats that this controller takes, though there are others that should."""
        return self._now() - self._heard_by_others_at > ISOLATED_S

    def _is_heard_by_others(self, now: float) -> bool:
        others = self._member_ips() - {self._ip}
        return not others or bool(self._delivery.proxies) or any(self._hears(now, ip) for ip in others)

    def _member_ips(self) -> set[str]:
        return {ip_of(member) for member in self._consensus.status(self._now()).members}

    def _hears_most(self, now: float) -> bool:
        """Whether more than half of the members are heard here, over a connection or by way of proxies."""
        members = self._member_ips()
        heard = sum(self._hears(now, ip) for ip in members)
        return not members or 2 * heard > len(members)

    def _hears(self, now: float, ip: str) -> bool:
        return ip == self._ip or self._links.to(ip) is not None or self._relay.is_heard(now, ip)


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
