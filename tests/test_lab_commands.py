"""The commands of the laboratory, started as a user starts them."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest
import tomli_w
from labs import scenario

from cranebank.cli.main import main
from cranebank.lab import experiment, records, results
from cranebank.lab.judge import Breach, Verdict

ROOT = Path(__file__).parent.parent


def command(*words: str, **more: Any) -> subprocess.Popen[str]:
    """Start the command line in a process of its own."""
    return subprocess.Popen(
        [sys.executable, "-m", "cranebank", *words],
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        cwd=ROOT,
        **more,
    )


def write(path: Path, **changes: Any) -> Path:
    """Write a small scenario to a file."""
    fields = msgspec.to_builtins(scenario(**({"seconds": 1.0} | changes)))
    for tier in fields["tier"]:
        del tier["choke"]
    path.write_bytes(tomli_w.dumps(fields).encode())
    return path


def test_the_demo_prints_a_table_and_writes_its_report(tmp_path: Path) -> None:
    process = command("demo", "--small", "--out", str(tmp_path / "out"))
    output, _ = process.communicate()
    assert process.returncode == 0, output
    assert re.search(r"^check-stock +\d+", output, re.M)
    assert "no rule broke" in output
    page = (tmp_path / "out/report.html").read_text(encoding="utf-8")
    assert page.count("<svg") >= 5
    assert not re.search(r'(src|href)="http', page)  # self-contained
    result = json.loads((tmp_path / "out/result.json").read_bytes())
    assert all(tier["legs"] > 50 for tier in result["tiers"])


@pytest.mark.parametrize(
    ("verdict", "why_not", "code"),
    [
        (Verdict((), 9, 9), "", 0),
        (Verdict((Breach("drain", 2, ("x",)),), 9, 9), "", 1),
        (Verdict((), 9, 9), "late", 1),
    ],
)
def test_a_broken_rule_or_a_late_generator_gives_exit_code_1(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
    verdict: Verdict,
    why_not: str,
    code: int,
) -> None:
    generator = records.Generator(1, 0, 10**9 if why_not else 0, 0, 0.0, 1.0)
    found = results.summarise(scenario(), [generator], verdict)
    monkeypatch.setattr("cranebank.lab.run.play", lambda *_: found)
    assert main(["lab", "run", str(write(tmp_path / "s.toml")), "--out", str(tmp_path)]) == code
    output = capsys.readouterr().out
    assert ("RULE BROKEN drain x2" in output, "NO RESULT" in output) == (not verdict.is_clean, bool(why_not))


# The second run is far too long to finish before the test interrupts it. The handler is reset because a shell that
# starts the tests in the background lets them, and all processes that they start, ignore SIGINT.
LONG_SECOND_RUN = """
import signal
import sys
signal.signal(signal.SIGINT, signal.default_int_handler)
import msgspec
from cranebank.cli.main import main
from cranebank.lab import experiment
class LongSecondRun(experiment.Run):
    def __init__(self, scenario, *more):
        seconds = 600.0 if scenario.seed == 2 else scenario.seconds
        super().__init__(msgspec.structs.replace(scenario, seconds=seconds), *more)
