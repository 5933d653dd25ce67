"""The administration API for operators, and its web page."""
