"""Interface that the laboratory's hosts and clients use; implemented on sockets and in simulated time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from cranebank.lab import records
from cranebank.lab.model import SeenKeys
from cranebank.lab.plan import Plan
from cranebank.lab.scenario import Scenario


@dataclass(slots=True, frozen=True)
class Ask:
    """A request to a proxy, or a leg at a host: the typed header fields of PROTOCOL. Times in microseconds."""

    id: str
    root: str  # id of the client's request
    kind: int
    tenant: int
    key: str
    work: int  # work for all tiers
    left: int  # time that the caller still waits
    hint: int = 0
    again: bool = False  # whether it is a client's retry


@dataclass(slots=True)
class Reply:
    """The answer that a caller got; with ``status`` 0 there was none, and ``trouble`` is the reason: refused, broke."""

    status: int = 0
    digest: str = ""
    has_request_id: bool = True  # whether the body contains the request id
    retry_after: int = 0  # microseconds
    trouble: str = ""
    sent: int = -1  # time of the request's last byte on the stage's clock; -1: never sent


class InFlight(Protocol):
    """A request in flight."""

    @property
    def reply(self) -> Reply:
        """The reply received so far."""

    def cancel(self) -> None:
        """Cancel the request; no callback is called after this."""


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""


class Environment(Protocol):
    """Clock, timers, requests and records of one laboratory."""

    scenario: Scenario
    plan: Plan
    repeats: SeenKeys

    def now(self) -> int:
        """Return the microseconds since the start."""

    def at(self, when: int, do: Callable[..., Any], *arguments: Any) -> Timer:
        """Call ``do`` at a time after the start."""

    def ask(
        self, proxy: str, zone: int, ask: Ask, done: Callable[[Reply], None], on_extra_answer: Callable[[], None]
    ) -> InFlight:
        """Send a request; ``done`` is called once unless it is cancelled, ``on_extra_answer`` on a second answer."""

    def write(self, record: records.Record) -> None:
        """Write a record."""


class Link(Protocol):
    """A proxy's connection, as a host sees it; ``request`` is the leg or probe in progress on it."""

    request: Any

    def answer(self, status: int, body: bytes = b"", load: str = "", not_run: bool = False) -> None:
        """Send a whole answer."""

    def spoil(self, cut: bool) -> None:
        """Send half an answer and reset the connection (``cut``), or send bytes that are no HTTP."""

    def abort(self) -> None:
        """Reset the connection."""
