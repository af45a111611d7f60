"""Calls of applications on tallies. Every controller accepts them, even without a majority.

429 and 503 guarantee that nothing was done. An add that is not known to be durable in time is answered by 504: it may
count, and the caller repeats it with the same id, at any controller.
"""

from __future__ import annotations

import re
from typing import Annotated, Protocol

import msgspec

from cranebank.control.api_calls import Call, Request, Response, refusal
from cranebank.control.tallies.replica import LimitReached

MAX_BODY_BYTES = 4 << 10
MAX_AMOUNT = 2**53
MAX_ID_LENGTH = 64
RETRY_AFTER_S = "0.2"

_RETRY = (("Retry-After", RETRY_AFTER_S),)
_INVALID_FIELD = re.compile(r"(?P<expected>.*) - at `\$\.(?P<key>.*)`")
_MISSING_FIELD = re.compile(r"Object missing required field `(?P<key>[^`]*)`")


class AmendBody(msgspec.Struct, frozen=True):
    """The body of an add."""

    id: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_ID_LENGTH)]
    actor: Annotated[int, msgspec.Meta(gt=-MAX_AMOUNT, lt=MAX_AMOUNT)]  # the amount


class TallyPlane(Protocol):
    """Functions of the control program that the call handlers use."""

    async def amend(self, tally: str, call_id: str, amount: int) -> bool | LimitReached:
        """Add an amount once per call id; return whether it is durable in time, or the bound that refused it."""

    def total(self, tally: str) -> int | None:
        """Return the sum of a tally, None if it is not known yet."""


class TallyApi:
    """Handlers of the calls."""

    def __init__(self, plane: TallyPlane) -> None:
        self._plane = plane

    def calls(self) -> tuple[Call, ...]:
        """Return all calls: method, path, largest body in bytes, handler."""
        return (
            Call("POST", "/api/Tallies.Amend/{id}", MAX_BODY_BYTES, self.amend),
            Call("GET", "/api/Tallies.Read/{id}", 0, self.read),
        )

    async def amend(self, request: Request) -> Response:
        """Add to a tally."""
        try:
            body = msgspec.json.decode(request.body, type=AmendBody)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return _invalid(str(error))
        match await self._plane.amend(request.argument, body.id, body.actor):
            case LimitReached(bound, most):
                return refusal(429, "bound", bound, f"{most} at most", headers=_RETRY)
            case True:
                return Response(200)
            case _:
                return refusal(504, "unclear", "id", "the same call again")

    async def read(self, request: Request) -> Response:
        """Return the total of a tally."""
        total = self._plane.total(request.argument)
        if total is None:
            return refusal(503, "starting", headers=_RETRY)
        return Response(200, msgspec.json.encode({"total": total}))


def _invalid(text: str) -> Response:
    """Return the refusal of a body, which names the key and the expected value."""
    if invalid := _INVALID_FIELD.fullmatch(text):
        return refusal(400, "invalid", invalid["key"], invalid["expected"])
    if missing := _MISSING_FIELD.match(text):
        return refusal(400, "invalid", missing["key"], "a value, it is missing")
    return refusal(400, "unreadable", "", f"a JSON object: {text}")
