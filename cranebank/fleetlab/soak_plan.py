"""Plans of soak runs, drawn from a seed: which faults happen when, so that two or three overlap. No I/O.

A run has episodes. In each one faults overlap; when all of them have healed comes a calm time, in which the system must
serve again. The next episode begins when the calm time of the one before is over, however long its faults took.
"""

from __future__ import annotations

import math
from enum import Enum
from random import Random

import msgspec

from cranebank.fleetlab.fleet import FleetShape
from cranebank.fleetlab.run_options import RunOptions, TallyLoad, WarmUp

FIRST_FAULT_S = 1.0  # from the beginning of an episode
AT_ONCE = 3  # faults that overlap
LARGE_EVERY = 4  # of the seeds have five controllers
APART_RATE = 40.0  # requests a second in a run of several zones
APART_RUN = RunOptions(TallyLoad(4.0), WarmUp(3.0, 5.0))


class FaultKind(Enum):
    """What can go wrong."""

    KILL_PRIMARY = "kill-primary"
    KILL_CONTROLLER = "kill-controller"
    KILL_MOST_CONTROLLERS = "kill-most-controllers"
    KILL_EVERYTHING = "kill-everything"
    STOP_CONTROLLER = "stop-controller"
    ROLL_CONTROLLERS = "roll-controllers"
    PAUSE_PRIMARY = "pause-primary"
    PAUSE_CONTROLLER = "pause-controller"
    WIPE_CONTROLLER = "wipe-controller"
    REPLACE_CONTROLLER = "replace-controller"
    KILL_PROXY = "kill-proxy"
    KILL_PROXIES = "kill-proxies"
    PAUSE_PROXY = "pause-proxy"
    ROLL_PROXIES = "roll-proxies"
    CUT_CONTROLLER_FROM_CONTROLLERS = "cut-controller-from-controllers"
    CUT_CONTROLLER_FROM_ALL = "cut-controller-from-all"
    DEAF_CONTROLLER = "deaf-controller"
    MUTE_CONTROLLER = "mute-controller"
    CUT_PAIR_OF_CONTROLLERS = "cut-pair-of-controllers"
    CUT_HALVES = "cut-halves"
    CUT_CONTROLLER_FROM_PROXIES = "cut-controller-from-proxies"
    CUT_PROXY_FROM_CONTROLLERS = "cut-proxy-from-controllers"
    CUT_PROXY_FROM_BACKENDS = "cut-proxy-from-backends"
    CUT_BACKEND_FROM_CONTROL = "cut-backend-from-control"
    CUT_BACKENDS_FROM_SOME_CONTROLLERS = "cut-backends-from-some-controllers"
    RESET_CONNECTIONS = "reset-connections"
    LOSE_OPERATOR_ANSWERS = "lose-operator-answers"
    LOSE_HEARTBEAT_ANSWERS = "lose-heartbeat-answers"
    BACKEND_CRASH = "backend-crash"
    BACKEND_DARK = "backend-dark"
    BACKEND_SILENT = "backend-silent"
    BACKEND_CUTS_ANSWERS = "backend-cuts-answers"
    BACKEND_LATE_ANSWERS = "backend-late-answers"
    BACKEND_LEAVES = "backend-leaves"
    RELEASE = "release"
    DECODE_STAGE_LEAVES = "decode-stage-leaves"
    PREFILL_STAGE_LEAVES = "prefill-stage-leaves"
    HEARTBEATS_TO_ONE = "heartbeats-to-one"
    ZONE_LOSS = "zone-loss"
    ZONE_CUT = "zone-cut"
    ONE_WAY_ZONE_CUT = "one-way-zone-cut"
    BRIDGE_CUT = "bridge-cut"
    COLD_RETURN = "cold-return"
    BACKEND_TURNS_COLD = "backend-turns-cold"
    EVACUATE = "evacuate"
    EVACUATE_FOR_GOOD = "evacuate-for-good"


class FaultGroup(Enum):
    """What a fault strikes, and so who injects it."""

    PROCESSES = "processes"
    NETWORK = "network"
    BACKENDS = "backends"
    ZONES = "zones"


class Traits(msgspec.Struct, frozen=True):
    """What a fault strikes, how long it lasts (seconds, at least and at most), and what it may only be drawn with."""

    group: FaultGroup
    shortest: float
    longest: float
    loses_disk: bool = False
    is_final: bool = False  # what it takes away doesn't come back: for the last episode


