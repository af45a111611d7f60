"""All that one proxy is told: GW_* variables, the JSON that GW_CONFIG names, our own settings."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from cranebank.config.checks import ConfigError, convert_checked
from cranebank.config.own import RELOADABLE, Layered, layered
from cranebank.config.platform import PlatformSettings, to_decision_settings
from cranebank.decisions import interface as api
from cranebank.discovery.listing import Listing, ListReader


class Machine(msgspec.Struct, frozen=True, kw_only=True):
    """The limits of the machine that a proxy runs on."""

    sockets: Annotated[int, Meta(ge=34, le=10_000_000)] = 1024
    memory_mb: Annotated[float, Meta(ge=1.0, le=1e9)] = 64.0


class File(msgspec.Struct, frozen=True, kw_only=True):
    """The JSON that GW_CONFIG names. Keys that are not listed here are passed over."""

    settings: PlatformSettings
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: Machine = Machine()
    known: Any = None


@dataclass(slots=True, frozen=True)
class Config:
    """All that one proxy is told."""

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
    known: Listing | None
    layers: Layered

    def needs_restart(self, other: Config) -> list[str]:
        """The names of what ``other`` says differently and a running proxy can't take over."""
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


def _given(value: Any) -> Any:
    """Without what is null: that stands for absent."""
    if isinstance(value, dict):
        return {name: _given(item) for name, item in value.items() if item is not None}
    return [_given(item) for item in value] if isinstance(value, list) else value


def read_file(path: str) -> File:
    """Read the platform's JSON; whatever is wrong with it is a ``ConfigError``."""
    try:
        told = msgspec.json.decode(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: {path}: {error.strerror or error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"GW_CONFIG: {path}: expected JSON: {error}") from None
    return convert_checked(_given(told), File, f"GW_CONFIG: {path}")


def load(environ: Mapping[str, str], file: str | None = None, flags: Sequence[str] = ()) -> Config:
    """Read everything; ``file`` and ``flags`` are those of the command line, for our own settings."""
    layers = layered(environ, file, flags)
    if "GW_CONFIG" not in environ:
        raise ConfigError("GW_CONFIG is not set: it names the proxy's JSON configuration (cranebank --help)")
    path = environ["GW_CONFIG"]
    return config_of(read_file(path), path, environ, layers)


def config_of(told: File, path: str, environ: Mapping[str, str], layers: Layered) -> Config:
    """Put file and variables together."""
    where = f"GW_CONFIG: {path}"
    name = environ.get("GW_NAME") or told.name
    if not name:
        raise ConfigError(f"{where}: name: missing, expected a text, here or in GW_NAME")
    discovery = environ.get("GW_DISCOVERY") or told.discovery
    _address(discovery, f"{where}: discovery (or GW_DISCOVERY)")
    reader = ListReader(told.settings.zones, told.settings.kinds)
    try:
        known = reader.read(told.known) if told.known else None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{where}: known: {error}") from None
    try:
        seed = int(told.seed, 16) if isinstance(told.seed, str) else told.seed
    except ValueError:
        raise ConfigError(f"{where}: seed: expected hex digits, got {told.seed!r}") from None
    return Config(
        name=name,
        listen=_address(environ.get("GW_LISTEN") or told.listen, f"{where}: listen (or GW_LISTEN)"),
        discovery=discovery,
        seed=seed,
        sockets=told.limits.sockets,
        memory=int(told.limits.memory_mb * (1 << 20)),
        settings=to_decision_settings(told.settings),
        classes=tuple(lane.name for lane in told.settings.lanes),
        tenants=tuple(realm.name for realm in told.settings.realms),
        reader=reader,
        known=known,
        layers=layers,
    )
