"""From a scenario and its seed to all that will happen: hosts, proxies, faults, what discovery learns when.

Pure: the same scenario gives the same plan. Every process of a run gets it whole and plays its own part, so
nothing needs to be told while a run is on. Times are microseconds after the start; -1 stands for never.
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
DOWN_FOR = 300_000  # a host that restarts in place is away for so long
AFTER = 1_000_000  # a drained host that is stopped still ends what it holds for so long
SILENT = 3.0  # discovery notices a silent host so many times later than one that has ended


class HostPlan(msgspec.Struct, frozen=True, kw_only=True):
    """One host from its start to its end."""

    name: str
    tier: int
    kind: int
    zone: int
    speed: float
    start: int = 0  # 0: there from before
    drain: int = NEVER
    stop: int = NEVER


class HostFault(msgspec.Struct, frozen=True, kw_only=True):
    """Something that befalls one host."""

    host: str
    what: str
    at: int
    until: int
    size: float = 0.0
    every: int = 0


class Notice(msgspec.Struct, frozen=True, kw_only=True):
    """Discovery learns of a host; ``started`` is the host's start, 0 for long ago."""

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
    slot: int = 0  # its number among the tier's


class ProxyFault(msgspec.Struct, frozen=True, kw_only=True):
    """A proxy is killed (``hard``) or told to stop, and starts again ``until``."""

    proxy: str
    at: int
    until: int
    hard: bool


class Outage(msgspec.Struct, frozen=True, kw_only=True):
    """Discovery does not answer."""

    at: int
    until: int


class Cut(msgspec.Struct, frozen=True, kw_only=True):
    """Zones do not reach each other; discovery is in the first."""

    at: int
    until: int


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """All that will happen, but for the arrivals."""

    hosts: tuple[HostPlan, ...]
    proxies: tuple[ProxyPlan, ...]
    faults: tuple[HostFault, ...]
    notices: tuple[Notice, ...]
    proxy_faults: tuple[ProxyFault, ...]
    outages: tuple[Outage, ...]
    cuts: tuple[Cut, ...] = ()


def us(seconds: float) -> int:
    """Seconds in whole microseconds."""
    return round(seconds * 1e6)


def spec_of(scenario: Scenario, host: HostPlan) -> model.HostSpec:
    """What the model of a host is told."""
    tier, cold, reports = scenario.tiers[host.tier], scenario.cold, scenario.reports
    kind, choke = tier.kind[host.kind], tier.choke
    slow = (
        None
        if choke is None
        else model.Slow(choke.at, us(choke.over_s), choke.slower, us(choke.rest_s), choke.below, us(choke.most_s))
    )
    return model.HostSpec(
        cores=kind.cores,
        speed=host.speed,
        slots=kind.slots,
        queue=kind.queue,
        thrash=kind.thrash,
        cold_share=cold.share,
        warm=us(cold.warm_s),
        fall_multiple=cold.fall_multiple,
        fall_window=us(cold.fall_s),
        slow=slow,
        period=us(reports.period_ms / 1000),
        delay=us(reports.delay_ms / 1000),
    )


def plan(scenario: Scenario) -> Plan:
    """Draw the plan of a scenario."""
    maker = _Maker(scenario)
    for number, fault in enumerate(scenario.faults):
        maker.add(number, fault)
    return maker.plan()


