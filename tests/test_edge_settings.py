"""The proxy's program and its settings file: exchanged seeds, an unreadable file, no reachable seed."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
import uvloop

from cranebank.programs import edge as program
from cranebank.programs.edge import Edge
from cranebank.programs.settings import NodeSettings, SettingsError

SETTINGS = NodeSettings(
    "edge-1",
    "127.0.0.1",
    "z",
    (7300, 7309),
    ("127.0.31.1:9", "127.0.31.2:9"),
    binds={"front": "127.0.0.1:0", "ready_addr": "127.0.0.1:0"},
)


def test_seeds_that_were_exchanged_are_dialled_and_a_bad_file_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        made = Edge(SETTINGS, with_neighbours=False)
        made.links.name(SETTINGS.seed_ips)

        def bad() -> NodeSettings:
            raise SettingsError("boot.yaml", "", "YAML")

        monkeypatch.setattr(program, "load", bad)
        made.reload()
        assert set(made.links._dialers) == {"127.0.31.1", "127.0.31.2"}
        other = msgspec.structs.replace(SETTINGS, seed_addrs=("127.0.31.3:9",))
        monkeypatch.setattr(program, "load", lambda: other)
        made.reload()
        assert "127.0.31.3" in made.links._dialers
        made.links.stop()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())


def test_with_all_seeds_dead_it_is_not_ready_and_forgets_none_of_them() -> None:
    async def scenario() -> None:
        made = Edge(SETTINGS, with_neighbours=False)
        made.links.name(SETTINGS.seed_ips)
        made.links.prune()
        assert not made.proxy.ready and not made.links.up
        assert set(made.links._dialers) == set(SETTINGS.seed_ips)
        made.links.stop()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())


def test_a_proxy_that_reaches_no_controller_reads_its_file_again_without_a_signal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        made = Edge(SETTINGS, with_neighbours=False)
        made.links.name(SETTINGS.seed_ips)
        other = msgspec.structs.replace(SETTINGS, seed_addrs=("127.0.31.4:9",))
        monkeypatch.setattr(program, "load", lambda: other)
        monkeypatch.setattr(program, "HOUSEKEEPING_INTERVAL_S", 0.001)
        housekeeping = asyncio.get_running_loop().create_task(made._run_housekeeping())
        async with asyncio.timeout(5):
            while "127.0.31.4" not in made.links._dialers:
                await asyncio.sleep(0)
        housekeeping.cancel()
        made.links.stop()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())
