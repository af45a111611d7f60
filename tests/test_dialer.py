"""Timing of the dialer on the simulated loop and network: when it dials, and that it sleeps in between."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from contextvars import Context
from itertools import pairwise
from typing import Any

import pytest
from controlsim.loop import Handle, ProcessLoop, Scheduler, process_loop
from controlsim.network import Network, Transport

from cranebank.transport import links
from cranebank.transport.links import DIAL_TIMEOUT_S, LINK_HEARTBEAT_INTERVAL_S, REDIAL_BACKOFF_S, Dialer, Link, listen
from cranebank.transport.messages import Message

HERE, THERE, SILENT, REFUSING = "10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"
PORT = 7000
NETWORK_S = 0.01  # longer than a connection takes to be established or refused, shorter than any pause
SHORTEST_S, LONGEST_S = REDIAL_BACKOFF_S


class Owner:
    """Keeps the links that are up."""

    def __init__(self) -> None:
        self.up: list[Link] = []
        self.closes_at_once = False

    def link_up(self, link: Link) -> None:
        """Add the link, and close it if configured."""
        self.up.append(link)
        if self.closes_at_once:
            link.close()

    def link_message(self, link: Link, message: Message) -> None:
        """Ignore the message."""

    def link_down(self, link: Link) -> None:
        """Remove the link."""
        self.up.remove(link)


class CountingNetwork(Network):
    """Records when each address is dialled."""

    def __init__(self, scheduler: Scheduler) -> None:
        super().__init__(scheduler, 1)
        self.dialled: defaultdict[str, list[float]] = defaultdict(list)

    async def connect(
        self, loop: ProcessLoop, factory: Callable[[], Any], local: str, remote: str, port: int
    ) -> tuple[Transport, Any]:
        """Record the time, and dial."""
        self.dialled[remote].append(self.scheduler.now)
        return await super().connect(loop, factory, local, remote, port)


class CountingLoop(ProcessLoop):
    """Counts its timers; each wakes the process once."""

    timers = 0

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> Handle:
        """Count the timer."""
        self.timers += 1
        return super().call_at(when, callback, *args, context=context)


class Scene:
    """A dialling process and an accepting one."""

    def __init__(self) -> None:
        self.scheduler = Scheduler()
        self.network = CountingNetwork(self.scheduler)
        self.loop = CountingLoop(self.scheduler, "dialling")  # type: ignore[abstract]
        self.loop.network, self.loop.ip = self.network, HERE
        self.other_loop = process_loop(self.scheduler, self.network, "accepting", THERE)
        self.owner, self.other_owner = Owner(), Owner()
        self.other_loop.call_soon(lambda: self.other_loop.create_task(listen(self.other_owner, THERE, PORT)))
        self.network.without_power.add(SILENT)

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        self.scheduler.run_until(self.scheduler.now + seconds)
        assert self.loop.errors == [] == self.other_loop.errors

    def dial(self, *ips: str) -> list[Dialer]:
        """Start dialers for these addresses."""
        dialers: list[Dialer] = []
        self.loop.call_soon(lambda: dialers.extend(Dialer(self.owner, HERE, ip, PORT) for ip in ips))
        self.run(NETWORK_S)
        return dialers

    def call(self, what: Callable[[], object]) -> None:
        """Call something within the dialling process."""
        self.loop.call_soon(what)
        self.run(0.0)

    def pauses(self, ip: str) -> list[float]:
        """Return the times between the attempts at an address."""
        dialled = self.network.dialled[ip]
        return [later - earlier for earlier, later in pairwise(dialled)]


def test_a_dialer_whose_link_stands_wakes_nobody() -> None:
    """Only the heartbeats of the link itself use timers."""
    scene = Scene()
    (dialer,) = scene.dial(THERE)
    assert dialer.link is not None and scene.owner.up == [dialer.link]
    scene.loop.timers = 0
    seconds = 40.0
    scene.run(seconds)
    assert scene.loop.timers == pytest.approx(seconds / LINK_HEARTBEAT_INTERVAL_S, abs=1)
    assert len(scene.network.dialled[THERE]) == 1


def test_a_lost_link_is_dialled_again_after_the_first_pause() -> None:
    scene = Scene()
    (dialer,) = scene.dial(THERE)
    for lost in range(1, 6):
        scene.run(1.0 + 0.013 * lost)
        assert scene.network.reset(HERE) == 1
        begin = scene.scheduler.now
        scene.run(SHORTEST_S / 2)
        assert dialer.link is None and scene.owner.up == []
        scene.run(SHORTEST_S / 2 + NETWORK_S)
        assert scene.network.dialled[THERE][lost] - begin == pytest.approx(SHORTEST_S)
        assert scene.owner.up == [dialer.link]


def test_a_link_that_its_owner_closes_is_dialled_again() -> None:
    scene = Scene()
    (dialer,) = scene.dial(THERE)
    scene.run(1.0)
    assert dialer.link is not None
    first = dialer.link
    scene.call(first.close)
    scene.run(SHORTEST_S + NETWORK_S)
    assert dialer.link is not None and dialer.link is not first and scene.owner.up == [dialer.link]


@pytest.mark.parametrize("closes_here", [False, True], ids=["there", "here"])
def test_links_that_are_closed_at_once_are_dialled_no_faster_than_two_pauses_apart(closes_here: bool) -> None:
    scene = Scene()
    (scene.owner if closes_here else scene.other_owner).closes_at_once = True
    scene.dial(THERE)
    scene.run(3.0)
    pauses = scene.pauses(THERE)
    assert len(pauses) > 20
    assert min(pauses) >= 2 * SHORTEST_S and max(pauses) < 2 * SHORTEST_S + NETWORK_S


def test_a_refused_dial_is_tried_again_with_pauses_that_grow_to_the_longest() -> None:
    scene = Scene()
    scene.dial(REFUSING)
    scene.run(3.0)
    first, second, third, *others = scene.pauses(REFUSING)
    assert (first, second, third) == pytest.approx((SHORTEST_S, 2 * SHORTEST_S, LONGEST_S), abs=NETWORK_S)
    assert len(others) > 10
    assert others == pytest.approx([LONGEST_S] * len(others), abs=NETWORK_S)


def test_a_dial_that_nothing_answers_is_given_up_in_time_and_tried_again() -> None:
    scene = Scene()
    scene.dial(SILENT)
    scene.run(5.0)
    first, second, third, *others = scene.pauses(SILENT)
    assert (first, second, third) == pytest.approx(
        (DIAL_TIMEOUT_S + SHORTEST_S, DIAL_TIMEOUT_S + 2 * SHORTEST_S, DIAL_TIMEOUT_S + LONGEST_S), abs=NETWORK_S
    )
    assert others == pytest.approx([DIAL_TIMEOUT_S + LONGEST_S] * len(others), abs=NETWORK_S)


def test_a_peer_that_comes_back_is_dialled_within_the_longest_pause_and_a_dial_and_the_pauses_begin_anew() -> None:
    scene = Scene()
    scene.network.without_power.add(THERE)
    (dialer,) = scene.dial(THERE)
    scene.run(7.0)
    scene.network.without_power.discard(THERE)
    scene.run(DIAL_TIMEOUT_S + LONGEST_S + NETWORK_S)
    assert scene.owner.up == [dialer.link]
    scene.run(1.0)
    scene.network.reset(HERE)
    scene.run(SHORTEST_S + NETWORK_S)
    assert scene.owner.up == [dialer.link]


def test_addresses_that_refuse_or_are_silent_hold_up_no_other() -> None:
    scene = Scene()
    _, standing, _ = scene.dial(SILENT, THERE, REFUSING)
    assert scene.owner.up == [standing.link]
    scene.run(4.0)
    alone = Scene()
    alone.dial(REFUSING)
    alone.run(4.0)
    assert scene.pauses(REFUSING) == pytest.approx(alone.pauses(REFUSING), abs=NETWORK_S)
    assert len(scene.pauses(SILENT)) >= 6


def test_a_link_that_was_reset_before_anybody_looked_at_it_is_dialled_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Such a transport has no peer name: the owner isn't notified of it, and the dialer must not wait for its end."""
    scene = Scene()
    original = Transport.get_extra_info
    nameless = iter([True])

    def get_extra_info(self: Transport, name: str, default: Any = None) -> Any:
        if name == "peername" and self.loop is scene.loop and next(nameless, False):
            return None
        return original(self, name, default)

    monkeypatch.setattr(Transport, "get_extra_info", get_extra_info)
    (dialer,) = scene.dial(THERE)
    assert scene.owner.up == []
    scene.run(2 * SHORTEST_S + NETWORK_S)
    assert dialer.link is not None and scene.owner.up == [dialer.link]


