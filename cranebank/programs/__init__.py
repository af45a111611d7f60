"""The programs of the system, one for each role, and its commands."""