TRAITS: dict[FaultKind, Traits] = {
    FaultKind.KILL_PRIMARY: Traits(FaultGroup.PROCESSES, 0.3, 5.0),
    FaultKind.KILL_CONTROLLER: Traits(FaultGroup.PROCESSES, 0.3, 5.0),
    FaultKind.KILL_MOST_CONTROLLERS: Traits(FaultGroup.PROCESSES, 0.3, 3.0),
    FaultKind.KILL_EVERYTHING: Traits(FaultGroup.PROCESSES, 0.3, 1.0),
    FaultKind.STOP_CONTROLLER: Traits(FaultGroup.PROCESSES, 0.5, 5.0),
    FaultKind.ROLL_CONTROLLERS: Traits(FaultGroup.PROCESSES, 4.0, 8.0),
    FaultKind.PAUSE_PRIMARY: Traits(FaultGroup.PROCESSES, 0.5, 6.0),
    FaultKind.PAUSE_CONTROLLER: Traits(FaultGroup.PROCESSES, 0.5, 6.0),
    FaultKind.WIPE_CONTROLLER: Traits(FaultGroup.PROCESSES, 0.3, 3.0, loses_disk=True),
    FaultKind.REPLACE_CONTROLLER: Traits(FaultGroup.PROCESSES, 0.5, 3.0, loses_disk=True),
    FaultKind.KILL_PROXY: Traits(FaultGroup.PROCESSES, 0.3, 4.0),
    FaultKind.KILL_PROXIES: Traits(FaultGroup.PROCESSES, 0.3, 1.0),
    FaultKind.PAUSE_PROXY: Traits(FaultGroup.PROCESSES, 0.5, 5.0),
    FaultKind.ROLL_PROXIES: Traits(FaultGroup.PROCESSES, 6.0, 10.0),
    FaultKind.CUT_CONTROLLER_FROM_CONTROLLERS: Traits(FaultGroup.NETWORK, 3.0, 18.0),
    FaultKind.CUT_CONTROLLER_FROM_ALL: Traits(FaultGroup.NETWORK, 3.0, 18.0),
    FaultKind.DEAF_CONTROLLER: Traits(FaultGroup.NETWORK, 3.0, 18.0),
    FaultKind.MUTE_CONTROLLER: Traits(FaultGroup.NETWORK, 3.0, 18.0),
    FaultKind.CUT_PAIR_OF_CONTROLLERS: Traits(FaultGroup.NETWORK, 3.0, 18.0),
    FaultKind.CUT_HALVES: Traits(FaultGroup.NETWORK, 3.0, 8.0),
    FaultKind.CUT_CONTROLLER_FROM_PROXIES: Traits(FaultGroup.NETWORK, 3.0, 18.0),
    FaultKind.CUT_PROXY_FROM_CONTROLLERS: Traits(FaultGroup.NETWORK, 3.0, 20.0),
    FaultKind.CUT_PROXY_FROM_BACKENDS: Traits(FaultGroup.NETWORK, 3.0, 8.0),
    FaultKind.CUT_BACKEND_FROM_CONTROL: Traits(FaultGroup.NETWORK, 3.0, 10.0),
    FaultKind.CUT_BACKENDS_FROM_SOME_CONTROLLERS: Traits(FaultGroup.NETWORK, 3.0, 18.0),
    FaultKind.RESET_CONNECTIONS: Traits(FaultGroup.NETWORK, 1.0, 5.0),
    FaultKind.LOSE_OPERATOR_ANSWERS: Traits(FaultGroup.NETWORK, 2.0, 8.0),
    FaultKind.LOSE_HEARTBEAT_ANSWERS: Traits(FaultGroup.NETWORK, 2.0, 8.0),
    FaultKind.BACKEND_CRASH: Traits(FaultGroup.BACKENDS, 0.5, 3.0),
    FaultKind.BACKEND_DARK: Traits(FaultGroup.BACKENDS, 1.0, 5.0),
    FaultKind.BACKEND_SILENT: Traits(FaultGroup.BACKENDS, 0.5, 2.0),
    FaultKind.BACKEND_CUTS_ANSWERS: Traits(FaultGroup.BACKENDS, 0.5, 2.0),
    FaultKind.BACKEND_LATE_ANSWERS: Traits(FaultGroup.BACKENDS, 0.5, 3.0),
    FaultKind.BACKEND_LEAVES: Traits(FaultGroup.BACKENDS, 3.0, 4.0),
    FaultKind.RELEASE: Traits(FaultGroup.BACKENDS, 6.0, 10.0),
    FaultKind.DECODE_STAGE_LEAVES: Traits(FaultGroup.BACKENDS, 4.0, 8.0, is_final=True),
    FaultKind.PREFILL_STAGE_LEAVES: Traits(FaultGroup.BACKENDS, 4.0, 8.0, is_final=True),
    FaultKind.HEARTBEATS_TO_ONE: Traits(FaultGroup.BACKENDS, 5.0, 14.0),
    FaultKind.ZONE_LOSS: Traits(FaultGroup.ZONES, 0.5, 5.0),
    FaultKind.ZONE_CUT: Traits(FaultGroup.ZONES, 3.0, 18.0),
    FaultKind.ONE_WAY_ZONE_CUT: Traits(FaultGroup.ZONES, 3.0, 18.0),
    FaultKind.BRIDGE_CUT: Traits(FaultGroup.ZONES, 3.0, 18.0),
    FaultKind.COLD_RETURN: Traits(FaultGroup.ZONES, 0.3, 2.0),
    FaultKind.BACKEND_TURNS_COLD: Traits(FaultGroup.ZONES, 3.0, 4.0),
    FaultKind.EVACUATE: Traits(FaultGroup.ZONES, 7.0, 12.0),
    FaultKind.EVACUATE_FOR_GOOD: Traits(FaultGroup.ZONES, 0.5, 1.0, is_final=True),
}


