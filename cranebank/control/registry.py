"""Registry of backends, built from their heartbeats and leaves: the core, free of I/O.

Every controller accepts heartbeats; ``membership.backends`` defines which of two records is newer, so no agreement is
needed. After a restart a controller rebuilds its registry from the records of proxies and of the other controllers.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Annotated, Any

import msgspec

from cranebank.control.warm_up import ColdBackend
from cranebank.membership.backends import is_material_change, newer, replace_cold_left
from cranebank.membership.warm_up import Limits
from cranebank.transport.messages import Backend

ENDING_PHASES = frozenset({"draining", "gone"})  # phases that are never revoked
LIVE_PHASES = frozenset({"ready", "draining"})  # phases of backends that send heartbeats
TOMBSTONE_S = 60.0  # how long records of backends that are gone or lost are kept
MAX_TOMBSTONES = 20_000
MAX_STRAYS = 4096  # backends reported as lost to a proxy while unknown here; the newest are kept
MAX_COUNT = 2**63 - 1  # of the integers in a heartbeat: they are sent on in messages, which hold no larger ones
MAX_FIGURE = 2.0**40
MAX_PORT = 65_535
MIN_COLD_EXTENSION_S = 0.1  # a backend that stays cold for so much longer than known counts as changed
MS_PER_S = 1000.0
REJOIN_GRACE_S = 2.5  # after contact with most controllers is back: until their reports of heartbeats have arrived


class BadHeartbeat(Exception):
    """Raised for an invalid heartbeat; ``code``, ``key`` and ``expected`` give the reason."""

    def __init__(self, key: str, expected: str) -> None:
        super().__init__(f"{key}: expected {expected}")
        self.code, self.key, self.expected = "heartbeat", key, expected


class Heartbeat(msgspec.Struct):
    """The body of a heartbeat; unknown fields are ignored."""

    target: str
    address: str
    phase: str
    call_seq: Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
    zone: str = ""
    stage: str = ""
    capacity: Annotated[float, msgspec.Meta(le=MAX_FIGURE)] = 1
    cold_left_ms: Annotated[float, msgspec.Meta(le=MAX_FIGURE)] = 0
    models: list[Any] = []


_decoder = msgspec.json.Decoder(Heartbeat, strict=False)


def read_heartbeat(backend_id: str, body: bytes) -> Backend:
    """Return the record in the body of a heartbeat. Raises BadHeartbeat."""
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
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_PORT))
    return is_number and 0 < int(text) <= MAX_PORT


class Registry:
    """All records, the times of their heartbeats, and changes not yet reported. Times are monotonic seconds."""

    def __init__(self, now: float, beat_s: float) -> None:
        self._lost_after = 3.5 * beat_s + 1
        self._quiet_until = now + 3 * beat_s + 1  # no record expires before
        self._startup_until = self._quiet_until
        self._has_contact = True
        self.records: dict[str, Backend] = {}
        self._heard: dict[str, float] = {}  # time of the newest heartbeat at any controller
        # call_seq of the newest heartbeat at another controller, whose content is unknown here
        self._heard_seq: dict[str, int] = {}
        self._own: dict[str, float] = {}  # heartbeats received here and not yet reported to other controllers
        self._ended: dict[str, float] = {}  # time at which a record became gone or lost, in order
        self._id_by_address: dict[str, str] = {}  # backend last known at an address
        self._changed: dict[str, Backend] = {}
        self.limits: Limits = {}  # of the services that limit requests to cold backends
        self._cold_until: dict[str, float] = {}  # of backends of these services
        self._strays: dict[str, int] = {}  # call_seq of backends reported as lost to a proxy because unknown here
        self.wrong_losses = 0  # reports of heartbeats that were older than the loss of their backend here

    def heartbeat(self, now: float, backend_id: str, body: bytes) -> Backend:
        """Process a heartbeat and return the backend's record after it. Raises BadHeartbeat."""
        record = read_heartbeat(backend_id, body)
        old = self.records.get(backend_id)
        if old is None or record.call_seq >= old.call_seq:
            self._heard[backend_id] = self._own[backend_id] = now
        before = self._id_by_address.get(record.address)
        if old is None and before is not None and before != backend_id:
            self._lose(now, before)  # another backend has this address now, so the earlier one no longer exists
        self._apply(now, record)
        self._correct_stray(backend_id)
        return self.records[backend_id]

    def leave(self, now: float, backend_id: str) -> Backend:
        """Process a backend's leave and return its record after it.

        A backend that is unknown here may be ready at other controllers, so its end is recorded by id alone and
        reported to them.
        """
        old = self.records.get(backend_id)
        if old is None:
            self._apply(now, Backend(backend_id, "", "", "", "", 1, "gone", 0))
        elif old.phase != "gone":
            self._apply(now, msgspec.structs.replace(old, phase="gone"))
        return self.records[backend_id]

    def merge(self, now: float, records: Iterable[Backend]) -> None:
        """Merge records from another controller; report records again of which it holds an older, different state."""
        for record in records:
            old = self.records.get(record.id)
            if not self._apply(now, record) and old is not None and old.phase != record.phase:
                self._changed[old.id] = self._with_newest_call_seq(old)
            self._correct_stray(record.id)

    def restore(self, now: float, records: Iterable[Backend]) -> None:
        """Load the records that an earlier process of this controller stored on disk.

        Newer records replace them; a backend that sends no more heartbeats is lost as usual.
        """
        for record in records:
            self._apply(now, record)

    def merge_proxy_records(self, now: float, records: Iterable[Backend], hears_all: bool) -> list[Backend]:
        """Merge the records of a proxy that has just connected; return the strays, for that proxy alone.

        An unknown backend is adopted while this controller has only just started, or does not hear all others
        (``hears_all`` is false); it is lost as usual if no controller receives its heartbeats. Otherwise it is a stray,
        returned as lost. Records that the proxy considers lost are ignored, as they are not first-hand.
        """
        stray: list[Backend] = []
        knows_all = hears_all and now >= self._startup_until
        for record in records:
            if record.phase == "lost":
                continue
            if record.id in self.records or record.phase == "gone" or not knows_all:
                self._apply(now, record)
                self._correct_stray(record.id)
            else:
                stray.append(msgspec.structs.replace(record, phase="gone" if record.phase == "draining" else "lost"))
                self._record_stray(record)
        return stray

    def _record_stray(self, record: Backend) -> None:
        call_seq = max(record.call_seq, self._strays.pop(record.id, 0))
        self._strays[record.id] = call_seq
        while len(self._strays) > MAX_STRAYS:
            del self._strays[next(iter(self._strays))]

    def _correct_stray(self, backend_id: str) -> None:
        """Report a stray that sends heartbeats: a proxy was told that it is lost, even if no other process was."""
        record = self.records.get(backend_id)
        if backend_id not in self._strays or record is None:
            return
        newest = self._with_newest_call_seq(record)
        if record.phase not in LIVE_PHASES:
            del self._strays[backend_id]
        elif newest.call_seq > self._strays[backend_id]:
            del self._strays[backend_id]
            self._changed[backend_id] = newest

    def merge_remote_heartbeats(self, now: float, heartbeats: Iterable[tuple[str, int, int]]) -> tuple[str, ...]:
        """Process heartbeats that another controller received: id, call_seq, age in ms.

        Returns the ids whose records that controller should send: those unknown here, or lost here although they send
        heartbeats.
        """
        requested: list[str] = []
        for backend_id, call_seq, age_ms in heartbeats:
            old, at = self.records.get(backend_id), now - age_ms / 1000
            if old is None:
                requested.append(backend_id)
            elif old.phase == "lost" and call_seq > old.call_seq:
                requested.append(backend_id)
                self.wrong_losses += at <= self._ended[backend_id]
            elif old.phase in LIVE_PHASES and call_seq >= self._with_newest_call_seq(old).call_seq:
                self._heard[backend_id] = max(self._heard.get(backend_id, 0.0), at)
                self._heard_seq[backend_id] = call_seq
                self._correct_stray(backend_id)
        return tuple(requested)

    def records_of(self, ids: Iterable[str]) -> tuple[Backend, ...]:
        """Return the records of those backends that are known."""
        return tuple(record for backend_id in ids if (record := self.records.get(backend_id)) is not None)

    def pop_heartbeats(self, now: float) -> tuple[tuple[str, int, int], ...]:
        """Return the heartbeats received here since the last call, to report to the other controllers."""
        heartbeats = tuple(
            (backend_id, self.records[backend_id].call_seq, max(0, int((now - at) * 1000)))
            for backend_id, at in self._own.items()
            if backend_id in self.records
        )
        self._own.clear()
        return heartbeats

    def expire(self, now: float, has_contact: bool = True) -> list[Backend]:
        """Mark backends without recent heartbeats as lost, and return their records.

        Nothing expires while this controller has no contact with most of the others (``has_contact`` is false), since
        they may receive the heartbeats.
        """
        if has_contact and not self._has_contact:
            self._quiet_until = max(self._quiet_until, now + REJOIN_GRACE_S)
        self._has_contact = has_contact
        found: list[Backend] = []
        if has_contact and now >= self._quiet_until:
            for backend_id, at in list(self._heard.items()):
                if now - at > self._lost_after and self._lose(now, backend_id):
                    found.append(self.records[backend_id])
        self._forget(now)
        return found

    @property
    def heard_at(self) -> Mapping[str, float]:
        """Time of the newest heartbeat of each live backend, received by any controller."""
        return self._heard

    def is_current(self, now: float) -> bool:
        """Return whether the registry is complete, so that an unknown backend does not exist.

        That is so once most controllers have been heard for long enough since this one started or last lost contact.
        """
        return self._has_contact and now >= self._quiet_until

    def mark_zone_cold(self, now: float, zone: str) -> None:
        """Mark the backends of a zone as cold after its evacuation: they may have turned cold shortly before."""
        for record in self.records.values():
            limit = self.limits.get(record.target)
            if limit is not None and record.zone == zone and record.phase in LIVE_PHASES:
                self._extend_cold(now, record.id, now + limit.cold_s)

    def cold(self, now: float) -> list[ColdBackend]:
        """Return the cold backends of services with a limit."""
        self._cold_until = {backend_id: until for backend_id, until in self._cold_until.items() if until > now}
        return [
            ColdBackend(backend_id, limit, until)
            for backend_id, until in self._cold_until.items()
            if (record := self.records.get(backend_id)) is not None
            and record.phase == "ready"
            and (limit := self.limits.get(record.target)) is not None
        ]

    def with_cold_left(self, now: float, records: Iterable[Backend]) -> tuple[Backend, ...]:
        """Return the records with the remaining cold time as of now, which is stored apart from the records."""
        if not self._cold_until:
            return tuple(records)
        return tuple(
            replace_cold_left(record, max(0.0, self._cold_until.get(record.id, now) - now)) for record in records
        )

    def changes(self) -> tuple[Backend, ...]:
        """Return the records that changed since the last call."""
        changed = tuple(self._changed.values())
        self._changed.clear()
        return changed

    def has_all_endings(self, records: Iterable[Backend]) -> bool:
        """Return whether each of these backends that is draining or gone is so here, too."""
        return all(
            (known := self.records.get(record.id)) is not None and known.phase in ENDING_PHASES
            for record in records
            if record.phase in ENDING_PHASES
        )

    def endings(self) -> tuple[Backend, ...]:
        """Return the records of backends that are draining or, within the last minute, gone."""
        return tuple(record for record in self.records.values() if record.phase in ENDING_PHASES)

    def all_records(self) -> tuple[Backend, ...]:
        """Return all records, including backends that ended within the last minute."""
        return tuple(self.records.values())

    def _lose(self, now: float, backend_id: str) -> bool:
        old = self.records.get(backend_id)
        if old is None or old.phase not in LIVE_PHASES:
            return False
        phase = "gone" if old.phase == "draining" else "lost"  # a drain is never revoked
        return self._apply(now, msgspec.structs.replace(self._with_newest_call_seq(old), phase=phase))

    def _with_newest_call_seq(self, record: Backend) -> Backend:
        """Return the record with the call_seq of its newest heartbeat anywhere, which overrides an earlier loss."""
        call_seq = self._heard_seq.get(record.id, record.call_seq)
        return msgspec.structs.replace(record, call_seq=call_seq) if call_seq > record.call_seq else record

    def _apply(self, now: float, record: Backend) -> bool:
        """Apply a record; return whether it replaced the old one. The only function that changes records."""
        old = self.records.get(record.id)
        is_replaced = self._replace(now, old, replace_cold_left(record, 0.0))
        if record.cold_left_ms > 0 and (old is None or record.call_seq >= old.call_seq):
            self._observe_cold(now, record)
        return is_replaced

    def _observe_cold(self, now: float, record: Backend) -> None:
        known = self.records.get(record.id)
        if known is not None and known.phase in LIVE_PHASES and known.target in self.limits:
            self._extend_cold(now, record.id, now + record.cold_left_ms / MS_PER_S)

    def _extend_cold(self, now: float, backend_id: str, until: float) -> None:
        if until > max(now, self._cold_until.get(backend_id, now)) + MIN_COLD_EXTENSION_S:
            self._cold_until[backend_id] = until
            self._changed[backend_id] = self.records[backend_id]

    def _replace(self, now: float, old: Backend | None, record: Backend) -> bool:
        """Replace the old record, unless it is newer."""
        if not newer(self._with_newest_call_seq(old) if old is not None and record.phase == "lost" else old, record):
            return False
        if old is not None and not record.address:  # an end reported by a controller that knew only the id
            record = msgspec.structs.replace(old, phase=record.phase)
        elif old is not None and record.call_seq < old.call_seq:
            record = msgspec.structs.replace(record, call_seq=old.call_seq)
        self.records[record.id] = record
        if is_material_change(old, record):
            self._changed[record.id] = record
        if record.phase in {"gone", "lost"}:
            self._heard.pop(record.id, None)
            self._heard_seq.pop(record.id, None)
            self._own.pop(record.id, None)
            if old is None or old.phase != record.phase:
                self._ended.pop(record.id, None)
                self._ended[record.id] = now
            if self._id_by_address.get(record.address) == record.id:
                del self._id_by_address[record.address]
        else:
            self._ended.pop(record.id, None)
            self._heard.setdefault(record.id, now)
            self._id_by_address[record.address] = record.id
        return True

    def _forget(self, now: float) -> None:
        while self._ended:
            oldest = next(iter(self._ended))
            if len(self._ended) <= MAX_TOMBSTONES and now - self._ended[oldest] < TOMBSTONE_S:
                return
            del self._ended[oldest]
            self._cold_until.pop(oldest, None)
            self.records.pop(oldest, None)
            self._changed.pop(oldest, None)
