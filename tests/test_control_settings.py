"""The control program reloads its settings file on a signal and without one, and ignores an unusable one."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path
from random import Random

import msgspec
import pytest
from single_node_consensus import SingleNodeConsensus
from test_control_program import ONE, controller_settings, free_port

from cranebank.programs import controller as program
from cranebank.programs.controller import Controller
from cranebank.programs.settings import NodeSettings, SettingsError
from cranebank.storage.store import AsyncStore, open_store

OLD, NEW = "127.0.31.5", "127.0.31.6"
TIMEOUT_S = 10.0


class SettingsFile:
    """The content of the settings file; None stands for an unusable file."""

    def __init__(self, settings: NodeSettings) -> None:
        self.settings: NodeSettings | None = settings
        self.reads = 0

    def load(self) -> NodeSettings:
        """Read the file."""
        self.reads += 1
        if self.settings is None:
            raise SettingsError("boot.yaml", "", "YAML")
        return self.settings


async def exchange_seeds(folder: Path, by_signal: bool) -> None:
    """Give a controller that reaches no other controller an unusable settings file, then one with other seeds."""
    ports = (free_port(), free_port())
    settings = controller_settings(ONE, ports, (ONE, OLD))
    file = SettingsFile(settings)
    store, _ = open_store(folder, "custody")
    made = Controller(
        settings, lambda now, random: SingleNodeConsensus(ONE, store.values), AsyncStore(store), Random(1), file.load
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, made.reload)
    await made.start()

    async def until_read_again() -> None:
        before = file.reads
        if by_signal:
            os.kill(os.getpid(), signal.SIGHUP)
        while file.reads == before:
            await asyncio.sleep(0.001)

    try:
        async with asyncio.timeout(TIMEOUT_S):
            file.settings = None
            await until_read_again()
            assert set(made._links._dialers) == {OLD}
            file.settings = msgspec.structs.replace(settings, seed_addrs=(f"{NEW}:1",))
            await until_read_again()
            assert set(made._links._dialers) == {NEW}
    finally:
        loop.remove_signal_handler(signal.SIGHUP)
        await made.stop()


@pytest.mark.parametrize("by_signal", [True, False], ids=["upon SIGHUP", "without a signal"])
def test_seeds_that_were_exchanged_are_dialled_and_a_bad_file_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, by_signal: bool
) -> None:
    monkeypatch.setattr(program, "REGISTRY_INTERVAL_S", 0.01)
    monkeypatch.setattr(program, "RELOAD_WITHOUT_LINKS_S", 1e9 if by_signal else 0.02)
    asyncio.run(exchange_seeds(tmp_path, by_signal))
