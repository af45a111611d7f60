"""``cranebank demo``, ``emulate``, ``load`` and ``lab``: the laboratory's commands."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from cranebank.config.checks import ConfigError

if TYPE_CHECKING:
    from cranebank.lab.load import Progress
    from cranebank.lab.results import Result

EXIT_PROBLEM_FOUND = 1
FOLDER = "lab-results"  # default folder of results


class NotInstalled(click.ClickException):
    """The laboratory's libraries are not installed."""


def needs_lab(command: Callable[..., Any]) -> Callable[..., Any]:
    """Decorate a command to report on one line what to install if the laboratory's libraries are missing."""
    from functools import wraps  # noqa: PLC0415

    @wraps(command)
    def checked(*arguments: Any, **options: Any) -> Any:
        try:
            import cranebank.lab.experiment  # noqa: PLC0415
            import cranebank.lab.report  # noqa: F401, PLC0415
        except ModuleNotFoundError as error:
            raise NotInstalled(f"{error.name} is not installed: pip install -r requirements-lab.txt") from None
        return command(*arguments, **options)

    return checked


def timestamp() -> str:
    """Return the current time for use in folder names."""
    return time.strftime("%Y%m%d-%H%M%S")


def show_table(title: str, head: Iterable[str], rows: Iterable[Iterable[object]]) -> None:
    """Print a table."""
    from tabulate import tabulate  # noqa: PLC0415

    names = list(head)
    align = ("left", *("right" for _ in names[1:]))
    click.echo(f"{title}\n{tabulate(list(rows), names, tablefmt='simple', disable_numparse=True, colalign=align)}")


def _print_result(result: Result) -> None:
    """Print the tables and violations of one run."""
    from cranebank.lab.judge import RULES  # noqa: PLC0415
    from cranebank.lab.report import class_table, tier_table  # noqa: PLC0415

    for table in (class_table(result), tier_table(result)):
        show_table(table.title, table.head, table.rows)
        click.echo()
    click.echo(
        f"service {result.service:.4f}, in time {result.in_time:.4f}, "
        f"{result.legs_per_request:.3f} legs a request, busiest: {result.busiest}"
    )
    for breach in result.verdict.breaches:
        click.echo(f"RULE BROKEN {breach.rule} x{breach.count}: {RULES[breach.rule]}; {'; '.join(breach.examples)}")
    if result.verdict.is_clean:
        click.echo(f"no rule broke ({result.verdict.requests} requests, {result.verdict.legs} legs judged)")
    if not result.usable:
        click.echo(f"NO RESULT: {result.why_not}")


def _progress(seconds: float) -> Callable[[Progress], None]:
    def show(progress: Progress) -> None:
        click.echo(
            f"{progress.at:5.1f} of {seconds:g} s: "
            f"{progress.offered} offered, {progress.served} served, {progress.unserved} unserved",
            err=True,
        )

    return show


def _play(path: Path, out: Path, changes: dict[str, Any], on: str = "sockets") -> int:
    """Run one scenario, print and write its results; return the exit code."""
    import msgspec  # noqa: PLC0415

    from cranebank.lab import report  # noqa: PLC0415
    from cranebank.lab.plan import read_scenario  # noqa: PLC0415
    from cranebank.lab.run import RunError, play  # noqa: PLC0415

    scenario = msgspec.structs.replace(read_scenario(path), **changes)
    if on == "simulated":
        from cranebank.lab.simulated.world import play as simulate  # noqa: PLC0415

        result = simulate(scenario, path.parent)
        out.mkdir(parents=True, exist_ok=True)
        (out / "result.json").write_bytes(msgspec.json.encode(result))
        click.echo(f"simulated: {result.events} events, digest {result.digest}")
    else:
        try:
            result = play(scenario, out, path.parent, _progress(scenario.seconds))
        except RunError as error:
            raise click.ClickException(str(error)) from None
    _print_result(result)
    page = out / "report.html"
    report.write(page, report.run_page(scenario, result))
    click.echo(f"report: {page}")
    return 0 if result.verdict.is_clean and result.usable else EXIT_PROBLEM_FOUND


