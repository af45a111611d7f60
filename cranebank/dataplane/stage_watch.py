"""Logs when a stage of a service loses its last ready backend, and when it has one again.

Requests for such a service are refused until then, so the loss is an ERROR, which writes out the log ring with the
events that led to it. A stage that flaps is reported at most once in ``REPORT_INTERVAL_S``.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from loguru import logger

from cranebank.transport.messages import Backend

REPORT_INTERVAL_S = 10.0  # between two reports of the same stage
MAX_REPORTED_STAGES = 1024  # remembered; all are forgotten when there are more


class StageWatch:
    """Compares the stages that have ready backends with those that had some before."""

    def __init__(self) -> None:
        self._with_ready: frozenset[tuple[str, str]] = frozenset()
        self._reported: dict[tuple[str, str], float] = {}

    def observe(self, now: float, stages_with_ready: frozenset[tuple[str, str]], records: Iterable[Backend]) -> None:
        """Process which (service, stage) have a ready backend now. ``records``: all known backends, for the report."""
        if stages_with_ready == self._with_ready:
            return
        emptied, filled = self._with_ready - stages_with_ready, stages_with_ready - self._with_ready
        self._with_ready = stages_with_ready
        for key in sorted(filled & self._reported.keys()):
            logger.info("service {}: a {} backend is ready again", *key)
        due = [key for key in sorted(emptied) if now - self._reported.get(key, -REPORT_INTERVAL_S) >= REPORT_INTERVAL_S]
        if not due:
            return
        known = tuple(records)
        if len(self._reported) >= MAX_REPORTED_STAGES:
            self._reported.clear()
        for service, stage in due:
            self._reported[service, stage] = now
            logger.error("service {}: no {} backend is ready; known: {}", service, stage, _summary(service, known))


def _summary(service: str, records: Iterable[Backend]) -> str:
    """Return how many backends of a service are known, by stage and phase."""
    counts = Counter((record.stage, record.phase) for record in records if record.target == service)
    return ", ".join(f"{number} {stage} {phase}" for (stage, phase), number in sorted(counts.items())) or "none"
