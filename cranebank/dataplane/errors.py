"""What can go wrong with a request, as types with codes; each names the status that the client gets."""

from __future__ import annotations


class RequestError(Exception):
    """A request that ends with an answer of our own. ``status`` and ``code`` are fixed by the type."""

    status = 500
    code = "internal"

    def __init__(self, detail: str = "") -> None:
        super().__init__(f"{self.code}: {detail}" if detail else self.code)


class Malformed(RequestError):
    """Bytes that are no request that any usual client sends."""

    status, code = 400, "malformed"


class NoRoute(RequestError):
    """No route of the configuration in force matches."""

    status, code = 404, "no_route"


class TooSlow(RequestError):
    """The request was not in within the configuration's time."""

    status, code = 408, "too_slow"


class BodyTooLarge(RequestError):
    """More than the configuration's ``body_bytes``."""

    status, code = 413, "body_too_large"


class HeadTooLarge(RequestError):
    """More than the configuration's ``header_bytes``."""

    status, code = 431, "head_too_large"


class NotRun(RequestError):
    """Given up on before it ran anywhere, and it never will: the client may come back."""

    status, code = 503, "not_run"


class Unknown(RequestError):
    """It may have run, and no whole answer came."""

    status, code = 502, "unknown"


class OutOfTime(RequestError):
    """The client's deadline or the route's time is over; it may have run."""

    status, code = 504, "out_of_time"
