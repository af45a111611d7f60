"""Event loop of the simulation: a heap of events in integer microseconds, cancellation, and a digest of all events.

Events scheduled for the same time run in the order in which they were scheduled. A cancelled event stays in the heap
until its time comes or until half of the heap is cancelled; the heap is then rebuilt without the cancelled events, so
memory is bounded by twice the number of live events.
"""

from __future__ import annotations

import heapq
import struct
from collections.abc import Callable
from typing import Any

import xxhash

_PACK = struct.Struct("<qI").pack
_MIN_CANCELLED_TO_COMPACT = 64  # with fewer cancelled events the heap isn't rebuilt


class Event:
    """A scheduled call."""

    __slots__ = ("_kernel", "arguments", "at", "callback")

    def __init__(self, kernel: Kernel, at: int, callback: Callable[..., object], arguments: tuple[Any, ...]) -> None:
        self._kernel, self.at, self.callback, self.arguments = kernel, at, callback, arguments

    def cancel(self) -> None:
        """Cancel the call and release its arguments; without effect once it has run."""
        if self.callback is not _cancelled:
            self.callback, self.arguments = _cancelled, ()
            self._kernel.count_cancelled()


def _cancelled() -> None:
    """Stand in for the callback of an event that was cancelled or has run."""


class Kernel:
    """The simulated clock and its scheduled events."""

    def __init__(self, start: int = 0) -> None:
        self.now = start
        self.events = 0
        self._last_order = 0
        self._heap: list[tuple[int, int, Event]] = []
        self._cancelled_count = 0
        self._digest = xxhash.xxh64()
        self._labels: dict[Any, int] = {}
        self._stopped = False

    def at(self, when: int, callback: Callable[..., object], *arguments: Any) -> Event:
        """Schedule a call at ``when`` (microseconds); a time in the past means now."""
        event = Event(self, max(when, self.now), callback, arguments)
        self._last_order += 1
        heapq.heappush(self._heap, (event.at, self._last_order, event))
        return event

    def count_cancelled(self) -> None:
        """Count a cancelled event, and rebuild the heap when most of its events are cancelled."""
        self._cancelled_count += 1
        if self._cancelled_count > _MIN_CANCELLED_TO_COMPACT and 2 * self._cancelled_count > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].callback is not _cancelled]
            heapq.heapify(self._heap)
            self._cancelled_count = 0

    @property
    def pending_count(self) -> int:
        """Number of events in the heap, including cancelled ones."""
        return len(self._heap)

    def run(self, until: int | None = None) -> None:
        """Run all events, or those up to and including ``until``."""
        heap, update = self._heap, self._digest.update
        self._stopped = False
        while heap and not self._stopped and (until is None or heap[0][0] <= until):
            at, _, event = heapq.heappop(heap)
            callback = event.callback
            if callback is _cancelled:
                self._cancelled_count -= 1
                continue
            self.now = at
            self.events += 1
            arguments, event.callback, event.arguments = event.arguments, _cancelled, ()
            update(_PACK(at, self._label(callback)))
            callback(*arguments)
            heap = self._heap  # the callback may have caused a rebuild
        if until is not None and not self._stopped:
            self.now = max(self.now, until)

    def stop(self) -> None:
        """End the current ``run`` after the present event."""
        self._stopped = True

    def _label(self, callback: Callable[..., object]) -> int:
        """Return the hash of the callback's qualified name, the same in every process.

        Renaming a scheduled function or its class therefore changes the digests of runs.
        """
        function = getattr(callback, "__func__", callback)
        label = self._labels.get(function)
        if label is None:
            name = getattr(function, "__qualname__", type(callback).__name__)
            label = self._labels[function] = xxhash.xxh32_intdigest(name.encode())
        return label

    def add_to_digest(self, data: bytes) -> None:
        """Include other output of the run in the digest."""
        self._digest.update(data)

    def digest(self) -> str:
        """Return the xxHash64 of the times and labels of all events that ran and of the data from ``add_to_digest``."""
        return self._digest.hexdigest()