@click.command()
@click.option("--small", is_flag=True, help="Play 3 seconds with fewer hosts.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help=f"Folder of the results; default: a new one in {FOLDER}/.")
@needs_lab
def demo(small: bool, seed: int, out: Path | None) -> int:
    """Play a day in 20 s: three tiers, a rolling deploy, a shared slowdown. Exit code 1 if a rule was violated.

    Example: cranebank demo --seed 7
    """
    path = Path(__file__).parents[1] / "lab" / ("demo_small.toml" if small else "demo.toml")
    return _play(path, out or Path(FOLDER) / f"demo-{timestamp()}", {"seed": seed})


@click.command()
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--seconds", type=click.FloatRange(1, 3600), default=60.0, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="Folder for configurations and records.")
@needs_lab
def emulate(scenario: Path, seconds: float, out: Path | None) -> int:
    """Run only hosts and discovery for --seconds, and print how to start the proxies in front of them.

    Example: cranebank emulate scenarios/calm.toml --seconds 120
    """
    from cranebank.lab.plan import read_scenario  # noqa: PLC0415
    from cranebank.lab.run import Run  # noqa: PLC0415

    folder = out or Path(FOLDER) / f"emulate-{timestamp()}"
    asyncio.run(Run(read_scenario(scenario), folder, scenario.parent).emulate(seconds, click.echo))
    return 0


@click.command()
@click.argument("scenario", type=click.Path(path_type=Path))
@click.option("--to", "targets", multiple=True, metavar="ADDRESS:PORT", help="Address of a proxy; may be repeated.")
@click.option("--trace", type=click.Path(path_type=Path), help="Write the arrivals as a trace to this file.")
@click.option("--out", type=click.Path(path_type=Path), help="Write a record of each attempt to this file.")
@needs_lab
def load(scenario: Path, targets: tuple[str, ...], trace: Path | None, out: Path | None) -> int:
    """Offer a scenario's load to running proxies on loopback. Exit code 1 if the generator fell behind.

    Example: cranebank load scenarios/calm.toml --to 127.0.0.1:8000
    """
    from cranebank.lab import records, results  # noqa: PLC0415
    from cranebank.lab.arrivals import arrivals, write_trace  # noqa: PLC0415
    from cranebank.lab.exchange import now_us  # noqa: PLC0415
    from cranebank.lab.judge import Verdict  # noqa: PLC0415
    from cranebank.lab.load import Generator  # noqa: PLC0415
    from cranebank.lab.plan import read_scenario  # noqa: PLC0415

    plan = read_scenario(scenario)
    rows = arrivals(plan, scenario.parent)
    if trace is not None:
        write_trace(trace, rows, plan)
        click.echo(f"{len(rows)} requests: {trace}")
    if not targets:
        if trace is None:
            raise click.UsageError("expected --to or --trace")
        return 0
    proxies = {f"target-p{number}": _address(target) for number, target in enumerate(targets)}
    found: list[records.Record] = []

    async def offer() -> None:
        generator = Generator(plan, rows, proxies, found.append)
        found.append(await generator.play(now_us() + 50_000))

    asyncio.run(offer())
    if out is not None:
        writer = records.Writer(out)
        for record in found:
            writer.write(record)
        writer.close()
    result = results.summarise(plan, found, Verdict((), 0, 0))
    from cranebank.lab.report import class_table  # noqa: PLC0415

    table = class_table(result)
    show_table(table.title, table.head, table.rows)
    assert result.generator is not None
    g = result.generator
    click.echo(
        f"offered {g.offered / max(g.seconds, 1e-9):.0f} requests/s, late p50 {g.late_p50 / 1000:.2f} ms, "
        f"p99 {g.late_p99 / 1000:.2f} ms, {g.cpu / max(g.seconds, 1e-9):.2f} of a core"
    )
    if not result.usable:
        click.echo(f"NO RESULT: {result.why_not}")
    return 0 if result.usable else EXIT_PROBLEM_FOUND


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host.startswith("127.") or not port.isdigit() or not 0 < int(port) < 65536:
        raise click.UsageError(f"--to {text}: expected ADDRESS:PORT with an address in 127.0.0.0/8")
    return host, int(port)


@click.group()
def lab() -> None:
    """Run, report and compare experiments: scenarios with varied settings and seeds.

    Example: cranebank lab run experiments/policies.toml
    """


@lab.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), help=f"Folder of the results; default: a new one in {FOLDER}/.")
@click.option("--resume", is_flag=True, help="Continue with the results in the folder of --out.")
@click.option("--seed", type=click.IntRange(0), help="Seed of a scenario; overrides the file's.")
@click.option("--on", type=click.Choice(["sockets", "simulated"]), default="sockets", show_default=True)
@needs_lab
def run(file: Path, out: Path | None, resume: bool, seed: int | None, on: str) -> int:
    """Run an experiment, or one scenario. Ctrl-C keeps finished runs, and --resume continues.

    Exit code 1: a rule was violated, or a run is unusable.

    Example: cranebank lab run experiments/policies.toml --out results/policies --resume
    """
    from cranebank.cli.config import kind_of  # noqa: PLC0415
    from cranebank.lab import experiment  # noqa: PLC0415

    if resume and out is None:
        raise click.UsageError("--resume: expected --out, the folder to go on with")
    folder = out or Path(FOLDER) / f"{file.stem}-{timestamp()}"
    if kind_of(str(file)) == "scenario":
        return _play(file, folder, {} if seed is None else {"seed": seed}, on)
    unusable = experiment.run(file, folder, resume, click.echo, on)
    found = experiment.rows(folder)
    click.echo(f"results: {folder}")
    return EXIT_PROBLEM_FOUND if unusable or any(not row.result.verdict.is_clean for row in found) else 0


