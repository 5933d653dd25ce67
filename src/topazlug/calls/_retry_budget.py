"""Retry budget, which bounds the load that retries add.

Each first attempt adds a fraction of a retry to the budget, and each retry
takes one. If all requests of a pool fail, retries increase its load by at most
that fraction.
"""

from typing import final

from topazlug import _ids

_INITIAL_BALANCE = 3.0
_MAX_BALANCE = 100.0


@final
class RetryBudget:
    """Retry budget of one daemon.

    Parameters
    ----------
    ratio : float
        Retries that each first attempt adds.

    Attributes
    ----------
    spent : int
        Retries taken so far.
    rejected : int
        Retries rejected so far because the budget was used up.
    """

    def __init__(self, *, ratio: float) -> None:
        self._ratio = ratio
        self._balance = _INITIAL_BALANCE
        self.spent = 0
        self.rejected = 0

    def earn(self, group: _ids.GroupName) -> None:
        """Record a first attempt; all groups share this budget."""
        self._balance = min(_MAX_BALANCE, self._balance + self._ratio)

    def spend(self, group: _ids.GroupName) -> bool:
        """Take one retry from the budget.

        Returns
        -------
        bool
            Whether there was one.
        """
        if self._balance < 1.0:
            self.rejected += 1
            return False
        self._balance -= 1.0
        self.spent += 1
        return True
