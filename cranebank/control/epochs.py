"""The epoch record and how it is agreed: one register, changed by Paxos rounds, each record naming the next voters.

The change from one record to the next is an instance of single-decree Paxos. Its acceptors are the members of the
record that is changed (its base), so a record that was chosen names who may change it, and no log is needed. Pure
state without I/O; times are seconds of the steady clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache

import msgspec

Ballot = tuple[int, str]
"""A round's number and its proposer's replica id; higher ones win."""

NO_BALLOT: Ballot = (0, "")
REPLICAS_KEPT = 1024  # addresses of replicas that are remembered, beyond all that a group ever has at a time


class OrderIntent(msgspec.Struct, frozen=True):
    """A primary may order this backend to this stage, or has done so lately."""

    backend: str
    stage: str


class EpochRecord(msgspec.Struct, frozen=True):
    """Who is primary, who holds the data and who votes. `term` is the epoch at which the primary took over. `intents`
    are the orders to backends that a primary may have sent lately, None where a version that records none wrote it.
    ``evacuated`` are the zones to whose backends nothing more is sent, sorted; ``evacuation_number`` rises with each
    change of them."""

    epoch: int
    term: int
    primary: str
    copies: tuple[str, ...]
    members: tuple[str, ...]
    intents: tuple[OrderIntent, ...] | None = None
    evacuated: tuple[str, ...] = ()
    evacuation_number: int = 0


def initial_record(seeds: Iterable[str]) -> EpochRecord:
    """Return the record that everybody derives from the settings of the first start."""
    return EpochRecord(0, 0, "", (), tuple(sorted(set(seeds))), ())


@lru_cache(maxsize=REPLICAS_KEPT)
def ip_of(replica: str) -> str:
    """Return the address in a replica id ("IP" or "IP/HEX")."""
    return replica.split("/", 1)[0]


def is_majority(voters: Iterable[str], members: Iterable[str]) -> bool:
    """Tell whether those voters who are members are more than half of the members."""
    group = set(members)
    return 2 * len(group & set(voters)) > len(group)


class DurableState(msgspec.Struct, frozen=True):
    """What a replica stores of the register; `promised` and `accepted` belong to the change of `chosen`."""

    chosen: EpochRecord | None
    promised: Ballot
    accepted: tuple[Ballot, EpochRecord] | None


class Acceptor:
    """The voter's part of the register. Its state must be durable before any reply that follows from it."""

    def __init__(self, state: DurableState) -> None:
        self.chosen = state.chosen
        self.promised = state.promised
        self.accepted = state.accepted
        self.members_since = self.epoch  # the members of the newest record are known not to have changed from here on

    @property
    def state(self) -> DurableState:
        """What is to be stored."""
        return DurableState(self.chosen, self.promised, self.accepted)

    @property
    def epoch(self) -> int:
        """Epoch of the newest record known to be chosen, -1 when none is known."""
        return self.chosen.epoch if self.chosen is not None else -1

    def learn(self, record: EpochRecord) -> bool:
        """Take a chosen record; tell whether it is newer than the known one (the votes then start afresh)."""
        if record.epoch <= self.epoch:
            return False
        before = self.chosen
        if before is None or record.epoch > before.epoch + 1 or record.members != before.members:
            self.members_since = record.epoch
        self.chosen, self.promised, self.accepted = record, NO_BALLOT, None
        return True

    def promise(self, ballot: Ballot) -> bool:
        """Promise to take no lower ballot; tell whether that could be promised."""
        if ballot < self.promised:
            return False
        self.promised = ballot
        return True

    def accept(self, ballot: Ballot, record: EpochRecord) -> bool:
        """Accept a record unless a higher ballot was promised; tell whether it was accepted."""
        if ballot < self.promised:
            return False
        self.promised, self.accepted = ballot, (ballot, record)
        return True


