"""Configuration: every kind of file, each layer, and one clear line for each error."""

from __future__ import annotations

import copy
import json
import tomllib
from pathlib import Path
from typing import Any

import pytest
import tomli_w
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from peers import configuration, entry

from cranebank.cli.main import cli, main
from cranebank.config.checks import ConfigError
from cranebank.config.load import load
from cranebank.config.own import merge_layers

ROOT = Path(__file__).parent.parent
OWN = tomllib.loads((ROOT / "deploy/cranebank.toml").read_text(encoding="utf-8"))
SCENARIO = tomllib.loads((ROOT / "scenarios/calm.toml").read_text(encoding="utf-8")) | {
    "fault": [{"what": "pause", "at_s": 3.0, "for_s": 1.0, "part": 0.5, "size": 200.0}],
    "judge": {"slack_ms": 100.0},
}
EXPERIMENT = {
    "name": "e",
    "scenarios": ["calm.toml"],
    "seeds": [1, 2],
    "grid": [{"path": "load.rate", "values": [10.0, 20.0]}],
}
PLATFORM = configuration("127.0.0.1:1", [entry("s0", "127.0.0.1:2")])
KINDS: dict[str, dict[str, Any]] = {"own": OWN, "scenario": SCENARIO, "experiment": EXPERIMENT, "platform": PLATFORM}


@pytest.fixture(autouse=True)
def beside(tmp_path: Path) -> None:
    """The scenario that the experiment refers to."""
    (tmp_path / "calm.toml").write_bytes((ROOT / "scenarios/calm.toml").read_bytes())


def check(path: Path, kind: str, document: dict[str, Any], capsys: pytest.CaptureFixture[str]) -> tuple[int, str]:
    """Return the exit code and output of ``config check`` for a file."""
    if kind == "platform":
        path.write_text(json.dumps(document), encoding="utf-8")
    else:
        path.write_bytes(tomli_w.dumps(document).encode())
    code = main(["config", "check", "--kind", kind, str(path)])
    out, err = capsys.readouterr()
    return code, out if code == 0 else err


def at(document: Any, path: str) -> Any:
    for step in path.split(".") if path else ():
        document = document[int(step) if step.isdigit() else step]
    return document


def changed(kind: str, path: str, value: Any) -> dict[str, Any]:
    document = copy.deepcopy(KINDS[kind])
    *above, last = path.split(".")
    node: Any = at(document, ".".join(above))
    node[int(last) if last.isdigit() else last] = value
    return document


@pytest.mark.parametrize("kind", KINDS)
def test_a_good_file_of_each_kind_is_good(tmp_path: Path, capsys: pytest.CaptureFixture[str], kind: str) -> None:
    code, output = check(tmp_path / "f.x", kind, KINDS[kind], capsys)
    assert (code, output.endswith(f"{kind}: good\n")) == (0, True)


