"""How long a backend stays cold: after its start during traffic, and whenever it turns cold again. No I/O, no clock."""

from __future__ import annotations

from cranebank.fleetlab.records import ColdTime
from cranebank.fleetlab.run_options import WarmUp


class Warmth:
    """One backend's; each cold time is written down for the judge."""

    def __init__(self, instance: str, warm_up: WarmUp, times: list[ColdTime]) -> None:
        self._instance, self._warm_up, self._times = instance, warm_up, times
        self._cold_until = 0.0

    def turn_cold(self, now: float) -> None:
        """Cold from now on, for as long as a backend takes to get warm."""
        self._cold_until = now + self._warm_up.cold_s
        self._times.append(ColdTime(self._instance, now, self._cold_until, self._warm_up.warmup_per_s))

    def left_ms(self, now: float) -> int:
        """How much longer it is cold; 0 where it is warm."""
        return max(0, round(1e3 * (self._cold_until - now)))
