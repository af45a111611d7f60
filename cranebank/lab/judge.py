"""Check the records of a run against the rules, and report each rule broken with its count. No I/O.

The judge doesn't depend on how the proxies work: it compares what callers sent and received, what hosts received,
and what discovery sent to each proxy. ``judge.slack_ms`` of the scenario allows for delays of the laboratory itself.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from itertools import pairwise

import msgspec

from cranebank.lab import records
from cranebank.lab.plan import Plan, us
from cranebank.lab.scenario import Scenario

RULES = {
    "unanswered": "a request that a proxy accepted got no final answer in time",
    "answered-twice": "a request got more than one answer",
    "drain": "a leg started at a host later than the grace period after the host's drain or removal was announced",
    "repeat": "a request was sent again although its class forbids repeats, or after its repeat window",
    "second-copy": "two legs of a request were in flight at once although second copies are not allowed",
    "attempts": "a request had more legs than max_attempts allows",
    "decline": "a request was declined although a leg had run and its class forbids repeats",
    "cold": "a cold host got more work than its budget from proxies that knew of its start",
    "bytes": "an answer differs from every answer that a host produced for the request",
    "crash": "a proxy exited unexpectedly",
}
SOCKETS_SLACK_US = 50_000  # PROTOCOL extends each time limit by this much on sockets
COLD_BUDGET_TOLERANCE = 1.1  # random arrivals may exceed the budget by this factor
CLOCK_TOLERANCE_US = 2_000  # records that two hosts write of the same moment may differ by this much
# After SIGTERM, the front stops sending new connections after the first delay, and the proxy exits within the second.
FRONT_STOP_DELAY_US, PROXY_STOP_TIMEOUT_US = 400_000, 4_000_000
MAX_EXAMPLES = 5
DECLINES = (429, 503)


class Breach(msgspec.Struct, frozen=True):
    """A broken rule: the number of breaches and the first examples."""

    rule: str
    count: int
    examples: tuple[str, ...]


class Verdict(msgspec.Struct, frozen=True):
    """The breaches found, and the numbers of requests and legs examined."""

    breaches: tuple[Breach, ...]
    requests: int
    legs: int

    @property
    def is_clean(self) -> bool:
        """Whether no rule was broken."""
        return not self.breaches


def judge(scenario: Scenario, plan: Plan, found: Iterable[records.Record]) -> Verdict:
    """Check all records of a run."""
    judgement = _Judgement(scenario, plan)
    for record in found:
        judgement.take(record)
    return judgement.verdict()


class _Judgement:
    def __init__(self, scenario: Scenario, plan: Plan) -> None:
        self._scenario, self._plan = scenario, plan
        self._slack = SOCKETS_SLACK_US + us(scenario.judge.slack_ms / 1000)
        self._calls: dict[str, records.CallRecord] = {}
        self._legs: dict[str, list[records.LegRecord]] = defaultdict(list)
        self._notices: dict[tuple[str, str], list[records.DiscoveryNotice]] = defaultdict(
            list
        )  # by proxy and host, in order
        self._known_hosts: dict[str, set[str]] = defaultdict(set)
        self._proxy_states: dict[str, list[records.ProxyStateChange]] = defaultdict(list)
        self._host_starts: list[records.Started] = []
        self._extra_answers: list[str] = []
        self._breaches: dict[str, list[str]] = defaultdict(list)

    def take(self, record: records.Record) -> None:
        match record:
            case records.CallRecord():
                self._calls[record.id] = record
            case records.LegRecord():
                self._legs[record.id].append(record)
            case records.ExtraAnswer(name):
                self._extra_answers.append(name)
            case records.DiscoveryNotice():
                self._record_notice(record)
            case records.ProxyStateChange():
                self._proxy_states[record.proxy].append(record)
            case records.Started():
                self._host_starts.append(record)

    def _record_notice(self, notice: records.DiscoveryNotice) -> None:
        if notice.host != "*":
            self._notices[notice.proxy, notice.host].append(notice)
            self._known_hosts[notice.proxy].add(notice.host)
            return
        named = set(notice.state.split(","))  # a full list: hosts that it leaves out were removed
        for host in self._known_hosts[notice.proxy] - named:
            self._notices[notice.proxy, host].append(
                records.DiscoveryNotice(notice.at, notice.proxy, host, "DELETED", 0)
            )

    def verdict(self) -> Verdict:
        for call in self._calls.values():
            self._check_answer(call)
        for name in self._extra_answers:
            self._breach("answered-twice", name)
        for name, legs in self._legs.items():
            legs.sort(key=lambda leg: leg.first)
            self._check_repeats(name, legs)
            for leg in legs:
                self._check_drain(name, leg)
        for start in self._host_starts:
            self._check_cold_budget(start)
        for lives in self._proxy_states.values():
            for life in lives:
                if life.state == "crashed":
                    self._breach("crash", f"{life.proxy} at {life.at / 1e6:.3f} s")
        order = [rule for rule in RULES if rule in self._breaches]
        return Verdict(
            tuple(
                Breach(rule, len(self._breaches[rule]), tuple(self._breaches[rule][:MAX_EXAMPLES])) for rule in order
            ),
            len(self._calls),
            sum(map(len, self._legs.values())),
        )

    def _breach(self, rule: str, what: str) -> None:
        self._breaches[rule].append(what)

    def _check_answer(self, call: records.CallRecord) -> None:
        legs, kind = self._legs.get(call.id, []), self._scenario.classes[call.kind]
        if call.status == 200:
            made = {leg.digest for leg in legs if leg.status == 200}
            if call.digest not in made or not call.has_request_id:
                self._breach("bytes", f"{call.id} by {call.proxy}")
        elif call.status in DECLINES:
            if kind.effect == "unsafe" and any(leg.ran for leg in legs):
                self._breach("decline", f"{call.id} by {call.proxy}")
        elif self._is_unanswered(call) and not self._proxy_died(call.proxy, call.sent, call.done):
            why = "the connection was closed" if call.was_cut_off else "no answer arrived"
            self._breach("unanswered", f"{call.id} by {call.proxy}: {why} by {call.done / 1e6:.3f} s")

    @staticmethod
    def _is_unanswered(call: records.CallRecord) -> bool:
        """Return whether a proxy accepted a request and never answered it.

        Hosts stop waiting at their deadline, so only clients can observe a missing answer.
        """
        is_accepted = call.status == 0 and call.sent >= 0 and not call.client_left
        return is_accepted and (call.was_cut_off or call.caller == "client")

    def _proxy_died(self, proxy: str, since: int, until: int) -> bool:
        """Return whether a proxy died while a request was in flight.

        A proxy that is stopped finishes its requests, but 0.4 s after SIGTERM the front sends it no more connections
        (PROTOCOL), and a request that arrives later may find the proxy gone.
        """
        return any(
            (life.state in ("killed", "crashed") and since - self._slack <= life.at <= until + self._slack)
            or (life.state == "stopping" and life.at + FRONT_STOP_DELAY_US <= since <= life.at + PROXY_STOP_TIMEOUT_US)
            for life in self._proxy_states.get(proxy, [])
        )

    def _check_drain(self, name: str, leg: records.LegRecord) -> None:
        call = self._calls.get(name)
        if call is None:
            return
        notices = self._notices.get((call.proxy, leg.host), [])
        last = bisect_right(notices, leg.first, key=lambda t: t.at) - 1
        if last < 0 or notices[last].state == "SERVING":
            return
        while last > 0 and notices[last - 1].state != "SERVING":  # drained, then removed: the grace starts at the first
            last -= 1
        late = leg.first - notices[last].at - us(self._scenario.limits.drain_grace_ms / 1000)
        if late > self._slack:
            self._breach("drain", f"{name} by {call.proxy} to {leg.host}: {late / 1e6:.3f} s after the grace period")

    def _check_repeats(self, name: str, legs: list[records.LegRecord]) -> None:
        scenario, kind = self._scenario, self._scenario.classes[legs[0].kind]
        if len(legs) > scenario.limits.max_attempts:
            self._breach("attempts", f"{name}: {len(legs)} legs")
        ran = next((leg for leg in legs if leg.ran), None)
        for before, leg in pairwise(legs):
            # The host sees the end of a cancelled leg late; any other leg ends before the next one starts.
            tolerance = self._slack if before.ended_by == "cancelled" else CLOCK_TOLERANCE_US
            if before.done > leg.first + tolerance and not scenario.limits.second_copies:
                self._breach("second-copy", f"{name} at {before.host} and {leg.host}")
            if ran is None or leg.first <= ran.first:
                continue
            if kind.effect == "unsafe":
                self._breach("repeat", f"{name} at {leg.host} after {ran.host}")
            elif kind.effect == "keyed":
                late = leg.first - ran.first - us(kind.window_ms / 1000)
                if late > self._slack:
                    self._breach("repeat", f"{name} at {leg.host}: {late / 1e6:.3f} s after the repeat window")

    def _check_cold_budget(self, start: records.Started) -> None:
        """Check that a cold host got at most multiple x present capacity x window of work per window (HostModel)."""
        if start.fell:
            self._breach("cold", f"{start.host} failed under load at {start.at / 1e6:.3f} s")
            return
        cold, host = self._scenario.cold, next(h for h in self._plan.hosts if h.name == start.host)
        warm, window = us(cold.warm_s), us(cold.fall_s)
        full = self._scenario.tiers[host.tier].kind[host.kind].cores * host.speed * cold.fall_multiple
        sent = sorted(
            (
                leg
                for legs in self._legs.values()
                for leg in legs
                if leg.host == host.name and start.at <= leg.first < start.at + warm
            ),
            key=lambda leg: leg.first,
        )
        first, window_work, informed_work = 0, 0.0, 0.0
        for leg in sent:
            knew = self._proxy_knew_start(leg, start)
            window_work, informed_work = window_work + leg.work, informed_work + leg.work * knew
            while sent[first].first <= leg.first - window:
                window_work -= sent[first].work
                informed_work -= sent[first].work * self._proxy_knew_start(sent[first], start)
                first += 1
            share = cold.share + (1 - cold.share) * (leg.first - start.at) / max(1, warm)
            if window_work > COLD_BUDGET_TOLERANCE * full * share * window and informed_work > window_work * 2 / 3:
                self._breach("cold", f"{host.name} {(leg.first - start.at) / 1e6:.3f} s after its start")
                return

    def _proxy_knew_start(self, leg: records.LegRecord, start: records.Started) -> bool:
        call = self._calls.get(leg.id)
        notices = self._notices.get((call.proxy, leg.host), []) if call is not None else []
        return any(t.at <= leg.first and t.started and abs(t.started - start.at) < 1_000_000 for t in notices)
