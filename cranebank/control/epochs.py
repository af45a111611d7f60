"""The epoch record and its agreement protocol: one register, changed by Paxos rounds.

Each change of the record is an instance of single-decree Paxos. Its acceptors are the members of the record that is
changed (the base), so a chosen record names the voters of the next change and no log is needed. Pure state without I/O;
times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache

import msgspec

Ballot = tuple[int, str]
"""Number of a round and replica id of its proposer; the higher ballot wins."""

NO_BALLOT: Ballot = (0, "")
ADDRESS_CACHE_SIZE = 1024  # larger than the number of replicas that a group ever has at a time


class OrderIntent(msgspec.Struct, frozen=True):
    """A primary may send, or has recently sent, this backend an order to change to this stage."""

    backend: str
    stage: str


class EpochRecord(msgspec.Struct, frozen=True):
    """The primary, the copies (which hold the data) and the members (which vote).

    ``term`` is the epoch at which the primary took over. ``intents`` are the orders to backends that a primary may have
    sent recently, None if the record was written by a version without intents. ``evacuated`` are the zones whose
    backends receive no more requests, sorted; ``evacuation_number`` increases with each change of them.
    """

    epoch: int
    term: int
    primary: str
    copies: tuple[str, ...]
    members: tuple[str, ...]
    intents: tuple[OrderIntent, ...] | None = None
    evacuated: tuple[str, ...] = ()
    evacuation_number: int = 0


def initial_record(seeds: Iterable[str]) -> EpochRecord:
    """Return the record that every seed derives from the settings of the first start."""
    return EpochRecord(0, 0, "", (), tuple(sorted(set(seeds))), ())


@lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def ip_of(replica: str) -> str:
    """Return the address part of a replica id ("IP" or "IP/HEX")."""
    return replica.split("/", 1)[0]


def is_majority(voters: Iterable[str], members: Iterable[str]) -> bool:
    """Return whether the voters include more than half of the members."""
    group = set(members)
    return 2 * len(group & set(voters)) > len(group)


class DurableState(msgspec.Struct, frozen=True):
    """Durable part of the register; ``promised`` and ``accepted`` belong to the change of ``chosen``."""

    chosen: EpochRecord | None
    promised: Ballot
    accepted: tuple[Ballot, EpochRecord] | None


class Acceptor:
    """Paxos acceptor. Its state must be durable before any reply that depends on it is sent."""

    def __init__(self, state: DurableState) -> None:
        self.chosen = state.chosen
        self.promised = state.promised
        self.accepted = state.accepted
        self.members_since = self.epoch  # earliest epoch from which the present members are known to be unchanged

    @property
    def state(self) -> DurableState:
        """The state to store."""
        return DurableState(self.chosen, self.promised, self.accepted)

    @property
    def epoch(self) -> int:
        """Epoch of the newest record known to be chosen, -1 when none is known."""
        return self.chosen.epoch if self.chosen is not None else -1

    def learn(self, record: EpochRecord) -> bool:
        """Adopt a chosen record if it is newer than the known one, and reset the votes; return whether it was newer."""
        if record.epoch <= self.epoch:
            return False
        before = self.chosen
        if before is None or record.epoch > before.epoch + 1 or record.members != before.members:
            self.members_since = record.epoch
        self.chosen, self.promised, self.accepted = record, NO_BALLOT, None
        return True

    def promise(self, ballot: Ballot) -> bool:
        """Promise to accept no lower ballot; return whether the promise was made."""
        if ballot < self.promised:
            return False
        self.promised = ballot
        return True

    def accept(self, ballot: Ballot, record: EpochRecord) -> bool:
        """Accept a record unless a higher ballot was promised; return whether it was accepted."""
        if ballot < self.promised:
            return False
        self.promised, self.accepted = ballot, (ballot, record)
        return True


class VoterLease:
    """Lease that a voter granted: until ``until`` it accepts no ballot of another replica than the holder.

    Not durable: after a restart the voter waits for a lease's length instead.
    """

    def __init__(self, quarantine_until: float) -> None:
        self.holder = ""
        self.term = -1
        self.until = float("-inf")
        self.released_term = -1
        self.quarantine_until = quarantine_until

    def grant(self, holder: str, term: int, until: float) -> bool:
        """Grant the lease until a time; refuse a released term, as a delayed request must not bind the voter."""
        if term <= self.released_term:
            return False
        self.holder, self.term, self.until = holder, term, max(until, self.until if holder == self.holder else until)
        return True

    def release(self, term: int) -> bool:
        """Mark a term as given up by its holder; return whether the voter's lease was granted for that term."""
        self.released_term = max(self.released_term, term)
        if self.term != term:
            return False
        self.until = float("-inf")
        return True

    def end_if_superseded(self, record: EpochRecord) -> None:
        """End the lease if the chosen record has another primary: its voters had waited for older grants already."""
        if record.primary != self.holder or record.term != self.term:
            self.until = float("-inf")

    def refuses(self, now: float, candidate: str, primary: str) -> bool:
        """Return whether a ballot must be refused; a lease never blocks the primary of the chosen record."""
        if candidate == primary:
            return False
        return now < self.quarantine_until or (now < self.until and candidate != self.holder)


