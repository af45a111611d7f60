"""Create variants of an operator's site file from files that hold only the changes.

A file of changes names its ``base`` and holds these changes, made in this order: ``copy`` (appends copies of tables of
a list, given by ``path``, with the values in ``set``), ``remove`` (paths), ``scale`` (paths and factors for their
numbers), ``set`` (paths and values) and ``append`` (tables for the list of that name). A path consists of keys; in a
list of tables, a key is a name, an index or ``*`` for all: ``class.check-stock.aim_ms``, ``day.*.traffic.0.per_s``.
A path must exist in the base.
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

SIDE_FILES = ("real.json", "wire.json", "unlock.txt")
CHANGES_SUFFIX = ".changes.toml"
_CHANGE_TYPES = {"base": str, "copy": list, "remove": list, "scale": dict, "set": dict, "append": dict}
_PATH_NOT_FOUND = "expected a path in the site, found nothing there"


def _matching_keys(table: Any, key: str) -> list[Any]:
    """Return the keys that a part of a path matches in a table or in a list of tables."""
    if isinstance(table, list):
        if key == "*":
            return list(range(len(table)))
        if key.isdecimal():
            return [int(key)] if int(key) < len(table) else []
        return [i for i, entry in enumerate(table) if isinstance(entry, dict) and entry.get("name") == key][:1]
    return [key] if isinstance(table, dict) and key in table else []


def _resolve(site: dict[str, Any], path: str) -> list[tuple[Any, Any]]:
    """Return each table or list that contains the end of a path, with its key; raise ConfigError if one is missing."""
    *parents, last = path.split(".")
    tables: list[Any] = [site]
    for part in parents:
        found = [[parent[key] for key in _matching_keys(parent, part)] for parent in tables]
        if not all(found):
            raise ConfigError(f"{path}: {_PATH_NOT_FOUND}")
        tables = [parent for each in found for parent in each]
    ends = [[(parent, key) for key in _matching_keys(parent, last)] for parent in tables]
    if not tables or not all(ends):
        raise ConfigError(f"{path}: {_PATH_NOT_FOUND}")
    return [end for each in ends for end in each]


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _copy(site: dict[str, Any], change: Any) -> None:
    """Append a copy of a table to its list, with other values for existing keys."""
    if not isinstance(change, dict) or set(change) != {"path", "set"} or not isinstance(change["set"], dict):
        raise ConfigError("copy: expected tables of path and set")
    path = str(change["path"])
    for parent, key in _resolve(site, path):
        if not isinstance(parent, list):
            raise ConfigError(f"copy.{path}: expected the path of a table in a list")
        parent.append(copy.deepcopy(parent[key]))
        for inner, value in change["set"].items():
            try:
                _set(parent[-1], inner, value)
            except ConfigError as error:
                raise ConfigError(f"copy.{path}.{error}") from None


def _set(site: dict[str, Any], path: str, value: Any) -> None:
    for parent, key in _resolve(site, path):
        parent[key] = copy.deepcopy(value)


def _scale(site: dict[str, Any], path: str, factor: Any) -> None:
    """Multiply the numbers at a path: integers stay integers, others keep six digits."""
    for parent, key in _resolve(site, path):
        value = parent[key]
        if not _is_number(factor) or not _is_number(value):
            raise ConfigError(f"scale.{path}: expected a number and a factor")
        parent[key] = round(value * factor) if isinstance(value, int) else float(f"{value * factor:.6g}")


def changed(site: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """Return a changed copy of a site; raise ConfigError with the path of a change that is impossible."""
    for key, value in changes.items():
        if key not in _CHANGE_TYPES or not isinstance(value, _CHANGE_TYPES[key]):
            raise ConfigError(f"{key}: expected one of {', '.join(_CHANGE_TYPES)}, of its kind")
    site = copy.deepcopy(site)
    for change in changes.get("copy", []):
        _copy(site, change)
    removed = {str(path) for path in changes.get("remove", [])}
    for path in changes.get("remove", []):
        for parent, key in reversed(_resolve(site, str(path))):
            del parent[key]
    for path, factor in changes.get("scale", {}).items():
        _scale(site, path, factor)
    for path, value in changes.get("set", {}).items():
        if path in removed:
            parent_path, _, last = path.rpartition(".")
            for table in [parent[key] for parent, key in _resolve(site, parent_path)] if parent_path else [site]:
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


def write_variants(kit: Path, folder: Path) -> list[Path]:
    """Write each variant of ``folder`` next to its changes, with copies of the files next to its base in ``kit``.

    The site of a fleet, which lists its machines, needs only its wire file; each such variant gets a copy of its own,
    because the wire of a fleet differs from that of the other sites.
    """
    written = []
    for path in sorted(folder.glob(f"*{CHANGES_SUFFIX}")):
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
        written.append(path.with_name(path.name.removesuffix(CHANGES_SUFFIX) + ".toml"))
        side_files = {name: name for name in SIDE_FILES}
        if "machines" in site:
            wire = f"{written[-1].stem}.wire.json"
            side_files = {str(site.get("wire", "wire.json")): wire}
            site["wire"] = wire
        written[-1].write_text(tomli_w.dumps(site), encoding="utf-8")
        for name, target_name in side_files.items():
            shutil.copyfile(base.with_name(name), path.with_name(target_name))
    return written


def main(kit: str, folder: str) -> int:
    """Write all variants; print one line and return 2 if that is impossible."""
    try:
        if not Path(kit).is_dir():
            raise ConfigError(f"no kit at {kit}: expected the operators' folder of site files")
        for path in write_variants(Path(kit), Path(folder)):
            print(path)
    except (ConfigError, OSError) as error:
        print(f"cranebank: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
