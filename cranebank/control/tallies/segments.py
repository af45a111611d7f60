"""Disk layout of the adds: segments of a bounded number of adds, in the order in which they were applied.

Only changed segments are written. Folded adds are removed in the same write that stores their sums, so a power loss
leaves either both changes or neither. Empty segments are reused.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from cranebank.control.tallies.state import TallyState, sorted_adds
from cranebank.invariants import record_violation
from cranebank.transport.messages import TallyAdd

SEGMENT_ADDS = 128
BASE_KEY = "base"
SEGMENT_PREFIX = "segment-"

_encode = msgspec.msgpack.Encoder().encode
_adds = msgspec.msgpack.Decoder(list[TallyAdd])


class FoldedBase(msgspec.Struct, frozen=True, array_like=True):
    """Folded adds: highest folded number by origin, and totals by tally as decimal text, which may exceed 64 bits."""

    folded: dict[str, int]
    totals: dict[str, str]


class Segments:
    """The adds by segment, and the segments that have changed since the last ``take_changes``."""

    def __init__(self) -> None:
        self._adds: dict[int, list[TallyAdd]] = {}
        self._free: list[int] = []
        self._highest = 0
        self._open_segment = -1
        self._dirty: set[int] = set()
        self._is_base_dirty = False

    def append(self, add: TallyAdd) -> int:
        """Append an add to the open segment; return the segment's number."""
        if self._open_segment < 0 or len(self._adds[self._open_segment]) >= SEGMENT_ADDS:
            self._open_segment = self._allocate()
            self._adds[self._open_segment] = []
        self._adds[self._open_segment].append(add)
        self._dirty.add(self._open_segment)
        return self._open_segment

    def _allocate(self) -> int:
        if self._free:
            return self._free.pop()
        self._highest += 1
        return self._highest

    def drop_folded(self, touched: set[int], state: TallyState) -> None:
        """Drop the adds that are folded by now from these segments."""
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
        if self._open_segment == number:
            self._open_segment = -1

    @property
    def has_changes(self) -> bool:
        """Whether anything needs to be written."""
        return bool(self._dirty) or self._is_base_dirty

    def take_changes(self, state: TallyState) -> dict[str, bytes]:
        """Return the values to be written, and mark them as unchanged."""
        values = {f"{SEGMENT_PREFIX}{number}": _encode(self._adds.get(number, [])) for number in self._dirty}
        if self._is_base_dirty:
            totals = {tally: str(total) for tally, total in state.folded_totals.items()}
            values[BASE_KEY] = _encode(FoldedBase(state.folded, totals))
        self._dirty, self._is_base_dirty = set(), False
        return values

    def refused(self, values: Mapping[str, bytes]) -> None:
        """Mark values that could not be written as changed; the next write has their content by then."""
        for key in values:
            if key == BASE_KEY:
                self._is_base_dirty = True
            else:
                self._dirty.add(int(key.removeprefix(SEGMENT_PREFIX)))

    def restore(self, stored: Mapping[str, bytes]) -> TallyState:
        """Restore the segments from stored values; return the state."""
        base = msgspec.msgpack.decode(stored[BASE_KEY], type=FoldedBase) if BASE_KEY in stored else FoldedBase({}, {})
        state = TallyState(base.folded, {tally: int(total) for tally, total in base.totals.items()})
        found: list[tuple[TallyAdd, int]] = []
        for key, value in stored.items():
            if key.startswith(SEGMENT_PREFIX):
                found += self._read(int(key.removeprefix(SEGMENT_PREFIX)), value)
        segments = {(add.origin, add.number): number for add, number in found}
        for add in sorted_adds(add for add, _ in found):
            if add.number == state.applied_of(add.origin) + 1:
                state.append(add, segments[add.origin, add.number])
            else:
                record_violation("adds on disk are contiguous", f"{add.number} after {state.applied_of(add.origin)}")
        return state

    def _read(self, number: int, value: bytes) -> list[tuple[TallyAdd, int]]:
        adds = _adds.decode(value)
        self._highest = max(self._highest, number)
        if adds:
            self._adds[number] = adds
            if len(adds) < SEGMENT_ADDS:
                self._open_segment = number
        else:
            self._free.append(number)
        return [(add, number) for add in adds]
