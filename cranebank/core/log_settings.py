"""Settings of the log; in a module of their own, so that checking them imports no logging library."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta


class LogSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What is logged: up to ``burst`` lines of an event in ``period_s``; at level debug, one request in ``sample``;
    every ``tally_s`` a line with counters and state (0: none)."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["text", "json"] = "text"
    burst: Annotated[int, Meta(ge=1, le=10_000)] = 5
    period_s: Annotated[float, Meta(ge=0.1, le=3600.0)] = 10.0
    sample: Annotated[int, Meta(ge=1, le=1_000_000)] = 1
    followed: Annotated[int, Meta(ge=1, le=100_000)] = 200  # requests traced in a period, at level debug
    tally_s: Annotated[float, Meta(ge=0.0, le=3600.0)] = 0.0
