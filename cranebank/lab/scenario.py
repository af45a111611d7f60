"""Typed and checked contents of scenario and experiment files. No I/O.

Names end in their units, ``_ms`` or ``_s``; work is the time that a request takes on one core of speed 1.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,59}$")]
Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0, le=1e6)]
NonNegative = Annotated[float, Meta(ge=0.0, le=1e6)]
Count = Annotated[int, Meta(ge=0, le=100_000)]

POLICIES = Literal["cranebank", "random", "least-outstanding", "oracle"]
HOST_FAULTS = (
    "kill",
    "stop",
    "pause",
    "slow",
    "cold",
    "refuse",
    "reset",
    "spoil",
    "swallow",
    "half-open",
    "report-delay",
)
FLEET_FAULTS = ("deploy", "shared-slow", "lose-zone", "partition")
DISCOVERY_FAULTS = ("discovery-late", "discovery-lie", "discovery-down")
PROXY_FAULTS = ("proxy-kill", "proxy-restart")
FAULTS = Literal[
    "kill",
    "stop",
    "pause",
    "slow",
    "cold",
    "refuse",
    "reset",
    "spoil",
    "swallow",
    "half-open",
    "report-delay",
    "deploy",
    "shared-slow",
    "lose-zone",
    "partition",
    "discovery-late",
    "discovery-lie",
    "discovery-down",
    "proxy-kill",
    "proxy-restart",
]


class Load(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Open-loop arrivals of first tries, in requests per second; ``file`` is a trace (see docs/lab.md)."""

    shape: Literal["poisson", "steady", "wave", "step", "trace"] = "poisson"
    rate: Positive = 50.0
    swing: Fraction = 0.3  # wave: amplitude as a fraction of the rate
    period_s: Positive = 10.0  # wave: length of a period
    step_at_s: NonNegative = 0.0  # step: when the rate changes
    step_to: Positive = 100.0  # step: the rate after the change
    file: str = ""
    keys: Annotated[int, Meta(ge=1, le=1_000_000_000)] = 1_000_000  # number of keys that keyed requests draw from
    connections: Annotated[int, Meta(ge=1, le=20_000)] = 1000  # maximum of client connections to all proxies

    def __post_init__(self) -> None:
        if (self.shape == "trace") != bool(self.file):
            raise ValueError("expected file where shape is trace, and only there")


