"""The laboratory: stand-in fleet, load, faults, judge and experiments. The proxy doesn't import it."""
