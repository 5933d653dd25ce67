"""Limits of a replica while it is slow, and when that is worth a log line.

Load pattern: a replica that takes 2.5 times as long for its work holds as many
requests as the others, and all of them are late.
"""

import enum
import math
from typing import final

# Slowness at which lowered limits are notable, and at which they are notable
# no longer. A usual slowness of 1.3 is below both.
_BEGIN_SLOWNESS = 1.75
_END_SLOWNESS = 1.4
# Changes are at least this far apart, so that each replica causes at most one
# log line in this time.
_MIN_PHASE_SECONDS = 2.0


def divide(limit: int, slowness: float) -> int:
    """Return a limit divided by a slowness, but at least 1.

    The result is rounded to the nearest number: if it was rounded down, a
    slowness of 1.02 would take away half of a limit of 2.
    """
    divided = math.floor(limit / max(1.0, slowness) + 0.5)
    return min(limit, max(1, divided))


class PhaseChange(enum.Enum):
    """A change to or from notably lowered limits."""

    BEGAN = enum.auto()
    ENDED = enum.auto()


@final
class SlowPhase:
    """Whether the limits of one replica are notably lowered.

    Attributes
    ----------
    is_slow : bool
        Whether they are.
    """

    def __init__(self) -> None:
        self.is_slow = False
        self._changed_at = -math.inf

    def update(self, slowness: float, *, now: float) -> PhaseChange | None:
        """Apply a sustained slowness; return the change that it causes."""
        if now - self._changed_at < _MIN_PHASE_SECONDS:
            return None
        if not self.is_slow and slowness >= _BEGIN_SLOWNESS:
            self.is_slow = True
            self._changed_at = now
            return PhaseChange.BEGAN
        if self.is_slow and slowness <= _END_SLOWNESS:
            self.is_slow = False
            self._changed_at = now
            return PhaseChange.ENDED
        return None
