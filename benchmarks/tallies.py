"""What tallies cost: ``python benchmarks/tallies.py [--adds 1000000] [--split 3600] [--rate 70]``.

Two replicas take a million adds within a simulated hour, then lose each other for another hour while each takes its
half of the rate, then meet. Told: adds held, memory that the adds of both take, bytes of the larger file at its peak,
messages and bytes between them, and processor time an add.
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
TALLIES = 10
FILE = "tallies"
NAMES = ("a", "b")


class Pair:
    """Two replicas, their files, and what goes between them."""

    def __init__(self, folder: Path) -> None:
        self.now, self.calls, self.messages, self.bytes, self.file_peak = 0, 0, 0, 0, 0
        self.folders = {name: folder / name for name in NAMES}
        for path in self.folders.values():
            path.mkdir()
        self.stores = {name: Store(Folder(path), FILE) for name, path in self.folders.items()}
        self.replicas = {name: TallyReplica(TallyReplicaSettings(name * 16, name, 2), {}, 0.0) for name in NAMES}
        self.is_linked = False

    def link(self, is_linked: bool) -> None:
        """They meet, or lose each other."""
        self.is_linked = is_linked
        for name, other in zip(NAMES, reversed(NAMES), strict=True):
            if is_linked:
                self.replicas[name].linked(self.now, other)
            else:
                self.replicas[name].unlinked(other)

    def second(self, adds: int) -> None:
        """A second with so many adds, in turn at either."""
        self.now += 1
        for _ in range(adds):
            self.calls += 1
            name = NAMES[self.calls % 2]
            self.replicas[name].add(self.now, f"t{self.calls % TALLIES}", f"{self.calls:016x}", self.calls % 9)
        for name, other in zip(NAMES, reversed(NAMES), strict=True):
            heard = {other: float(self.now)} if self.is_linked else {}
            self.replicas[name].set_replicas((other,), (other,))
            self.replicas[name].tick(self.now, heard)
        while self.exchange(*NAMES) or self.exchange(*reversed(NAMES)):
            pass

    def exchange(self, name: str, other: str) -> bool:
        """Write and send what one replica asks for."""
        replica = self.replicas[name]
        values = replica.take_writes()
        if values:
            self.stores[name].put(values)
            replica.stored()
            self.file_peak = max(self.file_peak, (self.folders[name] / FILE).stat().st_size)
        messages = replica.pop_messages()
        for _, message in messages:
            self.messages += 1
            self.bytes += len(encode(message))
            self.replicas[other].receive(self.now, name, message)
        return bool(values or messages)


def main() -> None:
    """Play both hours and tell."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--adds", type=int, default=1_000_000)
    parser.add_argument("--split", type=int, default=HOUR_S, help="seconds")
    parser.add_argument("--rate", type=int, default=70, help="adds a second in the split")
    parser.add_argument("--memory", action="store_true", help="measure the memory, which takes several times as long")
    options = parser.parse_args()
    if options.memory:
        tracemalloc.start()
    rows: list[list[object]] = []
    with tempfile.TemporaryDirectory() as folder:
        pair = Pair(Path(folder))

        def tell(what: str, begun: float, calls: int) -> None:
            held = [pair.replicas[name].stats.held for name in NAMES]
            memory = f"{tracemalloc.get_traced_memory()[0] / 1e6:.1f}" if options.memory else "-"
            used = f"{1e6 * (time.process_time() - begun) / max(1, calls):.1f}"
            rows.append(
                [what, pair.calls, held, memory, f"{pair.file_peak / 1e6:.1f}", pair.messages, pair.bytes, used]
            )
            pair.messages, pair.bytes, pair.file_peak = 0, 0, 0

        pair.link(True)
        begun = time.process_time()
        for _ in range(HOUR_S):
            pair.second(options.adds // HOUR_S)
        tell("an hour together", begun, options.adds)
        pair.link(False)
        begun = time.process_time()
        for _ in range(options.split):
            pair.second(options.rate)
        tell("apart", begun, options.split * options.rate)
        pair.link(True)
        begun = time.process_time()
        pair.second(0)
        tell("met", begun, options.split * options.rate)
        totals = {tuple(replica.total(pair.now, f"t{n}") for n in range(TALLIES)) for replica in pair.replicas.values()}
        assert len(totals) == 1, totals
    head = ["phase", "adds", "held", "MB memory", "MB file at peak", "messages", "bytes", "us an add"]
    print(tabulate(rows, head, tablefmt="github"))


if __name__ == "__main__":
    main()
