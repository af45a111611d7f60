"""The command line: ``cranebank``, or ``python -m cranebank`` with arguments. Exit codes 0, 1 and 2.

0: success. 1: the command ran and found a problem: a violated rule, an unusable run, or results that differ.
2: the command could not run because of a bad argument, file or variable; one line on standard error says which.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence

import click

from cranebank.cli.config import config, own_settings
from cranebank.cli.lab import demo, emulate, lab, load
from cranebank.cli.system import system
from cranebank.config.checks import ConfigError

EXIT_PROBLEM_FOUND, EXIT_UNUSABLE = 1, 2


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
def cli() -> None:
    """A router fleet for split prefill and decode (system), and a balancer for services that call services.

    Exit codes: 0 success, 1 a problem was found (a violated rule, an unusable run), 2 the command could not run.

    Example: cranebank demo
    """


@cli.command()
@own_settings
def serve(file: str | None, flags: tuple[str, ...]) -> None:
    """Run one proxy, configured by GW_CONFIG and the other GW_ variables.

    Example: GW_CONFIG=config.json cranebank serve --set log.level=debug --set log.sample=100
    """
    from cranebank.daemon import StartOptions, serve  # noqa: PLC0415  (not needed by other commands)

    sys.exit(serve(StartOptions(os.environ, file, flags)))


@cli.command()
def version() -> None:
    """Print the version.

    Example: cranebank version
    """
    from importlib.metadata import PackageNotFoundError, version  # noqa: PLC0415

    try:
        click.echo(f"cranebank {version('cranebank')}")
    except PackageNotFoundError:
        import tomllib  # noqa: PLC0415
        from pathlib import Path  # noqa: PLC0415

        project = tomllib.loads((Path(__file__).parents[2] / "pyproject.toml").read_text(encoding="utf-8"))
        click.echo(f"cranebank {project['project']['version']} (from its source)")


@cli.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script of a shell.

    Example: eval "$(cranebank completion bash)"
    """
    from click.shell_completion import get_completion_class  # noqa: PLC0415

    kind = get_completion_class(shell)
    assert kind is not None
    click.echo(kind(cli, {}, "cranebank", "_CRANEBANK_COMPLETE").source())


cli.add_command(config)
cli.add_command(demo)
cli.add_command(emulate)
cli.add_command(load)
cli.add_command(lab)
cli.add_command(system)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit code. Every error is one line on standard error."""
    try:
        done = cli.main(args=arguments, prog_name="cranebank", standalone_mode=False)
    except click.exceptions.NoArgsIsHelpError as error:
        click.echo(error.format_message())
        return 0
    except click.ClickException as error:
        return _fail(error.format_message())
    except (ConfigError, OSError) as error:
        return _fail(str(error))
    except (click.Abort, KeyboardInterrupt):
        click.echo("cranebank: stopped", err=True)
        return EXIT_PROBLEM_FOUND
    return done if isinstance(done, int) else 0


def _fail(message: str) -> int:
    click.echo(f"cranebank: {' '.join(message.split())}", err=True)
    return EXIT_UNUSABLE
