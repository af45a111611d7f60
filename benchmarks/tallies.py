"""Measures the cost of tallies: ``python benchmarks/tallies.py [--adds 1000000] [--split 3600] [--rate 70]``.

Two replicas take a million adds within a simulated hour, are then disconnected for an hour in which each takes half of
the rate, and reconnect. Prints for each phase the adds held, the memory of the adds of both replicas, the peak size of
the larger file, the messages and bytes between the replicas, and the processor time per add.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

from tabulate import tabulate

sys.path.insert(0, str(Path(__file__).parents[1]))

from cranebank.control.tallies.replica import TallyReplica, TallyReplicaSettings
from cranebank.storage.store import Folder, Store
from cranebank.transport.frames import encode

HOUR_S = 3600
TALLY_COUNT = 10
STORE_NAME = "tallies"
REPLICA_NAMES = ("a", "b")


class Pair:
    """Two replicas, their files, and the messages between them."""

    def __init__(self, folder: Path) -> None:
        self.now, self.calls, self.messages, self.bytes, self.file_peak = 0, 0, 0, 0, 0
        self.folders = {name: folder / name for name in REPLICA_NAMES}
        for path in self.folders.values():
            path.mkdir()
        self.stores = {name: Store(Folder(path), STORE_NAME) for name, path in self.folders.items()}
        self.replicas = {
            name: TallyReplica(TallyReplicaSettings(name * 16, name, 2), {}, 0.0) for name in REPLICA_NAMES
        }
        self.is_linked = False

    def link(self, is_linked: bool) -> None:
        """Connect or disconnect the replicas."""
        self.is_linked = is_linked
        for name, other in zip(REPLICA_NAMES, reversed(REPLICA_NAMES), strict=True):
            if is_linked:
                self.replicas[name].linked(self.now, other)
            else:
                self.replicas[name].unlinked(other)

    def run_second(self, adds: int) -> None:
        """Simulate a second with ``adds`` adds, alternating between the replicas."""
        self.now += 1
        for _ in range(adds):
            self.calls += 1
            name = REPLICA_NAMES[self.calls % 2]
            self.replicas[name].add(self.now, f"t{self.calls % TALLY_COUNT}", f"{self.calls:016x}", self.calls % 9)
        for name, other in zip(REPLICA_NAMES, reversed(REPLICA_NAMES), strict=True):
            last_heard_at = {other: float(self.now)} if self.is_linked else {}
            self.replicas[name].set_replicas((other,), (other,))
            self.replicas[name].tick(self.now, last_heard_at)
        while self.exchange(*REPLICA_NAMES) or self.exchange(*reversed(REPLICA_NAMES)):
            pass

    def exchange(self, name: str, other: str) -> bool:
        """Write a replica's pending values and deliver its messages; return whether there were any."""
        replica = self.replicas[name]
        values = replica.take_writes()
        if values:
            self.stores[name].put(values)
            replica.stored()
            self.file_peak = max(self.file_peak, (self.folders[name] / STORE_NAME).stat().st_size)
        messages = replica.pop_messages()
        for _, message in messages:
            self.messages += 1
            self.bytes += len(encode(message))
            self.replicas[other].receive(self.now, name, message)
        return bool(values or messages)


def main() -> None:
    """Simulate the phases and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--adds", type=int, default=1_000_000)
    parser.add_argument("--split", type=int, default=HOUR_S, help="seconds")
    parser.add_argument("--rate", type=int, default=70, help="adds per second in the split")
    parser.add_argument("--memory", action="store_true", help="measure the memory, which takes several times as long")
    options = parser.parse_args()
    if options.memory:
        tracemalloc.start()
    rows: list[list[object]] = []
    with tempfile.TemporaryDirectory() as folder:
        pair = Pair(Path(folder))

        def add_row(phase: str, started_at: float, calls: int) -> None:
            held_adds = [pair.replicas[name].stats.held for name in REPLICA_NAMES]
            memory = f"{tracemalloc.get_traced_memory()[0] / 1e6:.1f}" if options.memory else "-"
            us_per_add = f"{1e6 * (time.process_time() - started_at) / max(1, calls):.1f}"
            rows.append(
                [
                    phase,
                    pair.calls,
                    held_adds,
                    memory,
                    f"{pair.file_peak / 1e6:.1f}",
                    pair.messages,
                    pair.bytes,
                    us_per_add,
                ]
            )
            pair.messages, pair.bytes, pair.file_peak = 0, 0, 0

        pair.link(True)
        started_at = time.process_time()
        for _ in range(HOUR_S):
            pair.run_second(options.adds // HOUR_S)
        add_row("an hour together", started_at, options.adds)
        pair.link(False)
        started_at = time.process_time()
        for _ in range(options.split):
            pair.run_second(options.rate)
        add_row("apart", started_at, options.split * options.rate)
        pair.link(True)
        started_at = time.process_time()
        pair.run_second(0)
        add_row("met", started_at, options.split * options.rate)
        totals = {
            tuple(replica.total(pair.now, f"t{n}") for n in range(TALLY_COUNT)) for replica in pair.replicas.values()
        }
        assert len(totals) == 1, totals
    head = ["phase", "adds", "held", "MB memory", "MB file at peak", "messages", "bytes", "us an add"]
    print(tabulate(rows, head, tablefmt="github"))


if __name__ == "__main__":
    main()
