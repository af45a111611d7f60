"""Which stage of a service needs another backend: pure functions over its ready backends."""

from __future__ import annotations

from collections.abc import Sequence

from cranebank.control.stage_events import Stage
from cranebank.transport.messages import Backend

_STAGES = {stage.value: stage for stage in Stage}


class ServiceStages:
    """The ready backends of one service, by stage."""

    __slots__ = ("_backends",)

    def __init__(self) -> None:
        self._backends: dict[Stage, list[Backend]] = {stage: [] for stage in Stage}

    def add(self, backend: Backend) -> None:
        """One that is ready; a backend of no known stage counts nowhere."""
        if backend.stage in _STAGES:
            self._backends[_STAGES[backend.stage]].append(backend)

    def of(self, stage: Stage) -> Sequence[Backend]:
        """The backends of a stage."""
        return self._backends[stage]


def needed_stage(stages: ServiceStages) -> Stage | None:
    """The stage that a backend of the other one must take over, if any.

    Without a decode backend no request can be served, whoever else is there. Decode backends read prompts themselves,
    so a service without a prefill backend is served.
    """
    if stages.of(Stage.PREFILL) and not stages.of(Stage.DECODE):
        return Stage.DECODE
    return None
