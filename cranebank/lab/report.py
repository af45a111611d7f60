"""Self-contained HTML pages about runs: tables and plots (matplotlib, inlined as SVG)."""

from __future__ import annotations

import io
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

import jinja2
import matplotlib as mpl

from cranebank.lab.experiment import FIGURES, Figure, Row, figure, groups
from cranebank.lab.judge import RULES
from cranebank.lab.results import Result
from cranebank.lab.scenario import Scenario
from cranebank.lab.simulated.paper import Cell

mpl.use("svg")  # works without a display
mpl.rcParams["svg.hashsalt"] = "cranebank"  # makes the page reproducible

from matplotlib.axes import Axes  # noqa: E402
from matplotlib.figure import Figure as Canvas  # noqa: E402

MAX_LINES = 12  # maximum number of lines in a plot
PAGE = jinja2.Environment(autoescape=True).from_string("""<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{ title }}</title>
<style>
body { font: 15px/1.45 sans-serif; max-width: 70em; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 }
td, th { padding: .2em .7em; border-bottom: 1px solid #ddd; text-align: right }
td:first-child, th:first-child { text-align: left }
.bad { color: #b00020; font-weight: bold } svg { max-width: 100%; height: auto }
</style>
<h1>{{ title }}</h1>
{% for text in notes %}<p>{{ text }}</p>{% endfor %}
{% for table in tables %}<h2>{{ table.title }}</h2>
<table><tr>{% for cell in table.head %}<th>{{ cell }}</th>{% endfor %}</tr>
{% for row in table.rows %}<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>{% endfor %}</table>{% endfor %}
{% if breaches %}<h2 class="bad">Rules broken</h2><ul>{% for breach in breaches %}<li>{{ breach }}</li>{% endfor %}</ul>
{% else %}<p>No rule broke.</p>{% endif %}
{% for title, plot in plots %}<h2>{{ title }}</h2>{{ plot | safe }}{% endfor %}
</html>
""")


