"""What an owner lets in just after its start, before it knows the mean load.

Load pattern: all daemons lose power, and all callers come back at once. Owners
count from nothing: each first request makes its home the fullest replica, over
any multiple of a mean near zero. Sent elsewhere, half of the chats would have
their contexts read again by replicas that are all but idle.
"""

from typing import final

# By then the reports of all owners have been added up, and callers that all
# came at once are served or gone.
_STARTING_SECONDS = 2.5


@final
class StartAllowance:
    """Gives room on a replica while its owner has just started.

    Parameters
    ----------
    part : float
        Part of the replica's slots; 0 for none.
    started_at : float
        Monotonic seconds.
    """

    def __init__(self, *, part: float, started_at: float) -> None:
        self._part = part
        self._until = started_at + _STARTING_SECONDS

    def limit(self, slots: int, *, now: float) -> int:
        """Give the load that is let in whatever the mean is."""
        return int(slots * self._part) if now < self._until else 0
