"""The commands of the system: their output, their errors, and that a restored folder starts a new replica."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from random import Random
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion
from test_configuration import body, document, route

from cranebank.cli.main import main as cranebank
from cranebank.control import consensus_file
from cranebank.control.consensus_replica import ConsensusReplica, ConsensusSettings, State, Value
from cranebank.control.epochs import NO_BALLOT, DurableState, EpochRecord
from cranebank.programs import command
from cranebank.programs.control import make_controller
from cranebank.programs.settings import NodeSettings
from cranebank.storage.records import encode_batch, read_records
from cranebank.transport.revision import Revision, msgpack_encoder

SETTINGS = """\
node_name: edge-1
ip: 10.1.0.10
zone: north
port_range: [7300, 7315]
seed_addrs: ["10.1.0.13:8262"]
"""
STATUS: dict[str, Any] = {
    "node": "core-1",
    "is_primary": True,
    "primary": "10.1.0.13",
    "epoch": 4,
    "members": ["10.1.0.13", "10.2.0.16", "10.3.0.20"],
    "copies": ["10.1.0.13", "10.2.0.16"],
    "controllers": ["10.1.0.13", "10.2.0.16", "10.3.0.20"],
    "revision": 17,
    "later": 1,
    "backends": [
        {
            "id": f"b-{i}",
            "target": "chat" if i < 3 else "embed",
            "address": f"10.1.0.{i}:80",
            "phase": "draining" if i == 2 else "ready",
        }
        for i in range(4)
    ],
    "proxies": [
        {"name": "edge-2", "ip": "10.1.0.11", "revision": 15, "lag": 3},
        {"name": "edge-1", "ip": "10.1.0.10", "revision": 17, "lag": 0},
    ],
}


@pytest.fixture(autouse=True)
def _width(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("COLUMNS", "120")


@contextmanager
def answering(status: int, answer: bytes) -> Iterator[str]:
    """Yield the address of a server that gives this answer to every request."""

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            self.send_response(status if self.path == command.STATUS_PATH else 404)
            self.end_headers()
            self.wfile.write(answer)

        def log_message(self, format: str, *args: Any) -> None:
            pass

    server = HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def custody_values(revision: int, committed: int) -> dict[str, bytes]:
    """Return the values on a primary's disk."""
    record = EpochRecord(3, 3, "10.1.0.1", ("10.1.0.1",), ("10.1.0.1", "10.1.0.2", "10.1.0.3"))
    encode = msgpack_encoder().encode
    return {
        "id": b"10.1.0.1",
        "control": encode(DurableState(record, NO_BALLOT, None)),
        "value": encode(Value(3, Revision(revision), b"d", body(document(revision=revision)))),
        "handed": encode((committed, body(document(revision=committed)))),
    }


def data_folder(path: Path, revision: int = 7, committed: int = 7) -> Path:
    """Create a controller's data folder."""
    path.mkdir()
    (path / "custody").write_bytes(encode_batch(1, custody_values(revision, committed)))
    return path


@pytest.mark.parametrize("name", ["", *command.COMMANDS])
def test_help(name: str, capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion) -> None:
    with pytest.raises(SystemExit) as caught:
        command.main([*name.split(), "--help"])
    assert caught.value.code == 0
    assert capsys.readouterr().out == snapshot


