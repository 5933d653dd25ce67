"""Connections to targets, their answers, which ones there are."""
