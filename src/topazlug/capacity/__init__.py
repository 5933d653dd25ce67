"""Decides what a replica takes on: how work waits and is turned away.

Nothing in here sends, receives or waits. Each decision is asked with the time
and what has been observed, and is driven by a replay of load in its tests.
"""
