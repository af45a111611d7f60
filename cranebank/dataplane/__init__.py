"""The data plane: sends clients' requests to backends. Routes, choice of backends, streams and retries."""
