"""The driver of the consensus core executes all actions of the core, or stops feeding it."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import cast

import pytest
from test_consensus_replica import SEEDS

from cranebank.control import events as ev
from cranebank.control.consensus import ConsensusCore
from cranebank.programs.consensus_driver import ConsensusDriver, Listener
from cranebank.programs.controller_links import ControllerLinks
from cranebank.programs.local_state import LocalState


class Core:
    """Asks for a message to be sent, and then for a write to the disk."""

    def __init__(self) -> None:
        self.fed: list[ev.Event] = []

    def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
        self.fed.append(event)
        return [] if len(self.fed) > 1 else [ev.Send(SEEDS[1], ev.Leaving(SEEDS[0])), ev.Persist(7, {"a": b"1"})]

    def holds_lease(self, now: float) -> bool:
        return True

    def in_contact(self, now: float) -> bool:
        return True


class Storage:
    def __init__(self) -> None:
        self.kept: dict[str, bytes] = {}

    async def put(self, values: Mapping[str, bytes]) -> None:
        self.kept.update(values)

    async def close(self) -> None:
        pass


class Links:
    """A connection whose ``send`` raises ``error`` if there is one."""

    def __init__(self, error: Exception | None) -> None:
        self._error = error

    def to(self, ip: str) -> Links:
        return self

    def send(self, message: object) -> bool:
        if self._error is not None:
            raise self._error
        return True


def driver_of(core: Core, storage: Storage, links: Links) -> ConsensusDriver:
    local_state = LocalState(storage, 0.0)
    return ConsensusDriver(
        cast(ConsensusCore, core),
        storage,
        local_state,
        cast(ControllerLinks, links),
        cast(Listener, None),
        lambda: 0.0,
    )


def test_what_the_core_asks_for_is_done_and_it_hears_of_it() -> None:
    async def run() -> None:
        core, storage = Core(), Storage()
        driver = driver_of(core, storage, Links(None))
        driver.feed(ev.Tick())
        while len(core.fed) < 2:
            await asyncio.sleep(0)
        assert core.fed == [ev.Tick(), ev.Persisted(7)]
        assert storage.kept == {"a": b"1"}
        assert not driver.broken.is_set()

    asyncio.run(run())


@pytest.mark.parametrize("error", [RuntimeError("the handler is closed"), OSError()])
def test_a_core_whose_actions_could_not_be_done_is_fed_no_more(error: Exception) -> None:
    """Guards against a core that waits forever: a message that could not be sent made the driver skip the write after
    it, whose result the core was waiting for. The process must end and start again from its disk."""

    async def run() -> None:
        core = Core()
        driver = driver_of(core, Storage(), Links(error))
        driver.feed(ev.Tick())
        assert driver.broken.is_set()
        driver.feed(ev.Tick())
        assert len(core.fed) == 1
        assert not driver.holds_lease()
        assert not driver.in_contact(0.0)

    asyncio.run(run())


def test_a_core_that_raises_is_fed_no_more() -> None:
    """Guards against a core that goes on with an event half processed: a value that could not be encoded was set in
    memory, and its write to the disk was never asked for."""

    class Raising(Core):
        def handle(self, now: float, event: ev.Event) -> list[ev.Action]:
            self.fed.append(event)
            raise OverflowError

    async def run() -> None:
        core = Raising()
        driver = driver_of(core, Storage(), Links(None))
        for _ in range(2):
            driver.feed(ev.Tick())
        assert driver.broken.is_set()
        assert core.fed == [ev.Tick()]

    asyncio.run(run())


def test_a_core_whose_write_ended_in_no_way_that_it_knows_is_fed_no_more() -> None:
    """The core would wait forever for the result of that write."""

    class Broken(Storage):
        async def put(self, values: Mapping[str, bytes]) -> None:
            raise RuntimeError("the writer has ended")

    async def run() -> None:
        core = Core()
        driver = driver_of(core, Broken(), Links(None))
        driver.feed(ev.Tick())
        for _ in range(3):
            await asyncio.sleep(0)
        assert driver.broken.is_set()
        assert core.fed == [ev.Tick()]

    asyncio.run(run())
