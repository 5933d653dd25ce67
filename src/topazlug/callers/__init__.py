"""Callers' side of HTTP: listener, connections, requests and answers."""
