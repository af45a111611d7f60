"""The command line. Nothing here is imported where the platform starts the proxy."""
