"""Plans of soak runs, drawn from a seed: which faults happen when, so that two or three overlap. No I/O.

A run consists of episodes. The faults of an episode overlap; after all of them have healed, a calm period follows in
which the system must serve again. The next episode begins at the end of that period, however long the faults took.
"""

from __future__ import annotations

import math
from enum import Enum
from random import Random

import msgspec

from cranebank.fleetlab.fleet import FleetShape
from cranebank.fleetlab.run_options import RunOptions, TallyLoad, WarmUp

FIRST_FAULT_AT_S = 1.0  # after the beginning of an episode
MAX_CONCURRENT_FAULTS = 3
LARGE_FLEET_INTERVAL = 4  # every fourth seed has five controllers
MULTI_ZONE_RATE = 40.0  # requests a second in a run of several zones
MULTI_ZONE_OPTIONS = RunOptions(TallyLoad(4.0), WarmUp(3.0, 5.0))


class FaultKind(Enum):
    """The kinds of faults."""

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
    """The part of the system that a fault hits, which decides on its injector."""

    PROCESSES = "processes"
    NETWORK = "network"
    BACKENDS = "backends"
    ZONES = "zones"


class Traits(msgspec.Struct, frozen=True):
    """The target of a fault, its minimum and maximum duration in seconds, and limits on drawing it."""

    group: FaultGroup
    shortest: float
    longest: float
    loses_disk: bool = False
    is_final: bool = False  # removes something for good, so it is drawn for the last episode only


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
    """Return the kinds of faults of a group."""
    return tuple(kind for kind, traits in TRAITS.items() if traits.group is group)


SINGLE_ZONE_KINDS = tuple(kind for kind, traits in TRAITS.items() if traits.group is not FaultGroup.ZONES)
"""The kinds of a run in one zone. Seeds select the leading kind by this order."""

