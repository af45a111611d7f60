"""The platform's settings from both readers, with minimal, empty, absent and odd values at each key."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranebank.config.checks import ConfigError, convert_checked
from cranebank.config.platform import PlatformSettings, to_decision_settings
from cranebank.decisions import interface as api
from cranebank.decisions.balance import Balancer
from cranebank.simwire import wire

LANE: dict[str, Any] = {
    "Name": "look",
    "Aim": 900.0,
    "Deadline": 3000.0,
    "Effect": "retryable",
    "Group": "all",
    "LateWorth": 0.0,
    "RepeatWindow": 0.0,
    "Worth": 1.0,
    "Streaming": False,
    "AimStretch": 0.0,
}
PLATFORM: dict[str, Any] = {
    "Balancers": 3,
    "Clients": {"MarksRetry": True},
    "Discovery": "push",
    "FamilyInfo": {"PassesDeadline": True},
    "Kinds": ["fast", "slow"],
    "Lanes": [LANE, LANE | {"Name": "book", "Effect": "fragile", "Worth": 5.0}],
    "Layer": 0,
    "SlotNo": 1,
    "Zone": 2,
    "Quantum": 5.0,
    "Tiers": ["front", "back"],
    "Zones": ["x", "y", "z"],
    "Limits": {
        "Cancel": True,
        "ConnIdle": 9000.0,
        "CpuUsPerRequest": 0.0,
        "CpuUsPerS": 15000,
        "DialTimeout": 250.0,
        "MaxAttempts": 6,
        "MaxOpen": 20000,
        "MaxRetryAfter": 2000.0,
        "MayProbe": True,
        "Peers": True,
        "RetryAfter": True,
        "SecondCopies": True,
        "StreamsPerConn": 1,
    },
    "OverShareWorth": 0.1,
    "Prices": {"CrossZone": 0.05, "Handshake": 0.0, "Peer": 0.01, "Probe": 0.05, "Waste": 0.2},
    "Realms": [{"Name": "t", "QuotaPerS": 9.0, "Share": 1.0}],
    "Report": {"Fields": ["busy_reqs", "pending"], "Source": "on_probe"},
    "Rules": {
        "AnswerSlack": 20.0,
        "AskWithin": 9000.0,
        "ColdFrom": 0.3,
        "DrainGrace": 400.0,
        "DroppedStayOpen": False,
        "FallMultiple": 4.0,
        "OverloadFor": 1500.0,
        "WarmAfter": 8000.0,
    },
    "ScoringMix": {"Whole": 0.6, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.2},
    "WorthBy": "request",
}
ABSENT = object()
ODD = [ABSENT, [], 0, 0.0, 1, 1e-9, 1e12, True, False, -1, "-1"]


def paths(document: Any, above: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    items = (
        document.items() if isinstance(document, dict) else enumerate(document) if isinstance(document, list) else ()
    )
    return [path for key, value in items for path in ((*above, key), *paths(value, (*above, key)))]


def changed(document: dict[str, Any], path: tuple[Any, ...], value: Any) -> dict[str, Any]:
    document = copy.deepcopy(document)
    node: Any = document
    for step in path[:-1]:
        node = node[step]
    if value is ABSENT:
        del node[path[-1]]
    else:
        node[path[-1]] = value
    return document


def pairs(document: Any, path: str = "") -> list[str]:
    """Return the settings as START writes them; an empty list is written as an empty value."""
    if isinstance(document, list) and (not document or not isinstance(document[0], dict)):
        return [f"{path}={','.join(map(str, document))}"]
    above = f"{path}." if path else ""
    if isinstance(document, list):
        return [
            f"{above}count={len(document)}",
            *(p for i, item in enumerate(document) for p in pairs(item, f"{above}{i}")),
        ]
    if isinstance(document, dict):
        return [p for name, value in document.items() for p in pairs(value, f"{above}{name}")]
    return [f"{path}={str(document).lower() if isinstance(document, bool) else document}"]


def from_json(document: dict[str, Any]) -> api.Settings:
    return to_decision_settings(convert_checked(json.loads(json.dumps(document)), PlatformSettings, "file"))


def play(module_settings: api.Settings) -> int:
    """Run a module under these settings for 30 s with hosts of every outcome; return the number of actions."""
    balancer, alarms, out, tries, asked = (
        Balancer(module_settings, 1),
        list[api.SetTimer](),
        list[Any](),
        dict[str, int](),
        0,
    )

    def do(now: float, event: api.Event) -> None:
        nonlocal asked
        for action in balancer.handle(now, event):
            asked += 1
            if isinstance(action, api.SetTimer):
                alarms.append(action)
            elif isinstance(action, api.Send | api.Probe):
                out.append(action)

    hosts = tuple(api.ServerEntry(f"s{i}", zone=i % 4, started=1.0 if i == 0 else 0.0) for i in range(5))
    outcomes = (
        api.Outcome.OK,
        api.Outcome.OK,
        api.Outcome.TIMEOUT,
        api.Outcome.FULL,
        api.Outcome.CONNECT_FAILED,
        api.Outcome.ERROR,
    )
    news = {
        0: api.ServerList(api.ListKind.REMEMBERED, hosts),
        100: api.ServerList(api.ListKind.REFUSED),
        150: api.ServerList(api.ListKind.ALL),
        180: api.ServerList(api.ListKind.ALL, hosts),
    }
    for turn in range(300):
        now = turn * 100.0
        if turn in news:
            do(now, news[turn])
        for due in [alarm for alarm in alarms if alarm.at <= now]:
            alarms.remove(due)
            do(now, api.TimerFired(due.name))
        do(
            now,
            api.Request(
                f"r{turn}",
                turn % len(module_settings.classes),
                0.0 if turn % 7 == 0 else 1000.0,
                resubmitted=turn % 11 == 0,
            ),
        )
        outcome = outcomes[turn % 6]
        for action in out[:4]:
            out.remove(action)
            if isinstance(action, api.Probe):
                do(now, api.ProbeResult(action.server, outcome, 5.0, {"queue": 0.0, "inflight": turn % 5}))
            else:
                number = tries[action.request] = tries.get(action.request, -1) + 1
                do(
                    now,
                    api.AttemptResult(
                        action.request, number, action.server, outcome, 20.0 * (turn % 5), outcome is api.Outcome.OK
                    ),
                )
    return asked


def test_both_readers_say_the_same() -> None:
    assert wire.parse_settings(pairs(PLATFORM)) == from_json(PLATFORM)


@pytest.mark.parametrize("name", ["Realms", "Zones", "Tiers"])
def test_a_list_of_nought_is_read_in_each_way_of_writing_it(name: str) -> None:
    rest = pairs({key: value for key, value in PLATFORM.items() if key != name})
    none = from_json(PLATFORM | {name: []})
    assert [wire.parse_settings([*rest, empty]) for empty in (f"{name}=", f"{name}=-", f"{name}.count=0")] == [none] * 3
    assert play(none) > 300


def test_a_number_left_empty_is_absent() -> None:
    rest = [pair for pair in pairs(PLATFORM) if not pair.startswith(("Limits.MaxRetryAfter", "Rules.ColdFrom"))]
    assert wire.parse_settings([*rest, "Limits.MaxRetryAfter=", "Rules.ColdFrom=0.5"]).max_retry_after == 0.0
    with pytest.raises(wire.WireError, match=r"Rules.ColdFrom: missing, expected a number"):
        wire.parse_settings([*rest, "Rules.ColdFrom=-"])


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        (("Balancers",), 0, "Balancers: expected a whole number >= 1"),
        (("Lanes", 1, "Aim"), 0.0, "Lanes.1.Aim: expected a number > 0.0"),
        (("Lanes", 0, "Deadline"), -1.0, "Lanes.0.Deadline: expected a number >= 0.0"),
        (("Lanes",), [], "Lanes: expected a list of length >= 1"),
    ],
)
def test_what_can_hold_nowhere_is_named_by_both_readers(path: tuple[Any, ...], value: Any, expected: str) -> None:
    document = changed(PLATFORM, path, value)
    with pytest.raises(ConfigError) as caught:
        from_json(document)
    assert expected in str(caught.value)
    with pytest.raises(wire.WireError) as on_wire:
        wire.parse_settings(pairs(document))
    assert expected in str(on_wire.value)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(path=st.sampled_from(paths(PLATFORM)), value=st.sampled_from(ODD))
def test_any_one_odd_value_is_one_line_or_a_module_that_serves(path: tuple[Any, ...], value: Any) -> None:
    document = changed(PLATFORM, path, value)
    try:
        read = from_json(document)
    except ConfigError as error:
        assert str(error).startswith("file: ")
        assert "\n" not in str(error)
        return
    assert 300 < play(read) < 10_000  # every request is decided on, and no timer rearms itself endlessly
    assert wire.parse_settings(pairs(document)) == read
