"""Members restarted, wiped and replaced at random points during 1,000 changes: one message brings them up to date.

The consensus replicas run over the simulated network, disks and clocks of `simulated_control`, whose judge also checks
that no primary has an older value than the acknowledged one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial
from random import Random

import pytest
from simulated_control import CATCH_UP_S, Machine, Process, Violation, World

from cranebank.control import events as ev
from cranebank.control.consensus_replica import ConsensusReplica, ConsensusSettings, InvariantBroken

CHANGES = 1000
FAULTS = 60  # at least so many, one after the other
LONGEST_S = 2000.0
REPAIR_LOOK_S = 0.02
SEEDS = (3, 7, 12)


class Catchup:
    """A started member: the newest acknowledged revision at its start, and when the member was up to date."""

    def __init__(self, process: Process, case: str, newest: int, started: float) -> None:
        self.process, self.case, self.newest, self.started = process, case, newest, started
        self.began_with = process.replica.status(0.0).revision
        self.took_s: float | None = None
        self.place = ""
        self.first_value: int | None = None  # the first revision that it received


class LongWorld(World):
    """Continuous changes while one member at a time is restarted, wiped or replaced."""

    def __init__(self, seed: int, kind: type[ConsensusReplica] = ConsensusReplica) -> None:
        super().__init__(seed, kind)
        self.loss_probability = self.duplicate_probability = self.reorder_probability = (
            self.action_fault_probability
        ) = 0.0
        self.starts: list[Catchup] = []
        self.cases: Counter[str] = Counter()
        self._replacements = 0
        self._without_value: dict[Process, Catchup] = {}
        self.repairs_s: list[float] = []
        self._watched: dict[Process, Catchup] = {}

    def start(self, machine: Machine) -> None:
        """Start a machine's process and watch it until it is up to date."""
        case = "wiped or new" if not machine.disk else "restarted"
        was_down = machine.process is None
        super().start(machine)
        process = machine.process
        if process is not None and was_down and self.now > 0.5:
            watched = Catchup(process, case, self.judge.newest, self.now)
            self._watched[process] = self._without_value[process] = watched
            self.starts.append(watched)
            self._check_up_to_date(process)

    def deliver(self, process: Process, event: ev.Event) -> None:
        """Pass an event to a process and check whether that has brought it up to date."""
        super().deliver(process, event)
        self._check_up_to_date(process)

    def _check_up_to_date(self, process: Process) -> None:
        revision = process.replica.status(0.0).revision
        started = self._without_value.get(process)
        if started is not None and revision != started.began_with:
            started.first_value = revision
            del self._without_value[process]
        watched = self._watched.get(process)
        if watched is None:
            return
        place = "copy" if revision >= watched.newest else self._place_without_value(process)
        if place is not None:
            watched.place = place
            watched.took_s = self.now - watched.started
            del self._watched[process]

    def _place_without_value(self, process: Process) -> str | None:
        """Return the process's place in the primary's record if it need not hold the value, else None."""
        primary = self.primary()
        record = primary.replica.record if primary is not None else None
        if record is None:
            return None
        present = {node.process.replica.id for node in self.machines.values() if node.process is not None}
        if process.replica.id not in record.members:
            return "spare" if present.issuperset(record.members) else None
        is_told = record == process.replica.record
        return "witness" if is_told and process.replica.id not in record.copies else None

    def fault(self) -> None:
        """Inject a fault into one member, and into the next one once this one has caught up."""
        if self._is_over:
            return
        self.at(self.random.uniform(0.5, 2.0), self.fault)
        if any(self.now < node.troubled_until for node in self.machines.values()):
            return
        primary = self.primary()
        present = [node for node in self.machines.values() if not node.is_removed]
        machine = self.random.choice(present)
        faults: list[Callable[[Machine], bool]] = [self._kill, self._lose_power, self._wipe, self._replace]
        fault = self.random.choice(faults)
        hits_primary = primary is not None and machine is primary.machine
        newest = self.judge.newest
        if fault(machine):
            if fault != self._replace:
                self.at(0.0, partial(self._watch_repair, self.now, newest))
            self.cases[fault.__name__ + (" of the primary" if hits_primary else "")] += 1

    def _watch_repair(self, injected_at: float, newest: int) -> None:
        """Record when enough live members hold copies of the change acknowledged before the fault."""
        primary = self.primary()
        record = primary.replica.record if primary is not None else None
        holding = {
            node.process.replica.id
            for node in self.machines.values()
            if node.process is not None and node.process.replica.status(0.0).revision >= newest
        }
        if record is not None and len(holding & set(record.copies)) > self.tolerance:
            self.repairs_s.append(self.now - injected_at)
        else:
            self.at(REPAIR_LOOK_S, partial(self._watch_repair, injected_at, newest))

    def _replace(self, machine: Machine) -> bool:
        """Replace a machine by a new one at a new address; the old one retires, or is lost without notice."""
        if not self.may_lose(machine):
            return False
        self._replacements += 1
        new = Machine(f"10.1.{self._replacements}.1", self.random)
        self.machines[new.ip] = new
        self.trouble(new, self.now)
        self.start(new)
        self.trouble(machine, self.now + CATCH_UP_S)
        leave = self.random.choice([self._remove, self._retire_and_remove])
        self.at(self.random.uniform(0.5, 3.0), partial(leave, machine))
        self.seeds = tuple(ip for ip, node in self.machines.items() if not node.is_removed and node is not machine)[:3]
        return True

    def run(self) -> World:
        """Run until enough changes were acknowledged."""
        self.at(1.0, self.fault)
        while self.judge.acks < CHANGES or sum(self.cases.values()) < FAULTS:
            self.run_until(self.now + 1.0)
            if self.now > LONGEST_S:
                raise Violation(f"{self.judge.acks} changes in {self.now} s")
        self.heal()
        self._check_recovery()
        return self


