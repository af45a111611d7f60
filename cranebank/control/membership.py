"""Membership of the voting group: the next change of the members, as a pure function of the primary's view.

The group has a fixed odd size, ``2 * tolerance + 1`` (at least three), so that the loss of ``tolerance`` machines
always leaves a majority. An even group tolerates no more losses than the odd one below it, and is never formed on
purpose:

- a newcomer replaces a member that is leaving or silent, in one change of the record;
- while no member is missing, newcomers are *standbys*: known and connected, but not voters;
- a group below its size grows at once by as many newcomers as make its size odd.

A change is chosen by majorities of the old members and of the new (``epochs.Proposal``), so that both groups agree in
every step. A member that still holds a copy of the data is never removed: another member first takes over its copy.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

import msgspec

from cranebank.control.epochs import choose_by_zone, ip_of

MIN_MEMBERS = 3
"""Smallest size of a group, if there are as many replicas."""

MAX_MEMBERS = 9
"""Largest size of a group where whole zones may be lost: each change of the record waits for a majority of it."""

SAME_ADDRESS_REPLACEMENT_S = 0.6
"""Silence after which a newcomer at a member's own address replaces it: that machine lost its disk and its votes."""

STANDBY_REPLACEMENT_S = 1.0
"""Silence after which a standby at another address replaces a member: longer than any pause of a healthy process."""

SHRINK_SILENCE_S = 8.0
"""Silence after which members are removed, two at a time, if there is no newcomer and the size is not fixed."""


class GroupSize(msgspec.Struct, frozen=True):
    """Bounds on the number of members, both odd."""

    smallest: int
    largest: int


def group_size(tolerance: int, is_counted_in_machines: bool = True) -> GroupSize:
    """Return the fixed size for a tolerance in machines, or the bounds where zones or regions may be lost."""
    if not is_counted_in_machines:
        return GroupSize(MIN_MEMBERS, MAX_MEMBERS)
    size = max(MIN_MEMBERS, 2 * tolerance + 1)
    return GroupSize(size, size)


class View(msgspec.Struct, frozen=True):
    """The primary's view. ``silence`` is in seconds by member; ``newcomers`` are replicas that ask to join."""

    members: tuple[str, ...]
    copies: Collection[str]
    silence: Mapping[str, float]
    leaving: Collection[str]
    newcomers: Collection[str]
    zones: Mapping[str, str]


def next_members(view: View, size: GroupSize) -> set[str] | None:
    """Return the members after the next change, None when no change is needed or possible yet."""
    members = set(view.members)
    newcomers = sorted(set(view.newcomers) - members)
    removable = _removable(view)
    if not newcomers and not removable:
        return None  # there is no replica to admit and none to remove
    for newcomer in newcomers:
        earlier = next((member for member in view.members if ip_of(member) == ip_of(newcomer)), None)
        if earlier is not None and earlier in removable and view.silence[earlier] > SAME_ADDRESS_REPLACEMENT_S:
            return members - {earlier} | {newcomer}
    member_ips = {ip_of(member) for member in members}
    newcomers = [newcomer for newcomer in newcomers if ip_of(newcomer) not in member_ips]
    newcomers = choose_by_zone(newcomers, members, view.zones)
    missing = [member for member in removable if member in view.leaving or view.silence[member] > STANDBY_REPLACEMENT_S]
    if len(members) % 2 == 0 and len(members) > size.smallest and missing:
        return members - {missing[0]}
    if newcomers and missing:
        return members - {missing[0]} | {newcomers[0]}
    return _grown(view, members, newcomers, size) or _shrunk(view, members, removable, size)


def _removable(view: View) -> list[str]:
    """Return the members that may be removed: leaving ones first, then by length of silence."""
    idle = [member for member in view.members if member not in view.copies]
    found = [member for member in idle if member in view.leaving or view.silence[member] > SAME_ADDRESS_REPLACEMENT_S]
    return sorted(found, key=lambda member: (member not in view.leaving, -view.silence[member], member))


def _grown(view: View, members: set[str], newcomers: list[str], size: GroupSize) -> set[str] | None:
    """Return the group grown to the largest possible odd size, None if that is not larger than the present one."""
    wanted = min(size.largest, len(members) + len(newcomers))
    for count in range(wanted - (wanted % 2 == 0), len(members), -2):
        grown = members | set(newcomers[: count - len(members)])
        if _is_allowed(grown, view.zones, size):
            return grown
    return None


def _is_allowed(members: set[str], zones: Mapping[str, str], size: GroupSize) -> bool:
    """Return whether this group tolerates the loss of any one zone, if whole zones may be lost."""
    return size.smallest == size.largest or _is_spread(members, zones)


def _is_spread(members: set[str], zones: Mapping[str, str]) -> bool:
    """Return whether the members outside any one zone are a majority; each unknown zone counts as a separate one."""
    counts = Counter(zones.get(ip_of(member), member) for member in members)
    return 2 * max(counts.values()) < len(members)


def _shrunk(view: View, members: set[str], removable: list[str], size: GroupSize) -> set[str] | None:
    """Return the group without the two longest silent members, None if it stays as it is.

    Where whole zones may be lost, the remaining group must tolerate the loss of any zone, too. Two members that one
    side of a partition does not hear may be healthy: without them, the loss of a zone on that side would leave no
    majority.
    """
    gone = [member for member in removable if member in view.leaving or view.silence[member] > SHRINK_SILENCE_S]
    if len(members) - 2 < size.smallest or len(gone) < 2:
        return None
    shrunk = members - set(gone[:2])
    return shrunk if _is_allowed(shrunk, view.zones, size) else None
