"""Long partitions between zones: five controllers in five zones or in three, and a second fault during the partition.

*bridge*: while two zones reach all others but not each other, and no controller is struck, there are at most two
takeovers.
*confirms again*: a side with a majority acknowledges a change within ``RECONFIRM_TIMEOUT_S`` of the cut.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial

from .world import Machine, World

LAYOUTS = {"five zones": ("a", "b", "c", "d", "e"), "three zones": ("a", "b", "c", "a", "b")}
SPLIT_KINDS = ("zone cut", "nothing gets out", "nothing gets in", "bridge", "zone without power")
SECOND_FAULT_KINDS = (
    "nothing",
    "primary killed",
    "another killed",
    "another wiped",
    "primary frozen",
    "another restarts often",
    "zone wiped",
)
TOLERANCE = 2  # machines
SPLIT_START_S = (4.5, 6.0)
SPLIT_LENGTHS_S = ((20.0, 40.0), (20.0, 40.0), (60.0, 80.0))
POWER_RETURN_SPREAD_S = 1.5  # in which all machines of a zone return
PROXIES, BACKENDS = 5, 10
MAX_TAKEOVERS = 2  # during a bridge without a strike
RECONFIRM_TIMEOUT_S = 5.0
DOWNTIME_S = (0.2, 4.0)  # of a machine that is struck during the partition
RESTART_COUNT = 8  # of a machine that restarts often


@dataclass
class Split:
    """A partition between zones, which starts at ``begins_at``."""

    kind: str
    near: frozenset[str]  # the zones on one side
    far: frozenset[str]  # the zones on the other side
    begins_at: float
    seconds: float
    takeovers: int  # number before the partition
    acknowledged: int  # number of changes before the partition
    is_struck: bool = False  # a controller was struck during the partition


def make_apart(seed: int) -> World:
    """Make a world with one long partition; its kind, the layout and the second fault rotate with the seed."""
    layout = list(LAYOUTS)[seed % len(LAYOUTS)]
    kind = SPLIT_KINDS[seed // len(LAYOUTS) % len(SPLIT_KINDS)]
    second_fault = SECOND_FAULT_KINDS[seed // len(LAYOUTS) // len(SPLIT_KINDS) % len(SECOND_FAULT_KINDS)]
    world = World(seed, controllers=5, proxies=PROXIES, tolerance=TOLERANCE, zones=LAYOUTS[layout])
    random = world.random
    begins_at, seconds = random.uniform(*SPLIT_START_S), random.uniform(*random.choice(SPLIT_LENGTHS_S))
    world.faults_s = begins_at + seconds + 1.0
    world.judge.counts[f"{layout}, {kind}"] += 1
    world.add_operators(2)
    for operator in world.operators:
        operator.pause_s = (0.1, 0.6)
    _add_backends(world, begins_at, seconds)
    world.scheduler.at(begins_at, lambda: _begin_split(world, kind, seconds, second_fault))
    return world


def _add_backends(world: World, begins_at: float, seconds: float) -> None:
    """Add backends that outlive the partition, and others that start, leave or crash during it."""
    random = world.random
    for number in range(BACKENDS):
        starts_at = random.choice([1.0, begins_at + random.uniform(1.0, seconds / 2)])
        ends_at = random.choice([begins_at + seconds * random.uniform(0.6, 0.9), world.faults_s + 60.0])
        world.add_backend(number, starts_at, ends_at - starts_at, crashes=random.random() < 0.3)
        own = [machine.ip for machine in world.machines.values() if machine.zone == world.backends[-1].zone]
        world.backends[-1].preferred_controller = random.choice(own)


def _begin_split(world: World, kind: str, seconds: float, second_fault: str) -> None:
    if not world.should_inject(kind):
        return
    zones = sorted(set(world.zones))
    primary = world.primary()
    near = primary.zone if primary is not None and world.random.random() < 0.5 else world.random.choice(zones)
    others = [zone for zone in zones if zone != near]
    far = {world.random.choice(others)} if kind == "bridge" else set(others)
    split = Split(kind, frozenset({near}), frozenset(far), world.scheduler.now, seconds, world.takeovers, 0)
    split.acknowledged = world.judge.counts["changes acknowledged"]
    if kind == "bridge" and primary is not None and primary.zone in {near, *far}:
        world.judge.counts["bridges with the primary at an end"] += 1
    if kind == "zone without power":
        _switch_off(world, split)
    else:
        _cut(world, split)
    _expect_confirmed_again(world, split)
    if second_fault != "nothing":
        world.scheduler.after(
            world.random.uniform(3.0, seconds / 2), lambda: _inject_second_fault(world, split, second_fault)
        )
    world.scheduler.after(seconds - 0.1, lambda: _check_takeovers(world, split))


def _cut(world: World, split: Split) -> None:
    near, far = _addresses(world, split.near), _addresses(world, split.far)
    pairs = [(one, other) for one in near for other in far]
    if split.kind == "nothing gets in":
        pairs = [(other, one) for one, other in pairs]
    elif split.kind != "nothing gets out":
        pairs += [(other, one) for one, other in pairs]
    why = f"{split.kind}, {sorted(split.near)} from {sorted(split.far)}"
    if split.kind == "bridge":
        world.bridge(_controllers(world, split.near | split.far), pairs, split.seconds, why)
    else:
        world.cut_machines(_controllers(world, split.near), pairs, split.seconds, why)


def _addresses(world: World, zones: Iterable[str]) -> list[str]:
    """Return the addresses of the controllers, proxies and backends of these zones."""
    proxies = [proxy.ip for proxy in world.proxies if proxy.zone in zones]
    backends = [backend.loop.ip for backend in world.backends if backend.zone in zones]
    return [machine.ip for machine in _controllers(world, zones)] + proxies + backends


def _controllers(world: World, zones: Iterable[str]) -> list[Machine]:
    return [machine for machine in world.current_machines() if machine.zone in zones]


def _switch_off(world: World, split: Split) -> None:
    back_s = world.random.uniform(0.0, POWER_RETURN_SPREAD_S)
    for machine in _controllers(world, split.near):
        world.stop(machine, has_power=False)
        world.scheduler.after(split.seconds - back_s, partial(world.start, machine))
    for proxy in world.proxies:
        if proxy.zone in split.near:
            proxy.kill(has_power=False)
            world.scheduler.after(split.seconds - back_s, proxy.start)


# The second fault, during the partition.


def _inject_second_fault(world: World, split: Split, kind: str) -> None:
    """Take down controllers that the majority can do without, for ``DOWNTIME_S``."""
    if not world.should_inject(kind):
        return
    candidates = [victims for victims in _choices(world, kind) if _can_be_lost(world, victims)]
    if not candidates:
        world.judge.counts["nobody could be lost meanwhile"] += 1
        return
    victims = world.random.choice(candidates)
    split.is_struck = True
    world.judge.counts[f"while apart: {kind}"] += 1
    if split.kind == "bridge" and world.primary() in victims:
        world.judge.counts["primary lost over a bridge"] += 1
    for victim in victims:
        if kind == "primary frozen":
            world.freeze(victim, world.random.uniform(*DOWNTIME_S))
        elif kind == "another restarts often":
            _restart(world, victim, RESTART_COUNT)
        else:
            world.stop(victim, has_power=kind.endswith("killed"), wipes=kind.endswith("wiped"))
            world.scheduler.after(world.random.uniform(*DOWNTIME_S), partial(world.start, victim))


def _choices(world: World, kind: str) -> list[list[Machine]]:
    """Return the sets of machines that this kind of fault may strike together."""
    if kind == "zone wiped":
        return [_controllers(world, {zone}) for zone in sorted(set(world.zones))]
    primary = world.primary()
    return [[one] for one in world.current_machines() if (one is primary) == kind.startswith("primary")]


def _can_be_lost(world: World, victims: list[Machine]) -> bool:
    """Whether a controller still reaches a majority without the victims, and no more is lost than must be tolerated."""
    if any(one.active_faults or not one.is_running for one in victims):
        return False
    if len(world.machines_in_trouble()) + len(victims) > TOLERANCE:
        return False
    others = [one for one in world.current_machines() if one not in victims]
    reached = [sum(world.are_connected(one, other) for other in others) for one in others]
    return 2 * max(reached) > len(world.current_machines())


def _restart(world: World, victim: Machine, times: int) -> None:
    if not times or not victim.is_running:
        return
    world.stop(victim, has_power=True)
    world.scheduler.after(0.3, partial(world.start, victim))
    world.scheduler.after(world.random.uniform(0.5, 2.0), partial(_restart, world, victim, times - 1))


# Expectations.


def _expect_confirmed_again(world: World, split: Split) -> None:
    """Expect the side with a majority to acknowledge a change within ``RECONFIRM_TIMEOUT_S``."""

    def check() -> None:
        judge = world.judge
        if judge.counts["changes acknowledged"] > split.acknowledged:
            judge.record_longest("after a cut until a change was acknowledged", world.scheduler.now - split.begins_at)
        elif world.scheduler.now - split.begins_at > RECONFIRM_TIMEOUT_S:
            judge.breach("confirms again", f"no change acknowledged for {RECONFIRM_TIMEOUT_S} s of a {split.kind}")
        else:
            world.scheduler.after(0.05, check)

    world.scheduler.after(0.05, check)


def _check_takeovers(world: World, split: Split) -> None:
    takeovers = world.takeovers - split.takeovers
    world.judge.counts[f"takeovers in a {split.kind}"] += takeovers
    if split.kind != "bridge" or split.is_struck:
        return
    world.judge.counts["bridges without a strike"] += 1
    world.judge.counts["takeovers in bridges without a strike"] += takeovers
    if split.seconds >= 60.0:
        world.judge.counts["bridges of 60 s without a strike"] += 1
    if takeovers > MAX_TAKEOVERS:
        world.judge.breach("bridge", f"{takeovers} takeovers in {split.seconds:.0f} s")


APART_CASES = (
    *(f"{layout}, {kind}" for layout in LAYOUTS for kind in SPLIT_KINDS),
    "changes sent to a steady majority",
    "bridges without a strike",
    "bridges with the primary at an end",
    "answers 503 of a controller without a majority",
)
