"""Acknowledgements of this controller's registry changes by the other controllers: the core, free of I/O.

Changes that end a backend's service (a drain, a leave) are numbered. On every connection a number covers all changes
sent before it, so an acknowledgement of a number confirms all lower ones, too. A controller acknowledges changes that
are on its disk; this controller does so to itself. A change confirmed by a majority of the members is known to at least
one controller of every later majority, even after all of them have lost power.
"""

from __future__ import annotations

from collections.abc import Callable, Collection


class RegistryReplication:
    """Numbers of changes, their acknowledgements, and the callbacks that wait for a majority."""

    def __init__(self, own_ip: str) -> None:
        self.number = 1  # number of the newest change; 0 in a message requests no acknowledgement
        self._acknowledged = {own_ip: self.number}
        self._waiting: list[tuple[int, Callable[[], None]]] = []

    def advance(self) -> int:
        """Return the number of a change that is sent now."""
        self.number += 1
        return self.number

    def acknowledge(self, ip: str, number: int, members: Collection[str]) -> None:
        """Record that the controller at this address has all changes up to ``number`` on its disk."""
        self._acknowledged[ip] = max(number, self._acknowledged.get(ip, 0))
        confirmed = [entry for entry in self._waiting if self.is_confirmed(entry[0], members)]
        self._waiting = [entry for entry in self._waiting if entry not in confirmed]
        for _, on_confirmed in confirmed:
            on_confirmed()

    def forget(self, ip: str) -> None:
        """Drop the acknowledgements of a disconnected controller, which it may lose by a restart."""
        self._acknowledged.pop(ip, None)

    def is_confirmed(self, number: int, members: Collection[str]) -> bool:
        """Return whether more than half of the members (by IP) have this change; False without members."""
        holders = sum(self._acknowledged.get(ip, 0) >= number for ip in members)
        return 2 * holders > len(members)

    def when_confirmed(self, number: int, on_confirmed: Callable[[], None]) -> None:
        """Call ``on_confirmed`` when an acknowledgement completes the majority for this change."""
        self._waiting.append((number, on_confirmed))

    def cancel(self, on_confirmed: Callable[[], None]) -> None:
        """Remove a callback."""
        self._waiting = [entry for entry in self._waiting if entry[1] != on_confirmed]
