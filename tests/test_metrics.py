"""Metrics for scrapers: disabled by default, with bounded names, in Prometheus's text format."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from typing import Any

import pytest
import uvloop
from syrupy.assertion import SnapshotAssertion
from test_configuration import body, document
from test_control_program import ONE, REPLACE, caller, controller, free_port, proxy
from test_registry import beat

from cranebank.programs import metrics
from cranebank.programs.__main__ import Options, _options
from cranebank.programs.edge import Edge
from cranebank.programs.log_ring import LogRing, install
from cranebank.programs.settings import METRICS_VARIABLE, NodeSettings, SettingsError, load, parse

LINE = re.compile(r'(# (HELP|TYPE) \w+ .+|\w+(\{\w+="\w+"\})? \d+)')
TEXT = "node_name: n\nip: 127.0.0.1\nzone: z\nport_range: [7300, 7315]\nseed_addrs: ['127.0.0.1:8262']\n"


def run(scenario: Any) -> None:
    """Run a scenario on the programs' event loop."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(scenario, 10))


async def scrape(ip: str, port: int) -> str:
    """Return the metrics text."""
    reader, writer = await asyncio.open_connection(ip, port)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    head, _, found = (await reader.read()).decode().partition("\r\n\r\n")
    writer.close()
    assert head.startswith("HTTP/1.1 200 OK\r\n")
    assert f"Content-Type: {metrics.CONTENT_TYPE}" in head
    assert all(LINE.fullmatch(line) for line in found.splitlines()), found
    return found


@pytest.mark.parametrize(
    ("more", "variable", "on"),
    [
        ("", "", False),
        ("metrics: true\n", "", True),
        ("metrics: false\n", "1", True),
        ("metrics: {a: 1}\n", "", False),
        ("metrics: 1\n", "0", False),
        ("metrics_listen_port: 9464\n", "", True),
        ("metrics_listen_port: 0\n", "", False),
    ],
)
def test_off_unless_asked_for(more: str, variable: str, on: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv(METRICS_VARIABLE, variable)
    assert parse(TEXT + more).exposes_metrics is on


def test_a_port_of_its_own_goes_before_the_range(tmp_path: Path) -> None:
    file = tmp_path / "boot.yaml"
    file.write_text(TEXT)
    assert load(str(file)).metrics_port == 7301
    assert load(str(file), metrics_port=9464).metrics_port == 9464
    assert parse(TEXT.replace("7315", "7300")).metrics_port is None
    with pytest.raises(SettingsError, match="metrics_listen_port"):
        load(str(file), metrics_port=1 << 16)


@pytest.mark.parametrize(
    ("options", "port"),
    [([], 0), (["--metrics-port", "9464"], 9464), (["--metrics-port"], None), (["--metrics-port", "x"], None)],
)
def test_the_command_line_names_a_port(options: list[str], port: int | None) -> None:
    assert _options(options) == (None if port is None else Options(metrics_port=port))


def test_a_controller_tells(tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    async def scenario() -> None:
        ports = free_port(), free_port()
        async with controller(tmp_path, ports) as made, proxy(ports), caller(ports) as client:
            assert (await client.call("POST", REPLACE, body(document(revision=7)), 0))[0] == 200
            assert (await client.call("POST", "/api/Servers.Heartbeat/i-1", beat()))[0] == 200
            exporter = metrics.Exporter(lambda: metrics.controller_metrics(made))
            port = free_port()
            await exporter.start(NodeSettings("n", ONE, "z", (port - 1, port), ("x:1",)))
            found = await scrape(ONE, port)
            exporter.stop()
            # These two depend on when the test's proxy acknowledges.
            assert re.sub(r"(lag|proxies_behind) \d+", r"\1 N", found) == snapshot

    run(scenario())


def test_a_proxy_tells(snapshot: SnapshotAssertion) -> None:
    async def scenario() -> None:
        port = free_port()
        edge = Edge(NodeSettings("n", "127.0.0.1", "z", (port - 1, port), ("127.0.0.1:1",)), with_neighbours=False)
        edge.proxy.counters.update(
            requests=9,
            served=5,
            replied_503=3,
            replied_504=1,
            reads=4,
            makes=7,
            repeats=2,
            broken_off_out_of_time=6,
            rejected=8,
        )
        exporter = metrics.Exporter(lambda: metrics.edge_metrics(edge))
        await exporter.start(NodeSettings("n", "127.0.0.1", "z", (port - 1, port), ("x:1",)))
        assert await scrape("127.0.0.1", port) == snapshot
        exporter.stop()

    run(scenario())


@pytest.mark.parametrize("taken", [True, False])
def test_a_port_that_cannot_be_had_ends_nothing(taken: bool) -> None:
    async def scenario() -> None:
        server = await asyncio.start_server(lambda _reader, writer: writer.close(), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        exporter = metrics.Exporter(list)
        await exporter.start(NodeSettings("n", "127.0.0.1", "z", (port - 1, port if taken else port - 1), ("x:1",)))
        exporter.stop()
        server.close()

    run(scenario())


def test_a_log_line_carries_the_state_of_the_process(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    from loguru import logger  # noqa: PLC0415

    monkeypatch.setattr("sys.excepthook", None)
    ring: LogRing = install("core-1")

    async def scenario() -> None:
        ports = free_port(), free_port()
        async with controller(tmp_path, ports) as made, caller(ports) as client:
            ring.state = made.log_state
            assert (await client.call("POST", REPLACE, body(document(revision=7)), 0))[0] == 200
            logger.info("here")

    try:
        run(scenario())
        ring.dump()
    finally:
        logger.remove()
    lines = capsys.readouterr().err.splitlines()
    assert re.fullmatch(r"core-1 epoch=1 configuration=7 \S+ INFO \S+: here", lines[-2])
    assert all(line.startswith("core-1 ") for line in lines)
