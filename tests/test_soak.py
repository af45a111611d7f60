"""Short soak runs of real processes under overlapping faults, and the campaign of many runs."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from cranebank.cli import system
from cranebank.cli.main import cli
from cranebank.fleetlab import campaign
from cranebank.fleetlab.records import DayRecord
from cranebank.fleetlab.soak import play
from cranebank.fleetlab.soak_plan import SHORT, SHORT_APART, FaultKind, SoakPlan, draw_plan
from cranebank.fleetlab.soak_verdict import SoakVerdict
from cranebank.fleetlab.tally_judge import acknowledged_share

CI_SEED = 3  # three at once: a controller cut off from the others, resets and a killed proxy
MULTI_ZONE_SEED = 7  # a zone loses power, another is evacuated, and the two are cut off from each other


def test_a_short_run_keeps_the_rules_and_serves(tmp_path: Path) -> None:
    plan = draw_plan(CI_SEED, SHORT)
    verdict = play(plan, tmp_path)
    assert not verdict.failures
    assert sum(verdict.faults.values()) == len(plan.episodes[0])
    assert any(" + " in pair for pair in verdict.overlaps)
    assert verdict.windows >= 3
    assert verdict.acknowledged >= 5
    record = msgspec.json.decode((tmp_path / "record.json").read_bytes(), type=DayRecord)
    assert len(record.tries) >= verdict.requests
    assert msgspec.json.decode((tmp_path / "plan.json").read_bytes(), type=SoakPlan) == plan


def test_zones_apart_lose_no_tally_flood_no_cold_backend_and_keep_to_evacuations(tmp_path: Path) -> None:
    plan = draw_plan(MULTI_ZONE_SEED, SHORT_APART)
    verdict = play(plan, tmp_path)
    assert not verdict.failures
    assert sum(verdict.faults.values()) == len(plan.episodes[0])
    record = msgspec.json.decode((tmp_path / "record.json").read_bytes(), type=DayRecord)
    assert acknowledged_share(record) >= 0.9
    assert [order.acked is not None for order in record.evacuations] == [True, True]
    assert record.cold_times


def verdict(seed: int, failures: tuple[str, ...] = (), **faults: int) -> SoakVerdict:
    return SoakVerdict(seed, list(failures), faults, {"a + b": 2, "three at once": 1}, {}, 100, 1.0, 9, 0.1, 5)


def script_verdicts(monkeypatch: pytest.MonkeyPatch, verdicts: list[SoakVerdict]) -> None:
    """Replace runs by given verdicts, in this process and without starting others."""

    def play_scripted(plan: SoakPlan, folder: Path, progress: object) -> SoakVerdict:
        (folder / "plan.json").write_bytes(b"{}")
        (folder / "record.json").write_bytes(b"{}")
        (folder / "disk-1").mkdir()
        return next(verdict for verdict in verdicts if verdict.seed == plan.seed)

    monkeypatch.setattr(campaign, "play", play_scripted)


def test_what_a_failing_run_left_stays(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    script_verdicts(monkeypatch, [verdict(1), verdict(2, ("OUTAGE: all refused",))])
    campaign.play_one(draw_plan(1), tmp_path / "seed-1")
    campaign.play_one(draw_plan(2), tmp_path / "seed-2")
    assert {path.name for path in (tmp_path / "seed-1").iterdir()} == {"plan.json"}
    assert {path.name for path in (tmp_path / "seed-2").iterdir()} >= {"plan.json", "record.json", "disk-1", "run.log"}


def test_a_campaign_fails_by_a_finding_and_by_a_fault_that_never_happened() -> None:
    passed = campaign.CampaignReport([verdict(1, kill=2), verdict(2, kill=1)], {}, [])
    assert passed.is_passed
    assert passed.faults == {"kill": 3}
    assert passed.overlaps == {"a + b": 4, "three at once": 2}
    assert not campaign.CampaignReport([verdict(1, ("MIXED x1",))], {}, []).is_passed
    assert not campaign.CampaignReport([verdict(1)], {2: "no address"}, []).is_passed
    missing = campaign.CampaignReport([verdict(1)], {}, [FaultKind.CUT_HALVES.value])
    assert not missing.is_passed
    assert "NEVER HAPPENED: cut-halves" in "\n".join(campaign.describe(missing))


def test_seeds_of_the_command_line() -> None:
    assert system._seeds("7") == [7]
    assert system._seeds("1-3,9") == [1, 2, 3, 9]
    refused = CliRunner().invoke(cli, ["system", "soak", "--seeds", "x"])
    assert refused.exit_code == 2
    unknown = CliRunner().invoke(cli, ["system", "soak", "--without", "gremlin"])
    assert unknown.exit_code == 2
    assert "cut-halves" in unknown.output
