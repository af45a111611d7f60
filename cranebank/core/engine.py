"""The module's actor: it owns the Balancer, the timers and the open requests, and speaks no protocol.

Whoever takes in requests calls ``submit`` and awaits the answer; whoever reaches the issuer hosts
implements ``Issuers``; whoever reads discovery implements ``RoutingTable``. What a request or an answer
holds is opaque here, so a second protocol gets the same decisions and keeps the same rules.
"""

from __future__ import annotations

import asyncio
import itertools
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from cranebank.core.clock import Clock, span_us
from cranebank.core.counters import Counters
from cranebank.core.log import Log
from cranebank.core.mailbox import Mailbox
from cranebank.decisions import interface as api
from cranebank.decisions.balance import NEVER_RAN, Balancer


@dataclass(slots=True, frozen=True)
class Call:
    """A request as the acquirer side took it; ``content`` is the protocol's own, ``name`` is for the log."""

    class_index: int
    tenant: int
    time_left: int
    content: Any
    cost: float | None = None
    resubmitted: bool = False
    name: str = ""


@dataclass(slots=True, frozen=True)
class Served:
    """The answer of an issuer host, as the protocol on that side gave it."""

    content: Any


@dataclass(slots=True, frozen=True)
class Declined:
    """Refused: trying again is harmless, best after ``retry_after`` microseconds."""

    retry_after: int


@dataclass(slots=True, frozen=True)
class Failed:
    """Failed, with nothing promised about the effect."""


Answer = Served | Declined | Failed


@dataclass(slots=True, eq=False)
class Leg:
    """One attempt. ``written`` is set by the issuer's actor once the last byte is out."""

    request: str
    number: int
    server: str
    content: Any
    sent_at: int
    deadline: int
    written: bool = False
    outcome: api.Outcome | None = None
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True, frozen=True)
class Host:
    """One line of the routing table: what the module sees of it, and where it is reached."""

    entry: api.ServerEntry
    address: str


@dataclass(slots=True, frozen=True)
class Arrived:
    """Message: a request was taken, its last byte in."""

    call: Call
    answer: asyncio.Future[Answer]
    at: int


@dataclass(slots=True, frozen=True)
class Left:
    """Message: the client of this request went away."""

    answer: asyncio.Future[Answer]


@dataclass(slots=True, frozen=True)
class LegEnded:
    """Message: how a leg ended; ``content`` came with OK; ``hopeless`` if the request itself is at fault."""

    leg: Leg
    outcome: api.Outcome
    load: dict[str, float] | None = None
    content: Any = None
    hopeless: bool = False


@dataclass(slots=True, frozen=True)
class Probed:
    """Message: what a probe found."""

    server: str
    outcome: api.Outcome
    took: int
    load: dict[str, float] | None = None


@dataclass(slots=True, frozen=True)
class TableNews:
    """Message: discovery's word on the issuer hosts."""

    kind: api.ListKind
    hosts: tuple[Host, ...] = ()


@dataclass(slots=True, frozen=True)
class Due:
    """Message: a timer is due that this balancer set; one from before a fault is nobody's."""

    name: str
    balancer: Decisions


@dataclass(slots=True, frozen=True)
class Overdue:
    """Message: a request is past its deadline, whatever the module makes of it."""

    request: str


Message = Arrived | Left | LegEnded | Probed | TableNews | Due | Overdue


class Decisions(Protocol):
    """The decision module, as the engine needs it."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]: ...


class Issuers(Protocol):
    """The issuer hosts' side, as the engine needs it."""

    def update(self, news: TableNews) -> None: ...
    def send(self, leg: Leg) -> None: ...
    def cancel(self, leg: Leg) -> None: ...
    def probe(self, server: str) -> None: ...


class RoutingTable(Protocol):
    """The discovery side, as the engine needs it."""

    def watch(self, enable: bool) -> None: ...


@dataclass(slots=True)
class Open:
    """A request that was taken and is not answered yet, or has legs out."""

    name: str
    call: Call
    answer: asyncio.Future[Answer]
    deadline: int
    over: bool = False
    followed: bool = False  # in the log, step by step
    overdue: asyncio.TimerHandle | None = None
    legs: list[Leg] = field(default_factory=list)