@pytest.mark.parametrize(
    ("kind", "path", "value", "expected"),
    [
        ("own", "log.level", "loud", "log.level: expected one of debug, error, info, warning, got 'loud'"),
        ("own", "log.lvel", "info", "log.lvel: unknown key, expected one of level, format"),
        ("own", "door.request_s", "soon", "door.request_s: expected a number, got a text"),
        ("own", "door.kept_idle_s", 20.0, "door: expected kept_idle_s (20.0) to be at most most_idle_s (15.0)"),
        ("own", "log.burst", 0, "log.burst: expected a whole number >= 1"),
        ("own", "door.request_s", float("nan"), "door.request_s: expected a number"),
        ("scenario", "class.0.effect", "sfe", "class.0.effect: expected one of keyed, safe, unsafe, got 'sfe'"),
        ("scenario", "class.1.window_ms", 0.0, "class.1: expected window_ms where effect is keyed"),
        ("scenario", "tier.0.kind.0.cores", 1.5, "tier.0.kind.0.cores: expected a whole number, got a number"),
        ("scenario", "tier.0.proxies", 0, "tier.0.proxies: expected at least 1, as no tier is above the first"),
        ("scenario", "tier.1.name", "front", "tier: expected names that differ"),
        ("scenario", "class.0.share", 0.9, "class: expected shares that add up to 1, got 1.27"),
        ("scenario", "fault.0.what", "gremlin", "fault.0.what: expected one of cold, deploy"),
        ("scenario", "fault.0.hosts", ["front-std-0"], "fault.0: pause: expected part or hosts, and not both"),
        ("scenario", "fault.0.at_s", 99.0, "fault.0.at_s: expected at most seconds (12.0)"),
        ("scenario", "load.shape", "trace", "load: expected file where shape is trace"),
        ("scenario", "load.rate", float("inf"), "load.rate: expected a number <= 1000000.0"),
        ("experiment", "grid.0.values", [], "grid.0.values: expected a list of length >= 1"),
        ("experiment", "seeds", [1, 1], "seeds: expected each once"),
        ("experiment", "scenarios", ["none.toml"], "none.toml: No such file"),
        ("experiment", "grid.0.path", "load.rates", "calm.toml with load.rates=10.0: load.rates: unknown key"),
        ("experiment", "grid.0.path", "tier.9.proxies", "grid: tier.9.proxies: no such key in the scenario"),
        ("experiment", "grid.0.values", ["x"], "calm.toml with load.rate=x: load.rate: expected a number, got a text"),
        ("platform", "settings.Lanes.0.Aim", "x", "settings.Lanes.0.Aim: expected a number, got a text"),
        ("platform", "settings.Lanes", [], "settings.Lanes: expected a list of length >= 1"),
        ("platform", "settings.Report.Source", "air", "settings.Report.Source: expected one of inline, off"),
        ("platform", "limits.sockets", -1, "limits.sockets: expected a whole number >= 34"),
    ],
)
def test_a_bad_key_is_one_line_with_file_path_and_what_was_expected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], kind: str, path: str, value: Any, expected: str
) -> None:
    code, line = check(tmp_path / "f.x", kind, changed(kind, path, value), capsys)
    assert code == 2
    assert f"f.x: {expected}" in line or (kind == "experiment" and expected in line)
    assert len(line.splitlines()) == 1


def paths(document: Any, above: str = "") -> list[str]:
    """Return every path in a document."""
    items = (
        document.items() if isinstance(document, dict) else enumerate(document) if isinstance(document, list) else ()
    )
    return [p for key, value in items for p in (f"{above}{key}", *paths(value, f"{above}{key}."))]


def spoilt(value: Any) -> list[Any]:
    """Return values of types that are invalid in place of ``value``."""
    wrong: list[Any] = [{"a": 1}, [[]], "§ no word of ours", True, 7]
    kinds = {bool: [3], int: [4], float: [4], str: [2], list: [1], dict: [0]}
    keep = kinds[type(value)]
    if isinstance(value, str):
        return [wrong[i] for i in (0, 1, 3, 4)]
    return [w for i, w in enumerate(wrong) if i not in keep]


