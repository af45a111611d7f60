"""What the layers of the replicated configuration's core share: states, settings, the value, a primary's progress."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable

import msgspec

from cranebank.control import events as ev
from cranebank.control.call_table import EMPTY_TABLE, CallTable
from cranebank.control.epochs import HeldLease, OrderIntent
from cranebank.control.evacuation_queue import EvacuationQueue

CONSENSUS_FILE = "custody"
"""Name of the file in the data folder."""

PUBLISHED_KEY = "handed"
"""Key there of the newest committed configuration that this controller has published, spelt as earlier versions did."""


class State(enum.Enum):
    """What a replica is."""

    WAITING = "waiting"  # restarted: what it granted before may still hold
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    PRIMARY = "primary"
    OUTSIDER = "outsider"  # no member of the newest record


class ConsensusSettings(msgspec.Struct, frozen=True):
    """`seeds` are IPs; `tolerance` is how many machines may be lost at once; `zones` names the zone of an IP.

    Where zones or regions may be lost (``is_counted_in_machines`` is false), `tolerance` is any high number.
    """

    ip: str
    seeds: tuple[str, ...]
    is_first_start: bool
    tolerance: int
    is_counted_in_machines: bool = True
    zones: dict[str, str] = {}  # (msgspec copies it)
    lease_s: float = 1.2


class Value(msgspec.Struct, frozen=True):
    """The document as one primary's term has it; within a term the revision only rises."""

    term: int
    revision: int
    digest: bytes
    document: bytes
    calls: CallTable = EMPTY_TABLE

    @property
    def age(self) -> tuple[int, int]:
        """Later values have a higher one."""
        return self.term, self.revision


NO_VALUE = Value(-1, 0, b"", b"")


class WaitingWrite(msgspec.Struct):
    """Keys that are being stored, and what to do once they are."""

    keys: frozenset[str]
    since: float
    then: list[Callable[[float], None]]
    again_at: float | None = None


class PendingChange(msgspec.Struct):
    """A write under way."""

    request: int
    deadline: float
    is_answered: bool = False


class Leadership:
    """What a primary knows of its own term; gone when it ceases."""

    def __init__(self, term: int, lease: HeldLease, now: float) -> None:
        self.term = term
        self.lease = lease
        self.since = now
        self.establish_by = now + lease.length_s
        self.stamps: dict[str, ev.Stamp] = {}  # the newest of each voter, returned to it with the next ask
        self.ask_at = now
        self.held: dict[str, int] = {}  # highest revision that a replica told as durable in this term
        self.first_sent: dict[str, tuple[int, float]] = {}  # revision, time
        self.last_sent: dict[str, tuple[int, float]] = {}
        self.committed: Value | None = None
        self.change: PendingChange | None = None
        self.wanted_intents: tuple[OrderIntent, ...] | None = None  # None: the record's stay as they are
        self.evacuations = EvacuationQueue()

    def forget_others(self, members: Iterable[str]) -> None:
        """Drop what is known of replicas that are members no longer."""
        group = set(members)
        self.lease.forget_others(group)
        for table in (self.stamps, self.held, self.first_sent, self.last_sent):
            for replica in table.keys() - group:
                del table[replica]
