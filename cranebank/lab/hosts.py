"""The stand-in hosts of one tier on sockets: PROTOCOL around the model, and the faults of the plan.

``python -m cranebank.lab.hosts PART``, started by the runner.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from dataclasses import dataclass, field
from math import log, sqrt
from pathlib import Path

import msgspec
import numpy as np
import xxhash

from cranebank.lab import records
from cranebank.lab.child import Address, Go, Lines, Part, play, say
from cranebank.lab.exchange import Asking, Heard, Incoming, Pool, Reply, now_us
from cranebank.lab.model import HostModel, Job, Phase, Repeats, Verdict
from cranebank.lab.plan import AFTER, DOWN_FOR, NEVER, HostFault, HostPlan, spec_of
from cranebank.lab.scenario import Scenario
from cranebank.lab.streams import stream

FLUSH_S = 0.5
NOT_RUN = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"
NOISE = b"\x16\x03\x01 this is no answer \xff\xfe\r\n\r\n" * 3
METHODS = {"safe": "GET", "keyed": "POST", "unsafe": "POST"}


@dataclass(slots=True, eq=False)
class Leg:
    """One leg at a host."""

    connection: Incoming
    seen: records.Seen
    root: str
    deadline: int
    tenant: int
    work: int  # of the whole chain
    job: Job
    calls_left: int = 0
    calls_made: int = 0
    asking: Asking | None = None
    timer: asyncio.TimerHandle | None = None
    written: bool = False


class Stage:
    """What the hosts of a process share."""

    def __init__(self, part: Part) -> None:
        self.scenario, self.plan = part.scenario, part.plan
        self.t0 = 0
        self.pool = Pool()
        self.writer = records.Writer(Path(part.records))
        longest = max((kind.window_ms for kind in self.scenario.classes), default=0.0)
        self.repeats = Repeats(round(longest * 1000) + 1)
        self.kinds = {kind.name: index for index, kind in enumerate(self.scenario.classes)}
        self.proxies: dict[str, Address] = {}

    def now(self) -> int:
        """Microseconds after the start."""
        return now_us() - self.t0

    def at(self, when: int, do: object, *args: object) -> asyncio.TimerHandle:
        """Call at a time after the start."""
        delay = max(0, when - self.now()) / 1e6
        return asyncio.get_running_loop().call_later(delay, do, *args)  # type: ignore[arg-type]


@dataclass(slots=True, eq=False)
class StandIn:
    """One host: answers requests and probes as its model says, and suffers its faults."""

    stage: Stage
    host: HostPlan
    address: Address
    model: HostModel = field(init=False)
    connections: set[Incoming] = field(default_factory=set)
    legs: set[Leg] = field(default_factory=set)
    up: bool = False
    stopping: bool = False
    refusing: bool = False
    hushed: bool = False
    reset: float = 0.0
    spoil: float = 0.0
    late: int = 0
    opened_in_all: int = 0
    most: int = 0
    refused: int = 0
    probes: dict[int, int] = field(default_factory=dict)
    _server: asyncio.Server | None = None
    _blocked: list[socket.socket] = field(default_factory=list)
    _timer: asyncio.TimerHandle | None = None
    _due: int | None = None
    _calls: int = 0
    _draw: np.random.Generator = field(init=False)
    _proxy: str = ""
    _prefix: str = ""

    def __post_init__(self) -> None:
        self.model = HostModel(spec_of(self.stage.scenario, self.host), self.host.start)
        self._draw = stream(self.stage.scenario.seed, "host", self.host.name)
        # A host's number among those of its tier from before names its proxy; its successors keep it.
        first = [h.name for h in self.stage.plan.hosts if h.tier == self.host.tier and h.start == 0]
        below = [proxy.name for proxy in self.stage.plan.proxies if proxy.tier == self.host.tier + 1]
        place = first.index(self.host.name.split(".")[0])
        self._proxy = below[place % len(below)] if below else ""
        self._prefix = xxhash.xxh32_hexdigest(self.host.name.encode())

    # Listening.

    async def listen(self) -> None:
        """Accept connections at the host's address, which is kept for good once it is known."""
        loop = asyncio.get_running_loop()
        for block in self._blocked:
            block.close()
        self._blocked.clear()
        self._server = await loop.create_server(lambda: Incoming(self), *self.address, reuse_address=True, backlog=1024)
        self.address = self._server.sockets[0].getsockname()[:2]

    def deafen(self) -> None:
        """Refuse connections from now on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def block(self) -> None:
        """Let new connections neither come up nor be refused: a full backlog that nobody empties."""
        self.deafen()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(self.address)
        sock.listen(0)
        self._blocked.append(sock)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(OSError):
                filler.connect(self.address)
            self._blocked.append(filler)

    def opened(self, connection: Incoming) -> bool:
        """A connection is there: count it, and do the work of its handshake."""
        if not self.up or self.refusing or len(self.connections) >= self.stage.scenario.connections.cap:
            self.refused += 1
            return False
        self.connections.add(connection)
        self.opened_in_all += 1
        self.most = max(self.most, len(self.connections))
        self._advance()
        if work := self.stage.scenario.connections.handshake_ms * 1000.0:
            self.model.chore(Job(work))
        self._arm()
        return True

    def deaf(self) -> bool:
        """Whether bytes that come are left unread."""
        return self.hushed

    def lost(self, connection: Incoming) -> None:
        """A connection is over; a leg on it is called off."""
        self.connections.discard(connection)
        if isinstance(connection.request, Leg):
            self._cancel(connection.request, "cancelled")

    # Requests.

    def heard(self, connection: Incoming, request: Heard) -> None:
        """A whole request has come."""
        if connection.request is not None:  # one at a time on each connection
            connection.transport.abort()
            return
        self._advance()
        if request.target in ("/-/load", "/-/healthy"):
            self._probe(connection, request.target)
        else:
            self._request(connection, request)
        self._arm()

    def _probe(self, connection: Incoming, target: str) -> None:
        scenario, second = self.stage.scenario, self.stage.now() // 1_000_000
        self.probes[second] = self.probes.get(second, 0) + 1

        def answer() -> None:
            connection.request = None
            body = self._load().encode() if target == "/-/load" else b""
            connection.answer(b"HTTP/1.1 200 OK\r\n", body)

        connection.request = answer
        self.model.chore(Job(max(1.0, scenario.reports.probe_ms * 1000.0), content=answer))

    def _load(self) -> str:
        inflight, queue = self.model.report(self.stage.now(), self.late)
        return f"TEXT inflight={inflight}, queue={queue}"

    def _request(self, connection: Incoming, request: Heard) -> None:
        stage, headers, now = self.stage, request.headers, self.stage.now()
        name, kind = headers.get("x-request-id", ""), stage.kinds.get(headers.get("x-class", ""))
        extras = dict(pair.partition("=")[::2] for pair in headers.get("x-extras", "").split(","))
        if not name:
            connection.answer(b"HTTP/1.1 404 No\r\n")
            return
        if kind is None or not extras.get("work", "").isdigit():
            connection.answer(b"HTTP/1.1 400 No\r\n")
            return
        work, key = int(extras["work"]), headers.get("idempotency-key", "")
        tier, last = stage.scenario.tiers[self.host.tier], self.host.tier + 1 == len(stage.scenario.tiers)
        noise = stage.scenario.classes[kind].attempt_noise
        own = work * tier.work
        if noise:
            spread = log(1 + noise * noise)
            own *= self._draw.lognormal(-spread / 2, sqrt(spread))
        calls = 0 if last else int(tier.calls) + (self._draw.random() < tier.calls % 1.0)
        seen = records.Seen(id=name, host=self.host.name, first=request.first - stage.t0, last=now, done=now, ran=False,
                            status=503, digest="", key=key, kind=kind, work=int(own))
        wait = headers.get("x-deadline-ms", "")
        own_ms = stage.scenario.classes[kind].deadline_ms
        deadline = now + round(1000 * (int(wait) if wait.isdigit() else own_ms))
        job = Job(max(1.0, own), calls)
        tenant = int(extras.get("tenant", "0") or 0)
        leg = Leg(connection, seen, extras.get("root", name), deadline, tenant, work, job, calls)
        job.content = leg
        verdict = Verdict.FULL if self.stopping else self.model.offer(now, job)
        if verdict is Verdict.FELL:
            stage.writer.write(records.Started(now, self.host.name, fell=True))
            self.kill()
        elif verdict is Verdict.FULL:
            stage.writer.write(seen)
            connection.answer(NOT_RUN + self._report_field())
        else:
            seen.ran = True
            window = round(stage.scenario.classes[kind].window_ms * 1000)
            seen.effect = not key or stage.repeats.first(now, kind, key, window)
            connection.request = leg
            self.legs.add(leg)

    def _report_field(self) -> bytes:
        if self.stage.scenario.reports.source != "answers":
            return b""
        return f"X-Load: {self._load()}\r\n".encode()

    # The model's time.

    def _advance(self) -> None:
        for job in self.model.advance(self.stage.now()):
            self._ended(job)

    def _turn(self) -> None:
        self._timer = self._due = None
        self._advance()
        self._arm()

    def _arm(self) -> None:
        due = self.model.next_due() if self.up else None
        if due != self._due:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = None if due is None else self.stage.at(due, self._turn)
            self._due = due

    def _ended(self, job: Job) -> None:
        content = job.content
        if isinstance(content, Leg):
            if job.phase is Phase.CALLING:
                self._call(content)
            else:
                content.seen.busy_until = job.ended
                kind = self.stage.scenario.tiers[self.host.tier].kind[self.host.kind]
                failed = kind.error_rate and self._draw.random() < kind.error_rate
                self._answer(content, 500 if failed else 200)
        elif callable(content):
            content()

    # Calls to the next tier.

    def _call(self, leg: Leg) -> None:
        stage, scenario = self.stage, self.stage.scenario
        now, proxy = stage.now(), self._proxy
        kind = scenario.classes[leg.seen.kind]
        deadline = leg.deadline if scenario.limits.passes_deadline else now + round(kind.deadline_ms * 1000)
        self._calls += 1
        name = f"{self._prefix}-{self._calls}"
        asked = records.Asked(
            id=name, root=leg.root, parent=leg.seen.id, tries=0, caller=self.host.name, proxy=proxy, kind=leg.seen.kind,
            tenant=leg.tenant, key=f"{leg.seen.key}.{leg.calls_made}" if leg.seen.key else "", intended=now, sent=-1,
            deadline=deadline, done=now, status=0, digest="")
        leg.calls_made += 1

        def done(reply: Reply) -> None:
            if leg.timer is not None:
                leg.timer.cancel()
            self._noted(asked, reply)
            leg.asking = None
            if leg.job.phase is not Phase.CALLING:
                return
            self._advance()
            if reply.status != 200:
                self._fail(leg)
            else:
                leg.calls_left -= 1
                if leg.calls_left:
                    self._call(leg)
                else:
                    self.model.resume(leg.job)
            self._arm()

        data = request_bytes(METHODS[kind.effect], kind.name, name, deadline - now, asked.key, self.stage.scenario,
                             leg.tenant, leg.work, leg.root)
        leg.asking = stage.pool.ask(stage.proxies[proxy], data, done, lambda: stage.writer.write(records.Spare(name)))
        leg.timer = stage.at(deadline, self._late, leg, asked)

    def _noted(self, asked: records.Asked, reply: Reply) -> None:
        stage = self.stage
        asked.done = stage.now()
        asked.sent = NEVER if reply.sent < 0 else reply.sent - stage.t0
        asked.status, asked.digest, asked.retry_after = reply.status, reply.digest, reply.retry_after
        asked.broke = reply.trouble == "broke"
        asked.named = reply.status != 200 or asked.id.encode() in reply.begins
        stage.writer.write(asked)

    def _late(self, leg: Leg, asked: records.Asked) -> None:
        """The call's time is up."""
        if leg.asking is not None:
            asking, leg.asking = leg.asking, None
            asking.leave()
            self._noted(asked, asking.reply)
            if leg.job.phase is Phase.CALLING:
                self._advance()
                self._fail(leg)
                self._arm()

    def _fail(self, leg: Leg) -> None:
        self.model.drop(leg.job)
        leg.seen.busy_until = self.stage.now()
        self._answer(leg, 500)

    # Ends of legs.

    def _answer(self, leg: Leg, status: int) -> None:
        seen, connection = leg.seen, leg.connection
        connection.request = None
        self.legs.discard(leg)
        seen.done, seen.status = self.stage.now(), status
        if status == 200 and self.reset and self._draw.random() < self.reset:
            seen.status, seen.ended_by = 0, "fault"
            connection.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + b"half" * 50)
            connection.transport.abort()
        elif status == 200 and self.spoil and self._draw.random() < self.spoil:
            seen.status, seen.ended_by = 0, "fault"
            connection.transport.write(NOISE)
        elif status == 200:
            body = f'{{"id":"{seen.id}","host":"{self.host.name}","at":{seen.done}}}'.encode().ljust(300)
            seen.digest = xxhash.xxh64_hexdigest(body)
            connection.answer(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + self._report_field(), body)
        else:
            connection.answer(b"HTTP/1.1 500 Failed\r\n" + self._report_field())
        self.stage.writer.write(seen)

    def _cancel(self, leg: Leg, why: str) -> None:
        leg.connection.request = None
        if leg not in self.legs:
            return
        self.legs.discard(leg)
        self._advance()
        if leg.timer is not None:
            leg.timer.cancel()
        if leg.asking is not None:
            leg.asking.leave()
            leg.asking = None
        if leg.job.phase is not Phase.DONE:
            self.model.drop(leg.job)
        leg.seen.done = leg.seen.busy_until = self.stage.now()
        leg.seen.status, leg.seen.ended_by = 0, why
        self.stage.writer.write(leg.seen)
        self._arm()

    # Faults.

    async def start(self) -> None:
        """The host starts, at its time, cold."""
        self.model = HostModel(spec_of(self.stage.scenario, self.host), self.stage.now())
        self.up = True
        await self.listen()
        self.stage.writer.write(records.Started(self.stage.now(), self.host.name))

    def kill(self) -> None:
        """The process dies: connections are reset, new ones refused."""
        self.deafen()
        self.up = False
        for leg in list(self.legs):
            self._cancel(leg, "fault")
        for connection in list(self.connections):
            connection.transport.abort()
        self._arm()

    def suffer(self, fault: HostFault) -> None:
        """Lay a fault on the host at its time, and lift it at its end."""
        at, until, later = fault.at, fault.until, self.stage.at
        match fault.what:
            case "kill":
                later(at, self.kill)
                if until > at:
                    later(until, self._restart)
            case "cold":
                later(at, self.kill)
                later(at + DOWN_FOR, self._restart)
            case "stop":
                later(at, self._hush, until, False)
            case "half-open":
                later(at, self._hush, until, True)
            case "pause":
                when = at + int(self._draw.random() * fault.every)
                while when < until:
                    later(when, self._hush, when + round(fault.size * 1000), False)
                    when += fault.every
            case "slow":
                later(at, self._slow, fault.size)
                later(until, self._slow, 1.0)
            case "refuse":
                later(at, self.deafen)
                later(until, self._restart, False)
            case "reset" | "spoil":
                later(at, setattr, self, fault.what, fault.size or 1.0)
                later(until, setattr, self, fault.what, 0.0)
            case "report-delay":
                later(at, setattr, self, "late", round(fault.size * 1e6))
                later(until, setattr, self, "late", 0)

    def _restart(self, anew: bool = True) -> None:
        if self.stopping or (not anew and not self.up):
            return
        work = self.start() if anew else self.listen()
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(lambda t: t.exception())

    def _hush(self, until: int, cut_off: bool) -> None:
        """Stand still: nothing is read, nothing goes on, and if cut off no connection comes up."""
        self._advance()
        self.hushed = True
        self.model.pause(until)
        if cut_off:
            self.block()
        self._arm()
        self.stage.at(until, self._wake, cut_off)

    def _wake(self, cut_off: bool) -> None:
        self.hushed = False
        if cut_off:
            for connection in list(self.connections):
                connection.transport.abort()
            self._restart(False)
            return
        for connection in list(self.connections):
            connection.awake()

    def _slow(self, factor: float) -> None:
        self._advance()
        self.model.slow(factor)
        self._arm()

    def live(self) -> None:
        """Schedule all that the plan has for this host."""
        if self.host.start:
            self.stage.at(self.host.start, self._restart)
        if self.host.stop != NEVER:
            self.stage.at(self.host.stop, self._leave)
        for fault in self.stage.plan.faults:
            if fault.host == self.host.name:
                self.suffer(fault)

    def _leave(self) -> None:
        """A drained host ends: it refuses connections and requests, ends what it holds, and is gone."""
        self.stopping = True
        self.deafen()
        self.stage.at(self.host.stop + AFTER, self.kill)

    def last(self) -> None:
        """Write down what is only known at the end."""
        for leg in list(self.legs):
            self._cancel(leg, "stopped")
        for second, count in self.probes.items():
            self.stage.writer.write(records.Probe(self.host.name, second, count))
        self.stage.writer.write(records.Links(self.host.name, self.opened_in_all, self.most, self.refused))


