"""How slow a replica is at this moment, and how slow it usually is.

Load pattern: replicas share their machines with other work. Some are slower
than others for good, machines turn slow for seconds, and each has slow moments
of a few tenths of a second.
"""

from typing import final

# Older figures say nothing of the present moment: two figures of one replica
# correlate by .5 at this distance, and by .2 at twice the distance.
_CURRENT_SECONDS = 0.4
# Weight of a new figure in the average.
_SMOOTHING = 0.1
_NOT_SLOW = 1.0


@final
class ReplicaSpeed:
    """Slowness of one replica, from the figures that it reports.

    A slowness of 1.0 means that work takes as long as usual.

    Attributes
    ----------
    is_reported : bool
        Whether the replica has reported its slowness.
    """

    def __init__(self) -> None:
        self.is_reported = False
        self._last = _NOT_SLOW
        self._last_at = 0.0
        self._average = _NOT_SLOW

    def record(self, slowness: float, *, now: float) -> None:
        """Record a figure that the replica has just reported."""
        if not self.is_reported:
            self._average = slowness
        self.is_reported = True
        self._last = slowness
        self._last_at = now
        self._average += _SMOOTHING * (slowness - self._average)

    def current(self, *, now: float) -> float:
        """Return the slowness to assume for work that starts now."""
        if not self.is_reported:
            return _NOT_SLOW
        if now - self._last_at <= _CURRENT_SECONDS:
            return self._last
        return self._average

    def sustained(self, *, now: float) -> float:
        """Return the slowness over about a second."""
        return self._average
