"""The client side: receives requests and sends answers, on aiohttp's low-level server."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from functools import partial

from aiohttp import web
from multidict import CIMultiDictProxy

from cranebank.core.clock import Clock
from cranebank.core.counters import Counters
from cranebank.core.engine import Engine
from cranebank.core.log import Log
from cranebank.core.rules import Call, ClientLeft, Declined, Served, ms_to_us
from cranebank.decisions.interface import Effect, Settings
from cranebank.http.client_connections import LINGER_S, ClientConnections, ConnectionTimeouts
from cranebank.http.upstream import HttpAnswer, HttpRequest

READY, COUNTERS = "/-/ready", "/-/counters"
DEADLINE_MARGIN_US = 5_000  # for the network both ways: the answer must arrive before the client gives up
FORWARDED_HEADERS = (
    "X-Request-Id",
    "Idempotency-Key",
    "X-Class",
    "X-Tenant",
    "X-Retry",
    "X-Cost-Hint",
    "X-Extras",
    "Content-Type",
)
MAX_BODY_BYTES = 64 << 10
_ID = re.compile(r"[!-~]{1,200}")
_TARGET = re.compile(r"/([!-.0->@-~]+)(?:[/?][!-~]*)?")  # the class, then the rest of the path or a query


class MalformedRequest(ValueError):
    """Raised for a request that is answered with 400 and gets no leg."""


class Frontend:
    """Reads requests, submits them to the engine and sends its answers."""

    def __init__(
        self,
        engine: Engine,
        settings: Settings,
        classes: tuple[str, ...],
        tenants: tuple[str, ...],
        connections: Callable[[], int],
        timeouts: ConnectionTimeouts,
        clock: Clock,
        counters: Counters,
        log: Log,
        ready: Callable[[], bool],
    ) -> None:
        self._engine, self._settings = engine, settings
        self._classes = {name: index for index, name in enumerate(classes)}
        self._tenants = {name: index for index, name in enumerate(tenants)}
        self._counters, self._log, self._ready, self._clock = counters, log, ready, clock
        self._open_request_ids: set[str] = set()
        self.closing = False  # if set, each connection closes after its answer
        self.answer_by: int | None = None  # while the proxy stops: the time in microseconds by which to answer all
        # Heads are kept in memory whole: 64 fields of 4 KiB at most.
        self.connections = ClientConnections(
            self.handle,
            connections,
            timeouts,
            clock,
            counters,
            _make_request,
            access_log=None,
            keepalive_timeout=3600.0,
            lingering_time=LINGER_S,
            max_headers=64,
            max_line_size=4096,
            max_field_size=4096,
            auto_decompress=False,
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; cancelled when the client disconnects."""
        response = await self._respond(request)
        # Input that follows an unreadable request can't be trusted.
        if self.closing or self.connections.is_nearly_full or response.status in (400, 413):
            response.force_close()
        self.connections.request_answered(request.protocol)
        return response

    async def _respond(self, request: web.BaseRequest) -> web.Response:
        if request.path == READY:
            return web.Response(status=200 if self._ready() else 503)
        if request.path == COUNTERS:
            return web.json_response(text=self._counters.text())
        try:
            self._check(request)
            call = self._call(request, await request.read())
        except MalformedRequest as error:
            self._counters.add("requests_malformed")
            self._log.warning("request_malformed", error=str(error))
            return web.Response(status=400, text=f"{error}\n")
        except web.HTTPRequestEntityTooLarge as error:
            self._counters.add("requests_malformed")
            self._log.warning("request_too_large", error=error.text or "")
            return web.Response(status=413, text=error.text)
        self.connections.request_received(request.protocol)
        return await self._answer(call, request.headers["X-Request-Id"])

    async def _answer(self, call: Call, name: str) -> web.Response:
        if name in self._open_request_ids:  # checked only now: another may have come while the body was read
            self._counters.add("requests_malformed")
            return web.Response(status=400, text="the id of a request that is open\n")
        self._open_request_ids.add(name)
        answer = self._engine.submit(call)
        try:
            outcome = await answer
        except asyncio.CancelledError:
            self._engine.post(ClientLeft(answer))
            raise
        finally:
            self._open_request_ids.discard(name)
        match outcome:
            case Served(HttpAnswer(body, headers)):
                return web.Response(status=200, body=body, headers=headers)
            case Declined(retry_after):
                retry_headers = {"Retry-After": f"{retry_after / 1e6:.3f}"} if retry_after else {}
                return web.Response(status=503, headers=retry_headers)
        return web.Response(status=502)

    def _check(self, request: web.BaseRequest) -> None:
        """Reject malformed requests before the body is read; hosts would close the connection on them."""
        headers, class_index = request.headers, self._classes.get(request.headers.get("X-Class", ""))
        if any(len(headers.getall(name, ())) > 1 for name in FORWARDED_HEADERS):
            raise MalformedRequest("a field given twice")
        if "Content-Length" in headers and "Transfer-Encoding" in headers:
            raise MalformedRequest("Content-Length and Transfer-Encoding")  # may hide another request in the body
        if not _ID.fullmatch(headers.get("X-Request-Id", "")):
            raise MalformedRequest("no X-Request-Id, or none that can be read")
        if class_index is None:
            raise MalformedRequest(f"unknown X-Class {headers.get('X-Class')!r}")
        if self._tenants and headers.get("X-Tenant") not in self._tenants:
            raise MalformedRequest(f"unknown X-Tenant {headers.get('X-Tenant')!r}")
        effect = self._settings.classes[class_index].effect
        if effect is Effect.KEYED and not headers.get("Idempotency-Key"):
            raise MalformedRequest("no Idempotency-Key, which the class needs")
        if request.method != ("GET" if effect is Effect.SAFE else "POST"):
            raise MalformedRequest(f"method {request.method} does not go with the class")
        target = _TARGET.fullmatch(request.raw_path)
        if target is None or target[1] != headers["X-Class"]:
            raise MalformedRequest("expected a path that begins with the class as the request's target")
        if effect is Effect.SAFE and request.body_exists:
            raise MalformedRequest("a body, which the class has not")
        length = request.content_length or 0
        if length > MAX_BODY_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAX_BODY_BYTES, length)

    def _call(self, request: web.BaseRequest, body: bytes) -> Call:
        headers, target = request.headers, request.raw_path
        class_index = self._classes[headers["X-Class"]]
        request_class = self._settings.classes[class_index]
        deadline = _whole_number(headers, "X-Deadline-Ms")
        hint = _whole_number(headers, "X-Cost-Hint")
        max_wait = ms_to_us(request_class.deadline)  # caps the deadline of the client
        wait = max_wait if deadline is None else min(deadline * 1000, max_wait)
        if self.answer_by is not None:  # while the proxy stops: requests are answered before it may be killed
            wait = min(wait, max(0, self.answer_by - self._clock.now()))
        return Call(
            class_index=class_index,
            tenant=self._tenants.get(headers.get("X-Tenant", ""), 0),
            time_left=wait - DEADLINE_MARGIN_US,
            content=HttpRequest(
                request.method,
                target,
                {k: headers[k] for k in FORWARDED_HEADERS if k in headers},
                body,
                partial(self.connections.client_left, request.protocol),
            ),
            cost=None if hint is None else hint / 1000.0,
            resubmitted=headers.get("X-Retry") == "1",
            name=headers["X-Request-Id"],
        )


def _make_request(message, payload, protocol, writer, task):  # type: ignore[no-untyped-def]
    return web.BaseRequest(
        message, payload, protocol, writer, task, asyncio.get_running_loop(), client_max_size=MAX_BODY_BYTES
    )


def _whole_number(headers: CIMultiDictProxy[str], name: str) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= 12):
        raise MalformedRequest(f"{name}: expected a whole number, got {text[:40]!r}")
    return int(text)
