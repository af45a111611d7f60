"""Zones that this proxy can't reach, as its own calls show.

One backend that is not reached may be dead. Two of one zone, and no answer from there in between, are taken as a cut of
the way to that zone: all its backends then stand back, come up one after another to be tried, and the first answer from
the zone takes all of them back. Without that, each proxy would learn of each backend by a dial of its own, again and
again for as long as the cut lasts, and would stay away from all of them for seconds after its end.
"""

from __future__ import annotations

import msgspec

UNREACHED = 2  # backends of a zone
EVIDENCE_S = 3.0  # for which a backend that was not reached counts
STAND_BACK_S = (0.5, 4.0)  # until the first of a zone is tried again: at first and at most
MOST_ZONES = 256  # of which evidence is kept, the newest


class Silence(msgspec.Struct):
    """One zone: its backends that were not reached since it answered, and when; how long it stands back."""

    unreached: dict[str, float]
    seconds: float = 0.0
    until: float = 0.0


class ZoneSilence:
    """The zones from which no answer came since a backend there was not reached."""

    def __init__(self) -> None:
        self._zones: dict[str, Silence] = {}

    def unreached(self, now: float, zone: str, backend: str) -> float:
        """Note a backend that was not reached; return for how long its zone stands back from now on, 0 if it doesn't
        or does so already."""
        silence = self._zones.setdefault(zone, Silence({}))
        if not silence.seconds:
            silence.unreached = {one: at for one, at in silence.unreached.items() if now - at <= EVIDENCE_S}
        silence.unreached[backend] = now
        while len(self._zones) > MOST_ZONES:
            del self._zones[next(iter(self._zones))]
        if len(silence.unreached) < UNREACHED or now < silence.until:
            return 0.0
        silence.seconds = min(max(2 * silence.seconds, STAND_BACK_S[0]), STAND_BACK_S[1])
        silence.until = now + silence.seconds
        return silence.seconds

    def answered(self, zone: str) -> dict[str, Silence]:
        """An answer came from this zone; return the zones that need not stand back any more, none in ordinary times.

        Where it had stood back itself, a cut may be over: all others are tried again, and one backend that is not
        reached is enough for them to stand back as before.
        """
        ended = self._zones.pop(zone, None) if self._zones else None
        if ended is None or not ended.seconds:
            return {}
        others = {name: silence for name, silence in self._zones.items() if silence.seconds}
        for silence in others.values():
            silence.until = 0.0
        return {zone: ended, **others}
