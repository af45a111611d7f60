"""What the system's own processes say to one another, as typed records; `frames.py` carries them.

A proxy dials every controller and says Hello; the controller answers Welcome and from then on pushes: numbered lists of
changed backends (Push, acknowledged by number) and configurations (ConfigPush, acknowledged by ConfigAck). Between
controllers the same link carries the custody's messages, wrapped in Custodial, and the registry's (RegistrySync, and
RegistryAck for those that have a number). Controllers without a connection to each other send the registry's by way of
proxies (RelayTo, which goes on as Relayed). The primary tells proxies of backends that change their stage (HoldOff);
every controller tells them the zones that are evacuated (Evacuations, acknowledged by EvacuationsAck), and leases them
permits to send to cold backends (WarmUpPermits).
Controllers send one another adds to tallies (TallyAdds), what they hold of them (TallyVector, which is also the
acknowledgement), and what is folded to one that lacks it (TallyBase).
Between proxies Shuffle and Gossip go as datagrams; Fetch, and its answer by ConfigPush and Push, over a connection.
Everybody sends Pulse when there is nothing else, so that silence means trouble.
"""

from __future__ import annotations

import msgspec


class Backend(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One incarnation of a backend, as its own newest heartbeat told. ``phase``: ready, draining, gone (it left,
    never to come back) or lost (its heartbeats ceased; a later one lifts this)."""

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
    """First message of whoever dials. ``life`` is drawn at each start of a process."""

    name: str
    role: str  # proxy or controller
    ip: str
    zone: str
    life: int
    revision: int = 0  # of the configuration that it has; 0: none
    backends: tuple[Backend, ...] = ()  # all that it knows: what a controller lost is rebuilt from these


class Welcome(msgspec.Struct, frozen=True, tag=2, array_like=True):
    """The answer to Hello, and again whenever it changes: all controllers' IPs, and how many proxies there are."""

    name: str
    controllers: tuple[str, ...]
    proxies: int
    neighbours: tuple[str, ...] = ()  # IPs of some proxies, drawn by lot, for the shuffled views


class Push(msgspec.Struct, frozen=True, tag=3, array_like=True):
    """Backends that changed; ``number`` rises by one within a connection."""

    number: int
    backends: tuple[Backend, ...]


class EncodedPush(msgspec.Struct, frozen=True, tag=3, array_like=True):
    """A Push whose backends are encoded already, once for many links. Read as Push."""

    number: int
    backends: msgspec.Raw


class PushAck(msgspec.Struct, frozen=True, tag=4, array_like=True):
    """All pushes up to ``number`` bind from now on."""

    number: int


class ConfigPush(msgspec.Struct, frozen=True, tag=5, array_like=True):
    """A committed configuration; ``document`` is JSON as the operator's page describes."""

    revision: int
    document: bytes


class ConfigAck(msgspec.Struct, frozen=True, tag=6, array_like=True):
    """This revision, or a later one, is in force here."""

    revision: int


class StageLoad(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What is asked of the stages of a service, in erlangs: so many backends are kept busy by it."""

    service: str
    prefill: float
    decode: float


class LinkHeartbeat(msgspec.Struct, frozen=True, tag=7, array_like=True):
    """A heartbeat; ``revision`` of the configuration in force at the sender. From a controller also whether it
    knows, by contact with a majority within a lease's length, that this is the newest one, and the newest epoch. From
    a proxy what it asks of backends, by service, and its steady clock (0: no permits are wanted)."""

    revision: int = 0
    is_current: bool = False
    epoch: int = 0
    loads: tuple[StageLoad, ...] = ()
    clock_ms: int = 0


class HoldOff(msgspec.Struct, frozen=True, tag=16, array_like=True):
    """From the primary to proxies: this backend is about to change its stage and runs nothing new meanwhile. Nothing is
    sent there for so long, or until its new stage is told; 0 takes it back."""

    backend: str
    seconds: float


class Evacuations(msgspec.Struct, frozen=True, tag=21, array_like=True):
    """To proxies, before the backends: the zones to whose backends nothing more is sent. A higher ``number`` is newer;
    answered by EvacuationsAck. Between proxies it comes ahead of a fetched configuration, unanswered."""

    number: int
    zones: tuple[str, ...]


class EvacuationsAck(msgspec.Struct, frozen=True, tag=22, array_like=True):
    """The evacuations of this number, or of a later one, bind from now on."""

    number: int


class WarmUpPermits(msgspec.Struct, frozen=True, tag=23, array_like=True):
    """From a controller to a proxy, behind the push that tells that this backend is cold: so many permits to send to
    it, until ``valid_until`` of the proxy's own clock."""

    backend: str
    permits: int
    valid_until: float


class ConsensusEnvelope(msgspec.Struct, frozen=True, tag=8, array_like=True):
    """A message of the custody's core, as msgpack."""

    body: bytes


class RegistrySync(msgspec.Struct, frozen=True, tag=9, array_like=True):
    """Between controllers: backends that changed, and who was heard lately: id, call_seq, age of it in ms. A
    ``number`` other than 0 asks for a RegistryAck; it covers everything sent before on the same connection.
    ``requested_ids`` are ids of backends whose records are to be sent back: they were heard, and the sender holds them
    for lost or has no record of them."""

    backends: tuple[Backend, ...] = ()
    heard: tuple[tuple[str, int, int], ...] = ()
    number: int = 0
    requested_ids: tuple[str, ...] = ()


class RegistryAck(msgspec.Struct, frozen=True, tag=13, array_like=True):
    """Between controllers: the records of the RegistrySync of this number, and of all before it on this connection,
    are taken, and pushed to the sender's proxies."""

    number: int


class RelayTo(msgspec.Struct, frozen=True, tag=14, array_like=True):
    """From a controller to a proxy: pass this on to a controller that the sender has no connection to."""

    destination: str  # IP
    sync: RegistrySync


class Relayed(msgspec.Struct, frozen=True, tag=15, array_like=True):
    """From a proxy to a controller: what another controller has sent by way of this proxy."""

    source: str  # IP
    sync: RegistrySync


class Shuffle(msgspec.Struct, frozen=True, tag=10, array_like=True):
    """Between proxies: part of the sender's view as (IP, age in rounds), and which configuration it has. Whoever
    gets one that is no reply sends one back with the same ``exchange``, which was drawn for it and names it alone.
    Who is behind asks with Fetch."""

    view: tuple[tuple[str, int], ...]
    revision: int
    digest: int  # CRC-32 of the configuration's document
    is_reply: bool = False
    exchange: int = 0


class Fetch(msgspec.Struct, frozen=True, tag=11, array_like=True):
    """Send your configuration (ConfigPush) if it is newer than this revision."""

    revision: int


class Load(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What the sender itself has out at a backend: calls, and tokens to be read."""

    backend: str
    calls: int
    tokens: int


class CachedPrefix(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A backend has just read a prompt up to and with this shared part: so many tokens, all of which it keeps."""

    backend: str
    part: str
    tokens: int


class PrefillBegun(msgspec.Struct, frozen=True, tag=17, array_like=True):
    """Between proxies: the sender has just asked a prefill backend to read so many tokens. ``part``: the deepest of the
    prompt's shared parts where these are long, else nothing; ``shared``: tokens up to and with it. ``slowness``: how
    many times the estimate a reading there took that the sender has observed since it told last; 0: none."""

    backend: str
    tokens: int
    part: str = ""
    shared: int = 0
    slowness: float = 0.0


class Gossip(msgspec.Struct, frozen=True, tag=12, array_like=True):
    """Between proxies, to every neighbour: which configuration the sender has, its own loads, notes of prompts that
    were read, and backends whose phase changed. ``number`` rises with each; it orders the loads."""

    number: int
    revision: int
    digest: int
    loads: tuple[Load, ...] = ()
    cached_prefixes: tuple[CachedPrefix, ...] = ()
    changed_backends: tuple[Backend, ...] = ()


class TallyAdd(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One add to a tally. ``origin`` is one life of the controller that took it, and ``number`` rises by one within
    it, from 1; ``id`` is the caller's, and counts once."""

    origin: str
    number: int
    tally: str
    id: str
    amount: int


class TallyAdds(msgspec.Struct, frozen=True, tag=18, array_like=True):
    """Between controllers: adds that the receiver lacks, in order within each origin. ``replica``: the sender's life,
    which names its origin too."""

    replica: str
    adds: tuple[TallyAdd, ...]


class TallyVector(msgspec.Struct, frozen=True, tag=19, array_like=True):
    """Between controllers: the highest number of each origin that the sender holds, all below it included:
    ``applied`` in memory, ``durable`` on its disk, ``folded`` of which it holds only the sums. ``needs_resend``: adds
    came out of order and were dropped; what was sent before doesn't count as sent. ``is_partial``: of the origins that
    it doesn't name nothing is told."""

    replica: str
    domain: str  # the sender's failure domain
    applied: dict[str, int]
    durable: dict[str, int]
    folded: dict[str, int]
    needs_resend: bool = False
    is_partial: bool = False


class TallyBase(msgspec.Struct, frozen=True, tag=20, array_like=True):
    """Between controllers, to one that lacks adds of which the sender holds only the sums. A total is a decimal number
    as text: it may be longer than 64 bits."""

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
