"""What proxies ask of each stage of each service, as they told it last: the core, free of I/O.

Every controller keeps it, so that one that becomes primary knows the load at once. A proxy tells its load with each of
its heartbeats; one that is silent, or whose link is over, counts no longer.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable

from cranebank.transport.messages import StageLoad

VALID_S = 2.0  # a proxy's load counts for so long: some of its heartbeats may be late


class LoadTable:
    """By link, so bounded by the proxies that are linked and by what one tells. Times are a steady clock's seconds."""

    def __init__(self) -> None:
        self._told: dict[Hashable, tuple[float, tuple[StageLoad, ...]]] = {}

    def report(self, now: float, link: Hashable, loads: tuple[StageLoad, ...]) -> None:
        """A proxy tells its load."""
        if loads:
            self._told[link] = now, loads
        else:
            self._told.pop(link, None)

    def forget(self, link: Hashable) -> None:
        """A link is over."""
        self._told.pop(link, None)

    def total(self, now: float) -> dict[str, StageLoad]:
        """The load of each service, summed over the proxies."""
        self._told = {link: told for link, told in self._told.items() if now - told[0] <= VALID_S}
        return _sum(load for _, loads in self._told.values() for load in loads)


def _sum(loads: Iterable[StageLoad]) -> dict[str, StageLoad]:
    total: dict[str, StageLoad] = {}
    for load in loads:
        known = total.get(load.service, StageLoad(load.service, 0.0, 0.0))
        total[load.service] = StageLoad(load.service, known.prefill + load.prefill, known.decode + load.decode)
    return total
