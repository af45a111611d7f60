"""Planted faults of the limit on requests to cold backends."""

from __future__ import annotations

from mutant import Mutant, Point

COLD_MUTANTS = (
    Mutant(
        Point.OTHER,
        "a lease of permits begins when its message is looked at",
        "dataplane/cold_backends.py",
        "_Permit(valid_until) for",
        "_Permit(now + 4.0) for",
        "test_cold_backends.py",
    ),
    Mutant(
        Point.OTHER,
        "permits are leased anew as soon as their lease is over",
        "control/warm_up.py",
        "now + lease_s + PERMIT_RELEASE_DELAY_S",
        "now + lease_s",
        "test_warm_up.py",
    ),
    Mutant(
        Point.OTHER,
        "a controller leases permits right after its start",
        "control/warm_up.py",
        "if now < self._quiet_until:",
        "if False:",
        "test_warm_up.py",
    ),
    Mutant(
        Point.OTHER,
        "a controller that knows few others takes part of the rest of the permits",
        "control/warm_up.py",
        "len(known) >= self._min_controllers and ",
        "",
        "test_warm_up.py",
    ),
    Mutant(
        Point.OTHER,
        "a permit is free again as soon as it was used",
        "dataplane/cold_backends.py",
        "permit.free_at = now + PERMIT_REUSE_INTERVAL_S",
        "permit.free_at = now",
        "test_cold_backends.py",
    ),
    Mutant(
        Point.OTHER,
        "a call under a permit is written however late its connection is established",
        "dataplane/cold_backends.py",
        "return now + PERMIT_SEND_TIMEOUT_S",
        "return now + 60.0",
        "test_cold_backends.py",
    ),
    Mutant(
        Point.OTHER,
        "a call is written to a backend that has become cold since the connection was opened",
        "dataplane/candidates.py",
        "return not self.cold or now <= permitted_until or",
        "return True or",
        "test_cold_backends.py",
    ),
    Mutant(
        Point.OTHER,
        "a suspect is a last resort although it is cold",
        "dataplane/candidates.py",
        "backends = self._usable(now, self._suspects.last_resort(now, key), without)",
        "backends = self._suspects.last_resort(now, key)",
        "test_cold_backends.py",
    ),
    Mutant(
        Point.OTHER,
        "a backend that turns cold under its id is no news",
        "control/registry.py",
        "self._changed[backend_id] = self.records[backend_id]",
        "pass",
        "test_registry.py",
    ),
    Mutant(
        Point.OTHER,
        "a controller that restarts holds a backend for cold by a figure on its disk",
        "control/registry.py",
        "replace_cold_left(record, 0.0)",
        "record",
        "test_registry.py",
    ),
    Mutant(
        Point.OTHER,
        "a call is written by a clock that stands still while the process is suspended",
        "dataplane/open_request.py",
        "may_write(monotonic(),",
        "may_write(asyncio.get_running_loop().time(),",
        "test_cold_backends.py",
    ),
)
