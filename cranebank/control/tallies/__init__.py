"""Tallies: sums that every controller adds to and reads at any time, also without a majority.

An add counts once by its id, wherever and however often it comes. The cores here are free of I/O and of a clock.
"""
