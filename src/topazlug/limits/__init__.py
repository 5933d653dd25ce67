"""Ceilings of teams over the whole fleet, and fair queues."""
