"""How long work takes on a replica that shares its instance."""

import math
import random

_USUAL_PERCENT = 100
_SLOWER_PERCENT = 130
_SLOWER_PROBABILITY = 1 / 3
_SLOW_FACTOR = 2.5
_EPISODE_SECONDS = 0.4
# Episodes take one tenth of the time.
_MEAN_GAP_SECONDS = 3.6


class Slowness:
    """The slowness of one replica.

    Parameters
    ----------
    seed : int
        Determines the usual slowness and the episodes.
    varies : bool
        Whether the usual slowness may be above 100 percent, and whether there
        are episodes.
    now : float
        Current time in seconds.

    Attributes
    ----------
    is_slow : bool
        Whether its instance is slow at this moment. Episodes come on top.
    """

    def __init__(self, *, seed: int, varies: bool, now: float) -> None:
        self.is_slow = False
        self._random = random.Random(f"slowness {seed}")
        self._usual = _USUAL_PERCENT
        if varies and self._random.random() < _SLOWER_PROBABILITY:
            self._usual = _SLOWER_PERCENT
        self._episode_begins = math.inf
        self._episode_ends = now if varies else math.inf

    def percent(self, *, now: float) -> int:
        """Return how long work takes now, in percent of the usual time."""
        percent = float(self._usual)
        if self.is_slow:
            percent *= _SLOW_FACTOR
        if self._is_in_episode(now):
            percent *= _SLOW_FACTOR
        return round(percent)

    def _is_in_episode(self, now: float) -> bool:
        while now >= self._episode_ends:
            gap = self._random.expovariate(1 / _MEAN_GAP_SECONDS)
            self._episode_begins = self._episode_ends + gap
            self._episode_ends = self._episode_begins + _EPISODE_SECONDS
        return now >= self._episode_begins
