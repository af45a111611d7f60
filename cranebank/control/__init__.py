"""Control plane: consensus, epochs, the registry of backends, deliveries to proxies, and the APIs."""
