"""Planted faults of the moves between stages by load."""

from __future__ import annotations

from mutant import Mutant, Point

STAGE_MUTANTS = (
    Mutant(
        Point.LIVENESS,
        "an overloaded stage gets no backend",
        "control/stage_policy.py",
        "return Need(busiest, False) if left_with <= GIVES_MOST[other] * excess[busiest] else None",
        "return None",
        "test_stage_policy.py test_stage_balancer.py",
    ),
    Mutant(
        Point.LIVENESS,
        "a stage gives backends until it is as busy as the other was",
        "control/stage_policy.py",
        "left_with <= GIVES_MOST[other] * excess[busiest]",
        "left_with <= 2.0 * excess[busiest]",
        "test_stage_policy.py",
    ),
    Mutant(
        Point.LIVENESS,
        "decode gives its last backend but one",
        "control/stage_policy.py",
        "or counts[other] <= LEFT_LEAST[other]",
        "or counts[other] <= 1",
        "test_stage_policy.py",
    ),
    Mutant(
        Point.LIVENESS,
        "no decode backend is kept to spare",
        "control/stage_policy.py",
        "relied_on = max(count - SPARE[stage], count / 2)",
        "relied_on = count",
        "test_stage_policy.py",
    ),
    Mutant(
        Point.LIVENESS,
        "a backend under an order counts for its old stage",
        "control/stage_balancer.py",
        "stages.add(record, expected.get(record.id))",
        "stages.add(record)",
        "test_stage_balancer.py",
    ),
    Mutant(
        Point.LIVENESS,
        "a load that has not lasted moves a backend",
        "control/stage_balancer.py",
        "(CONFIRM_S if need.is_urgent else CONFIRM_LOAD_S)",
        "0.0",
        "test_stage_balancer.py",
    ),
    Mutant(
        Point.LIVENESS,
        "proxies are not told when an order has come to nothing",
        "programs/stage_duty.py",
        "for name in self._held - held.keys():",
        "for name in ():",
        "test_stage_load.py",
    ),
    Mutant(
        Point.LIVENESS,
        "an answer of a backend that was ordered lets it be sent to again",
        "dataplane/candidates.py",
        "if seen.held_until <= now:\n                self._away.discard(backend)",
        "seen.held_until = 0.0\n            self._away.discard(backend)",
        "test_stage_load.py",
    ),
    Mutant(
        Point.LIVENESS,
        "a proxy that has fallen silent counts for ever",
        "control/load_table.py",
        "if now - told[0] <= VALID_S",
        "if True",
        "test_stage_load.py",
    ),
    Mutant(
        Point.LIVENESS,
        "streams that are open at a start count at once",
        "dataplane/offered_load.py",
        "since = self._looked_at if self._looked_at is not None else now",
        "since = self._looked_at or 0.0",
        "test_stage_load.py",
    ),
    Mutant(
        Point.LIVENESS,
        "the pace of reading holds the waiting",
        "dataplane/dispatch.py",
        "if reader.found_idle:",
        "if True:",
        "test_exchange.py",
    ),
)
