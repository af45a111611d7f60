"""The simulator's wire and the adapter that hosts the decision module on it."""
