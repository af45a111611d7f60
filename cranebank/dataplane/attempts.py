"""How often one request has been sent, against its route's tries: the rules of counting, in one place."""

from __future__ import annotations

from cranebank.invariants import invariant_error

MAX_UNSENT = 4  # calls of one request that never left us, before it is given up
MAX_REPEATED_PREFILLS = 1  # of one request's prompt after its first


class Attempts:
    """The counts of one request."""

    __slots__ = ("_prefills_rejected", "_tries", "_unsent", "arrivals", "count", "prefills")

    def __init__(self, tries: int) -> None:
        self._tries = tries
        self.count = 0  # that take one of the tries
        self.arrivals = 0  # of the request, at backends that make tokens or rejected a reading
        self.prefills = 0
        self._prefills_rejected = self._unsent = 0

    @property
    def are_used_up(self) -> bool:
        """Whether the request may go to no further backend."""
        return self.count >= max(1, self._tries)

    @property
    def are_left(self) -> bool:
        """Whether a run may be followed by another."""
        return self.count < self._tries

    @property
    def has_too_many_unsent(self) -> bool:
        """Whether too many calls have come to nothing before they were sent."""
        return self._unsent >= MAX_UNSENT

    def may_prefill(self) -> bool:
        """Whether the prompt may be read apart.

        The first reading that a backend takes up is no run; another one takes a try, and must leave one to make tokens.
        """
        return self.prefills <= MAX_REPEATED_PREFILLS and self.has_try_for_prefill()

    def has_try_for_prefill(self) -> bool:
        """Whether the tries allow for another reading now, beside the run that makes the tokens."""
        return self.prefills == self._prefills_rejected or self.count + 2 <= self._tries

    def count_prefill(self) -> bool:
        """The prompt is sent to be read. Whether that takes a try."""
        is_counted = self.prefills > self._prefills_rejected
        self.prefills += 1
        self.count += is_counted
        return is_counted

    def count_decode(self) -> None:
        """The request is sent to a backend that makes its tokens."""
        self.count += 1
        self.arrivals += 1

    def prefill_rejected(self, is_counted: bool) -> None:
        """A backend has read nothing, and said so. ``is_counted``: this reading took a try."""
        self._prefills_rejected += 1
        self.count += not is_counted
        self.arrivals += 1

    def unsent(self, is_prefill: bool, is_counted: bool) -> None:
        """A call never left us: it counts nowhere but here."""
        self._unsent += 1
        self.count -= is_counted
        if is_prefill:
            self.prefills -= 1
        else:
            self.arrivals -= 1

    def check(self) -> None:
        """Raise InvariantBroken where the state contradicts itself."""
        if self.count > max(1, self._tries):
            raise invariant_error("no more attempts than tries", f"{self.count} of {self._tries}")
