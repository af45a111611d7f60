"""Custody of the configuration, epochs, registry and delivery."""
