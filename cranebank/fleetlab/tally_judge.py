"""The rules on tallies, judged by what the applications saw: nothing counts twice, and nothing acknowledged is missing.

Amounts are above 0, so sums bound a total: what surely counted from below, what could have counted from above.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator

import msgspec

from cranebank.fleetlab.records import DayRecord, TallyCall

REFUSED = range(400, 500)
UNAVAILABLE = 503


class TallyFinding(msgspec.Struct, frozen=True):
    """A rule that a tally broke, and how."""

    rule: str
    text: str


class TallyJudge:
    """Judges one day's calls for tallies."""

    def __init__(self, day: DayRecord) -> None:
        self._day = day
        self._merge_s = day.bounds.merge_ms / 1e3
        self._adds: dict[str, list[TallyCall]] = defaultdict(list)  # by tally
        for call in day.tally_calls:
            if call.id:
                self._adds[call.tally].append(call)
        self.readings = [call for call in day.tally_calls if not call.id and call.total is not None]

    def findings(self) -> Iterator[TallyFinding]:
        """Everything that broke a rule."""
        for reading in self.readings:
            yield from self._twice(reading)
            yield from self._stale_here(reading)
            yield from self._lost(reading) if reading.is_last else self._stale_anywhere(reading)
        yield from self._unread()

    def _twice(self, reading: TallyCall) -> Iterator[TallyFinding]:
        possible = [call for call in self._adds[reading.tally] if call.sent <= reading.ended and not _is_refused(call)]
        most = _sum_of_ids(possible)
        if reading.total is not None and reading.total > most:
            yield TallyFinding("TWICE", f"{reading.total}, {most} could have counted: {self._told(reading)}")

    def _stale_here(self, reading: TallyCall) -> Iterator[TallyFinding]:
        """What the same machine acknowledged in the same life is in it."""
        owed = [
            call
            for call in self._adds[reading.tally]
            if call.is_acknowledged
            and call.ended <= reading.sent
            and (call.machine, call.life) == (reading.machine, reading.life)
        ]
        yield from self._missing("STALE", reading, owed, "of its own")

    def _stale_anywhere(self, reading: TallyCall) -> Iterator[TallyFinding]:
        """After merge_ms without any trouble it has what any machine acknowledged before."""
        if self._is_calm(reading.sent - self._merge_s, reading.ended):
            yield from self._missing("STALE", reading, self._owed(reading), "of any machine")

    def _lost(self, reading: TallyCall) -> Iterator[TallyFinding]:
        yield from self._missing("LOST", reading, self._owed(reading), "at the end")

    def _unread(self) -> Iterator[TallyFinding]:
        """Tallies that nobody could read at the end, within contact_ms."""
        last: dict[str, list[TallyCall]] = defaultdict(list)
        for call in self._day.tally_calls:
            if call.is_last:
                last[call.tally].append(call)
        for tally, calls in last.items():
            until = min(call.sent for call in calls) + self._day.bounds.contact_ms / 1e3
            if not any(call.total is not None and call.ended <= until for call in calls):
                statuses = sorted({call.status for call in calls})
                yield TallyFinding("LOST", f"{tally} can't be read at the end: {statuses}")

    def _owed(self, reading: TallyCall) -> list[TallyCall]:
        """Acknowledged by any machine merge_ms before a reading."""
        return [
            call
            for call in self._adds[reading.tally]
            if call.is_acknowledged and call.ended <= reading.sent - self._merge_s and not self._is_excused(call)
        ]

    def _missing(self, rule: str, reading: TallyCall, owed: list[TallyCall], whose: str) -> Iterator[TallyFinding]:
        least = _sum_of_ids(owed)
        if reading.total is not None and reading.total < least:
            yield TallyFinding(rule, f"{reading.total}, {least} acknowledged {whose}: {self._told(reading)}")

    def _is_excused(self, call: TallyCall) -> bool:
        """Acknowledged while links of its machine were cut, and that machine lost its disk too soon after healing."""
        return any(
            loss.machine == call.machine
            and call.machine in broken.machines
            and broken.begin <= call.ended
            and call.sent <= broken.end
            and call.ended <= loss.at < broken.end + self._merge_s
            for broken in self._day.broken_links
            for loss in self._day.disk_losses
        )

    def _is_calm(self, begin: float, end: float) -> bool:
        return not any(trouble.begin <= end and begin <= trouble.end for trouble in self._day.troubles)

    def _told(self, reading: TallyCall) -> str:
        return f"{reading.tally} at {reading.machine}, {reading.sent - self._day.begun:.2f} s"


def _is_refused(call: TallyCall) -> bool:
    """Whether the answer promises that nothing was done."""
    return call.status in REFUSED or call.status == UNAVAILABLE


def _sum_of_ids(adds: Iterable[TallyCall]) -> int:
    """The sum of the amounts, each id once."""
    return sum({call.id: call.amount for call in adds}.values())


def acknowledged_share(day: DayRecord) -> float:
    """The share of the distinct adds that were acknowledged."""
    adds = {call.id for call in day.tally_calls if call.id}
    taken = {call.id for call in day.tally_calls if call.is_acknowledged}
    return len(taken) / max(1, len(adds))
