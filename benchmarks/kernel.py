"""Compares events a second of the simulation's kernel and of SimPy: ``python benchmarks/kernel.py [EVENTS]``.

Both run two loads: in ``ticks`` actors wait 1 ms repeatedly; in ``legs`` each answer cancels a deadline that was set
shortly before, as in each leg of a proxy. Runs are interleaved, and the median of five is printed.
Needs the developers' requirements.
"""

from __future__ import annotations

import statistics
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import simpy

sys.path.insert(0, str(Path(__file__).parents[1]))

from cranebank.lab.simulated.kernel import Kernel

ACTORS, ROUNDS = 1000, 5
TICK_US, DEADLINE_US = 1_000, 1_000_000


def kernel_ticks(events: int) -> int:
    """Run the load ``ticks`` on the kernel and return the number of events."""
    kernel = Kernel()

    def tick() -> None:
        if kernel.events < events:
            kernel.at(kernel.now + TICK_US, tick)

    for _ in range(ACTORS):
        kernel.at(TICK_US, tick)
    kernel.run()
    return kernel.events


def simpy_ticks(events: int) -> int:
    """Run the load ``ticks`` in SimPy and return the number of events."""
    world, event_count = simpy.Environment(), [0]

    def actor() -> Iterator[Any]:
        while event_count[0] < events:
            yield world.timeout(TICK_US)
            event_count[0] += 1

    for _ in range(ACTORS):
        world.process(actor())
    world.run()
    return event_count[0]


def kernel_legs(events: int) -> int:
    """Run the load ``legs`` on the kernel and return the number of events."""
    kernel = Kernel()

    def late() -> None:
        raise AssertionError("a cancelled deadline was called")

    def leg() -> None:
        if kernel.events < events:
            deadline = kernel.at(kernel.now + DEADLINE_US, late)
            kernel.at(kernel.now + TICK_US, answer, deadline)

    def answer(deadline: Any) -> None:
        deadline.cancel()
        leg()

    for _ in range(ACTORS):
        leg()
    kernel.run()
    return kernel.events


def simpy_legs(events: int) -> int:
    """Run the load ``legs`` in SimPy as a wait for either; the deadline can't be cancelled and stays in the heap."""
    world, event_count = simpy.Environment(), [0]

    def actor() -> Iterator[Any]:
        while event_count[0] < events:
            answer = world.timeout(TICK_US)
            yield answer | world.timeout(DEADLINE_US)
            assert answer.processed
            event_count[0] += 1

    for _ in range(ACTORS):
        world.process(actor())
    world.run()
    return event_count[0]


def rate(play: Callable[[int], int], events: int) -> float:
    """Return events per second of processor time."""
    began = time.process_time()
    done = play(events)
    return done / (time.process_time() - began)


def main() -> None:
    """Compare both kernels under each load and print a line for it."""
    events = int(sys.argv[1]) if len(sys.argv) > 1 else 200_000
    for load, kernel_load, simpy_load in (("ticks", kernel_ticks, simpy_ticks), ("legs", kernel_legs, simpy_legs)):
        pairs = [(rate(kernel_load, events), rate(simpy_load, events)) for _ in range(ROUNDS)]
        kernel, other = (statistics.median(side) for side in zip(*pairs, strict=True))
        print(
            f"{load}: kernel {kernel:,.0f}/s, SimPy {other:,.0f}/s, {kernel / other:.2f} times "
            f"({min(a / b for a, b in pairs):.2f} to {max(a / b for a, b in pairs):.2f})"
        )


if __name__ == "__main__":
    main()
