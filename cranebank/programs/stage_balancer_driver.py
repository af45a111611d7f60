"""Runs the stage balancer of a controller: gives it the current state, and carries out its calls to backends.

The lease is checked once more right before an order is written, with no await in between. The connection of an order
that was not answered completely is reset, so that none of its bytes can arrive later.
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

CHECK_INTERVAL_S = 0.25
CONNECT_TIMEOUT_S = 0.4
ORDER_ANSWER_TIMEOUT_S = 0.6  # a backend answers an order at once; one that takes longer may still have accepted it
CLOCK_MARGIN_S = 0.2  # for clocks that run at different rates, and timers that fire late
MAX_ANSWER_BYTES = 64 << 10
MS_PER_S = 1000.0


def takeover_wait_s(settings: NodeSettings) -> float:
    """Return how long a new primary must not order backends that a former primary may have ordered.

    After that time the former primary's last order has been received or reset for longer than the lease time of the
    rules.
    """
    return settings.bounds.lease_ms / MS_PER_S + ORDER_ANSWER_TIMEOUT_S + CLOCK_MARGIN_S


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
    """Return the services of a configuration that have an engine and are the target of a route."""
    if not document:
        return {}
    try:
        decoded = _document_decoder.decode(document)
    except msgspec.MsgspecError as error:
        logger.warning("cannot read the services of the configuration: {}", error)
        return {}
    routed = {target.target for route in decoded.routes for target in (route, *route.branches)}
    return {
        service.name: Service(service.name, service.engine.switch_s)
        for service in decoded.services
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
        """``loads`` returns the load that proxies offer to each service's stages; ``hold_off`` sends a message to all
        proxies; ``record_intents`` stores these orders in the replicated record."""
        self._record_intents = record_intents
        self._now, self._consensus, self._holds_lease, self._registry = now, consensus, holds_lease, registry
        self._loads, self._hold_off = loads, hold_off
        self._held: set[str] = set()  # backends that proxies have been asked to send nothing to
        self.balancer = StageBalancer(
            BalancerSettings(settings.node_name, takeover_wait_s(settings), settings.beat_ms / MS_PER_S)
        )
        self._services: dict[str, Service] = {}
        self._revision = -1
        self._tasks = BackgroundTasks()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Check the stages at once, and again every CHECK_INTERVAL_S."""
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self.start)
        self._check()

    def stop(self) -> None:
        """Stop ordering; connections of unanswered orders are reset."""
        if self._timer is not None:
            self._timer.cancel()
        self._tasks.cancel()

    def _check(self) -> None:
        now, authority = self._now(), self._authority()
        if authority.holds_lease:
            self._read_configuration()
        registry = self._registry
        is_current = registry.is_current(now)
        loads = self._loads(now) if authority.holds_lease else {}
        records = self._outside_evacuated_zones(registry.records)
        self._feed(Observation(authority, self._services, records, registry.heard_at, is_current, loads))
        if authority.holds_lease:
            self._record_if_changed(authority, self.balancer.intents(now))

    def _evacuated(self) -> frozenset[str]:
        return frozenset(self._consensus.status(self._now()).evacuated)

    def _outside_evacuated_zones(self, records: Mapping[str, Backend]) -> Mapping[str, Backend]:
        """Return the records outside evacuated zones: the balancer must send nothing to the others."""
        evacuated = self._evacuated()
        if not evacuated:
            return records
        return {name: record for name, record in records.items() if record.zone not in evacuated}

    def _record_if_changed(self, authority: Authority, intents: tuple[OrderIntent, ...] | None) -> None:
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
        self._update_hold_offs()
        for action in actions:
            self._execute(action)

    def _update_hold_offs(self) -> None:
        """Have proxies send nothing to a backend from the decision to order it until its new stage is known."""
        held = self.balancer.switching_backends(self._now())
        for name in held.keys() - self._held:
            self._hold_off(HoldOff(name, held[name]))
        for name in self._held - held.keys():
            self._hold_off(HoldOff(name, 0.0))
        self._held = set(held)

    def _execute(self, action: Action) -> None:
        match action:
            case Connect(number, backend):
                self._tasks.start(self._send_order(number, backend))
            case AskReport(number, backend):
                self._tasks.start(self._fetch_report(number, backend))
            case Transmit():
                raise AssertionError("Transmit is expected only as the answer to Connected")

    async def _send_order(self, number: int, backend: Backend) -> None:
        connection = await connect(backend.address, CONNECT_TIMEOUT_S, max_bytes=MAX_ANSWER_BYTES)
        if connection is None:
            self._feed(NotConnected(number))
            return
        try:
            connection.reset_on_close(True)
            # No await between the check of zone and lease and the writing of the order.
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
        logger.info("order to backend {}: {}, answered {}", backend.id, transmit.order, answer.status)
        if answer.whole:
            connection.reset_on_close(False)
            self._feed(Answered(transmit.number, answer.status))
        else:
            connection.close()
            self._feed(Unanswered(transmit.number))

    async def _fetch_report(self, number: int, backend: Backend) -> None:
        connection = await connect(backend.address, CONNECT_TIMEOUT_S, max_bytes=MAX_ANSWER_BYTES)
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
            logger.warning("backend {} sent an invalid stage report: {}", backend.id, error)
            self._feed(Unreported(number))
            return
        self._feed(Reported(number, report.stage, report.busy, report.call_seq))


def order_request(backend: Backend, order: Order) -> bytes:
    """Return an order as HTTP request bytes.

    It names the backend's instance id, so that a later process at the same address does not accept it.
    """
    headers = {"Host": backend.address, "Content-Type": "application/json", "X-Target-Instance": backend.id}
    return request_bytes("POST", "/api/order", headers, msgspec.json.encode(order))
