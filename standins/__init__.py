"""Stand-ins for the systems around the daemons, with fault injection.

They are not part of a release; tests and benchmarks run them as
``python -m standins engine|service|platform|relay``.
"""
