"""One actor for each upstream host: its legs and its probes, in HTTP/1.1."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import isfinite
from typing import Any

import msgspec

from cranebank.config.platform import LOAD_NAMES
from cranebank.core.clock import Clock
from cranebank.core.counters import Counters
from cranebank.core.log import Log
from cranebank.core.mailbox import Mailbox
from cranebank.core.rules import Host, Leg, LegEnded, Message, ProbeEnded, RoutingUpdate
from cranebank.decisions import interface as api
from cranebank.http.connection_pool import (
    ClosedBeforeSent,
    ConnectionBroken,
    ConnectionPool,
    ConnectionUnavailable,
    MalformedResponse,
    UpstreamResponse,
)

RETURNED_HEADERS = ("Content-Type", "Content-Encoding")
_LOAD_NAMES = LOAD_NAMES | {name: name for name in LOAD_NAMES.values()}  # the settings' names, and the header's


class HttpRequest(msgspec.Struct, frozen=True):
    """What passes through unchanged to an upstream host; ``left``: whether its client has gone, as seen right now."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    client_left: Callable[[], bool] = lambda: False


class HttpAnswer(msgspec.Struct, frozen=True):
    """The body of a 200, byte for byte, and what tells how to read it."""

    body: bytes
    headers: dict[str, str]


def read_load(text: str) -> dict[str, float] | None:
    """Read a load report such as ``TEXT inflight=7, queue=2``; None if it is malformed."""
    load: dict[str, float] = {}
    try:
        for pair in text.strip().removeprefix("TEXT").split(","):
            name, _, value = pair.strip().partition("=")
            if name in _LOAD_NAMES:
                load[_LOAD_NAMES[name]] = float(value)
    except ValueError:
        return None
    return load if load and all(isfinite(v) and v >= 0.0 for v in load.values()) else None


class SendLeg(msgspec.Struct, frozen=True):
    """Message: send this leg."""

    leg: Leg


class SendProbe(msgspec.Struct, frozen=True, eq=False):  # each its own: two may be out at once
    """Message: ask the host for its load, or its health where there are no reports."""


class HostUpdate(msgspec.Struct, frozen=True):
    """Message: the routing table's last word on the host; None when it is gone."""

    host: Host | None


Order = SendLeg | SendProbe | HostUpdate


