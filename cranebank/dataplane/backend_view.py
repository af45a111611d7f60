"""What this proxy knows of one backend by its own calls there and by its neighbours' reports."""

from __future__ import annotations

from cranebank.dataplane.prefill_queue import PrefillQueue, Slowness
from cranebank.transport.messages import Backend


class BackendView:
    """One backend as this proxy sees it. ``calls`` and ``tokens`` are in flight there from this proxy, ``others_calls``
    and ``others_tokens`` from the neighbours that report theirs."""

    __slots__ = (
        "answered_at",
        "backend",
        "backoff_s",
        "backoff_until",
        "calls",
        "held_until",
        "is_replaced",
        "load_changed_at",
        "lost_at",
        "others_calls",
        "others_tokens",
        "prefill_queue",
        "slowness",
        "tokens",
        "unreported_slowness",
    )

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.calls = 0
        self.tokens = 0
        self.others_calls = self.others_tokens = 0
        self.prefill_queue, self.slowness = PrefillQueue(), Slowness()
        self.unreported_slowness = 0.0  # last observation here that has not been reported to other proxies yet
        self.load_changed_at = 0.0  # when a call was last sent or ended
        self.answered_at = float("-inf")
        self.lost_at = 0.0  # when its heartbeats ceased, if they have
        self.is_replaced = False  # another backend was last known to serve at its address
        self.backoff_until = self.backoff_s = 0.0
        self.held_until = 0.0  # nothing is sent there before, as it is about to change its stage

    def is_avoided(self, now: float) -> bool:
        """Return whether others are preferred: the backend failed recently or is about to change its stage."""
        return max(self.backoff_until, self.held_until) > now

    @property
    def all_calls(self) -> int:
        """Return the calls in flight there that this proxy knows of."""
        return self.calls + self.others_calls

    @property
    def has_failed(self) -> bool:
        """Return whether a call has failed since the last answer."""
        return self.backoff_s > 0.0