@lab.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), help="Path of the page; default: report.html in the folder.")
@needs_lab
def report(folder: Path, out: Path | None) -> int:
    """Write a folder of results as one self-contained HTML page.

    Example: cranebank lab report results/policies
    """
    from cranebank.lab import experiment  # noqa: PLC0415
    from cranebank.lab import report as pages  # noqa: PLC0415

    found, _ = experiment.select(str(folder))
    page = out or folder / "report.html"
    scenarios = experiment.scenarios_of(folder)
    pages.write(page, pages.experiment_page(folder.name, found, scenarios))
    click.echo(f"report: {page}")
    return 0


@lab.command()
@click.argument("a")
@click.argument("b")
@needs_lab
def compare(a: str, b: str) -> int:
    """Compare two folders of results, or two settings (FOLDER:path=value), paired by scenario, settings and seed.

    Exit code 1 if B is significantly worse (95%) in any figure.

    Example: cranebank lab compare results/policies:policy=random results/policies:policy=cranebank
    """
    from cranebank.lab import experiment  # noqa: PLC0415

    (left, drop), (right, other) = experiment.select(a), experiment.select(b)
    found = experiment.compare(left, right, drop or other)
    if not found:
        raise ConfigError(f"{a}, {b}: no runs in common to compare")
    rows = [
        (
            f"{d.scenario} {d.settings}".strip(),
            d.figure,
            f"{d.a:.4g}",
            f"{d.b:.4g}",
            f"{d.difference.mean:+.4g}",
            f"[{d.difference.low:+.4g}, {d.difference.high:+.4g}]",
            d.difference.runs,
            "worse" if d.worse else "",
        )
        for d in found
    ]
    show_table("B less A", ("run", "figure", "A", "B", "difference", "95% interval", "pairs", ""), rows)
    return EXIT_PROBLEM_FOUND if any(d.worse for d in found) else 0


