"""What a daemon may be told to do without.

Each word switches off one mechanism, so that its worth can be measured on a
deployment, and so that it can be taken out of service should it do harm.
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
    OUTLIER_EJECTION = "holding-out"
    RESERVATIONS = "kept-places"
    OWNERS = "owners"
    RANK_LIMITS = "rank-limits"
    RESUMPTION = "resumption"
    EARLY_RETRIES = "second-tries"
    ADMISSION_WAIT = "waiting"


DisabledMechanisms = frozenset[Mechanism]
NONE_DISABLED: DisabledMechanisms = frozenset()


def parse_disabled(words: Iterable[str]) -> DisabledMechanisms:
    """Give the mechanisms that words name.

    Raises
    ------
    SettingsInvalid
        A word names none.
    """
    known = {mechanism.value: mechanism for mechanism in Mechanism}
    named = [word.strip() for word in words if word.strip()]
    unknown = sorted(set(named) - set(known))
    if unknown:
        raise _errors.SettingsInvalid(
            f"{', '.join(unknown)} can't be switched off; "
            f"what can: {', '.join(sorted(known))}"
        )
    return frozenset(known[word] for word in named)
