"""Control alone: three replicas agree on who keeps a value, in one loop, without sockets, disks or a real clock."""

from collections import deque
from random import Random

from cranebank.control import events
from cranebank.control.consensus_replica import ConsensusReplica, ConsensusSettings

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
clock = [0.0]  # seconds; only ``run`` moves it
nodes = {ip: ConsensusReplica(ConsensusSettings(ip, IPS, True, 1), {}, Random(ip), clock[0]) for ip in IPS}
waiting: deque[tuple[str, events.Event]] = deque()
answers: list[events.Result] = []


def do(ip: str, event: events.Event) -> None:
    """Give a replica an event and carry out what it asks for: every message arrives, every disk is quick."""
    for action in nodes[ip].handle(clock[0], event):
        match action:
            case events.Send(to, message):
                waiting.append((to, events.Received(ip, message)))
            case events.Persist(token, _):
                waiting.append((ip, events.Persisted(token)))
            case events.Answer(_, result):
                answers.append(result)


def run(seconds: float) -> None:
    """Let time pass."""
    end = clock[0] + seconds
    while clock[0] < end:
        for ip in IPS:
            do(ip, events.Tick())
        while waiting:
            do(*waiting.popleft())
        clock[0] += 0.05


run(3.0)
primary = next(ip for ip in IPS if nodes[ip].holds_lease(clock[0]))
do(primary, events.Write(1, 0, 5, b"a configuration", b"digest"))
run(0.5)
print("answered:", [type(answer).__name__ for answer in answers], "status:", nodes[primary].status(clock[0]).copies)
