"""Deployments as processes on loopback, with their links and monitoring."""
