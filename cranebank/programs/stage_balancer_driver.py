"""The asyncio end of the stage balancer: shows it how things stand, and carries its orders to backends.

The lease is looked at once more right before an order is written, with nothing awaited in between. A connection whose
order has no whole answer is reset, so that no byte of it arrives later.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Annotated

import msgspec
from loguru import logger

from cranebank.background import BackgroundTasks
from cranebank.control.consensus import ConsensusCore
from cranebank.control.epochs import OrderIntent
from cranebank.control.registry import MAX_COUNT, Registry
from cranebank.control.stage_balancer import BalancerSettings, StageBalancer
from cranebank.control.stage_events import (
    Action,
    Answered,
    AskReport,
    Authority,
    Connect,
    Connected,
    Event,
    NotConnected,
    Observation,
    Order,
    Reported,
    Service,
    Transmit,
    Unanswered,
    Unreported,
)
from cranebank.programs.settings import NodeSettings
from cranebank.transport.http_client import HttpLink, connect, request_bytes
from cranebank.transport.messages import Backend, HoldOff, StageLoad

LOOK_S = 0.25
CONNECT_S = 0.4
ORDER_ANSWER_TIMEOUT_S = 0.6  # a backend answers an order at once; one that is slower may have taken it
MARGIN_S = 0.2  # for clocks that run at different rates, and timers that go off late
ANSWER_BYTES = 64 << 10
MS_PER_S = 1000.0


def takeover_wait_s(settings: NodeSettings) -> float:
    """How long a new primary leaves alone whom a former one may have ordered: the last such order has then arrived or
    been reset for longer than the rule's lease time."""
    return settings.bounds.lease_ms / MS_PER_S + ORDER_ANSWER_TIMEOUT_S + MARGIN_S


class _Target(msgspec.Struct):
    target: str | None = None


class _Route(_Target):
    branches: tuple[_Target, ...] = ()


class _Engine(msgspec.Struct):
    switch_s: float = 1.0


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None


class _Document(msgspec.Struct):
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()


_document_decoder = msgspec.json.Decoder(_Document, strict=False)


def read_services(document: bytes) -> dict[str, Service]:
    """The services of a configuration that have engines and that a route leads to."""
    if not document:
        return {}
    try:
        read = _document_decoder.decode(document)
    except msgspec.MsgspecError as error:
        logger.warning("services of the configuration: {}", error)
        return {}
    routed = {target.target for route in read.routes for target in (route, *route.branches)}
    return {
        service.name: Service(service.name, service.engine.switch_s)
        for service in read.services
        if service.engine is not None and service.name in routed
    }


class _Report(msgspec.Struct):
    stage: str
    busy: bool = False
    call_seq: Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)] = 0


