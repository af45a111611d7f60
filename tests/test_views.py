"""Partial views of simulated proxies that shuffle over a lossy network. No sockets, no clock, fixed seeds."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from cranebank.membership.partial_view import (
    FETCH_DELAY_S,
    MAX_AGE_ROUNDS,
    MAX_NEIGHBOURS,
    ConfigState,
    FetchEnded,
    FetchFrom,
    PartialView,
    ProxiesNamed,
    RevisionShown,
    SendShuffle,
    ShuffleReceived,
    Tick,
)

STEP = 0.1


class Network:
    """Proxies with their views; a datagram arrives after one step or is lost."""

    def __init__(self, count: int, loss: float, seed: int) -> None:
        self.random, self.loss, self.now = Random(seed), loss, 0.0
        self.views: dict[str, PartialView] = {}
        self.dead: set[str] = set()
        self.sent: Counter[str] = Counter()
        self._on_way: list[tuple[str, SendShuffle]] = []
        for number in range(count):
            self.join(f"10.0.0.{number + 1}", [f"10.0.0.{self.random.randrange(count) + 1}" for _ in range(3)])

    def join(self, ip: str, named: list[str]) -> None:
        self.views[ip] = PartialView(ip, Random(ip))
        self.views[ip].handle(self.now, ProxiesNamed(tuple(named)))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            arriving, self._on_way = self._on_way, []
            for source, shuffle in arriving:
                if shuffle.ip in self.views and shuffle.ip not in self.dead and self.random.random() >= self.loss:
                    self._take(shuffle.ip, ShuffleReceived(source, shuffle.view, shuffle.is_reply, shuffle.exchange))
            for ip in self.views:
                if ip not in self.dead:
                    self._take(ip, Tick(1))

    def _take(self, ip: str, event: ShuffleReceived | Tick) -> None:
        for action in self.views[ip].handle(self.now, event):
            assert isinstance(action, SendShuffle)
            self.sent[ip] += 1
            self._on_way.append((ip, action))

    def reached(self, start: str) -> set[str]:
        """Return the proxies that are connected with ``start`` through views, in either direction."""
        links: dict[str, set[str]] = {ip: set() for ip in self.views}
        for ip, views in self.views.items():
            for other in views.neighbours:
                if other in links and not {ip, other} & self.dead:
                    links[ip].add(other)
                    links[other].add(ip)
        found, edge = {start}, [start]
        while edge:
            for other in links[edge.pop()] - found:
                found.add(other)
                edge.append(other)
        return found


@pytest.mark.parametrize("loss", [0.0, 0.02, 0.2])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_views_of_forty_stay_connected_and_bounded(loss: float, seed: int) -> None:
    network = Network(40, loss, seed)
    for _ in range(12):
        network.run(5.0)
        assert all(len(views.neighbours) <= MAX_NEIGHBOURS for views in network.views.values())
        assert len(network.reached("10.0.0.1")) == 40
    known = Counter(other for views in network.views.values() for other in views.neighbours)
    assert len(known) == 40 and max(known.values()) <= 3 * MAX_NEIGHBOURS
    if loss < 0.1:
        assert all(len(views.neighbours) >= MAX_NEIGHBOURS - 2 for views in network.views.values())
    assert max(network.sent.values()) <= 60 * 6, "a proxy sends a few shuffles a second at most"


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_dead_vanish_from_every_view_and_the_rest_stay_connected(seed: int) -> None:
    network = Network(40, 0.02, seed)
    network.run(20.0)
    network.dead = {f"10.0.0.{number}" for number in range(25, 41)}
    network.run(MAX_AGE_ROUNDS * 1.1 + 2.0)
    alive = set(network.views) - network.dead
    assert not any(set(network.views[ip].neighbours) & network.dead for ip in alive)
    assert network.reached("10.0.0.1") == alive


def test_a_proxy_that_joins_by_one_neighbour_gets_known() -> None:
    network = Network(40, 0.02, 5)
    network.run(20.0)
    network.join("10.0.1.1", ["10.0.0.7"])
    network.run(25.0)
    assert sum("10.0.1.1" in views.neighbours for views in network.views.values()) >= 3
    assert len(network.views["10.0.1.1"].neighbours) >= MAX_NEIGHBOURS // 2


def test_in_a_small_fleet_everybody_keeps_everybody() -> None:
    network = Network(9, 0.02, 4)
    network.run(20.0)
    full = 0
    for _ in range(20):
        network.run(1.0)
        full += sum(len(views.neighbours) == 8 for views in network.views.values())
    assert full >= 0.97 * 9 * 20


def test_who_has_lost_everybody_begins_again_with_those_named_last() -> None:
    views = PartialView("10.0.0.1", Random(1))
    views.handle(0.0, ProxiesNamed(("10.0.0.1", "10.0.0.2")))
    asked = Counter(
        action.ip
        for step in range(100)
        for action in views.handle(step * STEP, Tick(1))
        if isinstance(action, SendShuffle)
    )
    assert set(asked) == {"10.0.0.2"} and 8 <= asked["10.0.0.2"] <= 24


def test_what_no_honest_neighbour_sends_changes_nothing() -> None:
    views = PartialView("10.0.0.1", Random(1))
    bad = (
        ("10.0.0.1", 0),
        ("localhost", 0),
        ("10.0.0.9", -1),
        ("10.0.0.9", MAX_AGE_ROUNDS + 1),
        ("", 0),
        ("10.0.0.009", 0),
    )
    views.handle(0.0, ShuffleReceived("10.0.0.2", bad, False))
    assert views.ages == {"10.0.0.2": 0}
    views.handle(0.0, ShuffleReceived("10.0.0.3", (("10.0.0.4", 0),), True))  # a reply to nothing
    views.handle(0.0, ShuffleReceived("10.0.0.1", (("10.0.0.4", 0),), False))
    assert views.ages == {"10.0.0.2": 0}
    views.handle(0.0, ShuffleReceived("10.0.0.3", tuple((f"10.1.0.{n}", 0) for n in range(200)), False))
    assert len(views.neighbours) <= MAX_NEIGHBOURS


def test_who_is_behind_waits_for_its_controllers_and_then_fetches_once() -> None:
    views = PartialView("10.0.0.1", Random(1))
    assert views.handle(0.0, RevisionShown("10.0.0.2", 5)) == []
    assert not _fetches(views, 0.0, 4) and _standing(views) is ConfigState.BEHIND
    assert not _fetches(views, FETCH_DELAY_S - 0.01, 4)
    assert _fetches(views, FETCH_DELAY_S, 4) == [FetchFrom("10.0.0.2")]
    assert not _fetches(views, 5.0, 4) and _standing(views) is ConfigState.FETCHING
    views.handle(5.0, FetchEnded())
    assert not _fetches(views, 9.0, 4), "nobody has shown it since"
    views.handle(9.0, RevisionShown("10.0.0.3", 5))
    assert not _fetches(views, 9.0, 4)
    assert not _fetches(views, 9.2, 5) and _standing(views) is ConfigState.CURRENT, "a controller has pushed it"
    views.handle(9.3, RevisionShown("10.0.0.3", 5))
    assert not _fetches(views, 12.0, 5) and _standing(views) is ConfigState.CURRENT


def _fetches(views: PartialView, now: float, revision: int) -> list[FetchFrom]:
    return [action for action in views.handle(now, Tick(revision)) if isinstance(action, FetchFrom)]


def _standing(views: PartialView) -> ConfigState:
    return views.config_state


def test_a_reply_to_an_earlier_shuffle_is_not_taken_for_one_to_the_present() -> None:
    """A late reply of a neighbour that has died must not keep it in the view: its IP alone doesn't identify a reply."""
    views = PartialView("10.0.0.1", Random(1))
    views.handle(0.0, ProxiesNamed(("10.0.0.2",)))
    (first,) = views.handle(0.0, Tick(1))
    assert isinstance(first, SendShuffle)
    views.handle(0.1, ShuffleReceived("10.0.0.2", (), True, first.exchange))
    (second,) = views.handle(2.0, Tick(1))
    assert isinstance(second, SendShuffle) and second.exchange != first.exchange
    views.handle(2.1, ShuffleReceived("10.0.0.2", (), True, first.exchange))
    (again,) = views.handle(2.4, Tick(1))
    assert again == second, "the shuffle is sent once more with the same number"
    views.handle(2.8, Tick(1))
    assert not views.neighbours
