"""What a proxy is told: the platform's JSON and our own settings, as typed values."""
