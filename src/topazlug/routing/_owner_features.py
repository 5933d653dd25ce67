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
    context_recovery : bool
        Whether a new owner asks its replica which contexts it holds.
    shared_outcomes : bool
        Whether owners count the failures that all daemons see on a replica,
        and eject it for all of them.
    is_capacity_short : bool
        Whether the deployment's settings say that capacity is short at
        times. If not, `context_recovery` and `shared_outcomes` apply only
        to replicas that report how slow they are.
    """

    replica_speed: bool = True
    prompt_reads: bool = True
    fair_shares: bool = False
    context_recovery: bool = False
    shared_outcomes: bool = False
    is_capacity_short: bool = False


DEFAULT_FEATURES = OwnerFeatures()
