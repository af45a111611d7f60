"""Counts how often one request has been sent, against its route's tries."""

from __future__ import annotations

from cranebank.invariants import invariant_error

MAX_UNSENT = 4  # calls of one request that were never sent, before it is given up
MAX_REPEATED_PREFILLS = 1  # prefills of one request after its first


class Attempts:
    """The counts of one request."""

    __slots__ = ("_prefills_rejected", "_tries", "_unsent", "arrivals", "count", "prefills")

    def __init__(self, tries: int) -> None:
        self._tries = tries
        self.count = 0  # calls that take one of the tries
        self.arrivals = 0  # arrivals of the request at decode backends, and at prefill backends that rejected it
        self.prefills = 0
        self._prefills_rejected = self._unsent = 0

    @property
    def are_used_up(self) -> bool:
        """Return whether the request may be sent to no further backend."""
        return self.count >= max(1, self._tries)

    @property
    def are_left(self) -> bool:
        """Return whether another attempt may follow."""
        return self.count < self._tries

    @property
    def has_too_many_unsent(self) -> bool:
        """Return whether too many calls have failed before they were sent."""
        return self._unsent >= MAX_UNSENT

    def may_prefill(self) -> bool:
        """Return whether the prompt may be read by a prefill backend.

        The first prefill that a backend accepts takes no try; another one does, and must leave one for the decode
        backend.
        """
        return self.prefills <= MAX_REPEATED_PREFILLS and self.has_try_for_prefill()

    def has_try_for_prefill(self) -> bool:
        """Return whether the tries allow for another prefill now, besides the decode."""
        return self.prefills == self._prefills_rejected or self.count + 2 <= self._tries

    def count_prefill(self) -> bool:
        """Count a prefill; return whether it takes a try."""
        is_counted = self.prefills > self._prefills_rejected
        self.prefills += 1
        self.count += is_counted
        return is_counted

    def count_decode(self) -> None:
        """Count a call to a decode backend."""
        self.count += 1
        self.arrivals += 1

    def prefill_rejected(self, is_counted: bool) -> None:
        """Count a prefill that a backend rejected without reading anything. ``is_counted``: it took a try."""
        self._prefills_rejected += 1
        self.count += not is_counted
        self.arrivals += 1

    def unsent(self, is_prefill: bool, is_counted: bool) -> None:
        """Undo the counts of a call that was never sent, except for the count of unsent calls."""
        self._unsent += 1
        self.count -= is_counted
        if is_prefill:
            self.prefills -= 1
        else:
            self.arrivals -= 1

    def check(self) -> None:
        """Raise InvariantBroken if the counts exceed the tries."""
        if self.count > max(1, self._tries):
            raise invariant_error("no more attempts than tries", f"{self.count} of {self._tries}")
