"""One run: machines with controllers and proxies, callers, faults that may befall them, and who is in contact."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from functools import partial
from random import Random
from typing import Any

import msgspec

from cranebank.control.consensus_replica import PUBLISHED_KEY, ConsensusReplica, ConsensusSettings
from cranebank.membership.backends import newer
from cranebank.membership.fleet import FleetLinks
from cranebank.programs.control import Controller, is_counted_in_machines, tolerated_machine_losses
from cranebank.programs.local_state import decode_registry_records
from cranebank.programs.settings import NodeSettings, Tolerance
from cranebank.transport.links import Link
from cranebank.transport.messages import Backend, ConfigPush, Hello, Message, StageLoad, WarmUpPermits

from .actors import CONTROL_PORT, Operator, Reader
from .actors import Backend as BackendActor
from .disk import MachineDisk, ProcessDisk
from .evacuations import ZONES, EvacuationRules, Evacuator
from .in_step import InStepWatch
from .judge import ACK_S, CATCH_UP_S, CONTACT_S, DRAIN_S, Change, Judge
from .liveness import LivenessWatch
from .loop import ProcessLoop, Scheduler, process_loop
from .network import Network
from .stages import SWITCH_S, StagedBackend, StageRules

LINK_PORT = 7000
SEED_LAG_S = 3.0
LOOK_S = 0.1  # between looks at who is primary
TAKEOVER_S = 5.0  # in which there is a primary again after the last fault, while no more is lost than may be
RECOVER_S = 6.0  # the same for a change, a reading and all proxies after the faults end
GRACE_S = 8.0
MAJORITY_S = 0.5  # how long a loss that may come would leave no majority, at most
SEEDS = 3
PRUNE_S = 1.0
ONE_ZONE = "a"  # of all machines, where a world names none


class Machine:
    """A machine for a controller."""

    def __init__(self, world: World, ip: str, zone: str = ONE_ZONE) -> None:
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
        self.back_at = 0.0  # when its trouble ended
        self.troubles = 0  # faults that hold now
        self.bridges = 0  # cuts between its zone and one other, which leave it in contact with a majority

    @property
    def is_running(self) -> bool:
        """Whether its controller runs, frozen or not."""
        return self.loop is not None

    @property
    def is_frozen(self) -> bool:
        """Whether it stands still."""
        return self.loop is not None and self.loop.is_frozen

    @property
    def is_disturbed(self) -> bool:
        """Whether a fault holds here, or it is away."""
        return bool(self.troubles or self.bridges) or not self.is_running


class RecordingPlane:
    """Stands for a proxy's data plane: keeps the newest configuration and what it was told of backends."""

    def __init__(self, tell_loads: Callable[[], tuple[StageLoad, ...]]) -> None:
        self.revision = 0
        self.records: dict[str, Backend] = {}
        self.held: dict[str, float] = {}
        self.loads = tell_loads
        self.evacuation_number = 0
        self.evacuated: frozenset[str] = frozenset()

    def configure(self, document: bytes) -> bool:
        """Take a configuration, as the data plane does."""
        self.revision = max(self.revision, int(msgspec.json.decode(document)["revision"]))
        return True

    def learn(self, backends: Iterable[Backend]) -> None:
        """Take records."""
        for record in backends:
            if newer(self.records.get(record.id), record):
                self.records[record.id] = record

    def known(self) -> tuple[Backend, ...]:
        """All records."""
        return tuple(self.records.values())

    def set_proxy_count(self, count: int) -> None:
        """Not wanted."""

    def evacuate(self, number: int, zones: Iterable[str]) -> int:
        """Take evacuated zones, as the data plane does."""
        if number > self.evacuation_number:
            self.evacuation_number, self.evacuated = number, frozenset(zones)
        return self.evacuation_number

    def clock_ms(self) -> int:
        """Its steady clock, or 0."""
        return 0

    def permit(self, permits: WarmUpPermits) -> None:
        """Nothing is sent here."""

    def hold_off(self, backend: str, seconds: float) -> None:
        """Nothing is sent to this backend for so long; 0: it is again."""
        self.held[backend] = seconds


