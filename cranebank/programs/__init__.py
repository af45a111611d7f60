"""Thin programs, one for each role."""
