"""A randomized soak test that injects faults into real daemon processes.

It checks what callers and replicas observe against the guarantees in the
platform's documentation. `python -m soak --help` lists its options.
"""
