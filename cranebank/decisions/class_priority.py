"""How each class of request has been served, and what one more answer of it is worth. No I/O, no clock."""

from __future__ import annotations

from cranebank.decisions.interface import Settings

MAX_FIRST_TRIES = 10_000  # first tries by which classes are compared: chance alone moves a class's share by 1%


class ClassPriority:
    """First tries and the worth of answers by class; both decay, so that old failures don't give priority forever."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._first_tries, self._earned = ([1.0] * len(settings.classes) for _ in range(2))

    def tried(self, index: int) -> None:
        """Count a first try of a class."""
        self._first_tries[index] += 1.0
        if sum(self._first_tries) > MAX_FIRST_TRIES:
            self._first_tries, self._earned = ([n / 2 for n in counts] for counts in (self._first_tries, self._earned))

    def served(self, index: int, late: bool, closed: bool) -> None:
        """Count an answer; one that came when the request was ``closed`` earned nothing."""
        worth = self._settings.classes[index].late_worth if late else 1.0
        self._earned[index] += worth * (not closed)

    def worth(self, index: int) -> float:
        """Return the worth of one more answer: its class's, plus a bonus in the first tier if none is served worse."""
        classes, share = self._settings.classes, self._settings.worst_class_share
        served = [earned / tries for earned, tries in zip(self._earned, self._first_tries, strict=True)]
        if not share or self._settings.layer or served[index] > min(served):
            return classes[index].worth
        mean = sum(n * c.worth for n, c in zip(self._first_tries, classes, strict=True))
        return classes[index].worth + share * mean / self._first_tries[index]
