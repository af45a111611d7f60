"""One open request on asyncio: carries out what its exchange decides, over connections of clients and backends."""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import Protocol

from loguru import logger

from cranebank import background
from cranebank.dataplane.backend_connections import Connection
from cranebank.dataplane.backend_pool import NoConnectionFree, Pool
from cranebank.dataplane.client_request import ClientRequest
from cranebank.dataplane.evidence import SendEvidence
from cranebank.dataplane.exchange import Exchange, State
from cranebank.dataplane.exchange_events import (
    Abort,
    Action,
    Break,
    Call,
    Data,
    Event,
    Finish,
    Free,
    Head,
    LegData,
    LegEnd,
    LegFailed,
    LegHead,
    Reply,
    Wake,
    WakeAt,
)
from cranebank.dataplane.front import ClientConnection
from cranebank.dataplane.shared import Shared
from cranebank.transport.messages import Backend

PROXY_HEADERS = frozenset({"x-deadline-left", "last-event-id", "x-target-instance", "x-stage", "kv-from", "priority"})


class RequestOwner(Protocol):
    """What open requests share."""

    shared: Shared
    pool: Pool

    def free(self, backend: Backend, handle: str) -> None:
        """Free the KV cache of a prefill that no decode backend will fetch."""

    def closed(self, opened: OpenRequest) -> None:
        """Remove a request that has ended."""


