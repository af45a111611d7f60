"""The decisions of cranebank. Settings, events, actions: cranebank/decisions/interface.py; records: state.py.

Every request takes the (1+beta) process: two uniform draws from the ready list, the lower last reported
figure with probability beta, else the first draw. All else decides who is ready and what to do on failure.
"""

from __future__ import annotations

import heapq
from math import ceil, log, sqrt
from random import Random
from typing import Any

from cranebank.decisions.interface import (
    Action, AttemptResult, Cancel, Effect, Event, Fail, Group, ListKind, Outcome, Probe, ProbeResult, Refuse,
    ReportSource, Request, RequestGone, Send, ServerList, ServerState, SetTimer, Settings, StreamStarted,
    TimerFired, Watch,
)
from cranebank.decisions.slowdowns import Slowdowns
from cranebank.decisions.class_priority import ClassPriority
from cranebank.decisions.host_speeds import HostSpeeds
from cranebank.decisions.state import Attempt, Held, Server

# Dimensionless constants, each argued for in docs/design.md.
DRAWS = 8  # a refused draw is redrawn so often: at half the list not ready, 0.4% of calls find nobody
CROWD = 1.1  # own calls out at one server, as a multiple of its fair share of this copy's calls out
GAIN = 0.25  # weight of a new observation about one server: two failures in a row stand out
OUTLIER = 0.4  # failure share above the others' that takes a server off the ready list
PATIENCE = 5.0  # an answer is overdue after so many mean times: 0.7% of exponential ones
SECOND = 4.0  # a second copy goes out after so many mean times: 2% of exponential ones
FURTHER = 0.2  # further attempts as a share of first ones: 1.2 per tier, 1.7 over three
EACH = 8.0  # calls out at each server, over all copies, that are never too many
NEAR = 0.9  # past EACH calls a server, the part of idle time in what answers may take (in logs, else the aim)
EVEN = 0.1  # how much lower a copy aims by its limit: twice another's, 7% lower; ten times, 20%
TOLD = 0.03  # the told count of copies beside reports, as so many own calls at each server
SLOWER = 4.0  # aims of time as bad as losing an answer: a quarter of the aim more loses one in sixteen
PROBES = 0.1  # probes as a share of calls: the work of a probe stays a tenth of a call's
PAID = 0.002  # of a request's worth, what each of its calls may cost in probes
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


def beta(n: int, b: float) -> float:
    """The paper's blend for n servers and b calls between refreshes, 1 while b is below n log n."""
    edge = n * log(n) if n > 1 else 0.0
    return 1.0 if b <= edge else sqrt(edge / b)


