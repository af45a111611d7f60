"""Compares strategies that give each copy a subset of the hosts: ``python benchmarks/subsets.py``.

Prints for each strategy how evenly hosts are covered (copies that hold them, relative to the mean), the number of hosts
in no subset, the changes over all copies when a host ends and in a deploy of 97% (relative to the least possible), and
the time that a copy needs for its list. Columns with "told 2x": copies are told twice their true number.
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

Strategy = Callable[[int, int, list[str], int], set[str]]  # slot, told count, hosts, size


def digest(*words: object) -> int:
    """Return 64 bits of BLAKE2b over the words."""
    return int.from_bytes(blake2b("/".join(map(str, words)).encode(), digest_size=8).digest())


def aperture(slot: int, count: int, hosts: list[str], size: int) -> set[str]:
    """Deterministic aperture: hosts in a fixed order at equal distances; a copy takes those after its position."""
    ordered = sorted(hosts, key=lambda host: digest("order", host))
    first = int(slot / count * len(ordered))
    return {ordered[(first + i) % len(ordered)] for i in range(min(size, len(ordered)))}


def rendezvous(slot: int, count: int, hosts: list[str], size: int) -> set[str]:
    """Rendezvous hashing (highest random weight): the hosts with the lowest hashes of the copy's slot and the host."""
    return set(sorted(hosts, key=lambda host: digest(slot, host))[:size])


def dealt(slot: int, count: int, hosts: list[str], size: int) -> set[str]:
    """Deterministic subsetting by rounds: in each round the shuffled hosts are divided among copies."""
    subsets_per_round, stride = len(hosts) // size or 1, max(1, len(hosts) // size)
    ordered = sorted(hosts, key=lambda host: digest("round", slot // subsets_per_round, host))
    return set(ordered[slot % subsets_per_round :: stride][:size])


def ring(arcs: int) -> Strategy:
    """Hosts at hashed positions on ``arcs`` rings; a copy takes those that follow the positions of its slot."""

    def chosen(slot: int, count: int, hosts: list[str], size: int) -> set[str]:
        subset: set[str] = set()
        for arc in range(arcs):
            positions = sorted((ring_position(host, arc), host) for host in hosts)
            start = bisect.bisect_left(positions, (slot_ring_position(slot, arc), ""))
            wanted, step = min(len(hosts), (size * (arc + 1)) // arcs), 0
            while len(subset) < wanted and step < len(positions):
                subset.add(positions[(start + step) % len(positions)][1])
                step += 1
        return subset

    return chosen


STRATEGIES: dict[str, Strategy] = {
    "aperture": aperture,
    "dealt": dealt,
    "rendezvous": rendezvous,
    "ring, 1 arc": ring(1),
    "ring, 4 arcs": ring(4),
}


def main() -> None:
    """Compare the strategies at several sizes and print the table."""
    rows = []
    for copies, host_count, size in ((100, 200, 20), (200, 200, 20), (1000, 100, 20), (50, 500, 30)):
        hosts = [f"s-{digest('host', i):016x}" for i in range(host_count)]
        new_hosts = [f"s-{digest('new', i):016x}" for i in range(host_count)]
        for name, choose in STRATEGIES.items():
            began = time.perf_counter()
            held = [choose(slot, copies, hosts, size) for slot in range(copies)]
            elapsed_s = (time.perf_counter() - began) / copies
            cover = Counter(host for of in held for host in of)
            mean = copies * size / host_count
            stale = Counter(host for slot in range(copies) for host in choose(slot, 2 * copies, hosts, size))
            removal_changes = []
            for removed in range(0, host_count, max(1, host_count // 10)):
                fewer = [host for host in hosts if host != hosts[removed]]
                after = [choose(slot, copies, fewer, size) for slot in range(copies)]
                removal_changes.append(
                    sum(len(b - a) for a, b in zip(held, after, strict=True)) / max(1, cover[hosts[removed]])
                )
            previous, deploy_changes, replaced, deploy_end = held, 0, 0, host_count * 97 // 100
            while replaced < deploy_end:
                replaced = min(deploy_end, replaced + max(1, host_count // 10))
                after = [choose(slot, copies, new_hosts[:replaced] + hosts[replaced:], size) for slot in range(copies)]
                deploy_changes += sum(len(b - a) for a, b in zip(previous, after, strict=True))
                previous = after
            rows.append(
                (
                    f"{copies} x {host_count}, {size}",
                    name,
                    f"{min(cover[h] for h in hosts) / mean:.2f}",
                    f"{max(cover.values()) / mean:.2f}",
                    sum(not cover[h] for h in hosts),
                    f"{min(stale[h] for h in hosts) / mean:.2f}",
                    f"{max(stale.values()) / mean:.2f}",
                    f"{sum(removal_changes) / len(removal_changes):.2f}",
                    f"{deploy_changes / (copies * size * 0.97):.2f}",
                    f"{elapsed_s * 1e3:.2f}",
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
