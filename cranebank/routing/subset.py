"""Backend subsetting: which hosts a copy uses where there are many. Bounded, stable, even; no I/O, no clock.

Copies need no communication. Hosts have hashed positions on a ring, the same for every copy; a copy uses the next
hosts from a position that depends on its own number only: the van der Corput sequence, whose first c points are evenly
spread for every c, so that a stale number of copies moves no copy. A host that joins or leaves changes only the copies
that use it or are to use it, by one host each, which is the minimum. After consistent hashing (Karger et al. 1997) and
Google's Ringsteady subsetting (Ward et al., "Reinventing Backend Subsetting at Google", ACM Queue 2022);
docs/simulation.md compares the alternatives.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil

OTHER_ZONE_DIVISOR = 4  # where the own zone is preferred, a copy uses this many times fewer hosts of each other
MIN_HOSTS = 4  # hosts that a copy uses at least: two for its draws, and two more in case these drain


def ring_position(host: str, arc: int = 0) -> float:
    """Return a host's position on a ring, in [0, 1): 53 bits of BLAKE2b of its id, which may be any text."""
    digest = blake2b(host.encode("utf-8", "surrogatepass"), digest_size=8, salt=arc.to_bytes(8, "big")).digest()
    return (int.from_bytes(digest, "big") >> 11) / (1 << 53)


def slot_ring_position(slot: int, arc: int = 0) -> float:
    """Return a copy's position on a ring, in [0, 1): the van der Corput sequence in base 2, shifted on each ring."""
    point, step = 0.0, 0.5
    while slot:
        point, slot, step = point + step * (slot & 1), slot >> 1, step / 2
    return (point + arc * 0.6180339887498949) % 1.0


def slot_from_name(name: str) -> int:
    """Return a number for a copy without a configured one: a hash of its name. Less even, but not the same for all."""
    return int(ring_position(name) * (1 << 16))


@dataclass(slots=True, frozen=True)
class SubsetSpec:
    """The number of hosts that a copy uses. ``size`` 0: all; with fewer than ``from_hosts`` listed hosts: all, too.

    ``cover``: copies that each host should have on average. A copy uses more than ``size`` hosts where the configured
    number of copies requires it; if that is twice the true number, a host still has half of ``cover`` on average.
    """

    size: int = 0
    from_hosts: int = 100
    cover: int = 8


class Subset:
    """The subset of one copy, updated as hosts join and leave."""

    def __init__(self, wanted: SubsetSpec, slot: int, copies: int, zone: int = 0, prefers_zone: bool = False) -> None:
        """``slot``: the copy's own number; ``prefers_zone``: mostly hosts of its own ``zone`` are chosen."""
        self._wanted, self._slot, self._copies = wanted, slot, max(1, copies)
        self._zone, self._prefers_zone = zone, prefers_zone
        self._rings: dict[int, list[tuple[float, str]]] = {}  # by zone, sorted by position
        self._zones: dict[str, int] = {}

    def hosts(self) -> list[str]:
        """Return all hosts to choose from."""
        return list(self._zones)

    def update(self, added: Iterable[tuple[str, int]], removed: Iterable[str] = ()) -> None:
        """Add hosts, given with their zones, and remove others."""
        for host in removed:
            self._remove(host)
        for host, zone in added:
            if self._zones.get(host) != zone:
                self._remove(host)
                self._zones[host] = zone
                bisect.insort(self._rings.setdefault(zone, []), (ring_position(host), host))

    def _remove(self, host: str) -> None:
        zone = self._zones.pop(host, None)
        if zone is not None:
            ring = self._rings[zone]
            del ring[bisect.bisect_left(ring, (ring_position(host), host))]
            if not ring:
                del self._rings[zone]

    def chosen(self) -> set[str]:
        """Return the hosts of the subset: never empty while there is a host."""
        if not self._wanted.size or len(self._zones) < self._wanted.from_hosts:
            return set(self._zones)
        found: set[str] = set()
        for zone, ring in self._rings.items():
            at, count = bisect.bisect_left(ring, (slot_ring_position(self._slot), "")), self._quota(zone, len(ring))
            found.update(host for _, host in ring[at : at + count])
            found.update(host for _, host in ring[: max(0, at + count - len(ring))])
        return found

    def _quota(self, zone: int, available: int) -> int:
        """Return how many hosts of a zone to use: in proportion to its hosts, or mostly of the own zone."""
        wanted, zones = self._wanted, len(self._rings)
        covered = ceil(wanted.cover * len(self._zones) / self._copies)
        size = max(wanted.size, MIN_HOSTS, covered)
        if self._prefers_zone and self._zone in self._rings:
            # The copies are spread over the zones too: a zone's hosts are covered by its own copies.
            own = max(size, covered * zones)
            return min(available, own if zone == self._zone else max(2, own // OTHER_ZONE_DIVISOR))
        return min(available, ceil(size * available / len(self._zones)))
