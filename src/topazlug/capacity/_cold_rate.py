"""Rate limit for requests that an owner admits to a cold replica.

A replica that has just started crashes at a rate well above the one that it
reports as tolerable. What counts is the rate from all daemons together in any
second.
"""

from typing import final

# Fraction of the tolerated rate, and burst, that one owner admits. While
# daemons disagree on the owner, two of them admit requests. Together they stay
# below one and a half times the rate plus five.
_RATE_FRACTION = 0.75
_MAX_TOKENS = 2.0


@final
class ColdRateLimiter:
    """Token bucket for the requests to a cold replica.

    It starts with a single token, as the previous owner of the replica may
    have just admitted a full burst.
    """

    def __init__(self) -> None:
        self._tokens = 1.0
        self._refilled_at: float | None = None

    def has_capacity(self, tolerated: float, *, now: float) -> bool:
        """Return whether one more request may be admitted.

        Parameters
        ----------
        tolerated : float
            Requests a second that the replica tolerates.
        now : float
            Monotonic seconds.
        """
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * tolerated * _RATE_FRACTION
            self._tokens = min(_MAX_TOKENS, self._tokens + gained)
        self._refilled_at = now
        return self._tokens >= 1.0

    def record_admitted(self) -> None:
        """Count an admitted request."""
        self._tokens -= 1.0

    def wait(self, tolerated: float) -> float:
        """Return the seconds until one request may be admitted."""
        return max(0.0, 1.0 - self._tokens) / (tolerated * _RATE_FRACTION)
