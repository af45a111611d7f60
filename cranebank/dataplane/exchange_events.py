"""The events that an exchange handles, and the actions that it returns. A *leg* is one call to one backend."""

from __future__ import annotations

from enum import Enum

import msgspec

from cranebank.dataplane.errors import RequestError
from cranebank.dataplane.evidence import SendEvidence
from cranebank.transport.messages import Backend

BROKEN_OFF_PREFIX = "broken_off_"  # of the counters of answers that were broken off, by reason


class Begin(msgspec.Struct, frozen=True):
    """The request has arrived completely."""


class LegHead(msgspec.Struct, frozen=True):
    """The head of a leg's answer has arrived; header names are in lower case."""

    leg: int
    status: int
    headers: dict[str, str]


class LegData(msgspec.Struct, frozen=True):
    """Part of the body of a leg's answer has arrived."""

    leg: int
    data: bytes


class LegEnd(msgspec.Struct, frozen=True):
    """A leg's answer is complete. ``by_close``: it has no length, and ended as the backend closed the connection, which
    looks the same if the backend has crashed."""

    leg: int
    by_close: bool = False


class LegFailed(msgspec.Struct, frozen=True):
    """A leg will get no complete answer. ``evidence`` states whether the backend may have received the request."""

    leg: int
    evidence: SendEvidence


class Wake(msgspec.Struct, frozen=True):
    """The time set by WakeAt has come."""


class ClientGone(msgspec.Struct, frozen=True):
    """The client has disconnected."""


class ClientPace(msgspec.Struct, frozen=True):
    """The client's write buffer is full, as it reads slowly, or has room again. While it is full, nothing is read from
    the backend of a stream."""

    is_slow: bool


Event = Begin | LegHead | LegData | LegEnd | LegFailed | Wake | ClientGone | ClientPace


class Call(msgspec.Struct, frozen=True):
    """Send the request to a backend, with these additional headers."""

    leg: int
    backend: Backend
    headers: tuple[tuple[str, str], ...]
    permitted_until: float = 0.0  # until when a call to a cold backend may be written


class Abort(msgspec.Struct, frozen=True):
    """Abort a leg and drop whatever still arrives for it."""

    leg: int


class Head(msgspec.Struct, frozen=True):
    """Begin the answer with a backend's status and headers."""

    status: int
    headers: dict[str, str]


class Data(msgspec.Struct, frozen=True):
    """Pass on part of the body."""

    data: bytes


class Finish(msgspec.Struct, frozen=True):
    """The answer is complete."""


class BreakReason(Enum):
    """Why an answer that has begun is broken off."""

    OUT_OF_TIME = "out_of_time"  # the client's deadline or the route's timeout has passed
    NO_ATTEMPT_LEFT = "no_attempt_left"  # the last attempt has ended, and no other one may or can continue
    EVENT_TOO_LONG = "event_too_long"


class Break(msgspec.Struct, frozen=True):
    """Close the client's connection in such a way that the answer does not look complete."""

    reason: BreakReason


class Reply(msgspec.Struct, frozen=True):
    """Send an answer of the proxy's own."""

    error: RequestError
    retry_after_s: float | None = None


class Free(msgspec.Struct, frozen=True):
    """Free the KV cache of a prefill that no decode backend will fetch."""

    backend: Backend
    handle: str


class WakeAt(msgspec.Struct, frozen=True):
    """Send a Wake event at this time at the latest; replaces an earlier one."""

    at: float


Action = Call | Abort | Head | Data | Finish | Break | Reply | Free | WakeAt
