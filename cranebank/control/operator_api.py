"""The calls of operators and backends: one table, and what each call does.

Calls about the configuration are for the primary; others send callers on to it. Heartbeats and leaves are taken by
every controller.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any, Protocol

import msgspec

from cranebank.control import events
from cranebank.control.configuration import (
    SLOW_BYTES,
    Configuration,
    InvalidConfiguration,
    amend,
    check,
    digest_of,
    revision_of,
)
from cranebank.control.delivery import Mark
from cranebank.control.registry import BadHeartbeat, Registry
from cranebank.control.web import Call, Request, Response, refusal

CONFIGURATION_BYTES = 9 << 20
BEAT_BYTES = 64 << 10
WRITE_S = 4.0  # the custody answers by itself before
FORCE_S = 0.4  # how long a 200 waits for the proxies
DRAIN_S = 0.6  # how long the acknowledgement of a drain or an end does
RETRY_S = "0.2"

_RETRY = (("Retry-After", RETRY_S),)
_DONE = Response(200)


class Plane(Protocol):
    """What the calls need of the program."""

    registry: Registry

    def now(self) -> float:
        """The steady clock."""

    def holds(self) -> bool:
        """Whether this is the primary, by a lease that still runs."""

    def primary(self) -> str | None:
        """IP of the primary, if it is another controller within reach."""

    def control_port(self) -> int:
        """The port of all controllers."""

    def current(self) -> tuple[int, bytes, bytes] | None:
        """The committed configuration: revision, document, digest."""

    def taken(self) -> Mapping[int, bytes]:
        """Digests of the configurations lately committed, by revision."""

    async def write(self, base: int, revision: int, document: bytes, digest: bytes) -> events.Result:
        """Put a configuration in force; the custody's result."""

    def await_revision(self, revision: int) -> Mark:
        """The mark of the linked proxies' having a revision in force."""

    def spread(self, at_once: bool = True) -> None:
        """Tell all what is news in the registry; unless ``at_once``, together with what comes next."""

    def ending(self, backend_id: str) -> Mark | None:
        """The mark of the linked proxies' knowing that this backend drains or is gone, while it is open."""

    async def reached(self, mark: Mark, seconds: float) -> None:
        """Wait for a mark, no longer than this."""

    def overview(self) -> dict[str, Any]:
        """The state, for people."""


class OperatorApi:
    """What the calls do."""

    def __init__(self, plane: Plane) -> None:
        self._plane = plane

    def calls(self) -> tuple[Call, ...]:
        """All calls: method, path, most bytes of a body, handler."""
        return (
            Call("POST", "/api/Configuration.Replace", CONFIGURATION_BYTES, self.replace),
            Call("POST", "/api/Configuration.Amend", CONFIGURATION_BYTES, self.amend),
            Call("GET", "/api/Configuration.Read", 0, self.read),
            Call("POST", "/api/Servers.Heartbeat/{id}", BEAT_BYTES, self.heartbeat),
            Call("POST", "/api/Servers.Leave/{id}", BEAT_BYTES, self.leave),
            Call("GET", "/api/System.Status", 0, self.status),
        )

    async def replace(self, request: Request) -> Response:
        """Put a whole configuration in force."""
        return await self._change("Replace", request)

    async def amend(self, request: Request) -> Response:
        """Change named items of the configuration in force."""
        return await self._change("Amend", request)

    async def read(self, request: Request) -> Response:
        """The newest configuration."""
        current = self._plane.current()
        if not self._plane.holds():
            return self._elsewhere(request)
        if current is None or not current[0]:
            return refusal(503, "no_configuration", headers=_RETRY)
        return Response(200, current[1])

    async def heartbeat(self, request: Request) -> Response:
        """A backend says how it is."""
        try:
            record = self._plane.registry.heartbeat(self._plane.now(), request.argument, request.body)
        except BadHeartbeat as error:
            return refusal(400, error.code, error.key, error.expected)
        self._plane.spread(at_once=record.phase != "ready")
        if record.phase != "ready":
            await self._ended(record.id)
        return _DONE

    async def leave(self, request: Request) -> Response:
        """A backend ends."""
        if self._plane.registry.leave(self._plane.now(), request.argument) is not None:
            self._plane.spread()
            await self._ended(request.argument)
        return _DONE

    async def status(self, _request: Request) -> Response:
        """The state, for people."""
        return Response(200, msgspec.json.encode(self._plane.overview()))

    async def _ended(self, backend_id: str) -> None:
        mark = self._plane.ending(backend_id)
        if mark is not None:
            await self._plane.reached(mark, DRAIN_S)

    def _elsewhere(self, request: Request) -> Response:
        primary = self._plane.primary()
        if primary is None:
            return refusal(503, "no_primary", headers=_RETRY)
        place = f"http://{primary}:{self._plane.control_port()}{request.path}"
        return refusal(307, "not_primary", headers=(("Location", place),))

    async def _change(self, call: str, request: Request) -> Response:
        if not self._plane.holds():
            return self._elsewhere(request)
        base_text = request.headers.get(b"x-base-version", b"")
        if not base_text.isdigit() or len(base_text) > 18:
            return refusal(400, "base", "X-Base-Version", "a revision")
        base, body = int(base_text), request.body
        if len(body) > SLOW_BYTES:
            digest, revision = await asyncio.to_thread(_known_by, call, base, body)
        else:
            digest, revision = _known_by(call, base, body)
        if self._was_taken(revision, digest):
            return await self._in_force(request, revision)
        current = self._plane.current()
        if current is None:  # it has just taken over: what is current here isn't known to be committed yet
            return refusal(503, "settling", headers=_RETRY)
        at, document = current[0], current[1]
        if base != at:
            if not self._plane.holds():
                return self._elsewhere(request)
            return refusal(412, "base", "X-Base-Version", str(at))
        try:
            if len(body) + (len(document) if call == "Amend" else 0) > SLOW_BYTES:
                found = await asyncio.to_thread(_resulting, call, body, document, at)
            else:
                found = _resulting(call, body, document, at)
        except InvalidConfiguration as error:
            return refusal(400, error.code, error.key, error.expected)
        match await self._plane.write(base, found.revision, found.document, digest):
            case events.Accepted():
                return await self._in_force(request, found.revision)
            case events.Conflict(current=revision):
                if self._was_taken(found.revision, digest):
                    return await self._in_force(request, found.revision)
                return refusal(412, "base", "X-Base-Version", str(revision))
            case events.NotPrimary():
                return self._elsewhere(request)
            case _:
                return refusal(503, "busy", headers=_RETRY)

    def _was_taken(self, revision: int, digest: bytes) -> bool:
        """Whether this very call was committed before: then it is acknowledged again."""
        current = self._plane.current()
        if current is not None and current[0] == revision and current[2] == digest:
            return True
        return self._plane.taken().get(revision) == digest

    async def _in_force(self, request: Request, revision: int) -> Response:
        if not self._plane.holds():
            return self._elsewhere(request)
        await self._plane.reached(self._plane.await_revision(revision), FORCE_S)
        return _DONE


def _known_by(call: str, base: int, body: bytes) -> tuple[bytes, int]:
    return digest_of(call, base, body), revision_of(body)


def _resulting(call: str, body: bytes, document: bytes, at: int) -> Configuration:
    if call == "Replace":
        return check(body, at)
    if not document:
        raise InvalidConfiguration("base", "", "a configuration to amend")
    return amend(document, body)
