"""Load of each stage of each service, from the proxies' last reports: the core, free of I/O.

Every controller keeps this table, so that a new primary knows the load at once. A proxy reports its load with each of
its heartbeats; the report of a silent or disconnected proxy no longer counts.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable

from cranebank.transport.messages import StageLoad

LOAD_TTL_S = 2.0  # how long a proxy's report counts: some of its heartbeats may be late


class LoadTable:
    """Reports by link, so bounded by the linked proxies and by the size of a report. Times are monotonic seconds."""

    def __init__(self) -> None:
        self._reports: dict[Hashable, tuple[float, tuple[StageLoad, ...]]] = {}

    def report(self, now: float, link: Hashable, loads: tuple[StageLoad, ...]) -> None:
        """Replace the report of the proxy on this link."""
        if loads:
            self._reports[link] = now, loads
        else:
            self._reports.pop(link, None)

    def forget(self, link: Hashable) -> None:
        """Drop the report of a closed link."""
        self._reports.pop(link, None)

    def total(self, now: float) -> dict[str, StageLoad]:
        """Return the load of each service, summed over the proxies."""
        self._reports = {link: report for link, report in self._reports.items() if now - report[0] <= LOAD_TTL_S}
        return _sum(load for _, loads in self._reports.values() for load in loads)


def _sum(loads: Iterable[StageLoad]) -> dict[str, StageLoad]:
    total: dict[str, StageLoad] = {}
    for load in loads:
        known = total.get(load.service, StageLoad(load.service, 0.0, 0.0))
        total[load.service] = StageLoad(load.service, known.prefill + load.prefill, known.decode + load.decode)
    return total
