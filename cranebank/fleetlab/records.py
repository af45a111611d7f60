"""What clients, backends and the operator of a day wrote down. Times in seconds on one steady clock."""

from __future__ import annotations

import math

import msgspec

MAY_PASS = frozenset({0, 408, 429})  # statuses that say nothing against a call itself


class Bounds(msgspec.Struct, frozen=True):
    """The figures of the rules, named as in the settings file."""

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
    """One event of a stream: its number, and the attempt and the run it says it belongs to."""

    number: int
    attempt: str
    run: str


class Try(msgspec.Struct):
    """One try of a client, and what came back."""

    request: int  # tries of one request share it
    attempt: str
    proxy: str
    life: int  # of the proxy's process, as far as the platform knows
    method: str
    host: str
    path: str
    digest: str  # of the body
    sent: float
    repeatable: bool
    events_due: int
    is_probe: bool = False  # sent directly, to see which configuration is in force
    gave_up: float = 0.0  # when the client stopped waiting
    connected: bool = False
    status: int = 0  # 0: no head came
    whole: bool = False  # it looked complete
    is_http: bool = True  # the bytes could be read
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
    kind: str  # make, or read: X-Stage was prefill
    after: int = 0  # Last-Event-Id
    status: int = 0
    not_run: bool = False
    run: str = ""  # once it has begun
    ran_at: float = 0.0
    kept: int = 0  # tokens of its prompt that were kept here, read here and moved here
    read: int = 0
    moved: int = 0
    events_made: int = 0
    whole: bool = False  # the last piece was written
    broke_off: bool = False  # by the backend itself
    handle_of: str = ""  # the attempt whose prompt handle it went on from


class RouteRule(msgspec.Struct, frozen=True):
    """What a configuration says of one host and prefix."""

    host: str
    prefix: str
    services: tuple[str, ...]


class Change(msgspec.Struct):
    """One configuration that an operator sent."""

    revision: int
    base: int
    routes: tuple[RouteRule, ...]  # of the whole configuration that it makes
    digest: str  # of that whole configuration
    sent: float
    valid: bool = True
    acked: float | None = None
    refused: bool = False
    answered: float = 0.0  # when the clear answer came


class OrderSeen(msgspec.Struct, frozen=True):
    """An order that reached a backend, and its answer."""

    at: float
    instance: str
    owner: str
    fence_no: int
    stage: str
    status: int


class Drain(msgspec.Struct):
    """A backend that announced its end."""

    instance: str
    announced: float
    acked: float | None = None
    ended: float | None = None


class Trouble(msgspec.Struct, frozen=True):
    """A time in which a machine (a proxy's name, or ``core``) was in trouble; planned: by SIGTERM."""

    machine: str
    begin: float
    end: float
    what: str
    planned: bool = False


class ReadBack(msgspec.Struct, frozen=True):
    """The configuration as read at the end; revision 0: it didn't come."""

    at: float
    revision: int
    digest: str


class Reading(msgspec.Struct, frozen=True):
    """A configuration that a controller answered as the newest, whenever it was asked."""

    sent: float
    answered: float
    revision: int
    digest: str


class InjectedFault(msgspec.Struct):
    """A fault as it happened; ``end`` is when all of it had healed."""

    kind: str
    begin: float
    end: float = math.inf
    victims: str = ""


class Health(msgspec.Struct, frozen=True):
    """What could have served at a time, by what the laboratory itself did: it knows nothing of what processes think.

    ``backends`` counts the decode backends of each service that are well, can be reached by all proxies that run and
    reach a controller themselves. Where a service has had none for a while but prefill ones, it is 1."""

    at: float
    proxies: int  # that run and have had time to come up
    all_proxies: int
    ready: int  # proxies that the platform sends new connections to
    controllers_lost: int  # down, standing still, cut off from most others, or back for too short a time
    backends: dict[str, int]


class TallyCall(msgspec.Struct):
    """One call of an application for a tally at one machine; calls for the same add share its id."""

    tally: str
    id: str  # of the add; empty for a reading
    amount: int
    machine: str  # a controller's name
    life: int  # of its process when the call was sent
    sent: float
    ended: float = math.inf  # open until then
    status: int = 0  # 0: no whole answer came
    total: int | None = None  # what a reading answered
    is_last: bool = False  # a reading at the end of the day, once nothing had been wrong for merge_ms

    @property
    def is_acknowledged(self) -> bool:
        """Whether it is an add that was taken."""
        return bool(self.id) and 200 <= self.status < 300


class ColdTime(msgspec.Struct, frozen=True):
    """A time in which a backend is cold, and how many requests a second it bears then."""

    instance: str
    begin: float
    end: float
    warmup_per_s: float


class EvacuationOrder(msgspec.Struct):
    """A zone that the operator ordered to be emptied (Start), or taken back (Finish)."""

    zone: str
    is_start: bool
    sent: float  # for the first time
    acked: float | None = None
    refused_with: int = 0  # the status that ended it

    @property
    def is_refused(self) -> bool:
        """Whether the answer was that it will never be done, though it was proper."""
        return self.refused_with not in MAY_PASS

    @property
    def outcome(self) -> str:
        """What became of it, in words."""
        if self.acked is not None:
            return f"acknowledged after {self.acked - self.sent:.2f} s"
        return f"refused with {self.refused_with}" if self.refused_with else "no clear answer"


class DiskLoss(msgspec.Struct, frozen=True):
    """A machine that lost its disk."""

    machine: str
    at: float


class BrokenLinks(msgspec.Struct):
    """A time in which links between these controllers and others of them were cut."""

    machines: tuple[str, ...]
    begin: float
    end: float = math.inf


class DayRecord(msgspec.Struct):
    """Everything."""

    bounds: Bounds = Bounds()
    begun: float = 0.0
    ended: float = 0.0
    tries: list[Try] = []
    arrivals: list[Arrival] = []
    changes: list[Change] = []
    drains: list[Drain] = []
    troubles: list[Trouble] = []
    read_back: ReadBack | None = None
    stray: list[str] = []  # bytes on clients' connections where no request was waiting
    primaries: list[tuple[float, str]] = []  # who was primary
    exits: list[tuple[str, int]] = []  # processes that ended by themselves
    readings: list[Reading] = []
    orders: list[OrderSeen] = []
    faults: list[InjectedFault] = []
    skipped: list[str] = []  # kinds of faults that found nobody to strike
    health: list[Health] = []
    tally_calls: list[TallyCall] = []
    disk_losses: list[DiskLoss] = []
    broken_links: list[BrokenLinks] = []
    cold_times: list[ColdTime] = []
    evacuations: list[EvacuationOrder] = []
    backend_zones: dict[str, str] = {}  # by instance
    violations: list[str] = []  # of invariants, and errors in the logs of processes
