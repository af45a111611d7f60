"""One actor for each issuer host: its connections, its legs, its probes. HTTP/1.1, aiohttp's client."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from math import isfinite
from types import SimpleNamespace
from typing import Any

import aiohttp
from yarl import URL

from cranebank import interface as api
from cranebank.net.clock import Clock
from cranebank.net.counters import Counters
from cranebank.net.engine import Host, Leg, LegEnded, Message, Probed, TableNews
from cranebank.net.log import Log
from cranebank.net.mailbox import Mailbox
from cranebank.wire import LOAD_NAMES

BODY_BYTES = 64 << 10
PASSED_BACK = ("Content-Type", "Content-Encoding")
IDLE_MARGIN_MS = 1000.0  # idle connections are dropped this much before the host's machine would
_NAMES = LOAD_NAMES | {name: name for name in LOAD_NAMES.values()}  # the settings' names, and the header's


@dataclass(slots=True, frozen=True)
class HttpRequest:
    """What passes through unchanged to an issuer host."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class HttpAnswer:
    """The body of a 200, byte for byte, and what tells how to read it."""

    body: bytes
    headers: dict[str, str]


class LegBroke(Exception):
    """A connection broke under a leg. Not of the kinds on which aiohttp sends once more by itself."""


async def never_resend(request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
                       ) -> aiohttp.ClientResponse:
    """Guards against a leg that nobody asked for: aiohttp resends a GET when a kept connection is dead."""
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError, aiohttp.ClientConnectionResetError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise LegBroke(f"{type(error).__name__}: {error}") from error


def read_load(text: str) -> dict[str, float] | None:
    """Read a load report such as ``TEXT inflight=7, queue=2``; None if it is malformed."""
    load: dict[str, float] = {}
    try:
        for pair in text.strip().removeprefix("TEXT").split(","):
            name, _, value = pair.strip().partition("=")
            if name in _NAMES:
                load[_NAMES[name]] = float(value)
    except ValueError:
        return None
    return load if load and all(isfinite(v) and v >= 0.0 for v in load.values()) else None


@dataclass(slots=True, frozen=True)
class SendLeg:
    """Message: send this leg."""

    leg: Leg


@dataclass(slots=True, frozen=True)
class CancelLeg:
    """Message: stop waiting for this leg."""

    leg: Leg


@dataclass(slots=True, frozen=True, eq=False)  # each its own: two may be out at once
class SendProbe:
    """Message: ask the host for its load, or its health where there are no reports."""


@dataclass(slots=True, frozen=True)
class Relisted:
    """Message: the routing table's last word on the host; None when it is gone."""

    host: Host | None


Order = SendLeg | CancelLeg | SendProbe | Relisted


