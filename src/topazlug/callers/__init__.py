"""Callers' connections: listener, heads, bodies, answers."""
