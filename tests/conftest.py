"""Fixtures of all tests, and a driver that feeds events to a balancer without a network or a clock."""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import pytest
from known_red import pytest_collection_modifyitems  # noqa: F401  (a hook of pytest's)

from cranebank import invariants
from cranebank.decisions.balance import Balancer
from cranebank.decisions.interface import (
    Action,
    AttemptResult,
    Effect,
    ListKind,
    Outcome,
    ReportSource,
    Request,
    RequestClass,
    Send,
    ServerEntry,
    ServerList,
    ServerState,
    Settings,
)


def make_settings(**changes: Any) -> Settings:
    """Return settings of a small example site."""
    values: dict[str, Any] = {
        "classes": (
            RequestClass(aim=400.0, deadline=1000.0, effect=Effect.SAFE),
            RequestClass(aim=400.0, deadline=1000.0, effect=Effect.KEYED, repeat_window=700.0),
            RequestClass(aim=400.0, deadline=1000.0, effect=Effect.UNSAFE, worth=5.0),
        ),
        "copies": 2,
        "max_attempts": 4,
        "may_cancel": True,
        "report_source": ReportSource.ANSWERS,
        "tick": 5.0,
        "warm_after": 8000.0,
        "cold_from": 0.25,
        "answer_slack": 20.0,
    }
    values.update(changes)
    return Settings(**values)


class Driver:
    """Feeds events to one balancer and records the servers to which it sends."""

    def __init__(self, settings: Settings, seed: int = 7) -> None:
        self.balancer = Balancer(settings, seed)
        self.settings = settings
        self.now = 100000.0
        self.names = itertools.count()
        self.sent: dict[str, list[str]] = {}

    def do(self, event: Any) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            if isinstance(action, Send):
                self.sent.setdefault(action.request, []).append(action.server)
        return actions

    def listed(self, entries: Iterable[ServerEntry | str], kind: ListKind = ListKind.ALL) -> list[Action]:
        made = tuple(ServerEntry(e) if isinstance(e, str) else e for e in entries)
        return self.do(ServerList(kind, made))

    def drain(self, server: str) -> list[Action]:
        return self.listed([ServerEntry(server, state=ServerState.DRAINING)], ListKind.CHANGES)

    def request(self, index: int = 0, left: float = 1000.0, **more: Any) -> tuple[str, list[Action]]:
        name = f"r{next(self.names)}"
        return name, self.do(Request(name, index, left, **more))

    def result(
        self,
        name: str,
        outcome: Outcome = Outcome.OK,
        attempt: int | None = None,
        took: float = 20.0,
        load: dict[str, float] | None = None,
        finished: bool | None = None,
        unproven: bool = False,
    ) -> list[Action]:
        seq = len(self.sent[name]) - 1 if attempt is None else attempt
        done = outcome is Outcome.OK if finished is None else finished
        return self.do(AttemptResult(name, seq, self.sent[name][seq], outcome, took, done, load, unproven))

    def serve(
        self, count: int, behave: Callable[[str], Outcome] = lambda _: Outcome.OK, step: float = 10.0
    ) -> dict[str, int]:
        """Send safe requests one after another; return first sends by server."""
        firsts: dict[str, int] = {}
        for _ in range(count):
            self.now += step
            name, _actions = self.request()
            turn = 0
            while name in self.sent and turn < len(self.sent[name]):
                server = self.sent[name][turn]
                if turn == 0:
                    firsts[server] = firsts.get(server, 0) + 1
                self.result(name, behave(server), attempt=turn)
                turn += 1
        return firsts


@pytest.fixture
def drive() -> Callable[..., Driver]:
    """Return a function that makes a driver with changed settings."""
    return lambda seed=7, **changes: Driver(make_settings(**changes), seed)


class _Unhandled(logging.Handler):
    """Keeps the reports of event loops about exceptions that ended a callback or a task."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.reports: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a report, except of a cancelled task (``StreamReaderProtocol`` of Python 3.11 reports it)."""
        kind = record.exc_info[0] if record.exc_info else None
        if kind is None or not issubclass(kind, asyncio.CancelledError):
            self.reports.append(record.getMessage())


@pytest.fixture(autouse=True)
def no_exception_is_unhandled(request: pytest.FixtureRequest) -> Iterator[None]:
    """Fail a test if an exception ended a callback or a task of an event loop, unless the test is marked to do so."""
    handler = _Unhandled()
    loops_logger = logging.getLogger("asyncio")
    loops_logger.addHandler(handler)
    yield
    loops_logger.removeHandler(handler)
    if request.node.get_closest_marker("leaves_exceptions_unhandled") is None:
        assert not handler.reports


@pytest.fixture(autouse=True)
def no_invariant_is_violated(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Give each test its own counts, and fail it if an invariant was violated, unless it is marked to do so."""
    counts: Counter[str] = Counter()
    monkeypatch.setattr(invariants, "_counts", counts)
    yield
    if request.node.get_closest_marker("violates_invariants") is None:
        assert not counts, f"invariants were violated: {dict(counts)}"
