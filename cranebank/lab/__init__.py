"""The laboratory: stand-in fleet, load, faults, judge and experiments. The proxy imports nothing of it."""
