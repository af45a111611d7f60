"""The adds that a replica holds, and the totals that result from them.

A total is the sum over distinct ids, independent of the order of arrival: of several adds with the same id the one with
the smallest (origin, number) counts, so replicas that hold the same adds have the same totals. Old adds are folded:
their amounts stay in the totals, and their ids are forgotten.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Iterator, Mapping

from cranebank.invariants import invariant_error
from cranebank.transport.messages import TallyAdd

ADD_OVERHEAD_BYTES = 32
"""Size of an add on disk, without its tally and its id."""


class OriginLog:
    """The adds of one origin: up to number ``folded`` only their sums are kept, later adds are held in full."""

    __slots__ = ("adds", "folded", "segments")

    def __init__(self, folded: int = 0) -> None:
        self.folded = folded
        self.adds: list[TallyAdd] = []
        self.segments = array("L")
        """Segment number of each held add."""

    @property
    def applied(self) -> int:
        """Highest number that is held or folded."""
        return self.folded + len(self.adds)

    def held_upto(self, number: int) -> int:
        """Return the number of held adds up to and including this number."""
        return min(max(0, number - self.folded), len(self.adds))


def covers(vector: Mapping[str, int], other: Mapping[str, int]) -> bool:
    """Whether ``vector`` includes all adds of ``other``."""
    return all(vector.get(origin, 0) >= number for origin, number in other.items())


def _sort_key(add: TallyAdd) -> tuple[str, int]:
    return add.origin, add.number


class TallyState:
    """All adds by origin, the counted add of each id, and the totals by tally."""

    def __init__(self, folded: Mapping[str, int] | None = None, totals: Mapping[str, int] | None = None) -> None:
        """``folded`` and ``totals``: numbers and sums of the adds that were folded before."""
        self._logs = {origin: OriginLog(number) for origin, number in (folded or {}).items()}
        self._folded_totals: dict[str, int] = dict(totals or {})
        self._totals = dict(self._folded_totals)
        self._by_id: dict[str, TallyAdd] = {}
        self._duplicates: dict[str, list[TallyAdd]] = {}
        """All adds of each id that is held more than once."""
        self.bytes_held = 0

    def __len__(self) -> int:
        return sum(len(log.adds) for log in self._logs.values())

    @property
    def is_empty(self) -> bool:
        """Whether there has never been an add."""
        return not self._logs

    @property
    def applied(self) -> dict[str, int]:
        """Highest number held or folded, by origin."""
        return {origin: log.applied for origin, log in self._logs.items()}

    @property
    def folded(self) -> dict[str, int]:
        """Highest number folded, by origin."""
        return {origin: log.folded for origin, log in self._logs.items() if log.folded}

    @property
    def folded_totals(self) -> Mapping[str, int]:
        """Sums of the folded adds, by tally."""
        return self._folded_totals

    @property
    def tallies(self) -> int:
        """Number of tallies."""
        return len(self._totals)

    def knows(self, tally: str) -> bool:
        """Whether there has been an add to this tally."""
        return tally in self._totals

    def total(self, tally: str) -> int:
        """Return the total of a tally; 0 if it is unknown."""
        return self._totals.get(tally, 0)

    def applied_of(self, origin: str) -> int:
        """Return the highest number held or folded of this origin."""
        log = self._logs.get(origin)
        return 0 if log is None else log.applied

    def find(self, call_id: str) -> TallyAdd | None:
        """Return the held add that counts for this id."""
        return self._by_id.get(call_id)

    def append(self, add: TallyAdd, segment: int) -> None:
        """Append the next add of its origin."""
        log = self._logs.get(add.origin)
        if log is None:
            log = self._logs[add.origin] = OriginLog()
        if add.number != log.applied + 1:
            raise invariant_error("adds of an origin are contiguous", f"{add.number} after {log.applied}")
        log.adds.append(add)
        log.segments.append(segment)
        self.bytes_held += _bytes_of(add)
        self._count_add(add)

    def _count_add(self, add: TallyAdd) -> None:
        known = self._by_id.get(add.id)
        if known is None:
            self._by_id[add.id] = add
            self._add_to_total(add, 1)
            return
        self._duplicates.setdefault(add.id, [known]).append(add)
        if _sort_key(add) < _sort_key(known):
            self._by_id[add.id] = add
            self._add_to_total(known, -1)
            self._add_to_total(add, 1)

    def _add_to_total(self, add: TallyAdd, sign: int) -> None:
        self._totals[add.tally] = self._totals.get(add.tally, 0) + sign * add.amount

    def missing_from(self, vector: Mapping[str, int], limit: int) -> list[TallyAdd]:
        """Return up to ``limit`` held adds that a vector lacks, in order within each origin."""
        found: list[TallyAdd] = []
        for origin, log in self._logs.items():
            if len(found) >= limit:
                break
            begin = log.held_upto(vector.get(origin, 0))
            found += log.adds[begin : begin + limit - len(found)]
        return found

    def lacks_folded(self, vector: Mapping[str, int]) -> bool:
        """Whether a vector lacks adds that are folded here."""
        return any(vector.get(origin, 0) < log.folded for origin, log in self._logs.items())

    def fold(self, limits: Mapping[str, int]) -> set[int]:
        """Fold adds up to these numbers, all adds of an id or none; return the segments that lose adds."""
        limits = self._lower_limits({o: min(limits.get(o, 0), log.applied) for o, log in self._logs.items()})
        touched: set[int] = set()
        dropped = [add for origin, log in self._logs.items() for add in self._drop(log, limits[origin], touched)]
        for add in dropped:
            if self._by_id[add.id] is add:
                self._folded_totals[add.tally] = self._folded_totals.get(add.tally, 0) + add.amount
        for add in dropped:
            self._by_id.pop(add.id, None)
            self._duplicates.pop(add.id, None)
        return touched

    def take_base(self, folded: Mapping[str, int], totals: Mapping[str, int]) -> set[int] | None:
        """Adopt another replica's folded sums unless more is folded here; return the segments that lose adds."""
        if not covers(folded, self.folded):
            return None
        touched: set[int] = set()
        for origin, number in folded.items():
            log = self._logs.setdefault(origin, OriginLog())
            self._drop(log, number, touched)
            log.folded = number
        self._folded_totals = dict(totals)
        self._recount()
        return touched

    def _lower_limits(self, limits: dict[str, int]) -> dict[str, int]:
        """Lower the limits until the adds of each id are all within them or all beyond."""
        is_stable = False
        while not is_stable:
            is_stable = True
            for adds in self._duplicates.values():
                inside = [add for add in adds if add.number <= limits[add.origin]]
                if 0 < len(inside) < len(adds):
                    is_stable = False
                    for add in inside:
                        limits[add.origin] = min(limits[add.origin], add.number - 1)
        return limits

    def _drop(self, log: OriginLog, number: int, touched: set[int]) -> list[TallyAdd]:
        count = log.held_upto(number)
        dropped = log.adds[:count]
        touched.update(log.segments[:count])
        del log.adds[:count], log.segments[:count]
        log.folded += count
        self.bytes_held -= sum(map(_bytes_of, dropped))
        return dropped

    def _recount(self) -> None:
        self._totals = dict(self._folded_totals)
        self._by_id, self._duplicates = {}, {}
        for add in self.adds():
            self._count_add(add)

    def adds(self) -> Iterator[TallyAdd]:
        """Yield all held adds."""
        for log in self._logs.values():
            yield from log.adds

    def check(self) -> None:
        """Recount everything and compare; slow, for tests."""
        winners: dict[str, TallyAdd] = {}
        for add in self.adds():
            known = winners.get(add.id)
            winners[add.id] = add if known is None else min(add, known, key=_sort_key)
        totals = dict(self._folded_totals)
        for add in winners.values():
            totals[add.tally] = totals.get(add.tally, 0) + add.amount
        if winners != self._by_id:
            raise invariant_error("no id counts twice")
        if {k: v for k, v in totals.items() if v} != {k: v for k, v in self._totals.items() if v}:
            raise invariant_error("a total is the sum of its adds", f"{self._totals} for {totals}")
        if self.bytes_held != sum(map(_bytes_of, self.adds())):
            raise invariant_error("the bytes of adds are counted")


def _bytes_of(add: TallyAdd) -> int:
    return ADD_OVERHEAD_BYTES + len(add.tally) + len(add.id)


def sorted_adds(adds: Iterable[TallyAdd]) -> list[TallyAdd]:
    """Return the adds by origin and number."""
    return sorted(adds, key=_sort_key)