def kinds_of(group: FaultGroup) -> tuple[FaultKind, ...]:
    """The kinds of faults of a group."""
    return tuple(kind for kind, traits in TRAITS.items() if traits.group is group)


USUAL_KINDS = tuple(kind for kind, traits in TRAITS.items() if traits.group is not FaultGroup.ZONES)
"""The kinds of a run in one zone, in the order by which seeds name them."""

APART_KINDS = (
    *kinds_of(FaultGroup.ZONES),
    FaultKind.KILL_PRIMARY,
    FaultKind.KILL_CONTROLLER,
    FaultKind.KILL_EVERYTHING,
    FaultKind.ROLL_CONTROLLERS,
    FaultKind.PAUSE_PRIMARY,
    FaultKind.WIPE_CONTROLLER,
    FaultKind.REPLACE_CONTROLLER,
    FaultKind.KILL_PROXY,
    FaultKind.PAUSE_PROXY,
    FaultKind.CUT_CONTROLLER_FROM_CONTROLLERS,
    FaultKind.CUT_PROXY_FROM_CONTROLLERS,
    FaultKind.CUT_BACKENDS_FROM_SOME_CONTROLLERS,
    FaultKind.RESET_CONNECTIONS,
    FaultKind.LOSE_OPERATOR_ANSWERS,
    FaultKind.LOSE_HEARTBEAT_ANSWERS,
    FaultKind.BACKEND_CRASH,
    FaultKind.BACKEND_LEAVES,
)
"""The kinds of a run in several zones."""


class Fault(msgspec.Struct, frozen=True):
    """One fault: when it begins within its episode, and for how long. ``choice`` decides on victims and variants."""

    at: float
    kind: FaultKind
    seconds: float
    choice: int


class SoakPlan(msgspec.Struct, frozen=True):
    """A run. ``calm_s`` follows each episode, once all its faults have healed; the system has ``settle_s`` of it to
    come back."""

    seed: int
    shape: FleetShape
    episodes: tuple[tuple[Fault, ...], ...]
    settle_s: float
    calm_s: float
    rate: float = 25.0  # requests a second
    beat_ms: float = 500
    options: RunOptions = RunOptions()
    services: dict[str, tuple[str, ...]] | None = None  # stages of each service's backends, where not the usual ones


class PlanOptions(msgspec.Struct, frozen=True):
    """What plans are drawn of."""

    kinds: tuple[FaultKind, ...] = USUAL_KINDS
    episodes: int = 2
    faults: tuple[int, int] = (4, 6)  # in an episode, at least and at most
    episode_s: float = 19.0
    settle_s: float = 5.0
    calm_s: float = 11.0
    is_apart: bool = False  # in several zones, with applications, warm-up and evacuations


USUAL = PlanOptions()
SHORT = PlanOptions(
    (
        FaultKind.KILL_PRIMARY,
        FaultKind.PAUSE_CONTROLLER,
        FaultKind.KILL_PROXY,
        FaultKind.CUT_CONTROLLER_FROM_CONTROLLERS,
        FaultKind.CUT_PROXY_FROM_CONTROLLERS,
        FaultKind.LOSE_OPERATOR_ANSWERS,
        FaultKind.LOSE_HEARTBEAT_ANSWERS,
        FaultKind.BACKEND_CRASH,
        FaultKind.RESET_CONNECTIONS,
    ),
    episodes=1,
    faults=(3, 3),
    episode_s=4.0,
    settle_s=4.0,
    calm_s=8.5,
)
"""A run of some 15 s."""

APART = PlanOptions(APART_KINDS, is_apart=True)
SHORT_APART = PlanOptions(
    (
        FaultKind.ZONE_LOSS,
        FaultKind.EVACUATE,
        FaultKind.ZONE_CUT,
        FaultKind.BRIDGE_CUT,
        FaultKind.COLD_RETURN,
        FaultKind.ONE_WAY_ZONE_CUT,
        FaultKind.KILL_PRIMARY,
    ),
    episodes=1,
    faults=(3, 3),
    episode_s=12.0,
    settle_s=5.0,
    calm_s=10.0,
    is_apart=True,
)
"""A run of some 35 s."""


