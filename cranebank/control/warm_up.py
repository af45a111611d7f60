"""Leases of permits for requests to cold backends, as issued by one controller: the core, free of I/O.

Guarantee: at most ``most`` permits for one backend are usable by all proxies within one second, summed over all
controllers, where ``most`` =
floor(min(warmup_per_s x PERMIT_REUSE_INTERVAL_S, warmup_per_s x cold_over + cold_slack)). Since one permit allows at
most one request a second, and one per PERMIT_REUSE_INTERVAL_S in the long run (``membership/warm_up.py``), requests
under permits stay within the rule's bound, and within warmup_per_s on average.

- Each controller leases only its own share, without coordination: ``most`` divided by the number of known controllers.
  The divisor is at least the group size for the tolerated losses (twice their number plus one) and at least three, so
  that a controller that has just started and knows few others takes no larger share. The remainder goes to the lowest
  addresses (as text), one permit each, if this controller knows as many controllers as the divisor.
- A lease is bound to the proxy's clock as last reported by the proxy, so it ends ``lease_s`` after that report, however
  late the message with the permits arrives or the proxy reads it. A frozen proxy, link or controller cannot extend it.
- This controller leases the same permits again only ``lease_s + PERMIT_RELEASE_DELAY_S`` after it issued them: the last
  request under the earlier lease was then written more than a second before.
- A controller that starts issues no permits until all leases of an earlier process are over; the same time covers a
  controller that replaces a failed one.
- A takeover changes nothing: each controller leases its share, primary or not. A network partition removes permits
  (those of a controller without proxies) and never adds any.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Iterable, Set
from random import Random
from typing import NamedTuple

from cranebank.membership.warm_up import (
    MAX_PERMIT_LEASE_S,
    PERMIT_RELEASE_DELAY_S,
    PERMIT_REUSE_INTERVAL_S,
    WarmUpLimit,
)
from cranebank.transport.messages import WarmUpPermits

MAX_PERMITS = 4096  # for one backend; proxies keep a record of each
MIN_CONTROLLERS = 3  # smallest divisor of the permits, however few controllers are known
CLOCK_MAX_AGE_S = 1.0  # a proxy whose clock was reported longer ago gets no permits: it has missed two heartbeats
MIN_COLD_S = 0.1  # a backend that is cold for less gets no permits


class ColdBackend(NamedTuple):
    """A backend that is cold until a time of this controller's clock, and the limit of its service."""

    id: str
    limit: WarmUpLimit
    until: float


class RateBound(NamedTuple):
    """Bound on requests within one second: ``warmup_per_s x over + slack``."""

    over: float
    slack: float


class _Clock(NamedTuple):
    told_at: float
    clock: float


def max_permits(limit: WarmUpLimit, bound: RateBound) -> int:
    """Return the number of permits for one backend over all controllers.

    It exceeds neither what the backend's rate allows over the duration of a permit, nor the bound within one second.
    """
    permits = min(limit.per_s * PERMIT_REUSE_INTERVAL_S, limit.per_s * bound.over + bound.slack)
    return int(min(permits, MAX_PERMITS))


class PermitIssuer:
    """Issuer of the permits of one controller. Times are seconds of a monotonic clock."""

    def __init__(self, now: float, random: Random, ip: str, tolerated_losses: int, bound: RateBound) -> None:
        self._random, self._ip, self._bound = random, ip, bound
        self._min_controllers = max(2 * tolerated_losses + 1, MIN_CONTROLLERS)
        self._quiet_until = now + MAX_PERMIT_LEASE_S + PERMIT_RELEASE_DELAY_S
        self._clocks: dict[Hashable, _Clock] = {}  # of the linked proxies
        self._leased: dict[str, float] = {}  # time from which a backend's permits may be leased again

    def report_clock(self, now: float, link: Hashable, clock: float) -> None:
        """Record the clock that the proxy on this link reported."""
        self._clocks[link] = _Clock(now, clock)

    def forget(self, link: Hashable) -> None:
        """Drop the clock of a closed link; permits leased over it expire."""
        self._clocks.pop(link, None)

    def share(self, limit: WarmUpLimit, controllers: Set[str]) -> int:
        """Return this controller's number of permits for one backend, given the known controllers."""
        most = max_permits(limit, self._bound)
        known = sorted(controllers | {self._ip})
        count = max(len(known), self._min_controllers)
        has_rest = len(known) >= self._min_controllers and known.index(self._ip) < most % count
        return most // count + has_rest

    def hand_out(
        self, now: float, cold: Iterable[ColdBackend], controllers: Set[str]
    ) -> list[tuple[Hashable, WarmUpPermits]]:
        """Lease the permits of cold backends that have none leased to randomly drawn proxies; return the messages to
        send, with their links."""
        if now < self._quiet_until:
            return []
        self._leased = {backend: until for backend, until in self._leased.items() if until > now}
        links = [link for link, clock in self._clocks.items() if now - clock.told_at <= CLOCK_MAX_AGE_S]
        if not links:
            return []
        out: list[tuple[Hashable, WarmUpPermits]] = []
        for backend in cold:
            share = self.share(backend.limit, controllers)
            if share > 0 and backend.id not in self._leased and backend.until - now >= MIN_COLD_S:
                out += self._lease(now, backend, self._distribute(links, share))
        return out

    def _distribute(self, links: list[Hashable], count: int) -> Counter[Hashable]:
        """Distribute a number of permits over the links as evenly as possible, the remainder at random."""
        each, rest = divmod(count, len(links))
        drawn = Counter(dict.fromkeys(links, each) if each else {})
        drawn.update(self._random.sample(links, rest))
        return drawn

    def _lease(
        self, now: float, backend: ColdBackend, drawn: Counter[Hashable]
    ) -> list[tuple[Hashable, WarmUpPermits]]:
        lease_s = min(MAX_PERMIT_LEASE_S, backend.until - now + CLOCK_MAX_AGE_S)
        self._leased[backend.id] = now + lease_s + PERMIT_RELEASE_DELAY_S
        return [
            (link, WarmUpPermits(backend.id, permits, self._clocks[link].clock + lease_s))
            for link, permits in drawn.items()
        ]
