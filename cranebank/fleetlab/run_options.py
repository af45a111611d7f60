"""Optional parts of a run besides clients, backends and the configuration operator. Each is off by default."""

from __future__ import annotations

import msgspec


class TallyLoad(msgspec.Struct, frozen=True):
    """The load of the tally applications."""

    rate: float = 8.0  # calls per second from each zone
    tallies: int = 4
    share_read: float = 0.4


class WarmUp(msgspec.Struct, frozen=True):
    """The warm-up of backends: its duration, and how many requests per second a cold backend can take."""

    cold_s: float = 3.0
    warmup_per_s: float = 6.0


class RunOptions(msgspec.Struct, frozen=True):
    """The optional parts of a run."""

    tallies: TallyLoad | None = None
    warm_up: WarmUp | None = None
