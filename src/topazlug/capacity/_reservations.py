"""When those who are turned away come back, and what is kept for them.

Load pattern: for seconds a replica gets more than it can run. Those turned
away come back, once as a rule. Told the same time, they come together and
most are turned away again; served after newcomers, they are lost while others
never waited.
"""

import collections
from collections.abc import Callable
import random
from typing import final

import msgspec

# The soonest return in seconds: some ten places of a busy replica are given
# back meanwhile.
_SOONEST_SECONDS = 0.05
# Part by which returns are spread, so that those told in one moment do not
# come in one moment.
_SPREAD = 0.25
# A place is kept for a return until it is so many seconds late.
_LATE_SECONDS = 0.5
# Part of the places given back that goes to returns; the rest is for
# newcomers of more urgent ranks.
_RETURNING_PART = 0.5
# Returns remembered for one replica, the oldest out first.
_MOST_RETURNS = 2000


class _Return(msgspec.Struct, frozen=True):
    rank: int
    due: float


@final
class Reservations:
    """Requests that were turned away from one replica and may come back.

    Parameters
    ----------
    chance : callable
        Gives numbers from 0 to 1, to spread returns by.
    """

    def __init__(self, *, chance: Callable[[], float] = random.random) -> None:
        self._chance = chance
        self._return_by_prompt: collections.OrderedDict[int, _Return]
        self._return_by_prompt = collections.OrderedDict()

    def retry_after(
        self, rank: int, *, interval: float, longest: float, now: float
    ) -> float:
        """Give the seconds after which a request should come back.

        Parameters
        ----------
        rank : int
            Its rank; only returns of its own and more urgent ranks come
            before it.
        interval : float
            Seconds between two places that are given back.
        longest : float
            Longest time that its caller would wait.
        now : float
            Monotonic seconds.
        """
        self._drop_old(now)
        returns = self._return_by_prompt.values()
        before = sum(one.rank <= rank for one in returns)
        wait = _SOONEST_SECONDS + before * interval / _RETURNING_PART
        wait *= 1.0 + _SPREAD * self._chance()
        return min(wait, longest)

    def note(
        self, prompt: int, rank: int, *, seconds: float, now: float
    ) -> None:
        """Note that a request was told to come back."""
        self._return_by_prompt.pop(prompt, None)
        self._return_by_prompt[prompt] = _Return(rank, now + seconds)
        if len(self._return_by_prompt) > _MOST_RETURNS:
            self._return_by_prompt.popitem(last=False)

    def is_due(self, prompt: int, *, now: float) -> bool:
        """Say whether a request comes back as it was told to.

        One that comes before its time has no claim: who repeats without
        waiting would otherwise go before those who wait.
        """
        found = self._return_by_prompt.get(prompt)
        if found is None:
            return False
        return now >= found.due - _LATE_SECONDS / 4

    def remove(self, prompt: int) -> None:
        """Drop the return of a request that was let in."""
        self._return_by_prompt.pop(prompt, None)

    def reserved(self, rank: int, *, now: float, is_due: bool = False) -> int:
        """Give the places kept from a request.

        From a newcomer, those of returns of its own and more urgent ranks
        that are due now or in a moment; from a return that is due itself,
        those of more urgent ranks.
        """
        self._drop_old(now)
        soon = now + _LATE_SECONDS / 2
        least_urgent = rank - 1 if is_due else rank
        return sum(
            one.rank <= least_urgent and one.due <= soon
            for one in self._return_by_prompt.values()
        )

    def _drop_old(self, now: float) -> None:
        for prompt, one in list(self._return_by_prompt.items()):
            if now > one.due + _LATE_SECONDS:
                del self._return_by_prompt[prompt]
