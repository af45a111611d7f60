"""The routing table from the discovery service."""
