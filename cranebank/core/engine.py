"""Runs the rules layer as an asyncio actor: passes messages to it and executes its orders.

The client side calls ``submit`` and awaits the answer; the upstream side implements ``Upstreams``, and the discovery
side ``RoutingTable``. Knows no protocol and decides nothing.
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
    """The upstream side, as the engine uses it."""

    def update(self, news: RoutingUpdate) -> None:
        """Apply an update of the routing table."""

    def send(self, leg: Leg) -> None:
        """Send a leg to its host."""

    def cancel(self, leg: Leg) -> None:
        """Stop waiting for a leg."""

    def probe(self, server: str) -> None:
        """Probe a host for its load or health."""


class RoutingTable(Protocol):
    """The discovery side, as the engine uses it."""

    def watch(self, enable: bool) -> None:
        """Subscribe to changes of the list, or unsubscribe."""


class Engine:
    """Drives the rules layer in one event loop."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        clock: Clock,
        counters: Counters,
        log: Log,
        make_module: Callable[[api.Settings, int], Decisions] = Balancer,
        subset: Subset | None = None,
    ) -> None:
        self._clock, self._counters, self._log = clock, counters, log
        self._rules = Rules(settings, seed, clock, counters, make_module, subset)
        self._mailbox: Mailbox[Message] = Mailbox(self._receive, log)
        self.post = self._mailbox.post
        self._upstreams: Upstreams
        self._table: RoutingTable
        self._alarms: dict[int, asyncio.TimerHandle] = {}  # cancellable alarms, by the id of the alarm
        self._unanswered_count = 0  # requests without an answer, including those still in the mailbox

    def connect(self, upstreams: Upstreams, table: RoutingTable) -> None:
        """Set the upstream and the discovery side; must be called before the first message."""
        self._upstreams, self._table = upstreams, table

    def submit(self, call: Call) -> asyncio.Future[Answer]:
        """Submit a request; the future gets its one final answer. To cancel, post ``ClientLeft``."""
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.post(rules.RequestArrived(call, answer, self._clock.now(), self._log.follow()))
        self._counters.add("requests_taken")
        self._unanswered_count += 1
        return answer

    def beliefs(self) -> dict[str, float]:
        """Return the module's summary of its state and the number of unanswered requests, for the log."""
        return self._rules.beliefs() | {"owed": self._unanswered_count}

    @property
    def unanswered_count(self) -> int:
        """The number of requests without an answer."""
        return self._unanswered_count

    def _receive(self, message: Message) -> None:
        if isinstance(message, rules.DeadlinePassed | rules.LegTimedOut):
            self._alarms.pop(id(message), None)
        before = self._rules.unanswered_count + isinstance(message, rules.RequestArrived)
        for order in self._rules.handle(self._clock.now(), message):
            self._execute(order)
        self._unanswered_count -= before - self._rules.unanswered_count

    def _execute(self, order: rules.Order) -> None:
        match order:
            case rules.SendLeg(leg):
                self._upstreams.send(leg)
            case rules.SetAlarm(at, alarm):
                handle = self._clock.call_at(at, self.post, alarm)
                if isinstance(alarm, rules.DeadlinePassed | rules.LegTimedOut):
                    self._alarms[id(alarm)] = handle  # the handle keeps the alarm alive, so its id stays unique
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
