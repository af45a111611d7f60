"""Reference policies for comparison in the laboratory: what a plain client-side balancer does.

``random``: any listed host. ``least-outstanding``: the host with the fewest legs of this proxy in flight, ties broken
at random. Both retry at once on another host if the class allows it, ignore load reports and shed no load.
``python -m cranebank.lab.reference POLICY`` starts a proxy with such a policy.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from cranebank.decisions import interface as api
from cranebank.decisions.balance import NEVER_RAN

DISCOVERY_RETRY_MS = 500.0  # delay before a failed call to discovery is repeated


@dataclass(slots=True)
class _OpenRequest:
    request: api.Request
    deadline: float
    sent: list[str] = field(default_factory=list)
    ran_at: float | None = None  # when the first leg that may have run was sent
    began: float = 0.0


class Reference:
    """A plain balancer with the same events and actions as the decision module."""

    def __init__(
        self, choose: Callable[[Random, list[str], dict[str, int]], str], settings: api.Settings, seed: int
    ) -> None:
        self._choose, self._settings, self._random = choose, settings, Random(seed)
        self._hosts: dict[str, api.ServerEntry] = {}
        self._in_flight: dict[str, int] = {}
        self._requests: dict[str, _OpenRequest] = {}
        self._is_started = False

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handle one event at ``now`` (ms) and return the actions."""
        actions: list[api.Action] = []
        if not self._is_started:
            self._is_started = True
            if self._settings.watch_by_asking:
                actions.append(api.SetTimer(now + self._random.random() * DISCOVERY_RETRY_MS, "watch"))
        match event:
            case api.ServerList(api.ListKind.REFUSED):
                actions.append(api.SetTimer(now + DISCOVERY_RETRY_MS * (0.5 + self._random.random()), "watch"))
            case api.ServerList(kind, entries):
                self._listed(kind, entries)
            case api.TimerFired("watch"):
                actions.append(api.Watch())
            case api.TimerFired(name):
                if name in self._requests:
                    del self._requests[name]
                    actions.append(api.Fail(name))
            case api.Request():
                self._requests[event.request] = _OpenRequest(event, now + event.time_left, began=now)
                actions.append(api.SetTimer(now + event.time_left, event.request))
                self._send(now, event.request, actions)
            case api.RequestGone(name):
                self._requests.pop(name, None)
            case api.AttemptResult():
                self._result(now, event, actions)
        return actions

    def _listed(self, kind: api.ListKind, entries: tuple[api.ServerEntry, ...]) -> None:
        if kind is not api.ListKind.CHANGES:
            self._hosts.clear()
        for entry in entries:
            if entry.state is api.ServerState.IN:
                self._hosts[entry.server] = entry
            else:
                self._hosts.pop(entry.server, None)
        self._in_flight = {name: count for name, count in self._in_flight.items() if count or name in self._hosts}

    def _send(self, now: float, name: str, actions: list[api.Action]) -> None:
        open_request = self._requests[name]
        pool = [host for host in self._hosts if host not in open_request.sent] or list(self._hosts)
        if not pool:
            del self._requests[name]
            actions.append(api.Refuse(name) if open_request.ran_at is None else api.Fail(name))
            return
        host = self._choose(self._random, pool, self._in_flight)
        open_request.sent.append(host)
        open_request.began = now
        self._in_flight[host] = self._in_flight.get(host, 0) + 1
        actions.append(api.Send(name, host))

    def _result(self, now: float, event: api.AttemptResult, actions: list[api.Action]) -> None:
        self._in_flight[event.server] = max(0, self._in_flight.get(event.server, 0) - 1)
        open_request = self._requests.get(event.request)
        if open_request is None:
            return
        if event.outcome is api.Outcome.OK or event.finished:
            del self._requests[event.request]
            return
        if event.outcome not in NEVER_RAN and open_request.ran_at is None:
            open_request.ran_at = open_request.began
        kind = self._settings.classes[open_request.request.class_index]
        may_retry = (
            open_request.ran_at is None
            or kind.effect is api.Effect.SAFE
            or (
                kind.effect is api.Effect.KEYED and now < open_request.ran_at + kind.repeat_window - self._settings.tick
            )
        )
        if (
            may_retry
            and len(open_request.sent) < self._settings.max_attempts
            and now + self._settings.tick < open_request.deadline
        ):
            self._send(now, event.request, actions)
            return
        del self._requests[event.request]
        refuse = (
            open_request.ran_at is None
            or kind.effect is api.Effect.SAFE
            or (kind.effect is api.Effect.KEYED and kind.group is api.Group.ALL)
        )
        actions.append(api.Refuse(event.request) if refuse else api.Fail(event.request))


def _random_host(random: Random, pool: list[str], _: dict[str, int]) -> str:
    return random.choice(pool)


def _least_outstanding(random: Random, pool: list[str], out: dict[str, int]) -> str:
    least = min(out.get(host, 0) for host in pool)
    return random.choice([host for host in pool if out.get(host, 0) == least])


class Oracle(Reference):
    """Chooses the least loaded host by the true state of all hosts, which no real policy knows."""

    def __init__(self, load_per_capacity: Callable[[str], float], settings: api.Settings, seed: int) -> None:
        def choose(random: Random, pool: list[str], _: dict[str, int]) -> str:
            return min(pool, key=lambda host: (load_per_capacity(host), random.random()))

        super().__init__(choose, settings, seed)


POLICIES = {"random": partial(Reference, _random_host), "least-outstanding": partial(Reference, _least_outstanding)}


if __name__ == "__main__":
    from cranebank.daemon import StartOptions, serve

    sys.exit(serve(StartOptions(os.environ, make=POLICIES[sys.argv[1]])))
