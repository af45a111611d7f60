"""The calls of an HTTP API as a table: typed requests and responses, refusals, and which handler takes which call."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable, Iterable

import msgspec

ARGUMENT = "{id}"  # what a path may end with: it stands for the call's argument
_ARGUMENT_TEXT = re.compile(r"[^/]{1,200}")


class Request(msgspec.Struct):
    """A call, read in full. ``argument`` is what stood for ``{id}`` in the path."""

    method: str
    path: str
    argument: str
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes


class Response(msgspec.Struct, frozen=True):
    """An answer; its body is JSON unless said otherwise."""

    status: int
    body: bytes = b"{}"
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"


class Fault(msgspec.Struct, frozen=True):
    """The body of an answer that isn't a success."""

    code: str
    key: str = ""
    expected: str = ""


Handler = Callable[[Request], Awaitable[Response]]


class Call(msgspec.Struct, frozen=True):
    """A row of the table of calls."""

    method: str
    path: str  # may end with {id}
    body_bytes: int
    handler: Handler


def refusal(
    status: int, code: str, key: str = "", expected: str = "", *, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """An answer that says what was wrong."""
    return Response(status, msgspec.json.encode(Fault(code, key, expected)), headers)


class ApiTable:
    """The calls, by path and method."""

    def __init__(self, calls: Iterable[Call]) -> None:
        self._fixed: dict[str, dict[str, Call]] = {}
        self._open: list[tuple[str, dict[str, Call]]] = []
        for call in calls:
            if call.path.endswith(ARGUMENT):
                prefix = call.path.removesuffix(ARGUMENT)
                methods = next((found for known, found in self._open if known == prefix), None)
                if methods is None:
                    methods = {}
                    self._open.append((prefix, methods))
                methods[call.method] = call
            else:
                self._fixed.setdefault(call.path, {})[call.method] = call

    def find(self, method: str, path: str) -> tuple[Call, str] | Response:
        """The call and its argument, or the refusal."""
        argument = ""
        methods = self._fixed.get(path)
        if methods is None:
            for prefix, known in self._open:
                argument = path[len(prefix) :]
                if path.startswith(prefix) and _ARGUMENT_TEXT.fullmatch(argument):
                    methods = known
                    break
            else:
                return refusal(404, "unknown_call", "path", "a call of this API")
        call = methods.get(method)
        if call is None:
            allowed = ", ".join(methods)
            return refusal(405, "method", "method", allowed, headers=(("Allow", allowed),))
        return call, argument
