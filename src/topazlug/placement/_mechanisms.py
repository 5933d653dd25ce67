"""Mechanisms of the daemon that can be switched off.

Each name switches off one mechanism, to measure its effect on a deployment or
to take it out of service if it causes harm.
"""

from collections.abc import Iterable
import enum

from topazlug import _errors


class Mechanism(enum.Enum):
    """A mechanism that can be switched off."""

    COPIES = "copies"
    CONTEXT_READS = "context-reads"
    CRASH_GUARD = "crash-guard"
    DISPLACEMENT = "displaced"
    FAIR_SHARES = "fair-shares"
    OUTLIER_EJECTION = "holding-out"
    RESERVATIONS = "kept-places"
    OWNERS = "owners"
    PROMPT_READS = "prompt-reads"
    RANK_LIMITS = "rank-limits"
    REPLICA_SPEED = "replica-speed"
    RESUMPTION = "resumption"
    EARLY_RETRIES = "second-tries"
    ADMISSION_WAIT = "waiting"


DisabledMechanisms = frozenset[Mechanism]
NONE_DISABLED: DisabledMechanisms = frozenset()


def parse_disabled(names: Iterable[str]) -> DisabledMechanisms:
    """Return the mechanisms with the given names; blank names are ignored.

    Raises
    ------
    SettingsInvalid
        A name is unknown.
    """
    known = {mechanism.value: mechanism for mechanism in Mechanism}
    named = [name.strip() for name in names if name.strip()]
    unknown = sorted(set(named) - set(known))
    if unknown:
        raise _errors.SettingsInvalid(
            f"unknown mechanisms: {', '.join(unknown)}; "
            f"those that can be switched off: {', '.join(sorted(known))}"
        )
    return frozenset(known[name] for name in named)
