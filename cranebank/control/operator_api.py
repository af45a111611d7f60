"""The calls of operators and backends: one table, and what each call does.

Calls about the configuration are for the primary; others send callers on to it. Heartbeats and leaves are taken by
every controller. A controller out of contact with a majority confirms nothing and refuses nothing that it can't know:
it answers 503, and callers go on to the next one.
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

CONFIGURATION_BYTES = 9 << 20
BEAT_BYTES = 64 << 10
EVACUATION_BYTES = 1 << 10  # none is asked for; what comes is not looked at
REVISION_DIGITS = 18
WRITE_TIMEOUT_S = 4.0  # the custody answers by itself before
REVISION_ACK_TIMEOUT_S = 0.4  # how long a 200 waits for the proxies
EVACUATION_ACK_S = 0.4  # how long the answer to an evacuation waits for the proxies
MOST_EVACUATED = 256  # zones: each message that asks for the lease names them
ENDING_TIMEOUT_S = 0.6  # how long a drain or a leave waits for a majority and the proxies: callers wait for one second
RETRY_S = "0.2"

_RETRY = (("Retry-After", RETRY_S),)
_OK = Response(200)


Arguments = ParamSpec("Arguments")
Result = TypeVar("Result")


class Change(msgspec.Struct, frozen=True):
    """A call that changes the configuration. ``digest`` is that of call, base and body: the call sent again has the
    same; ``revision`` is the one that it names, 0 where it can't be read."""

    call: str  # Replace or Amend
    base: int
    body: bytes
    digest: bytes
    revision: int


class ControlPlane(Protocol):
    """What the calls need of the program."""

    @property
    def registry(self) -> Registry:
        """Which backends there are."""

    def now(self) -> float:
        """The steady clock."""

    def holds_lease(self) -> bool:
        """Whether this is the primary, by a lease that still runs."""

    def primary(self) -> str | None:
        """IP of the primary, if it is another controller that was heard lately and is known to lead."""

    def control_port(self) -> int:
        """The port of all controllers."""

    def current(self) -> tuple[int, bytes, bytes] | None:
        """The committed configuration: revision, document, digest."""

    def known_call(self, digest: bytes) -> int | None:
        """The revision that this call put in force, if that is still known."""

    def may_be_forgotten(self, revision: int) -> bool:
        """Whether a call of this revision may have been put in force and no longer be known."""

    async def write(self, base: int, revision: int, document: bytes, digest: bytes) -> events.Result:
        """Put a configuration in force; the custody's result."""

    def await_revision(self, revision: int) -> PendingAcks:
        """Acknowledgements of the linked proxies' having a revision in force."""

    def knows_zone(self, zone: str) -> bool:
        """Whether the settings or a known backend name this zone, or it is evacuated."""

    def evacuated(self) -> tuple[str, ...]:
        """The zones that the newest record known here names as evacuated."""

    async def evacuate(self, zone: str, is_start: bool) -> events.Result:
        """Evacuate a zone, or take it back; the consensus core's result."""

    def await_evacuations(self) -> PendingAcks:
        """Acknowledgements of the linked proxies' having the newest evacuations in force."""

    def is_isolated(self) -> bool:
        """Whether neither another controller nor a proxy has been heard for a while: nobody hears what is taken."""

    def publish_registry(self, at_once: bool = True) -> None:
        """Tell all what is news in the registry; unless ``at_once``, together with what comes next."""

    async def confirm_ending(self, backend_id: str, seconds: float) -> bool:
        """Tell all that this backend drains or is gone. Whether a majority of the controllers has confirmed it in
        time; the linked proxies are waited for no longer than this."""

    async def wait_for_acks(self, acks: PendingAcks, seconds: float) -> None:
        """Wait for these acknowledgements, no longer than this."""

    def overview(self) -> dict[str, Any]:
        """The state, for people."""


