"""How the connection of a call to a backend ended before the answer was complete."""

from __future__ import annotations

from enum import Enum

LOST_CALLS_PREFIX = "calls_lost_"  # of the counters of such calls, by how their connection ended


class ConnectionEnd(Enum):
    """How a connection ended."""

    CLOSED = "closed"  # the backend closed it in order
    RESET = "reset"  # the backend, or its machine, reset it
    TIMED_OUT = "timed_out"  # bytes stayed unacknowledged for too long
    CLOSED_WITHIN_EVENT = "closed_within_event"  # the same, in the middle of an event of a stream without a length
    INVALID_ANSWER = "invalid_answer"  # this process ended it, as what arrived is no answer to the call


def end_by_error(error: Exception | None) -> ConnectionEnd:
    """Return how a connection ended, by the error with which the event loop reports its loss."""
    if error is None:
        return ConnectionEnd.CLOSED
    return ConnectionEnd.TIMED_OUT if isinstance(error, TimeoutError) else ConnectionEnd.RESET
