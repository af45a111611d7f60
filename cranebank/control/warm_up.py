"""Leases of permits for requests to cold backends, as one controller gives them out: the core, free of I/O.

Guarantee: the permits for one backend that any proxies may use within one second are ``most`` or fewer, summed over all
controllers, where ``most`` = floor(min(warmup_per_s x PERMIT_REUSE_INTERVAL_S, warmup_per_s x cold_over + cold_slack)).
Since one permit stands for one request a second at most, and for one in PERMIT_REUSE_INTERVAL_S in the long run
(``membership/warm_up.py``), requests under permits stay within the rule's bound, and within warmup_per_s on average.

- Each controller leases its own share only, of which no other has to know: ``most`` divided by the number of known
  controllers. As many count at least as bear the tolerated losses (twice those and one), and three at least: one that
  has just come and knows few takes no more. The rest goes one each to the lowest addresses (as text), where this
  controller knows as many as count.
- A lease is bound to the proxy's clock as the proxy told it last, so it ends ``lease_s`` after that telling, however
  late the message with the permits comes or the proxy looks at it. A frozen proxy, link or controller can't stretch it.
- This controller leases the same permits anew only ``lease_s + PERMIT_RELEASE_DELAY_S`` after it gave them: the last
  request under the earlier lease was then written more than a second before.
- A controller that starts gives out nothing until all leases of an earlier life are over; the same span covers one
  that takes the place of a dead one.
- A takeover of the lead changes nothing: leader or not, each controller leases its share. A cut takes permits away
  (those of a controller without proxies), and never adds any.
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

CONTROLLERS_LEAST = 3  # that count, however few are known
CLOCK_MAX_AGE_S = 1.0  # a proxy whose clock was told longer ago gets no permits: two of its heartbeats are missing
WORTH_S = 0.1  # what is cold for less gets no permits


class ColdBackend(NamedTuple):
    """A backend that is cold until a time of this controller's clock."""

    id: str
    limit: WarmUpLimit
    until: float


class RateBound(NamedTuple):
    """The rule's figures: requests a second stay within ``warmup_per_s x over + slack``."""

    over: float
    slack: float


class _Clock(NamedTuple):
    told_at: float
    clock: float


def max_permits(limit: WarmUpLimit, bound: RateBound) -> int:
    """The permits for one backend, over all controllers: no more than its rate allows over the time that a permit is in
    use, and no more than the rule's bound allows within one second."""
    return int(min(limit.per_s * PERMIT_REUSE_INTERVAL_S, limit.per_s * bound.over + bound.slack))


class PermitIssuer:
    """The permits of one controller. Times are a steady clock's seconds."""

    def __init__(self, now: float, random: Random, ip: str, tolerated_losses: int, bound: RateBound) -> None:
        self._random, self._ip, self._bound = random, ip, bound
        self._controllers_least = max(2 * tolerated_losses + 1, CONTROLLERS_LEAST)
        self._quiet_until = now + MAX_PERMIT_LEASE_S + PERMIT_RELEASE_DELAY_S
        self._clocks: dict[Hashable, _Clock] = {}  # of the proxies that are linked
        self._leased: dict[str, float] = {}  # by backend: when its permits may be leased anew

    def report_clock(self, now: float, link: Hashable, clock: float) -> None:
        """The proxy on this link told its clock."""
        self._clocks[link] = _Clock(now, clock)

    def forget(self, link: Hashable) -> None:
        """A link is over; what was leased over it runs out."""
        self._clocks.pop(link, None)

    def share(self, limit: WarmUpLimit, controllers: Set[str]) -> int:
        """This controller's permits for one backend, where these controllers are known."""
        most = max_permits(limit, self._bound)
        known = sorted(controllers | {self._ip})
        count = max(len(known), self._controllers_least)
        has_rest = len(known) >= self._controllers_least and known.index(self._ip) < most % count
        return most // count + has_rest

    def hand_out(
        self, now: float, cold: Iterable[ColdBackend], controllers: Set[str]
    ) -> list[tuple[Hashable, WarmUpPermits]]:
        """Lease the permits of those cold backends whose permits are not leased, to proxies drawn by lot: by link,
        the message to send."""
        if now < self._quiet_until:
            return []
        self._leased = {backend: until for backend, until in self._leased.items() if until > now}
        links = [link for link, clock in self._clocks.items() if now - clock.told_at <= CLOCK_MAX_AGE_S]
        if not links:
            return []
        out: list[tuple[Hashable, WarmUpPermits]] = []
        for backend in cold:
            share = self.share(backend.limit, controllers)
            if share > 0 and backend.id not in self._leased and backend.until - now >= WORTH_S:
                out += self._lease(now, backend, self._draw(links, share))
        return out

    def _draw(self, links: list[Hashable], count: int) -> Counter[Hashable]:
        """So many permits over the links, as evenly as can be."""
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
