"""Targets: directory, state, connections, requests and their answers."""
