"""Decision which stage of a service needs another backend: pure functions over its ready backends and their load.

The utilisation of a stage is its load in erlangs, divided by its backends. The excess of a stage is its utilisation
relative to the allowed one.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from cranebank.control.stage_events import Stage
from cranebank.transport.messages import Backend, StageLoad

MAX_UTILISATION = 0.7
"""Largest allowed utilisation, of a prefill backend's time and of a decode backend's slots.

At 0.7, with readings of equal length, a reading waits on average for a little more than its own length (M/D/1), and
waits grow steeply beyond. Streams of a decode backend do not wait; its remaining slots are for bursts.
"""
SPARE_BACKENDS: Mapping[Stage, int] = {Stage.PREFILL: 0, Stage.DECODE: 1}
"""Backends that do not count as capacity, so that the loss of as many overloads no other backend.

Without decode backends there is no service, and it takes some seconds to detect a loss and to replace the backend.
Without prefill backends, decode backends read prompts meanwhile.
"""
MAX_GIVER_EXCESS: Mapping[Stage, float] = {Stage.PREFILL: 0.8, Stage.DECODE: 0.4}
"""A stage gives up a backend only if its own excess then stays below this share of the other stage's excess.

The share is below one, so that no move is reverted at the same load, and far below one for decode, which all requests
need: it then has room for a burst of twice its load before it is as busy as prefill was. This compares waits of both
stages. A stage whose load exceeds all of its backends has no stable wait: its queue grows as long as the load lasts.
For such a stage the other one gives up whatever it can spare: it only has to stay within its own bound (an excess of
one).
"""
MIN_REMAINING: Mapping[Stage, int] = {Stage.PREFILL: 1, Stage.DECODE: 2}
"""Backends that a move for load leaves in a stage. Decode serves all requests: the loss of one must not end service."""

_STAGES = {stage.value: stage for stage in Stage}


class ServiceStages:
    """The ready backends of one service, by stage."""

    __slots__ = ("_backends",)

    def __init__(self) -> None:
        self._backends: dict[Stage, list[Backend]] = {stage: [] for stage in Stage}

    def add(self, backend: Backend, expected: Stage | None = None) -> None:
        """Add a ready backend, which is ignored if its stage is unknown; ``expected``: the stage it was ordered to."""
        stage = expected or _STAGES.get(backend.stage)
        if stage is not None:
            self._backends[stage].append(backend)

    def of(self, stage: Stage) -> Sequence[Backend]:
        """Return the backends of a stage."""
        return self._backends[stage]

    def counts(self) -> dict[Stage, int]:
        """Return the number of backends of each stage."""
        return {stage: len(backends) for stage, backends in self._backends.items()}


class Need(msgspec.Struct, frozen=True):
    """The stage needs a backend of the other stage; ``is_urgent``: no request can be served without it."""

    stage: Stage
    is_urgent: bool


def needed_stage(stages: ServiceStages, load: StageLoad | None = None) -> Need | None:
    """Return which stage of a service needs a backend, None if neither does.

    Without a decode backend no request can be served. Without a prefill backend decode backends read the prompts. A
    backend is moved to a stage with too high utilisation if the giving stage stays clearly less utilised than the other
    one was. ``load`` is in erlangs, None if unknown.
    """
    counts = stages.counts()
    if counts[Stage.PREFILL] and not counts[Stage.DECODE]:
        return Need(Stage.DECODE, True)
    if load is None:
        return None
    loads = {Stage.PREFILL: load.prefill, Stage.DECODE: load.decode}
    excess = {stage: _excess(stage, counts[stage], loads[stage]) for stage in Stage}
    busiest = max(Stage, key=lambda stage: excess[stage])
    other = busiest.other
    if excess[busiest] <= 1.0 or counts[other] <= MIN_REMAINING[other]:
        return None
    is_unstable = loads[busiest] >= counts[busiest]
    bound = 1.0 if is_unstable and excess[other] <= 1.0 else MAX_GIVER_EXCESS[other] * excess[busiest]
    left_with = _excess(other, counts[other] - 1, loads[other])
    return Need(busiest, False) if left_with <= bound else None


def _excess(stage: Stage, count: int, erlangs: float) -> float:
    if not count:
        return float("inf") if erlangs else 0.0
    relied_on = max(count - SPARE_BACKENDS[stage], count / 2)
    return erlangs / (relied_on * MAX_UTILISATION)
