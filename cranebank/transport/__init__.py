"""Frames and held connections between the system's own processes."""
