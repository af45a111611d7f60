"""The scenarios: the faults that a world's seed determines, and the cases that each scenario must reach."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from loguru import logger

from cranebank import invariants
from cranebank.transport.messages import StageLoad

from .apart import APART_CASES, make_apart
from .judge import CATCH_UP_TIMEOUT_S
from .stages import SWITCH_TIMES_S, StagedBackend
from .world import Machine, Proxy, World

CUT_KINDS = ("both", "out", "in", "partly", "frozen")
LOSS_KINDS = ("replaced", "leaves", "wiped", "killed", "without power")
STRIKE_KINDS = ("kill", "power", "freeze", "disk")
CLOSING_KINDS = ("", "all killed", "all without power", "some wiped, others without power")
LONG_FAULTS_S, SHORT_FAULTS_S = 26.0, 18.0  # until the end of the faults
ACK_WAIT_S = 0.5  # for which a fault waits for an acknowledgement
QUIET_END_S = 1.0  # before the end of the faults, in which no new fault begins


@dataclass(frozen=True)
class Scenario:
    """A family of schedules. ``cases`` are counts that must be above zero over many schedules."""

    make: Callable[[int], World]
    cases: tuple[str, ...]


@dataclass
class ScheduleResult:
    """The result of one schedule."""

    seed: int
    breaches: list[str]
    counts: dict[str, int]
    longest: dict[str, float]
    trace: list[str]
    shortest: dict[str, float]
    fault_count: int = 0  # injected or skipped


def play(
    point: str, seed: int, tolerated_rules: frozenset[str] = frozenset(), skipped_faults: frozenset[int] = frozenset()
) -> ScheduleResult:
    """Run one schedule. Breaches of ``tolerated_rules`` don't end it; faults with numbers in ``skipped_faults`` are not
    injected."""
    logger.disable("cranebank")
    try:
        violated = sum(invariants.violations().values())
        world = SCENARIOS[point].make(seed)
        world.tolerated_rules, world.skipped_faults = tolerated_rules, skipped_faults
        judge = world.judge
        try:
            world.run()
            if sum(invariants.violations().values()) > violated:
                judge.breach("invariant", f"violated: {dict(invariants.violations())}")
            trace = list(judge.trace)
            return ScheduleResult(
                seed, judge.breaches, dict(judge.counts), judge.longest, trace, judge.shortest, world.fault_count
            )
        finally:
            world.close()
    finally:
        logger.enable("cranebank")


def shrink(
    point: str, seed: int, tolerated_rules: frozenset[str] = frozenset()
) -> tuple[ScheduleResult, frozenset[int]]:
    """Skip faults of a schedule with breaches, one after another, as long as one of the same rules is still broken.

    Return the result of a schedule of which no further fault can be skipped, and the numbers of the skipped faults.
    """
    played, skipped_faults = play(point, seed, tolerated_rules), frozenset[int]()
    rules = _broken_rules(played)
    if not rules:
        return played, skipped_faults
    while True:
        for number in sorted(set(range(played.fault_count)) - skipped_faults, reverse=True):
            tried = play(point, seed, tolerated_rules, skipped_faults | {number})
            if rules & _broken_rules(tried):
                played, skipped_faults = tried, skipped_faults | {number}
                break
        else:
            return played, skipped_faults


def _broken_rules(played: ScheduleResult) -> set[str]:
    return {breach.partition(":")[0] for breach in played.breaches}


def _next_kind(world: World, what: str, kinds: tuple[str, ...]) -> str:
    """Return the next kind of a fault: they rotate, and the seed gives the first, so that few schedules reach all."""
    done = sum(world.judge.counts[f"{what}: {kind}"] for kind in kinds)
    kind = kinds[(world.seed + done) % len(kinds)]
    _count(world, f"{what}: {kind}")
    return kind


def _choose_victim(world: World, primary_share: float = 0.5) -> Machine | None:
    """Return a machine that may be lost within the tolerance, if any; the primary at least at ``primary_share``."""
    lost = world.machines_in_trouble()
    if len(lost) >= world.tolerance:
        return None
    candidates = [one for one in world.machines.values() if not one.is_removed and one not in lost]
    primary = world.primary()
    if primary in candidates and world.random.random() < primary_share:
        return primary
    return world.random.choice(candidates) if candidates else None


def _add_backends(world: World, count: int, first: float, last: float) -> None:
    for number in range(count):
        start = world.random.uniform(0.5, 2.0)
        end = world.random.uniform(first, last)
        world.add_backend(number, start, max(0.5, end - start))


def _count(world: World, case: str) -> None:
    world.judge.counts[case] += 1


# A controller is cut off for about 20 s.


def _cut(seed: int) -> World:
    is_large = seed % 4 == 3
    world = World(
        seed, controllers=5 if is_large else 3, proxies=3, tolerance=2 if is_large else 1, faults_s=LONG_FAULTS_S
    )
    world.add_operators(1)
    world.operators[0].pause_s = (0.2, 1.2)
    _add_backends(world, 4, 6.0, 24.0)
    world.scheduler.at(world.random.uniform(4.5, 6.0), lambda: _cut_off(world))
    if is_large:
        world.scheduler.at(world.random.uniform(8.0, 16.0), lambda: _strike_second_machine(world))
    return world


def _strike_second_machine(world: World) -> None:
    victim = _choose_victim(world, 0.7)
    if victim is not None:
        _count(world, "another struck while one is cut off")
        _strike_machine(world, victim)


def _cut_off(world: World) -> None:
    if not world.should_inject("cut off"):
        return
    victim = _choose_victim(world, world.seed % 2)
    if victim is None:
        return
    random = world.random
    seconds = random.uniform(17.0, 21.0)
    _count(world, "cut off: primary" if victim is world.primary() else "cut off: another")
    kind = CUT_KINDS[world.seed % len(CUT_KINDS)]
    _count(world, f"cut off: {kind}")
    if kind == "frozen":
        world.freeze(victim, seconds)
        return
    others = [ip for ip in world.machines if ip != victim.ip]
    same_side_proxies = random.sample(world.proxies, random.choice([0, 1, 1, 2]))
    other_side = [*others, *(proxy.ip for proxy in world.proxies if proxy not in same_side_proxies)]
    if kind == "partly":
        other_side = random.choice([others[:1], others])
    same_side = [victim.ip, *(proxy.ip for proxy in same_side_proxies)]
    pairs = [(one, other) for one in same_side for other in other_side]
    if kind == "in":
        pairs = [(other, one) for one, other in pairs]
    elif kind != "out":
        pairs += [(other, one) for one, other in pairs]
    world.cut(victim, pairs, seconds, f"{kind}, with {[proxy.ip for proxy in same_side_proxies]}")
    for proxy in same_side_proxies:
        world.scheduler.after(random.uniform(1.0, seconds - 3.0), partial(_restart_proxy, world, proxy))


def _restart_proxy(world: World, proxy: Proxy) -> None:
    if not world.should_inject("restart proxy"):
        return
    _count(world, "proxies restarted beside one cut off")
    proxy.kill()
    world.scheduler.after(0.3, proxy.start)


# Two operators use the same revisions, with takeovers, lost answers and changes sent twice at once.


def _orders(seed: int) -> World:
    world = World(seed, faults_s=SHORT_FAULTS_S)
    world.add_operators(2)
    world.duplicate_share = 0.2
    is_long = world.random.random() < 0.3
    for operator in world.operators:
        operator.max_in_progress = 8
        operator.pause_s = (0.01, 0.03) if is_long else (0.02, 0.4)
        operator.early_timeout_share = world.random.choice([0.0, 0.1, 0.3])
        operator.resend_share = 0.05 if is_long else 0.15
    _schedule_strikes(world, 4.5, (2.0, 6.0))
    _schedule_closing_fault(world)
    return world


def _schedule_strikes(world: World, first: float, every: tuple[float, float]) -> None:
    """Strike the primary repeatedly, often at the moment at which an answer to an operator is lost."""

    def strike() -> None:
        victim = _choose_victim(world, 0.8)
        if victim is not None:
            _strike_machine(world, victim)

    def plan() -> None:
        if world.scheduler.now > world.faults_s - QUIET_END_S:
            return
        world.scheduler.after(world.random.uniform(*every), plan)
        if world.random.random() < 0.5:
            world.after_next_lost_answer(strike)
        else:
            strike()

    world.scheduler.at(first, plan)


def _strike_machine(world: World, victim: Machine) -> None:
    if not world.should_inject("strike"):
        return
    random = world.random
    kind = _next_kind(world, "struck", STRIKE_KINDS)
    if kind == "freeze":
        world.freeze(victim, random.uniform(0.5, 4.0))
    elif kind == "disk":
        until = world.scheduler.now + random.uniform(0.5, 3.0)
        attribute = random.choice(["stuck_until", "refuses_until", "slow_until"])
        setattr(victim.disk, attribute, until)
        world.judge.note(f"{victim.ip}: {attribute} {until:.1f}")
        world.changed(victim)
    else:
        world.stop(victim, has_power=kind == "kill")
        world.scheduler.after(random.uniform(0.1, 3.0), lambda: world.start(victim))


def _schedule_closing_fault(world: World) -> None:
    """Schedule, for some seeds, a last fault that strikes all controllers at once, at any point of a change."""
    kind = CLOSING_KINDS[world.seed % len(CLOSING_KINDS)]
    if not kind:
        return

    def strike() -> None:
        if not world.should_inject("closing fault"):
            return
        _count(world, f"closing fault: {kind}")
        present = [machine for machine in world.machines.values() if not machine.is_removed]
        candidates = [machine for machine in present if machine not in world.machines_in_trouble()]
        further = max(0, world.tolerance - len(world.machines_in_trouble()))
        wiped = world.random.sample(candidates, min(further, len(candidates))) if kind.startswith("some") else []
        for machine in present:
            world.stop(machine, has_power=kind == "all killed", wipes=machine in wiped)
            world.scheduler.after(world.random.uniform(0.1, 0.8), partial(world.start, machine))

    world.scheduler.at(world.faults_s - world.random.uniform(0.0, QUIET_END_S), lambda: _strike_soon(world, strike))


def _strike_soon(world: World, strike: Callable[[], None]) -> None:
    """Strike at once, or right after the next acknowledgement if one comes within ``ACK_WAIT_S``."""
    if world.random.random() < 0.4:
        strike()
        return
    struck: list[float] = []

    def once() -> None:
        if not struck:
            struck.append(world.scheduler.now)
            strike()

    world.after_next_acknowledgement(once)
    world.scheduler.after(ACK_WAIT_S, once)


# Machines are lost right after a replacement, a repair or a planned leave.


GROUP_SIZES = (
    (3, 1),
    (3, 1),
    (5, 2),
    (3, 1),
    (3, 1),
    (7, 3),
)  # number of controllers, and how many may be lost at once


def _losses(seed: int) -> World:
    controllers, tolerance = GROUP_SIZES[seed % len(GROUP_SIZES)]
    world = World(seed, controllers=controllers, tolerance=tolerance, faults_s=LONG_FAULTS_S)
    world.add_operators(1)
    world.operators[0].pause_s = (0.05, 0.4)

    def strike() -> None:
        if world.scheduler.now > world.faults_s - QUIET_END_S:
            return
        world.scheduler.after(world.random.choice([0.3, CATCH_UP_TIMEOUT_S]) + world.random.uniform(0.0, 0.5), strike)
        _strike_soon(world, lose)

    def lose() -> None:
        victim = _choose_victim(world, 0.6)
        if victim is not None:
            _lose_machine(world, victim)

    world.scheduler.at(3.0, strike)
    _schedule_closing_fault(world)
    return world


def _lose_machine(world: World, victim: Machine) -> None:
    if not world.should_inject("lose"):
        return
    random = world.random
    kind = _next_kind(world, "lost", LOSS_KINDS)
    if kind == "replaced":
        world.stop(victim, has_power=False)
        world.remove(victim)
        world.add_machine()
    elif kind == "leaves":
        world.terminate(victim)
        world.scheduler.after(random.uniform(9.0, 10.0), lambda: world.start(victim))
    else:
        world.stop(victim, has_power=kind == "killed", wipes=kind == "wiped")
        world.scheduler.after(random.uniform(0.1, 2.0), lambda: world.start(victim))


# Hundreds of changes, with restarts and replacements.


def _many_changes(seed: int) -> World:
    world = World(seed)
    world.add_operators(2)
    for operator in world.operators:
        operator.max_in_progress = 4
        operator.pause_s = (0.03, 0.09)
        operator.resend_share = 0.02
        operator.padding_bytes = world.random.choice([0, 2000])

    def strike() -> None:
        if world.scheduler.now > world.faults_s - QUIET_END_S:
            return
        world.scheduler.after(world.random.uniform(3.0, 6.0), strike)
        victim = _choose_victim(world, 0.4)
        if victim is None:
            return
        if world.random.random() < 0.3:
            _lose_machine(world, victim)
        else:
            _strike_machine(world, victim)

    world.scheduler.at(4.0, strike)
    return world


# Connections of controllers are reset or cut at any time; proxies freeze or are down for a while.


PROXY_FAULT_KINDS = ("frozen", "without power", "killed")


def _resets(seed: int) -> World:
    world = World(seed, proxies=3, faults_s=SHORT_FAULTS_S)
    world.add_operators(2)
    for operator in world.operators:
        operator.max_in_progress = 4
        operator.pause_s = (0.05, 0.4)
        operator.early_timeout_share = 0.2
    _add_backends(world, 4, 4.0, 24.0)

    def strike() -> None:
        if world.scheduler.now > world.faults_s - QUIET_END_S:
            return
        world.scheduler.after(world.random.choice([0.05, 0.3, 1.0, 6.0]) * world.random.uniform(0.5, 1.5), strike)
        _disturb(world)

    def strike_proxy() -> None:
        if world.scheduler.now > world.faults_s - QUIET_END_S:
            return
        world.scheduler.after(world.random.uniform(2.0, 7.0), strike_proxy)
        _disturb_proxy(world)

    world.scheduler.at(2.5, strike)
    world.scheduler.at(4.0, strike_proxy)
    return world


def _disturb_proxy(world: World) -> None:
    if not world.should_inject("disturb proxy"):
        return
    proxy, random = world.random.choice(world.proxies), world.random
    kind = _next_kind(world, "a proxy", PROXY_FAULT_KINDS)
    if kind == "frozen":
        proxy.freeze(random.choice([0.5, 1.5, 4.0]) * random.uniform(0.7, 1.0))
    else:
        proxy.kill(has_power=kind == "killed")
        world.scheduler.after(random.uniform(0.2, 3.0), proxy.start)


def _disturb(world: World) -> None:
    if not world.should_inject("disturb"):
        return
    random = world.random
    machine = random.choice(list(world.machines.values()))
    kind = random.choice(["reset", "silence"])
    if kind == "reset":
        remote = random.choice([*world.machines, *(proxy.ip for proxy in world.proxies), ""])
        broken = world.network.reset(machine.ip, lambda end: not remote or end.remote == remote)
        world.judge.counts["connections reset"] += broken
        world.judge.note(f"{broken} connections of {machine.ip} are reset")
        world.changed(machine)
        return
    everybody = [ip for ip in [*world.machines, *(proxy.ip for proxy in world.proxies)] if ip != machine.ip]
    others = random.choice([[random.choice(everybody)], everybody])
    _count(world, f"silences between a machine and {'one other' if len(others) == 1 else 'all others'}")
    directions = random.choice([1, 2])
    pairs = [pair for ip in others for pair in [(machine.ip, ip), (ip, machine.ip)][:directions]]
    world.cut(machine, pairs, random.choice([0.3, 1.0, 2.5]) * random.uniform(0.5, 1.5), f"from {others}")


# Backends of both stages leave or crash, under faults that cause takeovers.


STAGES_FAULTS_S = 40.0
LATEST_LOSS_S = 24.0
END_KINDS = ("drain", "crash")
ORDER_FAULT_KINDS = ("primary struck", "lost, and primary struck", "", "held up", "answer held up")


def _stages(seed: int) -> World:
    world = World(seed, faults_s=STAGES_FAULTS_S)
    random = world.random
    world.add_operators(1)
    world.operators[0].pause_s = (0.4, 1.2)
    world.switch_s = random.choice(SWITCH_TIMES_S)
    for number in range(random.randint(2, 6)):
        stage = "decode" if number % 2 else "prefill"
        is_lost = stage == "decode" or random.random() < 0.2
        end = random.uniform(6.0, LATEST_LOSS_S) if is_lost else 10 * STAGES_FAULTS_S
        backend = world.add_staged_backend(stage, random.uniform(0.5, 1.5), end, random.choice(END_KINDS))
        backend.lost_answer_share = random.choice([0.0, 0.0, 0.5, 1.0])
    world.on_backend_called = lambda backend, machine: _disturb_order(world, backend, machine)
    if seed % 3:
        _schedule_strikes(world, 5.0, (1.0, 5.0) if seed % 3 == 1 else (6.0, 14.0))
    if seed % 4 == 1:
        world.scheduler.at(random.uniform(8.0, 20.0), lambda: _cut_off(world))
    return world


# The load moves from one stage to the other and back, under the same faults.


STAGE_LOADS = (0.0, 0.1, 0.5, 2.0)  # erlangs that one proxy offers to a stage


def _loads(seed: int) -> World:
    world = World(seed, faults_s=STAGES_FAULTS_S)
    random = world.random
    world.add_operators(1)
    world.operators[0].pause_s = (0.4, 1.2)
    for number in range(random.randint(4, 7)):
        stage = "decode" if number % 3 else "prefill"
        end = random.uniform(6.0, LATEST_LOSS_S) if random.random() < 0.2 else 10 * STAGES_FAULTS_S
        backend = world.add_staged_backend(stage, random.uniform(0.5, 1.5), end, random.choice(END_KINDS))
        backend.lost_answer_share = random.choice([0.0, 0.0, 0.5])
    world.on_backend_called = lambda backend, machine: _disturb_order(world, backend, machine)
    _change_load(world)
    if seed % 4 != 2:
        _schedule_strikes(world, 5.0, ((4.0, 8.0), (1.0, 5.0), (0.0, 0.0), (6.0, 14.0))[seed % 4])
    else:
        world.scheduler.at(random.uniform(8.0, 20.0), lambda: _cut_off(world))
    return world


def _change_load(world: World) -> None:
    random = world.random
    world.loads_per_proxy = (StageLoad("s", random.choice(STAGE_LOADS), random.choice(STAGE_LOADS)),)
    world.scheduler.after(random.uniform(2.0, 8.0), lambda: _change_load(world))


def _disturb_order(world: World, backend: StagedBackend, machine: Machine) -> None:
    """Inject a fault while an order is in transit, or has just been accepted."""
    if not world.should_inject("disturb order"):
        return
    if world.scheduler.now > STAGES_FAULTS_S - QUIET_END_S:
        return
    random = world.random
    kind = _next_kind(world, "order", ORDER_FAULT_KINDS)
    seconds = random.uniform(0.3, 6.0)
    if kind == "lost, and primary struck":
        world.network.cut(machine.ip, backend.loop.ip)
        world.scheduler.after(seconds, lambda: world.network.heal(machine.ip, backend.loop.ip))
    elif kind == "held up":
        world.cut(machine, [(machine.ip, backend.loop.ip)], seconds, "an order is held up")
    elif kind == "answer held up":
        world.cut(machine, [(backend.loop.ip, machine.ip)], seconds, "the answer to an order is held up")
    if kind.endswith("primary struck"):
        world.scheduler.after(random.choice([0.0, 0.05, 1.0]), lambda: _replace_holder(world, machine))


def _replace_holder(world: World, machine: Machine) -> None:
    """Freeze or stop the lease holder for longer than a takeover takes, so that another controller gets the lease."""
    if not world.should_inject("replace holder"):
        return
    if machine in world.machines_in_trouble() or len(world.machines_in_trouble()) >= world.tolerance:
        return
    _count(world, "a holder struck after its order")
    if world.random.random() < 0.4:
        world.freeze(machine, world.random.uniform(2.0, 6.0))
        return
    world.stop(machine, has_power=world.random.random() < 0.5)
    world.scheduler.after(world.random.uniform(2.5, 6.0), lambda: world.start(machine))


# Controllers are cut off from each other, and backends send heartbeats to one that the others don't reach.


PARTITION_KINDS = ("one from the others", "each from all others", "one way", "one, and from most proxies")
SECOND_FAULT_KINDS = ("nothing", "restart of the one", "restart of another", "freeze of another", "restart of a proxy")


def _heard(seed: int) -> World:
    world = World(seed, proxies=4, faults_s=LONG_FAULTS_S)
    world.add_operators(1)
    world.operators[0].pause_s = (0.2, 1.2)
    _add_backends(world, 6, LONG_FAULTS_S, LONG_FAULTS_S + 2.0)
    world.add_backend(6, 1.0, world.random.uniform(5.0, 12.0), crashes=True)
    world.add_backend(7, 1.0, world.random.uniform(5.0, 12.0))
    world.scheduler.at(world.random.uniform(4.5, 6.0), lambda: _partition(world))
    return world


def _partition(world: World) -> None:
    if not world.should_inject("partition"):
        return
    random, kind = world.random, PARTITION_KINDS[world.seed % len(PARTITION_KINDS)]
    _count(world, f"partition: {kind}")
    ips, seconds = list(world.machines), random.uniform(17.0, 21.0)
    victim = random.choice(ips)
    for backend in random.sample(world.backends, 5):
        backend.preferred_controller = random.choice(ips) if kind == "each from all others" else victim
    for ip in ips if kind == "each from all others" else [victim]:
        pairs = [(ip, other) for other in ips if other != ip]
        if kind != "one way":
            pairs += [(other, one) for one, other in pairs]
        if kind == "one, and from most proxies":
            cut_proxies = random.sample([proxy.ip for proxy in world.proxies], len(world.proxies) - 1)
            pairs += [pair for proxy in cut_proxies for pair in ((ip, proxy), (proxy, ip))]
        world.cut(world.machines[ip], pairs, seconds, kind)
    other = random.choice([one for one in ips if one != victim])
    world.scheduler.after(random.uniform(1.0, 7.0), lambda: _inject_second_fault(world, victim, other))


def _inject_second_fault(world: World, victim: str, other: str) -> None:
    """Inject a second fault while controllers are cut off from each other."""
    if not world.should_inject("meanwhile"):
        return
    random, kind = world.random, SECOND_FAULT_KINDS[world.seed // len(PARTITION_KINDS) % len(SECOND_FAULT_KINDS)]
    _count(world, f"in a partition: {kind}")
    if kind == "freeze of another":
        world.freeze(world.machines[other], random.uniform(1.0, 5.0))
    elif kind == "restart of a proxy":
        _restart_proxy(world, random.choice(world.proxies))
    elif kind != "nothing":
        machine = world.machines[victim if kind == "restart of the one" else other]
        world.stop(machine, has_power=random.random() < 0.5)
        world.scheduler.after(random.uniform(0.1, 2.0), lambda: world.start(machine))


# Evacuations of zones are started and finished, under faults of controllers and proxies.


def _evacuations(seed: int) -> World:
    controllers, tolerance = GROUP_SIZES[seed % len(GROUP_SIZES)]
    world = World(seed, controllers=controllers, proxies=3, tolerance=tolerance, faults_s=LONG_FAULTS_S)
    world.add_operators(1)
    world.operators[0].pause_s = (0.1, 1.0)
    is_slow = world.random.random() < 0.3  # a missed change shows only until a later one repairs it
    for evacuator in world.add_evacuators(2):
        evacuator.early_timeout_share = world.random.choice([0.0, 0.2])
        evacuator.pause_s = (11.0, 14.0) if is_slow else world.random.choice([(0.02, 0.3), (0.5, 7.0)])
    strike_interval_s = (
        (8.0, 9.0) if is_slow else world.random.choice([(0.3, 1.0), (CATCH_UP_TIMEOUT_S, CATCH_UP_TIMEOUT_S + 1.0)])
    )

    def strike() -> None:
        if world.scheduler.now > world.faults_s - QUIET_END_S:
            return
        world.scheduler.after(world.random.uniform(*strike_interval_s), strike)
        kind = world.random.random()
        if kind < 0.15:
            _disturb(world)
        elif kind < (0.8 if is_slow else 0.3):
            _disturb_proxy(world)
        else:
            _strike_soon(world, lose_or_strike)

    def lose_or_strike() -> None:
        victim = _choose_victim(world, 0.7)
        if victim is not None:
            (_lose_machine if world.random.random() < 0.5 else _strike_machine)(world, victim)

    world.scheduler.at(3.0, strike)
    _schedule_closing_fault(world)
    return world


SCENARIOS: dict[str, Scenario] = {
    "evacuations": Scenario(
        _evacuations,
        (
            "takeovers",
            "evacuations acknowledged: start",
            "evacuations acknowledged: finish",
            "evacuations acknowledged when sent again",
            "evacuations sent in calm times",
            "evacuations looked for at a proxy in touch",
            "closing fault: some wiped, others without power",
            *(f"struck: {kind}" for kind in STRIKE_KINDS),
        ),
    ),
    "apart": Scenario(make_apart, APART_CASES),
    "heard": Scenario(
        _heard,
        (
            *(f"partition: {kind}" for kind in PARTITION_KINDS),
            *(f"in a partition: {kind}" for kind in SECOND_FAULT_KINDS[:3]),
            "crashed backends looked for at a proxy",
        ),
    ),
    "cut": Scenario(
        _cut,
        (
            *(f"cut off: {kind}" for kind in ("primary", "another", *CUT_KINDS)),
            "changes acknowledged while a controller had lost contact",
            "another struck while one is cut off",
            "answers 503 of a controller without a majority",
            "proxies restarted beside one cut off",
            "draining acknowledged",
            "gone acknowledged",
            "drains seen at a proxy in touch",
        ),
    ),
    "orders": Scenario(
        _orders,
        (
            "takeovers",
            "answers lost on their way",
            "changes sent to two controllers at once",
            "acknowledged after a lost answer and a takeover",
            "resent after a takeover and other changes",
            "resent after 100 changes",
            "changes refused with 412",
            "changes refused with 400",
            "closing fault: all killed",
            "closing fault: all without power",
        ),
    ),
    "losses": Scenario(
        _losses,
        (
            *(f"lost: {kind}" for kind in LOSS_KINDS),
            "closing fault: some wiped, others without power",
        ),
    ),
    "many": Scenario(
        _many_changes, ("takeovers", "lost: replaced", "lost: wiped", "struck: kill", "resent after 100 changes")
    ),
    "resets": Scenario(
        _resets,
        (
            "connections reset",
            "silences between a machine and one other",
            "silences between a machine and all others",
            "answers lost on their way",
            "takeovers",
            *(f"a proxy: {kind}" for kind in PROXY_FAULT_KINDS),
        ),
    ),
    "stages": Scenario(
        _stages,
        (
            "takeovers",
            "orders answered 202",
            "answers to orders and reports lost",
            "services staffed again",
            "orders followed up by a successor",
            "a holder struck after its order",
            *(f"order: {kind}" for kind in ORDER_FAULT_KINDS),
            "cut off: primary",
            *(f"struck: {kind}" for kind in STRIKE_KINDS),
        ),
    ),
    "loads": Scenario(
        _loads,
        (
            "takeovers",
            "orders to prefill",
            "orders to decode",
            "orders answered 202",
            "answers to orders and reports lost",
            "backends ordered by two holders",
            "a holder struck after its order",
            *(f"order: {kind}" for kind in ORDER_FAULT_KINDS),
        ),
    ),
}