def request_bytes(method: str, kind: str, name: str, left: int, key: str, scenario: Scenario, tenant: int, work: int,
                  root: str, again: bool = False, hint: int = 0) -> bytes:
    """One request of PROTOCOL as bytes; ``left`` is microseconds. ``X-Extras`` carries the work and the lineage."""
    fields = [f"{method} /{kind} HTTP/1.1", "Host: lab", f"X-Request-Id: {name}", f"X-Class: {kind}",
              f"X-Deadline-Ms: {max(1, left // 1000)}", f"X-Extras: work={work},root={root},tenant={tenant}"]
    if scenario.tenants:
        fields.append(f"X-Tenant: {scenario.tenants[tenant].name}")
    if key:
        fields.append(f"Idempotency-Key: {key}")
    if again:
        fields.append("X-Retry: 1")
    if hint:
        fields.append(f"X-Cost-Hint: {hint}")
    body = b""
    if method != "GET":
        body = b'{"lab":1}'
        fields.append(f"Content-Length: {len(body)}")
    return "\r\n".join(fields).encode() + b"\r\n\r\n" + body


async def run(part: Part, lines: Lines) -> None:
    """Play the hosts of one tier, or a share of them."""
    stage = Stage(part)
    mine = [h for h in part.plan.hosts if h.tier == part.tier][part.share::part.of]
    hosts = [StandIn(stage, host, part.addresses[host.name]) for host in mine]
    for host in hosts:
        await host.listen()
        if host.host.start:  # its address is known from now on; it is refused until it starts
            host.deafen()
    say({host.host.name: host.address for host in hosts})
    told = await lines.next()
    if told is None:
        return
    go = msgspec.json.decode(told, type=Go)
    stage.t0, stage.proxies = go.at, go.proxies
    for host in hosts:
        host.up = not host.host.start
        host.live()

    async def flush() -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            stage.writer.flush()

    task = asyncio.get_running_loop().create_task(flush())
    await lines.next()
    task.cancel()
    for host in hosts:
        host.last()
    stage.writer.close()
    say({"done": True})


if __name__ == "__main__":
    sys.exit(play(run, sys.argv[1:]))
