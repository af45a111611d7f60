"""The reader of many proxies' logs, on lines that a proxy wrote and on other lines."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from peers import ProxyHarness, UpstreamHost, play, until

from cranebank.cli.main import main
from cranebank.lab import fleetlog


def write(folder: Path, name: str, *lines: str) -> None:
    (folder / name).write_bytes("\n".join(lines).encode("utf-8", "surrogateescape") + b"\n")


def line(second: int, proxy: str, event: str, fields: str = "") -> str:
    return f"at=2026-12-01T10:00:{second:02}.500000Z level=info proxy={proxy} event={event} {fields}"


def test_counts_over_the_fleet_are_summed_and_ages_averaged(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    write(
        tmp_path,
        "p0.log",
        line(0, "p0", "tally", "copies=8.0 list_age_ms=100 +probes_sent=3 cpu_ms=7"),
        line(2, "p0", "dial_failed", 'error="no = \\"one\\"" left_out=4'),
    )
    write(
        tmp_path,
        "p1.log",
        line(0, "p1", "tally", "copies=4.0 list_age_ms=300 +probes_sent=2 cpu_ms=8"),
        json.dumps({"at": "2026-12-01T10:00:02.700000Z", "proxy": "p1", "event": "dial_failed"}),
    )
    assert main(["lab", "logs", str(tmp_path), "--json"]) == 0
    by_second = dict(json.loads(capsys.readouterr().out))
    assert by_second[0] == {"copies": 6.0, "list_age_ms": 200.0, "probes_sent": 5, "cpu_ms": 15}
    assert by_second[2] == {"dial_failed": 6}
    assert main(["lab", "logs", str(tmp_path), "--columns", "probes_sent,dial_failed"]) == 0
    assert "2 proxies, 4 lines" in capsys.readouterr().out


def test_a_request_id_is_followed_through_all_proxies_by_time(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "later").mkdir()
    write(tmp_path, "b.log", line(3, "b", "answered", "request=x answer=failed"), line(1, "b", "taken", "request=y"))
    write(tmp_path, "later/a.log", line(2, "a", "leg_ended", "request=x outcome=timeout"))
    assert main(["lab", "logs", str(tmp_path), "--id", "x", "--json"]) == 0
    rows = json.loads(capsys.readouterr().out)
    assert [row[1:] for row in rows] == [["a", "leg_ended", "outcome=timeout"], ["b", "answered", "answer=failed"]]
    assert main(["lab", "logs", str(tmp_path), "--id", "nobody's"]) == 1


@pytest.mark.parametrize(
    "bad",
    [
        "",
        "{",
        "[1]",
        '{"at": 5}',
        "at=yesterday proxy=p event=e",
        "p0: listening on 1:2",
        '{"at": "2026-12-01T10:00:00Z"}',
        "\udcff\udcfe" * 9,
        "x" * 300_000,
        "{" * 70_000,
    ],
)
def test_unreadable_lines_are_counted_by_file(tmp_path: Path, capsys: pytest.CaptureFixture[str], bad: str) -> None:
    write(tmp_path, "p0.log", line(0, "p0", "taken", "request=x"), bad, line(1, "p0", "answered", "request=x"))
    assert main(["lab", "logs", str(tmp_path), "--json"]) == 0
    output = capsys.readouterr()
    assert [counts for _, counts in json.loads(output.out)] == [{"taken": 1}, {"answered": 1}]
    assert ("p0.log" in output.err) is bool(bad)


def test_a_missing_folder_is_an_error_of_one_line_and_an_empty_folder_gives_exit_code_1(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["lab", "logs", str(tmp_path / "none")]) == 2
    assert capsys.readouterr().err == f"cranebank: {tmp_path / 'none'}: expected a folder of logs\n"
    assert main(["lab", "logs", str(tmp_path)]) == 1


@pytest.mark.parametrize("every", [0.0, 0.1])
def test_a_proxy_logs_tallies_of_counters_and_beliefs_if_configured(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], every: float
) -> None:
    output = ""

    async def scenario(s: ProxyHarness) -> None:
        await s.ask()

        def has_tally() -> bool:
            nonlocal output
            output += capsys.readouterr().err
            return not every or "+answers_served" in output

        await until(has_tally)

    play(tmp_path, scenario, UpstreamHost(), own=(f"log.tally_s={every}",))
    tallies = [tally for tally in map(fleetlog.parse, filter(str.strip, output.splitlines())) if tally.event == "tally"]
    served = sum(int(tally.fields.get("+answers_served", 0)) for tally in tallies)
    assert (bool(tallies), served) == (bool(every), int(bool(every)))
    assert all(tally.fields["listed"] == "1" and float(tally.fields["copies"]) >= 1 for tally in tallies)
