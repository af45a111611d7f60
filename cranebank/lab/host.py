"""A stand-in host without I/O: requests, calls to the next tier, answers and faults around the host model.

The socket laboratory (``hosts.py``) and simulated time (``simulated/world.py``) provide the links and the stage, and
implement how a host refuses connections. All other behaviour of a host is here, shared by both.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log, sqrt

import xxhash

from cranebank.lab import records
from cranebank.lab.model import Admission, HostModel, Job, Phase
from cranebank.lab.plan import NEVER, RESTART_DOWNTIME_US, STOP_LINGER_US, HostFault, HostPlan, spec_of
from cranebank.lab.stage import Ask, Environment, InFlight, Link, Reply, Timer
from cranebank.lab.streams import stream

BODY_BYTES = 300


@dataclass(slots=True, eq=False)
class Leg:
    """A leg that a host works on."""

    link: Link
    record: records.LegRecord
    ask: Ask
    deadline: int
    job: Job
    calls_left: int
    calls_made: int = 0
    out: InFlight | None = None
    timer: Timer | None = None


class StandIn:
    """One host. Its owner calls ``opened``, ``request``, ``probe`` and ``lost``, and implements ``gate``."""

    def __init__(self, stage: Environment, host: HostPlan) -> None:
        self.stage, self.host = stage, host
        self.model = HostModel(spec_of(stage.scenario, host), host.start)
        self.links: dict[Link, None] = {}  # in order of opening, so that iteration is deterministic
        self.legs: dict[Leg, None] = {}
        self.up = self.stopping = self.refusing = self.is_frozen = self.cut_off = False
        self.reset = self.spoil = self.swallow = 0.0
        self.report_lateness = self.opened_count = self.most_open = self.refused = self._call_count = 0
        self.probes: dict[int, int] = {}
        self._timer: Timer | None = None
        self._timer_at: int | None = None
        self._random = stream(stage.scenario.seed, "host", host.name)
        # The index of an initial host in its tier selects its proxy; successors of the host use the same proxy.
        initial = [h.name for h in stage.plan.hosts if h.tier == host.tier and h.start == 0]
        next_proxies = [proxy.name for proxy in stage.plan.proxies if proxy.tier == host.tier + 1]
        self._proxy = next_proxies[initial.index(host.name.split(".")[0]) % len(next_proxies)] if next_proxies else ""
        self._prefix = xxhash.xxh32_hexdigest(host.name.encode())

    def gate(self, refuse: bool, silent: bool = False) -> None:
        """Refuse new connections (``silent``: leave them unanswered instead), or accept them again."""

    # Connections.

    def opened(self, link: Link) -> bool:
        """Count a new connection and do its handshake work, or return False to reject it."""
        if not self.up or self.refusing or len(self.links) >= self.stage.scenario.connections.cap:
            self.refused += 1
            return False
        self.links[link] = None
        self.opened_count += 1
        self.most_open = max(self.most_open, len(self.links))
        self._advance_model()
        if work := self.stage.scenario.connections.handshake_ms * 1000.0:
            self.model.chore(Job(work))
        self._schedule_model()
        return True

    def lost(self, link: Link) -> None:
        """Forget a closed connection and cancel its leg."""
        self.links.pop(link, None)
        if isinstance(link.request, Leg):
            self._cancel_leg(link.request, "cancelled")

    # Requests.

    def probe(self, link: Link, wants_load: bool) -> None:
        """Answer a probe after the work that it costs."""
        self._advance_model()
        scenario, second = self.stage.scenario, self.stage.now() // 1_000_000
        self.probes[second] = self.probes.get(second, 0) + 1

        def answer() -> None:
            link.request = None
            link.answer(200, self.load().encode() if wants_load else b"")

        link.request = answer
        self.model.chore(Job(max(1.0, scenario.reports.probe_ms * 1000.0), content=answer))
        self._schedule_model()

    def load(self) -> str:
        """Return the load report as reported now."""
        inflight, queue = self.model.report(self.stage.now(), self.report_lateness)
        return f"TEXT inflight={inflight}, queue={queue}"

    def request(self, link: Link, ask: Ask, first: int) -> None:
        """Take a leg whose last byte has arrived; ``first`` is the time of its first byte."""
        self._advance_model()
        stage, now = self.stage, self.stage.now()
        scenario, kind = stage.scenario, stage.scenario.classes[ask.kind]
        tier, is_last_tier = scenario.tiers[self.host.tier], self.host.tier + 1 == len(scenario.tiers)
        own_work = ask.work * tier.work
        if kind.attempt_noise:
            variance = log(1 + kind.attempt_noise**2)
            own_work *= float(self._random.lognormal(-variance / 2, sqrt(variance)))
        calls = 0 if is_last_tier else int(tier.calls) + int(self._random.random() < tier.calls % 1.0)
        record = records.LegRecord(
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
            work=int(own_work),
        )
        if self.swallow and self._random.random() < self.swallow:  # dropped unread and never answered
            record.status, record.ended_by = 0, "fault"
            link.request = record
            stage.write(record)
            return
        leg = Leg(link, record, ask, now + ask.left, Job(max(1.0, own_work), calls), calls)
        leg.job.content = leg
        admission = Admission.FULL if self.stopping else self.model.offer(now, leg.job)
        if admission is Admission.FELL:
            stage.write(records.Started(now, self.host.name, fell=True))
            self.kill()
        elif admission is Admission.FULL:
            stage.write(record)
            link.answer(503, load=self._answer_load(), not_run=True)
        else:
            record.ran = True
            record.effect = not ask.key or stage.repeats.first(now, ask.kind, ask.key, round(kind.window_ms * 1000))
            link.request = leg
            self.legs[leg] = None
        self._schedule_model()

    def _answer_load(self) -> str:
        return self.load() if self.stage.scenario.reports.source == "answers" else ""

    # Advancing the model.

    def _advance_model(self) -> None:
        for job in self.model.advance(self.stage.now()):
            self._phase_ended(job)

    def _turn(self) -> None:
        """End the phases of the model that are due, and set the timer for the next one."""
        self._timer = self._timer_at = None
        self._advance_model()
        self._schedule_model()

    def _schedule_model(self) -> None:
        due = self.model.next_due() if self.up else None
        if due != self._timer_at:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = None if due is None else self.stage.at(due, self._turn)
            self._timer_at = due

    def _phase_ended(self, job: Job) -> None:
        content = job.content
        if isinstance(content, Leg):
            if job.phase is Phase.CALLING:
                self._call_next_tier(content)
            else:
                content.record.busy_until = job.ended
                kind = self.stage.scenario.tiers[self.host.tier].kind[self.host.kind]
                failed = kind.error_rate and self._random.random() < kind.error_rate
                self._answer_leg(content, 500 if failed else 200)
        elif callable(content):
            content()

    # Calls to the next tier.

    def _call_next_tier(self, leg: Leg) -> None:
        stage, scenario, now = self.stage, self.stage.scenario, self.stage.now()
        kind = scenario.classes[leg.ask.kind]
        deadline = leg.deadline if scenario.limits.passes_deadline else now + round(kind.deadline_ms * 1000)
        self._call_count += 1
        name = f"{self._prefix}-{self._call_count}"
        call = records.CallRecord(
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
            self._record_call(call, reply)
            leg.out = None
            if leg.job.phase is not Phase.CALLING:
                return
            self._advance_model()
            if reply.status != 200:
                self._fail_leg(leg)
            else:
                leg.calls_left -= 1
                if leg.calls_left:
                    self._call_next_tier(leg)
                else:
                    self.model.resume(leg.job)
            self._schedule_model()

        ask = Ask(name, leg.ask.root, leg.ask.kind, leg.ask.tenant, call.key, leg.ask.work, deadline - now)
        leg.timer = stage.at(deadline, self._late, leg, call)
        leg.out = stage.ask(self._proxy, self.host.zone, ask, done, lambda: stage.write(records.ExtraAnswer(name)))

    def _record_call(self, call: records.CallRecord, reply: Reply) -> None:
        call.done, call.sent = self.stage.now(), reply.sent
        call.status, call.digest, call.retry_after = reply.status, reply.digest, reply.retry_after
        call.was_cut_off, call.has_request_id = reply.trouble == "broke", reply.has_request_id
        self.stage.write(call)

    def _late(self, leg: Leg, call: records.CallRecord) -> None:
        """Give up a call at its deadline and fail its leg."""
        if leg.out is not None:
            out, leg.out = leg.out, None
            out.cancel()
            self._record_call(call, out.reply)
            if leg.job.phase is Phase.CALLING:
                self._advance_model()
                self._fail_leg(leg)
                self._schedule_model()

    def _fail_leg(self, leg: Leg) -> None:
        self.model.drop(leg.job)
        leg.record.busy_until = self.stage.now()
        self._answer_leg(leg, 500)

    # Answers and cancellations.

    def _answer_leg(self, leg: Leg, status: int) -> None:
        record, link = leg.record, leg.link
        link.request = None
        self.legs.pop(leg, None)
        record.done, record.status = self.stage.now(), status
        for chance, cut in ((self.reset, True), (self.spoil, False)):
            if status == 200 and chance and self._random.random() < chance:
                record.status, record.ended_by = 0, "fault"
                link.spoil(cut)
                self.stage.write(record)
                return
        body = b""
        if status == 200:
            body = f'{{"id":"{record.id}","host":"{self.host.name}","at":{record.done}}}'.encode().ljust(BODY_BYTES)
            record.digest = xxhash.xxh64_hexdigest(body)
        link.answer(status, body, self._answer_load())
        self.stage.write(record)

    def _cancel_leg(self, leg: Leg, why: str) -> None:
        leg.link.request = None
        if leg not in self.legs:
            return
        del self.legs[leg]
        self._advance_model()
        if leg.timer is not None:
            leg.timer.cancel()
        if leg.out is not None:
            leg.out.cancel()
            leg.out = None
        if leg.job.phase is not Phase.DONE:
            self.model.drop(leg.job)
        leg.record.done = leg.record.busy_until = self.stage.now()
        leg.record.status, leg.record.ended_by = 0, why
        self.stage.write(leg.record)
        self._schedule_model()

    # Faults.

    def schedule_plan(self) -> None:
        """Schedule the start, the stop and the faults that the plan has for this host."""
        if self.host.start:
            self.stage.at(self.host.start, self.start)
        if self.host.stop != NEVER:
            self.stage.at(self.host.stop, self._leave)
        for fault in self.stage.plan.faults:
            if fault.host == self.host.name:
                self._schedule_fault(fault)

    def start(self) -> None:
        """Start the host's process, cold."""
        if self.stopping:
            return
        self.model = HostModel(spec_of(self.stage.scenario, self.host), self.stage.now())
        self.up = True
        self.gate(False)
        self.stage.write(records.Started(self.stage.now(), self.host.name))

    def kill(self) -> None:
        """Kill the host's process: its connections are reset and new ones refused."""
        self.gate(True)
        self.up = False
        for leg in list(self.legs):
            self._cancel_leg(leg, "fault")
        self._abort_links()
        self._schedule_model()

    def _abort_links(self) -> None:
        for link in list(self.links):
            link.abort()

    def _schedule_fault(self, fault: HostFault) -> None:
        """Schedule the start and the end of a fault."""
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
                when = at + int(self._random.random() * fault.every)
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
                later(at, setattr, self, "report_lateness", round(fault.size * 1e6))
                later(until, setattr, self, "report_lateness", 0)

    def _accept(self) -> None:
        """Accept connections again unless the host is down or stopping."""
        if self.up and not self.stopping:
            self.gate(False)

    def _hush(self, until: int, cut_off: bool) -> None:
        """Stop reading and working until ``until``; with ``cut_off``, new connections get no answer either."""
        self._advance_model()
        self.is_frozen = True
        self.model.pause(until)
        if cut_off:
            self.cut_off = True
            self.gate(True, silent=True)
        self._schedule_model()
        self.stage.at(until, self._wake, cut_off)

    def _wake(self, cut_off: bool) -> None:
        """End a freeze: after a cut-off, abort the connections and accept new ones; else read what arrived."""
        self.is_frozen = False
        if cut_off:
            self.cut_off = False
            self._abort_links()
            self._accept()
            return
        self._read_backlog()

    def _read_backlog(self) -> None:
        """Read the data that arrived while the host was frozen."""

    def _slow(self, factor: float) -> None:
        """Slow the model down by ``factor``."""
        self._advance_model()
        self.model.slow(factor)
        self._schedule_model()

    def _leave(self) -> None:
        """Stop a drained host: refuse connections and requests, finish those in progress, then exit."""
        self.stopping = True
        self.gate(True)
        self.stage.at(self.host.stop + STOP_LINGER_US, self.kill)

    def write_final_records(self) -> None:
        """Write the records that are only known at the end of the run."""
        for leg in list(self.legs):
            self._cancel_leg(leg, "stopped")
        for second, count in self.probes.items():
            self.stage.write(records.Probe(self.host.name, second, count))
        self.stage.write(records.ConnectionCounts(self.host.name, self.opened_count, self.most_open, self.refused))
