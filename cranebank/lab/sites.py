"""Variants of an operator's site file: ours are the changes alone, and the rest is read where the operator keeps it.

A file of changes names its ``base`` and holds, made in this order: ``copy`` (tables of a list put behind it again, as
``path`` and what to ``set`` in the copy), ``remove`` (paths), ``scale`` (paths and factors of their numbers), ``set``
(paths and values) and ``append`` (tables behind those of that name). A path goes by keys, in a list of tables by name,
index or ``*`` for each: ``class.check-stock.aim_ms``, ``day.*.traffic.0.per_s``. What it names must be in the base.
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
_PARTS = {"base": str, "copy": list, "remove": list, "scale": dict, "set": dict, "append": dict}
_FOUND_NOTHING = "expected a path in the site, found nothing there"


def _entries(table: Any, key: str) -> list[Any]:
    """The keys that a path's part names in a table, or in a list of tables; none if nothing is there."""
    if isinstance(table, list):
        if key == "*":
            return list(range(len(table)))
        if key.isdecimal():
            return [int(key)] if int(key) < len(table) else []
        return [i for i, held in enumerate(table) if isinstance(held, dict) and held.get("name") == key][:1]
    return [key] if isinstance(table, dict) and key in table else []


def _reach(site: dict[str, Any], path: str) -> list[tuple[Any, Any]]:
    """Each table that holds the last part of a path, with its key there; ConfigError where any of them has nothing."""
    *way, last = path.split(".")
    tables: list[Any] = [site]
    for part in way:
        found = [[held[key] for key in _entries(held, part)] for held in tables]
        if not all(found):
            raise ConfigError(f"{path}: {_FOUND_NOTHING}")
        tables = [held for each in found for held in each]
    ends = [[(held, key) for key in _entries(held, last)] for held in tables]
    if not tables or not all(ends):
        raise ConfigError(f"{path}: {_FOUND_NOTHING}")
    return [end for each in ends for end in each]


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _copy(site: dict[str, Any], wanted: Any) -> None:
    """Put a table of a list behind that list once more, with other values of keys that it has."""
    if not isinstance(wanted, dict) or set(wanted) != {"path", "set"} or not isinstance(wanted["set"], dict):
        raise ConfigError("copy: expected tables of path and set")
    path = str(wanted["path"])
    for held, key in _reach(site, path):
        if not isinstance(held, list):
            raise ConfigError(f"copy.{path}: expected a table of a list")
        held.append(copy.deepcopy(held[key]))
        for inner, value in wanted["set"].items():
            try:
                _set(held[-1], inner, value)
            except ConfigError as error:
                raise ConfigError(f"copy.{path}.{error}") from None


def _set(site: dict[str, Any], path: str, value: Any) -> None:
    for held, key in _reach(site, path):
        held[key] = copy.deepcopy(value)


def _scale(site: dict[str, Any], path: str, factor: Any) -> None:
    """Multiply the numbers at a path: whole ones stay whole, others keep six digits."""
    for held, key in _reach(site, path):
        value = held[key]
        if not _is_number(factor) or not _is_number(value):
            raise ConfigError(f"scale.{path}: expected a number and a factor")
        held[key] = round(value * factor) if isinstance(value, int) else float(f"{value * factor:.6g}")


def changed(site: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """A site with changes made; neither is touched. ConfigError names what can't be done."""
    for key, value in changes.items():
        if key not in _PARTS or not isinstance(value, _PARTS[key]):
            raise ConfigError(f"{key}: expected one of {', '.join(_PARTS)}, of its kind")
    site = copy.deepcopy(site)
    for wanted in changes.get("copy", []):
        _copy(site, wanted)
    removed = {str(path) for path in changes.get("remove", [])}
    for path in changes.get("remove", []):
        for held, key in reversed(_reach(site, str(path))):
            del held[key]
    for path, factor in changes.get("scale", {}).items():
        _scale(site, path, factor)
    for path, value in changes.get("set", {}).items():
        if path in removed:
            way, _, last = path.rpartition(".")
            for table in [held[key] for held, key in _reach(site, way)] if way else [site]:
                if not isinstance(table, dict):
                    raise ConfigError(f"{path}: expected a key of a table")
                table[last] = copy.deepcopy(value)
        else:
            _set(site, path, value)
    for name, tables in changes.get("append", {}).items():
        if not isinstance(tables, list) or not isinstance(site.get(name), list):
            raise ConfigError(f"append.{name}: expected tables behind others of that name")
        site[name] += tables
    return site


def lay(kit: Path, folder: Path) -> list[Path]:
    """Write each variant of ``folder`` beside its changes, with what its base's folder in ``kit`` has beside it.

    A fleet's site, which lists its machines, needs only the wire; each such variant gets a copy of its own, as the
    fleet's wire isn't that of the other sites.
    """
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
        beside = {name: name for name in BESIDE}
        if "machines" in site:
            wire = f"{laid[-1].stem}.wire.json"
            beside = {str(site.get("wire", "wire.json")): wire}
            site["wire"] = wire
        laid[-1].write_text(tomli_w.dumps(site), encoding="utf-8")
        for name, ours in beside.items():
            shutil.copyfile(base.with_name(name), path.with_name(ours))
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
