"""Clients and front without I/O: open-loop arrivals, retries, timeouts, and the choice of a proxy per request.

``load.py`` runs them on sockets, ``simulated/world.py`` in simulated time.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from cranebank.lab import records
from cranebank.lab.arrivals import Arrival
from cranebank.lab.scenario import Scenario
from cranebank.lab.stage import Ask, Environment, InFlight, Reply, Timer
from cranebank.lab.streams import stream


class Request:
    """A client's request with all of its tries."""

    __slots__ = ("arrival", "deadline", "first_sent", "number", "out", "record", "timer", "tries", "zone")

    def __init__(self, number: int, arrival: Arrival, deadline: int, zone: int) -> None:
        self.number, self.arrival, self.deadline, self.zone = number, arrival, deadline, zone
        self.tries = 0
        self.first_sent = -1
        self.out: InFlight | None = None
        self.timer: Timer | None = None
        self.record: records.CallRecord


class Clients:
    """Sends requests to the proxies of the first tier and writes a record for each try."""

    def __init__(
        self,
        stage: Environment,
        scenario: Scenario,
        rows: Sequence[Arrival],
        proxies: dict[str, int],
        idle: Callable[[], None],
    ) -> None:
        """``proxies`` gives the zone of each proxy by name; ``idle`` is called whenever no request is open."""
        self._stage, self._scenario, self._rows, self._idle = stage, scenario, rows, idle
        self._zones = proxies
        self._names = sorted(proxies)
        self._avoided_until: dict[str, int] = {}  # by proxy: the front avoids it until then
        self._draws = stream(scenario.seed, "clients").random((max(1, len(rows)), 9)).tolist()
        slack = scenario.limits.answer_slack_ms + scenario.judge.slack_ms
        self._slack = round(slack * 1000)  # an answer that is late by up to this still counts as an answer
        self.open = self.offered = self.served = self.unserved = 0

    def launch(self, number: int) -> None:
        """Send the first try of a request."""
        row = self._rows[number]
        self.offered += 1
        self.open += 1
        kind = self._scenario.classes[row.kind]
        zone = int(self._draws[number][8] * len(self._scenario.zones))
        self._try(Request(number, row, row.at + round(kind.deadline_ms * 1000), zone))

    def _try(self, request: Request) -> None:
        scenario, row, now = self._scenario, request.arrival, self._stage.now()
        kind, draws = scenario.classes[row.kind], self._draws[request.number]
        started_at = row.at if not request.tries else now
        wait = min(round(scenario.clients.try_part * kind.deadline_ms * 1000), request.deadline - started_at)
        proxy = self._pick(draws[request.tries % 4], request.zone)
        name = f"c{request.number}-{request.tries}"
        key = row.key if kind.effect != "safe" else ""
        record = request.record = records.CallRecord(
            id=name,
            root=f"c{request.number}",
            parent="",
            tries=request.tries,
            caller="client",
            proxy=proxy,
            kind=row.kind,
            tenant=row.tenant,
            key=key,
            intended=started_at,
            sent=-1,
            deadline=started_at + wait,
            done=now,
            status=0,
            digest="",
        )
        until = record.deadline + self._slack
        if draws[4 + request.tries % 4] < scenario.clients.impatient:
            until, record.client_left = started_at + round(wait * (0.1 + 0.8 * draws[request.tries % 4])), True
        request.timer = self._stage.at(until, self._give_up, request)
        ask = Ask(
            name, record.root, row.kind, row.tenant, key, row.work, record.deadline - now, row.hint, request.tries > 0
        )
        request.out = self._stage.ask(
            proxy,
            request.zone,
            ask,
            lambda reply: self._done(request, reply),
            lambda: self._stage.write(records.ExtraAnswer(name)),
        )

    def _pick(self, draw: float, zone: int) -> str:
        """Return the front's choice: a proxy of the client's zone that isn't known as dead, else any other."""
        now = self._stage.now()
        alive = [name for name in self._names if self._avoided_until.get(name, -1) <= now] or self._names
        near = [name for name in alive if self._zones[name] == zone] or alive
        return near[int(draw * len(near))]

    def _give_up(self, request: Request) -> None:
        assert request.out is not None
        request.out.cancel()
        self._end_try(request, request.out.reply)

    def _done(self, request: Request, reply: Reply) -> None:
        if request.timer is not None:
            request.timer.cancel()
        request.record.client_left = False
        if reply.trouble == "refused":
            self._avoided_until[request.record.proxy] = self._stage.now() + round(self._scenario.clients.notice_s * 1e6)
        self._end_try(request, reply)

    def _end_try(self, request: Request, reply: Reply) -> None:
        record, now = request.record, self._stage.now()
        record.done, record.sent = now, reply.sent
        record.status, record.digest, record.retry_after = reply.status, reply.digest, reply.retry_after
        record.was_cut_off, record.has_request_id = reply.trouble == "broke", reply.has_request_id
        if record.sent >= 0 > request.first_sent:
            request.first_sent = record.sent
        self._stage.write(record)
        if reply.status == 200:
            self.served += 1
        elif (at := self._retry_at(request, reply, now)) is not None:
            request.tries += 1
            self._stage.at(at, self._try, request)
            return
        else:
            self.unserved += 1
        self.open -= 1
        if not self.open:
            self._idle()

    def _retry_at(self, request: Request, reply: Reply, now: int) -> int | None:
        """Return when the client retries, with exponential backoff, or None if the class or the deadline forbids it."""
        clients, kind = self._scenario.clients, self._scenario.classes[request.arrival.kind]
        if request.tries >= clients.retries or request.record.client_left:
            return None
        is_safe_to_retry = reply.status in (429, 503) or reply.trouble in ("refused", "no connection left")
        if kind.effect == "unsafe" and not is_safe_to_retry:
            return None
        draws = self._draws[request.number]
        wait = clients.backoff_ms * 1000 * 2**request.tries * (0.5 + draws[request.tries % 4])
        if reply.retry_after and draws[7] < clients.honour:
            wait = max(wait, reply.retry_after)
        at = now + round(wait)
        window = request.first_sent + round(kind.window_ms * 1000)
        if kind.effect == "keyed" and request.first_sent >= 0 and at > window:
            return None
        return at if at < request.deadline else None
