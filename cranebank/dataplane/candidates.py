"""The ready lists of each service and stage, and what this proxy has seen of each backend itself."""

from __future__ import annotations

from collections.abc import Iterable, Set

from cranebank.membership.backends import newer
from cranebank.transport.messages import Backend

GONE_KEPT = 4096  # ended backends that are remembered, so that late news of them changes nothing
LOST_KEPT = 1024  # backends whose heartbeats ceased that are remembered; the oldest are then forgotten
AWAY_S = (0.5, 8.0)  # a backend that failed us is left alone for so long, at first and at most


class Seen:
    """One backend as seen from here. ``calls`` and ``tokens`` are out at it from this proxy, ``others_calls`` and
    ``others_tokens`` from the neighbours that tell us theirs."""

    __slots__ = (
        "answered_at",
        "away_for",
        "away_until",
        "backend",
        "calls",
        "figured_at",
        "others_calls",
        "others_tokens",
        "tokens",
    )

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.calls = 0
        self.tokens = 0
        self.others_calls = self.others_tokens = 0
        self.figured_at = 0.0  # when the figures last changed, by a call sent or ended
        self.answered_at = 0.0
        self.away_until = self.away_for = 0.0


def _place(backend: Backend) -> tuple[str, str] | None:
    """Which ready list it stands in, if any."""
    return (backend.target, backend.stage) if backend.phase == "ready" else None


class Candidates:
    """All backends that were heard of; the ready ones by service and stage."""

    def __init__(self) -> None:
        self.records: dict[str, Backend] = {}
        self.seen: dict[str, Seen] = {}
        self._ready: dict[tuple[str, str], list[Seen]] = {}
        self.version = 0  # rises whenever a ready list changes
        self._away: set[str] = set()  # those that failed lately
        self._gone: dict[str, None] = {}
        self._lost: dict[str, None] = {}

    def merge(self, records: Iterable[Backend]) -> list[str]:
        """Take records of any source; return the ids of backends that are over."""
        over: list[str] = []
        for record in records:
            if record.id in self._gone or not newer(self.records.get(record.id), record):
                continue
            if record.phase == "gone":
                over.append(record.id)
                self._forget(record.id)
                self._gone[record.id] = None
                while len(self._gone) > GONE_KEPT:
                    del self._gone[next(iter(self._gone))]
                continue
            self.records[record.id] = record
            known = self.seen.get(record.id)
            if known is None:
                known = self.seen[record.id] = Seen(record)
                self._list(known)
            elif _place(known.backend) == _place(record):
                known.backend = record
            else:
                self._unlist(known)
                known.backend = record
                self._list(known)
            self._lost.pop(record.id, None)
            if record.phase == "lost":
                self._lost[record.id] = None
        while len(self._lost) > LOST_KEPT:
            oldest = next(iter(self._lost))
            over.append(oldest)
            self._forget(oldest)
        return over

    def _forget(self, backend: str) -> None:
        self.records.pop(backend, None)
        self._lost.pop(backend, None)
        self._away.discard(backend)
        ended = self.seen.pop(backend, None)
        if ended is not None:
            self._unlist(ended)

    def _list(self, seen: Seen) -> None:
        place = _place(seen.backend)
        if place is not None:
            self._ready.setdefault(place, []).append(seen)
            self.version += 1

    def _unlist(self, seen: Seen) -> None:
        place = _place(seen.backend)
        if place is not None:
            self._ready[place].remove(seen)
            if not self._ready[place]:
                del self._ready[place]
            self.version += 1

    def known(self) -> tuple[Backend, ...]:
        """Everything to tell a controller that has forgotten."""
        return tuple(self.records.values())

    def may_take(self, backend: str) -> bool:
        """Whether a request may be sent there now: neither draining nor over."""
        record = self.records.get(backend)
        return record is not None and record.phase in {"ready", "lost"}

    def ready(self, now: float, service: str, stage: str, without: Set[str] = frozenset()) -> list[Seen]:
        """The ready list, which is not to be changed; those that failed us lately stand back, unless all did."""
        if self._away:
            self._away = {name for name in self._away if self.seen[name].away_until > now}
        if not without and not self._away:
            return self._ready.get((service, stage), [])
        listed = [s for s in self._ready.get((service, stage), ()) if s.backend.id not in without]
        well = [s for s in listed if s.away_until <= now]
        return well or listed

    def count(self, service: str, stage: str) -> int:
        """How many are ready, well or not."""
        return len(self._ready.get((service, stage), ()))

    def staffed(self) -> frozenset[tuple[str, str]]:
        """The services and stages that have a ready backend, well or not."""
        return frozenset(self._ready)

    def any_ready(self) -> bool:
        """Whether there is anybody to send to."""
        return any(self._ready.values())

    def failed(self, now: float, backend: str) -> None:
        """A call ended without a word, or the backend couldn't be reached."""
        seen = self.seen.get(backend)
        if seen is None or seen.away_until > now:
            return
        seen.away_for = min(max(2 * seen.away_for, AWAY_S[0]), AWAY_S[1])
        seen.away_until = now + seen.away_for
        self._away.add(backend)

    def answered(self, now: float, backend: str) -> None:
        """An answer came."""
        seen = self.seen.get(backend)
        if seen is not None:
            seen.answered_at = now
            seen.away_until = seen.away_for = 0.0
            self._away.discard(backend)
