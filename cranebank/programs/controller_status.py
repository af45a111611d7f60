"""A controller's state for ``/api/System.Status`` and the metrics: an immediate snapshot that waits for nothing."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from cranebank.control import events
from cranebank.control.delivery import Delivery
from cranebank.control.registry import Registry
from cranebank.programs.tally_service import TallyService


def overview(
    node_name: str,
    status: events.Status,
    is_primary: bool,
    controllers: Iterable[str],
    delivery: Delivery,
    registry: Registry,
    tallies: TallyService,
) -> dict[str, Any]:
    """Return the state as a document; ``status`` is the consensus core's."""
    stats, counts = tallies.stats, tallies.counts
    return {
        "node": node_name,
        "is_primary": is_primary,
        "primary": status.primary_ip,
        "epoch": status.epoch,
        "members": status.members,
        "copies": status.copies,
        "controllers": sorted(controllers),
        "revision": delivery.revision,
        "evacuated": status.evacuated,
        "evacuation_number": status.evacuation_number,
        "backends": [
            {"id": record.id, "target": record.target, "address": record.address, "phase": record.phase}
            for record in registry.all_records()
        ],
        "proxies": [
            {
                "name": peer.name,
                "ip": peer.ip,
                "revision": peer.revision,
                "lag": peer.number - peer.acknowledged,
                "evacuation_number": peer.evacuation_number,
            }
            for peer in delivery.peers.values()
            if peer.slot >= 0
        ],
        "tallies": {
            "names": stats.tallies,
            "held": stats.held,
            "folded": stats.folded,
            "waiting": counts.waiting,
            "acknowledged": counts.acknowledged,
            "refused": counts.refused,
            "unclear": counts.unclear,
            "lag": stats.lag,
        },
    }
