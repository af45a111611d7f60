"""Inputs, events and actions of the stage balancer."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType

import msgspec

from cranebank.transport.messages import Backend, StageLoad


class Stage(StrEnum):
    """The part of a request that a backend processes."""

    PREFILL = "prefill"
    DECODE = "decode"

    @property
    def other(self) -> Stage:
        """The stage to which a backend of this stage can be ordered."""
        return Stage.DECODE if self is Stage.PREFILL else Stage.PREFILL


class Authority(msgspec.Struct, frozen=True):
    """Authority of this controller to send orders.

    ``holds_lease``: it is the primary under a valid lease; ``term``: the epoch at which it took over; ``fence``: the
    newest epoch, the fencing number of its orders; ``recorded``: the orders that the replicated record names, stage by
    backend, None if the record was written by a version without them.
    """

    holds_lease: bool
    term: int = -1
    fence: int = -1
    recorded: Mapping[str, str] | None = None


class Service(msgspec.Struct, frozen=True):
    """A routed service; a backend takes ``switch_s`` to change its stage."""

    name: str
    switch_s: float = 1.0


class Order(msgspec.Struct, frozen=True):
    """The body of ``POST /api/order``. ``expected`` is the number of orders that the backend has accepted so far."""

    stage: str
    owner: str
    fence_no: int
    order_kind: str = "stage"
    expected: int | msgspec.UnsetType = msgspec.UNSET


# Events.


class Observation(msgspec.Struct, frozen=True):
    """A snapshot of the services by name, the registry's records by backend id, and the times of their newest
    heartbeats at any controller. ``is_registry_current``: a backend without a record does not exist. ``loads``: the
    load of each service's stages by the proxies' reports, as far as known.
    """

    authority: Authority
    services: Mapping[str, Service]
    records: Mapping[str, Backend]
    heard_at: Mapping[str, float]
    is_registry_current: bool
    loads: Mapping[str, StageLoad] = MappingProxyType({})


class Connected(msgspec.Struct, frozen=True):
    """The connection for an order is open; ``authority`` is the present one. Without Transmit, it is closed again."""

    number: int
    authority: Authority


class NotConnected(msgspec.Struct, frozen=True):
    """The connection failed; nothing was sent."""

    number: int


class Answered(msgspec.Struct, frozen=True):
    """The backend has answered an order."""

    number: int
    status: int


class Unanswered(msgspec.Struct, frozen=True):
    """No complete answer to an order came in time; the backend may have accepted it."""

    number: int


class Reported(msgspec.Struct, frozen=True):
    """A backend's report, some hundred milliseconds old."""

    number: int
    stage: str
    is_busy: bool
    orders_taken: int


class Unreported(msgspec.Struct, frozen=True):
    """No report came in time."""

    number: int


Event = Observation | Connected | NotConnected | Answered | Unanswered | Reported | Unreported

# Actions.


class Connect(msgspec.Struct, frozen=True):
    """Connect to a backend, then pass Connected or NotConnected."""

    number: int
    backend: Backend


class Transmit(msgspec.Struct, frozen=True):
    """Write this order on the connection without awaiting anything before; then pass Answered or Unanswered."""

    number: int
    order: Order


class AskReport(msgspec.Struct, frozen=True):
    """Request a backend's report, then pass Reported or Unreported."""

    number: int
    backend: Backend


Action = Connect | Transmit | AskReport
