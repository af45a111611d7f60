"""Calls of operators and backends: their table and handlers.

Only the primary handles calls about the configuration; other controllers redirect callers to it. Every controller
accepts heartbeats and leaves. A controller without contact with a majority neither confirms nor refuses what it cannot
know: it answers 503, and callers try the next controller.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, ParamSpec, Protocol, TypeVar
from urllib.parse import unquote

import msgspec

from cranebank.control import events
from cranebank.control.api_calls import Call, Request, Response, refusal
from cranebank.control.configuration import (
    SLOW_BYTES,
    Configuration,
    InvalidConfiguration,
    amend,
    check,
    digest_of,
    revision_of,
)
from cranebank.control.delivery import PendingAcks
from cranebank.control.registry import ENDING_PHASES, BadHeartbeat, Registry
from cranebank.transport.revision import MAX_REVISION_DIGITS, Revision, json_encoder

MAX_CONFIGURATION_BYTES = 9 << 20
MAX_HEARTBEAT_BYTES = 64 << 10
MAX_EVACUATION_BYTES = 1 << 10  # no body is needed, and one that is sent is ignored
WRITE_TIMEOUT_S = 4.0  # the consensus core answers earlier by itself
REVISION_ACK_TIMEOUT_S = 0.4  # how long a successful answer waits for the proxies
EVACUATION_ACK_TIMEOUT_S = 0.4  # how long the answer to an evacuation waits for the proxies
MAX_EVACUATED_ZONES = 256  # each lease request names all of them
ENDING_TIMEOUT_S = 0.6  # how long a drain or leave waits for a majority and the proxies; callers wait for one second
RETRY_AFTER_S = "0.2"

_RETRY = (("Retry-After", RETRY_AFTER_S),)
_OK = Response(200)
_encode_json = json_encoder().encode


Arguments = ParamSpec("Arguments")
Result = TypeVar("Result")


class Change(msgspec.Struct, frozen=True):
    """A call that changes the configuration.

    ``digest`` covers call, base and body, so a repeated call has the same; ``revision`` is the one that the body names,
    0 if it is unreadable.
    """

    call: str  # Replace or Amend
    base: int
    body: bytes
    digest: bytes
    revision: Revision


class ControlPlane(Protocol):
    """Functions of the control program that the call handlers use."""

    @property
    def registry(self) -> Registry:
        """The registry of backends."""

    def now(self) -> float:
        """Return the time of the monotonic clock."""

    def holds_lease(self) -> bool:
        """Return whether this controller is the primary and its lease has not expired."""

    def primary(self) -> str | None:
        """Return the IP of the primary, if it is another controller that was heard recently and is known to lead."""

    def control_port(self) -> int:
        """Return the port of all controllers."""

    def current(self) -> tuple[Revision, bytes, bytes] | None:
        """Return revision, document and digest of the committed configuration."""

    def known_call(self, digest: bytes) -> Revision | None:
        """Return the revision that this call put in force, if it is still in the call table."""

    def may_be_forgotten(self, revision: int) -> bool:
        """Return whether a call with this revision may have been applied and evicted from the call table."""

    async def write(self, base: int, revision: Revision, document: bytes, digest: bytes) -> events.Result:
        """Put a configuration in force; return the consensus core's result."""

    def await_revision(self, revision: int) -> PendingAcks:
        """Return the pending acknowledgements of a revision by the linked proxies."""

    def knows_zone(self, zone: str) -> bool:
        """Return whether the settings or a known backend name this zone, or it is evacuated."""

    def evacuated(self) -> tuple[str, ...]:
        """Return the evacuated zones of the newest known record."""

    async def evacuate(self, zone: str, is_start: bool) -> events.Result:
        """Start or finish the evacuation of a zone; return the consensus core's result."""

    def await_evacuations(self) -> PendingAcks:
        """Return the pending acknowledgements of the newest evacuations by the linked proxies."""

    def is_isolated(self) -> bool:
        """Return whether no controller or proxy has been heard for a while, so that no process learns of heartbeats."""

    def publish_registry(self, at_once: bool = True) -> None:
        """Send changes of the registry to proxies and controllers; unless ``at_once``, together with later changes."""

    async def confirm_ending(self, backend_id: str, seconds: float) -> bool:
        """Send to all processes that this backend is draining or gone.

        Returns whether a majority of the controllers has confirmed it in time; waits no longer than this for the linked
        proxies.
        """

    async def wait_for_acks(self, acks: PendingAcks, seconds: float) -> None:
        """Wait for these acknowledgements for at most this time."""

    def overview(self) -> dict[str, Any]:
        """Return the controller's state, for people."""


