"""The laboratory's operator: which numbers it gives to its changes."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import pytest

from cranebank.fleetlab.operator import REVISION_EDGES, next_revision
from cranebank.transport.revision import MAX_REVISION

CHANGES = 400  # of a run or two of the soak


@pytest.mark.parametrize("seed", range(10))
def test_the_operator_draws_revisions_beside_every_edge(seed: int) -> None:
    """Guards against a soak whose revisions are all small, so that a controller may end at a long one unnoticed."""
    random, current, drawn = Random(seed), 0, []
    for _ in range(CHANGES):
        revision = next_revision(random, current)
        assert current < revision <= MAX_REVISION
        current = revision
        drawn.append(revision)
    assert list(REVISION_EDGES) == sorted(REVISION_EDGES)
    for edge in REVISION_EDGES:
        assert any(abs(revision - edge) <= 1 for revision in drawn)
    small_steps = sum(later - earlier <= 4 for earlier, later in pairwise(drawn))
    assert small_steps > CHANGES // 2, "an ordinary change follows each unusual one"
