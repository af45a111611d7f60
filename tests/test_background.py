"""Unhandled exceptions in callbacks and background tasks are counted and fail the test or soak where they occur."""

from __future__ import annotations

import asyncio
import io
import subprocess
import sys
import textwrap
from collections.abc import Iterator
from pathlib import Path

import pytest
from loguru import logger

from cranebank import background
from cranebank.background import UNHANDLED, BackgroundTasks
from cranebank.fleetlab.judge import judge
from cranebank.fleetlab.lab_run import FORBIDDEN_LOG_LINE
from cranebank.fleetlab.records import DayRecord
from cranebank.invariants import violations
from cranebank.programs.log_ring import LogRing
from cranebank.transport import links
from cranebank.transport.links import Dialer, Link

pytestmark = pytest.mark.violates_invariants


@pytest.fixture
def lines() -> Iterator[list[str]]:
    """The messages that are logged."""
    messages: list[str] = []
    handler_id = logger.add(messages.append, format="{message}")
    yield messages
    logger.remove(handler_id)


async def _fails() -> None:
    raise KeyError("backend")


async def _waits() -> None:
    await asyncio.Event().wait()


def test_a_task_that_ends_by_an_exception_is_counted_with_its_cause(lines: list[str]) -> None:
    async def run() -> None:
        task = background.start(_fails())
        await asyncio.wait([task])
        await asyncio.sleep(0)

    asyncio.run(run())
    assert violations() == {UNHANDLED: 1}
    assert any("KeyError: 'backend'" in line and "_fails" in line for line in lines)


def test_a_task_that_is_cancelled_is_no_violation() -> None:
    async def run() -> None:
        tasks = BackgroundTasks()
        tasks.start(_waits())
        await asyncio.sleep(0)
        tasks.cancel()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    asyncio.run(run())
    assert violations() == {}


def test_an_exception_of_a_callback_is_counted_by_a_process_of_the_system(lines: list[str]) -> None:
    def fails() -> None:
        raise KeyError("backend")

    async def run() -> None:
        asyncio.get_running_loop().set_exception_handler(LogRing("n", io.StringIO()).uncaught_in_loop)
        asyncio.get_running_loop().call_soon(fails)
        await asyncio.sleep(0.01)

    asyncio.run(run())
    assert violations() == {UNHANDLED: 1}
    assert any(FORBIDDEN_LOG_LINE.search(line) for line in lines)


def test_a_day_whose_processes_report_a_violation_is_not_kept() -> None:
    assert judge(DayRecord()).kept
    verdict = judge(DayRecord(violations=["control-1: unhandled: Exception in callback"]))
    assert not verdict.kept
    assert [breach.rule for breach in verdict.breaches] == ["INVARIANT"]


def test_a_dialer_goes_on_after_an_attempt_that_failed_by_a_fault_of_the_code(
    monkeypatch: pytest.MonkeyPatch, lines: list[str]
) -> None:
    """If its task ended, the peer would never be connected again."""
    attempts = 0

    async def dial(*_arguments: object) -> Link:
        nonlocal attempts
        attempts += 1
        raise KeyError("peer")

    async def run() -> None:
        dialer = Dialer(_IgnoringOwner(), "127.0.0.1", "127.0.0.2", 7000)
        async with asyncio.timeout(5.0):
            while attempts < 3:
                await asyncio.sleep(0.01)
        dialer.stop()

    monkeypatch.setattr(links, "dial", dial)
    asyncio.run(run())
    assert violations()[UNHANDLED] >= 2


class _IgnoringOwner:
    """An owner of links that ignores all events."""

    def link_up(self, link: Link) -> None:
        """Ignore it."""

    def link_message(self, link: Link, message: object) -> None:
        """Ignore it."""

    def link_down(self, link: Link) -> None:
        """Ignore it."""


def run_tests(folder: Path, source: str) -> str:
    """Run a test file beside a copy of this folder's ``conftest``; return the output of pytest."""
    own = Path(__file__).parent
    for name in ("conftest.py", "known_red.py"):
        (folder / name).write_text((own / name).read_text(encoding="utf-8"), encoding="utf-8")
    (folder / "test_one.py").write_text(textwrap.dedent(source), encoding="utf-8")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", str(folder / "test_one.py")]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False).stdout


@pytest.mark.parametrize("how", ["callback", "task"])
def test_a_test_that_sees_an_exception_unhandled_fails(tmp_path: Path, how: str) -> None:
    """Runs the fixture of ``conftest`` on a test that leaves an unhandled exception."""
    result = run_tests(
        tmp_path,
        f"""
        import asyncio, gc

        def test_leaves_one_behind():
            async def fails():
                raise KeyError("x")

            def raises():
                raise KeyError("x")

            async def run():
                if {how!r} == "task":
                    task = asyncio.get_running_loop().create_task(fails())
                    await asyncio.sleep(0)
                    await asyncio.sleep(0)
                    del task
                    gc.collect()
                else:
                    asyncio.get_running_loop().call_soon(raises)
                    await asyncio.sleep(0.01)

            asyncio.run(run())
        """,
    )
    assert "1 passed, 1 error" in result
