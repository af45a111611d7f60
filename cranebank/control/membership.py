"""Which replicas vote: the next change of the members, as a pure function of what the primary sees.

The group has a fixed odd size, ``2 * tolerance + 1`` (three at least), so that the loss of ``tolerance`` machines
always leaves a majority. An even group bears no more losses than the odd one below it, and is never formed on purpose:

- a newcomer takes the place of a member that is leaving or has been silent, in one change of the record;
- while nobody is missing, newcomers are *standbys*: known, linked, not counted;
- a group below its size grows by as many newcomers at once as make its size odd.

A change is chosen by majorities of the old members and of the new (``epochs.Proposal``), so that both groups agree in
every step. A member that still holds a copy of the data is never taken out: it is first relieved as a copy.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

import msgspec

from cranebank.control.epochs import choose_by_zone, ip_of

FEWEST = 3
"""Members that a group has at least, where there are as many replicas."""

MOST = 9
"""Members at most, where whole zones may be lost: each write of a record waits for a majority of them."""

REPLACED_S = 0.6
"""Silence of a member whose address a newcomer speaks from: that machine has lost its disk and its votes."""

STANDBY_REPLACEMENT_S = 1.0
"""Silence of a member whom a newcomer at another address replaces: longer than any pause of a process in order."""

UNREPLACED_S = 8.0
"""Silence after which members are removed, two at a time, where no newcomer is there and the size isn't fixed."""


class GroupSize(msgspec.Struct, frozen=True):
    """How many members there shall be. Both bounds are odd."""

    smallest: int
    largest: int


def group_size(tolerance: int, is_counted_in_machines: bool = True) -> GroupSize:
    """Return the size for a tolerance in machines, or, where zones or regions may be lost, the bounds of the size."""
    if not is_counted_in_machines:
        return GroupSize(FEWEST, MOST)
    size = max(FEWEST, 2 * tolerance + 1)
    return GroupSize(size, size)


class View(msgspec.Struct, frozen=True):
    """What the primary sees. ``silence`` holds seconds by member; ``newcomers`` are replicas that ask to join."""

    members: tuple[str, ...]
    copies: Collection[str]
    silence: Mapping[str, float]
    leaving: Collection[str]
    newcomers: Collection[str]
    zones: Mapping[str, str]


def next_members(view: View, size: GroupSize) -> set[str] | None:
    """Return the members after the next change, None when all is well or nothing can be done yet."""
    members = set(view.members)
    newcomers = sorted(set(view.newcomers) - members)
    removable = _removable(view)
    if not newcomers and not removable:
        return None  # nobody to admit, nobody to take out
    for newcomer in newcomers:
        earlier = next((member for member in view.members if ip_of(member) == ip_of(newcomer)), None)
        if earlier is not None and earlier in removable and view.silence[earlier] > REPLACED_S:
            return members - {earlier} | {newcomer}
    at_home = {ip_of(member) for member in members}
    newcomers = [newcomer for newcomer in newcomers if ip_of(newcomer) not in at_home]
    newcomers = choose_by_zone(newcomers, members, view.zones)
    missing = [member for member in removable if member in view.leaving or view.silence[member] > STANDBY_REPLACEMENT_S]
    if len(members) % 2 == 0 and len(members) > size.smallest and missing:
        return members - {missing[0]}
    if newcomers and missing:
        return members - {missing[0]} | {newcomers[0]}
    return _grown(view, members, newcomers, size) or _shrunk(view, members, removable, size)


def _removable(view: View) -> list[str]:
    """Return the members that may be taken out, those that are leaving and the longest silent first."""
    idle = [member for member in view.members if member not in view.copies]
    found = [member for member in idle if member in view.leaving or view.silence[member] > REPLACED_S]
    return sorted(found, key=lambda member: (member not in view.leaving, -view.silence[member], member))


def _grown(view: View, members: set[str], newcomers: list[str], size: GroupSize) -> set[str] | None:
    """Return the group at the largest odd size that can be had, None where that is no larger than now."""
    wanted = min(size.largest, len(members) + len(newcomers))
    for count in range(wanted - (wanted % 2 == 0), len(members), -2):
        grown = members | set(newcomers[: count - len(members)])
        if _may_be(grown, view.zones, size):
            return grown
    return None


def _may_be(members: set[str], zones: Mapping[str, str], size: GroupSize) -> bool:
    """Tell whether this group bears the loss of any one zone, where whole zones may be lost."""
    return size.smallest == size.largest or _is_spread(members, zones)


def _is_spread(members: set[str], zones: Mapping[str, str]) -> bool:
    """Tell whether the members outside of any one zone are a majority; an unknown zone counts as one of its own."""
    counts = Counter(zones.get(ip_of(member), member) for member in members)
    return 2 * max(counts.values()) < len(members)


def _shrunk(view: View, members: set[str], removable: list[str], size: GroupSize) -> set[str] | None:
    """Return the group without the two that are away the longest, None where it stays as it is.

    Where whole zones may be lost, what is left is spread like any other group. Two that one side of a cut does not hear
    may be well: without them the loss of a zone on that side would leave no majority, with them it does.
    """
    gone = [member for member in removable if member in view.leaving or view.silence[member] > UNREPLACED_S]
    if len(members) - 2 < size.smallest or len(gone) < 2:
        return None
    shrunk = members - set(gone[:2])
    return shrunk if _may_be(shrunk, view.zones, size) else None
