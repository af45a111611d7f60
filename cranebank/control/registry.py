"""Which backends there are, as their heartbeats and leaves tell: the core, free of I/O.

Every controller takes heartbeats; ``membership.backends`` says which of two records holds, so no agreement is needed.
What a restarted controller lost is rebuilt from the records of proxies and of the other controllers.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Annotated, Any

import msgspec

from cranebank.control.warm_up import ColdBackend
from cranebank.membership.backends import is_material_change, newer, replace_cold_left
from cranebank.membership.warm_up import Limits
from cranebank.transport.messages import Backend

ENDING_PHASES = frozenset({"draining", "gone"})  # phases that are never taken back
LIVING = frozenset({"ready", "draining"})  # phases of backends that beat
TOMBSTONE_S = 60.0  # how long ends and losses are remembered
TOMBSTONES_MOST = 20_000
STRAYS_MOST = 4096  # backends that proxies were told to be lost while they were unknown here, the newest
MAX_COUNT = 2**63 - 1  # of a heartbeat's whole numbers: all of them go out in messages, which hold no larger ones
LARGEST_FIGURE = 2.0**40
LARGEST_PORT = 65_535
COLD_NEWS_S = 0.1  # a backend that is cold for so much longer than was known is news
MS_PER_S = 1000.0
REJOIN_GRACE_S = 2.5  # after a time without most other controllers: until their news of who was heard has come again


class BadHeartbeat(Exception):
    """A heartbeat that can't be read; ``code``, ``key`` and ``expected`` say why."""

    def __init__(self, key: str, expected: str) -> None:
        super().__init__(f"{key}: expected {expected}")
        self.code, self.key, self.expected = "heartbeat", key, expected


class Heartbeat(msgspec.Struct):
    """The body of a heartbeat; fields that aren't known are skipped."""

    target: str
    address: str
    phase: str
    call_seq: Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
    zone: str = ""
    stage: str = ""
    capacity: Annotated[float, msgspec.Meta(le=LARGEST_FIGURE)] = 1
    cold_left_ms: Annotated[float, msgspec.Meta(le=LARGEST_FIGURE)] = 0
    models: list[Any] = []


_decoder = msgspec.json.Decoder(Heartbeat, strict=False)


def read_heartbeat(backend_id: str, body: bytes) -> Backend:
    """The record that a heartbeat tells. Raises BadHeartbeat."""
    try:
        beat = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BadHeartbeat("body", str(error)) from None
    if beat.phase not in {"ready", "draining"}:
        raise BadHeartbeat("phase", "ready or draining")
    host, _, port = beat.address.rpartition(":")
    if not host or not _is_port(port):
        raise BadHeartbeat("address", "IP:PORT")
    models = tuple(str(model.get("name", "")) if isinstance(model, dict) else str(model) for model in beat.models)
    return Backend(
        backend_id,
        beat.target,
        beat.address,
        beat.zone,
        beat.stage,
        max(1, int(beat.capacity)),
        beat.phase,
        beat.call_seq,
        max(0, int(beat.cold_left_ms)),
        models,
    )


def _is_port(text: str) -> bool:
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(LARGEST_PORT))
    return is_number and 0 < int(text) <= LARGEST_PORT


