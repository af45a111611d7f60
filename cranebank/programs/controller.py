"""One controller process: the cores, the links to other processes, the disk and the API server.

All decisions are made in cores without I/O; this module feeds them events and carries out the actions that they return,
in order. A controller answers only what its consensus core allows at that time: changes and reads of the configuration
under the primary's lease, drains and leaves of backends with a majority. Everything runs on the event loop on which the
controller is created.
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
from cranebank.programs.local_state import FINAL_WRITE_TIMEOUT_S, LocalState, NoDisk, Storage
from cranebank.programs.registry_service import RegistryService, wait_for_acks
from cranebank.programs.settings import NodeSettings, SettingsError
from cranebank.programs.stage_balancer_driver import StageBalancerDriver
from cranebank.programs.tally_service import TallyDisk, TallyService
from cranebank.transport.links import LINK_HEARTBEAT_INTERVAL_S, Link, listen
from cranebank.transport.messages import Backend, ConfigAck, Message
from cranebank.transport.revision import Revision

TICK_S = 0.05
REGISTRY_INTERVAL_S = 0.5
RELOAD_WITHOUT_LINKS_S = 1.0  # the settings file is read again after so long without a link to another controller
SUCCESSOR_TIMEOUT_S = 1.0  # how long a retiring primary waits for a successor to redirect callers to
OPEN_CALLS_TIMEOUT_S = 2.0  # for API calls in progress at shutdown
SHUTDOWN_MARGIN_S = 1.0  # part of the grace period that shutdown leaves unused
# Callers are redirected only to a primary that has sent something within this time.
PRIMARY_CONTACT_TIMEOUT_S = 2 * LINK_HEARTBEAT_INTERVAL_S


class Controller:
    """A controller process, as the API calls and the consensus driver see it."""

    def __init__(
        self,
        settings: NodeSettings,
        make_consensus: Callable[[float, Random], ConsensusCore],
        storage: Storage,
        random: Random,
        reload: Callable[[], NodeSettings],
        published: tuple[Revision, bytes] | None = None,
        stored_backends: tuple[Backend, ...] = (),
        tally_disk: TallyDisk | None = None,
    ) -> None:
        """``make_consensus`` creates the consensus core. ``published`` is the configuration published last and
        ``stored_backends`` the registry's records, both read from the disk after a restart. Without ``tally_disk`` adds
        to tallies are not durable."""
        self._loop = asyncio.get_running_loop()
        self._settings, self._reload = settings, reload
        life = random.getrandbits(48)
        now = self.now()
        self._consensus = make_consensus(now, random)
        self._links = ControllerLinks(settings)
        self._local_state = LocalState(storage, now)
        self._driver = ConsensusDriver(self._consensus, storage, self._local_state, self._links, self, self.now)
        self.broken = self._driver.broken  # set when the consensus core has failed
        self._delivery = Delivery(settings.node_name, random, self._driver.is_current)
        self._registry_service = RegistryService(
            settings, self.now, self._consensus, self._links, self._delivery, self._local_state, stored_backends, random
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
            self._send_to_proxies,
            lambda intents: self._driver.feed(events.SetIntents(intents)),
        )
        self._publish_evacuations()
        self._api = Server((*OperatorApi(self).calls(), *TallyApi(self.tallies).calls()), self.now)
        self._last_linked_at = now  # when a link to another controller was last up
        self._reloaded_at = now
        self._is_retiring = False
        self._timers: list[asyncio.TimerHandle] = []
        self._link_server: asyncio.Server | None = None
        if self._consensus.current is not None:
            self._publish(*self._consensus.current[:2])
        elif published is not None:  # sent to proxies once it is known to be current
            self._delivery.committed(now, *published)

    async def start(self) -> None:
        """Listen for links and API calls, and dial the other controllers."""
        self._link_server = await listen(self._protocol, self._settings.ip, self._settings.link_port)
        self._tick()
        self._registry_tick()
        self.stage_balancer_driver.start()
        ip, _, port = self._settings.binds.get(
            "control_addr", f"{self._settings.ip}:{self._settings.control_port}"
        ).rpartition(":")
        await self._api.start(ip, int(port))

    async def stop(self) -> None:
        """Hand over leadership and copies, finish the calls in progress, and shut down."""
        if self._is_retiring:
            return
        self._is_retiring = True
        self._driver.feed(events.Retire())
        successor_by = self.now() + SUCCESSOR_TIMEOUT_S
        await self._wait_until(lambda: self._may_shut_down(successor_by), self._handover_s())
        self._api.stop()
        await self._wait_until(lambda: self._api.is_idle, OPEN_CALLS_TIMEOUT_S)
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
        """Return how long a retiring member may take to hand over its copies: what the grace period leaves."""
        return max(
            SUCCESSOR_TIMEOUT_S,
            self._settings.bounds.grace_s - OPEN_CALLS_TIMEOUT_S - FINAL_WRITE_TIMEOUT_S - SHUTDOWN_MARGIN_S,
        )

    def _may_shut_down(self, successor_by: float) -> bool:
        now = self.now()
        return self._consensus.may_shut_down(now) and (self._has_successor() or now >= successor_by)

    def _has_successor(self) -> bool:
        return not self.holds_lease() and self._consensus.status(self.now()).primary_ip not in {"", self._settings.ip}

    async def _wait_until(self, condition: Callable[[], bool], seconds: float) -> None:
        end = self.now() + seconds
        while not condition() and self.now() < end:
            await asyncio.sleep(0.02)

    def reload(self) -> None:
        """Read the settings file again; its seeds name other controllers to dial."""
        self._reloaded_at = self.now()
        try:
            self._settings = self._protocol.settings = self._reload()
        except SettingsError as error:
            logger.warning("{}", error)
            return
        self._protocol.dial()

    # Called by the API.

    @property
    def registry(self) -> Registry:
        """The registry core."""
        return self._registry_service.registry

    def now(self) -> float:
        """Return the monotonic clock's time."""
        return self._loop.time()

    def holds_lease(self) -> bool:
        """Whether this controller is the primary and its lease is still valid."""
        return self._driver.holds_lease()

    def primary(self) -> str | None:
        """Return the IP of the primary if it is another controller, is known to lead and has sent something recently.

        The replicated record alone does not suffice: it may name a controller that has died or is cut off.
        """
        now = self.now()
        found = self._consensus.status(now).primary_ip
        if not found or found == self._settings.ip or not self._driver.in_contact(now):
            return None
        link = self._links.to(found)
        return found if link is not None and now - link.last_received_at < PRIMARY_CONTACT_TIMEOUT_S else None

    def control_port(self) -> int:
        """Return the API port, which is the same on all controllers."""
        return self._settings.control_port

    def current(self) -> tuple[Revision, bytes, bytes] | None:
        """Return the committed configuration: revision, document and digest."""
        return self._consensus.current

    def known_call(self, digest: bytes) -> Revision | None:
        """Return the revision that the call with this digest put in force, or None if unknown or forgotten."""
        return self._consensus.known_call(digest)

    def may_be_forgotten(self, revision: int) -> bool:
        """Whether a call for this revision may have been put in force and then dropped from the table of calls."""
        return self._consensus.may_be_forgotten(revision)

    async def write(self, base: int, revision: Revision, document: bytes, digest: bytes) -> events.Result:
        """Write a configuration through the consensus core and return its result."""
        return await self._driver.write(base, revision, document, digest)

    def await_revision(self, revision: int) -> PendingAcks:
        """Return the acknowledgements still missing from linked proxies for this revision."""
        return self._delivery.await_revision(revision)

    def knows_zone(self, zone: str) -> bool:
        """Whether the settings or a known backend name this zone, or it is evacuated."""
        if zone == self._settings.zone or zone in self._settings.zones or zone in self.evacuated():
            return True
        return any(record.zone == zone for record in self.registry.records.values())

    def evacuated(self) -> tuple[str, ...]:
        """Return the zones that the newest record known to this controller lists as evacuated."""
        return self._consensus.status(self.now()).evacuated

    async def evacuate(self, zone: str, is_start: bool) -> events.Result:
        """Start or finish a zone's evacuation, notify linked proxies and return the consensus core's result."""
        result = await self._driver.evacuate(zone, is_start)
        self._publish_evacuations()
        return result

    def await_evacuations(self) -> PendingAcks:
        """Return the acknowledgements still missing from linked proxies for the newest evacuations."""
        return self._delivery.await_evacuations()

    async def wait_for_acks(self, acks: PendingAcks, seconds: float) -> None:
        """Wait until these acknowledgements are complete, for at most ``seconds``."""
        await wait_for_acks(acks, seconds)

    async def confirm_ending(self, backend_id: str, seconds: float) -> bool:
        """Whether a majority of the controllers confirms in time that this backend is draining or gone."""
        return await self._registry_service.confirm_ending(backend_id, seconds)

    def is_isolated(self) -> bool:
        """Whether no other controller and no proxy has been in contact for a while."""
        return self._registry_service.is_isolated

    def publish_registry(self, at_once: bool = True) -> None:
        """Send changes of the registry to proxies and controllers; unless ``at_once``, batched with other changes."""
        self._registry_service.publish(at_once)

    def log_state(self) -> str:
        """Return the state that each log line of this controller carries."""
        return f"epoch={self._consensus.status(self.now()).epoch} configuration={self._delivery.revision}"

    def stage_loads(self) -> dict[str, float]:
        """Return the load that proxies offer to each stage, summed over all services, in erlangs."""
        loads = self._protocol.loads.total(self.now()).values()
        return {"prefill": sum(load.prefill for load in loads), "decode": sum(load.decode for load in loads)}

    @property
    def published_revision(self) -> Revision:
        """The revision of the configuration that is being published to proxies; 0 if there is none yet."""
        return self._delivery.revision

    def overview(self) -> dict[str, Any]:
        """Return the controller's state as a document for System.Status."""
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
        """Configuration writes since the start, counted by kind of result."""
        return self._driver.results

    # Decisions of the consensus core.

    def committed(self, revision: Revision, document: bytes) -> None:
        """Publish a configuration that has been committed."""
        self._publish(revision, document)
        send_deliveries(self._delivery)

    def _send_to_proxies(self, message: Message) -> None:
        """Send a message to every linked proxy."""
        self._delivery.send_to_proxies(message)
        send_deliveries(self._delivery)

    def _publish_evacuations(self) -> None:
        """Send the evacuated zones of the newest known record to linked proxies, if they have changed."""
        status = self._consensus.status(self.now())
        previous = self._delivery.evacuations
        if status.evacuation_number <= previous.number:
            return
        self._delivery.update_evacuations(status.evacuation_number, status.evacuated)
        send_deliveries(self._delivery)
        for zone in sorted({*previous.zones} - {*status.evacuated}):
            self._registry_service.mark_zone_cold(zone)

    def leadership_changed(self, is_primary: bool) -> None:
        """Record that this controller has become primary, or is no longer primary."""
        self._delivery.set_primary(self.now(), is_primary)
        send_deliveries(self._delivery)

    def _publish(self, revision: Revision, document: bytes) -> None:
        """Publish a committed configuration, from the consensus core or passed on by another controller."""
        if self._delivery.committed(self.now(), revision, document):
            self._links.broadcast(ConfigAck(revision))
            self._local_state.write_published(revision, document)

    # Timers.

    def _tick(self) -> None:
        self._timers[:1] = [self._loop.call_later(TICK_S, self._tick)]
        self._driver.feed(events.Tick())
        self.publish_registry()
        self._delivery.tick(self.now())
        self._publish_evacuations()
        send_deliveries(self._delivery)
        self.tallies.tick()

    def _registry_tick(self) -> None:
        self._timers[1:] = [self._loop.call_later(REGISTRY_INTERVAL_S, self._registry_tick)]
        now = self.now()
        self._reload_if_isolated(now)
        own = {self._settings.ip}
        members = {ip_of(member) for member in self._consensus.status(now).members}
        self.tallies.set_replicas(members - own, self._protocol.known_controllers() - own)
        self._registry_service.tick(now)
        self.publish_registry()
        self._local_state.write_registry(now, self.registry.all_records, len(self.registry.records))
        self._protocol.dial()
        self._api.sweep()

    def _reload_if_isolated(self, now: float) -> None:
        """Read the settings file again after a while without links to other controllers: it may name new ones."""
        others = self._protocol.known_controllers() - {self._settings.ip}
        if not others or any(self._links.to(ip) is not None for ip in others):
            self._last_linked_at = now
        elif (
            min(now - self._last_linked_at, now - self._reloaded_at) > RELOAD_WITHOUT_LINKS_S and not self._is_retiring
        ):
            self.reload()
