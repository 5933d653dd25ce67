"""When rejected requests are retried, and the slots reserved for them.

Load pattern: for seconds a replica gets more requests than it can run. Callers
retry a rejected request, as a rule once. With equal delays the retries arrive
together and most are rejected again; if newcomers went first, the retries
would fail while others never waited.
"""

import collections
from collections.abc import Callable
import random
from typing import final

import msgspec

# Minimum delay of a retry. A busy replica releases some ten slots in that
# time.
_MIN_DELAY_SECONDS = 0.05
# Jitter as a fraction of the delay, so that requests rejected at the same
# time are not retried at the same time.
_JITTER = 0.25
# A reservation expires when the retry is this late.
_EXPIRY_SECONDS = 0.5
# Fraction of the released slots that goes to retries; the rest is for new
# requests of more urgent ranks.
_RETRY_FRACTION = 0.5
# Reservations kept for one replica; the oldest is evicted.
_MAX_RESERVATIONS = 2000


class _Reservation(msgspec.Struct, frozen=True):
    rank: int
    due: float


@final
class Reservations:
    """Requests that were rejected at one replica and may be retried.

    Parameters
    ----------
    random_fraction : callable
        Returns random numbers from 0 to 1, for jitter.
    """

    def __init__(
        self, *, random_fraction: Callable[[], float] = random.random
    ) -> None:
        self._random_fraction = random_fraction
        self._reservation_by_prompt: collections.OrderedDict[int, _Reservation]
        self._reservation_by_prompt = collections.OrderedDict()

    def retry_after(
        self, rank: int, *, interval: float, max_delay: float, now: float
    ) -> float:
        """Return the seconds after which a request should be retried.

        Parameters
        ----------
        rank : int
            Its rank; only reservations of its own and more urgent ranks come
            before it.
        interval : float
            Seconds between two released slots.
        max_delay : float
            Maximum time that the caller would wait.
        now : float
            Monotonic seconds.
        """
        self._remove_expired(now)
        reservations = self._reservation_by_prompt.values()
        ahead = sum(reservation.rank <= rank for reservation in reservations)
        wait = _MIN_DELAY_SECONDS + ahead * interval / _RETRY_FRACTION
        wait *= 1.0 + _JITTER * self._random_fraction()
        return min(wait, max_delay)

    def add(
        self, prompt: int, rank: int, *, seconds: float, now: float
    ) -> None:
        """Reserve a slot for a rejected request, due after some seconds."""
        self._reservation_by_prompt.pop(prompt, None)
        self._reservation_by_prompt[prompt] = _Reservation(rank, now + seconds)
        if len(self._reservation_by_prompt) > _MAX_RESERVATIONS:
            self._reservation_by_prompt.popitem(last=False)

    def is_due(self, prompt: int, *, now: float) -> bool:
        """Return whether a request is a retry whose reservation is due.

        A retry that arrives early has no claim: callers that do not wait would
        otherwise be served before those that do.
        """
        found = self._reservation_by_prompt.get(prompt)
        if found is None:
            return False
        return now >= found.due - _EXPIRY_SECONDS / 4

    def remove(self, prompt: int) -> None:
        """Remove the reservation of a request that was admitted."""
        self._reservation_by_prompt.pop(prompt, None)

    def reserved(self, rank: int, *, now: float, is_due: bool = False) -> int:
        """Return the number of reserved slots that a request may not use.

        For a new request, these are the reservations of its own and more
        urgent ranks that are due now or soon; for a retry that is due itself,
        only those of more urgent ranks.
        """
        self._remove_expired(now)
        soon = now + _EXPIRY_SECONDS / 2
        least_urgent = rank - 1 if is_due else rank
        return sum(
            reservation.rank <= least_urgent and reservation.due <= soon
            for reservation in self._reservation_by_prompt.values()
        )

    def _remove_expired(self, now: float) -> None:
        for prompt, reservation in list(self._reservation_by_prompt.items()):
            if now > reservation.due + _EXPIRY_SECONDS:
                del self._reservation_by_prompt[prompt]
