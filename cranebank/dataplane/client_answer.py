"""The one answer that a client gets: what has been passed on, and how it may still end.

The request is refused only if it cannot have run anywhere; an answer that is cut short never looks complete.
"""

from __future__ import annotations

from cranebank.dataplane.errors import NotRun, OutOfTime, RequestError, Unknown
from cranebank.dataplane.events_stream import EventSplitter
from cranebank.dataplane.exchange_events import Break, BreakReason, Data, Finish, Head, Reply
from cranebank.dataplane.open_legs import Leg
from cranebank.invariants import invariant_error

RETRY_AFTER_S = 0.1


class ClientAnswer:
    """The answer to one request. ``last_event_id``: where a resumable stream begins."""

    __slots__ = ("_splitter", "is_begun", "may_have_run")

    def __init__(self, is_resumable: bool, last_event_id: str | None) -> None:
        self._splitter = EventSplitter(last_event_id) if is_resumable else None
        self.is_begun = False
        self.may_have_run = False  # whether some backend may have begun to run the request

    @property
    def is_resumable(self) -> bool:
        """Return whether the answer is a stream of events that another attempt may continue."""
        return self._splitter is not None

    @property
    def last_event_id(self) -> str | None:
        """Return where another attempt begins; None: at the start."""
        return self._splitter.last_id if self._splitter is not None else None

    @property
    def can_continue(self) -> bool:
        """Return whether another attempt can deliver the rest of the answer."""
        return not self.is_begun or self._splitter is not None

    def pass_on(self, leg: Leg, data: bytes) -> list[Head | Data]:
        """Pass on part of a leg's body; of a resumable stream, only whole events. Raises EventTooLong."""
        leg.boundary.feed(data)
        if self._splitter is not None:
            data = self._splitter.feed(data)
        if not data:
            return []
        return [Data(data)] if self.is_begun else [*self._begin(leg), Data(data)]

    def may_be_whole(self, leg: Leg) -> bool:
        """Return whether a leg's stream of events may be complete where it ends without a length: between two events.

        A stream without any event is complete only if it continues an earlier one, of which nothing was left.
        """
        if leg.boundary.is_empty:
            return self.is_begun or self.last_event_id is not None
        return leg.boundary.is_reached

    def finish(self, leg: Leg) -> list[Head | Data | Finish]:
        """Pass on the end of a leg's successful answer."""
        rest = self._splitter.take_rest() if self._splitter is not None else b""
        return [*self._begin(leg), *([Data(rest)] if rest else []), Finish()]

    def pass_failure(self, leg: Leg) -> list[Head | Data | Finish]:
        """Pass on a backend's failed answer as it came."""
        if self.is_begun:
            raise invariant_error("one answer a request")
        return [Head(leg.status, leg.headers), Data(leg.body), Finish()]

    def drop_rest(self) -> None:
        """Drop the unfinished event of an attempt that broke off; the next attempt delivers it whole."""
        if self._splitter is not None:
            self._splitter.drop_rest()

    def give_up(self) -> Break | Reply:
        """Return the end of a request for which no further attempt is possible."""
        if self.is_begun:
            return Break(BreakReason.NO_ATTEMPT_LEFT)
        return self._reply(Unknown() if self.may_have_run else NotRun())

    def out_of_time(self, is_running: bool) -> Break | Reply:
        """Return the end of a request that is out of time. ``is_running``: a call that may run it is in flight."""
        if self.is_begun:
            return Break(BreakReason.OUT_OF_TIME)
        return self._reply(OutOfTime() if self.may_have_run or is_running else NotRun())

    def _begin(self, leg: Leg) -> list[Head]:
        if self.is_begun:
            return []
        self.is_begun = True
        if not self.is_resumable:
            return [Head(leg.status, leg.headers)]
        # Another run may continue the stream, at another length.
        return [Head(leg.status, {name: value for name, value in leg.headers.items() if name != "content-length"})]

    def _reply(self, error: RequestError) -> Reply:
        if isinstance(error, NotRun) and self.may_have_run:
            raise invariant_error("what may have run is not refused")
        return Reply(error, RETRY_AFTER_S if isinstance(error, NotRun) else None)