class Balancer:
    """One copy of the policy. ``handle`` is its only entry."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now = -1.0
        self.actions: list[Action] = []
        self.servers: dict[str, Server] = {}  # listed and in service
        self.drained: dict[str, float] = {}  # where only draining binds: start time by server seen draining
        self.listed: list[Server] = []  # the same in order; ready and off part it, near is ready and close
        self.ready, self.linked = list[Server](), list[Server]()  # linked: with an open connection, if kept
        self.requests: dict[str, Held] = {}
        self.queue: list[tuple[float, float, int, Held]] = []
        self.order = self.out = self.overdue = self.sent = 0  # overdue: out for long, counted no more
        self.aim = min(c.aim for c in settings.classes)
        self.latency, self.fails = ([0.0] * len(settings.classes) for _ in range(2))
        self.mean_latency = self.part = self.slow_part = self.limit = self.gap = 0.0
        self.idle, self.answered = float("inf"), 0
        self.few = min(1.0, EACH / settings.copies)  # 1 with few copies; near 0 where each has few calls
        # Many copies place blindly, and queues differ: more room below an aim past which nothing is earned.
        blind = (1.0 - self.few) * (max(c.late_worth for c in settings.classes) == 0.0)
        self.nearness, self.floor = 0.6 + 0.2 * blind, self.few * (1.0 - blind / 2)
        self.spare = self.few / FURTHER  # further attempts: what many copies save up is a storm when spent
        self.probe_turn, self.host_speeds = 0, HostSpeeds()
        self.probes = settings.may_probe and settings.report_source is ReportSource.PROBE
        self.asks = self.probes and settings.probe_price <= PROBES / 20
        self.probe_share = PAID / max(settings.probe_price, PAID / PROBES)
        self.asking: dict[str, list[Held]] = {}  # who waits to hear from a server
        self.thin_from, self.thin_by = (1.5, 2.0) if self.asks else (1.0 + self.few, 4.0 - 3 * self.few)
        self.held = self.own_held = 0.0  # means when reported: what servers hold, what of it is one's own
        self.usual = 0.0  # mean of figures told
        # Evidence lasts the longer, the less a copy sees.
        self.priority = ClassPriority(settings)
        self.slowdowns = Slowdowns(len(settings.classes), len(settings.quotas), self.aim / self.few)
        self.own = settings.zone if settings.cross_zone_price > 0 else None
        self.worth_crossing = SLOWER * settings.cross_zone_price * self.aim  # milliseconds
        self.zone_time = [0.0, 0.0]  # mean time of calls to the own zone, and to others
        self.links = self.few < 1.0 and settings.handshake_price > 0  # many can't keep one to each server
        self.quota = [(0.0, 0.0)] * len(settings.quotas)
        self.watch_backoff = settings.ask_within / 16
        self.handlers: dict[type, Any] = {
            Request: self._arrive, AttemptResult: self._result, TimerFired: self._timer_fired,
            ProbeResult: self._probed, ServerList: self._listed, StreamStarted: self._stream,
            RequestGone: lambda event: self._close(self.requests.get(event.request))}

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event at ``now``; return what to do, in order."""
        self.actions = []
        if self.now < 0:
            self.sent_at = now
            self.part_sent = now - self.aim * self.random.random()  # of the limit's fraction; not in step
            self._timer(now + self.aim / 8 * (1 + self.random.random()), "sweep")
            if self.settings.watch_by_asking:  # copies start together and discovery is small: spread them
                self._timer(now + self.random.random() * self.watch_backoff * (8 - 7 * self.few), "watch")
        self.now = now
        self.handlers[type(event)](event)
        return self.actions

    def beliefs(self) -> dict[str, float]:
        """What this copy believes, for the log: counts, and the mean age of reports in milliseconds."""
        ages = [self.now - s.figure_at for s in self.servers.values() if s.figure is not None]
        return {
            "listed": len(self.servers), "ready": len(self.ready), "queued": len(self.queue),
            "lost": sum(s.lost for s in self.servers.values()), "copies": round(self._copies(), 1),
            "unmet": sum(s.heard == 0.0 for s in self.servers.values()), "limit": round(self.limit, 1),
            "out": self.out, "report_age_ms": round(sum(ages) / max(1, len(ages)))}

    def _timer(self, at: float, name: str) -> None:
        self.actions.append(SetTimer(at, name))

    def _listed(self, event: ServerList) -> None:
        if event.kind is ListKind.REFUSED:  # ask again, ever later, not in step; an own agent has no others
            if self.settings.watch_by_asking:
                self.watch_backoff = min(self.watch_backoff * 2, self.settings.ask_within / 2)
            self._timer(self.now + self.watch_backoff * (0.5 + self.random.random()), "watch")
            return
        self.watch_backoff = self.settings.ask_within / 16
        stays = self.settings.removals_are_advisory
        listed = dict(self.servers) if stays or event.kind is ListKind.CHANGES else {}
        for server in listed.values() if event.kind is not ListKind.CHANGES else ():
            server.gone = True  # unless named below; a list may drop what still serves: its answers decide
        for entry in event.entries:
            old = self.servers.get(entry.server)
            if stays and entry.state is ServerState.DRAINING:
                self.drained[entry.server] = max(entry.started, old.entry.started if old else 0.0)
            if stays and entry.state is ServerState.OUT:
                if old is not None:
                    old.gone = True
            # An old list come back may show a drained server as in; only a newer start lifts a drain.
            elif entry.state is not ServerState.IN or entry.started <= self.drained.get(entry.server, -1.0):
                listed.pop(entry.server, None)
            elif old is None or old.entry.started != entry.started:
                listed[entry.server] = Server(entry, self.random.random())  # a restart voids what was known
            else:
                old.entry, old.gone = entry, False
                listed[entry.server] = old
        while len(self.drained) > 4 * len(listed) + 64:
            del self.drained[next(iter(self.drained))]
        self.servers = listed
        self._rebuild()
        self._serve_queue()

    def _rebuild(self) -> None:
        """Make the ready list anew; only on a change of the list or of a server's health."""
        self.listed, were = list(self.servers.values()), len(self.ready)
        self.ready = [s for s in self.listed if s.barred_until <= self.now]
        self.off = [s for s in self.listed if s.barred_until > self.now]
        self.near = [s for s in self.ready if s.entry.zone == self.own]
        self.bad_sum = sum(s.bad for s in self.listed)
        self.least_limit = max(1, len(self.ready)) * self.floor  # so many calls out are never too many
        if not self.answered:  # a fresh copy may be amid full traffic: half of its part of what is harmless
            self.limit = max(1.0, self.least_limit, EACH / 2 * len(self.ready) / self.settings.copies)
        elif were and self.ready:  # what so many carried is not laid on fewer, who would be crowded
            self.limit = max(self.limit * len(self.ready) / were, self.least_limit)
        self._resize()

    def _resize(self) -> None:
        """Sizes as told, by what was learnt of each kind's speed against the mean of those listed."""
        sizes = [s.entry.size * self.host_speeds.size(s.entry.kind) for s in self.listed]
        common = sum(s.entry.size for s in self.listed) / (sum(sizes) or 1.0)
        for server, size in zip(self.listed, sizes, strict=True):
            server.size = size * common
        self.total_size = sum(s.size for s in self.ready) or 1.0
        self.most_size = max((s.size for s in self.ready), default=1.0)

    def _note(self, server: Server, failed: bool) -> None:
        """Weigh one piece of evidence on a server, against what the others show at the same time."""
        if self.servers.get(server.entry.server) is not server:
            return
        step = GAIN * (failed - server.bad)
        server.bad += step
        self.bad_sum += step
        if not failed:
            server.trial, server.bar = False, 0.0
            # Nobody listened there a while ago: whoever answers now has only just started, and is cold.
            server.back, server.lost = (self.now if server.lost else server.back), False
            return
        lost = sum(s.lost for s in self.off)
        others = (self.bad_sum - server.bad) / max(1, len(self.servers) - 1)
        # Trouble common to all lifts the others too and ejects nobody; half of those that are there stay.
        # Called gone and silent as well, the one witness bears out the other: one failure is enough.
        stands_out = server.trial or server.gone or server.bad - others > OUTLIER
        some_stay = 2 * len(self.ready) >= len(self.servers) - lost + 2
        if server.barred_until <= self.now and (server.lost or (stands_out and some_stay)):
            if server.gone and server.bar >= self.settings.warm_after:
                del self.servers[server.entry.server]  # dead for good: forgotten, until a list names it anew
            server.bar = max(self.aim, min(2 * server.bar, self.settings.warm_after))
            server.barred_until, server.trial = self.now + server.bar, True
            self._rebuild()

    def _failed(self, server: Server, event: AttemptResult | ProbeResult) -> None:
        at_once = event.took < self.settings.connect_timeout / 2
        if event.outcome is Outcome.CONNECT_FAILED and at_once and not event.unproven:
            server.lost = True  # refused at once: one call is proof enough, more of them teach nothing
        self._note(server, True)

    def _present_share(self, server: Server) -> float:
        """The least share of its capacity that a server can have by now: cold ones rise evenly."""
        started, cold_from = max(server.entry.started, server.back), self.settings.cold_from
        age = max(0.0, self.now - started)
        if started <= 0 or age >= self.settings.warm_after:
            return 1.0
        return cold_from + (1.0 - cold_from) * age / self.settings.warm_after

    def _cold_budget(self, server: Server, share: float) -> bool:
        """Guards against pushing a cold server over: this copy's part of what it can do, and no more."""
        kinds = min(1.0, server.size / server.entry.size)  # one of a slow kind bears less
        fair = self._call_rate() / max(1, len(self.servers)) * kinds
        burst = max(1.0, fair * share * self.settings.overload_for / 2)
        grown = (self.now - server.tokens_at) * fair * share * self.settings.fall_multiple / 2
        server.tokens, server.tokens_at = min(burst, server.tokens + grown), self.now
        return server.tokens >= 1.0

    def _copies(self) -> float:
        """How many copies there are, by what servers hold and what of it is one's own, or as told."""
        told = self.settings.copies
        return min(4.0 * told, max(1.0, (self.held + TOLD * told) / (self.own_held + TOLD)))

    def _call_rate(self) -> float:
        return 1.0 / max(self.gap, self.now - self.sent_at, 1e-3) if self.sent else 0.0

    def _draw(self, pool: list[Server], request: Held) -> Server | None:
        """One uniform draw; who has no room for this copy's call is not ready and drawn again."""
        for _ in range(DRAWS if pool else 0):
            server = pool[int(self.random.random() * len(pool))]
            if self._has_room(server, request):
                return server
        return None

    def _linked(self, request: Held) -> Server | None:
        """The same among servers to which a connection is open and idle: others cost a new one."""
        for _ in range(DRAWS if self.linked else 0):
            at = int(self.random.random() * len(self.linked))
            server = self.linked[at]
            if server.linked_until <= self.now or self.servers.get(server.entry.server) is not server:
                server.linked_until, self.linked[at] = 0.0, self.linked[-1]
                self.linked.pop()
                return self._linked(request)
            free = server.barred_until <= self.now and (not server.out or self.settings.shares_connections)
            if free and self._has_room(server, request):
                return server
        return None

    def _has_room(self, server: Server, request: Held) -> bool:
        """Whether a server takes this copy's call; by chance where it can take part of a full share."""
        # With the overdue: they stay where they are, and who has none takes more than a share of the others.
        room = ceil(CROWD * (self.out + self.overdue + 1) / self.total_size * server.size)
        if (server.out >= (1 if server.trial else room) or server.rest_until > self.now
                or any(a.server is server for a in request.attempts)):
            return False
        share = self._present_share(server)
        least = share * server.size / self.most_size
        # Guards against servers that fail one class and serve the others: drawn less for that class alone.
        failing = server.fails.get(request.kind, 0.0) - self.fails[request.kind]
        least *= min(1.0, max(GAIN / 8, 1.0 - failing / GAIN))
        if self.settings.classes[request.kind].effect is Effect.UNSAFE:  # one try: the surer hosts first
            least *= (1.0 - server.silent) ** 4
        # Slow beyond the mean by own times: drawn less; more so where copies are many and figures old.
        kinds = min(1.0, server.size / server.entry.size)  # its kind's slowness is in its size already
        excess = server.time / (self.mean_latency or 1.0) / self.thin_from * kinds
        if excess > 1.0:
            least /= 2 * excess if self.few >= 1.0 else excess ** self.thin_by
        return (least >= 1.0 or self.random.random() < least) and (
            share >= 1.0 or self._cold_budget(server, share))

    def _pair(self, pool: list[Server], request: Held) -> list[Server]:
        """The two draws from ``pool``, fewer where none has room."""
        links = self.links and (pool is self.ready or pool is self.near)  # not bound to a group
        both = links and request.rounds < 2 and self.random.random() > GAIN / 8  # or one is among all
        first = (self._linked(request) if links else None) or self._draw(pool, request)
        second = (self._linked(request) if both else None) or self._draw(pool, request)
        return [s for s in (first, second) if s is not None]

    def _choose(self, pair: list[Server]) -> Server | None:
        """The (1+beta) process: the lower figure with probability beta, else the first draw."""
        if len(pair) < 2 or pair[0] is pair[1]:
            return pair[0] if pair else None
        age = self.now - min(pair[0].figure_at, pair[1].figure_at)
        if self.random.random() >= beta(len(self.ready), self._call_rate() * self.settings.copies * age):
            return pair[0]
        # Ties at random, but for a connection that is open where the other's must be opened and paid.
        one, two = ((self._figure(s) + 1.0 / s.size, self.links and s.linked_until <= self.now,
                     self.random.random()) for s in pair)
        return pair[0] if one < two else pair[1]

    def _ask(self, request: Held) -> bool:
        """Ask the pair just drawn for its figures and wait for them: then they are fresh and beta is 1."""
        pool, own = self._pool(request)
        pair = self._pair(self.near if own and not request.rounds else pool, request)
        request.rounds, request.unheard = request.rounds + 1, len(pair)
        for server in pair:
            if server.entry.server not in self.asking:
                self.asking[server.entry.server] = []
                self.actions.append(Probe(server.entry.server))
            self.asking[server.entry.server].append(request)
        return bool(pair)

    def _told(self, server: Server | None, request: Held, heard: bool) -> None:
        """A drawn server has answered, or has not: send if nothing can be lower, or both are in."""
        request.unheard -= 1
        if not request.rounds or request.closed:
            return
        known = [s for s in (request.best, server if heard else None) if s is not None]
        request.best = best = self._choose(known)
        figure = self._figure(best) if best else 0.0
        idle = best is not None and figure == 0.0 and (best.linked_until > self.now or not self.links)
        if request.unheard > 0 and not idle:
            return
        # Like a draw without room: a pair over half the usual is drawn again, at most as often as any draw.
        if (best is None or 2 * figure > self.usual) and 2 * request.rounds < DRAWS and self._ask(request):
            return
        usual = self.slowdowns.unit * (figure + 1.0) * self.settings.classes[request.kind].aim
        takes = usual * self.slowdowns.factor(self.now, request.groups)
        # Nothing is earned by queueing where the answer comes too late; an idle server can't be bettered.
        if figure > 0.0 and not request.attempts and self.now + takes > request.aim_at:
            self._hold(request)
        else:
            self._send_to(request, best or self._pick(request))

    def _figure(self, server: Server) -> float:
        """The last reported figure by size, moved by own calls since; without one, the others' mean."""
        if server.figure is None:
            return self.usual
        return max(0.0, server.figure + server.out - server.out_at_report) / server.size

    def _pool(self, request: Held) -> tuple[list[Server], bool]:
        """Who may be drawn for a request, and whether the own zone comes first."""
        kind = self.settings.classes[request.kind]
        ran, pool = request.may_have_run, self.ready
        if ran is not None and kind.effect is Effect.KEYED and kind.group is not Group.ALL:
            # A keyed request that may have run stays with those who drop its repeats.
            zone, cell = ran.server.entry.zone, ran.server.entry.cell
            pool = [s for s in pool if s.entry.zone == zone
                    and (kind.group is Group.ZONE or s.entry.cell == cell)]
        # A zone slower than the others by more than a crossing is worth is left, the more the slower; now
        # and then anyway, to see the others.
        near, far = max(0.0, self.zone_time[0] - self.worth_crossing), self.zone_time[1]
        stays = self.random.random() < min(1.0 - GAIN / 8, (far / near) ** 2 if near and far else 1.0)
        return pool, stays and pool is self.ready and len(self.near) > 1

    def _pick(self, request: Held) -> Server | None:
        pool, own = self._pool(request)
        found = self._choose(self._pair(self.near, request)) if own else None
        # The own zone is left the likelier, the more the figure of the server found is above the usual.
        if found is not None and self.random.random() * self._figure(found) <= self.usual + 1.0:
            return found
        return self._choose(self._pair(pool, request))

    def _arrive(self, event: Request) -> None:
        index, left = event.class_index, max(0.0, event.time_left)
        kind, groups = self.settings.classes[index], (index, len(self.settings.classes) + event.tenant)
        value = self.priority.worth(index)
        value /= 1.0 if self.settings.worth_by_work else max(1.0, self.latency[index])
        if self.settings.layer == 0 and self.settings.quotas and self._over_quota(event.tenant):
            value *= self.settings.over_share_worth
        if event.resubmitted:  # the client's aim has been running for a try or two
            value *= kind.late_worth
        else:
            self.priority.asked_for(index)
        aim_at = self.now + min(kind.aim, left)
        request = Held(event.request, index, aim_at, self.now + left, value, self.now + left / 2, groups,
                       again=event.resubmitted)
        self.requests[event.request] = request
        self._timer(request.deadline, "deadline." + request.name)
        self._dispatch(request)

    def _over_quota(self, tenant: int) -> bool:
        """Whether a tenant has spent this copy's part of its share, refilled evenly."""
        rate = self.settings.quotas[tenant] / self.settings.copies / 1000.0
        spent, at = self.quota[tenant]
        spent = max(0.0, spent - (self.now - at) * rate)
        over = spent > rate * self.aim + 3 * (1.0 - self.few)  # a few at once may be chance
        self.quota[tenant] = (spent + (not over), self.now)
        return over

    def _crowded(self) -> bool:
        """At the limit? One of 2.25 is two calls, and a third for a quarter of the time."""
        waits = (self.limit - int(self.limit)) * (self.now - self.part_sent) < (self.mean_latency or self.aim)
        return self.out > int(self.limit) or (self.out == int(self.limit) and waits)

    def _steer(self, part: float) -> None:
        """Move the limit so that answers take, as parts of the aim, a mean (in logs) of idle time and aim."""
        self.answered += 1
        self.part += (part - self.part) / min(self.answered, max(4.0, min(16.0, 4 * self.limit)))
        self.slow_part += (part - self.slow_part) / min(self.answered, max(4.0, min(64.0, 4 * self.limit)))
        # Copies at one latency would keep any split of the fleet, one of them starved: the bigger aims lower.
        fair = EACH * max(1, len(self.ready)) / self._copies()
        near = self.nearness if self.limit <= max(1.0, fair) else NEAR
        target = min(self.idle, self.slow_part) ** near * (fair / self.limit) ** (EVEN * self.few)
        if self.answered >= max(3.0, 64 * self.few):  # many copies: the first few find the fleet idle
            self.idle = min(self.idle, self.slow_part)
        if self.part > target or self.limit < max(4.0, 2 * self.out):
            self.limit += 2 * GAIN * (min(1.5, target / max(self.part, 1e-6)) - 1.0)
            self.limit = max(self.limit, self.least_limit)

    def _dispatch(self, request: Held) -> bool:
        """Send a request, once the servers drawn are heard where these are asked, or hold it for a time."""
        drag = self.slowdowns.factor(self.now, request.groups)
        alone = self.slowdowns.unit * self.settings.classes[request.kind].aim
        if drag > 2.0 and alone < request.aim_at - self.now < alone * drag and not request.attempts:
            self._answer(request)  # the like of it takes too long everywhere and only holds others' places
            return True
        free = bool(request.attempts) or not self._crowded()
        request.rounds, request.best = (DRAWS // 2 - 1 if request.give_up else 0), None  # once held: one pair
        if free and self.asks and self._ask(request):
            return True
        return self._send_to(request, self._pick(request) if free else None)

    def _send_to(self, request: Held, server: Server | None) -> bool:
        request.rounds = 0  # nothing more is waited for
        if request.attempts and not self._may_repeat(request):  # time has passed since that was asked
            self._answer(request)
            return True
        if server is None or self.servers.get(server.entry.server) is not server:  # drained while asked
            return self._hold(request)
        if self.out >= int(self.limit):
            self.part_sent = self.now
        if not request.attempts:  # refused requests earn nothing: the budget must not grow with a jam
            self.spare = min(max(1.0, self.few / FURTHER), self.spare + FURTHER)
            if self.probes and not self.asks and self.random.random() < self.probe_share:  # each in turn
                self.probe_turn = (self.probe_turn + 1) % len(self.listed)
                self.actions.append(Probe(self.listed[self.probe_turn].entry.server))
        else:
            self.spare -= not request.attempts[-1].unreached
        request.attempts.append(Attempt(server, self.now, self._figure(server) if self.asks else 0.0))
        request.open += 1
        server.out += 1
        self.out += 1
        server.tokens -= 1.0
        self.sent += 1
        self.gap += (self.now - self.sent_at - self.gap) / min(self.sent, 64)
        self.sent_at = self.now
        self.actions.append(Send(request.name, server.entry.server))
        patience = PATIENCE * self.latency[request.kind] or self.aim
        if self.now + patience < request.deadline:
            self._timer(self.now + patience, f"{len(request.attempts) - 1}.{request.name}")
        second = SECOND * self.latency[request.kind]
        harmless = self.settings.classes[request.kind].effect is not Effect.UNSAFE
        if self.settings.second_copies and harmless and second and len(request.attempts) == 1:
            self._timer(self.now + second, "second." + request.name)
        return True

    def _second(self, request: Held, early: bool) -> None:
        """A second copy of a call that is out for long, where the class and the budget allow one."""
        kind, first = self.settings.classes[request.kind], request.attempts[0]
        harmless = kind.effect is Effect.SAFE or (
            kind.effect is Effect.KEYED and kind.group is Group.ALL
            and self.now < first.sent + kind.repeat_window - self.settings.tick)
        # Or it feeds a jam. Where others were swallowed of late, a copy is not heavy work done twice.
        calm = (early and self.part < 1.25 * self.idle) or first.server.silent > GAIN / 2
        room = 2 * self.out < self.limit
        if harmless and calm and room and self._may_repeat(request) and (server := self._pick(request)):
            self._send_to(request, server)

    def _hold(self, request: Held) -> bool:
        """Keep a request while it can still make its aim, else answer it early; it is not sent either way."""
        in_time = request.aim_at - self.latency[request.kind]
        # Who is turned away unsent in the first half of its time can still try elsewhere.
        in_time = in_time if request.attempts else min(in_time, request.half_at - self.settings.tick)
        request.give_up = min(request.deadline - 2 * self.settings.tick, in_time)
        if request.give_up <= self.now:
            self._answer(request)
        else:
            self._timer(request.give_up, "hold." + request.name)
            self.order += 1
            request.waiting = True
            heapq.heappush(self.queue, (-request.value, -self.now, self.order, request))
            if len(self.queue) > 2 * len(self.requests) + 64:  # a long jam leaves the answered in the heap
                self.queue = [item for item in self.queue if item[3].waiting]
                heapq.heapify(self.queue)
        return False

    def _serve_queue(self) -> None:
        """Send what was held, most worth first and newest first among equals, while there is room."""
        while self.queue and not self._crowded():
            request = heapq.heappop(self.queue)[3]
            waiting, request.waiting = request.waiting, False
            if waiting and not self._dispatch(request):
                return

    def _may_repeat(self, request: Held) -> bool:
        kind, ran = self.settings.classes[request.kind], request.may_have_run
        harmless = ran is None or kind.effect is Effect.SAFE or (
            kind.effect is Effect.KEYED and self.now < ran.sent + kind.repeat_window - self.settings.tick)
        # Who was not even reached did no work, and another try adds none: nothing that could feed a jam.
        paid = self.spare >= 1.0 or (bool(request.attempts) and request.attempts[-1].unreached)
        return harmless and paid and len(request.attempts) < self.settings.max_attempts

    def _answer(self, request: Held) -> None:
        """The final answer: refused where that is harmless, each told its time to come back, else failed."""
        kind = self.settings.classes[request.kind]
        harmless = kind.effect is Effect.SAFE or (kind.effect is Effect.KEYED and kind.group is Group.ALL)
        if harmless or (request.may_have_run is None and not request.open):
            stay_away = min(self.settings.max_retry_after, 2 * self.mean_latency * (1 + self.random.random()))
            self.actions.append(Refuse(request.name, stay_away * self.settings.sends_retry_after))
        else:
            self.actions.append(Fail(request.name))
        self._close(request)

    def _close(self, request: Held | None) -> None:
        """Nothing more is owed; calls still out earn nothing and are withdrawn."""
        if request is None or request.closed:
            return
        request.closed, request.waiting = True, False
        for index, attempt in enumerate(request.attempts):
            if not attempt.done and self.settings.may_cancel:
                self.actions.append(Cancel(request.name, index))
        if not request.open:
            del self.requests[request.name]

    def _result(self, event: AttemptResult) -> None:
        request, outcome = self.requests.get(event.request), event.outcome
        if request is None or event.attempt >= len(request.attempts) or request.attempts[event.attempt].done:
            return
        attempt = request.attempts[event.attempt]
        attempt.done, server = True, attempt.server
        request.open -= 1
        server.out -= not attempt.swallowed
        self.out -= not attempt.overdue
        self.overdue -= attempt.overdue and not attempt.swallowed
        # One that later calls overtook was swallowed, or is heavy: no jam, and not how long answers take.
        overtaken = outcome is Outcome.TIMEOUT and attempt.sent < server.passed
        jam = (outcome is Outcome.TIMEOUT and not overtaken) or (outcome is Outcome.FULL and self.few < 1.0)
        if jam and server.time <= 2 * self.mean_latency:  # who is known as slow speaks for itself
            self._steer(1.0)  # the few answers that come through a jam do not show it
        if outcome is Outcome.OK or (outcome is Outcome.TIMEOUT and not overtaken):
            self._time(request, attempt, event.took, outcome is Outcome.OK)
        elif outcome is Outcome.CANCELLED and len(request.attempts) > 1:
            server.time += max(0.0, GAIN * (event.took - server.time))  # it would have taken longer yet
        if outcome is Outcome.OK:
            self.priority.served(request.kind, request.again or self.now > request.aim_at, request.closed)
            server.silent *= 1.0 - GAIN
            server.heard, server.passed = self.now, max(server.passed, attempt.sent)
            if self.links and not server.linked_until:
                self.linked.append(server)
            server.linked_until = self.now + self.settings.idle_after
            usual = self.latency[request.kind]
            self.latency[request.kind] += (event.took - usual) / 16 if usual else event.took
            self.mean_latency += (event.took - self.mean_latency) / min(self.answered + 1, 16)
            self._steer(event.took / self.settings.classes[request.kind].aim)
            self._note(server, False)
            self._report(server, event.load)
        elif outcome is Outcome.FULL:
            server.rest_until = self.now + self.mean_latency
        elif outcome not in (Outcome.CANCELLED, Outcome.MOOT) and not attempt.counted:
            attempt.unreached = outcome is Outcome.CONNECT_FAILED
            self._failed(server, event)
        if self.asks and outcome in (Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT):
            failed, was = outcome is not Outcome.OK, server.fails.get(request.kind, 0.0)
            server.fails = server.fails | {request.kind: was + GAIN * (failed - was)}
            self.fails[request.kind] += (failed - self.fails[request.kind]) / 16
        if outcome is not Outcome.OK and outcome not in NEVER_RAN:
            request.may_have_run = attempt.earlier(request.may_have_run)
        if outcome is Outcome.OK or event.finished:
            self._close(request)
        elif not request.closed and not request.open and not request.waiting:
            if self.now + self.settings.tick < request.deadline and self._may_repeat(request):
                self._dispatch(request)
            else:
                self._answer(request)
        if request.closed and not request.open:
            self.requests.pop(request.name, None)
        self._serve_queue()

    def _time(self, request: Held, attempt: Attempt, took: float, answered: bool) -> None:
        """Learn from how long a call took: of its class or tenant, the host's kind, the host, its zone."""
        server = attempt.server
        alone = took / self.settings.classes[request.kind].aim / (attempt.ahead + 1.0)
        self.slowdowns.weigh(self.now, request.groups, alone, answered)
        self.host_speeds.learn(server.entry.kind, took / (self.latency[request.kind] or took or 1.0))
        server.time += GAIN * (took - server.time) if server.time else took
        far = server.entry.zone != self.settings.zone
        self.zone_time[far] += (took - self.zone_time[far]) / 16 if self.zone_time[far] else took

    def _report(self, server: Server, load: dict[str, float] | None) -> None:
        figure = None if load is None else load.get("inflight", load.get("queue"))
        if figure is None or self.servers.get(server.entry.server) is not server:
            return
        self.usual += (figure / server.size - self.usual) / (64 if self.usual else 1)
        self.held += (figure - self.held) / 16
        self.own_held += (server.out - self.own_held) / 16
        server.figure, server.figure_at, server.out_at_report = figure, self.now, server.out

    def _stream(self, event: StreamStarted) -> None:
        if event.request in self.requests:
            self.requests[event.request].deadline = float("inf")  # the stream is the client's now

    def _timer_fired(self, event: TimerFired) -> None:
        seq, _, rest = event.name.partition(".")
        request = self.requests.get(rest)
        if seq == "sweep":
            self._timer(self.now + self.aim / 8, "sweep")
            if any(s.barred_until <= self.now for s in self.off):  # time off is up
                self._rebuild()
            if self.host_speeds.take_over():
                self._resize()
            self._serve_queue()
        elif seq == "watch":
            self.actions.append(Watch())
        elif request is None or request.closed:
            return
        elif seq in ("second", "again"):
            if len(request.attempts) == request.open == 1:
                self._second(request, seq == "second")
                if self.now < request.aim_at:  # ever later: one stuck call sets a few timers and no more
                    self._timer(self.now + (self.now - request.attempts[0].sent) / 2, "again." + rest)
        elif seq in ("deadline", "hold"):
            if self.now >= (request.give_up if request.waiting else request.deadline):
                self._answer(request)
        elif not (attempt := request.attempts[int(seq)]).done:  # out for longer than is usual
            attempt.overdue, server = True, attempt.server
            self.out -= 1  # one stuck call must not take the whole limit of a copy with few
            if server.passed > attempt.sent:  # swallowed: it holds no place there, and no figure has it
                server.out -= 1
                server.out_at_report -= attempt.sent < server.figure_at
                server.silent += GAIN * (1.0 - server.silent)
                attempt.swallowed = attempt.counted = True
                return
            self.overdue += 1
            if server.heard < attempt.sent:
                attempt.counted = True  # silent to others too: evidence about the server
                self._note(server, True)

    def _probed(self, event: ProbeResult) -> None:
        if (server := self.servers.get(event.server)) is not None and event.outcome is Outcome.OK:
            self._report(server, event.load)
        elif server is not None and event.outcome is not Outcome.FULL:
            self._failed(server, event)
        for request in self.asking.pop(event.server, []):
            self._told(server, request, event.outcome is Outcome.OK)
