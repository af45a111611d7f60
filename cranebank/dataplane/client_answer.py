"""The one answer that a client gets: what of it was passed on, and which ends are left to it.

A refusal is given only where nothing may have run; an end without a whole answer never looks like one.
"""

from __future__ import annotations

from cranebank.dataplane.errors import NotRun, OutOfTime, RequestError, Unknown
from cranebank.dataplane.events_stream import EventSplitter
from cranebank.dataplane.exchange_events import Break, Data, Finish, Head, Reply
from cranebank.dataplane.open_legs import Leg
from cranebank.invariants import invariant_error

RETRY_AFTER_S = 0.1


class ClientAnswer:
    """Of one request. ``last_event_id``: where a stream that may be resumed begins."""

    __slots__ = ("_splitter", "is_begun", "may_have_run")

    def __init__(self, is_resumable: bool, last_event_id: str | None) -> None:
        self._splitter = EventSplitter(last_event_id) if is_resumable else None
        self.is_begun = False
        self.may_have_run = False  # some backend may have begun work on the request

    @property
    def is_resumable(self) -> bool:
        """Whether it comes as events that another run may continue."""
        return self._splitter is not None

    @property
    def last_event_id(self) -> str | None:
        """Where another run begins; None: at the start."""
        return self._splitter.last_id if self._splitter is not None else None

    @property
    def can_continue(self) -> bool:
        """Whether another run can bring the rest of it."""
        return not self.is_begun or self._splitter is not None

    def pass_on(self, leg: Leg, data: bytes) -> list[Head | Data]:
        """Part of a leg's body came, of which whole events are passed on. Raises EventTooLong."""
        if self._splitter is not None:
            data = self._splitter.feed(data)
        if not data:
            return []
        return [Data(data)] if self.is_begun else [*self._begin(leg), Data(data)]

    def finish(self, leg: Leg) -> list[Head | Data | Finish]:
        """A leg's success is whole."""
        rest = self._splitter.take_rest() if self._splitter is not None else b""
        return [*self._begin(leg), *([Data(rest)] if rest else []), Finish()]

    def pass_failure(self, leg: Leg) -> list[Head | Data | Finish]:
        """A backend's failure, whole, as it came."""
        if self.is_begun:
            raise invariant_error("one answer a request")
        return [Head(leg.status, leg.headers), Data(leg.body), Finish()]

    def drop_rest(self) -> None:
        """The run whose event is unfinished has broken off: the next one brings it whole."""
        if self._splitter is not None:
            self._splitter.drop_rest()

    def give_up(self) -> Break | Reply:
        """Nothing more can be tried."""
        if self.is_begun:
            return Break()
        return self._reply(Unknown() if self.may_have_run else NotRun())

    def out_of_time(self, is_running: bool) -> Break | Reply:
        """The request's time is over. ``is_running``: a call that may run it is out."""
        if self.is_begun:
            return Break()
        return self._reply(OutOfTime() if self.may_have_run or is_running else NotRun())

    def _begin(self, leg: Leg) -> list[Head]:
        if self.is_begun:
            return []
        self.is_begun = True
        return [Head(leg.status, leg.headers)]

    def _reply(self, error: RequestError) -> Reply:
        if isinstance(error, NotRun) and self.may_have_run:
            raise invariant_error("what may have run is not refused")
        return Reply(error, RETRY_AFTER_S if isinstance(error, NotRun) else None)
