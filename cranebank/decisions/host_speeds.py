"""Relative speeds of the kinds of host, learnt from how long their answers take. No I/O, no clock.

A list may name the kinds of host without their capacities (``Weights`` off). Where every kind gets calls in proportion
to its size and all are equally busy, latencies are in inverse proportion to speed; a kind whose size is set too high
gets more calls, answers later and is set lower again. So the estimate needs no queueing model (docs/design.md).
"""

from __future__ import annotations

SIZE_EXPONENT = 1.5  # size by speed: spare capacity grows as the root of speed, so fast hosts take more than their part
MAX_ANSWERS = 256  # answers of a kind that count: chance moves the mean of heavy-tailed ones by 6%
PRIOR_ANSWERS = 8  # answers of usual length that a kind starts with
MAX_RATIO = 5.0  # one answer counts as this many usual ones at most: outliers say little about speed
MIN_CHANGE = 0.05  # sizes are updated when one has changed by this share


class HostSpeeds:
    """Mean latency by host kind, as a multiple of the usual latency of each answer's class; 1 where nothing is known.

    Holds one pair of numbers for each kind that has answered: as many as the settings name kinds, and one more.
    """

    def __init__(self) -> None:
        self._ratios: dict[int, tuple[float, int]] = {}
        self._used: dict[int, float] = {}

    def learn(self, kind: int, ratio: float) -> None:
        """Count an answer that took ``ratio`` times the usual latency of its class."""
        mean, count = self._ratios.get(kind, (1.0, PRIOR_ANSWERS))
        self._ratios[kind] = (mean + (min(ratio, MAX_RATIO) - mean) / min(count + 1, MAX_ANSWERS), count + 1)

    def update_sizes(self) -> bool:
        """Set sizes by what was learnt; return whether any changed by more than ``MIN_CHANGE``."""
        changed = {
            kind: mean
            for kind, (mean, _) in self._ratios.items()
            if abs(mean / self._used.get(kind, 1.0) - 1.0) > MIN_CHANGE
        }
        self._used |= changed
        return bool(changed)

    def size(self, kind: int) -> float:
        """Return the capacity of a host of this kind, relative to one of mean speed."""
        return float(self._used.get(kind, 1.0) ** -SIZE_EXPONENT)
