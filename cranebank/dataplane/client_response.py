"""Frames an answer to a client: its head, its body by length or in chunks, and its end. Free of I/O."""

from __future__ import annotations

import msgspec

from cranebank.dataplane.errors import RequestError
from cranebank.dataplane.http_fields import HOP_BY_HOP, status_line
from cranebank.invariants import invariant_error

BODILESS_STATUSES = frozenset({204, 304})


class ResponseFraming:
    """The answer to one request. ``keeps_connection`` becomes false if the answer ends with the connection."""

    __slots__ = (
        "_is_bodiless",
        "_is_chunked",
        "_is_http_1_0",
        "_left",
        "_to_head_request",
        "has_head",
        "keeps_connection",
    )

    def __init__(self, *, keeps_connection: bool, is_http_1_0: bool, to_head_request: bool) -> None:
        """``to_head_request``: the request is a HEAD, whose answer has no body."""
        self.keeps_connection, self._is_http_1_0 = keeps_connection, is_http_1_0
        self._to_head_request = to_head_request
        self.has_head = False
        self._is_chunked = self._is_bodiless = False
        self._left: int | None = None

    @property
    def is_short(self) -> bool:
        """Return whether fewer bytes have been sent than the head announced."""
        return bool(self._left) and not self._is_bodiless

    @property
    def ends_with_connection(self) -> bool:
        """Return whether a body without a length or chunks has begun, whose end the connection's orderly end shows."""
        return self.has_head and self._left is None and not self._is_chunked and not self._is_bodiless

    def head(self, status: int, headers: dict[str, str], *, closing: bool) -> bytes:
        """Return the head of a backend's answer; its body follows with ``frame`` and ``tail``."""
        if self.has_head:
            raise invariant_error("one head a response")
        self.has_head = True
        lines = [status_line(status)]
        lines += [
            f"{name}: {value}\r\n"
            for name, value in headers.items()
            if name not in HOP_BY_HOP and name != "content-length"
        ]
        self._is_bodiless = self._to_head_request or status in BODILESS_STATUSES
        length = headers.get("content-length")
        if length is not None and length.isdigit():
            self._left = int(length)
            lines.append(f"content-length: {length}\r\n")
        else:
            lines += self._without_length()
        if not self.keeps_connection or closing:
            self.keeps_connection = False
            lines.append("connection: close\r\n")
        lines.append("\r\n")
        return "".join(lines).encode("latin-1")

    def _without_length(self) -> list[str]:
        self._is_chunked = not self._is_http_1_0 and not self._is_bodiless
        if self._is_chunked:
            return ["transfer-encoding: chunked\r\n"]
        if not self._is_bodiless:
            self.keeps_connection = False
        return []

    def frame(self, data: bytes) -> bytes:
        """Return part of the body as it is sent."""
        if not self.has_head:
            raise invariant_error("a body follows its head")
        if not data or self._is_bodiless:
            return b""
        if self._left is not None:
            self._left -= len(data)
            if self._left < 0:
                raise invariant_error("no more bytes than the head promised")
        return b"%x\r\n%b\r\n" % (len(data), data) if self._is_chunked else data

    def tail(self) -> bytes:
        """Return the end of the body."""
        if not self.has_head:
            raise invariant_error("an end follows its head")
        return b"0\r\n\r\n" if self._is_chunked else b""

    def own_reply(self, error: RequestError, retry_after_s: float | None, *, closing: bool) -> bytes:
        """Return a complete answer of the proxy's own."""
        if self.has_head:
            raise invariant_error("no reply behind a head")
        self.has_head = True
        self.keeps_connection = self.keeps_connection and not closing
        body = msgspec.json.encode({"code": error.code, "detail": str(error)})
        lines = [
            status_line(error.status),
            f"content-type: application/json\r\ncontent-length: {len(body)}\r\n",
        ]
        if retry_after_s is not None:
            lines.append(f"retry-after: {retry_after_s:g}\r\n")
        if not self.keeps_connection:
            lines.append("connection: close\r\n")
        return "".join(lines).encode() + b"\r\n" + (b"" if self._to_head_request else body)
