"""The operators' table: rows, edits, revisions, who holds which."""
