"""What a run has beside clients, backends and an operator of configurations; each is off where a plan names nothing."""

from __future__ import annotations

import msgspec


class TallyLoad(msgspec.Struct, frozen=True):
    """What the applications of a run do."""

    rate: float = 8.0  # calls a second of the applications of one zone
    tallies: int = 4
    share_read: float = 0.4


class WarmUp(msgspec.Struct, frozen=True):
    """How backends get warm: how long that takes, and how many requests a second a cold one bears."""

    cold_s: float = 3.0
    warmup_per_s: float = 6.0


class RunOptions(msgspec.Struct, frozen=True):
    """All of it."""

    tallies: TallyLoad | None = None
    warm_up: WarmUp | None = None