class StageBalancerDriver:
    """A controller's stage balancer with its timer and its calls to backends."""

    def __init__(
        self,
        settings: NodeSettings,
        now: Callable[[], float],
        consensus: ConsensusCore,
        holds_lease: Callable[[], bool],
        registry: Registry,
        loads: Callable[[float], Mapping[str, StageLoad]] = lambda now: {},
        hold_off: Callable[[HoldOff], None] = lambda message: None,
        record_intents: Callable[[tuple[OrderIntent, ...]], None] = lambda intents: None,
    ) -> None:
        """``loads`` tells what proxies ask of each service's stages; ``hold_off`` sends a message to all proxies;
        ``record_intents`` has the replicated record name these orders."""
        self._record_intents = record_intents
        self._now, self._consensus, self._holds_lease, self._registry = now, consensus, holds_lease, registry
        self._loads, self._hold_off = loads, hold_off
        self._held: set[str] = set()  # backends that proxies were told to send nothing to
        self.balancer = StageBalancer(
            BalancerSettings(settings.node_name, takeover_wait_s(settings), settings.beat_ms / MS_PER_S)
        )
        self._services: dict[str, Service] = {}
        self._revision = -1
        self._tasks = BackgroundTasks()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Look, and again and again."""
        self._timer = asyncio.get_running_loop().call_later(LOOK_S, self.start)
        self._look()

    def stop(self) -> None:
        """Send nothing more; orders without an answer are reset."""
        if self._timer is not None:
            self._timer.cancel()
        self._tasks.cancel()

    def _look(self) -> None:
        now, authority = self._now(), self._authority()
        if authority.holds_lease:
            self._read_configuration()
        registry = self._registry
        is_current = registry.is_current(now)
        loads = self._loads(now) if authority.holds_lease else {}
        records = self._outside_evacuated_zones(registry.records)
        self._feed(Observation(authority, self._services, records, registry.heard_at, is_current, loads))
        if authority.holds_lease:
            self._keep_recorded(authority, self.balancer.intents(now))

    def _evacuated(self) -> frozenset[str]:
        return frozenset(self._consensus.status(self._now()).evacuated)

    def _outside_evacuated_zones(self, records: Mapping[str, Backend]) -> Mapping[str, Backend]:
        """Those that may be sent anything; the balancer knows of no others."""
        evacuated = self._evacuated()
        if not evacuated:
            return records
        return {name: record for name, record in records.items() if record.zone not in evacuated}

    def _keep_recorded(self, authority: Authority, intents: tuple[OrderIntent, ...] | None) -> None:
        if intents is not None and authority.recorded != {intent.backend: intent.stage for intent in intents}:
            self._record_intents(intents)

    def _authority(self) -> Authority:
        status = self._consensus.status(self._now())
        recorded = None
        if status.intents is not None:
            recorded = {intent.backend: intent.stage for intent in status.intents}
        return Authority(self._holds_lease(), status.term, status.epoch, recorded)

    def _read_configuration(self) -> None:
        current = self._consensus.current
        if current is not None and current[0] != self._revision:
            self._revision, document, _ = current
            self._services = read_services(document)

    def _feed(self, event: Event) -> None:
        actions = self.balancer.handle(self._now(), event)
        self._tell_held()
        for action in actions:
            self._do(action)

    def _tell_held(self) -> None:
        """Proxies send nothing to a backend from the decision to order it until its new stage is known."""
        held = self.balancer.held(self._now())
        for name in held.keys() - self._held:
            self._hold_off(HoldOff(name, held[name]))
        for name in self._held - held.keys():
            self._hold_off(HoldOff(name, 0.0))
        self._held = set(held)

    def _do(self, action: Action) -> None:
        match action:
            case Connect(number, backend):
                self._tasks.start(self._order(number, backend))
            case AskReport(number, backend):
                self._tasks.start(self._report(number, backend))
            case Transmit():
                raise AssertionError("an order is written where its connection was told of")

    async def _order(self, number: int, backend: Backend) -> None:
        connection = await connect(backend.address, CONNECT_S, max_bytes=ANSWER_BYTES)
        if connection is None:
            self._feed(NotConnected(number))
            return
        try:
            connection.reset_on_close(True)
            # From the look at the zone and the lease to the writing of the order nothing is awaited.
            if backend.zone in self._evacuated():
                self._feed(NotConnected(number))
                return
            actions = self.balancer.handle(self._now(), Connected(number, self._authority()))
            transmit = next((action for action in actions if isinstance(action, Transmit)), None)
            if transmit is not None:
                await self._transmit(connection, backend, transmit)
        finally:
            connection.close()

    async def _transmit(self, connection: HttpLink, backend: Backend, transmit: Transmit) -> None:
        answer = await connection.ask(order_request(backend, transmit.order), ORDER_ANSWER_TIMEOUT_S)
        logger.info("order to {}: {} -> {}", backend.id, transmit.order, answer.status)
        if answer.whole:
            connection.reset_on_close(False)
            self._feed(Answered(transmit.number, answer.status))
        else:
            connection.close()
            self._feed(Unanswered(transmit.number))

    async def _report(self, number: int, backend: Backend) -> None:
        connection = await connect(backend.address, CONNECT_S, max_bytes=ANSWER_BYTES)
        if connection is None:
            self._feed(Unreported(number))
            return
        try:
            if backend.zone in self._evacuated():
                self._feed(Unreported(number))
                return
            headers = {"Host": backend.address, "X-Target-Instance": backend.id}
            answer = await connection.ask(request_bytes("GET", "/api/report", headers), ORDER_ANSWER_TIMEOUT_S)
        finally:
            connection.close()
        if answer.status != 200 or not answer.whole:
            self._feed(Unreported(number))
            return
        try:
            report = msgspec.json.decode(answer.body, type=_Report)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            logger.warning("report of {}: {}", backend.id, error)
            self._feed(Unreported(number))
            return
        self._feed(Reported(number, report.stage, report.busy, report.call_seq))


def order_request(backend: Backend, order: Order) -> bytes:
    """An order as it goes on the wire. It names the incarnation, so that no later one at the address takes it."""
    headers = {"Host": backend.address, "Content-Type": "application/json", "X-Target-Instance": backend.id}
    return request_bytes("POST", "/api/order", headers, msgspec.json.encode(order))
