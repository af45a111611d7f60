"""A model backend on a loopback address: an HTTP/1.1 server, heartbeats, and faults that are switched by name."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
from collections.abc import Callable
from typing import Any, cast

import httptools
import msgspec

from cranebank.fleetlab import model as m
from cranebank.fleetlab.caller import Caller
from cranebank.fleetlab.records import Arrival, Drain, OrderSeen
from cranebank.fleetlab.warmth import Warmth
from cranebank.transport.http_client import ask_once
from cranebank.transport.tcp_reset import set_reset_on_close

FAULTS = ("dark", "crash", "cut", "late", "silent")
CUT_AFTER_EVENTS = 2  # the "cut" fault breaks an answer off after this many events
TORN_BYTES = 5  # that the same fault leaves out of the last event of a stream without a length
STREAMS_PER_UNFRAMED = 8  # one stream in so many has no length and ends with its connection
LEAVE_DELAY_S = 0.3  # in addition to drain_ms
DRAIN_ACK_TIMEOUT_S = 4.0  # a drain that is not acknowledged by then goes on without it
DEFAULT_DEADLINE_MS = 60_000.0
RUN_NUMBERS = itertools.count(1)  # shared by all backends of this process
REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    412: "Precondition Failed",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


class Call:
    """One open request at the backend."""

    __slots__ = ("arrival", "connection", "is_head_sent", "is_silent", "is_unframed", "number", "request")

    def __init__(
        self, number: int, connection: BackendConnection, arrival: Arrival | None, request: m.GenerationRequest | None
    ) -> None:
        self.number, self.connection, self.arrival, self.request = number, connection, arrival, request
        self.is_head_sent = False
        self.is_silent = "silent" in connection.backend.faults
        self.is_unframed = False  # whether its stream has no length


class BackendConnection(asyncio.Protocol):
    """One caller's connection; it serves one request at a time."""

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self.call: Call | None = None
        self._pending_requests: list[tuple[str, str, dict[str, str], bytes]] = []
        self.last_answer: bytes = b""  # the latest whole answer, which the "late" fault sends again
        self._begin()

    def _begin(self) -> None:
        self._url, self._body = b"", b""
        self._headers: dict[str, str] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A caller has connected."""
        self.transport = cast(asyncio.Transport, transport)
        self.backend.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.transport = None
        self.backend.connections.discard(self)
        if self.call is not None:
            self.backend.on_caller_left(self.call)

    def data_received(self, data: bytes) -> None:
        """Bytes of requests were received."""
        if "dark" in self.backend.faults:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()

    def on_url(self, url: bytes) -> None:
        """Part of the request target was parsed."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header field was parsed."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Part of the body was parsed."""
        self._body += body

    def on_message_complete(self) -> None:
        """A whole request was parsed."""
        method = self._parser.get_method().decode("latin-1")
        self._pending_requests.append((method, self._url.decode("latin-1"), self._headers, self._body))
        self._begin()
        self.next_request()

    def next_request(self) -> None:
        """Handle the next request, if none is open."""
        if self.call is None and self._pending_requests:
            self.backend.handle_request(self, *self._pending_requests.pop(0))

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Abort the connection; with a reset where an orderly end would complete the answer."""
        if self.transport is None:
            return
        if self.call is not None and self.call.is_unframed:
            set_reset_on_close(self.transport.get_extra_info("socket"), is_enabled=True)
        self.transport.abort()


