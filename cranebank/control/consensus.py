"""Interface between the control program and the consensus core.

``ConsensusReplica`` implements it; tests use their own implementations. The core is a state machine free of I/O that
takes events and returns actions. A result holds only for the time passed in, so callers query the core again right
before every answer that confirms or refuses something.
"""

from __future__ import annotations

from typing import Protocol

from cranebank.control import events
from cranebank.transport.revision import Revision


class ConsensusCore(Protocol):
    """A replica of the configuration and of the epoch record, which names the primary."""

    @property
    def current(self) -> tuple[Revision, bytes, bytes] | None:
        """Revision, document and digest of the committed configuration; None unless primary and known."""

    def handle(self, now: float, event: events.Event) -> list[events.Action]:
        """Process an event and return the actions to perform."""

    def holds_lease(self, now: float) -> bool:
        """Return whether this replica is the primary and its lease has not expired."""

    def status(self, now: float) -> events.Status:
        """Return the primary, the members and the revision as this replica knows them."""

    def known_ips(self) -> set[str]:
        """Return the addresses of all known controllers."""

    def in_contact(self, now: float) -> bool:
        """Return whether this replica is the primary under its lease or heard from one within a lease's length."""

    def is_current(self, now: float, revision: int) -> bool:
        """Return whether this revision was the newest committed one at some time within the last lease's length."""

    def known_call(self, digest: bytes) -> Revision | None:
        """Return the revision that a call put in force, from the committed call table."""

    def may_be_forgotten(self, revision: int) -> bool:
        """Return whether a call with this revision may have been applied and evicted from the call table."""

    def may_shut_down(self, now: float) -> bool:
        """Return whether a retiring replica has handed over all duties that another replica could take over."""
