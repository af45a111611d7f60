"""Typed messages between the system's own processes; `frames.py` encodes them.

A proxy dials every controller and sends Hello. The controller replies with Welcome and from then on pushes numbered
lists of changed backends (Push, acknowledged by number) and configurations (ConfigPush, acknowledged by ConfigAck).
Between controllers the same link carries the consensus messages, wrapped in ConsensusEnvelope, and the registry's
messages (RegistrySync, and RegistryAck for those that have a number). Controllers without a connection to each other
relay registry messages through proxies (RelayTo, forwarded as Relayed). The primary announces backends that change
their stage to proxies (HoldOff); every controller sends them the evacuated zones (Evacuations, acknowledged by
EvacuationsAck) and leases them permits to send to cold backends (WarmUpPermits).
Controllers exchange adds to tallies (TallyAdds), the vectors of the adds that they hold (TallyVector, which is also the
acknowledgement), and the folded sums for a peer that lacks them (TallyBase).
Between proxies Shuffle, Gossip and PrefillBegun are datagrams; Fetch, answered by ConfigPush and Push, uses a
connection. Both ends of a connection send LinkHeartbeat at a fixed interval, so that a silent peer is known to be dead.
"""

from __future__ import annotations

import msgspec

from cranebank.transport.revision import NO_REVISION, Revision


