"""Parses HTTP/1.1 requests, one at a time, from a client's bytes within the configured limits.

Ambiguous requests (two lengths, a field twice, bytes of another request in the same segment) are refused: no backend
may get a request that its client did not send.
"""

from __future__ import annotations

from collections.abc import Callable

import httptools
import msgspec

from cranebank.dataplane.errors import BodyTooLarge, HeadTooLarge, Malformed, RequestError
from cranebank.dataplane.http_fields import HOP_BY_HOP
from cranebank.dataplane.routes import ClientLimits

SINGLE_FIELDS = frozenset({"content-length", "transfer-encoding", "host", "x-attempt-id"})  # at most once in a head
UNFORWARDED = HOP_BY_HOP | {"content-length", "expect"}
FIELD_OVERHEAD_BYTES = 4  # per field line: colon, space and line end


class ClientRequest(msgspec.Struct):
    """One complete request. ``headers``: as received, without hop-by-hop fields; ``fields``: all fields by lower-case
    name."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    fields: dict[str, str]
    body: bytes
    began_at: float
    keeps_connection: bool = True
    is_http_1_0: bool = False


class RequestParser:
    """Parses the requests of one connection. ``on_expect`` is called if a client waits for 100 Continue before it sends
    the body."""

    def __init__(self, limits: Callable[[], ClientLimits], on_expect: Callable[[], None]) -> None:
        self._limits, self._on_expect = limits, on_expect
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._fields: dict[str, str] = {}
        self._body: list[bytes] = []
        self._body_bytes = self._head_bytes = self._fed_bytes = 0
        self._is_head_done = self._is_whole = False
        self._keeps_connection = False
        self._error: RequestError | None = None

    def feed(self, data: bytes, began_at: float) -> ClientRequest | None:
        """Parse bytes; return the request that they complete, if any. Raises RequestError, after which nothing more can
        be parsed.

        ``began_at``: when the request's first byte arrived, in seconds on the steady clock.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise Malformed("an upgrade") from None
        except httptools.HttpParserError as error:
            raise self._cause(error) from None
        if self._is_whole:
            return self._take(began_at)
        self._fed_bytes += len(data)
        if not self._is_head_done and self._fed_bytes > self._limits().header_bytes:
            raise HeadTooLarge  # the parser reports a field only once it has ended
        return None

    def _cause(self, error: httptools.HttpParserError) -> RequestError:
        found = error.__context__ if isinstance(error.__context__, RequestError) else None
        return found or self._error or Malformed(str(error))

    def _take(self, began_at: float) -> ClientRequest:
        is_http_1_0 = self._parser.get_http_version() == "1.0"
        request = ClientRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            self._fields,
            b"".join(self._body),
            began_at,
            self._keeps_connection and not is_http_1_0,
            is_http_1_0,
        )
        self._reset()
        return request

    # Callbacks of httptools. An error raised in one ends the parsing.

    def on_message_begin(self) -> None:
        """A request begins. Its bytes may not share a segment with those of another."""
        if self._is_whole:
            raise Malformed("a request in the bytes of another")

    def on_url(self, url: bytes) -> None:
        """Part of the request target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """One field of the head. Trailer fields behind a chunked body are counted and dropped."""
        self._count_head(len(name) + len(value) + FIELD_OVERHEAD_BYTES)
        if self._is_head_done:
            return
        text, key = value.decode("latin-1"), name.decode("latin-1")
        lower = key.lower()
        if lower in self._fields and lower in SINGLE_FIELDS:
            self._fail(Malformed(f"{lower} twice"))
        self._fields[lower] = text
        if lower not in UNFORWARDED:
            self._headers.append((key, text))

    def on_headers_complete(self) -> None:
        """The head is complete."""
        self._is_head_done = True
        fields = self._fields
        if "content-length" in fields and "transfer-encoding" in fields:
            self._fail(Malformed("two kinds of length"))
        length = fields.get("content-length", "0")
        if not length.isdigit():
            self._fail(Malformed("content-length"))
        if int(length) > self._limits().body_bytes:
            self._fail(BodyTooLarge())
        if fields.get("expect", "").lower() == "100-continue":
            self._on_expect()

    def on_body(self, body: bytes) -> None:
        """Part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._limits().body_bytes:
            self._fail(BodyTooLarge())

    def on_message_complete(self) -> None:
        """The request is complete."""
        self._is_whole = True
        self._keeps_connection = self._parser.should_keep_alive()  # the parser forgets it behind this callback

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits().header_bytes:
            self._fail(HeadTooLarge())

    def _fail(self, error: RequestError) -> None:
        self._error = error
        raise error
