"""The operators' interface: HTTP, rows, status, the page."""