class VoterLease:
    """What a voter granted: until `until` it takes no ballot but the holder's. Not durable: a restart waits it out."""

    def __init__(self, quarantine_until: float) -> None:
        self.holder = ""
        self.term = -1
        self.until = float("-inf")
        self.released_term = -1
        self.quarantine_until = quarantine_until

    def grant(self, holder: str, term: int, until: float) -> bool:
        """Grant until a time; a term that its holder released is refused, as a late ask must not bind the voter."""
        if term <= self.released_term:
            return False
        self.holder, self.term, self.until = holder, term, max(until, self.until if holder == self.holder else until)
        return True

    def release(self, term: int) -> bool:
        """The holder gave up this term; tell whether that was granted and news."""
        self.released_term = max(self.released_term, term)
        if self.term != term:
            return False
        self.until = float("-inf")
        return True

    def superseded(self, record: EpochRecord) -> None:
        """A record with another primary was chosen: its voters had waited for the older grants already."""
        if record.primary != self.holder or record.term != self.term:
            self.until = float("-inf")

    def refuses(self, now: float, candidate: str, primary: str) -> bool:
        """Tell whether a ballot must be refused. The primary of the chosen record is never kept out by a lease."""
        if candidate == primary:
            return False
        return now < self.quarantine_until or (now < self.until and candidate != self.holder)


class HeldLease:
    """The primary's side: a majority's grants, counted from when each was asked for, less a margin."""

    def __init__(self, length_s: float, margin_s: float) -> None:
        self.length_s = length_s
        self._margin_s = margin_s
        self._asked: dict[int, float] = {}
        self._granted: dict[str, float] = {}
        self._end: tuple[Sequence[str], float] | None = None  # of the lease, for these members; until a grant comes
        self.number = 0

    def ask(self, now: float) -> int:
        """Note that grants are asked for now; return the number that the grants must name."""
        self.number += 1
        self._asked[self.number] = now
        self._asked.pop(self.number - 16, None)
        return self.number

    def granted(self, voter: str, number: int, now: float) -> None:
        """Note a grant; a grant of an ask that is long forgotten counts for nothing."""
        asked = self._asked.get(number)
        if asked is not None:
            self._end = None
            self._granted[voter] = max(self._start(asked, now), self._granted.get(voter, float("-inf")))

    @staticmethod
    def _start(asked: float, received: float) -> float:
        # The voter counts from when it received the ask: no earlier than it was asked, maybe long before `received`.
        return min(asked, received)

    def until(self, members: Sequence[str]) -> float:
        """Return when the lease ends (seconds), -inf when no majority of these members granted it."""
        if self._end is None or self._end[0] != members:
            self._end = (members, self._computed_until(members))
        return self._end[1]

    def _computed_until(self, members: Iterable[str]) -> float:
        group = set(members)
        starts = sorted((start for voter, start in self._granted.items() if voter in group), reverse=True)
        needed = len(group) // 2 + 1
        return starts[needed - 1] + self.length_s - self._margin_s if len(starts) >= needed else float("-inf")

    def forget_others(self, members: Iterable[str]) -> None:
        """Drop the grants of replicas that are members no longer."""
        group = set(members)
        self._end = None
        self._granted = {voter: start for voter, start in self._granted.items() if voter in group}


class Proposal:
    """The proposer's part of one change: its ballot, who promised and accepted, and the record it must now propose."""

    def __init__(self, base: EpochRecord, own: EpochRecord, ballot: Ballot, now: float) -> None:
        self.base = base
        self.own = own
        self.started = now
        self.restart(ballot, now)

    def restart(self, ballot: Ballot, now: float) -> None:
        """Begin anew with a higher ballot; the own record stays the same, as it may have been accepted somewhere."""
        self.ballot = ballot
        self.prepared = False  # own promise durable, others may be asked
        self.record: EpochRecord | None = None
        self.promises: dict[str, tuple[Ballot, EpochRecord] | None] = {}
        self.accepts: set[str] = set()
        self.sent = now
        self.retry_at: float | None = None

    def promised(self, voter: str, accepted: tuple[Ballot, EpochRecord] | None) -> bool:
        """Note a promise; tell whether the majority is reached by it, upon which `record` is to be accepted."""
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
        """Note an acceptance; tell whether majorities of both the base's and the record's members have accepted."""
        self.accepts.add(voter)
        record = self.record
        return record is not None and self.is_enough(self.accepts, self.base, record)

    @staticmethod
    def is_enough(voters: Iterable[str], base: EpochRecord, record: EpochRecord) -> bool:
        """Tell whether these voters choose the record."""
        voters = set(voters)
        return is_majority(voters, base.members) and is_majority(voters, record.members)

    @property
    def voters(self) -> set[str]:
        """All who are asked in the present phase."""
        return set(self.base.members) | (set(self.record.members) if self.record is not None else set())


def choose_by_zone(candidates: Iterable[str], taken: Iterable[str], zones: Mapping[str, str]) -> list[str]:
    """Order the candidates so that each is of a zone with the fewest of those before it and of the taken ones; by id
    where zones are alike or unknown."""
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
