"""The simulator's adapter end to end, as a subprocess on the wire."""

from __future__ import annotations

import subprocess
import sys

import pytest

from cranebank.simwire import wire

SETTINGS = "\t".join(
    [
        "Balancers=2",
        "Discovery=push",
        "FamilyInfo.PassesDeadline=true",
        "Lanes.count=1",
        "Lanes.0.Aim=400.0",
        "Lanes.0.Deadline=1000.0",
        "Lanes.0.Effect=retryable",
        "Lanes.0.Group=all",
        "Lanes.0.LateWorth=0",
        "Lanes.0.Name=x",
        "Lanes.0.RepeatWindow=0",
        "Lanes.0.Streaming=false",
        "Lanes.0.Worth=1",
        "Layer=0",
        "Limits.Cancel=true",
        "Limits.MaxAttempts=3",
        "Limits.MayProbe=false",
        "Limits.SecondCopies=false",
        "Quantum=5.0",
        "Report.Source=inline",
        "Rules.ColdFrom=0.3",
        "Rules.FallMultiple=3",
        "Rules.OverloadFor=1000",
        "Rules.WarmAfter=5000",
        "Tiers=a,b",
        "Zone=0",
        "Unheard.Of=7",
    ]
)


def run(lines: list[str]) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "cranebank.simwire.wirehost"],
        text=True,
        timeout=60,
        check=False,
        input="".join(x + "\n" for x in lines),
        capture_output=True,
    )


def start(node: int, ref: int = 0) -> list[str]:
    return [f"START\t{node}\t{node + 99}\t{SETTINGS}", f"ROSTER_CHANGE\t{node}\tremembered\t1\t{ref}"]


def roster(ref: int, *servers: str) -> list[str]:
    lines = [f"SERVER\t0\t0\t0\t1\tIN\t-\t{server}" for server in servers]
    return [f"MANIFEST\t{ref}\t{len(servers)}", *lines]


def ask(node: int, name: str) -> str:
    return f"REQUEST\t{node}\t{name}\t0\t-\t-\t800.0\t-\t0"


def relays(text: str) -> list[list[str]]:
    return [line.split("\t") for line in text.splitlines() if line.startswith("RELAY\t")]


def test_empty_batch_gets_an_empty_reply() -> None:
    done = run(["BEGIN_BATCH\t10.5", "COMMIT"])
    assert (done.returncode, done.stdout) == (0, "EOR\n")


def test_a_request_is_sent_to_a_listed_server() -> None:
    done = run(["BEGIN_BATCH\t10", *roster(0, "s:1"), *start(4), ask(4, "q1"), "COMMIT"])
    assert done.returncode == 0
    assert [(r[1], r[2], r[4]) for r in relays(done.stdout)] == [("4", "q1", "s:1")]


def test_a_list_number_is_resolved_in_event_order() -> None:
    done = run(
        [
            "BEGIN_BATCH\t10",
            *roster(0, "old:1"),
            *start(1),
            *roster(0, "new:1"),
            *start(2),
            ask(1, "q1"),
            ask(2, "q2"),
            "COMMIT",
        ]
    )
    assert [(r[1], r[4]) for r in relays(done.stdout)] == [("1", "old:1"), ("2", "new:1")]


def test_restart_within_a_batch_forgets_the_old_requests() -> None:
    done = run(
        [
            "BEGIN_BATCH\t10",
            *roster(0, "s:1"),
            *start(1),
            ask(1, "q1"),
            "EXIT\t1",
            *start(1),
            "REPORT_BACK\t1\tq1\t0\ts:1\t503\t2\t0\t-",
            ask(1, "q2"),
            "COMMIT",
        ]
    )
    assert done.returncode == 0
    assert [r[2] for r in relays(done.stdout)] == ["q1", "q2"]


def test_bad_lines_are_named_and_end_the_run() -> None:
    for bad, word in (
        ("NONSENSE\t1", "unknown message"),
        (ask(9, "q"), "never started"),
        ("REQUEST\t1\tq", "expected 8 values"),
        ("ROSTER_CHANGE\t1\tall\t1\t7", "never sent"),
        ("SERVER\t0", "outside a MANIFEST"),
    ):
        done = run(["BEGIN_BATCH\t10", *roster(0, "s:1"), *start(1), bad, "COMMIT"])
        assert done.returncode == 1
        assert word in done.stderr
        assert "line 6" in done.stderr
        assert "Traceback" not in done.stderr


def test_a_missing_setting_is_named() -> None:
    done = run(["BEGIN_BATCH\t10", "START\t1\t5\t" + SETTINGS.replace("Rules.ColdFrom=0.3\t", ""), "COMMIT"])
    assert done.returncode == 1
    assert "Rules.ColdFrom" in done.stderr


def test_an_exception_in_the_decisions_is_reported_as_broken() -> None:
    code = (
        "import sys\nfrom cranebank.simwire import wirehost\n"
        "def fail(self, now, event):\n    raise IndexError('out of\\nrange')\n"
        "wirehost.Balancer.handle = fail\nsys.exit(wirehost.main())"
    )
    lines = ["BEGIN_BATCH\t10", *roster(0, "s:1"), *start(1), "COMMIT"]
    done = subprocess.run(
        [sys.executable, "-c", code],
        input="\n".join(lines) + "\n",
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.stdout.splitlines() == ["BROKEN\t1\tIndexError: out of range", "EOR"]


def test_one_process_acts_like_several() -> None:
    servers = [f"s:{i}" for i in range(6)]

    def day(nodes: list[int]) -> list[str]:
        lines = ["BEGIN_BATCH\t10", *roster(0, *servers)]
        for node in nodes:
            lines += start(node)
        lines.append("COMMIT")
        for turn in range(40):
            lines.append(f"BEGIN_BATCH\t{20 + turn * 5}")
            lines += [ask(node, f"q{node}-{turn}") for node in nodes]
            lines.append("COMMIT")
        return lines

    together = run(day([1, 2, 3])).stdout
    for node in (1, 2, 3):
        alone = run(day([node])).stdout
        assert relays(alone) == [r for r in relays(together) if r[1] == str(node)]
        assert len(relays(alone)) > 5


def test_that_removals_are_advisory_is_read_from_the_settings() -> None:
    pairs = SETTINGS.split("\t")
    assert wire.parse_settings(pairs).removals_are_advisory is False
    settings = wire.parse_settings(
        [
            *pairs,
            "Rules.DroppedStayOpen=true",
            "Limits.ConnIdle=30000.0",
            "Limits.StreamsPerConn=1",
            "Prices.Handshake=0.03",
        ]
    )
    assert settings.removals_are_advisory
    assert (settings.idle_after, settings.shares_connections, settings.handshake_price) == (30000.0, False, 0.03)
    with pytest.raises(wire.WireError, match="DroppedStayOpen: expected true or false"):
        wire.parse_settings([*pairs, "Rules.DroppedStayOpen=perhaps"])


def test_a_removed_server_is_still_used_where_removals_are_advisory() -> None:
    gone = ["MANIFEST\t1\t1", "SERVER\t0\t0\t0\t1\tOUT\t-\ts:1", "ROSTER_CHANGE\t4\tchanges\t2\t1"]
    for setting, sends in (("\tRules.DroppedStayOpen=true", 1), ("", 0)):
        started = start(4)
        started[0] += setting
        done = run(["BEGIN_BATCH\t10", *roster(0, "s:1"), *started, *gone, ask(4, "q1"), "COMMIT"])
        assert (done.returncode, len(relays(done.stdout))) == (0, sends)
