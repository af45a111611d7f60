"""Framing, messages and long-lived connections between the system's own processes."""
