"""The driver of the stage balancer reports every outcome of a call to the balancer."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from single_node_consensus import SingleNodeConsensus

from cranebank.control import events
from cranebank.control.registry import Registry
from cranebank.control.stage_events import (
    Action,
    AskReport,
    Connect,
    Connected,
    Event,
    NotConnected,
    Observation,
    Order,
    Reported,
    Transmit,
    Unreported,
)
from cranebank.programs import stage_balancer_driver
from cranebank.programs.settings import NodeSettings
from cranebank.programs.stage_balancer_driver import StageBalancerDriver
from cranebank.transport.http_client import Answer
from cranebank.transport.messages import Backend

BACKEND = Backend("i-1", "s", "10.0.0.9:80", "z", "prefill", 8, "ready", 1)


class Connection:
    """Answers every request in the same way."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.asked: list[bytes] = []

    async def ask(self, request: bytes, seconds: float) -> Answer:
        self.asked.append(request)
        return Answer(200, body=self._body, whole=True)

    def close(self) -> None:
        pass

    def reset_on_close(self, is_on: bool) -> None:
        pass


class RecordingBalancer:
    """Records the events that it is given."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        self.events.append(event)
        return [Transmit(event.number, Order("decode", "n", 1, expected=1))] if isinstance(event, Connected) else []

    def switching_backends(self, now: float) -> dict[str, float]:
        return {}


def driver_of(consensus: SingleNodeConsensus) -> tuple[StageBalancerDriver, RecordingBalancer]:
    """Return a driver and its balancer, which records events."""
    settings = NodeSettings("n", "10.0.0.1", "z", (7000, 7009), ())
    driver = StageBalancerDriver(settings, lambda: 0.0, consensus, lambda: True, Registry(0.0, 1.0))
    balancer = RecordingBalancer()
    driver.balancer = balancer  # type: ignore[assignment]
    return driver, balancer


async def events_after(action: Action) -> list[Event]:
    """Return the events that the balancer is given once this action is done."""
    driver, balancer = driver_of(SingleNodeConsensus("10.0.0.1", {}))
    driver._execute(action)
    await asyncio.gather(*driver._tasks._tasks, return_exceptions=True)
    return balancer.events


@pytest.mark.parametrize(
    ("body", "event"),
    [
        (b'{"stage": "decode", "busy": true, "call_seq": 2}', Reported(3, "decode", True, 2)),
        (b"{", Unreported(3)),
        (b'{"stage": "\xff"}', Unreported(3)),
        (b'{"stage": "decode", "more": ' + b"[" * 30_000 + b"]" * 30_000 + b"}", Unreported(3)),
        (b'{"stage": "decode", "call_seq": 1' + b"0" * 30 + b"}", Unreported(3)),
    ],
    ids=["good", "no JSON", "no UTF-8", "too deep", "a number that no order can bear"],
)
def test_any_report_is_told(body: bytes, event: Event, monkeypatch: pytest.MonkeyPatch) -> None:
    async def connect(address: str, seconds: float, max_bytes: int) -> Connection:
        return Connection(body)

    monkeypatch.setattr(stage_balancer_driver, "connect", connect)
    assert asyncio.run(events_after(AskReport(3, BACKEND))) == [event]


@pytest.mark.parametrize(
    ("action", "event"), [(Connect(3, BACKEND), NotConnected(3)), (AskReport(3, BACKEND), Unreported(3))]
)
def test_nothing_is_sent_to_a_zone_that_is_evacuated_while_the_connection_is_made(
    action: Action, event: Event, monkeypatch: pytest.MonkeyPatch
) -> None:
    consensus, connection = SingleNodeConsensus("10.0.0.1", {}), Connection(b'{"stage": "decode"}')

    async def connect(address: str, seconds: float, max_bytes: int) -> Connection:
        consensus.handle(0.0, events.Evacuate(1, BACKEND.zone, True))
        return connection

    async def scenario() -> None:
        monkeypatch.setattr(stage_balancer_driver, "connect", connect)
        driver, balancer = driver_of(consensus)
        driver._execute(action)
        await asyncio.gather(*driver._tasks._tasks)
        assert balancer.events == [event] and connection.asked == []

    asyncio.run(scenario())


def test_the_balancer_sees_no_backend_of_an_evacuated_zone() -> None:
    consensus = SingleNodeConsensus("10.0.0.1", {})
    driver, balancer = driver_of(consensus)
    driver._registry.merge(0.0, [BACKEND, msgspec.structs.replace(BACKEND, id="i-2", zone="y")])
    consensus.handle(0.0, events.Evacuate(1, "y", True))
    balancer.intents = lambda now: None  # type: ignore[attr-defined]
    driver._check()
    (look,) = balancer.events
    assert isinstance(look, Observation) and set(look.records) == {"i-1"}


@pytest.mark.parametrize("address", ["..:80", "10.0.0.9:\u00b2", "nowhere"])
def test_an_address_that_is_none_cannot_be_connected_to(address: str) -> None:
    backend = Backend("i-1", "s", address, "z", "prefill", 8, "ready", 1)
    assert asyncio.run(events_after(Connect(3, backend))) == [NotConnected(3)]
    assert asyncio.run(events_after(AskReport(3, backend))) == [Unreported(3)]


def test_an_order_names_the_incarnation_that_it_is_for() -> None:
    """The address may belong to another backend by the time the order arrives."""
    backend = Backend("i-7", "s", "10.0.0.9:80", "z", "prefill", 4, "ready", 1)
    head, _, body = stage_balancer_driver.order_request(backend, Order("decode", "node-1", 41, expected=2)).partition(
        b"\r\n\r\n"
    )
    assert head.startswith(b"POST /api/order HTTP/1.1\r\n")
    assert b"X-Target-Instance: i-7" in head.split(b"\r\n")
    assert msgspec.json.decode(body) == {
        "order_kind": "stage",
        "stage": "decode",
        "owner": "node-1",
        "fence_no": 41,
        "expected": 2,
    }