MULTI_ZONE_KINDS = (
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
    """One fault: its start within the episode and its duration. ``choice`` seeds the choice of victims and variants."""

    at: float
    kind: FaultKind
    seconds: float
    choice: int


class SoakPlan(msgspec.Struct, frozen=True):
    """The plan of a run. A calm period of ``calm_s`` follows each episode once its faults have healed; the system must
    recover within the first ``settle_s`` of it."""

    seed: int
    shape: FleetShape
    episodes: tuple[tuple[Fault, ...], ...]
    settle_s: float
    calm_s: float
    rate: float = 25.0  # requests a second
    beat_ms: float = 500
    options: RunOptions = RunOptions()
    services: dict[str, tuple[str, ...]] | None = None  # stages of each service's backends, instead of the default


class PlanOptions(msgspec.Struct, frozen=True):
    """The parameters for drawing plans."""

    kinds: tuple[FaultKind, ...] = SINGLE_ZONE_KINDS
    episodes: int = 2
    faults: tuple[int, int] = (4, 6)  # minimum and maximum number in an episode
    episode_s: float = 19.0
    settle_s: float = 5.0
    calm_s: float = 11.0
    is_apart: bool = False  # in several zones, with applications, warm-up and evacuations


SINGLE_ZONE = PlanOptions()
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
"""A run of about 15 s."""

MULTI_ZONE = PlanOptions(MULTI_ZONE_KINDS, is_apart=True)
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
"""A run of about 35 s."""


def draw_plan(seed: int, options: PlanOptions = SINGLE_ZONE) -> SoakPlan:
    """Return the plan of a seed. Over consecutive seeds, each episode begins with every kind in turn."""
    random = Random(seed)
    shape = _multi_zone_shape(seed) if options.is_apart else _shape(seed)
    lead_offset = len(options.kinds) // options.episodes
    episodes = tuple(
        _draw_episode(random, options, shape, seed + number * lead_offset, number == options.episodes - 1)
        for number in range(options.episodes)
    )
    if not options.is_apart:
        return SoakPlan(seed, shape, episodes, options.settle_s, options.calm_s)
    stages = ("prefill",) * shape.zones + ("decode",) * shape.zones  # each zone has one of each
    services = {"g1": stages, "g2": stages}
    return SoakPlan(
        seed,
        shape,
        episodes,
        options.settle_s,
        options.calm_s,
        MULTI_ZONE_RATE,
        options=MULTI_ZONE_OPTIONS,
        services=services,
    )


def _shape(seed: int) -> FleetShape:
    return FleetShape(5, 4, 2) if seed % LARGE_FLEET_INTERVAL == 0 else FleetShape(3, 3, 1)


def _multi_zone_shape(seed: int) -> FleetShape:
    """Return a shape with five controllers in three or five zones."""
    if seed % 2:
        return FleetShape(5, 6, 2, zones=3, zone_tolerance=1)
    return FleetShape(5, 5, 2, zones=5, zone_tolerance=1)


def _draw_episode(
    random: Random, options: PlanOptions, shape: FleetShape, lead_index: int, is_last: bool
) -> tuple[Fault, ...]:
    """Draw overlapping faults, at most MAX_CONCURRENT_FAULTS at a time. Each begins while the previous one lasts."""
    kinds = _draw_kinds(random, options, shape, lead_index, is_last)
    faults: list[Fault] = []
    at = FIRST_FAULT_AT_S
    for kind in kinds:
        traits = TRAITS[kind]
        seconds = round(random.uniform(traits.shortest, traits.longest), 2)
        at = _round_up(max(at, _earliest_start(faults, at)))
        if faults and at + traits.shortest > options.episode_s:
            break
        seconds = max(traits.shortest, min(seconds, options.episode_s - at))
        faults.append(Fault(at, kind, seconds, random.randrange(1 << 30)))
        at += random.uniform(0.1, 0.6) * seconds
    return tuple(faults)


def _round_up(seconds: float) -> float:
    """Round up to hundredths, so that the result is never before the end of a fault that must be over."""
    return math.ceil(seconds * 100 + 1) / 100


def _earliest_start(faults: list[Fault], at: float) -> float:
    """Return the earliest time from which fewer than MAX_CONCURRENT_FAULTS are active."""
    active_ends = sorted(fault.at + fault.seconds for fault in faults if fault.at + fault.seconds > at)
    return active_ends[-MAX_CONCURRENT_FAULTS] if len(active_ends) >= MAX_CONCURRENT_FAULTS else at


def _draw_kinds(
    random: Random, options: PlanOptions, shape: FleetShape, lead_index: int, is_last: bool
) -> list[FaultKind]:
    """Draw the kinds of one episode, within the tolerance for lost disks; final kinds for the last episode only."""
    lead_kind = options.kinds[lead_index % len(options.kinds)]
    allowed = [kind for kind in options.kinds if is_last or not TRAITS[kind].is_final]
    fault_count = random.randint(*options.faults)
    drawn = [lead_kind] if lead_kind in allowed else []
    disk_losses = sum(TRAITS[kind].loses_disk for kind in drawn)
    while len(drawn) < fault_count:
        kind = random.choice(allowed)
        if TRAITS[kind].loses_disk and disk_losses >= shape.tolerance:
            continue
        if TRAITS[kind].is_final and any(TRAITS[other].is_final for other in drawn):
            continue
        disk_losses += TRAITS[kind].loses_disk
        drawn.append(kind)
    return drawn


def overlaps(intervals: list[tuple[str, float, float]]) -> dict[str, int]:
    """Count how often each pair of kinds overlapped, and how often three faults did (key ``three at once``)."""
    counts: dict[str, int] = {}
    for index, (kind, begin, end) in enumerate(intervals):
        overlapping = [other for other in intervals[:index] if other[1] < end and begin < other[2]]
        for other in overlapping:
            pair = " + ".join(sorted((kind, other[0])))
            counts[pair] = counts.get(pair, 0) + 1
        if _has_common_time(begin, end, overlapping):
            counts["three at once"] = counts.get("three at once", 0) + 1
    return counts


def _has_common_time(begin: float, end: float, others: list[tuple[str, float, float]]) -> bool:
    """Return whether two of the other intervals overlap within this one."""
    clipped = [(max(begin, low), min(end, high)) for _, low, high in others]
    return any(
        max(one[0], two[0]) < min(one[1], two[1]) for index, one in enumerate(clipped) for two in clipped[:index]
    )
