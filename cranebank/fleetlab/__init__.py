"""A laboratory that runs the whole system on loopback, with model backends, clients, an operator and a judge."""