class HeldLease:
    """The primary's lease: grants of a majority, each counted from the time of its request, less a safety margin."""

    def __init__(self, length_s: float, margin_s: float) -> None:
        self.length_s = length_s
        self._margin_s = margin_s
        self._asked: dict[int, float] = {}
        self._granted: dict[str, float] = {}
        self._end: tuple[Sequence[str], float] | None = None  # cached end of the lease for these members
        self.number = 0

    def new_request(self, now: float) -> int:
        """Record a request for grants at this time; return the number that the grants must name."""
        self.number += 1
        self._asked[self.number] = now
        self._asked.pop(self.number - 16, None)
        return self.number

    def granted(self, voter: str, number: int, now: float) -> None:
        """Record a grant; a grant for a request that is no longer kept is ignored."""
        asked = self._asked.get(number)
        if asked is not None:
            self._end = None
            self._granted[voter] = max(self._start(asked, now), self._granted.get(voter, float("-inf")))

    @staticmethod
    def _start(asked: float, received: float) -> float:
        # The voter counts from its receipt of the request: not before it was sent, maybe long before `received`.
        return min(asked, received)

    def until(self, members: Sequence[str]) -> float:
        """Return when the lease expires (seconds), -inf when no majority of these members granted it."""
        if self._end is None or self._end[0] != members:
            self._end = (members, self._computed_until(members))
        return self._end[1]

    def _computed_until(self, members: Iterable[str]) -> float:
        group = set(members)
        starts = sorted((start for voter, start in self._granted.items() if voter in group), reverse=True)
        needed = len(group) // 2 + 1
        return starts[needed - 1] + self.length_s - self._margin_s if len(starts) >= needed else float("-inf")

    def forget_others(self, members: Iterable[str]) -> None:
        """Drop the grants of replicas that are no longer members."""
        group = set(members)
        self._end = None
        self._granted = {voter: start for voter, start in self._granted.items() if voter in group}


class Proposal:
    """Proposer's state of one change: its ballot, the promises and acceptances, and the record that it must propose."""

    def __init__(self, base: EpochRecord, own: EpochRecord, ballot: Ballot, now: float) -> None:
        self.base = base
        self.own = own
        self.started = now
        self.restart(ballot, now)

    def restart(self, ballot: Ballot, now: float) -> None:
        """Restart with a higher ballot; the own record stays the same, as some voter may have accepted it."""
        self.ballot = ballot
        self.prepared = False  # the own promise is durable, so others may be asked
        self.record: EpochRecord | None = None
        self.promises: dict[str, tuple[Ballot, EpochRecord] | None] = {}
        self.accepts: set[str] = set()
        self.sent = now
        self.retry_at: float | None = None

    def promised(self, voter: str, accepted: tuple[Ballot, EpochRecord] | None) -> bool:
        """Record a promise; return whether it completes the majority, after which ``record`` is to be accepted."""
        if self.record is not None:
            return False
        self.promises[voter] = accepted
        if not is_majority(self.promises, self.base.members):
            return False
        # A record that may have been chosen already must be completed before any other.
        seen = [found for member, found in self.promises.items() if found is not None and member in self.base.members]
        self.record = max(seen, key=lambda found: found[0])[1] if seen else self.own
        return True

    def accepted(self, voter: str) -> bool:
        """Record an acceptance; return whether majorities of the base's and of the record's members have accepted."""
        self.accepts.add(voter)
        record = self.record
        return record is not None and self.is_chosen_by(self.accepts, self.base, record)

    @staticmethod
    def is_chosen_by(voters: Iterable[str], base: EpochRecord, record: EpochRecord) -> bool:
        """Return whether these voters are enough to choose the record."""
        voters = set(voters)
        return is_majority(voters, base.members) and is_majority(voters, record.members)

    @property
    def voters(self) -> set[str]:
        """All voters that are asked in the present phase."""
        return set(self.base.members) | (set(self.record.members) if self.record is not None else set())


def choose_by_zone(candidates: Iterable[str], taken: Iterable[str], zones: Mapping[str, str]) -> list[str]:
    """Order the candidates so that each is of a zone with the fewest of the taken ones and of those before it.

    Candidates of equally represented or unknown zones are ordered by id.
    """
    left = sorted(candidates)
    if len(left) <= 1:
        return left
    counts = Counter(zones.get(ip_of(replica), "") for replica in taken)
    ordered: list[str] = []
    while left:
        best = min(left, key=lambda replica: (counts[zones.get(ip_of(replica), "")], replica))
        counts[zones.get(ip_of(best), "")] += 1
        left.remove(best)
        ordered.append(best)
    return ordered
