"""Planted faults of what is thought of backends whose heartbeats are missed."""

from __future__ import annotations

from mutant import Mutant, Point

LIVENESS_MUTANTS = (
    Mutant(
        Point.LIVENESS,
        "lost backends are not used where most are lost",
        "dataplane/suspects.py",
        "if well < FAIL_OPEN_SHARE * (well + len(unfailed)):",
        "if False:",
        "test_suspects.py",
    ),
    Mutant(
        Point.LIVENESS,
        "lost backends are used beside many that are ready",
        "dataplane/suspects.py",
        "FAIL_OPEN_SHARE = 0.5",
        "FAIL_OPEN_SHARE = 1.0",
        "test_suspects.py",
    ),
    Mutant(
        Point.LIVENESS,
        "ready backends that fail keep suspects out",
        "dataplane/suspects.py",
        "sum(seen.away_until <= now for seen in ready)",
        "len(ready)",
        "test_suspects.py",
    ),
    Mutant(
        Point.LIVENESS,
        "a lost backend that fails calls is used like a ready one",
        "dataplane/suspects.py",
        "if not seen.has_failed]",
        "]",
        "test_suspects.py",
    ),
    Mutant(
        Point.LIVENESS,
        "an old answer vouches for a lost backend",
        "dataplane/suspects.py",
        "if now - seen.answered_at <= ANSWERED_S]",
        "if seen.answered_at > 0.0]",
        "test_suspects.py",
    ),
    Mutant(
        Point.LIVENESS,
        "an answer does not vouch for a lost backend",
        "dataplane/suspects.py",
        "if now - seen.answered_at <= ANSWERED_S]",
        "if False]",
        "test_suspects.py",
    ),
    Mutant(
        Point.LIVENESS,
        "a lost backend is tried again before its back-off is over",
        "dataplane/suspects.py",
        "and seen.away_until <= now",
        "",
        "test_suspects.py",
    ),
    Mutant(
        Point.LIVENESS,
        "a lost backend is tried for ever",
        "dataplane/suspects.py",
        "if now - seen.lost_at <= SUSPECT_S:",
        "if True:",
        "test_suspects.py",
    ),
    Mutant(
        Point.LIVENESS,
        "a lost backend whose address has passed on is tried",
        "dataplane/candidates.py",
        'if before is not None and before is not seen and before.backend.phase == "lost":',
        "if False:",
        "test_suspects.py",
    ),
    Mutant(
        Point.LIVENESS,
        "one that drains stays a suspect",
        "dataplane/candidates.py",
        "self._suspects.remove(place, seen.backend.id)",
        "pass",
        "test_suspects.py",
    ),
    Mutant(
        Point.LIVENESS,
        "nobody is tried where all are lost and have failed",
        "dataplane/candidates.py",
        "for seen in self._suspects.last_resort(now, place) if",
        "for seen in () if",
        "test_suspects.py",
    ),
    Mutant(
        Point.LIVENESS,
        "another backend's answer to a reading vouches for a lost one",
        "dataplane/exchange.py",
        "if leg.status == MISDIRECTED:\n                self._shared",
        "if False:\n                self._shared",
        "test_exchange.py",
    ),
)
