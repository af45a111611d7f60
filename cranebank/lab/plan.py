"""Draw the plan of a run from a scenario and its seed: hosts, proxies, faults, and when discovery learns of them.

No I/O, and the same scenario gives the same plan. Every process of a run gets the whole plan and carries out its own
part, so the processes don't communicate about it during a run. Times are microseconds after the start; -1 means never.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from cranebank.config.checks import ConfigError, convert_checked
from cranebank.config.own import read_toml
from cranebank.lab import model
from cranebank.lab.scenario import DISCOVERY_FAULTS, HOST_FAULTS, PROXY_FAULTS, Fault, Scenario, Tier
from cranebank.lab.streams import stream

NEVER = -1
RESTART_DOWNTIME_US = 300_000  # downtime of a host that restarts in place
STOP_LINGER_US = 1_000_000  # time that a drained host has after its stop to finish its requests
SILENT_NOTICE_FACTOR = 3.0  # discovery detects a silent host this many times later than an ended one


class HostPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One host, from its start to its stop."""

    name: str
    tier: int
    kind: int
    zone: int
    speed: float
    start: int = 0  # 0: running before the run starts
    drain: int = NEVER
    stop: int = NEVER


class HostFault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault of one host; ``size`` depends on the kind of fault."""

    host: str
    what: str
    at: int
    until: int
    size: float = 0.0
    every: int = 0


class Notice(msgspec.Struct, frozen=True, kw_only=True):
    """The moment when discovery learns a host's state; ``started`` is the host's start, 0 if before the run."""

    at: int
    host: str
    state: str  # as in discovery's protocol
    started: int = 0
    lie: bool = False


class ProxyPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One proxy."""

    name: str
    tier: int
    zone: int
    slot: int = 0  # index among the proxies of the tier


class ProxyFault(msgspec.Struct, frozen=True, kw_only=True):
    """A proxy is killed (``hard``) or terminated at ``at``, and started again at ``until``."""

    proxy: str
    at: int
    until: int
    hard: bool


class Outage(msgspec.Struct, frozen=True, kw_only=True):
    """A time during which discovery doesn't answer."""

    at: int
    until: int


