"""One simulated run: machines with controllers and proxies, callers, injected faults, and contact with a majority."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import partial
from random import Random
from typing import Any

import msgspec

from cranebank.control.consensus_file import decode_published
from cranebank.control.consensus_replica import PUBLISHED_KEY, ConsensusReplica, ConsensusSettings
from cranebank.membership.backends import newer
from cranebank.membership.fleet import FleetLinks
from cranebank.programs.control import Controller, is_counted_in_machines, tolerated_machine_losses
from cranebank.programs.local_state import decode_registry_records
from cranebank.programs.settings import NodeSettings, Tolerance
from cranebank.transport.links import Link
from cranebank.transport.messages import Backend, ConfigPush, Hello, Message, StageLoad, WarmUpPermits
from cranebank.transport.revision import Revision

from .actors import CONTROL_PORT, Operator, Reader
from .actors import Backend as BackendActor
from .disk import MachineDisk, ProcessDisk
from .evacuations import ZONES, EvacuationRules, Evacuator
from .in_step import InStepWatch
from .judge import ACK_TIMEOUT_S, CATCH_UP_TIMEOUT_S, CONTACT_TIMEOUT_S, DRAIN_TIMEOUT_S, Change, Judge
from .liveness import LivenessWatch
from .loop import ProcessLoop, Scheduler, process_loop
from .network import Network
from .stages import SWITCH_TIMES_S, StagedBackend, StageRules

LINK_PORT = 7000
LISTING_LAG_S = 3.0  # until the operators' list of controllers shows a change
CHECK_INTERVAL_S = 0.1  # between checks of the rules that hold at every moment
TAKEOVER_TIMEOUT_S = 5.0  # after the last fault, while no more machines are lost than tolerated
RECOVERY_TIMEOUT_S = 6.0  # after the end of the faults, for a change, a read and all proxies
SIGKILL_GRACE_S = 8.0  # between SIGTERM and SIGKILL
MAX_MAJORITY_AT_RISK_S = 0.5  # for how long one further tolerated loss may cost the majority
SEED_COUNT = 3
PRUNE_INTERVAL_S = 1.0
DEFAULT_ZONE = "a"  # of all machines of a world that names no zones


class Machine:
    """The machine of a controller; it outlives the controller's processes."""

    def __init__(self, world: World, ip: str, zone: str = DEFAULT_ZONE) -> None:
        self.world, self.ip, self.zone = world, ip, zone
        self.random = Random(f"{world.seed} {ip}")
        self.disk = MachineDisk(world.scheduler, self.random)
        self.offset, self.rate = self.random.uniform(0, 1000), self.random.uniform(0.997, 1.003)
        self.loop: ProcessLoop | None = None
        self.storage: ProcessDisk | None = None
        self.controller: Controller | None = None
        self.replica: ConsensusReplica | None = None
        self.lives = 0
        self.is_removed = False
        self.recovered_at = 0.0  # time of its last start or stop, or begin or end of a fault
        self.active_faults = 0  # number of active faults
        self.bridges = 0  # active cuts to one other zone, which leave it in contact with a majority

    @property
    def is_running(self) -> bool:
        """Whether its controller process exists, frozen or not."""
        return self.loop is not None

    @property
    def is_frozen(self) -> bool:
        """Whether its controller process is frozen."""
        return self.loop is not None and self.loop.is_frozen

    @property
    def is_disturbed(self) -> bool:
        """Whether a fault is active on this machine, or its controller is down."""
        return bool(self.active_faults or self.bridges) or not self.is_running


