"""Errors of a request, each with its code and the status that the client gets."""

from __future__ import annotations


class RequestError(Exception):
    """A request that ends with an answer of the proxy's own. The type sets ``status`` and ``code``."""

    status = 500
    code = "internal"

    def __init__(self, detail: str = "") -> None:
        super().__init__(f"{self.code}: {detail}" if detail else self.code)


class Malformed(RequestError):
    """The bytes are not a request that a usual client sends."""

    status, code = 400, "malformed"


class NoRoute(RequestError):
    """No route of the configuration in force matches."""

    status, code = 404, "no_route"


class TooSlow(RequestError):
    """The request did not arrive within the configured time."""

    status, code = 408, "too_slow"


class BodyTooLarge(RequestError):
    """The body exceeds the configured ``body_bytes``."""

    status, code = 413, "body_too_large"


class HeadTooLarge(RequestError):
    """The head exceeds the configured ``header_bytes``."""

    status, code = 431, "head_too_large"


class NotRun(RequestError):
    """The request was given up before it ran anywhere and will not run; the client may retry."""

    status, code = 503, "not_run"


class Unknown(RequestError):
    """The request may have run, and no complete answer arrived."""

    status, code = 502, "unknown"


class OutOfTime(RequestError):
    """The client's deadline or the route's time limit has passed; the request may have run."""

    status, code = 504, "out_of_time"