class RecordingLinks(FleetLinks):
    """A proxy's links, which tell the judge of each configuration before they take it."""

    life: ProxyLife

    def link_message(self, link: Link, message: Message) -> None:
        """A controller said something."""
        if isinstance(message, ConfigPush):
            world = self.life.proxy.world
            world.judge.handed(self.life, link.peer, message.document, world.lost_contact_s(link.peer))
        super().link_message(link, message)


class ProxyLife:
    """One process of a proxy."""

    def __init__(self, proxy: Proxy, number: int, loop: ProcessLoop) -> None:
        self.proxy, self.number, self.loop = proxy, number, loop
        self.since = proxy.world.scheduler.now
        self.plane = RecordingPlane(lambda: proxy.world.loads_of_a_proxy)
        self.links: RecordingLinks | None = None

    def __str__(self) -> str:
        return f"{self.proxy.ip}/{self.number}"

    def start(self, seeds: Iterable[str]) -> None:
        """Hold links to all controllers."""
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
        self.loop.call_later(PRUNE_S, self._prune)


class Proxy:
    """A proxy's machine."""

    def __init__(self, world: World, ip: str, zone: str = ONE_ZONE) -> None:
        self.world, self.ip, self.zone = world, ip, zone
        self.lives = 0
        self.life: ProxyLife | None = None

    def start(self) -> None:
        """Start its process."""
        if self.life is not None:
            return
        self.lives += 1
        self.world.network.without_power.discard(self.ip)
        self.life = ProxyLife(self, self.lives, self.world.process(f"proxy {self.ip}", self.ip))
        self.world.judge.note(f"{self.life} starts")
        self.life.loop.call_soon(self.life.start, self.world.listed()[:SEEDS])

    def kill(self, has_power: bool = True) -> None:
        """End its process at once; without power nobody hears of it."""
        if self.life is None:
            return
        self.world.judge.note(f"{self.life} {'is killed' if has_power else 'loses power'}")
        if not has_power:
            self.world.network.without_power.add(self.ip)
        self.world.end(self.life.loop, has_power)
        self.life = None
        self.world.changed()

    def freeze(self, seconds: float) -> None:
        """Stop its process, and let it go on later."""
        life = self.life
        if life is None or life.loop.is_frozen:
            return
        life.loop.freeze()
        self.world.judge.note(f"{life} is frozen for {seconds:.1f} s")
        self.world.changed()

        def thaw() -> None:
            if not life.loop.is_dead:
                self.world.judge.note(f"{life} is thawed")
                self.world.judge.stood_still(life, seconds)
                life.loop.thaw()
            self.world.changed()

        self.world.scheduler.after(seconds, thaw)