@settings(
    max_examples=150, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture], derandomize=True
)
@given(data=st.data())
@pytest.mark.parametrize("kind", KINDS)
def test_any_one_mutation_of_a_good_file_is_one_line_and_exit_code_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], kind: str, data: st.DataObject
) -> None:
    free = ("settings.Unheard", "known", "seed", "limits.cores", "settings.Report.Fields")
    known = [p for p in paths(KINDS[kind]) if not p.startswith(free)]
    path = data.draw(st.sampled_from(known))
    old = at(KINDS[kind], path)
    if isinstance(old, dict) and kind != "platform" and data.draw(st.booleans()):
        value: Any = old | {data.draw(st.text("abcXYZ_", min_size=12, max_size=14)): 1}
    else:
        value = data.draw(st.sampled_from(spoilt(old)))
    code, line = check(tmp_path / "f.x", kind, changed(kind, path, value), capsys)
    assert (code, len(line.splitlines())) == (2, 1), (path, value, line)
    assert "Traceback" not in line


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        (b"\xff\xfe", "own"),
        (b"[log", "own"),
        (b"a = [" * 5000, "own"),
        (b"{", "platform"),
        (b"[" * 9999, "platform"),
        (b"", "platform"),
        (b"\xff", "scenario"),
        (b"", "scenario"),
        (b"x = 1\nx = 2", "experiment"),
    ],
)
def test_what_is_no_such_file_at_all_is_one_line_too(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: bytes, kind: str
) -> None:
    (tmp_path / "f").write_bytes(text)
    assert main(["config", "check", "--kind", kind, str(tmp_path / "f")]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1
    assert main(["config", "check", "--kind", kind, str(tmp_path / "absent")]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_layers_go_file_then_variable_then_flag_and_show_says_which(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "own.toml"
    file.write_text('[log]\nlevel = "error"\nburst = 9\nsample = 3\n', encoding="utf-8")
    environ = {"CRANEBANK_LOG_BURST": "7", "CRANEBANK_LOG_SAMPLE": "4", "CRANEBANK_FILE": str(file)}
    own = merge_layers(environ, flags=["log.sample=5"]).own
    assert (own.log.level, own.log.burst, own.log.sample, own.stop.linger_s) == ("error", 7, 5, 0.5)
    for name, value in environ.items():
        monkeypatch.setenv(name, value)
    assert main(["config", "show", "--set", "log.sample=5"]) == 0
    output = capsys.readouterr().out
    assert f'log.level = "error"  # file {file}\n' in output
    assert "log.burst = 7  # variable CRANEBANK_LOG_BURST\n" in output
    assert "log.sample = 5  # --set\n" in output
    assert "stop.linger_s = 0.5  # default\n" in output


@pytest.mark.parametrize(
    ("environ", "flags", "expected"),
    [
        ({"CRANEBANK_LOG_LEVEL": "no"}, (), "CRANEBANK_LOG_LEVEL: log.level: expected one of"),
        ({"CRANEBANK_LOGG_LEVEL": "info"}, (), "CRANEBANK_LOGG_LEVEL: logg: unknown key"),
        ({"CRANEBANK_LEVEL": "info"}, (), "CRANEBANK_LEVEL: expected a name such as"),
        ({}, ("log.burst=many",), "--set log.burst=many: log.burst: expected a whole number, got a text"),
        ({}, ("log",), "--set log: expected TABLE.KEY=VALUE"),
        ({"CRANEBANK_DOOR_KEPT_IDLE_S": "9"}, ("door.most_idle_s=8",), "--set door.most_idle_s=8: door: expected"),
    ],
)
def test_a_bad_layer_is_named(environ: dict[str, str], flags: tuple[str, ...], expected: str) -> None:
    with pytest.raises(ConfigError) as caught:
        merge_layers(environ, flags=flags)
    assert expected in str(caught.value)


def test_a_reload_names_what_needs_a_restart(tmp_path: Path) -> None:
    def load_changed(own: tuple[str, ...] = (), **changes: Any) -> Any:
        (tmp_path / "c.json").write_text(json.dumps(PLATFORM | changes), encoding="utf-8")
        return load({"GW_CONFIG": str(tmp_path / "c.json")}, flags=own)

    base = load_changed()
    assert base.needs_restart(load_changed(discovery="127.0.0.1:9", own=("log.level=debug", "stop.linger_s=2"))) == []
    assert base.needs_restart(load_changed(limits={"sockets": 99}, own=("door.request_s=1",))) == [
        "sockets",
        "memory",
        "door",
    ]
    fewer = PLATFORM["settings"] | {"Balancers": 4}
    assert base.needs_restart(load_changed(settings=fewer)) == ["settings"]


def commands(group: Any, above: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    found = [above]
    for name, command in getattr(group, "commands", {}).items():
        found += commands(command, (*above, name))
    return found


@pytest.mark.parametrize("words", commands(cli), ids=" ".join)
def test_every_command_has_help_with_an_example(words: tuple[str, ...], capsys: pytest.CaptureFixture[str]) -> None:
    assert main([*words, "--help"]) == 0
    assert "Example:" in capsys.readouterr().out


@pytest.mark.parametrize(
    "words",
    [
        ["nonsense"],
        ["config", "check"],
        ["config", "schema", "x"],
        ["serve", "--no"],
        ["completion", "tcsh"],
    ],
)
def test_a_bad_argument_is_one_line_and_exit_code_2(words: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert main(words) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


@pytest.mark.parametrize("kind", KINDS)
def test_the_schema_of_each_kind_is_json_and_names_its_keys(kind: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["config", "schema", kind]) == 0
    schema = json.loads(capsys.readouterr().out)
    known = schema["$defs"][schema["$ref"].split("/")[-1]]["properties"]
    assert set(KINDS[kind]) <= set(known)


def test_completion_is_there(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["completion", "bash"]) == 0
    assert "_CRANEBANK_COMPLETE=bash_complete" in capsys.readouterr().out
