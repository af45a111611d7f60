"""Consensus core of a single node, for tests: a replica that is primary from the start, without copies."""

from __future__ import annotations

import itertools
from collections.abc import Mapping

from cranebank.control import events
from cranebank.transport.revision import NO_REVISION, Revision


class SingleNodeConsensus:
    """Accepts each write as soon as it is on disk; with another address as ``leader_ip`` it is a follower."""

    def __init__(self, ip: str, stored: Mapping[str, bytes], leader_ip: str | None = None) -> None:
        self.ip, self.leader_ip = ip, leader_ip or ip
        self.current: tuple[Revision, bytes, bytes] | None = (NO_REVISION, b"", b"")
        self._pending: dict[int, events.Write] = {}
        self._tokens = itertools.count(1)
        self._said = False
        self.is_in_contact = True
        self.members: tuple[str, ...] = (ip,)
        self.calls: dict[bytes, Revision] = {}
        self.forgotten_below = 0
        self.evacuated: tuple[str, ...] = ()
        self.evacuation_number = 0
        if "revision" in stored:
            self.current = Revision(int(stored["revision"])), stored["document"], stored["digest"]
            self.calls[stored["digest"]] = self.current[0]

    def holds_lease(self, now: float) -> bool:
        """Return whether this node is the leader."""
        return self.leader_ip == self.ip

    def in_contact(self, now: float) -> bool:
        """Return the value set by the test."""
        return self.is_in_contact

    def is_current(self, now: float, revision: int) -> bool:
        """Return whether it is in contact and the revision is no older than its own."""
        return self.is_in_contact and (self.current is None or revision >= self.current[0])

    def known_call(self, digest: bytes) -> Revision | None:
        """Return the revision that a call put in force."""
        return self.calls.get(digest)

    def may_be_forgotten(self, revision: int) -> bool:
        """Return whether the revision is below the bound set by the test."""
        return revision < self.forgotten_below

    def may_shut_down(self, now: float) -> bool:
        """Return whether it no longer is the leader."""
        return not self.holds_lease(now)

    def known_ips(self) -> set[str]:
        """Return the addresses of this node and of the leader."""
        return {self.ip, self.leader_ip}

    def status(self, now: float) -> events.Status:
        """Return the status of the single node."""
        leads = self.holds_lease(now)
        revision = self.current[0] if self.current else NO_REVISION
        return events.Status(
            self.ip,
            "primary" if leads else "backup",
            1,
            self.leader_ip,
            self.leader_ip,
            leads,
            (self.ip,),
            self.members,
            revision,
            evacuated=self.evacuated,
            evacuation_number=self.evacuation_number,
        )

    def handle(self, now: float, event: events.Event) -> list[events.Action]:
        """Process an event and return the actions to perform."""
        match event:
            case events.Tick() if self.holds_lease(now) and not self._said:
                self._said = True
                return [events.LeadershipGained(1)]
            case events.Write():
                return self._write(event)
            case events.Evacuate(request, zone, is_start):
                zones = {*self.evacuated, zone} if is_start else {*self.evacuated} - {zone}
                if tuple(sorted(zones)) != self.evacuated:
                    self.evacuated, self.evacuation_number = tuple(sorted(zones)), self.evacuation_number + 1
                return [events.Answer(request, events.Accepted())]
            case events.Persisted(token):
                return self._persisted(token)
            case events.Retire():
                self.leader_ip = "127.0.0.250"  # another node takes over at once
                return [events.LeadershipLost()]
        return []

    def _write(self, write: events.Write) -> list[events.Action]:
        at = self.current[0] if self.current else 0
        if self.current and (at, self.current[2]) == (write.revision, write.digest):
            return [events.Answer(write.request, events.Accepted())]
        if self._pending:
            return [events.Answer(write.request, events.Busy())]
        if write.base != at:
            return [events.Answer(write.request, events.Conflict(at))]
        token = next(self._tokens)
        self._pending[token] = write
        return [
            events.Persist(
                token, {"revision": str(write.revision).encode(), "document": write.document, "digest": write.digest}
            )
        ]

    def _persisted(self, token: int) -> list[events.Action]:
        write = self._pending.pop(token)
        self.current = write.revision, write.document, write.digest
        self.calls[write.digest] = write.revision
        return [events.Committed(*self.current), events.Answer(write.request, events.Accepted())]