class World:
    """All of it, from one seed."""

    def __init__(
        self,
        seed: int,
        controllers: int = 3,
        proxies: int = 2,
        tolerance: int = 1,
        faults_s: float = 26.0,
        zones: Sequence[str] = (),
    ) -> None:
        """``zones``: of the controllers, in order, and in turn of the proxies; with them a whole zone may be lost."""
        self.seed, self.faults_s = seed, faults_s
        self.zones = tuple(zones)
        self.go_on: frozenset[str] = frozenset()  # breaches of these rules are told, and the run goes on
        self.left_out: frozenset[int] = frozenset()  # faults, by their numbers, that don't take place
        self.faults = 0  # so far, those that were left out counted
        self.random = Random(seed)
        self.scheduler = Scheduler()
        self.network = Network(self.scheduler, seed)
        self.judge = Judge(lambda: self.scheduler.now, self._stop, lambda: self.majority_s)
        self.tolerance = tolerance
        self.beat_s = 1.0
        self.share_doubled = 0.0
        self.service: Mapping[str, object] = {"name": "s"}
        self.staged: list[StagedBackend] = []
        self.switch_s = SWITCH_S[0]
        self.on_backend_called: Callable[[StagedBackend, Machine], None] | None = None
        self.stage_rules = StageRules(self.judge)
        self.evacuation_rules = EvacuationRules(self)
        self.loads_of_a_proxy: tuple[StageLoad, ...] = ()
        self.is_over = self.is_closed = False  # no new changes; no more tries
        self.takeovers = 0
        self.majority_s = 0.0  # for how long there was a majority of the members in contact, so far
        self._takeovers_at: dict[Change, int] = {}
        self._on_lost_answer: list[Callable[[], None]] = []
        self._on_acknowledgement: list[Callable[[], None]] = []
        self._primary: tuple[str, int] | None = None
        self._no_primary_since = 0.0
        self._no_majority_since: float | None = None
        self.last_event = 0.0
        self._loops: list[ProcessLoop] = []
        self._lost: dict[str, float] = {}  # when a controller lost contact with a majority
        self._callers = 0
        self.machines: dict[str, Machine] = {}
        for number in range(controllers):
            ip = f"10.0.0.{number + 1}"
            self.machines[ip] = Machine(self, ip, self._zone(number))
        self.seeds = tuple(self.machines)[:SEEDS]
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
        self.scheduler.at(LOOK_S, self._look)

    def _zone(self, number: int) -> str:
        return self.zones[number % len(self.zones)] if self.zones else ONE_ZONE

    # Processes and callers.

    def process(self, name: str, ip: str, offset: float = 0.0, rate: float = 1.0) -> ProcessLoop:
        """A new process's loop."""
        loop = process_loop(self.scheduler, self.network, name, ip, offset, rate)
        self._loops.append(loop)
        return loop

    def end(self, loop: ProcessLoop, has_power: bool) -> None:
        """A process is gone without a last word of its own."""
        loop.kill()
        self.network.end_process(loop, has_power)

    def next_caller_ip(self) -> str:
        """An address for a caller."""
        self._callers += 1
        return f"10.1.{self._callers // 250}.{self._callers % 250 + 1}"

    def listed(self) -> list[str]:
        """The controllers as the operators' list has them: it lags."""
        before = self.scheduler.now - SEED_LAG_S
        listed = self._listings[0][1]
        for at, ips in self._listings:
            if at <= before:
                listed = ips
        return list(listed)

    def add_operators(self, count: int) -> None:
        """Operators that begin to send."""
        for number in range(count):
            operator = Operator(self, f"operator {number + 1}", Random(f"{self.seed} operator {number}"))
            self.operators.append(operator)
            self.scheduler.at(0.5, operator.start)

    def add_evacuators(self, count: int) -> list[Evacuator]:
        """Operators that begin to evacuate a zone each."""
        found = [Evacuator(self, zone, Random(f"{self.seed} evacuator {zone}")) for zone in ZONES[:count]]
        for evacuator in found:
            self.scheduler.at(0.5, evacuator.start)
        return found

    def add_backend(self, number: int, at: float, lives_s: float, crashes: bool = False) -> None:
        """A backend that comes at a time, lives for so long, and then leaves or crashes."""
        backend = BackendActor(self, f"i-{number}", Random(f"{self.seed} backend {number}"), lives_s, crashes)
        backend.zone = self._zone(number)
        self.backends.append(backend)
        self.scheduler.at(at, backend.start)

    def add_staged_backend(self, stage: str, at: float, lives_s: float, ends: str) -> StagedBackend:
        """A backend that takes orders; the service has an engine from now on."""
        self.service = {"name": "s", "engine": {"switch_s": self.switch_s}}
        name = f"i-{len(self.staged)}"
        backend = StagedBackend(self, name, Random(f"{self.seed} backend {name}"), lives_s, stage, ends)
        self.staged.append(backend)
        self.scheduler.at(at, backend.start)
        return backend

    def backend_called(self, backend: StagedBackend, ip: str) -> None:
        """A controller has connected to a backend: its order or its asking for a report comes next."""
        if self.on_backend_called is not None:
            self.on_backend_called(backend, self.machines[ip])

    def takes_place(self, fault: str) -> bool:
        """Whether the next fault is to take place; each has a number, by which a schedule may leave it out."""
        number, self.faults = self.faults, self.faults + 1
        if number in self.left_out:
            return False
        self.judge.note(f"fault {number}: {fault}")
        return True

    # Controllers.

    def start(self, machine: Machine, is_first_start: bool = False) -> None:
        """Start a controller, as its program does."""
        if machine.is_running or machine.is_removed:
            return
        machine.lives += 1
        self.network.without_power.discard(machine.ip)
        loop = machine.loop = self.process(f"controller {machine.ip}", machine.ip, machine.offset, machine.rate)
        loop.call_soon(self._build, machine, is_first_start)
        self.judge.note(f"{machine.ip} starts, life {machine.lives}")
        self.changed(machine)

    def _build(self, machine: Machine, is_first_start: bool) -> None:
        """The one place where a controller is constructed; ``make_controller`` is its original."""
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
            msgspec.msgpack.decode(stored[PUBLISHED_KEY], type=tuple[int, bytes]) if PUBLISHED_KEY in stored else None,
            decode_registry_records(stored),
        )
        machine.loop.create_task(machine.controller.start())

    def _seed_addrs(self, is_first_start: bool) -> tuple[str, ...]:
        """The seeds of a settings file that is written now: later ones differ from the first."""
        seeds = self.seeds if is_first_start else self.listed()
        if len(seeds) > SEEDS:
            seeds = sorted(self.random.sample(seeds, SEEDS))
        return tuple(f"{ip}:{CONTROL_PORT}" for ip in seeds)

    def primary(self) -> Machine | None:
        """Who holds the lease."""
        for machine in self.machines.values():
            if machine.controller is not None and not machine.is_frozen and machine.controller.holds_lease():
                return machine
        return None

    def stop(self, machine: Machine, has_power: bool, wipes: bool = False) -> None:
        """End a controller at once: a kill, or a loss of power; its disk may be lost as well."""
        if machine.loop is not None:
            self.end(machine.loop, has_power)
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
        """SIGTERM, and SIGKILL once the grace is over."""
        loop, controller = machine.loop, machine.controller
        if loop is None or controller is None:
            return
        self.judge.note(f"{machine.ip} is told to end")
        self.changed(machine)

        async def leave() -> None:
            await controller.stop()
            self.scheduler.after(0.0, ended)

        def ended() -> None:
            if machine.loop is loop:
                self.stop(machine, has_power=True)

        loop.call_soon(lambda: loop.create_task(leave()))
        self.scheduler.after(GRACE_S, ended)

    def remove(self, machine: Machine) -> None:
        """It never comes back."""
        machine.is_removed = True
        self._list()

    def add_machine(self) -> Machine:
        """A new machine with an empty disk, started."""
        ip = f"10.0.0.{len(self.machines) + 1}"
        machine = self.machines[ip] = Machine(self, ip)
        self.start(machine)
        self._list()
        return machine

    def _list(self) -> None:
        present = tuple(ip for ip, machine in self.machines.items() if not machine.is_removed)
        self._listings.append((self.scheduler.now, present))

    def freeze(self, machine: Machine, seconds: float) -> None:
        """Stop a controller's process, and let it go on later."""
        loop = machine.loop
        if loop is None or loop.is_frozen:
            return
        loop.freeze()
        machine.troubles += 1
        self.judge.note(f"{machine.ip} is frozen for {seconds:.1f} s")
        self.changed(machine)

        def thaw() -> None:
            machine.troubles -= 1
            if not loop.is_dead:
                self.judge.note(f"{machine.ip} is thawed")
                loop.thaw()
            self.changed(machine)

        self.scheduler.after(seconds, thaw)

    def cut(self, machine: Machine, pairs: list[tuple[str, str]], seconds: float, why: str) -> None:
        """Cut one-way paths, and join them again later."""
        self.cut_several([machine], pairs, seconds, why)

    def cut_several(self, machines: list[Machine], pairs: list[tuple[str, str]], seconds: float, why: str) -> None:
        """Cut one-way paths of several machines, which count as troubled, and join them again later."""
        for machine in machines:
            machine.troubles += 1
        self._cut_paths(machines, pairs, why, seconds)

        def heal() -> None:
            for machine in machines:
                machine.troubles -= 1
            self._heal_paths(machines, pairs)

        self.scheduler.after(seconds, heal)

    def bridge(self, machines: list[Machine], pairs: list[tuple[str, str]], seconds: float, why: str) -> None:
        """Cut the paths between two zones that both reach the others, and join them again later."""
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
        self.judge.note(f"{', '.join(one.ip for one in machines)} joined again")
        for machine in machines:
            self.changed(machine)

    def is_cut_from_primary(self, machine: Machine) -> bool:
        """Whether nothing gets from a machine to the primary, or back."""
        primary = self.primary()
        return primary is not None and not self.is_joined(machine, primary)

    # Contact.

    def changed(self, machine: Machine | None = None) -> None:
        """Something happened to machines or links: who is in contact with a majority?"""
        now = self.last_event = self.scheduler.now
        if machine is not None:
            machine.back_at = now
        members = [one for one in self.machines.values() if not one.is_removed]
        for one in members:
            reached = sum(self.is_joined(one, other) for other in members)
            if 2 * reached > len(members):
                self._lost.pop(one.ip, None)
            else:
                self._lost.setdefault(one.ip, now)

    def is_joined(self, one: Machine, other: Machine) -> bool:
        """Whether two controllers run and reach each other, both ways."""
        if not all(machine.is_running and not machine.is_frozen for machine in (one, other)):
            return False
        return one is other or not (self.network.is_cut(one.ip, other.ip) or self.network.is_cut(other.ip, one.ip))

    @property
    def contactless(self) -> set[str]:
        """Controllers that are without a majority."""
        return set(self._lost)

    def present(self) -> list[Machine]:
        """The machines that were not taken away."""
        return [machine for machine in self.machines.values() if not machine.is_removed]

    def lost_contact_s(self, ip: str) -> float:
        """For how long a controller has been without a majority."""
        return self.scheduler.now - self._lost.get(ip, self.scheduler.now)

    def in_trouble(self) -> list[Machine]:
        """Machines that count as lost: in trouble, or back for less than the time to catch up."""
        now = self.scheduler.now
        return [
            machine
            for machine in self.machines.values()
            if not machine.is_removed
            and (machine.troubles or not machine.is_running or now - machine.back_at < CATCH_UP_S)
        ]

    def is_calm(self) -> bool:
        """Whether nothing is in trouble, and nothing happened lately."""
        return self.scheduler.now - self.last_event >= CONTACT_S and not any(
            machine.is_disturbed for machine in self.present()
        )

    def has_steady_majority(self) -> bool:
        """Whether a majority has been connected, without a new fault anywhere, for the time to be in touch again."""
        present = self.present()
        return self.scheduler.now - self.last_event >= CONTACT_S and 2 * len(self._lost) < len(present)

    def _look(self) -> None:
        now = self.scheduler.now
        self.scheduler.at(now + LOOK_S, self._look)
        if 2 * len(self._lost) < len(self.present()):
            self.majority_s += LOOK_S
        self._look_at_majority()
        self.liveness.look()
        self._in_step.look()
        self.evacuation_rules.look()
        holders = [
            one.ip for one in self.machines.values() if one.controller is not None and one.controller.holds_lease()
        ]
        if len(holders) > 1:
            self.judge.breach("lease", f"{holders} all hold it")
        primary = self.primary()
        if primary is not None:
            self._no_primary_since = now
            if self._primary != (primary.ip, primary.lives):
                if self._primary is not None:
                    self.takeovers += 1
                    self.judge.counts["takeovers"] += 1
                self._primary = (primary.ip, primary.lives)
                self.judge.note(f"{primary.ip} is primary")
        elif now - max(self.last_event, self._no_primary_since) > TAKEOVER_S:
            lost = [
                one.ip
                for one in self.machines.values()
                if not one.is_removed and (one.ip in self._lost or not one.is_running)
            ]
            if len(lost) <= self.tolerance:
                self.judge.breach("recovery", f"no primary for {TAKEOVER_S} s though only {lost} are lost")
        for loop in self._loops:
            if loop.errors:
                self.judge.breach("error", loop.errors[0])
        self._look_at_stages()

    def _look_at_stages(self) -> None:
        if not self.staged or self.is_over:
            return
        for machine in self.machines.values():
            if machine.controller is not None:
                for what in machine.controller.stage_balancer_driver.balancer.violations:
                    self.judge.breach("invariant", f"{machine.ip}: {what}")
        is_in_trouble = any(one.troubles or not one.is_running for one in self.machines.values() if not one.is_removed)
        self.stage_rules.look(self.staged, self.switch_s, self.scheduler.now if is_in_trouble else self.last_event)

    def _look_at_majority(self) -> None:
        """Whether the group would keep a majority under every further loss that may come now."""
        primary, now = self.primary(), self.scheduler.now
        record = primary.replica.record if primary is not None and primary.replica is not None else None
        if record is None:
            return
        alive = {
            one.replica.id for one in self.machines.values() if one.replica is not None and one.ip not in self._lost
        }
        further = self.tolerance - len(self.in_trouble())
        if further < 0 or any(machine.bridges for machine in self.present()):  # more is lost than must be borne
            self._no_majority_since = None
            return
        if 2 * (len(alive & set(record.members)) - further) > len(record.members):
            self._no_majority_since = None
            return
        if self._no_majority_since is None:
            self._no_majority_since = now
        seconds = now - self._no_majority_since
        self.judge.lasted("one further loss would leave no majority", seconds)
        if seconds > MAJORITY_S:
            self.judge.breach(
                "majority", f"{len(alive & set(record.members))} of {record.members}, {further} may be lost"
            )

    # What callers tell of acknowledgements, to be looked at later.

    def answer_lost(self) -> None:
        """An operator waits in vain for an answer, and will send its change again."""
        waiting, self._on_lost_answer = self._on_lost_answer, []
        for what in waiting:
            self.scheduler.after(0.0, what)

    def after_next_lost_answer(self, what: Callable[[], None]) -> None:
        """Do something right after the next answer that is lost on its way to an operator."""
        self._on_lost_answer.append(what)

    def acknowledged(self, change: Change) -> None:
        """A change was acknowledged."""
        counts = self.judge.counts
        self._takeovers_at.setdefault(change, self.takeovers)
        self._tell_acknowledgement()
        if self._lost:
            counts["changes acknowledged while a controller had lost contact"] += 1
        lost = change.takeovers_when_lost
        if lost is not None and self.takeovers > lost:
            counts["acknowledged after a lost answer and a takeover"] += 1

    def evacuation_acknowledged(self) -> None:
        """An evacuation was acknowledged, or its end."""
        self._tell_acknowledgement()

    def _tell_acknowledgement(self) -> None:
        waiting, self._on_acknowledgement = self._on_acknowledgement, []
        for what in waiting:
            self.scheduler.after(0.0, what)

    def after_next_acknowledgement(self, what: Callable[[], None]) -> None:
        """Do something right after an operator's next acknowledgement."""
        self._on_acknowledgement.append(what)

    def takeovers_at(self, change: Change) -> int:
        """How many takeovers there were when a change was first acknowledged."""
        return self._takeovers_at.get(change, self.takeovers)

    def expect_acknowledged(self, change: Change) -> None:
        """In calm times a change is acknowledged, or refused, within the bound."""
        is_calm = self.is_calm()
        if not change.is_valid or not (is_calm or (self.zones and self.has_steady_majority())):
            return
        event = self.last_event

        def look() -> None:
            if self.last_event != event or change.acknowledged_at is not None or change.is_refused:
                return
            left_s = change.sent_at + change.without_majority_s + ACK_S - self.scheduler.now
            if left_s > 0.001:
                self.scheduler.after(left_s, look)
            else:
                self.judge.breach(
                    "acknowledgement", f"{change} had no clear answer for {ACK_S} s of a calm or steady time"
                )

        self.judge.counts["changes sent in calm times" if is_calm else "changes sent to a steady majority"] += 1
        self.scheduler.after(ACK_S, look)

    def expect_ended(self, backend: str, controller: str) -> None:
        """All proxies that are in touch soon know of a drain or an end that a controller in touch acknowledged."""
        if controller in self._lost or self.scheduler.now - self.last_event < CONTACT_S:
            return
        event, lives = self.last_event, [proxy.life for proxy in self.proxies if proxy.life is not None]

        def look() -> None:
            for life in lives:
                if self.last_event != event or life.proxy.life is not life or not self.is_in_touch(life, event):
                    continue
                record = life.plane.records.get(backend)
                self.judge.counts["drains seen at a proxy in touch"] += 1
                if record is not None and record.phase in {"ready"}:
                    self.judge.breach("drain", f"{life} does not know of {backend}'s end after {DRAIN_S} s")

        self.scheduler.after(DRAIN_S, look)

    def is_in_touch(self, life: ProxyLife, since: float) -> bool:
        """Whether a proxy that has run since then is cut off from no controller that has a majority."""
        ip = life.proxy.ip
        return life.since <= since and all(
            machine.ip in self._lost or not (self.network.is_cut(ip, machine.ip) or self.network.is_cut(machine.ip, ip))
            for machine in self.machines.values()
            if not machine.is_removed
        )

    # The end.

    def run(self) -> None:
        """Play until the faults end, and then see whether all recovers."""
        self.reader.start()
        self.scheduler.run_until(self.faults_s)
        self._on_lost_answer, self._on_acknowledgement = [], []  # a fault that still waits for one doesn't come
        for machine in list(self.machines.values()):
            machine.disk.stuck_until = machine.disk.slow_until = machine.disk.refuses_until = 0.0
            self.start(machine)
        for proxy in self.proxies:
            proxy.start()
        while self.scheduler.now < self._settled_at() and not self.scheduler.is_stopped:
            self.scheduler.run_until(self._settled_at())
        last = self.judge.counts["changes acknowledged"], self.judge.counts["configurations read"]
        self.scheduler.run_until(self.scheduler.now + RECOVER_S / 2)
        self.is_over = True
        self.scheduler.run_until(self.scheduler.now + RECOVER_S / 2)
        self.is_closed = True
        if not self.judge.breaches:
            self._final(*last)

    def _settled_at(self) -> float:
        """When all must have recovered: counted from the end of the last trouble."""
        is_troubled = any(machine.troubles or machine.bridges for machine in self.machines.values())
        return (self.scheduler.now if is_troubled else max(self.faults_s, self.last_event)) + RECOVER_S

    def _final(self, changes: int, readings: int) -> None:
        judge = self.judge
        if self.operators and judge.counts["changes acknowledged"] == changes:
            judge.breach("recovery", f"no change acknowledged after {RECOVER_S} s without faults")
        if judge.counts["configurations read"] == readings:
            judge.breach("recovery", f"no reading answered after {RECOVER_S} s without faults")
        newest = judge.ledger.newest
        for proxy in self.proxies:
            if proxy.life is not None and proxy.life.plane.revision < newest:
                judge.breach("recovery", f"{proxy.life} has {proxy.life.plane.revision}, not {newest}")
        for machine in self.machines.values():
            if machine.controller is not None:
                revision = machine.controller.overview()["revision"]
                if revision < newest:
                    judge.breach("in step", f"{machine.ip} has {revision}, not {newest}")
        self.evacuation_rules.final()
        judge.counts["runs judged to the end"] += 1

    def _stop(self, rule: str) -> None:
        self.scheduler.is_stopped = self.scheduler.is_stopped or rule not in self.go_on

    def close(self) -> None:
        """Let go of all processes."""
        self.scheduler.is_stopped = True
        for loop in self._loops:
            loop.discard()
