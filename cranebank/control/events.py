"""Events, actions and messages of the consensus core. Messages are tagged, and encoded by ``transport.revision``."""

from __future__ import annotations

import msgspec

from cranebank.control.call_table import EMPTY_TABLE, CallTable
from cranebank.control.epochs import Ballot, EpochRecord, OrderIntent
from cranebank.transport.revision import NO_REVISION, Revision

# Messages between controllers.


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of messages between controllers; ``sender`` is the replica id of the sender."""

    sender: str


class Prepare(Message, frozen=True, tag=True):
    """Paxos phase 1 for the change of ``base``."""

    base: EpochRecord
    ballot: Ballot


class Promise(Message, frozen=True, tag=True):
    """Answer to Prepare: no lower ballot will be accepted; ``accepted`` is the record accepted so far."""

    epoch: int
    ballot: Ballot
    accepted: tuple[Ballot, EpochRecord] | None


class Accept(Message, frozen=True, tag=True):
    """Paxos phase 2: change ``base`` to ``record``."""

    base: EpochRecord
    ballot: Ballot
    record: EpochRecord


class AcceptOk(Message, frozen=True, tag=True):
    """Answer to Accept: the acceptance is durable at the sender."""

    epoch: int
    ballot: Ballot


class Refused(Message, frozen=True, tag=True):
    """Answer to Prepare or Accept: a higher ballot was promised, or a lease or the wait after a restart forbids it."""

    epoch: int
    ballot: Ballot
    promised: Ballot


class Chosen(Message, frozen=True, tag=True):
    """This record was chosen; also the answer to a replica whose message shows an older one."""

    record: EpochRecord


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """A time (seconds) of the monotonic clock of one process; ``incarnation`` is drawn at random at its start."""

    incarnation: int
    at: float


class AskLease(Message, frozen=True, tag=True):
    """The primary's request for its lease; the grant names the number.

    A primary that holds its lease returns the receiver's newest stamp (None when there is none, or when it holds no
    lease) and reports the last committed revision.
    """

    record: EpochRecord
    number: int
    stamp: Stamp | None = None
    committed: Revision = NO_REVISION


class GrantLease(Message, frozen=True, tag=True):
    """Answer to AskLease: no ballot of another replica is accepted for a lease's length from the stamp's time, when
    the request was received."""

    term: int
    number: int
    stamp: Stamp


class Released(Message, frozen=True, tag=True):
    """The primary of this term has given up leadership for good; others may become candidates at once."""

    term: int


class Store(Message, frozen=True, tag=True):
    """The primary's value, for a copy or a member that is to become one."""

    record: EpochRecord
    revision: Revision
    digest: bytes
    document: bytes
    calls: CallTable = EMPTY_TABLE


class Stored(Message, frozen=True, tag=True):
    """The value of this term and revision is durable at the sender."""

    term: int
    revision: Revision


class Join(Message, frozen=True, tag=True):
    """Sent by a replica that is not a member, or hears no primary; ``epoch`` is its newest known, -1 for none."""

    epoch: int


class Leaving(Message, frozen=True, tag=True):
    """The sender's process is about to end, maybe for good: others should take over its duties."""


AnyMessage = (
    Prepare
    | Promise
    | Accept
    | AcceptOk
    | Refused
    | Chosen
    | AskLease
    | GrantLease
    | Released
    | Store
    | Stored
    | Join
    | Leaving
)


# Events that the program passes to the core.


class Tick(msgspec.Struct, frozen=True):
    """Time has passed; to be sent about every 50 ms."""


class Received(msgspec.Struct, frozen=True):
    """A message came from this address."""

    ip: str
    message: AnyMessage


class Persisted(msgspec.Struct, frozen=True):
    """The values of the Persist action with this token are durable."""

    token: int


class PersistFailed(msgspec.Struct, frozen=True):
    """The values of the Persist action with this token are not durable; the core will retry."""

    token: int


class LinkDown(msgspec.Struct, frozen=True):
    """The connection to this address broke."""

    ip: str


class Write(msgspec.Struct, frozen=True):
    """An operator's change, validated by the caller; ``digest`` identifies the call and its repetitions."""

    request: int
    base: int
    revision: Revision
    document: bytes
    digest: bytes


class ZoneReported(msgspec.Struct, frozen=True):
    """The controller at this address is in this zone (or region, where whole regions may be lost)."""

    ip: str
    zone: str


class SetIntents(msgspec.Struct, frozen=True):
    """The orders to backends that the record shall name, if this is the primary; see ``Status.intents``."""

    intents: tuple[OrderIntent, ...]


class Evacuate(msgspec.Struct, frozen=True):
    """Start or finish the evacuation of a zone, recorded in the epoch record. Answered like a write."""

    request: int
    zone: str
    is_start: bool


class Retire(msgspec.Struct, frozen=True):
    """The process will end soon: give up leadership and do not become a candidate again."""


Event = Tick | Received | Persisted | PersistFailed | LinkDown | Write | ZoneReported | SetIntents | Evacuate | Retire


# Results of a write or an evacuation.


class Accepted(msgspec.Struct, frozen=True):
    """The change is in force and durable on as many machines as required."""


class Conflict(msgspec.Struct, frozen=True):
    """Another revision is current."""

    current: int


class Busy(msgspec.Struct, frozen=True):
    """The change was not applied and never will be."""


class NotPrimary(msgspec.Struct, frozen=True):
    """The change was not applied here; ``primary_ip`` is the primary's address, None when unknown."""

    primary_ip: str | None


class Unknown(msgspec.Struct, frozen=True):
    """The change did not finish in time; it may still come into force."""


Result = Accepted | Conflict | Busy | NotPrimary | Unknown


# Actions that the core requests, to be performed in order.


class Send(msgspec.Struct, frozen=True):
    """Send a message to this address, or drop it when there is no connection."""

    ip: str
    message: AnyMessage


class Persist(msgspec.Struct, frozen=True):
    """Make these values durable in the order of the tokens, then pass Persisted or PersistFailed."""

    token: int
    values: dict[str, bytes]


class Answer(msgspec.Struct, frozen=True):
    """The result of a write or an evacuation, one for each. Except for refusals, the program answers the caller only
    if ``holds_lease`` is still true."""

    request: int
    result: Result


class Committed(msgspec.Struct, frozen=True):
    """This revision is in force and durable; to be pushed to all proxies."""

    revision: Revision
    document: bytes
    digest: bytes


class LeadershipGained(msgspec.Struct, frozen=True):
    """This controller acts as primary from now on."""

    epoch: int


class LeadershipLost(msgspec.Struct, frozen=True):
    """This controller no longer acts as primary."""


Action = Send | Persist | Answer | Committed | LeadershipGained | LeadershipLost


class Status(msgspec.Struct, frozen=True):
    """Status of a replica; ``primary`` and ``primary_ip`` are empty when unknown."""

    id: str
    state: str
    epoch: int
    primary: str
    primary_ip: str
    is_primary: bool
    copies: tuple[str, ...]
    members: tuple[str, ...]
    revision: Revision
    term: int = -1  # epoch at which that primary took over
    intents: tuple[OrderIntent, ...] | None = None  # named by the newest record and also by a proposed one
    evacuated: tuple[str, ...] = ()  # zones that the newest chosen record names
    evacuation_number: int = 0  # number in that record
