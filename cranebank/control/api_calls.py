"""Table of the calls of an HTTP API: typed requests and responses, refusals, and the lookup of handlers."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable, Iterable

import msgspec

ARGUMENT = "{id}"  # placeholder for the call's argument at the end of a path
_ARGUMENT_TEXT = re.compile(r"[^/]{1,200}")


class Request(msgspec.Struct):
    """A completely received call. ``argument`` is the part of the path that matched ``{id}``."""

    method: str
    path: str
    argument: str
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes


class Response(msgspec.Struct, frozen=True):
    """An answer; its body is JSON unless ``content_type`` names another type."""

    status: int
    body: bytes = b"{}"
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"


class Fault(msgspec.Struct, frozen=True):
    """The body of an unsuccessful answer."""

    code: str
    key: str = ""
    expected: str = ""


Handler = Callable[[Request], Awaitable[Response]]


class Call(msgspec.Struct, frozen=True):
    """A row of the call table."""

    method: str
    path: str  # may end with {id}
    body_bytes: int
    handler: Handler


def refusal(
    status: int, code: str, key: str = "", expected: str = "", *, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Return an unsuccessful answer with a Fault as its body."""
    return Response(status, msgspec.json.encode(Fault(code, key, expected)), headers)


class ApiTable:
    """Calls by path and method."""

    def __init__(self, calls: Iterable[Call]) -> None:
        self._fixed: dict[str, dict[str, Call]] = {}
        self._with_argument: list[tuple[str, dict[str, Call]]] = []
        for call in calls:
            if call.path.endswith(ARGUMENT):
                prefix = call.path.removesuffix(ARGUMENT)
                methods = next((found for known, found in self._with_argument if known == prefix), None)
                if methods is None:
                    methods = {}
                    self._with_argument.append((prefix, methods))
                methods[call.method] = call
            else:
                self._fixed.setdefault(call.path, {})[call.method] = call

    def find(self, method: str, path: str) -> tuple[Call, str] | Response:
        """Return the call and its argument, or a refusal if there is no such call."""
        argument = ""
        methods = self._fixed.get(path)
        if methods is None:
            for prefix, known in self._with_argument:
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
