"""The laboratory in simulated time: the same scenarios, models, rules layer and judge, at sizes sockets don't reach."""
