"""The rules on tallies, judged by what the applications saw: no add counts twice, and no acknowledged add is missing.

Amounts are positive, so a total lies between the sum of the acknowledged adds and the sum of all adds that may count.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator

import msgspec

from cranebank.fleetlab.records import DayRecord, TallyCall

CLIENT_ERRORS = range(400, 500)
UNAVAILABLE = 503


class TallyFinding(msgspec.Struct, frozen=True):
    """A rule that a tally broke, with a description."""

    rule: str
    text: str


class TallyJudge:
    """Judges the tally calls of one day."""

    def __init__(self, day: DayRecord) -> None:
        self._day = day
        self._merge_s = day.bounds.merge_ms / 1e3
        self._adds: dict[str, list[TallyCall]] = defaultdict(list)  # by tally
        for call in day.tally_calls:
            if call.id:
                self._adds[call.tally].append(call)
        self.readings = [call for call in day.tally_calls if not call.id and call.total is not None]

    def findings(self) -> Iterator[TallyFinding]:
        """Yield all violations."""
        for reading in self.readings:
            yield from self._check_double_count(reading)
            yield from self._check_own_adds(reading)
            yield from self._check_final_reading(reading) if reading.is_last else self._check_all_adds(reading)
        yield from self._check_final_reads()

    def _check_double_count(self, reading: TallyCall) -> Iterator[TallyFinding]:
        possible = [call for call in self._adds[reading.tally] if call.sent <= reading.ended and not _is_refused(call)]
        max_total = _distinct_sum(possible)
        if reading.total is not None and reading.total > max_total:
            yield TallyFinding("TWICE", f"{reading.total}, {max_total} could have counted: {self._describe(reading)}")

    def _check_own_adds(self, reading: TallyCall) -> Iterator[TallyFinding]:
        """Check that a reading contains the adds that the same machine acknowledged in the same life."""
        due_adds = [
            call
            for call in self._adds[reading.tally]
            if call.is_acknowledged
            and call.ended <= reading.sent
            and (call.machine, call.life) == (reading.machine, reading.life)
        ]
        yield from self._missing("STALE", reading, due_adds, "of its own")

    def _check_all_adds(self, reading: TallyCall) -> Iterator[TallyFinding]:
        """Check that, after merge_ms without trouble, a reading contains the adds that all machines acknowledged."""
        if self._is_undisturbed(reading.sent - self._merge_s, reading.ended):
            yield from self._missing("STALE", reading, self._due_adds(reading), "of any machine")

    def _check_final_reading(self, reading: TallyCall) -> Iterator[TallyFinding]:
        yield from self._missing("LOST", reading, self._due_adds(reading), "at the end")

    def _check_final_reads(self) -> Iterator[TallyFinding]:
        """Yield tallies that no controller could read within contact_ms at the end."""
        last: dict[str, list[TallyCall]] = defaultdict(list)
        for call in self._day.tally_calls:
            if call.is_last:
                last[call.tally].append(call)
        for tally, calls in last.items():
            until = min(call.sent for call in calls) + self._day.bounds.contact_ms / 1e3
            if not any(call.total is not None and call.ended <= until for call in calls):
                statuses = sorted({call.status for call in calls})
                yield TallyFinding("LOST", f"{tally} could not be read at the end, statuses {statuses}")

    def _due_adds(self, reading: TallyCall) -> list[TallyCall]:
        """Return the adds that any machine acknowledged at least merge_ms before a reading."""
        return [
            call
            for call in self._adds[reading.tally]
            if call.is_acknowledged and call.ended <= reading.sent - self._merge_s and not self._is_excused(call)
        ]

    def _missing(self, rule: str, reading: TallyCall, due_adds: list[TallyCall], source: str) -> Iterator[TallyFinding]:
        min_total = _distinct_sum(due_adds)
        if reading.total is not None and reading.total < min_total:
            yield TallyFinding(rule, f"{reading.total}, {min_total} acknowledged {source}: {self._describe(reading)}")

    def _is_excused(self, call: TallyCall) -> bool:
        """Return whether an add was acknowledged while its machine's links were cut, and the machine lost its disk
        before merge_ms had passed since the links healed."""
        return any(
            loss.machine == call.machine
            and call.machine in broken.machines
            and broken.begin <= call.ended
            and call.sent <= broken.end
            and call.ended <= loss.at < broken.end + self._merge_s
            for broken in self._day.broken_links
            for loss in self._day.disk_losses
        )

    def _is_undisturbed(self, begin: float, end: float) -> bool:
        return not any(trouble.begin <= end and begin <= trouble.end for trouble in self._day.troubles)

    def _describe(self, reading: TallyCall) -> str:
        return f"{reading.tally} at {reading.machine}, {reading.sent - self._day.begun:.2f} s"


def _is_refused(call: TallyCall) -> bool:
    """Return whether the answer guarantees that the add was not applied."""
    return call.status in CLIENT_ERRORS or call.status == UNAVAILABLE


def _distinct_sum(adds: Iterable[TallyCall]) -> int:
    """Return the sum of the amounts, counting each id once."""
    return sum({call.id: call.amount for call in adds}.values())


def acknowledged_share(day: DayRecord) -> float:
    """Return the share of distinct adds that were acknowledged."""
    adds = {call.id for call in day.tally_calls if call.id}
    taken = {call.id for call in day.tally_calls if call.is_acknowledged}
    return len(taken) / max(1, len(adds))
