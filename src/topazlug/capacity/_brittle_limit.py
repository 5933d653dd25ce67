"""How many requests an owner lets a brittle replica hold.

Load pattern: a replica that has to reject more than a few requests in a
second for want of room crashes, and its load moves to the others, which crash
in turn. Its queue may be short or absent, so it must not be sent more than it
runs at a time, and the first rejections must end what is sent.
"""

import collections
import math
from typing import final

# For how long a replica counts as brittle after an entry daemon said so.
_LIFETIME_SECONDS = 3.0
# The replica counts its rejections over this time.
_WINDOW_SECONDS = 1.0
# Time without a rejection after which the limit rises by one step.
_RISE_SECONDS = 1.0
# Part of the slots by which the limit falls and rises, at least one request.
_STEP_FRACTION = 1 / 16
# Part of the tolerated rejections after which nothing is sent for a window:
# those that are under way may be rejected too.
_CLOSING_FRACTION = 0.5


@final
class BrittleLimit:
    """Limit of one replica while it is brittle."""

    def __init__(self) -> None:
        self._active_until = -math.inf
        self._tolerated = 0
        self._lowered_by = 0
        self._changed_at = -math.inf
        self._closed_until = -math.inf
        self._rejected_at: collections.deque[float] = collections.deque()

    def record_brittle(self, tolerated: int, *, now: float) -> None:
        """Record that the replica is brittle.

        Parameters
        ----------
        tolerated : int
            Requests that it can reject within a second without a crash.
        now : float
            Monotonic seconds.
        """
        self._tolerated = tolerated
        self._active_until = now + _LIFETIME_SECONDS

    def is_active(self, *, now: float) -> bool:
        """Return whether the replica counts as brittle."""
        return now < self._active_until

    def record_rejection(self, slots: int, *, now: float) -> None:
        """Record that the replica has rejected a request.

        Parameters
        ----------
        slots : int
            Requests that it runs at a time.
        now : float
            Monotonic seconds.
        """
        self._rejected_at.append(now)
        while self._rejected_at[0] <= now - _WINDOW_SECONDS:
            self._rejected_at.popleft()
        self._lowered_by = min(self._lowered_by + _step(slots), slots - 1)
        self._changed_at = now
        closing = max(1.0, self._tolerated * _CLOSING_FRACTION)
        if len(self._rejected_at) >= closing:
            self._closed_until = now + _WINDOW_SECONDS

    def limit(self, slots: int, *, now: float) -> int:
        """Return how many requests the replica may hold.

        Parameters
        ----------
        slots : int
            Requests that it runs at a time.
        now : float
            Monotonic seconds.
        """
        if now < self._closed_until:
            return 0
        if now - self._changed_at >= _RISE_SECONDS and self._lowered_by:
            # Time counts without requests, too: after an idle minute a
            # replica is not held to what it rejected before.
            steps = int((now - self._changed_at) / _RISE_SECONDS)
            self._lowered_by = max(0, self._lowered_by - steps * _step(slots))
            self._changed_at = now
        return slots - self._lowered_by

    def closed_for(self, *, now: float) -> float:
        """Return the seconds for which nothing may be sent."""
        return max(0.0, self._closed_until - now)


def _step(slots: int) -> int:
    return max(1, int(slots * _STEP_FRACTION))
