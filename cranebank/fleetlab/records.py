"""The records that clients, backends and the operator of a day keep. Times are seconds on one monotonic clock."""

from __future__ import annotations

import math

import msgspec

TRANSIENT_STATUSES = frozenset({0, 408, 429})  # they don't mean that the call itself is wrong


class Bounds(msgspec.Struct, frozen=True):
    """The limits of the rules, named as in the settings file."""

    contact_ms: float = 3000
    ack_ms: float = 4000
    drain_ms: float = 2000
    grace_s: float = 8
    loss_slack_ms: float = 200
    apply_ms: float = 2000
    revert_ms: float = 250
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 20
    lease_ms: float = 3000
    merge_ms: float = 3000
    cold_over: float = 1.5
    cold_slack: float = 5
    evacuate_ms: float = 5000


class StreamEvent(msgspec.Struct, frozen=True):
    """One event of a stream: its number, and the attempt and run that it names."""

    number: int
    attempt: str
    run: str


class Try(msgspec.Struct):
    """One try of a client and its outcome."""

    request: int  # shared by all tries of a request
    attempt: str
    proxy: str
    life: int  # incarnation of the proxy's process, as known to the platform
    method: str
    host: str
    path: str
    digest: str  # of the body
    sent: float
    repeatable: bool
    events_due: int
    is_probe: bool = False  # sent directly to a proxy, to find which configuration is in force
    gave_up: float = 0.0  # when the client stopped waiting
    connected: bool = False
    status: int = 0  # 0: no response head was received
    whole: bool = False  # the answer looked complete
    is_http: bool = True  # the bytes were valid HTTP
    answer_attempt: str = ""
    seal: str = ""
    events: tuple[StreamEvent, ...] = ()
    event_times: tuple[float, ...] = ()
    ended: float = 0.0


class Arrival(msgspec.Struct):
    """One request that reached a backend."""

    at: float
    service: str
    instance: str
    attempt: str
    method: str
    path: str
    digest: str
    kind: str  # "read" if X-Stage was prefill, else "make"
    after: int = 0  # Last-Event-Id
    status: int = 0
    not_run: bool = False
    run: str = ""  # set once the request has begun to run
    ran_at: float = 0.0
    kept: int = 0  # prompt tokens by origin: cached here, computed here, and moved here from another backend
    read: int = 0
    moved: int = 0
    events_made: int = 0
    whole: bool = False  # the last part of the answer was written
    broke_off: bool = False  # the backend itself broke off the answer
    handle_of: str = ""  # the attempt whose prompt handle was used


class RouteRule(msgspec.Struct, frozen=True):
    """The services to which a configuration routes one host and prefix."""

    host: str
    prefix: str
    services: tuple[str, ...]


class Change(msgspec.Struct):
    """One configuration sent by an operator."""

    revision: int
    base: int
    routes: tuple[RouteRule, ...]  # of the whole resulting configuration
    digest: str  # of the whole resulting configuration
    sent: float
    valid: bool = True
    acked: float | None = None
    refused: bool = False
    answered: float = 0.0  # when the definite answer came


class OrderSeen(msgspec.Struct, frozen=True):
    """A stage order that reached a backend, and its answer."""

    at: float
    instance: str
    owner: str
    fence_no: int
    stage: str
    status: int


class Drain(msgspec.Struct):
    """The drain of a backend."""

    instance: str
    announced: float
    acked: float | None = None
    ended: float | None = None


class Trouble(msgspec.Struct, frozen=True):
    """A period in which a machine (a proxy's name, or ``core``) was in trouble; planned if by SIGTERM."""

    machine: str
    begin: float
    end: float
    what: str
    planned: bool = False


class ReadBack(msgspec.Struct, frozen=True):
    """The configuration as read at the end; revision 0 if it could not be read."""

    at: float
    revision: int
    digest: str


