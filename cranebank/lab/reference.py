"""Reference policies to compare with, in the laboratory only: what a plain client-side balancer does.

``random``: any listed host. ``least-outstanding``: the fewest of this proxy's own calls out, ties at random.
Both try again elsewhere at once where the class allows it, take no notice of load reports and refuse nothing.
``python -m cranebank.lab.reference POLICY`` starts a proxy that decides so.
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

RETRY_MS = 500.0  # discovery is asked again so long after a call to it has failed


@dataclass(slots=True)
class _Held:
    request: api.Request
    deadline: float
    sent: list[str] = field(default_factory=list)
    ran_at: float | None = None  # when the first leg that may have run was sent
    began: float = 0.0


class Reference:
    """The decisions of a plain balancer, through the same events and actions as the module."""

    def __init__(
        self, choose: Callable[[Random, list[str], dict[str, int]], str], settings: api.Settings, seed: int
    ) -> None:
        self._choose, self._settings, self._random = choose, settings, Random(seed)
        self._hosts: dict[str, api.ServerEntry] = {}
        self._out: dict[str, int] = {}
        self._held: dict[str, _Held] = {}
        self._asked = False

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take one event at ``now`` (ms); return what to do."""
        actions: list[api.Action] = []
        if not self._asked:
            self._asked = True
            if self._settings.watch_by_asking:
                actions.append(api.SetTimer(now + self._random.random() * RETRY_MS, "watch"))
        match event:
            case api.ServerList(api.ListKind.REFUSED):
                actions.append(api.SetTimer(now + RETRY_MS * (0.5 + self._random.random()), "watch"))
            case api.ServerList(kind, entries):
                self._listed(kind, entries)
            case api.TimerFired("watch"):
                actions.append(api.Watch())
            case api.TimerFired(name):
                if name in self._held:
                    del self._held[name]
                    actions.append(api.Fail(name))
            case api.Request():
                self._held[event.request] = _Held(event, now + event.time_left, began=now)
                actions.append(api.SetTimer(now + event.time_left, event.request))
                self._send(now, event.request, actions)
            case api.RequestGone(name):
                self._held.pop(name, None)
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
        self._out = {name: count for name, count in self._out.items() if count or name in self._hosts}

    def _send(self, now: float, name: str, actions: list[api.Action]) -> None:
        held = self._held[name]
        pool = [host for host in self._hosts if host not in held.sent] or list(self._hosts)
        if not pool:
            del self._held[name]
            actions.append(api.Refuse(name) if held.ran_at is None else api.Fail(name))
            return
        host = self._choose(self._random, pool, self._out)
        held.sent.append(host)
        held.began = now
        self._out[host] = self._out.get(host, 0) + 1
        actions.append(api.Send(name, host))

    def _result(self, now: float, event: api.AttemptResult, actions: list[api.Action]) -> None:
        self._out[event.server] = max(0, self._out.get(event.server, 0) - 1)
        held = self._held.get(event.request)
        if held is None:
            return
        if event.outcome is api.Outcome.OK or event.finished:
            del self._held[event.request]
            return
        if event.outcome not in NEVER_RAN and held.ran_at is None:
            held.ran_at = held.began
        kind = self._settings.classes[held.request.class_index]
        harmless = (
            held.ran_at is None
            or kind.effect is api.Effect.SAFE
            or (kind.effect is api.Effect.KEYED and now < held.ran_at + kind.repeat_window - self._settings.tick)
        )
        if harmless and len(held.sent) < self._settings.max_attempts and now + self._settings.tick < held.deadline:
            self._send(now, event.request, actions)
            return
        del self._held[event.request]
        refuse = (
            held.ran_at is None
            or kind.effect is api.Effect.SAFE
            or (kind.effect is api.Effect.KEYED and kind.group is api.Group.ALL)
        )
        actions.append(api.Refuse(event.request) if refuse else api.Fail(event.request))


def _any(random: Random, pool: list[str], _: dict[str, int]) -> str:
    return random.choice(pool)


def _least(random: Random, pool: list[str], out: dict[str, int]) -> str:
    least = min(out.get(host, 0) for host in pool)
    return random.choice([host for host in pool if out.get(host, 0) == least])


class Oracle(Reference):
    """Sees the true state of all hosts, which no real policy can: the least strained host, always."""

    def __init__(self, strain: Callable[[str], float], settings: api.Settings, seed: int) -> None:
        def choose(random: Random, pool: list[str], _: dict[str, int]) -> str:
            return min(pool, key=lambda host: (strain(host), random.random()))

        super().__init__(choose, settings, seed)


POLICIES = {"random": partial(Reference, _any), "least-outstanding": partial(Reference, _least)}


if __name__ == "__main__":
    from cranebank.daemon import StartOptions, serve

    sys.exit(serve(StartOptions(os.environ, make=POLICIES[sys.argv[1]])))
