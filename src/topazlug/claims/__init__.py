"""At most once: who runs a request that may not be repeated."""