class OperatorApi:
    """What the calls do."""

    def __init__(self, plane: ControlPlane) -> None:
        self._plane = plane

    def calls(self) -> tuple[Call, ...]:
        """All calls: method, path, most bytes of a body, handler."""
        return (
            Call("POST", "/api/Configuration.Replace", CONFIGURATION_BYTES, self.replace),
            Call("POST", "/api/Configuration.Amend", CONFIGURATION_BYTES, self.amend),
            Call("GET", "/api/Configuration.Read", 0, self.read),
            Call("POST", "/api/Evacuation.Start/{id}", EVACUATION_BYTES, self.start_evacuation),
            Call("POST", "/api/Evacuation.Finish/{id}", EVACUATION_BYTES, self.finish_evacuation),
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
        if not self._plane.holds_lease():
            return self._redirect(request)
        if current is None or not current[0]:
            return refusal(503, "no_configuration", headers=_RETRY)
        return Response(200, current[1])

    async def start_evacuation(self, request: Request) -> Response:
        """Nothing more is to be sent to the backends of a zone."""
        if self._plane.holds_lease() and len({*self._plane.evacuated(), unquote(request.argument)}) > MOST_EVACUATED:
            return refusal(503, "too_many_zones", "zone", f"at most {MOST_EVACUATED} evacuated", headers=_RETRY)
        return await self._evacuate(request, True)

    async def finish_evacuation(self, request: Request) -> Response:
        """The backends of a zone are taken back."""
        return await self._evacuate(request, False)

    async def _evacuate(self, request: Request, is_start: bool) -> Response:
        if not self._plane.holds_lease():
            return self._redirect(request)
        zone = unquote(request.argument)
        if not self._plane.knows_zone(zone):
            return refusal(400, "unknown_zone", "zone", "a zone of the settings or of a backend")
        match await self._plane.evacuate(zone, is_start):
            case events.Accepted():
                await self._plane.wait_for_acks(self._plane.await_evacuations(), EVACUATION_ACK_S)
                return self._under_lease(request, _OK)
            case events.NotPrimary():
                return self._redirect(request)
            case events.Busy():
                return refusal(503, "busy", headers=_RETRY)
            case _:
                return refusal(504, "unknown")  # it may be chosen yet

    async def heartbeat(self, request: Request) -> Response:
        """A backend says how it is."""
        try:
            record = self._plane.registry.heartbeat(self._plane.now(), request.argument, request.body)
        except BadHeartbeat as error:
            return refusal(400, error.code, error.key, error.expected)
        if record.phase in ENDING_PHASES:
            return await self._ending(record.id)
        self._plane.publish_registry(at_once=False)
        if self._plane.is_isolated():  # the backend goes on to another controller, which is heard
            return refusal(503, "isolated", headers=_RETRY)
        return _OK

    async def leave(self, request: Request) -> Response:
        """A backend ends."""
        self._plane.registry.leave(self._plane.now(), request.argument)
        return await self._ending(request.argument)

    async def status(self, _request: Request) -> Response:
        """The state, for people."""
        return Response(200, msgspec.json.encode(self._plane.overview()))

    async def _ending(self, backend_id: str) -> Response:
        if await self._plane.confirm_ending(backend_id, ENDING_TIMEOUT_S):
            return _OK
        return refusal(503, "no_majority", headers=_RETRY)

    def _redirect(self, request: Request) -> Response:
        primary = self._plane.primary()
        if primary is None:
            return refusal(503, "no_primary", headers=_RETRY)
        place = f"http://{primary}:{self._plane.control_port()}{request.path}"
        return refusal(307, "not_primary", headers=(("Location", place),))

    async def _change(self, call: str, request: Request) -> Response:
        if not self._plane.holds_lease():
            return self._redirect(request)
        base = _base_of(request)
        if base is None:
            return refusal(400, "base", "X-Base-Version", "a revision")
        change = await _off_loop_if(len(request.body) > SLOW_BYTES, _identify, call, base, request.body)
        in_force = self._plane.known_call(change.digest)
        if in_force is not None:
            return await self._in_force(request, in_force)
        return await self._take_up(request, change)

    async def _take_up(self, request: Request, change: Change) -> Response:
        """A change that isn't known to be in force: it is checked against the committed configuration."""
        current = self._plane.current()
        if current is None:  # it has just taken over: what is current here isn't known to be committed yet
            return refusal(503, "settling", headers=_RETRY)
        revision, document = current[0], current[1]
        if change.base != revision:
            return self._conflict(request, change.revision, revision)
        read_bytes = len(change.body) + (len(document) if change.call == "Amend" else 0)
        try:
            found = await _off_loop_if(read_bytes > SLOW_BYTES, _resulting, change, document)
        except InvalidConfiguration as error:
            return self._under_lease(request, refusal(400, error.code, error.key, error.expected))
        return await self._commit(request, change, found)

    async def _commit(self, request: Request, change: Change, found: Configuration) -> Response:
        """Put what a valid change results in in force."""
        match await self._plane.write(change.base, found.revision, found.document, change.digest):
            case events.Accepted():
                return await self._in_force(request, found.revision)
            case events.Conflict(current=newest):
                in_force = self._plane.known_call(change.digest)
                if in_force is not None:
                    return await self._in_force(request, in_force)
                return self._conflict(request, found.revision, newest)
            case events.NotPrimary():
                return self._redirect(request)
            case _:
                return refusal(503, "busy", headers=_RETRY)

    def _under_lease(self, request: Request, response: Response) -> Response:
        """The last look at the lease: an answer that depends on the current configuration is given only under it."""
        return response if self._plane.holds_lease() else self._redirect(request)

    def _conflict(self, request: Request, revision: int, current: int) -> Response:
        """Another revision is current. A call that may have put it, or an earlier one, in force is not refused."""
        if revision > 0 and self._plane.may_be_forgotten(revision):
            return refusal(503, "unclear", headers=_RETRY)
        return self._under_lease(request, refusal(412, "base", "X-Base-Version", str(current)))

    async def _in_force(self, request: Request, revision: int) -> Response:
        if not self._plane.holds_lease():
            return self._redirect(request)
        await self._plane.wait_for_acks(self._plane.await_revision(revision), REVISION_ACK_TIMEOUT_S)
        return self._under_lease(request, _OK)


def _base_of(request: Request) -> int | None:
    text = request.headers.get(b"x-base-version", b"")
    return int(text) if text.isdigit() and len(text) <= REVISION_DIGITS else None


async def _off_loop_if(
    is_slow: bool, work: Callable[Arguments, Result], *args: Arguments.args, **kwargs: Arguments.kwargs
) -> Result:
    """What takes long runs in a thread, so that it holds up nobody else."""
    if is_slow:
        return await asyncio.to_thread(work, *args, **kwargs)
    return work(*args, **kwargs)


def _identify(call: str, base: int, body: bytes) -> Change:
    return Change(call, base, body, digest_of(call, base, body), revision_of(body))


def _resulting(change: Change, document: bytes) -> Configuration:
    if change.call == "Replace":
        return check(change.body, change.base)
    if not document:
        raise InvalidConfiguration("base", "", "a configuration to amend")
    return amend(document, change.body)