class Table:
    """A table of a page."""

    def __init__(self, title: str, head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
        self.title, self.head, self.rows = title, head, rows


def class_table(result: Result) -> Table:
    """Return the table of outcomes by class."""
    head = (
        "class",
        "asked",
        "in time",
        "late",
        "declined",
        "failed",
        "unanswered",
        "tries",
        "p50 ms",
        "p90 ms",
        "p99 ms",
        "p99.9 ms",
    )
    rows = [
        (
            c.name,
            c.asked,
            c.in_time,
            c.late,
            c.declined,
            c.failed,
            c.unanswered,
            c.tries,
            *(f"{value:.0f}" for value in c.latency_ms.values()),
        )
        for c in result.classes
    ]
    return Table("Requests", head, rows)


def tier_table(result: Result) -> Table:
    """Return the table of figures by tier."""
    head = ("tier", "requests", "legs", "legs per request", "ran", "probes", "connections", "most at a host")
    rows = [
        (t.name, t.requests, t.legs, f"{t.legs_per_request:.3f}", t.ran, t.probes, t.connections, t.most_connections)
        for t in result.tiers
    ]
    return Table("Tiers", head, rows)


Draw = Callable[[Axes], None]


class Mark(NamedTuple):
    """A time range to mark in a plot over time."""

    at_s: float
    for_s: float
    what: str


def drawn(draw: Draw, marks: Sequence[Mark] = ()) -> str:
    """Return a plot as SVG, with faults marked."""
    canvas = Canvas(figsize=(9, 3.2), layout="constrained")
    axes = canvas.add_subplot()
    draw(axes)
    for mark in marks:
        axes.axvspan(mark.at_s, mark.at_s + max(mark.for_s, 0.1), alpha=0.12, color="tab:red")
        axes.annotate(mark.what, (mark.at_s, 1.0), xycoords=("data", "axes fraction"), va="top", fontsize=8)
    if axes.get_legend_handles_labels()[0]:
        axes.legend(fontsize=8, loc="best")
    axes.grid(alpha=0.3)
    buffer = io.StringIO()
    canvas.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def _fault_marks(scenario: Scenario | None) -> list[Mark]:
    return [] if scenario is None else [Mark(fault.at_s, fault.for_s, fault.what) for fault in scenario.faults]


def _service_plot(results: Sequence[tuple[str, Result]]) -> Draw:
    def draw(axes: Axes) -> None:
        for label, result in results[:MAX_LINES]:
            axes.plot([s.at for s in result.seconds], [s.service for s in result.seconds], label=label)
        axes.set_xlabel("seconds")
        axes.set_ylabel("service")
        axes.set_ylim(-0.02, 1.05)

    return draw


def _latency_plot(results: Sequence[tuple[str, Result]]) -> Draw:
    def draw(axes: Axes) -> None:
        for label, result in results[: MAX_LINES // 2]:
            axes.plot([s.at for s in result.seconds], [s.p50_ms for s in result.seconds], label=f"{label} p50")
            axes.plot([s.at for s in result.seconds], [s.p99_ms for s in result.seconds], "--", label=f"{label} p99")
        axes.set_xlabel("seconds")
        axes.set_ylabel("ms")

    return draw


def _usage_plot(result: Result, what: str) -> Draw:
    def draw(axes: Axes) -> None:
        by: dict[str, list[tuple[float, float]]] = {}
        for sample in result.samples:
            by.setdefault(sample.process, []).append((sample.at / 1e6, getattr(sample, what)))
        for name, points in sorted(by.items())[:MAX_LINES]:
            axes.plot(*zip(*points, strict=True), label=name)
        axes.set_xlabel("seconds")
        axes.set_ylabel({"memory": "MB", "cpu": "cores"}.get(what, what))

    return draw


def _bar_plot(labels: Sequence[str], of: Sequence[Figure], name: str) -> Draw:
    def draw(axes: Axes) -> None:
        errors = [[f.mean - f.low for f in of], [f.high - f.mean for f in of]]
        axes.barh(range(len(labels)), [f.mean for f in of], xerr=errors, capsize=3)
        axes.set_yticks(range(len(labels)), labels, fontsize=8)
        axes.set_xlabel(name)

    return draw


def _load_plot(found: Sequence[Row]) -> Draw | None:
    """Return a plot of p50 and p99 over the request rate, with a line per combination of the other settings."""
    lines: dict[str, dict[float, list[Result]]] = {}
    for row in found:
        if "load.rate" in row.cell and row.result.usable:
            other = " ".join(f"{k}={v}" for k, v in row.cell.items() if k != "load.rate")
            rate = float(row.cell["load.rate"])
            lines.setdefault(f"{row.scenario} {other}".strip(), {}).setdefault(rate, []).append(row.result)
    if not lines:
        return None

    def draw(axes: Axes) -> None:
        for label, by in list(lines.items())[: MAX_LINES // 2]:
            rates = sorted(by)
            for name, style in (("p50_ms", "-"), ("p99_ms", "--")):
                axes.plot(
                    rates,
                    [figure(FIGURES[name](r) for r in by[rate]).mean for rate in rates],
                    style,
                    marker="o",
                    label=f"{label} {name}",
                )
        axes.set_xlabel("requests a second")
        axes.set_ylabel("ms")

    return draw


def run_page(scenario: Scenario, result: Result) -> str:
    """Return the page of one run."""
    plots = [
        ("Service over time, faults marked", drawn(_service_plot([("service", result)]), _fault_marks(scenario))),
        ("Latency over time, from the intended time", drawn(_latency_plot([("", result)]), _fault_marks(scenario))),
        ("Memory", drawn(_usage_plot(result, "memory"))),
        ("Descriptors", drawn(_usage_plot(result, "descriptors"))),
        ("CPU", drawn(_usage_plot(result, "cpu"))),
    ]
    notes = [
        f"Policy {result.policy}, seed {result.seed}: service {result.service:.4f}, in time {result.in_time:.4f}, "
        f"{result.legs_per_request:.3f} legs a request over all tiers; busiest process {result.busiest}."
    ]
    if not result.usable:
        notes.append(f"This run gives no result: {result.why_not}.")
    return PAGE.render(
        title=f"cranebank: {scenario.name}",
        notes=notes,
        breaches=_breach_lines([result]),
        plots=plots,
        tables=[class_table(result), tier_table(result)],
    )


def _breach_lines(results: Sequence[Result]) -> list[str]:
    return [
        f"{r.scenario} seed {r.seed}, {b.rule} x{b.count}: {RULES[b.rule]}; {'; '.join(b.examples)}"
        for r in results
        for b in r.verdict.breaches
    ]


def experiment_page(name: str, found: Sequence[Row], scenarios: dict[str, Scenario]) -> str:
    """Return the page of an experiment."""
    by = groups(found)
    rows = []
    for (scenario, settings), of in by.items():
        figures = {f: figure(FIGURES[f](row.result) for row in of) for f in FIGURES}
        rows.append(
            (
                f"{scenario} {settings}",
                len(of),
                *(f"{x.mean:.4g} [{x.low:.4g}, {x.high:.4g}]" for x in figures.values()),
            )
        )
    table = Table("Means over seeds, with 95% intervals", ("run", "seeds", *FIGURES), rows)
    plots = []
    if (draw := _load_plot(found)) is not None:
        plots.append(("Latency against load", drawn(draw)))
    for scenario in dict.fromkeys(s for s, _ in by):
        shown = [(settings or scenario, of[0].result) for (s, settings), of in by.items() if s == scenario]
        marks = _fault_marks(scenarios.get(scenario))
        plots.append((f"{scenario}: service over time, first seed", drawn(_service_plot(shown), marks)))
    labels = [f"{s} {c}".strip() for s, c in by]
    for name_of in ("service", "legs_per_request"):
        of_all = [figure(FIGURES[name_of](row.result) for row in of) for of in by.values()]
        plots.append((name_of, drawn(_bar_plot(labels, of_all, name_of))))
    for what, get in (
        ("memory of a proxy, MB", lambda r: r.proxies_memory_mb),
        ("descriptors of a proxy", lambda r: float(r.proxies_descriptors)),
    ):
        of_all = [figure(get(row.result) for row in of) for of in by.values()]
        plots.append((what, drawn(_bar_plot(labels, of_all, what))))
    left_out = sum(not row.result.usable for row in found)
    notes = [f"{len(found)} runs" + (f", {left_out} left out as the generator was late." if left_out else ".")]
    return PAGE.render(
        title=f"cranebank: {name}",
        notes=notes,
        tables=[table],
        breaches=_breach_lines([row.result for row in found]),
        plots=plots,
    )


def paper_page(by_beta: Sequence[Cell], by_batch: Sequence[Cell]) -> str:
    """Return the page with the paper's two figures: gap against beta by batch size, and gap against batch size."""

    def lines(cells: Sequence[Cell], x: Callable[[Cell], float], label: Callable[[Cell], str], name: str) -> Draw:
        def draw(axes: Axes) -> None:
            for of in dict.fromkeys(map(label, cells)):
                points = [(x(c), c.gap) for c in cells if label(c) == of]
                axes.plot(*zip(*points, strict=True), marker=".", label=of)
            axes.set_xlabel(name)
            axes.set_ylabel("gap")

        return draw

    plots = [
        (
            "Gap of the (1+beta) process against beta",
            drawn(lines(by_beta, lambda c: c.mix, lambda c: f"b = {c.batch // c.n}n", "beta")),
        ),
        ("Gap against batch size", drawn(lines(by_batch, lambda c: c.batch / c.n, lambda c: c.process, "b / n"))),
    ]
    return PAGE.render(
        title="cranebank: the paper's processes",
        notes=[f"n = {by_beta[0].n}, {by_beta[0].runs} runs."],
        tables=[],
        breaches=[],
        plots=plots,
    )


def write(path: Path, page: str) -> None:
    """Write a page to a file."""
    path.write_text(page, encoding="utf-8")