class Engine:
    """Turns messages into the module's events and its actions into legs, answers, probes and timers."""

    def __init__(self, settings: api.Settings, seed: int, clock: Clock, counters: Counters, log: Log,
                 make: Callable[[api.Settings, int], Decisions] = Balancer) -> None:
        self.settings, self._seed = settings, seed
        self._clock, self._counters, self._log, self._make = clock, counters, log, make
        self._balancer = make(settings, seed)
        self._mailbox: Mailbox[Message] = Mailbox(self._take, log)
        self.post = self._mailbox.post
        self._issuers: Issuers
        self._table: RoutingTable
        self._names = map(str, itertools.count(1))
        self._open: dict[str, Open] = {}
        self._by_answer: dict[asyncio.Future[Answer], Open] = {}
        self._hosts: dict[str, Host] = {}
        self._owed = 0  # answers owed, from the moment of taking: a request may still lie in the mailbox
        self._idle = asyncio.Event()
        self._idle.set()

    def connect(self, issuers: Issuers, table: RoutingTable) -> None:
        """Name the two other sides; to be called before the first message."""
        self._issuers, self._table = issuers, table

    def submit(self, call: Call) -> asyncio.Future[Answer]:
        """Take a request; the future gets its one final answer. Cancel by posting ``Left``."""
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.post(Arrived(call, answer, self._clock.now()))
        self._counters.add("requests_taken")
        self._owed += 1
        self._idle.clear()
        return answer

    async def idle(self) -> None:
        """Wait until nothing that was taken is unanswered."""
        await self._idle.wait()

    def _take(self, message: Message) -> None:
        match message:
            case Arrived():
                self._arrived(message)
            case LegEnded():
                self._leg_ended(message)
            case Due(name, balancer):
                if balancer is self._balancer:
                    self._tell(api.TimerFired(name))
            case Probed(server, outcome, took, load):
                self._counters.add(f"probes_{outcome.name.lower()}")
                self._tell(api.ProbeResult(server, outcome, took / 1000.0, load))
            case Left(answer):
                self._left(answer)
            case TableNews():
                self._news(message)
            case Overdue(name):
                self._overdue(name)

    def _tell(self, event: api.Event) -> None:
        """Give the module an event and carry out what it says."""
        try:
            actions = self._balancer.handle(self._clock.module_ms(self._clock.now()), event)
        except Exception:  # guards every open request against a fault in the decisions
            self._counters.add("module_faults")
            self._log.error("module_fault", trace=traceback.format_exc()[-400:])
            # A fault on the list itself would come back at once with the list: not in a tight loop.
            self._restart_module(1.0 if isinstance(event, api.ServerList) else 0.0)
            return
        for action in actions:
            self._do(action)

    def _do(self, action: api.Action) -> None:
        match action:
            case api.Send(name, server, timeout):
                self._send(name, server, span_us(timeout))
            case api.SetTimer(at, name):
                self._clock.call_at(self._clock.from_module_ms(at), self.post, Due(name, self._balancer))
            case api.Probe(server):
                self._counters.add("probes_sent")
                self._issuers.probe(server)
            case api.Cancel(name, number):
                if name in self._open and number < len(self._open[name].legs):
                    self._drop(self._open[name].legs[number], api.Outcome.CANCELLED)
            case api.Refuse(name, retry_after):
                if name in self._open:
                    self._decline(self._open[name], span_us(retry_after))
            case api.Fail(name):
                if name in self._open:
                    self._answer(self._open[name], Failed())
            case api.Watch(enable):
                self._table.watch(enable)

    def _arrived(self, message: Arrived) -> None:
        call, at = message.call, message.at
        request = Open(next(self._names), call, message.answer, at + max(0, call.time_left))
        self._open[request.name] = self._by_answer[message.answer] = request
        request.followed = self._log.follow()
        self._follow(request, "taken", kind=call.class_index, tenant=call.tenant, left_us=call.time_left)
        # Guards the promise of one answer in time against a module that forgets the request.
        late = request.deadline + span_us(self.settings.answer_slack / 2)
        request.overdue = self._clock.call_at(late, self.post, Overdue(request.name))
        left = max(0, request.deadline - self._clock.now()) / 1000.0
        self._tell(api.Request(request.name, call.class_index, left, call.tenant, None, call.cost,
                               call.resubmitted))

    def _send(self, name: str, server: str, timeout: int) -> None:
        request, now = self._open.get(name), self._clock.now()
        if request is None:
            self._counters.add("sends_for_closed_requests")
            return
        deadline = min(request.deadline, now + timeout) if timeout else request.deadline
        leg = Leg(name, len(request.legs), server, request.call.content, now, deadline)
        request.legs.append(leg)
        if request.over or now >= deadline or leg.number >= self.settings.max_attempts:
            self._end_later(leg, api.Outcome.MOOT)
            return
        self._counters.add("legs_sent")
        self._follow(request, "leg_sent", leg=leg.number, host=server, wait_us=deadline - now)
        leg.timer = self._clock.call_at(deadline, self._timed_out, leg)
        self._issuers.send(leg)

    def _timed_out(self, leg: Leg) -> None:
        # A connection that was never up has carried nothing: that is a connect failure, whatever the hour.
        self._drop(leg, api.Outcome.TIMEOUT if leg.written else api.Outcome.CONNECT_FAILED)

    def _drop(self, leg: Leg, outcome: api.Outcome) -> None:
        """Stop waiting for a leg that is still out."""
        if leg.outcome is None:
            self._issuers.cancel(leg)
            self._end_later(leg, outcome)

    def _end_later(self, leg: Leg, outcome: api.Outcome) -> None:
        """Outcomes of the engine's own go through the mailbox: the module may be inside an event."""
        self.post(LegEnded(leg, outcome))

    def _leg_ended(self, ended: LegEnded) -> None:
        leg = ended.leg
        request = self._open.get(leg.request)
        if request is None or leg.outcome is not None:
            return  # its outcome came already: every leg has one
        leg.outcome = ended.outcome
        if leg.timer is not None:
            leg.timer.cancel()
        self._counters.add(f"legs_{ended.outcome.name.lower()}")
        self._follow(request, "leg_ended", leg=leg.number, host=leg.server, written=leg.written,
                     outcome=ended.outcome.name.lower(), took_us=self._clock.now() - leg.sent_at)
        if ended.outcome is api.Outcome.OK and not request.over:
            self._answer(request, Served(ended.content))
        outcome = ended.outcome
        if ended.hopeless:  # no host would take it, and it says nothing about this one
            self._answer(request, Failed())
            outcome = api.Outcome.CANCELLED
        took = (self._clock.now() - leg.sent_at) / 1000.0
        self._tell(api.AttemptResult(leg.request, leg.number, leg.server, outcome, took,
                                     request.over, ended.load))
        self._forget(request)

    def _follow(self, request: Open, event: str, **fields: Any) -> None:
        if request.followed:
            self._log.debug(event, request=request.call.name, **fields)

    def _decline(self, request: Open, retry_after: int) -> None:
        kind = self.settings.classes[request.call.class_index]
        harmless = kind.effect is api.Effect.SAFE or (
            kind.effect is api.Effect.KEYED and kind.group is api.Group.ALL)
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
        if not request.answer.done():
            request.answer.set_result(answer)
        self._close(request)

    def _close(self, request: Open) -> None:
        request.over = True
        if request.overdue is not None:
            request.overdue.cancel()
        self._by_answer.pop(request.answer, None)
        self._owed -= 1
        if not self._owed:
            self._idle.set()
        self._forget(request)

    def _forget(self, request: Open) -> None:
        if request.over and all(leg.outcome is not None for leg in request.legs):
            self._open.pop(request.name, None)

    def _left(self, answer: asyncio.Future[Answer]) -> None:
        request = self._by_answer.get(answer)
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
        self._log.error("answer_overdue", request=request.call.name)
        self._answer(request, Failed())
        self._tell(api.RequestGone(name))

    def _news(self, news: TableNews) -> None:
        self._counters.add(f"lists_{news.kind.value}")
        if news.kind not in (api.ListKind.REFUSED, api.ListKind.CHANGES):
            self._hosts.clear()
        for host in news.hosts:
            if host.entry.state is api.ServerState.OUT:
                self._hosts.pop(host.entry.server, None)
            else:
                self._hosts[host.entry.server] = host
        self._issuers.update(news)
        self._tell(api.ServerList(news.kind, tuple(host.entry for host in news.hosts)))

    def _restart_module(self, pause: float) -> None:
        """After a fault nothing that the module remembers is to be trusted: answer all, start it anew."""
        self._seed += 1
        self._balancer = self._make(self.settings, self._seed)
        for request in [r for r in self._open.values() if not r.over]:
            self._decline(request, 0)
        for leg in [leg for r in self._open.values() for leg in r.legs]:
            self._drop(leg, api.Outcome.CANCELLED)
        known = TableNews(api.ListKind.REMEMBERED, tuple(self._hosts.values()))
        asyncio.get_running_loop().call_later(pause, self.post, known)
