"""How long a backend stays cold after a start during traffic, or after it turns cold again. No I/O and no clock."""

from __future__ import annotations

from cranebank.fleetlab.records import ColdTime
from cranebank.fleetlab.run_options import WarmUp


class Warmth:
    """Tracks the cold state of one backend and records each cold period for the judge."""

    def __init__(self, instance: str, warm_up: WarmUp, times: list[ColdTime]) -> None:
        self._instance, self._warm_up, self._times = instance, warm_up, times
        self._cold_until = 0.0

    def turn_cold(self, now: float) -> None:
        """Begin a cold period that lasts for the backend's warm-up time."""
        self._cold_until = now + self._warm_up.cold_s
        self._times.append(ColdTime(self._instance, now, self._cold_until, self._warm_up.warmup_per_s))

    def left_ms(self, now: float) -> int:
        """Return the remaining cold time, or 0 for a warm backend."""
        return max(0, round(1e3 * (self._cold_until - now)))
