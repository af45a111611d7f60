"""Many schedules of random faults against consensus replicas, and planted faults that the same schedules must find."""

from __future__ import annotations

import msgspec
import pytest
from simulated_control import Violation, World, play

from cranebank.control import events as ev
from cranebank.control.call_table import EMPTY_TABLE
from cranebank.control.consensus_replica import ConsensusReplica, InvariantBroken, Value
from cranebank.control.epochs import NO_BALLOT, DurableState, EpochRecord, HeldLease, initial_record

SCHEDULES = 300
SCHEDULES_PER_TEST = 20


@pytest.mark.parametrize("first", range(0, SCHEDULES, SCHEDULES_PER_TEST))
def test_no_schedule_breaks_a_rule(first: int) -> None:
    broken = [found for seed in range(first, first + SCHEDULES_PER_TEST) if (found := play(seed))]
    assert broken == []


# Seeds of longer runs that once violated a rule.
@pytest.mark.parametrize("seed", [468, 615, 758, 1523, 1751, 2080, 2572, 2758, 3161])
def test_a_schedule_that_broke_a_rule_once_holds(seed: int) -> None:
    assert play(seed) == ""


def test_a_seed_is_one_schedule() -> None:
    assert list(World(5).run().trace) == list(World(5).run().trace)


def test_the_schedules_hold_every_fault_and_many_writes() -> None:
    worlds = [World(seed).run() for seed in range(40)]
    kinds = {kind for world in worlds for kind in world.faults}
    assert kinds == {
        "_kill",
        "_lose_power",
        "_wipe",
        "_freeze",
        "_cut",
        "_cut_pair",
        "_delay_messages",
        "_slow_disk",
        "_refusing_disk",
        "_stuck_disk",
        "_replace",
        "_retire",
        "_all_killed",
        "_final_power_loss",
        "_restarts_beside_a_cut",
        "_quick_restart",
        "_cut_then_wipe",
    }
    assert sum(world.judge.acks for world in worlds) > 1000
    cases = {case for world in worlds for case in world.judge.cases}
    assert cases == {
        "repeat acknowledged",
        "repeat acknowledged after other changes",
        "repeat acknowledged by a later primary",
    }


class AnswersBeforeTheBackup(ConsensusReplica):
    def _is_committable(self, leadership: object, record: EpochRecord) -> bool:
        return self._value_durable


class VotesAfterAWipe(ConsensusReplica):
    def _first_state(self) -> tuple[str, DurableState]:
        return self._settings.ip, DurableState(initial_record(self._settings.seeds), NO_BALLOT, None)


class ShrinksWithoutAMajority(ConsensusReplica):
    def _tick_primary(self) -> None:
        record = self._acceptor.chosen
        assert record is not None
        present = tuple(replica for replica in record.members if self._silence_s(replica) < 0.5)
        if present != record.members:
            copies = tuple(replica for replica in record.copies if replica in present)
            self._learn(EpochRecord(record.epoch + 1, record.term, record.primary, copies, present))
            for replica in record.members:
                self._send_record(replica)
        super()._tick_primary()


class LeaseFromTheReceipt(ConsensusReplica):
    class _Lease(HeldLease):
        @staticmethod
        def _start(asked: float, received: float) -> float:
            return received

    def _new_lease(self) -> HeldLease:
        return self._Lease(self._settings.lease_s, 0.0)


class RepliesBeforeItIsDurable(ConsensusReplica):
    def _reply_durably(self, replica: str, message: ev.AnyMessage) -> None:
        self._send(replica, message)


class WitnessTakesOver(ConsensusReplica):
    def _holds_data(self, record: EpochRecord) -> bool:
        return True

    def _propose(self, own: EpochRecord) -> None:
        if self._id not in own.copies:
            own = EpochRecord(own.epoch, own.term, own.primary, (self._id, *own.copies), own.members)
        super()._propose(own)


class TakesValuesOfThePast(ConsensusReplica):
    def _on_store(self, message: ev.Store) -> None:
        if self._is_member and self._leadership is None:
            self._value = type(self._value)(
                min(message.record.term, self._acceptor.epoch),
                message.revision,
                message.digest,
                message.document,
                message.calls,
            )
            self._dirty.add("value")
            self._on_durable.append(
                (
                    "value",
                    self._deferred_send(message.sender, ev.Stored(self._id, message.record.term, message.revision)),
                )
            )


class AcceptsALostRace(ConsensusReplica):
    def _result_without_change(self, write: ev.Write, current: object) -> ev.Result | None:
        result = super()._result_without_change(write, self._value)
        return ev.Accepted() if isinstance(result, ev.Conflict) else result


class ActsAgainAfterARestart(ConsensusReplica):
    def _learn(self, record: EpochRecord, is_own: bool = False) -> None:
        super()._learn(record, is_own or record.primary == self._id)


class ReadsWithoutALease(ConsensusReplica):
    def holds_lease(self, now: float) -> bool:
        return self._leadership is not None


class RemembersTheNewestCallOnly(ConsensusReplica):
    def _result_without_change(self, write: ev.Write, current: Value) -> ev.Result | None:
        if write.digest != current.digest and write.revision <= current.revision:
            return ev.Conflict(current.revision)
        return super()._result_without_change(write, current)


class ForgetsCallsAtATakeover(ConsensusReplica):
    def _on_store(self, message: ev.Store) -> None:
        super()._on_store(msgspec.structs.replace(message, calls=EMPTY_TABLE))


class TakesHeldUpAsksForContact(ConsensusReplica):
    def _record_contact(self, message: ev.AskLease) -> None:
        super()._record_contact(msgspec.structs.replace(message, stamp=ev.Stamp(self._incarnation, self._now)))


class InContactBeforeItIsSettled(ConsensusReplica):
    def in_contact(self, now: float) -> bool:
        return self.holds_lease(now) or super().in_contact(now)


def found(kind: type[ConsensusReplica], first: int, count: int) -> str:
    """Return the violation in the first schedule that finds the planted fault, "" when none does."""
    for seed in range(first, first + count):
        try:
            World(seed, kind).run()
        except (Violation, InvariantBroken) as violation:
            return f"{seed}: {violation}"
    return ""


@pytest.mark.parametrize(
    ("kind", "seed"),
    [
        (AnswersBeforeTheBackup, 0),
        (VotesAfterAWipe, 3),
        (ShrinksWithoutAMajority, 7),
        (LeaseFromTheReceipt, 445),
        (WitnessTakesOver, 3),
        (TakesValuesOfThePast, 15),
        (AcceptsALostRace, 0),
        (ActsAgainAfterARestart, 244),
        (ReadsWithoutALease, 0),
        (RepliesBeforeItIsDurable, 539),
        (RemembersTheNewestCallOnly, 0),
        (ForgetsCallsAtATakeover, 0),
        (TakesHeldUpAsksForContact, 0),
        (InContactBeforeItIsSettled, 0),
    ],
)
def test_a_planted_fault_is_found(kind: type[ConsensusReplica], seed: int) -> None:
    assert play(seed) == "" and found(kind, seed, 1) != ""
