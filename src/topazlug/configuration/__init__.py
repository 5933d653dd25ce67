"""The operators' table: rows, checks, edits, and their propagation."""