class Reading(msgspec.Struct, frozen=True):
    """A configuration that a controller returned as the newest at some time of the run."""

    sent: float
    answered: float
    revision: int
    digest: str


class InjectedFault(msgspec.Struct):
    """A fault as it was injected; ``end`` is the time at which it had healed completely."""

    kind: str
    begin: float
    end: float = math.inf
    victims: str = ""


class Health(msgspec.Struct, frozen=True):
    """The capacity that could serve at a time, by the laboratory's own actions and not by the processes' views.

    ``backends`` counts the decode backends of each service that are healthy, can be reached by all running proxies and
    reach a controller themselves. It is 1 if a service has had only prefill backends for a while."""

    at: float
    proxies: int  # running, and with enough time to start up
    all_proxies: int
    ready: int  # proxies to which the platform sends new connections
    controllers_lost: int  # down, paused, cut off from most others, or restarted too recently
    backends: dict[str, int]


class TallyCall(msgspec.Struct):
    """One call of an application for a tally at one machine. All calls for an add share its id."""

    tally: str
    id: str  # of the add; empty for a reading
    amount: int
    machine: str  # name of the controller
    life: int  # incarnation of its process when the call was sent
    sent: float
    ended: float = math.inf  # infinite while the call is open
    status: int = 0  # 0: no whole answer was received
    total: int | None = None  # the answer to a reading
    is_last: bool = False  # a reading at the end of the day, after merge_ms without trouble

    @property
    def is_acknowledged(self) -> bool:
        """Whether the call is an add that was acknowledged."""
        return bool(self.id) and 200 <= self.status < 300


class ColdTime(msgspec.Struct, frozen=True):
    """A period in which a backend is cold, and how many requests per second it can take then."""

    instance: str
    begin: float
    end: float
    warmup_per_s: float


class EvacuationOrder(msgspec.Struct):
    """An operator's order to evacuate a zone (Start) or to end its evacuation (Finish)."""

    zone: str
    is_start: bool
    sent: float  # when it was first sent
    acked: float | None = None
    refused_with: int = 0  # the status that ended the order

    @property
    def is_refused(self) -> bool:
        """Whether the order was refused for good, although it was valid."""
        return self.refused_with not in TRANSIENT_STATUSES

    @property
    def outcome(self) -> str:
        """A description of the outcome."""
        if self.acked is not None:
            return f"acknowledged after {self.acked - self.sent:.2f} s"
        return f"refused with {self.refused_with}" if self.refused_with else "no definite answer"


class DiskLoss(msgspec.Struct, frozen=True):
    """The loss of a machine's disk."""

    machine: str
    at: float


class BrokenLinks(msgspec.Struct):
    """A period in which links between these controllers were cut."""

    machines: tuple[str, ...]
    begin: float
    end: float = math.inf


class DayRecord(msgspec.Struct):
    """All records of a day."""

    bounds: Bounds = Bounds()
    begun: float = 0.0
    ended: float = 0.0
    tries: list[Try] = []
    arrivals: list[Arrival] = []
    changes: list[Change] = []
    drains: list[Drain] = []
    troubles: list[Trouble] = []
    read_back: ReadBack | None = None
    stray: list[str] = []  # bytes received on clients' connections without a pending request
    primaries: list[tuple[float, str]] = []  # the primary controller at sampled times
    exits: list[tuple[str, int]] = []  # processes that ended unexpectedly, with their exit codes
    readings: list[Reading] = []
    orders: list[OrderSeen] = []
    faults: list[InjectedFault] = []
    skipped: list[str] = []  # kinds of faults that found no victim
    health: list[Health] = []
    tally_calls: list[TallyCall] = []
    disk_losses: list[DiskLoss] = []
    broken_links: list[BrokenLinks] = []
    cold_times: list[ColdTime] = []
    evacuations: list[EvacuationOrder] = []
    backend_zones: dict[str, str] = {}  # by instance
    violations: list[str] = []  # of invariants, and errors in process logs
