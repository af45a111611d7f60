"""Variants of a site file: changes by path, and one line that names file and key where one can't be made."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest
import tomli_w

from cranebank.config.checks import ConfigError
from cranebank.lab.sites import BESIDE, changed, main

SITE: dict[str, Any] = {
    "name": "one", "net": {"zones": ["a", "b"]}, "tenant": [{"name": "t", "share": 1.0}],
    "class": [{"name": "read", "aim_ms": 10}, {"name": "write", "aim_ms": 20}],
}


def test_changes_go_by_path_and_leave_the_base_alone() -> None:
    before = json.dumps(SITE)
    made = changed(SITE, {
        "base": "x", "remove": ["tenant", "class.read.aim_ms"],
        "set": {"name": "two", "net.zones": ["c"], "class.write.aim_ms": 5, "class.write.name": "put"},
        "append": {"class": [{"name": "pay"}]}})
    assert made == {"name": "two", "net": {"zones": ["c"]},
                    "class": [{"name": "read"}, {"name": "put", "aim_ms": 5}, {"name": "pay"}]}
    assert json.dumps(SITE) == before


@pytest.mark.parametrize(("changes", "word"), [
    ({"remove": ["class.none"]}, "class.none"), ({"remove": ["nothing"]}, "nothing"),
    ({"set": {"net.a.b": 1}}, "net.a.b"),
    ({"set": {"class.none.aim_ms": 1}}, "class.none.aim_ms"), ({"set": {"name.x": 1}}, "name.x"),
    ({"append": {"net": [{}]}}, "append.net"), ({"append": {"class": 1}}, "append.class"), ({"sat": {}}, "sat"),
    ({"remove": "tenant"}, "remove"),
])
def test_a_change_that_can_not_be_made_is_named(changes: dict[str, Any], word: str) -> None:
    with pytest.raises(ConfigError, match=f"^{word}: expected"):
        changed(SITE, changes)


def test_variants_are_laid_with_what_stands_beside_their_base(tmp_path: Path) -> None:
    kit, folder = tmp_path / "kit" / "sites", tmp_path / "ours"
    kit.mkdir(parents=True)
    folder.mkdir()
    (kit / "one.toml").write_text(tomli_w.dumps(SITE), encoding="utf-8")
    for name in BESIDE:
        (kit / name).write_text(name, encoding="utf-8")
    (folder / "two.changes.toml").write_text('base = "sites/one.toml"\nset = {name = "two"}\n', encoding="utf-8")
    assert main(str(tmp_path / "kit"), str(folder)) == 0
    assert tomllib.loads((folder / "two.toml").read_text(encoding="utf-8")) == SITE | {"name": "two"}
    assert [(folder / name).read_text(encoding="utf-8") for name in BESIDE] == list(BESIDE)


@pytest.mark.parametrize(("said", "word"), [
    (None, "no kit at"), ("", "x.changes.toml: base: expected"),
    ('base = "none.toml"', "x.changes.toml: base: expected a file"),
    ("[", "x.changes.toml: "),
])
def test_without_the_kit_or_with_bad_changes_it_says_so_in_one_line(
        tmp_path: Path, said: str | None, word: str) -> None:
    kit = tmp_path / ("none" if said is None else ".")
    (tmp_path / "x.changes.toml").write_text(said or "", encoding="utf-8")
    done = subprocess.run([sys.executable, "-m", "cranebank.lab.sites", str(kit), str(tmp_path)],
                          capture_output=True, text=True, timeout=60, check=False)
    assert (done.returncode, done.stdout, len(done.stderr.splitlines())) == (2, "", 1)
    assert word in done.stderr
