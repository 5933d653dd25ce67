"""One request of the product's own interface: attempts, streams, outcome."""
