"""Admission control for one replica: limits, reservations and backoff.

Nothing here sends, receives or waits. Each decision takes the time and the
observations as arguments, so that tests can replay a load.
"""
