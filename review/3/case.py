"""The operator changes the configuration; the new version's number has twenty digits."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from random import Random

import harness

NEXT_VERSION, LONG_VERSION = 7, 20261204110139123456  # a time to the microsecond, written as a number
SECONDS = 75.0  # for which the operator sends the change, at most
RESTART_S = 0.5  # after which the platform starts a process that has ended
ENDS_ALLOWED, CORE_ALLOWED = 2, 1  # "three times in the day", "half of the core"


async def restart(fleet: harness.Fleet, record: harness.Record, ends: Counter[str]) -> None:
    """Start each controller again that ends by itself, as the platform does."""
    while True:
        await asyncio.sleep(0.1)
        for controller in fleet.controllers:
            if controller.process is not None and controller.process.poll() is not None:
                ends[controller.name] += 1
                record.line(f"{controller.name} has ended by itself with code {controller.process.returncode}")
                await asyncio.sleep(RESTART_S)
                controller.start(is_first_start=False)


async def case(fleet: harness.Fleet, record: harness.Record, trouble: bool) -> bool:
    for program in fleet.programs:
        program.start(is_first_start=True)
    document = harness.configuration()
    if await harness.replace(fleet, Random(1), document, 0, 20.0) is None:
        raise RuntimeError("the first version was not acknowledged")
    await asyncio.sleep(4.0)  # contact_ms, and a second more
    ends: Counter[str] = Counter()
    watch = asyncio.create_task(restart(fleet, record, ends))
    try:
        change = {**document, "revision": LONG_VERSION if trouble else NEXT_VERSION}
        took = await harness.replace(fleet, Random(2), change, document["revision"], SECONDS)
    finally:
        watch.cancel()
    record.line(f"acknowledged: {took is not None}; ends by themselves: {dict(ends)}")
    return sum(count > ENDS_ALLOWED for count in ends.values()) <= CORE_ALLOWED


if __name__ == "__main__":
    harness.main(case, Path(__file__).parent)
