"""Events, actions and messages of the custody. Messages are tagged and can be encoded with msgspec.msgpack."""

from __future__ import annotations

import msgspec

from cranebank.control.call_table import EMPTY_TABLE, CallTable
from cranebank.control.epochs import Ballot, EpochRecord, OrderIntent

# Messages between controllers. `sender` is the replica id of who sends.


class Message(msgspec.Struct, frozen=True, tag=True):
    """What one controller sends to another."""

    sender: str


class Prepare(Message, frozen=True, tag=True):
    """Paxos phase 1 for the change of `base`."""

    base: EpochRecord
    ballot: Ballot


class Promise(Message, frozen=True, tag=True):
    """Answer to Prepare: no lower ballot will be taken; `accepted` is what was accepted so far."""

    epoch: int
    ballot: Ballot
    accepted: tuple[Ballot, EpochRecord] | None


class Accept(Message, frozen=True, tag=True):
    """Paxos phase 2: change `base` to `record`."""

    base: EpochRecord
    ballot: Ballot
    record: EpochRecord


class AcceptOk(Message, frozen=True, tag=True):
    """Answer to Accept: it is durable here."""

    epoch: int
    ballot: Ballot


class Refused(Message, frozen=True, tag=True):
    """Answer to Prepare or Accept: a higher ballot was promised, or a lease or a restart's wait forbids it."""

    epoch: int
    ballot: Ballot
    promised: Ballot


class Chosen(Message, frozen=True, tag=True):
    """This record was chosen; also the answer to whoever shows that it knows an older one only."""

    record: EpochRecord


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """A time (seconds) of the steady clock of one process; ``life`` is drawn at its start."""

    life: int
    at: float


class AskLease(Message, frozen=True, tag=True):
    """The primary asks for its lease; the grant names the number.

    A primary that holds its lease returns the receiver's newest stamp (None when there is none, or when it holds no
    lease) and tells the revision committed last.
    """

    record: EpochRecord
    number: int
    stamp: Stamp | None = None
    committed: int = 0


class GrantLease(Message, frozen=True, tag=True):
    """No other's ballot will be taken for the lease's length from the receipt of the ask, the stamp's time."""

    term: int
    number: int
    stamp: Stamp


class Released(Message, frozen=True, tag=True):
    """The primary of this term has stopped for good; others may stand at once."""

    term: int


class Store(Message, frozen=True, tag=True):
    """The primary's value, for a copy or for who is to become one."""

    record: EpochRecord
    revision: int
    digest: bytes
    document: bytes
    calls: CallTable = EMPTY_TABLE


class Stored(Message, frozen=True, tag=True):
    """The value of this term and revision is durable here."""

    term: int
    revision: int


class Join(Message, frozen=True, tag=True):
    """Sent by a replica that is no member, or hears no primary; `epoch` is the newest it knows, -1 for none."""

    epoch: int


class Leaving(Message, frozen=True, tag=True):
    """The sender's process is about to end, maybe for good: what it holds is to be taken over."""


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


# Events: what the wiring tells the custody.


class Tick(msgspec.Struct, frozen=True):
    """Time has passed; to be told about every 50 ms."""


class Received(msgspec.Struct, frozen=True):
    """A message came from this address."""

    ip: str
    message: AnyMessage


class Persisted(msgspec.Struct, frozen=True):
    """What was to be persisted under this token is durable."""

    token: int


class PersistFailed(msgspec.Struct, frozen=True):
    """What was to be persisted under this token is not durable; it will be tried again."""

    token: int


class LinkDown(msgspec.Struct, frozen=True):
    """The connection to this address broke."""

    ip: str


class Write(msgspec.Struct, frozen=True):
    """An operator's change, checked by the caller; `digest` is that of the request's body, told again by a repeat."""

    request: int
    base: int
    revision: int
    document: bytes
    digest: bytes


class ZoneReported(msgspec.Struct, frozen=True):
    """The controller at this address is in this zone (or region, where whole regions may be lost)."""

    ip: str
    zone: str


class SetIntents(msgspec.Struct, frozen=True):
    """The orders to backends that the record is to name, if this is the primary. `Status.intents` tells when so."""

    intents: tuple[OrderIntent, ...]


class Evacuate(msgspec.Struct, frozen=True):
    """Evacuate a zone, or take it back: the record is to say so. Answered as a write is."""

    request: int
    zone: str
    is_start: bool


class Retire(msgspec.Struct, frozen=True):
    """The process will end soon: give up the primary's part and don't stand again."""


Event = Tick | Received | Persisted | PersistFailed | LinkDown | Write | ZoneReported | SetIntents | Evacuate | Retire


# Results of a write or an evacuation.


class Accepted(msgspec.Struct, frozen=True):
    """It is in force and held by as many machines as must hold it."""


class Conflict(msgspec.Struct, frozen=True):
    """Another revision is current."""

    current: int


class Busy(msgspec.Struct, frozen=True):
    """Not taken up, and it never will be."""


class NotPrimary(msgspec.Struct, frozen=True):
    """Not taken up here; the primary's address, None when it isn't known."""

    primary_ip: str | None


class Unknown(msgspec.Struct, frozen=True):
    """Not finished in time; it may come into force later."""


Result = Accepted | Conflict | Busy | NotPrimary | Unknown


# Actions: what the custody wants done, in order.


class Send(msgspec.Struct, frozen=True):
    """Send to this address, or drop it when there is no connection."""

    ip: str
    message: AnyMessage


class Persist(msgspec.Struct, frozen=True):
    """Make these values durable in the order of the tokens, then tell Persisted or PersistFailed."""

    token: int
    values: dict[str, bytes]


class Answer(msgspec.Struct, frozen=True):
    """The result of a write or an evacuation; one for each. To be answered only if `holds_lease` is still true, except
    for refusals."""

    request: int
    result: Result


class Committed(msgspec.Struct, frozen=True):
    """This revision is in force and can't be lost any more; to be pushed to all proxys."""

    revision: int
    document: bytes
    digest: bytes


class LeadershipGained(msgspec.Struct, frozen=True):
    """From here on this controller acts as primary."""

    epoch: int


class LeadershipLost(msgspec.Struct, frozen=True):
    """This controller acts as primary no longer."""


Action = Send | Persist | Answer | Committed | LeadershipGained | LeadershipLost


class Status(msgspec.Struct, frozen=True):
    """How things stand here; `primary` and `primary_ip` are empty when none is known."""

    id: str
    state: str
    epoch: int
    primary: str
    primary_ip: str
    is_primary: bool
    copies: tuple[str, ...]
    members: tuple[str, ...]
    revision: int
    term: int = -1  # the epoch at which that primary took over
    intents: tuple[OrderIntent, ...] | None = None  # that the newest record names, and one that is proposed, too
    evacuated: tuple[str, ...] = ()  # zones that the newest record known to be chosen names
    evacuation_number: int = 0  # of that record
