"""The commands of the system: ``cranebank system ...`` and ``python -m cranebank.programs ...``.

All commands only read, except ``evacuate``, ``backup``, ``restore`` and the two roles. Exit code 2 means that the
command could not be carried out; one line on standard error says why.
"""

from __future__ import annotations

import contextlib
import io
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any, Literal
from urllib.parse import quote

import msgspec

if TYPE_CHECKING:
    from cranebank.control.configuration import InvalidConfiguration

STATUS_PATH = "/api/System.Status"
ANSWER_TIMEOUT_S = 5.0
EVACUATE_TIMEOUT_S = 10.0  # for how long an unconfirmed evacuation is retried
RETRY_INTERVAL_S = 0.1
PHASES = ("ready", "draining", "lost", "gone")
PROGRAM = "python -m cranebank.programs"


class CommandError(Exception):
    """A command could not be carried out; the message names the subject and what was expected."""

    code = "command"


class BackendStatus(msgspec.Struct, frozen=True):
    """A backend as reported by a controller."""

    id: str
    target: str = ""
    address: str = ""
    phase: str = ""


class ProxyStatus(msgspec.Struct, frozen=True):
    """A proxy linked to the controller, with its configuration revision and the number of unacknowledged pushes."""

    name: str
    ip: str = ""
    revision: int = 0
    lag: int = 0


class TallyStatus(msgspec.Struct, frozen=True):
    """The tallies of a controller: adds kept with their ids, adds folded into sums, and how many adds each linked
    controller has not stored on its disk."""

    names: int = 0
    held: int = 0
    folded: int = 0
    waiting: int = 0
    acknowledged: int = 0
    refused: int = 0
    unclear: int = 0
    lag: Mapping[str, int] = {}


class Status(msgspec.Struct, frozen=True):
    """A controller's answer to System.Status."""

    node: str
    is_primary: bool
    primary: str
    epoch: int
    members: tuple[str, ...]
    copies: tuple[str, ...]
    revision: int
    evacuated: tuple[str, ...] = ()
    evacuation_number: int = 0
    controllers: tuple[str, ...] = ()
    backends: tuple[BackendStatus, ...] = ()
    proxies: tuple[ProxyStatus, ...] = ()
    tallies: TallyStatus = TallyStatus()


def edge(*, metrics_port: int = 0, without: str = "") -> int:
    """Run a proxy with the settings file that CRANEBANK_NODE_FILE names.

    Example: cranebank system edge

    :param metrics_port: port for metrics, overriding the settings file
    :param without: comma-separated mechanisms to switch off; cranebank system policy lists them
    """
    from cranebank.programs.serve import serve  # noqa: PLC0415

    return serve("edge", metrics_port, without)


def policy() -> int:
    """List the mechanisms that a proxy uses to choose backends, and what each does.

    Each has a key of the same name under ``cranebank_policy`` in the settings file (true or false; default true).

    Example: cranebank system policy
    """
    from cranebank.dataplane.policy import MECHANISMS  # noqa: PLC0415

    width = max(map(len, MECHANISMS))
    for name, text in MECHANISMS.items():
        print(f"{name:{width}}  {text}")
    return 0


def control(*, metrics_port: int = 0) -> int:
    """Run a controller with the settings file that CRANEBANK_NODE_FILE names.

    Example: cranebank system control

    :param metrics_port: port for metrics, overriding the settings file
    """
    from cranebank.programs.serve import serve  # noqa: PLC0415

    return serve("control", metrics_port)


def check_settings(file: Path) -> int:
    """Check a process's settings file.

    Prints a summary of the process, unknown fields (they are ignored), and bounds that are tighter than this version
    can keep.

    Example: cranebank system check-settings boot.yaml

    :param file: settings file (YAML)
    """
    import yaml  # noqa: PLC0415

    from cranebank.programs import timing  # noqa: PLC0415
    from cranebank.programs.settings import ROLES, NodeSettings, SettingsError, load  # noqa: PLC0415

    try:
        settings = load(str(file))
    except SettingsError as error:
        raise CommandError(str(error)) from None
    print(
        f"{file}: good: {settings.node_name} at {settings.ip}, zone {settings.zone}, links at {settings.link_port}, "
        f"controllers at {', '.join(settings.seed_addrs)}"
    )
    skipped = list(_unknown_fields(yaml.safe_load(file.read_text(encoding="utf-8")), NodeSettings))
    if skipped:
        print(f"unknown fields, ignored: {', '.join(skipped)}")
    for role in ROLES:
        for tight in timing.unmet(settings.bounds, role):
            print(f"{role}: {tight}")
    return 0


