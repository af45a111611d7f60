"""The control program: opens the disk, creates the controller and serves until it is stopped.

The exit code is 0 after SIGTERM or SIGINT, once the controller has handed over, and 1 if the consensus core failed: the
next start then recovers from the disk. An unusable disk at the start is retried indefinitely.
"""

from __future__ import annotations

import asyncio
import gc
import signal
from collections.abc import Callable, Mapping
from pathlib import Path
from random import Random, SystemRandom

from loguru import logger

from cranebank.control.consensus import ConsensusCore
from cranebank.control.consensus_file import decode_published
from cranebank.control.consensus_replica import CONSENSUS_FILE, PUBLISHED_KEY, ConsensusReplica, ConsensusSettings
from cranebank.programs import log_ring as ring_module
from cranebank.programs.controller import Controller
from cranebank.programs.local_state import NoDisk, Storage, decode_registry_records
from cranebank.programs.settings import NodeSettings, load
from cranebank.programs.tally_service import FILE as TALLY_FILE
from cranebank.programs.tally_service import TallyDisk
from cranebank.storage.records import StorageError

__all__ = ["Controller", "make_controller", "run", "tolerated_machine_losses"]

DISK_RETRY_S = 0.3


async def _open_disk(settings: NodeSettings, name: str) -> tuple[Mapping[str, bytes], Storage, bool]:
    """Open a file, retrying while the disk fails; return its values, the storage, and whether it was damaged."""
    if settings.data_dir is None:
        return {}, NoDisk(), False
    from cranebank.storage.store import AsyncStore, open_store  # noqa: PLC0415

    while True:
        try:
            store, damage = open_store(Path(settings.data_dir), name)
        except StorageError as error:
            logger.error("{}", error)
            await asyncio.sleep(DISK_RETRY_S)
            continue
        if damage is not None:
            logger.error("{}", damage)
        return dict(store.values), AsyncStore(store), damage is not None


def is_counted_in_machines(settings: NodeSettings) -> bool:
    """Whether only single machines may be lost, and no whole zones or regions."""
    return not settings.tolerance.zones and not settings.tolerance.regions


def tolerated_machine_losses(settings: NodeSettings) -> int:
    """Return how many machines may be lost at once; where whole zones or regions may be lost, at least 99.

    99 stands for as many machines as a majority can do without.
    """
    machines = settings.tolerance.machines
    return machines if is_counted_in_machines(settings) else max(machines, 99)


async def make_controller(settings: NodeSettings, reload: Callable[[], NodeSettings]) -> Controller:
    """Open the disk and create the controller."""
    stored, storage, is_damaged = await _open_disk(settings, CONSENSUS_FILE)
    stored_tallies, tally_storage, _ = await _open_disk(settings, TALLY_FILE)

    def make_consensus(now: float, random: Random) -> ConsensusCore:
        core: ConsensusCore = ConsensusReplica(
            ConsensusSettings(
                settings.ip,
                settings.seed_ips,
                settings.is_first_start and not is_damaged,
                tolerated_machine_losses(settings),
                is_counted_in_machines=is_counted_in_machines(settings),
                zones={settings.ip: settings.failure_domain(settings.zone)},
            ),
            stored,
            random,
            now,
        )
        return core

    published = decode_published(stored[PUBLISHED_KEY]) if PUBLISHED_KEY in stored else None
    tally_disk = TallyDisk(stored_tallies, tally_storage)
    stored_backends = decode_registry_records(stored)
    return Controller(settings, make_consensus, storage, SystemRandom(), reload, published, stored_backends, tally_disk)


async def run(settings: NodeSettings, ring: ring_module.LogRing | None = None) -> int:
    """Run a controller until SIGTERM or SIGINT and return its exit code."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    controller = await make_controller(settings, load)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, controller.reload)
    if ring is not None:
        loop.add_signal_handler(signal.SIGUSR1, ring.dump)
        loop.set_exception_handler(ring.uncaught_in_loop)
        ring.state = controller.log_state
    await controller.start()
    exporter = None
    if settings.exposes_metrics:
        from cranebank.programs import metrics  # noqa: PLC0415 - not loaded while metrics are off

        exporter = metrics.Exporter(lambda: metrics.controller_metrics(controller))
        await exporter.start(settings)
    gc.collect()
    gc.freeze()
    waiters = [loop.create_task(event.wait()) for event in (stopped, controller.broken)]
    await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
    for waiter in waiters:
        waiter.cancel()
    if exporter is not None:
        exporter.stop()
    await controller.stop()
    return int(controller.broken.is_set())
