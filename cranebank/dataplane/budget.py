"""The retry budget that all proxies hold in common, kept by construction: each proxy spends its own part only.

In every window a proxy makes at most ``ratio`` x its own requests for a service, and its part of the slack, further
calls. The parts sum to less than the whole, so no message is needed to keep the rule; a proxy that has just started
does not know what its former life spent and counts all of its slack as spent until a window has passed.
"""

from __future__ import annotations

from collections import deque

RATIO_USED = 0.8  # of the allowed ratio: windows of others may not line up with ours
SLACK_USED = 0.7  # of the slack, over all proxies: what may join during a window


class Budget:
    """One service's budget at one proxy. Times in seconds on the steady clock."""

    def __init__(self, ratio: float, slack: float, window_s: float, fresh_until: float) -> None:
        self._ratio, self._slack, self._window = ratio * RATIO_USED, slack * SLACK_USED, window_s
        self._fresh_until = fresh_until
        self._requests: deque[float] = deque()
        self._spent: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """A client's request for the service."""
        self._requests.append(now)
        self._trim(now)

    def may(self, now: float, proxies: int) -> bool:
        """Whether a further call may be made."""
        self._trim(now)
        slack = 0.0 if now < self._fresh_until else self._slack / max(1, proxies)
        return len(self._spent) + 1 <= self._ratio * len(self._requests) + slack

    def spend(self, now: float) -> None:
        """A further call was made, or a first one was rejected."""
        self._spent.append(now)

    def is_idle(self, now: float) -> bool:
        """Whether nothing in the window counts: a new budget would allow the same."""
        self._trim(now)
        return not self._requests and not self._spent

    def _trim(self, now: float) -> None:
        limit = now - self._window
        while self._requests and self._requests[0] < limit:
            self._requests.popleft()
        while self._spent and self._spent[0] < limit:
            self._spent.popleft()
