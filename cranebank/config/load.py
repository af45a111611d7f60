"""The whole configuration of one proxy: GW_* variables, the JSON that GW_CONFIG names, and our own settings."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from cranebank.config.checks import ConfigError, convert_checked
from cranebank.config.own import RELOADABLE, LayeredSettings, merge_layers
from cranebank.config.platform import PlatformSettings, to_decision_settings
from cranebank.decisions import interface as api
from cranebank.discovery.listing import HostList, ListReader


class MachineLimits(msgspec.Struct, frozen=True, kw_only=True):
    """The limits of the machine that a proxy runs on."""

    sockets: Annotated[int, Meta(ge=34, le=10_000_000)] = 1024
    memory_mb: Annotated[float, Meta(ge=1.0, le=1e9)] = 64.0


class PlatformFile(msgspec.Struct, frozen=True, kw_only=True):
    """The JSON that GW_CONFIG names. Unknown keys are ignored."""

    settings: PlatformSettings
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: MachineLimits = MachineLimits()
    known: Any = None


@dataclass(slots=True, frozen=True)
class Config:
    """The whole configuration of one proxy."""

    name: str
    listen: tuple[str, int]
    discovery: str
    seed: int
    sockets: int
    memory: int  # bytes
    settings: api.Settings
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    reader: ListReader
    known: HostList | None
    layers: LayeredSettings

    def needs_restart(self, other: Config) -> list[str]:
        """Return the names of the settings that differ in ``other`` and that a running proxy cannot apply."""
        keys = ("name", "listen", "sockets", "memory", "settings", "classes", "tenants")
        own, new = self.layers.own, other.layers.own
        return [key for key in keys if getattr(self, key) != getattr(other, key)] + [
            table
            for table in own.__struct_fields__
            if table not in RELOADABLE and getattr(own, table) != getattr(new, table)
        ]


def _address(text: str, what: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 <= int(port) <= 65535:
        raise ConfigError(f"{what}: expected ADDRESS:PORT, got {text[:80]!r}")
    return host, int(port)


def _without_nulls(value: Any) -> Any:
    """Return a JSON value without its null members, which stand for absent ones."""
    if isinstance(value, dict):
        return {name: _without_nulls(item) for name, item in value.items() if item is not None}
    return [_without_nulls(item) for item in value] if isinstance(value, list) else value


def read_file(path: str) -> PlatformFile:
    """Read the platform's JSON. Raises ConfigError."""
    try:
        decoded = msgspec.json.decode(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: {path}: {error.strerror or error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"GW_CONFIG: {path}: expected JSON: {error}") from None
    return convert_checked(_without_nulls(decoded), PlatformFile, f"GW_CONFIG: {path}")


def load(environ: Mapping[str, str], file: str | None = None, flags: Sequence[str] = ()) -> Config:
    """Read the whole configuration; ``file`` and ``flags`` are the command line's, for our own settings."""
    layers = merge_layers(environ, file, flags)
    if "GW_CONFIG" not in environ:
        raise ConfigError("GW_CONFIG is not set: it names the proxy's JSON configuration (cranebank --help)")
    path = environ["GW_CONFIG"]
    return config_of(read_file(path), path, environ, layers)


def config_of(file: PlatformFile, path: str, environ: Mapping[str, str], layers: LayeredSettings) -> Config:
    """Combine file and variables."""
    where = f"GW_CONFIG: {path}"
    name = environ.get("GW_NAME") or file.name
    if not name:
        raise ConfigError(f"{where}: name: missing, expected a text, here or in GW_NAME")
    discovery = environ.get("GW_DISCOVERY") or file.discovery
    _address(discovery, f"{where}: discovery (or GW_DISCOVERY)")
    reader = ListReader(file.settings.zones, file.settings.kinds)
    try:
        known = reader.read(file.known) if file.known else None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{where}: known: {error}") from None
    try:
        seed = int(file.seed, 16) if isinstance(file.seed, str) else file.seed
    except ValueError:
        raise ConfigError(f"{where}: seed: expected hex digits, got {file.seed!r}") from None
    return Config(
        name=name,
        listen=_address(environ.get("GW_LISTEN") or file.listen, f"{where}: listen (or GW_LISTEN)"),
        discovery=discovery,
        seed=seed,
        sockets=file.limits.sockets,
        memory=int(file.limits.memory_mb * (1 << 20)),
        settings=to_decision_settings(file.settings),
        classes=tuple(lane.name for lane in file.settings.lanes),
        tenants=tuple(realm.name for realm in file.settings.realms),
        reader=reader,
        known=known,
        layers=layers,
    )
