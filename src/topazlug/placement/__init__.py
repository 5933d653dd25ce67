"""Chooses the replica for a forwarded request by load, health and context.

The owners' counts take precedence over this daemon's own view. The hash
ranking and the implementation of owners are in `routing`.
"""
