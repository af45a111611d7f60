"""The rules layer, free of I/O: open requests, their legs, their one answer, and guards around the decision module.

``Rules.handle(now, message) -> orders`` is its only entry point. Its driver (the asyncio engine, the simulator, an
explorer) delivers messages, executes the orders in sequence and keeps the alarms. Nothing here reads a clock, waits
or draws a random number. The content of requests and answers is opaque, so that every protocol gets the same
decisions and keeps the same rules (PROTOCOL, "The rules on sockets"; docs/proxy.md).
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

RESEND_LIST_AFTER_US = 1_000_000  # a module fault on the list itself would recur at once with the list


class Call(msgspec.Struct, frozen=True):
    """A request as the client side received it; ``content`` is protocol data, ``name`` is for the log."""

    class_index: int
    tenant: int
    time_left: int
    content: Any
    cost: float | None = None
    resubmitted: bool = False
    name: str = ""


class Served(msgspec.Struct, frozen=True):
    """The answer of an upstream host; ``content`` is protocol data."""

    content: Any


class Declined(msgspec.Struct, frozen=True):
    """Refused: a repeat is harmless, preferably after ``retry_after`` microseconds."""

    retry_after: int


class Failed(msgspec.Struct, frozen=True):
    """Failed: the request may or may not have had an effect."""


Answer = Served | Declined | Failed


class Leg(msgspec.Struct, eq=False):
    """One attempt. The upstream side sets ``written`` once the last byte is sent; no byte may be sent from ``send_by``
    on, nor once the leg has an ``outcome``."""

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
    """One entry of the routing table: the module's view of the host, and the host's address."""

    entry: api.ServerEntry
    address: str


# Messages.


class RequestArrived(msgspec.Struct, frozen=True):
    """Message: a request was received whole at ``at``; ``ticket`` identifies it to the client side."""

    call: Call
    ticket: Any
    at: int
    followed: bool = False  # each of its steps is logged


class ClientLeft(msgspec.Struct, frozen=True):
    """Message: the client of this request disconnected."""

    ticket: Any


class LegEnded(msgspec.Struct, frozen=True):
    """Message: a leg ended. ``content``: the answer, with OK; ``is_request_fault``: the request itself is at fault;
    ``unproven``: its connection failed, but a process may still listen there."""

    leg: Leg
    outcome: api.Outcome
    load: dict[str, float] | None = None
    content: Any = None
    is_request_fault: bool = False
    unproven: bool = False


class ProbeEnded(msgspec.Struct, frozen=True):
    """Message: a probe ended."""

    server: str
    outcome: api.Outcome
    took: int
    load: dict[str, float] | None = None
    unproven: bool = False  # as in ``LegEnded``


class RoutingUpdate(msgspec.Struct, frozen=True):
    """Message: the list of upstream hosts from discovery, or changes to it."""

    kind: api.ListKind
    hosts: tuple[Host, ...] = ()


class TimerDue(msgspec.Struct, frozen=True):
    """Message and alarm: a timer of the module; ignored if the module was restarted since it was set."""

    name: str
    module: Decisions


class DeadlinePassed(msgspec.Struct, frozen=True):
    """Message and alarm: a request is past its deadline, and the module has not answered it."""

    request: str


class LegTimedOut(msgspec.Struct, frozen=True):
    """Message and alarm: a leg has reached its deadline."""

    leg: Leg


class SendWindowClosed(msgspec.Struct, frozen=True):
    """Message and alarm: a leg that is not written by now may not be written any more."""

    leg: Leg


class ResendList(msgspec.Struct, frozen=True):
    """Message and alarm: the current list is sent to a restarted module."""


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
    """Order: probe a host for its load or health."""

    server: str


class Reply(msgspec.Struct, frozen=True):
    """Order: the one final answer to a request."""

    ticket: Any
    answer: Answer


class SetAlarm(msgspec.Struct, frozen=True):
    """Order: deliver ``alarm`` as a message at ``at``, never before."""

    at: int
    alarm: Alarm


class CancelAlarm(msgspec.Struct, frozen=True):
    """Order: cancel this alarm; delivering it nevertheless does no harm."""

    alarm: Alarm


class Watch(msgspec.Struct, frozen=True):
    """Order: subscribe to changes from discovery, or unsubscribe."""

    enable: bool


class UpdateUpstreams(msgspec.Struct, frozen=True):
    """Order: pass a list update to the upstream side; comes before the orders that result from it."""

    update: RoutingUpdate


class LogLine(msgspec.Struct, frozen=True):
    """Order: write a log line."""

    level: str  # debug or error
    event: str
    fields: dict[str, Any]


Order = SendLeg | CancelLeg | ProbeHost | Reply | SetAlarm | CancelAlarm | Watch | UpdateUpstreams | LogLine


class Decisions(Protocol):
    """The decision module, as this layer uses it."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Process an event and return the actions to take."""


