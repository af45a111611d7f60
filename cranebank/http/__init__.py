"""HTTP/1.1 on both sides of the engine: the acquirer side and the issuer hosts."""
