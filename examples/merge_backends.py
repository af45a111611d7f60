"""Use membership on its own: records of a backend merge to the same result in any order of arrival."""

from itertools import permutations

from cranebank.membership.backends import newer
from cranebank.transport.messages import Backend

RECORDS = [
    Backend("i-1", "chat", "10.0.0.1:80", "a", "decode", 16, phase, seq)
    for phase, seq in (("ready", 4), ("draining", 5), ("ready", 3))
]
final_phases = set()
for order in permutations(RECORDS):
    merged = None
    for record in order:
        if newer(merged, record):
            merged = record
    assert merged is not None
    final_phases.add(merged.phase)
print("phase after any order of arrival:", final_phases)
