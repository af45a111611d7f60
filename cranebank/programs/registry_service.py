"""A controller's registry on its links: publishes changes, and confirms that a backend is draining or gone.

A drain or leave is confirmed to its caller only once it is on the disks of a majority of the controllers, this one
included. Any later majority then has it, whichever controllers were killed or lost power. The linked proxies are
awaited as well, but only within the caller's timeout. Each connection to a controller begins with the whole registry.

Heartbeats received and changes are also sent, by way of proxies, to controllers without a direct connection: a backend
whose heartbeats reach only the other side of a partition is still alive.
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

PUSH_BATCH_S = 0.05  # changes within this time after a push are sent together
SYNC_INTERVAL_S = 1.0  # interval at which other controllers are told which backends sent heartbeats
MAJORITY_TIMEOUT_S = 0.45  # for a majority's acknowledgements; leaves the caller time to try another controller
ISOLATION_TIMEOUT_S = 1.0  # without contact to a controller or proxy for so long, heartbeats received here reach nobody
# After a longer gap between ticks the process was suspended, and reads pending heartbeats before it expires backends.
SUSPENSION_THRESHOLD_S = 1.5


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
        stored_backends: Iterable[Backend],
        random: Random,
    ) -> None:
        self._ip = settings.ip
        self._now, self._consensus, self._links = now, consensus, links
        self._delivery, self._local_state = delivery, local_state
        started_at = now()
        self.registry = Registry(started_at, settings.beat_ms / 1000)
        self.registry.restore(started_at, stored_backends)
        self._replication = RegistryReplication(settings.ip)
        self._relay = RegistryRelay(delivery, random)
        self._seed_ips = settings.seed_ips
        bounds = settings.bounds
        self._permits = PermitIssuer(
            started_at, random, settings.ip, settings.tolerance.machines, RateBound(bounds.cold_over, bounds.cold_slack)
        )
        self._limits_revision = 0  # revision of the configuration that the limits were read from
        self._endings: dict[str, PendingAcks] = {}
        self._published_at = started_at - PUSH_BATCH_S
        self._synced_at = 0.0
        self._last_tick_at = self._last_connected_at = started_at

    def publish(self, at_once: bool = True) -> None:
        """Send changes of the registry to proxies and controllers.

        Unless ``at_once``, changes right after a push wait for the next tick, so that many changes make one push.
        """
        now = self._now()
        if not at_once and now - self._published_at < PUSH_BATCH_S:
            return
        self._read_limits()
        changed = self.registry.with_cold_left(now, self.registry.changes())
        if not changed:
            return
        for record in changed:
            logger.info(
                "backend {} (stage {}, service {}, zone {}): {}{}",
                record.id,
                record.stage,
                record.target,
                record.zone,
                record.phase,
                f", cold for {record.cold_left_ms} ms" if record.cold_left_ms else "",
            )
        self._published_at, self._local_state.registry_changed = now, True
        acks = self._delivery.push_backends(changed)
        endings = [record.id for record in changed if record.phase in ENDING_PHASES]
        if not acks.done:
            self._endings.update(dict.fromkeys(endings, acks))
        self._lease_permits(now)
        send_deliveries(self._delivery)
        number = self._replication.advance() if endings else 0
        self._send_to_controllers(RegistrySync(changed, (), number))
        if number:
            self._local_state.start_task(self._write_own_endings(number))

    def _send_to_controllers(self, sync: RegistrySync) -> None:
        self._links.broadcast(sync)
        self._relay_to_unreached(sync)

    def _relay_to_unreached(self, sync: RegistrySync) -> None:
        for ip in self._links.unreached():
            self._relay.send(ip, sync)

    def merge(self, link: Link, sync: RegistrySync) -> None:
        """Apply another controller's records and push changes; acknowledge drains and leaves once they are stored."""
        self._apply_sync(link.peer, sync)
        if sync.number and self.registry.has_all_endings(sync.backends):
            self._local_state.start_task(self._write_and_acknowledge(link, sync.number))

    async def _write_and_acknowledge(self, link: Link, number: int) -> None:
        if await self._local_state.write_endings(self.registry.endings()):
            link.send(RegistryAck(number))

    async def _write_own_endings(self, number: int) -> None:
        if await self._local_state.write_endings(self.registry.endings()):
            self._replication.acknowledge(self._ip, number, self._member_ips())

    def merge_relayed(self, link: Link, source: str, sync: RegistrySync) -> None:
        """Apply a message from an unconnected controller that was relayed by the proxy on this link."""
        self._relay.received(self._now(), source, link)
        self._apply_sync(source, sync)

    def _apply_sync(self, source: str, sync: RegistrySync) -> None:
        now = self._now()
        self.registry.merge(now, sync.backends)
        requested_ids = self.registry.merge_remote_heartbeats(now, sync.heard)
        self.publish()
        answers = self.registry.with_cold_left(now, self.registry.records_of(sync.requested_ids))
        if requested_ids or answers:
            self._send_to(source, RegistrySync(answers, requested_ids=requested_ids))

    def _send_to(self, ip: str, sync: RegistrySync) -> None:
        link = self._links.to(ip)
        if link is not None:
            link.send(sync)
        else:
            self._relay.send(ip, sync)

    def merge_proxy_records(self, records: Iterable[Backend]) -> tuple[Backend, ...]:
        """Apply the records of a proxy that has just connected.

        Returns what to send it: all records, and those of its own that no controller confirms.
        """
        now = self._now()
        unconfirmed = self.registry.merge_proxy_records(
            now, records, all(self._is_in_contact(now, ip) for ip in self._member_ips())
        )
        self.publish()
        return (*self.registry.with_cold_left(now, self.registry.all_records()), *unconfirmed)

    def full_sync(self) -> RegistrySync:
        """Return all records, as sent at the start of a connection to a controller."""
        records = self.registry.with_cold_left(self._now(), self.registry.all_records())
        return RegistrySync(records, (), self._replication.number)

    def mark_zone_cold(self, zone: str) -> None:
        """Treat a zone's backends as cold after its evacuation was finished, and issue permits for them."""
        self._read_limits()
        self.registry.mark_zone_cold(self._now(), zone)
        self.publish()

    def report_clock(self, link: Hashable, clock: float) -> None:
        """Record the clock that the proxy on this link reported; 0 means that it reported none."""
        if clock > 0:
            self._permits.report_clock(self._now(), link, clock)

    def forget_clock(self, link: Hashable) -> None:
        """Drop the clock of a link that is down."""
        self._permits.forget(link)

    def _read_limits(self) -> None:
        """Read the limits of cold backends from the configuration that is published to proxies."""
        if self._delivery.revision == self._limits_revision:
            return
        self._limits_revision = self._delivery.revision
        try:
            self.registry.limits = read_limits(self._delivery.document)
        except msgspec.MsgspecError as error:
            logger.warning("cannot read the limits of cold backends from the configuration: {}", error)

    def _lease_permits(self, now: float) -> None:
        if not self.registry.limits:
            return
        cold = self.registry.cold(now)
        if cold:
            controllers = {self._ip, *self._seed_ips} | self._consensus.known_ips() | self._links.accepted_ips
            leases = self._permits.hand_out(now, cold, controllers)
            for link, permits in leases:
                self._delivery.send_to_proxy(link, permits)
            if leases:
                backends = sorted({permits.backend for _, permits in leases})
                total = sum(permits.permits for _, permits in leases)
                logger.info("leased {} warm-up permits for cold backends {}", total, ", ".join(backends))

    def link_lost(self, ip: str) -> Link | None:
        """Handle the loss of a connection to this controller.

        Whatever was in transit may be lost: the whole registry is sent on the remaining connection, if any, which is
        returned.
        """
        other = self._links.to(ip)
        if other is None:
            self._replication.forget(ip)
        else:
            other.send(self.full_sync())
        return other

    def acknowledged(self, ip: str, number: int) -> None:
        """Record that another controller has stored all changes up to this number."""
        self._replication.acknowledge(ip, number, self._member_ips())

    async def confirm_ending(self, backend_id: str, seconds: float) -> bool:
        """Publish that this backend is draining or gone, and wait for confirmation.

        Returns whether a majority of the controllers confirms in time. The linked proxies are awaited for at most
        ``seconds``.
        """
        deadline = self._now() + seconds
        self.publish()
        acks = self._endings.get(backend_id)
        if not await self._confirmed_by_majority(self._replication.number, min(seconds, MAJORITY_TIMEOUT_S)):
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
                logger.info("a drain or leave was not confirmed by a majority within {} s", seconds)
            finally:
                self._replication.cancel(confirmed.set)
        return self._replication.is_confirmed(number, self._member_ips())

    def tick(self, now: float) -> None:
        """Expire silent backends, and tell other controllers which heartbeats arrived here."""
        if self._is_connected(now):
            self._last_connected_at = now
        self.registry.expire(
            now, has_contact=self._has_majority_contact(now) and now - self._last_tick_at < SUSPENSION_THRESHOLD_S
        )
        self._last_tick_at = now
        self._read_limits()
        self._lease_permits(now)
        send_deliveries(self._delivery)
        if now - self._synced_at >= SYNC_INTERVAL_S:
            self._synced_at = now
            self.publish()  # a heartbeat's change goes out before its number: after it, it would be dropped as stale
            sync = RegistrySync((), self.registry.pop_heartbeats(now))
            if sync.heard:
                self._links.broadcast(sync)
            self._relay_to_unreached(sync)  # even without heartbeats: it shows that this controller is running
        self._endings = {key: acks for key, acks in self._endings.items() if not acks.done}

    @property
    def is_isolated(self) -> bool:
        """Whether heartbeats received here reach no other controller and no proxy, although other controllers exist."""
        return self._now() - self._last_connected_at > ISOLATION_TIMEOUT_S

    def _is_connected(self, now: float) -> bool:
        others = self._member_ips() - {self._ip}
        return not others or bool(self._delivery.proxies) or any(self._is_in_contact(now, ip) for ip in others)

    def _member_ips(self) -> set[str]:
        return {ip_of(member) for member in self._consensus.status(self._now()).members}

    def _has_majority_contact(self, now: float) -> bool:
        """Whether this controller is in contact with a majority of the members, directly or by way of proxies."""
        members = self._member_ips()
        reached = sum(self._is_in_contact(now, ip) for ip in members)
        return not members or 2 * reached > len(members)

    def _is_in_contact(self, now: float, ip: str) -> bool:
        return ip == self._ip or self._links.to(ip) is not None or self._relay.is_heard(now, ip)


async def wait_for_acks(acks: PendingAcks, seconds: float) -> None:
    """Wait until these acknowledgements are complete, for at most ``seconds``."""
    if acks.done:
        return
    future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    previous = acks.on_done

    def done() -> None:
        if previous is not None:
            previous()
        if not future.done():
            future.set_result(None)

    acks.on_done = done
    try:
        async with asyncio.timeout(seconds):
            await future
    except TimeoutError:
        logger.info("{} proxies did not acknowledge a push within {} s", acks.missing, seconds)
