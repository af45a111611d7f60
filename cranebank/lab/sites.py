"""Variants of an operator's site file: ours are the changes alone, and the rest is read where the operator keeps it.

A file of changes names its ``base`` and holds ``remove`` (paths), ``set`` (paths and values, in order) and ``append``
(tables behind those of that name). A path goes by keys, in a list of tables by name: ``class.check-stock.aim_ms``.
"""

from __future__ import annotations

import copy
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

from cranebank.config.checks import ConfigError

BESIDE = ("real.json", "wire.json", "unlock.txt")
ENDING = ".changes.toml"
_PARTS = {"base": str, "remove": list, "set": dict, "append": dict}


def _entry(table: Any, key: str) -> Any:
    """What ``key`` names in a table, or in a list of tables by their name; KeyError if nothing."""
    if isinstance(table, list):
        return next(i for i, held in enumerate(table) if isinstance(held, dict) and held.get("name") == key)
    if not isinstance(table, dict):
        raise KeyError(key)
    return key


def _reach(site: dict[str, Any], path: str) -> tuple[Any, Any]:
    """The table that holds the last part of a path, and its key there; the table must be there, the last part not."""
    held: Any = site
    *way, last = path.split(".")
    try:
        for part in way:
            held = held[_entry(held, part)]
        return held, _entry(held, last)
    except (KeyError, StopIteration):
        raise ConfigError(f"{path}: expected a path in the site, found nothing there") from None


def changed(site: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """A site with changes made; neither is touched. ConfigError names what can't be done."""
    for key, value in changes.items():
        if key not in _PARTS or not isinstance(value, _PARTS[key]):
            raise ConfigError(f"{key}: expected one of base, remove, set, append, of its kind")
    site = copy.deepcopy(site)
    for path in changes.get("remove", []):
        held, key = _reach(site, str(path))
        if isinstance(held, dict) and key not in held:
            raise ConfigError(f"{path}: expected a path in the site, found nothing there")
        del held[key]
    for path, value in changes.get("set", {}).items():
        held, key = _reach(site, path)
        held[key] = value
    for name, tables in changes.get("append", {}).items():
        if not isinstance(tables, list) or not isinstance(site.get(name), list):
            raise ConfigError(f"append.{name}: expected tables behind others of that name")
        site[name] += tables
    return site


def lay(kit: Path, folder: Path) -> list[Path]:
    """Write each variant of ``folder`` beside its changes, with what its base's folder in ``kit`` has beside it."""
    laid = []
    for path in sorted(folder.glob(f"*{ENDING}")):
        try:
            changes = tomllib.loads(path.read_text(encoding="utf-8"))
            if not isinstance(changes.get("base"), str):
                raise ConfigError("base: expected the path of a site file in the kit")
            base = kit / changes["base"]
            if not base.is_file():
                raise ConfigError(f"base: expected a file, found none at {base}")
            site = changed(tomllib.loads(base.read_text(encoding="utf-8")), changes)
        except (tomllib.TOMLDecodeError, ConfigError) as error:
            raise ConfigError(f"{path.name}: {error}") from None
        laid.append(path.with_name(path.name.removesuffix(ENDING) + ".toml"))
        laid[-1].write_text(tomli_w.dumps(site), encoding="utf-8")
        for name in BESIDE:
            shutil.copyfile(base.with_name(name), path.with_name(name))
    return laid


def main(kit: str, folder: str) -> int:
    """Lay all variants; 2 and one line where that can't be done."""
    try:
        if not Path(kit).is_dir():
            raise ConfigError(f"no kit at {kit}: expected the operators' folder of site files")
        for path in lay(Path(kit), Path(folder)):
            print(path)
    except (ConfigError, OSError) as error:
        print(f"cranebank: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
