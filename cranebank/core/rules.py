"""The rules layer without I/O: open requests, their legs, their one answer, the guards around the module.

``Rules.handle(now, message) -> orders`` is its only entry; whoever drives it (the asyncio engine, the simulator, an
explorer) brings messages, carries out the orders in turn and keeps the alarms. Nothing here reads a clock, waits or
draws a random number. What a request or an answer holds is opaque, so that every protocol gets the same decisions
and keeps the same rules (PROTOCOL, "The rules on sockets"; docs/proxy.md).
"""

from __future__ import annotations

import itertools
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from msgspec.structs import replace

from cranebank.core.counters import Counters
from cranebank.decisions import interface as api
from cranebank.decisions.balance import NEVER_RAN, Balancer
from cranebank.routing.subset import Subset

RELIST_AFTER = 1_000_000  # a fault of the module on the list itself would come back at once with the list


class Call(msgspec.Struct, frozen=True):
    """A request as the client side took it; ``content`` is the protocol's own, ``name`` is for the log."""

    class_index: int
    tenant: int
    time_left: int
    content: Any
    cost: float | None = None
    resubmitted: bool = False
    name: str = ""


class Served(msgspec.Struct, frozen=True):
    """The answer of an upstream host, as the protocol on that side gave it."""

    content: Any


class Declined(msgspec.Struct, frozen=True):
    """Refused: trying again is harmless, best after ``retry_after`` microseconds."""

    retry_after: int


class Failed(msgspec.Struct, frozen=True):
    """Failed, with nothing promised about the effect."""


Answer = Served | Declined | Failed


class Leg(msgspec.Struct, eq=False):
    """One attempt. ``written`` is set by the upstream side once the last byte is out; no byte of it may go out from
    ``send_by`` on, nor once it has an ``outcome``."""

    request: str
    number: int
    server: str
    content: Any
    sent_at: int
    deadline: int
    send_by: int
    written: bool = False
    outcome: api.Outcome | None = None


class Host(msgspec.Struct, frozen=True):
    """One line of the routing table: what the module sees of it, and where it is reached."""

    entry: api.ServerEntry
    address: str


# Messages.


class RequestArrived(msgspec.Struct, frozen=True):
    """Message: a request was taken at ``at``, its last byte in; ``ticket`` names it to who brought it."""

    call: Call
    ticket: Any
    at: int
    followed: bool = False  # in the log, step by step


class ClientLeft(msgspec.Struct, frozen=True):
    """Message: the client of this request went away."""

    ticket: Any


class LegEnded(msgspec.Struct, frozen=True):
    """Message: how a leg ended; ``content`` came with OK; ``is_request_fault`` if the request itself is at fault;
    ``unproven`` if its connection failed and the host may listen all the same."""

    leg: Leg
    outcome: api.Outcome
    load: dict[str, float] | None = None
    content: Any = None
    is_request_fault: bool = False
    unproven: bool = False


class ProbeEnded(msgspec.Struct, frozen=True):
    """Message: what a probe found."""

    server: str
    outcome: api.Outcome
    took: int
    load: dict[str, float] | None = None
    unproven: bool = False  # as for a leg


class RoutingUpdate(msgspec.Struct, frozen=True):
    """Message: discovery's word on the upstream hosts."""

    kind: api.ListKind
    hosts: tuple[Host, ...] = ()


class TimerDue(msgspec.Struct, frozen=True):
    """Message, and what an alarm is set for: a timer of the module's; one from before a fault is nobody's."""

    name: str
    balancer: Decisions


class DeadlinePassed(msgspec.Struct, frozen=True):
    """Message, and what an alarm is set for: a request is past its deadline, whatever the module makes of it."""

    request: str


class LegTimedOut(msgspec.Struct, frozen=True):
    """Message, and what an alarm is set for: a leg's time is up."""

    leg: Leg


class SendWindowClosed(msgspec.Struct, frozen=True):
    """Message, and what an alarm is set for: a leg that is not written by now may not be any more."""

    leg: Leg


