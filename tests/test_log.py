"""Log lines: rate-limited, structured, and traces of single requests."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from peers import ProxyHarness, UpstreamHost, answer, play

from cranebank.core.log import Handler, Log
from cranebank.core.log_settings import LogSettings


def lines(capsys: pytest.CaptureFixture[str]) -> list[dict[str, Any]]:
    return [json.loads(line) for line in capsys.readouterr().err.splitlines()]


def test_an_event_is_one_line_of_key_value_pairs_that_a_peer_can_not_break(capsys: pytest.CaptureFixture[str]) -> None:
    Log("p0").warning("leg_broken", host="s1", error='half\nan "answer"' + "x" * 999, of=None, whole=False)
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith("at=20")
    assert " level=warning proxy=p0 event=leg_broken host=s1 error=" in line
    assert line.endswith(" of= whole=false")
    assert len(line) < 700


def test_more_lines_of_one_event_than_the_burst_are_counted_in_the_next(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    now = [10**9]
    monkeypatch.setattr("cranebank.core.log.time.monotonic_ns", lambda: now[0])
    log = Log("p0", LogSettings(format="json", burst=3, period_s=10.0))
    for _ in range(50):
        log.warning("flood")
        log.info("other", n=1)
    now[0] += 11 * 10**9
    log.warning("flood")
    logged = lines(capsys)
    assert [t["event"] for t in logged].count("flood") == 4
    assert [t.get("left_out") for t in logged if t["event"] == "flood"] == [None, None, None, 47]
    assert [t["event"] for t in logged].count("other") == 3


def test_kinds_of_event_are_bounded_and_a_level_silences_those_below(capsys: pytest.CaptureFixture[str]) -> None:
    log = Log("p0", LogSettings(level="warning", format="json"))
    for number in range(2000):
        log.warning(f"kind{number}")
    log.info("nothing")
    logged = lines(capsys)
    assert (len(logged), logged[-1]["event"]) == (2000, "kind1999")
    assert len(log._windows) <= 256


def test_what_libraries_log_goes_the_same_way(capsys: pytest.CaptureFixture[str]) -> None:
    import logging  # noqa: PLC0415

    record = logging.LogRecord(
        "aiohttp.server", logging.ERROR, "", 0, "bad %s", ("head",), (ValueError, ValueError("x"), None)
    )
    Handler(Log("p0", LogSettings(format="json"))).emit(record)
    (line,) = lines(capsys)
    assert (line["event"], line["said"], line["raised"]) == ("library.aiohttp.server", "bad head", "ValueError('x')")


def test_a_request_can_be_followed_from_taking_through_its_legs_to_its_answer(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    hosts = [UpstreamHost(lambda n: answer(500) if n == 1 else answer(200, b"ok"))] * 2
    own = ("log.level=debug", "log.format=json")

    async def scenario(s: ProxyHarness) -> None:
        assert (await s.ask())[0] == 200

    play(tmp_path, scenario, *hosts, MaxAttempts=3, own=own)
    logged = [t for t in lines(capsys) if t.get("request") == "9b1f03aa"]
    assert [t["event"] for t in logged] == ["taken", "leg_sent", "leg_ended", "leg_sent", "leg_ended", "answered"]
    assert [t["outcome"] for t in logged if t["event"] == "leg_ended"] == ["error", "ok"]
    assert logged[5]["answer"] == "served"


@pytest.mark.parametrize(
    ("own", "followed"),
    [
        (("log.sample=4",), 3),
        (("log.followed=2",), 2),
        (("log.level=info",), 0),
    ],
)
def test_sampling_keeps_debug_affordable(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], own: tuple[str, ...], followed: int
) -> None:
    async def scenario(s: ProxyHarness) -> None:
        for _ in range(12):
            assert (await s.ask())[0] == 200

    play(tmp_path, scenario, UpstreamHost(), own=("log.level=debug", "log.format=json", *own))
    assert sum(t["event"] == "taken" for t in lines(capsys)) == followed


def test_the_deployed_start_imports_nothing_of_the_command_line_or_the_laboratory(tmp_path: Path) -> None:
    code = (
        "import sys, runpy\nsys.argv = ['cranebank']\n"
        "try:\n    runpy.run_module('cranebank', run_name='__main__')\nexcept SystemExit as e:\n    print(e.code)\n"
        "print(*[m for m in sys.modules if m.split('.')[0] in ('click', 'numpy', 'matplotlib', 'hdrh', 'psutil', "
        "'tomli_w', 'rich') or m.startswith(('cranebank.cli', 'cranebank.lab', 'cranebank.simwire'))])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=False,
        env={"GW_CONFIG": str(tmp_path / "none.json")},
        cwd=Path(__file__).parent.parent,
    )
    assert done.stdout.split() == ["2"]
