"""Our own settings, as in deploy/cranebank.toml, merged from layers of which later ones override earlier ones.

The layers are the defaults, the file that CRANEBANK_FILE (or ``--file``) names, variables CRANEBANK_TABLE_KEY, and
``--set``.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from cranebank.config.checks import ConfigError, convert_checked
from cranebank.core.log_settings import LogSettings
from cranebank.routing.subset import MIN_HOSTS

PREFIX, FILE = "CRANEBANK_", "CRANEBANK_FILE"
FILE_BYTES = 4 << 20
Seconds = Annotated[float, Meta(ge=0.0, le=3600.0)]


class DoorSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Client connections: time limit of a whole request, and how long an idle one is kept at least and at most."""

    request_s: Annotated[float, Meta(ge=0.05, le=60.0)] = 2.3
    kept_idle_s: Seconds = 2.0
    most_idle_s: Annotated[float, Meta(ge=0.1, le=3600.0)] = 15.0

    def __post_init__(self) -> None:
        if self.kept_idle_s > self.most_idle_s:
            raise ValueError(
                f"expected kept_idle_s ({self.kept_idle_s}) to be at most most_idle_s ({self.most_idle_s})"
            )


class StopSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Shutdown: for how long after SIGTERM new connections are still accepted."""

    linger_s: Annotated[float, Meta(ge=0.0, le=60.0)] = 0.5


class SubsetSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Which hosts a proxy uses (docs/operate-subsets.md).

    ``size`` 0 stands for all hosts, and so do fewer than ``from_hosts`` hosts. More than ``size`` are used if a host
    would otherwise have fewer than ``cover`` proxies on average.
    """

    size: Annotated[int, Meta(ge=0, le=100_000)] = 0
    from_hosts: Annotated[int, Meta(ge=1, le=1_000_000)] = 100
    cover: Annotated[int, Meta(ge=1, le=1000)] = 8

    def __post_init__(self) -> None:
        if 0 < self.size < MIN_HOSTS:
            raise ValueError(f"expected size to be 0 (off) or at least {MIN_HOSTS}, got {self.size}")


class OwnSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """All of our own settings. A running proxy applies those in ``RELOADABLE`` on SIGHUP."""

    log: LogSettings = LogSettings()
    door: DoorSettings = DoorSettings()
    stop: StopSettings = StopSettings()
    subset: SubsetSettings = SubsetSettings()


RELOADABLE = ("log", "stop")


@dataclass(slots=True, frozen=True)
class LayeredSettings:
    """The effective settings, and the source of each key that was set."""

    own: OwnSettings = field(default_factory=OwnSettings)
    sources: Mapping[str, str] = field(default_factory=dict)


def read_toml(path: str | Path) -> dict[str, Any]:
    """Read a TOML file. Raises ConfigError."""
    try:
        with open(path, "rb") as file:
            text = file.read(FILE_BYTES + 1)
        if len(text) > FILE_BYTES:
            raise ConfigError(f"{path}: expected at most {FILE_BYTES} bytes")
        return tomllib.loads(text.decode("utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ConfigError(f"{path}: expected TOML: {' '.join(str(error).split())[:160]}") from None


def merge_layers(environ: Mapping[str, str], file: str | None = None, flags: Sequence[str] = ()) -> LayeredSettings:
    """Merge the layers. Each is validated as it is added, so that an error names its layer."""
    tables: dict[str, dict[str, Any]] = {}
    sources: dict[str, str] = {}

    def set_value(table: str, key: str, value: Any, where: str) -> None:
        tables.setdefault(table, {})[key] = value
        sources[f"{table}.{key}"] = where

    if path := file or environ.get(FILE):
        read = read_toml(path)
        convert_checked(read, OwnSettings, str(path))
        for table, keys in read.items():
            for key, value in keys.items():
                set_value(table, key, value, f"file {path}")
    for name in sorted(environ):
        if name.startswith(PREFIX) and name != FILE:
            table, mark, key = name.removeprefix(PREFIX).lower().partition("_")
            if not mark:
                raise ConfigError(f"{name}: expected a name such as {PREFIX}LOG_LEVEL")
            set_value(table, key, environ[name], f"variable {name}")
            convert_checked(tables, OwnSettings, name, strict=False)
    for flag in flags:
        path_of, mark, value = flag.partition("=")
        table, dot, key = path_of.strip().partition(".")
        if not (mark and dot):
            raise ConfigError(f"--set {flag}: expected TABLE.KEY=VALUE")
        set_value(table, key, value.strip(), "--set")
        convert_checked(tables, OwnSettings, f"--set {flag}", strict=False)
    return LayeredSettings(convert_checked(tables, OwnSettings, "settings", strict=False), sources)


def describe_settings(settings: LayeredSettings) -> list[str]:
    """Return one line for each key: its path, its value as TOML and its source."""
    lines = []
    for table in settings.own.__struct_fields__:
        for key, value in msgspec.to_builtins(getattr(settings.own, table)).items():
            path = f"{table}.{key}"
            text = f'"{value}"' if isinstance(value, str) else str(value).lower()
            lines.append(f"{path} = {text}  # {settings.sources.get(path, 'default')}")
    return lines
