"""Relaying of registry messages through proxies between controllers that have no connection to each other."""

from __future__ import annotations

from random import Random

import pytest

from cranebank.control.delivery import Delivery
from cranebank.programs.registry_relay import RELAY_FANOUT, RELAYED_CONTACT_TIMEOUT_S, ROUTE_RETENTION_S, RegistryRelay
from cranebank.transport.frames import Decoder
from cranebank.transport.links import Link
from cranebank.transport.messages import Backend, Message, RegistrySync, RelayTo

OTHER = "10.0.0.2"
PROXIES = 40
SYNC = RegistrySync((Backend("i", "s", "10.0.0.9:80", "z", "", 1, "ready", 4),), (("i", 4, 100),), 7, ("j",))


class RecordingLink(Link):
    """A link that records the messages sent."""

    def __init__(self, sent: list[tuple[Link, Message]]) -> None:
        super().__init__(None, False)  # type: ignore[arg-type]
        self.up, self._sent = True, sent

    def send_frame(self, frame: bytes) -> bool:
        """Record the messages of the frame."""
        self._sent += [(self, message) for message in Decoder().feed(frame)]
        return True


class Scene:
    """A controller with many proxies and another controller; messages to a third controller are relayed."""

    def __init__(self) -> None:
        self.sent: list[tuple[Link, Message]] = []
        self.delivery = Delivery("here", Random(1), lambda _now, _revision: True)
        self.relay = RegistryRelay(self.delivery, Random(2))
        self.proxies = [RecordingLink(self.sent) for _ in range(PROXIES)]
        for number, link in enumerate(self.proxies):
            self.delivery.join(0.0, link, f"p{number}", f"10.0.1.{number}", True, 0, ())
        self.delivery.join(0.0, RecordingLink(self.sent), "c", "10.0.0.3", False, 0, ())
        self.delivery.pop_messages()

    def ways(self) -> list[Link]:
        """Send a message to the unconnected controller and return the links it was sent on."""
        self.sent.clear()
        self.relay.send(OTHER, SYNC)
        return [link for link, _ in self.sent]


def test_a_message_goes_by_a_few_proxies_and_its_number_does_not() -> None:
    scene = Scene()
    used = {link for _ in range(60) for link in scene.ways()}
    assert {len(scene.ways()) for _ in range(9)} == {RELAY_FANOUT}
    assert used == set(scene.proxies)
    assert scene.sent[0][1] == RelayTo(OTHER, RegistrySync(SYNC.backends, SYNC.heard, 0, SYNC.requested_ids))


def test_the_proxy_that_brought_something_last_is_always_used_while_its_link_is_up() -> None:
    scene = Scene()
    scene.relay.received(5.0, OTHER, scene.proxies[7])
    scene.relay.received(5.0, "10.0.0.4", scene.proxies[8])
    for _ in range(20):
        ways = scene.ways()
        assert scene.proxies[7] in ways and len(set(ways)) == RELAY_FANOUT
    scene.proxies[7].up = False
    scene.delivery.leave(scene.proxies[7])
    assert all(scene.proxies[7] not in scene.ways() for _ in range(20))


@pytest.mark.parametrize(
    ("after", "is_heard"), [(0.0, True), (RELAYED_CONTACT_TIMEOUT_S, True), (RELAYED_CONTACT_TIMEOUT_S + 0.01, False)]
)
def test_a_controller_is_heard_for_a_while_after_its_last_message(after: float, is_heard: bool) -> None:
    scene = Scene()
    scene.relay.received(5.0, OTHER, scene.proxies[7])
    assert scene.relay.is_heard(5.0 + after, OTHER) is is_heard
    assert not scene.relay.is_heard(5.0, "10.0.0.4")


def test_without_proxies_nothing_is_sent() -> None:
    relay = RegistryRelay(Delivery("here", Random(1), lambda _now, _revision: True), Random(2))
    relay.send(OTHER, SYNC)


def test_connections_that_are_over_are_not_kept() -> None:
    """Controllers are replaced at other addresses, so the state of silent ones must be dropped."""
    scene = Scene()
    for number in range(50):
        scene.relay.received(float(number), f"10.0.2.{number}", scene.proxies[0])
    assert scene.relay.is_heard(49.0, "10.0.2.49")
    assert scene.relay.remembered <= ROUTE_RETENTION_S + 1
