"""Checks that the time constants of this version stay within the bounds of the settings file.

The constants are defined where they are used and are not derived from the bounds. If a deployment has tighter bounds
than the constants allow, ``check-settings`` and the log report it, rather than a guarantee being broken silently.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cranebank.programs.settings import Bounds, Role

MS_PER_S = 1000.0


class TimingRequirement(NamedTuple):
    """A time that this version takes, and the bound (a field of Bounds) that it must not exceed."""

    what: str
    takes_s: float
    bound: str

    def is_met(self, bounds: Bounds) -> bool:
        """Whether the bound leaves as much time as this version takes."""
        return self.takes_s <= seconds(bounds, self.bound)

    def describe(self, bounds: Bounds) -> str:
        """Describe the bound, its value and what takes longer."""
        allowed_s = seconds(bounds, self.bound)
        return f"bounds.{self.bound}: {allowed_s:g} s is less than {self.what} may take, {self.takes_s:g} s"


def seconds(bounds: Bounds, name: str) -> float:
    """Return a bound in seconds, whether its name ends in _s or in _ms."""
    value = float(getattr(bounds, name))
    return value / MS_PER_S if name.endswith("_ms") else value


def unmet(bounds: Bounds, role: Role) -> list[str]:
    """Describe each bound that is tighter than the constants of the role's program."""
    return [needed.describe(bounds) for needed in requirements(role) if not needed.is_met(bounds)]


def requirements(role: Role) -> tuple[TimingRequirement, ...]:
    """Return the role's requirements. Imports only modules that the role's program imports anyway."""
    return tuple(_control_requirements() if role == "control" else _proxy_requirements())


def _control_requirements() -> Iterable[TimingRequirement]:
    from cranebank.control import (  # noqa: PLC0415
        consensus_replica,
        consensus_types,
        delivery,
        membership,
        operator_api,
        registry,
    )
    from cranebank.programs import controller, local_state  # noqa: PLC0415

    lease_s = consensus_types.ConsensusSettings("", (), False, 0).lease_s
    takeover_s = lease_s + consensus_replica.CANDIDACY_TIMEOUT_S
    push_s = delivery.BACKUP_PUSH_DELAY_S + delivery.CONTROLLER_PUSH_DELAY_S
    shutdown_s = (
        controller.SUCCESSOR_TIMEOUT_S
        + controller.OPEN_CALLS_TIMEOUT_S
        + local_state.FINAL_WRITE_TIMEOUT_S
        + controller.SHUTDOWN_MARGIN_S
    )
    yield TimingRequirement("a primary's lease", lease_s, "lease_ms")
    yield TimingRequirement("a takeover after a lost primary", takeover_s, "contact_ms")
    yield TimingRequirement("a write to the consensus core", consensus_replica.WRITE_TIMEOUT_S, "ack_ms")
    yield TimingRequirement("the answer to a change", operator_api.WRITE_TIMEOUT_S, "ack_ms")
    yield TimingRequirement("the wait for proxies after a change", operator_api.REVISION_ACK_TIMEOUT_S, "apply_ms")
    yield TimingRequirement("the wait for proxies after a drain", operator_api.ENDING_TIMEOUT_S, "drain_ms")
    yield TimingRequirement("a configuration's way past a slow primary", push_s, "apply_ms")
    yield TimingRequirement("a restarted replica's wait before it votes", lease_s, "catch_up_s")
    yield TimingRequirement(
        "the replacement of a silent member",
        membership.STANDBY_REPLACEMENT_S + consensus_replica.JOIN_INTERVAL_S,
        "catch_up_s",
    )
    yield TimingRequirement("a controller's wait for the state of backends", registry.REJOIN_GRACE_S, "catch_up_s")
    yield TimingRequirement("a controller's shutdown", shutdown_s, "grace_s")


def _proxy_requirements() -> Iterable[TimingRequirement]:
    from cranebank.dataplane import backend_connections  # noqa: PLC0415
    from cranebank.membership import partial_view  # noqa: PLC0415
    from cranebank.transport import links, send_watch  # noqa: PLC0415

    redial_s = links.LINK_TIMEOUT_S + links.DIAL_TIMEOUT_S
    fetch_s = partial_view.FETCH_DELAY_S + partial_view.SHUFFLE_INTERVAL_S + partial_view.SHUFFLE_REPLY_TIMEOUT_S
    yield TimingRequirement("the change from a silent link to another", redial_s, "drain_ms")
    yield TimingRequirement("the change from a silent link to another", redial_s, "apply_ms")
    yield TimingRequirement("the change from a silent link to another", redial_s, "contact_ms")
    yield TimingRequirement("a configuration's way through a neighbour", fetch_s, "apply_ms")
    yield TimingRequirement(
        "the end of a connection to a silent backend",
        backend_connections.TCP_USER_TIMEOUT_MS / MS_PER_S,
        "reuse_after_s",
    )
    yield TimingRequirement(
        "the end of a connection to a backend that fell silent while it was slow to read",
        send_watch.NOTICE_S,
        "reuse_after_s",
    )
