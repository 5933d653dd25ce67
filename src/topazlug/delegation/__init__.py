"""Serving of requests by another daemon of the fleet, the delegate."""
