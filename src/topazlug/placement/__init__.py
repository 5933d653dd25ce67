"""Where a forwarded request goes: replicas' load, health and contexts.

The counts of owners come first, this daemon's own view second. The hash
ranking and the owners' role themselves are in `routing`.
"""
