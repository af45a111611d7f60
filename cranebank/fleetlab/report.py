"""The report of a system day: tables of the rules and routes, and one page with plots."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from itertools import pairwise

import numpy as np
from matplotlib.axes import Axes

from cranebank.fleetlab.judge import RULES, Judge, Verdict, served, share
from cranebank.fleetlab.records import DayRecord, Try
from cranebank.lab.report import PAGE, Draw, Mark, Table, drawn, write

OUTCOMES = ("kept", "BROKEN")


def rules_table(verdict: Verdict) -> Table:
    """Return a table with how often each rule was judged, and whether it was kept."""
    broken = verdict.broken()
    rows = [
        (f"{rule}: {RULES[rule]}", verdict.judged[rule], broken.get(rule, 0), OUTCOMES[rule in broken])
        for rule in RULES
    ]
    return Table("Rules", ("rule", "judged", "broken", ""), rows)


def _route(client_try: Try) -> str:
    return client_try.path.split("/")[1]


def _first_event_ms(client_try: Try) -> float:
    return 1e3 * (client_try.event_times[0] - client_try.sent)


def _gaps_ms(client_try: Try) -> list[float]:
    return [1e3 * (after - before) for before, after in pairwise(client_try.event_times)]


def _quantiles(values: Sequence[float]) -> tuple[str, ...]:
    if not values:
        return ("-", "-")
    return tuple(f"{value:.0f}" for value in np.quantile(np.array(values), (0.5, 0.99)))


def route_table(day: DayRecord) -> Table:
    """Return a table of the outcomes of each route's requests."""
    by_route: dict[str, list[Try]] = defaultdict(list)
    for client_try in day.tries:
        if not client_try.is_probe:
            by_route[_route(client_try)].append(client_try)
    rows = []
    for name, tries in sorted(by_route.items()):
        whole = [client_try for client_try in tries if served(client_try) and client_try.event_times]
        rows.append(
            (
                name,
                len({client_try.request for client_try in tries}),
                len(tries),
                f"{share(day, served, tries):.4f}",
                *_quantiles([_first_event_ms(client_try) for client_try in whole]),
                *_quantiles([gap for client_try in whole for gap in _gaps_ms(client_try)]),
            )
        )
    return Table(
        "Routes", ("route", "requests", "tries", "served", "first token p50 ms", "p99", "gap p50 ms", "p99"), rows
    )


def _by_second(day: DayRecord, points: Sequence[tuple[float, float]]) -> dict[int, list[float]]:
    grouped: dict[int, list[float]] = defaultdict(list)
    for at, value in points:
        grouped[int(at - day.begun)].append(value)
    return dict(sorted(grouped.items()))


def _first_tokens(day: DayRecord) -> Draw:
    def draw(axes: Axes) -> None:
        by_route: dict[str, list[Try]] = defaultdict(list)
        for client_try in day.tries:
            if client_try.event_times and not client_try.is_probe:
                by_route[_route(client_try)].append(client_try)
        for name, tries in sorted(by_route.items()):
            axes.plot(
                [client_try.sent - day.begun for client_try in tries],
                [_first_event_ms(client_try) for client_try in tries],
                ".",
                markersize=4,
                label=name,
            )
        axes.set_yscale("log")
        axes.set_xlabel("seconds")
        axes.set_ylabel("ms to the first token")

    return draw


def _gaps(day: DayRecord) -> Draw:
    def draw(axes: Axes) -> None:
        seconds = _by_second(
            day,
            [(at, 1e3 * (at - before)) for client_try in day.tries for before, at in pairwise(client_try.event_times)],
        )
        for name, q, style in (("p50", 0.5, "-"), ("p99", 0.99, "--"), ("longest", 1.0, ":")):
            values = [float(np.quantile(np.array(series), q)) for series in seconds.values()]
            axes.plot(list(seconds), values, style, label=name)
        axes.set_ylim(bottom=0)
        axes.set_xlabel("seconds")
        axes.set_ylabel("ms between events")

    return draw