@pytest.mark.parametrize("seed", SEEDS)
def test_a_member_restarted_wiped_or_replaced_is_in_step_from_one_message(seed: int) -> None:
    world = LongWorld(seed)
    world.run()
    ended = [start for start in world.starts if start.took_s is not None]
    cases = Counter(f"{start.case} {start.place}" for start in ended)
    took = sorted(start.took_s or 0.0 for start in ended)
    first = [start for start in world.starts if start.first_value is not None]
    newest_missed = [start for start in first if start.began_with < start.newest]
    cases |= Counter({"took a value after missing some": len(newest_missed)})
    cases |= Counter({"took a value with an empty disk": sum(not start.began_with for start in newest_missed)})
    repairs = sorted(world.repairs_s)
    print(seed, world.judge.acks, f"{world.now:.0f} s", dict(world.cases), dict(cases))
    print(f"in step: median {took[len(took) // 2]:.2f} s, longest {took[-1]:.2f} s of {len(took)}")
    print(
        f"copies whole again: median {repairs[len(repairs) // 2]:.2f} s, longest {repairs[-1]:.2f} s of {len(repairs)}"
    )
    assert world.judge.acks >= CHANGES and len(ended) == len(world.starts)
    assert took[-1] < CATCH_UP_S  # half of the shortest time that the operators' guide allows
    assert repairs[-1] < CATCH_UP_S
    # One message brought each member up to date: the first value that it received was not outdated.
    assert [start.first_value for start in newest_missed if (start.first_value or 0) < start.newest] == []
    for fault in ("_kill", "_lose_power", "_wipe", "_replace"):
        assert world.cases[fault] and world.cases[f"{fault} of the primary"], fault
    assert cases["restarted copy"] and cases["restarted witness"]
    assert cases["wiped or new witness"] + cases["wiped or new spare"]
    assert cases["took a value after missing some"] and cases["took a value with an empty disk"]


class ForgetsItsValue(ConsensusReplica):
    """Planted fault: after a restart the votes are read from the disk, but the value is not."""

    def __init__(self, settings: ConsensusSettings, stored: Mapping[str, bytes], random: Random, now: float) -> None:
        super().__init__(settings, {key: kept for key, kept in stored.items() if key != "value"}, random, now)


def test_a_member_that_restarts_with_old_state_and_leads_is_found() -> None:
    with pytest.raises((Violation, InvariantBroken)):
        LongWorld(SEEDS[0], ForgetsItsValue).run()