def draw(seed: int, options: PlanOptions = USUAL) -> SoakPlan:
    """The plan of a seed. Seeds in a row lead each of their episodes with all kinds in turn."""
    random = Random(seed)
    shape = _apart_shape(seed) if options.is_apart else _shape(seed)
    apart = len(options.kinds) // options.episodes
    episodes = tuple(
        _episode(random, options, shape, seed + number * apart, number == options.episodes - 1)
        for number in range(options.episodes)
    )
    if not options.is_apart:
        return SoakPlan(seed, shape, episodes, options.settle_s, options.calm_s)
    stages = ("prefill",) * shape.zones + ("decode",) * shape.zones  # each zone has one of each
    services = {"g1": stages, "g2": stages}
    return SoakPlan(
        seed, shape, episodes, options.settle_s, options.calm_s, APART_RATE, options=APART_RUN, services=services
    )


def _shape(seed: int) -> FleetShape:
    return FleetShape(5, 4, 2) if seed % LARGE_EVERY == 0 else FleetShape(3, 3, 1)


def _apart_shape(seed: int) -> FleetShape:
    """Five controllers, in three zones or in five."""
    if seed % 2:
        return FleetShape(5, 6, 2, zones=3, zone_tolerance=1)
    return FleetShape(5, 5, 2, zones=5, zone_tolerance=1)


def _episode(random: Random, options: PlanOptions, shape: FleetShape, turn: int, is_last: bool) -> tuple[Fault, ...]:
    """Faults that overlap: each begins while the one before lasts, no more than three at a time."""
    kinds = _kinds(random, options, shape, turn, is_last)
    faults: list[Fault] = []
    at = FIRST_FAULT_S
    for kind in kinds:
        traits = TRAITS[kind]
        seconds = round(random.uniform(traits.shortest, traits.longest), 2)
        at = _rounded_up(max(at, _free_from(faults, at)))
        if faults and at + traits.shortest > options.episode_s:
            break
        seconds = max(traits.shortest, min(seconds, options.episode_s - at))
        faults.append(Fault(at, kind, seconds, random.randrange(1 << 30)))
        at += random.uniform(0.1, 0.6) * seconds
    return tuple(faults)


def _rounded_up(seconds: float) -> float:
    """To hundredths; never to before the end of a fault that is waited for."""
    return math.ceil(seconds * 100 + 1) / 100


def _free_from(faults: list[Fault], at: float) -> float:
    """From when on fewer than the most that may overlap are under way."""
    under_way = sorted(fault.at + fault.seconds for fault in faults if fault.at + fault.seconds > at)
    return under_way[-AT_ONCE] if len(under_way) >= AT_ONCE else at


def _kinds(random: Random, options: PlanOptions, shape: FleetShape, turn: int, is_last: bool) -> list[FaultKind]:
    """The kinds of one episode. No more disks are lost than may be, and what never comes back waits for the end."""
    leading = options.kinds[turn % len(options.kinds)]
    able = [kind for kind in options.kinds if is_last or not TRAITS[kind].is_final]
    wanted = random.randint(*options.faults)
    drawn = [leading] if leading in able else []
    disks = sum(TRAITS[kind].loses_disk for kind in drawn)
    while len(drawn) < wanted:
        kind = random.choice(able)
        if TRAITS[kind].loses_disk and disks >= shape.tolerance:
            continue
        if TRAITS[kind].is_final and any(TRAITS[other].is_final for other in drawn):
            continue
        disks += TRAITS[kind].loses_disk
        drawn.append(kind)
    return drawn


def overlaps(intervals: list[tuple[str, float, float]]) -> dict[str, int]:
    """How often each pair of kinds overlapped in time, and how often three did at once (key: ``three at once``)."""
    counts: dict[str, int] = {}
    for index, (kind, begin, end) in enumerate(intervals):
        beside = [other for other in intervals[:index] if other[1] < end and begin < other[2]]
        for other in beside:
            pair = " + ".join(sorted((kind, other[0])))
            counts[pair] = counts.get(pair, 0) + 1
        if _has_common(begin, end, beside):
            counts["three at once"] = counts.get("three at once", 0) + 1
    return counts


def _has_common(begin: float, end: float, others: list[tuple[str, float, float]]) -> bool:
    """Whether two of the others overlap within a time."""
    clipped = [(max(begin, low), min(end, high)) for _, low, high in others]
    return any(
        max(one[0], two[0]) < min(one[1], two[1]) for index, one in enumerate(clipped) for two in clipped[:index]
    )
