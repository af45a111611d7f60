"""The registry's one rule, shared by controllers and proxies: which of two records of a backend holds.

A backend's own heartbeats are ordered by ``call_seq``; a leave is the last word of an incarnation. Merging is the same
in whatever order records come, so controllers and proxies need no agreement on them: everybody ends with the same.
"""

from __future__ import annotations

import msgspec

from cranebank.transport.messages import Backend

_RANK = {"ready": 0, "lost": 1, "draining": 2, "gone": 3}


def newer(old: Backend | None, new: Backend) -> bool:
    """Whether ``new`` takes the place of ``old``. A drain is never taken back, an end neither."""
    if old is None:
        return True
    if old.phase == "gone":
        return False
    if new.phase == "gone":
        return True
    if old.phase == "draining" and new.phase != "draining":
        return False
    if new.phase == "draining" and old.phase != "draining":
        return True
    if new.call_seq != old.call_seq:
        return new.call_seq > old.call_seq
    return _RANK[new.phase] > _RANK[old.phase]


def replace_cold_left(record: Backend, left_s: float) -> Backend:
    """The record with another time for which its backend is cold still."""
    left_ms = round(left_s * 1000)
    return record if record.cold_left_ms == left_ms else msgspec.structs.replace(record, cold_left_ms=left_ms)


def is_material_change(old: Backend | None, new: Backend) -> bool:
    """Whether anything but the count of calls changed: only then is it news for others."""
    return old is None or msgspec.structs.replace(old, call_seq=new.call_seq, cold_left_ms=new.cold_left_ms) != new