class OperatorApi:
    """Handlers of the calls."""

    def __init__(self, plane: ControlPlane) -> None:
        self._plane = plane

    def calls(self) -> tuple[Call, ...]:
        """Return all calls: method, path, largest body in bytes, handler."""
        return (
            Call("POST", "/api/Configuration.Replace", MAX_CONFIGURATION_BYTES, self.replace),
            Call("POST", "/api/Configuration.Amend", MAX_CONFIGURATION_BYTES, self.amend),
            Call("GET", "/api/Configuration.Read", 0, self.read),
            Call("POST", "/api/Evacuation.Start/{id}", MAX_EVACUATION_BYTES, self.start_evacuation),
            Call("POST", "/api/Evacuation.Finish/{id}", MAX_EVACUATION_BYTES, self.finish_evacuation),
            Call("POST", "/api/Servers.Heartbeat/{id}", MAX_HEARTBEAT_BYTES, self.heartbeat),
            Call("POST", "/api/Servers.Leave/{id}", MAX_HEARTBEAT_BYTES, self.leave),
            Call("GET", "/api/System.Status", 0, self.status),
        )

    async def replace(self, request: Request) -> Response:
        """Put a whole configuration in force."""
        return await self._change("Replace", request)

    async def amend(self, request: Request) -> Response:
        """Change named items of the configuration in force."""
        return await self._change("Amend", request)

    async def read(self, request: Request) -> Response:
        """Return the newest configuration."""
        current = self._plane.current()
        if not self._plane.holds_lease():
            return self._redirect(request)
        if current is None or not current[0]:
            return refusal(503, "no_configuration", headers=_RETRY)
        return Response(200, current[1])

    async def start_evacuation(self, request: Request) -> Response:
        """Start the evacuation of a zone: its backends receive no more requests."""
        if (
            self._plane.holds_lease()
            and len({*self._plane.evacuated(), unquote(request.argument)}) > MAX_EVACUATED_ZONES
        ):
            return refusal(503, "too_many_zones", "zone", f"at most {MAX_EVACUATED_ZONES} evacuated", headers=_RETRY)
        return await self._evacuate(request, True)

    async def finish_evacuation(self, request: Request) -> Response:
        """Finish the evacuation of a zone: its backends receive requests again."""
        return await self._evacuate(request, False)

    async def _evacuate(self, request: Request, is_start: bool) -> Response:
        if not self._plane.holds_lease():
            return self._redirect(request)
        zone = unquote(request.argument)
        if not self._plane.knows_zone(zone):
            return refusal(400, "unknown_zone", "zone", "a zone of the settings or of a backend")
        match await self._plane.evacuate(zone, is_start):
            case events.Accepted():
                await self._plane.wait_for_acks(self._plane.await_evacuations(), EVACUATION_ACK_TIMEOUT_S)
                return self._if_lease_held(request, _OK)
            case events.NotPrimary():
                return self._redirect(request)
            case events.Busy():
                return refusal(503, "busy", headers=_RETRY)
            case _:
                return refusal(504, "unknown")  # the change may still be chosen

    async def heartbeat(self, request: Request) -> Response:
        """Process a backend's heartbeat."""
        try:
            record = self._plane.registry.heartbeat(self._plane.now(), request.argument, request.body)
        except BadHeartbeat as error:
            return refusal(400, error.code, error.key, error.expected)
        if record.phase in ENDING_PHASES:
            return await self._confirm_ending(record.id)
        self._plane.publish_registry(at_once=False)
        if self._plane.is_isolated():  # the backend tries another controller, which may not be isolated
            return refusal(503, "isolated", headers=_RETRY)
        return _OK

    async def leave(self, request: Request) -> Response:
        """Process a backend's leave."""
        self._plane.registry.leave(self._plane.now(), request.argument)
        return await self._confirm_ending(request.argument)

    async def status(self, _request: Request) -> Response:
        """Return the controller's state, for people."""
        return Response(200, _encode_json(self._plane.overview()))

    async def _confirm_ending(self, backend_id: str) -> Response:
        if await self._plane.confirm_ending(backend_id, ENDING_TIMEOUT_S):
            return _OK
        return refusal(503, "no_majority", headers=_RETRY)

    def _redirect(self, request: Request) -> Response:
        primary = self._plane.primary()
        if primary is None:
            return refusal(503, "no_primary", headers=_RETRY)
        location = f"http://{primary}:{self._plane.control_port()}{request.path}"
        return refusal(307, "not_primary", headers=(("Location", location),))

    async def _change(self, call: str, request: Request) -> Response:
        if not self._plane.holds_lease():
            return self._redirect(request)
        base = _base_of(request)
        if base is None:
            return refusal(400, "base", "X-Base-Version", f"a revision, of at most {MAX_REVISION_DIGITS} digits")
        change = await _in_thread_if(len(request.body) > SLOW_BYTES, _identify, call, base, request.body)
        in_force = self._plane.known_call(change.digest)
        if in_force is not None:
            return await self._answer_in_force(request, in_force)
        return await self._apply_change(request, change)

    async def _apply_change(self, request: Request, change: Change) -> Response:
        """Validate a change that is not known to be in force against the committed configuration, and commit it."""
        current = self._plane.current()
        if current is None:  # a new primary does not know yet whether its newest value is committed
            return refusal(503, "settling", headers=_RETRY)
        revision, document = current[0], current[1]
        if change.base != revision:
            return self._conflict(request, change.revision, revision)
        read_bytes = len(change.body) + (len(document) if change.call == "Amend" else 0)
        try:
            found = await _in_thread_if(read_bytes > SLOW_BYTES, _resulting_configuration, change, document)
        except InvalidConfiguration as error:
            return self._if_lease_held(request, refusal(400, error.code, error.key, error.expected))
        return await self._commit(request, change, found)

    async def _commit(self, request: Request, change: Change, found: Configuration) -> Response:
        """Put the configuration that results from a valid change in force."""
        match await self._plane.write(change.base, found.revision, found.document, change.digest):
            case events.Accepted():
                return await self._answer_in_force(request, found.revision)
            case events.Conflict(current=newest):
                in_force = self._plane.known_call(change.digest)
                if in_force is not None:
                    return await self._answer_in_force(request, in_force)
                return self._conflict(request, found.revision, newest)
            case events.NotPrimary():
                return self._redirect(request)
            case _:
                return refusal(503, "busy", headers=_RETRY)

    def _if_lease_held(self, request: Request, response: Response) -> Response:
        """Check the lease again: an answer that depends on the current configuration is given only under it."""
        return response if self._plane.holds_lease() else self._redirect(request)

    def _conflict(self, request: Request, revision: int, current: int) -> Response:
        """Answer a change on an outdated base. A call that may have been applied earlier is not refused."""
        if revision > 0 and self._plane.may_be_forgotten(revision):
            return refusal(503, "unclear", headers=_RETRY)
        return self._if_lease_held(request, refusal(412, "base", "X-Base-Version", str(current)))

    async def _answer_in_force(self, request: Request, revision: int) -> Response:
        if not self._plane.holds_lease():
            return self._redirect(request)
        await self._plane.wait_for_acks(self._plane.await_revision(revision), REVISION_ACK_TIMEOUT_S)
        return self._if_lease_held(request, _OK)


def _base_of(request: Request) -> int | None:
    text = request.headers.get(b"x-base-version", b"")
    return int(text) if text.isdigit() and len(text) <= MAX_REVISION_DIGITS else None


async def _in_thread_if(
    is_slow: bool, work: Callable[Arguments, Result], *args: Arguments.args, **kwargs: Arguments.kwargs
) -> Result:
    """Run the work in a thread if it is slow, so that it does not block the event loop."""
    if is_slow:
        return await asyncio.to_thread(work, *args, **kwargs)
    return work(*args, **kwargs)


def _identify(call: str, base: int, body: bytes) -> Change:
    return Change(call, base, body, digest_of(call, base, body), revision_of(body))


def _resulting_configuration(change: Change, document: bytes) -> Configuration:
    if change.call == "Replace":
        return check(change.body, change.base)
    if not document:
        raise InvalidConfiguration("base", "", "a configuration to amend")
    return amend(document, change.body)