class RecordingPlane:
    """Test double of a proxy's data plane: records the newest configuration and the state of backends."""

    def __init__(self, get_loads: Callable[[], tuple[StageLoad, ...]]) -> None:
        self.revision = Revision()
        self.records: dict[str, Backend] = {}
        self.held: dict[str, float] = {}
        self.loads = get_loads
        self.evacuation_number = 0
        self.evacuated: frozenset[str] = frozenset()

    def configure(self, document: bytes) -> bool:
        """Apply a configuration, as the data plane does."""
        self.revision = max(self.revision, Revision(msgspec.json.decode(document)["revision"]))
        return True

    def learn(self, backends: Iterable[Backend]) -> None:
        """Merge backend records."""
        for record in backends:
            if newer(self.records.get(record.id), record):
                self.records[record.id] = record

    def known(self) -> tuple[Backend, ...]:
        """Return all backend records."""
        return tuple(self.records.values())

    def set_proxy_count(self, count: int) -> None:
        """Ignore the number of proxies: no choice is made here."""

    def evacuate(self, number: int, zones: Iterable[str]) -> int:
        """Apply evacuated zones, as the data plane does; return the number in force."""
        if number > self.evacuation_number:
            self.evacuation_number, self.evacuated = number, frozenset(zones)
        return self.evacuation_number

    def clock_ms(self) -> int:
        """Return 0: no permit is requested here."""
        return 0

    def permit(self, permits: WarmUpPermits) -> None:
        """Ignore permits: no request is sent here."""

    def hold_off(self, backend: str, seconds: float) -> None:
        """Record for how long no request is to be sent to a backend; 0 lifts the pause."""
        self.held[backend] = seconds


class RecordingLinks(FleetLinks):
    """A proxy's links, which report each configuration to the judge before they apply it."""

    life: ProxyLife

    def link_message(self, link: Link, message: Message) -> None:
        """Handle a controller's message."""
        if isinstance(message, ConfigPush):
            world = self.life.proxy.world
            world.judge.pushed(self.life, link.peer, message.document, world.lost_contact_s(link.peer))
        super().link_message(link, message)


class ProxyLife:
    """One process of a proxy."""

    def __init__(self, proxy: Proxy, number: int, loop: ProcessLoop) -> None:
        self.proxy, self.number, self.loop = proxy, number, loop
        self.since = proxy.world.scheduler.now
        self.plane = RecordingPlane(lambda: proxy.world.loads_per_proxy)
        self.links: RecordingLinks | None = None

    def __str__(self) -> str:
        return f"{self.proxy.ip}/{self.number}"

    def start(self, seeds: Iterable[str]) -> None:
        """Open links to all controllers."""
        self.links = RecordingLinks(self.plane, self._hello, self.proxy.ip, LINK_PORT)
        self.links.life = self
        self.links.name(seeds)
        self._prune()

    def _hello(self) -> Hello:
        proxy, plane = self.proxy, self.plane
        return Hello(proxy.ip, "proxy", proxy.ip, proxy.zone, self.number, plane.revision, plane.known())

    def _prune(self) -> None:
        assert self.links is not None
        self.links.prune()
        self.loop.call_later(PRUNE_INTERVAL_S, self._prune)


class Proxy:
    """The machine of a proxy; it outlives the proxy's processes."""

    def __init__(self, world: World, ip: str, zone: str = DEFAULT_ZONE) -> None:
        self.world, self.ip, self.zone = world, ip, zone
        self.lives = 0
        self.life: ProxyLife | None = None

    def start(self) -> None:
        """Start its process, unless it runs."""
        if self.life is not None:
            return
        self.lives += 1
        self.world.network.without_power.discard(self.ip)
        self.life = ProxyLife(self, self.lives, self.world.process(f"proxy {self.ip}", self.ip))
        self.world.judge.note(f"{self.life} starts")
        self.life.loop.call_soon(self.life.start, self.world.listed_ips()[:SEED_COUNT])

    def kill(self, has_power: bool = True) -> None:
        """End its process at once; without power its connections are not reset."""
        if self.life is None:
            return
        self.world.judge.note(f"{self.life} {'is killed' if has_power else 'loses power'}")
        if not has_power:
            self.world.network.without_power.add(self.ip)
        self.world.kill_process(self.life.loop, has_power)
        self.life = None
        self.world.changed()

    def freeze(self, seconds: float) -> None:
        """Freeze its process for this long."""
        life = self.life
        if life is None or life.loop.is_frozen:
            return
        life.loop.freeze()
        self.world.judge.note(f"{life} is frozen for {seconds:.1f} s")
        self.world.changed()

        def thaw() -> None:
            if not life.loop.is_dead:
                self.world.judge.note(f"{life} is thawed")
                self.world.judge.record_pause(life, seconds)
                life.loop.thaw()
            self.world.changed()

        self.world.scheduler.after(seconds, thaw)


