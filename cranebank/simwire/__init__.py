"""The simulator's wire format, and the adapter that runs the decision module on it."""