@pytest.mark.parametrize("ip", [THERE, SILENT, REFUSING])
@pytest.mark.parametrize("after_s", [0.0, 0.0005, 0.02, 0.2, 0.4])
def test_a_stopped_dialer_dials_no_more_and_leaves_no_link(ip: str, after_s: float) -> None:
    scene = Scene()
    dialers: list[Dialer] = []
    scene.loop.call_soon(lambda: dialers.append(Dialer(scene.owner, HERE, ip, PORT)))
    scene.run(after_s)
    scene.call(dialers[0].stop)
    attempts = len(scene.network.dialled[ip])
    scene.run(5.0)
    assert len(scene.network.dialled[ip]) == attempts
    assert scene.owner.up == [] == scene.other_owner.up
    assert scene.network.transports == {}


def test_a_dial_that_is_given_up_in_the_instant_in_which_it_succeeds_leaves_no_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Exactly one link remains, whether or not the one that came too late was up for a moment."""
    for tenths_of_ms in range(1, 40):
        monkeypatch.setattr(links, "DIAL_TIMEOUT_S", tenths_of_ms / 10_000)
        scene = Scene()
        dialers = scene.dial(THERE)
        scene.run(2.0)
        monkeypatch.setattr(links, "DIAL_TIMEOUT_S", DIAL_TIMEOUT_S)
        scene.run(2.0)
        assert scene.owner.up == [dialers[0].link]
        assert len(scene.network.transports) == 2 and len(scene.other_owner.up) == 1


def test_a_link_tells_of_its_end_once_it_is_over() -> None:
    scene = Scene()
    (dialer,) = scene.dial(THERE)
    link = dialer.link
    assert link is not None and not link.ended.is_set()
    ended: list[float] = []

    async def wait() -> None:
        await link.ended.wait()
        ended.append(scene.scheduler.now)

    scene.call(lambda: scene.loop.create_task(wait()))
    scene.run(1.0)
    assert ended == []
    scene.network.reset(HERE)
    begin = scene.scheduler.now
    scene.run(NETWORK_S)
    assert ended == [begin] and not link.up