def test_the_same_commands_behind_both_programs(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "boot.yaml"
    path.write_text(SETTINGS)
    assert cranebank(["system", "check-settings", str(path)]) == 0
    first = capsys.readouterr().out
    assert command.main(["check-settings", str(path)]) == 0
    assert capsys.readouterr().out == first
    assert cranebank(["system", "restore", "--help"]) == 0
    assert capsys.readouterr().out.startswith("usage: cranebank system restore")


@pytest.mark.parametrize(
    "words",
    [
        ["show"],
        ["show", "a:1", "b:2"],
        ["backup", "--replace", "a", "b"],
        ["restore", "a"],
    ],
)
def test_a_mistake_in_the_arguments_is_one_line(
    words: list[str], capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion
) -> None:
    assert cranebank(["system", *words]) == 2
    assert capsys.readouterr().err == snapshot


def test_a_role_alone_imports_no_commands(tmp_path: Path) -> None:
    script = (
        "import sys; from cranebank.programs.__main__ import main; main(['control'])\n"
        "found = {'defopt', 'click', 'cranebank.programs.command', 'cranebank.programs.metrics'} & {*sys.modules}\n"
        "assert not found, found"
    )
    run = subprocess.run(
        [sys.executable, "-c", script],
        env={"CRANEBANK_NODE_FILE": str(tmp_path / "none")},
        cwd=Path(__file__).parent.parent,
        capture_output=True,
        text=True,
        check=False,
    )
    assert run.returncode == 0, run.stderr


@pytest.mark.parametrize(
    "text",
    [
        SETTINGS,
        SETTINGS + "beet_ms: 3\nbounds: {grace_s: 5, grace: 1}\nmetrics: {later: form}\n",
        "a: [",
        "- a\n",
        SETTINGS.replace("ip: 10.1.0.10\n", ""),
        SETTINGS.replace("[7300, 7315]", "[7315, 7300]"),
        SETTINGS.replace('["10.1.0.13:8262"]', "[]"),
        SETTINGS.replace(":8262", ""),
        SETTINGS + "beat_ms: soon\n",
    ],
)
def test_settings(
    text: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    snapshot: SnapshotAssertion,
) -> None:
    monkeypatch.chdir(tmp_path)
    Path("boot.yaml").write_text(text)
    code = command.main(["check-settings", "boot.yaml"])
    output = capsys.readouterr()
    assert (code, output.out, output.err) == snapshot
    assert output.err.count("\n") == (1 if code else 0)


@pytest.mark.parametrize(
    ("sent", "words"),
    [
        (body(document(revision=7)), ""),
        (body(document(revision=7)), "--current current.json"),
        (b"{", ""),
        (body(document(revision=9, routes=[route(target="none")])), ""),
        (body({"revision": 8, "remove": {"routes": ["r-2"]}}), "--amend --current current.json"),
        (body({"revision": 7}), "--amend --current current.json"),
        (body({"revision": 8}), "--amend"),
        (body(document(revision=9)), "--current none.json"),
        (body(document(revision=9)), "--current broken.json"),
    ],
)
def test_configurations(
    sent: bytes,
    words: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    snapshot: SnapshotAssertion,
) -> None:
    monkeypatch.chdir(tmp_path)
    Path("sent.json").write_bytes(sent)
    Path("current.json").write_bytes(body(document(revision=7)))
    Path("broken.json").write_bytes(b"[]")
    code = command.main(["check-configuration", "sent.json", *words.split()])
    output = capsys.readouterr()
    assert (code, output.out, output.err) == snapshot
    assert output.err.count("\n") == (1 if code else 0)


def test_show(capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion) -> None:
    with answering(200, json.dumps(STATUS).encode()) as address:
        assert command.main(["show", address]) == 0
        assert capsys.readouterr().out == snapshot
        assert command.main(["show", address, "--json"]) == 0
        assert json.loads(capsys.readouterr().out) == STATUS
    empty = STATUS | {"is_primary": False, "primary": "", "members": [], "copies": [], "backends": [], "proxies": []}
    with answering(200, json.dumps(empty).encode()) as address:
        assert command.main(["show", address]) == 0
    assert capsys.readouterr().out == snapshot


@pytest.mark.parametrize(
    ("status", "answer", "expected"),
    [
        (503, b"{}", "expected a controller's status, got 503"),
        (200, b"{}", "expected a controller's status: Object"),
        (200, b"<html>", "expected a controller's status: JSON is malformed"),
    ],
)
def test_show_what_is_no_controller(
    status: int, answer: bytes, expected: str, capsys: pytest.CaptureFixture[str]
) -> None:
    with answering(status, answer) as address:
        assert command.main(["show", address]) == 2
    assert capsys.readouterr().err.startswith(f"{address}: {expected}")


@pytest.mark.parametrize("address", ["nowhere", "127.0.0.1:x", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:1"])
def test_show_where_nobody_is(address: str, capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion) -> None:
    assert command.main(["show", address]) == 2
    assert capsys.readouterr().err == snapshot


def test_backup_and_restore(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion
) -> None:
    """Only the committed configuration is restored: no id, no votes, no value that may never have been acknowledged."""
    monkeypatch.chdir(tmp_path)
    data_folder(Path("data"), revision=8, committed=7)
    with Path("data/custody").open("ab") as file:
        file.write(encode_batch(2, custody_values(9, 9))[:-3])  # an incomplete write
    before = Path("data/custody").read_bytes()
    assert command.main(["backup", "data", "copy"]) == 0
    assert Path("data/custody").read_bytes() == before
    assert command.main(["restore", "copy", "new"]) == 0
    assert capsys.readouterr().out == snapshot
    assert {path.name for path in Path("new").iterdir()} == {"custody"}
    restored = read_records(Path("new/custody").read_bytes()).values
    assert set(restored) == {"handed"}
    assert consensus_file.decode_published(restored["handed"]) == (7, body(document(revision=7)))


def test_what_stands_in_the_way_is_refused_or_kept(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion
) -> None:
    monkeypatch.chdir(tmp_path)
    data_folder(Path("data"))
    assert command.main(["backup", "data", "copy"]) == 0
    capsys.readouterr()
    assert command.main(["backup", "data", "copy"]) == 2
    assert command.main(["backup", "none", "copy-2"]) == 2
    assert command.main(["restore", "copy", "data"]) == 2
    whole = Path("copy").read_bytes()
    Path("cut").write_bytes(whole[:-1])
    Path("turned").write_bytes(whole[:40] + bytes([whole[40] ^ 1]) + whole[41:])
    Path("other").write_bytes(b"something else")
    Path("uncommitted").write_bytes(encode_batch(1, {"id": b"10.1.0.1"}))
    for name in ("cut", "turned", "other", "uncommitted", "none"):
        assert command.main(["restore", name, "new"]) == 2
    output = capsys.readouterr()
    assert output.out == ""
    assert output.err == snapshot
    assert not Path("new").exists()
    before = Path("data/custody").read_bytes()
    for number in (1, 2):
        assert command.main(["restore", "copy", "data", "--replace"]) == 0
        assert (Path("data") / f"custody.replaced-{number}").exists()
    assert Path("data/custody.replaced-1").read_bytes() == before


def test_a_damaged_middle_is_no_copy(tmp_path: Path) -> None:
    folder = data_folder(tmp_path / "data")
    first = (folder / "custody").read_bytes()
    later = encode_batch(2, custody_values(8, 8)) + encode_batch(3, custody_values(9, 9))
    (folder / "custody").write_bytes(first[:50] + b"?" + first[51:] + later)
    with pytest.raises(consensus_file.ConsensusFileError) as caught:
        consensus_file.back_up(folder, tmp_path / "copy")
    assert caught.value.code is consensus_file.ConsensusFileCode.DAMAGED
    assert not (tmp_path / "copy").exists()


def test_a_restored_replica_is_a_new_one(tmp_path: Path) -> None:
    """It has another id than the machine's former replica, knows no record, and neither votes nor counts."""
    consensus_file.back_up(data_folder(tmp_path / "data"), tmp_path / "copy")
    consensus_file.restore(tmp_path / "copy", tmp_path / "new")
    values = read_records((tmp_path / "new/custody").read_bytes()).values
    made = ConsensusReplica(
        ConsensusSettings("10.1.0.1", ("10.1.0.1", "10.1.0.2", "10.1.0.3"), False, 1), values, Random(1), 0.0
    )
    assert made.id.startswith("10.1.0.1/")
    assert made.state is State.OUTSIDER
    assert made.record is None
    assert made.status(0.0).revision == 0
    anew = ConsensusReplica(ConsensusSettings("10.1.0.1", ("10.1.0.1",), True, 1), values, Random(1), 0.0)
    assert (anew.id, anew.state) == ("10.1.0.1", State.FOLLOWER)  # only if the settings say that all start afresh


def test_a_restored_controller_hands_out_the_configuration(tmp_path: Path) -> None:
    consensus_file.back_up(data_folder(tmp_path / "data"), tmp_path / "copy")
    consensus_file.restore(tmp_path / "copy", tmp_path / "new")
    settings = NodeSettings(
        "core-1", "127.0.11.1", "z", (7300, 7315), ("127.0.11.1:8262",), data_dir=str(tmp_path / "new")
    )

    async def scenario() -> None:
        controller = await make_controller(settings, lambda: settings)
        status = controller.overview()
        assert (status["revision"], status["epoch"], status["is_primary"]) == (7, -1, False)

    asyncio.run(scenario())
