"""The balancer's decisions. Settings, events, actions: cranebank/decisions/interface.py; records: state.py.

Every request takes the (1+beta) process: of two uniform draws from the ready list, the one with the lower
load is used with probability beta, else the first. The rest maintains the list and handles failures."""

from __future__ import annotations

import heapq
from math import ceil, log, sqrt
from random import Random
from typing import Any

from cranebank.decisions.interface import (
    Action, AttemptResult, Cancel, Effect, Event, Fail, Group, ListKind, Outcome, Probe, ProbeResult, Refuse,
    ReportSource, Request, RequestGone, Send, ServerList, ServerState, SetTimer, Settings, StreamStarted,
    TimerFired, Watch)
from cranebank.decisions.slowdowns import Slowdowns
from cranebank.decisions.class_priority import ClassPriority
from cranebank.decisions.host_speeds import HostSpeeds
from cranebank.decisions.state import Attempt, PendingRequest, Server

# Dimensionless constants; docs/design.md argues for each of them.
MAX_DRAWS = 8  # draws until one has room: with half the list not ready, 0.4% of calls find no server
MAX_SHARE_FACTOR = 1.1  # own calls in flight at a server, as a multiple of its fair share of this copy's
GAIN = 0.25  # weight of a new observation of one server: two failures in a row stand out
OUTLIER_MARGIN = 0.4  # a server whose failure share exceeds that of the others by more is ejected
OVERDUE_FACTOR = 5.0  # an answer is overdue after this many mean latencies: 0.7% of exponential ones are
SECOND_COPY_FACTOR = 4.0  # a second copy is sent after this many mean latencies: for 2% of exponential ones
RETRY_RATIO = 0.2  # further attempts per first attempt: 1.2 calls per request in one tier, 1.7 over three
SAFE_CALLS = 8.0  # calls in flight per server, over all copies, that never overload it
CROWDED_IDLE_WEIGHT = 0.9  # weight of the idle latency in the target latency (geometric mean) above that many
FAIRNESS = 0.1  # exponent: at twice another copy's limit the target latency is 7% lower, at ten times 20%
COPIES_PRIOR = 0.03  # weight of the configured number of copies against reports, as own calls a server
LOSS_COST_IN_AIMS = 4.0  # aims of latency as bad as a lost answer: a quarter of an aim equals losing 1 in 16
MAX_PROBE_RATIO = 0.1  # probes per call at most: the work of a probe stays a tenth of a call's
PROBE_BUDGET = 0.002  # what each call of a request may cost in probes, as a share of the request's worth
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


def beta(n: int, b: float) -> float:
    """The paper's blend for n servers and b calls between load reports: 1 while b is at most n log n."""
    edge = n * log(n) if n > 1 else 0.0
    return 1.0 if b <= edge else sqrt(edge / b)