class Cut(msgspec.Struct, frozen=True, kw_only=True):
    """A time during which zones can't reach each other; discovery is in the first zone."""

    at: int
    until: int


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that happens in a run, except for the arrivals."""

    hosts: tuple[HostPlan, ...]
    proxies: tuple[ProxyPlan, ...]
    faults: tuple[HostFault, ...]
    notices: tuple[Notice, ...]
    proxy_faults: tuple[ProxyFault, ...]
    outages: tuple[Outage, ...]
    cuts: tuple[Cut, ...] = ()


def us(seconds: float) -> int:
    """Convert seconds to whole microseconds."""
    return round(seconds * 1e6)


def spec_of(scenario: Scenario, host: HostPlan) -> model.HostSpec:
    """Return the model parameters of a host."""
    tier, cold, reports = scenario.tiers[host.tier], scenario.cold, scenario.reports
    kind, choke = tier.kind[host.kind], tier.choke
    slow = (
        None
        if choke is None
        else model.SlowMode(choke.at, us(choke.over_s), choke.slower, us(choke.rest_s), choke.below, us(choke.most_s))
    )
    return model.HostSpec(
        cores=kind.cores,
        speed=host.speed,
        slots=kind.slots,
        queue=kind.queue,
        thrash=kind.thrash,
        cold_share=cold.share,
        warm_up_us=us(cold.warm_s),
        fall_multiple=cold.fall_multiple,
        fall_window_us=us(cold.fall_s),
        slow=slow,
        report_period_us=us(reports.period_ms / 1000),
        report_delay_us=us(reports.delay_ms / 1000),
    )


def plan(scenario: Scenario) -> Plan:
    """Draw the plan of a scenario."""
    builder = _PlanBuilder(scenario)
    for number, fault in enumerate(scenario.faults):
        builder.add(number, fault)
    return builder.plan()


class _PlanBuilder:
    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._hosts: dict[str, HostPlan] = {}
        self._initial_hosts: list[list[str]] = []  # by tier: hosts running before the run starts
        self._notices: list[Notice] = []
        self._faults: list[HostFault] = []
        self._proxy_faults: list[ProxyFault] = []
        self._outages: list[Outage] = []
        self._cuts: list[Cut] = []
        for index, tier in enumerate(scenario.tiers):
            self._initial_hosts.append(
                [
                    self._add_host(index, kind, f"{tier.name}-{k.name}-{n}", n)
                    for kind, k in enumerate(tier.kind)
                    for n in range(k.count)
                ]
            )
        self._proxies = [
            ProxyPlan(name=f"{tier.name}-p{n}", tier=index, zone=n % len(scenario.zones), slot=n)
            for index, tier in enumerate(scenario.tiers)
            for n in range(tier.proxies or len(self._initial_hosts[index - 1]))
        ]

    def _add_host(self, tier: int, kind: int, name: str, zone: int, start: int = 0) -> str:
        spec = self._scenario.tiers[tier].kind[kind]
        draw = stream(self._scenario.seed, "speed", name)
        speed = spec.speed * max(0.2, 1.0 + spec.speed_cv * float(draw.standard_normal()))
        self._hosts[name] = HostPlan(
            name=name, tier=tier, kind=kind, zone=zone % len(self._scenario.zones), speed=speed, start=start
        )
        return name

    def plan(self) -> Plan:
        delays = [
            (us(f.at_s), us(f.at_s + f.for_s), us(f.size)) for f in self._scenario.faults if f.what == "discovery-late"
        ]
        notices = []
        for notice in self._notices:
            delay = max((size for at, until, size in delays if at <= notice.at < until), default=0)
            notices.append(msgspec.structs.replace(notice, at=notice.at + (0 if notice.lie else delay)))
        return Plan(
            hosts=tuple(self._hosts.values()),
            proxies=tuple(self._proxies),
            faults=tuple(self._faults),
            notices=tuple(sorted(notices, key=lambda n: n.at)),
            proxy_faults=tuple(sorted(self._proxy_faults, key=lambda f: f.at)),
            outages=tuple(self._outages),
            cuts=tuple(self._cuts),
        )

    def add(self, number: int, fault: Fault) -> None:
        """Add one fault of the scenario to the plan."""
        if fault.what in PROXY_FAULTS:
            for name in self._choose(number, fault, [p.name for p in self._proxies if p.tier == self._tier(fault)]):
                self._proxy_faults.append(
                    ProxyFault(
                        proxy=name,
                        at=us(fault.at_s),
                        until=us(fault.at_s + fault.for_s),
                        hard=fault.what == "proxy-kill",
                    )
                )
        elif fault.what == "discovery-down":
            self._outages.append(Outage(at=us(fault.at_s), until=us(fault.at_s + fault.for_s)))
        elif fault.what == "partition":
            self._cuts.append(Cut(at=us(fault.at_s), until=us(fault.at_s + fault.for_s)))
        elif fault.what == "lose-zone":
            self._lose_zone(fault)
        elif fault.what == "discovery-lie":
            self._lie_about_hosts(fault)
        elif fault.what == "deploy":
            self._deploy(number, fault)
        elif fault.what == "shared-slow":
            for name in self._hosts:
                self._add_host_fault(name, "slow", fault)
        elif fault.what not in DISCOVERY_FAULTS:
            names = [name for name in self._hosts if self._hosts[name].tier == self._tier(fault)]
            for name in self._choose(number, fault, names):
                self._fault_host(name, fault)

    def _tier(self, fault: Fault) -> int:
        names = [tier.name for tier in self._scenario.tiers]
        return names.index(fault.tier) if fault.tier else 0

    def _choose(self, number: int, fault: Fault, names: list[str]) -> list[str]:
        for name in fault.hosts:
            if name not in names:
                raise ValueError(f"fault.{number}.hosts: expected some of {', '.join(names)}, got {name}")
        if fault.hosts:
            return list(fault.hosts)
        count = max(1, round(fault.part * len(names)))
        picked = stream(self._scenario.seed, "fault", number).permutation(len(names))[:count]
        return [names[i] for i in sorted(picked)]

    def _add_host_fault(self, name: str, what: str, fault: Fault) -> None:
        self._faults.append(
            HostFault(
                host=name,
                what=what,
                at=us(fault.at_s),
                until=us(fault.at_s + fault.for_s),
                size=fault.size,
                every=us(fault.every_s),
            )
        )

    def _fault_host(self, name: str, fault: Fault) -> None:
        assert fault.what in HOST_FAULTS
        at, until, delay = us(fault.at_s), us(fault.at_s + fault.for_s), us(self._scenario.discovery.notice_s)
        self._add_host_fault(name, fault.what, fault)
        if fault.what == "cold":
            self._add_notice(at + RESTART_DOWNTIME_US + delay, name, "SERVING", at + RESTART_DOWNTIME_US)
        elif fault.what == "kill":
            back = until if fault.for_s else NEVER
            if back == NEVER or back > at + delay:
                self._add_notice(at + delay, name, "DELETED")
            if back != NEVER:
                self._add_notice(back + us(self._scenario.discovery.add_s), name, "SERVING", back)
        elif fault.what in ("stop", "half-open") and until > at + round(SILENT_NOTICE_FACTOR * delay):
            self._add_notice(at + round(SILENT_NOTICE_FACTOR * delay), name, "DELETED")
            self._add_notice(until + us(self._scenario.discovery.add_s), name, "SERVING")

    def _add_notice(self, at: int, name: str, state: str, started: int = 0, lie: bool = False) -> None:
        self._notices.append(Notice(at=at, host=name, state=state, started=started, lie=lie))

    def _deploy(self, number: int, fault: Fault) -> None:
        """Drain and stop hosts in batches; a successor of each host starts cold under a new name."""
        index, discovery = self._tier(fault), self._scenario.discovery
        names = self._choose(number, fault, [n for n in self._initial_hosts[index] if self._hosts[n].drain == NEVER])
        size = max(1, round(fault.batch * len(self._initial_hosts[index])))
        batches = [names[i : i + size] for i in range(0, len(names), size)]
        for turn, batch in enumerate(batches):
            at = us(fault.at_s) + turn * us(fault.for_s) // len(batches)
            for name in batch:
                old, stop = self._hosts[name], at + us(fault.drain_s)
                self._hosts[name] = msgspec.structs.replace(old, drain=at, stop=stop)
                new = self._add_host(index, old.kind, f"{name}.{number}", old.zone, at)
                self._add_notice(at + us(discovery.notice_s), name, "DRAINING")
                self._add_notice(stop + us(discovery.notice_s), name, "DELETED")
                self._add_notice(at + us(discovery.add_s), new, "SERVING", at)

    def _lose_zone(self, fault: Fault) -> None:
        """Kill all hosts and proxies of a zone at once, and restart them together, the hosts cold."""
        zone = self._scenario.zones.index(fault.zone)
        kill = Fault(what="kill", at_s=fault.at_s, for_s=fault.for_s, hosts=("the zone",))
        for name in [name for name, host in self._hosts.items() if host.zone == zone]:
            self._fault_host(name, kill)
        for proxy in self._proxies:
            if proxy.zone == zone:
                self._proxy_faults.append(
                    ProxyFault(proxy=proxy.name, at=us(fault.at_s), until=us(fault.at_s + fault.for_s), hard=True)
                )

    def _lie_about_hosts(self, fault: Fault) -> None:
        """Let discovery report draining and stopped hosts as serving, and list a host that never existed."""
        at, until = us(fault.at_s), us(fault.at_s + fault.for_s)
        for name in [name for name, host in self._hosts.items() if NEVER < host.drain < at]:
            self._add_notice(at, name, "SERVING", lie=True)
            self._add_notice(until, name, "DELETED", lie=True)
        for index, tier in enumerate(self._scenario.tiers):
            if not fault.tier or index == self._tier(fault):
                self._add_notice(at, _phantom_name(tier), "SERVING", lie=True)
                self._add_notice(until, _phantom_name(tier), "DELETED", lie=True)


def _phantom_name(tier: Tier) -> str:
    return f"{tier.name}-phantom"


def phantoms(scenario: Scenario) -> dict[str, int]:
    """Return the tiers of the hosts that exist only in false reports of discovery, by name."""
    return {_phantom_name(tier): index for index, tier in enumerate(scenario.tiers)}


def read_scenario(path: Path) -> Scenario:
    """Read and check a scenario file, including the host names in its faults."""
    scenario = convert_checked(read_toml(path), Scenario, str(path))
    try:
        plan(scenario)
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from None
    return scenario
