"""Load that neighbours have recently reported to have outstanding at each backend, summed by backend. No I/O, no clock.

Each neighbour's newest loads expire after ``MAX_AGE_S``; the next datagram makes up for a lost one. ``merge`` and
``expire`` return the sums that changed, so that a caller can stay up to date incrementally.
"""

from __future__ import annotations

from collections.abc import Iterable

from cranebank.invariants import invariant_error
from cranebank.transport.messages import Load

MAX_AGE_S = 1.0
MAX_PROXIES = 64
MAX_BACKENDS_PER_PROXY = 1024
MAX_VALUE = 1 << 40  # a load beyond this is ignored as invalid

LoadSums = dict[str, tuple[int, int]]


class _ProxyLoads:
    """Loads of one neighbour, by backend: calls, tokens and time of receipt."""

    __slots__ = ("at", "by_backend", "number")

    def __init__(self) -> None:
        self.number, self.at = -1, 0.0
        self.by_backend: dict[str, tuple[int, int, float]] = {}


class NeighbourLoads:
    """Sums of the neighbours' loads."""

    def __init__(self) -> None:
        self._proxies: dict[str, _ProxyLoads] = {}
        self._sums: LoadSums = {}

    def merge(self, now: float, ip: str, number: int, loads: Iterable[Load]) -> LoadSums:
        """Merge a neighbour's loads unless newer ones were received before; return the sums that changed."""
        proxy = self._proxies.get(ip)
        if proxy is None:
            if len(self._proxies) >= MAX_PROXIES:
                return {}
            proxy = self._proxies[ip] = _ProxyLoads()
        if number <= proxy.number and now - proxy.at <= MAX_AGE_S:
            return {}  # reordered; a restarted proxy numbers from 1 again, and is accepted after MAX_AGE_S
        proxy.number, proxy.at = number, now
        changed: LoadSums = {}
        for load in loads:
            if not (0 <= load.calls <= MAX_VALUE and 0 <= load.tokens <= MAX_VALUE):
                continue
            known = proxy.by_backend.get(load.backend)
            if load.calls or load.tokens:
                if known is None and len(proxy.by_backend) >= MAX_BACKENDS_PER_PROXY:
                    continue
                proxy.by_backend[load.backend] = (load.calls, load.tokens, now)
            else:
                proxy.by_backend.pop(load.backend, None)
            old_calls, old_tokens = known[:2] if known is not None else (0, 0)
            self._add(load.backend, load.calls - old_calls, load.tokens - old_tokens, changed)
        return changed

    def expire(self, now: float) -> LoadSums:
        """Drop loads that are too old; return the sums that changed."""
        changed: LoadSums = {}
        for ip, proxy in list(self._proxies.items()):
            for backend, (calls, tokens, at) in list(proxy.by_backend.items()):
                if now - at > MAX_AGE_S:
                    del proxy.by_backend[backend]
                    self._add(backend, -calls, -tokens, changed)
            if not proxy.by_backend and now - proxy.at > MAX_AGE_S:
                del self._proxies[ip]
        return changed

    def sums(self) -> LoadSums:
        """Return all non-zero sums: calls and tokens by backend."""
        return dict(self._sums)

    def _add(self, backend: str, calls: int, tokens: int, changed: LoadSums) -> None:
        if not calls and not tokens:
            return
        old_calls, old_tokens = self._sums.get(backend, (0, 0))
        total = (old_calls + calls, old_tokens + tokens)
        if total[0] < 0 or total[1] < 0:
            raise invariant_error("loads are not below zero", f"{backend}: {total}")
        if total == (0, 0):
            self._sums.pop(backend, None)
        else:
            self._sums[backend] = total
        changed[backend] = total
