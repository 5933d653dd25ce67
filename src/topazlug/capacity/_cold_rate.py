"""How many requests a second the owner of a cold replica lets in.

A replica that has just started crashes well above the rate that it says it
stands. What counts is what all daemons send it together in any second.
"""

from typing import final

# Part of the rate, and requests beside it, that one owner lets in. While
# daemons don't agree on the owner two of them let in requests: together they
# stay below one and a half times the rate, and five.
_RATE_PART = 0.75
_BURST = 2.0


@final
class ColdRateLimiter:
    """Lets requests in at a rate, some at once.

    It begins with room for one: who takes over from an owner that has just
    let in what it may must not do the same again.
    """

    def __init__(self) -> None:
        self._room = 1.0
        self._at: float | None = None

    def has_capacity(self, tolerated: float, *, now: float) -> bool:
        """Say whether one more may be let in.

        Parameters
        ----------
        tolerated : float
            Requests a second that the replica stands.
        now : float
            Monotonic seconds.
        """
        if self._at is not None:
            gained = (now - self._at) * tolerated * _RATE_PART
            self._room = min(_BURST, self._room + gained)
        self._at = now
        return self._room >= 1.0

    def note_admitted(self) -> None:
        """Count one that was let in."""
        self._room -= 1.0

    def wait(self, tolerated: float) -> float:
        """Give the seconds after which there is room for one."""
        return max(0.0, 1.0 - self._room) / (tolerated * _RATE_PART)