def check_configuration(file: Path, *, current: Path | None = None, amend: bool = False) -> int:
    """Check an operator's configuration as a controller would; no controller is needed.

    Example: cranebank system check-configuration next.json --current now.json

    :param file: complete configuration, or amendment (JSON)
    :param current: configuration in force; the checked one must have a higher revision
    :param amend: the file is an amendment of the configuration in force
    """
    from cranebank.control import configuration as rules  # noqa: PLC0415

    in_force, revision = b"", 0
    if current is not None:
        in_force = _read_bytes(current)
        try:
            revision = rules.check(in_force, -1).revision
        except rules.InvalidConfiguration as error:
            raise CommandError(_describe_error(current, error)) from None
    elif amend:
        raise CommandError("--amend: expected --current with the configuration to amend")
    body = _read_bytes(file)
    try:
        found = rules.amend(in_force, body) if amend else rules.check(body, revision)
    except rules.InvalidConfiguration as error:
        raise CommandError(_describe_error(file, error)) from None
    document = msgspec.json.decode(found.document)
    print(
        f"{file}: good: revision {found.revision}, {len(document['routes'])} routes, "
        f"{len(document['services'])} services"
    )
    return 0


def show(address: str, *, json: bool = False) -> int:
    """Show the state of the system as known to one controller.

    Example: cranebank system show 10.1.0.13:8262

    :param address: a controller's control address, IP:PORT
    :param json: print the controller's answer as JSON
    """
    body = _status_body(address)
    if json:
        print(msgspec.json.format(body, indent=2).decode())
        return 0
    try:
        status = msgspec.json.decode(body, type=Status)
    except msgspec.MsgspecError as error:
        raise CommandError(f"{address}: expected a controller's status: {error}") from None
    print("\n".join(describe(status)))
    return 0


def evacuate(zone: str, change: Literal["start", "finish"], address: str) -> int:
    """Start or finish the evacuation of a zone.

    After start no more requests are sent to the zone's backends; requests already there run to completion. The
    evacuation stays in force until finish, also across restarts of any process. Both may be repeated. See
    docs/evacuation.md.

    Example: cranebank system evacuate zone-b start 10.1.0.13:8262

    :param zone: name of the zone, as in the settings or the backends' heartbeats
    :param change: start or finish
    :param address: any controller's control address, IP:PORT
    """
    path = f"/api/Evacuation.{change.capitalize()}/{quote(zone, safe='')}"
    until = time.monotonic() + EVACUATE_TIMEOUT_S
    while True:
        status, location, body = _call(address, "POST", path)
        if status == 200:
            print(f"{zone}: {change} is in force")
            return 0
        if status == 307 and location:
            address = location.removeprefix("http://").partition("/")[0]
        elif status < 500:
            raise CommandError(f"{address}: {zone}: {status} {body.decode(errors='replace')}")
        if time.monotonic() > until:
            raise CommandError(
                f"{address}: {zone}: not confirmed, last status {status}; the {change} may still take effect"
            )
        time.sleep(RETRY_INTERVAL_S)


def backup(folder: Path, file: Path) -> int:
    """Copy a controller's consensus file (named custody) and verify its checksums.

    The controller may be running. The copy serves for restore and for inspecting a replica's state.

    Example: cranebank system backup /var/lib/cranebank custody.copy

    :param folder: data folder of a controller (data_dir of its settings)
    :param file: path of the copy; the file must not exist yet
    """
    from cranebank.control.consensus_file import ConsensusFileError, back_up  # noqa: PLC0415

    try:
        found = back_up(folder, file)
    except ConsensusFileError as error:
        raise CommandError(str(error)) from None
    print(f"{file}: replica {found.replica or '-'}, epoch {found.epoch}, committed configuration {found.committed}")
    if found.stored > found.committed:
        print(f"its stored configuration {found.stored} is not known to be committed and will not be restored")
    return 0


def restore(file: Path, folder: Path, *, replace: bool = False) -> int:
    """Restore the committed configuration of a copy into the data folder of a stopped controller.

    Only the configuration is restored. The copy's replica id, votes and epoch are not: an old copy lacks promises made
    since, and would vote twice. The process starts as a new replica, as on an empty disk: it neither votes nor counts
    until a majority has admitted it. It fetches the newest configuration from the primary, and until then sends the
    restored one to proxies that have none or an older one. Its settings must have is_first_start: false, unless all
    controllers start afresh. A restored machine counts as one that lost its disk: never restore more machines at a time
    than the tolerance allows. After a loss of all disks see docs/operate-system.md.

    Example: cranebank system restore custody.copy /var/lib/cranebank

    :param file: copy made by backup
    :param folder: data folder of a controller that is not running; must be empty
    :param replace: rename a consensus file that is already in the folder, and put the new one in its place
    """
    from cranebank.control.consensus_file import ConsensusFileError  # noqa: PLC0415
    from cranebank.control.consensus_file import restore as put_back  # noqa: PLC0415

    try:
        found = put_back(file, folder, replace)
    except ConsensusFileError as error:
        raise CommandError(str(error)) from None
    print(f"{folder}: configuration {found.committed} for a new replica; start it with is_first_start: false")
    return 0