@lab.command()
@click.argument("file", type=click.Path(path_type=Path), default=Path("experiments/validate.toml"))
@click.option("--out", type=click.Path(path_type=Path), help=f"Folder of the results; default: a new one in {FOLDER}/.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON list.")
@needs_lab
def validate(file: Path, out: Path | None, as_json: bool) -> int:
    """Run an experiment on sockets and simulated, and compare: in time within 3 points, legs within 10%.

    If --out already has results, only missing runs are made. Exit code 1 if the two differ by more.

    Example: cranebank lab validate experiments/validate.toml --out results/validate
    """
    import msgspec  # noqa: PLC0415

    from cranebank.lab import experiment  # noqa: PLC0415

    folder = out or Path(FOLDER) / f"validate-{timestamp()}"
    say = (lambda _: None) if as_json else click.echo
    for on in ("sockets", "simulated"):
        experiment.run(file, folder / on, True, say, on)
    found = experiment.match(experiment.rows(folder / "sockets"), experiment.rows(folder / "simulated"))
    if as_json:
        click.echo(msgspec.json.encode(found).decode())
    else:
        show_table(
            "sockets and simulated",
            ("scenario", "seeds", "in time", "simulated", "legs", "simulated", ""),
            (
                (
                    m.scenario,
                    m.seeds,
                    f"{m.in_time_sockets:.4f}",
                    f"{m.in_time_simulated:.4f}",
                    f"{m.legs_sockets:.3f}",
                    f"{m.legs_simulated:.3f}",
                    "" if m.near else "NOT NEAR",
                )
                for m in found
            ),
        )
    return 0 if found and all(m.near for m in found) else EXIT_PROBLEM_FOUND


@lab.command()
@click.option("--runs", type=click.IntRange(1, 1000), default=20, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON list.")
@click.option(
    "--plots", type=click.Path(path_type=Path), help="Write a page with the paper's two figures to this file."
)
@click.option("--module", is_flag=True, help="Compare the module's own gaps with the processes', n = 1,000.")
@needs_lab
def paper(runs: int, as_json: bool, plots: Path | None, module: bool) -> int:
    """Simulate the paper's batched processes and print its table of gaps beside ours. Takes a few minutes.

    Exit code 1 if a cell differs by more than 5%.

    Example: cranebank lab paper --runs 20
    """
    import msgspec  # noqa: PLC0415

    from cranebank.lab import report as pages  # noqa: PLC0415
    from cranebank.lab.simulated import paper as check  # noqa: PLC0415

    if module:
        rows = check.module_table()
        show_table(
            "n = 1,000",
            ("b / n", "one-choice", "two-choice", "one-plus-beta", "cranebank"),
            ((multiple, *(f"{gap:.1f}" for gap in gaps)) for multiple, gaps in rows),
        )
        return 0
    cells = check.table(runs=runs)
    if as_json:
        click.echo(msgspec.json.encode(cells).decode())
    else:
        show_table(
            "Empirical gap",
            ("n", "batch", "process", "paper", "here", "off", "standard error"),
            (
                (
                    c.n,
                    f"{c.batch // c.n}n",
                    c.process,
                    c.paper,
                    f"{c.gap:.2f}",
                    f"{c.gap / (c.paper or c.gap) - 1:+.1%}",
                    f"{c.error:.2f}",
                )
                for c in cells
            ),
        )
    if plots is not None:
        pages.write(plots, pages.paper_page(*check.curves(runs=runs)))
        click.echo(f"plots: {plots}", err=True)
    return EXIT_PROBLEM_FOUND if any(c.paper and abs(c.gap / c.paper - 1) > 0.05 for c in cells) else 0


@lab.command()
@click.option("--minutes", type=click.FloatRange(0.05, 600), default=30.0, show_default=True)
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="Seed of the first scenario.")
@click.option(
    "--out", type=click.Path(path_type=Path), help=f"Folder of the scenarios found; default: a new one in {FOLDER}/."
)
@needs_lab
def hunt(minutes: float, first: int, out: Path | None) -> int:
    """Draw random scenarios in simulated time and keep those where the module loses most against an oracle policy.

    Exit code 1 if the module violated a rule.

    Example: cranebank lab hunt --minutes 30 --out results/hunt
    """
    from cranebank.lab.simulated.hunt import hunt as search  # noqa: PLC0415

    found = search(minutes * 60, first, out or Path(FOLDER) / f"hunt-{timestamp()}", click.echo)
    return EXIT_PROBLEM_FOUND if any(f.breaches for f in found) else 0


