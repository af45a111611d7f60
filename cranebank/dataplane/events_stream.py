"""Splits a stream of events (text/event-stream) into whole events, so that only whole ones are passed on."""

from __future__ import annotations

MAX_EVENT_BYTES = 1 << 20  # of one unfinished event; an engine's events have some hundred bytes


EVENT_STREAM_TYPE = "text/event-stream"
_BOUNDARY_BYTES = 4  # of the longest end of an event: two line ends of two bytes each


class EventBoundary:
    """Tells whether the bytes of a stream so far end with a whole event."""

    __slots__ = ("_end",)

    def __init__(self) -> None:
        self._end = b""

    def feed(self, data: bytes) -> None:
        """Add bytes of the stream."""
        if len(data) < _BOUNDARY_BYTES:
            data = self._end + data
        self._end = data[-_BOUNDARY_BYTES:]

    @property
    def is_empty(self) -> bool:
        """Whether no byte has been added."""
        return not self._end

    @property
    def is_reached(self) -> bool:
        """Whether the bytes end with the blank line that ends an event."""
        return self._end.replace(b"\r\n", b"\n").replace(b"\r", b"\n").endswith(b"\n\n")


class EventTooLong(Exception):
    """An event exceeds the limit. ``code`` is 'event_too_long'."""

    code = "event_too_long"


class EventSplitter:
    """Takes bytes and returns whole events. ``last_id`` is the id of the last whole event, or where to begin before the
    first."""

    def __init__(self, last_id: str | None = None) -> None:
        self._rest = b""
        self.last_id = last_id

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that these bytes complete, unchanged. Raises EventTooLong."""
        held = self._rest + data
        end = max(_end_of_last(b"\n\n", held), _end_of_last(b"\r\n\r\n", held))
        whole, self._rest = held[:end], held[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLong
        at = whole.rfind(b"id:")
        while at > 0 and whole[at - 1 : at] != b"\n":
            at = whole.rfind(b"id:", 0, at)
        if at >= 0:
            line = whole[at + 3 :].split(b"\n", 1)[0]
            self.last_id = line.strip().decode("latin-1")
        return whole

    def take_rest(self) -> bytes:
        """Return the unfinished rest at the stream's own end."""
        rest, self._rest = self._rest, b""
        return rest

    def drop_rest(self) -> None:
        """Drop an unfinished event: its attempt has broken off, and the next one sends it whole."""
        self._rest = b""


def _end_of_last(part: bytes, data: bytes) -> int:
    """Return the offset behind the last occurrence of a part; 0 if there is none."""
    at = data.rfind(part)
    return 0 if at < 0 else at + len(part)
