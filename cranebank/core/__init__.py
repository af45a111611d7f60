"""What surrounds the decision module without speaking any protocol: engine, clock, mailbox, log."""