class World:
    """All machines, processes, callers and rules of one run, which its seed determines."""

    def __init__(
        self,
        seed: int,
        controllers: int = 3,
        proxies: int = 2,
        tolerance: int = 1,
        faults_s: float = 26.0,
        zones: Sequence[str] = (),
    ) -> None:
        """``zones`` are assigned to controllers and proxies in turn; where they are given, a whole zone may be lost."""
        self.seed, self.faults_s = seed, faults_s
        self.zones = tuple(zones)
        self.tolerated_rules: frozenset[str] = frozenset()  # their breaches don't end the run
        self.skipped_faults: frozenset[int] = frozenset()  # numbers of faults that are not injected
        self.fault_count = 0  # so far, including skipped ones
        self.random = Random(seed)
        self.scheduler = Scheduler()
        self.network = Network(self.scheduler, seed)
        self.judge = Judge(lambda: self.scheduler.now, self._stop, lambda: self.majority_s)
        self.tolerance = tolerance
        self.beat_s = 1.0
        self.duplicate_share = 0.0
        self.service: Mapping[str, object] = {"name": "s"}
        self.staged: list[StagedBackend] = []
        self.switch_s = SWITCH_TIMES_S[0]
        self.on_backend_called: Callable[[StagedBackend, Machine], None] | None = None
        self.stage_rules = StageRules(self.judge)
        self.evacuation_rules = EvacuationRules(self)
        self.loads_per_proxy: tuple[StageLoad, ...] = ()
        self.is_winding_down = self.is_finished = False  # no new change is sent; no change is sent again
        self.takeovers = 0
        self.majority_s = 0.0  # how long a majority of the members has been in contact so far
        self._takeovers_at: dict[Change, int] = {}
        self._on_lost_answer: list[Callable[[], None]] = []
        self._on_acknowledgement: list[Callable[[], None]] = []
        self._primary: tuple[str, int] | None = None
        self._no_primary_since = 0.0
        self._no_majority_since: float | None = None
        self.last_event = 0.0
        self._loops: list[ProcessLoop] = []
        self._contact_lost_at: dict[str, float] = {}  # by controller, while it has no majority
        self._callers = 0
        self.machines: dict[str, Machine] = {}
        for number in range(controllers):
            ip = f"10.0.0.{number + 1}"
            self.machines[ip] = Machine(self, ip, self._zone(number))
        self.seeds = tuple(self.machines)[:SEED_COUNT]
        self._listings: list[tuple[float, tuple[str, ...]]] = [(0.0, tuple(self.machines))]
        self.proxies = [Proxy(self, f"10.0.1.{number + 1}", self._zone(number)) for number in range(proxies)]
        self.operators: list[Operator] = []
        self.backends: list[BackendActor] = []
        self.liveness = LivenessWatch(self)
        self._in_step = InStepWatch(self)
        self.reader = Reader(self, "reader", Random(f"{seed} reader"))
        for machine in self.machines.values():
            self.scheduler.at(self.random.uniform(0.0, 0.3), partial(self.start, machine, True))
        for proxy in self.proxies:
            self.scheduler.at(self.random.uniform(0.0, 0.3), proxy.start)
        self.scheduler.at(CHECK_INTERVAL_S, self._check)

    def _zone(self, number: int) -> str:
        return self.zones[number % len(self.zones)] if self.zones else DEFAULT_ZONE

    # Processes and callers.

    def process(self, name: str, ip: str, offset: float = 0.0, rate: float = 1.0) -> ProcessLoop:
        """Return the event loop of a new process."""
        loop = process_loop(self.scheduler, self.network, name, ip, offset, rate)
        self._loops.append(loop)
        return loop

    def kill_process(self, loop: ProcessLoop, has_power: bool) -> None:
        """End a process at once; its code gets no chance to clean up."""
        loop.kill()
        self.network.end_process(loop, has_power)

    def next_caller_ip(self) -> str:
        """Return an address for a new caller."""
        self._callers += 1
        return f"10.1.{self._callers // 250}.{self._callers % 250 + 1}"

    def listed_ips(self) -> list[str]:
        """Return the controllers in the operators' list, which lags by ``LISTING_LAG_S``."""
        before = self.scheduler.now - LISTING_LAG_S
        listed = self._listings[0][1]
        for at, ips in self._listings:
            if at <= before:
                listed = ips
        return list(listed)

    def add_operators(self, count: int) -> None:
        """Add operators, which start to send changes."""
        for number in range(count):
            operator = Operator(self, f"operator {number + 1}", Random(f"{self.seed} operator {number}"))
            self.operators.append(operator)
            self.scheduler.at(0.5, operator.start)

    def add_evacuators(self, count: int) -> list[Evacuator]:
        """Add operators, each of which evacuates a zone of its own."""
        found = [Evacuator(self, zone, Random(f"{self.seed} evacuator {zone}")) for zone in ZONES[:count]]
        for evacuator in found:
            self.scheduler.at(0.5, evacuator.start)
        return found

    def add_backend(self, number: int, at: float, lifetime_s: float, crashes: bool = False) -> None:
        """Add a backend that starts at a time, runs for ``lifetime_s``, and then leaves or crashes."""
        backend = BackendActor(self, f"i-{number}", Random(f"{self.seed} backend {number}"), lifetime_s, crashes)
        backend.zone = self._zone(number)
        self.backends.append(backend)
        self.scheduler.at(at, backend.start)

    def add_staged_backend(self, stage: str, at: float, lifetime_s: float, end_kind: str) -> StagedBackend:
        """Add a backend that accepts orders; from now on the service has an engine."""
        self.service = {"name": "s", "engine": {"switch_s": self.switch_s}}
        name = f"i-{len(self.staged)}"
        backend = StagedBackend(self, name, Random(f"{self.seed} backend {name}"), lifetime_s, stage, end_kind)
        self.staged.append(backend)
        self.scheduler.at(at, backend.start)
        return backend

    def backend_called(self, backend: StagedBackend, ip: str) -> None:
        """Handle a controller's new connection to a backend: an order or a report request follows."""
        if self.on_backend_called is not None:
            self.on_backend_called(backend, self.machines[ip])

    def should_inject(self, fault: str) -> bool:
        """Number the next fault, and return whether to inject it: a shrunk schedule skips some numbers."""
        number, self.fault_count = self.fault_count, self.fault_count + 1
        if number in self.skipped_faults:
            return False
        self.judge.note(f"fault {number}: {fault}")
        return True

    # Controllers.

    def start(self, machine: Machine, is_first_start: bool = False) -> None:
        """Start a controller, as its program does, unless it runs."""
        if machine.is_running or machine.is_removed:
            return
        machine.lives += 1
        self.network.without_power.discard(machine.ip)
        loop = machine.loop = self.process(f"controller {machine.ip}", machine.ip, machine.offset, machine.rate)
        loop.call_soon(self._build, machine, is_first_start)
        self.judge.note(f"{machine.ip} starts, life {machine.lives}")
        self.changed(machine)

    def _build(self, machine: Machine, is_first_start: bool) -> None:
        """Construct a controller as ``make_controller`` does; no other place here constructs one."""
        assert machine.loop is not None
        settings = NodeSettings(
            node_name=machine.ip,
            ip=machine.ip,
            zone=machine.zone,
            zones=dict.fromkeys((*ZONES, machine.zone), "r"),
            port_range=(LINK_PORT, LINK_PORT + 10),
            seed_addrs=self._seed_addrs(is_first_start),
            is_first_start=is_first_start,
            tolerance=Tolerance(machines=self.tolerance, zones=int(bool(self.zones))),
            loss_counts=True,
            beat_ms=self.beat_s * 1000,
        )
        stored = dict(machine.disk.values)
        machine.storage = ProcessDisk(machine.disk, machine.loop)

        def consensus(now: float, random: Random) -> Any:
            replica = ConsensusSettings(
                machine.ip,
                settings.seed_ips,
                is_first_start,
                tolerated_machine_losses(settings),
                is_counted_in_machines=is_counted_in_machines(settings),
                zones={settings.ip: settings.failure_domain(settings.zone)},
            )
            machine.replica = ConsensusReplica(replica, stored, random, now)
            return machine.replica

        machine.controller = Controller(
            settings,
            consensus,
            machine.storage,
            Random(f"{self.seed} {machine.ip} {machine.lives}"),
            lambda: msgspec.structs.replace(settings, seed_addrs=self._seed_addrs(False)),
            decode_published(stored[PUBLISHED_KEY]) if PUBLISHED_KEY in stored else None,
            decode_registry_records(stored),
        )
        machine.loop.create_task(machine.controller.start())

    def _seed_addrs(self, is_first_start: bool) -> tuple[str, ...]:
        """Return the seeds of a settings file written now: later files list other controllers than the first."""
        seeds = self.seeds if is_first_start else self.listed_ips()
        if len(seeds) > SEED_COUNT:
            seeds = sorted(self.random.sample(seeds, SEED_COUNT))
        return tuple(f"{ip}:{CONTROL_PORT}" for ip in seeds)

    def primary(self) -> Machine | None:
        """Return the machine whose controller holds the lease."""
        for machine in self.machines.values():
            if machine.controller is not None and not machine.is_frozen and machine.controller.holds_lease():
                return machine
        return None

    def stop(self, machine: Machine, has_power: bool, wipes: bool = False) -> None:
        """End a controller at once, by a kill or a power loss; ``wipes`` loses its disk as well."""
        if machine.loop is not None:
            self.kill_process(machine.loop, has_power)
            if machine.storage is not None:
                machine.storage.lose_unsynced()
            machine.loop = machine.controller = machine.storage = machine.replica = None
        if not has_power:
            self.network.without_power.add(machine.ip)
        if wipes:
            machine.disk.wipe()
        self.judge.note(f"{machine.ip} {'is killed' if has_power else 'loses power'}{', its disk too' * wipes}")
        self.changed(machine)

    def terminate(self, machine: Machine) -> None:
        """Send SIGTERM to a controller, and SIGKILL after ``SIGKILL_GRACE_S``."""
        loop, controller = machine.loop, machine.controller
        if loop is None or controller is None:
            return
        self.judge.note(f"{machine.ip} gets SIGTERM")
        self.changed(machine)

        async def leave() -> None:
            await controller.stop()
            self.scheduler.after(0.0, ended)

        def ended() -> None:
            if machine.loop is loop:
                self.stop(machine, has_power=True)

        loop.call_soon(lambda: loop.create_task(leave()))
        self.scheduler.after(SIGKILL_GRACE_S, ended)

    def remove(self, machine: Machine) -> None:
        """Remove a machine for good."""
        machine.is_removed = True
        self._record_listing()

    def add_machine(self) -> Machine:
        """Add a machine with an empty disk, and start its controller."""
        ip = f"10.0.0.{len(self.machines) + 1}"
        machine = self.machines[ip] = Machine(self, ip)
        self.start(machine)
        self._record_listing()
        return machine

    def _record_listing(self) -> None:
        present = tuple(ip for ip, machine in self.machines.items() if not machine.is_removed)
        self._listings.append((self.scheduler.now, present))

    def freeze(self, machine: Machine, seconds: float) -> None:
        """Freeze a controller's process for this long."""
        loop = machine.loop
        if loop is None or loop.is_frozen:
            return
        loop.freeze()
        machine.active_faults += 1
        self.judge.note(f"{machine.ip} is frozen for {seconds:.1f} s")
        self.changed(machine)

        def thaw() -> None:
            machine.active_faults -= 1
            if not loop.is_dead:
                self.judge.note(f"{machine.ip} is thawed")
                loop.thaw()
            self.changed(machine)

        self.scheduler.after(seconds, thaw)

    def cut(self, machine: Machine, pairs: list[tuple[str, str]], seconds: float, why: str) -> None:
        """Cut one-way paths of a machine, which counts as in trouble, for this long."""
        self.cut_machines([machine], pairs, seconds, why)

    def cut_machines(self, machines: list[Machine], pairs: list[tuple[str, str]], seconds: float, why: str) -> None:
        """Cut one-way paths of several machines, which count as in trouble, for this long."""
        for machine in machines:
            machine.active_faults += 1
        self._cut_paths(machines, pairs, why, seconds)

        def heal() -> None:
            for machine in machines:
                machine.active_faults -= 1
            self._heal_paths(machines, pairs)

        self.scheduler.after(seconds, heal)

    def bridge(self, machines: list[Machine], pairs: list[tuple[str, str]], seconds: float, why: str) -> None:
        """Cut the paths between two zones, which both still reach all others, for this long."""
        for machine in machines:
            machine.bridges += 1
        self._cut_paths(machines, pairs, why, seconds)

        def heal() -> None:
            for machine in machines:
                machine.bridges -= 1
            self._heal_paths(machines, pairs)

        self.scheduler.after(seconds, heal)

    def _cut_paths(self, machines: list[Machine], pairs: list[tuple[str, str]], why: str, seconds: float) -> None:
        for pair in pairs:
            self.network.cut(*pair)
        self.judge.note(f"{', '.join(one.ip for one in machines)} cut off for {seconds:.1f} s: {why}")
        for machine in machines:
            self.changed(machine)

    def _heal_paths(self, machines: list[Machine], pairs: list[tuple[str, str]]) -> None:
        for pair in pairs:
            self.network.heal(*pair)
        self.judge.note(f"{', '.join(one.ip for one in machines)} reachable again")
        for machine in machines:
            self.changed(machine)

    def is_cut_from_primary(self, machine: Machine) -> bool:
        """Whether a machine and the primary don't reach each other in both directions."""
        primary = self.primary()
        return primary is not None and not self.are_connected(machine, primary)

    # Contact.

    def changed(self, machine: Machine | None = None) -> None:
        """Record that machines or links changed, and update which controllers are in contact with a majority."""
        now = self.last_event = self.scheduler.now
        if machine is not None:
            machine.recovered_at = now
        members = [one for one in self.machines.values() if not one.is_removed]
        for one in members:
            reached = sum(self.are_connected(one, other) for other in members)
            if 2 * reached > len(members):
                self._contact_lost_at.pop(one.ip, None)
            else:
                self._contact_lost_at.setdefault(one.ip, now)

    def are_connected(self, one: Machine, other: Machine) -> bool:
        """Whether two controllers run and reach each other in both directions."""
        if not all(machine.is_running and not machine.is_frozen for machine in (one, other)):
            return False
        return one is other or not (self.network.is_cut(one.ip, other.ip) or self.network.is_cut(other.ip, one.ip))

    @property
    def ips_without_majority(self) -> set[str]:
        """Addresses of the controllers that have no contact with a majority."""
        return set(self._contact_lost_at)

    def current_machines(self) -> list[Machine]:
        """Return the machines that have not been removed."""
        return [machine for machine in self.machines.values() if not machine.is_removed]

    def lost_contact_s(self, ip: str) -> float:
        """Return how long a controller has been without contact with a majority."""
        return self.scheduler.now - self._contact_lost_at.get(ip, self.scheduler.now)

    def machines_in_trouble(self) -> list[Machine]:
        """Return the machines that count as lost: under a fault, down, or back for less than ``CATCH_UP_TIMEOUT_S``."""
        now = self.scheduler.now
        return [
            machine
            for machine in self.machines.values()
            if not machine.is_removed
            and (machine.active_faults or not machine.is_running or now - machine.recovered_at < CATCH_UP_TIMEOUT_S)
        ]

    def is_calm(self) -> bool:
        """Whether no machine is disturbed, and no fault began or ended within ``CONTACT_TIMEOUT_S``."""
        return self.scheduler.now - self.last_event >= CONTACT_TIMEOUT_S and not any(
            machine.is_disturbed for machine in self.current_machines()
        )

    def has_steady_majority(self) -> bool:
        """Whether a majority has been in contact, without a new fault anywhere, for ``CONTACT_TIMEOUT_S``."""
        present = self.current_machines()
        return self.scheduler.now - self.last_event >= CONTACT_TIMEOUT_S and 2 * len(self._contact_lost_at) < len(
            present
        )

    def _check(self) -> None:
        now = self.scheduler.now
        self.scheduler.at(now + CHECK_INTERVAL_S, self._check)
        if 2 * len(self._contact_lost_at) < len(self.current_machines()):
            self.majority_s += CHECK_INTERVAL_S
        self._check_majority()
        self.liveness.check()
        self._in_step.check()
        self.evacuation_rules.check()
        holders = [
            one.ip for one in self.machines.values() if one.controller is not None and one.controller.holds_lease()
        ]
        if len(holders) > 1:
            self.judge.breach("lease", f"{holders} hold the lease at once")
        primary = self.primary()
        if primary is not None:
            self._no_primary_since = now
            if self._primary != (primary.ip, primary.lives):
                if self._primary is not None:
                    self.takeovers += 1
                    self.judge.counts["takeovers"] += 1
                self._primary = (primary.ip, primary.lives)
                self.judge.note(f"{primary.ip} is primary")
        elif now - max(self.last_event, self._no_primary_since) > TAKEOVER_TIMEOUT_S:
            lost = [
                one.ip
                for one in self.machines.values()
                if not one.is_removed and (one.ip in self._contact_lost_at or not one.is_running)
            ]
            if len(lost) <= self.tolerance:
                self.judge.breach("recovery", f"no primary for {TAKEOVER_TIMEOUT_S} s though only {lost} are lost")
        for loop in self._loops:
            if loop.errors:
                self.judge.breach("error", loop.errors[0])
        self._check_stages()

    def _check_stages(self) -> None:
        if not self.staged or self.is_winding_down:
            return
        for machine in self.machines.values():
            if machine.controller is not None:
                for what in machine.controller.stage_balancer_driver.balancer.violations:
                    self.judge.breach("invariant", f"{machine.ip}: {what}")
        is_in_trouble = any(
            one.active_faults or not one.is_running for one in self.machines.values() if not one.is_removed
        )
        self.stage_rules.check(self.staged, self.switch_s, self.scheduler.now if is_in_trouble else self.last_event)

    def _check_majority(self) -> None:
        """Check that the group would keep a majority after every further loss that must be tolerated now."""
        primary, now = self.primary(), self.scheduler.now
        record = primary.replica.record if primary is not None and primary.replica is not None else None
        if record is None:
            return
        alive = {
            one.replica.id
            for one in self.machines.values()
            if one.replica is not None and one.ip not in self._contact_lost_at
        }
        further = self.tolerance - len(self.machines_in_trouble())
        if further < 0 or any(
            machine.bridges for machine in self.current_machines()
        ):  # more is lost than must be tolerated
            self._no_majority_since = None
            return
        if 2 * (len(alive & set(record.members)) - further) > len(record.members):
            self._no_majority_since = None
            return
        if self._no_majority_since is None:
            self._no_majority_since = now
        seconds = now - self._no_majority_since
        self.judge.record_longest("one further loss would leave no majority", seconds)
        if seconds > MAX_MAJORITY_AT_RISK_S:
            self.judge.breach(
                "majority", f"{len(alive & set(record.members))} of {record.members}, {further} may be lost"
            )

    # Callers report acknowledgements, which are checked later.

    def answer_lost(self) -> None:
        """Record that an operator got no answer; it will send its change again."""
        waiting, self._on_lost_answer = self._on_lost_answer, []
        for what in waiting:
            self.scheduler.after(0.0, what)

    def after_next_lost_answer(self, what: Callable[[], None]) -> None:
        """Call ``what`` right after the next answer that an operator does not get."""
        self._on_lost_answer.append(what)

    def acknowledged(self, change: Change) -> None:
        """Record that a change was acknowledged."""
        counts = self.judge.counts
        self._takeovers_at.setdefault(change, self.takeovers)
        self._run_acknowledgement_callbacks()
        if self._contact_lost_at:
            counts["changes acknowledged while a controller had lost contact"] += 1
        lost = change.takeovers_when_lost
        if lost is not None and self.takeovers > lost:
            counts["acknowledged after a lost answer and a takeover"] += 1

    def evacuation_acknowledged(self) -> None:
        """Record that the start or the finish of an evacuation was acknowledged."""
        self._run_acknowledgement_callbacks()

    def _run_acknowledgement_callbacks(self) -> None:
        waiting, self._on_acknowledgement = self._on_acknowledgement, []
        for what in waiting:
            self.scheduler.after(0.0, what)

    def after_next_acknowledgement(self, what: Callable[[], None]) -> None:
        """Call ``what`` right after the next acknowledgement that an operator gets."""
        self._on_acknowledgement.append(what)

    def takeovers_at(self, change: Change) -> int:
        """Return the number of takeovers before a change was first acknowledged."""
        return self._takeovers_at.get(change, self.takeovers)

    def expect_acknowledged(self, change: Change) -> None:
        """Expect a change to be acknowledged or refused within ``ACK_TIMEOUT_S`` of calm or of a steady majority."""
        is_calm = self.is_calm()
        if not change.is_valid or not (is_calm or (self.zones and self.has_steady_majority())):
            return
        event = self.last_event

        def check() -> None:
            if self.last_event != event or change.acknowledged_at is not None or change.is_refused:
                return
            left_s = change.sent_at + change.without_majority_s + ACK_TIMEOUT_S - self.scheduler.now
            if left_s > 0.001:
                self.scheduler.after(left_s, check)
            else:
                self.judge.breach(
                    "acknowledgement", f"{change} had no clear answer for {ACK_TIMEOUT_S} s of a calm or steady time"
                )

        self.judge.counts["changes sent in calm times" if is_calm else "changes sent to a steady majority"] += 1
        self.scheduler.after(ACK_TIMEOUT_S, check)

    def expect_ended(self, backend: str, controller: str) -> None:
        """Expect proxies in touch to know of an acknowledged drain or end within ``DRAIN_TIMEOUT_S``."""
        if controller in self._contact_lost_at or self.scheduler.now - self.last_event < CONTACT_TIMEOUT_S:
            return
        event, lives = self.last_event, [proxy.life for proxy in self.proxies if proxy.life is not None]

        def check() -> None:
            for life in lives:
                if self.last_event != event or life.proxy.life is not life or not self.is_in_touch(life, event):
                    continue
                record = life.plane.records.get(backend)
                self.judge.counts["drains seen at a proxy in touch"] += 1
                if record is not None and record.phase in {"ready"}:
                    self.judge.breach("drain", f"{life} does not know of {backend}'s end after {DRAIN_TIMEOUT_S} s")

        self.scheduler.after(DRAIN_TIMEOUT_S, check)

    def is_in_touch(self, life: ProxyLife, since: float) -> bool:
        """Whether a proxy has run since a time and reaches all controllers that have a majority."""
        ip = life.proxy.ip
        return life.since <= since and all(
            machine.ip in self._contact_lost_at
            or not (self.network.is_cut(ip, machine.ip) or self.network.is_cut(machine.ip, ip))
            for machine in self.machines.values()
            if not machine.is_removed
        )

    # The end of a run.

    def run(self) -> None:
        """Run the schedule until its faults end, and then check that everything recovers."""
        self.reader.start()
        self.scheduler.run_until(self.faults_s)
        self._on_lost_answer, self._on_acknowledgement = [], []  # drop faults that still wait for one
        for machine in list(self.machines.values()):
            machine.disk.stuck_until = machine.disk.slow_until = machine.disk.refuses_until = 0.0
            self.start(machine)
        for proxy in self.proxies:
            proxy.start()
        while self.scheduler.now < self._settled_at() and not self.scheduler.is_stopped:
            self.scheduler.run_until(self._settled_at())
        last = self.judge.counts["changes acknowledged"], self.judge.counts["configurations read"]
        self.scheduler.run_until(self.scheduler.now + RECOVERY_TIMEOUT_S / 2)
        self.is_winding_down = True
        self.scheduler.run_until(self.scheduler.now + RECOVERY_TIMEOUT_S / 2)
        self.is_finished = True
        if not self.judge.breaches:
            self._check_end_state(*last)

    def _settled_at(self) -> float:
        """Return when everything must have recovered, counted from the end of the last fault."""
        is_troubled = any(machine.active_faults or machine.bridges for machine in self.machines.values())
        return (self.scheduler.now if is_troubled else max(self.faults_s, self.last_event)) + RECOVERY_TIMEOUT_S

    def _check_end_state(self, changes: int, readings: int) -> None:
        judge = self.judge
        if self.operators and judge.counts["changes acknowledged"] == changes:
            judge.breach("recovery", f"no change acknowledged after {RECOVERY_TIMEOUT_S} s without faults")
        if judge.counts["configurations read"] == readings:
            judge.breach("recovery", f"no read answered after {RECOVERY_TIMEOUT_S} s without faults")
        newest = judge.ledger.newest
        for proxy in self.proxies:
            if proxy.life is not None and proxy.life.plane.revision < newest:
                judge.breach("recovery", f"{proxy.life} has {proxy.life.plane.revision}, not {newest}")
        for machine in self.machines.values():
            if machine.controller is not None:
                revision = machine.controller.overview()["revision"]
                if revision < newest:
                    judge.breach("in step", f"{machine.ip} has {revision}, not {newest}")
        self.evacuation_rules.check_end_state()
        judge.counts["runs judged to the end"] += 1

    def _stop(self, rule: str) -> None:
        self.scheduler.is_stopped = self.scheduler.is_stopped or rule not in self.tolerated_rules

    def close(self) -> None:
        """Discard all processes."""
        self.scheduler.is_stopped = True
        for loop in self._loops:
            loop.discard()
