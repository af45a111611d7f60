"""A process's settings file (YAML), named by ``CRANEBANK_NODE_FILE``.

Unknown fields are skipped at every level. A known field with an unusable value raises SettingsError. Numbers may be
written as text, since YAML 1.1 takes ``1e3`` for text.
"""

from __future__ import annotations

import math
import os
import re
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
import yaml

from cranebank.dataplane.policy import Policy

VARIABLE = "CRANEBANK_NODE_FILE"
METRICS = "CRANEBANK_METRICS"
DEFAULT = "/etc/cranebank/boot.yaml"


KNOWN_BINDS = frozenset({"front", "ready_addr", "control_addr"})
Role = Literal["edge", "control"]
ROLES: tuple[Role, ...] = ("edge", "control")
NEEDED_BINDS: Mapping[Role, tuple[str, ...]] = {
    "edge": ("front", "ready_addr"),
    "control": (),
}  # a controller has the seeds' port by default
HIGHEST_PORT = 65535
_INVALID_FIELD = re.compile(r"(?:Expected )?(?P<expected>.*) - at `(?:key` in `)?\$\.?(?P<key>.*)`")
_MISSING_FIELD = re.compile(r"Object missing required field `(?P<key>[^`]*)`")

Count = Annotated[int, msgspec.Meta(ge=0)]
Figure = Annotated[float, msgspec.Meta(ge=0)]
PositiveFigure = Annotated[float, msgspec.Meta(gt=0)]


class SettingsError(Exception):
    """The file can't be used: which file, which key (empty: the whole file) and what was expected there."""

    code = "settings"

    def __init__(self, file: str, key: str, expected: str) -> None:
        super().__init__(": ".join(filter(None, (file, key, f"expected {expected}"))))
        self.file = file
        self.key = key
        self.expected = expected


class Limits(msgspec.Struct, frozen=True):
    """What the machine gives: cores of processor, MB of memory, descriptors, Mbit/s, MB of disk."""

    cpu_share: PositiveFigure = 1.0
    cores: PositiveFigure = 1
    memory_mb: PositiveFigure = 256
    max_fds: PositiveFigure = 1024
    link_mbps: Figure = 1000.0
    disk_mb: Figure = 0


class Tolerance(msgspec.Struct, frozen=True):
    """What may be lost at once."""

    machines: Count = 0
    zones: Count = 0
    regions: Count = 0


class Bounds(msgspec.Struct, frozen=True):
    """The rules' figures; unknown ones are skipped, missing ones stand at the usual value."""

    seed_lag_s: Figure = 3
    reuse_after_s: Figure = 2
    contact_ms: Figure = 3000
    ack_ms: Figure = 4000
    catch_up_s: Figure = 4
    drain_ms: Figure = 2000
    grace_s: Figure = 8
    loss_slack_ms: Figure = 200
    apply_ms: Figure = 2000
    revert_ms: Figure = 250
    stretch_ms: Figure = 5000
    retry_ratio: Figure = 0.2
    retry_window_s: PositiveFigure = 10
    retry_slack: Figure = 0
    cold_over: Figure = 1.5
    cold_slack: Figure = 5
    evacuate_ms: Figure = 5000
    recover_s: Figure = 12
    merge_ms: Figure = 3000
    transit_ms: Figure = 120
    again_s: Figure = 0
    checks_fence: bool = True
    lease_ms: Figure = 3000
    thaw_ms: Figure = 300


class NodeSettings(msgspec.Struct, frozen=True):
    """Everything that a process is told at its start."""

    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    seed_addrs: tuple[str, ...]
    role: str = ""
    machine_class: str = ""
    serves: tuple[str, ...] = ()
    region: str = ""
    zones: dict[str, str] = {}
    binds: dict[str, str] = {}
    is_first_start: bool = False
    loss_counts: bool = False
    limits: Limits = Limits()
    data_dir: str | None = None
    discovery: str = "registry"
    entry: str = "virtual_ip"
    beat_ms: PositiveFigure = 1000
    in_force: tuple[str, ...] = ()
    tolerance: Tolerance = Tolerance()
    bounds: Bounds = Bounds()
    cranebank_policy: Policy = Policy()  # our own key; operators' pages may come to use shorter ones
    metrics: Any = False  # only ``true`` counts: a later field of this name must not end the program
    metrics_listen_port: int = 0  # where metrics are told; 0: at the second port of port_range, and only if asked for

    @property
    def seed_ips(self) -> tuple[str, ...]:
        """The seeds' IPs, in the file's order, each once."""
        return tuple(dict.fromkeys(seed.rpartition(":")[0] for seed in self.seed_addrs))

    @property
    def control_port(self) -> int:
        """The port on which every controller serves control: one for all machines."""
        return int(self.seed_addrs[0].rpartition(":")[2])

    @property
    def link_port(self) -> int:
        """The port for held connections between our own processes."""
        return self.port_range[0]

    def failure_domain(self, zone: str) -> str:
        """The zone, or its region where whole regions may be lost: what copies and members are spread over."""
        return self.zones.get(zone, zone) if self.tolerance.regions else zone

    @property
    def tells_metrics(self) -> bool:
        """Whether the process shall tell its figures to scrapers."""
        return self.metrics is True or self.metrics_listen_port > 0 or os.environ.get(METRICS) == "1"

    @property
    def metrics_port(self) -> int | None:
        """The port for metrics, where they are on; None when the range leaves none for them."""
        if self.metrics_listen_port > 0:
            return self.metrics_listen_port
        second = self.port_range[0] + 1
        return second if second <= self.port_range[1] else None