class Backend:
    """One incarnation of a backend."""

    def __init__(
        self,
        spec: m.EngineSpec,
        instance: str,
        service: str,
        stage: str,
        address: str,
        zone: str,
        controllers: Callable[[], list[str]],
        heartbeat_s: float,
        drain_s: float,
        arrivals: list[Arrival],
        drains: list[Drain],
        handles: dict[str, str],
        orders: list[OrderSeen],
        caller: Caller | None = None,
        warmth: Warmth | None = None,
    ) -> None:
        """``controllers`` returns their addresses in order of preference; ``caller`` makes the calls to them.
        ``warmth`` is None for a backend that is never cold."""
        self.model = m.ModelBackend(spec, instance, stage)
        self.instance, self.service, self.address, self.zone = instance, service, address, zone
        self._controllers, self._heartbeat_s, self._drain_s = controllers, heartbeat_s, drain_s
        self._arrivals, self._drains = arrivals, drains
        self._warmth = warmth
        self._handles = handles  # attempt by prompt handle, for the judge
        self._orders = orders
        self.faults: set[str] = set()
        self.connections: set[BackendConnection] = set()
        self._calls: dict[int, Call] = {}
        self._numbers = itertools.count(1)
        self._call_numbers = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.phase = "ready"
        self.serves_since = 0.0
        self._ask = ask_once if caller is None else caller.ask
        self.heartbeat_address = ""  # the controller that took the last heartbeat, used until a call to it fails
        self.ended = asyncio.Event()

    async def start(self, is_cold: bool = False) -> None:
        """Listen, and begin to send heartbeats. ``is_cold`` is set for a start during traffic."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: BackendConnection(self), host, int(port), reuse_address=True
        )
        self.serves_since = asyncio.get_running_loop().time()
        if is_cold and self._warmth is not None:
            self._warmth.turn_cold(self.serves_since)
        self._spawn(self._send_heartbeats())

    def fault(self, name: str, on: bool = True) -> None:
        """Switch a fault on or off; a crash can't be switched off."""
        assert name in FAULTS
        if name == "crash":
            self.stop()
        elif on:
            self.faults.add(name)
        else:
            self.faults.discard(name)

    def turn_cold(self) -> None:
        """Turn cold under the same id, and report it by a heartbeat at once."""
        if self._warmth is None or self.ended.is_set():
            return
        self._warmth.turn_cold(asyncio.get_running_loop().time())
        if self.phase == "ready" and "dark" not in self.faults:
            self._spawn(self._send_heartbeat())

    def lose_power(self) -> None:
        """Abort all connections and running requests. Nothing is read or sent until the power returns."""
        self.fault("dark")
        for call in self._calls.values():
            if call.arrival is not None:
                call.arrival.broke_off = True
        for connection in list(self.connections):
            connection.abort()

    def regain_power(self) -> None:
        """Serve again, cold. Connections accepted during the power loss are aborted."""
        for connection in list(self.connections):
            connection.abort()
        self.fault("dark", False)
        self.serves_since = asyncio.get_running_loop().time()
        self.turn_cold()

    def stop(self) -> None:
        """Stop at once without notice."""
        if self.ended.is_set():
            return
        self.ended.set()
        for call in self._calls.values():
            if call.arrival is not None:
                call.arrival.broke_off = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()

    def drain(self) -> None:
        """Announce the drain, keep serving for the drain time, leave and stop."""
        if self.phase == "ready":
            self.phase = "draining"
            self._spawn(self._leave())

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Heartbeats.

    async def _send_heartbeats(self) -> None:
        while self.phase == "ready":
            if "dark" not in self.faults:
                await self._send_heartbeat()
            await asyncio.sleep(self._heartbeat_s)

    async def _send_heartbeat(self) -> bool:
        stage = self.model.stage
        body = {
            "target": self.service,
            "address": self.address,
            "zone": self.zone,
            "revision": "v1",
            "capacity": self.model.spec.capacity,
            "phase": self.phase,
            "cold_left_ms": self._cold_left_ms(),
            "stage": stage,
            "models": [{"name": "m", "revision": 1, "loras": []}],
            "call_seq": next(self._call_numbers),
        }
        return await self._post("Heartbeat", msgspec.json.encode(body))

    def _cold_left_ms(self) -> int:
        return 0 if self._warmth is None else self._warmth.left_ms(asyncio.get_running_loop().time())

    def send_heartbeats_to(self, address: str) -> None:
        """Send heartbeats to this controller from now on."""
        self.heartbeat_address = address

    async def _post(self, method_name: str, body: bytes) -> bool:
        """Call one controller after another until a call succeeds, beginning with the last one used."""
        controllers = self._controllers()
        if self.heartbeat_address not in controllers:
            self.heartbeat_address = controllers[0]
        first = controllers.index(self.heartbeat_address)
        for at in controllers[first:] + controllers[:first]:
            self.heartbeat_address = at
            path = f"/api/Servers.{method_name}/{self.instance}"
            answer = await self._ask(at, "POST", path, body)
            if 200 <= answer.status < 300 and answer.whole:
                return True
        self.heartbeat_address = controllers[(first + 1) % len(controllers)]
        return False

    async def _leave(self) -> None:
        loop = asyncio.get_running_loop()
        record = Drain(self.instance, loop.time())
        self._drains.append(record)
        while loop.time() < record.announced + DRAIN_ACK_TIMEOUT_S:
            if await self._send_heartbeat():
                record.acked = loop.time()
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(self._drain_s + LEAVE_DELAY_S)
        while self._calls and loop.time() < record.announced + 10.0:  # finish accepted requests
            await asyncio.sleep(0.05)
        await self._post("Leave", b"{}")
        record.ended = loop.time()
        self._tasks.discard(cast("asyncio.Task[None]", asyncio.current_task()))
        self.stop()

    # Requests.

    def handle_request(
        self, connection: BackendConnection, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Handle a whole request."""
        now = asyncio.get_running_loop().time()
        number = next(self._numbers)
        call = connection.call = self._calls[number] = Call(number, connection, None, None)
        if path == "/health":
            health_headers = {"X-Instance": self.instance}
            if self._warmth is not None:
                health_headers["X-Cold-Left"] = str(self._cold_left_ms())
            self._answer(call, 200 if self.phase == "ready" else 503, b"ok", health_headers)
        elif path == "/api/report":
            self._handle_event(m.ReportRequested(number))
        elif path == "/api/order":
            self._take_order(number, _decode_order(body, headers))
        elif path.startswith("/api/kv-handle/") and method == "DELETE":
            self._handle_event(m.DeleteHandle(number, path.removeprefix("/api/kv-handle/")))
        else:
            request = call.request = read_request(headers, now)
            call.is_unframed = has_no_length(request.attempt)
            call.arrival = Arrival(
                now,
                self.service,
                self.instance,
                request.attempt,
                method,
                path,
                digest(body),
                "read" if request.is_prefill else "make",
                request.after,
            )
            if request.kv_from:
                call.arrival.handle_of = self._handles.get(request.kv_from.rpartition("/")[2], "?")
            self._arrivals.append(call.arrival)
            self._handle_event(m.RequestReceived(number, request))

    def _take_order(self, number: int, order: m.Order) -> None:
        """Pass an order to the model and record its answer."""
        if self.ended.is_set():
            return
        now = asyncio.get_running_loop().time()
        for action in self.model.handle(now, m.OrderReceived(number, order)):
            if isinstance(action, m.Respond) and action.call == number:
                fence_no = -1 if order.fence_no is None else order.fence_no
                seen = OrderSeen(now, self.instance, order.owner or "", fence_no, order.stage, action.status)
                self._orders.append(seen)
            self._perform(action)

    def on_caller_left(self, call: Call) -> None:
        """Handle that the caller of a call has left."""
        if self._calls.pop(call.number, None) is not None and not self.ended.is_set():
            self._handle_event(m.CallerLeft(call.number))

    def _handle_event(self, event: m.Event) -> None:
        if self.ended.is_set():
            return
        for action in self.model.handle(asyncio.get_running_loop().time(), event):
            self._perform(action)

    def _perform(self, action: m.Action) -> None:
        if isinstance(action, m.WakeAt):
            if self._timer is not None:
                self._timer.cancel()
            self._timer = asyncio.get_running_loop().call_at(action.at, self._handle_event, m.Wake())
            return
        call = self._calls.get(action.call)
        if call is None:
            return
        match action:
            case m.Respond(_, status, body, not_run):
                if call.request is not None and call.request.is_prefill and status == 200:
                    self._handles[msgspec.json.decode(body)["prompt_handle"]] = call.request.attempt
                self._answer(call, status, body, {"X-Not-Run": "1"} if not_run else {})
            case m.Prefilled(_, kept, read):
                if call.arrival is not None:
                    call.arrival.kept, call.arrival.read = kept, read
            case m.Began(_, kept, read, moved):
                if call.arrival is not None:
                    call.arrival.run = f"{self.instance}.{next(RUN_NUMBERS)}"
                    call.arrival.ran_at = asyncio.get_running_loop().time()
                    call.arrival.kept, call.arrival.read, call.arrival.moved = kept, read, moved
            case m.Emit(_, number, last):
                self._emit(call, number, last)
            case m.Cut():
                self._break_off(call)
            case m.TakeHandle(_, source):
                self._spawn(self._take_handle(call.number, source))

    async def _take_handle(self, number: int, source: str) -> None:
        address, _, handle = source.partition("/")
        answer = await ask_once(address, "DELETE", f"/api/kv-handle/{handle}")
        self._handle_event(m.HandleTaken(number, answer.status == 200))

    def _answer(self, call: Call, status: int, body: bytes, extra_headers: dict[str, str]) -> None:
        """Send a whole answer of known length."""
        connection = call.connection
        arrival = call.arrival
        if arrival is not None:
            arrival.status, arrival.not_run, arrival.whole = status, "X-Not-Run" in extra_headers or status == 421, True
        lines = [
            f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in extra_headers.items()),
        ]
        if arrival is not None:
            lines.append(f"X-Attempt-Id: {arrival.attempt}")
        self._close_call(call)
        if call.is_silent and arrival is not None:
            return
        connection.write("\r\n".join((*lines, *self._closing_headers(), "", "")).encode() + body)
        self._after_answer(connection)

    def _closing_headers(self) -> list[str]:
        return ["Connection: close"] if self.phase == "draining" else []

    def _emit(self, call: Call, number: int, last: bool) -> None:
        """Send one event of a stream."""
        arrival, connection = call.arrival, call.connection
        assert arrival is not None
        if call.is_silent:
            if last:
                self._close_call(call)
            return
        out = b""
        if not call.is_head_sent:
            call.is_head_sent, arrival.status = True, 200
            seal = f"{arrival.run}.{arrival.attempt}"
            lines = [
                "HTTP/1.1 200 OK",
                "Content-Type: text/event-stream",
                f"X-Attempt-Id: {arrival.attempt}",
                f"X-Server-Seal: {seal}",
                *(
                    ["Connection: close"]
                    if call.is_unframed
                    else ["Transfer-Encoding: chunked", *self._closing_headers()]
                ),
            ]
            out = "\r\n".join((*lines, "", "")).encode()
            if "late" in self.faults:
                out = connection.last_answer + out  # an unexpected extra answer in place of the next one
        if number:
            event = f"id: {number}\ndata: {arrival.attempt} {arrival.run} {number}\n\n".encode()
            out += event if call.is_unframed else b"%x\r\n%b\r\n" % (len(event), event)
            arrival.events_made += 1
        if "cut" in self.faults and arrival.events_made >= CUT_AFTER_EVENTS:
            arrival.broke_off = True
            connection.write(out[:-TORN_BYTES] if call.is_unframed else out)
            self._break_off(call)
            return
        if last:
            out += b"" if call.is_unframed else b"0\r\n\r\n"
            arrival.whole = True
        connection.write(out)
        if last and call.is_unframed:
            self._close_call(call)
            if connection.transport is not None:
                connection.transport.close()
        elif last:
            stale_body = f"late {arrival.attempt}".encode()
            connection.last_answer = (
                f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {arrival.attempt}\r\nX-Server-Seal: {arrival.run}"
                f".{arrival.attempt}\r\nContent-Length: {len(stale_body)}\r\n\r\n"
            ).encode() + stale_body
            self._close_call(call)
            self._after_answer(connection)

    def _break_off(self, call: Call) -> None:
        if call.arrival is not None:
            call.arrival.broke_off = True
        self._close_call(call)
        if call.connection.transport is not None:
            call.connection.transport.close()  # written bytes are still sent
        self._handle_event(m.CallerLeft(call.number))

    def _close_call(self, call: Call) -> None:
        self._calls.pop(call.number, None)
        call.connection.call = None

    def _after_answer(self, connection: BackendConnection) -> None:
        if self.phase == "draining":
            if connection.transport is not None:
                connection.transport.close()
        else:
            connection.next_request()


def digest(body: bytes) -> str:
    """Return the digest of a body."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()


def has_no_length(attempt: str) -> bool:
    """Return whether the stream of an attempt is sent without a length, so that it ends with its connection."""
    return not int(digest(attempt.encode()), 16) % STREAMS_PER_UNFRAMED


def read_request(headers: dict[str, str], now: float) -> m.GenerationRequest:
    """Return a request parsed from its headers."""
    tokens, _, out = headers.get("x-token-counts", "1,1").partition(",")
    parts = []
    for part in filter(None, headers.get("x-prompt-prefix", "").split(",")):
        name, _, size = part.partition(":")
        parts.append((name, int(size)))
    attempt = headers.get("x-attempt-id", "")
    return m.GenerationRequest(
        attempt,
        tuple(parts) or ((attempt, int(tokens)),),
        int(out or 1),
        now + float(headers.get("x-deadline-left", DEFAULT_DEADLINE_MS)) / 1e3,
        headers.get("x-stage") == "prefill",
        headers.get("kv-from", ""),
        int(headers.get("priority", 5)),
        headers.get("x-target-instance", ""),
        int(headers.get("last-event-id", 0)),
    )


def _decode_order(body: bytes, headers: dict[str, str]) -> m.Order:
    try:
        order = msgspec.json.decode(body, type=m.Order)
    except msgspec.MsgspecError:
        order = m.Order()
    return msgspec.structs.replace(order, target=headers.get("x-target-instance", ""))
