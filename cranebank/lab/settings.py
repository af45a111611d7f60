"""Settings that the laboratory gives to a proxy, in the platform's field names."""

from __future__ import annotations

from typing import Any

from cranebank.lab.plan import ProxyPlan
from cranebank.lab.scenario import Scenario

EFFECTS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}


def proxy_settings(scenario: Scenario, proxy: ProxyPlan, copies: int) -> dict[str, Any]:
    """Return the platform's settings object for one proxy."""
    limits, cold, prices = scenario.limits, scenario.cold, scenario.prices
    source = {"probe": "on_probe", "answers": "inline", "none": "off"}[scenario.reports.source]
    return {
        "Balancers": max(1, round(copies * scenario.subset.told_copies)),
        "SlotNo": proxy.slot,
        "Discovery": scenario.discovery.mode,
        "Layer": proxy.tier,
        "Quantum": 1.0,
        "Tiers": [tier.name for tier in scenario.tiers],
        "Zone": proxy.zone,
        "Zones": list(scenario.zones),
        "Kinds": [kind.name for kind in scenario.tiers[proxy.tier].kind],
        "WorthBy": "request",
        "OverShareWorth": prices.over_share_worth,
        "Lanes": [
            {
                "Name": c.name,
                "Aim": c.aim_ms,
                "Deadline": c.deadline_ms,
                "Effect": EFFECTS[c.effect],
                "Group": "all",
                "LateWorth": c.late_worth,
                "RepeatWindow": c.window_ms,
                "Worth": c.worth,
                "Streaming": False,
            }
            for c in scenario.classes
        ],
        "Realms": [{"Name": t.name, "QuotaPerS": t.quota or 1e9, "Share": t.share} for t in scenario.tenants],
        "Limits": {
            "Cancel": limits.cancel,
            "ConnIdle": scenario.connections.idle_s * 1000.0,
            "DialTimeout": scenario.connections.dial_timeout_ms,
            "MaxAttempts": limits.max_attempts,
            "MaxRetryAfter": limits.max_retry_after_ms,
            "MayProbe": source == "on_probe",
            "RetryAfter": limits.retry_after,
            "SecondCopies": limits.second_copies,
            "StreamsPerConn": 1,
        },
        "Report": {"Source": source, "Fields": ["busy_reqs", "pending"]},
        "Rules": {
            "AnswerSlack": limits.answer_slack_ms,
            "AskWithin": 10000.0,
            "ColdFrom": cold.share,
            "DrainGrace": limits.drain_grace_ms,
            "FallMultiple": cold.fall_multiple,
            "OverloadFor": cold.fall_s * 1000.0,
            "WarmAfter": cold.warm_s * 1000.0,
        },
        "Prices": {
            "CrossZone": prices.cross_zone,
            "Probe": prices.probe,
            "Waste": prices.waste,
            "Handshake": prices.handshake,
        },
        "FamilyInfo": {"PassesDeadline": limits.passes_deadline},
    }
