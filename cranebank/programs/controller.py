"""A controller, assembled: the cores, the links, the disk and the API server of one control process.

All decisions are in cores free of I/O; here events are handed to them and what they ask for is done, in order. A
controller answers only what its consensus core allows at that time: changes and reading back under the primary's
lease, ends of backends with a majority. Everything runs on the loop that it is made in.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from loguru import logger

from cranebank.control import events
from cranebank.control.consensus import ConsensusCore
from cranebank.control.delivery import Delivery, PendingAcks
from cranebank.control.epochs import ip_of
from cranebank.control.operator_api import OperatorApi
from cranebank.control.registry import Registry
from cranebank.control.tally_api import TallyApi
from cranebank.control.web import Server
from cranebank.programs.consensus_driver import ConsensusDriver
from cranebank.programs.controller_links import ControllerLinks, send_deliveries
from cranebank.programs.controller_protocol import ControllerProtocol
from cranebank.programs.controller_status import overview
from cranebank.programs.local_state import LAST_S, LocalState, NoDisk, Storage
from cranebank.programs.registry_service import RegistryService, wait_for_acks
from cranebank.programs.settings import NodeSettings, SettingsError
from cranebank.programs.stage_balancer_driver import StageBalancerDriver
from cranebank.programs.tally_service import TallyDisk, TallyService
from cranebank.transport.links import LINK_HEARTBEAT_INTERVAL_S, Link, listen
from cranebank.transport.messages import Backend, ConfigAck, Message

TICK_S = 0.05
REGISTRY_S = 0.5
ALONE_S = 1.0  # without any other controller for so long, the settings file is read again
SUCCESSOR_S = 1.0  # how long a primary that ends waits for another one to send callers on to
FINISH_S = 2.0  # for the calls under way when the process ends
END_MARGIN_S = 1.0  # of the grace period, left over at the end
PRIMARY_HEARD_S = 2 * LINK_HEARTBEAT_INTERVAL_S  # callers are sent on only to a primary heard from within this time


class Controller:
    """One control process: the plane of its API, and its time."""

    def __init__(
        self,
        settings: NodeSettings,
        make_consensus: Callable[[float, Random], ConsensusCore],
        storage: Storage,
        random: Random,
        reload: Callable[[], NodeSettings],
        published: tuple[int, bytes] | None = None,
        recalled: tuple[Backend, ...] = (),
        tally_disk: TallyDisk | None = None,
    ) -> None:
        """``make_consensus`` makes the consensus core; ``published`` is the configuration that was published last, and
        ``recalled`` the registry, both of an earlier life, from the disk. Without ``tally_disk`` no add lasts."""
        self._loop = asyncio.get_running_loop()
        self._settings, self._reload = settings, reload
        life = random.getrandbits(48)
        now = self.now()
        self._consensus = make_consensus(now, random)
        self._links = ControllerLinks(settings)
        self._local_state = LocalState(storage, now)
        self._driver = ConsensusDriver(self._consensus, storage, self._local_state, self._links, self, self.now)
        self.broken = self._driver.broken  # the consensus core found its own state wrong
        self._delivery = Delivery(settings.node_name, random, self._driver.is_current)
        self._registry_service = RegistryService(
            settings, self.now, self._consensus, self._links, self._delivery, self._local_state, recalled, random
        )
        self.tallies = TallyService(settings, tally_disk or TallyDisk({}, NoDisk()), self.now, self._links, random)
        self._protocol = ControllerProtocol(
            settings,
            life,
            self.now,
            self._consensus,
            self._driver,
            self._links,
            self._delivery,
            self._registry_service,
            self.tallies,
            self._publish,
        )
        self.stage_balancer_driver = StageBalancerDriver(
            settings,
            self.now,
            self._consensus,
            self._driver.holds_lease,
            self.registry,
            self._protocol.loads.total,
            self._tell_proxies,
            lambda intents: self._driver.feed(events.SetIntents(intents)),
        )
        self._tell_evacuations()
        self._api = Server((*OperatorApi(self).calls(), *TallyApi(self.tallies).calls()), self.now)
        self._linked_at = now  # when another controller was last linked
        self._reloaded_at = now
        self._is_retiring = False
        self._timers: list[asyncio.TimerHandle] = []
        self._link_server: asyncio.Server | None = None
        if self._consensus.current is not None:
            self._publish(*self._consensus.current[:2])
        elif published is not None:  # goes out as soon as it is known to be current
            self._delivery.committed(now, *published)

    async def start(self) -> None:
        """Listen and dial."""
        self._link_server = await listen(self._protocol, self._settings.ip, self._settings.link_port)
        self._tick()
        self._registry_tick()
        self.stage_balancer_driver.start()
        ip, _, port = self._settings.binds.get(
            "control_addr", f"{self._settings.ip}:{self._settings.control_port}"
        ).rpartition(":")
        await self._api.start(ip, int(port))

    async def stop(self) -> None:
        """Hand over, finish the calls under way, and end."""
        if self._is_retiring:
            return
        self._is_retiring = True
        self._driver.feed(events.Retire())
        successor_by = self.now() + SUCCESSOR_S
        await self._until(lambda: self._may_end(successor_by), self._handover_s())
        self._api.stop()
        await self._until(lambda: self._api.is_idle, FINISH_S)
        self.stage_balancer_driver.stop()
        for timer in self._timers:
            timer.cancel()
        if self._link_server is not None:
            self._link_server.close()
        self._links.stop()
        for link in list(self._delivery.peers):
            if isinstance(link, Link):
                link.close()
        self._api.abort()
        await self._local_state.close(self.registry.all_records())
        await self.tallies.close()
        await asyncio.sleep(0)

    def _handover_s(self) -> float:
        """How long a member that ends may stay to hand over what it holds."""
        return max(SUCCESSOR_S, self._settings.bounds.grace_s - FINISH_S - LAST_S - END_MARGIN_S)

    def _may_end(self, successor_by: float) -> bool:
        now = self.now()
        return self._consensus.may_shut_down(now) and (self._has_successor() or now >= successor_by)

    def _has_successor(self) -> bool:
        return not self.holds_lease() and self._consensus.status(self.now()).primary_ip not in {"", self._settings.ip}

    async def _until(self, condition: Callable[[], bool], seconds: float) -> None:
        end = self.now() + seconds
        while not condition() and self.now() < end:
            await asyncio.sleep(0.02)

    def reload(self) -> None:
        """Read the settings file again: its seeds are where other controllers are to be found."""
        self._reloaded_at = self.now()
        try:
            self._settings = self._protocol.settings = self._reload()
        except SettingsError as error:
            logger.warning("{}", error)
            return
        self._protocol.dial()

    # The plane of the API.

    @property
    def registry(self) -> Registry:
        """The registry core."""
        return self._registry_service.registry

    def now(self) -> float:
        """The steady clock."""
        return self._loop.time()

    def holds_lease(self) -> bool:
        """Whether this is the primary, by a lease that still runs."""
        return self._driver.holds_lease()

    def primary(self) -> str | None:
        """IP of the primary, if it is another controller that was heard lately and is known to lead: the record names
        also one that is dead or cut off."""
        now = self.now()
        found = self._consensus.status(now).primary_ip
        if not found or found == self._settings.ip or not self._driver.in_contact(now):
            return None
        link = self._links.to(found)
        return found if link is not None and now - link.last_received_at < PRIMARY_HEARD_S else None

    def control_port(self) -> int:
        """The port of all controllers."""
        return self._settings.control_port

    def current(self) -> tuple[int, bytes, bytes] | None:
        """The committed configuration."""
        return self._consensus.current

    def known_call(self, digest: bytes) -> int | None:
        """The revision that this call put in force, if that is still known."""
        return self._consensus.known_call(digest)

    def may_be_forgotten(self, revision: int) -> bool:
        """Whether a call of this revision may have been put in force and no longer be known."""
        return self._consensus.may_be_forgotten(revision)

    async def write(self, base: int, revision: int, document: bytes, digest: bytes) -> events.Result:
        """Put a configuration in force; the consensus core's result."""
        return await self._driver.write(base, revision, document, digest)

    def await_revision(self, revision: int) -> PendingAcks:
        """Acknowledgements of the linked proxies' having a revision in force."""
        return self._delivery.await_revision(revision)

    def knows_zone(self, zone: str) -> bool:
        """Whether the settings or a known backend name this zone, or it is evacuated."""
        if zone == self._settings.zone or zone in self._settings.zones or zone in self.evacuated():
            return True
        return any(record.zone == zone for record in self.registry.records.values())

    def evacuated(self) -> tuple[str, ...]:
        """The zones that the newest record known here names as evacuated."""
        return self._consensus.status(self.now()).evacuated

    async def evacuate(self, zone: str, is_start: bool) -> events.Result:
        """Evacuate a zone, or take it back; the consensus core's result. Linked proxies are told of it then."""
        result = await self._driver.evacuate(zone, is_start)
        self._tell_evacuations()
        return result

    def await_evacuations(self) -> PendingAcks:
        """Acknowledgements of the linked proxies' having the newest evacuations in force."""
        return self._delivery.await_evacuations()

    async def wait_for_acks(self, acks: PendingAcks, seconds: float) -> None:
        """Wait for these acknowledgements, no longer than this."""
        await wait_for_acks(acks, seconds)

    async def confirm_ending(self, backend_id: str, seconds: float) -> bool:
        """Whether a majority of the controllers has confirmed in time that this backend drains or is gone."""
        return await self._registry_service.confirm_ending(backend_id, seconds)

    def is_isolated(self) -> bool:
        """Whether neither another controller nor a proxy has been heard for a while."""
        return self._registry_service.is_isolated

    def publish_registry(self, at_once: bool = True) -> None:
        """Tell proxies and controllers what is news in the registry; unless ``at_once``, with what comes next."""
        self._registry_service.publish(at_once)

    def log_state(self) -> str:
        """What each log line tells of this controller."""
        return f"epoch={self._consensus.status(self.now()).epoch} configuration={self._delivery.revision}"

    def stage_loads(self) -> dict[str, float]:
        """What proxies ask of each stage of all services, in erlangs."""
        loads = self._protocol.loads.total(self.now()).values()
        return {"prefill": sum(load.prefill for load in loads), "decode": sum(load.decode for load in loads)}

    @property
    def published_revision(self) -> int:
        """The revision of the configuration that goes out to proxies; 0: none does yet."""
        return self._delivery.revision

    def overview(self) -> dict[str, Any]:
        """The state, for people."""
        status = self._consensus.status(self.now())
        return overview(
            self._settings.node_name,
            status,
            self.holds_lease(),
            self._protocol.known_controllers(),
            self._delivery,
            self.registry,
            self.tallies,
        )

    @property
    def writes(self) -> Mapping[str, int]:
        """Writes since the start, by kind of result."""
        return self._driver.results

    # What the consensus core decided.

    def committed(self, revision: int, document: bytes) -> None:
        """This configuration is in force."""
        self._publish(revision, document)
        send_deliveries(self._delivery)

    def _tell_proxies(self, message: Message) -> None:
        """Send to every proxy that is linked here."""
        self._delivery.send_to_proxies(message)
        send_deliveries(self._delivery)

    def _tell_evacuations(self) -> None:
        """Tell linked proxies what the newest record known here says of evacuated zones, if that is news."""
        status = self._consensus.status(self.now())
        before = self._delivery.evacuations
        if status.evacuation_number <= before.number:
            return
        self._delivery.update_evacuations(status.evacuation_number, status.evacuated)
        send_deliveries(self._delivery)
        for zone in sorted({*before.zones} - {*status.evacuated}):
            self._registry_service.zone_returned(zone)

    def leadership_changed(self, is_primary: bool) -> None:
        """This controller acts as primary from now on, or does so no longer."""
        self._delivery.set_primary(self.now(), is_primary)
        send_deliveries(self._delivery)

    def _publish(self, revision: int, document: bytes) -> None:
        """A committed configuration, from the consensus core or from a controller that passed it on."""
        if self._delivery.committed(self.now(), revision, document):
            self._links.broadcast(ConfigAck(revision))
            self._local_state.keep_published(revision, document)

    # Time.

    def _tick(self) -> None:
        self._timers[:1] = [self._loop.call_later(TICK_S, self._tick)]
        self._driver.feed(events.Tick())
        self.publish_registry()
        self._delivery.tick(self.now())
        self._tell_evacuations()
        send_deliveries(self._delivery)
        self.tallies.tick()

    def _registry_tick(self) -> None:
        self._timers[1:] = [self._loop.call_later(REGISTRY_S, self._registry_tick)]
        now = self.now()
        self._look_for_controllers(now)
        own = {self._settings.ip}
        members = {ip_of(member) for member in self._consensus.status(now).members}
        self.tallies.set_replicas(members - own, self._protocol.known_controllers() - own)
        self._registry_service.tick(now)
        self.publish_registry()
        self._local_state.keep_registry(now, self.registry.all_records, len(self.registry.records))
        self._protocol.dial()
        self._api.sweep()

    def _look_for_controllers(self, now: float) -> None:
        """Where none has been linked for a while, the settings file may name others by now."""
        others = self._protocol.known_controllers() - {self._settings.ip}
        if not others or any(self._links.to(ip) is not None for ip in others):
            self._linked_at = now
        elif min(now - self._linked_at, now - self._reloaded_at) > ALONE_S and not self._is_retiring:
            self.reload()
