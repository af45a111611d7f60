"""Types shared by the layers of the consensus replica: states, settings, the value and a primary's progress."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable

import msgspec

from cranebank.control import events as ev
from cranebank.control.call_table import EMPTY_TABLE, CallTable
from cranebank.control.epochs import HeldLease, OrderIntent
from cranebank.control.evacuation_queue import EvacuationQueue
from cranebank.transport.revision import NO_REVISION, Revision

CONSENSUS_FILE = "custody"
"""Name of the replica's file in the data folder."""

PUBLISHED_KEY = "handed"
"""Key of the newest committed configuration that this controller has published, as earlier versions named it."""


class State(enum.Enum):
    """Role of a replica."""

    WAITING = "waiting"  # restarted: leases that it granted before may still be valid
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    PRIMARY = "primary"
    OUTSIDER = "outsider"  # not a member in the newest record


class ConsensusSettings(msgspec.Struct, frozen=True):
    """Settings of a replica.

    ``seeds`` are IPs; ``tolerance`` is the number of machines that may be lost at once; ``zones`` maps IPs to zones.
    Where zones or regions may be lost (``is_counted_in_machines`` is false), ``tolerance`` is any high number.
    """

    ip: str
    seeds: tuple[str, ...]
    is_first_start: bool
    tolerance: int
    is_counted_in_machines: bool = True
    zones: dict[str, str] = {}  # (msgspec copies it)
    lease_s: float = 1.2


class Value(msgspec.Struct, frozen=True):
    """The replicated document under one primary's term; within a term the revision only increases."""

    term: int
    revision: Revision
    digest: bytes
    document: bytes
    calls: CallTable = EMPTY_TABLE

    @property
    def age(self) -> tuple[int, int]:
        """Sort key: later values have a higher one."""
        return self.term, self.revision


NO_VALUE = Value(-1, NO_REVISION, b"", b"")


class PendingPersist(msgspec.Struct):
    """A write to disk in progress: its keys, and the callbacks to run once they are durable."""

    keys: frozenset[str]
    since: float
    callbacks: list[Callable[[float], None]]
    retry_at: float | None = None


class PendingChange(msgspec.Struct):
    """A configuration change in progress."""

    request: int
    deadline: float
    is_answered: bool = False


class Leadership:
    """State of a primary during its own term; dropped when leadership ends."""

    def __init__(self, term: int, lease: HeldLease, now: float) -> None:
        self.term = term
        self.lease = lease
        self.since = now
        self.establish_by = now + lease.length_s
        self.stamps: dict[str, ev.Stamp] = {}  # newest stamp of each voter, returned with the next lease request
        self.next_lease_request_at = now
        self.held_revisions: dict[str, Revision] = {}  # highest revision reported as durable in this term
        self.first_sent: dict[str, tuple[Revision, float]] = {}  # revision and time of its first Store, by replica
        self.last_sent: dict[str, tuple[Revision, float]] = {}  # revision and time of the last Store, by replica
        self.committed: Value | None = None
        self.change: PendingChange | None = None
        self.wanted_intents: tuple[OrderIntent, ...] | None = None  # None: keep the record's intents unchanged
        self.evacuations = EvacuationQueue()

    def forget_others(self, members: Iterable[str]) -> None:
        """Drop the state of replicas that are no longer members."""
        group = set(members)
        self.lease.forget_others(group)
        for table in (self.stamps, self.held_revisions, self.first_sent, self.last_sent):
            for replica in table.keys() - group:
                del table[replica]
