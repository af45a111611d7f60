"""A stand-in host without I/O: requests, calls to the next tier, ends and faults around the model.

Sockets (``hosts.py``) and simulated time (``simulated/world.py``) give it links and a stage, and say how it refuses
connections; all that a host does is here, once.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log, sqrt

import xxhash

from cranebank.lab import records
from cranebank.lab.model import Admission, HostModel, Job, Phase
from cranebank.lab.plan import NEVER, RESTART_DOWNTIME_US, STOP_LINGER_US, HostFault, HostPlan, spec_of
from cranebank.lab.stage import Ask, Link, Out, Reply, Stage, Timer
from cranebank.lab.streams import stream

BODY_BYTES = 300


@dataclass(slots=True, eq=False)
class Leg:
    """One leg at a host."""

    link: Link
    seen: records.Seen
    ask: Ask
    deadline: int
    job: Job
    calls_left: int
    calls_made: int = 0
    out: Out | None = None
    timer: Timer | None = None


class StandIn:
    """One host. Whoever owns it calls ``opened``, ``request``, ``probe`` and ``lost``, and implements ``gate``."""

    def __init__(self, stage: Stage, host: HostPlan) -> None:
        self.stage, self.host = stage, host
        self.model = HostModel(spec_of(stage.scenario, host), host.start)
        self.links: dict[Link, None] = {}  # in order of opening, so that what is done to all is done in one order
        self.legs: dict[Leg, None] = {}
        self.up = self.stopping = self.refusing = self.hushed = self.cut_off = False
        self.reset = self.spoil = self.swallow = 0.0
        self.late = self.opened_in_all = self.most = self.refused = self._calls = 0
        self.probes: dict[int, int] = {}
        self._timer: Timer | None = None
        self._due: int | None = None
        self._draw = stream(stage.scenario.seed, "host", host.name)
        # A host's number among those of its tier from before names its proxy; its successors keep it.
        first = [h.name for h in stage.plan.hosts if h.tier == host.tier and h.start == 0]
        below = [proxy.name for proxy in stage.plan.proxies if proxy.tier == host.tier + 1]
        self._proxy = below[first.index(host.name.split(".")[0]) % len(below)] if below else ""
        self._prefix = xxhash.xxh32_hexdigest(host.name.encode())

    def gate(self, refuse: bool, silent: bool = False) -> None:
        """Refuse new connections (``silent``: let them neither come up nor be refused), or accept them again."""

    # Connections.

    def opened(self, link: Link) -> bool:
        """A connection is there: count it, and do the work of its handshake; or it is turned away."""
        if not self.up or self.refusing or len(self.links) >= self.stage.scenario.connections.cap:
            self.refused += 1
            return False
        self.links[link] = None
        self.opened_in_all += 1
        self.most = max(self.most, len(self.links))
        self._advance()
        if work := self.stage.scenario.connections.handshake_ms * 1000.0:
            self.model.chore(Job(work))
        self._arm()
        return True

    def lost(self, link: Link) -> None:
        """A connection is over; a leg on it is called off."""
        self.links.pop(link, None)
        if isinstance(link.request, Leg):
            self._cancel(link.request, "cancelled")

    # Requests.

    def probe(self, link: Link, wants_load: bool) -> None:
        """A probe has come."""
        self._advance()
        scenario, second = self.stage.scenario, self.stage.now() // 1_000_000
        self.probes[second] = self.probes.get(second, 0) + 1

        def answer() -> None:
            link.request = None
            link.answer(200, self.load().encode() if wants_load else b"")

        link.request = answer
        self.model.chore(Job(max(1.0, scenario.reports.probe_ms * 1000.0), content=answer))
        self._arm()

    def load(self) -> str:
        """The load report as told now."""
        inflight, queue = self.model.report(self.stage.now(), self.late)
        return f"TEXT inflight={inflight}, queue={queue}"

    def request(self, link: Link, ask: Ask, first: int) -> None:
        """A leg's last byte has come; ``first`` is when its first did."""
        self._advance()
        stage, now = self.stage, self.stage.now()
        scenario, kind = stage.scenario, stage.scenario.classes[ask.kind]
        tier, last = scenario.tiers[self.host.tier], self.host.tier + 1 == len(scenario.tiers)
        own = ask.work * tier.work
        if kind.attempt_noise:
            spread = log(1 + kind.attempt_noise**2)
            own *= float(self._draw.lognormal(-spread / 2, sqrt(spread)))
        calls = 0 if last else int(tier.calls) + int(self._draw.random() < tier.calls % 1.0)
        seen = records.Seen(
            id=ask.id,
            host=self.host.name,
            first=first,
            last=now,
            done=now,
            ran=False,
            status=503,
            digest="",
            key=ask.key,
            kind=ask.kind,
            work=int(own),
        )
        if self.swallow and self._draw.random() < self.swallow:  # never looked at, never answered
            seen.status, seen.ended_by = 0, "fault"
            link.request = seen
            stage.write(seen)
            return
        leg = Leg(link, seen, ask, now + ask.left, Job(max(1.0, own), calls), calls)
        leg.job.content = leg
        admission = Admission.FULL if self.stopping else self.model.offer(now, leg.job)
        if admission is Admission.FELL:
            stage.write(records.Started(now, self.host.name, fell=True))
            self.kill()
        elif admission is Admission.FULL:
            stage.write(seen)
            link.answer(503, load=self._told(), not_run=True)
        else:
            seen.ran = True
            seen.effect = not ask.key or stage.repeats.first(now, ask.kind, ask.key, round(kind.window_ms * 1000))
            link.request = leg
            self.legs[leg] = None
        self._arm()

    def _told(self) -> str:
        return self.load() if self.stage.scenario.reports.source == "answers" else ""

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
        stage, scenario, now = self.stage, self.stage.scenario, self.stage.now()
        kind = scenario.classes[leg.ask.kind]
        deadline = leg.deadline if scenario.limits.passes_deadline else now + round(kind.deadline_ms * 1000)
        self._calls += 1
        name = f"{self._prefix}-{self._calls}"
        asked = records.Asked(
            id=name,
            root=leg.ask.root,
            parent=leg.ask.id,
            tries=0,
            caller=self.host.name,
            proxy=self._proxy,
            kind=leg.ask.kind,
            tenant=leg.ask.tenant,
            key=f"{leg.ask.key}.{leg.calls_made}" if leg.ask.key else "",
            intended=now,
            sent=-1,
            deadline=deadline,
            done=now,
            status=0,
            digest="",
        )
        leg.calls_made += 1

        def done(reply: Reply) -> None:
            if leg.timer is not None:
                leg.timer.cancel()
            self._noted(asked, reply)
            leg.out = None
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

        ask = Ask(name, leg.ask.root, leg.ask.kind, leg.ask.tenant, asked.key, leg.ask.work, deadline - now)
        leg.timer = stage.at(deadline, self._late, leg, asked)
        leg.out = stage.ask(self._proxy, self.host.zone, ask, done, lambda: stage.write(records.Spare(name)))

    def _noted(self, asked: records.Asked, reply: Reply) -> None:
        asked.done, asked.sent = self.stage.now(), reply.sent
        asked.status, asked.digest, asked.retry_after = reply.status, reply.digest, reply.retry_after
        asked.broke, asked.named = reply.trouble == "broke", reply.named
        self.stage.write(asked)

    def _late(self, leg: Leg, asked: records.Asked) -> None:
        """The call's time is up."""
        if leg.out is not None:
            out, leg.out = leg.out, None
            out.leave()
            self._noted(asked, out.reply)
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
        seen, link = leg.seen, leg.link
        link.request = None
        self.legs.pop(leg, None)
        seen.done, seen.status = self.stage.now(), status
        for chance, cut in ((self.reset, True), (self.spoil, False)):
            if status == 200 and chance and self._draw.random() < chance:
                seen.status, seen.ended_by = 0, "fault"
                link.spoil(cut)
                self.stage.write(seen)
                return
        body = b""
        if status == 200:
            body = f'{{"id":"{seen.id}","host":"{self.host.name}","at":{seen.done}}}'.encode().ljust(BODY_BYTES)
            seen.digest = xxhash.xxh64_hexdigest(body)
        link.answer(status, body, self._told())
        self.stage.write(seen)

    def _cancel(self, leg: Leg, why: str) -> None:
        leg.link.request = None
        if leg not in self.legs:
            return
        del self.legs[leg]
        self._advance()
        if leg.timer is not None:
            leg.timer.cancel()
        if leg.out is not None:
            leg.out.leave()
            leg.out = None
        if leg.job.phase is not Phase.DONE:
            self.model.drop(leg.job)
        leg.seen.done = leg.seen.busy_until = self.stage.now()
        leg.seen.status, leg.seen.ended_by = 0, why
        self.stage.write(leg.seen)
        self._arm()

    # Faults.

    def live(self) -> None:
        """Schedule all that the plan has for this host."""
        if self.host.start:
            self.stage.at(self.host.start, self.start)
        if self.host.stop != NEVER:
            self.stage.at(self.host.stop, self._leave)
        for fault in self.stage.plan.faults:
            if fault.host == self.host.name:
                self._suffer(fault)

    def start(self) -> None:
        """The process starts, cold."""
        if self.stopping:
            return
        self.model = HostModel(spec_of(self.stage.scenario, self.host), self.stage.now())
        self.up = True
        self.gate(False)
        self.stage.write(records.Started(self.stage.now(), self.host.name))

    def kill(self) -> None:
        """The process dies: connections are reset, new ones refused."""
        self.gate(True)
        self.up = False
        for leg in list(self.legs):
            self._cancel(leg, "fault")
        self._abort()
        self._arm()

    def _abort(self) -> None:
        for link in list(self.links):
            link.abort()

    def _suffer(self, fault: HostFault) -> None:
        """Lay a fault on the host at its time, and lift it at its end."""
        at, until, later = fault.at, fault.until, self.stage.at
        match fault.what:
            case "kill":
                later(at, self.kill)
                if until > at:
                    later(until, self.start)
            case "cold":
                later(at, self.kill)
                later(at + RESTART_DOWNTIME_US, self.start)
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
                later(at, self.gate, True)
                later(until, self._accept)
            case "reset" | "spoil" | "swallow":
                later(at, setattr, self, fault.what, fault.size or 1.0)
                later(until, setattr, self, fault.what, 0.0)
            case "report-delay":
                later(at, setattr, self, "late", round(fault.size * 1e6))
                later(until, setattr, self, "late", 0)

    def _accept(self) -> None:
        if self.up and not self.stopping:
            self.gate(False)

    def _hush(self, until: int, cut_off: bool) -> None:
        """Stand still: nothing is read, nothing goes on, and if cut off no connection comes up."""
        self._advance()
        self.hushed = True
        self.model.pause(until)
        if cut_off:
            self.cut_off = True
            self.gate(True, silent=True)
        self._arm()
        self.stage.at(until, self._wake, cut_off)

    def _wake(self, cut_off: bool) -> None:
        self.hushed = False
        if cut_off:
            self.cut_off = False
            self._abort()
            self._accept()
            return
        self._heard_again()

    def _heard_again(self) -> None:
        """Read what has come meanwhile."""

    def _slow(self, factor: float) -> None:
        self._advance()
        self.model.slow(factor)
        self._arm()

    def _leave(self) -> None:
        """A drained host ends: it refuses connections and requests, ends what it holds, and is gone."""
        self.stopping = True
        self.gate(True)
        self.stage.at(self.host.stop + STOP_LINGER_US, self.kill)

    def last(self) -> None:
        """Write down what is only known at the end."""
        for leg in list(self.legs):
            self._cancel(leg, "stopped")
        for second, count in self.probes.items():
            self.stage.write(records.Probe(self.host.name, second, count))
        self.stage.write(records.Links(self.host.name, self.opened_in_all, self.most, self.refused))
