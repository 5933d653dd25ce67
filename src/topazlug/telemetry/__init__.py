"""Metrics: counted, shown and pushed."""