COMMANDS: dict[str, Callable[..., int]] = {
    "edge": edge,
    "control": control,
    "check-settings": check_settings,
    "check-configuration": check_configuration,
    "policy": policy,
    "show": show,
    "evacuate": evacuate,
    "backup": backup,
    "restore": restore,
}


def main(arguments: Sequence[str], program: str = PROGRAM) -> int:
    """Run a command and return its exit code. Help and invalid arguments raise SystemExit with 0 and 2."""
    import defopt  # noqa: PLC0415 - takes 100 ms to import

    parser_output = io.StringIO()
    try:
        with contextlib.redirect_stderr(parser_output):
            chosen = defopt.bind(
                COMMANDS,
                argv=list(arguments),
                no_negated_flags=True,
                short={},
                version=False,
                argparse_kwargs={"prog": program},
            )
    except SystemExit:
        sys.stderr.writelines(
            parser_output.getvalue().splitlines(keepends=True)[-1:]
        )  # without the usage text, which --help prints
        raise
    try:
        return int(chosen())
    except CommandError as error:
        print(" ".join(str(error).split()), file=sys.stderr)
        return 2


def describe(status: Status) -> list[str]:
    """Return the lines that describe a controller's state."""
    lines = [
        f"reported by   {status.node}{', the primary with a valid lease' if status.is_primary else ''}",
        f"primary       {status.primary or '-'}",
        f"epoch         {status.epoch}",
        f"members       {', '.join(status.members) or '-'}",
        f"copies        {', '.join(status.copies) or '-'}",
        f"controllers   {', '.join(status.controllers) or '-'}",
        f"configuration {status.revision}",
        *_describe_tallies(status.tallies),
        f"evacuated     {', '.join(status.evacuated) or '-'}",
        "",
    ]
    phases: dict[str, Counter[str]] = {}
    for backend in status.backends:
        phases.setdefault(backend.target, Counter())[backend.phase] += 1
    lines += _table(
        ("service", *PHASES),
        ([target, *(counts[phase] for phase in PHASES)] for target, counts in sorted(phases.items())),
    )
    lines.append("")
    lines += _table(
        ("proxy", "ip", "configuration", "behind", "unacknowledged"),
        (
            [proxy.name, proxy.ip, proxy.revision, max(0, status.revision - proxy.revision), proxy.lag]
            for proxy in sorted(status.proxies, key=lambda proxy: proxy.name)
        ),
    )
    return lines


def _describe_tallies(tallies: TallyStatus) -> list[str]:
    if not tallies.names:
        return []
    lag = ", ".join(f"{ip} lacks {count}" for ip, count in sorted(tallies.lag.items()) if count)
    return [
        f"tallies       {tallies.names} names, {tallies.held} adds held, {tallies.folded} folded, "
        f"{tallies.waiting} calls waiting, {tallies.unclear} ended unclear" + (f"; {lag}" if lag else "")
    ]


def _table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Return the lines of a table, text aligned left and numbers right."""
    cells = [list(head), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    is_figure = [index > 0 and name != "ip" for index, name in enumerate(head)]
    return [
        "  ".join(
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(row, widths, is_figure, strict=True)
        ).rstrip()
        for row in cells
    ]


def _describe_error(path: Path, error: InvalidConfiguration) -> str:
    return ": ".join(filter(None, (str(path), error.code, error.key, f"expected {error.expected}")))


def _read_bytes(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise CommandError(f"{path}: expected a readable file: {error.strerror}") from None


def _status_body(address: str) -> bytes:
    status, _, body = _call(address, "GET", STATUS_PATH)
    if status != 200:
        raise CommandError(f"{address}: expected a controller's status, got {status}")
    return body


def _call(address: str, method: str, path: str) -> tuple[int, str, bytes]:
    """Make one call to a controller; return status, Location header (empty if absent) and body."""
    import http.client  # noqa: PLC0415 - not needed by the other commands

    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise CommandError(f"{address}: expected IP:PORT")
    connection = http.client.HTTPConnection(host, int(port), timeout=ANSWER_TIMEOUT_S)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        body = answer.read()
    except (OSError, http.client.HTTPException) as error:
        raise CommandError(f"{address}: expected an answer from a controller: {error}") from None
    finally:
        connection.close()
    return answer.status, answer.getheader("Location", ""), body


def _unknown_fields(found: Mapping[str, Any], kind: type[msgspec.Struct], prefix: str = "") -> Iterable[str]:
    known = {field.name: field.type for field in msgspec.structs.fields(kind)}
    for key, value in found.items():
        if key not in known:
            yield f"{prefix}{key}"
        elif isinstance(value, dict) and isinstance(known[key], type) and issubclass(known[key], msgspec.Struct):
            yield from _unknown_fields(value, known[key], f"{prefix}{key}.")
