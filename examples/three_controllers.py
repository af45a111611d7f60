"""Use the control plane on its own: three replicas elect a primary and store a value, all simulated."""

from collections import deque
from random import Random

from cranebank.control import events
from cranebank.control.consensus_replica import ConsensusReplica, ConsensusSettings

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
clock = [0.0]  # seconds; only ``run`` advances it
nodes = {ip: ConsensusReplica(ConsensusSettings(ip, IPS, True, 1), {}, Random(ip), clock[0]) for ip in IPS}
in_transit: deque[tuple[str, events.Event]] = deque()
results: list[events.Result] = []


def handle(ip: str, event: events.Event) -> None:
    """Give a replica an event and carry out its actions; messages all arrive and writes complete at once."""
    for action in nodes[ip].handle(clock[0], event):
        match action:
            case events.Send(to, message):
                in_transit.append((to, events.Received(ip, message)))
            case events.Persist(token, _):
                in_transit.append((ip, events.Persisted(token)))
            case events.Answer(_, result):
                results.append(result)


def run(seconds: float) -> None:
    """Advance the clock, with a tick for each replica every 50 ms."""
    end = clock[0] + seconds
    while clock[0] < end:
        for ip in IPS:
            handle(ip, events.Tick())
        while in_transit:
            handle(*in_transit.popleft())
        clock[0] += 0.05


run(3.0)
primary = next(ip for ip in IPS if nodes[ip].holds_lease(clock[0]))
handle(primary, events.Write(1, 0, 5, b"a configuration", b"digest"))
run(0.5)
print("answered:", [type(result).__name__ for result in results], "status:", nodes[primary].status(clock[0]).copies)
