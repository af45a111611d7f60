"""The consensus core as the control program uses it: a protocol that `ConsensusReplica` implements, as may tests.

The core is a state machine free of I/O: it is told events and returns actions. What it answers is true at the time
that it is asked for; before every answer that confirms or refuses it is asked again.
"""

from __future__ import annotations

from typing import Protocol

from cranebank.control import events


class ConsensusCore(Protocol):
    """A replica of the agreed configuration and of the record of who leads."""

    @property
    def current(self) -> tuple[int, bytes, bytes] | None:
        """The committed configuration: revision, document, digest; None unless primary and known."""

    def handle(self, now: float, event: events.Event) -> list[events.Action]:
        """What to do after an event."""

    def holds_lease(self, now: float) -> bool:
        """Whether this is the primary, by a lease that still runs."""

    def status(self, now: float) -> events.Status:
        """Who is primary, and the rest."""

    def known_ips(self) -> set[str]:
        """All controllers that it knows of."""

    def in_contact(self, now: float) -> bool:
        """Whether this is the primary under its lease, or was told by such a one within a lease's length."""

    def is_current(self, now: float, revision: int) -> bool:
        """Whether this revision was the newest committed one at some time within the last lease's length."""

    def known_call(self, digest: bytes) -> int | None:
        """The revision that a call put in force, from the committed table of calls."""

    def may_be_forgotten(self, revision: int) -> bool:
        """Whether a call of this revision may have been taken and have fallen out of that table."""

    def may_shut_down(self, now: float) -> bool:
        """After Retire: whether nothing is left that another replica could take over."""
