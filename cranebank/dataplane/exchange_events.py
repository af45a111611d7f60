"""What an exchange is told, and what it has its asyncio end do. A *leg* is one call to one backend."""

from __future__ import annotations

import msgspec

from cranebank.dataplane.errors import RequestError
from cranebank.dataplane.evidence import SendEvidence
from cranebank.transport.messages import Backend


class Begin(msgspec.Struct, frozen=True):
    """The whole request is in."""


class LegHead(msgspec.Struct, frozen=True):
    """The head of a leg's answer; names in lower case."""

    leg: int
    status: int
    headers: dict[str, str]


class LegData(msgspec.Struct, frozen=True):
    """Part of its body."""

    leg: int
    data: bytes


class LegEnd(msgspec.Struct, frozen=True):
    """The answer is whole."""

    leg: int


class LegFailed(msgspec.Struct, frozen=True):
    """No whole answer comes any more. ``evidence`` tells whether the backend may have got the request."""

    leg: int
    evidence: SendEvidence


class Wake(msgspec.Struct, frozen=True):
    """The time asked for by WakeAt."""


class ClientGone(msgspec.Struct, frozen=True):
    """Nobody waits for the answer any more."""


Event = Begin | LegHead | LegData | LegEnd | LegFailed | Wake | ClientGone


class Call(msgspec.Struct, frozen=True):
    """Send the request to a backend, with these headers besides."""

    leg: int
    backend: Backend
    headers: tuple[tuple[str, str], ...]
    permitted_until: float = 0.0  # when a call to a cold backend must have been written


class Abort(msgspec.Struct, frozen=True):
    """Break a leg off; nothing of it is wanted any more."""

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


class Break(msgspec.Struct, frozen=True):
    """End the client's connection so that the answer doesn't look complete."""


class Reply(msgspec.Struct, frozen=True):
    """An answer of our own."""

    error: RequestError
    retry_after_s: float | None = None


class Free(msgspec.Struct, frozen=True):
    """Free the memory of a reading that nobody will take."""

    backend: Backend
    handle: str


class WakeAt(msgspec.Struct, frozen=True):
    """Wake me at this time at the latest; replaces an earlier one."""

    at: float


Action = Call | Abort | Head | Data | Finish | Break | Reply | Free | WakeAt
