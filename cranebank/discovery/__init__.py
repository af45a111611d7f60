"""Where the routing table comes from."""
