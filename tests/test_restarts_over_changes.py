"""Members restarted, wiped and replaced at random points among 1,000 changes: one message brings them in step.

The custody's cores run under the simulated network, disks and clocks of `simulated_control`, whose judge also sees to
it that nobody leads with an older value than the acknowledged one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial
from random import Random

import pytest
from simulated_control import CATCH_UP_S, Life, Machine, Violation, World

from cranebank.control import events as ev
from cranebank.control.consensus_replica import ConsensusReplica, ConsensusSettings, InvariantBroken

CHANGES = 1000
FAULTS = 60  # at least so many, one by one
LONGEST_S = 2000.0
REPAIR_LOOK_S = 0.02
SEEDS = (3, 7, 12)


class InStep:
    """A member that started: what was acknowledged then, and when it held that."""

    def __init__(self, life: Life, case: str, newest: int, started: float) -> None:
        self.life, self.case, self.newest, self.started = life, case, newest, started
        self.began_with = life.replica.status(0.0).revision
        self.took_s: float | None = None
        self.place = ""
        self.first_value: int | None = None  # the revision that it took first


class LongWorld(World):
    """Changes without end, and one member at a time restarted, wiped or replaced."""

    def __init__(self, seed: int, kind: type[ConsensusReplica] = ConsensusReplica) -> None:
        super().__init__(seed, kind)
        self.loss = self.doubled = self.jumbled = self.trigger = 0.0
        self.starts: list[InStep] = []
        self.cases: Counter[str] = Counter()
        self._replacements = 0
        self._without_value: dict[Life, InStep] = {}
        self.repairs_s: list[float] = []
        self._watched: dict[Life, InStep] = {}

    def start(self, machine: Machine) -> None:
        """Start a machine's process and watch until it is in step."""
        case = "wiped or new" if not machine.disk else "restarted"
        was_down = machine.life is None
        super().start(machine)
        life = machine.life
        if life is not None and was_down and self.now > 0.5:
            watched = InStep(life, case, self.judge.newest, self.now)
            self._watched[life] = self._without_value[life] = watched
            self.starts.append(watched)
            self._look_at(life)

    def tell(self, life: Life, event: ev.Event) -> None:
        """Give a process an event and look whether that has brought it in step."""
        super().tell(life, event)
        self._look_at(life)

    def _look_at(self, life: Life) -> None:
        revision = life.replica.status(0.0).revision
        started = self._without_value.get(life)
        if started is not None and revision != started.began_with:
            started.first_value = revision
            del self._without_value[life]
        watched = self._watched.get(life)
        if watched is None:
            return
        place = "copy" if revision >= watched.newest else self._place_without_value(life)
        if place is not None:
            watched.place = place
            watched.took_s = self.now - watched.started
            del self._watched[life]

    def _place_without_value(self, life: Life) -> str | None:
        """Tell which place this process has, by the primary's record, where it need not hold the value."""
        primary = self.primary()
        record = primary.replica.record if primary is not None else None
        if record is None:
            return None
        present = {one.life.replica.id for one in self.machines.values() if one.life is not None}
        if life.replica.id not in record.members:
            return "spare" if present.issuperset(record.members) else None
        is_told = record == life.replica.record
        return "witness" if is_told and life.replica.id not in record.copies else None

    def fault(self) -> None:
        """Strike one member, and the next once this one is back and has caught up."""
        if self._is_over:
            return
        self.at(self.random.uniform(0.5, 2.0), self.fault)
        if any(self.now < one.troubled_until for one in self.machines.values()):
            return
        primary = self.primary()
        present = [one for one in self.machines.values() if not one.is_removed]
        machine = self.random.choice(present)
        strikes: list[Callable[[Machine], bool]] = [self._kill, self._power, self._wipe, self._replace]
        strike = self.random.choice(strikes)
        struck_primary = primary is not None and machine is primary.machine
        newest = self.judge.newest
        if strike(machine):
            if strike != self._replace:
                self.at(0.0, partial(self._look_for_repair, self.now, newest))
            self.cases[strike.__name__ + (" of the primary" if struck_primary else "")] += 1

    def _look_for_repair(self, struck_at: float, newest: int) -> None:
        """Note when the group holds enough copies of what was acknowledged before the strike, in live members."""
        primary = self.primary()
        record = primary.replica.record if primary is not None else None
        holding = {
            one.life.replica.id
            for one in self.machines.values()
            if one.life is not None and one.life.replica.status(0.0).revision >= newest
        }
        if record is not None and len(holding & set(record.copies)) > self.tolerance:
            self.repairs_s.append(self.now - struck_at)
        else:
            self.at(REPAIR_LOOK_S, partial(self._look_for_repair, struck_at, newest))

    def _replace(self, machine: Machine) -> bool:
        """A new machine at a new address takes the place of one that goes, with a word or without."""
        if not self.may_lose(machine):
            return False
        self._replacements += 1
        new = Machine(f"10.1.{self._replacements}.1", self.random)
        self.machines[new.ip] = new
        self.trouble(new, self.now)
        self.start(new)
        self.trouble(machine, self.now + CATCH_UP_S)
        leave = self.random.choice([self._remove, self._retire_for_good])
        self.at(self.random.uniform(0.5, 3.0), partial(leave, machine))
        self.seeds = tuple(ip for ip, one in self.machines.items() if not one.is_removed and one is not machine)[:3]
        return True

    def run(self) -> World:
        """Run until enough changes were acknowledged."""
        self.at(1.0, self.fault)
        while self.judge.acks < CHANGES or sum(self.cases.values()) < FAULTS:
            self.run_until(self.now + 1.0)
            if self.now > LONGEST_S:
                raise Violation(f"{self.judge.acks} changes in {self.now} s")
        self.heal()
        self._recovers()
        return self


