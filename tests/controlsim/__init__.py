"""A simulation of the whole control side: real controllers and links on a simulated clock, network and disk."""