class Balancer:
    """One copy of the policy. ``handle`` is its only entry point."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = -1.0
        self.actions: list[Action] = []
        self.servers: dict[str, Server] = {}  # listed and in service
        self.drained: dict[str, float] = {}  # where removals are advisory: start time by server seen draining
        self.listed: list[Server] = []  # in order: ready or ejected; local: ready, in the own zone
        self.ready, self.connected = list[Server](), list[Server]()  # connected: having an idle connection
        self.requests: dict[str, PendingRequest] = {}
        self.queue: list[tuple[float, float, int, PendingRequest]] = []
        self.queue_sequence = self.in_flight = self.overdue = self.sent_count = 0  # in_flight: not overdue
        self.min_aim = min(c.aim for c in settings.classes)
        self.latencies, self.class_failures = ([0.0] * len(settings.classes) for _ in range(2))
        self.mean_latency = self.fast_ratio = self.slow_ratio = self.limit = self.send_interval = 0.0
        self.idle_ratio, self.answers = float("inf"), 0  # latency by aim; idle: the lowest mean so far
        self.density = min(1.0, SAFE_CALLS / settings.copies)  # safe calls of this copy per server, at most 1
        # Many copies place calls blindly and queues differ: more headroom if late answers are worth nothing.
        blind = (1.0 - self.density) * (max(c.late_worth for c in settings.classes) == 0.0)
        self.idle_weight, self.min_limit_per_server = 0.6 + 0.2 * blind, self.density * (1.0 - blind / 2)
        self.retry_budget = self.density / RETRY_RATIO  # saved up by many copies, it would be a retry storm
        self.next_probe, self.host_speeds = 0, HostSpeeds()
        self.uses_probes = settings.may_probe and settings.report_source is ReportSource.PROBE
        self.probes_pairs = self.uses_probes and settings.probe_price <= MAX_PROBE_RATIO / 20
        self.probe_probability = PROBE_BUDGET / max(settings.probe_price, PROBE_BUDGET / MAX_PROBE_RATIO)
        self.awaiting_probe: dict[str, list[PendingRequest]] = {}  # by the server that is probed
        self.slow_threshold, self.slow_exponent = (
            (1.5, 2.0) if self.probes_pairs else (1.0 + self.density, 4.0 - 3 * self.density))
        self.mean_server_load = self.mean_own_load = 0.0  # mean calls at a server when reported: all, own
        self.mean_load = 0.0  # mean reported load by size
        self.priority = ClassPriority(settings)
        self.slowdowns = Slowdowns(len(settings.classes), len(settings.quotas), self.min_aim / self.density)
        self.own_zone = settings.zone if settings.cross_zone_price > 0 else None
        self.crossing_cost_ms = LOSS_COST_IN_AIMS * settings.cross_zone_price * self.min_aim
        self.zone_latency = [0.0, 0.0]  # mean latency of calls to the own zone, and to others
        self.prefers_open = self.density < 1.0 and settings.handshake_price > 0  # many can't keep all
        self.tenant_usage = [(0.0, 0.0)] * len(settings.quotas)
        self.backoff = settings.ask_within / 16
        self.handlers: dict[type, Any] = {
            Request: self._request_arrived, AttemptResult: self._attempt_ended, TimerFired: self._timer_fired,
            ProbeResult: self._probe_ended, ServerList: self._update_list, StreamStarted: self._stream_begun,
            RequestGone: lambda event: self._close(self.requests.get(event.request))}

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event at ``now``; return the actions to take, in order."""
        self.actions = []
        if self.now < 0:
            self.last_sent_at = now
            self.fraction_used_at = now - self.min_aim * self.random.random()  # random: copies out of step
            self._set_timer(now + self.min_aim / 8 * (1 + self.random.random()), "sweep")
            if self.settings.watch_by_asking:  # copies start together: spreads load on discovery
                self._set_timer(now + self.random.random() * self.backoff * (8 - 7 * self.density), "watch")
        self.now = now
        self.handlers[type(event)](event)
        return self.actions

    def beliefs(self) -> dict[str, float]:
        """Return a summary of the state for the log: counts, and the mean age of reports in milliseconds."""
        ages = [self.now - s.reported_at for s in self.servers.values() if s.load is not None]
        return {
            "listed": len(self.servers), "ready": len(self.ready), "queued": len(self.queue),
            "lost": sum(s.refused for s in self.servers.values()), "copies": round(self._copy_count(), 1),
            "unmet": sum(s.answered_at == 0.0 for s in self.servers.values()), "limit": round(self.limit, 1),
            "out": self.in_flight, "report_age_ms": round(sum(ages) / max(1, len(ages)))}

    def _set_timer(self, at: float, name: str) -> None:
        self.actions.append(SetTimer(at, name))

    def _update_list(self, event: ServerList) -> None:
        if event.kind is ListKind.REFUSED:  # retry with jitter; an own agent has no other clients: no backoff
            if self.settings.watch_by_asking:
                self.backoff = min(self.backoff * 2, self.settings.ask_within / 2)
            self._set_timer(self.now + self.backoff * (0.5 + self.random.random()), "watch")
            return
        self.backoff = self.settings.ask_within / 16
        advisory = self.settings.removals_are_advisory
        listed = dict(self.servers) if advisory or event.kind is ListKind.CHANGES else {}
        for server in listed.values() if event.kind is not ListKind.CHANGES else ():
            server.delisted = True  # unless listed below; a list may omit servers that still answer
        for entry in event.entries:
            old = self.servers.get(entry.server)
            if advisory and entry.state is ServerState.DRAINING:
                self.drained[entry.server] = max(entry.started, old.entry.started if old else 0.0)
            if advisory and entry.state is ServerState.OUT:
                if old is not None:
                    old.delisted = True
            # A stale list may show a drained server as in service; only a later start time ends a drain.
            elif entry.state is not ServerState.IN or entry.started <= self.drained.get(entry.server, -1.0):
                listed.pop(entry.server, None)
            elif old is None or old.entry.started != entry.started:
                listed[entry.server] = Server(entry, self.random.random())  # a restart voids what was learnt
            else:
                old.entry, old.delisted = entry, False
                listed[entry.server] = old
        while len(self.drained) > 4 * len(listed) + 64:
            del self.drained[next(iter(self.drained))]
        self.servers = listed
        self._rebuild_ready()
        self._serve_queue()

    def _rebuild_ready(self) -> None:
        """Rebuild the ready list; needed only when the list or a server's health changes."""
        self.listed, ready_before = list(self.servers.values()), len(self.ready)
        self.ready = [s for s in self.listed if s.ejected_until <= self.now]
        self.ejected = [s for s in self.listed if s.ejected_until > self.now]
        self.local = [s for s in self.ready if s.entry.zone == self.own_zone]
        self.failure_sum = sum(s.failure_share for s in self.listed)
        self.min_limit = max(1, len(self.ready)) * self.min_limit_per_server  # never too many calls
        if not self.answers:  # a new copy may start under full traffic: half of its share of the safe calls
            self.limit = max(1.0, self.min_limit, SAFE_CALLS / 2 * len(self.ready) / self.settings.copies)
        elif ready_before and self.ready:  # guards the remaining servers against the calls of those that left
            self.limit = max(self.limit * len(self.ready) / ready_before, self.min_limit)
        self._update_sizes()

    def _update_sizes(self) -> None:
        """Scale the listed sizes by the learnt speed of each host kind, keeping their sum."""
        sizes = [s.entry.size * self.host_speeds.size(s.entry.kind) for s in self.listed]
        common = sum(s.entry.size for s in self.listed) / (sum(sizes) or 1.0)
        for server, size in zip(self.listed, sizes, strict=True):
            server.size = size * common
        self.ready_size = sum(s.size for s in self.ready) or 1.0
        self.max_size = max((s.size for s in self.ready), default=1.0)

    def _record_evidence(self, server: Server, failed: bool) -> None:
        """Count a success or failure of a server; eject it if it fails more often than the others."""
        if self.servers.get(server.entry.server) is not server:
            return
        step = GAIN * (failed - server.failure_share)
        server.failure_share += step
        self.failure_sum += step
        if not failed:
            server.on_trial, server.ejection_ms = False, 0.0
            # After a refused connection, the first answer is of a process that has just started: it is cold.
            server.restarted_at, server.refused = (self.now if server.refused else server.restarted_at), False
            return
        refused = sum(s.refused for s in self.ejected)
        mean_others = (self.failure_sum - server.failure_share) / max(1, len(self.servers) - 1)
        # A fault common to all raises mean_others too and ejects none. A delisted server needs one failure.
        stands_out = server.on_trial or server.delisted or server.failure_share - mean_others > OUTLIER_MARGIN
        enough_ready = 2 * len(self.ready) >= len(self.servers) - refused + 2  # half of those accepting stay
        if server.ejected_until <= self.now and (server.refused or (stands_out and enough_ready)):
            if server.delisted and server.ejection_ms >= self.settings.warm_after:
                del self.servers[server.entry.server]  # gone for good: forgotten until a list names it again
            server.ejection_ms = max(self.min_aim, min(2 * server.ejection_ms, self.settings.warm_after))
            server.ejected_until, server.on_trial = self.now + server.ejection_ms, True
            self._rebuild_ready()

    def _record_failure(self, server: Server, event: AttemptResult | ProbeResult) -> None:
        at_once = event.took < self.settings.connect_timeout / 2
        if event.outcome is Outcome.CONNECT_FAILED and at_once and not event.unproven:
            server.refused = True  # a connection refused at once is proof: no further failures are needed
        self._record_evidence(server, True)

    def _warm_share(self, server: Server) -> float:
        """Return the least share of its capacity that a server has by now: cold ones rise linearly."""
        started, cold_from = max(server.entry.started, server.restarted_at), self.settings.cold_from
        age = max(0.0, self.now - started)
        if started <= 0 or age >= self.settings.warm_after:
            return 1.0
        return cold_from + (1.0 - cold_from) * age / self.settings.warm_after

    def _within_cold_budget(self, server: Server, share: float) -> bool:
        """Guard a cold server against overload: whether this copy's token bucket for it allows a call."""
        kind_share = min(1.0, server.size / server.entry.size)  # a host of a slow kind takes less
        fair_rate = self._call_rate() / max(1, len(self.servers)) * kind_share
        burst = max(1.0, fair_rate * share * self.settings.overload_for / 2)
        refill = (self.now - server.tokens_at) * fair_rate * share * self.settings.fall_multiple / 2
        server.tokens, server.tokens_at = min(burst, server.tokens + refill), self.now
        return server.tokens >= 1.0

    def _copy_count(self) -> float:
        """Estimate the number of copies from reported and own calls, with the configured number as prior."""
        copies = self.settings.copies
        return min(4.0 * copies, max(1.0, (
            (self.mean_server_load + COPIES_PRIOR * copies) / (self.mean_own_load + COPIES_PRIOR))))

    def _call_rate(self) -> float:
        return 1.0 / max(self.send_interval, self.now - self.last_sent_at, 1e-3) if self.sent_count else 0.0

    def _draw(self, pool: list[Server], request: PendingRequest) -> Server | None:
        """Draw uniformly from ``pool`` until a server has room for this copy's call."""
        for _ in range(MAX_DRAWS if pool else 0):
            server = pool[int(self.random.random() * len(pool))]
            if self._has_room(server, request):
                return server
        return None

    def _draw_connected(self, request: PendingRequest) -> Server | None:
        """Draw likewise among servers with an open, idle connection: a call to others costs a handshake."""
        for _ in range(MAX_DRAWS if self.connected else 0):
            at = int(self.random.random() * len(self.connected))
            server = self.connected[at]
            if server.connected_until <= self.now or self.servers.get(server.entry.server) is not server:
                server.connected_until, self.connected[at] = 0.0, self.connected[-1]
                self.connected.pop()
                return self._draw_connected(request)
            free = server.ejected_until <= self.now and (
                not server.in_flight or self.settings.shares_connections)
            if free and self._has_room(server, request):
                return server
        return None

    def _has_room(self, server: Server, request: PendingRequest) -> bool:
        """Whether a server may take this call; at random where it should get less than a full share."""
        # Overdue calls count, as they stay where they are: a server without any may take more of the others.
        room = ceil(MAX_SHARE_FACTOR * (self.in_flight + self.overdue + 1) / self.ready_size * server.size)
        if (server.in_flight >= (1 if server.on_trial else room) or server.full_until > self.now
                or any(a.server is server for a in request.attempts)):
            return False
        warm_share = self._warm_share(server)
        chance = warm_share * server.size / self.max_size
        # Guards against servers that fail one class and serve the others: drawn less for that class only.
        excess = server.class_failures.get(request.class_id, 0.0) - self.class_failures[request.class_id]
        chance *= min(1.0, max(GAIN / 8, 1.0 - excess / GAIN))
        if self.settings.classes[request.class_id].effect is Effect.UNSAFE:  # one try: safer hosts
            chance *= (1.0 - server.swallowed_share) ** 4
        # Slower than the mean, by own calls: drawn less; far less where copies are many and reports old.
        kind_share = min(1.0, server.size / server.entry.size)  # its kind's speed is in its size
        slowness = server.mean_duration / (self.mean_latency or 1.0) / self.slow_threshold * kind_share
        if slowness > 1.0:
            chance /= 2 * slowness if self.density >= 1.0 else slowness ** self.slow_exponent
        return (chance >= 1.0 or self.random.random() < chance) and (
            warm_share >= 1.0 or self._within_cold_budget(server, warm_share))

    def _draw_pair(self, pool: list[Server], request: PendingRequest) -> list[Server]:
        """Return two draws from ``pool``, or fewer where no server has room."""
        reuse = self.prefers_open and (pool is self.ready or pool is self.local)  # not in a group
        both = reuse and request.probe_rounds < 2 and self.random.random() > GAIN / 8  # else one of all
        first = (self._draw_connected(request) if reuse else None) or self._draw(pool, request)
        second = (self._draw_connected(request) if both else None) or self._draw(pool, request)
        return [s for s in (first, second) if s is not None]

    def _choose(self, pair: list[Server]) -> Server | None:
        """Apply the (1+beta) process: the lower load with probability beta, else the first draw."""
        if len(pair) < 2 or pair[0] is pair[1]:
            return pair[0] if pair else None
        age = self.now - min(pair[0].reported_at, pair[1].reported_at)
        if self.random.random() >= beta(len(self.ready), self._call_rate() * self.settings.copies * age):
            return pair[0]
        # Ties go to an open connection where opening one has a price, else to either at random.
        one, two = ((self._load(s) + 1.0 / s.size, self.prefers_open and s.connected_until <= self.now,
                     self.random.random()) for s in pair)
        return pair[0] if one < two else pair[1]

    def _probe_pair(self, request: PendingRequest) -> bool:
        """Draw a pair, probe both and wait for the answers: the loads are fresh then and beta is 1."""
        pool, local_first = self._candidates(request)
        pair = self._draw_pair(self.local if local_first and not request.probe_rounds else pool, request)
        request.probe_rounds, request.probes_pending = request.probe_rounds + 1, len(pair)
        for server in pair:
            if server.entry.server not in self.awaiting_probe:
                self.awaiting_probe[server.entry.server] = []
                self.actions.append(Probe(server.entry.server))
            self.awaiting_probe[server.entry.server].append(request)
        return bool(pair)

    def _pair_probed(self, server: Server | None, request: PendingRequest, answered: bool) -> None:
        """Handle the end of one probe of a pair: send once both have ended, or at once to an idle server."""
        request.probes_pending -= 1
        if not request.probe_rounds or request.closed:
            return
        known = [s for s in (request.best_probed, server if answered else None) if s is not None]
        request.best_probed = best = self._choose(known)
        load = self._load(best) if best else 0.0
        idle = best is not None and load == 0.0 and (best.connected_until > self.now or not self.prefers_open)
        if request.probes_pending > 0 and not idle:
            return
        # A pair above half the mean load is drawn again, as often at most as a draw without room.
        if ((best is None or 2 * load > self.mean_load) and 2 * request.probe_rounds < MAX_DRAWS
                and self._probe_pair(request)):
            return
        usual = self.slowdowns.unit * (load + 1.0) * self.settings.classes[request.class_id].aim
        expected = usual * self.slowdowns.factor(self.now, request.groups)
        # Queueing gains nothing where the answer would miss its aim; an idle server can't be bettered.
        if load > 0.0 and not request.attempts and self.now + expected > request.aim_at:
            self._hold(request)
        else:
            self._send_to(request, best or self._select(request))

    def _load(self, server: Server) -> float:
        """Return the last reported load by size, plus own calls since; without a report, the mean load."""
        if server.load is None:
            return self.mean_load
        return max(0.0, server.load + server.in_flight - server.in_flight_at_report) / server.size

    def _candidates(self, request: PendingRequest) -> tuple[list[Server], bool]:
        """Return the servers that may be drawn for a request, and whether the own zone comes first."""
        spec = self.settings.classes[request.class_id]
        ran, pool = request.first_may_have_run, self.ready
        if ran is not None and spec.effect is Effect.KEYED and spec.group is not Group.ALL:
            # A keyed request that may have run stays in the group of servers that drop its repeats.
            zone, cell = ran.server.entry.zone, ran.server.entry.cell
            pool = [s for s in pool if s.entry.zone == zone
                    and (spec.group is Group.ZONE or s.entry.cell == cell)]
        # The own zone is left if slower by more than a crossing costs, and by a few calls always, to measure.
        own, other = max(0.0, self.zone_latency[0] - self.crossing_cost_ms), self.zone_latency[1]
        stays = self.random.random() < min(1.0 - GAIN / 8, (other / own) ** 2 if own and other else 1.0)
        return pool, stays and pool is self.ready and len(self.local) > 1

    def _select(self, request: PendingRequest) -> Server | None:
        pool, local_first = self._candidates(request)
        found = self._choose(self._draw_pair(self.local, request)) if local_first else None
        # The further the load of the server found exceeds the mean, the likelier the call leaves the zone.
        if found is not None and self.random.random() * self._load(found) <= self.mean_load + 1.0:
            return found
        return self._choose(self._draw_pair(pool, request))

    def _request_arrived(self, event: Request) -> None:
        index, left = event.class_index, max(0.0, event.time_left)
        spec, groups = self.settings.classes[index], (index, len(self.settings.classes) + event.tenant)
        value = self.priority.worth(index)
        value /= 1.0 if self.settings.worth_by_work else max(1.0, self.latencies[index])
        if self.settings.layer == 0 and self.settings.quotas and self._over_quota(event.tenant):
            value *= self.settings.over_share_worth
        if event.resubmitted:  # the client's aim has been running since its first try
            value *= spec.late_worth
        else:
            self.priority.tried(index)
        aim_at = self.now + min(spec.aim, left)
        request = PendingRequest(event.request, index, aim_at, self.now + left, value, self.now + left / 2,
                                 groups, resubmitted=event.resubmitted)
        self.requests[event.request] = request
        self._set_timer(request.deadline, "deadline." + request.name)
        self._dispatch(request)

    def _over_quota(self, tenant: int) -> bool:
        """Whether a tenant has used up this copy's part of its quota, which is refilled evenly."""
        rate = self.settings.quotas[tenant] / self.settings.copies / 1000.0
        used, at = self.tenant_usage[tenant]
        used = max(0.0, used - (self.now - at) * rate)
        over = used > rate * self.min_aim + 3 * (1.0 - self.density)  # many copies: may be chance
        self.tenant_usage[tenant] = (used + (not over), self.now)
        return over

    def _at_limit(self) -> bool:
        """Whether no further call may be sent. A limit of 2.25 allows two, and a third 1/4 of the time."""
        waits = (self.limit - int(self.limit)) * (self.now - self.fraction_used_at) < (
            self.mean_latency or self.min_aim)
        return self.in_flight > int(self.limit) or (self.in_flight == int(self.limit) and waits)

    def _adjust_limit(self, ratio: float) -> None:
        """Steer the ratio of latency to aim to a weighted geometric mean of its idle value and 1."""
        self.answers += 1
        self.fast_ratio += (ratio - self.fast_ratio) / min(self.answers, max(4.0, min(16.0, 4 * self.limit)))
        self.slow_ratio += (ratio - self.slow_ratio) / min(self.answers, max(4.0, min(64.0, 4 * self.limit)))
        # A higher limit means a lower target: else any split would last, even one that starves a copy.
        fair = SAFE_CALLS * max(1, len(self.ready)) / self._copy_count()
        weight = self.idle_weight if self.limit <= max(1.0, fair) else CROWDED_IDLE_WEIGHT
        target = min(self.idle_ratio, self.slow_ratio) ** weight * (
            fair / self.limit) ** (FAIRNESS * self.density)
        if self.answers >= max(3.0, 64 * self.density):  # many copies: the first few find the fleet idle
            self.idle_ratio = min(self.idle_ratio, self.slow_ratio)
        if self.fast_ratio > target or self.limit < max(4.0, 2 * self.in_flight):
            self.limit += 2 * GAIN * (min(1.5, target / max(self.fast_ratio, 1e-6)) - 1.0)
            self.limit = max(self.limit, self.min_limit)

    def _dispatch(self, request: PendingRequest) -> bool:
        """Send a request, after probing the servers drawn where probes are cheap, or hold it for a time."""
        slowdown = self.slowdowns.factor(self.now, request.groups)
        usual = self.slowdowns.unit * self.settings.classes[request.class_id].aim
        if slowdown > 2.0 and usual < request.aim_at - self.now < usual * slowdown and not request.attempts:
            self._reject(request)  # too slow everywhere: it would only take others' places
            return True
        free = bool(request.attempts) or not self._at_limit()
        request.probe_rounds, request.best_probed = (MAX_DRAWS // 2 - 1 if request.hold_until else 0), None
        if free and self.probes_pairs and self._probe_pair(request):  # a request that was held: one pair only
            return True
        return self._send_to(request, self._select(request) if free else None)

    def _send_to(self, request: PendingRequest, server: Server | None) -> bool:
        request.probe_rounds = 0  # no probe is waited for any more
        if request.attempts and not self._may_retry(request):  # time has passed since the probes
            self._reject(request)
            return True
        if server is None or self.servers.get(server.entry.server) is not server:  # drained while probed
            return self._hold(request)
        if self.in_flight >= int(self.limit):
            self.fraction_used_at = self.now
        if not request.attempts:  # requests never sent add nothing: no growth in a jam
            self.retry_budget = min(max(1.0, self.density / RETRY_RATIO), self.retry_budget + RETRY_RATIO)
            if self.uses_probes and not self.probes_pairs and self.random.random() < self.probe_probability:
                self.next_probe = (self.next_probe + 1) % len(self.listed)  # each server in turn
                self.actions.append(Probe(self.listed[self.next_probe].entry.server))
        else:
            self.retry_budget -= not request.attempts[-1].not_connected
        request.attempts.append(Attempt(server, self.now, self._load(server) if self.probes_pairs else 0.0))
        request.open_attempts += 1
        server.in_flight += 1
        self.in_flight += 1
        server.tokens -= 1.0
        self.sent_count += 1
        self.send_interval += (self.now - self.last_sent_at - self.send_interval) / min(self.sent_count, 64)
        self.last_sent_at = self.now
        self.actions.append(Send(request.name, server.entry.server))
        overdue_after = OVERDUE_FACTOR * self.latencies[request.class_id] or self.min_aim
        if self.now + overdue_after < request.deadline:
            self._set_timer(self.now + overdue_after, f"{len(request.attempts) - 1}.{request.name}")
        second_after = SECOND_COPY_FACTOR * self.latencies[request.class_id]
        repeatable = self.settings.classes[request.class_id].effect is not Effect.UNSAFE
        if self.settings.second_copies and repeatable and second_after and len(request.attempts) == 1:
            self._set_timer(self.now + second_after, "second." + request.name)
        return True

    def _send_second_copy(self, request: PendingRequest, early: bool) -> None:
        """Send a second copy of a call that takes long, where its class and the retry budget allow one."""
        spec, first = self.settings.classes[request.class_id], request.attempts[0]
        harmless = spec.effect is Effect.SAFE or (
            spec.effect is Effect.KEYED and spec.group is Group.ALL
            and self.now < first.sent_at + spec.repeat_window - self.settings.tick)
        # Guards against feeding a jam. Where calls were swallowed of late, a copy repeats no heavy work.
        calm = (early and self.fast_ratio < 1.25 * self.idle_ratio) or first.server.swallowed_share > GAIN / 2
        room = 2 * self.in_flight < self.limit
        if harmless and calm and room and self._may_retry(request) and (server := self._select(request)):
            self._send_to(request, server)

    def _hold(self, request: PendingRequest) -> bool:
        """Queue a request while it can still meet its aim, else reject it; return False, as it isn't sent."""
        latest = request.aim_at - self.latencies[request.class_id]
        # A client that is refused in the first half of its time, with nothing sent, can still try elsewhere.
        latest = latest if request.attempts else min(latest, request.half_time_at - self.settings.tick)
        request.hold_until = min(request.deadline - 2 * self.settings.tick, latest)
        if request.hold_until <= self.now:
            self._reject(request)
        else:
            self._set_timer(request.hold_until, "hold." + request.name)
            self.queue_sequence += 1
            request.waiting = True
            heapq.heappush(self.queue, (-request.value, -self.now, self.queue_sequence, request))
            if len(self.queue) > 2 * len(self.requests) + 64:  # guards the memory in a long jam
                self.queue = [item for item in self.queue if item[3].waiting]
                heapq.heapify(self.queue)
        return False

    def _serve_queue(self) -> None:
        """Send queued requests while the limit allows: most worth first, newest first among equals."""
        while self.queue and not self._at_limit():
            request = heapq.heappop(self.queue)[3]
            waiting, request.waiting = request.waiting, False
            if waiting and not self._dispatch(request):
                return

    def _may_retry(self, request: PendingRequest) -> bool:
        spec, ran = self.settings.classes[request.class_id], request.first_may_have_run
        harmless = ran is None or spec.effect is Effect.SAFE or (
            spec.effect is Effect.KEYED and self.now < ran.sent_at + spec.repeat_window - self.settings.tick)
        # A server that was not reached did no work, so another attempt adds none: it can't feed a jam.
        paid = self.retry_budget >= 1.0 or (bool(request.attempts) and request.attempts[-1].not_connected)
        return harmless and paid and len(request.attempts) < self.settings.max_attempts

    def _reject(self, request: PendingRequest) -> None:
        """Give the final answer: refuse, with a random retry delay, where a repeat is harmless; else fail."""
        spec = self.settings.classes[request.class_id]
        harmless = spec.effect is Effect.SAFE or (spec.effect is Effect.KEYED and spec.group is Group.ALL)
        if harmless or (request.first_may_have_run is None and not request.open_attempts):
            delay = min(self.settings.max_retry_after, 2 * self.mean_latency * (1 + self.random.random()))
            self.actions.append(Refuse(request.name, delay * self.settings.sends_retry_after))
        else:
            self.actions.append(Fail(request.name))
        self._close(request)

    def _close(self, request: PendingRequest | None) -> None:
        """Close a request that is answered or abandoned: calls still in flight are cancelled."""
        if request is None or request.closed:
            return
        request.closed, request.waiting = True, False
        for index, attempt in enumerate(request.attempts):
            if not attempt.done and self.settings.may_cancel:
                self.actions.append(Cancel(request.name, index))
        if not request.open_attempts:
            del self.requests[request.name]

    def _attempt_ended(self, event: AttemptResult) -> None:
        request, outcome = self.requests.get(event.request), event.outcome
        if request is None or event.attempt >= len(request.attempts) or request.attempts[event.attempt].done:
            return
        attempt = request.attempts[event.attempt]
        attempt.done, server = True, attempt.server
        request.open_attempts -= 1
        server.in_flight -= not attempt.swallowed
        self.in_flight -= not attempt.overdue
        self.overdue -= attempt.overdue and not attempt.swallowed
        # Later calls were answered: it was swallowed or is heavy, neither a jam nor a measure of latency.
        skipped = outcome is Outcome.TIMEOUT and attempt.sent_at < server.answered_upto
        jam = (outcome is Outcome.TIMEOUT and not skipped) or (outcome is Outcome.FULL and self.density < 1.0)
        if jam and server.mean_duration <= 2 * self.mean_latency:  # a slow server is no jam
            self._adjust_limit(1.0)  # the few answers that come through a jam do not show it
        if outcome is Outcome.OK or (outcome is Outcome.TIMEOUT and not skipped):
            self._record_time(request, attempt, event.took, outcome is Outcome.OK)
        elif outcome is Outcome.CANCELLED and len(request.attempts) > 1:  # it would have taken longer still
            server.mean_duration += max(0.0, GAIN * (event.took - server.mean_duration))
        if outcome is Outcome.OK:
            self.priority.served(
                request.class_id, request.resubmitted or self.now > request.aim_at, request.closed)
            server.swallowed_share *= 1.0 - GAIN
            server.answered_at, server.answered_upto = self.now, max(server.answered_upto, attempt.sent_at)
            if self.prefers_open and not server.connected_until:
                self.connected.append(server)
            server.connected_until = self.now + self.settings.idle_after
            usual = self.latencies[request.class_id]
            self.latencies[request.class_id] += (event.took - usual) / 16 if usual else event.took
            self.mean_latency += (event.took - self.mean_latency) / min(self.answers + 1, 16)
            self._adjust_limit(event.took / self.settings.classes[request.class_id].aim)
            self._record_evidence(server, False)
            self._record_load(server, event.load)
        elif outcome is Outcome.FULL:
            server.full_until = self.now + self.mean_latency
        elif outcome not in (Outcome.CANCELLED, Outcome.MOOT) and not attempt.silence_counted:
            attempt.not_connected = outcome is Outcome.CONNECT_FAILED
            self._record_failure(server, event)
        if self.probes_pairs and outcome in (Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT):
            failed, was = outcome is not Outcome.OK, server.class_failures.get(request.class_id, 0.0)
            server.class_failures = server.class_failures | {request.class_id: was + GAIN * (failed - was)}
            self.class_failures[request.class_id] += (failed - self.class_failures[request.class_id]) / 16
        if outcome is not Outcome.OK and outcome not in NEVER_RAN:
            request.first_may_have_run = attempt.earlier(request.first_may_have_run)
        if outcome is Outcome.OK or event.finished:
            self._close(request)
        elif not request.closed and not request.open_attempts and not request.waiting:
            if self.now + self.settings.tick < request.deadline and self._may_retry(request):
                self._dispatch(request)
            else:
                self._reject(request)
        if request.closed and not request.open_attempts:
            self.requests.pop(request.name, None)
        self._serve_queue()

    def _record_time(self, request: PendingRequest, attempt: Attempt, took: float, answered: bool) -> None:
        """Count a call's duration for its class and tenant, the host kind, the server and the zone."""
        server = attempt.server
        per_call = took / self.settings.classes[request.class_id].aim / (attempt.load_before + 1.0)
        self.slowdowns.weigh(self.now, request.groups, per_call, answered)
        self.host_speeds.learn(server.entry.kind, took / (self.latencies[request.class_id] or took or 1.0))
        server.mean_duration += GAIN * (took - server.mean_duration) if server.mean_duration else took
        far = server.entry.zone != self.settings.zone
        self.zone_latency[far] += (took - self.zone_latency[far]) / 16 if self.zone_latency[far] else took

    def _record_load(self, server: Server, report: dict[str, float] | None) -> None:
        load = None if report is None else report.get("inflight", report.get("queue"))
        if load is None or self.servers.get(server.entry.server) is not server:
            return
        self.mean_load += (load / server.size - self.mean_load) / (64 if self.mean_load else 1)
        self.mean_server_load += (load - self.mean_server_load) / 16
        self.mean_own_load += (server.in_flight - self.mean_own_load) / 16
        server.load, server.reported_at, server.in_flight_at_report = load, self.now, server.in_flight

    def _stream_begun(self, event: StreamStarted) -> None:
        if event.request in self.requests:
            self.requests[event.request].deadline = float("inf")  # the client decides when a stream ends

    def _timer_fired(self, event: TimerFired) -> None:
        name, _, rest = event.name.partition(".")
        request = self.requests.get(rest)
        if name == "sweep":
            self._set_timer(self.now + self.min_aim / 8, "sweep")
            if any(s.ejected_until <= self.now for s in self.ejected):  # an ejection has ended
                self._rebuild_ready()
            if self.host_speeds.update_sizes():
                self._update_sizes()
            self._serve_queue()
        elif name == "watch":
            self.actions.append(Watch())
        elif request is None or request.closed:
            return
        elif name in ("second", "again"):
            if len(request.attempts) == request.open_attempts == 1:
                self._send_second_copy(request, name == "second")
                if self.now < request.aim_at:  # at growing intervals: a stuck call sets only a few timers
                    self._set_timer(self.now + (self.now - request.attempts[0].sent_at) / 2, "again." + rest)
        elif name in ("deadline", "hold"):
            if self.now >= (request.hold_until if request.waiting else request.deadline):
                self._reject(request)
        elif not (attempt := request.attempts[int(name)]).done:  # the call is overdue
            attempt.overdue, server = True, attempt.server
            self.in_flight -= 1  # a stuck call must not use up the limit of a copy that has few calls
            if server.answered_upto > attempt.sent_at:  # swallowed: no slot there, and in no report
                server.in_flight -= 1
                server.in_flight_at_report -= attempt.sent_at < server.reported_at
                server.swallowed_share += GAIN * (1.0 - server.swallowed_share)
                attempt.swallowed = attempt.silence_counted = True
                return
            self.overdue += 1
            if server.answered_at < attempt.sent_at:
                attempt.silence_counted = True  # the server answers no other call either: evidence against it
                self._record_evidence(server, True)

    def _probe_ended(self, event: ProbeResult) -> None:
        if (server := self.servers.get(event.server)) is not None and event.outcome is Outcome.OK:
            self._record_load(server, event.load)
        elif server is not None and event.outcome is not Outcome.FULL:
            self._record_failure(server, event)
        for request in self.awaiting_probe.pop(event.server, []):
            self._pair_probed(server, request, event.outcome is Outcome.OK)