@pytest.mark.parametrize("seed", SEEDS)
def test_a_member_restarted_wiped_or_replaced_is_in_step_from_one_message(seed: int) -> None:
    world = LongWorld(seed)
    world.run()
    ended = [one for one in world.starts if one.took_s is not None]
    cases = Counter(f"{one.case} {one.place}" for one in ended)
    took = sorted(one.took_s or 0.0 for one in ended)
    first = [one for one in world.starts if one.first_value is not None]
    newest_missed = [one for one in first if one.began_with < one.newest]
    cases |= Counter({"took a value after missing some": len(newest_missed)})
    cases |= Counter({"took a value with an empty disk": sum(not one.began_with for one in newest_missed)})
    repairs = sorted(world.repairs_s)
    print(seed, world.judge.acks, f"{world.now:.0f} s", dict(world.cases), dict(cases))
    print(f"in step: median {took[len(took) // 2]:.2f} s, longest {took[-1]:.2f} s of {len(took)}")
    print(
        f"copies whole again: median {repairs[len(repairs) // 2]:.2f} s, longest {repairs[-1]:.2f} s of {len(repairs)}"
    )
    assert world.judge.acks >= CHANGES and len(ended) == len(world.starts)
    assert took[-1] < CATCH_UP_S  # there, half of the least that the pages allow
    assert repairs[-1] < CATCH_UP_S
    # One message brought each in step: the first value that it took is none of the past.
    assert [one.first_value for one in newest_missed if (one.first_value or 0) < one.newest] == []
    for strike in ("_kill", "_power", "_wipe", "_replace"):
        assert world.cases[strike] and world.cases[f"{strike} of the primary"], strike
    assert cases["restarted copy"] and cases["restarted witness"]
    assert cases["wiped or new witness"] + cases["wiped or new spare"]
    assert cases["took a value after missing some"] and cases["took a value with an empty disk"]


class ForgetsItsValue(ConsensusReplica):
    """A planted fault: the value on the disk is not read again, while the votes are."""

    def __init__(self, settings: ConsensusSettings, stored: Mapping[str, bytes], random: Random, now: float) -> None:
        super().__init__(settings, {key: kept for key, kept in stored.items() if key != "value"}, random, now)


def test_a_member_that_restarts_with_old_state_and_leads_is_found() -> None:
    with pytest.raises((Violation, InvariantBroken)):
        LongWorld(SEEDS[0], ForgetsItsValue).run()
