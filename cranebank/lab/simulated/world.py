"""Plays a scenario in simulated time: hosts, proxies, clients, discovery and their network, in one process.

The module, the rules layer (``core.rules``), the stand-in hosts, the clients, discovery's registry and the judge are
those of the program and of the socket laboratory, unmodified. This file replaces asyncio and TCP: connections with
handshakes, caps and idle timeouts, network delays, peers that don't answer, and processes that die.
Durations ending in ``_US`` are microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import msgspec
from msgspec.structs import replace

from cranebank.config.checks import convert_checked
from cranebank.config.platform import PlatformSettings, to_decision_settings
from cranebank.core import rules
from cranebank.core.counters import Counters
from cranebank.decisions import interface as api
from cranebank.decisions.balance import Balancer
from cranebank.lab import records
from cranebank.lab.arrivals import arrivals
from cranebank.lab.clients import Clients
from cranebank.lab.discovery import CallQueue, Registry
from cranebank.lab.host import StandIn
from cranebank.lab.judge import judge
from cranebank.lab.model import SeenKeys
from cranebank.lab.plan import HostPlan, Notice, ProxyFault, ProxyPlan, phantoms, plan, us
from cranebank.lab.reference import POLICIES, Oracle
from cranebank.lab.results import Result, summarise
from cranebank.lab.scenario import Scenario
from cranebank.lab.settings import proxy_settings
from cranebank.lab.simulated.kernel import Event, Kernel
from cranebank.lab.stage import Ask, Reply
from cranebank.lab.streams import stream
from cranebank.routing.subset import Subset, SubsetSpec

RUN_START_UNIX_US = 1_700_000_000_000_000  # Unix time at the start of a run, for the module's clock
PROXY_LEAD_US = 500_000  # proxies start this long before the first request
PROXY_RESTART_US = 500_000  # time that a restarted proxy takes until it is ready
ANSWER_MARGIN_US = 5_000  # a proxy answers this long before its caller's deadline (as http.frontend)
ACCEPT_AFTER_STOP_US = 500_000  # a proxy accepts requests for this long after SIGTERM
WATCH_TIMEOUT_US, CALL_TIMEOUT_US = 2_500_000, 4_000_000  # as discovery.routing_table
SYN_RETRY_US = 1_000_000  # TCP resends a lost SYN after this time, then after twice as long (RFC 6298)
IDLE_MARGIN_US = 1_000_000  # idle connections are closed this long before the host would (as the daemon)
JITTER_DRAWS = 4096  # random numbers drawn at once


class _ModuleClock:
    """Converts simulated microseconds to the module's milliseconds and back."""

    def module_ms(self, at: int) -> float:
        return (at + RUN_START_UNIX_US) / 1000.0

    def from_module_ms(self, at: float) -> int:
        return -(-int(at * 1000.0 + 0.5) // 1) + 1 - RUN_START_UNIX_US


class Link:
    """A connection between a proxy and a host; ``flight`` is the leg or probe that the proxy awaits on it."""

    __slots__ = ("flight", "host", "idle_from", "open", "proxy", "request", "unread")

    def __init__(self, proxy: Proxy, host: Host) -> None:
        self.proxy, self.host = proxy, host
        self.request: Any = None
        self.flight: Flight | None = None
        self.open = True
        self.idle_from = 0
        self.unread: Flight | None = None  # sent while the host doesn't read; read when it resumes

    def answer(self, status: int, body: bytes = b"", load: str = "", not_run: bool = False) -> None:
        """Send a complete answer."""
        self._send("answer", status, body, not_run)

    def spoil(self, cut: bool) -> None:
        """Send an unreadable answer; the proxy sees a broken connection."""
        self._send("broke", 0, b"", False)

    def abort(self) -> None:
        """Close the connection from the host's side."""
        self.host.links.pop(self, None)
        self.request = None
        self._send("broke", 0, b"", False)

    def _send(self, event: str, status: int, body: bytes, not_run: bool) -> None:
        world = self.host.world
        if self.open and (delay := world.delay(self.host.host.zone, self.proxy.plan.zone)) is not None:
            world.kernel.at(world.kernel.now + delay, self.proxy.heard, self, self.flight, event, status, body, not_run)


class Flight:
    """A leg, or a probe (``leg`` is None), that a proxy sends to a host."""

    __slots__ = ("done", "leg", "link", "sent", "server", "timer")

    def __init__(self, server: str, leg: rules.Leg | None, sent: int) -> None:
        self.server, self.leg, self.sent = server, leg, sent
        self.link: Link | None = None
        self.timer: Event | None = None
        self.done = False


class Host(StandIn):
    """A stand-in host in simulated time."""

    def __init__(self, world: World, host: HostPlan) -> None:
        super().__init__(world, host)
        self.world = world

    def gate(self, refuse: bool, silent: bool = False) -> None:
        """Refuse new connections, or accept them again."""
        self.refusing = refuse

    def take(self, link: Link, flight: Flight) -> None:
        """Receive a leg or a probe; a host that doesn't read keeps it on the link."""
        if not link.open:
            return
        if self.is_frozen:
            link.unread = flight
        elif flight.leg is None:
            self.probe(link, True)
        else:
            ask: Ask = flight.leg.content
            left = max(0, flight.leg.deadline - self.world.kernel.now)
            self.request(link, Ask(ask.id, ask.root, ask.kind, ask.tenant, ask.key, ask.work, left), self.stage.now())

    def _read_backlog(self) -> None:
        for link in list(self.links):
            assert isinstance(link, Link)
            if (flight := link.unread) is not None:
                link.unread = None
                self.take(link, flight)


class Out:
    """A caller's outstanding request to a proxy."""

    __slots__ = ("ask", "done", "has_left", "is_finished", "proxy", "reply", "zone")

    def __init__(self, proxy: Proxy, zone: int, ask: Ask, done: Callable[[Reply], None]) -> None:
        self.proxy, self.zone, self.ask, self.done = proxy, zone, ask, done
        self.reply = Reply()
        self.has_left = self.is_finished = False

    def cancel(self) -> None:
        """Give up: the proxy learns that its caller has left."""
        self.has_left = True
        world = self.proxy.world
        if not self.is_finished and (delay := world.delay(self.zone, self.proxy.plan.zone)) is not None:
            world.kernel.at(world.kernel.now + delay, self.proxy.forsaken, self)

    def finish(self, status: int, digest: str, retry_after: int, trouble: str) -> None:
        """Hand the answer, or the failure of the connection, to the caller."""
        if self.has_left or self.is_finished:
            return
        self.is_finished = True
        reply = self.reply
        reply.status, reply.digest, reply.retry_after, reply.trouble = status, digest, retry_after, trouble
        self.done(reply)


class Proxy:
    """A simulated proxy: the rules layer and its connections."""

    def __init__(self, world: World, plan: ProxyPlan, settings: api.Settings, seed: int) -> None:
        self.world, self.plan, self.settings, self._seed = world, plan, settings, seed
        self.counters = Counters()
        self.rules: rules.Rules | None = None
        self.hosts: dict[str, rules.Host] = {}
        self.open_requests: dict[Out, None] = {}
        self.links_open = 0
        self._idle: dict[str, list[Link]] = {}
        self._links: dict[Link, None] = {}
        self._alarms: dict[int, Event] = {}
        self._flights: dict[rules.Leg, Flight] = {}
        self._closing = False
        scenario = world.scenario
        self._idle_timeout_us = max(100_000, us(scenario.connections.idle_s) - IDLE_MARGIN_US)
        self._dial_timeout_us = round(scenario.connections.dial_timeout_ms * 1000)
        self._max_links = scenario.limits.sockets * 7 // 16
        self._processing_us = round(scenario.net.proxy_ms * 1000)

    # Start and end.

    def start(self, known: tuple[rules.Host, ...]) -> None:
        """Start the process without state, with the last known list of hosts."""
        self._seed += 1
        self._closing = False
        spec = self.world.scenario.subset
        subset = (
            Subset(
                SubsetSpec(spec.size, spec.from_hosts, spec.cover),
                self.settings.slot,
                self.settings.copies,
                self.plan.zone,
                self.settings.cross_zone_price > 0,
            )
            if spec.size
            else None
        )
        self.rules = rules.Rules(
            self.settings, self._seed, _ModuleClock(), self.counters, self.world.make_decisions, subset
        )
        self.drive(rules.RoutingUpdate(api.ListKind.REMEMBERED, known))
        if not self.settings.watch_by_asking:
            self.world.discovery.watch(self, 1)

    def die(self) -> None:
        """Kill the process: connections are reset and all state is lost."""
        self.rules = None
        self.world.discovery.leave(self)
        for event in self._alarms.values():
            event.cancel()
        self._alarms.clear()
        self._flights.clear()
        for out in list(self.open_requests):
            self.answer(out, 0, "", 0, "broke")
        for link in list(self._links):
            self._close(link)
        self._idle.clear()
        self.hosts.clear()

    def stop(self) -> None:
        """Handle SIGTERM: accept for a short time, finish the accepted requests, then end."""
        self.world.kernel.at(self.world.kernel.now + ACCEPT_AFTER_STOP_US, self._refuse)

    def _refuse(self) -> None:
        self._closing = True
        self._end_if_idle()

    def _end_if_idle(self) -> None:
        if self.rules is not None and not self.open_requests:
            self.die()
            self.world.record_state(self, "ended")

    # Callers.

    def take(self, out: Out) -> None:
        """Receive a request, or refuse it when the proxy is down or closing."""
        if self.rules is None or self._closing:
            out.reply.sent = -1
            self.world.later(self.plan.zone, out.zone, out.finish, 0, "", 0, "refused")
            return
        self.open_requests[out] = None
        self.world.kernel.at(self.world.kernel.now + self._processing_us, self._arrived, out, self.rules)

    def _arrived(self, out: Out, expected_rules: rules.Rules) -> None:
        if self.rules is not expected_rules or out not in self.open_requests:
            return
        ask, now = out.ask, self.world.kernel.now
        class_deadline_us = round(self.settings.classes[ask.kind].deadline * 1000)
        left_us = min(ask.left, class_deadline_us) - ANSWER_MARGIN_US
        self.counters.add("requests_taken")
        call = rules.Call(
            ask.kind, ask.tenant, left_us, ask, ask.hint / 1000.0 if ask.hint else None, ask.again, ask.id
        )
        self.drive(rules.RequestArrived(call, out, now - self._processing_us))

    def forsaken(self, out: Out) -> None:
        """Handle a caller that gave up its request."""
        if out in self.open_requests and self.rules is not None:
            del self.open_requests[out]
            self.drive(rules.ClientLeft(out))
            if self._closing:
                self._end_if_idle()

    def answer(self, out: Out, status: int, digest: str, retry_after: int, trouble: str = "") -> None:
        """Send the outcome of a request to its caller."""
        if self.open_requests.pop(out, 0) is None:
            world = self.world
            delay = world.delay(self.plan.zone, out.zone)
            if delay is not None:
                world.kernel.at(
                    world.kernel.now + self._processing_us + delay, out.finish, status, digest, retry_after, trouble
                )

    # The rules layer.

    def drive(self, message: rules.Message) -> None:
        """Give the rules layer a message and carry out its orders."""
        if self.rules is None:
            return
        if isinstance(message, rules.DeadlinePassed | rules.LegTimedOut):
            self._alarms.pop(id(message), None)
        for order in self.rules.handle(self.world.kernel.now, message):
            self._do(order)
        if self._closing:
            self._end_if_idle()

    def _do(self, order: rules.Order) -> None:
        match order:
            case rules.SendLeg(leg):
                self._send(leg)
            case rules.SetAlarm(at, alarm):
                event = self.world.kernel.at(at, self._alarm, alarm, self.rules)
                if isinstance(alarm, rules.DeadlinePassed | rules.LegTimedOut):
                    self._alarms[id(alarm)] = event  # the event references the alarm, so its id isn't reused
            case rules.CancelAlarm(alarm):
                if (event_ := self._alarms.pop(id(alarm), None)) is not None:
                    event_.cancel()
            case rules.Reply(out, answer):
                match answer:
                    case rules.Served(digest):
                        self.answer(out, 200, digest, 0)
                    case rules.Declined(retry_after):
                        self.answer(out, 503, "", retry_after)
                    case rules.Failed():
                        self.answer(out, 502, "", 0)
            case rules.CancelLeg(leg):
                if (flight := self._flights.pop(leg, None)) is not None:
                    self._abandon(flight)
            case rules.ProbeHost(server):
                self._probe(server)
            case rules.UpdateUpstreams(update):
                self._update_hosts(update)
            case rules.Watch(enable):
                if enable:
                    self.world.discovery.watch(self, self.world.discovery.version(self))
            case rules.LogLine("error", event_name, fields):
                self.world.errors.append(f"{self.plan.name}: {event_name}: {fields}")

    def _alarm(self, alarm: rules.Alarm, expected_rules: rules.Rules) -> None:
        if expected_rules is self.rules:
            self.drive(alarm)

    def _update_hosts(self, update: rules.RoutingUpdate) -> None:
        if update.kind in (api.ListKind.ALL, api.ListKind.REMEMBERED):
            named = {host.entry.server for host in update.hosts}
            for server in [server for server in self.hosts if server not in named]:
                self._remove_host(server)
        for host in update.hosts:
            if host.entry.state is api.ServerState.OUT:
                self._remove_host(host.entry.server)
            else:
                self.hosts[host.entry.server] = host

    def _remove_host(self, server: str) -> None:
        self.hosts.pop(server, None)
        for link in self._idle.pop(server, ()):
            self._close(link)

    # Legs and probes.

    def _send(self, leg: rules.Leg) -> None:
        host = self.hosts.get(leg.server)
        if host is None or host.entry.state is not api.ServerState.IN:
            self._flights[leg] = flight = Flight(leg.server, leg, self.world.kernel.now)
            self._report_outcome(flight, api.Outcome.MOOT)
            return
        self._flights[leg] = flight = Flight(leg.server, leg, self.world.kernel.now)
        self._dispatch(flight)

    def _probe(self, server: str) -> None:
        flight = Flight(server, None, self.world.kernel.now)
        if server not in self.hosts:
            self._report_outcome(flight, api.Outcome.MOOT)
            return
        flight.timer = self.world.kernel.at(flight.sent + 2 * self._dial_timeout_us, self._silent, flight)
        self._dispatch(flight)

    def _silent(self, flight: Flight) -> None:
        """Handle the timeout of a probe."""
        if not flight.done:
            self._abandon(flight)
            self._report_outcome(flight, api.Outcome.TIMEOUT)

    def _dispatch(self, flight: Flight) -> None:
        """Send on an idle connection, or open a new one if the limit of connections allows."""
        now, idle = self.world.kernel.now, self._idle.get(flight.server)
        while idle:
            link = idle.pop()
            if link.open and link.idle_from + self._idle_timeout_us > now:
                self.counters.add("connections_reused")
                self._write_request(flight, link)
                return
            self._close(link)
        if self.links_open >= self._max_links and not self._make_room():
            self._report_outcome(flight, api.Outcome.MOOT if flight.leg else api.Outcome.FULL)
            return
        self._connect(flight)

    def _make_room(self) -> bool:
        for server, idle in self._idle.items():
            if idle:
                self._close(idle.pop(0))
                if not idle:
                    del self._idle[server]
                return True
        return False

    def _connect(self, flight: Flight) -> None:
        world, now = self.world, self.world.kernel.now
        host = world.hosts.get(flight.server)
        one_way_us = world.delay(self.plan.zone, host.host.zone) if host is not None else world.delay(0, 0)
        if one_way_us is None or (host is not None and host.cut_off):
            world.kernel.at(now + self._dial_timeout_us, self._not_up, flight)
        elif host is None or not host.up or host.refusing:
            world.kernel.at(now + 2 * one_way_us, self._not_up, flight)
        else:
            link = Link(self, host)
            self.links_open += 1
            self._links[link] = None
            flight.link = link
            world.kernel.at(now + one_way_us, self._accepted, flight, link, one_way_us)

    def _not_up(self, flight: Flight) -> None:
        """Handle a connection that could not be established."""
        if not flight.done:
            self._flights.pop(flight.leg, None) if flight.leg else None
            self._report_outcome(flight, api.Outcome.CONNECT_FAILED)

    def _accepted(self, flight: Flight, link: Link, one_way_us: int) -> None:
        """Handle the connection's arrival at the host."""
        is_accepted = link.open and link.host.opened(link)
        self.world.kernel.at(self.world.kernel.now + one_way_us, self._up, flight, link, is_accepted)

    def _up(self, flight: Flight, link: Link, is_accepted: bool) -> None:
        """Handle a connection that is established; ``is_accepted``: the host accepted it."""
        if flight.done or not link.open:
            self._close(link)
            return
        self.counters.add("connections_opened")
        if not is_accepted:  # accepted and closed at once: by then the request was written
            self._close(link)
            if flight.leg is not None:
                flight.leg.written = True
                self._flights.pop(flight.leg, None)
            self._report_outcome(flight, api.Outcome.RESET)
            return
        self._write_request(flight, link)

    def _write_request(self, flight: Flight, link: Link) -> None:
        flight.link, link.flight = link, flight
        if flight.leg is not None:
            flight.leg.written = True
        self.world.later(self.plan.zone, link.host.host.zone, link.host.take, link, flight)

    def heard(self, link: Link, flight: Flight | None, event: str, status: int, body: bytes, not_run: bool) -> None:
        """Handle an answer or the end of a connection (``event`` is ``broke``) from a host."""
        if not link.open or link.flight is not flight:
            return
        if event == "broke":
            self._close(link)
            if flight is not None and not flight.done:
                self._flights.pop(flight.leg, None) if flight.leg else None
                self._report_outcome(flight, api.Outcome.RESET)
            return
        link.flight = None
        link.idle_from = self.world.kernel.now
        if link.host.host.name in self.hosts:
            self._idle.setdefault(link.host.host.name, []).append(link)
        else:
            self._close(link)
        if flight is None or flight.done:
            return
        if flight.leg is None:
            self._report_outcome(flight, api.Outcome.OK, body)
            return
        self._flights.pop(flight.leg, None)
        outcome = api.Outcome.OK if status == 200 else api.Outcome.FULL if not_run else api.Outcome.ERROR
        self._report_outcome(flight, outcome, body)

    def _report_outcome(self, flight: Flight, outcome: api.Outcome, body: bytes = b"") -> None:
        """Report the outcome of a leg or a probe to the rules layer, once for each."""
        flight.done = True
        if flight.timer is not None:
            flight.timer.cancel()
        if flight.leg is None:
            load = None
            if outcome is api.Outcome.OK:
                pairs = (pair.partition(b"=") for pair in body.removeprefix(b"TEXT ").split(b", "))
                load = {name.decode(): float(value) for name, _, value in pairs}
            self.drive(rules.ProbeEnded(flight.server, outcome, self.world.kernel.now - flight.sent, load))
            return
        self._flights.pop(flight.leg, None)
        digest = self.world.digest_of(body) if outcome is api.Outcome.OK else None
        self.world.kernel.at(self.world.kernel.now, self.drive, rules.LegEnded(flight.leg, outcome, None, digest))

    def _abandon(self, flight: Flight) -> None:
        """Stop waiting for a leg or a probe and close its connection."""
        flight.done = True
        if flight.timer is not None:
            flight.timer.cancel()
        if flight.link is not None:
            self._close(flight.link)

    def _close(self, link: Link) -> None:
        if link in self._links:
            del self._links[link]
            self.links_open -= 1
        if link.open:
            link.open = False
            self.world.later(self.plan.zone, link.host.host.zone, link.host.lost, link)


class Discovery:
    """Discovery and its calls: delayed, of bounded capacity, cut off by partitions, and down during outages."""

    def __init__(self, world: World) -> None:
        scenario = world.scenario
        self._world = world
        self._call_queue = CallQueue(scenario.discovery.call_ms / 1000, scenario.discovery.timeout_ms / 1000)
        self._registries = [
            Registry([h for h in world.plan.hosts if h.tier == index], scenario.zones, [k.name for k in tier.kind])
            for index, tier in enumerate(scenario.tiers)
        ]
        self._tiers = {host.name: host.tier for host in world.plan.hosts} | phantoms(scenario)
        self._zones = {host.name: host.zone for host in world.plan.hosts}
        self._kinds = {host.name: host.kind for host in world.plan.hosts}
        self._watching: dict[Proxy, int] = {}
        self._versions: dict[Proxy, int] = {}
        self._last_delivery_us: dict[Proxy, int] = {}  # a watch is one connection, which keeps updates in order
        self._down = False
        self._host_cache: dict[tuple[str, str, int], rules.Host] = {}

    def schedule_plan(self) -> None:
        """Schedule the plan's notices, outages and partitions."""
        for notice in self._world.plan.notices:
            self._world.kernel.at(notice.at, self._learn, notice)
        for outage in self._world.plan.outages:
            self._world.kernel.at(outage.at, self._set_down, True)
            self._world.kernel.at(outage.until, self._set_down, False)
        for cut in self._world.plan.cuts:
            self._world.kernel.at(cut.at + WATCH_TIMEOUT_US, self._fall_silent)

    def version(self, proxy: Proxy) -> int:
        """Return the version of the list that a proxy has applied."""
        return self._versions.get(proxy, 1)

    def known(self, tier: int) -> tuple[rules.Host, ...]:
        """Return the hosts of a tier that were in service before the run."""
        return tuple(self._host(h.name, "SERVING", 0) for h in self._world.plan.hosts if h.tier == tier and not h.start)

    def _host(self, name: str, state: str, started: int) -> rules.Host:
        """Return the entry of a host, shared by all proxies."""
        found = self._host_cache.get((name, state, started))
        if found is None:
            states = {"SERVING": api.ServerState.IN, "DRAINING": api.ServerState.DRAINING}
            found = self._host_cache[name, state, started] = rules.Host(
                api.ServerEntry(
                    name,
                    self._zones.get(name, 0),
                    kind=self._kinds.get(name, 0),
                    state=states.get(state, api.ServerState.OUT),
                    started=(started + RUN_START_UNIX_US) / 1000.0 if started else 0.0,
                ),
                "",
            )
        return found

    def watch(self, proxy: Proxy, version: int) -> None:
        """Handle a proxy's call for changes since a version."""
        self._call(proxy, proxy.rules, version, self._world.kernel.now + CALL_TIMEOUT_US, SYN_RETRY_US)

    def _call(self, proxy: Proxy, expected_rules: rules.Rules | None, version: int, until: int, retry_us: int) -> None:
        """Send the SYN of a call, first or repeated; the proxy gives up at ``until``, also while queued."""
        world, now = self._world, self._world.kernel.now
        if proxy.rules is not expected_rules:
            return
        one_way_us = world.delay(proxy.plan.zone, 0)
        if one_way_us is None and now + retry_us < until:
            world.kernel.at(now + retry_us, self._call, proxy, expected_rules, version, until, 2 * retry_us)
            return
        wait_s = self._call_queue.wait(now / 1e6) if one_way_us is not None and not self._down else None
        if one_way_us is None:
            world.kernel.at(until, self._refused, proxy, expected_rules)
        elif wait_s is None:
            world.kernel.at(now + 2 * one_way_us, self._refused, proxy, expected_rules)
        elif (answered_at := now + one_way_us + round(wait_s * 1e6)) < until:
            world.kernel.at(answered_at, self._answer, proxy, expected_rules, version)
        else:
            world.kernel.at(until, self._refused, proxy, expected_rules)

    def _refused(self, proxy: Proxy, expected_rules: rules.Rules | None) -> None:
        if proxy.rules is expected_rules:
            proxy.drive(rules.RoutingUpdate(api.ListKind.REFUSED))

    def _answer(self, proxy: Proxy, expected_rules: rules.Rules | None, version: int) -> None:
        if proxy.rules is expected_rules and not self._down:
            self._watching[proxy] = version
            self._push(proxy)

    def leave(self, proxy: Proxy) -> None:
        """Forget a proxy that has ended."""
        self._watching.pop(proxy, None)
        self._versions.pop(proxy, None)

    def _push(self, proxy: Proxy) -> None:
        """Send a proxy the changes since its last version, unless a partition is between."""
        world, registry = self._world, self._registries[proxy.plan.tier]
        delay = world.delay(0, proxy.plan.zone)
        if delay is None:
            return
        full, names = registry.since(self._watching[proxy])
        self._watching[proxy] = registry.version
        hosts = []
        for name in names:
            state, started = registry.state(name)
            hosts.append(self._host(name, state, started))
            world.write(records.DiscoveryNotice(world.kernel.now, proxy.plan.name, name, state, started))
        kind = api.ListKind.ALL if full else api.ListKind.CHANGES
        if full:
            world.write(records.DiscoveryNotice(world.kernel.now, proxy.plan.name, "*", ",".join(names), 0))
        update = rules.RoutingUpdate(kind, tuple(hosts))
        self._last_delivery_us[proxy] = at = max(world.kernel.now + delay, self._last_delivery_us.get(proxy, 0))
        world.kernel.at(at, self._deliver, proxy, proxy.rules, update, registry.version)

    def _deliver(self, proxy: Proxy, expected_rules: rules.Rules, update: rules.RoutingUpdate, version: int) -> None:
        if proxy.rules is expected_rules:
            self._versions[proxy] = version
            proxy.drive(update)

    def _learn(self, notice: Notice) -> None:
        tier = self._tiers[notice.host]
        if self._registries[tier].apply(notice):
            for proxy in list(self._watching):
                if proxy.plan.tier == tier:
                    self._push(proxy)

    def _set_down(self, down: bool) -> None:
        self._down = down
        if down:
            self._drop_watches(list(self._watching))

    def _fall_silent(self) -> None:
        if self._world.cut():
            self._drop_watches([p for p in self._watching if p.plan.zone != 0])

    def _drop_watches(self, proxies: Sequence[Proxy]) -> None:
        for proxy in proxies:
            del self._watching[proxy]
            assert proxy.rules is not None
            self._refused(proxy, proxy.rules)


class World:
    """A run in simulated time; implements ``Environment`` for its hosts and clients."""

    def __init__(
        self,
        scenario: Scenario,
        scenario_folder: Path | None = None,
        make_decisions: Callable[[api.Settings, int], rules.Decisions] | None = None,
    ) -> None:
        """``make_decisions`` replaces the decisions of the scenario's policy."""
        self.scenario, self.plan = scenario, plan(scenario)
        self.kernel = Kernel(-PROXY_LEAD_US)
        self.records: list[records.Record] = []
        self.write = self.records.append
        self.errors: list[str] = []
        longest_window_ms = max((kind.window_ms for kind in scenario.classes), default=0.0)
        self.repeats = SeenKeys(round(longest_window_ms * 1000) + 1)
        self.make_decisions = make_decisions or self._policy()
        self._digests: dict[bytes, str] = {}
        net = scenario.net
        self._same_zone_us, self._cross_zone_us, self._client_us = (
            round(ms * 1000) for ms in (net.same_ms, net.cross_ms, net.client_ms)
        )
        self._random = stream(scenario.seed, "net")
        self._jitter: list[float] = []
        self.hosts = {host.name: Host(self, host) for host in self.plan.hosts}
        self.discovery = Discovery(self)
        counts = [sum(p.tier == tier for p in self.plan.proxies) for tier in range(len(scenario.tiers))]
        self.proxies: dict[str, Proxy] = {}
        by_zone: dict[tuple[int, int], api.Settings] = {}
        for number, proxy_plan in enumerate(self.plan.proxies):
            key = (proxy_plan.tier, proxy_plan.zone)
            if key not in by_zone:
                document = proxy_settings(scenario, proxy_plan, counts[proxy_plan.tier])
                by_zone[key] = to_decision_settings(convert_checked(document, PlatformSettings, "settings"))
            settings = replace(by_zone[key], slot=proxy_plan.slot)
            self.proxies[proxy_plan.name] = Proxy(self, proxy_plan, settings, scenario.seed * 1_000_003 + number)
        self._arrivals = arrivals(scenario, scenario_folder)
        front_proxies = {proxy.name: proxy.zone for proxy in self.plan.proxies if proxy.tier == 0}
        self.clients = Clients(self, scenario, self._arrivals, front_proxies, self._idle)

    def _policy(self) -> Callable[[api.Settings, int], rules.Decisions]:
        name = self.scenario.policy
        if name == "oracle":
            return lambda settings, seed: Oracle(self.load_per_capacity, settings, seed)
        return Balancer if name == "cranebank" else POLICIES[name]

    def load_per_capacity(self, server: str) -> float:
        """Return a host's true state for the oracle: work per core over present speed; infinite if unusable."""
        host = self.hosts.get(server)
        if host is None or not host.up or host.refusing or host.is_frozen or host.stopping:
            return float("inf")
        return host.model.load_per_capacity(self.kernel.now)

    # The interface ``Environment``.

    def now(self) -> int:
        """Return the microseconds since the start of the run."""
        return self.kernel.now

    def at(self, when: int, callback: Callable[..., Any], *arguments: Any) -> Event:
        """Schedule a call, in microseconds since the start of the run."""
        return self.kernel.at(when, callback, *arguments)

    def ask(
        self, proxy: str, zone: int, ask: Ask, done: Callable[[Reply], None], on_extra_answer: Callable[[], None]
    ) -> Out:
        """Send a request from a zone to a proxy."""
        out = Out(self.proxies[proxy], zone, ask, done)
        out.reply.sent = self.kernel.now
        self.later(zone, out.proxy.plan.zone, out.proxy.take, out)
        return out

    # The network.

    def cut(self) -> bool:
        """Return whether zones are partitioned now."""
        return any(cut.at <= self.kernel.now < cut.until for cut in self.plan.cuts)

    def delay(self, from_zone: int, to_zone: int) -> int | None:
        """Return the one-way delay between two zones, or None during a partition."""
        if from_zone != to_zone and self.plan.cuts and self.cut():
            return None
        if not self._jitter:
            self._jitter = (1.0 + self.scenario.net.jitter * self._random.random(JITTER_DRAWS)).tolist()
        return int((self._same_zone_us if from_zone == to_zone else self._cross_zone_us) * self._jitter.pop())

    def later(self, from_zone: int, to_zone: int, callback: Callable[..., Any], *arguments: Any) -> None:
        """Schedule a call after the delay between two zones; it is lost during a partition."""
        if (delay := self.delay(from_zone, to_zone)) is not None:
            self.kernel.at(self.kernel.now + delay, callback, *arguments)

    @staticmethod
    def digest_of(body: bytes) -> str:
        """Return the digest of a body, as the socket laboratory's clients compute it."""
        from xxhash import xxh64_hexdigest  # noqa: PLC0415

        return xxh64_hexdigest(body)

    # The run.

    def record_state(self, proxy: Proxy, state: str) -> None:
        """Record a change of a proxy's state."""
        self.write(records.ProxyStateChange(self.kernel.now, proxy.plan.name, state))

    def _suffer(self, fault: ProxyFault) -> None:
        """Apply a fault to a proxy: kill it or stop it, and schedule its restart."""
        proxy = self.proxies[fault.proxy]
        if proxy.rules is None:
            return
        if fault.hard:
            proxy.die()
            self.record_state(proxy, "killed")
        else:
            self.record_state(proxy, "stopping")
            proxy.stop()
        self.kernel.at(max(fault.until, self.kernel.now) + PROXY_RESTART_US, self._again, proxy)

    def _again(self, proxy: Proxy) -> None:
        """Restart a proxy once its process has ended."""
        if proxy.rules is not None:  # it is still finishing its requests
            self.kernel.at(self.kernel.now + PROXY_RESTART_US, self._again, proxy)
            return
        proxy.start(self.discovery.known(proxy.plan.tier))
        self.record_state(proxy, "ready")

    def _launch(self, number: int) -> None:
        """Start a client's request and schedule the next one."""
        if number + 1 < len(self._arrivals):
            self.kernel.at(self._arrivals[number + 1].at, self._launch, number + 1)
        self.clients.launch(number)

    def _idle(self) -> None:
        """End the run when no request is open and all have been offered."""
        if self.clients.offered == len(self._arrivals):
            self.kernel.stop()

    def play(self) -> None:
        """Run the scenario to its end."""
        for host in self.hosts.values():
            host.up = not host.host.start
            host.schedule_plan()
        self.discovery.schedule_plan()
        known = [self.discovery.known(tier) for tier in range(len(self.scenario.tiers))]
        for proxy in self.proxies.values():
            proxy.start(known[proxy.plan.tier])
            self.record_state(proxy, "ready")
        for fault in self.plan.proxy_faults:
            self.kernel.at(fault.at, self._suffer, fault)
        if self._arrivals:
            self.kernel.at(self._arrivals[0].at, self._launch, 0)
            self.kernel.run()
        for host in self.hosts.values():
            host.write_final_records()
        self.write(records.Generator(len(self._arrivals), 0, 0, 0, 0.0, self.kernel.now / 1e6))

    def result(self) -> Result:
        """Judge the run and summarise it."""
        encode = msgspec.json.encode
        for record in self.records:
            self.kernel.add_to_digest(encode(record))
        verdict = judge(self.scenario, self.plan, self.records)
        result = summarise(self.scenario, self.records, verdict)
        return msgspec.structs.replace(result, digest=self.kernel.digest(), events=self.kernel.events)


def play(scenario: Scenario, scenario_folder: Path | None = None) -> Result:
    """Play a scenario in simulated time and return its result."""
    world = World(scenario, scenario_folder)
    world.play()
    return world.result()
