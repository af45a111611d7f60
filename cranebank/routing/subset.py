"""Which hosts a copy keeps to, where there are many: bounded, stable, even. No I/O, no clock, no talk among copies.

Hosts stand at hashed places on a ring, the same for every copy; a copy takes the next hosts from a place that depends
on its own number alone: the van der Corput sequence, whose first c points are evenly spread for every c, so that a
stale count of copies moves nobody. A host that comes or goes changes only the copies that hold it or are to hold it,
by one host each: the least possible. After consistent hashing (Karger et al. 1997) and Google's Ringsteady subsetting
(Ward et al., "Reinventing Backend Subsetting at Google", ACM Queue 2022); docs/simulation.md has the ways weighed.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil

FAR = 4  # of each other zone a copy keeps this part of what it keeps of its own, where it keeps to its own
FEWEST = 4  # hosts that a copy keeps at least: two draws, and two more should these drain


def ring_position(host: str, arc: int = 0) -> float:
    """A host's place on a ring, in [0, 1): 53 bits of BLAKE2b of its id. Ids are hashed as text, whatever they hold."""
    digest = blake2b(host.encode("utf-8", "surrogatepass"), digest_size=8, salt=arc.to_bytes(8, "big")).digest()
    return (int.from_bytes(digest, "big") >> 11) / (1 << 53)


def slot_ring_position(slot: int, arc: int = 0) -> float:
    """A copy's place on a ring, in [0, 1): the van der Corput sequence in base 2, turned a little on each ring."""
    place, part = 0.0, 0.5
    while slot:
        place, slot, part = place + part * (slot & 1), slot >> 1, part / 2
    return (place + arc * 0.6180339887498949) % 1.0


def slot_from_name(name: str) -> int:
    """A number for a copy that isn't told its own: a hash of its name. Less even, but never the same for all."""
    return int(ring_position(name) * (1 << 16))


@dataclass(slots=True, frozen=True)
class SubsetSpec:
    """How many hosts a copy is to keep. ``size`` 0: all. Below ``from_hosts`` listed hosts: all, too.

    ``cover``: copies that each host should have on average; a copy keeps more than ``size`` where that needs it, as
    ``copies``, the told count, has it. Told twice the true count, a host still has half of that on average.
    """

    size: int = 0
    from_hosts: int = 100
    cover: int = 8


class Subset:
    """One copy's choice, kept up as hosts come and go."""

    def __init__(self, wanted: SubsetSpec, slot: int, copies: int, zone: int = 0, near: bool = False) -> None:
        """``slot``: the copy's own number; ``near``: it keeps to hosts of its own ``zone`` while it can."""
        self._wanted, self._slot, self._copies = wanted, slot, max(1, copies)
        self._zone, self._near = zone, near
        self._rings: dict[int, list[tuple[float, str]]] = {}  # by zone, in order of place
        self._zones: dict[str, int] = {}

    def hosts(self) -> list[str]:
        """All hosts to choose from."""
        return list(self._zones)

    def update(self, there: Iterable[tuple[str, int]], gone: Iterable[str] = ()) -> None:
        """Hosts with their zones that may be chosen from now on, and hosts that may not."""
        for host in gone:
            self._remove(host)
        for host, zone in there:
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
        """The hosts to keep: never none while there is one."""
        if not self._wanted.size or len(self._zones) < self._wanted.from_hosts:
            return set(self._zones)
        found: set[str] = set()
        for zone, ring in self._rings.items():
            at, count = bisect.bisect_left(ring, (slot_ring_position(self._slot), "")), self._quota(zone, len(ring))
            found.update(host for _, host in ring[at : at + count])
            found.update(host for _, host in ring[: max(0, at + count - len(ring))])
        return found

    def _quota(self, zone: int, there: int) -> int:
        """How many of a zone's hosts: by its part of all, or most from the own zone."""
        wanted, zones = self._wanted, len(self._rings)
        covered = ceil(wanted.cover * len(self._zones) / self._copies)
        size = max(wanted.size, FEWEST, covered)
        if self._near and self._zone in self._rings:
            # Copies are spread over the zones as well: a zone's hosts are covered by its own copies.
            own = max(size, covered * zones)
            return min(there, own if zone == self._zone else max(2, own // FAR))
        return min(there, ceil(size * there / len(self._zones)))
