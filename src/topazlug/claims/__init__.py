"""Claims, which ensure that a request is executed at most once."""
