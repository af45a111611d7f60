"""Judges a day's rules from the records of clients, backends and the operator, without knowing how proxies work."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from itertools import pairwise

import msgspec

from cranebank.fleetlab.cold_judge import cold_arrivals, floods
from cranebank.fleetlab.evacuation_judge import binding_periods, late_arrivals
from cranebank.fleetlab.records import Arrival, Change, DayRecord, OrderSeen, Trouble, Try
from cranebank.fleetlab.tally_judge import TallyJudge

RULES = {
    "MIXED": "an answer comes whole from the backend that ran the request, and belongs to no other request",
    "UNASKED": "backends run only what a client sent, unchanged",
    "TWICE": "a request that can't be repeated runs at most once, and no tally exceeds the adds that may have counted",
    "REFUSED": "a request answered with 408, 421, 429 or 503 never runs",
    "ROUTE": "a service runs only requests that some configuration routes to it",
    "DRAIN": "no request reaches a backend later than drain_ms after the acknowledgement of its drain",
    "LOST": "a planned stop of a proxy loses no request, and no acknowledged add or evacuation is lost by the end",
    "STALE": "a tally has the adds its machine acknowledged, and merge_ms after all trouble those of all machines",
    "CONFIG": "only accepted configurations are in force, each in time, and none is replaced by an older one",
    "ORDER": "a stream is whole, in order and from one run, unless it may be resumed",
    "BUDGET": "repeated arrivals stay within the retry ratio and slack",
    "ONE": "orders to a backend come from one holder of the newest fence, and holders change no faster than lease_ms",
    "FAILBACK": "a cold backend receives no more requests in any second than its warm-up allows",
    "EVAC": "no request reaches a backend of an evacuated zone later than evacuate_ms after the acknowledgement",
    "ACKS": "valid configurations, evacuations and drains are acknowledged in time",
}
MAX_EXAMPLES = 3
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Breach(msgspec.Struct):
    """A broken rule, the number of its violations and examples of them."""

    rule: str
    count: int = 0
    examples: list[str] = []


class Verdict(msgspec.Struct):
    """The result of a day: how often each rule was judged, and its breaches."""

    judged: dict[str, int]
    breaches: list[Breach]
    remarks: list[str] = []  # undesirable events that break no rule

    @property
    def kept(self) -> bool:
        """Whether no rule was broken."""
        return not self.breaches

    def broken(self) -> dict[str, int]:
        """Return the number of violations by broken rule."""
        return {breach.rule: breach.count for breach in self.breaches}


class RepeatedArrivals(msgspec.Struct, frozen=True):
    """Repeated arrivals of requests in one window of a service."""

    service: str
    begin: float
    found: int
    allowed: float


class Judge:
    """Judges the record of one day."""

    def __init__(self, day: DayRecord) -> None:
        self._day, self._bounds = day, day.bounds
        self._breaches: dict[str, Breach] = {}
        self._judged = dict.fromkeys(RULES, 0)
        self._arrivals_by_attempt: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in sorted(day.arrivals, key=lambda arrival: arrival.at):
            self._arrivals_by_attempt[arrival.attempt].append(arrival)
        self._tries_by_attempt = {client_try.attempt: client_try for client_try in day.tries}
        self._accepted = [change for change in day.changes if change.valid and not change.refused]
        self._accepted.sort(key=lambda change: change.revision)

    def verdict(self) -> Verdict:
        """Judge all rules and return the verdict."""
        for client_try in self._day.tries:
            runs = [arrival for arrival in self._arrivals_by_attempt[client_try.attempt] if arrival.run]
            self._check_answer(client_try, runs)
            self._check_stream(client_try, runs)
            self._check_repeats(client_try, runs)
            self._check_planned_stop(client_try)
        self._check_arrivals()
        self._check_budget()
        self._check_in_force()
        self._check_no_rollback()
        self._check_changes()
        self._check_readings()
        self._check_acks()
        self._check_orders()
        self._check_tallies()
        self._check_cold()
        self._check_evacuations()
        for violation in self._day.violations:
            self._record_breach("INVARIANT", violation)
        return Verdict(self._judged, list(self._breaches.values()), list(self._unexplained_refusals()))

    def _record_breach(self, rule: str, example: str) -> None:
        breach = self._breaches.setdefault(rule, Breach(rule, 0, []))
        breach.count += 1
        if len(breach.examples) < MAX_EXAMPLES:
            breach.examples.append(example)

    def _time_text(self, at: float) -> str:
        return f"{at - self._day.begun:.2f} s"

    def _describe(self, client_try: Try) -> str:
        return f"{client_try.attempt} at {client_try.proxy}, {self._time_text(client_try.sent)}"

    # Troubles.

    def _trouble_at(self, machine: str, at: float) -> Trouble | None:
        """Return a trouble of a machine or of the core that was on at a time or within contact_ms before it."""
        contact_s = self._bounds.contact_ms / 1e3
        for trouble in self._day.troubles:
            if trouble.machine in {machine, "core"} and trouble.begin <= at <= trouble.end + contact_s:
                return trouble
        return None

    def _has_contact(self, machine: str, at: float) -> bool:
        return self._trouble_at(machine, at) is None

    # Requests and answers.

    def _check_answer(self, client_try: Try, runs: list[Arrival]) -> None:
        self._judged["MIXED"] += 1
        if not client_try.is_http and not any(
            arrival.broke_off for arrival in self._arrivals_by_attempt[client_try.attempt]
        ):
            self._record_breach("MIXED", f"bytes that are no HTTP response: {self._describe(client_try)}")
        if client_try.answer_attempt not in {"", client_try.attempt}:
            self._record_breach("MIXED", f"the answer of {client_try.answer_attempt}: {self._describe(client_try)}")
        foreign_attempts = [event.attempt for event in client_try.events if event.attempt != client_try.attempt]
        if foreign_attempts:
            self._record_breach("MIXED", f"events of {foreign_attempts[0]}: {self._describe(client_try)}")
        if not (200 <= client_try.status < 300 and client_try.whole):
            return
        if not client_try.seal:
            self._record_breach("MIXED", f"a success without a seal: {self._describe(client_try)}")
        elif not any(client_try.seal == f"{arrival.run}.{client_try.attempt}" for arrival in runs):
            self._record_breach("MIXED", f"a seal that matches no run of the request: {self._describe(client_try)}")
        elif not any(200 <= arrival.status < 300 for arrival in runs):
            self._record_breach("MIXED", f"a success where the backend failed: {self._describe(client_try)}")

    def _check_stream(self, client_try: Try, runs: list[Arrival]) -> None:
        events = client_try.events
        if not events:
            if 200 <= client_try.status < 300 and client_try.whole and client_try.events_due:
                self._record_breach("ORDER", f"complete without an event: {self._describe(client_try)}")
            return
        self._judged["ORDER"] += 1
        numbers = [event.number for event in events]
        if numbers != list(range(1, len(numbers) + 1)):
            self._record_breach("ORDER", f"events {numbers[:12]}: {self._describe(client_try)}")
        elif client_try.whole and len(numbers) != client_try.events_due:
            self._record_breach(
                "ORDER",
                f"closed as complete after {len(numbers)} of {client_try.events_due}: {self._describe(client_try)}",
            )
        known = {arrival.run: arrival for arrival in runs}
        run_changes = [(before, after) for before, after in pairwise(events) if before.run != after.run]
        for before, after in run_changes:
            run = known.get(after.run)
            if not client_try.repeatable or run is None or run.after != before.number:
                self._record_breach(
                    "ORDER", f"pieces of two runs joined at {after.number}: {self._describe(client_try)}"
                )

    def _check_repeats(self, client_try: Try, runs: list[Arrival]) -> None:
        if client_try.repeatable:
            return
        self._judged["TWICE"] += 1
        if len(runs) > 1:
            self._record_breach("TWICE", f"ran {len(runs)} times: {self._describe(client_try)}")
        if client_try.status in NOT_RUN_STATUSES:
            self._judged["REFUSED"] += 1
            if runs:
                self._record_breach(
                    "REFUSED", f"{client_try.status}, and it ran at {runs[0].instance}: {self._describe(client_try)}"
                )

    def _check_planned_stop(self, client_try: Try) -> None:
        """Check that a planned stop of a proxy lost no request; answers that backends broke or delayed are excused."""
        bounds = self._bounds
        planned_stop = next(
            (
                trouble
                for trouble in self._day.troubles
                if trouble.planned
                and trouble.machine == client_try.proxy
                and trouble.begin <= client_try.ended
                and client_try.sent <= trouble.begin + bounds.grace_s + 1
            ),
            None,
        )
        if planned_stop is None or not client_try.connected:
            return
        self._judged["LOST"] += 1
        if client_try.whole or client_try.ended >= client_try.gave_up:
            return
        arrivals = self._arrivals_by_attempt[client_try.attempt]
        if any(arrival.broke_off for arrival in arrivals) or any(
            not trouble.planned
            and trouble.machine in {client_try.proxy, "core"}
            and trouble.begin - bounds.contact_ms / 1e3 <= client_try.ended
            and client_try.sent <= trouble.end + bounds.contact_ms / 1e3
            for trouble in self._day.troubles
        ):
            return
        if arrivals or client_try.ended - client_try.sent > bounds.loss_slack_ms / 1e3:
            self._record_breach("LOST", f"no whole answer: {self._describe(client_try)}")

    def _check_arrivals(self) -> None:
        drained = {drain.instance: drain.acked for drain in self._day.drains if drain.acked is not None}
        for arrival in self._day.arrivals:
            client_try = self._tries_by_attempt.get(arrival.attempt)
            self._judged["UNASKED"] += 1
            if client_try is None:
                self._record_breach("UNASKED", f"{arrival.attempt} at {arrival.instance}: no client sent it")
                continue
            if (client_try.method, client_try.path, client_try.digest) != (
                arrival.method,
                arrival.path,
                arrival.digest,
            ):
                self._record_breach(
                    "UNASKED", f"changed on its way to {arrival.instance}: {self._describe(client_try)}"
                )
            if arrival.handle_of not in {"", arrival.attempt}:
                self._record_breach(
                    "MIXED", f"used the prompt handle of {arrival.handle_of}: {self._describe(client_try)}"
                )
            if arrival.run:
                self._judged["ROUTE"] += 1
                if not any(
                    arrival.service in (_matching_services(change, client_try) or ()) for change in self._day.changes
                ):
                    self._record_breach("ROUTE", f"{arrival.service} ran it: {self._describe(client_try)}")
            acked = drained.get(arrival.instance)
            self._judged["DRAIN"] += acked is not None
            if acked is not None and arrival.at > acked and arrival.status != 421:
                late = arrival.at - acked - self._bounds.drain_ms / 1e3
                if late > 0 and self._has_contact(client_try.proxy, arrival.at):
                    self._record_breach(
                        "DRAIN", f"{late:.2f} s too late at {arrival.instance}: {self._describe(client_try)}"
                    )

    # Retry budget.

    def repeated_arrivals(self) -> Iterator[RepeatedArrivals]:
        """Yield, for the window that each repeated arrival begins, the number of them and the number allowed."""
        window = self._bounds.retry_window_s
        extras: dict[str, list[float]] = defaultdict(list)
        requests: dict[str, list[float]] = defaultdict(list)
        for attempt, arrivals in self._arrivals_by_attempt.items():
            first_prefill = next((a for a in arrivals if a.kind == "read" and not a.not_run), None)
            counted = [a for a in arrivals if a is not first_prefill]
            seen: set[str] = set()
            for arrival in counted:
                if arrival.service in seen:
                    extras[arrival.service].append(arrival.at)
                seen.add(arrival.service)
            if attempt in self._tries_by_attempt:
                for service in {a.service for a in arrivals}:
                    requests[service].append(self._tries_by_attempt[attempt].sent)
        for client_try in self._day.tries:
            if not self._arrivals_by_attempt[client_try.attempt] and self._accepted and not client_try.is_probe:
                for service in (_matching_services(self._accepted[-1], client_try) or ())[:1]:
                    requests[service].append(client_try.sent)
        for service, times in extras.items():
            times.sort()
            sent_at = sorted(requests[service])
            for index, begin in enumerate(times):
                found = bisect_right(times, begin + window) - index
                requests_in_window = max(
                    bisect_right(sent_at, begin + window - offset) - bisect_left(sent_at, begin - offset)
                    for offset in (0.0, window / 2, window)
                )
                allowed = self._bounds.retry_ratio * requests_in_window + self._bounds.retry_slack
                yield RepeatedArrivals(service, begin, found, allowed)

    def _check_budget(self) -> None:
        for window in self.repeated_arrivals():
            self._judged["BUDGET"] += 1
            if window.found > window.allowed:
                self._record_breach(
                    "BUDGET",
                    f"{window.found} repeated arrivals at {window.service} from "
                    f"{self._time_text(window.begin)} on, {window.allowed:.1f} allowed",
                )

    # Configuration.

    def _consistent_revisions(self, client_try: Try) -> set[int]:
        """Return the revisions that agree with the outcome of a try: the service that ran it, or 404.

        An empty set means that the outcome says nothing about the revision."""
        changes = [change for change in self._day.changes if change.sent <= client_try.ended]
        ran = {arrival.service for arrival in self._arrivals_by_attempt[client_try.attempt] if arrival.run}
        if ran:
            return {c.revision for c in changes if ran <= set(_matching_services(c, client_try) or ())}
        if client_try.status == 404:
            return {c.revision for c in changes if _matching_services(c, client_try) is None} or {-1}
        return set()

    def _check_in_force(self) -> None:
        """Check that each outcome agrees with an accepted configuration that is recent enough."""
        apply_s = self._bounds.apply_ms / 1e3
        accepted = {change.revision for change in self._accepted}
        for client_try in self._day.tries:
            consistent = self._consistent_revisions(client_try)
            if not consistent:
                continue
            self._judged["CONFIG"] += 1
            known = consistent & accepted
            if not known:
                if client_try.status != 404 or self._has_contact(client_try.proxy, client_try.sent):
                    self._record_breach(
                        "CONFIG", f"matches only configurations never in force: {self._describe(client_try)}"
                    )
                continue
            due = self._newest_acknowledged(client_try.sent - apply_s)
            if max(known) < due and self._has_contact(client_try.proxy, client_try.sent):
                self._record_breach(
                    "CONFIG", f"handled by revision {max(known)}, expected {due}: {self._describe(client_try)}"
                )

    def _check_no_rollback(self) -> None:
        """Check that the revision never decreases within one life of a proxy."""
        revert_s = self._bounds.revert_ms / 1e3
        accepted = {change.revision for change in self._accepted}
        lives: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
        for client_try in self._day.tries:
            consistent = self._consistent_revisions(client_try) & accepted
            times = [arrival.ran_at for arrival in self._arrivals_by_attempt[client_try.attempt] if arrival.run]
            if consistent and times:
                lives[client_try.proxy, client_try.life].append((min(times), min(consistent)))
        for effects in lives.values():
            effects.sort()
        for client_try in self._day.tries:
            consistent = self._consistent_revisions(client_try) & accepted
            before = [
                rev for at, rev in lives.get((client_try.proxy, client_try.life), ()) if at + revert_s < client_try.sent
            ]
            if consistent and before and max(consistent) < max(before):
                self._record_breach(
                    "CONFIG", f"back from revision {max(before)} to {max(consistent)}: {self._describe(client_try)}"
                )

    def _check_changes(self) -> None:
        acked = [change for change in self._day.changes if change.acked is not None]
        for change in acked:
            self._judged["CONFIG"] += 1
            if not change.valid:
                self._record_breach("CONFIG", f"revision {change.revision} is invalid and was acknowledged")
        by_base: dict[int, list[Change]] = defaultdict(list)
        for change in acked:
            by_base[change.base].append(change)
        for base, changes in by_base.items():
            if len({change.digest for change in changes}) > 1:
                self._record_breach("CONFIG", f"two changes on top of {base} were acknowledged")
        read_back, newest = self._day.read_back, max((change.revision for change in acked if change.valid), default=0)
        if read_back is None or not newest:
            return
        if read_back.revision < newest:
            self._record_breach("CONFIG", f"read back revision {read_back.revision}, {newest} was acknowledged")
        elif not any(c.revision == read_back.revision and c.digest == read_back.digest for c in self._accepted):
            self._record_breach("CONFIG", f"read back revision {read_back.revision} with contents never sent for it")

    def _check_readings(self) -> None:
        """Check that no controller, in contact or not, reads back a revision older than an acknowledged one."""
        apply_s = self._bounds.apply_ms / 1e3
        known = {(change.revision, change.digest) for change in self._accepted}
        for reading in self._day.readings:
            self._judged["CONFIG"] += 1
            due = self._newest_acknowledged(reading.sent - apply_s)
            at = self._time_text(reading.sent)
            if reading.revision < due:
                self._record_breach("CONFIG", f"read revision {reading.revision} at {at}, {due} was acknowledged")
            if (reading.revision, reading.digest) not in known:
                self._record_breach(
                    "CONFIG", f"read revision {reading.revision} at {at} with contents not accepted for it"
                )

    def _newest_acknowledged(self, at: float) -> int:
        """Return the newest revision that was acknowledged before a time."""
        acked = (change.revision for change in self._accepted if change.acked is not None and change.acked < at)
        return max(acked, default=0)

    def _check_acks(self) -> None:
        limit = self._bounds.ack_ms / 1e3
        for change in self._day.changes:
            until = change.acked if change.acked is not None else self._day.ended
            if (
                change.valid
                and not change.refused
                and until - change.sent > limit + 0.003 * len(change.routes)
                and self._is_undisturbed(change.sent, change.sent + limit)
            ):
                self._record_breach("ACKS", f"revision {change.revision} took {until - change.sent:.1f} s")
            self._judged["ACKS"] += 1
        undisturbed = [
            drain
            for drain in self._day.drains
            if self._is_undisturbed(drain.announced, drain.announced + limit, drain.instance)
        ]
        late_or_missing = [
            drain for drain in undisturbed if drain.acked is None or drain.acked - drain.announced > limit
        ]
        self._judged["ACKS"] += len(undisturbed)
        if len(late_or_missing) > len(undisturbed) / 5:
            self._record_breach(
                "ACKS",
                f"{len(late_or_missing)} of {len(undisturbed)} drains not acknowledged in time, "
                f"first {late_or_missing[0].instance}",
            )

    def _check_orders(self) -> None:
        """Check each two successive orders to a backend."""
        by_backend: dict[str, list[OrderSeen]] = defaultdict(list)
        for order in sorted(self._day.orders, key=lambda order: order.at):
            by_backend[order.instance].append(order)
        for orders in by_backend.values():
            self._judged["ONE"] += len(orders)
            for before, after in pairwise(orders):
                self._check_order_pair(before, after)

    def _check_tallies(self) -> None:
        tallies = TallyJudge(self._day)
        for rule in ("TWICE", "STALE"):
            self._judged[rule] += len(tallies.readings)
        self._judged["LOST"] += sum(call.is_last for call in self._day.tally_calls)
        for finding in tallies.findings():
            self._record_breach(finding.rule, finding.text)

    def _check_evacuations(self) -> None:
        limit = self._bounds.ack_ms / 1e3
        for order in self._day.evacuations:
            self._judged["ACKS"] += 1
            until = order.acked if order.acked is not None else self._day.ended
            is_late = until - order.sent > limit and self._is_undisturbed(order.sent, order.sent + limit)
            if is_late or order.is_refused:
                call = "Start" if order.is_start else "Finish"
                self._record_breach("ACKS", f"{call} of {order.zone} at {self._time_text(order.sent)}: {order.outcome}")
        for period in binding_periods(self._day):
            self._judged["EVAC"] += 1
            self._judged["LOST"] += period.end >= self._day.ended
        for late in late_arrivals(self._day):
            client_try = self._tries_by_attempt.get(late.arrival.attempt)
            if client_try is not None and self._has_contact(client_try.proxy, late.arrival.at):
                place = f"{late.arrival.instance} in {late.zone} at {self._time_text(late.arrival.at)}"
                self._record_breach("LOST" if late.is_lost else "EVAC", f"{place}: {self._describe(client_try)}")

    def _check_cold(self) -> None:
        self._judged["FAILBACK"] += sum(len(times) for _, times in cold_arrivals(self._day))
        for flood in floods(self._day):
            self._record_breach(
                "FAILBACK",
                f"{flood.found} requests at {flood.instance} in the second from {self._time_text(flood.begin)} on, "
                f"{flood.allowed:.0f} allowed",
            )

    def _check_order_pair(self, before: OrderSeen, after: OrderSeen) -> None:
        holders = f"{before.owner} with {before.fence_no}, then {after.owner} with {after.fence_no}"
        place = f"{after.instance} at {self._time_text(after.at)}: {holders}"
        if after.fence_no < before.fence_no:
            self._record_breach("ONE", f"the fence number decreased, {place}")
        if after.owner == before.owner:
            return
        if after.fence_no == before.fence_no:
            self._record_breach("ONE", f"two holders of one fence number, {place}")
        elif after.at - before.at <= self._bounds.lease_ms / 1e3:
            self._record_breach("ONE", f"the holder changed after {after.at - before.at:.2f} s, {place}")

    def _unexplained_refusals(self) -> Iterator[str]:
        """Yield valid changes to the newest version that were refused without a competing change."""
        for change in self._day.changes:
            if not (change.valid and change.refused):
                continue
            competing_changes = [
                other
                for other in self._day.changes
                if other is not change
                and other.sent <= change.answered
                and other.revision > change.base
                and not other.refused
                and other.valid
            ]
            if not competing_changes:
                yield (
                    f"revision {change.revision} on top of {change.base} was refused at "
                    f"{self._time_text(change.answered)} without a competing change"
                )

    def _is_undisturbed(self, begin: float, end: float, caller: str = "") -> bool:
        """Return whether the core was stable, none of its answers was lost and the caller was in no trouble."""
        contact_s = self._bounds.contact_ms / 1e3
        machines = {"core", "answers", caller}
        return not any(
            trouble.machine in machines and trouble.begin <= end and begin <= trouble.end + contact_s
            for trouble in self._day.troubles
        )


def _matching_services(change: Change, client_try: Try) -> tuple[str, ...] | None:
    """Return the services to which a configuration routes a request, or None if no route matches."""
    path = client_try.path.partition("?")[0]
    matching = [rule for rule in change.routes if rule.host == client_try.host and path.startswith(rule.prefix)]
    return max(matching, key=lambda rule: len(rule.prefix)).services if matching else None


def judge(day: DayRecord) -> Verdict:
    """Judge a day and return the verdict."""
    return Judge(day).verdict()


def share(day: DayRecord, condition: Callable[[Try], bool], among: Iterable[Try] | None = None) -> float:
    """Return the share of requests with a try that meets a condition."""
    tries = [client_try for client_try in (day.tries if among is None else among) if not client_try.is_probe]
    requests = {client_try.request for client_try in tries}
    return len({client_try.request for client_try in tries if condition(client_try)}) / max(1, len(requests))


def served(client_try: Try) -> bool:
    """Return whether a try got a whole successful answer."""
    return client_try.whole and 200 <= client_try.status < 300
