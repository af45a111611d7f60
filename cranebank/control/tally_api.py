"""The calls of applications on tallies. Every controller takes them, also one without a majority.

429 and 503 promise that nothing was done. An add that isn't known to be durable in time is answered by 504: it may
count, and the caller sends it again with the same id, to whichever controller.
"""

from __future__ import annotations

import re
from typing import Annotated, Protocol

import msgspec

from cranebank.control.api_calls import Call, Request, Response, refusal
from cranebank.control.tallies.replica import LimitReached

BODY_BYTES = 4 << 10
MOST_AMOUNT = 2**53
MOST_ID = 64
RETRY_S = "0.2"

_RETRY = (("Retry-After", RETRY_S),)
_INVALID_FIELD = re.compile(r"(?P<expected>.*) - at `\$\.(?P<key>.*)`")
_MISSING_FIELD = re.compile(r"Object missing required field `(?P<key>[^`]*)`")


class AmendBody(msgspec.Struct, frozen=True):
    """The body of an add."""

    id: Annotated[str, msgspec.Meta(min_length=1, max_length=MOST_ID)]
    actor: Annotated[int, msgspec.Meta(gt=-MOST_AMOUNT, lt=MOST_AMOUNT)]  # the amount


class TallyPlane(Protocol):
    """What the calls need of the program."""

    async def amend(self, tally: str, call_id: str, amount: int) -> bool | LimitReached:
        """Add once by this id; whether that is durable in time, or the bound because of which nothing was done."""

    def total(self, tally: str) -> int | None:
        """The sum of a tally; None where it can't be told yet."""


class TallyApi:
    """What the calls do."""

    def __init__(self, plane: TallyPlane) -> None:
        self._plane = plane

    def calls(self) -> tuple[Call, ...]:
        """All calls: method, path, most bytes of a body, handler."""
        return (
            Call("POST", "/api/Tallies.Amend/{id}", BODY_BYTES, self.amend),
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
        """The total of a tally."""
        total = self._plane.total(request.argument)
        if total is None:
            return refusal(503, "starting", headers=_RETRY)
        return Response(200, msgspec.json.encode({"total": total}))


def _invalid(text: str) -> Response:
    """The refusal of a body, which names the key and what was expected there."""
    if invalid := _INVALID_FIELD.fullmatch(text):
        return refusal(400, "invalid", invalid["key"], invalid["expected"])
    if missing := _MISSING_FIELD.match(text):
        return refusal(400, "invalid", missing["key"], "a value, it is missing")
    return refusal(400, "unreadable", "", f"a JSON object: {text}")
