"""The configuration of a proxy as typed values: the platform's JSON and our own settings."""