class Upstream:
    """The actor of one host."""

    def __init__(
        self,
        host: Host,
        settings: api.Settings,
        pool: ConnectionPool,
        notify_engine: Callable[[Message], None],
        clock: Clock,
        counters: Counters,
        log: Log,
    ) -> None:
        self._host: Host | None = host
        self._settings, self._pool, self._notify_engine = settings, pool, notify_engine
        self._clock, self._counters, self._log = clock, counters, log
        self._server, self._address = host.entry.server, host.address
        self._tasks: dict[Leg | SendProbe, asyncio.Task[None]] = {}
        self._mailbox: Mailbox[Order] = Mailbox(self._receive, log)
        self.post = self._mailbox.post

    async def close(self) -> None:
        """Drop everything that is out, and the connections."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        self._pool.drop(self._server)

    def cancel(self, leg: Leg) -> None:
        """End a leg, ahead of whatever else this turn of the loop has found.

        Not by the mailbox: before its turn came, the rest of a request could go out, and a leg that is said never to
        have run would run.
        """
        if leg in self._tasks:
            self._tasks[leg].cancel()

    def _receive(self, order: Order) -> None:
        match order:
            case SendLeg(leg):
                if not self._in_service:
                    self._notify_engine(LegEnded(leg, api.Outcome.MOOT))
                elif leg.outcome is None:
                    self._run(leg, self._send(leg))
            case SendProbe():
                self._run(order, self._probe())
            case HostUpdate(host):
                self._host = host
                address = host.address if host is not None else ""
                if host is None or (address and address != self._address):
                    self._pool.drop(self._server)  # another host may get that address
                self._address = address or self._address

    def _run(self, key: Leg | SendProbe, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[key] = task
        task.add_done_callback(lambda _: self._tasks.pop(key, None))

    @property
    def _in_service(self) -> bool:
        """The list once more, just before a leg goes out: nothing new to a host that drains."""
        return self._host is not None and self._host.entry.state is api.ServerState.IN

    @property
    def is_retired(self) -> bool:
        """Gone from the list, with nothing out."""
        return self._host is None and not self._tasks

    async def _exchange(self, request: Callable[[], str], body: bytes, sent: Callable[[], None]) -> UpstreamResponse:
        """One request and its answer on a connection of its own; OSError means that it was not sent whole."""
        connection = await self._pool.take(self._server, self._address)
        try:
            if connection.address != self._address:
                raise ConnectionUnavailable("the host has moved")
            head = f"{request()}Host: {self._address}\r\n\r\n"
            return await connection.exchange(head.encode("utf-8", "surrogateescape") + body, sent)
        except (ConnectionBroken, MalformedResponse) as error:
            if connection.sent:
                raise
            raise ClosedBeforeSent(str(error)) from error
        finally:
            self._pool.give_back(connection)

    async def _send(self, leg: Leg) -> None:
        request: HttpRequest = leg.content

        def head() -> str:
            # The connection took its time to come up, and nothing is awaited from here to the first byte.
            if not self._in_service:  # the grace may be shorter
                raise ConnectionUnavailable("the host drains or is gone")
            if self._clock.now() >= leg.deadline:
                raise ClosedBeforeSent("its time is up")
            if leg.outcome is not None or self._clock.now() >= leg.send_by:
                raise ConnectionUnavailable("called off, or the window for repeats is over")
            if (
                request.client_left()
            ):  # its end may lie behind what is not read of it, or behind a long turn of the loop
                raise ConnectionUnavailable("its client has left")
            left = max(0, leg.deadline - self._clock.now()) // 1000
            length = {"Content-Length": len(request.body)} if request.method != "GET" else {}
            fields = request.headers | {"X-Deadline-Ms": left} | length
            return f"{request.method} {request.target} HTTP/1.1\r\n" + "".join(
                f"{name}: {value}\r\n" for name, value in fields.items()
            )

        def sent() -> None:
            leg.written = True

        ended = LegEnded(leg, api.Outcome.RESET)
        try:
            ended = self._leg_ended(leg, await self._exchange(head, request.body, sent))
        except ConnectionUnavailable as error:
            ended = LegEnded(leg, api.Outcome.MOOT)  # never sent, and no fault of the host's
            self._log.warning("leg_no_room", host=self._server, error=str(error))
        except OSError as error:
            ended = LegEnded(leg, api.Outcome.CONNECT_FAILED, unproven=self._unproven(error))
            self._log.warning("dial_failed", host=self._server, error=str(error))
        except (ConnectionBroken, MalformedResponse) as error:
            self._log.warning("leg_broken", host=self._server, error=f"{type(error).__name__}: {error}")
        except Exception as error:  # whatever a peer can bring about, the leg has one outcome
            self._log.error("leg_fault", host=self._server, error=f"{type(error).__name__}: {error}")
        self._notify_engine(ended)

    def _leg_ended(self, leg: Leg, answer: UpstreamResponse) -> LegEnded:
        load = self._load(answer.headers.get("x-load"))
        if answer.status == 200:
            found = {name: answer.headers.get(name.lower()) for name in RETURNED_HEADERS}
            returned = {name: value for name, value in found.items() if value is not None}
            return LegEnded(leg, api.Outcome.OK, load, HttpAnswer(answer.body, returned))
        if answer.status in (503, 504) and answer.headers.get("x-not-run") == "1":
            return LegEnded(leg, api.Outcome.FULL, load)
        return LegEnded(leg, api.Outcome.ERROR, load, is_request_fault=400 <= answer.status < 500)

    def _unproven(self, error: OSError) -> bool:
        """Guards a host that lives from passing for lost, and for cold afterwards: it ended a connection that
        was up (idle for too long, table full), or refuses a new one while another to it stands."""
        unproven = isinstance(error, ClosedBeforeSent) or self._pool.has_live_connection(self._server)
        self._counters.add("connects_unproven", unproven)
        return unproven

    def _load(self, text: str | None) -> dict[str, float] | None:
        if not text:
            return None  # a host that has only just started may have none yet
        load = read_load(text)
        if load is None:
            self._counters.add("load_reports_skipped")
            self._log.warning("load_report_skipped", host=self._server, report=repr(text[:80]))
        return load

    async def _probe(self) -> None:
        reports = self._settings.report_source is not api.ReportSource.NONE
        sent, outcome, load, unproven = self._clock.now(), api.Outcome.RESET, None, False
        path = "/-/load" if reports else "/-/healthy"
        try:
            # Beside the dial, a probe waits as long again for its answer: an older figure is worth little.
            async with asyncio.timeout(2 * self._settings.connect_timeout / 1000.0):
                answer = await self._exchange(lambda: f"GET {path} HTTP/1.1\r\n", b"", lambda: None)
            outcome = api.Outcome.OK if answer.status == 200 else api.Outcome.FULL
            if answer.status == 200 and reports:
                load = self._load(answer.body.decode("utf-8", "replace"))
        except ConnectionUnavailable:
            outcome = api.Outcome.FULL  # no fault of the host's
        except TimeoutError:
            outcome = api.Outcome.TIMEOUT
        except OSError as error:
            outcome, unproven = api.Outcome.CONNECT_FAILED, self._unproven(error)
        except (ConnectionBroken, MalformedResponse) as error:
            self._log.warning("probe_broken", host=self._server, error=f"{type(error).__name__}: {error}")
        self._notify_engine(ProbeEnded(self._server, outcome, self._clock.now() - sent, load, unproven))


class UpstreamDirectory:
    """The actors by host, made and retired as the routing table says."""

    def __init__(self, make: Callable[[Host], Upstream], notify_engine: Callable[[Message], None]) -> None:
        self._make, self._notify_engine = make, notify_engine
        self._upstreams: dict[str, Upstream] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def update(self, news: RoutingUpdate) -> None:
        """Make known to each actor what the routing table now says of its host."""
        # Before the news: whoever is named in it must not be retired for what was said before.
        for server in [s for s, upstream in self._upstreams.items() if upstream.is_retired]:
            task = asyncio.get_running_loop().create_task(self._upstreams.pop(server).close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)
        named = {host.entry.server for host in news.hosts}
        if news.kind in (api.ListKind.ALL, api.ListKind.REMEMBERED):
            for server, upstream in self._upstreams.items():
                if server not in named:
                    upstream.post(HostUpdate(None))
        for host in news.hosts:
            gone = host.entry.state is api.ServerState.OUT
            if host.entry.server in self._upstreams:
                self._upstreams[host.entry.server].post(HostUpdate(None if gone else host))
            elif not gone:
                self._upstreams[host.entry.server] = self._make(host)

    def send(self, leg: Leg) -> None:
        """Hand a leg to its host's actor."""
        if leg.server in self._upstreams:
            self._upstreams[leg.server].post(SendLeg(leg))
        else:
            self._notify_engine(LegEnded(leg, api.Outcome.MOOT))

    def cancel(self, leg: Leg) -> None:
        """Call a leg off."""
        if leg.server in self._upstreams:
            self._upstreams[leg.server].cancel(leg)

    def probe(self, server: str) -> None:
        """Probe a host."""
        if server in self._upstreams:
            self._upstreams[server].post(SendProbe())
        else:
            self._notify_engine(ProbeEnded(server, api.Outcome.MOOT, 0))

    async def close(self) -> None:
        """Retire all."""
        await asyncio.gather(*(upstream.close() for upstream in self._upstreams.values()), *self._closing)
