"""The state that all requests of a proxy share."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from cranebank.dataplane.budget import Budget
from cranebank.dataplane.cache_view import CacheView
from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.choices import Choices
from cranebank.dataplane.offered_load import OfferedLoad
from cranebank.transport.messages import PrefillBegun


class Shared(msgspec.Struct):
    """The state that all requests of a proxy share."""

    candidates: Candidates
    choices: Choices
    cache: CacheView
    budget: Callable[[str], Budget]
    counters: dict[str, int]
    load: OfferedLoad = msgspec.field(default_factory=OfferedLoad)
    # Backend, last part of the shared prefix, tokens up to it
    on_prefix_cached: Callable[[str, str, int], None] | None = None
    on_prefill_begun: Callable[[PrefillBegun], None] | None = None

    def count(self, name: str, more: int = 1) -> None:
        """Increase a counter."""
        self.counters[name] = self.counters.get(name, 0) + more
