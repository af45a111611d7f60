"""Planted faults of the tallies."""

from __future__ import annotations

from mutant import Mutant, Point

TALLY_MUTANTS = (
    Mutant(
        Point.TALLIES,
        "an id received by two replicas counts twice",
        "control/tallies/state.py",
        "known = self._by_id.get(add.id)",
        "known = None",
        "test_tallies.py",
    ),
    Mutant(
        Point.TALLIES,
        "of two amounts for an id the first one received counts",
        "control/tallies/state.py",
        "if _sort_key(add) < _sort_key(known):",
        "if False:",
        "test_tallies.py",
    ),
    Mutant(
        Point.TALLIES,
        "one of two adds with the same id is folded",
        "control/tallies/state.py",
        "if 0 < len(inside) < len(adds):",
        "if False:",
        "test_tallies.py",
    ),
    Mutant(
        Point.TALLIES,
        "an add counts as durable here before it is on the disk",
        "control/tallies/replica.py",
        "held.append(DurableCopy(self._durable.get(origin, 0), settings.domain))",
        "held.append(DurableCopy(self._state.applied_of(origin), settings.domain))",
        "test_tallies.py test_tallies_program.py",
    ),
    Mutant(
        Point.TALLIES,
        "what a peer holds in memory counts as durable",
        "control/tallies/replica.py",
        "held = [DurableCopy(peer.durable.get(origin, 0), peer.domain) for peer in reached]",
        "held = [DurableCopy(peer.applied.get(origin, 0), peer.domain) for peer in reached]",
        "test_tallies.py",
    ),
    Mutant(
        Point.TALLIES,
        "copies in one failure domain are enough",
        "control/tallies/peers.py",
        "if count >= copies and len(seen) >= domains:",
        "if count >= copies:",
        "test_tallies.py",
    ),
    Mutant(
        Point.TALLIES,
        "a replica that has just started acknowledges alone",
        "control/tallies/replica.py",
        "count = max(count, len(self._known_replicas or ()) + 1)",
        "count = max(count, 1)",
        "test_tallies.py",
    ),
    Mutant(
        Point.TALLIES,
        "ids are forgotten before all members have them on disk",
        "control/tallies/peers.py",
        "{o: min(n, confirmed.get(o, 0)) for o, n in found.items()}",
        "{o: max(n, confirmed.get(o, 0)) for o, n in found.items()}",
        "test_tallies.py",
    ),
    Mutant(
        Point.TALLIES,
        "the sums of folded adds are not written with their removal",
        "control/tallies/segments.py",
        "folded = state.folded\n        self._is_base_dirty = True",
        "folded = state.folded",
        "test_tallies.py",
    ),
    Mutant(
        Point.TALLIES,
        "adds received out of order are not requested again",
        "control/tallies/replica.py",
        "if has_gap or not has_new:",
        "if not has_gap and not has_new:",
        "test_tallies.py",
    ),
    Mutant(
        Point.TALLIES,
        "a replica that lost its disk returns totals at once",
        "control/tallies/replica.py",
        "self._start_timeout_s = EMPTY_START_TIMEOUT_S if self._state.is_empty else START_TIMEOUT_S",
        "self._start_timeout_s = 0.0",
        "test_tallies.py",
    ),
    Mutant(
        Point.TALLIES,
        "a controller uses the same origin in all its lives",
        "programs/tally_service.py",
        'f"{random.getrandbits(64):016x}"',
        '"0"',
        "test_tallies_program.py",
    ),
)
