"""Which stage of a service needs another backend: pure functions over its ready backends and their load.

A stage is as busy as its load, in erlangs, divided by its backends. The excess of a stage is how many times as busy it
is as it may be.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from cranebank.control.stage_events import Stage
from cranebank.transport.messages import Backend, StageLoad

BUSY_MOST = 0.7
"""Of the time, and of the places. With seven tenths of its time taken by readings of one length, a prefill backend lets
each wait for a little more than its own length on average (M/D/1), and from there on waits grow steeply. Streams of a
decode backend don't wait; what is left of its places is for bursts.
"""
SPARE: Mapping[Stage, int] = {Stage.PREFILL: 0, Stage.DECODE: 1}
"""Backends that are counted out, so that the loss of as many overloads nobody: without decode there is no service, and
it takes some seconds to know of a loss and to make up for it. Prompts can be read by decode backends meanwhile."""
GIVES_MOST: Mapping[Stage, float] = {Stage.PREFILL: 0.8, Stage.DECODE: 0.4}
"""A stage gives a backend only where it stays under so much of the excess that the other one has. Under one, so that no
move is taken back at the same load; far under one for decode, which all requests need: it has room for a burst of
twice its load before it is as busy as prefill was. This weighs waits against waits. A stage that is asked for more than
all of its backends can do has no steady wait: its queue grows for as long as the load lasts. For such a one the other
stage gives whatever it can spare: it need only stay within its own bound (an excess of one)."""
LEFT_LEAST: Mapping[Stage, int] = {Stage.PREFILL: 1, Stage.DECODE: 2}
"""Backends that a move for load leaves in a stage. Decode serves all requests: its last backend must not be lost."""

_STAGES = {stage.value: stage for stage in Stage}


class ServiceStages:
    """The ready backends of one service, by stage."""

    __slots__ = ("_backends",)

    def __init__(self) -> None:
        self._backends: dict[Stage, list[Backend]] = {stage: [] for stage in Stage}

    def add(self, backend: Backend, expected: Stage | None = None) -> None:
        """One that is ready; a backend of no known stage counts nowhere. ``expected``: what it was ordered to be."""
        stage = expected or _STAGES.get(backend.stage)
        if stage is not None:
            self._backends[stage].append(backend)

    def of(self, stage: Stage) -> Sequence[Backend]:
        """The backends of a stage."""
        return self._backends[stage]

    def counts(self) -> dict[Stage, int]:
        """How many backends each stage has."""
        return {stage: len(backends) for stage, backends in self._backends.items()}


class Need(msgspec.Struct, frozen=True):
    """A stage needs a backend of the other one; ``is_urgent``: nothing can be served without it."""

    stage: Stage
    is_urgent: bool


def needed_stage(stages: ServiceStages, load: StageLoad | None = None) -> Need | None:
    """What a service needs, if anything.

    Without a decode backend no request can be served, whoever else is there. Decode backends read prompts themselves,
    so a service without a prefill backend is served. Else a backend is moved to a stage that is too busy where the one
    that gives it stays clearly less busy than the other was. ``load`` is in erlangs; none: unknown.
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
    if excess[busiest] <= 1.0 or counts[other] <= LEFT_LEAST[other]:
        return None
    is_unstable = loads[busiest] >= counts[busiest]
    bound = 1.0 if is_unstable and excess[other] <= 1.0 else GIVES_MOST[other] * excess[busiest]
    left_with = _excess(other, counts[other] - 1, loads[other])
    return Need(busiest, False) if left_with <= bound else None


def _excess(stage: Stage, count: int, erlangs: float) -> float:
    if not count:
        return float("inf") if erlangs else 0.0
    relied_on = max(count - SPARE[stage], count / 2)
    return erlangs / (relied_on * BUSY_MOST)
