"""The simulator's wire format: parses lines to events and formats actions as lines. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from msgspec import inspect

from cranebank.config.checks import ConfigError, convert_checked
from cranebank.config.platform import LOAD_NAMES, PlatformSettings, to_decision_settings
from cranebank.decisions import interface as api

T = TypeVar("T")


class WireError(ValueError):
    """A line that violates the wire format; the message says what was expected."""


_STATES = {"IN": api.ServerState.IN, "LAME": api.ServerState.DRAINING, "OUT": api.ServerState.OUT}
_KINDS = {kind.value: kind for kind in api.ListKind}
_OUTCOMES = {str(int(outcome)): outcome for outcome in api.Outcome}
# List settings by name. On the wire lists of plain values are joined with commas, lists of tables have a count.
_LIST_TYPES = {
    field.encode_name: field.type
    for field in msgspec.structs.fields(PlatformSettings)
    if isinstance(inspect.type_info(field.type), inspect.VarTupleType)
}


def parse_settings(pairs: list[str]) -> api.Settings:
    """Parse the path=value pairs of a START line into settings; unknown paths are ignored."""
    tree: dict[str, Any] = {}
    for pair in pairs:
        path, mark, value = pair.partition("=")
        if not mark:
            raise WireError(f"expected path=value in the settings, got {pair!r}")
        *parents, last = path.split(".")
        node = tree
        for step in parents:
            node = node.setdefault(step, {})
            if not isinstance(node, dict):
                raise WireError(f"setting {path}: {step} is a value, not a list or a table")
        if value in ("", "-"):  # absent, or an empty list
            if path in _LIST_TYPES:
                node[last] = []
        else:
            node[last] = value.split(",") if path in _LIST_TYPES else value
    try:
        return to_decision_settings(
            convert_checked(_tables_to_lists(tree, ""), PlatformSettings, "setting", strict=False)
        )
    except ConfigError as error:
        raise WireError(str(error)) from None


def _tables_to_lists(value: Any, path: str) -> Any:
    """Convert tables that have a count to lists."""
    if not isinstance(value, dict):
        return value
    if not isinstance(value.get("count"), str):
        return {name: _tables_to_lists(item, f"{path}{name}.") for name, item in value.items()}
    count = integer(value["count"], f"setting {path}count")
    if not 0 <= count <= len(value):  # a huge count would otherwise exhaust memory
        raise WireError(f"setting {path}count: expected as many as there are, got {count}")
    return [_tables_to_lists(value.get(str(i), {}), f"{path}{i}.") for i in range(count)]


def _require_values(parts: list[str], count: int, what: str) -> None:
    if len(parts) < count:
        raise WireError(f"expected {count - 1} values ({what}), got {len(parts) - 1}")


def _lookup(value: str, words: dict[str, T], what: str) -> T:
    if value not in words:
        raise WireError(f"{what}: expected one of {', '.join(words)}, got {value!r}")
    return words[value]


def _number(value: str, what: str) -> float:
    try:
        return float(value)
    except ValueError:
        raise WireError(f"{what}: expected a number, got {value!r}") from None


def integer(value: str, what: str) -> int:
    """Parse an integer; ``what`` names the value in the error."""
    try:
        return int(value)
    except ValueError:
        raise WireError(f"{what}: expected a whole number, got {value!r}") from None


def parse_entry(parts: list[str]) -> api.ServerEntry:
    """Parse a SERVER line of a numbered list."""
    _require_values(parts, 8, "zone, cell, kind, size, state, start time, server")
    return api.ServerEntry(
        server=parts[7],
        zone=integer(parts[1], "RackZone"),
        cell=integer(parts[2], "Bay"),
        kind=0 if parts[3] == "-" else integer(parts[3], "Type"),
        size=1.0 if parts[4] == "-" else _number(parts[4], "PowerHint"),
        state=_lookup(parts[5], _STATES, "State"),
        started=0.0 if parts[6] == "-" else _number(parts[6], "StartTime"),
    )


def _load(text: str) -> dict[str, float] | None:
    if text in ("-", ""):
        return None
    load: dict[str, float] = {}
    for pair in text.split(","):
        name, mark, value = pair.partition(":")
        if not mark:
            raise WireError(f"load report: expected name:value, got {pair!r}")
        if name in LOAD_NAMES:
            load[LOAD_NAMES[name]] = _number(value, name)
    return load


def _request(parts: list[str]) -> api.Event:
    _require_values(parts, 9, "instance, id, class, tenant, key, time left, cost, bits")
    bits = 0 if parts[8] == "-" else integer(parts[8], "StateBits")
    return api.Request(
        request=parts[2],
        class_index=integer(parts[3], "Profile"),
        tenant=0 if parts[4] == "-" else integer(parts[4], "Party"),
        key=None if parts[5] == "-" else parts[5],
        time_left=_number(parts[6], "TimeBudget"),
        cost=None if parts[7] == "-" or not bits & 1 else _number(parts[7], "CostGuess"),
        resubmitted=bool(bits & 2),
    )


def _stream_started(parts: list[str]) -> api.Event:
    _require_values(parts, 6, "instance, id, attempt, server, took")
    return api.StreamStarted(parts[2], integer(parts[3], "SeqNo"), parts[4])


def _request_gone(parts: list[str]) -> api.Event:
    _require_values(parts, 3, "instance, id")
    return api.RequestGone(parts[2])


def _attempt_result(parts: list[str]) -> api.Event:
    _require_values(parts, 9, "instance, id, attempt, server, outcome, took, finished, load")
    return api.AttemptResult(
        request=parts[2],
        attempt=integer(parts[3], "SeqNo"),
        server=parts[4],
        outcome=_lookup(parts[5], _OUTCOMES, "StateCode"),
        took=0.0 if parts[6] == "-" else _number(parts[6], "Took"),
        finished=_lookup(parts[7], {"1": True, "0": False, "-": False}, "Finished"),
        load=_load(parts[8]),
    )


def _probe_result(parts: list[str]) -> api.Event:
    _require_values(parts, 6, "instance, server, outcome, took, load")
    return api.ProbeResult(
        server=parts[2],
        outcome=_lookup(parts[3], _OUTCOMES, "StateCode"),
        took=0.0 if parts[4] == "-" else _number(parts[4], "Took"),
        load=_load(parts[5]),
    )


def _timer_fired(parts: list[str]) -> api.Event:
    _require_values(parts, 3, "instance, name")
    return api.TimerFired(parts[2])


EVENTS: dict[str, Callable[[list[str]], api.Event]] = {
    "REQUEST": _request,
    "STREAMING": _stream_started,
    "HANGUP": _request_gone,
    "REPORT_BACK": _attempt_result,
    "SAMPLED": _probe_result,
    "TICK_DUE": _timer_fired,
}


def parse_list(parts: list[str], lists: dict[int, tuple[api.ServerEntry, ...]]) -> api.ServerList:
    """Parse a ROSTER_CHANGE line; its entries are those of a numbered list received before."""
    _require_values(parts, 4, "instance, kind, version, list number")
    kind = _lookup(parts[2], _KINDS, "Kind")
    if kind is api.ListKind.REFUSED:
        return api.ServerList(kind)
    _require_values(parts, 5, "instance, kind, version, list number")
    ref = integer(parts[4], "Ref")
    if ref not in lists:
        raise WireError(f"list {ref} was never sent")
    return api.ServerList(kind, lists[ref])


def format_action(node: str, action: api.Action) -> str:
    """Format one action as a line of the reply."""
    match action:
        case api.Send(request, server, timeout):
            return f"RELAY\t{node}\t{request}\t{timeout:.3f}\t{server}"
        case api.SetTimer(at, name):
            return f"SET_TIMER\t{node}\t{at:.3f}\t{name}"
        case api.Cancel(request, attempt):
            return f"REVOKE\t{node}\t{request}\t{attempt}"
        case api.Probe(server):
            return f"SOUND_OUT\t{node}\t{server}"
        case api.Refuse(request, retry_after):
            return f"BUSY\t{node}\t{request}\t{retry_after:.3f}"
        case api.Fail(request):
            return f"ERROR\t{node}\t{request}"
        case api.Watch(enable):
            return f"KEEP_INFORMED\t{node}\t{int(enable)}"


def format_broken(node: str, message: str) -> str:
    """Format the report that the decision code has failed; the message is joined to one line."""
    return f"BROKEN\t{node}\t{' '.join(message.split())}"
