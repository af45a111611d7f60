"""The interface of the decision module: settings, events, actions.

All times and durations are in milliseconds; ``now`` and all absolute times are
on the clock that the caller passes to ``handle``.
"""

from __future__ import annotations

from enum import Enum, IntEnum

import msgspec


class Effect(Enum):
    """Whether a request may be repeated: always, with its key within a window, or never once it may have run."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The servers among which a repeat of a keyed request is recognised and dropped."""

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
    """The state of a server's process as discovery reports it."""

    IN = "in"
    DRAINING = "draining"
    OUT = "out"


class ListKind(Enum):
    """The kind of a message from discovery."""

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
    """A class of request: its latency aim, deadline, how it may be repeated, and what an answer is worth."""

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
    """Settings that an instance is started with."""

    classes: tuple[RequestClass, ...]
    quotas: tuple[float, ...] = ()  # by tenant: requests per second within its quota, over all copies
    copies: int = 1  # instances of this tier that share the servers
    zone: int = 0
    layer: int = 0
    layers: int = 1
    slot: int = -1  # this copy's number among the copies; -1: unknown
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
    worst_class_share: float = 0.0  # weight of the class served worst in the score; the rest is the overall share
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
    removals_are_advisory: bool = False  # a server that leaves the list without draining may still be sent to
    idle_after: float = 15000.0  # idle connections are closed after this
    shares_connections: bool = True  # a connection carries several calls at once


class ServerEntry(msgspec.Struct, frozen=True):
    """One entry of the server list; ``started`` is 0 for a start long past."""

    server: str
    zone: int = 0
    cell: int = 0
    size: float = 1.0
    state: ServerState = ServerState.IN
    started: float = 0.0
    kind: int = 0  # of machine: index into the settings' names; one beyond them for other kinds


class ServerList(msgspec.Struct, frozen=True):
    """Event: the server list from discovery, or changes to it."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


class Request(msgspec.Struct, frozen=True):
    """Event: a request arrived; it must get one final answer within ``time_left``."""

    request: str
    class_index: int
    time_left: float
    tenant: int = 0
    key: str | None = None
    cost: float | None = None
    resubmitted: bool = False


class StreamStarted(msgspec.Struct, frozen=True):
    """Event: the answer to a request of a streaming class has begun."""

    request: str
    attempt: int
    server: str


class RequestGone(msgspec.Struct, frozen=True):
    """Event: the client disconnected; no answer is needed any more."""

    request: str


class AttemptResult(msgspec.Struct, frozen=True):
    """Event: the one outcome of an attempt. ``load``: the known values of the load report that came with it.

    ``unproven``: a connection failed, but a process may still listen there (left out where the wire can't tell).
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
    """Event: a timer expired."""

    name: str


Event = ServerList | Request | StreamStarted | RequestGone | AttemptResult | ProbeResult | TimerFired


class Send(msgspec.Struct, frozen=True):
    """Start an attempt; ``timeout`` 0 means until the client gives up."""

    request: str
    server: str
    timeout: float = 0.0


class Refuse(msgspec.Struct, frozen=True):
    """Final answer: refused; a repeat is harmless."""

    request: str
    retry_after: float = 0.0


class Fail(msgspec.Struct, frozen=True):
    """Final answer: failed; the request may or may not have run."""

    request: str


class Cancel(msgspec.Struct, frozen=True):
    """Stop waiting for an attempt."""

    request: str
    attempt: int


class Probe(msgspec.Struct, frozen=True):
    """Request a server's health and load."""

    server: str


class SetTimer(msgspec.Struct, frozen=True):
    """Request a ``TimerFired`` event at ``at``."""

    at: float
    name: str


class Watch(msgspec.Struct, frozen=True):
    """Subscribe to changes of the server list, or unsubscribe."""

    enable: bool = True


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Watch
