"""One connection to a backend: HTTP/1.1, one request at a time, closed as soon as its state is in doubt.

An answer is identified by the ``X-Attempt-Id`` that it echoes. A surplus answer, where the next call's is due, is read
to its end and dropped. Bytes after an answer, or on an idle connection, close the connection. An answer without an id
is accepted only if no answer to an earlier call on the connection could look the same.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from typing import Protocol, cast

import httptools
from loguru import logger

from cranebank.dataplane.connection_end import LOST_CALLS_PREFIX, ConnectionEnd, end_by_error
from cranebank.dataplane.evidence import SendEvidence
from cranebank.http.socket_state import readable
from cranebank.transport.messages import Backend
from cranebank.transport.send_watch import SendGuard, SendState
from cranebank.transport.tcp_info import unacknowledged_bytes

TCP_USER_TIMEOUT_MS = 1000  # a connection is closed if bytes stay unacknowledged for so long (see ``send_watch.py``)
DEFAULT_IDLE_S = 4.0  # idle time of a connection if the backend announces none
IDLE_CLOSE_MARGIN_S = 0.6  # closed so long before the backend would close it, so that no request crosses the close
MAX_ANSWER_BYTES = 64 << 20
HIGH_WATER_BYTES = 256 << 10
STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}")


class Listener(Protocol):
    """The receiver of a call's answer. None of these methods is called after ``abort``."""

    def leg_head(self, leg: int, status: int, headers: dict[str, str]) -> None:
        """The head of the answer has arrived."""

    def leg_data(self, leg: int, data: bytes) -> None:
        """Part of the body has arrived."""

    def leg_end(self, leg: int, by_close: bool) -> None:
        """The answer is complete. ``by_close``: it has no length, and ended as the backend closed the connection."""

    def leg_failed(self, leg: int, evidence: SendEvidence) -> None:
        """No complete answer will arrive."""


class ConnectionOwner(Protocol):
    """What keeps the connections and their counters."""

    def count(self, event: str) -> None:
        """Count an event."""

    def watch(self, connection: Connection) -> None:
        """Look at the connection's send until the backend has acknowledged the whole request."""

    def give_back(self, connection: Connection) -> None:
        """Keep a connection for its next request."""

    def forget(self, connection: Connection) -> None:
        """Remove a closed connection."""


