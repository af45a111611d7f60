"""Simulated backends that accept stage orders, and the rules on orders and staffed stages."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any

import httptools
import msgspec

from cranebank.fleetlab import model as m

from .actors import Backend
from .judge import Judge

if TYPE_CHECKING:
    from .world import World

BACKEND_PORT = 80
SWITCH_TIMES_S = (0.8, 9.0)  # the longer one outlasts a takeover: the next primary orders the same backend again
HOLDER_LEASE_S = 3.0  # two holders must not order one backend within this time
STAFFING_TIMEOUT_S = 14.0
"""Longest time without a decode backend while a service has ready backends, from the end of the faults or the loss of
the last decode backend. It is the expiry of a silent backend (4.5 s) or the quiet time of a restarted registry (4 s),
a takeover (2 s), the wait after it (3.8 s), the order, and the heartbeat with the new stage (2.5 s). The switch itself,
which may have to be ordered twice, is added."""


class _BackendConnection(asyncio.Protocol):
    """A backend's side of a connection from a controller."""

    def __init__(self, backend: StagedBackend) -> None:
        self._backend = backend
        self._parser: Any = httptools.HttpRequestParser(self)
        self.transport: Any = None
        self._url, self._body = b"", b""
        self._target = ""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self._backend.world.backend_called(self._backend, transport.remote)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        """Append part of the path."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the header field that names the target."""
        if name.lower() == b"x-target-instance":
            self._target = value.decode()

    def on_body(self, body: bytes) -> None:
        """Append part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Pass the complete call to the backend."""
        self._backend.take(self, self._url.decode(), self._body, self._target)
        self._url, self._body, self._target = b"", b"", ""

    def answer(self, response: m.Respond) -> None:
        """Write the answer to a call."""
        if not self.transport.is_closing():
            head = f"HTTP/1.1 {response.status} X\r\nContent-Length: {len(response.body)}\r\n\r\n"
            self.transport.write(head.encode() + response.body)


class StagedBackend(Backend):
    """A backend with a stage, which accepts orders at its port."""

    def __init__(self, world: World, name: str, random: Random, lifetime_s: float, stage: str, end_kind: str) -> None:
        super().__init__(world, name, random, lifetime_s)
        self._end_kind = end_kind
        spec = m.EngineSpec(switch_s=world.switch_s, checks_fence=random.random() < 0.5)
        self.model = m.ModelBackend(spec, name, stage)
        self.phase = "coming"
        self._calls = 0
        self._timer: Any = None
        self.lost_answer_share = 0.0  # share of its answers that are lost

    @property
    def stage(self) -> str:
        """The stage in its heartbeats."""
        return self.model.stage

    def start(self) -> None:
        """Listen, and start its task."""
        self.world.network.listen(self.loop, lambda: _BackendConnection(self), self.loop.ip, BACKEND_PORT)
        self.phase = "ready"
        super().start()

    async def _end(self) -> None:
        if self._end_kind == "crash":
            self.phase = "gone"
            self.world.kill_process(self.loop, has_power=True)
            return
        self.phase = "draining"
        await super()._end()
        self.phase = "gone"
        self.world.kill_process(self.loop, has_power=True)

    def take(self, caller: _BackendConnection, path: str, body: bytes, target: str) -> None:
        """Handle a controller's call: an order, or a report request."""
        self._calls += 1
        if path == "/api/report":
            self.world.stage_rules.asked(self.name, caller.transport.remote)
            self._feed(caller, m.ReportRequested(self._calls))
            return
        order = msgspec.structs.replace(msgspec.json.decode(body, type=m.Order), target=target)
        response = self._feed(caller, m.OrderReceived(self._calls, order))
        self.world.stage_rules.ordered(self.name, order, response.status)
        self.world.stage_rules.ordered_by[self.name] = caller.transport.remote

    def _feed(self, caller: _BackendConnection | None, event: m.Event) -> m.Respond:
        response = m.Respond(0, 0)
        for action in self.model.handle(self.loop.time(), event):
            if isinstance(action, m.Respond):
                response = action
            elif isinstance(action, m.WakeAt):
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self.loop.call_at(action.at, self._feed, None, m.Wake())
        if caller is not None:
            if self.random.random() < self.lost_answer_share:
                self.world.judge.counts["answers to orders and reports lost"] += 1
            else:
                caller.answer(response)
        return response


class StageRules:
    """The rules *one*, a single holder orders a backend, and *staffed*, a service keeps a decode backend."""

    def __init__(self, judge: Judge) -> None:
        self._judge = judge
        self._last_orders: dict[str, tuple[float, str, int]] = {}  # by backend: time, owner, fence
        self.ordered_by: dict[str, str] = {}  # by backend: the controller that ordered it last
        self._unstaffed_since: float | None = None

    def ordered(self, backend: str, order: m.Order, status: int) -> None:
        """Judge an order that reached a backend."""
        judge, now = self._judge, self._judge.now()
        owner, fence = order.owner or "", order.fence_no if order.fence_no is not None else -1
        judge.note(f"{owner} orders {backend} to {order.stage} with {fence}: {status}")
        judge.counts[f"orders answered {status}"] += 1
        judge.counts[f"orders to {order.stage}"] += 1
        before = self._last_orders.get(backend)
        self._last_orders[backend] = now, owner, fence
        if before is None:
            return
        at, other, older = before
        if fence < older:
            judge.breach("one", f"{backend}: fence {fence} of {owner} after {older} of {other}")
        if owner != other:
            judge.counts["backends ordered by two holders"] += 1
            judge.record_shortest("between two holders' orders to one backend", now - at)
            if fence == older:
                judge.breach("one", f"{backend}: {other} and {owner} share fence {fence}")
            elif now - at <= HOLDER_LEASE_S:
                judge.breach("one", f"{backend}: both {other} and {owner} ordered it within {now - at:.2f} s")

    def asked(self, backend: str, controller: str) -> None:
        """Count a report request from a controller that did not send the order."""
        if self.ordered_by.get(backend, controller) != controller:
            self._judge.counts["orders followed up by a successor"] += 1

    def check(self, backends: list[StagedBackend], switch_s: float, trouble_ended_at: float) -> None:
        """Check for how long a service with ready backends has had no decode backend."""
        now = self._judge.now()
        ready = [one for one in backends if one.phase == "ready"]
        if not ready or any(one.stage == "decode" for one in ready):
            if self._unstaffed_since is not None and ready:
                self._judge.counts["services staffed again"] += 1
            self._unstaffed_since = None
            return
        if self._unstaffed_since is None:
            self._unstaffed_since = now
        seconds = now - max(self._unstaffed_since, trouble_ended_at)
        self._judge.record_longest("no decode backend, counted from the end of troubles", seconds)
        if seconds > STAFFING_TIMEOUT_S + 2 * switch_s:
            self._judge.breach("staffed", f"{[one.name for one in ready]} are ready and none of them decodes")
            self._unstaffed_since = now
