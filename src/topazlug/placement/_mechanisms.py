"""Mechanisms of the daemon that can be switched on and off.

Each name switches off one mechanism, to measure its effect on a deployment or
to take it out of service if it causes harm.
"""

from collections.abc import Iterable
import enum

from topazlug import _errors


class Mechanism(enum.Enum):
    """A mechanism that can be switched on and off."""

    COPIES = "copies"
    CONTEXT_READS = "context-reads"
    CONTEXT_RECOVERY = "context-recovery"
    CRASH_GUARD = "crash-guard"
    DELEGATION = "delegation"
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
    SHARED_OUTCOMES = "shared-outcomes"
    ADMISSION_WAIT = "waiting"


DisabledMechanisms = frozenset[Mechanism]
NONE_DISABLED: DisabledMechanisms = frozenset()


# On the days that were measured, lower limits for slow replicas moved chats
# away from their contexts, and as many streams were late as without them.
OFF_BY_DEFAULT: DisabledMechanisms = frozenset({Mechanism.REPLICA_SPEED})


def parse_disabled(
    without: Iterable[str], *, with_: Iterable[str] = ()
) -> DisabledMechanisms:
    """Return the mechanisms that are switched off; blank names are ignored.

    Parameters
    ----------
    without : iterable of str
        Names of mechanisms to switch off.
    with_ : iterable of str
        Names of mechanisms to switch on that are off by default.

    Raises
    ------
    SettingsInvalid
        A name is unknown.
    """
    return (OFF_BY_DEFAULT - _parse_names(with_)) | _parse_names(without)


def _parse_names(names: Iterable[str]) -> DisabledMechanisms:
    known = {mechanism.value: mechanism for mechanism in Mechanism}
    named = [name.strip() for name in names if name.strip()]
    unknown = sorted(set(named) - set(known))
    if unknown:
        raise _errors.SettingsInvalid(
            f"unknown mechanisms: {', '.join(unknown)}; "
            f"those that can be switched: {', '.join(sorted(known))}"
        )
    return frozenset(known[name] for name in named)
