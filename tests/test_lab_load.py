"""Arrivals and the load generator: reproducible draws, intended times, and the detection of a late generator."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from labs import scenario

from cranebank.config.checks import ConfigError
from cranebank.lab import records
from cranebank.lab.arrivals import arrivals, read_trace, write_trace
from cranebank.lab.exchange import Incoming, ReceivedRequest, now_us
from cranebank.lab.judge import Verdict
from cranebank.lab.load import Generator
from cranebank.lab.plan import plan
from cranebank.lab.results import Result, summarise
from cranebank.lab.scenario import Scenario
from cranebank.lab.streams import stream


def test_a_seed_determines_arrivals_work_and_plan() -> None:
    deploy = {"what": "deploy", "at_s": 0.5, "for_s": 1.0, "part": 0.9}
    lab_scenario, other = scenario(seed=5, fault=[deploy]), scenario(seed=6, fault=[deploy])
    assert arrivals(lab_scenario) == arrivals(scenario(seed=5, fault=[deploy])) != arrivals(other)
    assert plan(lab_scenario) == plan(scenario(seed=5, fault=[deploy]))


def test_streams_do_not_change_when_an_entity_is_added() -> None:
    one, two = (
        scenario(),
        scenario(
            tier=[
                {
                    "name": "front",
                    "kind": [
                        {"name": "std", "count": 2, "speed_cv": 0.3},
                        {"name": "new", "count": 5, "speed_cv": 0.3},
                    ],
                }
            ]
        ),
    )
    assert arrivals(one) == arrivals(two)
    assert stream(1, "host", "a").random(3).tolist() == stream(1, "host", "a").random(3).tolist()
    assert stream(1, "host", "a").random(3).tolist() != stream(1, "host", "b").random(3).tolist()


@pytest.mark.parametrize(
    ("load", "first", "second"),
    [
        ({"shape": "poisson", "rate": 500.0}, 500, 500),
        ({"shape": "steady", "rate": 500.0}, 500, 500),
        ({"shape": "step", "rate": 200.0, "step_at_s": 10.0, "step_to": 600.0}, 200, 600),
        ({"shape": "wave", "rate": 500.0, "swing": 0.5, "period_s": 20.0}, 500 + 500 / np.pi, 500 - 500 / np.pi),
    ],
)
def test_load_shapes_have_their_rates(load: dict[str, Any], first: float, second: float) -> None:
    at = np.array([row.at for row in arrivals(scenario(seconds=20.0, load=load))]) / 1e6
    assert np.all(np.diff(at) >= 0)
    for half, rate in ((at[at < 10], first), (at[at >= 10], second)):
        assert abs(len(half) - 10 * rate) < 5 * np.sqrt(10 * rate) + 1


def test_a_trace_round_trips_and_an_invalid_line_is_named_in_the_error(tmp_path: Path) -> None:
    lab_scenario = scenario()
    write_trace(tmp_path / "t.jsonl", arrivals(lab_scenario), lab_scenario)
    traced = scenario(load={"shape": "trace", "file": "t.jsonl"})
    key = [(row.at, row.kind, row.work, row.key) for row in arrivals(lab_scenario)]
    assert [(row.at, row.kind, row.work, row.key) for row in arrivals(traced, tmp_path)] == key
    good = (tmp_path / "t.jsonl").read_text(encoding="utf-8").splitlines()[:3]
    for number, bad, expected in (
        (1, '{"format":"else"}', "line 1: expected format cranebank-trace"),
        (2, '{"at_ms":"x","class":"look"}', "line 2: at_ms: expected a number"),
        (2, '{"at_ms":1,"class":"fly"}', "line 2: class: expected one of look, order, pay"),
        (3, '{"at_ms":0,"class":"look"}', "line 3: at_ms: expected at least"),
        (3, "{", "expected a trace"),
    ):
        lines = [*good[: number - 1], bad, *good[number:]]
        (tmp_path / "bad.jsonl").write_text("\n".join(lines) + "\n", encoding="utf-8")
        with pytest.raises(ConfigError, match="bad") as caught:
            read_trace(tmp_path / "bad.jsonl", lab_scenario)
        assert expected in str(caught.value)


class Proxy:
    """Answers at once, except during one stall in which it reads nothing."""

    def __init__(self, stall: tuple[float, float] = (9e9, 0.0)) -> None:
        self.stall, self.began = stall, time.monotonic()
        self.connections: set[Incoming] = set()

    def connected(self, connection: Incoming) -> bool:
        self.connections.add(connection)
        return True

    def is_paused(self) -> bool:
        return 0.0 <= time.monotonic() - self.began - self.stall[0] < self.stall[1]

    def closed(self, connection: Incoming) -> None:
        self.connections.discard(connection)

    def handle_request(self, connection: Incoming, request: ReceivedRequest) -> None:
        connection.answer(b"HTTP/1.1 200 OK\r\n", request.headers["x-request-id"].encode())

    def wake(self) -> None:
        for connection in list(self.connections):
            connection.resume_reading()


def offer(lab_scenario: Scenario, proxy: Proxy, block: float = 0.0) -> tuple[list[records.CallRecord], Result]:
    found: list[records.Record] = []

    async def serve_and_generate() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Incoming(proxy), "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        proxy.began = time.monotonic()
        if proxy.stall[1]:
            loop.call_later(sum(proxy.stall) + 0.01, proxy.wake)
        if block:
            loop.call_later(0.5, time.sleep, block)
        generator = Generator(
            lab_scenario, arrivals(lab_scenario), {"front-p0": (address[0], address[1])}, found.append
        )
        found.append(await generator.play(now_us()))
        server.close()

    asyncio.run(serve_and_generate())
    asked = [record for record in found if isinstance(record, records.CallRecord)]
    return asked, summarise(lab_scenario, found, Verdict((), 0, 0))


def test_latency_counts_from_the_intended_time_so_a_stall_is_visible() -> None:
    lab_scenario = scenario(
        seconds=3.0, load={"rate": 200.0, "shape": "steady"}, clients={"retries": 0, "try_part": 1.0}
    )
    asked, result = offer(lab_scenario, Proxy(stall=(1.0, 1.0)))
    assert sorted(a.intended for a in asked) == [row.at for row in arrivals(lab_scenario)]
    sent_in_stall = [a for a in asked if 1_100_000 <= a.intended <= 1_400_000]
    assert len(sent_in_stall) == 61  # all sent on time; a closed loop would have waited and sent only a few
    assert all(a.done - a.intended > 250_000 for a in sent_in_stall)
    assert max(c.latency_ms["p99"] for c in result.classes) > 500


def test_a_run_with_a_late_generator_gives_no_result() -> None:
    lab_scenario = scenario(seconds=1.0, load={"rate": 300.0}, judge={"late_ms": 30.0})
    _, result = offer(lab_scenario, Proxy(), block=0.3)
    assert not result.usable
    assert "the generator was late" in result.why_not


def test_clients_retry_as_the_class_allows() -> None:
    class Failing(Proxy):
        def handle_request(self, connection: Incoming, request: ReceivedRequest) -> None:
            connection.answer(b"HTTP/1.1 500 No\r\n")

    lab_scenario = scenario(seconds=0.5, load={"rate": 120.0}, clients={"retries": 2, "backoff_ms": 1.0})
    asked, _ = offer(lab_scenario, Failing())
    tries = [max(a.tries for a in asked if a.kind == kind) for kind in range(3)]
    assert tries == [2, 2, 0]  # safe, keyed, unsafe
