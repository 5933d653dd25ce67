"""Comparisons of policies, mechanisms and faults; timed guarantees."""
