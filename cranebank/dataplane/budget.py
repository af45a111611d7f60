"""The retry budget that all proxies share. Each proxy spends only its own part, so no coordination is needed.

In every window a proxy makes at most ``ratio`` x its own requests for a service, plus its part of the slack, in further
calls. The parts sum to less than the whole budget. A proxy that has just started does not know what it spent before a
restart, so it has no slack until a window has passed.
"""

from __future__ import annotations

from collections import deque

RATIO_USED = 0.8  # share of the allowed ratio, as the windows of other proxies may not line up with this one's
SLACK_USED = 0.7  # share of the slack that all proxies use together; the rest is for proxies that join during a window


class Budget:
    """The budget of one service at one proxy. Times are in seconds on the steady clock."""

    def __init__(self, ratio: float, slack: float, window_s: float, fresh_until: float) -> None:
        self._ratio, self._slack, self._window = ratio * RATIO_USED, slack * SLACK_USED, window_s
        self._fresh_until = fresh_until
        self._requests: deque[float] = deque()
        self._spent: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a client's request for the service."""
        self._requests.append(now)
        self._trim(now)

    def allows(self, now: float, proxies: int) -> bool:
        """Return whether a further call may be made."""
        self._trim(now)
        slack = 0.0 if now < self._fresh_until else self._slack / max(1, proxies)
        return len(self._spent) + 1 <= self._ratio * len(self._requests) + slack

    def spend(self, now: float) -> None:
        """Count a further call, or a first one that was rejected."""
        self._spent.append(now)

    def is_idle(self, now: float) -> bool:
        """Return whether the window is empty, so that a new budget would allow the same."""
        self._trim(now)
        return not self._requests and not self._spent

    def _trim(self, now: float) -> None:
        limit = now - self._window
        while self._requests and self._requests[0] < limit:
            self._requests.popleft()
        while self._spent and self._spent[0] < limit:
            self._spent.popleft()
