"""Comparisons of policies, mechanisms and disturbances; timed guarantees."""
