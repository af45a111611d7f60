"""A short day of the whole system with real processes on loopback, during which the primary is killed."""

from __future__ import annotations

from pathlib import Path

from click.testing import CliRunner

from cranebank.cli.main import cli
from cranebank.cli.system import DAY_NAMES
from cranebank.fleetlab import report
from cranebank.fleetlab.day import DAYS, SHORT, play
from cranebank.fleetlab.judge import judge, served, share
from cranebank.fleetlab.records import DayRecord


def test_a_short_day_keeps_the_rules_through_the_end_of_its_primary(tmp_path: Path) -> None:
    day = play(SHORT, folder=tmp_path)
    verdict = judge(day)
    assert verdict.kept, verdict.breaches
    assert not day.exits
    assert not day.stray
    assert share(day, served) >= 0.9
    check_takeover(day)
    check_drain_and_race(day)
    page = report.day_page(day, verdict)
    assert page.count("<svg") == 6
    assert "No rule broke." in page


def check_takeover(day: DayRecord) -> None:
    """Check that another controller becomes primary, and that the newest acknowledged revision is read back."""
    (killed,) = [trouble for trouble in day.troubles if "killed" in trouble.what]
    before = {name for at, name in day.primaries if at < killed.begin}
    after = {name for at, name in day.primaries if at > killed.end} - {""}
    assert before
    assert after - before
    assert day.read_back is not None
    assert day.read_back.revision == max(change.revision for change in day.changes if change.acked is not None)


def check_drain_and_race(day: DayRecord) -> None:
    """Check that the drain was acknowledged, and of the changes that race at the end exactly one."""
    (drain,) = day.drains
    assert drain.acked is not None
    assert drain.ended is not None
    left, right = day.changes[-2:]
    assert left.base == right.base
    # After a slow takeover an earlier change may take part in the race.
    winners = [change for change in day.changes if change.base == left.base and change.acked is not None]
    assert len(winners) == 1


def test_the_command_line_knows_the_demo() -> None:
    help_text = CliRunner().invoke(cli, ["system", "demo", "--help"]).output
    assert "--small" in help_text
    assert set(DAY_NAMES) == set(DAYS)
