"""What a proxy logs when a stage of a service has no ready backend any more."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from loguru import logger

from cranebank.dataplane.candidates import Candidates
from cranebank.dataplane.stage_watch import MAX_REPORTED_STAGES, REPORT_INTERVAL_S, StageWatch
from cranebank.transport.messages import Backend


def backend(name: str, stage: str, phase: str = "ready", call_seq: int = 1) -> Backend:
    """A backend of the one service."""
    return Backend(name, "svc", "127.0.0.1:1", "z", stage, 4, phase, call_seq)


@pytest.fixture
def lines() -> Iterator[list[str]]:
    """The logged lines."""
    found: list[str] = []
    logger.remove()
    sink = logger.add(lambda message: found.append(str(message).strip()), format="{level} {message}", level="INFO")
    yield found
    logger.remove(sink)


class Watched:
    """Candidates, and the watch over them."""

    def __init__(self) -> None:
        self.candidates, self.watch = Candidates(), StageWatch()

    def learn(self, now: float, *records: Backend) -> None:
        """Merge records as a proxy does."""
        self.candidates.merge(records)
        self.watch.observe(now, self.candidates.stages_with_ready(), self.candidates.records.values())


def test_the_loss_of_a_stages_last_backend_is_an_error_that_names_the_remaining_ones(lines: list[str]) -> None:
    watched = Watched()
    watched.learn(0, backend("d1", "decode"), backend("d2", "decode"), backend("p1", "prefill"))
    watched.learn(1, backend("d1", "decode", "draining", 2))
    assert lines == []
    watched.learn(2, backend("d2", "decode", "lost"))
    expected = "1 decode draining, 1 decode lost, 1 prefill ready"
    assert lines == [f"ERROR service svc: no decode backend is ready; known: {expected}"]
    watched.learn(3, backend("d2", "decode", "ready", 9))
    assert lines[1:] == ["INFO service svc: a decode backend is ready again"]


def test_a_flapping_stage_is_reported_at_a_limited_rate(lines: list[str]) -> None:
    watched = Watched()
    for number in range(1, 100):
        watched.learn(number / 10, backend("d1", "decode", "lost" if number % 2 else "ready", number))
    assert sum(line.startswith("ERROR") for line in lines) == 1
    watched.learn(10, backend("d1", "decode", "ready", 200))
    watched.learn(10 + REPORT_INTERVAL_S, backend("d1", "decode", "lost", 201))
    assert sum(line.startswith("ERROR") for line in lines) == 2


def test_what_is_remembered_of_reports_is_bounded(lines: list[str]) -> None:
    watch = StageWatch()
    for number in range(MAX_REPORTED_STAGES + 5):
        watch.observe(number, frozenset({(f"svc-{number}", "decode")}), ())
    assert len(watch._reported) <= MAX_REPORTED_STAGES
    assert sum(line.startswith("ERROR") for line in lines) == MAX_REPORTED_STAGES + 4
