"""Calls through the project's own interface: chats and service calls."""
