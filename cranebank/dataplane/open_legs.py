"""The legs of one request. A leg is one call to one backend; while open, it counts in the loads of its backend."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from cranebank.dataplane.backend_view import BackendView
from cranebank.dataplane.events_stream import EventBoundary
from cranebank.dataplane.prefill_queue import Ticket
from cranebank.transport.messages import Backend


class Handle(msgspec.Struct, frozen=True):
    """A prompt's KV cache, held by the prefill backend that read it."""

    backend: Backend
    name: str
    until: float


class Leg:
    """One open call to a backend."""

    __slots__ = (
        "answering",
        "body",
        "boundary",
        "found_idle",
        "handle",
        "headers",
        "is_counted",
        "is_prefill",
        "is_resting",
        "number",
        "prefill_load_s",
        "sent_at",
        "silent_at",
        "status",
        "ticket",
        "tokens",
        "view",
    )

    def __init__(
        self, number: int, view: BackendView, tokens: int, is_prefill: bool, now: float, silent_at: float | None
    ) -> None:
        self.number, self.view, self.tokens, self.is_prefill = number, view, tokens, is_prefill
        self.found_idle = not view.calls and not view.others_calls  # as far as this proxy and its neighbours know
        self.sent_at, self.silent_at = now, silent_at
        self.ticket: Ticket | None = None  # of a prefill, in the queue of its backend
        self.prefill_load_s = 0.0  # what it adds to the prefill load of its service
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.boundary = EventBoundary()  # of the body, once it is passed on
        self.answering = False
        self.is_resting = False  # answering, and silent for so long that a copy of the request may replace it
        self.is_counted = not is_prefill  # whether it takes one of the route's tries
        self.handle: Handle | None = None  # the KV cache that this call fetches


class OpenLegs:
    """The open legs of one request, by number. Numbers are not reused."""

    __slots__ = ("_legs", "_opened")

    def __init__(self) -> None:
        self._legs: dict[int, Leg] = {}
        self._opened = 0

    def __len__(self) -> int:
        return len(self._legs)

    def __iter__(self) -> Iterator[Leg]:
        """Iterate over the legs that are open now, whatever is opened or closed meanwhile."""
        return iter(list(self._legs.values()))

    @property
    def runs(self) -> int:
        """Return the number of open legs that run the request, prefills not counted."""
        return sum(not leg.is_prefill for leg in self._legs.values())

    def get(self, number: int) -> Leg | None:
        """Return a leg if it is still open."""
        return self._legs.get(number)

    def open(self, now: float, view: BackendView, tokens: int, is_prefill: bool, silent_s: float | None) -> Leg:
        """Open a leg. ``silent_s``: seconds from now after which it counts as silent."""
        self._opened += 1
        silent_at = None if silent_s is None else now + silent_s
        leg = self._legs[self._opened] = Leg(self._opened, view, tokens, is_prefill, now, silent_at)
        view.calls += 1
        view.tokens += tokens
        view.load_changed_at = now
        return leg

    def mark_prompt_read(self, now: float, leg: Leg) -> int:
        """Record that the backend has read the prompt; return the tokens that no longer count as load."""
        tokens, leg.tokens = leg.tokens, 0
        leg.view.tokens -= tokens
        leg.view.load_changed_at = now
        return tokens

    def close(self, now: float, leg: Leg) -> None:
        """Close a leg."""
        self._legs.pop(leg.number, None)
        leg.view.calls -= 1
        leg.view.tokens -= leg.tokens
        leg.view.load_changed_at = now

    def next_silence(self, until: float) -> float:
        """Return when the first leg will count as silent, ``until`` at the latest."""
        for leg in self._legs.values():
            if leg.silent_at is not None and leg.silent_at < until:
                until = leg.silent_at
        return until