def _tokens(day: DayRecord) -> Draw:
    def draw(axes: Axes) -> None:
        kinds = {
            "kept": [(a.at, float(a.kept)) for a in day.arrivals],
            "moved": [(a.at, float(a.moved)) for a in day.arrivals],
            "read by decode": [(a.at, float(a.read)) for a in day.arrivals if a.kind == "make"],
            "read by prefill": [(a.at, float(a.read)) for a in day.arrivals if a.kind == "read"],
        }
        seconds = range(int(day.ended - day.begun) + 1)
        rows = []
        for points in kinds.values():
            by_second = _by_second(day, points)
            rows.append([sum(by_second.get(second, ())) for second in seconds])
        axes.stackplot(list(seconds), np.array(rows), labels=list(kinds))
        axes.set_xlabel("seconds")
        axes.set_ylabel("prompt tokens a second")

    return draw


def _budget(day: DayRecord) -> Draw:
    def draw(axes: Axes) -> None:
        windows = list(Judge(day).repeated_arrivals())
        for number, service in enumerate(sorted({window.service for window in windows})):
            series = [window for window in windows if window.service == service]
            at = [window.begin - day.begun for window in series]
            axes.plot(at, [window.found for window in series], ".-", color=f"C{number}", label=f"{service}: repeated")
            axes.plot(at, [window.allowed for window in series], "--", color=f"C{number}", label=f"{service}: allowed")
        axes.set_ylim(bottom=0)
        axes.set_xlabel("seconds at which a window begins")
        axes.set_ylabel(f"arrivals in {day.bounds.retry_window_s:g} s")

    return draw


def _primary(day: DayRecord) -> Draw:
    def draw(axes: Axes) -> None:
        names = sorted({name for _, name in day.primaries if name})
        spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for (at, name), (after, _) in pairwise([*day.primaries, (day.ended, "")]):
            spans[name].append((at - day.begun, after - at))
        for place, name in enumerate(names):
            axes.broken_barh(spans[name], (place - 0.3, 0.6), color=f"C{place}")
        for change in day.changes:
            if change.acked is not None and change.acked > day.begun:
                axes.axvline(change.acked - day.begun, color="black", linewidth=0.8)
        axes.set_yticks(range(len(names)), names)
        axes.set_xlabel("seconds; a line for each configuration that was acknowledged")

    return draw


def _tries_per_second(day: DayRecord) -> Draw:
    def draw(axes: Axes) -> None:
        tries = [client_try for client_try in day.tries if not client_try.is_probe]
        seconds = range(int(day.ended - day.begun) + 1)
        for name, series in (("tries", tries), ("served", [client_try for client_try in tries if served(client_try)])):
            by_second = _by_second(day, [(client_try.sent, 1.0) for client_try in series])
            axes.plot(list(seconds), [len(by_second.get(second, ())) for second in seconds], label=name)
        axes.set_ylim(bottom=0)
        axes.set_xlabel("seconds")
        axes.set_ylabel("a second")

    return draw


def day_page(day: DayRecord, verdict: Verdict) -> str:
    """Return the page of one day."""
    marks = [
        Mark(trouble.begin - day.begun, trouble.end - trouble.begin, trouble.what)
        for trouble in day.troubles
        if trouble.begin > day.begun
    ]
    marks += [Mark(drain.announced - day.begun, 0.1, f"{drain.instance} drains") for drain in day.drains]
    plots = [
        ("Time to the first token", drawn(_first_tokens(day), marks)),
        ("Gaps between events", drawn(_gaps(day), marks)),
        ("Prompt tokens: kept, moved and read", drawn(_tokens(day), marks)),
        ("Repeated arrivals against the budget", drawn(_budget(day))),
        ("Primary controller", drawn(_primary(day), marks)),
        ("Tries", drawn(_tries_per_second(day), marks)),
    ]
    tries = [client_try for client_try in day.tries if not client_try.is_probe]
    kept, read = sum(a.kept for a in day.arrivals), sum(a.read for a in day.arrivals)
    notes = [
        f"{len({client_try.request for client_try in tries})} requests in {len(tries)} tries, "
        f"{share(day, served):.4f} of them served; {len(day.arrivals)} arrivals at backends, "
        f"{kept / max(1, kept + read):.3f} of the prompt tokens were kept where they were needed.",
        *(f"Noted: {remark}." for remark in verdict.remarks),
        *(f"{name} ended unexpectedly with {code}." for name, code in day.exits),
    ]
    return PAGE.render(
        title="cranebank: a day of the whole system",
        notes=notes,
        plots=plots,
        tables=[rules_table(verdict), route_table(day)],
        breaches=[f"{b.rule} x{b.count}: {RULES[b.rule]}; {'; '.join(b.examples)}" for b in verdict.breaches],
    )


__all__ = ["day_page", "route_table", "rules_table", "write"]
