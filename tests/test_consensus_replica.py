"""Consensus replicas on a network without random faults: election of a primary, answers to writes, admission."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import pytest

from cranebank.control import events as ev
from cranebank.control.consensus_replica import ConsensusReplica, ConsensusSettings, InvariantBroken, State, Value
from cranebank.control.epochs import EpochRecord, HeldLease, VoterLease, choose_by_zone
from cranebank.control.membership import View, group_size, next_members
from cranebank.transport.revision import Revision

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


class Group:
    """Controllers with short message and disk delays; each can be stopped, cut off or wiped."""

    def __init__(self, ips: tuple[str, ...] = SEEDS, seed: int = 1, tolerance: int = 1) -> None:
        self.random = Random(seed)
        self.tolerance = tolerance
        self.now = 0.0
        self.steps = 0
        self.nodes: dict[str, ConsensusReplica] = {}
        self.disks: dict[str, dict[str, bytes]] = {}
        self.later: list[tuple[float, str, ev.Event]] = []
        self.answers: dict[int, ev.Result] = {}
        self.committed: list[int] = []
        self.stuck: set[str] = set()
        self.cut: set[str] = set()
        self.sent: list[tuple[float, str, str, ev.AnyMessage]] = []
        for ip in ips:
            self.start(ip, is_first_start=True)

    def start(self, ip: str, is_first_start: bool = False) -> None:
        disk = self.disks.setdefault(ip, {})
        settings = ConsensusSettings(ip, SEEDS, is_first_start, self.tolerance)
        self.nodes[ip] = ConsensusReplica(settings, dict(disk), self.random, self.now)

    def stop(self, ip: str, wipe: bool = False) -> None:
        del self.nodes[ip]
        self.later = [one for one in self.later if one[1] != ip]
        if wipe:
            self.disks[ip] = {}

    def deliver(self, ip: str, event: ev.Event) -> None:
        if ip in self.nodes:
            self._do(ip, self.nodes[ip].handle(self.now, event))

    def _do(self, ip: str, actions: list[ev.Action]) -> None:
        for action in actions:
            if isinstance(action, ev.Send):
                self.sent.append((self.now, ip, action.ip, action.message))
                if action.ip in self.nodes and not {ip, action.ip} & self.cut:
                    self.later.append((self.now + 0.001, action.ip, ev.Received(ip, action.message)))
            elif isinstance(action, ev.Persist):
                if ip not in self.stuck:
                    self.disks[ip].update(action.values)
                    self.later.append((self.now + 0.005, ip, ev.Persisted(action.token)))
            elif isinstance(action, ev.Answer):
                self.answers[action.request] = action.result
            elif isinstance(action, ev.Committed):
                self.committed.append(action.revision)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += 0.001
            self.steps += 1
            due = [one for one in self.later if one[0] <= self.now + 1e-9]
            self.later = [one for one in self.later if one[0] > self.now + 1e-9]
            for _, ip, event in due:
                self.deliver(ip, event)
            if self.steps % 50 == 0:
                for ip in list(self.nodes):
                    self.deliver(ip, ev.Tick())

    @property
    def primary(self) -> str:
        holding = [ip for ip, node in self.nodes.items() if node.holds_lease(self.now)]
        assert len(holding) <= 1
        return holding[0] if holding else ""

    def write(self, request: int, base: int, revision: int, digest: bytes = b"", ip: str = "") -> None:
        digest = digest or b"d%d" % revision
        self.deliver(ip or self.primary, ev.Write(request, base, Revision(revision), b"doc%d" % revision, digest))


def ready(ips: tuple[str, ...] = SEEDS) -> Group:
    group = Group(ips)
    group.run(1.0)
    assert group.primary
    return group


def test_a_first_start_chooses_one_primary_with_a_copy() -> None:
    group = ready()
    status = group.nodes[group.primary].status(group.now)
    assert status.is_primary and len(status.copies) == 2 and status.members == SEEDS
    assert group.nodes[group.primary].current == (0, b"", b"")
    assert {node.record for node in group.nodes.values()} == {group.nodes[group.primary].record}
    assert group.committed == []


def test_a_write_is_answered_when_the_copy_has_it_and_its_repeat_is_accepted() -> None:
    group = ready()
    group.write(1, 0, 3)
    assert group.answers == {}
    group.run(0.05)
    assert group.answers == {1: ev.Accepted()} and group.committed == [3]
    group.write(2, 0, 3)
    group.write(3, 0, 3, b"another body")
    group.write(4, 3, 3, b"another body")
    group.write(5, 0, 5)
    assert group.answers[2] == ev.Accepted()
    assert group.answers[3] == group.answers[4] == group.answers[5] == ev.Conflict(3)
    record = group.nodes[group.primary].record
    assert record is not None
    assert all((b"doc3" in group.disks[ip].get("value", b"")) == (ip in record.copies) for ip in SEEDS)


def test_of_two_writes_on_one_base_one_is_accepted_and_others_wait_their_turn() -> None:
    group = ready()
    group.write(1, 0, 3)
    group.write(2, 0, 4)
    group.write(3, 3, 6)
    group.run(0.1)
    assert group.answers == {1: ev.Accepted(), 2: ev.Conflict(3), 3: ev.Accepted()}


def test_only_the_primary_takes_writes_and_the_queue_is_bounded() -> None:
    group = ready()
    other = next(ip for ip in SEEDS if ip != group.primary)
    group.write(1, 0, 3, ip=other)
    assert group.answers[1] == ev.NotPrimary(group.primary)
    for request in range(2, 100):
        group.write(request, 0, 3)
    assert sum(result == ev.Busy() for result in group.answers.values()) == 98 - 65
    group.run(0.1)
    assert sum(result == ev.Accepted() for result in group.answers.values()) == 65


def test_a_silent_death_is_followed_by_a_takeover_within_the_goal() -> None:
    for seed in range(20):
        group = Group(seed=seed)
        group.run(1.0)
        group.write(1, 0, 3)
        group.run(0.05 + seed * 0.013)
        dead = group.primary
        group.stop(dead)
        since = group.now
        while not (group.primary and group.nodes[group.primary].current):
            group.run(0.01)
            assert group.now - since < 1.6
        assert group.nodes[group.primary].current == (3, b"doc3", b"d3")
        record = group.nodes[group.primary].record
        assert record is not None and dead not in record.copies and len(record.copies) == 2


def test_a_retiring_primary_is_followed_at_once_and_does_not_stand_again() -> None:
    group = ready()
    group.write(1, 0, 3)
    group.run(0.05)
    old = group.primary
    group.deliver(old, ev.Retire())
    assert not group.primary
    group.run(0.3)
    assert group.primary not in ("", old)
    assert group.nodes[group.primary].current == (3, b"doc3", b"d3")


def test_a_witness_does_not_take_over_while_no_copy_is_there() -> None:
    group = ready()
    group.write(1, 0, 3)
    group.run(0.05)
    record = group.nodes[group.primary].record
    assert record is not None
    for ip in record.copies:
        group.stop(ip)
    group.run(5.0)
    assert not group.primary
    group.start(record.copies[0])
    group.run(2.0)
    assert group.primary == record.copies[0]


def test_all_killed_at_once_are_back_within_two_seconds() -> None:
    group = ready()
    group.write(1, 0, 3)
    group.run(0.05)
    for ip in SEEDS:
        group.stop(ip)
    for ip in SEEDS:
        group.start(ip)
    group.run(0.5)
    assert group.primary and group.nodes[group.primary].current == (3, b"doc3", b"d3")


def test_a_restarted_voter_waits_out_what_it_may_have_granted() -> None:
    group = ready()
    voter = next(ip for ip in SEEDS if ip != group.primary)
    group.stop(voter)
    group.start(voter)
    node = group.nodes[voter]
    assert node.state is State.WAITING and node.record is not None
    third = next(ip for ip in SEEDS if ip not in (voter, group.primary))
    actions = node.handle(group.now, ev.Received(third, ev.Prepare(third, node.record, (99, third))))
    assert any(isinstance(one, ev.Send) and isinstance(one.message, ev.Refused) for one in actions)


def test_a_wiped_replica_comes_back_as_a_new_one_in_place_of_the_old() -> None:
    group = ready()
    group.write(1, 0, 3)
    group.run(0.05)
    wiped = next(ip for ip in SEEDS if ip != group.primary)
    group.stop(wiped, wipe=True)
    group.run(0.3)
    group.start(wiped)
    assert group.nodes[wiped].state is State.OUTSIDER
    group.run(2.0)
    record = group.nodes[group.primary].record
    assert record is not None and wiped not in record.members and len(record.members) == 3
    assert group.nodes[wiped].id in record.members and group.nodes[wiped].state is State.FOLLOWER


def test_a_wiped_primary_loses_nothing() -> None:
    group = ready()
    group.write(1, 0, 3)
    group.run(0.05)
    wiped = group.primary
    group.stop(wiped, wipe=True)
    group.start(wiped)
    group.run(3.0)
    record = group.nodes[group.primary].record
    assert group.nodes[group.primary].current == (3, b"doc3", b"d3")
    assert record is not None and group.nodes[wiped].id in record.members and len(record.members) == 3


def members(group: Group) -> tuple[str, ...]:
    record = group.nodes[group.primary].record
    assert record is not None
    return record.members


def test_a_newcomer_stands_by_while_all_are_there_and_replaces_who_falls_silent() -> None:
    group = ready()
    gone = next(ip for ip in SEEDS if ip != group.primary)
    group.start("10.0.0.9")
    group.run(1.0)
    assert members(group) == SEEDS
    group.stop(gone)
    group.run(1.5)
    assert len(members(group)) == 3 and gone not in members(group)
    assert any(member.startswith("10.0.0.9/") for member in members(group))
    gone = next(ip for ip in members(group) if ip_of_primary(group) != ip)
    group.stop(gone.split("/")[0])
    group.run(1.5)
    assert gone in members(group), "there is no newcomer to replace it"
    group.start("10.0.0.10")
    group.run(0.5)
    assert len(members(group)) == 3 and gone not in members(group)
    assert any(member.startswith("10.0.0.10/") for member in members(group))


def test_a_group_grows_to_its_size_by_as_many_newcomers_as_make_it_odd() -> None:
    group = Group(tolerance=2)
    group.run(1.0)
    group.start("10.0.0.8")
    group.run(1.0)
    assert members(group) == SEEDS
    group.start("10.0.0.9")
    group.run(1.0)
    assert len(members(group)) == 5
    record = group.nodes[group.primary].record
    assert record is not None and len(record.copies) == 3
    group.start("10.0.0.10")
    group.start("10.0.0.11")
    group.run(1.0)
    assert len(members(group)) == 5


def test_members_and_copies_are_spread_over_zones_where_zones_may_be_lost() -> None:
    zones = {f"10.0.0.{number}": "abc"[number % 3] for number in range(1, 10)}
    size = group_size(99, is_counted_in_machines=False)
    seeds = ("10.0.0.1", "10.0.0.2", "10.0.0.3")

    def grown(newcomers: set[str], placed: dict[str, str]) -> set[str] | None:
        silence = dict.fromkeys(seeds, 0.0)
        return next_members(View(seeds, seeds[:2], silence, (), newcomers, placed), size)

    assert grown({"10.0.0.4", "10.0.0.5"}, zones) == {*seeds, "10.0.0.4", "10.0.0.5"}
    assert grown({"10.0.0.4", "10.0.0.7"}, zones) is None, "three of five would be in one zone"
    whole = grown({f"10.0.0.{number}" for number in range(4, 10)}, zones)
    assert whole is not None and len(whole) == 9
    assert choose_by_zone(["10.0.0.4", "10.0.0.5", "10.0.0.7"], ["10.0.0.1"], zones)[0] == "10.0.0.5"


def test_zones_told_before_their_controllers_ask_to_be_admitted_are_kept() -> None:
    group = ready()
    newcomers = ("10.0.0.4", "10.0.0.5")
    zones = dict(zip((*SEEDS, *newcomers), "abcaa", strict=True))
    primary = group.nodes[group.primary]
    primary._group_size = group_size(99, is_counted_in_machines=False)
    for ip, zone in zones.items():
        group.deliver(group.primary, ev.ZoneReported(ip, zone))
    for ip in newcomers:
        group.start(ip)
    group.run(1.0)
    assert members(group) == SEEDS, "three of five would be in one zone"
    for number in range(1000):
        group.deliver(group.primary, ev.ZoneReported(f"10.9.{number}.1", "d"))
    assert zones.items() <= primary._zones.items() and len(primary._zones) < 100


def test_a_group_without_a_silent_zone_is_not_left_with_half_of_it_in_one_zone() -> None:
    zones = {f"10.0.0.{number}": "cababd"[number] for number in range(1, 6)}  # a, b, a, b, d
    size = group_size(99, is_counted_in_machines=False)
    members = tuple(zones)

    def shrunk(silent: set[str], placed: dict[str, str]) -> set[str] | None:
        silence = {member: 60.0 * (member in silent) for member in members}
        copies = [member for member in members if member not in silent]
        return next_members(View(members, copies, silence, (), (), placed), size)

    other_zone = {member for member in members if zones[member] == "b"}
    assert shrunk(other_zone, zones) is None, "a and d would be left, a with two of three"
    assert shrunk({"10.0.0.1", "10.0.0.2"}, zones) == set(members) - {"10.0.0.1", "10.0.0.2"}


def ip_of_primary(group: Group) -> str:
    return group.nodes[group.primary].id


def test_a_removed_id_never_counts_again() -> None:
    group = ready()
    gone = next(ip for ip in SEEDS if ip != group.primary)
    group.cut.add(gone)
    group.run(1.5)
    group.start("10.0.0.9")
    group.run(1.0)
    record = group.nodes[group.primary].record
    assert record is not None and gone not in record.members
    group.cut.clear()
    group.run(1.5)
    assert group.nodes[gone].id != gone
    assert gone not in members(group) and group.nodes[gone].id not in members(group) and len(members(group)) == 3
    lost = next(member.split("/")[0] for member in members(group) if member != ip_of_primary(group))
    group.stop(lost)
    group.run(1.5)
    assert gone not in members(group) and group.nodes[gone].id in members(group) and len(members(group)) == 3


def test_a_write_outlives_the_loss_of_its_copy() -> None:
    group = ready()
    record = group.nodes[group.primary].record
    assert record is not None
    copy = next(ip for ip in record.copies if ip != group.primary)
    group.stop(copy)
    group.write(1, 0, 3)
    group.run(0.3)
    assert 1 not in group.answers
    group.run(1.0)
    assert group.answers == {1: ev.Accepted()}
    after = group.nodes[group.primary].record
    assert after is not None and copy not in after.copies and len(after.copies) == 2


def test_a_broken_link_to_the_copy_is_made_good_sooner() -> None:
    group = ready()
    record = group.nodes[group.primary].record
    assert record is not None
    copy = next(ip for ip in record.copies if ip != group.primary)
    group.stop(copy)
    group.deliver(group.primary, ev.LinkDown(copy))
    group.write(1, 0, 3)
    group.run(0.1)
    assert group.answers == {1: ev.Accepted()}


def test_a_write_that_cannot_finish_is_answered_unknown_and_the_next_primary_decides() -> None:
    group = ready()
    old = group.primary
    others = [ip for ip in SEEDS if ip != old]
    group.write(1, 0, 3)
    group.cut |= set(others)
    group.run(0.01)
    assert group.answers == {}
    group.run(2.0)
    assert group.answers == {1: ev.Unknown()} and not group.primary
    group.cut = set()
    group.run(2.0)
    current = group.nodes[group.primary].current
    assert current is not None and current[0] in (0, 3)


def test_a_stuck_disk_takes_the_primary_out() -> None:
    group = ready()
    old = group.primary
    group.stuck.add(old)
    group.write(1, 0, 3)
    group.run(1.5)
    assert group.primary not in ("", old)
    group.stuck.clear()
    for token in list(group.nodes[old]._writes_in_flight):
        group.deliver(old, ev.PersistFailed(token))
    group.run(1.0)
    assert not group.nodes[old]._writes_in_flight and group.primary not in ("", old)


def test_a_big_value_is_not_sent_again_within_a_second() -> None:
    group = ready()
    record = group.nodes[group.primary].record
    assert record is not None
    for ip in SEEDS:
        if ip != group.primary:
            group.stuck.add(ip)
    group.write(1, 0, 3)
    group.run(3.0)
    times: dict[str, list[float]] = {}
    for at, _, ip, message in group.sent:
        if isinstance(message, ev.Store) and message.revision == 3:
            times.setdefault(ip, []).append(at)
    assert times and all(b - a >= 1.0 for sent in times.values() for a, b in pairwise(sent))


def test_a_store_of_a_past_primary_is_refused() -> None:
    group = ready()
    group.write(1, 0, 3)
    group.run(0.05)
    old = group.primary
    before = group.nodes[old].record
    assert before is not None
    group.deliver(old, ev.Retire())
    group.run(0.5)
    copy = group.nodes[group.primary]
    copy.handle(group.now, ev.Received(old, ev.Store(old, before, Revision(9), b"late", b"late")))
    assert copy.status(group.now).revision == 3


def copy_of(group: Group) -> ConsensusReplica:
    """Return the replica of a copy other than the primary."""
    record = group.nodes[group.primary].record
    assert record is not None
    return group.nodes[next(ip for ip in record.copies if ip != group.primary)]


def test_a_late_store_of_an_earlier_revision_changes_nothing() -> None:
    group = ready()
    group.write(1, 0, 2)
    group.run(0.05)
    group.write(2, 2, 3)
    group.run(0.05)
    copy, record = copy_of(group), group.nodes[group.primary].record
    assert record is not None and copy.status(group.now).revision == 3
    copy.handle(group.now, ev.Received(group.primary, ev.Store(record.primary, record, Revision(2), b"d2", b"doc2")))
    assert copy.status(group.now).revision == 3


def test_a_late_store_of_an_earlier_term_of_the_same_primary_is_refused() -> None:
    group = ready()
    group.write(1, 0, 3)
    group.run(0.05)
    copy, earlier = copy_of(group), group.nodes[group.primary].record
    assert earlier is not None
    term = earlier.epoch + 1
    record = EpochRecord(term, term, earlier.primary, earlier.copies, earlier.members)
    copy.handle(group.now, ev.Received(group.primary, ev.Chosen(record.primary, record)))
    late = ev.Store(earlier.primary, earlier, Revision(9), b"late", b"late")
    actions = copy.handle(group.now, ev.Received(group.primary, late))
    assert copy.status(group.now).revision == 3
    sent = [one.message for one in actions if isinstance(one, ev.Send)]
    assert ev.Chosen(copy.id, record) in sent, "the outdated sender is sent the newest record"


def test_a_lease_counts_from_the_ask_and_less_the_margin() -> None:
    lease = HeldLease(1.2, 0.1)
    number = lease.new_request(5.0)
    lease.granted("a", number, 5.4)
    assert lease.until("abc") == float("-inf")
    lease.granted("b", number, 5.5)
    assert lease.until("abc") == pytest.approx(6.1)
    lease.granted("x", number, 5.5)
    assert lease.until("axy") == pytest.approx(6.1) and lease.until("ayz") == float("-inf")


def test_a_late_ask_of_a_released_term_binds_nobody() -> None:
    lease = VoterLease(0.0)
    assert lease.grant("a", 4, 2.0) and lease.refuses(1.0, "b", "a") and not lease.refuses(1.0, "a", "a")
    assert lease.release(4) and not lease.refuses(1.0, "b", "a")
    assert not lease.grant("a", 4, 3.0) and not lease.refuses(1.0, "b", "a")


def test_a_stamp_of_an_earlier_process_is_no_contact() -> None:
    """A restart of the machine resets its clock: a stamp from before may be ahead of all later times."""
    group = ready()
    record = group.nodes[group.primary].record
    assert record is not None
    follower = next(ip for ip in SEEDS if ip != group.primary)
    node = group.nodes[follower]
    for incarnation, is_own in ((node._incarnation + 1, False), (node._incarnation, True)):
        group.cut.add(follower)
        group.run(2.0)
        assert not node.in_contact(group.now)
        stamp = ev.Stamp(incarnation, group.now + 1000.0)
        record = node.record or record
        group.deliver(follower, ev.Received(record.primary, ev.AskLease(record.primary, record, 1, stamp, Revision(0))))
        assert node.in_contact(group.now) is is_own


def test_a_primary_gives_contact_only_under_its_lease() -> None:
    """After a freeze past the end of its lease, the first message makes it send lease requests before its next tick."""
    group = ready()
    node = group.nodes[group.primary]
    record = node.record
    assert record is not None
    follower = next(ip for ip in SEEDS if ip != group.primary)
    grant = ev.GrantLease(follower, record.term, 0, ev.Stamp(1, 1.0))

    def asks_at(now: float) -> list[ev.AskLease]:
        sent = [one.message for one in node.handle(now, ev.Received(follower, grant)) if isinstance(one, ev.Send)]
        return [message for message in sent if isinstance(message, ev.AskLease)]

    end = node.lease_until()
    under, past = asks_at(end - 0.01), asks_at(end + 0.5)
    assert under and all(ask.stamp is not None for ask in under)
    assert past and all(ask.stamp is None for ask in past)


def test_a_vote_is_stored_with_the_id_that_gave_it() -> None:
    """If the disk refuses the first write and accepts the second, that one must contain the id along with the vote."""
    settings = ConsensusSettings(SEEDS[0], SEEDS, True, 1)
    node = ConsensusReplica(settings, {}, Random(1), 0.0)
    first = [one for one in node.handle(0.0, ev.Tick()) if isinstance(one, ev.Persist)]
    node.handle(0.01, ev.PersistFailed(first[0].token))
    record = node.record
    assert record is not None
    actions = node.handle(0.02, ev.Received(SEEDS[1], ev.Prepare(SEEDS[1], record, (7, SEEDS[1]))))
    stored = next(one.values for one in actions if isinstance(one, ev.Persist))
    again = ConsensusReplica(settings, stored, Random(2), 5.0)
    assert again.state is State.WAITING and again.id == SEEDS[0]
    actions = again.handle(9.0, ev.Received(SEEDS[2], ev.Prepare(SEEDS[2], record, (6, SEEDS[2]))))
    assert any(isinstance(one, ev.Send) and isinstance(one.message, ev.Refused) for one in actions)


@pytest.mark.violates_invariants
def test_a_broken_invariant_has_a_type() -> None:
    group = ready()
    node = group.nodes[group.primary]
    node._acceptor.chosen = EpochRecord(9, 9, "nobody", (), SEEDS)
    with pytest.raises(InvariantBroken):
        node._check_invariants()
    assert Value(1, Revision(9), b"", b"").age < Value(2, Revision(1), b"", b"").age


def test_a_newcomer_that_was_wiped_while_it_asked_is_admitted_once() -> None:
    group = Group(tolerance=2)
    group.run(1.0)
    newcomer = "10.0.0.4"
    group.start(newcomer)
    group.run(0.2)
    group.stop(newcomer, wipe=True)
    group.start(newcomer)
    group.run(2.0)
    record = group.nodes[group.primary].record
    assert record is not None and record.members == SEEDS
    group.start("10.0.0.5")
    group.run(2.0)
    record = group.nodes[group.primary].record
    assert record is not None and set(record.members) == {node.id for node in group.nodes.values()}


def test_a_copy_confirms_a_value_only_when_the_refused_write_of_it_has_come_through() -> None:
    group = ready()
    record = group.nodes[group.primary].record
    assert record is not None
    copy = next(ip for ip in record.copies if ip != group.primary)
    node, store = group.nodes[copy], ev.Store(group.primary, record, Revision(3), b"digest", b"document")
    first = persisted(node.handle(group.now, ev.Received(group.primary, store)))
    newer = EpochRecord(record.epoch + 1, record.term, record.primary, record.copies, record.members)
    again = ev.Store(group.primary, newer, Revision(3), b"digest", b"document")
    second = persisted(node.handle(group.now, ev.Received(group.primary, again)))
    assert stored(node.handle(group.now, ev.PersistFailed(first))) == 0
    assert stored(node.handle(group.now, ev.Persisted(second))) == 0
    third = persisted(node.handle(group.now + 0.3, ev.Tick()))
    assert stored(node.handle(group.now + 0.31, ev.Persisted(third))) == 2


def persisted(actions: list[ev.Action]) -> int:
    return next(action.token for action in actions if isinstance(action, ev.Persist))


def stored(actions: list[ev.Action]) -> int:
    return sum(isinstance(action, ev.Send) and isinstance(action.message, ev.Stored) for action in actions)
