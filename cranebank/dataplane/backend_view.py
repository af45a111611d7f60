"""What this proxy has seen of one backend itself: its calls there, and how they ended."""

from __future__ import annotations

from cranebank.dataplane.prefill_queue import PrefillQueue, Slowness
from cranebank.transport.messages import Backend


class BackendView:
    """One backend as seen from here. ``calls`` and ``tokens`` are out at it from this proxy, ``others_calls`` and
    ``others_tokens`` from the neighbours that tell us theirs."""

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
        self.unreported_slowness = 0.0  # observed here last, and not told to others yet
        self.load_changed_at = 0.0  # when the figures last changed, by a call sent or ended
        self.answered_at = float("-inf")
        self.lost_at = 0.0  # when its heartbeats ceased, where they have
        self.is_replaced = False  # another backend was last known to serve at its address
        self.backoff_until = self.backoff_s = 0.0
        self.held_until = 0.0  # it is about to change its stage: nothing is sent there before

    def is_avoided(self, now: float) -> bool:
        """Whether others are asked first: it failed lately, or is about to change its stage."""
        return max(self.backoff_until, self.held_until) > now

    @property
    def all_calls(self) -> int:
        """Calls that are out there, as far as this proxy is told."""
        return self.calls + self.others_calls

    @property
    def has_failed(self) -> bool:
        """Whether a call failed since the last answer."""
        return self.backoff_s > 0.0
