"""Loads, experiments and the demo; not part of what ships."""