class ResendList(msgspec.Struct, frozen=True):
    """Message, and what an alarm is set for: the list as it stands is told to a module that starts anew."""


Alarm = TimerDue | DeadlinePassed | LegTimedOut | SendWindowClosed | ResendList
Message = RequestArrived | ClientLeft | LegEnded | ProbeEnded | RoutingUpdate | Alarm


# Orders.


class SendLeg(msgspec.Struct, frozen=True):
    """Order: send this leg."""

    leg: Leg


class CancelLeg(msgspec.Struct, frozen=True):
    """Order: stop waiting for this leg."""

    leg: Leg


class ProbeHost(msgspec.Struct, frozen=True):
    """Order: ask a host for its load or health."""

    server: str


class Reply(msgspec.Struct, frozen=True):
    """Order: the one final answer to a request."""

    ticket: Any
    answer: Answer


class SetAlarm(msgspec.Struct, frozen=True):
    """Order: bring ``alarm`` as a message at ``at``, never before."""

    at: int
    alarm: Alarm


class CancelAlarm(msgspec.Struct, frozen=True):
    """Order: this alarm isn't wanted any more; bringing it all the same does no harm."""

    alarm: Alarm


class Watch(msgspec.Struct, frozen=True):
    """Order: ask discovery for changes, or no longer."""

    enable: bool


class UpdateUpstreams(msgspec.Struct, frozen=True):
    """Order: discovery's word, for the upstream side; comes before any order that follows from it."""

    news: RoutingUpdate


class LogLine(msgspec.Struct, frozen=True):
    """Order: a line for the log."""

    level: str  # debug, error
    event: str
    fields: dict[str, Any]


Order = SendLeg | CancelLeg | ProbeHost | Reply | SetAlarm | CancelAlarm | Watch | UpdateUpstreams | LogLine


class Decisions(Protocol):
    """The decision module, as this layer needs it."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take an event and return what is to be done."""


class ModuleClock(Protocol):
    """The module's float milliseconds, and this layer's whole microseconds."""

    def module_ms(self, at: int) -> float:
        """Convert microseconds of this layer to the module's milliseconds."""

    def from_module_ms(self, at: float) -> int:
        """Convert the module's milliseconds to microseconds of this layer."""


class Open(msgspec.Struct, eq=False):
    """A request that was taken and is not answered yet, or has legs out."""

    name: str
    call: Call
    ticket: Any
    deadline: int
    over: bool = False
    followed: bool = False
    overdue: DeadlinePassed | None = None
    legs: list[Leg] = msgspec.field(default_factory=list)
    alarms: list[LegTimedOut] = msgspec.field(default_factory=list)  # by leg


def ms_to_us(ms: float) -> int:
    """A duration of the settings or the module in microseconds."""
    return round(ms * 1000.0)


