"""The acquirer side: clients' requests in, answers and declines out. aiohttp's low-level server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web
from multidict import CIMultiDictProxy

from cranebank.interface import Effect, Settings
from cranebank.net.counters import Counters
from cranebank.net.engine import Call, Declined, Engine, Left, Served
from cranebank.net.issuer import BODY_BYTES, HttpAnswer, HttpRequest
from cranebank.net.log import Log

READY, COUNTERS = "/-/ready", "/-/counters"
DEADLINE_MARGIN = 5_000  # the answer must be back before the client gives up: its way, both times
PASSED_ON = ("X-Request-Id", "Idempotency-Key", "X-Class", "X-Tenant", "X-Retry", "X-Cost-Hint", "X-Extras",
             "Content-Type")


class Malformed(ValueError):
    """A request that gets 400 and no leg."""


class Acquirer:
    """Reads requests, hands them to the engine and writes its answers."""

    def __init__(self, engine: Engine, settings: Settings, classes: tuple[str, ...], tenants: tuple[str, ...],
                 counters: Counters, log: Log, ready: Callable[[], bool]) -> None:
        self._engine, self._settings = engine, settings
        self._classes = {name: index for index, name in enumerate(classes)}
        self._tenants = {name: index for index, name in enumerate(tenants)}
        self._counters, self._log, self._ready = counters, log, ready
        self.closing = False

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; cancelled when the client leaves."""
        response = await self._respond(request)
        if self.closing:
            response.force_close()
        return response

    async def _respond(self, request: web.BaseRequest) -> web.Response:
        if request.path == READY:
            return web.Response(status=200 if self._ready() else 503)
        if request.path == COUNTERS:
            return web.json_response(text=self._counters.text())
        body = await request.read()
        try:
            call = self._call(request, body)
        except Malformed as error:
            self._counters.add("requests_malformed")
            self._log.line("request", str(error))
            return web.Response(status=400, text=f"{error}\n")
        answer = self._engine.submit(call)
        try:
            outcome = await answer
        except asyncio.CancelledError:
            self._engine.post(Left(answer))
            raise
        match outcome:
            case Served(HttpAnswer(body, headers)):
                return web.Response(status=200, body=body, headers=headers)
            case Declined(retry_after):
                told = {"Retry-After": f"{retry_after / 1e6:.3f}"} if retry_after else {}
                return web.Response(status=503, headers=told)
        return web.Response(status=502)

    def _call(self, request: web.BaseRequest, body: bytes) -> Call:
        headers, target = request.headers, request.raw_path
        if not headers.get("X-Request-Id"):
            raise Malformed("no X-Request-Id")
        if headers.get("X-Class") not in self._classes:
            raise Malformed(f"unknown X-Class {headers.get('X-Class')!r}")
        index = self._classes[headers["X-Class"]]
        kind = self._settings.classes[index]
        if self._tenants and headers.get("X-Tenant") not in self._tenants:
            raise Malformed(f"unknown X-Tenant {headers.get('X-Tenant')!r}")
        if kind.effect is Effect.KEYED and not headers.get("Idempotency-Key"):
            raise Malformed("no Idempotency-Key, which the class needs")
        if not target.startswith("/"):
            raise Malformed("expected a path as the request's target")
        deadline = _whole(headers, "X-Deadline-Ms")
        hint = _whole(headers, "X-Cost-Hint")
        wait = round(kind.deadline * 1000) if deadline is None else deadline * 1000
        return Call(
            class_index=index,
            tenant=self._tenants.get(headers.get("X-Tenant", ""), 0),
            time_left=wait - DEADLINE_MARGIN,
            content=HttpRequest(request.method, target, {k: headers[k] for k in PASSED_ON if k in headers},
                                body),
            cost=None if hint is None else hint / 1000.0,
            resubmitted=headers.get("X-Retry") == "1",
        )

    def server(self) -> web.Server:
        """The protocol factory for a listening socket."""
        return web.Server(self.handle, request_factory=_request, handler_cancellation=True, access_log=None,
                          keepalive_timeout=3600.0)


def _request(message, payload, protocol, writer, task):  # type: ignore[no-untyped-def]
    return web.BaseRequest(message, payload, protocol, writer, task, asyncio.get_running_loop(),
                           client_max_size=BODY_BYTES)


def _whole(headers: CIMultiDictProxy[str], name: str) -> int | None:
    text = headers.get(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= 12):
        raise Malformed(f"{name}: expected a whole number, got {text[:40]!r}")
    return int(text)