class Backend(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One incarnation of a backend, as reported by its newest heartbeat. ``phase``: ready, draining, gone (it has left
    for good) or lost (its heartbeats have stopped; a later heartbeat revokes this)."""

    id: str
    target: str  # the service
    address: str  # IP:PORT
    zone: str
    stage: str  # prefill or decode
    capacity: int
    phase: str
    call_seq: int
    cold_left_ms: int = 0
    models: tuple[str, ...] = ()


class Hello(msgspec.Struct, frozen=True, tag=1, array_like=True):
    """First message of the dialling side. ``life`` is a random number drawn at each start of a process."""

    name: str
    role: str  # proxy or controller
    ip: str
    zone: str
    life: int
    revision: Revision = NO_REVISION  # of the sender's configuration; 0: none
    backends: tuple[Backend, ...] = ()  # all that the sender knows: a controller rebuilds a lost registry from them


class Welcome(msgspec.Struct, frozen=True, tag=2, array_like=True):
    """Reply to Hello, sent again whenever it changes: the IPs of all controllers, and the number of proxies."""

    name: str
    controllers: tuple[str, ...]
    proxies: int
    neighbours: tuple[str, ...] = ()  # IPs of randomly chosen proxies, to bootstrap the partial views


class Push(msgspec.Struct, frozen=True, tag=3, array_like=True):
    """Changed backends; ``number`` increases by one within a connection."""

    number: int
    backends: tuple[Backend, ...]


class EncodedPush(msgspec.Struct, frozen=True, tag=3, array_like=True):
    """A Push whose backends are already encoded, once for many links. Decoded as Push."""

    number: int
    backends: msgspec.Raw


class PushAck(msgspec.Struct, frozen=True, tag=4, array_like=True):
    """All pushes up to ``number`` have taken effect at the sender."""

    number: int


class ConfigPush(msgspec.Struct, frozen=True, tag=5, array_like=True):
    """A committed configuration; ``document`` is JSON as in the operator's API."""

    revision: Revision
    document: bytes


class ConfigAck(msgspec.Struct, frozen=True, tag=6, array_like=True):
    """This revision, or a later one, is in force at the sender."""

    revision: Revision


class StageLoad(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The load offered to the stages of a service, in erlangs: the number of backends that it keeps busy."""

    service: str
    prefill: float
    decode: float


class LinkHeartbeat(msgspec.Struct, frozen=True, tag=7, array_like=True):
    """A heartbeat. ``revision`` is that of the configuration in force at the sender. A controller adds ``epoch``, the
    newest it knows, and ``is_current``: by contact with a majority within the length of a lease it knows that no
    configuration is newer. A proxy adds the load that it offers to each service, and its steady clock (0: it needs no
    permits)."""

    revision: Revision = NO_REVISION
    is_current: bool = False
    epoch: int = 0
    loads: tuple[StageLoad, ...] = ()
    clock_ms: int = 0


class HoldOff(msgspec.Struct, frozen=True, tag=16, array_like=True):
    """From the primary to proxies: this backend is about to change its stage and accepts no new calls meanwhile.
    Proxies send it nothing for ``seconds``, or until its new stage is announced; 0 revokes this."""

    backend: str
    seconds: float


class Evacuations(msgspec.Struct, frozen=True, tag=21, array_like=True):
    """To proxies, sent ahead of the backends: the evacuated zones, whose backends get no more calls. A higher
    ``number`` is newer; acknowledged by EvacuationsAck. Between proxies it precedes a fetched configuration and is not
    acknowledged."""

    number: int
    zones: tuple[str, ...]


class EvacuationsAck(msgspec.Struct, frozen=True, tag=22, array_like=True):
    """The evacuations of this number, or of a later one, have taken effect at the sender."""

    number: int


class WarmUpPermits(msgspec.Struct, frozen=True, tag=23, array_like=True):
    """From a controller to a proxy, after the push that marks this backend as cold: a lease of ``permits`` permits to
    send to it, until ``valid_until`` of the proxy's own clock."""

    backend: str
    permits: int
    valid_until: float


class ConsensusEnvelope(msgspec.Struct, frozen=True, tag=8, array_like=True):
    """A consensus message between controllers, as msgpack."""

    body: bytes


class RegistrySync(msgspec.Struct, frozen=True, tag=9, array_like=True):
    """Between controllers: changed backends, and recent heartbeats as (id, call_seq, age in ms). A ``number`` other
    than 0 requests a RegistryAck, which covers everything sent before on the same connection. ``requested_ids`` name
    backends whose records the receiver is to send back: the sender has learned of their heartbeats, but holds them
    for lost or has no record of them."""

    backends: tuple[Backend, ...] = ()
    heard: tuple[tuple[str, int, int], ...] = ()
    number: int = 0
    requested_ids: tuple[str, ...] = ()


class RegistryAck(msgspec.Struct, frozen=True, tag=13, array_like=True):
    """Between controllers: the records of the RegistrySync of this number, and of all earlier ones on this connection,
    have been merged and pushed to the acknowledging controller's proxies."""

    number: int


class RelayTo(msgspec.Struct, frozen=True, tag=14, array_like=True):
    """From a controller to a proxy: forward this to a controller that the sender has no connection to."""

    destination: str  # IP
    sync: RegistrySync


class Relayed(msgspec.Struct, frozen=True, tag=15, array_like=True):
    """From a proxy to a controller: a message that another controller sent through this proxy."""

    source: str  # IP
    sync: RegistrySync


class Shuffle(msgspec.Struct, frozen=True, tag=10, array_like=True):
    """Between proxies: part of the sender's view as (IP, age in rounds), and the revision of its configuration. The
    receiver replies to a request with the same ``exchange``, a random number that identifies it. A proxy with an
    older configuration sends Fetch."""

    view: tuple[tuple[str, int], ...]
    revision: Revision
    digest: int  # CRC-32 of the configuration's document
    is_reply: bool = False
    exchange: int = 0


class Fetch(msgspec.Struct, frozen=True, tag=11, array_like=True):
    """Requests the receiver's configuration (ConfigPush) if it is newer than this revision."""

    revision: Revision


class Load(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What the sender itself has outstanding at a backend: calls, and prompt tokens not read yet."""

    backend: str
    calls: int
    tokens: int


class CachedPrefix(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A backend has just read, and now caches, a prompt up to and including this shared part: ``tokens`` in all."""

    backend: str
    part: str
    tokens: int


class PrefillBegun(msgspec.Struct, frozen=True, tag=17, array_like=True):
    """Between proxies: the sender has just asked a prefill backend to read ``tokens`` tokens. ``part`` is the deepest
    of the prompt's shared parts if these are long, else empty; ``shared`` counts the tokens up to and including it.
    ``slowness`` is the ratio of actual to estimated reading time there that the sender has observed since its last
    report; 0: none observed."""

    backend: str
    tokens: int
    part: str = ""
    shared: int = 0
    slowness: float = 0.0


class Gossip(msgspec.Struct, frozen=True, tag=12, array_like=True):
    """Between proxies, to every neighbour: the sender's configuration revision, its own loads, newly cached prefixes,
    and backends whose phase changed. ``number`` increases with each datagram and orders the loads."""

    number: int
    revision: Revision
    digest: int
    loads: tuple[Load, ...] = ()
    cached_prefixes: tuple[CachedPrefix, ...] = ()
    changed_backends: tuple[Backend, ...] = ()


class TallyAdd(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One add to a tally. ``origin`` is one life of the controller that accepted it; ``number`` increases by one within
    it, from 1. ``id`` is the caller's idempotency key: adds with the same id count once."""

    origin: str
    number: int
    tally: str
    id: str
    amount: int


class TallyAdds(msgspec.Struct, frozen=True, tag=18, array_like=True):
    """Between controllers: adds that the receiver lacks, in order within each origin. ``replica`` identifies the
    sender's life, and is the origin of its own adds."""

    replica: str
    adds: tuple[TallyAdd, ...]


class TallyVector(msgspec.Struct, frozen=True, tag=19, array_like=True):
    """Between controllers: the highest number of each origin up to which the sender has all adds: ``applied`` in
    memory, ``durable`` on disk, ``folded`` as sums only. ``needs_resend``: adds arrived out of order and were dropped,
    so that unconfirmed adds must be sent again. ``is_partial``: origins that are not listed are unchanged."""

    replica: str
    domain: str  # the sender's failure domain
    applied: dict[str, int]
    durable: dict[str, int]
    folded: dict[str, int]
    needs_resend: bool = False
    is_partial: bool = False


class TallyBase(msgspec.Struct, frozen=True, tag=20, array_like=True):
    """Between controllers: the folded sums, for a receiver that lacks adds which the sender has folded. A total is a
    decimal number as text, as it may exceed 64 bits."""

    replica: str
    folded: dict[str, int]
    totals: dict[str, str]


Message = (
    Hello
    | Welcome
    | Push
    | PushAck
    | ConfigPush
    | ConfigAck
    | LinkHeartbeat
    | ConsensusEnvelope
    | RegistrySync
    | RegistryAck
    | RelayTo
    | Relayed
    | Shuffle
    | Fetch
    | Gossip
    | HoldOff
    | PrefillBegun
    | TallyAdds
    | TallyVector
    | TallyBase
    | Evacuations
    | EvacuationsAck
    | WarmUpPermits
)
