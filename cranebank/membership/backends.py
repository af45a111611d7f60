"""The merge rule of the registry, shared by controllers and proxies: which of two records of a backend is newer.

A backend's heartbeats are ordered by ``call_seq``; a leave is final for an incarnation. The result doesn't depend on
the order in which records arrive, so controllers and proxies converge without consensus on them.
"""

from __future__ import annotations

import msgspec

from cranebank.transport.messages import Backend

_PHASE_RANK = {"ready": 0, "lost": 1, "draining": 2, "gone": 3}


def newer(old: Backend | None, new: Backend) -> bool:
    """Whether ``new`` replaces ``old``. Neither a drain nor a leave is ever revoked."""
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
    return _PHASE_RANK[new.phase] > _PHASE_RANK[old.phase]


def replace_cold_left(record: Backend, left_s: float) -> Backend:
    """Return the record with ``left_s`` as the remaining time for which its backend is cold."""
    left_ms = round(left_s * 1000)
    return record if record.cold_left_ms == left_ms else msgspec.structs.replace(record, cold_left_ms=left_ms)


def is_material_change(old: Backend | None, new: Backend) -> bool:
    """Whether anything but ``call_seq`` and ``cold_left_ms`` changed; only then is the record sent to peers."""
    return old is None or msgspec.structs.replace(old, call_seq=new.call_seq, cold_left_ms=new.cold_left_ms) != new
