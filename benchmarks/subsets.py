"""Ways to give each copy a subset of the hosts, weighed: ``python benchmarks/subsets.py``.

For each: how evenly hosts are covered (copies that hold them, relative to the mean), hosts held by nobody, what one
host's end changes over all copies as a multiple of the least possible, the same for a deploy of 97%, and the time
that one copy takes over its list. ``told``: the count that copies are told over the true one.
"""

from __future__ import annotations

import bisect
import sys
import time
from collections import Counter
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path

from tabulate import tabulate

sys.path.insert(0, str(Path(__file__).parents[1]))

from cranebank.routing.subset import ring_position, slot_ring_position

Way = Callable[[int, int, list[str], int], set[str]]  # slot, told count, hosts, size


def digest(*words: object) -> int:
    """64 bits of BLAKE2b."""
    return int.from_bytes(blake2b("/".join(map(str, words)).encode(), digest_size=8).digest())


def aperture(slot: int, count: int, hosts: list[str], size: int) -> set[str]:
    """Deterministic aperture: hosts in order at equal distances, the copy takes the next ones from its own place."""
    ordered = sorted(hosts, key=lambda host: digest("order", host))
    first = int(slot / count * len(ordered))
    return {ordered[(first + i) % len(ordered)] for i in range(min(size, len(ordered)))}


def rendezvous(slot: int, count: int, hosts: list[str], size: int) -> set[str]:
    """Highest random weight: the hosts that hash best with the copy's own number."""
    return set(sorted(hosts, key=lambda host: digest(slot, host))[:size])


def dealt(slot: int, count: int, hosts: list[str], size: int) -> set[str]:
    """Deterministic subsetting by rounds: in each the hosts are shuffled and dealt out."""
    rounds, each = len(hosts) // size or 1, max(1, len(hosts) // size)
    ordered = sorted(hosts, key=lambda host: digest("round", slot // rounds, host))
    return set(ordered[slot % rounds :: each][:size])


def ring(arcs: int) -> Way:
    """Hosts at hashed places on ``arcs`` rings; the copy takes the next ones from places that depend on its number."""

    def chosen(slot: int, count: int, hosts: list[str], size: int) -> set[str]:
        found: set[str] = set()
        for arc in range(arcs):
            places = sorted((ring_position(host, arc), host) for host in hosts)
            at = bisect.bisect_left(places, (slot_ring_position(slot, arc), ""))
            wanted, step = min(len(hosts), (size * (arc + 1)) // arcs), 0
            while len(found) < wanted and step < len(places):
                found.add(places[(at + step) % len(places)][1])
                step += 1
        return found

    return chosen


WAYS: dict[str, Way] = {
    "aperture": aperture,
    "dealt": dealt,
    "rendezvous": rendezvous,
    "ring, 1 arc": ring(1),
    "ring, 4 arcs": ring(4),
}


def main() -> None:
    """Print the table."""
    rows = []
    for copies, count_of, size in ((100, 200, 20), (200, 200, 20), (1000, 100, 20), (50, 500, 30)):
        hosts = [f"s-{digest('host', i):016x}" for i in range(count_of)]
        newer = [f"s-{digest('new', i):016x}" for i in range(count_of)]
        for name, way in WAYS.items():
            began = time.perf_counter()
            held = [way(slot, copies, hosts, size) for slot in range(copies)]
            took = (time.perf_counter() - began) / copies
            cover = Counter(host for of in held for host in of)
            mean = copies * size / count_of
            stale = Counter(host for slot in range(copies) for host in way(slot, 2 * copies, hosts, size))
            moved = []
            for gone in range(0, count_of, max(1, count_of // 10)):
                fewer = [host for host in hosts if host != hosts[gone]]
                after = [way(slot, copies, fewer, size) for slot in range(copies)]
                moved.append(sum(len(b - a) for a, b in zip(held, after, strict=True)) / max(1, cover[hosts[gone]]))
            changed, total, at, deployed = held, 0, 0, count_of * 97 // 100
            while at < deployed:
                at = min(deployed, at + max(1, count_of // 10))
                after = [way(slot, copies, newer[:at] + hosts[at:], size) for slot in range(copies)]
                total += sum(len(b - a) for a, b in zip(changed, after, strict=True))
                changed = after
            rows.append(
                (
                    f"{copies} x {count_of}, {size}",
                    name,
                    f"{min(cover[h] for h in hosts) / mean:.2f}",
                    f"{max(cover.values()) / mean:.2f}",
                    sum(not cover[h] for h in hosts),
                    f"{min(stale[h] for h in hosts) / mean:.2f}",
                    f"{max(stale.values()) / mean:.2f}",
                    f"{sum(moved) / len(moved):.2f}",
                    f"{total / (copies * size * 0.97):.2f}",
                    f"{took * 1e3:.2f}",
                )
            )
    print(
        tabulate(
            rows,
            (
                "copies x hosts, size",
                "way",
                "least",
                "most",
                "held by none",
                "least, told 2x",
                "most, told 2x",
                "one gone",
                "deploy 97%",
                "ms a list",
            ),
            disable_numparse=True,
        )
    )


if __name__ == "__main__":
    main()
