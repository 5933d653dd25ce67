"""Demo of the whole request path on loopback."""
