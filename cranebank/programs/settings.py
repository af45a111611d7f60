"""A process's settings file (YAML), named by ``CRANEBANK_NODE_FILE``.

Unknown fields are ignored at every level. A known field with an invalid value raises SettingsError. Numbers may be
written as text, since YAML 1.1 reads ``1e3`` as text.
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

SETTINGS_FILE_VARIABLE = "CRANEBANK_NODE_FILE"
METRICS_VARIABLE = "CRANEBANK_METRICS"
DEFAULT_PATH = "/etc/cranebank/boot.yaml"


KNOWN_BINDS = frozenset({"front", "ready_addr", "control_addr"})
Role = Literal["edge", "control"]
ROLES: tuple[Role, ...] = ("edge", "control")
REQUIRED_BINDS: Mapping[Role, tuple[str, ...]] = {
    "edge": ("front", "ready_addr"),
    "control": (),
}  # a controller binds the seeds' port by default
MAX_PORT = 65535
_INVALID_FIELD = re.compile(r"(?:Expected )?(?P<expected>.*) - at `(?:key` in `)?\$\.?(?P<key>.*)`")
_MISSING_FIELD = re.compile(r"Object missing required field `(?P<key>[^`]*)`")

Count = Annotated[int, msgspec.Meta(ge=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Positive = Annotated[float, msgspec.Meta(gt=0)]


class SettingsError(Exception):
    """The settings file is unusable: names the file, the key (empty for the whole file) and what was expected."""

    code = "settings"

    def __init__(self, file: str, key: str, expected: str) -> None:
        super().__init__(": ".join(filter(None, (file, key, f"expected {expected}"))))
        self.file = file
        self.key = key
        self.expected = expected


class Limits(msgspec.Struct, frozen=True):
    """The machine's resources: CPU share and cores, memory in MB, file descriptors, network in Mbit/s, disk in MB."""

    cpu_share: Positive = 1.0
    cores: Positive = 1
    memory_mb: Positive = 256
    max_fds: Positive = 1024
    link_mbps: NonNegative = 1000.0
    disk_mb: NonNegative = 0


class Tolerance(msgspec.Struct, frozen=True):
    """How many machines, zones or regions may be lost at once."""

    machines: Count = 0
    zones: Count = 0
    regions: Count = 0


class Bounds(msgspec.Struct, frozen=True):
    """The time limits and ratios that the rules set; missing fields take their default."""

    seed_lag_s: NonNegative = 3
    reuse_after_s: NonNegative = 2
    contact_ms: NonNegative = 3000
    ack_ms: NonNegative = 4000
    catch_up_s: NonNegative = 4
    drain_ms: NonNegative = 2000
    grace_s: NonNegative = 8
    loss_slack_ms: NonNegative = 200
    apply_ms: NonNegative = 2000
    revert_ms: NonNegative = 250
    stretch_ms: NonNegative = 5000
    retry_ratio: NonNegative = 0.2
    retry_window_s: Positive = 10
    retry_slack: NonNegative = 0
    cold_over: NonNegative = 1.5
    cold_slack: NonNegative = 5
    evacuate_ms: NonNegative = 5000
    recover_s: NonNegative = 12
    merge_ms: NonNegative = 3000
    transit_ms: NonNegative = 120
    again_s: NonNegative = 0
    checks_fence: bool = True
    lease_ms: NonNegative = 3000
    thaw_ms: NonNegative = 300


class NodeSettings(msgspec.Struct, frozen=True):
    """The settings of one process."""

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
    beat_ms: Positive = 1000
    in_force: tuple[str, ...] = ()
    tolerance: Tolerance = Tolerance()
    bounds: Bounds = Bounds()
    cranebank_policy: Policy = Policy()  # the prefix avoids a clash with keys that the platform may introduce
    metrics: Any = False  # only ``true`` counts: another type under this key must not stop the program
    metrics_listen_port: int = 0  # port for metrics; 0: the second port of port_range, if metrics are enabled

    @property
    def seed_ips(self) -> tuple[str, ...]:
        """The IPs of the seeds in the file's order, without duplicates."""
        return tuple(dict.fromkeys(seed.rpartition(":")[0] for seed in self.seed_addrs))

    @property
    def control_port(self) -> int:
        """The API port, which is the same on all controllers."""
        return int(self.seed_addrs[0].rpartition(":")[2])

    @property
    def link_port(self) -> int:
        """The port for links between the system's own processes."""
        return self.port_range[0]

    def failure_domain(self, zone: str) -> str:
        """Return the zone, or its region where whole regions may be lost: copies and members are spread over these."""
        return self.zones.get(zone, zone) if self.tolerance.regions else zone

    @property
    def exposes_metrics(self) -> bool:
        """Whether this process exposes metrics."""
        return self.metrics is True or self.metrics_listen_port > 0 or os.environ.get(METRICS_VARIABLE) == "1"

    @property
    def metrics_port(self) -> int | None:
        """The port for metrics if they are on, or None if port_range has no port left for them."""
        if self.metrics_listen_port > 0:
            return self.metrics_listen_port
        second = self.port_range[0] + 1
        return second if second <= self.port_range[1] else None


