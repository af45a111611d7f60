"""The rule *in step*, checked throughout a schedule and not only at its end.

A controller that has been in contact with a majority for ``CATCH_UP_TIMEOUT_S``, while there was a primary, publishes
no configuration older than the newest one that was acknowledged when that time began.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from .judge import CATCH_UP_TIMEOUT_S

if TYPE_CHECKING:
    from .world import Machine, World


class InStepWatch:
    """Compares what each controller publishes with what was acknowledged ``CATCH_UP_TIMEOUT_S`` ago."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._acknowledged: deque[tuple[float, int]] = deque()  # time of a check, and the newest revision then
        self._in_contact_since: dict[str, float] = {}

    def check(self) -> None:
        """Compare all controllers with the revision that they must have by now."""
        world, now = self._world, self._world.scheduler.now
        self._acknowledged.append((now, world.judge.ledger.newest))
        while len(self._acknowledged) > 1 and self._acknowledged[1][0] <= now - CATCH_UP_TIMEOUT_S:
            self._acknowledged.popleft()
        has_primary = world.primary() is not None
        for machine in world.machines.values():
            if has_primary and self._is_in_contact(machine):
                self._check_machine(machine)
            else:
                self._in_contact_since.pop(machine.ip, None)

    def _is_in_contact(self, machine: Machine) -> bool:
        is_well = machine.controller is not None and not machine.is_frozen and not machine.active_faults
        if machine.bridges and self._world.is_cut_from_primary(machine):
            return False
        return is_well and not machine.is_removed and machine.ip not in self._world.ips_without_majority

    def _check_machine(self, machine: Machine) -> None:
        now = self._world.scheduler.now
        since = max(self._in_contact_since.setdefault(machine.ip, now), machine.recovered_at)
        if now - since < CATCH_UP_TIMEOUT_S or machine.controller is None:
            return
        judge = self._world.judge
        judge.counts["controllers looked at that must be in step"] += 1
        revision, expected_revision = machine.controller.published_revision, self._acknowledged[0][1]
        if revision < expected_revision:
            judge.breach(
                "in step",
                f"{machine.ip} publishes {revision}; {expected_revision} was acknowledged {CATCH_UP_TIMEOUT_S} s ago",
            )
