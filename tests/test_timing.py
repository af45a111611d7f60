"""This version's time constants against the bounds of the settings file."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from cranebank.programs import command, timing
from cranebank.programs.settings import ROLES, Bounds
from cranebank.programs.timing import TimingRequirement

ALL = [requirement for role in ROLES for requirement in timing.requirements(role)]
ONE_BEYOND = 0.999


@pytest.mark.parametrize("requirement", ALL, ids=lambda found: f"{found.what} < {found.bound}")
def test_a_constant_lies_under_its_bound(requirement: TimingRequirement) -> None:
    assert requirement.is_met(Bounds()), requirement.describe(Bounds())


@pytest.mark.parametrize("requirement", ALL, ids=lambda found: f"{found.what} < {found.bound}")
def test_a_bound_that_is_too_tight_is_described(requirement: TimingRequirement) -> None:
    in_unit = timing.MS_PER_S if requirement.bound.endswith("_ms") else 1.0
    tight = msgspec.structs.replace(Bounds(), **{requirement.bound: requirement.takes_s * in_unit * ONE_BEYOND})
    lines = [line for role in ROLES for line in timing.unmet(tight, role)]
    assert requirement.describe(tight) in lines


def test_every_bound_on_time_that_the_control_side_is_judged_by_is_covered() -> None:
    covered = {requirement.bound for requirement in ALL}
    assert covered >= {"lease_ms", "ack_ms", "apply_ms", "drain_ms", "catch_up_s", "contact_ms", "grace_s"}


def test_check_settings_names_bounds_that_are_not_kept(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "boot.yaml"
    path.write_text(
        "node_name: e\nip: 10.0.0.1\nzone: a\nport_range: [7300, 7315]\nseed_addrs: ['10.0.0.2:8262']\n"
        "bounds: {drain_ms: 500}\n",
        encoding="utf-8",
    )
    assert command.main(["check-settings", str(path)]) == 0
    lines = capsys.readouterr().out.splitlines()[1:]
    assert lines and all("bounds.drain_ms: 0.5 s is less than" in line for line in lines)
    assert {line.partition(":")[0] for line in lines} == {"edge", "control"}
