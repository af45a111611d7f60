"""What a proxy is told at its start: GW_* variables and the JSON that GW_CONFIG names, as typed values."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cranebank.decisions import interface as api
from cranebank.discovery.routing_table import Listing, ListReader
from cranebank.simwire.wire import WireError, settings_from


class ConfigError(ValueError):
    """The proxy can't start so; the message is one line that says why."""


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


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Nested settings as values by path, the form that the simulator's first message has."""
    if isinstance(value, dict):
        return {k: v for name, item in value.items()
                for k, v in flatten(item, f"{path}.{name}" if path else str(name)).items()}
    if isinstance(value, list) and any(isinstance(item, dict) for item in value):
        items = {f"{path}.{i}": item for i, item in enumerate(value)}
        return {f"{path}.count": str(len(value))} | {
            k: v for at, item in items.items() for k, v in flatten(item, at).items()}
    if isinstance(value, list):
        return {path: ",".join(_plain(item).replace(",", "_") for item in value)}
    return {} if value is None else {path: _plain(value)}


def _plain(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def _address(text: str, what: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ConfigError(f"{what}: expected ADDRESS:PORT, got {text!r}")
    return host, int(port)


def _names(settings: dict[str, Any], path: str) -> tuple[str, ...]:
    return tuple(str(item["Name"]) for item in settings.get(path) or ())


def load(environ: Mapping[str, str]) -> Config:
    """Read the configuration; whatever is wrong with it is a ``ConfigError``."""
    if "GW_CONFIG" not in environ:
        raise ConfigError("GW_CONFIG is not set: it names the proxy's JSON configuration")
    try:
        told = json.loads(Path(environ["GW_CONFIG"]).read_text(encoding="utf-8"))
        return _typed(environ, told)
    except ConfigError:
        raise
    except OSError as error:
        raise ConfigError(f"GW_CONFIG: {error}") from None
    except WireError as error:
        raise ConfigError(f"GW_CONFIG: {error}") from None
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise ConfigError(f"GW_CONFIG: malformed: {type(error).__name__}: {error}") from None


def _typed(environ: Mapping[str, str], told: dict[str, Any]) -> Config:
    settings = told["settings"]
    discovery = environ.get("GW_DISCOVERY") or told["discovery"]
    _address(discovery, "GW_DISCOVERY")
    seed = told.get("seed", 0)
    reader = ListReader(tuple(map(str, settings.get("Zones") or ())))
    known = reader.read(told["known"]) if told.get("known") else None
    return Config(
        name=environ.get("GW_NAME") or str(told["name"]),
        listen=_address(environ.get("GW_LISTEN") or told["listen"], "GW_LISTEN"),
        discovery=discovery,
        seed=int(seed, 16) if isinstance(seed, str) else int(seed),
        sockets=int((told.get("limits") or {}).get("sockets", 1024)),
        memory=int((told.get("limits") or {}).get("memory_mb", 64)) << 20,
        settings=settings_from(flatten(settings)),
        classes=_names(settings, "Lanes"),
        tenants=_names(settings, "Realms"),
        reader=reader,
        known=known,
    )