def parse(text: str, name: str = "settings") -> NodeSettings:
    """Read the text of a settings file; ``name`` stands for the file in errors. Raises SettingsError."""
    loader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        found = yaml.load(text, Loader=loader)
    except (yaml.YAMLError, ValueError) as error:  # ValueError: a date that there is not, such as 2026-02-30
        raise SettingsError(name, "", f"YAML: {str(error).splitlines()[0]}") from None
    if not isinstance(found, dict):
        raise SettingsError(name, "", f"a mapping of settings, got {type(found).__name__}")
    try:
        settings = msgspec.convert(_known_fields(found), NodeSettings, strict=False)
    except msgspec.ValidationError as error:
        raise _named(error, name) from None
    _check_figures(settings, name)
    _check_addresses(settings, name)
    return settings


def load(path: str | None = None, role: Role | None = None, metrics_port: int = 0) -> NodeSettings:
    """Read the settings file; by default the one that the environment names.

    With a ``role``, the addresses that it binds must be there. ``metrics_port``, unless 0, goes before the file's own.
    Raises SettingsError.
    """
    path = path or os.environ.get(VARIABLE, DEFAULT)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path, "", f"a readable file: {error}") from None
    settings = parse(text, path)
    if metrics_port:
        settings = msgspec.structs.replace(settings, metrics_listen_port=metrics_port)
        _check_addresses(settings, path)
    for bind in NEEDED_BINDS[role] if role else ():
        if bind not in settings.binds:
            raise SettingsError(path, f"binds.{bind}", f"IP:PORT, which the role {role} needs")
    return settings


def _known_fields(found: Mapping[Any, Any]) -> dict[str, Any]:
    """Leave out what msgspec does not skip by itself: keys that aren't text, and addresses of unknown services."""
    known = {key: _text_keys(value) if isinstance(value, dict) else value for key, value in _text_keys(found).items()}
    binds = known.get("binds")
    if isinstance(binds, dict):
        known["binds"] = {key: address for key, address in binds.items() if key in KNOWN_BINDS}
    return known


def _text_keys(found: Mapping[Any, Any]) -> dict[str, Any]:
    return {key: value for key, value in found.items() if isinstance(key, str)}


def _named(error: msgspec.ValidationError, name: str) -> SettingsError:
    """The error with its key and expectation told apart."""
    text = str(error)
    if invalid := _INVALID_FIELD.fullmatch(text):
        return SettingsError(name, invalid["key"], invalid["expected"])
    if missing := _MISSING_FIELD.match(text):
        return SettingsError(name, missing["key"], "a value, it is missing")
    return SettingsError(name, "", text)


def _check_figures(settings: NodeSettings, name: str) -> None:
    """Refuse figures without an end: YAML has ``.inf`` and ``.nan``."""
    for key, value in _figures(settings):
        if not math.isfinite(value):
            raise SettingsError(name, key, f"a finite number, got {value}")


def _figures(settings: msgspec.Struct, above: str = "") -> Iterable[tuple[str, float]]:
    for field in msgspec.structs.fields(settings):
        value = getattr(settings, field.name)
        if isinstance(value, msgspec.Struct):
            yield from _figures(value, f"{above}{field.name}.")
        elif isinstance(value, float):
            yield f"{above}{field.name}", value


def _check_addresses(settings: NodeSettings, name: str) -> None:
    if not settings.seed_addrs:
        raise SettingsError(name, "seed_addrs", "one address or more")
    for address in settings.seed_addrs:
        _check_address(name, "seed_addrs", address)
    for key, address in settings.binds.items():
        _check_address(name, f"binds.{key}", address)
    if not 0 <= settings.metrics_listen_port <= HIGHEST_PORT:
        raise SettingsError(name, "metrics_listen_port", f"a port, or 0, got {settings.metrics_listen_port}")
    if not 0 < settings.port_range[0] <= settings.port_range[1] <= HIGHEST_PORT:
        raise SettingsError(name, "port_range", f"two ports in order, got {list(settings.port_range)}")


def _check_address(name: str, key: str, address: str) -> None:
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or not 0 < int(port) <= HIGHEST_PORT:
        raise SettingsError(name, key, f"IP:PORT, got {address!r}")
