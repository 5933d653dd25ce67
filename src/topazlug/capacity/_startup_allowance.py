"""What an owner admits just after its start, before it has the mean load.

Load pattern: all daemons lose power, and all callers return at the same time.
Owners count from zero. The first request to a replica puts it over the bound,
which is a multiple of a mean near zero. If these requests were sent elsewhere,
half of the chats would have their contexts read again by nearly idle replicas.
"""

from typing import final

# After this time the reports of all owners have been added up, and the
# callers that returned at the same time are served or gone.
_STARTUP_SECONDS = 2.5


@final
class StartupAllowance:
    """Admits requests up to a fixed load while an owner has just started.

    Parameters
    ----------
    fraction : float
        Fraction of a replica's slots up to which requests are admitted
        regardless of the mean; 0 for no allowance.
    started_at : float
        Monotonic time in seconds at which the owner started.
    """

    def __init__(self, *, fraction: float, started_at: float) -> None:
        self._fraction = fraction
        self._until = started_at + _STARTUP_SECONDS

    def limit(self, slots: int, *, now: float) -> int:
        """Return the load that is admitted regardless of the mean."""
        return int(slots * self._fraction) if now < self._until else 0
