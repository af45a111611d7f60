"""Tally replicas with simulated disks, links, partitions, restarts and time, for tests without I/O."""

from __future__ import annotations

from collections import deque

from cranebank.control.tallies.replica import AddPosition, Message, TallyReplica, TallyReplicaSettings

TALLY = "t"
SETTLE_S = 6.0
TICK_S = 0.1


class Machine:
    """A replica, its disk, and the calls acknowledged in its current life."""

    def __init__(self, name: str, copies: int) -> None:
        self.name, self.copies, self.life = name, copies, 0
        self.disk: dict[str, bytes] = {}
        self.writing: dict[str, bytes] = {}
        self.waiting: dict[str, AddPosition] = {}
        self.acknowledged: set[str] = set()

    def start(self, now: float, others: list[str]) -> None:
        """Start a new life from the contents of the disk."""
        self.life += 1
        settings = TallyReplicaSettings(f"{self.name}{self.life}", self.name, self.copies, 1, self.life == 1)
        self.replica = TallyReplica(settings, self.disk, now)
        self.replica.set_replicas(others, others)
        self.writing, self.waiting, self.acknowledged = {}, {}, set()


class World:
    """Machines that are linked in a full mesh, except where links are cut."""

    def __init__(self, names: str, copies: int) -> None:
        self.now = 0.0
        self.machines = {name: Machine(name, copies) for name in names}
        self.cuts: set[frozenset[str]] = set()
        self.queues: dict[tuple[str, str], deque[Message]] = {}
        self.sent: dict[str, int] = {}
        """Amounts of all adds that may count, by id."""
        self.ever_acknowledged: set[str] = set()
        for machine in self.machines.values():
            machine.start(self.now, self.others(machine.name))
        for one in names:
            for other in names:
                if one < other:
                    self.link(one, other)

    def others(self, name: str) -> list[str]:
        """Return all other machines."""
        return [other for other in self.machines if other != name]

    def is_linked(self, one: str, other: str) -> bool:
        """Whether two machines can reach each other."""
        return frozenset((one, other)) not in self.cuts

    def link(self, one: str, other: str) -> None:
        """Open a new connection unless it is cut."""
        self.queues[one, other], self.queues[other, one] = deque(), deque()
        if self.is_linked(one, other):
            self.machines[one].replica.linked(self.now, other)
            self.machines[other].replica.linked(self.now, one)
            self.collect(one)
            self.collect(other)

    def unlink(self, one: str, other: str) -> None:
        """Close a connection and drop the messages in transit on it."""
        self.queues[one, other], self.queues[other, one] = deque(), deque()
        self.machines[one].replica.unlinked(other)
        self.machines[other].replica.unlinked(one)

    def collect(self, name: str) -> None:
        """Carry out a replica's messages and writes, and record the calls that it acknowledges."""
        machine = self.machines[name]
        for other, message in machine.replica.pop_messages():
            self.queues[name, other].append(message)
        if not machine.writing:
            machine.writing = machine.replica.take_writes()
        for call, placed in list(machine.waiting.items()):
            if machine.replica.acknowledged_upto(self.now, placed.origin) >= placed.number:
                del machine.waiting[call]
                machine.acknowledged.add(call)
                self.ever_acknowledged.add(call)
        machine.replica.check()
        self.check(machine)

    def check(self, machine: Machine) -> None:
        """Check that the total is not too high, and includes what this life has acknowledged."""
        total = machine.replica._state.total(TALLY)
        assert sum(self.sent[call] for call in machine.acknowledged) <= total <= sum(self.sent.values())

    def add(self, name: str, call: str, amount: int) -> None:
        """Make a call at a machine."""
        self.sent.setdefault(call, amount)
        placed = self.machines[name].replica.add(self.now, TALLY, call, self.sent[call])
        assert isinstance(placed, AddPosition)
        self.machines[name].waiting[call] = placed
        self.collect(name)

    def deliver(self, source: str, target: str) -> None:
        """Deliver the next message on a connection."""
        if self.queues[source, target]:
            self.machines[target].replica.receive(self.now, source, self.queues[source, target].popleft())
            self.collect(target)

    def deliver_all(self) -> None:
        """Deliver all messages in transit, and the replies to them."""
        for _ in range(2):
            for source, target in list(self.queues):
                while self.queues[source, target]:
                    self.deliver(source, target)

    def store(self, name: str, is_refused: bool = False) -> None:
        """Complete a machine's pending write, or refuse it."""
        machine = self.machines[name]
        if not machine.writing:
            return
        if is_refused:
            machine.replica.refused()
        else:
            machine.disk = {**machine.disk, **machine.writing}
            machine.replica.stored()
        machine.writing = {}
        self.collect(name)

    def cut(self, one: str, other: str) -> None:
        """Cut the link between two machines."""
        if one != other and self.is_linked(one, other):
            self.unlink(one, other)
            self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Restore all cut links."""
        for one, other in [sorted(cut) for cut in self.cuts]:
            self.cuts.discard(frozenset((one, other)))
            self.link(one, other)

    def restart(self, name: str, is_wiped: bool = False) -> None:
        """Power-cycle a machine, optionally wiping its disk."""
        for other in self.others(name):
            self.unlink(name, other)
        if is_wiped:
            self.machines[name].disk = {}
        self.machines[name].start(self.now, self.others(name))
        for other in self.others(name):
            self.link(name, other)

    def tick(self, seconds: float) -> None:
        """Advance the time and tick all replicas."""
        self.now += seconds
        for name in self.machines:
            heard = {other: self.now for other in self.others(name) if self.is_linked(name, other)}
            self.machines[name].replica.tick(self.now, heard)
            self.collect(name)

    def settle(self) -> None:
        """Run for a while with all messages delivered and all writes completed."""
        for _ in range(round(SETTLE_S / TICK_S)):
            self.tick(TICK_S)
            for _ in range(2):
                self.deliver_all()
                for name in self.machines:
                    self.store(name)

    def totals(self) -> set[int | None]:
        """Return the distinct totals of the machines."""
        return {machine.replica.total(self.now, TALLY) for machine in self.machines.values()}
