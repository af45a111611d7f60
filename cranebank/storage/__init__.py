"""An append-only file of checksummed records."""