experiment.Run = LongSecondRun
sys.exit(main())
"""


def test_an_interrupted_experiment_keeps_finished_runs_and_resumes(tmp_path: Path) -> None:
    write(tmp_path / "small.toml")
    fields = {
        "name": "e",
        "scenarios": ["small.toml"],
        "seeds": [1, 2, 3],
        "grid": [{"path": "load.rate", "values": [20.0]}],
    }
    (tmp_path / "e.toml").write_bytes(tomli_w.dumps(fields).encode())
    words = ("lab", "run", str(tmp_path / "e.toml"), "--out", str(tmp_path / "out"))
    process = subprocess.Popen(
        [sys.executable, "-c", LONG_SECOND_RUN, *words],
        text=True,
        stdout=subprocess.PIPE,
        cwd=ROOT,
        stderr=subprocess.STDOUT,
        start_new_session=True,
    )
    assert process.stdout is not None
    while "seed=1: service" not in process.stdout.readline():
        assert process.poll() is None
    os.killpg(process.pid, signal.SIGINT)
    process.communicate()
    assert process.returncode == 1
    first = experiment.rows(tmp_path / "out")
    assert [row.seed for row in first] == [1]
    with open(tmp_path / "out/results.jsonl", "ab") as file:
        file.write(b'{"torn')
    again = command(*words)
    output, _ = again.communicate()
    assert (again.returncode, "expected --resume" in output) == (2, True)
    last = command(*words, "--resume")
    output, _ = last.communicate()
    assert last.returncode == 0, output
    rows = experiment.rows(tmp_path / "out")
    assert [row.seed for row in rows] == [1, 2, 3]
    assert msgspec.json.encode(rows[: len(first)]) == msgspec.json.encode(first)
    assert main(["lab", "report", str(tmp_path / "out")]) == 0
    assert "Latency against load" in (tmp_path / "out/report.html").read_text(encoding="utf-8")


def make_row(rate: float, seed: int, service: float) -> experiment.Row:
    """Return the row of a finished run."""
    result = results.summarise(scenario(seed=seed), [records.Generator(1, 0, 0, 0, 0.0, 1.0)], Verdict((), 1, 1))
    result = msgspec.structs.replace(result, service=service)
    return experiment.Row(f"{rate}-{seed}", "small", {"load.rate": rate}, seed, result)


def test_differences_are_paired_and_a_significant_loss_gives_exit_code_1(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    rows = [
        make_row(rate, seed, 0.9 - 0.1 * seed + more)
        for seed in range(4)
        for rate, more in ((1.0, 0.001 * seed), (2.0, 0.02), (3.0, 0.02 * (-1) ** seed))
    ]
    (tmp_path / "results.jsonl").write_bytes(b"\n".join(map(msgspec.json.encode, rows)) + b"\n")
    words = [f"{tmp_path}:load.rate={rate}" for rate in ("1.0", "2.0", "3.0")]
    assert main(["lab", "compare", words[0], words[1]]) == 0
    assert "+0.0185" in capsys.readouterr().out  # found although the differences between seeds are far larger
    assert main(["lab", "compare", words[1], words[0]]) == 1
    assert main(["lab", "compare", words[0], words[2]]) == 0  # not significant
    assert main(["lab", "compare", words[0], str(tmp_path / "none")]) == 2
    assert main(["lab", "list", str(tmp_path.parent)]) == 0
    assert tmp_path.name in capsys.readouterr().out


def test_intervals_use_students_t(tmp_path: Path) -> None:
    found = experiment.figure([1.0, 2.0, 3.0, 4.0])
    assert (found.mean, round(found.high - found.mean, 3)) == (2.5, 2.054)  # 3.182 * 1.291 / 2


def test_emulate_serves_a_proxy_and_load_sends_requests_to_it(tmp_path: Path) -> None:
    path = write(tmp_path / "s.toml", load={"rate": 100.0})
    fleet = command("emulate", str(path), "--seconds", "30", "--out", str(tmp_path / "out"))
    assert fleet.stdout is not None
    line = fleet.stdout.readline()
    match = re.search(r"GW_CONFIG=(\S+) cranebank serve   # at (\S+)", line)
    assert match is not None, line
    proxy = command("serve", env=os.environ | {"GW_CONFIG": match[1]})
    assert proxy.stdout is not None
    assert "listening on " + match[2] in proxy.stdout.readline()
    load = command("load", str(path), "--to", match[2], "--out", str(tmp_path / "asked.jsonl"))
    output, _ = load.communicate()
    assert load.returncode == 0, output
    asked = [r for r in records.read([tmp_path / "asked.jsonl"]) if isinstance(r, records.CallRecord)]
    assert len(asked) > 60
    assert all(record.status == 200 for record in asked)
    assert not (tmp_path / "out/records-load.jsonl").exists()  # emulate starts no load
    proxy.terminate()
    proxy.communicate()
    fleet.send_signal(signal.SIGINT)
    fleet.communicate()
    assert main(["load", str(path), "--to", "10.0.0.1:80"]) == 2  # loopback only