class Clients(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Behaviour of clients: a try times out after ``try_part`` of the class's deadline, and is then repeated."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    try_part: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.6
    backoff_ms: NonNegative = 60.0  # mean delay before a retry, doubled with each try
    honour: Fraction = 1.0  # fraction of clients that obey Retry-After
    notice_s: NonNegative = 1.0  # time for which the front avoids a dead proxy
    impatient: Fraction = 0.0  # fraction of tries that the client abandons before the timeout


class Class(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A class of requests."""

    name: Name
    share: Fraction
    work_ms: Positive
    cv: NonNegative = 0.4  # coefficient of variation of the work (lognormal); 0: constant
    attempt_noise: NonNegative = 0.1  # coefficient of variation between the legs of one request
    aim_ms: Positive
    deadline_ms: Positive
    worth: NonNegative = 1.0
    late_worth: Fraction = 0.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    window_ms: NonNegative = 0.0  # keyed: time for which hosts ignore the effect of a repeat

    def __post_init__(self) -> None:
        if self.aim_ms > self.deadline_ms:
            raise ValueError(f"expected aim_ms ({self.aim_ms}) to be at most deadline_ms ({self.deadline_ms})")
        if self.effect == "keyed" and not self.window_ms:
            raise ValueError("expected window_ms where effect is keyed")


class Tenant(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A tenant: its fraction of the traffic, and its quota as a rate per second (0: no quota)."""

    name: Name
    share: Fraction
    quota: NonNegative = 0.0


class Kind(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A kind of hosts."""

    name: Name
    count: Annotated[int, Meta(ge=1, le=100_000)]
    cores: Annotated[int, Meta(ge=1, le=1024)] = 2
    speed: Positive = 1.0
    speed_cv: NonNegative = 0.1
    slots: Annotated[int, Meta(ge=1, le=100_000)] = 24  # maximum of requests in progress
    queue: Count = 40  # maximum of queued requests
    thrash: Fraction = 0.0  # loss of capacity per doubling of the slots in use beyond the cores
    error_rate: Fraction = 0.0


class Choke(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Slow mode: starts after ``over_s`` with more than ``at`` requests queued per core, ends when mostly idle."""

    at: Positive
    over_s: Positive = 2.0  # time above ``at`` before slow mode starts
    slower: Annotated[float, Meta(ge=1.0, le=100.0)] = 2.5  # slowdown factor
    rest_s: Positive = 3.0  # time mostly idle before slow mode ends
    below: Fraction = 0.4  # mostly idle means less than this fraction of the cores busy
    most_s: Positive = 20.0  # longest duration of slow mode


class Tier(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One tier of hosts and the proxies in front of it, which the tier above (or the clients) calls."""

    name: Name
    kind: Annotated[tuple[Kind, ...], Meta(min_length=1)]
    work: Fraction = 1.0  # its fraction of a request's work
    calls: Annotated[float, Meta(ge=0.0, le=10.0)] = 1.0  # mean number of calls to the next tier per request
    proxies: Annotated[int, Meta(ge=0, le=1000)] = 2  # 0: one per host of the tier above
    processes: Annotated[int, Meta(ge=1, le=64)] = 1  # number of processes that run the hosts
    choke: Choke | None = None


class Cold(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Cold starts: capacity rises linearly from ``share`` to 1 over ``warm_s``; too much work fails a cold host."""

    share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.4
    warm_s: NonNegative = 5.0
    fall_multiple: Annotated[float, Meta(ge=1.0, le=1000.0)] = 4.0  # a host fails above this multiple of its capacity
    fall_s: Annotated[float, Meta(gt=0.0, le=1000.0)] = 3.0  # window over which the work is counted


class Connections(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Connections from proxies to hosts."""

    handshake_ms: NonNegative = 2.0  # work of the host for a new connection
    cap: Annotated[int, Meta(ge=1, le=100_000)] = 1200  # maximum per host
    idle_s: Positive = 15.0
    dial_timeout_ms: Positive = 250.0


class Reports(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Load reports (``inflight`` and ``queue``), on probes or with answers: sampled periodically, delivered late."""

    source: Literal["probe", "answers", "none"] = "probe"
    period_ms: Positive = 100.0
    delay_ms: NonNegative = 50.0
    probe_ms: NonNegative = 1.0  # work of the host for a probe


class Discovery(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Delays and capacity of discovery."""

    mode: Literal["ask", "push"] = "ask"
    notice_s: NonNegative = 1.0  # delay until it knows that a host drains or ended
    add_s: NonNegative = 0.5  # delay until it knows a new host
    call_ms: NonNegative = 5.0  # duration of a call; calls are handled one after another
    timeout_ms: Positive = 3000.0  # a call that would wait for longer gets 503


class Net(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One-way network delays in simulated time; on sockets the machine's own delays apply."""

    same_ms: NonNegative = 0.1  # within a zone
    cross_ms: NonNegative = 1.0  # between zones
    client_ms: NonNegative = 0.1
    proxy_ms: NonNegative = 0.5  # time that a proxy takes for a request or an answer
    jitter: Fraction = 0.1  # maximum extra delay, as a fraction


class Subset(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Same as the table ``subset`` of a proxy's own settings, except for ``told_copies``."""

    size: Count = 0
    from_hosts: Annotated[int, Meta(ge=1, le=1_000_000)] = 100
    cover: Annotated[int, Meta(ge=1, le=1000)] = 8
    told_copies: Annotated[float, Meta(ge=0.01, le=100.0)] = 1.0  # configured over true count of proxies: stale


class Limits(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits in the proxies' settings."""

    max_attempts: Annotated[int, Meta(ge=1, le=20)] = 3
    second_copies: bool = True
    cancel: bool = True
    retry_after: bool = True
    max_retry_after_ms: NonNegative = 1000.0
    passes_deadline: bool = True
    memory_mb: Annotated[float, Meta(ge=16.0, le=1e6)] = 192.0
    sockets: Annotated[int, Meta(ge=64, le=100_000)] = 1024
    drain_grace_ms: NonNegative = 1000.0
    answer_slack_ms: NonNegative = 20.0


class Prices(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Prices in the proxies' settings, in points of service out of 100."""

    cross_zone: Fraction = 0.0
    probe: Fraction = 0.01
    waste: Fraction = 0.05
    handshake: Fraction = 0.08
    over_share_worth: Fraction = 0.1


class Judge(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Allowances of the judge for a machine that is busy with the laboratory itself."""

    slack_ms: NonNegative = 100.0  # added to the time limits of the rules
    late_ms: Positive = 20.0  # a run gives no result if the generator's p99 lateness is above this


class Fault(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A fault: kind, time, duration, place and size. docs/lab.md describes ``size`` for each kind."""

    what: FAULTS
    at_s: NonNegative
    for_s: NonNegative = 0.0
    tier: str = ""  # tier of the hosts or proxies; default: the first tier
    part: Fraction = 0.0  # fraction of them, drawn by the seed
    hosts: tuple[str, ...] = ()  # or names of hosts (TIER-KIND-NUMBER) or proxies (TIER-pNUMBER)
    size: NonNegative = 0.0
    batch: Fraction = 0.2  # deploy: fraction of the tier per batch
    drain_s: NonNegative = 3.0  # deploy: time from the drain to the stop
    zone: str = ""  # lose-zone: the zone
    every_s: Positive = 2.0  # pause: interval between stalls of ``size`` milliseconds

    def __post_init__(self) -> None:
        if self.what in HOST_FAULTS + PROXY_FAULTS and bool(self.part) == bool(self.hosts):
            raise ValueError(f"{self.what}: expected part or hosts, and not both")
        if self.what in ("slow", "shared-slow") and self.size < 1.0:
            raise ValueError(f"{self.what}: expected size, how many times slower, of at least 1")
        if self.what in ("discovery-late", "report-delay") and not self.size:
            raise ValueError(f"{self.what}: expected size, in seconds")
        if self.what == "pause" and not 0.0 < self.size < 1000.0 * self.every_s:
            raise ValueError("pause: expected size, milliseconds of each stall, under every_s")
        if self.what == "deploy" and not (self.part and self.batch):
            raise ValueError("deploy: expected part and batch above 0")
        if self.what not in ("cold", "proxy-restart", "kill") and not self.for_s:
            raise ValueError(f"{self.what}: expected for_s above 0")


class Scenario(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Contents of a scenario file."""

    name: Name
    seconds: Annotated[float, Meta(gt=0.0, le=36_000.0)]
    warmup_s: NonNegative = 0.0  # requests of this time are judged but not counted in the figures
    seed: Annotated[int, Meta(ge=0, le=2**62)] = 1
    policy: POLICIES = "cranebank"
    load: Load = Load()
    clients: Clients = Clients()
    classes: Annotated[tuple[Class, ...], Meta(min_length=1)] = msgspec.field(name="class")
    tenants: tuple[Tenant, ...] = msgspec.field(name="tenant", default=())
    tiers: Annotated[tuple[Tier, ...], Meta(min_length=1, max_length=8)] = msgspec.field(name="tier")
    zones: Annotated[tuple[Name, ...], Meta(min_length=1)] = ("a",)
    cold: Cold = Cold()
    connections: Connections = Connections()
    reports: Reports = Reports()
    net: Net = Net()
    discovery: Discovery = Discovery()
    subset: Subset = Subset()
    limits: Limits = Limits()
    prices: Prices = Prices()
    judge: Judge = Judge()
    faults: tuple[Fault, ...] = msgspec.field(name="fault", default=())

    def __post_init__(self) -> None:
        for what, names in (
            ("class", [c.name for c in self.classes]),
            ("tier", [t.name for t in self.tiers]),
            ("tenant", [t.name for t in self.tenants]),
        ):
            if len(set(names)) < len(names):
                raise ValueError(f"{what}: expected names that differ, got {', '.join(names)}")
        for what, shares in (("class", [c.share for c in self.classes]), ("tenant", [t.share for t in self.tenants])):
            if shares and not 0.999 < sum(shares) < 1.001:
                raise ValueError(f"{what}: expected shares that add up to 1, got {sum(shares):g}")
        if self.warmup_s >= self.seconds:
            raise ValueError(f"expected warmup_s ({self.warmup_s}) to be under seconds ({self.seconds})")
        if self.tiers[0].proxies == 0:
            raise ValueError("tier.0.proxies: expected at least 1, as no tier is above the first")
        tiers = {tier.name for tier in self.tiers}
        for number, fault in enumerate(self.faults):
            if fault.tier and fault.tier not in tiers:
                raise ValueError(f"fault.{number}.tier: expected one of {', '.join(sorted(tiers))}, got {fault.tier}")
            if (fault.what == "lose-zone") != bool(fault.zone) or (fault.zone and fault.zone not in self.zones):
                raise ValueError(
                    f"fault.{number}.zone: expected one of {', '.join(self.zones)} with lose-zone, "
                    f"and nothing with any other"
                )
            if fault.at_s > self.seconds:
                raise ValueError(f"fault.{number}.at_s: expected at most seconds ({self.seconds})")


class Cell(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One dimension of an experiment's grid: a path into the scenario and its values."""

    path: str  # such as load.rate or tier.0.proxies
    values: Annotated[tuple[bool | int | float | str, ...], Meta(min_length=1)]


class Experiment(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Contents of an experiment file: every combination of scenarios, grid settings and seeds is run."""

    name: Name
    scenarios: Annotated[tuple[str, ...], Meta(min_length=1)]  # paths relative to the experiment file
    seeds: Annotated[tuple[int, ...], Meta(min_length=1)] = (1, 2, 3)
    repeats: Annotated[int, Meta(ge=1, le=1000)] = 1  # number of runs per seed
    grid: tuple[Cell, ...] = ()
    at_once: Annotated[int, Meta(ge=1, le=64)] = 1  # runs in parallel; they share the machine

    def __post_init__(self) -> None:
        paths = [cell.path for cell in self.grid]
        if len(set(paths)) < len(paths):
            raise ValueError("grid: expected each path once")
        if len(set(self.seeds)) < len(self.seeds):
            raise ValueError("seeds: expected each once")
