"""Decisions of the owner role that can be switched on and off."""

from typing import final

import msgspec


@final
class OwnerFeatures(msgspec.Struct, frozen=True, kw_only=True):
    """Which of its optional decisions an owner makes.

    Attributes
    ----------
    replica_speed : bool
        Whether limits of replicas follow their speed. Has no effect on
        replicas that do not report how slow they are. Off in the daemon
        unless it is asked for.
    prompt_reads : bool
        Whether prompts are read where that delays the fewest streams. Has no
        effect on replicas that do not report how slow they are.
    fair_shares : bool
        Whether teams share a replica's capacity fairly while it is short.
    """

    replica_speed: bool = True
    prompt_reads: bool = True
    fair_shares: bool = False


DEFAULT_FEATURES = OwnerFeatures()
