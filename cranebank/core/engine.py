"""The module's actor on asyncio: brings messages to the rules layer and carries out its orders.

Whoever takes in requests calls ``submit`` and awaits the answer; whoever reaches the upstream hosts implements
``Upstreams``; whoever reads discovery implements ``RoutingTable``. Speaks no protocol and decides nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from cranebank.core import rules
from cranebank.core.clock import Clock
from cranebank.core.counters import Counters
from cranebank.core.log import Log
from cranebank.core.mailbox import Mailbox
from cranebank.core.rules import Answer, Call, Decisions, Leg, Message, RoutingUpdate, Rules
from cranebank.decisions import interface as api
from cranebank.decisions.balance import Balancer
from cranebank.routing.subset import Subset


class Upstreams(Protocol):
    """The upstream hosts' side, as the engine needs it."""

    def update(self, news: RoutingUpdate) -> None:
        """Take what the routing table now says of the hosts."""

    def send(self, leg: Leg) -> None:
        """Send a leg to its host."""

    def cancel(self, leg: Leg) -> None:
        """Stop waiting for a leg."""

    def probe(self, server: str) -> None:
        """Ask a host for its load or health."""


class RoutingTable(Protocol):
    """The discovery side, as the engine needs it."""

    def watch(self, enable: bool) -> None:
        """Subscribe to changes of the list, or no longer."""


class Engine:
    """Drives the rules layer in one event loop."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        clock: Clock,
        counters: Counters,
        log: Log,
        make: Callable[[api.Settings, int], Decisions] = Balancer,
        subset: Subset | None = None,
    ) -> None:
        self._clock, self._counters, self._log = clock, counters, log
        self._rules = Rules(settings, seed, clock, counters, make, subset)
        self._mailbox: Mailbox[Message] = Mailbox(self._take, log)
        self.post = self._mailbox.post
        self._upstreams: Upstreams
        self._table: RoutingTable
        self._alarms: dict[int, asyncio.TimerHandle] = {}  # by the alarm's identity, those that can be dropped
        self._owed = 0  # answers owed, from the moment of taking: a request may still lie in the mailbox

    def connect(self, upstreams: Upstreams, table: RoutingTable) -> None:
        """Name the two other sides; to be called before the first message."""
        self._upstreams, self._table = upstreams, table

    def submit(self, call: Call) -> asyncio.Future[Answer]:
        """Take a request; the future gets its one final answer. Cancel by posting ``ClientLeft``."""
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.post(rules.RequestArrived(call, answer, self._clock.now(), self._log.follow()))
        self._counters.add("requests_taken")
        self._owed += 1
        return answer

    def beliefs(self) -> dict[str, float]:
        """What the module believes, and the answers owed; for the log."""
        return self._rules.beliefs() | {"owed": self._owed}

    @property
    def unanswered_count(self) -> int:
        """Answers that are owed."""
        return self._owed

    def _take(self, message: Message) -> None:
        if isinstance(message, rules.DeadlinePassed | rules.LegTimedOut):
            self._alarms.pop(id(message), None)
        unanswered_count = self._rules.unanswered_count + isinstance(message, rules.RequestArrived)
        for order in self._rules.handle(self._clock.now(), message):
            self._do(order)
        self._owed -= unanswered_count - self._rules.unanswered_count

    def _do(self, order: rules.Order) -> None:
        match order:
            case rules.SendLeg(leg):
                self._upstreams.send(leg)
            case rules.SetAlarm(at, alarm):
                handle = self._clock.call_at(at, self.post, alarm)
                if isinstance(alarm, rules.DeadlinePassed | rules.LegTimedOut):
                    self._alarms[id(alarm)] = handle  # the handle keeps the alarm, and so its identity
            case rules.CancelAlarm(alarm):
                if (dropped := self._alarms.pop(id(alarm), None)) is not None:
                    dropped.cancel()
            case rules.Reply(ticket, answer):
                if not ticket.done():
                    ticket.set_result(answer)
            case rules.CancelLeg(leg):
                self._upstreams.cancel(leg)
            case rules.ProbeHost(server):
                self._upstreams.probe(server)
            case rules.UpdateUpstreams(news):
                self._upstreams.update(news)
            case rules.Watch(enable):
                self._table.watch(enable)
            case rules.LogLine(level, event, fields):
                (self._log.debug if level == "debug" else self._log.error)(event, **fields)
