"""One actor for each upstream host, which sends its legs and probes over HTTP/1.1."""

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
_LOAD_NAMES = LOAD_NAMES | {
    name: name for name in LOAD_NAMES.values()
}  # accepts the names of the settings and of the header


class HttpRequest(msgspec.Struct, frozen=True):
    """The parts of a request that are forwarded unchanged; ``client_left`` checks whether the client disconnected."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    client_left: Callable[[], bool] = lambda: False


class HttpAnswer(msgspec.Struct, frozen=True):
    """The body of a 200 response, byte for byte, with the headers that describe it."""

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


class SendProbe(msgspec.Struct, frozen=True, eq=False):  # compared by identity: two may be in flight at once
    """Message: ask the host for its load, or for its health where there are no load reports."""


class HostUpdate(msgspec.Struct, frozen=True):
    """Message: the latest entry of the host in the routing table; None if it was removed."""

    host: Host | None


Order = SendLeg | SendProbe | HostUpdate


class Upstream:
    """The actor of one upstream host."""

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
        """Cancel all legs and probes in flight and close the idle connections."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        self._pool.drop(self._server)

    def cancel(self, leg: Leg) -> None:
        """Cancel a leg at once, before other events of this loop iteration.

        Not through the mailbox: until the message was processed, the rest of the request could be sent, and a leg that
        was reported as never run would run.
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
                    self._pool.drop(self._server)  # another host may be given that address
                self._address = address or self._address

    def _run(self, key: Leg | SendProbe, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[key] = task
        task.add_done_callback(lambda _: self._tasks.pop(key, None))

    @property
    def _in_service(self) -> bool:
        """Whether the host may get new legs; checked again just before sending, as it may drain by then."""
        return self._host is not None and self._host.entry.state is api.ServerState.IN

    @property
    def is_retired(self) -> bool:
        """Whether the host was removed from the list and has nothing in flight."""
        return self._host is None and not self._tasks

    async def _exchange(self, request: Callable[[], str], body: bytes, sent: Callable[[], None]) -> UpstreamResponse:
        """Send a request on a connection of its own and return the response; OSError: it was not sent completely."""
        connection = await self._pool.take(self._server, self._address)
        try:
            if connection.address != self._address:
                raise ConnectionUnavailable("the host has changed its address")
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
            # Connecting took time, so all conditions are checked again; nothing is awaited from here to the first byte.
            if not self._in_service:  # the drain grace may be shorter than the dial
                raise ConnectionUnavailable("the host is draining or was removed")
            if self._clock.now() >= leg.deadline:
                raise ClosedBeforeSent("the leg's deadline has passed")
            if leg.outcome is not None or self._clock.now() >= leg.send_by:
                raise ConnectionUnavailable("the leg was cancelled, or the window for repeats is over")
            # The end of the client's connection may be behind unread input, or not seen in a long loop iteration.
            if request.client_left():
                raise ConnectionUnavailable("the client has disconnected")
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
            ended = LegEnded(leg, api.Outcome.MOOT)  # never sent, and not the fault of the host
            self._log.warning("leg_no_room", host=self._server, error=str(error))
        except OSError as error:
            ended = LegEnded(leg, api.Outcome.CONNECT_FAILED, unproven=self._unproven(error))
            self._log.warning("dial_failed", host=self._server, error=str(error))
        except (ConnectionBroken, MalformedResponse) as error:
            self._log.warning("leg_broken", host=self._server, error=f"{type(error).__name__}: {error}")
        except Exception as error:  # whatever the peer sends, the leg gets exactly one outcome
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
        """Return whether a connect failure does not prove that the host is down.

        Guards a live host from being considered lost, and cold afterwards: it closed an established connection (idle
        time-out, full table), or refuses a new one while another to it is up.
        """
        unproven = isinstance(error, ClosedBeforeSent) or self._pool.has_live_connection(self._server)
        self._counters.add("connects_unproven", unproven)
        return unproven

    def _load(self, text: str | None) -> dict[str, float] | None:
        if not text:
            return None  # a host that has just started may send none yet
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
            # A probe waits for its answer as long as for the connect: an older load value is of little use.
            async with asyncio.timeout(2 * self._settings.connect_timeout / 1000.0):
                answer = await self._exchange(lambda: f"GET {path} HTTP/1.1\r\n", b"", lambda: None)
            outcome = api.Outcome.OK if answer.status == 200 else api.Outcome.FULL
            if answer.status == 200 and reports:
                load = self._load(answer.body.decode("utf-8", "replace"))
        except ConnectionUnavailable:
            outcome = api.Outcome.FULL  # not the fault of the host
        except TimeoutError:
            outcome = api.Outcome.TIMEOUT
        except OSError as error:
            outcome, unproven = api.Outcome.CONNECT_FAILED, self._unproven(error)
        except (ConnectionBroken, MalformedResponse) as error:
            self._log.warning("probe_broken", host=self._server, error=f"{type(error).__name__}: {error}")
        self._notify_engine(ProbeEnded(self._server, outcome, self._clock.now() - sent, load, unproven))


class UpstreamDirectory:
    """The actors of all hosts, created and removed according to the routing table."""

    def __init__(self, make: Callable[[Host], Upstream], notify_engine: Callable[[Message], None]) -> None:
        self._make, self._notify_engine = make, notify_engine
        self._upstreams: dict[str, Upstream] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def update(self, news: RoutingUpdate) -> None:
        """Pass an update of the routing table to the actors of its hosts."""
        # Retired actors go first: a host that the update lists again must get a new actor.
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
        """Pass a leg to the actor of its host."""
        if leg.server in self._upstreams:
            self._upstreams[leg.server].post(SendLeg(leg))
        else:
            self._notify_engine(LegEnded(leg, api.Outcome.MOOT))

    def cancel(self, leg: Leg) -> None:
        """Cancel a leg."""
        if leg.server in self._upstreams:
            self._upstreams[leg.server].cancel(leg)

    def probe(self, server: str) -> None:
        """Probe a host."""
        if server in self._upstreams:
            self._upstreams[server].post(SendProbe())
        else:
            self._notify_engine(ProbeEnded(server, api.Outcome.MOOT, 0))

    async def close(self) -> None:
        """Close all actors."""
        await asyncio.gather(*(upstream.close() for upstream in self._upstreams.values()), *self._closing)