def parse(text: str, name: str = "settings") -> NodeSettings:
    """Parse the text of a settings file; ``name`` identifies the file in errors. Raises SettingsError."""
    loader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
    try:
        found = yaml.load(text, Loader=loader)
    except (yaml.YAMLError, ValueError) as error:  # ValueError: an impossible date such as 2026-02-30
        raise SettingsError(name, "", f"YAML: {str(error).splitlines()[0]}") from None
    if not isinstance(found, dict):
        raise SettingsError(name, "", f"a mapping of settings, got {type(found).__name__}")
    try:
        settings = msgspec.convert(_known_fields(found), NodeSettings, strict=False)
    except msgspec.ValidationError as error:
        raise _settings_error(error, name) from None
    _check_finite(settings, name)
    _check_addresses(settings, name)
    return settings


def load(path: str | None = None, role: Role | None = None, metrics_port: int = 0) -> NodeSettings:
    """Read the settings file; by default the one named by the environment.

    If ``role`` is given, the addresses that this role binds are required. ``metrics_port``, unless 0, overrides the
    file's. Raises SettingsError.
    """
    path = path or os.environ.get(SETTINGS_FILE_VARIABLE, DEFAULT_PATH)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path, "", f"a readable file: {error}") from None
    settings = parse(text, path)
    if metrics_port:
        settings = msgspec.structs.replace(settings, metrics_listen_port=metrics_port)
        _check_addresses(settings, path)
    for bind in REQUIRED_BINDS[role] if role else ():
        if bind not in settings.binds:
            raise SettingsError(path, f"binds.{bind}", f"IP:PORT, which the role {role} needs")
    return settings


def _known_fields(found: Mapping[Any, Any]) -> dict[str, Any]:
    """Drop what msgspec does not skip by itself: keys that are not text, and binds of unknown services."""
    known = {key: _text_keys(value) if isinstance(value, dict) else value for key, value in _text_keys(found).items()}
    binds = known.get("binds")
    if isinstance(binds, dict):
        known["binds"] = {key: address for key, address in binds.items() if key in KNOWN_BINDS}
    return known


def _text_keys(found: Mapping[Any, Any]) -> dict[str, Any]:
    return {key: value for key, value in found.items() if isinstance(key, str)}


def _settings_error(error: msgspec.ValidationError, name: str) -> SettingsError:
    """Convert a validation error to a SettingsError that names key and expectation."""
    text = str(error)
    if invalid := _INVALID_FIELD.fullmatch(text):
        return SettingsError(name, invalid["key"], invalid["expected"])
    if missing := _MISSING_FIELD.match(text):
        return SettingsError(name, missing["key"], "a value, it is missing")
    return SettingsError(name, "", text)


def _check_finite(settings: NodeSettings, name: str) -> None:
    """Reject values that are not finite: YAML has ``.inf`` and ``.nan``."""
    for key, value in _float_fields(settings):
        if not math.isfinite(value):
            raise SettingsError(name, key, f"a finite number, got {value}")


def _float_fields(settings: msgspec.Struct, prefix: str = "") -> Iterable[tuple[str, float]]:
    for field in msgspec.structs.fields(settings):
        value = getattr(settings, field.name)
        if isinstance(value, msgspec.Struct):
            yield from _float_fields(value, f"{prefix}{field.name}.")
        elif isinstance(value, float):
            yield f"{prefix}{field.name}", value


def _check_addresses(settings: NodeSettings, name: str) -> None:
    if not settings.seed_addrs:
        raise SettingsError(name, "seed_addrs", "one address or more")
    for address in settings.seed_addrs:
        _check_address(name, "seed_addrs", address)
    for key, address in settings.binds.items():
        _check_address(name, f"binds.{key}", address)
    if not 0 <= settings.metrics_listen_port <= MAX_PORT:
        raise SettingsError(name, "metrics_listen_port", f"a port, or 0, got {settings.metrics_listen_port}")
    if not 0 < settings.port_range[0] <= settings.port_range[1] <= MAX_PORT:
        raise SettingsError(name, "port_range", f"two ports in order, got {list(settings.port_range)}")


def _check_address(name: str, key: str, address: str) -> None:
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise SettingsError(name, key, f"IP:PORT, got {address!r}")