class _Maker:
    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._hosts: dict[str, HostPlan] = {}
        self._first: list[list[str]] = []  # by tier: the hosts there from before
        self._notices: list[Notice] = []
        self._faults: list[HostFault] = []
        self._proxy_faults: list[ProxyFault] = []
        self._outages: list[Outage] = []
        self._cuts: list[Cut] = []
        for index, tier in enumerate(scenario.tiers):
            self._first.append(
                [
                    self._host(index, kind, f"{tier.name}-{k.name}-{n}", n)
                    for kind, k in enumerate(tier.kind)
                    for n in range(k.count)
                ]
            )
        self._proxies = [
            ProxyPlan(name=f"{tier.name}-p{n}", tier=index, zone=n % len(scenario.zones), slot=n)
            for index, tier in enumerate(scenario.tiers)
            for n in range(tier.proxies or len(self._first[index - 1]))
        ]

    def _host(self, tier: int, kind: int, name: str, zone: int, start: int = 0) -> str:
        spec = self._scenario.tiers[tier].kind[kind]
        draw = stream(self._scenario.seed, "speed", name)
        speed = spec.speed * max(0.2, 1.0 + spec.speed_cv * float(draw.standard_normal()))
        self._hosts[name] = HostPlan(
            name=name, tier=tier, kind=kind, zone=zone % len(self._scenario.zones), speed=speed, start=start
        )
        return name

    def plan(self) -> Plan:
        late = [
            (us(f.at_s), us(f.at_s + f.for_s), us(f.size)) for f in self._scenario.faults if f.what == "discovery-late"
        ]
        notices = []
        for notice in self._notices:
            more = max((size for at, until, size in late if at <= notice.at < until), default=0)
            notices.append(msgspec.structs.replace(notice, at=notice.at + (0 if notice.lie else more)))
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
        """Lay one fault of the scenario over the plan."""
        if fault.what in PROXY_FAULTS:
            for name in self._chosen(number, fault, [p.name for p in self._proxies if p.tier == self._tier(fault)]):
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
            self._lose(fault)
        elif fault.what == "discovery-lie":
            self._lie(fault)
        elif fault.what == "deploy":
            self._deploy(number, fault)
        elif fault.what == "shared-slow":
            for name in self._hosts:
                self._befall(name, "slow", fault)
        elif fault.what not in DISCOVERY_FAULTS:
            names = [name for name in self._hosts if self._hosts[name].tier == self._tier(fault)]
            for name in self._chosen(number, fault, names):
                self._one(name, fault)

    def _tier(self, fault: Fault) -> int:
        names = [tier.name for tier in self._scenario.tiers]
        return names.index(fault.tier) if fault.tier else 0

    def _chosen(self, number: int, fault: Fault, names: list[str]) -> list[str]:
        for name in fault.hosts:
            if name not in names:
                raise ValueError(f"fault.{number}.hosts: expected some of {', '.join(names)}, got {name}")
        if fault.hosts:
            return list(fault.hosts)
        count = max(1, round(fault.part * len(names)))
        picked = stream(self._scenario.seed, "fault", number).permutation(len(names))[:count]
        return [names[i] for i in sorted(picked)]

    def _befall(self, name: str, what: str, fault: Fault) -> None:
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

    def _one(self, name: str, fault: Fault) -> None:
        assert fault.what in HOST_FAULTS
        at, until, wait = us(fault.at_s), us(fault.at_s + fault.for_s), us(self._scenario.discovery.notice_s)
        self._befall(name, fault.what, fault)
        if fault.what == "cold":
            self._tell(at + DOWN_FOR + wait, name, "SERVING", at + DOWN_FOR)
        elif fault.what == "kill":
            back = until if fault.for_s else NEVER
            if back == NEVER or back > at + wait:
                self._tell(at + wait, name, "DELETED")
            if back != NEVER:
                self._tell(back + us(self._scenario.discovery.add_s), name, "SERVING", back)
        elif fault.what in ("stop", "half-open") and until > at + round(SILENT * wait):
            self._tell(at + round(SILENT * wait), name, "DELETED")
            self._tell(until + us(self._scenario.discovery.add_s), name, "SERVING")

    def _tell(self, at: int, name: str, state: str, started: int = 0, lie: bool = False) -> None:
        self._notices.append(Notice(at=at, host=name, state=state, started=started, lie=lie))

    def _deploy(self, number: int, fault: Fault) -> None:
        """Batches of hosts drain and stop; a successor of each starts cold, under a name of its own."""
        index, discovery = self._tier(fault), self._scenario.discovery
        names = self._chosen(number, fault, [n for n in self._first[index] if self._hosts[n].drain == NEVER])
        size = max(1, round(fault.batch * len(self._first[index])))
        batches = [names[i : i + size] for i in range(0, len(names), size)]
        for turn, batch in enumerate(batches):
            at = us(fault.at_s) + turn * us(fault.for_s) // len(batches)
            for name in batch:
                old, stop = self._hosts[name], at + us(fault.drain_s)
                self._hosts[name] = msgspec.structs.replace(old, drain=at, stop=stop)
                new = self._host(index, old.kind, f"{name}.{number}", old.zone, at)
                self._tell(at + us(discovery.notice_s), name, "DRAINING")
                self._tell(stop + us(discovery.notice_s), name, "DELETED")
                self._tell(at + us(discovery.add_s), new, "SERVING", at)

    def _lose(self, fault: Fault) -> None:
        """All hosts and proxies of a zone die at once, and come back together, the hosts cold."""
        zone = self._scenario.zones.index(fault.zone)
        kill = Fault(what="kill", at_s=fault.at_s, for_s=fault.for_s, hosts=("the zone",))
        for name in [name for name, host in self._hosts.items() if host.zone == zone]:
            self._one(name, kill)
        for proxy in self._proxies:
            if proxy.zone == zone:
                self._proxy_faults.append(
                    ProxyFault(proxy=proxy.name, at=us(fault.at_s), until=us(fault.at_s + fault.for_s), hard=True)
                )

    def _lie(self, fault: Fault) -> None:
        """Discovery says that hosts which drain or have ended serve, and names one that never was."""
        at, until = us(fault.at_s), us(fault.at_s + fault.for_s)
        for name in [name for name, host in self._hosts.items() if NEVER < host.drain < at]:
            self._tell(at, name, "SERVING", lie=True)
            self._tell(until, name, "DELETED", lie=True)
        for index, tier in enumerate(self._scenario.tiers):
            if not fault.tier or index == self._tier(fault):
                self._tell(at, _phantom(tier), "SERVING", lie=True)
                self._tell(until, _phantom(tier), "DELETED", lie=True)


def _phantom(tier: Tier) -> str:
    return f"{tier.name}-phantom"


def phantoms(scenario: Scenario) -> dict[str, int]:
    """Hosts that only a lying discovery knows, and their tiers."""
    return {_phantom(tier): index for index, tier in enumerate(scenario.tiers)}


def read_scenario(path: Path) -> Scenario:
    """Read and check a scenario file, the names in its faults as well."""
    scenario = convert_checked(read_toml(path), Scenario, str(path))
    try:
        plan(scenario)
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from None
    return scenario
