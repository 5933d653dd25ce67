"""Stand-ins for the systems around the daemons, with switchable faults.

They ship with no release: tests and benches run them as
``python -m standins engine|service|platform|relay``.
"""
