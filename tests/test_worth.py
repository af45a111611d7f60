"""The order of requests under overload: by what another answer adds to the goal stated in the settings."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from conftest import Driver, make_settings
from msgspec.structs import replace

from cranebank.config.checks import convert_checked
from cranebank.config.platform import PlatformSettings, to_decision_settings

Drive = Callable[..., Driver]
CLASSES = tuple(
    replace(kind, late_worth=late, worth=worth)
    for kind, late, worth in zip(make_settings().classes, (0.5, 0.2, 0.9), (1.0, 1.0, 2.0), strict=True)
)


def one_at_a_time(drive: Drive, **changes: object) -> Driver:
    """Return a driver with a history of answers whose only host takes one call at a time; further requests are held."""
    d = drive(classes=CLASSES, worth_by_work=True, **changes)
    d.listed(["a"])
    d.serve(20, step=20.0)
    d.balancer.limit, d.balancer.min_limit_per_server = 1.0, 0.0
    return d


def served_first(d: Driver, *held: tuple[int, bool]) -> list[int]:
    """Hold one request of each (class, whether a client's repeat) behind another; return their order of sending."""
    d.balancer.limit = 1.0
    first, _ = d.request()
    names = []
    for index, again in held:  # each a little later, as the newest of equals goes first
        d.now += 1.0
        names.append(d.request(index, resubmitted=again)[0])
    d.result(first)
    for _ in names[1:]:
        d.balancer.limit = 1.0
        d.result(list(d.sent)[-1])
    order = list(d.sent)[-len(names) :]
    return [names.index(name) for name in order]


@pytest.mark.parametrize(
    ("held", "order"),
    [
        (((0, False), (0, True)), [0, 1]),  # same class: the first attempt, although the repeat came last
        (((0, True), (1, True)), [0, 1]),  # two repeats: the one that is worth more when late
        (((0, False), (2, True)), [1, 0]),  # a late repeat that is worth more than the other request in time
    ],
)
def test_a_clients_repeat_ranks_by_its_late_worth(
    drive: Drive, held: tuple[tuple[int, bool], ...], order: list[int]
) -> None:
    assert served_first(one_at_a_time(drive), *held) == order


@pytest.mark.parametrize(("share", "layer", "first"), [(0.0, 0, 1), (0.7, 0, 0), (0.7, 1, 1)])
def test_the_class_that_fares_worst_goes_first_where_the_goal_counts_it(
    drive: Drive, share: float, layer: int, first: int
) -> None:
    """Clients call only the first tier, so only there the service of a class counts towards the goal."""
    d = one_at_a_time(drive, worst_class_share=share, layer=layer)
    stuck, _ = d.request()
    for _ in range(20):  # all requests of class 0 go unserved, all of class 2 are served
        d.request(0, left=1.0)
    d.result(stuck)
    for _ in range(20):
        d.now += 20.0
        name, _ = d.request(2)
        d.result(name)
    d.now += 2000.0
    assert served_first(d, (0, False), (2, False))[0] == first


@pytest.mark.parametrize(("run", "first"), [(200, 1), (10**9, 0)])
def test_what_a_class_was_served_long_ago_fades(
    drive: Drive, monkeypatch: pytest.MonkeyPatch, run: int, first: int
) -> None:
    """Class 0 went unserved all of a first day, class 2 half of a second one; summed up from the start, 0 is worse."""
    monkeypatch.setattr("cranebank.decisions.class_priority.MAX_FIRST_TRIES", run)
    d = one_at_a_time(drive, worst_class_share=0.7)
    for worse, better, unserved in ((0, 2, 300), (2, 0, 150)):
        stuck, _ = d.request()
        d.balancer.limit = 1.0
        for _ in range(unserved):
            d.request(worse, left=1.0)
        d.result(stuck)
        for _ in range(300):
            d.now += 20.0
            d.balancer.limit = 1.0
            d.result(d.request(better)[0])
    d.now += 2000.0
    assert served_first(d, (0, False), (2, False))[0] == first


def test_the_goal_is_read_from_the_settings() -> None:
    lane = {
        "Aim": 1.0,
        "Deadline": 2.0,
        "Effect": "retryable",
        "Group": "all",
        "LateWorth": 0.5,
        "RepeatWindow": 0.0,
        "Worth": 1.0,
    }
    platform = {
        "Balancers": 2,
        "Zone": 0,
        "Quantum": 5.0,
        "Discovery": "ask",
        "Lanes": [lane],
        "Limits": {"Cancel": True, "MaxAttempts": 3, "MayProbe": True, "SecondCopies": True},
        "Report": {"Source": "off"},
        "Rules": {"ColdFrom": 0.3, "WarmAfter": 9000.0, "FallMultiple": 4.0, "OverloadFor": 3000.0},
    }
    mix = {"Whole": 0.4, "WorstClass": 0.3, "WorstWindow": 0.2}
    assert to_decision_settings(convert_checked(platform, PlatformSettings, "settings")).worst_class_share == 0.0
    assert to_decision_settings(
        convert_checked(platform | {"ScoringMix": mix}, PlatformSettings, "settings")
    ).worst_class_share == pytest.approx(0.75)
