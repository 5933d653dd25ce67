"""Detection and blocking of requests that crash replicas."""