@lab.command(name="list")
@click.argument("folder", type=click.Path(path_type=Path), default=Path(FOLDER))
@needs_lab
def list_(folder: Path) -> int:
    """List the results in a folder.

    Example: cranebank lab list results
    """
    from cranebank.lab import experiment  # noqa: PLC0415

    if not folder.is_dir():
        raise ConfigError(f"{folder}: expected a folder of results")
    rows: list[tuple[object, ...]] = []
    for path in sorted(p.parent for p in folder.glob("*/results.jsonl")):
        found = experiment.rows(path)
        service = experiment.figure(row.result.service for row in found if row.result.usable)
        broken = sum(not row.result.verdict.is_clean for row in found)
        rows.append((path.name, len(found), f"{service.mean:.4f}", broken))
    for path in sorted(p.parent for p in folder.glob("*/result.json")):
        rows.append((path.name, 1, "", ""))
    show_table(str(folder), ("results", "runs", "service", "broke a rule"), rows)
    return 0


LOG_COLUMNS = (
    "requests_taken",
    "answers_served",
    "answers_declined",
    "answers_failed",
    "legs_sent",
    "legs_repeated",
    "legs_second",
    "legs_to_cold",
    "legs_connect_failed",
    "probes_sent",
    "connections_opened",
    "connections_closed",
    "watches_opened",
    "lost",
    "copies",
    "list_age_ms",
    "report_age_ms",
    "cpu_ms",
)


@lab.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--id", "name", help="Follow this request through all proxies (needs log.level=debug).")
@click.option("--columns", default=",".join(LOG_COLUMNS), help="Comma-separated events, counters and beliefs.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON value with all columns.")
def logs(folder: Path, name: str | None, columns: str, as_json: bool) -> int:
    """Summarise the logs of many proxies in FOLDER: the fleet by second, or the path of one request.

    Counts need log.tally_s=1, a request's path log.level=debug. Exit code 1 if nothing could be read.

    Example: cranebank lab logs results/logs --id 9b1f03aa5c7e2d41
    """
    import json  # noqa: PLC0415

    from cranebank.lab import fleetlog  # noqa: PLC0415

    if not folder.is_dir():
        raise ConfigError(f"{folder}: expected a folder of logs")
    found = fleetlog.read(folder)
    lines = fleetlog.follow(found, name) if name else found.lines
    if name:
        rows = [
            (
                f"{line.at - lines[0].at:.6f}",
                line.proxy,
                line.event,
                " ".join(f"{key}={value}" for key, value in line.fields.items() if key not in ("level", "request")),
            )
            for line in lines
        ]
        click.echo(json.dumps(rows)) if as_json else show_table(name, ("s", "proxy", "event", "fields"), rows)
    else:
        seconds = fleetlog.by_second(lines)
        shown = [column.strip() for column in columns.split(",")]
        click.echo(json.dumps(seconds)) if as_json else show_table(
            f"{len({line.proxy for line in lines})} proxies, {len(lines)} lines",
            ("s", *shown),
            ((second, *(f"{counts.get(column, 0):g}" for column in shown)) for second, counts in seconds),
        )
    for path, count in sorted(found.unread.items()):
        click.echo(f"{path}: {count} lines that no proxy wrote, skipped", err=True)
    return 0 if lines else EXIT_PROBLEM_FOUND