class ModuleClock(Protocol):
    """Conversion between the module's float milliseconds and this layer's whole microseconds."""

    def module_ms(self, at: int) -> float:
        """Convert microseconds of this layer to the module's milliseconds."""

    def from_module_ms(self, at: float) -> int:
        """Convert the module's milliseconds to microseconds of this layer."""


class OpenRequest(msgspec.Struct, eq=False):
    """A request that is not answered yet, or still has legs in flight."""

    name: str
    call: Call
    ticket: Any
    deadline: int
    closed: bool = False
    followed: bool = False
    deadline_alarm: DeadlinePassed | None = None
    legs: list[Leg] = msgspec.field(default_factory=list)
    leg_alarms: list[LegTimedOut] = msgspec.field(default_factory=list)  # one for each leg


def ms_to_us(ms: float) -> int:
    """Convert a duration of the settings or the module to microseconds."""
    return round(ms * 1000.0)


class Rules:
    """Translates messages to events for the module, and its actions to orders."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        clock: ModuleClock,
        counters: Counters,
        make_module: Callable[[api.Settings, int], Decisions] = Balancer,
        subset: Subset | None = None,
    ) -> None:
        """``subset``: selects the hosts that the module knows, where there are many; None: all."""
        self.settings, self._seed, self._clock, self._counters, self._make = (
            settings,
            seed,
            clock,
            counters,
            make_module,
        )
        self._module = make_module(settings, seed)
        self._request_names = map(str, itertools.count(1))
        self._requests: dict[str, OpenRequest] = {}
        self._by_ticket: dict[Any, OpenRequest] = {}
        self._hosts: dict[str, Host] = {}  # all listed hosts
        # Where removals are advisory, a host can't be withdrawn from the module: it must know all of them.
        self._subset = None if settings.removals_are_advisory else subset
        self._subset_hosts: set[str] = set()
        self._orders: list[Order] = []
        self._pending_messages: deque[Message] = deque()  # from this layer itself: the module is not reentrant
        self._now = 0

    @property
    def unanswered_count(self) -> int:
        """The number of requests that are not answered yet."""
        return len(self._by_ticket)

    def beliefs(self) -> dict[str, float]:
        """Return the module's summary of its state for the log; empty for a module without one."""
        beliefs: dict[str, float] = getattr(self._module, "beliefs", dict)()
        return beliefs

    @property
    def open(self) -> int:
        """The number of requests that are not answered yet or have legs in flight."""
        return len(self._requests)

    def handle(self, now: int, message: Message) -> list[Order]:
        """Process one message at ``now``; return the orders to execute, in sequence."""
        self._now, self._orders = now, []
        self._receive(message)
        while self._pending_messages:
            self._receive(self._pending_messages.popleft())
        return self._orders

    def _receive(self, message: Message) -> None:
        match message:
            case RequestArrived():
                self._request_arrived(message)
            case LegEnded():
                self._leg_ended(message)
            case TimerDue(name, module):
                if module is self._module:
                    self._notify_module(api.TimerFired(name))
            case ProbeEnded(server, outcome, took, load, unproven):
                self._counters.add(f"probes_{outcome.name.lower()}")
                self._notify_module(api.ProbeResult(server, outcome, took / 1000.0, load, unproven))
            case ClientLeft(ticket):
                self._client_left(ticket)
            case LegTimedOut(leg):
                # A leg that was not written has not run: it is a connect failure rather than a time-out.
                self._drop(leg, api.Outcome.TIMEOUT if leg.written else api.Outcome.CONNECT_FAILED)
            case SendWindowClosed(leg):
                if not leg.written:  # never run, and not the fault of the host
                    self._drop(leg, api.Outcome.MOOT)
            case RoutingUpdate():
                self._update_table(message)
            case DeadlinePassed(name):
                self._deadline_passed(name)
            case ResendList():
                self._update_table(RoutingUpdate(api.ListKind.REMEMBERED, tuple(self._hosts.values())))

    def _notify_module(self, event: api.Event) -> None:
        """Pass an event to the module and execute its actions."""
        try:
            actions = self._module.handle(self._clock.module_ms(self._now), event)
        except Exception:  # guards all open requests against a fault in the decision module
            self._counters.add("module_faults")
            self._orders.append(LogLine("error", "module_fault", {"trace": traceback.format_exc()[-400:]}))
            self._restart_module(RESEND_LIST_AFTER_US if isinstance(event, api.ServerList) else 0)
            return
        for action in actions:
            self._execute(action)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Send(name, server, timeout):
                self._send(name, server, ms_to_us(timeout))
            case api.SetTimer(at, name):
                self._orders.append(SetAlarm(self._clock.from_module_ms(at), TimerDue(name, self._module)))
            case api.Probe(server):
                self._counters.add("probes_sent")
                self._orders.append(ProbeHost(server))
            case api.Cancel(name, number):
                if name in self._requests and number < len(self._requests[name].legs):
                    self._drop(self._requests[name].legs[number], api.Outcome.CANCELLED)
            case api.Refuse(name, retry_after):
                if name in self._requests:
                    self._decline(self._requests[name], ms_to_us(retry_after))
            case api.Fail(name):
                if name in self._requests:
                    self._answer(self._requests[name], Failed())
            case api.Watch(enable):
                self._orders.append(Watch(enable))

    def _request_arrived(self, message: RequestArrived) -> None:
        call = message.call
        request = OpenRequest(next(self._request_names), call, message.ticket, message.at + max(0, call.time_left))
        self._requests[request.name] = self._by_ticket[message.ticket] = request
        request.followed = message.followed
        self._log_step(request, "taken", kind=call.class_index, tenant=call.tenant, left_us=call.time_left)
        # Guarantees one answer in time even if the module loses the request.
        request.deadline_alarm = DeadlinePassed(request.name)
        late = request.deadline + ms_to_us(self.settings.answer_slack / 2)
        self._orders.append(SetAlarm(late, request.deadline_alarm))
        left = max(0, request.deadline - self._now) / 1000.0
        self._notify_module(
            api.Request(request.name, call.class_index, left, call.tenant, None, call.cost, call.resubmitted)
        )

    def _send(self, name: str, server: str, timeout: int) -> None:
        request, now = self._requests.get(name), self._now
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
        request.leg_alarms.append(alarm)
        if request.closed or now >= deadline or leg.number >= self.settings.max_attempts:
            self._pending_messages.append(LegEnded(leg, api.Outcome.MOOT))
            return
        self._counters.add("legs_sent")
        if leg.number:
            second = any(earlier.outcome is None for earlier in request.legs[:-1])
            self._counters.add("legs_second" if second else "legs_repeated")
        host = self._hosts.get(server)
        if host is not None:
            self._counters.add("legs_crossing", host.entry.zone != self.settings.zone)
            if self._clock.module_ms(now) - host.entry.started < self.settings.warm_after:
                self._counters.add("legs_to_cold")
        self._log_step(request, "leg_sent", leg=leg.number, host=server, wait_us=deadline - now)
        self._orders.append(SetAlarm(deadline, alarm))
        if leg.send_by < deadline:
            self._orders.append(SetAlarm(leg.send_by, SendWindowClosed(leg)))
        self._orders.append(SendLeg(leg))

    def _window_end(self, request: OpenRequest) -> int:
        """Return when hosts stop recognising a repeat; the window begins with the first leg that may have run.

        Guards the rule on effects against slow writing of a repeat: connecting may take longer than the window.
        """
        request_class = self.settings.classes[request.call.class_index]
        ran = next((leg for leg in request.legs if leg.outcome not in NEVER_RAN), None)
        if ran is None or request_class.effect is not api.Effect.KEYED:
            return request.deadline
        return ran.sent_at + ms_to_us(request_class.repeat_window - self.settings.tick)

    def _drop(self, leg: Leg, outcome: api.Outcome) -> None:
        """End a leg that is still in flight."""
        if leg.outcome is None:
            self._orders.append(CancelLeg(leg))
            # Guards a healthy host against requests with little time left: the time-out is the proxy's own.
            self._pending_messages.append(LegEnded(leg, outcome, unproven=True))

    def _leg_ended(self, ended: LegEnded) -> None:
        leg = ended.leg
        request = self._requests.get(leg.request)
        if request is None or leg.outcome is not None:
            return  # each leg has one outcome, and this one has it already
        leg.outcome = ended.outcome
        self._orders.append(CancelAlarm(request.leg_alarms[leg.number]))
        self._counters.add(f"legs_{ended.outcome.name.lower()}")
        self._log_step(
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
        if ended.is_request_fault:  # every host would reject the request: no evidence about this one
            self._answer(request, Failed())
            outcome = api.Outcome.CANCELLED
        took = (self._now - leg.sent_at) / 1000.0
        self._notify_module(
            api.AttemptResult(
                leg.request, leg.number, leg.server, outcome, took, request.closed, ended.load, ended.unproven
            )
        )
        self._forget(request)

    def _log_step(self, request: OpenRequest, event: str, **fields: Any) -> None:
        if request.followed:
            self._orders.append(LogLine("debug", event, {"request": request.call.name, **fields}))

    def _decline(self, request: OpenRequest, retry_after: int) -> None:
        request_class = self.settings.classes[request.call.class_index]
        harmless = request_class.effect is api.Effect.SAFE or (
            request_class.effect is api.Effect.KEYED and request_class.group is api.Group.ALL
        )
        # Guards the rule on refusals: no invitation to retry if a leg may have run and the class forbids repeats.
        if harmless or all(leg.outcome in NEVER_RAN for leg in request.legs):
            self._answer(request, Declined(retry_after))
        else:
            self._answer(request, Failed())

    def _answer(self, request: OpenRequest, answer: Answer) -> None:
        """Send the one final answer; the module cancels legs that are still in flight."""
        if request.closed:
            return
        self._counters.add(f"answers_{type(answer).__name__.lower()}")
        self._log_step(request, "answered", answer=type(answer).__name__.lower(), legs=len(request.legs))
        self._orders.append(Reply(request.ticket, answer))
        self._close(request)

    def _close(self, request: OpenRequest) -> None:
        request.closed = True
        if request.deadline_alarm is not None:
            self._orders.append(CancelAlarm(request.deadline_alarm))
        self._by_ticket.pop(request.ticket, None)
        self._forget(request)

    def _forget(self, request: OpenRequest) -> None:
        if request.closed and all(leg.outcome is not None for leg in request.legs):
            self._requests.pop(request.name, None)

    def _client_left(self, ticket: Any) -> None:
        request = self._by_ticket.get(ticket)
        if request is None:
            return  # already answered
        self._counters.add("clients_left")
        self._log_step(request, "client_left", legs=len(request.legs))
        self._close(request)
        self._notify_module(api.RequestGone(request.name))
        for leg in request.legs:  # also where the module may not cancel: no client waits for them
            self._drop(leg, api.Outcome.CANCELLED)

    def _deadline_passed(self, name: str) -> None:
        request = self._requests.get(name)
        if request is None or request.closed:
            return
        self._counters.add("answers_overdue")
        self._orders.append(LogLine("error", "answer_overdue", {"request": request.call.name}))
        self._answer(request, Failed())
        self._notify_module(api.RequestGone(name))

    def _update_table(self, update: RoutingUpdate) -> None:
        self._counters.add(f"lists_{update.kind.value}")
        if update.kind not in (api.ListKind.REFUSED, api.ListKind.CHANGES):
            self._hosts.clear()
        for host in update.hosts:
            if host.entry.state is api.ServerState.OUT:
                self._hosts.pop(host.entry.server, None)
            else:
                self._hosts[host.entry.server] = host
        if self._subset is not None and update.kind is not api.ListKind.REFUSED:
            update = self._restrict_to_subset(self._subset, update)
        self._orders.append(UpdateUpstreams(update))
        self._notify_module(api.ServerList(update.kind, tuple(host.entry for host in update.hosts)))

    def _restrict_to_subset(self, subset: Subset, update: RoutingUpdate) -> RoutingUpdate:
        """Restrict an update to the hosts of the subset; a host that leaves the subset is listed as out of service."""
        in_service = api.ServerState.IN
        whole = update.kind is not api.ListKind.CHANGES
        if whole:
            subset.update((), [name for name in subset.hosts() if name not in self._hosts])
        subset.update(
            ((h.entry.server, h.entry.zone) for h in update.hosts if h.entry.state is in_service),
            [h.entry.server for h in update.hosts if h.entry.state is not in_service],
        )
        before, self._subset_hosts = self._subset_hosts, subset.chosen()
        self._counters.add("subset_joined", len(self._subset_hosts - before))
        self._counters.add("subset_left", len(before - self._subset_hosts))
        if whole:
            return RoutingUpdate(
                update.kind, tuple(host for name, host in self._hosts.items() if name in self._subset_hosts)
            )
        named = {host.entry.server for host in update.hosts}
        hosts = [
            host for host in update.hosts if host.entry.server in before or host.entry.server in self._subset_hosts
        ]
        hosts += [self._hosts[name] for name in sorted(self._subset_hosts - before) if name not in named]
        hosts += [
            Host(replace(self._hosts[name].entry, state=api.ServerState.OUT), self._hosts[name].address)
            for name in sorted(before - self._subset_hosts)
            if name not in named and name in self._hosts
        ]
        return RoutingUpdate(update.kind, tuple(hosts))

    def _restart_module(self, pause: int) -> None:
        """Answer all open requests and start a new module: after a fault the state of the old one can't be trusted."""
        self._seed += 1
        self._module = self._make(self.settings, self._seed)
        for request in [r for r in self._requests.values() if not r.closed]:
            self._decline(request, 0)
        for leg in [leg for r in self._requests.values() for leg in r.legs]:
            self._drop(leg, api.Outcome.CANCELLED)
        self._orders.append(SetAlarm(self._now + pause, ResendList()))
