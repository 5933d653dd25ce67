"""What an owner admits just after its start, before it has the mean load.

Load pattern: all daemons lose power, and all callers return at the same time.
Owners count from zero: each first request makes its home the fullest replica,
over any multiple of a mean near zero. Sent elsewhere, half of the chats would
have their contexts read again by replicas that are nearly idle.
"""

from typing import final

# After this time the reports of all owners have been added up, and the
# callers that returned at the same time are served or gone.
_STARTING_SECONDS = 2.5


@final
class StartAllowance:
    """Admits requests up to a fixed load while an owner has just started.

    Parameters
    ----------
    fraction : float
        Fraction of the replica's slots; 0 to admit none.
    started_at : float
        Monotonic seconds.
    """

    def __init__(self, *, fraction: float, started_at: float) -> None:
        self._fraction = fraction
        self._until = started_at + _STARTING_SECONDS

    def limit(self, slots: int, *, now: float) -> int:
        """Return the load that is admitted regardless of the mean."""
        return int(slots * self._fraction) if now < self._until else 0