class Issuer:
    """The actor of one host."""

    def __init__(self, host: Host, settings: api.Settings, connections: int, tell: Callable[[Message], None],
                 clock: Clock, counters: Counters, log: Log) -> None:
        self._host: Host | None = host
        self._settings, self._tell = settings, tell
        self._clock, self._counters, self._log = clock, counters, log
        self._server, self._address = host.entry.server, host.address
        self._tasks: dict[Leg | SendProbe, asyncio.Task[None]] = {}
        self._mailbox: Mailbox[Order] = Mailbox(self._take, log)
        self.post = self._mailbox.post
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(self._dialled)
        trace.on_connection_reuseconn.append(self._reused)
        dial = settings.connect_timeout / 1000.0
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=connections, use_dns_cache=False,
                keepalive_timeout=max(0.1, (settings.idle_after - IDLE_MARGIN_MS) / 1000.0)),
            timeout=aiohttp.ClientTimeout(total=None, connect=dial, sock_connect=dial),
            middlewares=(never_resend,), cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False,
            trust_env=False, trace_configs=[trace],
            skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent", "Content-Type"))

    async def close(self) -> None:
        """Drop everything that is out, and the connections."""
        for task in self._tasks.values():
            task.cancel()
        await self._session.close()

    def _take(self, order: Order) -> None:
        match order:
            case SendLeg(leg):
                # The list once more, just before the leg goes out: nothing new to a host that drains.
                if self._host is None or self._host.entry.state is not api.ServerState.IN:
                    self._tell(LegEnded(leg, api.Outcome.MOOT))
                elif leg.outcome is None:
                    self._run(leg, self._send(leg))
            case CancelLeg(leg):
                if leg in self._tasks:
                    self._tasks[leg].cancel()
            case SendProbe():
                self._run(order, self._probe())
            case Relisted(host):
                self._host = host
                if host is not None:
                    self._address = host.address or self._address

    def _run(self, key: Leg | SendProbe, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks[key] = task
        task.add_done_callback(lambda _: self._tasks.pop(key, None))

    @property
    def done(self) -> bool:
        """Gone from the list, with nothing out."""
        return self._host is None and not self._tasks

    async def _dialled(self, _session: Any, context: SimpleNamespace, _params: Any) -> None:
        self._counters.add("connections_opened")
        self._up(context)

    async def _reused(self, _session: Any, context: SimpleNamespace, _params: Any) -> None:
        self._counters.add("connections_reused")
        self._up(context)

    @staticmethod
    def _up(context: SimpleNamespace) -> None:
        if context.trace_request_ctx is not None:
            context.trace_request_ctx.written = True  # the request is written in this same step

    async def _send(self, leg: Leg) -> None:
        request: HttpRequest = leg.content
        left = max(0, leg.deadline - self._clock.now()) // 1000
        outcome, load, content = api.Outcome.RESET, None, None
        try:
            async with self._session.request(
                    request.method, URL(f"http://{self._address}{request.target}", encoded=True),
                    headers=request.headers | {"X-Deadline-Ms": str(left)}, data=request.body or None,
                    allow_redirects=False, trace_request_ctx=leg) as response:
                body = await self._body(response)
                load = self._load(response.headers.get("X-Load"))
                outcome = self._outcome(response)
                if outcome is api.Outcome.OK:
                    told = response.headers
                    content = HttpAnswer(body, {name: told[name] for name in PASSED_BACK if name in told})
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError,
                aiohttp.ClientConnectionResetError):
            outcome = api.Outcome.CONNECT_FAILED  # never up, or broken before the request was written
        except (LegBroke, aiohttp.ClientError, OSError, ValueError) as error:
            outcome = api.Outcome.RESET if leg.written else api.Outcome.CONNECT_FAILED
            self._log.line("leg", f"{self._server}: {type(error).__name__}: {error}")
        except Exception as error:  # whatever a peer can bring about, the leg has one outcome
            self._log.line("leg", f"{self._server}: unforeseen {type(error).__name__}: {error}")
        self._tell(LegEnded(leg, outcome, load, content))

    @staticmethod
    def _outcome(response: aiohttp.ClientResponse) -> api.Outcome:
        if response.status == 200:
            return api.Outcome.OK
        if response.status in (503, 504) and response.headers.get("X-Not-Run") == "1":
            return api.Outcome.FULL
        return api.Outcome.ERROR

    @staticmethod
    async def _body(response: aiohttp.ClientResponse) -> bytes:
        body = b""
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > BODY_BYTES:
                raise ValueError("a body over 64 KiB")
        return body

    def _load(self, text: str | None) -> dict[str, float] | None:
        if not text:
            return None  # a host that has only just started may have none yet
        load = read_load(text)
        if load is None:
            self._counters.add("load_reports_skipped")
            self._log.line("load", f"{self._server}: skipped a malformed report {text[:80]!r}")
        return load

    async def _probe(self) -> None:
        reports = self._settings.report_source is not api.ReportSource.NONE
        sent, outcome, load = self._clock.now(), api.Outcome.RESET, None
        try:
            # Beside the dial, a probe waits as long again for its answer: an older figure is worth little.
            async with asyncio.timeout(2 * self._settings.connect_timeout / 1000.0):
                async with self._session.get(
                        URL(f"http://{self._address}{'/-/load' if reports else '/-/healthy'}", encoded=True),
                        allow_redirects=False) as response:
                    body = await self._body(response)
            outcome = api.Outcome.OK if response.status == 200 else api.Outcome.FULL
            if response.status == 200 and reports:
                load = self._load(body.decode("utf-8", "replace"))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            outcome = api.Outcome.CONNECT_FAILED
        except TimeoutError:
            outcome = api.Outcome.TIMEOUT
        except (LegBroke, aiohttp.ClientError, OSError, ValueError) as error:
            self._log.line("probe", f"{self._server}: {type(error).__name__}: {error}")
        self._tell(Probed(self._server, outcome, self._clock.now() - sent, load))


class Directory:
    """The actors by host, made and retired as the routing table says."""

    def __init__(self, make: Callable[[Host], Issuer], tell: Callable[[Message], None]) -> None:
        self._make, self._tell = make, tell
        self._issuers: dict[str, Issuer] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def update(self, news: TableNews) -> None:
        """Make known to each actor what the routing table now says of its host."""
        named = {host.entry.server for host in news.hosts}
        if news.kind in (api.ListKind.ALL, api.ListKind.REMEMBERED):
            for server, issuer in self._issuers.items():
                if server not in named:
                    issuer.post(Relisted(None))
        for host in news.hosts:
            gone = host.entry.state is api.ServerState.OUT
            if host.entry.server in self._issuers:
                self._issuers[host.entry.server].post(Relisted(None if gone else host))
            elif not gone:
                self._issuers[host.entry.server] = self._make(host)
        for server in [s for s, issuer in self._issuers.items() if issuer.done]:
            task = asyncio.get_running_loop().create_task(self._issuers.pop(server).close())
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)

    def send(self, leg: Leg) -> None:
        """Hand a leg to its host's actor."""
        if leg.server in self._issuers:
            self._issuers[leg.server].post(SendLeg(leg))
        else:
            self._tell(LegEnded(leg, api.Outcome.MOOT))

    def cancel(self, leg: Leg) -> None:
        """Call a leg off."""
        if leg.server in self._issuers:
            self._issuers[leg.server].post(CancelLeg(leg))

    def probe(self, server: str) -> None:
        """Probe a host."""
        if server in self._issuers:
            self._issuers[server].post(SendProbe())
        else:
            self._tell(Probed(server, api.Outcome.MOOT, 0))

    async def close(self) -> None:
        """Retire all."""
        await asyncio.gather(*(issuer.close() for issuer in self._issuers.values()), *self._closing)
