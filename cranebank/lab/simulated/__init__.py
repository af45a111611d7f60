"""The laboratory in simulated time: same scenarios, models, rules layer and judge, for fleets too large for sockets."""
