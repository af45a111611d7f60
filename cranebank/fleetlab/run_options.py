"""What a run has beside clients, backends and an operator of configurations; each is off where a plan names nothing."""

from __future__ import annotations

import msgspec


class TallyLoad(msgspec.Struct, frozen=True):
    """What the applications of a run do."""

    rate: float = 8.0  # calls a second of the applications of one zone
    tallies: int = 4
    share_read: float = 0.4


class RunOptions(msgspec.Struct, frozen=True):
    """All of it."""

    tallies: TallyLoad | None = None
