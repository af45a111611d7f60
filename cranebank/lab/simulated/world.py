"""A scenario in simulated time: hosts, proxies, clients, discovery and the network between them, in one process.

The module, the rules layer (``core.rules``), the stand-in hosts, the clients, discovery's registry and the judge are
those of the program and of the socket laboratory, unmodified. What is written here is what asyncio and TCP are there:
connections with handshakes, caps and idle ends, delays, silence, and processes that die.
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
from cranebank.lab.discovery import Desk, Registry
from cranebank.lab.host import StandIn
from cranebank.lab.judge import judge
from cranebank.lab.model import Repeats
from cranebank.lab.plan import HostPlan, Notice, ProxyFault, ProxyPlan, phantoms, plan, us
from cranebank.lab.reference import POLICIES, Oracle
from cranebank.lab.results import Result, summarise
from cranebank.lab.scenario import Scenario
from cranebank.lab.settings import proxy_settings
from cranebank.lab.simulated.kernel import Event, Kernel
from cranebank.lab.stage import Ask, Reply
from cranebank.lab.streams import stream
from cranebank.routing.subset import Subset, SubsetSpec

EPOCH = 1_700_000_000_000_000  # the module's clock: microseconds at the start of a run, as Unix time has them
BEFORE = 500_000  # proxies are up so long before the first request
BOOT = 500_000  # a proxy that starts again is ready after so long
MARGIN = 5_000  # a proxy answers so long before its caller gives up (http.frontend)
LINGER = 500_000  # a proxy that is told to stop accepts for so long
SILENCE, CALL_TIMEOUT = 2_500_000, 4_000_000  # discovery.routing_table
SYN_AGAIN = 1_000_000  # TCP sends a lost SYN again so long after, then after twice as long (RFC 6298)
IDLE_MARGIN = 1_000_000  # daemon: idle connections are dropped so long before the host would
DRAWS = 4096


class _Time:
    """The module's milliseconds."""

    def module_ms(self, at: int) -> float:
        return (at + EPOCH) / 1000.0

    def from_module_ms(self, at: float) -> int:
        return -(-int(at * 1000.0 + 0.5) // 1) + 1 - EPOCH


class Link:
    """A connection between a proxy and a host; ``flight`` is what the proxy has out on it."""

    __slots__ = ("flight", "host", "idle_from", "kept", "open", "proxy", "request")

    def __init__(self, proxy: Proxy, host: Host) -> None:
        self.proxy, self.host = proxy, host
        self.request: Any = None
        self.flight: Flight | None = None
        self.open = True
        self.idle_from = 0
        self.kept: Flight | None = None  # sent to a host that reads nothing

    def answer(self, status: int, body: bytes = b"", load: str = "", not_run: bool = False) -> None:
        """A whole answer."""
        self._send("answer", status, body, not_run)

    def spoil(self, cut: bool) -> None:
        """An answer that can't be read."""
        self._send("broke", 0, b"", False)

    def abort(self) -> None:
        """The host ends the connection."""
        self.host.links.pop(self, None)
        self.request = None
        self._send("broke", 0, b"", False)

    def _send(self, what: str, status: int, body: bytes, not_run: bool) -> None:
        world = self.host.world
        if self.open and (delay := world.delay(self.host.host.zone, self.proxy.plan.zone)) is not None:
            world.kernel.at(world.kernel.now + delay, self.proxy.heard, self, self.flight, what, status, body, not_run)


class Flight:
    """A leg or a probe on its way."""

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
        """Refuse new connections or accept them."""
        self.refusing = refuse

    def take(self, link: Link, flight: Flight) -> None:
        """A leg or a probe has come."""
        if not link.open:
            return
        if self.hushed:
            link.kept = flight
        elif flight.leg is None:
            self.probe(link, True)
        else:
            ask: Ask = flight.leg.content
            left = max(0, flight.leg.deadline - self.world.kernel.now)
            self.request(link, Ask(ask.id, ask.root, ask.kind, ask.tenant, ask.key, ask.work, left), self.stage.now())

    def _heard_again(self) -> None:
        for link in list(self.links):
            assert isinstance(link, Link)
            if (flight := link.kept) is not None:
                link.kept = None
                self.take(link, flight)


class Out:
    """A caller's request to a proxy."""

    __slots__ = ("ask", "done", "left", "over", "proxy", "reply", "zone")

    def __init__(self, proxy: Proxy, zone: int, ask: Ask, done: Callable[[Reply], None]) -> None:
        self.proxy, self.zone, self.ask, self.done = proxy, zone, ask, done
        self.reply = Reply()
        self.left = self.over = False

    def leave(self) -> None:
        """Wait no longer."""
        self.left = True
        world = self.proxy.world
        if not self.over and (delay := world.delay(self.zone, self.proxy.plan.zone)) is not None:
            world.kernel.at(world.kernel.now + delay, self.proxy.forsaken, self)

    def finish(self, status: int, digest: str, retry_after: int, trouble: str) -> None:
        """The answer has come, or the end of the connection."""
        if self.left or self.over:
            return
        self.over = True
        reply = self.reply
        reply.status, reply.digest, reply.retry_after, reply.trouble = status, digest, retry_after, trouble
        self.done(reply)


class Proxy:
    """One proxy: the rules layer, and its connections."""

    def __init__(self, world: World, plan: ProxyPlan, settings: api.Settings, seed: int) -> None:
        self.world, self.plan, self.settings, self._seed = world, plan, settings, seed
        self.counters = Counters()
        self.rules: rules.Rules | None = None
        self.hosts: dict[str, rules.Host] = {}
        self.outs: dict[Out, None] = {}
        self.links_open = 0
        self._idle: dict[str, list[Link]] = {}
        self._links: dict[Link, None] = {}
        self._alarms: dict[int, Event] = {}
        self._flights: dict[rules.Leg, Flight] = {}
        self._closing = False
        scenario = world.scenario
        self._idle_for = max(100_000, us(scenario.connections.idle_s) - IDLE_MARGIN)
        self._dial = round(scenario.connections.dial_timeout_ms * 1000)
        self._most = scenario.limits.sockets * 7 // 16
        self._slow = round(scenario.net.proxy_ms * 1000)

    # Its life.

    def start(self, known: tuple[rules.Host, ...]) -> None:
        """Start from nothing, with the list as it was last known."""
        self._seed += 1
        self._closing = False
        told = self.world.scenario.subset
        subset = (
            Subset(
                SubsetSpec(told.size, told.from_hosts, told.cover),
                self.settings.slot,
                self.settings.copies,
                self.plan.zone,
                self.settings.cross_zone_price > 0,
            )
            if told.size
            else None
        )
        self.rules = rules.Rules(self.settings, self._seed, _Time(), self.counters, self.world.make, subset)
        self.drive(rules.RoutingUpdate(api.ListKind.REMEMBERED, known))
        if not self.settings.watch_by_asking:
            self.world.discovery.watch(self, 1)

    def die(self) -> None:
        """The process ends: connections are reset, nothing is remembered."""
        self.rules = None
        self.world.discovery.leave(self)
        for event in self._alarms.values():
            event.cancel()
        self._alarms.clear()
        self._flights.clear()
        for out in list(self.outs):
            self.answer(out, 0, "", 0, "broke")
        for link in list(self._links):
            self._close(link)
        self._idle.clear()
        self.hosts.clear()

    def stop(self) -> None:
        """SIGTERM: accept for a moment more, end what was taken, end."""
        self.world.kernel.at(self.world.kernel.now + LINGER, self._refuse)

    def _refuse(self) -> None:
        self._closing = True
        self._end_if_idle()

    def _end_if_idle(self) -> None:
        if self.rules is not None and not self.outs:
            self.die()
            self.world.lived(self, "ended")

    # Callers.

    def take(self, out: Out) -> None:
        """A request has come."""
        if self.rules is None or self._closing:
            out.reply.sent = -1
            self.world.later(self.plan.zone, out.zone, out.finish, 0, "", 0, "refused")
            return
        self.outs[out] = None
        self.world.kernel.at(self.world.kernel.now + self._slow, self._arrived, out, self.rules)

    def _arrived(self, out: Out, taken_by: rules.Rules) -> None:
        if self.rules is not taken_by or out not in self.outs:
            return
        ask, now = out.ask, self.world.kernel.now
        longest = round(self.settings.classes[ask.kind].deadline * 1000)
        left = min(ask.left, longest) - MARGIN
        self.counters.add("requests_taken")
        call = rules.Call(ask.kind, ask.tenant, left, ask, ask.hint / 1000.0 if ask.hint else None, ask.again, ask.id)
        self.drive(rules.RequestArrived(call, out, now - self._slow))

    def forsaken(self, out: Out) -> None:
        """A caller has left."""
        if out in self.outs and self.rules is not None:
            del self.outs[out]
            self.drive(rules.ClientLeft(out))
            if self._closing:
                self._end_if_idle()

    def answer(self, out: Out, status: int, digest: str, retry_after: int, trouble: str = "") -> None:
        """The end of a request."""
        if self.outs.pop(out, 0) is None:
            world = self.world
            delay = world.delay(self.plan.zone, out.zone)
            if delay is not None:
                world.kernel.at(world.kernel.now + self._slow + delay, out.finish, status, digest, retry_after, trouble)

    # The rules layer.

    def drive(self, message: rules.Message) -> None:
        """Bring a message and carry out the orders."""
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
                    self._alarms[id(alarm)] = event  # the event keeps the alarm, and so its identity
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
                    self._end_flight(flight)
            case rules.ProbeHost(server):
                self._probe(server)
            case rules.UpdateUpstreams(news):
                self._relisted(news)
            case rules.Watch(enable):
                if enable:
                    self.world.discovery.watch(self, self.world.discovery.version(self))
            case rules.LogLine("error", event_name, fields):
                self.world.faults.append(f"{self.plan.name}: {event_name}: {fields}")

    def _alarm(self, alarm: rules.Alarm, set_by: rules.Rules) -> None:
        if set_by is self.rules:
            self.drive(alarm)

    def _relisted(self, news: rules.RoutingUpdate) -> None:
        if news.kind in (api.ListKind.ALL, api.ListKind.REMEMBERED):
            named = {host.entry.server for host in news.hosts}
            for server in [server for server in self.hosts if server not in named]:
                self._gone(server)
        for host in news.hosts:
            if host.entry.state is api.ServerState.OUT:
                self._gone(host.entry.server)
            else:
                self.hosts[host.entry.server] = host

    def _gone(self, server: str) -> None:
        self.hosts.pop(server, None)
        for link in self._idle.pop(server, ()):
            self._close(link)

    # Legs and probes.

    def _send(self, leg: rules.Leg) -> None:
        host = self.hosts.get(leg.server)
        if host is None or host.entry.state is not api.ServerState.IN:
            self._flights[leg] = flight = Flight(leg.server, leg, self.world.kernel.now)
            self._ended(flight, api.Outcome.MOOT)
            return
        self._flights[leg] = flight = Flight(leg.server, leg, self.world.kernel.now)
        self._go(flight)

    def _probe(self, server: str) -> None:
        flight = Flight(server, None, self.world.kernel.now)
        if server not in self.hosts:
            self._ended(flight, api.Outcome.MOOT)
            return
        flight.timer = self.world.kernel.at(flight.sent + 2 * self._dial, self._silent, flight)
        self._go(flight)

    def _silent(self, flight: Flight) -> None:
        if not flight.done:
            self._end_flight(flight)
            self._ended(flight, api.Outcome.TIMEOUT)

    def _go(self, flight: Flight) -> None:
        """Out on a connection that is idle, or a new one."""
        now, idle = self.world.kernel.now, self._idle.get(flight.server)
        while idle:
            link = idle.pop()
            if link.open and link.idle_from + self._idle_for > now:
                self.counters.add("connections_reused")
                self._write(flight, link)
                return
            self._close(link)
        if self.links_open >= self._most and not self._make_room():
            self._ended(flight, api.Outcome.MOOT if flight.leg else api.Outcome.FULL)
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
        there = world.delay(self.plan.zone, host.host.zone) if host is not None else world.delay(0, 0)
        if there is None or (host is not None and host.cut_off):
            world.kernel.at(now + self._dial, self._not_up, flight)
        elif host is None or not host.up or host.refusing:
            world.kernel.at(now + 2 * there, self._not_up, flight)
        else:
            link = Link(self, host)
            self.links_open += 1
            self._links[link] = None
            flight.link = link
            world.kernel.at(now + there, self._accepted, flight, link, there)

    def _not_up(self, flight: Flight) -> None:
        if not flight.done:
            self._flights.pop(flight.leg, None) if flight.leg else None
            self._ended(flight, api.Outcome.CONNECT_FAILED)

    def _accepted(self, flight: Flight, link: Link, there: int) -> None:
        """At the host."""
        taken = link.open and link.host.opened(link)
        self.world.kernel.at(self.world.kernel.now + there, self._up, flight, link, taken)

    def _up(self, flight: Flight, link: Link, taken: bool) -> None:
        if flight.done or not link.open:
            self._close(link)
            return
        self.counters.add("connections_opened")
        if not taken:  # accepted and ended at once: the request was written by then
            self._close(link)
            if flight.leg is not None:
                flight.leg.written = True
                self._flights.pop(flight.leg, None)
            self._ended(flight, api.Outcome.RESET)
            return
        self._write(flight, link)

    def _write(self, flight: Flight, link: Link) -> None:
        flight.link, link.flight = link, flight
        if flight.leg is not None:
            flight.leg.written = True
        self.world.later(self.plan.zone, link.host.host.zone, link.host.take, link, flight)

    def heard(self, link: Link, flight: Flight | None, what: str, status: int, body: bytes, not_run: bool) -> None:
        """Something has come from a host."""
        if not link.open or link.flight is not flight:
            return
        if what == "broke":
            self._close(link)
            if flight is not None and not flight.done:
                self._flights.pop(flight.leg, None) if flight.leg else None
                self._ended(flight, api.Outcome.RESET)
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
            self._ended(flight, api.Outcome.OK, body)
            return
        self._flights.pop(flight.leg, None)
        outcome = api.Outcome.OK if status == 200 else api.Outcome.FULL if not_run else api.Outcome.ERROR
        self._ended(flight, outcome, body)

    def _ended(self, flight: Flight, outcome: api.Outcome, body: bytes = b"") -> None:
        """The one outcome of a leg or a probe."""
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

    def _end_flight(self, flight: Flight) -> None:
        """Nobody waits any more."""
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
    """Discovery and its calls: late, of bounded capacity, cut off by a partition, down for a time."""

    def __init__(self, world: World) -> None:
        scenario = world.scenario
        self._world = world
        self._desk = Desk(scenario.discovery.call_ms / 1000, scenario.discovery.timeout_ms / 1000)
        self._registries = [
            Registry([h for h in world.plan.hosts if h.tier == index], scenario.zones, [k.name for k in tier.kind])
            for index, tier in enumerate(scenario.tiers)
        ]
        self._tiers = {host.name: host.tier for host in world.plan.hosts} | phantoms(scenario)
        self._zones = {host.name: host.zone for host in world.plan.hosts}
        self._kinds = {host.name: host.kind for host in world.plan.hosts}
        self._watching: dict[Proxy, int] = {}
        self._versions: dict[Proxy, int] = {}
        self._last: dict[Proxy, int] = {}  # a watch is one connection: what is told first arrives first
        self._down = False
        self._made: dict[tuple[str, str, int], rules.Host] = {}

    def live(self) -> None:
        """Play the plan."""
        for notice in self._world.plan.notices:
            self._world.kernel.at(notice.at, self._learn, notice)
        for outage in self._world.plan.outages:
            self._world.kernel.at(outage.at, self._set_down, True)
            self._world.kernel.at(outage.until, self._set_down, False)
        for cut in self._world.plan.cuts:
            self._world.kernel.at(cut.at + SILENCE, self._fall_silent)

    def version(self, proxy: Proxy) -> int:
        """The version that a proxy has."""
        return self._versions.get(proxy, 1)

    def known(self, tier: int) -> tuple[rules.Host, ...]:
        """The list from before."""
        return tuple(self._host(h.name, "SERVING", 0) for h in self._world.plan.hosts if h.tier == tier and not h.start)

    def _host(self, name: str, state: str, started: int) -> rules.Host:
        """One entry, shared by all proxies."""
        found = self._made.get((name, state, started))
        if found is None:
            states = {"SERVING": api.ServerState.IN, "DRAINING": api.ServerState.DRAINING}
            found = self._made[name, state, started] = rules.Host(
                api.ServerEntry(
                    name,
                    self._zones.get(name, 0),
                    kind=self._kinds.get(name, 0),
                    state=states.get(state, api.ServerState.OUT),
                    started=(started + EPOCH) / 1000.0 if started else 0.0,
                ),
                "",
            )
        return found

    def watch(self, proxy: Proxy, version: int) -> None:
        """A proxy asks for changes."""
        self._call(proxy, proxy.rules, version, self._world.kernel.now + CALL_TIMEOUT, SYN_AGAIN)

    def _call(self, proxy: Proxy, asked_by: rules.Rules | None, version: int, until: int, again: int) -> None:
        """A call's SYN, the first or one sent again; the proxy waits until then, whatever discovery's queue."""
        world, now = self._world, self._world.kernel.now
        if proxy.rules is not asked_by:
            return
        there = world.delay(proxy.plan.zone, 0)
        if there is None and now + again < until:
            world.kernel.at(now + again, self._call, proxy, asked_by, version, until, 2 * again)
            return
        wait = self._desk.wait(now / 1e6) if there is not None and not self._down else None
        if there is None:
            world.kernel.at(until, self._refused, proxy, asked_by)
        elif wait is None:
            world.kernel.at(now + 2 * there, self._refused, proxy, asked_by)
        elif (answered := now + there + round(wait * 1e6)) < until:
            world.kernel.at(answered, self._answer, proxy, asked_by, version)
        else:
            world.kernel.at(until, self._refused, proxy, asked_by)

    def _refused(self, proxy: Proxy, asked_by: rules.Rules | None) -> None:
        if proxy.rules is asked_by:
            proxy.drive(rules.RoutingUpdate(api.ListKind.REFUSED))

    def _answer(self, proxy: Proxy, asked_by: rules.Rules | None, version: int) -> None:
        if proxy.rules is asked_by and not self._down:
            self._watching[proxy] = version
            self._tell(proxy)

    def leave(self, proxy: Proxy) -> None:
        """A proxy has ended."""
        self._watching.pop(proxy, None)
        self._versions.pop(proxy, None)

    def _tell(self, proxy: Proxy) -> None:
        """What is new to a proxy, if its way is open."""
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
            world.write(records.Told(world.kernel.now, proxy.plan.name, name, state, started))
        kind = api.ListKind.ALL if full else api.ListKind.CHANGES
        if full:
            world.write(records.Told(world.kernel.now, proxy.plan.name, "*", ",".join(names), 0))
        news = rules.RoutingUpdate(kind, tuple(hosts))
        self._last[proxy] = at = max(world.kernel.now + delay, self._last.get(proxy, 0))
        world.kernel.at(at, self._deliver, proxy, proxy.rules, news, registry.version)

    def _deliver(self, proxy: Proxy, told: rules.Rules, news: rules.RoutingUpdate, version: int) -> None:
        if proxy.rules is told:
            self._versions[proxy] = version
            proxy.drive(news)

    def _learn(self, notice: Notice) -> None:
        tier = self._tiers[notice.host]
        if self._registries[tier].learn(notice):
            for proxy in list(self._watching):
                if proxy.plan.tier == tier:
                    self._tell(proxy)

    def _set_down(self, down: bool) -> None:
        self._down = down
        if down:
            self._lose(list(self._watching))

    def _fall_silent(self) -> None:
        if self._world.cut():
            self._lose([p for p in self._watching if p.plan.zone != 0])

    def _lose(self, proxies: Sequence[Proxy]) -> None:
        for proxy in proxies:
            del self._watching[proxy]
            assert proxy.rules is not None
            self._refused(proxy, proxy.rules)


class World:
    """A run in simulated time; the stage of its hosts and clients."""

    def __init__(
        self,
        scenario: Scenario,
        beside: Path | None = None,
        make: Callable[[api.Settings, int], rules.Decisions] | None = None,
    ) -> None:
        """``make``: the decisions, where they aren't the scenario's policy."""
        self.scenario, self.plan = scenario, plan(scenario)
        self.kernel = Kernel(-BEFORE)
        self.records: list[records.Record] = []
        self.write = self.records.append
        self.faults: list[str] = []
        longest = max((kind.window_ms for kind in scenario.classes), default=0.0)
        self.repeats = Repeats(round(longest * 1000) + 1)
        self.make = make or self._policy()
        self._digests: dict[bytes, str] = {}
        net = scenario.net
        self._same, self._cross, self._client = (round(ms * 1000) for ms in (net.same_ms, net.cross_ms, net.client_ms))
        self._draw = stream(scenario.seed, "net")
        self._jitter: list[float] = []
        self.hosts = {host.name: Host(self, host) for host in self.plan.hosts}
        self.discovery = Discovery(self)
        counts = [sum(p.tier == tier for p in self.plan.proxies) for tier in range(len(scenario.tiers))]
        self.proxies: dict[str, Proxy] = {}
        by_zone: dict[tuple[int, int], api.Settings] = {}
        for number, mine in enumerate(self.plan.proxies):
            key = (mine.tier, mine.zone)
            if key not in by_zone:
                told = proxy_settings(scenario, mine, counts[mine.tier])
                by_zone[key] = to_decision_settings(convert_checked(told, PlatformSettings, "settings"))
            settings = replace(by_zone[key], slot=mine.slot)
            self.proxies[mine.name] = Proxy(self, mine, settings, scenario.seed * 1_000_003 + number)
        self._rows = arrivals(scenario, beside)
        first = {proxy.name: proxy.zone for proxy in self.plan.proxies if proxy.tier == 0}
        self.clients = Clients(self, scenario, self._rows, first, self._idle)

    def _policy(self) -> Callable[[api.Settings, int], rules.Decisions]:
        name = self.scenario.policy
        if name == "oracle":
            return lambda settings, seed: Oracle(self.strain, settings, seed)
        return Balancer if name == "cranebank" else POLICIES[name]

    def strain(self, server: str) -> float:
        """The truth about a host, for the oracle: work a core before it, over the speed that it has now."""
        host = self.hosts.get(server)
        if host is None or not host.up or host.refusing or host.hushed or host.stopping:
            return float("inf")
        return host.model.strain(self.kernel.now)

    # The stage.

    def now(self) -> int:
        """Microseconds after the start."""
        return self.kernel.now

    def at(self, when: int, do: Callable[..., Any], *arguments: Any) -> Event:
        """Call at a time after the start."""
        return self.kernel.at(when, do, *arguments)

    def ask(self, proxy: str, zone: int, ask: Ask, done: Callable[[Reply], None], spare: Callable[[], None]) -> Out:
        """Ask a proxy from a zone."""
        out = Out(self.proxies[proxy], zone, ask, done)
        out.reply.sent = self.kernel.now
        self.later(zone, out.proxy.plan.zone, out.proxy.take, out)
        return out

    # The network.

    def cut(self) -> bool:
        """Whether zones don't reach each other now."""
        return any(cut.at <= self.kernel.now < cut.until for cut in self.plan.cuts)

    def delay(self, one: int, other: int) -> int | None:
        """One way between two zones, or None where nothing comes through."""
        if one != other and self.plan.cuts and self.cut():
            return None
        if not self._jitter:
            self._jitter = (1.0 + self.scenario.net.jitter * self._draw.random(DRAWS)).tolist()
        return int((self._same if one == other else self._cross) * self._jitter.pop())

    def later(self, one: int, other: int, do: Callable[..., Any], *arguments: Any) -> None:
        """Something goes from one zone to another; over a cut it is lost."""
        if (delay := self.delay(one, other)) is not None:
            self.kernel.at(self.kernel.now + delay, do, *arguments)

    @staticmethod
    def digest_of(body: bytes) -> str:
        """As the socket laboratory's clients have it."""
        from xxhash import xxh64_hexdigest  # noqa: PLC0415

        return xxh64_hexdigest(body)

    # The run.

    def lived(self, proxy: Proxy, state: str) -> None:
        """A proxy has changed its state."""
        self.write(records.Life(self.kernel.now, proxy.plan.name, state))

    def _suffer(self, fault: ProxyFault) -> None:
        proxy = self.proxies[fault.proxy]
        if proxy.rules is None:
            return
        if fault.hard:
            proxy.die()
            self.lived(proxy, "killed")
        else:
            self.lived(proxy, "stopping")
            proxy.stop()
        self.kernel.at(max(fault.until, self.kernel.now) + BOOT, self._again, proxy)

    def _again(self, proxy: Proxy) -> None:
        if proxy.rules is not None:  # it still ends what it had
            self.kernel.at(self.kernel.now + BOOT, self._again, proxy)
            return
        proxy.start(self.discovery.known(proxy.plan.tier))
        self.lived(proxy, "ready")

    def _launch(self, number: int) -> None:
        if number + 1 < len(self._rows):
            self.kernel.at(self._rows[number + 1].at, self._launch, number + 1)
        self.clients.launch(number)

    def _idle(self) -> None:
        if self.clients.offered == len(self._rows):
            self.kernel.stop()

    def play(self) -> None:
        """Let everything happen."""
        for host in self.hosts.values():
            host.up = not host.host.start
            host.live()
        self.discovery.live()
        known = [self.discovery.known(tier) for tier in range(len(self.scenario.tiers))]
        for proxy in self.proxies.values():
            proxy.start(known[proxy.plan.tier])
            self.lived(proxy, "ready")
        for fault in self.plan.proxy_faults:
            self.kernel.at(fault.at, self._suffer, fault)
        if self._rows:
            self.kernel.at(self._rows[0].at, self._launch, 0)
            self.kernel.run()
        for host in self.hosts.values():
            host.last()
        self.write(records.Generator(len(self._rows), 0, 0, 0, 0.0, self.kernel.now / 1e6))

    def result(self) -> Result:
        """Judge it and sum it up."""
        encode = msgspec.json.encode
        for record in self.records:
            self.kernel.add_to_digest(encode(record))
        verdict = judge(self.scenario, self.plan, self.records)
        result = summarise(self.scenario, self.records, verdict)
        return msgspec.structs.replace(result, digest=self.kernel.digest(), events=self.kernel.events)


def play(scenario: Scenario, beside: Path | None = None) -> Result:
    """Play a scenario in simulated time."""
    world = World(scenario, beside)
    world.play()
    return world.result()
