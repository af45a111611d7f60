"""Variants of a site file: changes by path, and errors of one line that name the file and the key."""

from __future__ import annotations

import json
import re
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest
import tomli_w

from cranebank.config.checks import ConfigError
from cranebank.lab.sites import SIDE_FILES, changed, main

SITE: dict[str, Any] = {
    "name": "one",
    "net": {"zones": ["a", "b"]},
    "tenant": [{"name": "t", "share": 1.0}],
    "class": [{"name": "read", "aim_ms": 10}, {"name": "write", "aim_ms": 20}],
}


def test_changes_apply_by_path_and_leave_the_base_unchanged() -> None:
    before = json.dumps(SITE)
    variant = changed(
        SITE,
        {
            "base": "x",
            "remove": ["tenant", "class.read.aim_ms"],
            "set": {"name": "two", "net.zones": ["c"], "class.write.aim_ms": 5, "class.write.name": "put"},
            "append": {"class": [{"name": "pay"}]},
        },
    )
    assert variant == {
        "name": "two",
        "net": {"zones": ["c"]},
        "class": [{"name": "read"}, {"name": "put", "aim_ms": 5}, {"name": "pay"}],
    }
    assert json.dumps(SITE) == before


FLEET: dict[str, Any] = tomllib.loads("""
name = "one"
wire = "words.json"
machines = [{ class = "core", zone = "a", count = 1, disk = { mb = 4 } }]
[[day]]
name = "quiet"
traffic = [{ per_s = 3.0, clients = 3 }, { per_s = 5.0, clients = 4 }]
[[day]]
name = "trouble"
traffic = [{ per_s = 7.0, clients = 5 }]
""")


def test_copy_scale_and_wildcard_paths() -> None:
    before = json.dumps(FLEET)
    variant = changed(
        FLEET,
        {
            "copy": [{"path": "machines.0", "set": {"zone": "b", "disk.mb": 8}}],
            "remove": ["day.quiet.traffic.1"],
            "scale": {"day.*.traffic.*.per_s": 0.5, "day.*.traffic.*.clients": 0.5},
            "set": {"machines.*.count": 2},
        },
    )
    assert variant == {
        "name": "one",
        "wire": "words.json",
        "machines": [
            {"class": "core", "zone": "a", "count": 2, "disk": {"mb": 4}},
            {"class": "core", "zone": "b", "count": 2, "disk": {"mb": 8}},
        ],
        "day": [
            {"name": "quiet", "traffic": [{"per_s": 1.5, "clients": 2}]},
            {"name": "trouble", "traffic": [{"per_s": 3.5, "clients": 2}]},
        ],
    }
    assert json.dumps(FLEET) == before


@pytest.mark.parametrize(
    ("changes", "message_start"),
    [
        ({"set": {"machines.1.count": 1}}, "machines.1.count"),
        ({"set": {"day.*.sead": 1}}, "day.*.sead"),
        ({"scale": {"name": 2}}, "scale.name"),
        ({"scale": {"machines.0.count": "2"}}, "scale.machines.0.count"),
        ({"copy": [{"path": "name", "set": {}}]}, "copy.name"),
        ({"copy": [{"path": "machines.0"}]}, "copy"),
        ({"copy": [{"path": "machines.0", "set": {"zona": "b"}}]}, "copy.machines.0.zona"),
        ({"remove": ["day.*.plan"]}, "day.*.plan"),
        ({"remove": ["machines.0"], "set": {"machines.0": {}}}, "machines.0"),
    ],
)
def test_a_missing_path_is_named_in_the_error(changes: dict[str, Any], message_start: str) -> None:
    with pytest.raises(ConfigError, match=f"^{re.escape(message_start)}: expected"):
        changed(FLEET, changes)


def test_a_removed_key_may_be_set_again() -> None:
    variant = changed(
        FLEET, {"remove": ["wire", "machines.0.disk"], "set": {"wire": "w", "machines.0.disk": {"mb": 1}}}
    )
    assert variant == FLEET | {"wire": "w", "machines": [{"class": "core", "zone": "a", "count": 1, "disk": {"mb": 1}}]}


def test_a_fleet_variant_gets_its_own_wire_file(tmp_path: Path) -> None:
    (tmp_path / "one.toml").write_text(tomli_w.dumps(FLEET), encoding="utf-8")
    (tmp_path / "words.json").write_text("words", encoding="utf-8")
    (tmp_path / "two.changes.toml").write_text('base = "one.toml"\nset = {name = "two"}\n', encoding="utf-8")
    assert main(str(tmp_path), str(tmp_path)) == 0
    written = tomllib.loads((tmp_path / "two.toml").read_text(encoding="utf-8"))
    assert written == FLEET | {"name": "two", "wire": "two.wire.json"}
    assert (tmp_path / "two.wire.json").read_text(encoding="utf-8") == "words"


@pytest.mark.parametrize(
    ("changes", "message_start"),
    [
        ({"remove": ["class.none"]}, "class.none"),
        ({"remove": ["nothing"]}, "nothing"),
        ({"set": {"net.a.b": 1}}, "net.a.b"),
        ({"set": {"class.none.aim_ms": 1}}, "class.none.aim_ms"),
        ({"set": {"name.x": 1}}, "name.x"),
        ({"append": {"net": [{}]}}, "append.net"),
        ({"append": {"class": 1}}, "append.class"),
        ({"sat": {}}, "sat"),
        ({"remove": "tenant"}, "remove"),
    ],
)
def test_an_impossible_change_is_named_in_the_error(changes: dict[str, Any], message_start: str) -> None:
    with pytest.raises(ConfigError, match=f"^{message_start}: expected"):
        changed(SITE, changes)


def test_variants_are_written_with_the_files_next_to_their_base(tmp_path: Path) -> None:
    kit, folder = tmp_path / "kit" / "sites", tmp_path / "ours"
    kit.mkdir(parents=True)
    folder.mkdir()
    (kit / "one.toml").write_text(tomli_w.dumps(SITE | {"wire": "wire.json"}), encoding="utf-8")
    for name in SIDE_FILES:
        (kit / name).write_text(name, encoding="utf-8")
    (folder / "two.changes.toml").write_text('base = "sites/one.toml"\nset = {name = "two"}\n', encoding="utf-8")
    assert main(str(tmp_path / "kit"), str(folder)) == 0
    assert tomllib.loads((folder / "two.toml").read_text(encoding="utf-8")) == SITE | {
        "name": "two",
        "wire": "wire.json",
    }
    assert [(folder / name).read_text(encoding="utf-8") for name in SIDE_FILES] == list(SIDE_FILES)


@pytest.mark.parametrize(
    ("content", "expected_text"),
    [
        (None, "no kit at"),
        ("", "x.changes.toml: base: expected"),
        ('base = "none.toml"', "x.changes.toml: base: expected a file"),
        ("[", "x.changes.toml: "),
        ('base = "x.changes.toml"\nset = {nane = "x"}', "x.changes.toml: nane: expected"),
    ],
)
def test_a_missing_kit_or_bad_changes_give_an_error_of_one_line(
    tmp_path: Path, content: str | None, expected_text: str
) -> None:
    kit = tmp_path / ("none" if content is None else ".")
    (tmp_path / "x.changes.toml").write_text(content or "", encoding="utf-8")
    done = subprocess.run(
        [sys.executable, "-m", "cranebank.lab.sites", str(kit), str(tmp_path)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (done.returncode, done.stdout, len(done.stderr.splitlines())) == (2, "", 1)
    assert expected_text in done.stderr