class Registry:
    """All records, who was heard when, and what is news for others. Times are a steady clock's seconds."""

    def __init__(self, now: float, beat_s: float) -> None:
        self._lost_after = 3.5 * beat_s + 1
        self._quiet_until = now + 3 * beat_s + 1  # nothing expires before
        self._young_until = self._quiet_until
        self._in_touch = True
        self.records: dict[str, Backend] = {}
        self._heard: dict[str, float] = {}  # by any controller
        self._heard_seq: dict[
            str, int
        ] = {}  # call_seq of heartbeats that others heard; what they said isn't known here
        self._own: dict[str, float] = {}  # by this one, since it last told the others
        self._ended: dict[str, float] = {}  # when gone or lost, in order
        self._at: dict[str, str] = {}  # address: id of who was last said to have it
        self._news: dict[str, Backend] = {}
        self.limits: Limits = {}  # of the services whose cold backends bear few requests
        self._cold_until: dict[str, float] = {}  # of backends of these services
        self._strays: dict[str, int] = {}  # call_seq of those that a proxy was told to be lost though unknown here
        self.wrong_losses = 0  # reports of heartbeats from before their backend was held for lost here

    def heartbeat(self, now: float, backend_id: str, body: bytes) -> Backend:
        """Take a heartbeat; the record that now holds. Raises BadHeartbeat."""
        record = read_heartbeat(backend_id, body)
        old = self.records.get(backend_id)
        if old is None or record.call_seq >= old.call_seq:
            self._heard[backend_id] = self._own[backend_id] = now
        before = self._at.get(record.address)
        if old is None and before is not None and before != backend_id:
            self._lose(now, before)  # the address has passed to a new incarnation: the old one can't be there
        self._apply(now, record)
        self._correct_stray(backend_id)
        return self.records[backend_id]

    def leave(self, now: float, backend_id: str) -> Backend:
        """It says that it ends; the record that now holds. One never heard of here may be ready elsewhere: its end is
        recorded by its id alone, so that it can be told to all others."""
        old = self.records.get(backend_id)
        if old is None:
            self._apply(now, Backend(backend_id, "", "", "", "", 1, "gone", 0))
        elif old.phase != "gone":
            self._apply(now, msgspec.structs.replace(old, phase="gone"))
        return self.records[backend_id]

    def merge(self, now: float, records: Iterable[Backend]) -> None:
        """Records from another controller. What it has older than here, and differently, is told again."""
        for record in records:
            old = self.records.get(record.id)
            if not self._apply(now, record) and old is not None and old.phase != record.phase:
                self._news[old.id] = self._as_heard(old)
            self._correct_stray(record.id)

    def restore(self, now: float, records: Iterable[Backend]) -> None:
        """What this controller knew in its life before, from its disk. Whoever was heard since knows better; who does
        not beat again is lost as usual."""
        for record in records:
            self._apply(now, record)

    def merge_proxy_records(self, now: float, records: Iterable[Backend], hears_all: bool) -> list[Backend]:
        """Records from a proxy that has just come. What is unknown here is learnt while this controller is young, or
        doesn't hear all others (``hears_all`` is false): it is lost as usual if nobody hears it. Else this controller
        knows better, and returns it as lost, for that proxy alone. What the proxy holds for lost is hearsay."""
        stray: list[Backend] = []
        knows_all = hears_all and now >= self._young_until
        for record in records:
            if record.phase == "lost":
                continue
            if record.id in self.records or record.phase == "gone" or not knows_all:
                self._apply(now, record)
                self._correct_stray(record.id)
            else:
                stray.append(msgspec.structs.replace(record, phase="gone" if record.phase == "draining" else "lost"))
                self._note_stray(record)
        return stray

    def _note_stray(self, record: Backend) -> None:
        told = max(record.call_seq, self._strays.pop(record.id, 0))
        self._strays[record.id] = told
        while len(self._strays) > STRAYS_MOST:
            del self._strays[next(iter(self._strays))]

    def _correct_stray(self, backend_id: str) -> None:
        """One that a proxy was told to be lost beats: that is news, though for all others nothing may have changed."""
        record = self.records.get(backend_id)
        if backend_id not in self._strays or record is None:
            return
        newest = self._as_heard(record)
        if record.phase not in LIVING:
            del self._strays[backend_id]
        elif newest.call_seq > self._strays[backend_id]:
            del self._strays[backend_id]
            self._news[backend_id] = newest

    def heard(self, now: float, heard: Iterable[tuple[str, int, int]]) -> tuple[str, ...]:
        """Another controller heard these: id, call_seq, age in ms. Returns the ids whose records it should send: this
        one has none, or holds them for lost though they beat."""
        asks: list[str] = []
        for backend_id, call_seq, age_ms in heard:
            old, at = self.records.get(backend_id), now - age_ms / 1000
            if old is None:
                asks.append(backend_id)
            elif old.phase == "lost" and call_seq > old.call_seq:
                asks.append(backend_id)
                self.wrong_losses += at <= self._ended[backend_id]
            elif old.phase in LIVING and call_seq >= self._as_heard(old).call_seq:
                self._heard[backend_id] = max(self._heard.get(backend_id, 0.0), at)
                self._heard_seq[backend_id] = call_seq
                self._correct_stray(backend_id)
        return tuple(asks)

    def records_of(self, ids: Iterable[str]) -> tuple[Backend, ...]:
        """The records of these backends, as far as there are any."""
        return tuple(record for backend_id in ids if (record := self.records.get(backend_id)) is not None)

    def pop_heard(self, now: float) -> tuple[tuple[str, int, int], ...]:
        """Who was heard here since last asked, for the other controllers."""
        told = tuple(
            (backend_id, self.records[backend_id].call_seq, max(0, int((now - at) * 1000)))
            for backend_id, at in self._own.items()
            if backend_id in self.records
        )
        self._own.clear()
        return told

    def expire(self, now: float, in_touch: bool = True) -> list[Backend]:
        """Records whose heartbeats ceased, now lost. Nothing expires while this controller is out of touch with most
        of the others (``in_touch`` is false): who beats may be heard by them."""
        if in_touch and not self._in_touch:
            self._quiet_until = max(self._quiet_until, now + REJOIN_GRACE_S)
        self._in_touch = in_touch
        found: list[Backend] = []
        if in_touch and now >= self._quiet_until:
            for backend_id, at in list(self._heard.items()):
                if now - at > self._lost_after and self._lose(now, backend_id):
                    found.append(self.records[backend_id])
        self._forget(now)
        return found

    @property
    def heard_at(self) -> Mapping[str, float]:
        """When the newest heartbeat of each backend that isn't over was received, by any controller."""
        return self._heard

    def is_current(self, now: float) -> bool:
        """Whether a backend that isn't known here is known not to be there: most controllers have been heard for long
        enough since this one started, and since it last was without them."""
        return self._in_touch and now >= self._quiet_until

    def zone_returned(self, now: float, zone: str) -> None:
        """A zone is taken back from an evacuation: its backends may have turned cold shortly before."""
        for record in self.records.values():
            limit = self.limits.get(record.target)
            if limit is not None and record.zone == zone and record.phase in LIVING:
                self._keep_cold(now, record.id, now + limit.cold_s)

    def cold(self, now: float) -> list[ColdBackend]:
        """The backends that are cold, of services with a limit."""
        self._cold_until = {backend_id: until for backend_id, until in self._cold_until.items() if until > now}
        return [
            ColdBackend(backend_id, limit, until)
            for backend_id, until in self._cold_until.items()
            if (record := self.records.get(backend_id)) is not None
            and record.phase == "ready"
            and (limit := self.limits.get(record.target)) is not None
        ]

    def as_of(self, now: float, records: Iterable[Backend]) -> tuple[Backend, ...]:
        """Records as they are to be told now: how long a backend is cold still is kept apart from its record."""
        if not self._cold_until:
            return tuple(records)
        return tuple(
            replace_cold_left(record, max(0.0, self._cold_until.get(record.id, now) - now)) for record in records
        )

    def changes(self) -> tuple[Backend, ...]:
        """The records that are news since last asked."""
        news = tuple(self._news.values())
        self._news.clear()
        return news

    def has_ended(self, records: Iterable[Backend]) -> bool:
        """Whether each of these that drains or is gone does so here too."""
        return all(
            (known := self.records.get(record.id)) is not None and known.phase in ENDING_PHASES
            for record in records
            if record.phase in ENDING_PHASES
        )

    def endings(self) -> tuple[Backend, ...]:
        """The records of all that drain or are gone, the last minute's."""
        return tuple(record for record in self.records.values() if record.phase in ENDING_PHASES)

    def all_records(self) -> tuple[Backend, ...]:
        """All records, ends of the last minute too."""
        return tuple(self.records.values())

    def _lose(self, now: float, backend_id: str) -> bool:
        old = self.records.get(backend_id)
        if old is None or old.phase not in LIVING:
            return False
        phase = "gone" if old.phase == "draining" else "lost"  # a drain is never taken back
        return self._apply(now, msgspec.structs.replace(self._as_heard(old), phase=phase))

    def _as_heard(self, record: Backend) -> Backend:
        """The record with the number of the newest heartbeat, whoever heard it: it contradicts a loss of before."""
        call_seq = self._heard_seq.get(record.id, record.call_seq)
        return msgspec.structs.replace(record, call_seq=call_seq) if call_seq > record.call_seq else record

    def _apply(self, now: float, record: Backend) -> bool:
        """The one function that changes a record."""
        old = self.records.get(record.id)
        is_taken = self._replace(now, old, replace_cold_left(record, 0.0))
        if record.cold_left_ms > 0 and (old is None or record.call_seq >= old.call_seq):
            self._observe_cold(now, record)
        return is_taken

    def _observe_cold(self, now: float, record: Backend) -> None:
        known = self.records.get(record.id)
        if known is not None and known.phase in LIVING and known.target in self.limits:
            self._keep_cold(now, record.id, now + record.cold_left_ms / MS_PER_S)

    def _keep_cold(self, now: float, backend_id: str, until: float) -> None:
        if until > max(now, self._cold_until.get(backend_id, now)) + COLD_NEWS_S:
            self._cold_until[backend_id] = until
            self._news[backend_id] = self.records[backend_id]

    def _replace(self, now: float, old: Backend | None, record: Backend) -> bool:
        """Put the record in the place of the old one, unless that is the newer."""
        if not newer(self._as_heard(old) if old is not None and record.phase == "lost" else old, record):
            return False
        if old is not None and not record.address:  # an end told by a controller that knew the id alone
            record = msgspec.structs.replace(old, phase=record.phase)
        elif old is not None and record.call_seq < old.call_seq:
            record = msgspec.structs.replace(record, call_seq=old.call_seq)
        self.records[record.id] = record
        if is_material_change(old, record):
            self._news[record.id] = record
        if record.phase in {"gone", "lost"}:
            self._heard.pop(record.id, None)
            self._heard_seq.pop(record.id, None)
            self._own.pop(record.id, None)
            if old is None or old.phase != record.phase:
                self._ended.pop(record.id, None)
                self._ended[record.id] = now
            if self._at.get(record.address) == record.id:
                del self._at[record.address]
        else:
            self._ended.pop(record.id, None)
            self._heard.setdefault(record.id, now)
            self._at[record.address] = record.id
        return True

    def _forget(self, now: float) -> None:
        while self._ended:
            oldest = next(iter(self._ended))
            if len(self._ended) <= TOMBSTONES_MOST and now - self._ended[oldest] < TOMBSTONE_S:
                return
            del self._ended[oldest]
            self._cold_until.pop(oldest, None)
            self.records.pop(oldest, None)
            self._news.pop(oldest, None)