class OpenRequest:
    """One open request: its exchange, its client and its legs."""

    __slots__ = (
        "_owner",
        "attempt",
        "client",
        "dialling",
        "exchange",
        "legs",
        "prefix",
        "request",
        "timer",
        "until",
        "wakes_at",
    )

    def __init__(
        self, owner: RequestOwner, client: ClientConnection, request: ClientRequest, exchange: Exchange, until: float
    ) -> None:
        self._owner, self.client, self.request, self.exchange, self.until = owner, client, request, exchange, until
        self.attempt = request.fields.get("x-attempt-id", "")
        self.legs: dict[int, Connection] = {}
        self.dialling: dict[int, asyncio.Task[None]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.wakes_at = 0.0
        lines = [f"{request.method} {request.target} HTTP/1.1\r\n"]
        lines += [f"{name}: {value}\r\n" for name, value in request.headers if name.lower() not in PROXY_HEADERS]
        if request.body or "content-length" in request.fields or "transfer-encoding" in request.fields:
            lines.append(f"Content-Length: {len(request.body)}\r\n")
        self.prefix = "".join(lines)

    def handle_event(self, event: Event) -> None:
        """Pass an event to the exchange and carry out its actions."""
        now = asyncio.get_running_loop().time()
        try:
            self._carry_out(self.exchange.handle(now, event))
        except Exception as error:  # whatever was half done, no answer is better than a wrong one
            logger.opt(exception=error).error(
                "request {}: unexpected error in event {!r}, state {}", self.attempt, event, self.exchange.state
            )
            self.client.break_off()
            for leg in {*self.legs, *self.dialling}:
                self._abort(leg)
            if self.timer is not None:
                self.timer.cancel()
            self._owner.closed(self)

    def _carry_out(self, actions: list[Action]) -> None:
        chunks: list[bytes] = []
        for action in actions:
            match action:
                case Data(data):
                    chunks.append(self.client.frame(data))
                case WakeAt(at):
                    self._wake_at(at)
                case Head(status, headers):
                    chunks.append(self.client.head(status, headers))
                case Call():
                    self._call(action)
                case Abort(leg):
                    self._abort(leg)
                case Finish():
                    chunks.append(self.client.tail())
                    self.client.write(b"".join(chunks))
                    chunks = []
                    self.client.finish()
                case Break():
                    self.client.break_off()
                case Reply(error, retry_after):
                    self.client.reply(error, retry_after)
                case Free(backend, handle):
                    self._owner.free(backend, handle)
        if chunks:
            self.client.write(b"".join(chunks))
        self._pause_legs()
        if self.exchange.is_over:
            if self.timer is not None:
                self.timer.cancel()
            self._owner.closed(self)

    def _wake_at(self, at: float) -> None:
        if self.timer is not None:
            if self.wakes_at <= at:
                return  # the request checks again at that time
            self.timer.cancel()
        # The time is kept here, as uvloop's handle of a past time does not know its time.
        self.wakes_at = at
        self.timer = asyncio.get_running_loop().call_at(at + 0.001, self._wake)

    def _wake(self) -> None:
        self.timer = None
        self.handle_event(Wake())

    def _call(self, call: Call) -> None:
        connection = self._owner.pool.take(call.backend)
        if connection is not None and self._may_write(call):
            self._send(call, connection)
        elif connection is not None:
            self._owner.pool.give_back(connection)
            withdrawn = LegFailed(call.leg, SendEvidence.BACKEND_WITHDRAWN)
            asyncio.get_running_loop().call_soon(self.handle_event, withdrawn)
        else:
            self.dialling[call.leg] = background.start(self._dial(call))

    async def _dial(self, call: Call) -> None:
        try:
            connection = await self._owner.pool.dial(call.backend)
        except ConnectionError as error:
            logger.debug("request {}: connecting to backend {} failed: {}", self.attempt, call.backend.id, error)
            self.dialling.pop(call.leg, None)
            is_full = isinstance(error, NoConnectionFree)
            evidence = SendEvidence.NO_CONNECTION_FREE if is_full else SendEvidence.NEVER_CONNECTED
            self.handle_event(LegFailed(call.leg, evidence))
            return
        self.dialling.pop(call.leg, None)
        if connection.transport is None or connection.transport.is_closing():
            self.handle_event(LegFailed(call.leg, SendEvidence.CLOSED_BEFORE_SEND))
            return
        if self.exchange.is_over or not self._may_write(call):
            self._owner.pool.give_back(connection)
            if not self.exchange.is_over:
                self.handle_event(LegFailed(call.leg, SendEvidence.BACKEND_WITHDRAWN))
            return
        self._send(call, connection)

    def _may_write(self, call: Call) -> bool:
        """Check with the clock itself: the loop's clock stands still during an iteration, in which the process may have
        been suspended."""
        return self._owner.shared.candidates.may_write(monotonic(), call.backend, call.permitted_until)

    def _send(self, call: Call, connection: Connection) -> None:
        now = asyncio.get_running_loop().time()
        left = max(1, int((self.until - now) * 1e3))
        more = "".join(f"{name}: {value}\r\n" for name, value in call.headers)
        head = f"{self.prefix}X-Deadline-Left: {left}\r\nX-Target-Instance: {call.backend.id}\r\n{more}\r\n"
        self.legs[call.leg] = connection
        request = head.encode("latin-1") + self.request.body
        connection.call(self, call.leg, self.attempt, request, self.request.method == "HEAD")
        self._pause_legs()

    def _abort(self, leg: int) -> None:
        task = self.dialling.pop(leg, None)
        if task is not None:
            task.cancel()
        connection = self.legs.pop(leg, None)
        if connection is not None:
            connection.abort()

    # Callbacks of connections to backends.

    def leg_head(self, leg: int, status: int, headers: dict[str, str]) -> None:
        """The head of an answer has arrived."""
        self.handle_event(LegHead(leg, status, headers))

    def leg_data(self, leg: int, data: bytes) -> None:
        """Part of a body has arrived."""
        self.handle_event(LegData(leg, data))

    def leg_end(self, leg: int, by_close: bool) -> None:
        """An answer is complete."""
        self.legs.pop(leg, None)
        self.handle_event(LegEnd(leg, by_close))

    def leg_failed(self, leg: int, evidence: SendEvidence) -> None:
        """No complete answer will arrive."""
        self.legs.pop(leg, None)
        self.handle_event(LegFailed(leg, evidence))

    def _pause_legs(self) -> None:
        """Pause or resume reading from backends, as the client reads slowly or not. Answers that are not passed on are
        read in any case."""
        is_paused = self.client.is_write_paused and self.exchange.state is State.STREAMING
        for connection in self.legs.values():
            connection.pause(is_paused)
