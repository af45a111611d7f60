"""The proxy on sockets around the decision module: an engine, and HTTP on both of its sides."""
