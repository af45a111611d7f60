"""Read the logs of many proxies: follow a request id through them, and count events over the fleet by second.

Reads the proxies' lines, text or JSON, from all files of a folder; other lines are counted by file.
"""

from __future__ import annotations

import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

MAX_FILE_CHARS = 256 << 20  # the rest of a larger file is ignored
MAX_LINE_CHARS = 64 << 10
_PAIR = re.compile(r'(?<!\S)([^\s="]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)')
_MEAN_FIELDS = ("copies", "list_age_ms", "report_age_ms")  # fields averaged over the proxies; the others are summed


class Unreadable(ValueError):
    """Raised for a line that no proxy wrote."""


@dataclass(slots=True, frozen=True)
class Line:
    """One line of a proxy's log; ``at`` is Unix time in seconds, values are as written."""

    at: float
    proxy: str
    event: str
    fields: dict[str, str]


@dataclass(slots=True)
class Logs:
    """The lines ordered by time, and the number of unreadable lines by file."""

    lines: list[Line] = field(default_factory=list)
    unread: Counter[str] = field(default_factory=Counter)


def parse(text: str) -> Line:
    """Parse one line; raise ``Unreadable`` if it is not a proxy's."""
    fields: dict[str, str]
    try:
        if text.startswith("{"):
            fields = {name: str(value) for name, value in json.loads(text).items()}
        else:
            fields = {name: value[1:-1] if value.startswith('"') else value for name, value in _PAIR.findall(text)}
        at = datetime.fromisoformat(fields.pop("at").replace("Z", "+00:00")).timestamp()
        return Line(at, fields.pop("proxy"), fields.pop("event"), fields)
    except (ValueError, KeyError, AttributeError, RecursionError, OverflowError) as error:
        raise Unreadable(str(error)) from None


def read(folder: Path) -> Logs:
    """Read all files of a folder and its subfolders; a file that can't be opened counts as one unreadable line."""
    logs = Logs()
    for path in sorted(p for p in folder.rglob("*") if p.is_file()):
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                size = 0
                while (text := file.readline(MAX_LINE_CHARS)) and (size := size + len(text)) <= MAX_FILE_CHARS:
                    try:
                        logs.lines.append(parse(text))
                    except Unreadable:
                        logs.unread[str(path.relative_to(folder))] += bool(text.strip())
        except OSError:
            logs.unread[str(path.relative_to(folder))] += 1
    logs.unread = +logs.unread
    logs.lines.sort(key=lambda line: line.at)
    return logs


def follow(logs: Logs, name: str) -> list[Line]:
    """Return all lines about a request, from all proxies, by time."""
    return [line for line in logs.lines if line.fields.get("request") == name]


def by_second(lines: Iterable[Line]) -> list[tuple[int, dict[str, float]]]:
    """Return, for each second since the first line, the counts of events and the tallied values over all proxies.

    Tallied values are summed, except that ages and the count of copies are averaged.
    """
    seconds: dict[int, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    samples: dict[int, Counter[str]] = defaultdict(Counter)
    first: float | None = None
    for line in lines:
        first = line.at if first is None else first
        second = int(line.at - first)
        if line.event != "tally":
            seconds[second][line.event] += 1 + _number(line.fields.get("left_out", "0"))
            continue
        for name, text in line.fields.items():
            if name != "level":
                seconds[second][name.removeprefix("+")] += _number(text)
                samples[second][name] += 1
    return [
        (
            second,
            {
                name: round(value / samples[second][name], 1) if name in _MEAN_FIELDS else value
                for name, value in sorted(seconds[second].items())
            },
        )
        for second in sorted(seconds)
    ]


def _number(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return 0.0
