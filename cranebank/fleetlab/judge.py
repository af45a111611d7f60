"""The rules, judged by what clients, backends and the operator wrote down. It knows nothing of how proxies work."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from itertools import pairwise

import msgspec

from cranebank.fleetlab.cold_judge import cold_arrivals, floods
from cranebank.fleetlab.evacuation_judge import emptied_times, late_arrivals
from cranebank.fleetlab.records import Arrival, Change, DayRecord, OrderSeen, Trouble, Try
from cranebank.fleetlab.tally_judge import TallyJudge

RULES = {
    "MIXED": "an answer is the whole answer of the backend that the request ran at, and of no other request",
    "UNASKED": "backends run only what a client sent, unchanged",
    "TWICE": "what can't be repeated runs once at most, and no reading of a tally is above what could have counted",
    "REFUSED": "408, 421, 429 and 503 promise that the request never runs",
    "ROUTE": "a service runs only what some configuration sends to it",
    "DRAIN": "nothing reaches a backend later than drain_ms after the acknowledgement of its drain",
    "LOST": "planned ends of a proxy lose no request, and the end of a day no acknowledged add or evacuation",
    "STALE": "a tally has what its machine acknowledged, and merge_ms after all trouble what any machine did",
    "CONFIG": "a configuration is in force in time, never goes back, and only one that was accepted",
    "ORDER": "a stream is whole, in order and of one run, unless it may be resumed",
    "BUDGET": "further arrivals stay within the ratio and the slack",
    "ONE": "orders to a backend come from one holder of the newest fence, and holders don't take turns within lease_ms",
    "FAILBACK": "a cold backend gets no more requests in any second than its warm-up allows",
    "EVAC": "nothing reaches a backend of an emptied zone later than evacuate_ms after the acknowledgement",
    "ACKS": "valid configurations, evacuations and drains are acknowledged in time",
}
EXAMPLES = 3
PROMISES = frozenset({408, 421, 429, 503})


class Breach(msgspec.Struct):
    """A rule that was broken."""

    rule: str
    count: int = 0
    examples: list[str] = []


class Verdict(msgspec.Struct):
    """What came of the day: how much each rule was tried on, and what broke."""

    judged: dict[str, int]
    breaches: list[Breach]
    remarks: list[str] = []  # against no rule, but not as it should be

    @property
    def kept(self) -> bool:
        """Whether no rule broke."""
        return not self.breaches

    def broken(self) -> dict[str, int]:
        """Times that each rule broke."""
        return {breach.rule: breach.count for breach in self.breaches}


class Further(msgspec.Struct, frozen=True):
    """Arrivals past the first of their requests, in one window of a service."""

    service: str
    begin: float
    found: int
    allowed: float


class Judge:
    """One day's judge."""

    def __init__(self, day: DayRecord) -> None:
        self._day, self._bounds = day, day.bounds
        self._breaches: dict[str, Breach] = {}
        self._judged = dict.fromkeys(RULES, 0)
        self._by_attempt: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in sorted(day.arrivals, key=lambda arrival: arrival.at):
            self._by_attempt[arrival.attempt].append(arrival)
        self._tries = {sent.attempt: sent for sent in day.tries}
        self._accepted = [change for change in day.changes if change.valid and not change.refused]
        self._accepted.sort(key=lambda change: change.revision)

    def verdict(self) -> Verdict:
        """Judge all rules."""
        for sent in self._day.tries:
            runs = [arrival for arrival in self._by_attempt[sent.attempt] if arrival.run]
            self._mixed(sent, runs)
            self._order(sent, runs)
            self._repeats(sent, runs)
            self._lost(sent)
        self._arrivals()
        self._budget()
        self._in_force()
        self._never_back()
        self._custody()
        self._readings()
        self._acks()
        self._orders()
        self._tallies()
        self._cold()
        self._evacuations()
        for violation in self._day.violations:
            self._broke("INVARIANT", violation)
        return Verdict(self._judged, list(self._breaches.values()), list(self._refused_alone()))

    def _broke(self, rule: str, example: str) -> None:
        breach = self._breaches.setdefault(rule, Breach(rule, 0, []))
        breach.count += 1
        if len(breach.examples) < EXAMPLES:
            breach.examples.append(example)

    def _clock(self, at: float) -> str:
        return f"{at - self._day.begun:.2f} s"

    def _told(self, sent: Try) -> str:
        return f"{sent.attempt} at {sent.proxy}, {self._clock(sent.sent)}"

    # Trouble.

    def _troubled(self, machine: str, at: float) -> Trouble | None:
        """Trouble of a machine, or of the core, at a time or within contact_ms before."""
        contact = self._bounds.contact_ms / 1e3
        for trouble in self._day.troubles:
            if trouble.machine in {machine, "core"} and trouble.begin <= at <= trouble.end + contact:
                return trouble
        return None

    def _in_touch(self, machine: str, at: float) -> bool:
        return self._troubled(machine, at) is None

    # Requests and answers.

    def _mixed(self, sent: Try, runs: list[Arrival]) -> None:
        self._judged["MIXED"] += 1
        if not sent.is_http and not any(arrival.broke_off for arrival in self._by_attempt[sent.attempt]):
            self._broke("MIXED", f"bytes that are no answer: {self._told(sent)}")
        if sent.answer_attempt not in {"", sent.attempt}:
            self._broke("MIXED", f"the answer of {sent.answer_attempt}: {self._told(sent)}")
        strange = [event.attempt for event in sent.events if event.attempt != sent.attempt]
        if strange:
            self._broke("MIXED", f"events of {strange[0]}: {self._told(sent)}")
        if not (200 <= sent.status < 300 and sent.whole):
            return
        if not sent.seal:
            self._broke("MIXED", f"a success without a seal: {self._told(sent)}")
        elif not any(sent.seal == f"{arrival.run}.{sent.attempt}" for arrival in runs):
            self._broke("MIXED", f"a seal of no run of it: {self._told(sent)}")
        elif not any(200 <= arrival.status < 300 for arrival in runs):
            self._broke("MIXED", f"a success where the backend failed: {self._told(sent)}")

    def _order(self, sent: Try, runs: list[Arrival]) -> None:
        events = sent.events
        if not events:
            if 200 <= sent.status < 300 and sent.whole and sent.events_due:
                self._broke("ORDER", f"complete without an event: {self._told(sent)}")
            return
        self._judged["ORDER"] += 1
        numbers = [event.number for event in events]
        if numbers != list(range(1, len(numbers) + 1)):
            self._broke("ORDER", f"events {numbers[:12]}: {self._told(sent)}")
        elif sent.whole and len(numbers) != sent.events_due:
            self._broke("ORDER", f"closed as complete after {len(numbers)} of {sent.events_due}: {self._told(sent)}")
        known = {arrival.run: arrival for arrival in runs}
        joins = [(before, after) for before, after in pairwise(events) if before.run != after.run]
        for before, after in joins:
            run = known.get(after.run)
            if not sent.repeatable or run is None or run.after != before.number:
                self._broke("ORDER", f"pieces of two runs joined at {after.number}: {self._told(sent)}")

    def _repeats(self, sent: Try, runs: list[Arrival]) -> None:
        if sent.repeatable:
            return
        self._judged["TWICE"] += 1
        if len(runs) > 1:
            self._broke("TWICE", f"ran {len(runs)} times: {self._told(sent)}")
        if sent.status in PROMISES:
            self._judged["REFUSED"] += 1
            if runs:
                self._broke("REFUSED", f"{sent.status}, and it ran at {runs[0].instance}: {self._told(sent)}")

    def _lost(self, sent: Try) -> None:
        """Around the planned end of a proxy; what backends broke off or were late with doesn't count."""
        bounds = self._bounds
        stop = next(
            (
                trouble
                for trouble in self._day.troubles
                if trouble.planned
                and trouble.machine == sent.proxy
                and trouble.begin <= sent.ended
                and sent.sent <= trouble.begin + bounds.grace_s + 1
            ),
            None,
        )
        if stop is None or not sent.connected:
            return
        self._judged["LOST"] += 1
        if sent.whole or sent.ended >= sent.gave_up:
            return
        passed_on = self._by_attempt[sent.attempt]
        if any(arrival.broke_off for arrival in passed_on) or any(
            not trouble.planned
            and trouble.machine in {sent.proxy, "core"}
            and trouble.begin - bounds.contact_ms / 1e3 <= sent.ended
            and sent.sent <= trouble.end + bounds.contact_ms / 1e3
            for trouble in self._day.troubles
        ):
            return
        if passed_on or sent.ended - sent.sent > bounds.loss_slack_ms / 1e3:
            self._broke("LOST", f"no whole answer: {self._told(sent)}")

    def _arrivals(self) -> None:
        drained = {drain.instance: drain.acked for drain in self._day.drains if drain.acked is not None}
        for arrival in self._day.arrivals:
            sent = self._tries.get(arrival.attempt)
            self._judged["UNASKED"] += 1
            if sent is None:
                self._broke("UNASKED", f"{arrival.attempt} at {arrival.instance}: no client sent it")
                continue
            if (sent.method, sent.path, sent.digest) != (arrival.method, arrival.path, arrival.digest):
                self._broke("UNASKED", f"changed on its way to {arrival.instance}: {self._told(sent)}")
            if arrival.handle_of not in {"", arrival.attempt}:
                self._broke("MIXED", f"went on from the prompt handle of {arrival.handle_of}: {self._told(sent)}")
            if arrival.run:
                self._judged["ROUTE"] += 1
                if not any(arrival.service in (_services(change, sent) or ()) for change in self._day.changes):
                    self._broke("ROUTE", f"{arrival.service} ran it: {self._told(sent)}")
            acked = drained.get(arrival.instance)
            self._judged["DRAIN"] += acked is not None
            if acked is not None and arrival.at > acked and arrival.status != 421:
                late = arrival.at - acked - self._bounds.drain_ms / 1e3
                if late > 0 and self._in_touch(sent.proxy, arrival.at):
                    self._broke("DRAIN", f"{late:.2f} s too late at {arrival.instance}: {self._told(sent)}")

    # Retries.

    def further(self) -> Iterator[Further]:
        """For every further arrival: how many there were in the window that it begins, and how many may be."""
        window = self._bounds.retry_window_s
        extras: dict[str, list[float]] = defaultdict(list)
        requests: dict[str, list[float]] = defaultdict(list)
        for attempt, arrivals in self._by_attempt.items():
            first_read = next((a for a in arrivals if a.kind == "read" and not a.not_run), None)
            counted = [a for a in arrivals if a is not first_read]
            seen: set[str] = set()
            for arrival in counted:
                if arrival.service in seen:
                    extras[arrival.service].append(arrival.at)
                seen.add(arrival.service)
            if attempt in self._tries:
                for service in {a.service for a in arrivals}:
                    requests[service].append(self._tries[attempt].sent)
        for sent in self._day.tries:
            if not self._by_attempt[sent.attempt] and self._accepted and not sent.is_probe:
                for service in (_services(self._accepted[-1], sent) or ())[:1]:
                    requests[service].append(sent.sent)
        for service, times in extras.items():
            times.sort()
            sent_at = sorted(requests[service])
            for index, begin in enumerate(times):
                found = bisect_right(times, begin + window) - index
                most = max(
                    bisect_right(sent_at, begin + window - back) - bisect_left(sent_at, begin - back)
                    for back in (0.0, window / 2, window)
                )
                allowed = self._bounds.retry_ratio * most + self._bounds.retry_slack
                yield Further(service, begin, found, allowed)

    def _budget(self) -> None:
        for further in self.further():
            self._judged["BUDGET"] += 1
            if further.found > further.allowed:
                self._broke(
                    "BUDGET",
                    f"{further.found} further arrivals at {further.service} from "
                    f"{self._clock(further.begin)} on, {further.allowed:.1f} allowed",
                )

    # Configuration.

    def _shows(self, sent: Try) -> set[int]:
        """Revisions that what became of a try allows: it ran at a service, or got 404; empty: it shows nothing."""
        changes = [change for change in self._day.changes if change.sent <= sent.ended]
        ran = {arrival.service for arrival in self._by_attempt[sent.attempt] if arrival.run}
        if ran:
            return {c.revision for c in changes if ran <= set(_services(c, sent) or ())}
        if sent.status == 404:
            return {c.revision for c in changes if _services(c, sent) is None} or {-1}
        return set()

    def _in_force(self) -> None:
        """Whatever a proxy does is right by a configuration that may be in force, and that is new enough."""
        apply_s = self._bounds.apply_ms / 1e3
        accepted = {change.revision for change in self._accepted}
        for sent in self._day.tries:
            shown = self._shows(sent)
            if not shown:
                continue
            self._judged["CONFIG"] += 1
            known = shown & accepted
            if not known:
                if sent.status != 404 or self._in_touch(sent.proxy, sent.sent):
                    self._broke("CONFIG", f"only what was never in force allows it: {self._told(sent)}")
                continue
            due = self._due(sent.sent - apply_s)
            if max(known) < due and self._in_touch(sent.proxy, sent.sent):
                self._broke("CONFIG", f"handled by revision {max(known)}, {due} is due: {self._told(sent)}")

    def _never_back(self) -> None:
        """Within one life of a proxy the revision never falls."""
        revert_s = self._bounds.revert_ms / 1e3
        accepted = {change.revision for change in self._accepted}
        lives: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
        for sent in self._day.tries:
            shown = self._shows(sent) & accepted
            times = [arrival.ran_at for arrival in self._by_attempt[sent.attempt] if arrival.run]
            if shown and times:
                lives[sent.proxy, sent.life].append((min(times), min(shown)))
        for effects in lives.values():
            effects.sort()
        for sent in self._day.tries:
            shown = self._shows(sent) & accepted
            before = [rev for at, rev in lives.get((sent.proxy, sent.life), ()) if at + revert_s < sent.sent]
            if shown and before and max(shown) < max(before):
                self._broke("CONFIG", f"back from revision {max(before)} to {max(shown)}: {self._told(sent)}")

    def _custody(self) -> None:
        acked = [change for change in self._day.changes if change.acked is not None]
        for change in acked:
            self._judged["CONFIG"] += 1
            if not change.valid:
                self._broke("CONFIG", f"revision {change.revision} is invalid and was acknowledged")
        by_base: dict[int, list[Change]] = defaultdict(list)
        for change in acked:
            by_base[change.base].append(change)
        for base, changes in by_base.items():
            if len({change.digest for change in changes}) > 1:
                self._broke("CONFIG", f"two changes on top of {base} were acknowledged")
        back, newest = self._day.read_back, max((change.revision for change in acked if change.valid), default=0)
        if back is None or not newest:
            return
        if back.revision < newest:
            self._broke("CONFIG", f"read back revision {back.revision}, {newest} was acknowledged")
        elif not any(c.revision == back.revision and c.digest == back.digest for c in self._accepted):
            self._broke("CONFIG", f"read back as {back.revision} what was not sent under that number")

    def _readings(self) -> None:
        """What a controller answers as the newest is no older than what was acknowledged, in touch or not."""
        apply_s = self._bounds.apply_ms / 1e3
        known = {(change.revision, change.digest) for change in self._accepted}
        for reading in self._day.readings:
            self._judged["CONFIG"] += 1
            due = self._due(reading.sent - apply_s)
            at = self._clock(reading.sent)
            if reading.revision < due:
                self._broke("CONFIG", f"read as revision {reading.revision} at {at}, {due} was acknowledged")
            if (reading.revision, reading.digest) not in known:
                self._broke("CONFIG", f"read as {reading.revision} at {at} what was not accepted under that number")

    def _due(self, at: float) -> int:
        """The newest revision that was acknowledged before a time."""
        acked = (change.revision for change in self._accepted if change.acked is not None and change.acked < at)
        return max(acked, default=0)

    def _acks(self) -> None:
        limit = self._bounds.ack_ms / 1e3
        for change in self._day.changes:
            until = change.acked if change.acked is not None else self._day.ended
            if (
                change.valid
                and not change.refused
                and until - change.sent > limit + 0.003 * len(change.routes)
                and self._calm(change.sent, change.sent + limit)
            ):
                self._broke("ACKS", f"revision {change.revision} took {until - change.sent:.1f} s")
            self._judged["ACKS"] += 1
        calm = [
            drain for drain in self._day.drains if self._calm(drain.announced, drain.announced + limit, drain.instance)
        ]
        without = [drain for drain in calm if drain.acked is None or drain.acked - drain.announced > limit]
        self._judged["ACKS"] += len(calm)
        if len(without) > len(calm) / 5:
            self._broke("ACKS", f"{len(without)} of {len(calm)} drains without one, {without[0].instance} among them")

    def _orders(self) -> None:
        """Orders to each backend, pair by pair in the order of their arrival."""
        by_backend: dict[str, list[OrderSeen]] = defaultdict(list)
        for order in sorted(self._day.orders, key=lambda order: order.at):
            by_backend[order.instance].append(order)
        for orders in by_backend.values():
            self._judged["ONE"] += len(orders)
            for before, after in pairwise(orders):
                self._one_holder(before, after)

    def _tallies(self) -> None:
        tallies = TallyJudge(self._day)
        for rule in ("TWICE", "STALE"):
            self._judged[rule] += len(tallies.readings)
        self._judged["LOST"] += sum(call.is_last for call in self._day.tally_calls)
        for finding in tallies.findings():
            self._broke(finding.rule, finding.text)

    def _evacuations(self) -> None:
        limit = self._bounds.ack_ms / 1e3
        for order in self._day.evacuations:
            self._judged["ACKS"] += 1
            until = order.acked if order.acked is not None else self._day.ended
            is_late = until - order.sent > limit and self._calm(order.sent, order.sent + limit)
            if is_late or order.is_refused:
                call = "Start" if order.is_start else "Finish"
                self._broke("ACKS", f"{call} of {order.zone} at {self._clock(order.sent)}: {order.outcome}")
        for emptied in emptied_times(self._day):
            self._judged["EVAC"] += 1
            self._judged["LOST"] += emptied.end >= self._day.ended
        for late in late_arrivals(self._day):
            sent = self._tries.get(late.arrival.attempt)
            if sent is not None and self._in_touch(sent.proxy, late.arrival.at):
                place = f"{late.arrival.instance} in {late.zone} at {self._clock(late.arrival.at)}"
                self._broke("LOST" if late.is_forgotten else "EVAC", f"{place}: {self._told(sent)}")

    def _cold(self) -> None:
        self._judged["FAILBACK"] += sum(len(times) for _, times in cold_arrivals(self._day))
        for flood in floods(self._day):
            self._broke(
                "FAILBACK",
                f"{flood.found} requests at {flood.instance} in the second from {self._clock(flood.begin)} on, "
                f"{flood.allowed:.0f} allowed",
            )

    def _one_holder(self, before: OrderSeen, after: OrderSeen) -> None:
        told = f"{before.owner} with {before.fence_no}, then {after.owner} with {after.fence_no}"
        place = f"{after.instance} at {self._clock(after.at)}: {told}"
        if after.fence_no < before.fence_no:
            self._broke("ONE", f"a lower fence, {place}")
        if after.owner == before.owner:
            return
        if after.fence_no == before.fence_no:
            self._broke("ONE", f"two holders of one fence, {place}")
        elif after.at - before.at <= self._bounds.lease_ms / 1e3:
            self._broke("ONE", f"holders take turns after {after.at - before.at:.2f} s, {place}")

    def _refused_alone(self) -> Iterator[str]:
        """Valid changes on top of the newest version that were refused though no other took their place."""
        for change in self._day.changes:
            if not (change.valid and change.refused):
                continue
            rivals = [
                other
                for other in self._day.changes
                if other is not change
                and other.sent <= change.answered
                and other.revision > change.base
                and not other.refused
                and other.valid
            ]
            if not rivals:
                yield (
                    f"revision {change.revision} on top of {change.base} was refused at "
                    f"{self._clock(change.answered)}, and no other had taken its place"
                )

    def _calm(self, begin: float, end: float, caller: str = "") -> bool:
        """Whether the core was stable all the while, no answer of it was lost, and the caller was in no trouble."""
        contact = self._bounds.contact_ms / 1e3
        machines = {"core", "answers", caller}
        return not any(
            trouble.machine in machines and trouble.begin <= end and begin <= trouble.end + contact
            for trouble in self._day.troubles
        )


def _services(change: Change, sent: Try) -> tuple[str, ...] | None:
    """The services that a configuration sends a request to; None: it has no route for it."""
    path = sent.path.partition("?")[0]
    fitting = [rule for rule in change.routes if rule.host == sent.host and path.startswith(rule.prefix)]
    return max(fitting, key=lambda rule: len(rule.prefix)).services if fitting else None


def judge(day: DayRecord) -> Verdict:
    """Judge a day."""
    return Judge(day).verdict()


def share(day: DayRecord, of: Callable[[Try], bool], among: Iterable[Try] | None = None) -> float:
    """The share of requests with a try of this sort."""
    tries = [sent for sent in (day.tries if among is None else among) if not sent.is_probe]
    requests = {sent.request for sent in tries}
    return len({sent.request for sent in tries if of(sent)}) / max(1, len(requests))


def served(sent: Try) -> bool:
    """Whether a try has its whole answer."""
    return sent.whole and 200 <= sent.status < 300
