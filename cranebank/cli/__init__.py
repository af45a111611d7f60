"""The command line. The proxy that the platform starts imports none of it."""
