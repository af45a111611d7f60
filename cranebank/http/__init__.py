"""HTTP/1.1 on both sides of the engine: towards clients and towards upstream hosts."""
