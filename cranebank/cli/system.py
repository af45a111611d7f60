"""``cranebank system``: the commands for the whole system of proxies and controllers."""

from __future__ import annotations

import shutil
from pathlib import Path

import click

from cranebank.cli.lab import EXIT_PROBLEM_FOUND, FOLDER, needs_lab, show_table, timestamp

DAY_NAMES = ("demo", "tallies", "cold", "evacuation")


@click.group()
def system() -> None:
    """The whole system: proxies, controllers and model backends.

    Example: cranebank system demo
    """


def _add_commands() -> None:
    """Add the commands of ``programs.command``; their arguments are passed through unparsed."""
    from cranebank.programs import command  # noqa: PLC0415  (cheap to import)

    for name, function in command.COMMANDS.items():

        @click.pass_context
        def run(context: click.Context, words: tuple[str, ...]) -> int:
            try:
                return command.main([str(context.info_name), *words], "cranebank system")
            except SystemExit as end:  # help, or invalid arguments already reported
                return int(end.code or 0)

        system.add_command(
            click.Command(
                name,
                callback=run,
                params=[click.Argument(["words"], nargs=-1, type=click.UNPROCESSED)],
                help=function.__doc__,
                short_help=(function.__doc__ or "").partition("\n")[0],
                add_help_option=False,
                context_settings={"ignore_unknown_options": True, "allow_interspersed_args": False},
            )
        )


_add_commands()


@system.command("demo")
@click.option("--small", is_flag=True, help="Play 7 seconds with fewer faults.")
@click.option(
    "--day",
    "day_name",
    type=click.Choice(DAY_NAMES),
    default=DAY_NAMES[0],
    show_default=True,
    help="Which day to play.",
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help=f"Folder of the results; default: a new one in {FOLDER}/.")
@needs_lab
def demo(small: bool, day_name: str, seed: int, out: Path | None) -> int:
    """Play a day on loopback in 40 s: the primary is killed, a proxy stopped, backends drain, crash and fall silent,
    and configurations change. Exit code 1 if a rule was violated.

    Example: cranebank system demo --seed 7
    """
    import msgspec  # noqa: PLC0415

    from cranebank.fleetlab import day, judge, report  # noqa: PLC0415

    plan = msgspec.structs.replace(day.SHORT if small else day.DAYS[day_name], seed=seed)
    folder = out or Path(FOLDER) / f"system-{timestamp()}"
    played = folder / "processes"  # emptied, as a day begins with empty disks
    shutil.rmtree(played, ignore_errors=True)
    played.mkdir(parents=True)
    try:
        record = day.play(plan, lambda line: click.echo(line, err=True), played)
    except day.StartError as error:
        raise click.ClickException(str(error)) from None
    verdict = judge.judge(record)
    (folder / "day.json").write_bytes(msgspec.json.encode(record))
    for table in (report.rules_table(verdict), report.route_table(record)):
        show_table(table.title, table.head, table.rows)
        click.echo()
    for breach in verdict.breaches:
        click.echo(f"RULE BROKEN {breach.rule} x{breach.count}: {'; '.join(breach.examples)}")
    for remark in verdict.remarks:
        click.echo(f"NOTED: {remark}")
    for name, code in record.exits:
        click.echo(f"ENDED BY ITSELF: {name}, {code}")
    page = folder / "report.html"
    report.write(page, report.day_page(record, verdict))
    click.echo(f"report: {page}")
    return 0 if verdict.kept and not record.exits else EXIT_PROBLEM_FOUND


def _seeds(text: str) -> list[int]:
    """Parse seeds such as ``3``, ``1-50`` or ``1-5,9``."""
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        if not first.isdigit() or (last and not last.isdigit()):
            raise click.BadParameter(f"{text}: expected seeds such as 7, 1-50 or 1-5,9")
        found += range(int(first), int(last or first) + 1)
    return found


@system.command("soak")
@click.option("--seeds", default="1-8", show_default=True, help="Seeds, such as 7, 1-50 or 1-5,9.")
@click.option("--jobs", type=click.IntRange(1, 4), default=1, show_default=True, help="Number of concurrent runs.")
@click.option("--without", multiple=True, help="Kind of fault to leave out; may be repeated.")
@click.option("--apart", is_flag=True, help="Use five controllers in three or five zones, with faults of whole zones.")
@click.option("--plan", "file", type=click.Path(path_type=Path, exists=True), help="Replay the saved plan of a run.")
@click.option("--out", type=click.Path(path_type=Path), help=f"Folder of the results; default: a new one in {FOLDER}/.")
@needs_lab
def soak(seeds: str, jobs: int, without: tuple[str, ...], apart: bool, file: Path | None, out: Path | None) -> int:
    """Run real processes under random overlapping faults: kills, pauses, network cuts, lost disks and answers, backends
    that come and go. A run takes about a minute. Exit code 1 if a problem was found or a requested kind of fault never
    happened. The data of failing runs is kept in the folder.

    Example: cranebank system soak --seeds 1-50 --jobs 4
    """
    import msgspec  # noqa: PLC0415

    from cranebank.fleetlab import campaign, soak_plan  # noqa: PLC0415

    known = {kind.value: kind for kind in soak_plan.FaultKind}
    unknown = [name for name in without if name not in known]
    if unknown:
        raise click.BadParameter(f"{', '.join(unknown)}: expected some of {', '.join(known)}", param_hint="--without")
    options = soak_plan.MULTI_ZONE if apart else soak_plan.SINGLE_ZONE
    kinds = tuple(kind for kind in options.kinds if kind.value not in without)
    if file is not None:
        plans = [msgspec.json.decode(file.read_bytes(), type=soak_plan.SoakPlan)]
        wanted: tuple[soak_plan.FaultKind, ...] = ()
    else:
        plans = [soak_plan.draw_plan(seed, msgspec.structs.replace(options, kinds=kinds)) for seed in _seeds(seeds)]
        wanted = kinds if len(plans) >= len(kinds) else ()
    folder = out or Path(FOLDER) / f"soak-{timestamp()}"
    report = campaign.run(plans, jobs, folder, wanted, lambda line: click.echo(line, err=True))
    (folder / "report.json").write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    for line in campaign.describe(report):
        click.echo(line)
    click.echo(f"results: {folder}")
    return 0 if report.is_passed else EXIT_PROBLEM_FOUND
