"""Requests from clients to pairs of backends: routes, choice, streams, retries."""
