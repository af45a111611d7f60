"""A controller's side of its links to proxies and other controllers.

Whoever dials sends Hello first. A proxy gets a Welcome and all backends; another controller gets the whole registry,
and its numbered changes are acknowledged once they are applied and pushed on. Heartbeats carry the revision published
here, whether contact with a majority shows that it is the newest, and the newest known epoch.
"""

from __future__ import annotations

from collections.abc import Callable

from cranebank.control import events
from cranebank.control.consensus import ConsensusCore
from cranebank.control.delivery import Delivery
from cranebank.control.load_table import LoadTable
from cranebank.programs.consensus_driver import ConsensusDriver
from cranebank.programs.controller_links import ControllerLinks, send_deliveries
from cranebank.programs.registry_service import RegistryService
from cranebank.programs.settings import NodeSettings
from cranebank.programs.tally_service import TallyService
from cranebank.transport.links import Link
from cranebank.transport.messages import (
    ConfigAck,
    ConfigPush,
    ConsensusEnvelope,
    EvacuationsAck,
    Hello,
    LinkHeartbeat,
    Message,
    PushAck,
    RegistryAck,
    RegistrySync,
    Relayed,
    TallyAdds,
    TallyBase,
    TallyVector,
    Welcome,
)
from cranebank.transport.revision import Revision

MS_PER_S = 1000.0


class ControllerProtocol:
    """The owner of all links of a controller. ``life`` is a random number drawn at each start of the process."""

    def __init__(
        self,
        settings: NodeSettings,
        life: int,
        now: Callable[[], float],
        consensus: ConsensusCore,
        driver: ConsensusDriver,
        links: ControllerLinks,
        delivery: Delivery,
        registry: RegistryService,
        tallies: TallyService,
        publish: Callable[[Revision, bytes], None],
    ) -> None:
        """``publish`` takes a committed configuration that another controller passed on."""
        self.settings = settings  # replaced on reload
        self._life, self._now = life, now
        self._consensus, self._driver, self._links = consensus, driver, links
        self._delivery, self._registry, self._publish = delivery, registry, publish
        self._tallies = tallies
        self.loads = LoadTable()

    def link_up(self, link: Link) -> None:
        """Handle a connection that has come up; the side that dialled sends Hello."""
        link.make_heartbeat = self._make_heartbeat
        if not link.dialled:
            return
        self._links.add(link)
        settings = self.settings
        revision = self._delivery.revision
        link.send(Hello(settings.node_name, "controller", settings.ip, settings.zone, self._life, revision))
        link.send(self._registry.full_sync())
        self._tallies.link_changed(link.peer)

    def link_down(self, link: Link) -> None:
        """Handle a connection that has gone down."""
        self._delivery.leave(link)
        self.loads.forget(link)
        self._registry.forget_clock(link)
        if not self._links.remove(link):
            return
        self._tallies.link_changed(link.peer)
        if self._registry.link_lost(link.peer) is None:
            self._driver.feed(events.LinkDown(link.peer))

    def link_message(self, link: Link, message: Message) -> None:
        """Handle a message."""
        match message:
            case ConsensusEnvelope(body):
                self._driver.receive(link, body)
            case PushAck(number):
                self._delivery.acknowledged(link, number)
            case LinkHeartbeat(revision):
                self._delivery.observe_revision(link, revision)
                self.loads.report(self._now(), link, message.loads)
                self._registry.report_clock(link, message.clock_ms / MS_PER_S)
            case ConfigAck(revision):
                self._delivery.observe_revision(link, revision)
            case EvacuationsAck(number):
                self._delivery.acknowledged_evacuations(link, number)
            case RegistrySync():
                self._registry.merge(link, message)
            case Relayed(source, sync):
                self._registry.merge_relayed(link, source, sync)
            case RegistryAck(number):
                self._registry.acknowledged(link.peer, number)
            case ConfigPush(revision, document):
                self._publish(revision, document)
            case TallyAdds() | TallyVector() | TallyBase():
                self._tallies.receive(link.peer, message)
            case Hello():
                self._handle_hello(link, message)
            case _:
                pass
        send_deliveries(self._delivery)

    def known_controllers(self) -> set[str]:
        """Return the IPs of all controllers known here, including this one."""
        named = {self.settings.ip, *self.settings.seed_ips}
        return named | self._consensus.known_ips() | self._links.accepted_ips

    def dial(self) -> None:
        """Dial all known controllers, and announce them to proxies."""
        known = self.known_controllers()
        self._delivery.update_controllers(known)
        self._links.dial(self, known)

    def _make_heartbeat(self) -> LinkHeartbeat:
        now, revision = self._now(), self._delivery.revision
        return LinkHeartbeat(revision, self._driver.is_current(now, revision), self._consensus.status(now).epoch)

    def _handle_hello(self, link: Link, hello: Hello) -> None:
        is_proxy = hello.role != "controller"
        records = self._registry.merge_proxy_records(hello.backends) if is_proxy else ()
        older = self._delivery.join(self._now(), link, hello.name, link.peer, is_proxy, hello.revision, records)
        if isinstance(older, Link):
            older.close()
        if is_proxy:
            return
        self._driver.feed(events.ZoneReported(link.peer, self.settings.failure_domain(hello.zone)))
        self._links.add(link)
        link.send(self._registry.full_sync())
        controllers = tuple(sorted(self.known_controllers()))
        link.send(Welcome(self.settings.node_name, controllers, len(self._delivery.proxies)))
        self._tallies.link_changed(link.peer)
        self.dial()
