"""How the adds stand on disk: segments of a bounded number of adds, in the order in which they were applied.

Only segments that changed are written. What is folded goes out in the same write as the sums that stand for it, so that
a loss of power leaves either both or neither. A segment that has become empty is used again.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from cranebank.control.tallies.state import TallyState, in_order
from cranebank.invariants import record_violation
from cranebank.transport.messages import TallyAdd

SEGMENT_ADDS = 128
BASE = "base"
SEGMENT = "segment-"

_encode = msgspec.msgpack.Encoder().encode
_adds = msgspec.msgpack.Decoder(list[TallyAdd])


class Base(msgspec.Struct, frozen=True, array_like=True):
    """What is folded. The totals are decimal numbers: they may be longer than 64 bits."""

    folded: dict[str, int]
    totals: dict[str, str]


class Segments:
    """The adds by segment, and which segments have changed since they were last taken to be written."""

    def __init__(self) -> None:
        self._adds: dict[int, list[TallyAdd]] = {}
        self._free: list[int] = []
        self._next = 0
        self._open = -1
        self._dirty: set[int] = set()
        self._is_base_dirty = False

    def append(self, add: TallyAdd) -> int:
        """Put an add into the open segment; returns its number."""
        if self._open < 0 or len(self._adds[self._open]) >= SEGMENT_ADDS:
            self._open = self._unused()
            self._adds[self._open] = []
        self._adds[self._open].append(add)
        self._dirty.add(self._open)
        return self._open

    def _unused(self) -> int:
        if self._free:
            return self._free.pop()
        self._next += 1
        return self._next

    def folded(self, touched: set[int], state: TallyState) -> None:
        """Drop what is folded by now from these segments."""
        folded = state.folded
        self._is_base_dirty = True
        for number in touched:
            self._adds[number] = [add for add in self._adds[number] if add.number > folded.get(add.origin, 0)]
            self._dirty.add(number)
            if not self._adds[number]:
                self._release(number)

    def _release(self, number: int) -> None:
        del self._adds[number]
        self._free.append(number)
        if self._open == number:
            self._open = -1

    @property
    def has_changes(self) -> bool:
        """Whether anything is to be written."""
        return bool(self._dirty) or self._is_base_dirty

    def take_changes(self, state: TallyState) -> dict[str, bytes]:
        """The values to be written now."""
        values = {f"{SEGMENT}{number}": _encode(self._adds.get(number, [])) for number in self._dirty}
        if self._is_base_dirty:
            totals = {tally: str(total) for tally, total in state.folded_totals.items()}
            values[BASE] = _encode(Base(state.folded, totals))
        self._dirty, self._is_base_dirty = set(), False
        return values

    def refused(self, values: Mapping[str, bytes]) -> None:
        """These were not written: they are to be written again, as they are by then."""
        for key in values:
            if key == BASE:
                self._is_base_dirty = True
            else:
                self._dirty.add(int(key.removeprefix(SEGMENT)))

    def restore(self, stored: Mapping[str, bytes]) -> TallyState:
        """Read what was written before."""
        base = msgspec.msgpack.decode(stored[BASE], type=Base) if BASE in stored else Base({}, {})
        state = TallyState(base.folded, {tally: int(total) for tally, total in base.totals.items()})
        found: list[tuple[TallyAdd, int]] = []
        for key, value in stored.items():
            if key.startswith(SEGMENT):
                found += self._read(int(key.removeprefix(SEGMENT)), value)
        segments = {(add.origin, add.number): number for add, number in found}
        for add in in_order(add for add, _ in found):
            if add.number == state.applied_of(add.origin) + 1:
                state.append(add, segments[add.origin, add.number])
            else:
                record_violation("adds on disk are contiguous", f"{add.number} after {state.applied_of(add.origin)}")
        return state

    def _read(self, number: int, value: bytes) -> list[tuple[TallyAdd, int]]:
        adds = _adds.decode(value)
        self._next = max(self._next, number)
        if adds:
            self._adds[number] = adds
            if len(adds) < SEGMENT_ADDS:
                self._open = number
        else:
            self._free.append(number)
        return [(add, number) for add in adds]
