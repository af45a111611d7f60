"""Tallies: replicated sums that every controller can add to and read at any time, even without a majority.

Each add counts once by its id, wherever and however often it is received. The modules here have no I/O and no clock.
"""
