"""``cranebank config``: checks, shows and describes configuration files."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from cranebank.config.load import PlatformFile, config_of, read_file
from cranebank.config.own import LayeredSettings, OwnSettings, describe_settings, merge_layers, read_toml

KINDS = ("platform", "own", "scenario", "experiment")


def kind_of(path: str) -> str:
    """Return the kind of a file, recognised by keys that only that kind has."""
    if path.endswith(".json"):
        return "platform"
    document = read_toml(path)
    if "grid" in document or "scenarios" in document:
        return "experiment"
    return "scenario" if "tier" in document or "class" in document else "own"


def _kind(name: str) -> Any:
    if name in ("scenario", "experiment"):
        from cranebank.lab import scenario  # noqa: PLC0415  (not needed for the proxy's own files)

        return scenario.Scenario if name == "scenario" else scenario.Experiment
    return PlatformFile if name == "platform" else OwnSettings


def own_settings(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options for our own settings to a command."""
    file = click.option(
        "--file",
        type=click.Path(),
        help="TOML file with our own settings; default: the file that CRANEBANK_FILE names.",
    )
    flags = click.option(
        "--set", "flags", multiple=True, metavar="TABLE.KEY=VALUE", help="One setting; overrides file and variables."
    )
    return file(flags(command))


@click.group()
def config() -> None:
    """Check, show and describe configuration files.

    Example: cranebank config check deploy/cranebank.toml
    """


@config.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
@click.option("--kind", type=click.Choice(KINDS), help="Kind of the files; default: recognised by their content.")
def check(files: tuple[str, ...], kind: str | None) -> None:
    """Check files. The first unusable file is reported on one line, with exit code 2.

    Example: cranebank config check scenarios/calm.toml
    """
    for path in files:
        file_kind = kind or kind_of(path)
        if file_kind == "platform":
            platform_file = read_file(path)
            config_of(platform_file, path, {"GW_NAME": platform_file.name or "unnamed"}, LayeredSettings())
        elif file_kind == "own":
            merge_layers({}, path)
        elif file_kind == "scenario":
            from cranebank.lab.plan import read_scenario  # noqa: PLC0415  (not needed for the proxy's own files)

            read_scenario(Path(path))
        else:
            from cranebank.lab.experiment import read  # noqa: PLC0415

            read(Path(path))
        click.echo(f"{path}: {file_kind}: good")


@config.command()
@own_settings
def show(file: str | None, flags: tuple[str, ...]) -> None:
    """Print our own settings as they are in effect, and the source of each.

    Example: CRANEBANK_LOG_LEVEL=debug cranebank config show --set stop.linger_s=1
    """
    for line in describe_settings(merge_layers(os.environ, file, flags)):
        click.echo(line)


@config.command()
@click.argument("kind", type=click.Choice(KINDS))
def schema(kind: str) -> None:
    """Print the JSON Schema of a kind of file.

    Example: cranebank config schema scenario > scenario.schema.json
    """
    described = msgspec.json.schema(_kind(kind))
    click.echo(msgspec.json.format(msgspec.json.encode(described), indent=2).decode())
