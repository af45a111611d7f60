"""A small day of the whole system on loopback: model backends, clients, an operator, and a judge of what they saw."""
