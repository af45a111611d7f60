"""The settings that the platform gives a proxy instance, as one typed record with two readers.

The JSON that GW_CONFIG names nests them; the simulator's START line has them as path=value pairs
(``cranebank.simwire.wire``). Both become ``PlatformSettings`` and then the decision module's ``Settings``. Names, units
(milliseconds) and meanings are the platform's. Unknown keys are ignored here, unlike in our own files, as the platform
may add keys.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cranebank.decisions import interface as api

Number = Annotated[float, Meta(ge=-1e15, le=1e15)]  # excludes NaN and infinities
Milliseconds = Annotated[float, Meta(ge=0.0, le=1e12)]
PositiveMilliseconds = Annotated[float, Meta(gt=0.0, le=1e12)]
Count = Annotated[int, Meta(ge=0)]

LOAD_NAMES = {
    "busy_reqs": "inflight",
    "pending": "queue",
    "cpu_share": "util",
    "svc_ms": "latency_ms",
    "served_ps": "qps",
    "failed_ps": "eps",
}
_EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}
_SOURCES = {"inline": api.ReportSource.ANSWERS, "on_probe": api.ReportSource.PROBE, "off": api.ReportSource.NONE}


class Lane(msgspec.Struct, frozen=True, kw_only=True, rename="pascal"):
    """A request class."""

    name: str = ""
    aim: PositiveMilliseconds  # target latency, against which all answer times are judged
    deadline: Milliseconds
    effect: Literal["retryable", "dedup", "fragile"]
    group: Literal["all", "zone", "cell"]
    late_worth: Number
    repeat_window: Number
    worth: Number
    streaming: bool = False
    aim_stretch: Number = 0.0


class Realm(msgspec.Struct, frozen=True, kw_only=True, rename="pascal"):
    """A tenant."""

    name: str = ""
    quota_per_s: Number


class Limits(msgspec.Struct, frozen=True, kw_only=True, rename="pascal"):
    """What the site permits, and its limits."""

    cancel: bool
    max_attempts: Count
    may_probe: bool
    second_copies: bool
    retry_after: bool = False
    max_retry_after: Milliseconds = 0.0
    dial_timeout: Milliseconds = 250.0
    conn_idle: Milliseconds = 15000.0
    streams_per_conn: Count = 100


class Report(msgspec.Struct, frozen=True, kw_only=True, rename="pascal"):
    """Where load reports come from."""

    source: Literal["inline", "on_probe", "off"]


class Rules(msgspec.Struct, frozen=True, kw_only=True, rename="pascal"):
    """The parameters of the four rules."""

    cold_from: Number
    warm_after: Milliseconds
    fall_multiple: Number
    overload_for: Milliseconds
    answer_slack: Milliseconds = 0.0
    ask_within: Milliseconds = 10000.0
    dropped_stay_open: bool = False


class Prices(msgspec.Struct, frozen=True, kw_only=True, rename="pascal"):
    """Deductions from the score, in points."""

    cross_zone: Number = 0.0
    probe: Number = 0.0
    waste: Number = 0.0
    handshake: Number = 0.0


class ScoringMix(msgspec.Struct, frozen=True, kw_only=True, rename="pascal"):
    """Weights of the score's components, as far as they are used."""

    whole: Number = 0.0
    worst_class: Number = 0.0


class FamilyInfo(msgspec.Struct, frozen=True, kw_only=True, rename="pascal"):
    """The kind of service."""

    passes_deadline: bool = True


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True, rename="pascal"):
    """The platform's settings, as far as they are used."""

    balancers: Annotated[int, Meta(ge=1)]  # number of balancers, including this one
    zone: Count
    quantum: Milliseconds
    discovery: Literal["push", "ask"]
    lanes: Annotated[tuple[Lane, ...], Meta(min_length=1)]
    limits: Limits
    report: Report
    rules: Rules
    realms: tuple[Realm, ...] = ()
    layer: Count = 0
    slot_no: Count | None = None
    tiers: tuple[str, ...] = ("servers",)
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    family_info: FamilyInfo = FamilyInfo()
    prices: Prices = Prices()
    scoring_mix: ScoringMix = ScoringMix()
    worth_by: str = "request"
    over_share_worth: Number = 1.0


def to_decision_settings(settings: PlatformSettings) -> api.Settings:
    """Convert the platform's settings to the decision module's."""
    limits, rules, prices = settings.limits, settings.rules, settings.prices
    return api.Settings(
        classes=tuple(
            api.RequestClass(
                aim=lane.aim,
                deadline=lane.deadline,
                effect=_EFFECTS[lane.effect],
                group=api.Group(lane.group),
                late_worth=lane.late_worth,
                repeat_window=lane.repeat_window,
                streaming=lane.streaming,
                worth=lane.worth,
                aim_stretch=lane.aim_stretch,
            )
            for lane in settings.lanes
        ),
        quotas=tuple(realm.quota_per_s for realm in settings.realms),
        copies=settings.balancers,
        zone=settings.zone,
        layer=settings.layer,
        layers=len(settings.tiers),
        slot=settings.slot_no if settings.slot_no is not None else -1,
        watch_by_asking=settings.discovery == "ask",
        report_source=_SOURCES[settings.report.source],
        may_probe=limits.may_probe,
        may_cancel=limits.cancel,
        second_copies=limits.second_copies,
        sends_retry_after=limits.retry_after,
        max_retry_after=limits.max_retry_after,
        max_attempts=limits.max_attempts,
        passes_deadline=settings.family_info.passes_deadline,
        worth_by_work=settings.worth_by == "work",
        over_share_worth=settings.over_share_worth,
        worst_class_share=settings.scoring_mix.worst_class / settings.scoring_mix.whole
        if settings.scoring_mix.whole
        else 0.0,
        cross_zone_price=prices.cross_zone,
        probe_price=prices.probe,
        waste_price=prices.waste,
        handshake_price=prices.handshake,
        tick=settings.quantum,
        connect_timeout=limits.dial_timeout,
        answer_slack=rules.answer_slack,
        ask_within=rules.ask_within,
        cold_from=rules.cold_from,
        warm_after=rules.warm_after,
        fall_multiple=rules.fall_multiple,
        overload_for=rules.overload_for,
        removals_are_advisory=rules.dropped_stay_open,
        idle_after=limits.conn_idle,
        shares_connections=limits.streams_per_conn > 1,
    )