class Connection(asyncio.Protocol):
    """One connection to a backend, at the address that it had when the connection was opened."""

    def __init__(self, owner: ConnectionOwner, backend: Backend) -> None:
        self._owner, self.backend = owner, backend
        self.transport: asyncio.Transport | None = None
        self._listener: Listener | None = None
        self._leg = 0
        self.idle_from, self.idle_for = 0.0, DEFAULT_IDLE_S
        self._busy = self._done = self._is_other_attempt = False
        self._is_paused = False  # whether reading is paused
        self._all_identified = True  # whether all earlier calls on this connection carried an attempt id

    def call(self, listener: Listener, leg: int, attempt: str, request: bytes, is_head: bool = False) -> None:
        """Send a request; the listener gets its answer. ``is_head``: it is a HEAD, whose answer has no body."""
        assert self.transport is not None
        self._listener, self._leg, self._attempt, self._is_head = listener, leg, attempt, is_head
        self._parser = httptools.HttpResponseParser(self)
        self._busy, self._done, self._is_other_attempt, self._until_close = True, False, False, False
        self._accepts_unidentified = self._all_identified or not attempt
        self._all_identified = self._all_identified and bool(attempt)
        self._headers: dict[str, str] = {}
        self._wire_bytes = 0
        self._guard.begin()
        self.transport.write(request)
        self._owner.watch(self)

    def abort(self) -> None:
        """Close the connection; its listener gets no further calls."""
        self._listener = None
        self._close()

    def give_up(self, listener: Listener) -> None:
        """Close the connection if this listener's answer has not arrived."""
        if self._listener is listener:
            self.abort()

    def usable(self) -> bool:
        """Return whether the connection is idle and nothing has arrived since its last answer."""
        if self.transport is None or self.transport.is_closing() or self._busy:
            return False
        return not readable(self.transport.get_extra_info("socket"))

    def look_at_send(self, now: float) -> bool:
        """Give a backend that is slow to read its request more time, and end the call if the backend is gone.

        Return whether to look again, as part of the request is not acknowledged yet.
        """
        if not self._busy or self.transport is None or self.transport.is_closing():
            return False
        had_stalled = self._guard.has_stalled
        state = self._guard.look(now)
        if self._guard.has_stalled and not had_stalled:
            self._owner.count("sends_stalled")
        if state is SendState.GONE:
            if not self._done:
                self._fail(ConnectionEnd.TIMED_OUT)
            self._close()
            return False
        # The kernel may have sent all that it was given while the rest still waits in this process.
        return state is not SendState.ACKNOWLEDGED or self.transport.get_write_buffer_size() > 0

    def pause(self, paused: bool) -> None:
        """Pause or resume reading, so that the backend is slowed down while the client reads slowly."""
        if paused is self._is_paused or self.transport is None or self.transport.is_closing():
            return
        self._is_paused = paused
        with contextlib.suppress(RuntimeError):
            (self.transport.pause_reading if paused else self.transport.resume_reading)()

    def _close(self) -> None:
        self._owner.forget(self)
        if self.transport is not None:
            self.transport.abort()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is established."""
        transport = cast(asyncio.Transport, transport)  # uvloop's class does not inherit from it
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._guard = SendGuard(sock, TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Part of an answer, or bytes that belong to none."""
        if not self._busy:
            self._close()
            return
        self._wire_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._done:
                self._fail(ConnectionEnd.INVALID_ANSWER)
            self._close()
            return
        if self._done:
            self._busy = False
            if self._keep and not self._is_surplus and self._is_all_sent():
                self.pause(False)  # the client of this answer may still be reading it; the next one is not slow
                self._owner.give_back(self)
            else:
                self._close()
        elif self._wire_bytes > MAX_ANSWER_BYTES:
            self._fail(ConnectionEnd.INVALID_ANSWER)
            self._close()

    def _is_all_sent(self) -> bool:
        """Return whether the backend's machine has received the whole request. An answer may arrive earlier than that,
        while part of the request is buffered in this process or in its kernel."""
        transport = self.transport
        if transport is None or transport.get_write_buffer_size():
            return False
        return not unacknowledged_bytes(transport.get_extra_info("socket"))

    def eof_received(self) -> None:
        """The backend has closed its side in order, which ends an answer without a length."""
        if self._busy and not self._done and self._until_close:
            self._done = True
            if self._listener is not None:
                self._listener.leg_end(self._leg, by_close=True)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed."""
        self._owner.forget(self)
        if self._busy and not self._done:
            self._fail(end_by_error(exc))
        self.transport = None

    def _fail(self, end: ConnectionEnd) -> None:
        self._busy = False
        self._owner.count(f"{LOST_CALLS_PREFIX}{end.value}")
        logger.debug("request {}: connection to backend {} ended: {}", self._attempt, self.backend.id, end.value)
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.leg_failed(self._leg, SendEvidence.WRITTEN)

    # Callbacks of the parser. An error raised in one ends the parsing.

    _keep = _is_surplus = _until_close = _in_head = False
    _status = 0

    def on_message_begin(self) -> None:
        """An answer begins: the expected or a surplus one."""
        self._is_surplus = self._done
        self._in_head = not self._done
        if not self._done:
            self._headers = {}

    def on_status(self, reason: bytes) -> None:
        """The reason phrase behind the status."""
        _check_no_status_line(reason)

    def on_header(self, name: bytes, value: bytes) -> None:
        """One field of the head. Trailer fields behind a chunked body say nothing about the answer."""
        if self._in_head:
            _check_no_status_line(value)  # a field's name can hold none, as it may contain no slash
            self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """The head is complete."""
        if self._done:
            return
        self._in_head = False
        self._status = self._parser.get_status_code()
        if self._status < 200:
            if self._status == 101:
                raise ValueError("unrequested change of protocol")
            return
        answer_attempt = self._headers.get("x-attempt-id")
        if answer_attempt is None and not self._accepts_unidentified:
            raise ValueError("answer without an attempt id may belong to an earlier call")
        self._is_other_attempt = answer_attempt is not None and answer_attempt != self._attempt
        if self._is_other_attempt:
            return
        self._until_close = (
            "content-length" not in self._headers
            and "transfer-encoding" not in self._headers
            and self._status not in (204, 304)
        )
        if self._listener is not None:
            self._listener.leg_head(self._leg, self._status, self._headers)
        if self._is_head:
            self._finish(keep=False)  # the parser cannot be told that no body follows

    def on_body(self, body: bytes) -> None:
        """Part of the body."""
        if not self._done and not self._is_other_attempt and self._listener is not None:
            self._listener.leg_data(self._leg, body)

    def on_message_complete(self) -> None:
        """The answer, or a surplus one before it, is complete."""
        if self._done or self._status < 200:
            return
        if self._is_other_attempt:
            self._is_other_attempt = False
            return
        self._finish(self._parser.should_keep_alive())

    def _finish(self, keep: bool) -> None:
        """Process the end of the answer. ``keep``: the connection may be reused."""
        self._done, self._keep = True, keep
        self.idle_for = _idle_for(self._headers)
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.leg_end(self._leg, by_close=False)


def _check_no_status_line(text: bytes) -> None:
    """Raise ValueError if a head holds a status line: late bytes of an earlier answer, cut within a line, came
    first."""
    if b"HTTP/1." in text and STATUS_LINE.search(text):
        raise ValueError("status line within the head of an answer")


def _idle_for(headers: dict[str, str]) -> float:
    """Return the seconds for which a connection may stay idle."""
    for part in headers.get("keep-alive", "").split(","):
        name, _, value = part.strip().partition("=")
        if name.strip().lower() == "timeout" and value.strip().isdigit():
            return max(0.0, int(value) - max(IDLE_CLOSE_MARGIN_S, 0.1 * int(value)))
    return DEFAULT_IDLE_S