class Rules:
    """Turns messages into the module's events, and its actions into orders."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        time: ModuleClock,
        counters: Counters,
        make: Callable[[api.Settings, int], Decisions] = Balancer,
        subset: Subset | None = None,
    ) -> None:
        """``subset``: which hosts the module is to know at all, where these are many; None: all."""
        self.settings, self._seed, self._time, self._counters, self._make = settings, seed, time, counters, make
        self._balancer = make(settings, seed)
        self._names = map(str, itertools.count(1))
        self._open: dict[str, Open] = {}
        self._by_ticket: dict[Any, Open] = {}
        self._hosts: dict[str, Host] = {}  # all that are listed
        # Where only draining binds, a host can't be taken from the module again: then it knows all.
        self._subset = None if settings.removals_are_advisory else subset
        self._kept: set[str] = set()  # by the subset
        self._orders: list[Order] = []
        self._next: deque[Message] = deque()  # brought by this layer itself: the module may be inside an event
        self._now = 0

    @property
    def unanswered_count(self) -> int:
        """Requests that are not answered yet."""
        return len(self._by_ticket)

    def beliefs(self) -> dict[str, float]:
        """What the module believes, for the log; nothing of one that does not say."""
        told: dict[str, float] = getattr(self._balancer, "beliefs", dict)()
        return told

    @property
    def open(self) -> int:
        """Requests that are not answered yet or have legs out."""
        return len(self._open)

    def handle(self, now: int, message: Message) -> list[Order]:
        """Take one message at ``now``; return what to do, in order."""
        self._now, self._orders = now, []
        self._take(message)
        while self._next:
            self._take(self._next.popleft())
        return self._orders

    def _take(self, message: Message) -> None:
        match message:
            case RequestArrived():
                self._arrived(message)
            case LegEnded():
                self._leg_ended(message)
            case TimerDue(name, balancer):
                if balancer is self._balancer:
                    self._tell(api.TimerFired(name))
            case ProbeEnded(server, outcome, took, load, unproven):
                self._counters.add(f"probes_{outcome.name.lower()}")
                self._tell(api.ProbeResult(server, outcome, took / 1000.0, load, unproven))
            case ClientLeft(ticket):
                self._left(ticket)
            case LegTimedOut(leg):
                # A connection that was never up has carried nothing: that is a connect failure, whatever the hour.
                self._drop(leg, api.Outcome.TIMEOUT if leg.written else api.Outcome.CONNECT_FAILED)
            case SendWindowClosed(leg):
                if not leg.written:  # never run, and no fault of the host's
                    self._drop(leg, api.Outcome.MOOT)
            case RoutingUpdate():
                self._news(message)
            case DeadlinePassed(name):
                self._overdue(name)
            case ResendList():
                self._news(RoutingUpdate(api.ListKind.REMEMBERED, tuple(self._hosts.values())))

    def _tell(self, event: api.Event) -> None:
        """Give the module an event and carry out what it says."""
        try:
            actions = self._balancer.handle(self._time.module_ms(self._now), event)
        except Exception:  # guards every open request against a fault in the decisions
            self._counters.add("module_faults")
            self._orders.append(LogLine("error", "module_fault", {"trace": traceback.format_exc()[-400:]}))
            self._restart_module(RELIST_AFTER if isinstance(event, api.ServerList) else 0)
            return
        for action in actions:
            self._do(action)

    def _do(self, action: api.Action) -> None:
        match action:
            case api.Send(name, server, timeout):
                self._send(name, server, ms_to_us(timeout))
            case api.SetTimer(at, name):
                self._orders.append(SetAlarm(self._time.from_module_ms(at), TimerDue(name, self._balancer)))
            case api.Probe(server):
                self._counters.add("probes_sent")
                self._orders.append(ProbeHost(server))
            case api.Cancel(name, number):
                if name in self._open and number < len(self._open[name].legs):
                    self._drop(self._open[name].legs[number], api.Outcome.CANCELLED)
            case api.Refuse(name, retry_after):
                if name in self._open:
                    self._decline(self._open[name], ms_to_us(retry_after))
            case api.Fail(name):
                if name in self._open:
                    self._answer(self._open[name], Failed())
            case api.Watch(enable):
                self._orders.append(Watch(enable))

    def _arrived(self, message: RequestArrived) -> None:
        call = message.call
        request = Open(next(self._names), call, message.ticket, message.at + max(0, call.time_left))
        self._open[request.name] = self._by_ticket[message.ticket] = request
        request.followed = message.followed
        self._follow(request, "taken", kind=call.class_index, tenant=call.tenant, left_us=call.time_left)
        # Guards the promise of one answer in time against a module that forgets the request.
        request.overdue = DeadlinePassed(request.name)
        late = request.deadline + ms_to_us(self.settings.answer_slack / 2)
        self._orders.append(SetAlarm(late, request.overdue))
        left = max(0, request.deadline - self._now) / 1000.0
        self._tell(api.Request(request.name, call.class_index, left, call.tenant, None, call.cost, call.resubmitted))

    def _send(self, name: str, server: str, timeout: int) -> None:
        request, now = self._open.get(name), self._now
        if request is None:
            self._counters.add("sends_for_closed_requests")
            return
        deadline = min(request.deadline, now + timeout) if timeout else request.deadline
        leg = Leg(
            name,
            len(request.legs),
            server,
            request.call.content,
            now,
            deadline,
            min(deadline, self._window_end(request)),
        )
        request.legs.append(leg)
        alarm = LegTimedOut(leg)
        request.alarms.append(alarm)
        if request.over or now >= deadline or leg.number >= self.settings.max_attempts:
            self._next.append(LegEnded(leg, api.Outcome.MOOT))
            return
        self._counters.add("legs_sent")
        if leg.number:
            second = any(earlier.outcome is None for earlier in request.legs[:-1])
            self._counters.add("legs_second" if second else "legs_repeated")
        host = self._hosts.get(server)
        if host is not None:
            self._counters.add("legs_crossing", host.entry.zone != self.settings.zone)
            if self._time.module_ms(now) - host.entry.started < self.settings.warm_after:
                self._counters.add("legs_to_cold")
        self._follow(request, "leg_sent", leg=leg.number, host=server, wait_us=deadline - now)
        self._orders.append(SetAlarm(deadline, alarm))
        if leg.send_by < deadline:
            self._orders.append(SetAlarm(leg.send_by, SendWindowClosed(leg)))
        self._orders.append(SendLeg(leg))

    def _window_end(self, request: Open) -> int:
        """Until when hosts know a keyed request again that may have run: from its first leg that may have.

        Guards the rule on effects against the time that a repeat takes to be written: dialling may outlast the window.
        """
        kind = self.settings.classes[request.call.class_index]
        ran = next((leg for leg in request.legs if leg.outcome not in NEVER_RAN), None)
        if ran is None or kind.effect is not api.Effect.KEYED:
            return request.deadline
        return ran.sent_at + ms_to_us(kind.repeat_window - self.settings.tick)

    def _drop(self, leg: Leg, outcome: api.Outcome) -> None:
        """Stop waiting for a leg that is still out."""
        if leg.outcome is None:
            self._orders.append(CancelLeg(leg))
            # Guards a sound host against a request with little time left: it was we who stopped waiting.
            self._next.append(LegEnded(leg, outcome, unproven=True))

    def _leg_ended(self, ended: LegEnded) -> None:
        leg = ended.leg
        request = self._open.get(leg.request)
        if request is None or leg.outcome is not None:
            return  # its outcome came already: every leg has one
        leg.outcome = ended.outcome
        self._orders.append(CancelAlarm(request.alarms[leg.number]))
        self._counters.add(f"legs_{ended.outcome.name.lower()}")
        self._follow(
            request,
            "leg_ended",
            leg=leg.number,
            host=leg.server,
            written=leg.written,
            outcome=ended.outcome.name.lower(),
            took_us=self._now - leg.sent_at,
        )
        if ended.outcome is api.Outcome.OK:
            self._answer(request, Served(ended.content))
        outcome = ended.outcome
        if ended.is_request_fault:  # no host would take it, and it says nothing about this one
            self._answer(request, Failed())
            outcome = api.Outcome.CANCELLED
        took = (self._now - leg.sent_at) / 1000.0
        self._tell(
            api.AttemptResult(
                leg.request, leg.number, leg.server, outcome, took, request.over, ended.load, ended.unproven
            )
        )
        self._forget(request)

    def _follow(self, request: Open, event: str, **fields: Any) -> None:
        if request.followed:
            self._orders.append(LogLine("debug", event, {"request": request.call.name, **fields}))

    def _decline(self, request: Open, retry_after: int) -> None:
        kind = self.settings.classes[request.call.class_index]
        harmless = kind.effect is api.Effect.SAFE or (kind.effect is api.Effect.KEYED and kind.group is api.Group.ALL)
        # Guards the rule on refusals: never "try again" while a leg may have run and the class forbids it.
        if harmless or all(leg.outcome in NEVER_RAN for leg in request.legs):
            self._answer(request, Declined(retry_after))
        else:
            self._answer(request, Failed())

    def _answer(self, request: Open, answer: Answer) -> None:
        """The one final answer; legs still out are the module's to cancel."""
        if request.over:
            return
        self._counters.add(f"answers_{type(answer).__name__.lower()}")
        self._follow(request, "answered", answer=type(answer).__name__.lower(), legs=len(request.legs))
        self._orders.append(Reply(request.ticket, answer))
        self._close(request)

    def _close(self, request: Open) -> None:
        request.over = True
        if request.overdue is not None:
            self._orders.append(CancelAlarm(request.overdue))
        self._by_ticket.pop(request.ticket, None)
        self._forget(request)

    def _forget(self, request: Open) -> None:
        if request.over and all(leg.outcome is not None for leg in request.legs):
            self._open.pop(request.name, None)

    def _left(self, ticket: Any) -> None:
        request = self._by_ticket.get(ticket)
        if request is None:
            return  # it was answered a moment ago
        self._counters.add("clients_left")
        self._follow(request, "client_left", legs=len(request.legs))
        self._close(request)
        self._tell(api.RequestGone(request.name))
        for leg in request.legs:  # where the module may not cancel, nobody waits for them all the same
            self._drop(leg, api.Outcome.CANCELLED)

    def _overdue(self, name: str) -> None:
        request = self._open.get(name)
        if request is None or request.over:
            return
        self._counters.add("answers_overdue")
        self._orders.append(LogLine("error", "answer_overdue", {"request": request.call.name}))
        self._answer(request, Failed())
        self._tell(api.RequestGone(name))

    def _news(self, news: RoutingUpdate) -> None:
        self._counters.add(f"lists_{news.kind.value}")
        if news.kind not in (api.ListKind.REFUSED, api.ListKind.CHANGES):
            self._hosts.clear()
        for host in news.hosts:
            if host.entry.state is api.ServerState.OUT:
                self._hosts.pop(host.entry.server, None)
            else:
                self._hosts[host.entry.server] = host
        if self._subset is not None and news.kind is not api.ListKind.REFUSED:
            news = self._narrowed(self._subset, news)
        self._orders.append(UpdateUpstreams(news))
        self._tell(api.ServerList(news.kind, tuple(host.entry for host in news.hosts)))

    def _narrowed(self, subset: Subset, news: RoutingUpdate) -> RoutingUpdate:
        """The same news to who knows but a part of the hosts; one that leaves the part is said to be gone."""
        in_service = api.ServerState.IN
        whole = news.kind is not api.ListKind.CHANGES
        if whole:
            subset.update((), [name for name in subset.hosts() if name not in self._hosts])
        subset.update(
            ((h.entry.server, h.entry.zone) for h in news.hosts if h.entry.state is in_service),
            [h.entry.server for h in news.hosts if h.entry.state is not in_service],
        )
        before, self._kept = self._kept, subset.chosen()
        self._counters.add("subset_joined", len(self._kept - before))
        self._counters.add("subset_left", len(before - self._kept))
        if whole:
            return RoutingUpdate(news.kind, tuple(host for name, host in self._hosts.items() if name in self._kept))
        named = {host.entry.server for host in news.hosts}
        hosts = [host for host in news.hosts if host.entry.server in before or host.entry.server in self._kept]
        hosts += [self._hosts[name] for name in sorted(self._kept - before) if name not in named]
        hosts += [
            Host(replace(self._hosts[name].entry, state=api.ServerState.OUT), self._hosts[name].address)
            for name in sorted(before - self._kept)
            if name not in named and name in self._hosts
        ]
        return RoutingUpdate(news.kind, tuple(hosts))

    def _restart_module(self, pause: int) -> None:
        """After a fault nothing that the module remembers is to be trusted: answer all, start it anew."""
        self._seed += 1
        self._balancer = self._make(self.settings, self._seed)
        for request in [r for r in self._open.values() if not r.over]:
            self._decline(request, 0)
        for leg in [leg for r in self._open.values() for leg in r.legs]:
            self._drop(leg, api.Outcome.CANCELLED)
        self._orders.append(SetAlarm(self._now + pause, ResendList()))
