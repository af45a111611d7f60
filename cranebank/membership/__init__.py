"""Fleet membership: merging of backend records, links to controllers, and gossip between proxies."""
