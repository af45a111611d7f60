"""Durable key-value storage in an append-only file of checksummed records."""
