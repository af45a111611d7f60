"""What the stage balancer is told, and what it asks for: its inputs, events and actions."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType

import msgspec

from cranebank.transport.messages import Backend, StageLoad


class Stage(StrEnum):
    """The part of a request that a backend does."""

    PREFILL = "prefill"
    DECODE = "decode"

    @property
    def other(self) -> Stage:
        """The stage that a backend of this one can be ordered to."""
        return Stage.DECODE if self is Stage.PREFILL else Stage.PREFILL


class Authority(msgspec.Struct, frozen=True):
    """Whether this controller is the primary by a lease that runs now, the epoch at which it took over, and the newest
    epoch, which is the fence of its orders. ``recorded``: the orders that the replicated record names, stage by
    backend; None where it was written by a version that names none."""

    holds_lease: bool
    term: int = -1
    fence: int = -1
    recorded: Mapping[str, str] | None = None


class Service(msgspec.Struct, frozen=True):
    """A service that requests are routed to; a change of a backend's stage takes ``switch_s``."""

    name: str
    switch_s: float = 1.0


class Order(msgspec.Struct, frozen=True):
    """The body of ``POST /api/order``. ``expected`` is the number of orders that the backend has taken so far."""

    stage: str
    owner: str
    fence_no: int
    order_kind: str = "stage"
    expected: int | msgspec.UnsetType = msgspec.UNSET


# Events.


class Observation(msgspec.Struct, frozen=True):
    """How things stand now: the services by name, the registry's records by the backend's id, and when the newest
    heartbeat of each was received by any controller. ``is_registry_current``: a backend that has no record isn't there.
    ``loads``: what proxies ask of each service's stages, as far as it is known.
    """

    authority: Authority
    services: Mapping[str, Service]
    records: Mapping[str, Backend]
    heard_at: Mapping[str, float]
    is_registry_current: bool
    loads: Mapping[str, StageLoad] = MappingProxyType({})


class Connected(msgspec.Struct, frozen=True):
    """The connection for an order stands; ``authority`` as it is now. Where no Transmit is the answer, it is closed."""

    number: int
    authority: Authority


class NotConnected(msgspec.Struct, frozen=True):
    """There is no connection: nothing was sent."""

    number: int


class Answered(msgspec.Struct, frozen=True):
    """The backend has answered an order."""

    number: int
    status: int


class Unanswered(msgspec.Struct, frozen=True):
    """No whole answer to an order came in time: it may have been taken."""

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
    """Connect to a backend, and tell Connected or NotConnected."""

    number: int
    backend: Backend


class Transmit(msgspec.Struct, frozen=True):
    """Write this order on the connection, with nothing awaited before; tell Answered or Unanswered."""

    number: int
    order: Order


class AskReport(msgspec.Struct, frozen=True):
    """Ask a backend for its report; tell Reported or Unreported."""

    number: int
    backend: Backend


Action = Connect | Transmit | AskReport
