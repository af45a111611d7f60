"""What neighbours have out at each backend, as they told lately: sums by backend, no clock, no sockets.

Each neighbour's newest figures are kept for ``KEPT_S`` and then count no more; a loss of a datagram is mended by the
next. ``merge`` and ``expire`` return the sums that changed, so that whoever uses them is kept current without asking.
"""

from __future__ import annotations

from collections.abc import Iterable

from cranebank.invariants import invariant_error
from cranebank.transport.messages import Load

KEPT_S = 1.0
PROXIES = 64  # whose figures are kept
BACKENDS = 1024  # for each of them
LARGEST = 1 << 40  # a figure beyond this is none

LoadSums = dict[str, tuple[int, int]]


class _Proxy:
    """Figures of one neighbour: by backend calls, tokens and when they came."""

    __slots__ = ("at", "figures", "number")

    def __init__(self) -> None:
        self.number, self.at = -1, 0.0
        self.figures: dict[str, tuple[int, int, float]] = {}


class NeighbourLoads:
    """Sums of neighbours' figures."""

    def __init__(self) -> None:
        self._proxies: dict[str, _Proxy] = {}
        self._sums: LoadSums = {}

    def merge(self, now: float, ip: str, number: int, loads: Iterable[Load]) -> LoadSums:
        """Take a neighbour's figures; older ones than it told before are left out. The sums that changed."""
        proxy = self._proxies.get(ip)
        if proxy is None:
            if len(self._proxies) >= PROXIES:
                return {}
            proxy = self._proxies[ip] = _Proxy()
        if number <= proxy.number and now - proxy.at <= KEPT_S:
            return {}  # overtaken on its way; one that began anew counts from the start after KEPT_S
        proxy.number, proxy.at = number, now
        changed: LoadSums = {}
        for load in loads:
            if not (0 <= load.calls <= LARGEST and 0 <= load.tokens <= LARGEST):
                continue
            known = proxy.figures.get(load.backend)
            if load.calls or load.tokens:
                if known is None and len(proxy.figures) >= BACKENDS:
                    continue
                proxy.figures[load.backend] = (load.calls, load.tokens, now)
            else:
                proxy.figures.pop(load.backend, None)
            old_calls, old_tokens = known[:2] if known is not None else (0, 0)
            self._add(load.backend, load.calls - old_calls, load.tokens - old_tokens, changed)
        return changed

    def expire(self, now: float) -> LoadSums:
        """Let go of what is too old. The sums that changed."""
        changed: LoadSums = {}
        for ip, proxy in list(self._proxies.items()):
            for backend, (calls, tokens, at) in list(proxy.figures.items()):
                if now - at > KEPT_S:
                    del proxy.figures[backend]
                    self._add(backend, -calls, -tokens, changed)
            if not proxy.figures and now - proxy.at > KEPT_S:
                del self._proxies[ip]
        return changed

    def sums(self) -> LoadSums:
        """All sums that are not zero: calls and tokens by backend."""
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
