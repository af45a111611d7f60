"""The kernel of simulated time: one heap of integer microseconds, a digest of every event, timers that go away.

Events at one time happen in the order in which they were asked for. A cancelled event stays in the heap until its
time or until half of the heap is cancelled, then the heap is made anew: memory is bounded by twice the live events.
"""

from __future__ import annotations

import heapq
import struct
from collections.abc import Callable
from typing import Any

import xxhash

_PACK = struct.Struct("<qI").pack
_SMALL = 64  # cancelled events below this number are left where they are


class Event:
    """Something that is to happen; ``cancel`` takes it back."""

    __slots__ = ("_kernel", "arguments", "at", "do")

    def __init__(self, kernel: Kernel, at: int, do: Callable[..., object], arguments: tuple[Any, ...]) -> None:
        self._kernel, self.at, self.do, self.arguments = kernel, at, do, arguments

    def cancel(self) -> None:
        """It does not happen; nothing it would have used is kept."""
        if self.do is not _nothing:
            self.do, self.arguments = _nothing, ()
            self._kernel.dropped()


def _nothing() -> None:
    """In the place of a cancelled event."""


class Kernel:
    """Time, and what is to happen."""

    def __init__(self, start: int = 0) -> None:
        self.now = start
        self.events = 0
        self._order = 0
        self._heap: list[tuple[int, int, Event]] = []
        self._dead = 0
        self._digest = xxhash.xxh64()
        self._labels: dict[Any, int] = {}
        self._stopped = False

    def at(self, when: int, do: Callable[..., object], *arguments: Any) -> Event:
        """Call at ``when``; what is past happens next, at the present time."""
        event = Event(self, max(when, self.now), do, arguments)
        self._order += 1
        heapq.heappush(self._heap, (event.at, self._order, event))
        return event

    def dropped(self) -> None:
        """An event was cancelled."""
        self._dead += 1
        if self._dead > _SMALL and 2 * self._dead > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].do is not _nothing]
            heapq.heapify(self._heap)
            self._dead = 0

    @property
    def waiting(self) -> int:
        """Events in the heap, cancelled ones included."""
        return len(self._heap)

    def run(self, until: int | None = None) -> None:
        """Let everything happen, or all up to and including ``until``."""
        heap, update = self._heap, self._digest.update
        self._stopped = False
        while heap and not self._stopped and (until is None or heap[0][0] <= until):
            at, _, event = heapq.heappop(heap)
            do = event.do
            if do is _nothing:
                self._dead -= 1
                continue
            self.now = at
            self.events += 1
            arguments, event.do, event.arguments = event.arguments, _nothing, ()
            update(_PACK(at, self._label(do)))
            do(*arguments)
            heap = self._heap  # it may have been made anew
        if until is not None and not self._stopped:
            self.now = max(self.now, until)

    def stop(self) -> None:
        """Let nothing more happen in this ``run``."""
        self._stopped = True

    def _label(self, do: Callable[..., object]) -> int:
        """What kind of event it is: the hash of the function's name, the same in every process."""
        function = getattr(do, "__func__", do)
        label = self._labels.get(function)
        if label is None:
            name = getattr(function, "__qualname__", type(do).__name__)
            label = self._labels[function] = xxhash.xxh32_intdigest(name.encode())
        return label

    def note(self, data: bytes) -> None:
        """Take something else that came out of the run into the digest."""
        self._digest.update(data)

    def digest(self) -> str:
        """xxHash64 of all that has happened: times and kinds of events, and what was noted."""
        return self._digest.hexdigest()
