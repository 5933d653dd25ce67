"""A randomized soak: the real daemons as processes, faults from outside.

It checks what callers and replicas see against the promises of the platform's
pages. `python -m soak --help` lists its options.
"""
