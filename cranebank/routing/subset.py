"""Which hosts a copy keeps to, where there are many: bounded, stable, even. No I/O, no clock, no talk among copies.

Hosts stand at hashed places on a few rings, the same for every copy; a copy takes the next hosts from places that
depend on its own number alone: the van der Corput sequence, whose first c points are evenly spread for every c, so
that a stale count of copies moves nobody. A host that comes or goes changes only the copies that hold it or are to.
After Google's Ringsteady and Rocksteadier subsetting (Ward et al., "Reinventing Backend Subsetting at Google", ACM
Queue 2022) and consistent hashing (Karger et al. 1997). docs/simulation.md has the ways weighed.
"""

from __future__ import annotations

from hashlib import blake2b
from math import ceil

ARCS = 4  # rings: neighbours on one are no neighbours on the others, so that few copies share all of their hosts
FAR = 4  # of the hosts of each other zone a copy keeps this part, where it keeps to its own zone
FEWEST = 4  # hosts that a copy keeps at least: two draws, and two more should these drain


def position(host: str, arc: int) -> float:
    """A host's place on a ring, in [0, 1): 53 bits of BLAKE2b of its id."""
    digest = blake2b(host.encode("utf-8", "surrogateescape"), digest_size=8, salt=arc.to_bytes(8)).digest()
    return (int.from_bytes(digest) >> 11) / (1 << 53)


def spread(slot: int, arc: int) -> float:
    """A copy's place on a ring, in [0, 1): the van der Corput sequence in base 2, turned a little on each ring."""
    place, part = 0.0, 0.5
    while slot:
        place, slot, part = place + part * (slot & 1), slot >> 1, part / 2
    return (place + arc * 0.6180339887498949) % 1.0


def size_for(size: int, cover: int, hosts: int, copies: int) -> int:
    """How many hosts a copy keeps: ``size``, or more where each host would have under ``cover`` copies.

    ``copies`` is the told count, which may be twice the true one; ``cover`` allows for that.
    """
    return min(hosts, max(size, FEWEST, ceil(cover * hosts / max(1, copies))))
