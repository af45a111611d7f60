"""What goes in and out of the decision module: settings, events, actions.

No decision is taken here. All times and durations are milliseconds; ``now``
and every absolute time is on the clock that the host passes to ``handle``.
"""

from __future__ import annotations

from enum import Enum, IntEnum

import msgspec


class Effect(Enum):
    """How a class of request may be repeated."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The servers that drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(IntEnum):
    """The result of one attempt (or probe)."""

    OK = 200
    MOOT = 410
    CANCELLED = 499
    ERROR = 500
    CONNECT_FAILED = 502
    FULL = 503
    TIMEOUT = 504
    RESET = 598


class ServerState(Enum):
    """What discovery says of a server's process."""

    IN = "in"
    DRAINING = "draining"
    OUT = "out"


class ListKind(Enum):
    """What a message from discovery holds."""

    CHANGES = "changes"
    ALL = "all"
    REMEMBERED = "remembered"
    REFUSED = "refused"


class ReportSource(Enum):
    """Where load reports come from."""

    ANSWERS = "answers"
    PROBE = "probe"
    NONE = "none"


class RequestClass(msgspec.Struct, frozen=True):
    """A class of request and what it is worth."""

    aim: float
    deadline: float
    effect: Effect
    group: Group = Group.ALL
    late_worth: float = 0.0
    repeat_window: float = 0.0
    streaming: bool = False
    worth: float = 1.0
    aim_stretch: float = 0.0


class Settings(msgspec.Struct, frozen=True):
    """What an instance is told at its start."""

    classes: tuple[RequestClass, ...]
    quotas: tuple[float, ...] = ()  # per tenant: requests per second within its share, over all copies
    copies: int = 1  # instances of this tier that share the servers
    zone: int = 0
    layer: int = 0
    layers: int = 1
    slot: int = -1  # this copy's number among them; -1 where it isn't told
    watch_by_asking: bool = False
    report_source: ReportSource = ReportSource.ANSWERS
    may_probe: bool = False
    may_cancel: bool = False
    second_copies: bool = False
    sends_retry_after: bool = False
    max_retry_after: float = 0.0
    max_attempts: int = 1
    passes_deadline: bool = True
    worth_by_work: bool = False
    over_share_worth: float = 1.0
    worst_class_share: float = 0.0  # of the goal: the class that fares worst, against the whole
    cross_zone_price: float = 0.0
    probe_price: float = 0.0
    waste_price: float = 0.0
    handshake_price: float = 0.0
    tick: float = 1.0
    connect_timeout: float = 250.0
    answer_slack: float = 0.0
    ask_within: float = 10000.0
    cold_from: float = 1.0
    warm_after: float = 0.0
    fall_multiple: float = 3.0
    overload_for: float = 1000.0
    removals_are_advisory: bool = False  # a server called gone without having drained may still be sent to
    idle_after: float = 15000.0  # idle connections are closed after this
    shares_connections: bool = True  # several calls at once over one connection


class ServerEntry(msgspec.Struct, frozen=True):
    """One line of the server list; ``started`` is 0 for long past."""

    server: str
    zone: int = 0
    cell: int = 0
    size: float = 1.0
    state: ServerState = ServerState.IN
    started: float = 0.0
    kind: int = 0  # of machine, by the settings' names; a number beyond them where the list tells another


class ServerList(msgspec.Struct, frozen=True):
    """Event: discovery's word on the servers."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


class Request(msgspec.Struct, frozen=True):
    """Event: a request arrived; one final answer is owed within ``time_left``."""

    request: str
    class_index: int
    time_left: float
    tenant: int = 0
    key: str | None = None
    cost: float | None = None
    resubmitted: bool = False


class StreamStarted(msgspec.Struct, frozen=True):
    """Event: the answer of a streamed class has begun."""

    request: str
    attempt: int
    server: str


class RequestGone(msgspec.Struct, frozen=True):
    """Event: the client left; nothing more is owed."""

    request: str


class AttemptResult(msgspec.Struct, frozen=True):
    """Event: the one outcome of an attempt. ``load`` holds the report's known figures.

    ``unproven``: a connection failed, and that is no proof that nobody listens (a wire that can't tell leaves it out).
    """

    request: str
    attempt: int
    server: str
    outcome: Outcome
    took: float
    finished: bool
    load: dict[str, float] | None = None
    unproven: bool = False


class ProbeResult(msgspec.Struct, frozen=True):
    """Event: the result of a probe; ``unproven`` as for an attempt."""

    server: str
    outcome: Outcome
    took: float
    load: dict[str, float] | None = None
    unproven: bool = False


class TimerFired(msgspec.Struct, frozen=True):
    """Event: a timer fell due."""

    name: str


Event = ServerList | Request | StreamStarted | RequestGone | AttemptResult | ProbeResult | TimerFired


class Send(msgspec.Struct, frozen=True):
    """Start an attempt; ``timeout`` 0 means until the client gives up."""

    request: str
    server: str
    timeout: float = 0.0


class Refuse(msgspec.Struct, frozen=True):
    """Final answer: refused, trying again is harmless."""

    request: str
    retry_after: float = 0.0


class Fail(msgspec.Struct, frozen=True):
    """Final answer: failed, nothing promised."""

    request: str


class Cancel(msgspec.Struct, frozen=True):
    """Stop waiting for an attempt."""

    request: str
    attempt: int


class Probe(msgspec.Struct, frozen=True):
    """Ask a server for its health and load."""

    server: str


class SetTimer(msgspec.Struct, frozen=True):
    """Ask for a ``TimerFired`` at ``at``."""

    at: float
    name: str


class Watch(msgspec.Struct, frozen=True):
    """Subscribe to changes of the server list (or stop)."""

    enable: bool = True


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Watch
