"""Arrivals, drawn in advance or read from a trace: a seed gives the same requests to every policy."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
from numpy.typing import NDArray

from cranebank.config.checks import ConfigError, convert_checked
from cranebank.lab.scenario import Load, Scenario
from cranebank.lab.streams import stream

HINT_CV = 0.3  # coefficient of variation of the cost hints
MAX_TRACE_LINES = 5_000_000


class Arrival(msgspec.Struct, frozen=True):
    """First try of a request; ``at`` and ``work`` in microseconds, ``work`` for all tiers, ``kind`` a class index."""

    at: int
    kind: int
    tenant: int
    work: int
    hint: int
    key: str


class TraceRow(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A line of a trace after the first."""

    at_ms: float
    kind: str = msgspec.field(name="class")
    tenant: str = ""
    work_ms: float | None = None
    key: str = ""


class TraceHead(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The first line of a trace."""

    format: str = "cranebank-trace"
    version: int = 1


def times_of(load: Load, seconds: float, draw: np.random.Generator) -> NDArray[np.int64]:
    """Draw arrival times in microseconds, in order, over ``seconds``."""
    if load.shape == "steady":
        count = int(load.rate * seconds)
        return (np.arange(count) * 1e6 / load.rate).astype(np.int64)
    top = {"wave": load.rate * (1 + load.swing), "step": max(load.rate, load.step_to)}.get(load.shape, load.rate)
    count = int(top * seconds + 10 * np.sqrt(top * seconds) + 20)
    at = np.cumsum(draw.exponential(1.0 / top, count))
    at = at[at < seconds]
    if load.shape != "poisson":  # thinning (Lewis and Shedler 1979)
        if load.shape == "wave":
            rate = load.rate * (1 + load.swing * np.sin(2 * np.pi * at / load.period_s))
        else:
            rate = np.where(at >= load.step_at_s, load.step_to, load.rate)
        at = at[draw.random(len(at)) * top < rate]
    return (at * 1e6).astype(np.int64)


def work_of(mean_us: float, cv: float, count: int, draw: np.random.Generator) -> NDArray[np.float64]:
    """Draw lognormal work with this mean and coefficient of variation, in microseconds."""
    if cv <= 0.0:
        return np.full(count, mean_us)
    spread = np.log(1 + cv * cv)
    return draw.lognormal(np.log(mean_us) - spread / 2, np.sqrt(spread), count)


def arrivals(scenario: Scenario, beside: Path | None = None) -> list[Arrival]:
    """Return all first tries of a scenario by time; the path of a trace is relative to ``beside``."""
    if scenario.load.shape == "trace":
        return read_trace((beside or Path()) / scenario.load.file, scenario)
    seed, load = scenario.seed, scenario.load
    at = times_of(load, scenario.seconds, stream(seed, "arrivals"))
    count = len(at)
    kinds = stream(seed, "classes").choice(
        len(scenario.classes), count, p=_normalised(c.share for c in scenario.classes)
    )
    tenants = np.zeros(count, dtype=np.int64)
    if scenario.tenants:
        shares = _normalised(t.share for t in scenario.tenants)
        tenants = stream(seed, "tenants").choice(len(scenario.tenants), count, p=shares)
    work = np.zeros(count)
    for index, kind in enumerate(scenario.classes):
        drawn = work_of(kind.work_ms * 1000.0, kind.cv, count, stream(seed, "work", kind.name))
        work = np.where(kinds == index, drawn, work)
    hints = work * work_of(1.0, HINT_CV, count, stream(seed, "hints"))
    keys = stream(seed, "keys").integers(0, load.keys, count)
    return [
        Arrival(int(at[i]), int(kinds[i]), int(tenants[i]), max(1, int(work[i])), int(hints[i]), f"k{keys[i]}")
        for i in range(count)
    ]


def _normalised(weights: Iterable[float]) -> NDArray[np.float64]:
    shares: NDArray[np.float64] = np.array(list(weights), dtype=np.float64)
    shares /= shares.sum()
    return shares


def write_trace(path: Path, rows: Iterable[Arrival], scenario: Scenario) -> None:
    """Write arrivals as a trace: a head line, then one JSON object per line, ordered by time."""
    with open(path, "wb") as file:
        file.write(msgspec.json.encode(TraceHead()) + b"\n")
        for row in rows:
            line: dict[str, Any] = {"at_ms": row.at / 1000.0, "class": scenario.classes[row.kind].name}
            if scenario.tenants:
                line["tenant"] = scenario.tenants[row.tenant].name
            file.write(msgspec.json.encode(line | {"work_ms": row.work / 1000.0, "key": row.key}) + b"\n")


def read_trace(path: Path, scenario: Scenario) -> list[Arrival]:
    """Read a trace, drawing work that is left out; raise ``ConfigError`` with the number of an invalid line."""
    kinds = {kind.name: index for index, kind in enumerate(scenario.classes)}
    tenants = {tenant.name: index for index, tenant in enumerate(scenario.tenants)}
    draw, found, last = stream(scenario.seed, "work", "trace"), list[Arrival](), 0.0
    try:
        with open(path, "rb") as file:
            for number, line in enumerate(file, 1):
                where = f"{path}: line {number}"
                if number > MAX_TRACE_LINES:
                    raise ConfigError(f"{where}: expected at most {MAX_TRACE_LINES} lines")
                decoded = msgspec.json.decode(line)
                if number == 1:
                    head = convert_checked(decoded, TraceHead, where)
                    if (head.format, head.version) != ("cranebank-trace", 1):
                        raise ConfigError(f"{where}: expected format cranebank-trace, version 1")
                    continue
                row = convert_checked(decoded, TraceRow, where)
                if row.kind not in kinds:
                    raise ConfigError(f"{where}: class: expected one of {', '.join(kinds)}, got {row.kind[:60]!r}")
                if row.tenant and row.tenant not in tenants:
                    raise ConfigError(f"{where}: tenant: expected one of {', '.join(tenants)}, got {row.tenant[:60]!r}")
                if not last <= row.at_ms <= 1e10:
                    raise ConfigError(f"{where}: at_ms: expected at least {last}, in order, got {row.at_ms}")
                last, kind = row.at_ms, scenario.classes[kinds[row.kind]]
                work = row.work_ms if row.work_ms is not None else work_of(kind.work_ms, kind.cv, 1, draw)[0]
                if not 0.0 < work <= 1e7:
                    raise ConfigError(f"{where}: work_ms: expected a number above 0, got {work}")
                us = max(1, round(work * 1000.0))
                found.append(
                    Arrival(
                        round(row.at_ms * 1000),
                        kinds[row.kind],
                        tenants.get(row.tenant, 0),
                        us,
                        us,
                        row.key or f"t{number}",
                    )
                )
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from None
    except (msgspec.DecodeError, RecursionError) as error:
        raise ConfigError(f"{path}: expected a trace, one JSON object a line: {error}") from None
    if not found:
        raise ConfigError(f"{path}: expected at least one request")
    return found
